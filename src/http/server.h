#pragma once
// An HTTP server. It owns its connections and divides them between the classes of its peers
// (`ConnectionBudget`), so that users get connections however many agents there are. The caller
// says which request makes a peer an agent; the server itself knows no paths. Used by the
// controller, by the gateway for its administration API, and by the simulated services.
#include <array>
#include <functional>
#include <list>
#include <memory>

#include "http/connection_budget.h"
#include "http/message.h"
#include "http/parser.h"
#include "runtime/socket.h"

namespace basaltchute::http {

/// Limits of a server.
struct ServerLimits {
    std::size_t maxConnections = 1000;
    std::size_t maxBodyBytes = std::size_t{64} * 1024;  // of a request
    Duration idleTimeout = std::chrono::minutes(2);
    Duration messageTimeout = std::chrono::seconds(10);  // to receive or send one whole message
};

/// Serves each connection in a coroutine of its own. At the limit it closes the connection that has
/// been idle for longest, an agent's before a client's, and refuses a new one only if none is idle.
class Server {
  public:
    using Handler = std::function<Task<Response>(Request)>;
    /// Determines the class of a connection from its first request.
    using Classifier = std::function<ConnectionClass(const Request&)>;
    /// All peers are clients.
    Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler);
    /// Divides the connections between clients and agents.
    Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler,
           Classifier classifier);
    /// Accepts connections until the scope is cancelled, which closes all of them.
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
        bool keptAgent = false;  // counted by the budget as an agent's connection that stays open
        bool closing = false;    // cancelled to make room for another one
    };
    using Connections = std::list<std::unique_ptr<Connection>>;  // longest idle first
    using Slot = Connections::iterator;
    Task<void> acceptAll(Scope& scope);
    /// Waits until one more connection fits in, and closes idle ones for it. Returns false if there
    /// is still none after the admission timeout.
    Task<bool> reserveConnection(Scope& scope);
    void closeOneIdle(bool mayCloseUnclassified);
    /// Closes the connection of the class that has been idle for longest. Returns false if none is
    /// idle.
    bool closeLongestIdle(ConnectionClass kind);
    void open(std::unique_ptr<Socket> socket, Scope& scope);
    Task<void> serve(Slot slot);
    Task<Response> respond(Slot slot, Request request);
    /// Waits until the class has a connection to spare, and closes an idle one for it. Returns
    /// false if there is still none after the share timeout.
    Task<bool> reserveInShare(ConnectionClass kind, Scope& scope);
    void classify(Slot slot, ConnectionClass kind);
    /// Whether the connection stays open after its response.
    bool keeps(Connection& connection);
    void close(Slot slot);
    Connections& connectionsOf(ConnectionClass kind) {
        return open_[static_cast<std::size_t>(kind)];
    }

    EventLoop& loop_;
    Listener listener_;
    ServerLimits limits_;
    Handler handler_;
    Classifier classifier_;
    ConnectionBudget budget_;
    std::array<Connections, connectionClasses> open_;
    std::size_t closing_ = 0;  // connections that are being closed to make room for others
    Event changed_;            // a connection was classified, answered or closed
};

}  // namespace basaltchute::http
