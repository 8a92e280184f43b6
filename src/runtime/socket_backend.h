#pragma once
#include <netinet/in.h>
#include <sys/types.h>

#include <cstddef>
#include <span>

#include "runtime/clock.h"

namespace basaltchute {

/// What a loop asks of the machine it runs on, as descriptors of connections: the kernel's calls on
/// real machines, a simulated network's in the lab. Results and errors are the kernel's: -1 with
/// errno set, EAGAIN where there is nothing yet.
class SocketBackend {
  public:
    virtual ~SocketBackend() = default;
    struct Ready {
        int fd;
        bool readable, writable;
    };
    /// A descriptor whose connection may still be under way (then errno is EINPROGRESS and the
    /// descriptor becomes writable, with error() telling how it went), or -1.
    virtual int connect(const sockaddr_in& to) = 0;
    /// Throws std::system_error if the address cannot be had.
    virtual int listen(const sockaddr_in& at) = 0;
    virtual int accept(int fd) = 0;
    virtual ssize_t receive(int fd, std::span<char> into) = 0;
    /// Whether the other side has closed, or has sent something that nobody has read.
    [[nodiscard]] virtual bool stale(int fd) const = 0;
    virtual ssize_t send(int fd, std::span<const char> data) = 0;
    virtual void shutDown(int fd) = 0;
    virtual void close(int fd) = 0;
    [[nodiscard]] virtual int error(int fd) const = 0;
    [[nodiscard]] virtual sockaddr_in local(int fd) const = 0;
    [[nodiscard]] virtual sockaddr_in remote(int fd) const = 0;

    /// From now on `wait` tells when the descriptor becomes ready, each time once.
    virtual void watch(int fd) = 0;
    virtual void unwatch(int fd) = 0;
    virtual std::size_t wait(std::span<Ready> into, Duration most) = 0;
};

/// The machine that the process runs on.
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
    std::size_t wait(std::span<Ready> into, Duration most) override;

  private:
    int epoll_ = -1;
};

}  // namespace basaltchute
