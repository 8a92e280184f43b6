#include "runtime/socket.h"

#include <arpa/inet.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>

namespace basaltchute {

namespace {
constexpr Duration acceptRetryInterval = std::chrono::milliseconds(50);
}

std::optional<sockaddr_in> parseAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    sockaddr_in out{};
    out.sin_family = AF_INET;
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || parsedTo != end || port > 65535) return std::nullopt;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) return std::nullopt;
    return out;
}

std::string formatAddress(const sockaddr_in& addr) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &addr.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ':' + std::to_string(ntohs(addr.sin_port));
}

Socket::Socket(EventLoop& loop, int fd) : loop_(loop), fd_(fd), readable_(loop), writable_(loop) {
    loop_.add(fd_, *this);
}
Socket::~Socket() {
    loop_.remove(fd_);
    loop_.socketBackend().close(fd_);
}
void Socket::ready(bool readable, bool writable) {
    if (readable) readable_.notify();
    if (writable) writable_.notify();
}

Task<std::unique_ptr<Socket>> Socket::connect(EventLoop& loop, sockaddr_in to, TimePoint until,
                                              Scope& scope) {
    errno = 0;
    const int fd = loop.socketBackend().connect(to);
    if (fd < 0) co_return nullptr;
    const bool inProgress = errno == EINPROGRESS;
    auto out = std::make_unique<Socket>(loop, fd);
    if (inProgress) {
        const WakeReason woke = co_await loop.wait(out->writable_, until, scope);
        if (woke != WakeReason::signalled || loop.socketBackend().error(fd) != 0) co_return nullptr;
    }
    co_return std::move(out);
}

Task<long> Socket::read(std::string& into, TimePoint until, Scope& scope) {
    // The kernel fills it; only the bytes that it has written are read.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
    std::array<char, 16384> buffer;
    while (true) {
        const ssize_t n = loop_.socketBackend().receive(fd_, buffer);
        if (n >= 0) {
            into.append(buffer.data(), static_cast<std::size_t>(n));
            co_return static_cast<long>(n);
        }
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) co_return -1;
        const WakeReason woke = co_await loop_.wait(readable_, until, scope);
        if (woke != WakeReason::signalled) co_return -1;
    }
}

Task<bool> Socket::write(std::string_view data, TimePoint until, Scope& scope) {
    while (!data.empty()) {
        const ssize_t n = loop_.socketBackend().send(fd_, data);
        if (n > 0) {
            data.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (n < 0 && errno == EINTR) continue;
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
        const WakeReason woke = co_await loop_.wait(writable_, until, scope);
        if (woke != WakeReason::signalled) co_return false;
    }
    co_return true;
}

bool Socket::stale() const {
    return loop_.socketBackend().stale(fd_);
}
std::string Socket::peerIp() const {
    const std::string text = formatAddress(loop_.socketBackend().remote(fd_));
    return text.substr(0, text.rfind(':'));
}
void Socket::shutDown() {
    loop_.socketBackend().shutDown(fd_);
    readable_.notify();
    writable_.notify();
}

Listener::Listener(EventLoop& loop, const std::string& address) : loop_(loop), acceptable_(loop) {
    const auto addr = parseAddress(address);
    if (!addr) throw std::runtime_error("not an IPv4 address with a port: " + address);
    try {
        fd_ = loop_.socketBackend().listen(*addr);
    } catch (const std::system_error& e) {
        throw std::system_error(e.code(), "listen on " + address);
    }
    loop_.add(fd_, *this);
}
Listener::~Listener() {
    loop_.remove(fd_);
    loop_.socketBackend().close(fd_);
}
std::string Listener::address() const {
    return formatAddress(loop_.socketBackend().local(fd_));
}
void Listener::ready(bool readable, bool) {
    if (readable) acceptable_.notify();
}
Task<std::unique_ptr<Socket>> Listener::accept(Scope& scope) {
    while (true) {
        const int fd = loop_.socketBackend().accept(fd_);
        if (fd >= 0) co_return std::make_unique<Socket>(loop_, fd);
        if (errno == EINTR || errno == ECONNABORTED) continue;
        // Any other error, such as running out of descriptors, leaves connections in the backlog.
        // Readiness is edge-triggered and not reported again for them, so try again after a while.
        const bool backlogEmpty = errno == EAGAIN || errno == EWOULDBLOCK;
        const TimePoint until = backlogEmpty ? TimePoint::max() : loop_.now() + acceptRetryInterval;
        const WakeReason woke = co_await loop_.wait(acceptable_, until, scope);
        if (woke == WakeReason::cancelled) co_return nullptr;
    }
}

}  // namespace basaltchute
