#pragma once
#include <netinet/in.h>
#include <sys/types.h>

#include <cstddef>
#include <span>

#include "runtime/clock.h"

namespace basaltchute {

/// The sockets of an event loop: the operations on them, and waiting until they are ready. The
/// production implementation calls the operating system; the simulator has one on a simulated
/// network. Results and errors are those of the system calls: -1 with errno set, EAGAIN if the
/// operation would block.
class SocketBackend {
  public:
    virtual ~SocketBackend() = default;
    struct Ready {
        int fd;
        bool readable, writable;
    };
    /// Returns a descriptor, or -1. If errno is EINPROGRESS, the connection is still being
    /// established: the descriptor becomes writable then, and error() returns the outcome.
    virtual int connect(const sockaddr_in& to) = 0;
    /// Throws std::system_error if it cannot listen on the address.
    virtual int listen(const sockaddr_in& at) = 0;
    virtual int accept(int fd) = 0;
    virtual ssize_t receive(int fd, std::span<char> into) = 0;
    /// Whether the peer has closed the connection or sent data that has not been read.
    [[nodiscard]] virtual bool stale(int fd) const = 0;
    virtual ssize_t send(int fd, std::span<const char> data) = 0;
    virtual void shutDown(int fd) = 0;
    virtual void close(int fd) = 0;
    /// The pending error of the socket (SO_ERROR); 0 if there is none.
    [[nodiscard]] virtual int error(int fd) const = 0;
    [[nodiscard]] virtual sockaddr_in local(int fd) const = 0;
    [[nodiscard]] virtual sockaddr_in remote(int fd) const = 0;

    /// From now on wait() reports when the descriptor becomes ready. Edge-triggered: each change is
    /// reported once.
    virtual void watch(int fd) = 0;
    virtual void unwatch(int fd) = 0;
    /// Waits until a watched descriptor is ready, `timeout` at most. Returns how many entries of
    /// `into` it has filled.
    virtual std::size_t wait(std::span<Ready> into, Duration timeout) = 0;
};

/// Sockets of the operating system, watched by epoll.
class EpollSocketBackend final : public SocketBackend {
  public:
    EpollSocketBackend();
    ~EpollSocketBackend() override;
    EpollSocketBackend(const EpollSocketBackend&) = delete;
    EpollSocketBackend& operator=(const EpollSocketBackend&) = delete;
    int connect(const sockaddr_in& to) override;
    int listen(const sockaddr_in& at) override;
    int accept(int fd) override;
    ssize_t receive(int fd, std::span<char> into) override;
    [[nodiscard]] bool stale(int fd) const override;
    ssize_t send(int fd, std::span<const char> data) override;
    void shutDown(int fd) override;
    void close(int fd) override;
    [[nodiscard]] int error(int fd) const override;
    [[nodiscard]] sockaddr_in local(int fd) const override;
    [[nodiscard]] sockaddr_in remote(int fd) const override;
    void watch(int fd) override;
    void unwatch(int fd) override;
    std::size_t wait(std::span<Ready> into, Duration timeout) override;

  private:
    int epoll_ = -1;
};

}  // namespace basaltchute
