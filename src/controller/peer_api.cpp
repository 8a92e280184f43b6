#include "controller/peer_api.h"

#include <algorithm>

#include "controller/responses.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration storeTimeout = 500ms;  // on behalf of a peer
constexpr Duration agentTimeout = 600ms;  // likewise; less than the peer waits for this node
}  // namespace

PeerApi::PeerApi(ControllerContext& context, LeaderRouter& router, DelegateService& delegate,
                 kv_store::Client& store, std::string incarnation, unsigned storedFormat)
    : context_(context),
      router_(router),
      delegate_(delegate),
      store_(store),
      incarnation_(std::move(incarnation)),
      storedFormat_(storedFormat),
      relayPermits_(context.loop, context.settings.directSockets()) {}

peer_rpc::Hello PeerApi::makeHello() {
    const auto& leader = context_.election.knownLeader();
    const bool connected = leader && context_.peers.connected(leader->node);
    peer_rpc::Hello hello;
    hello.node = context_.settings.node;
    hello.leading = context_.election.leaseValid();
    hello.token = context_.election.token();
    hello.ready = context_.term && context_.term->ready();
    hello.knownLeaderToken = connected ? leader->token : 0;
    hello.supportsDelegations = true;
    hello.supportsTransfers = true;
    hello.incarnation = incarnation_;
    hello.storedFormat = storedFormat_;
    return hello;
}

void PeerApi::helloReceived(const peer_rpc::Hello& hello) {
    if (!hello.leading) {
        followers_.insert(hello.node);
        return;
    }
    followers_.erase(hello.node);
    context_.leaderSeenAt = context_.loop.now();
    context_.election.onLeaderHeard({hello.node, hello.token});
    delegate_.leaderHeard(hello.token);
    const auto& leader = context_.election.knownLeader();
    if (hello.ready && leader && leader->token == hello.token)
        context_.peers.retryPendingAt(hello.node);
}

Task<http::Response> PeerApi::handleRequest(peer_rpc::Purpose purpose, http::Request request,
                                            std::string worker) {
    switch (purpose) {
        case peer_rpc::Purpose::stateService:
            return relayToStore(std::move(request));
        case peer_rpc::Purpose::worker:
            return relayToAgent(std::move(request), std::move(worker));
        case peer_rpc::Purpose::leader:
            break;
    }
    return router_.serveAsLeader(std::move(request));
}

bool PeerApi::handlePledge(const peer_rpc::Pledge& pledge) {
    return context_.election.acceptPledge(pledge.token, pledge.hold);
}

std::optional<lease_delegation::Delegation> PeerApi::handleDelegationRequest(
    const lease_delegation::DelegationRequest& request) {
    if (!context_.term) return delegate_.transferTo(request);
    return context_.term->delegate(request, connectedPeersSupportDelegations());
}

bool PeerApi::connectedPeersSupportDelegations() const {
    // A successor of an older version would know nothing of delegations.
    const auto& peers = context_.settings.peers;
    return std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
        return !context_.peers.connected(peer.name) ||
               context_.peers.supportsDelegations(peer.name);
    });
}

Task<http::Response> PeerApi::relayToAgent(http::Request request, std::string worker) {
    if (request.target != "/commands" && request.target != "/inspect")
        co_return jsonResponse(400, "{}");
    // Not 502: that would count against the machine.
    const auto permit = relayPermits_.tryAcquire();
    if (!permit) co_return errorResponse(500, "no socket to spare");
    http::Client client(context_.loop, worker, 0);
    const TimePoint startedAt = context_.loop.now();
    auto outcome = co_await client.request(std::move(request), agentTimeout, context_.scope);
    if (outcome.answered) co_return std::move(outcome.response);
    if (outcome.sent) co_return relayFailureResponse(peer_rpc::RelayFailure::outcomeUnknown);
    // A node that was itself delayed cannot tell whether the worker was.
    const bool delayed = context_.loop.now() - startedAt > agentTimeout + agentTimeout / 4;
    if (delayed) co_return jsonResponse(500, "{}");
    co_return relayFailureResponse(peer_rpc::RelayFailure::targetUnreachable);
}

Task<http::Response> PeerApi::relayToStore(http::Request request) {
    auto outcome = co_await store_.direct(std::move(request), storeTimeout, context_.scope);
    if (!outcome.answered)
        co_return relayFailureResponse(peer_rpc::RelayFailure::targetUnreachable);
    co_return std::move(outcome.response);
}

}  // namespace basaltchute::controller
