#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/settings/settings.h"
#include "http/client.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::gateway {

/// Client of the controllers' public job API; used by QueueOwner to submit jobs and to poll them.
class ControllerClient {
  public:
    ControllerClient(EventLoop& loop, const Settings& settings, std::uint64_t seed);

    struct SubmitResult {
        /// `undecided`: no controller confirmed the submission in time; it may have been accepted
        /// anyway.
        enum class Kind { accepted, refused, undecided } kind = Kind::undecided;
        std::string text;  // job status, or reason of the refusal
    };
    /// Submits a job and retries, honoring `Retry-After` and with jitter, until there is an answer
    /// or the configured timeout has passed. Repeating a submission with the same ref creates no
    /// second job.
    Task<SubmitResult> submit(std::string body, Scope& scope);

    struct JobState {
        enum class Kind { known, unknown, undecided } kind = Kind::undecided;
        std::string status;
    };
    /// Reads the status of a job once.
    Task<JobState> query(std::string ref, Scope& scope);

    /// Limits the rate of job pollLimiter.
    [[nodiscard]] RateLimiter& pollLimiter() { return pollLimiter_; }
    [[nodiscard]] std::uint64_t retries() const { return retries_; }

  private:
    http::Client& currentNode();
    EventLoop& loop_;
    const Settings& settings_;
    std::vector<std::unique_ptr<http::Client>> nodes_;
    std::size_t nodeIndex_ = 0;
    RateLimiter pollLimiter_;
    std::mt19937_64 random_;
    std::uint64_t retries_ = 0;
};

}  // namespace basaltchute::gateway
