#pragma once
#include <memory>
#include <vector>

#include "http/message.h"
#include "runtime/socket.h"

namespace basaltchute::http {

/// What became of a request. Without an answer, `sent` tells whether the other side may
/// still have executed it, or may yet.
struct RequestOutcome {
    bool answered = false;
    bool sent = false;
    Response response;
};

/// Requests to one address over a small pool of kept-alive connections.
class Client {
  public:
    Client(EventLoop& loop, std::string address, std::size_t maxIdle = 4);
    Task<RequestOutcome> request(Request request, Duration timeout, Scope& scope);
    [[nodiscard]] const std::string& address() const { return address_; }

  private:
    EventLoop& loop_;
    std::string address_;
    std::optional<sockaddr_in> to_;
    std::size_t maxIdle_;
    std::vector<std::unique_ptr<Socket>> idle_;
};

}  // namespace basaltchute::http
