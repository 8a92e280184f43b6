#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "runtime/loop.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::gateway {

/// The order in which an instance's duties spend its budget of writes. Left to whoever asks at the
/// right moment, some queue's ledger waited ten times as long as the others, and a block of refs
/// or a claim of a queue as long as anybody wrote.
class WriteLimiter {
  public:
    WriteLimiter(EventLoop& loop, RateLimiter& writes) : loop_(loop), writes_(writes) {}

    /// Asked again and again by who wants to write: how many writes it may spend now of those that
    /// are `available`, 0 until there is one for it and one for each that is due before. Who has
    /// stopped asking loses its place. `slack`: how much later than work that is asked for now
    /// this may be done.
    double tryAcquire(std::uint64_t who, Duration slack, double available) {
        return enter(who, loop_.now() + slack, available, 1);
    }

    /// Waits for its turn, ahead of all that pass, and takes `n` writes, which a burst must hold.
    /// False once the scope is cancelled.
    Task<bool> acquire(double n, Scope& scope) {
        const std::uint64_t who = nextOwn_++;
        const TimePoint due = loop_.now() - ahead;
        while (!scope.cancelled()) {
            if (enter(who, due, writes_.available(loop_.now()), n) > 0) {
                writes_.tryTake(loop_.now(), n);
                co_return true;
            }
            co_await loop_.sleep(again, scope);
        }
        co_return false;
    }

  private:
    static constexpr Duration again = std::chrono::milliseconds(50);
    static constexpr Duration waitTimeout = 4 * again, ahead = std::chrono::minutes(1);
    struct WaitingEntry {
        std::uint64_t who = 0;
        TimePoint due{}, asked{};
    };
    double enter(std::uint64_t who, TimePoint due, double available, double n) {
        const TimePoint now = loop_.now();
        std::erase_if(waiting_, [&](const WaitingEntry& p) { return now - p.asked > waitTimeout; });
        const auto place = std::find_if(waiting_.begin(), waiting_.end(),
                                        [&](const WaitingEntry& p) { return p.who == who; });
        if (place == waiting_.end()) {
            waiting_.push_back({who, due, now});
        } else {
            place->asked = now;
            place->due = std::min(place->due, due);
        }
        std::stable_sort(
            waiting_.begin(), waiting_.end(),
            [](const WaitingEntry& a, const WaitingEntry& b) { return a.due < b.due; });
        const auto mine = std::find_if(waiting_.begin(), waiting_.end(),
                                       [&](const WaitingEntry& p) { return p.who == who; });
        // Whoever is due before may not ask again for a while: what it needs is left for it.
        const auto before = static_cast<double>(mine - waiting_.begin());
        if (available < before + n) return 0;
        waiting_.erase(mine);
        return available - before;
    }

    EventLoop& loop_;
    RateLimiter& writes_;
    std::vector<WaitingEntry> waiting_;                // what is due first goes first
    std::uint64_t nextOwn_ = std::uint64_t{1} << 63U;  // apart from the serials of queue owners
};

}  // namespace basaltchute::gateway
