#include "lease_delegation/delegate.h"

namespace basaltchute::lease_delegation {

bool Delegate::accept(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    if (delegation.duration > bounds_.maxDuration || delegation.duration < Duration::zero())
        return false;
    // An answer that overtook a newer one, or came from a leader that is none any more.
    if (delegation.token < token_ || (delegation.token == token_ && delegation.number <= number_))
        return true;
    token_ = delegation.token;
    number_ = delegation.number;
    answerCount_ = 0;
    transferred_ = false;
    // From when the question left, not from when the answer came: the leader reckons from later.
    validUntil_ = askedAt + delegation.duration - DelegationLimits::maxDrift(delegation.duration);
    leaderHeardAt_ = now;
    return true;
}

void Delegate::retainOwn(FencingToken token, TimePoint until, TimePoint rightEndedAt) {
    if (token < token_) return;
    token_ = token;
    number_ = 0;
    answerCount_ = 0;
    transferred_ = false;
    validUntil_ = until;
    leaderHeardAt_ = rightEndedAt;
}

std::optional<Delegation> Delegate::transfer(FencingToken newest, TimePoint now) const {
    if (newest > token_ || !isValid(now) || now < leaderHeardAt_ + bounds_.leaderSilence)
        return std::nullopt;
    return Delegation{token_, 0,
                      std::chrono::duration_cast<std::chrono::milliseconds>(validUntil_ - now)};
}

void Delegate::acceptTransfer(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    // What a leader gave, even if it is over, says more than what somebody hands on.
    const bool newer = delegation.token > token_ || (delegation.token == token_ && number_ == 0);
    if (delegation.duration > bounds_.maxDuration || !newer || !needsDelegation(now)) return;
    token_ = delegation.token;
    number_ = 0;
    answerCount_ = 0;
    transferred_ = true;
    validUntil_ = askedAt + delegation.duration - DelegationLimits::maxDrift(delegation.duration);
}

void Delegate::onLeaderHeard(FencingToken token, TimePoint now) {
    if (token >= token_) leaderHeardAt_ = now;
    if (token > token_) discard();
}

bool Delegate::mayAnswer(FencingToken seen, const std::string& zone, FencingToken newest,
                         TimePoint now) {
    if (newest > token_) discard();
    // A worker that has seen a higher token would drop the answer, and wait for its lease to end.
    // One that has only seen a lower one has not found the delegator yet, who knows all the same by
    // the records what may run there; and the answer fences what a former leader sent.
    if (zone != zone_ || seen > token_ || now >= validUntil_ ||
        now < leaderHeardAt_ + bounds_.leaderSilence)
        return false;
    lastUsedAt_ = now;
    ++answerCount_;
    return true;
}

DelegationRequest Delegate::request(const std::string& node, TimePoint now) const {
    return {node, token_, number_,
            std::chrono::duration_cast<std::chrono::milliseconds>(now - lastUsedAt_)};
}

}  // namespace basaltchute::lease_delegation
