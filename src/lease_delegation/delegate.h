#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "leader_election/leader_election.h"
#include "lease_delegation/delegation_limits.h"

namespace basaltchute::lease_delegation {

/// A holder's question for a delegation: what it holds, and when it last made use of one.
struct DelegationRequest {
    std::string node;
    FencingToken token = 0;    // of the last delegation that it took, and
    std::uint64_t number = 0;  // that delegation's number; 0: none, or one that no leader gave it
    std::chrono::milliseconds sinceUse{};
};
/// A leader's answer. It replaces what the asker holds, also by nothing at all.
struct Delegation {
    FencingToken token = 0;
    std::uint64_t number = 0;              // rises with each answer of a leader; 0: handed on
    std::chrono::milliseconds duration{};  // from when the question was sent; 0: nothing is lent
};

/// The borrower's side: the right to answer the reports of its zone's workers in the leader's
/// name, without orders, while that leader is silent. It is kept in memory only, so that a node
/// that has just started holds none.
class Delegate {
  public:
    /// `startedAt` counts as a use: what the node's former process answered is not known. And as
    /// hearing a leader: what that process told its leader holds for as long as it promised.
    Delegate(DelegationLimits bounds, std::string zone, TimePoint startedAt)
        : bounds_(bounds),
          zone_(std::move(zone)),
          leaderHeardAt_(startedAt),
          lastUsedAt_(startedAt) {}

    /// False if the delegation is longer than any leader may delegate: then it is not taken.
    bool accept(const Delegation& delegation, TimePoint askedAt, TimePoint now);
    /// What a leader lent to itself, once its right has ended: until then it answered by that.
    void retainOwn(FencingToken token, TimePoint until, TimePoint rightEndedAt);
    /// Hands what this node holds on to another one of its zone, which was started again and holds
    /// none: to its end, and only while this node would answer by it. The caller sees to it that
    /// the other is in the zone, and that every leader to come reckons with it.
    [[nodiscard]] std::optional<Delegation> transfer(FencingToken newest, TimePoint now) const;
    /// Takes what another holder of the zone hands on.
    void acceptTransfer(const Delegation& delegation, TimePoint askedAt, TimePoint now);
    /// Long enough without a leader for a delegation to be used, and none is held.
    [[nodiscard]] bool needsDelegation(TimePoint now) const {
        return !isValid(now) && now >= leaderHeardAt_ + bounds_.leaderSilence;
    }
    /// What it holds was handed on: whoever did so knew that every leader to come reckons with it.
    [[nodiscard]] bool wasTransferred() const { return transferred_; }
    /// A leader says something: this one's delegation is not needed, an older one's is over.
    void onLeaderHeard(FencingToken token, TimePoint now);
    /// This node leads.
    void discard() { validUntil_ = TimePoint{}; }
    /// Whether a report from that zone, of a worker that has seen `seen`, may be answered with
    /// token(). To be asked right before the answer is made: it is then a use.
    /// `newest`: the highest token that this node knows of.
    bool mayAnswer(FencingToken seen, const std::string& zone, FencingToken newest, TimePoint now);

    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] bool isValid(TimePoint now) const { return now < validUntil_; }
    [[nodiscard]] DelegationRequest request(const std::string& node, TimePoint now) const;
    [[nodiscard]] Duration sinceUse(TimePoint now) const { return now - lastUsedAt_; }
    /// Answers under the present delegation so far; for the log.
    [[nodiscard]] std::uint64_t answerCount() const { return answerCount_; }

  private:
    DelegationLimits bounds_;
    std::string zone_;
    FencingToken token_ = 0;
    std::uint64_t number_ = 0, answerCount_ = 0;
    TimePoint validUntil_{}, leaderHeardAt_{};
    bool transferred_ = false;
    TimePoint lastUsedAt_;
};

}  // namespace basaltchute::lease_delegation
