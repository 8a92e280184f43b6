#pragma once
#include <cstddef>
#include <list>
#include <utility>

#include "runtime/loop.h"

namespace basaltchute {

/// A counting semaphore for coroutines. Those that find no free permit wait for one, first come,
/// first served.
class Semaphore {
  public:
    Semaphore(EventLoop& loop, std::size_t permits) : loop_(loop), free_(permits) {}
    Semaphore(const Semaphore&) = delete;
    Semaphore& operator=(const Semaphore&) = delete;

    /// A permit that is released when it is destroyed. Converts to false if it is empty, which
    /// means that none could be acquired.
    class Permit {
      public:
        Permit() = default;
        explicit Permit(Semaphore& semaphore) : semaphore_(&semaphore) {}
        Permit(Permit&& other) noexcept : semaphore_(std::exchange(other.semaphore_, nullptr)) {}
        Permit& operator=(Permit&& other) noexcept {
            std::swap(semaphore_, other.semaphore_);
            return *this;
        }
        ~Permit() {
            if (semaphore_ != nullptr) semaphore_->release();
        }
        explicit operator bool() const { return semaphore_ != nullptr; }

      private:
        Semaphore* semaphore_ = nullptr;
    };
    /// Returns a permit if one is free, or an empty one. Does not wait.
    Permit tryAcquire();
    /// Waits for a permit. Returns an empty one if none becomes free before `until`, or the scope
    /// is cancelled.
    Task<Permit> acquire(TimePoint until, Scope& scope);

  private:
    struct Waiter {
        explicit Waiter(EventLoop& loop) : granted(loop) {}
        Event granted;
        bool hasPermit = false;
    };
    void release();

    EventLoop& loop_;
    std::size_t free_;
    std::list<Waiter*> waiters_;
};

}  // namespace basaltchute
