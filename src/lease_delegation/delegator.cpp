#include "lease_delegation/delegator.h"

namespace basaltchute::lease_delegation {

Delegator::Delegator(DelegationLimits bounds, FencingToken token, const Node& self,
                     Duration sinceUse, const std::vector<Node>& others, TimePoint electedAt)
    : bounds_(bounds), token_(token), self_(self.name) {
    const TimePoint assumed = electedAt + bounds.maxDuration;
    for (const auto& n : others) delegates_[n.name] = {n.zone, assumed, {}, {}, {}};
    // It leads, so it holds none of a former leader's; what it answered before still counts.
    delegates_[self.name] = {self.zone, electedAt, TimePoint::max(), electedAt - sinceUse, {}};
}

std::string Delegator::zoneOf(const std::string& node) const {
    const auto it = delegates_.find(node);
    return it == delegates_.end() ? "" : it->second.zone;
}

Delegation Delegator::handleRequest(const DelegationRequest& q, TimePoint cap, TimePoint now) {
    const auto it = delegates_.find(q.node);
    if (it == delegates_.end() || q.node == self_) return {token_, 0, {}};
    Held& h = it->second;
    // Silent for so long that it may have handed on what it held, to whom this leader does not hear
    // either: that one's answers may go on as long as those of the node that is back.
    if (now >= h.unusedUntil)
        for (auto& [name, other] : delegates_)
            if (name != q.node && name != self_ && other.zone == h.zone && now >= other.unusedUntil)
                other.until = std::max(other.until, h.until);
    // However late the question arrives, the use was at least so long before.
    const Duration since = std::max<Duration>(q.sinceUse, Duration::zero());
    h.usedUntil = std::max(
        h.usedUntil, now - since + DelegationLimits::maxDrift(since) + DelegationLimits::margin);
    if (q.token == token_ && q.number != 0) {
        while (!h.issued.empty() && h.issued.front().number < q.number) h.issued.pop_front();
        if (!h.issued.empty() && h.issued.front().number == q.number) {
            // It has this delegation, so none of before; and it had not used it when it took it.
            const Duration quiet =
                bounds_.leaderSilence - DelegationLimits::maxDrift(bounds_.leaderSilence);
            h.unusedUntil = std::max(h.unusedUntil, h.issued.front().at + quiet);
            h.until = TimePoint{};
            for (const auto& g : h.issued) h.until = std::max(h.until, g.until);
        }
    }
    const TimePoint until =
        enabled_ ? std::max(now, std::min(cap, now + bounds_.maxDuration)) : now;
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    h.issued.push_back({++lastNumber_, now, until});
    h.until = std::max(h.until, until);
    return {token_, lastNumber_, span};
}

TimePoint Delegator::delegateSelf(TimePoint cap, TimePoint now) {
    Held& h = delegates_.at(self_);
    h.until = enabled_ ? std::max(now, std::min(cap, now + bounds_.maxDuration)) : now;
    return h.until;
}

TimePoint Delegator::agentLeasesEnd(const std::string& zone, TimePoint now) const {
    TimePoint end{};
    for (const auto& [name, h] : delegates_) {
        if (!zone.empty() && h.zone != zone) continue;
        end = std::max(end, h.usedUntil + bounds_.leaseUpperBound());
        // What is told of a holder is as old as its question; it keeps silent for a while after.
        if (now >= h.unusedUntil) end = std::max(end, h.until + bounds_.leaseUpperBound());
    }
    return end;
}

TimePoint Delegator::delegationsEnd(const std::string& zone) const {
    TimePoint end{};
    for (const auto& [name, h] : delegates_)
        if (zone.empty() || h.zone == zone) end = std::max(end, h.until);
    return end;
}

}  // namespace basaltchute::lease_delegation
