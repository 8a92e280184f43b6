#pragma once
#include <functional>
#include <list>
#include <memory>

#include "http/message.h"
#include "http/parser.h"
#include "runtime/socket.h"

namespace basaltchute::http {

struct ServerLimits {
    std::size_t connections = 1000;
    std::size_t bodyBytes = 64 * 1024;
    Duration idle = std::chrono::minutes(2);
    Duration message = std::chrono::seconds(10);  // to receive or send one whole message
};

/// Serves each connection by a routine of its own. At the limit the longest idle connection
/// is shed before a new one is refused.
class Server {
  public:
    using Handler = std::function<Task<Response>(Request)>;
    Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler);
    void start(Scope& scope);
    [[nodiscard]] std::string address() const { return listener_.address(); }
    [[nodiscard]] std::size_t connections() const { return open_.size(); }

  private:
    struct Connection {
        explicit Connection(EventLoop& loop) : scope(loop) {}
        std::unique_ptr<Socket> socket;
        Scope scope;
        bool idle = true;
    };
    using Slot = std::list<std::unique_ptr<Connection>>::iterator;
    Task<void> acceptAll(Scope& scope);
    Task<void> serve(Slot slot);

    EventLoop& loop_;
    Listener listener_;
    ServerLimits limits_;
    Handler handler_;
    std::list<std::unique_ptr<Connection>> open_;  // longest idle first
};

}  // namespace basaltchute::http
