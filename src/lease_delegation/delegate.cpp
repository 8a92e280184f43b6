#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

namespace {
/// When the delegation ends. Counted from when the request was sent, not from when the answer
/// arrived: the leader counts from a later time, so the delegate stops first.
TimePoint expiryOf(const Delegation& delegation, TimePoint requestedAt) {
    return requestedAt + delegation.duration - DelegationLimits::maxClockDrift(delegation.duration);
}
}  // namespace

void Delegate::replace(const Delegation& delegation, TimePoint validUntil, bool transferred) {
    token_ = delegation.token;
    lastToken_ = std::max(delegation.token, delegation.lastToken);
    number_ = delegation.number;
    validUntil_ = validUntil;
    transferred_ = transferred;
    answerCount_ = 0;
}

bool Delegate::accept(const Delegation& delegation, TimePoint requestedAt, TimePoint now) {
    if (delegation.duration > limits_.maxDuration || delegation.duration < Duration::zero())
        return false;
    // A newer answer arrived before this one, or the sender no longer leads.
    if (delegation.token < token_ || (delegation.token == token_ && delegation.number <= number_))
        return true;
    replace(delegation, expiryOf(delegation, requestedAt), false);
    lastLeaderContact_ = now;
    return true;
}

void Delegate::adoptSelfDelegation(FencingToken token, TimePoint until, TimePoint leaseEndedAt) {
    if (token < token_) return;
    replace({token, 0, {}, lastTokenOfTerm(token)}, until, false);
    lastLeaderContact_ = leaseEndedAt;
}

std::optional<Delegation> Delegate::transfer(FencingToken newest, TimePoint now) const {
    if (newest > token_ || !isValid(now) || !leaderSilent(now)) return std::nullopt;
    return Delegation{token_, 0,
                      std::chrono::duration_cast<std::chrono::milliseconds>(validUntil_ - now),
                      lastToken_};
}

void Delegate::acceptTransfer(const Delegation& delegation, TimePoint requestedAt, TimePoint now) {
    // A delegation that a leader gave directly takes precedence over a transferred one, even if it
    // has ended.
    const bool newer = delegation.token > token_ || (delegation.token == token_ && number_ == 0);
    if (delegation.duration > limits_.maxDuration || !newer || !needsDelegation(now)) return;
    replace({delegation.token, 0, {}, delegation.lastToken}, expiryOf(delegation, requestedAt),
            true);
}

void Delegate::onLeaderContact(FencingToken token, TimePoint now) {
    if (token >= token_) lastLeaderContact_ = now;
    if (token > token_) discard();
}

bool Delegate::tryUse(FencingToken seen, const std::string& zone, FencingToken newest,
                      TimePoint now) {
    if (newest > token_) discard();
    // An agent that has seen a higher token would discard the answer and wait for its lease to end.
    // An agent that has seen only lower tokens has not found the delegating leader yet. It may be
    // answered: the delegating leader knows from the records what may run there, and the answer
    // fences off whatever a former leader sent.
    if (zone != zone_ || seen > lastToken_ || !isValid(now) || !leaderSilent(now)) return false;
    lastUsedAt_ = now;
    ++answerCount_;
    return true;
}

DelegationRequest Delegate::request(const std::string& node, TimePoint now) const {
    return {node, token_, number_,
            std::chrono::duration_cast<std::chrono::milliseconds>(now - lastUsedAt_)};
}

}  // namespace basaltchute::lease_delegation
