#pragma once
#include <chrono>
#include <cstdint>

namespace basaltchute {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using WallMillis = std::chrono::milliseconds;  // since the Unix epoch

inline Duration fromSeconds(double s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
inline double toSeconds(Duration d) {
    return std::chrono::duration<double>(d).count();
}

/// The only way the program reads time, so that tests can turn the hands themselves.
class Clock {
  public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual WallMillis wall() const = 0;
};

class SystemClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] WallMillis wall() const override {
        return std::chrono::duration_cast<WallMillis>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

class FakeClock final : public Clock {
  public:
    [[nodiscard]] TimePoint now() const override { return now_; }
    [[nodiscard]] WallMillis wall() const override {
        return std::chrono::duration_cast<WallMillis>(now_.time_since_epoch());
    }
    void advance(Duration d) { now_ += d; }

  private:
    TimePoint now_{std::chrono::hours(1000)};
};

}  // namespace basaltchute
