#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "runtime/loop.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::gateway {

/// Orders the writes of an instance that share one rate limit. Without an order, writers that
/// happened to ask at the right moment won: the journal of some queue waited ten times as long as
/// the others, and the reservation of job refs or the claim of a queue waited as long as anybody
/// else wrote.
class WriteLimiter {
  public:
    WriteLimiter(EventLoop& loop, RateLimiter& writes) : loop_(loop), writes_(writes) {}

    /// Polled by a writer that wants to write. Returns how many of the `available` writes it may
    /// use now, or 0 until there is one for it and one for each earlier request. A requester that
    /// stops polling loses its place. `slack`: how much later than a request made now without slack
    /// this one may be served.
    double tryAcquire(std::uint64_t requester, Duration slack, double available) {
        return requestTurn(requester, loop_.now() + slack, available, 1);
    }

    /// Waits, ahead of all `tryAcquire` requests, until `count` writes are available and consumes
    /// them. `count` must not exceed the burst size. Returns false once the scope is cancelled.
    Task<bool> acquire(double count, Scope& scope) {
        const std::uint64_t requester = nextAcquireId_++;
        const TimePoint due = loop_.now() - acquireHeadStart;
        while (!scope.cancelled()) {
            if (requestTurn(requester, due, writes_.available(loop_.now()), count) > 0) {
                writes_.tryTake(loop_.now(), count);
                co_return true;
            }
            co_await loop_.sleep(retryInterval, scope);
        }
        co_return false;
    }

  private:
    static constexpr Duration retryInterval = std::chrono::milliseconds(50);
    static constexpr Duration requestTimeout = 4 * retryInterval;
    static constexpr Duration acquireHeadStart = std::chrono::minutes(1);
    struct WaitingEntry {
        std::uint64_t requester = 0;
        TimePoint due{}, lastRequest{};
    };
    double requestTurn(std::uint64_t requester, TimePoint due, double available, double count) {
        const TimePoint now = loop_.now();
        std::erase_if(waiting_, [&](const WaitingEntry& entry) {
            return now - entry.lastRequest > requestTimeout;
        });
        const auto isRequester = [&](const WaitingEntry& entry) {
            return entry.requester == requester;
        };
        const auto known = std::find_if(waiting_.begin(), waiting_.end(), isRequester);
        if (known == waiting_.end()) {
            waiting_.push_back({requester, due, now});
        } else {
            known->lastRequest = now;
            known->due = std::min(known->due, due);
        }
        std::stable_sort(
            waiting_.begin(), waiting_.end(),
            [](const WaitingEntry& a, const WaitingEntry& b) { return a.due < b.due; });
        const auto position = std::find_if(waiting_.begin(), waiting_.end(), isRequester);
        // Earlier requesters may poll again only later: one write stays available for each.
        const auto earlierRequests = static_cast<double>(position - waiting_.begin());
        if (available < earlierRequests + count) return 0;
        waiting_.erase(position);
        return available - earlierRequests;
    }

    EventLoop& loop_;
    RateLimiter& writes_;
    std::vector<WaitingEntry> waiting_;  // ordered by due time
    // Distinct from the serial numbers of queue owners, which identify them in `tryAcquire`.
    std::uint64_t nextAcquireId_ = std::uint64_t{1} << 63U;
};

}  // namespace basaltchute::gateway
