#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

/// The leader's side: what it lent to whom, and what follows for the leases of a zone's workers.
/// Built anew with each term, it assumes of every node that it has not heard the longest delegation
/// that a former leader can have given.
class Delegator {
  public:
    struct Node {
        std::string name, zone;
    };
    /// `self`: the node that leads; `sinceUse`: how long ago it last answered by a delegation
    /// itself.
    Delegator(DelegationLimits bounds, FencingToken token, const Node& self, Duration sinceUse,
              const std::vector<Node>& others, TimePoint electedAt);

    /// A holder's question, and how late its answers may go on: nothing is lent beyond `cap`.
    Delegation handleRequest(const DelegationRequest& question, TimePoint cap, TimePoint now);
    /// Delegates to this node itself, for the time after its right has ended. Asked again before a
    /// cancellation is told, so that a cap holds at once.
    TimePoint delegateSelf(TimePoint cap, TimePoint now);

    /// Off: nothing is lent, but what was lent still counts.
    void setEnabled(bool delegates) { enabled_ = delegates; }
    /// When a worker of the zone has surely no lease any more that a holder renewed. An empty zone:
    /// in whichever zone it is.
    [[nodiscard]] TimePoint agentLeasesEnd(const std::string& zone, TimePoint now) const;
    /// When the last holder in the zone has stopped answering, even if this leader falls silent
    /// now. An empty zone: as above.
    [[nodiscard]] TimePoint delegationsEnd(const std::string& zone) const;
    /// How late that node may answer, of what this leader knows.
    [[nodiscard]] TimePoint delegationEndOf(const std::string& node) const {
        const auto it = delegates_.find(node);
        return it == delegates_.end() ? TimePoint{} : it->second.until;
    }
    [[nodiscard]] const DelegationLimits& bounds() const { return bounds_; }
    [[nodiscard]] std::string zoneOf(const std::string& node) const;

  private:
    struct Given {
        std::uint64_t number;
        TimePoint at, until;
    };
    struct Held {
        std::string zone;
        TimePoint until;           // the latest that it may answer, by our clock
        TimePoint unusedUntil;     // it surely does not answer before this
        TimePoint usedUntil;       // the latest that it has answered, of what it told
        std::deque<Given> issued;  // since the one that it confirmed
    };
    DelegationLimits bounds_;
    FencingToken token_;
    std::string self_;
    std::uint64_t lastNumber_ = 0;
    bool enabled_ = true;
    std::map<std::string, Held> delegates_;  // with this node
};

}  // namespace basaltchute::lease_delegation
