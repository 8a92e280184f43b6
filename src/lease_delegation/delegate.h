#pragma once
// Lease delegation: the delegate's side.
//
// An agent runs tasks only while it has a lease. The leader renews that lease when it answers the
// agent's heartbeats. While the leader is silent (during an election, or when a zone is cut off by
// a network partition), another node of the agent's zone may renew the lease in the leader's name:
// it answers with the leader's token and without commands. The leader gives it that right in
// advance and for a limited time, as a *delegation*, and takes the delegation into account when it
// decides which machines are dead and which cancellations are final (see Delegator).
//
// State: at most one delegation, in memory only, so a node that has just started has none. Called
// by the Controller, which sends the requests for delegations and answers the agents.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "lease_delegation/delegation_limits.h"

namespace basaltchute::lease_delegation {

/// A node's request for a delegation. It names the delegation that the node has, and says when the
/// node last answered an agent under a delegation.
struct DelegationRequest {
    std::string node;
    FencingToken token = 0;    // of the last delegation that the node accepted
    std::uint64_t number = 0;  // of that delegation; 0: none, or one that no leader gave directly
    std::chrono::milliseconds timeSinceUse{};
};

/// A leader's answer to a DelegationRequest, or what another delegate transfers. A leader's answer
/// replaces the delegation that the requesting node has, even if it delegates nothing.
struct Delegation {
    FencingToken token = 0;
    std::uint64_t number = 0;              // rises with each answer of a leader; 0: transferred
    std::chrono::milliseconds duration{};  // counted from when the request was sent; 0: none
    /// The last token of the leader's term: agents may have seen any up to it. Lower than `token`
    /// if the leader is of a version that uses one token only.
    FencingToken lastToken = 0;
};

/// The right of one node to answer heartbeats of its zone's agents while the leader is silent.
class Delegate {
  public:
    /// `startedAt` counts as a use, because it is unknown what the node's former process answered.
    /// It also counts as contact with a leader, because what that process last reported to a leader
    /// stays valid for `leaderSilenceTimeout`.
    Delegate(DelegationLimits limits, std::string zone, TimePoint startedAt)
        : limits_(limits),
          zone_(std::move(zone)),
          lastLeaderContact_(startedAt),
          lastUsedAt_(startedAt) {}

    /// Accepts a leader's answer to a request that was sent at `requestedAt`. Returns false, and
    /// changes nothing, if the delegation is longer than any leader may give.
    bool accept(const Delegation& delegation, TimePoint requestedAt, TimePoint now);
    /// Accepts the delegation that this node gave to itself while it led. `leaseEndedAt` is when
    /// its leader's lease ended; until then it answered as the leader.
    void adoptSelfDelegation(FencingToken token, TimePoint until, TimePoint leaseEndedAt);
    /// A copy of this node's delegation, up to its end, for another node of the zone that has
    /// restarted and has none. Empty unless this node itself would answer under the delegation.
    /// `newest` is the highest token that this node knows of. The caller makes sure that the other
    /// node is in this zone and that every future leader takes transfers into account.
    [[nodiscard]] std::optional<Delegation> transfer(FencingToken newest, TimePoint now) const;
    /// Accepts a delegation that another delegate of the zone transfers. Ignored if this node does
    /// not need it or has a better one. `requestedAt` is when this node asked for it.
    void acceptTransfer(const Delegation& delegation, TimePoint requestedAt, TimePoint now);
    /// Whether the leader has been silent for long enough to use a delegation, but this node has no
    /// valid one.
    [[nodiscard]] bool needsDelegation(TimePoint now) const {
        return !isValid(now) && leaderSilent(now);
    }
    /// Whether the current delegation was transferred by another delegate, which knew that every
    /// future leader takes transfers into account.
    [[nodiscard]] bool wasTransferred() const { return transferred_; }
    /// A message of the leader with that token was received. If that leader gave the delegation, it
    /// is not needed for now; if the leader is a newer one, the delegation is over.
    void onLeaderContact(FencingToken token, TimePoint now);
    /// Gives up the delegation because this node now leads.
    void discard() { validUntil_ = TimePoint{}; }
    /// Whether this node may answer, with responseToken(), a heartbeat of an agent in `zone` that
    /// has seen the token `seen`. Call it right before the answer is created: returning true is
    /// recorded as a use. `newest` is the highest token that this node knows of.
    bool tryUse(FencingToken seen, const std::string& zone, FencingToken newest, TimePoint now);

    /// First fencing token of the leader in whose name this node may answer.
    [[nodiscard]] FencingToken token() const { return token_; }
    /// The token that the answer to an agent carries which has seen the token `seen`. The leader
    /// may have raised that agent's token; a lower one would be dropped and renew nothing.
    [[nodiscard]] FencingToken responseToken(FencingToken seen) const {
        return std::max(seen, token_);
    }
    /// Whether the delegation has not expired.
    [[nodiscard]] bool isValid(TimePoint now) const { return now < validUntil_; }
    /// The request that this node, named `node`, is to send now.
    [[nodiscard]] DelegationRequest request(const std::string& node, TimePoint now) const;
    /// Time since this node last answered an agent under a delegation, or since its start.
    [[nodiscard]] Duration timeSinceUse(TimePoint now) const { return now - lastUsedAt_; }
    /// Answers given under the current delegation, for the log.
    [[nodiscard]] std::uint64_t answerCount() const { return answerCount_; }

  private:
    void replace(const Delegation& delegation, TimePoint validUntil, bool transferred);
    [[nodiscard]] bool leaderSilent(TimePoint now) const {
        return now >= lastLeaderContact_ + limits_.leaderSilenceTimeout;
    }

    DelegationLimits limits_;
    std::string zone_;
    FencingToken token_ = 0, lastToken_ = 0;
    std::uint64_t number_ = 0, answerCount_ = 0;
    TimePoint validUntil_{}, lastLeaderContact_{};
    bool transferred_ = false;
    TimePoint lastUsedAt_;
};

}  // namespace basaltchute::lease_delegation
