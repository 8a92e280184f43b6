#pragma once
// The API of users: submits, queries and cancels jobs through the leader, on any node.
// Guarantees that what a user reads of a job is never older than what another user read through
// this node before. Called by the HTTP server of `Controller`.
#include <unordered_map>

#include "controller/leader_router.h"
#include "jobs/codec.h"

namespace basaltchute::controller {

/// Answers the requests of users.
class UserApi {
  public:
    UserApi(ControllerContext& context, LeaderRouter& router)
        : context_(context), router_(router) {}
    /// Any request with a path of its own API, or with a path that does not exist.
    Task<http::Response> handle(http::Request request);

  private:
    /// A linearizable read or write at the leader: repeated if what came back may be older than
    /// what users were told since it was asked.
    Task<http::Response> askLeader(http::Request request, JobId job);
    /// Raises the newest known state of the job in every request about it that is under way.
    void recordJobState(const JobId& job, jobs::JobState state);

    ControllerContext& context_;
    LeaderRouter& router_;
    /// The requests that are under way, by job, each with the newest state of its job that passed
    /// through this node since it was sent.
    std::unordered_multimap<JobId, jobs::JobState*> requestsInFlight_;
};

}  // namespace basaltchute::controller
