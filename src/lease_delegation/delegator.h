#pragma once
// Lease delegation: the leader's side. delegate.h explains what is delegated.
//
// State: the delegations that this leader gave to each node, and what each node reported about
// using them. From these it determines until when a delegate may renew an agent's lease, and
// therefore from when a silent machine certainly runs no tasks. It is created for each leader term.
// For every node that it has not heard from, it assumes the longest delegation that a former leader
// can have given. Called by LeaderTerm with the requests for delegations, and by the scheduler,
// which asks when leases end.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

/// See the top of this file. All times are by the leader's steady clock.
class Delegator {
  public:
    /// A controller and its zone.
    struct Node {
        std::string name, zone;
    };
    /// `self` is the node that leads, `timeSinceUse` how long ago it last answered under a
    /// delegation itself, and `others` are all other nodes.
    Delegator(DelegationLimits limits, FencingToken token, const Node& self, Duration timeSinceUse,
              const std::vector<Node>& others, TimePoint electedAt);

    /// Answers a request for a delegation. The delegation ends at `cap` at the latest. An unknown
    /// node gets none.
    Delegation handleRequest(const DelegationRequest& request, TimePoint cap, TimePoint now);
    /// Delegates to this node itself, for the time after its leader's lease has ended, and returns
    /// the delegation's end. Called again before a cancellation is acknowledged, so that a new cap
    /// applies at once.
    TimePoint delegateToSelf(TimePoint cap, TimePoint now);

    /// While disabled, nothing is delegated, but earlier delegations still count.
    void setEnabled(bool enabled) { enabled_ = enabled; }
    /// When all agents' leases in the zone that a delegate may have renewed have certainly ended.
    /// An empty zone stands for all zones.
    [[nodiscard]] TimePoint agentLeasesEnd(const std::string& zone, TimePoint now) const;
    /// When the last delegate in the zone has stopped answering, even if this leader falls silent
    /// now. An empty zone stands for all zones.
    [[nodiscard]] TimePoint delegationsEnd(const std::string& zone) const;
    /// The latest time at which the node may answer agents, as far as this leader knows.
    [[nodiscard]] TimePoint delegationEndOf(const std::string& node) const {
        const auto it = delegates_.find(node);
        return it == delegates_.end() ? TimePoint{} : it->second.validUntil;
    }
    [[nodiscard]] const DelegationLimits& limits() const { return limits_; }
    /// Empty for an unknown node.
    [[nodiscard]] std::string zoneOf(const std::string& node) const;

  private:
    /// One answer to a delegate's request.
    struct IssuedDelegation {
        std::uint64_t number = 0;
        TimePoint issuedAt, validUntil;
    };
    /// What is known about one delegate.
    struct DelegateState {
        std::string zone;
        TimePoint validUntil;                 // the latest time at which it may answer
        TimePoint unusedUntil;                // before this time it certainly does not answer
        TimePoint usedUntil;                  // the latest time at which it reported an answer
        std::deque<IssuedDelegation> issued;  // from the last one that it confirmed on
    };
    /// If the delegate was silent, it may have transferred its delegation: extends the assumed
    /// delegations of the zone's other silent nodes.
    void assumeTransfers(const std::string& node, const DelegateState& delegate, TimePoint now);
    /// The delegate reported that it has the delegation with that number.
    void confirmDelegation(DelegateState& delegate, std::uint64_t number) const;
    /// The end of a delegation that is given now.
    [[nodiscard]] TimePoint newDelegationEnd(TimePoint cap, TimePoint now) const;

    DelegationLimits limits_;
    FencingToken token_;
    std::string self_;
    std::uint64_t lastNumber_ = 0;
    bool enabled_ = true;
    std::map<std::string, DelegateState> delegates_;  // by node, including this one
};

}  // namespace basaltchute::lease_delegation
