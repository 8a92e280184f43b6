#pragma once
// Answers the other controllers: their hellos, the requests that they forward or have this node
// relay, and their requests for pledges and delegations. Owns what it learnt from hellos. Called by
// `peer_rpc::PeerRpc`.
#include <set>

#include "controller/delegate_service.h"
#include "controller/leader_router.h"
#include "runtime/semaphore.h"

namespace basaltchute::controller {

/// What this node says and does for its peers.
class PeerApi final : public peer_rpc::PeerRequestHandler {
  public:
    /// `incarnation`: of this process. `storedFormat`: the newest format of the stored state that
    /// this node admits to.
    PeerApi(ControllerContext& context, LeaderRouter& router, DelegateService& delegate,
            kv_store::Client& store, std::string incarnation, unsigned storedFormat);

    peer_rpc::Hello makeHello() override;
    void helloReceived(const peer_rpc::Hello& hello) override;
    Task<http::Response> handleRequest(peer_rpc::Purpose purpose, http::Request request,
                                       std::string worker) override;
    bool handlePledge(const peer_rpc::Pledge& pledge) override;
    std::optional<lease_delegation::Delegation> handleDelegationRequest(
        const lease_delegation::DelegationRequest& request) override;

    /// Whether that node has said, since this process started, that it does not lead.
    [[nodiscard]] bool isKnownFollower(const std::string& node) const {
        return followers_.contains(node);
    }

  private:
    Task<http::Response> relayToStore(http::Request request);
    Task<http::Response> relayToAgent(http::Request request, std::string worker);
    [[nodiscard]] bool connectedPeersSupportDelegations() const;

    ControllerContext& context_;
    LeaderRouter& router_;
    DelegateService& delegate_;
    kv_store::Client& store_;
    std::string incarnation_;
    unsigned storedFormat_;
    Semaphore relayPermits_;           // requests to workers that peers have this node relay
    std::set<std::string> followers_;  // nodes that said since this one started not to lead
};

}  // namespace basaltchute::controller
