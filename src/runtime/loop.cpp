#include "runtime/loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

namespace basaltchute {

namespace {
/// The coroutine that owns a spawned one. It runs at once and frees itself at the end.
struct Detached {
    struct promise_type {
        Detached get_return_object() { return {}; }
        std::suspend_never initial_suspend() noexcept { return {}; }
        std::suspend_never final_suspend() noexcept { return {}; }
        void return_void() noexcept {}
        void unhandled_exception() { std::terminate(); }
    };
};

Detached runDetached(Task<void> task) {
    try {
        co_await task;
    } catch (const std::exception& e) {
        // The exception is a bug of this coroutine; the others go on.
        spdlog::error("coroutine ended by an exception: what={}", e.what());
    }
}
}  // namespace

Event::~Event() {
    while (!waiters_.empty()) loop_.wake(*waiters_.front(), WakeReason::cancelled);
}
void Event::notify() {
    while (!waiters_.empty()) loop_.wake(*waiters_.front(), WakeReason::signalled);
}
Scope::~Scope() {
    cancel();
}
void Scope::cancel() {
    cancelled_ = true;
    while (!waiters_.empty()) loop_.wake(*waiters_.front(), WakeReason::cancelled);
}

void Scope::spawn(Task<void> task) {
    loop_.spawn(runCounted(std::move(task)));
}
Task<void> Scope::runCounted(Task<void> task) {
    ++runningCount_;
    try {
        co_await task;
    } catch (const std::exception& e) {
        // The exception is a bug of this coroutine; the others go on.
        spdlog::error("coroutine ended by an exception: what={}", e.what());
    }
    if (--runningCount_ > 0) co_return;
    for (const auto h : std::exchange(waitingForEnd_, {})) loop_.post(h);
}
Task<void> Scope::cancelAndWait() {
    cancel();
    struct AllEnded {
        Scope& scope;
        bool await_ready() const { return scope.runningCount_ == 0; }
        void await_suspend(std::coroutine_handle<> h) const { scope.waitingForEnd_.push_back(h); }
        void await_resume() const {}
    };
    AllEnded allEnded{*this};
    co_await allEnded;
}

EventLoop::EventLoop(const Clock& clock)
    : EventLoop(clock, std::make_unique<EpollSocketBackend>()) {}
EventLoop::EventLoop(const Clock& clock, std::unique_ptr<SocketBackend> socketBackend)
    : clock_(clock), socketBackend_(std::move(socketBackend)) {}
EventLoop::~EventLoop() = default;

void EventLoop::spawn(Task<void> task) {
    runDetached(std::move(task));
}

void EventLoop::add(int fd, FdHandler& handler) {
    handlers_[fd] = &handler;
    socketBackend_->watch(fd);
}
void EventLoop::remove(int fd) {
    handlers_.erase(fd);
    socketBackend_->unwatch(fd);
}

bool EventLoop::Wait::await_ready() {
    if (scope->cancelled()) {
        waiter.result = WakeReason::cancelled;
        return true;
    }
    return false;
}
void EventLoop::Wait::await_suspend(std::coroutine_handle<> h) {
    waiter.handle = h;
    waiter.event = event;
    waiter.scope = scope;
    if (event != nullptr) waiter.inEvent = event->waiters_.insert(event->waiters_.end(), &waiter);
    waiter.inScope = scope->waiters_.insert(scope->waiters_.end(), &waiter);
    if (until != TimePoint::max()) {
        waiter.inTimers = loop.timers_.emplace(until, &waiter);
        waiter.timed = true;
    }
}

void EventLoop::wake(detail::Waiter& waiter, WakeReason result) {
    waiter.result = result;
    if (waiter.event != nullptr) waiter.event->waiters_.erase(waiter.inEvent);
    waiter.scope->waiters_.erase(waiter.inScope);
    if (waiter.timed) timers_.erase(waiter.inTimers);
    ready_.push_back(waiter.handle);
}

void EventLoop::fireTimers() {
    const TimePoint t = now();
    while (!timers_.empty() && timers_.begin()->first <= t)
        wake(*timers_.begin()->second, WakeReason::timeout);
}
void EventLoop::runReady() {
    // Only the coroutines that are ready now: those that wake each other must not starve the
    // sockets.
    for (std::size_t n = ready_.size(); n > 0; --n) {
        auto h = ready_.front();
        ready_.pop_front();
        h.resume();
    }
}
bool EventLoop::runOnce(Duration maxWait) {
    // The backend fills it; only the entries that it has written are read.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init)
    std::array<SocketBackend::Ready, 64> events;
    fireTimers();
    bool busy = !ready_.empty();
    runReady();
    if (!ready_.empty())
        maxWait = Duration::zero();
    else if (!timers_.empty())
        maxWait = std::clamp(timers_.begin()->first - now(), Duration::zero(), maxWait);
    const std::size_t n = socketBackend_->wait(events, maxWait);
    for (std::size_t i = 0; i < n; ++i) {
        // A handler that ran earlier in this batch may have removed this one.
        const auto it = handlers_.find(events[i].fd);
        if (it == handlers_.end()) continue;
        busy = true;
        it->second->ready(events[i].readable, events[i].writable);
    }
    return busy || !ready_.empty();
}

void EventLoop::run() {
    while (!stopping_) runOnce(std::chrono::seconds(60));
}

}  // namespace basaltchute
