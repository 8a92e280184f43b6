#pragma once
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "delegation/holder.h"

namespace basaltchute::delegation {

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
    Delegator(Bounds bounds, FencingToken token, const Node& self, Duration sinceUse,
              const std::vector<Node>& others, TimePoint electedAt);

    /// A holder's question, and how late its answers may go on: nothing is lent beyond `cap`.
    Delegation asked(const Question& question, TimePoint cap, TimePoint now);
    /// Delegates to this node itself, for the time after its right has ended. Asked again before a
    /// cancellation is told, so that a cap holds at once.
    TimePoint delegateSelf(TimePoint cap, TimePoint now);

    /// Off: nothing is lent, but what was lent still counts.
    void setDelegating(bool delegates) { delegates_ = delegates; }
    /// When a worker of the zone has surely no lease any more that a holder renewed. An empty zone:
    /// in whichever zone it is.
    [[nodiscard]] TimePoint leasesEnd(const std::string& zone, TimePoint now) const;
    /// When the last holder in the zone has stopped answering, even if this leader falls silent
    /// now. An empty zone: as above.
    [[nodiscard]] TimePoint answersEnd(const std::string& zone) const;
    /// How late that node may answer, of what this leader knows.
    [[nodiscard]] TimePoint answersEndOf(const std::string& node) const {
        const auto it = holders_.find(node);
        return it == holders_.end() ? TimePoint{} : it->second.until;
    }
    [[nodiscard]] const Bounds& bounds() const { return bounds_; }
    [[nodiscard]] std::string zoneOf(const std::string& node) const;

  private:
    struct Given {
        std::uint64_t number;
        TimePoint at, until;
    };
    struct Held {
        std::string zone;
        TimePoint until;          // the latest that it may answer, by our clock
        TimePoint clearUntil;     // it surely does not answer before this
        TimePoint usedUntil;      // the latest that it has answered, of what it told
        std::deque<Given> given;  // since the one that it confirmed
    };
    Bounds bounds_;
    FencingToken token_;
    std::string self_;
    std::uint64_t numbers_ = 0;
    bool delegates_ = true;
    std::map<std::string, Held> holders_;  // with this node
};

}  // namespace basaltchute::delegation
