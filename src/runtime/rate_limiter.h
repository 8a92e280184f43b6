#pragma once
#include <algorithm>

#include "runtime/clock.h"

namespace basaltchute {

/// A token bucket that holds one burst; rates are per second.
class RateLimiter {
  public:
    RateLimiter(double rate, double burst, TimePoint now)
        : rate_(rate), burst_(burst), have_(burst), at_(now) {}
    double available(TimePoint now) {
        have_ = std::min(burst_, have_ + rate_ * toSeconds(now - at_));
        at_ = now;
        return have_;
    }
    [[nodiscard]] double burst() const { return burst_; }
    [[nodiscard]] double rate() const { return rate_; }
    /// Another rate from now on, and a burst in proportion.
    void setRate(double rate, TimePoint now) {
        available(now);
        burst_ *= rate / rate_;
        rate_ = rate;
        have_ = std::min(have_, burst_);
    }
    bool tryTake(TimePoint now, double n = 1) {
        if (available(now) < n) return false;
        have_ -= n;
        return true;
    }
    /// How long until `n` are available.
    Duration timeUntil(TimePoint now, double n = 1) {
        const double lack = n - available(now);
        return lack <= 0 ? Duration::zero() : fromSeconds(lack / rate_);
    }

  private:
    double rate_, burst_, have_;
    TimePoint at_;
};

}  // namespace basaltchute
