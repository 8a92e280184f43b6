#pragma once
// Takes a request to whoever leads: answers it from this node's own term, or forwards it to the
// leader that this node knows of. Owns no state. Called by the user, worker and peer APIs.
#include <optional>

#include "controller/context.h"

namespace basaltchute::controller {

/// Routes requests to the leader, be it this node or another.
class LeaderRouter {
  public:
    explicit LeaderRouter(ControllerContext& context) : context_(context) {}

    /// What came of forwarding a request.
    struct ForwardResult {
        std::optional<http::Response> response;  // empty: none arrived in time
        bool relayed = false;  // answered by another node: as old as the request may be
    };
    /// Has the leader answer the request; once more if another node takes over meanwhile.
    Task<ForwardResult> forwardToLeader(http::Request request, Duration timeout);
    /// Answers a user's call or a heartbeat from this node's term: 503 if it does not lead or is
    /// not ready, also if that ends while the request waits.
    Task<http::Response> serveAsLeader(http::Request request);
    /// Answers a heartbeat as the leader. Empty if this node may not act, or learns by the report
    /// that it may not: a worker that has seen a higher token makes it step down.
    std::optional<http::Response> answerHeartbeat(LeaderTerm& term,
                                                  const worker_api::StatusReport& report);

  private:
    http::Response serveHeartbeat(LeaderTerm& term, const std::string& body);

    ControllerContext& context_;
};

}  // namespace basaltchute::controller
