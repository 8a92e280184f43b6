#pragma once
#include <cstddef>
#include <list>
#include <utility>

#include "runtime/loop.h"

namespace basaltchute {

/// Bounds how many routines do something at once; those beyond wait in the order they came.
class Semaphore {
  public:
    Semaphore(EventLoop& loop, std::size_t permits) : loop_(loop), free_(permits) {}
    Semaphore(const Semaphore&) = delete;
    Semaphore& operator=(const Semaphore&) = delete;

    /// The right to go on, given back when it is destroyed. Empty if none was had.
    class Permit {
      public:
        Permit() = default;
        explicit Permit(Semaphore& of) : of_(&of) {}
        Permit(Permit&& other) noexcept : of_(std::exchange(other.of_, nullptr)) {}
        Permit& operator=(Permit&& other) noexcept {
            std::swap(of_, other.of_);
            return *this;
        }
        ~Permit() {
            if (of_ != nullptr) of_->release();
        }
        explicit operator bool() const { return of_ != nullptr; }

      private:
        Semaphore* of_ = nullptr;
    };
    /// Without waiting.
    Permit tryAcquire();
    /// Empty if none becomes free until then, or the scope is cancelled.
    Task<Permit> acquire(TimePoint until, Scope& scope);

  private:
    struct Waiting {
        explicit Waiting(EventLoop& loop) : granted(loop) {}
        Event granted;
        bool has = false;
    };
    void release();

    EventLoop& loop_;
    std::size_t free_;
    std::list<Waiting*> waiting_;
};

}  // namespace basaltchute
