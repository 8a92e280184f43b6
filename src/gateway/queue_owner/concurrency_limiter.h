#pragma once
#include <algorithm>

#include "runtime/clock.h"

namespace basaltchute::gateway {

/// Limits how many messages of a queue may be in progress before the gateway has taken
/// responsibility for them. The window grows by one step while the oldest of these messages is
/// younger than the target age and is halved otherwise: a shortage of either write budget or
/// controller capacity shows in that age.
class ConcurrencyLimiter {
  public:
    explicit ConcurrencyLimiter(int maxWindow) : maxWindow_(maxWindow), window_(maxWindow) {}
    [[nodiscard]] int window() const { return window_; }
    /// Call once a second. `oldest`: age of the oldest message that is not settled yet.
    void observe(Duration oldest, Duration targetAge) {
        if (oldest > targetAge)
            window_ = std::max(1, window_ / 2);
        else
            window_ = std::min(maxWindow_, window_ + std::max(1, maxWindow_ / 16));
    }

  private:
    int maxWindow_, window_;
};

}  // namespace basaltchute::gateway
