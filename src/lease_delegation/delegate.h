#pragma once
// Lease delegation, the side of the delegate.
//
// Agents run tasks as long as a leader renews their lease by answering their heartbeats. While the
// leader is silent (an election, a network partition of a zone), another node of the agents' zone
// may renew those leases in the leader's name, with the leader's token and without commands. The
// leader gives it the right in advance, for a limited time (a *delegated lease*), and takes it into
// account when it decides which machines are dead and which cancellations are final (Delegator).
//
// State: at most one delegation, in memory only, so that a node that has just started has none.
// Called by the Controller, which sends the requests and answers the agents.
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "lease_delegation/delegation_limits.h"

namespace basaltchute::lease_delegation {

/// Request of a node for a delegation. It names the one that the node has, and when it last
/// answered an agent by one.
struct DelegationRequest {
    std::string node;
    FencingToken token = 0;    // of the last delegation that the node accepted, and
    std::uint64_t number = 0;  // its number; 0: none, or one that no leader gave directly
    std::chrono::milliseconds timeSinceUse{};
};

/// A leader's answer. It replaces what the delegate has, also by nothing at all.
struct Delegation {
    FencingToken token = 0;
    std::uint64_t number = 0;              // rises with each answer of a leader; 0: transferred
    std::chrono::milliseconds duration{};  // from when the request was sent; 0: none
};

/// The right of one node to answer the heartbeats of its zone's agents while the leader is silent.
class Delegate {
  public:
    /// `startedAt` counts as a use, since what the node's former process answered is not known; and
    /// as contact with a leader, since what that process reported holds for as long as it promised.
    Delegate(DelegationLimits limits, std::string zone, TimePoint startedAt)
        : limits_(limits),
          zone_(std::move(zone)),
          lastLeaderContact_(startedAt),
          lastUsedAt_(startedAt) {}

    /// Takes a leader's answer to a request that was sent at `askedAt`. False if the delegation is
    /// longer than any leader may delegate: then nothing has changed.
    bool accept(const Delegation& delegation, TimePoint askedAt, TimePoint now);
    /// Takes what a leader delegated to its own node, once its lease has ended at `leaseEndedAt`:
    /// until then it answered by that.
    void adoptSelfDelegation(FencingToken token, TimePoint until, TimePoint leaseEndedAt);
    /// Transfers this node's delegation to another node of its zone, which was restarted and has
    /// none: up to its end, and only while this node would answer by it. The caller sees to it that
    /// the other node is in the zone, and that every future leader takes transfers into account.
    [[nodiscard]] std::optional<Delegation> transfer(FencingToken newest, TimePoint now) const;
    /// Takes what another delegate of the zone transfers; ignored if this node has no use for it.
    void acceptTransfer(const Delegation& delegation, TimePoint askedAt, TimePoint now);
    /// Whether the leader has been silent for long enough for a delegation to be used, and there is
    /// none.
    [[nodiscard]] bool needsDelegation(TimePoint now) const {
        return !isValid(now) && leaderSilent(now);
    }
    /// Whether the present delegation was transferred: whoever did so knew that every future leader
    /// takes transfers into account.
    [[nodiscard]] bool wasTransferred() const { return transferred_; }
    /// Something came from the leader with that token. If it is the one that delegated, the
    /// delegation is not needed now; if it is a newer one, the delegation is over.
    void onLeaderContact(FencingToken token, TimePoint now);
    /// Gives up the delegation: this node leads.
    void discard() { validUntil_ = TimePoint{}; }
    /// Whether a heartbeat of an agent in `zone` that has seen the token `seen` may be answered
    /// with token(). Ask right before the answer is made: true counts as a use. `newest`: the
    /// highest token that this node knows of.
    bool tryUse(FencingToken seen, const std::string& zone, FencingToken newest, TimePoint now);

    /// Of the leader in whose name this node may answer.
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] bool isValid(TimePoint now) const { return now < validUntil_; }
    /// The request to send now, in the name of this node.
    [[nodiscard]] DelegationRequest request(const std::string& node, TimePoint now) const;
    [[nodiscard]] Duration timeSinceUse(TimePoint now) const { return now - lastUsedAt_; }
    /// Answers under the present delegation so far; for the log.
    [[nodiscard]] std::uint64_t answerCount() const { return answerCount_; }

  private:
    void replace(FencingToken token, std::uint64_t number, TimePoint validUntil, bool transferred);
    [[nodiscard]] bool leaderSilent(TimePoint now) const {
        return now >= lastLeaderContact_ + limits_.leaderSilenceTimeout;
    }

    DelegationLimits limits_;
    std::string zone_;
    FencingToken token_ = 0;
    std::uint64_t number_ = 0, answerCount_ = 0;
    TimePoint validUntil_{}, lastLeaderContact_{};
    bool transferred_ = false;
    TimePoint lastUsedAt_;
};

}  // namespace basaltchute::lease_delegation
