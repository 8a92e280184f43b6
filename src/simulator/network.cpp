#include "simulator/network.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>

namespace basaltchute::simulator {

using namespace std::chrono_literals;

void Timeline::at(TimePoint when, std::function<void()> what) {
    queue_.emplace(std::pair(std::max(when, now_), next_++), std::move(what));
}
bool Timeline::step(TimePoint until) {
    if (queue_.empty() || queue_.begin()->first.first > until) {
        now_ = std::max(now_, until);
        return false;
    }
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    node.mapped()();
    return true;
}

TimePoint DriftingClock::now() const {
    const auto span = std::chrono::duration<double>(time_.now() - Timeline::start());
    return Timeline::start() + std::chrono::duration_cast<Duration>(span * (1 + rate_));
}
WallMillis DriftingClock::wall() const {
    const double turn = std::sin(time_.seconds() / 40 + rate_ * 1e4);
    const auto off = std::chrono::duration_cast<Duration>(off_ * turn);
    return std::chrono::duration_cast<WallMillis>((time_.now() + off).time_since_epoch());
}
TimePoint DriftingClock::trueTime(TimePoint shown) const {
    const auto span = std::chrono::duration<double>(shown - Timeline::start());
    return Timeline::start() + std::chrono::duration_cast<Duration>(span / (1 + rate_));
}

// Sockets

SimulatedSocketBackend::~SimulatedSocketBackend() {
    while (!open_.empty()) close(open_.begin()->first);
}
void SimulatedSocketBackend::die(bool power) {
    dead_ = true;
    for (auto& [fd, end] : open_) {
        if (!power) end->peer.reset();
        if (end->kind == Endpoint::Kind::open && !end->closed) shutDown(fd);
        end->closed = true;
        resetBacklog(*end);
    }
}
void SimulatedSocketBackend::resetBacklog(Endpoint& listener) {
    for (const auto& waiting : std::exchange(listener.backlog, {}))
        if (const auto peer = waiting->peer.lock())
            network_.deliver(machine_, peer, [peer] {
                peer->reset = true;
                if (!peer->closed && peer->fd >= 0)
                    peer->machine->host_->changed(*peer, true, true);
            });
}
int SimulatedSocketBackend::add(std::shared_ptr<Endpoint> end) {
    if (dead_ || open_.size() >= maxDescriptors_) {
        errno = EMFILE;
        return -1;
    }
    // The lowest free descriptor, as the kernel assigns them.
    const int fd = closed_.empty() ? next_++ : closed_.extract(closed_.begin()).value();
    end->machine = &machine_;
    end->fd = fd;
    open_[fd] = std::move(end);
    return fd;
}
void SimulatedSocketBackend::changed(Endpoint& end, bool readable, bool writable) {
    end.readable = end.readable || readable;
    end.writable = end.writable || writable;
    if (!end.watched) return;
    ready_.insert(end.fd);
    machine_.wake();
}
void SimulatedSocketBackend::watch(int fd) {
    Endpoint& end = *open_.at(fd);
    end.watched = true;
    const bool open = end.kind == Endpoint::Kind::open;
    changed(end, !end.inbox.empty() || end.ended || end.reset || !end.backlog.empty(), open);
}
void SimulatedSocketBackend::unwatch(int fd) {
    ready_.erase(fd);
    if (const auto it = open_.find(fd); it != open_.end()) it->second->watched = false;
}
std::size_t SimulatedSocketBackend::wait(std::span<Ready> into, Duration) {
    std::size_t n = 0;
    while (n < into.size() && !ready_.empty()) {
        Endpoint& end = *open_.at(*ready_.begin());
        ready_.erase(ready_.begin());
        if (!end.readable && !end.writable) continue;
        into[n++] = {end.fd, std::exchange(end.readable, false),
                     std::exchange(end.writable, false)};
    }
    return n;
}
int SimulatedSocketBackend::connect(const sockaddr_in& to) {
    auto end = std::make_shared<Endpoint>();
    end->kind = Endpoint::Kind::connecting;
    end->remote = to;
    const int fd = add(end);
    if (fd < 0) return -1;
    inet_pton(AF_INET, machine_.address.c_str(), &end->local.sin_addr);
    end->local.sin_family = AF_INET;
    end->local.sin_port = htons(network_.port_++);
    network_.startConnect(end);
    errno = EINPROGRESS;
    return fd;
}
int SimulatedSocketBackend::listen(const sockaddr_in& at) {
    auto end = std::make_shared<Endpoint>();
    end->kind = Endpoint::Kind::listener;
    end->local = at;
    if (at.sin_port == 0) end->local.sin_port = htons(network_.port_++);
    for (const auto& [fd, other] : open_)
        if (other->kind == Endpoint::Kind::listener && other->local.sin_port == end->local.sin_port)
            throw std::system_error(EADDRINUSE, std::generic_category(), "listen");
    const int fd = add(end);
    if (fd < 0) throw std::system_error(EMFILE, std::generic_category(), "listen");
    return fd;
}
int SimulatedSocketBackend::accept(int fd) {
    Endpoint& listener = *open_.at(fd);
    while (!listener.backlog.empty()) {
        auto end = listener.backlog.front();
        const int got = add(end);
        if (got < 0) return -1;
        listener.backlog.pop_front();
        return got;
    }
    errno = EAGAIN;
    return -1;
}
ssize_t SimulatedSocketBackend::receive(int fd, std::span<char> into) {
    Endpoint& end = *open_.at(fd);
    if (end.reset) {
        errno = ECONNRESET;
        return -1;
    }
    if (end.inbox.empty()) {
        if (end.ended || end.closed) return 0;
        errno = EAGAIN;
        return -1;
    }
    const std::size_t n = std::min(into.size(), end.inbox.size());
    std::copy_n(end.inbox.begin(), n, into.begin());
    end.inbox.erase(0, n);
    return static_cast<ssize_t>(n);
}
bool SimulatedSocketBackend::stale(int fd) const {
    const Endpoint& end = *open_.at(fd);
    return end.reset || end.ended || !end.inbox.empty();
}
ssize_t SimulatedSocketBackend::send(int fd, std::span<const char> data) {
    Endpoint& end = *open_.at(fd);
    if (dead_ || end.reset || end.closed) {
        errno = EPIPE;
        return -1;
    }
    const auto peer = end.peer.lock();
    // The peer is gone but its close has not arrived yet: the data is lost, as on a real network.
    if (!peer) return static_cast<ssize_t>(data.size());
    network_.deliver(machine_, peer, [peer, text = std::string(data.begin(), data.end())] {
        if (peer->closed) return;
        peer->inbox += text;
        if (peer->fd >= 0) peer->machine->host_->changed(*peer, true, false);
    });
    return static_cast<ssize_t>(data.size());
}
void SimulatedSocketBackend::shutDown(int fd) {
    Endpoint& end = *open_.at(fd);
    end.closed = true;
    end.inbox.clear();
    if (const auto peer = end.peer.lock())
        network_.deliver(machine_, peer, [peer] {
            peer->ended = true;
            if (!peer->closed && peer->fd >= 0) peer->machine->host_->changed(*peer, true, true);
        });
}
void SimulatedSocketBackend::close(int fd) {
    const auto end = open_.at(fd);
    ready_.erase(fd);
    if (end->kind == Endpoint::Kind::open && !end->closed) shutDown(fd);
    end->closed = true;
    end->fd = -1;
    resetBacklog(*end);
    open_.erase(fd);
    closed_.insert(fd);
}
int SimulatedSocketBackend::error(int fd) const {
    return open_.at(fd)->error;
}
sockaddr_in SimulatedSocketBackend::local(int fd) const {
    return open_.at(fd)->local;
}
sockaddr_in SimulatedSocketBackend::remote(int fd) const {
    return open_.at(fd)->remote;
}

// Machines

Machine::Machine(Network& network, std::string n, std::string a, std::string z, std::string s,
                 double rate, Duration off)
    : name(std::move(n)),
      address(std::move(a)),
      zone(std::move(z)),
      site(std::move(s)),
      network_(network),
      clock_(network.time(), rate, off) {
    in_addr at{};
    inet_pton(AF_INET, address.c_str(), &at);
    network_.machines_[at.s_addr] = this;
}
Machine::~Machine() {
    endProcess();
    in_addr at{};
    inet_pton(AF_INET, address.c_str(), &at);
    network_.machines_.erase(at.s_addr);
    std::erase(network_.runnable_, this);
}
EventLoop& Machine::startProcess(std::size_t descriptors) {
    auto host = std::make_unique<SimulatedSocketBackend>(network_, *this, descriptors);
    host_ = host.get();
    loop_ = std::make_unique<EventLoop>(clock_, std::move(host));
    ++processCount_;
    nextWakeAt_ = TimePoint::max();
    frozenUntil_ = TimePoint{};
    powered_ = true;
    wake();
    return *loop_;
}
void Machine::disconnect(bool power) {
    powered_ = power;
    if (host_ != nullptr) host_->die(power);
}
void Machine::drainScope(Scope& scope) {
    bool ended = false;
    loop_->spawn([](Scope& s, bool& flag) -> Task<void> {
        co_await s.cancelAndWait();
        flag = true;
    }(scope, ended));
    for (int rounds = 0; !ended; ++rounds) {
        if (rounds > 100'000) throw std::runtime_error(name + " does not end");
        loop_->runOnce(Duration::zero());
    }
}
void Machine::endProcess() {
    if (!loop_) return;
    if (!host_->dead_) disconnect();
    loop_.reset();
    host_ = nullptr;
}
void Machine::freeze(Duration span) {
    frozenUntil_ = std::max(frozenUntil_, network_.time().now() + span);
    network_.time().at(frozenUntil_, [this, boot = processCount_] {
        if (boot == processCount_) wake();
    });
}
void Machine::wake() {
    if (queued_ || !on()) return;
    queued_ = true;
    network_.runnable_.push_back(this);
}
void Machine::run() {
    queued_ = false;
    if (!on() || host_->dead_ || network_.time().now() < frozenUntil_) return;
    const std::uint64_t boot = processCount_;
    // A process that never becomes idle at one time is a fault of the code under test.
    for (int rounds = 0; loop_->runOnce(Duration::zero()); ++rounds) {
        if (boot != processCount_ || !on()) return;
        if (rounds > 100'000) throw std::runtime_error(name + " never becomes idle");
    }
    sleepUntilNextTimer();
}
void Machine::sleepUntilNextTimer() {
    const TimePoint next = loop_->nextTimer();
    if (next == TimePoint::max()) return;
    // Event loop timers have a resolution of 1 ms.
    const TimePoint due = std::chrono::ceil<std::chrono::milliseconds>(clock_.trueTime(next)) + 0ns;
    const TimePoint now = network_.time().now();
    if (due >= nextWakeAt_ && nextWakeAt_ > now) return;
    nextWakeAt_ = std::max(due, now + 100us);
    network_.time().at(nextWakeAt_, [this, boot = processCount_, at = nextWakeAt_] {
        if (boot != processCount_) return;
        if (nextWakeAt_ == at) nextWakeAt_ = TimePoint::max();
        wake();
    });
}

// LinkPredicate them

Machine* Network::at(const sockaddr_in& address) {
    const auto it = machines_.find(address.sin_addr.s_addr);
    return it == machines_.end() ? nullptr : it->second;
}
bool Network::isPartitioned(const Machine& from, const Machine& to) const {
    return std::any_of(partitions_.begin(), partitions_.end(),
                       [&](const auto& c) { return c.second(from, to); });
}
Duration Network::latency(const Machine& from, const Machine& to) {
    const bool zoned = !from.zone.empty() && from.zone == to.zone;
    Duration span = from.site != to.site ? config.betweenSites : zoned ? config.near : config.far;
    span = std::chrono::duration_cast<Duration>(
        span * time_.between(1 - config.jitter, 1 + config.jitter));
    return time_.chance(config.slow) ? span + 200ms : span;
}
void Network::deliver(const Machine& from, const std::shared_ptr<Endpoint>& to,
                      std::function<void()> what) {
    if (isPartitioned(from, *to->machine) || !to->held.empty()) {
        if (to->held.empty()) endpointsWithHeldData_.push_back(to);
        to->held.push_back(std::move(what));
        return;
    }
    to->arrivesAfter = std::max(to->arrivesAfter, time_.now() + latency(from, *to->machine));
    time_.at(to->arrivesAfter, std::move(what));
}
void Network::startConnect(const std::shared_ptr<Endpoint>& from) {
    Machine& here = *from->machine;
    Machine* there = at(from->remote);
    const auto refused = [&] {
        return std::any_of(refusals_.begin(), refusals_.end(),
                           [&](const auto& r) { return r.second(here, *there); });
    };
    if (there == nullptr) return;  // no machine has that address: no response
    if (isPartitioned(here, *there) || isPartitioned(*there, here)) {
        blockedConnects_.push_back(from);
        return;
    }
    const bool no = refused();
    const Duration outbound = latency(here, *there);
    time_.after(outbound, [this, from, no] {
        Machine* to = at(from->remote);
        // The attempt was given up, or the machine has no power: no response.
        if (from->closed || to == nullptr || !to->powered_) return;
        std::shared_ptr<Endpoint> listener;
        if (to->on())
            for (const auto& [fd, end] : to->host_->open_)
                if (end->kind == Endpoint::Kind::listener &&
                    end->local.sin_port == from->remote.sin_port)
                    listener = end;
        std::shared_ptr<Endpoint> far;
        if (listener && !no) {
            far = std::make_shared<Endpoint>();
            far->machine = to;
            far->local = from->remote;
            far->remote = from->local;
            far->peer = from;
        }
        time_.after(latency(*to, *from->machine), [this, from, listener, far] {
            if (from->closed) return;
            if (!far || listener->closed) {
                from->error = ECONNREFUSED;
            } else {
                from->kind = Endpoint::Kind::open;
                from->peer = far;
                listener->backlog.push_back(far);
                listener->machine->host_->changed(*listener, true, false);
            }
            from->machine->host_->changed(*from, false, true);
        });
    });
}
std::uint64_t Network::cut(LinkPredicate between) {
    partitions_[next_] = std::move(between);
    return next_++;
}
std::uint64_t Network::refuse(LinkPredicate between) {
    refusals_[next_] = std::move(between);
    return next_++;
}
void Network::heal(std::uint64_t which, bool reset) {
    partitions_.erase(which);
    for (const auto& weak : std::exchange(endpointsWithHeldData_, {})) {
        const auto to = weak.lock();
        if (!to || to->held.empty()) continue;
        const auto from = to->peer.lock();
        if (from && isPartitioned(*from->machine, *to->machine)) {
            endpointsWithHeldData_.push_back(to);  // another partition lasts
            continue;
        }
        auto held = std::exchange(to->held, {});
        if (reset) {
            for (const auto& end : {to, from})
                if (end && !end->closed) {
                    end->reset = true;
                    if (end->fd >= 0) end->machine->host_->changed(*end, true, true);
                }
            continue;
        }
        to->arrivesAfter = std::max(to->arrivesAfter, time_.now() + config.far);
        for (auto& what : held) time_.at(to->arrivesAfter, std::move(what));
    }
    for (const auto& weak : std::exchange(blockedConnects_, {}))
        if (const auto from = weak.lock(); from && !from->closed) startConnect(from);
}
void Network::run(TimePoint until) {
    while (true) {
        while (!runnable_.empty()) {
            Machine* m = runnable_.front();
            runnable_.pop_front();
            m->run();
        }
        if (!time_.step(until)) return;
    }
}

}  // namespace basaltchute::simulator
