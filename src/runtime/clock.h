#pragma once
#include <chrono>
#include <cstdint>

namespace basaltchute {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallMillis = std::chrono::milliseconds;  // since the Unix epoch

inline Duration fromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
inline double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

/// The only way in which the code reads the time, so that tests can control it.
class Clock {
  public:
    virtual ~Clock() = default;
    /// Monotonic time, for measuring intervals.
    [[nodiscard]] virtual TimePoint now() const = 0;
    /// Wall clock time. May jump, and differs between machines.
    [[nodiscard]] virtual WallMillis wall() const = 0;
};

/// Reads the clocks of the operating system.
class SystemClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] WallMillis wall() const override {
        return std::chrono::duration_cast<WallMillis>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

/// A clock for tests, which moves only when told to.
class FakeClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override { return now_; }
    [[nodiscard]] WallMillis wall() const override {
        return std::chrono::duration_cast<WallMillis>(now_.time_since_epoch());
    }
    void advance(Duration duration) { now_ += duration; }

  private:
    TimePoint now_{std::chrono::hours(1000)};
};

}  // namespace basaltchute
