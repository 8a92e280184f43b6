#pragma once
#include <algorithm>

#include "runtime/clock.h"

namespace basaltchute::gateway {

/// How many messages of a queue may be on their way to custody. Grows by one step while the oldest
/// of them is young and halves while it is not: whatever is scarce, the write budget or the
/// controllers, shows in that age.
class ConcurrencyLimiter {
  public:
    explicit ConcurrencyLimiter(int most) : most_(most), window_(most) {}
    [[nodiscard]] int window() const { return window_; }
    /// Once a second. `oldest`: age of the oldest message that is not in custody yet.
    void observe(Duration oldest, Duration aim) {
        if (oldest > aim)
            window_ = std::max(1, window_ / 2);
        else
            window_ = std::min(most_, window_ + std::max(1, most_ / 16));
    }

  private:
    int most_, window_;
};

}  // namespace basaltchute::gateway
