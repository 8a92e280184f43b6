#pragma once
// An HTTP server on one listener. It owns its connections and divides them by the class of their
// peers (`ConnectionBudget`), so that no number of agents leaves users without a connection. Which
// request makes a peer an agent is for the caller to say: the server knows no path.
#include <array>
#include <functional>
#include <list>
#include <memory>

#include "http/connection_budget.h"
#include "http/message.h"
#include "http/parser.h"
#include "runtime/socket.h"

namespace basaltchute::http {

struct ServerLimits {
    std::size_t connections = 1000;
    std::size_t bodyBytes = std::size_t{64} * 1024;
    Duration idle = std::chrono::minutes(2);
    Duration message = std::chrono::seconds(10);  // to receive or send one whole message
};

/// Serves each connection by a routine of its own. At the limit the longest idle connection
/// is shed before a new one is refused, an agent's before a client's.
class Server {
  public:
    using Handler = std::function<Task<Response>(Request)>;
    /// The class of a connection by its first request.
    using Classifier = std::function<ConnectionClass(const Request&)>;
    Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler);
    /// With shares for clients and agents.
    Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler,
           Classifier classifier);
    void start(Scope& scope);
    [[nodiscard]] std::string address() const { return listener_.address(); }
    [[nodiscard]] std::size_t connections() const { return budget_.total(); }

  private:
    struct Connection {
        explicit Connection(EventLoop& loop) : scope(loop) {}
        std::unique_ptr<Socket> socket;
        Scope scope;
        ConnectionClass kind = ConnectionClass::unclassified;
        bool idle = true;
        bool keptAgent = false;  // counted as such by the budget
        bool shed = false;       // cancelled to make room, and about to be closed
    };
    using Connections = std::list<std::unique_ptr<Connection>>;  // longest idle first
    using Slot = Connections::iterator;
    Task<void> acceptAll(Scope& scope);
    /// Sheds connections and waits until one more fits in; false if none may be shed in time.
    Task<bool> reserveConnection(Scope& scope);
    void closeOneIdle(bool mayShedUnclassified);
    /// Ends the longest idle connection of the class; false if none is idle.
    bool closeLongestIdle(ConnectionClass of);
    void open(std::unique_ptr<Socket> socket, Scope& scope);
    Task<void> serve(Slot slot);
    Task<Response> respond(Slot slot, Request request);
    /// Whether its class has room for one more, if need be in place of one that is idle.
    Task<bool> shareAllows(ConnectionClass kind, Scope& scope);
    void classify(Slot slot, ConnectionClass kind);
    /// Whether the connection stays open after its response.
    bool keeps(Connection& connection);
    void close(Slot slot);
    Connections& all(ConnectionClass of) { return open_[static_cast<std::size_t>(of)]; }

    EventLoop& loop_;
    Listener listener_;
    ServerLimits limits_;
    Handler handler_;
    Classifier classifier_;
    ConnectionBudget budget_;
    std::array<Connections, connectionClasses> open_;
    std::size_t shedding_ = 0;  // shed, not closed yet
    Event changed_;             // a connection was classified, answered or closed
};

}  // namespace basaltchute::http
