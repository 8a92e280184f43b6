#include "runtime/semaphore.h"

namespace basaltchute {

Semaphore::Permit Semaphore::tryAcquire() {
    if (free_ == 0) return {};
    --free_;
    return Permit(*this);
}

Task<Semaphore::Permit> Semaphore::acquire(TimePoint until, Scope& scope) {
    if (free_ > 0) co_return tryAcquire();
    Waiting me(loop_);
    const auto place = waiting_.insert(waiting_.end(), &me);
    co_await loop_.wait(me.granted, until, scope);
    // Granted in the same round in which the wait timed out: it is this routine's all the same.
    if (me.has) co_return Permit(*this);
    waiting_.erase(place);
    co_return Permit();
}

void Semaphore::release() {
    if (waiting_.empty()) {
        ++free_;
        return;
    }
    Waiting& next = *waiting_.front();
    waiting_.pop_front();
    next.has = true;
    next.granted.notify();
}

}  // namespace basaltchute
