#pragma once
// The responses to operators (`GET /status`) and to the load balancer (`GET /up`). Pure functions
// over a view of the node; they change nothing. Called by `Controller`.
#include <optional>
#include <string>

#include "http/message.h"
#include "leader_election/leader_election.h"
#include "scheduler/cluster.h"

namespace basaltchute::controller {

/// What the status page shows of a node.
struct StatusView {
    const std::string& node;
    bool leading = false;
    const std::optional<LeaderHint>& leader;
    std::size_t connections = 0;  // HTTP connections that are open
    /// Null unless this node leads and has loaded all records.
    const scheduler::Cluster* cluster = nullptr;
    std::size_t unwrittenRecords = 0;
    TimePoint now;
};

/// The state of the node, and of its cluster if it leads, as JSON.
http::Response statusResponse(const StatusView& view);

/// What decides whether a node can serve its users.
struct HealthView {
    bool leaderReachable = false;  // it leads, or is connected to the leader
    bool leaderKnown = false;
    bool storeReachable = false;
    bool hasPeers = false;
    bool anyPeerConnected = false;
    Duration sinceLeaderSeen{};
};

/// 200 if the node can serve its users, else 503: the load balancer sends them elsewhere.
http::Response healthResponse(const HealthView& view);

}  // namespace basaltchute::controller
