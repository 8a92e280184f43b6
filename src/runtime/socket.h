#pragma once
// TCP connections and listening sockets for coroutines. Used by the HTTP client and server, the RPC
// between controllers, and the gateway.
#include <netinet/in.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runtime/loop.h"

namespace basaltchute {

/// Parses an IPv4 address with a port, such as "10.0.0.1:8080". Host names are not resolved.
std::optional<sockaddr_in> parseAddress(const std::string& text);

std::string formatAddress(const sockaddr_in& address);

/// A non-blocking TCP connection. Each operation ends with its result, at its deadline, or when its
/// scope is cancelled.
class Socket final : public FdHandler {
  public:
    /// Takes ownership of the descriptor of a connection.
    Socket(EventLoop& loop, int fd);
    ~Socket() override;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    /// Returns nullptr on error, at the deadline or on cancellation.
    static Task<std::unique_ptr<Socket>> connect(EventLoop& loop, sockaddr_in to, TimePoint until,
                                                 Scope& scope);
    /// Appends what arrives to `into`. Returns the number of bytes, 0 at the end of the stream, and
    /// -1 on error, at the deadline or on cancellation.
    Task<long> read(std::string& into, TimePoint until, Scope& scope);
    /// Writes all of the data, which must outlive the call. Returns false on error, at the deadline
    /// or on cancellation; part of the data may have been sent then.
    Task<bool> write(std::string_view data, TimePoint until, Scope& scope);
    /// Whether the peer has closed the connection or sent data that nobody asked for. Such a
    /// connection must not be used for another request.
    [[nodiscard]] bool stale() const;
    /// The address of the peer without its port.
    [[nodiscard]] std::string peerIp() const;
    /// Shuts down both directions. Whoever waits on the socket is woken and finds the end of the
    /// stream.
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
    /// Throws if the address is malformed or cannot be listened on.
    Listener(EventLoop& loop, const std::string& address);
    ~Listener() override;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    /// Waits for a connection. Returns nullptr if the scope is cancelled.
    Task<std::unique_ptr<Socket>> accept(Scope& scope);
    /// The address that it listens on. Its port is the assigned one if port 0 was asked for.
    [[nodiscard]] std::string address() const;
    void ready(bool readable, bool writable) override;

  private:
    EventLoop& loop_;
    int fd_ = -1;
    Event acceptable_;
};

}  // namespace basaltchute
