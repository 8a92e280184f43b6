#pragma once
// Lease delegation, the side of the leader; delegate.h explains what is delegated.
//
// State: what this leader delegated to each node and what each node said of its use. Answers from
// it until when a delegate may renew an agent's lease, and so when a machine that is silent is
// surely free of tasks. Built anew with each term: of every node that it has not heard from it
// assumes the longest delegation that a former leader can have given. Called by LeaderTerm for the
// requests, and by the scheduler for the ends of leases.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

/// See the top of this file. All times are by the leader's steady clock.
class Delegator {
  public:
    struct Node {  // a controller and its zone
        std::string name, zone;
    };
    /// `self`: the node that leads; `timeSinceUse`: how long ago it last answered by a delegation
    /// itself; `others`: every other node.
    Delegator(DelegationLimits limits, FencingToken token, const Node& self, Duration timeSinceUse,
              const std::vector<Node>& others, TimePoint electedAt);

    /// Answers a request. Nothing is delegated beyond `cap`.
    Delegation handleRequest(const DelegationRequest& request, TimePoint cap, TimePoint now);
    /// Delegates to this node itself, for the time after its own lease has ended; returns until
    /// when. Called again before a cancellation is acknowledged, so that a cap holds at once.
    TimePoint delegateToSelf(TimePoint cap, TimePoint now);

    /// If not enabled, nothing is delegated, but what was delegated still counts.
    void setEnabled(bool enabled) { enabled_ = enabled; }
    /// When an agent of the zone surely has no lease any more that a delegate renewed. An empty
    /// zone: an agent of any zone.
    [[nodiscard]] TimePoint agentLeasesEnd(const std::string& zone, TimePoint now) const;
    /// When the last delegate in the zone has stopped answering, even if this leader falls silent
    /// now. An empty zone: in any zone.
    [[nodiscard]] TimePoint delegationsEnd(const std::string& zone) const;
    /// The latest that the node may answer agents, as far as this leader knows.
    [[nodiscard]] TimePoint delegationEndOf(const std::string& node) const {
        const auto it = delegates_.find(node);
        return it == delegates_.end() ? TimePoint{} : it->second.validUntil;
    }
    [[nodiscard]] const DelegationLimits& limits() const { return limits_; }
    /// Empty for an unknown node.
    [[nodiscard]] std::string zoneOf(const std::string& node) const;

  private:
    struct IssuedDelegation {  // one answer to a delegate
        std::uint64_t number = 0;
        TimePoint issuedAt, validUntil;
    };
    struct DelegateState {  // what is known of one delegate
        std::string zone;
        TimePoint validUntil;                 // the latest that it may answer
        TimePoint unusedUntil;                // it surely does not answer before this
        TimePoint usedUntil;                  // the latest that it has answered, by what it said
        std::deque<IssuedDelegation> issued;  // since the one that it confirmed
    };
    /// A delegate that was silent may have transferred what it had; see the definition.
    void assumeTransfers(const std::string& node, const DelegateState& delegate, TimePoint now);
    /// The delegate has the delegation of that number.
    void confirm(DelegateState& delegate, std::uint64_t number) const;
    /// The end of a delegation that is made now.
    [[nodiscard]] TimePoint newEnd(TimePoint cap, TimePoint now) const;

    DelegationLimits limits_;
    FencingToken token_;
    std::string self_;
    std::uint64_t lastNumber_ = 0;
    bool enabled_ = true;
    std::map<std::string, DelegateState> delegates_;  // by node, this one included
};

}  // namespace basaltchute::lease_delegation
