#pragma once
#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/loop.h"

namespace basaltchute {

/// Parses "10.0.0.1:8080"; names are not looked up.
std::optional<sockaddr_in> parseAddress(const std::string& text);

std::string formatAddress(const sockaddr_in& address);

/// A non-blocking TCP connection whose waits end with data, a deadline or its scope.
class Socket final : public FdHandler {
  public:
    Socket(EventLoop& loop, int fd);
    ~Socket() override;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    static Task<std::unique_ptr<Socket>> connect(EventLoop& loop, sockaddr_in to, TimePoint until,
                                                 Scope& scope);
    /// Appends to `into`; 0 at the end of the stream, -1 on error, deadline or cancellation.
    Task<long> read(std::string& into, TimePoint until, Scope& scope);
    Task<bool> write(std::string_view data, TimePoint until, Scope& scope);
    /// True when the peer has closed or sent something unasked: not fit for another request.
    [[nodiscard]] bool stale() const;
    /// The address of the other side, without its port.
    [[nodiscard]] std::string peerIp() const;
    /// Ends both directions: whoever waits on it is woken and finds the end of the stream.
    void shutDown();
    void ready(bool readable, bool writable) override;

  private:
    EventLoop& loop_;
    int fd_;
    Event readable_, writable_;
};

/// A listening socket.
class Listener final : public FdHandler {
  public:
    Listener(EventLoop& loop, const std::string& address);
    ~Listener() override;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    Task<std::unique_ptr<Socket>> accept(Scope& scope);
    /// The address it really listens on, for a port that was given as 0.
    [[nodiscard]] std::string address() const;
    void ready(bool readable, bool writable) override;

  private:
    EventLoop& loop_;
    int fd_ = -1;
    Event acceptable_;
};

}  // namespace basaltchute
