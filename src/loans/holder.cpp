#include "loans/holder.h"

namespace basaltchute::loans {

bool Holder::take(const Loan& loan, TimePoint askedAt, TimePoint now) {
    if (loan.span > terms_.longest || loan.span < Duration::zero()) return false;
    // An answer that overtook a newer one, or came from a leader that is none any more.
    if (loan.token < token_ || (loan.token == token_ && loan.number <= number_)) return true;
    token_ = loan.token;
    number_ = loan.number;
    used_ = 0;
    handedOn_ = false;
    // From when the question left, not from when the answer came: the leader reckons from later.
    until_ = askedAt + loan.span - Terms::drift(loan.span);
    heardAt_ = now;
    return true;
}

void Holder::keep(Token token, TimePoint until, TimePoint rightEndedAt) {
    if (token < token_) return;
    token_ = token;
    number_ = 0;
    used_ = 0;
    handedOn_ = false;
    until_ = until;
    heardAt_ = rightEndedAt;
}

std::optional<Loan> Holder::handOn(Token newest, TimePoint now) const {
    if (newest > token_ || !holds(now) || now < heardAt_ + terms_.quiet) return std::nullopt;
    return Loan{token_, 0, std::chrono::duration_cast<std::chrono::milliseconds>(until_ - now)};
}

void Holder::takeOn(const Loan& loan, TimePoint askedAt, TimePoint now) {
    // What a leader gave, even if it is over, says more than what somebody hands on.
    const bool newer = loan.token > token_ || (loan.token == token_ && number_ == 0);
    if (loan.span > terms_.longest || !newer || !wants(now)) return;
    token_ = loan.token;
    number_ = 0;
    used_ = 0;
    handedOn_ = true;
    until_ = askedAt + loan.span - Terms::drift(loan.span);
}

void Holder::heard(Token token, TimePoint now) {
    if (token >= token_) heardAt_ = now;
    if (token > token_) drop();
}

bool Holder::answer(Token seen, const std::string& zone, Token newest, TimePoint now) {
    if (newest > token_) drop();
    // A worker that has seen a higher token would drop the answer, and wait for its lease to end.
    // One that has only seen a lower one has not found the lender yet, who knows all the same by
    // the records what may run there; and the answer fences what a former leader sent.
    if (zone != zone_ || seen > token_ || now >= until_ || now < heardAt_ + terms_.quiet)
        return false;
    lastUse_ = now;
    ++used_;
    return true;
}

Question Holder::question(const std::string& node, TimePoint now) const {
    return {node, token_, number_,
            std::chrono::duration_cast<std::chrono::milliseconds>(now - lastUse_)};
}

}  // namespace basaltchute::loans
