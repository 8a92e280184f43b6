#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/settings/settings.h"
#include "http/client.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::gateway {

/// The controllers, by the users' interface alone.
class ControllerClient {
  public:
    ControllerClient(EventLoop& loop, const Settings& settings, std::uint64_t seed);

    struct Answer {
        /// `undecided`: nobody took it within the patience; it may have been taken nevertheless.
        enum class Kind { accepted, refused, undecided } kind = Kind::undecided;
        std::string text;  // the job's status, or why it was refused
    };
    /// Submits until there is an answer, by `Retry-After` and with jitter, for the settings'
    /// patience. Repeating a submission under the same ref makes no second job.
    Task<Answer> submit(std::string body, Scope& scope);

    struct State {
        enum class Kind { known, unknown, undecided } kind = Kind::undecided;
        std::string status;
    };
    Task<State> query(std::string ref, Scope& scope);

    /// Polls that may be sent now; what is not at hand is asked later.
    [[nodiscard]] RateLimiter& polls() { return polls_; }
    [[nodiscard]] std::uint64_t retries() const { return retries_; }

  private:
    http::Client& next();
    EventLoop& loop_;
    const Settings& settings_;
    std::vector<std::unique_ptr<http::Client>> nodes_;
    std::size_t at_ = 0;
    RateLimiter polls_;
    std::mt19937_64 random_;
    std::uint64_t retries_ = 0;
};

}  // namespace basaltchute::gateway
