#pragma once
// An HTTP/1.1 client. Used for the state service, the cloud, workers and other controllers.
#include <memory>
#include <vector>

#include "http/message.h"
#include "runtime/socket.h"

namespace basaltchute::http {

/// The outcome of a request. If it was not answered, `sent` tells whether the server may have
/// executed it or may still do so.
struct RequestOutcome {
    bool answered = false;
    bool sent = false;
    Response response;
};

/// Sends requests to one address. Keeps up to `maxIdle` idle connections alive for later requests.
class Client {
  public:
    /// `address`: IPv4 address and port. Requests to a malformed address fail.
    Client(EventLoop& loop, std::string address, std::size_t maxIdle = 4);
    /// Sends a request and waits for its response, `timeout` at most or until the scope is
    /// cancelled.
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
