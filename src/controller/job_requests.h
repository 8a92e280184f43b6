#pragma once
// Answers users' requests about jobs from a leader's term. Guarantees that no job is called
// accepted, cancelled or done before that is durable in the state service. Owns no state. Called by
// `LeaderTerm`.
#include "controller/term_effects.h"
#include "http/message.h"

namespace basaltchute::controller {

/// Submits, queries and cancels jobs. Each gives 503 with Retry-After while the term is not ready
/// or the state service does not confirm in time.
class JobRequests {
  public:
    JobRequests(LeaderTermContext& context, TermEffects& effects)
        : context_(context), effects_(effects) {}
    /// 201 if the job is accepted by this request, 200 if it was before, 400 if the body is
    /// malformed, 422 if the job can never run.
    Task<http::Response> submit(std::string body);
    /// 200 with the job's status, 404 if there is no such job.
    Task<http::Response> query(JobId id);
    /// 200 once the cancellation may be acknowledged or the job is done, 404 if there is none.
    Task<http::Response> cancel(JobId id);
    /// 503, with a Retry-After (in seconds) by which the records that wait may be written.
    [[nodiscard]] http::Response serviceUnavailable() const;

  private:
    /// Takes a job that is not known yet into the cluster; otherwise the response that refuses it.
    Task<std::optional<http::Response>> admit(const JobSpec& spec);
    /// The response that refuses a job for its dependencies; empty if they allow it.
    Task<std::optional<http::Response>> checkDependencies(const JobSpec& spec);
    /// Waits until a fact is durable in the state service; false if it cannot be soon.
    template <typename Fact>
    Task<bool> waitUntilDurable(Fact fact);

    LeaderTermContext& context_;
    TermEffects& effects_;
};

}  // namespace basaltchute::controller
