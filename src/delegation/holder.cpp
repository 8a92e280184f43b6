#include "delegation/holder.h"

namespace basaltchute::delegation {

bool Holder::take(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    if (delegation.span > bounds_.longest || delegation.span < Duration::zero()) return false;
    // An answer that overtook a newer one, or came from a leader that is none any more.
    if (delegation.token < token_ || (delegation.token == token_ && delegation.number <= number_))
        return true;
    token_ = delegation.token;
    number_ = delegation.number;
    used_ = 0;
    handedOn_ = false;
    // From when the question left, not from when the answer came: the leader reckons from later.
    until_ = askedAt + delegation.span - Bounds::drift(delegation.span);
    heardAt_ = now;
    return true;
}

void Holder::keep(FencingToken token, TimePoint until, TimePoint rightEndedAt) {
    if (token < token_) return;
    token_ = token;
    number_ = 0;
    used_ = 0;
    handedOn_ = false;
    until_ = until;
    heardAt_ = rightEndedAt;
}

std::optional<Delegation> Holder::handOn(FencingToken newest, TimePoint now) const {
    if (newest > token_ || !holds(now) || now < heardAt_ + bounds_.quiet) return std::nullopt;
    return Delegation{token_, 0,
                      std::chrono::duration_cast<std::chrono::milliseconds>(until_ - now)};
}

void Holder::takeOn(const Delegation& delegation, TimePoint askedAt, TimePoint now) {
    // What a leader gave, even if it is over, says more than what somebody hands on.
    const bool newer = delegation.token > token_ || (delegation.token == token_ && number_ == 0);
    if (delegation.span > bounds_.longest || !newer || !wants(now)) return;
    token_ = delegation.token;
    number_ = 0;
    used_ = 0;
    handedOn_ = true;
    until_ = askedAt + delegation.span - Bounds::drift(delegation.span);
}

void Holder::heard(FencingToken token, TimePoint now) {
    if (token >= token_) heardAt_ = now;
    if (token > token_) drop();
}

bool Holder::answer(FencingToken seen, const std::string& zone, FencingToken newest,
                    TimePoint now) {
    if (newest > token_) drop();
    // A worker that has seen a higher token would drop the answer, and wait for its lease to end.
    // One that has only seen a lower one has not found the delegator yet, who knows all the same by
    // the records what may run there; and the answer fences what a former leader sent.
    if (zone != zone_ || seen > token_ || now >= until_ || now < heardAt_ + bounds_.quiet)
        return false;
    lastUse_ = now;
    ++used_;
    return true;
}

Question Holder::question(const std::string& node, TimePoint now) const {
    return {node, token_, number_,
            std::chrono::duration_cast<std::chrono::milliseconds>(now - lastUse_)};
}

}  // namespace basaltchute::delegation
