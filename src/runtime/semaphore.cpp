#include "runtime/semaphore.h"

namespace basaltchute {

Semaphore::Permit Semaphore::tryAcquire() {
    if (free_ == 0) return {};
    --free_;
    return Permit(*this);
}

Task<Semaphore::Permit> Semaphore::acquire(TimePoint until, Scope& scope) {
    if (free_ > 0) co_return tryAcquire();
    Waiter waiter(loop_);
    const auto position = waiters_.insert(waiters_.end(), &waiter);
    co_await loop_.wait(waiter.granted, until, scope);
    // The permit may be granted in the same round in which the wait times out. It belongs to this
    // coroutine then, although the wait reports the timeout.
    if (waiter.hasPermit) co_return Permit(*this);
    waiters_.erase(position);
    co_return Permit();
}

void Semaphore::release() {
    if (waiters_.empty()) {
        ++free_;
        return;
    }
    Waiter& next = *waiters_.front();
    waiters_.pop_front();
    next.hasPermit = true;
    next.granted.notify();
}

}  // namespace basaltchute
