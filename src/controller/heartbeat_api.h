#pragma once
// The API of workers: answers their heartbeats as the leader, through the leader, or as its
// delegate; a worker that none of these serves is sent to a node that may. Owns no state. Called by
// the HTTP server of `Controller`.
#include "controller/delegate_service.h"
#include "controller/leader_router.h"

namespace basaltchute::controller {

/// Answers heartbeats that workers send to this node.
class HeartbeatApi {
  public:
    HeartbeatApi(ControllerContext& context, LeaderRouter& router, DelegateService& delegate)
        : context_(context), router_(router), delegate_(delegate) {}
    Task<http::Response> handle(http::Request request);

  private:
    /// Relays it to the leader, which the worker itself may not be able to reach.
    Task<http::Response> relay(http::Request request, worker_api::StatusReport report);
    /// This node has no connection to the leader, perhaps together with the worker.
    http::Response answerWithoutLeader(const worker_api::StatusReport& report);
    /// 421: the node that the worker is to send its heartbeats to.
    static http::Response redirectTo(const std::string& node);

    ControllerContext& context_;
    LeaderRouter& router_;
    DelegateService& delegate_;
};

}  // namespace basaltchute::controller
