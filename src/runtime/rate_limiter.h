#pragma once
#include <algorithm>

#include "runtime/clock.h"

namespace basaltchute {

/// A token bucket. It starts full with `burst` tokens and gains `rate` tokens a second.
class RateLimiter {
  public:
    RateLimiter(double rate, double burst, TimePoint now)
        : rate_(rate), burst_(burst), tokens_(burst), updatedAt_(now) {}
    /// The number of tokens in the bucket. Never more than the burst.
    double available(TimePoint now) {
        tokens_ = std::min(burst_, tokens_ + rate_ * toSeconds(now - updatedAt_));
        updatedAt_ = now;
        return tokens_;
    }
    [[nodiscard]] double burst() const { return burst_; }
    [[nodiscard]] double rate() const { return rate_; }
    /// Changes the rate, and the burst in proportion to it.
    void setRate(double rate, TimePoint now) {
        available(now);
        burst_ *= rate / rate_;
        rate_ = rate;
        tokens_ = std::min(tokens_, burst_);
    }
    /// Takes `n` tokens if the bucket has that many. Returns whether it did.
    bool tryTake(TimePoint now, double n = 1) {
        if (available(now) < n) return false;
        tokens_ -= n;
        return true;
    }
    /// How long until `n` tokens are available.
    Duration timeUntil(TimePoint now, double n = 1) {
        const double missing = n - available(now);
        return missing <= 0 ? Duration::zero() : fromSeconds(missing / rate_);
    }

  private:
    double rate_, burst_, tokens_;
    TimePoint updatedAt_;
};

}  // namespace basaltchute
