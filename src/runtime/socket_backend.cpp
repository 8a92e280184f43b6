#include "runtime/socket_backend.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace basaltchute {

namespace {
/// The most connections that wait to be accepted: thousands of workers may connect within one round
/// trip.
constexpr int acceptBacklog = 4096;

void disableNagle(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
}  // namespace

EpollSocketBackend::EpollSocketBackend() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}
EpollSocketBackend::~EpollSocketBackend() {
    ::close(epoll_);
}

int EpollSocketBackend::connect(const sockaddr_in& to) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    const int rc = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (rc != 0 && errno != EINPROGRESS) {
        const int savedErrno = errno;
        ::close(fd);
        errno = savedErrno;
        return -1;
    }
    const int state = rc == 0 ? 0 : EINPROGRESS;
    disableNagle(fd);
    errno = state;
    return fd;
}
int EpollSocketBackend::listen(const sockaddr_in& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, acceptBacklog) != 0) {
        const int savedErrno = errno;
        if (fd >= 0) ::close(fd);
        throw std::system_error(savedErrno, std::generic_category(), "listen");
    }
    return fd;
}
int EpollSocketBackend::accept(int fd) {
    const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) disableNagle(accepted);
    return accepted;
}
ssize_t EpollSocketBackend::receive(int fd, std::span<char> into) {
    return ::recv(fd, into.data(), into.size(), 0);
}
bool EpollSocketBackend::stale(int fd) const {
    char c = 0;
    const ssize_t n = ::recv(fd, &c, 1, MSG_PEEK);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}
ssize_t EpollSocketBackend::send(int fd, std::span<const char> data) {
    return ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
}
void EpollSocketBackend::shutDown(int fd) {
    ::shutdown(fd, SHUT_RDWR);
}
void EpollSocketBackend::close(int fd) {
    ::close(fd);
}
int EpollSocketBackend::error(int fd) const {
    int err = 0;
    socklen_t len = sizeof err;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len);
    return err;
}
sockaddr_in EpollSocketBackend::local(int fd) const {
    sockaddr_in addr{};
    socklen_t len = sizeof addr;
    getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &len);
    return addr;
}
sockaddr_in EpollSocketBackend::remote(int fd) const {
    sockaddr_in addr{};
    socklen_t len = sizeof addr;
    getpeername(fd, reinterpret_cast<sockaddr*>(&addr), &len);
    return addr;
}

void EpollSocketBackend::watch(int fd) {
    epoll_event ev{};
    ev.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    ev.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &ev);
}
void EpollSocketBackend::unwatch(int fd) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}
std::size_t EpollSocketBackend::wait(std::span<Ready> into, Duration timeout) {
    std::array<epoll_event, 64> events{};
    const auto timeoutMs = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    const int n =
        epoll_wait(epoll_, events.data(), static_cast<int>(std::min(into.size(), events.size())),
                   static_cast<int>(timeoutMs));
    for (int i = 0; i < n; ++i) {
        const auto& ev = events[static_cast<std::size_t>(i)];
        const bool broken = (ev.events & (EPOLLERR | EPOLLHUP)) != 0;
        into[static_cast<std::size_t>(i)] = {ev.data.fd,
                                             broken || (ev.events & (EPOLLIN | EPOLLRDHUP)) != 0,
                                             broken || (ev.events & EPOLLOUT) != 0};
    }
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

}  // namespace basaltchute
