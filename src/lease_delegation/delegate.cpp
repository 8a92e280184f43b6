#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

namespace {
/// Counted from when the request left, not from when the answer came: the leader counts from later.
TimePoint endOf(const Delegation& delegation, TimePoint askedAt) {
    return askedAt + delegation.duration - DelegationLimits::maxClockDrift(delegation.duration);
}
}  // namespace

void Delegate::replace(FencingToken token, std::uint64_t number, TimePoint validUntil,
                       bool transferred) {
    token_ = token;
    number_ = number;
    validUntil_ = validUntil;
    transferred_ = transferred;
    answerCount_ = 0;
}

bool Delegate::accept(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    if (delegation.duration > limits_.maxDuration || delegation.duration < Duration::zero())
        return false;
    // An answer that overtook a newer one, or came from a node that leads no more.
    if (delegation.token < token_ || (delegation.token == token_ && delegation.number <= number_))
        return true;
    replace(delegation.token, delegation.number, endOf(delegation, askedAt), false);
    lastLeaderContact_ = now;
    return true;
}

void Delegate::adoptSelfDelegation(FencingToken token, TimePoint until, TimePoint leaseEndedAt) {
    if (token < token_) return;
    replace(token, 0, until, false);
    lastLeaderContact_ = leaseEndedAt;
}

std::optional<Delegation> Delegate::transfer(FencingToken newest, TimePoint now) const {
    if (newest > token_ || !isValid(now) || !leaderSilent(now)) return std::nullopt;
    return Delegation{token_, 0,
                      std::chrono::duration_cast<std::chrono::milliseconds>(validUntil_ - now)};
}

void Delegate::acceptTransfer(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    // What a leader gave, even if it is over, says more than what another delegate transfers.
    const bool newer = delegation.token > token_ || (delegation.token == token_ && number_ == 0);
    if (delegation.duration > limits_.maxDuration || !newer || !needsDelegation(now)) return;
    replace(delegation.token, 0, endOf(delegation, askedAt), true);
}

void Delegate::onLeaderContact(FencingToken token, TimePoint now) {
    if (token >= token_) lastLeaderContact_ = now;
    if (token > token_) discard();
}

bool Delegate::tryUse(FencingToken seen, const std::string& zone, FencingToken newest,
                      TimePoint now) {
    if (newest > token_) discard();
    // An agent that has seen a higher token would drop the answer, and wait for its lease to end.
    // One that has only seen a lower one has not found the delegating leader yet, who knows all the
    // same by the records what may run there; and the answer fences what a former leader sent.
    if (zone != zone_ || seen > token_ || !isValid(now) || !leaderSilent(now)) return false;
    lastUsedAt_ = now;
    ++answerCount_;
    return true;
}

DelegationRequest Delegate::request(const std::string& node, TimePoint now) const {
    return {node, token_, number_,
            std::chrono::duration_cast<std::chrono::milliseconds>(now - lastUsedAt_)};
}

}  // namespace basaltchute::lease_delegation
