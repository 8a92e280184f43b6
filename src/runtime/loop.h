#pragma once
// The event loop on which all coroutines of a process run, in one thread: timers, sockets, events
// and cancellation scopes. Everything that waits does so through EventLoop::wait() or sleep().
#include <coroutine>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "runtime/clock.h"
#include "runtime/socket_backend.h"
#include "runtime/task.h"

namespace basaltchute {

class EventLoop;
class Event;
class Scope;

/// Why a wait ended.
enum class WakeReason { signalled, timeout, cancelled };

namespace detail {
/// A suspended coroutine. It is linked to its scope, and to an event and a timer if it has them;
/// whichever fires first resumes it and removes the other links.
struct Waiter {
    std::coroutine_handle<> handle;
    WakeReason result = WakeReason::signalled;
    Event* event = nullptr;
    Scope* scope = nullptr;
    std::list<Waiter*>::iterator inEvent, inScope;
    std::multimap<TimePoint, Waiter*>::iterator inTimers;
    bool timed = false;
};
}  // namespace detail

/// Wakes the coroutines that wait on it, like a condition variable: a notification without a waiter
/// is lost, so callers check their condition before they wait.
class Event {
  public:
    explicit Event(EventLoop& loop) : loop_(loop) {}
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event();
    void notify();

  private:
    friend class EventLoop;
    EventLoop& loop_;
    std::list<detail::Waiter*> waiters_;
};

/// A cancellation scope of coroutines. When it is cancelled, all waits within it end, and every
/// later wait returns at once with WakeReason::cancelled. It is owned by whatever starts the
/// coroutines.
class Scope {
  public:
    explicit Scope(EventLoop& loop) : loop_(loop) {}
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope();
    void cancel();
    [[nodiscard]] bool cancelled() const { return cancelled_; }
    /// Starts a coroutine that belongs to this scope. The owner of the scope must not free what the
    /// coroutine uses before it has ended.
    void spawn(Task<void> task);
    /// Cancels and waits until every coroutine of the scope has ended. Several callers may wait.
    Task<void> cancelAndWait();

  private:
    friend class EventLoop;
    Task<void> runCounted(Task<void> task);
    EventLoop& loop_;
    bool cancelled_ = false;
    std::size_t runningCount_ = 0;
    std::vector<std::coroutine_handle<>> waitingForEnd_;
    std::list<detail::Waiter*> waiters_;
};

/// Called by the loop when a descriptor is ready.
class FdHandler {
  public:
    virtual ~FdHandler() = default;
    virtual void ready(bool readable, bool writable) = 0;
};

/// Runs coroutines in the calling thread.
class EventLoop {
  public:
    /// Uses the sockets of the operating system.
    explicit EventLoop(const Clock& clock);
    EventLoop(const Clock& clock, std::unique_ptr<SocketBackend> socketBackend);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] TimePoint now() const { return clock_.now(); }
    [[nodiscard]] const Clock& clock() const { return clock_; }
    [[nodiscard]] SocketBackend& socketBackend() { return *socketBackend_; }
    /// When the next timer is due; TimePoint::max() if there is none.
    [[nodiscard]] TimePoint nextTimer() const {
        return timers_.empty() ? TimePoint::max() : timers_.begin()->first;
    }

    /// Runs until stop() is called.
    void run();
    /// Runs due timers, coroutines that are ready, and then the handlers of sockets that are ready.
    /// Waits for sockets for at most `maxWait`. Returns false if there was nothing to do.
    bool runOnce(Duration maxWait);
    void stop() { stopping_ = true; }
    /// Starts a coroutine that nobody awaits. It is destroyed when it ends.
    void spawn(Task<void> task);
    /// Calls the handler whenever the descriptor becomes ready. The handler must outlive remove().
    void add(int fd, FdHandler& handler);
    void remove(int fd);

    /// The awaitable that wait() and sleep() return.
    struct Wait {
        EventLoop& loop;
        Event* event = nullptr;
        TimePoint until{};
        Scope* scope = nullptr;
        detail::Waiter waiter{};
        bool await_ready();
        void await_suspend(std::coroutine_handle<> h);
        WakeReason await_resume() const { return waiter.result; }
    };
    /// Waits until the event is notified, `until` is reached or the scope is cancelled.
    Wait wait(Event& event, TimePoint until, Scope& scope) {
        return {*this, &event, until, &scope};
    }
    Wait sleep(Duration d, Scope& scope) { return {*this, nullptr, now() + d, &scope}; }

    /// Resumes the coroutine in the next round.
    void post(std::coroutine_handle<> h) { ready_.push_back(h); }

  private:
    friend class Event;
    friend class Scope;
    void wake(detail::Waiter& waiter, WakeReason result);
    void fireTimers();
    void runReady();

    const Clock& clock_;
    std::unique_ptr<SocketBackend> socketBackend_;
    bool stopping_ = false;
    std::deque<std::coroutine_handle<>> ready_;
    std::multimap<TimePoint, detail::Waiter*> timers_;
    std::map<int, FdHandler*> handlers_;
};

}  // namespace basaltchute
