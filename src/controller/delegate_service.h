#pragma once
// The delegate's side of lease delegation (`lease_delegation::Delegate`), as a running service: it
// renews this node's delegation with the leader, takes one over from another node of its zone after
// a restart within a partition, and answers heartbeats in the name of a leader that is silent.
// Owns the delegation that this node holds. Called by `Controller` and its worker and peer APIs.
#include <optional>

#include "controller/context.h"

namespace basaltchute::controller {

/// Holds this node's delegated lease and uses it while the leader is unresponsive.
class DelegateService {
  public:
    explicit DelegateService(ControllerContext& context);
    /// Renews the delegation for as long as the controller runs and another node leads.
    Task<void> run();
    /// Answers a heartbeat in the name of a leader that is silent. Empty if this node may not.
    std::optional<http::Response> answer(const worker_api::StatusReport& report);
    /// A delegation for a node of this zone that holds none, as long as its leader is silent; empty
    /// if this node may not transfer its own.
    std::optional<lease_delegation::Delegation> transferTo(
        const lease_delegation::DelegationRequest& request);
    /// A leader with that token has said hello.
    void leaderHeard(FencingToken token) { delegate_.onLeaderHeard(token, context_.loop.now()); }
    /// How long ago this node last answered as a delegate.
    [[nodiscard]] Duration sinceUse() const { return delegate_.sinceUse(context_.loop.now()); }
    /// This node leads: whatever it holds is void.
    void discard() { delegate_.discard(); }
    /// This node's term has ended: it keeps what it delegated to itself.
    void retainOwn(FencingToken token, TimePoint until) {
        delegate_.retainOwn(token, until, context_.loop.now());
    }

  private:
    /// The leader to ask, if it is another node that is connected and knows of delegations.
    [[nodiscard]] std::optional<LeaderHint> delegatingLeader() const;
    Task<void> renewWith(LeaderHint leader);
    /// Asks the other nodes of the zone for theirs: this one was restarted within a partition.
    Task<void> requestTransfer();
    /// Asks one of them; true if this node holds a delegation now.
    Task<bool> requestTransferFrom(std::string node);
    [[nodiscard]] FencingToken knownToken() const;

    ControllerContext& context_;
    lease_delegation::Delegate delegate_;
    bool answering_ = false;  // answers as a delegate, as last logged
};

}  // namespace basaltchute::controller
