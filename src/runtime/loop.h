#pragma once
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

enum class WakeReason { signalled, timeout, cancelled };

namespace detail {
/// One suspended wait: linked to an event, a scope and a timer, whichever wakes it first.
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

/// Wakes those who wait on it. Not remembered: callers check their condition before waiting.
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

/// A cancellation scope: everything waiting within it is woken when it is cancelled, and
/// every later wait returns at once. Scopes are owned by whoever starts the duty.
class Scope {
  public:
    explicit Scope(EventLoop& loop) : loop_(loop) {}
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;
    ~Scope();
    void cancel();
    [[nodiscard]] bool cancelled() const { return cancelled_; }
    /// Starts a routine that belongs to this scope: it must have ended before the scope's
    /// owner may free what the routine uses.
    void spawn(Task<void> task);
    /// Cancels and waits until every routine of the scope has ended. Several may wait.
    Task<void> cancelAndWait();

  private:
    friend class EventLoop;
    Task<void> counted(Task<void> task);
    EventLoop& loop_;
    bool cancelled_ = false;
    std::size_t live_ = 0;
    std::vector<std::coroutine_handle<>> ending_;
    std::list<detail::Waiter*> waiters_;
};

/// What the loop calls when a descriptor is ready.
class FdHandler {
  public:
    virtual ~FdHandler() = default;
    virtual void ready(bool readable, bool writable) = 0;
};

class EventLoop {
  public:
    /// On the machine that the process runs on.
    explicit EventLoop(const Clock& clock);
    EventLoop(const Clock& clock, std::unique_ptr<SocketBackend> host);
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    [[nodiscard]] TimePoint now() const { return clock_.now(); }
    [[nodiscard]] const Clock& clock() const { return clock_; }
    [[nodiscard]] SocketBackend& socketBackend() { return *socketBackend_; }
    /// When the next timer is due, if nothing else happens.
    [[nodiscard]] TimePoint nextTimer() const {
        return timers_.empty() ? TimePoint::max() : timers_.begin()->first;
    }

    void run();
    /// One round: timers, routines that are ready, then sockets, blocking at most `most`.
    /// Returns false if there was nothing to do.
    bool runOnce(Duration most);
    void stop() { stopping_ = true; }
    /// Starts a routine that nobody awaits; it is destroyed when it ends.
    void spawn(Task<void> task);
    void add(int fd, FdHandler& handler);
    void remove(int fd);

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
    Wait wait(Event& event, TimePoint until, Scope& scope) {
        return {*this, &event, until, &scope};
    }
    Wait sleep(Duration d, Scope& scope) { return {*this, nullptr, now() + d, &scope}; }

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
