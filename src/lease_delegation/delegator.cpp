#include "lease_delegation/delegator.h"

namespace basaltchute::lease_delegation {

Delegator::Delegator(DelegationLimits limits, FencingToken token, const Node& self,
                     Duration timeSinceUse, const std::vector<Node>& others, TimePoint electedAt)
    : limits_(limits), token_(token), self_(self.name) {
    const TimePoint assumedEnd = electedAt + limits.maxDuration;
    for (const auto& node : others) delegates_[node.name] = {node.zone, assumedEnd, {}, {}, {}};
    // This node leads, so it has no delegation of a former leader. But the answers that it gave
    // under an earlier delegation still count.
    delegates_[self.name] = {self.zone, electedAt, TimePoint::max(), electedAt - timeSinceUse, {}};
}

std::string Delegator::zoneOf(const std::string& node) const {
    const auto it = delegates_.find(node);
    return it == delegates_.end() ? "" : it->second.zone;
}

TimePoint Delegator::newDelegationEnd(TimePoint cap, TimePoint now) const {
    return enabled_ ? std::max(now, std::min(cap, now + limits_.maxDuration)) : now;
}

void Delegator::assumeTransfers(const std::string& node, const DelegateState& delegate,
                                TimePoint now) {
    // The delegate was silent for so long that it may have transferred its delegation to another
    // silent node of the zone. That node may then answer for as long as the returning delegate.
    if (now < delegate.unusedUntil) return;
    for (auto& [name, other] : delegates_)
        if (name != node && name != self_ && other.zone == delegate.zone &&
            now >= other.unusedUntil)
            other.validUntil = std::max(other.validUntil, delegate.validUntil);
}

void Delegator::confirmDelegation(DelegateState& delegate, std::uint64_t number) const {
    auto& issued = delegate.issued;
    while (!issued.empty() && issued.front().number < number) issued.pop_front();
    if (issued.empty() || issued.front().number != number) return;
    // The delegate has this delegation, so it has no earlier one. And it accepted this one in
    // contact with the leader, so it cannot use it before the leader's silence has lasted long
    // enough.
    const Duration unused = limits_.leaderSilenceTimeout -
                            DelegationLimits::maxClockDrift(limits_.leaderSilenceTimeout);
    delegate.unusedUntil = std::max(delegate.unusedUntil, issued.front().issuedAt + unused);
    delegate.validUntil = TimePoint{};
    for (const auto& delegation : issued)
        delegate.validUntil = std::max(delegate.validUntil, delegation.validUntil);
}

Delegation Delegator::handleRequest(const DelegationRequest& request, TimePoint cap,
                                    TimePoint now) {
    const auto it = delegates_.find(request.node);
    if (it == delegates_.end() || request.node == self_)
        return {token_, 0, {}, lastTokenOfTerm(token_)};
    DelegateState& delegate = it->second;
    assumeTransfers(request.node, delegate, now);
    // However late the request arrives, the last use was at least `timeSinceUse` before now.
    const Duration timeSinceUse = std::max<Duration>(request.timeSinceUse, Duration::zero());
    delegate.usedUntil = std::max(
        delegate.usedUntil, now - timeSinceUse + DelegationLimits::maxClockDrift(timeSinceUse) +
                                DelegationLimits::safetyMargin);
    if (request.token == token_ && request.number != 0) confirmDelegation(delegate, request.number);
    const TimePoint end = newDelegationEnd(cap, now);
    delegate.issued.push_back({++lastNumber_, now, end});
    delegate.validUntil = std::max(delegate.validUntil, end);
    return {token_, lastNumber_, std::chrono::duration_cast<std::chrono::milliseconds>(end - now),
            lastTokenOfTerm(token_)};
}

TimePoint Delegator::delegateToSelf(TimePoint cap, TimePoint now) {
    DelegateState& self = delegates_.at(self_);
    self.validUntil = newDelegationEnd(cap, now);
    return self.validUntil;
}

TimePoint Delegator::agentLeasesEnd(const std::string& zone, TimePoint now) const {
    TimePoint end{};
    for (const auto& [name, delegate] : delegates_) {
        if (!zone.empty() && delegate.zone != zone) continue;
        end = std::max(end, delegate.usedUntil + limits_.leaseUpperBound());
        // A delegate's report is as old as its request, but until `unusedUntil` it certainly does
        // not answer.
        if (now >= delegate.unusedUntil)
            end = std::max(end, delegate.validUntil + limits_.leaseUpperBound());
    }
    return end;
}

TimePoint Delegator::delegationsEnd(const std::string& zone) const {
    TimePoint end{};
    for (const auto& [name, delegate] : delegates_)
        if (zone.empty() || delegate.zone == zone) end = std::max(end, delegate.validUntil);
    return end;
}

}  // namespace basaltchute::lease_delegation
