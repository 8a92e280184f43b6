#pragma once
// The services of one controller that its APIs share, and the state that all of them read. Owned by
// `Controller`; the APIs hold references to it.
#include <memory>

#include "controller/leader_term.h"
#include "peer_rpc/peer_rpc.h"

namespace basaltchute::controller {

/// What every API of a controller works with. The references outlive the APIs.
struct ControllerContext {
    EventLoop& loop;
    const settings::Settings& settings;
    Scope& scope;  // of everything that this controller runs
    LeaderElection& election;
    peer_rpc::PeerRpc& peers;
    std::shared_ptr<LeaderTerm> term;  // null unless this node leads
    /// When this node last led, was connected to the leader, or received a leader's hello.
    TimePoint leaderSeenAt;
};

}  // namespace basaltchute::controller
