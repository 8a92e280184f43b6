#include "delegation/delegator.h"

namespace basaltchute::delegation {

Delegator::Delegator(Bounds bounds, FencingToken token, const Node& self, Duration sinceUse,
                     const std::vector<Node>& others, TimePoint electedAt)
    : bounds_(bounds), token_(token), self_(self.name) {
    const TimePoint assumed = electedAt + bounds.longest;
    for (const auto& n : others) holders_[n.name] = {n.zone, assumed, {}, {}, {}};
    // It leads, so it holds none of a former leader's; what it answered before still counts.
    holders_[self.name] = {self.zone, electedAt, TimePoint::max(), electedAt - sinceUse, {}};
}

std::string Delegator::zoneOf(const std::string& node) const {
    const auto it = holders_.find(node);
    return it == holders_.end() ? "" : it->second.zone;
}

Delegation Delegator::asked(const Question& q, TimePoint cap, TimePoint now) {
    const auto it = holders_.find(q.node);
    if (it == holders_.end() || q.node == self_) return {token_, 0, {}};
    Held& h = it->second;
    // Silent for so long that it may have handed on what it held, to whom this leader does not hear
    // either: that one's answers may go on as long as those of the node that is back.
    if (now >= h.clearUntil)
        for (auto& [name, other] : holders_)
            if (name != q.node && name != self_ && other.zone == h.zone && now >= other.clearUntil)
                other.until = std::max(other.until, h.until);
    // However late the question arrives, the use was at least so long before.
    const Duration since = std::max<Duration>(q.sinceUse, Duration::zero());
    h.usedUntil = std::max(h.usedUntil, now - since + Bounds::drift(since) + Bounds::margin);
    if (q.token == token_ && q.number != 0) {
        while (!h.given.empty() && h.given.front().number < q.number) h.given.pop_front();
        if (!h.given.empty() && h.given.front().number == q.number) {
            // It has this delegation, so none of before; and it had not used it when it took it.
            const Duration quiet = bounds_.quiet - Bounds::drift(bounds_.quiet);
            h.clearUntil = std::max(h.clearUntil, h.given.front().at + quiet);
            h.until = TimePoint{};
            for (const auto& g : h.given) h.until = std::max(h.until, g.until);
        }
    }
    const TimePoint until = delegates_ ? std::max(now, std::min(cap, now + bounds_.longest)) : now;
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    h.given.push_back({++numbers_, now, until});
    h.until = std::max(h.until, until);
    return {token_, numbers_, span};
}

TimePoint Delegator::delegateSelf(TimePoint cap, TimePoint now) {
    Held& h = holders_.at(self_);
    h.until = delegates_ ? std::max(now, std::min(cap, now + bounds_.longest)) : now;
    return h.until;
}

TimePoint Delegator::leasesEnd(const std::string& zone, TimePoint now) const {
    TimePoint end{};
    for (const auto& [name, h] : holders_) {
        if (!zone.empty() && h.zone != zone) continue;
        end = std::max(end, h.usedUntil + bounds_.surely());
        // What is told of a holder is as old as its question; it keeps silent for a while after.
        if (now >= h.clearUntil) end = std::max(end, h.until + bounds_.surely());
    }
    return end;
}

TimePoint Delegator::answersEnd(const std::string& zone) const {
    TimePoint end{};
    for (const auto& [name, h] : holders_)
        if (zone.empty() || h.zone == zone) end = std::max(end, h.until);
    return end;
}

}  // namespace basaltchute::delegation
