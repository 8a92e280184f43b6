#include "controller/heartbeat_api.h"

#include "controller/responses.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration relayTimeout = 3s;  // a worker drops what comes after 4 s
}  // namespace

Task<http::Response> HeartbeatApi::handle(http::Request request) {
    auto report = worker_api::parseStatusReport(request.body);
    if (!report) co_return malformedReportResponse();
    if (context_.term) {
        auto response = router_.answerHeartbeat(*context_.term, *report);
        if (response) co_return std::move(*response);
    }
    const auto leader = context_.election.knownLeader();
    if (!leader || leader->node == context_.settings.node ||
        !context_.peers.connected(leader->node))
        co_return answerWithoutLeader(*report);
    auto response = co_await relay(std::move(request), std::move(*report));
    co_return response;
}

Task<http::Response> HeartbeatApi::relay(http::Request request, worker_api::StatusReport report) {
    auto forwarded = co_await router_.forwardToLeader(std::move(request), relayTimeout);
    // A leader whose lease has ended is there, and refuses: that is no more use to a worker than
    // silence.
    if (forwarded.response && forwarded.response->status != 503)
        co_return std::move(*forwarded.response);
    co_return delegate_.answer(report).value_or(noLeaderResponse());
}

http::Response HeartbeatApi::answerWithoutLeader(const worker_api::StatusReport& report) {
    // Another node may be connected to the leader and reachable for the worker as well.
    const auto leader = context_.election.knownLeader();
    const std::string relay = leader ? context_.peers.peerConnectedTo(leader->token) : "";
    if (!relay.empty() && relay != leader->node) return redirectTo(relay);
    if (relay.empty()) {
        if (auto response = delegate_.answer(report)) return std::move(*response);
        if (!leader || leader->node == context_.settings.node) return noLeaderResponse();
    }
    std::string node = leader->node;
    for (const auto& peer : context_.settings.peers)
        if (peer.name != leader->node && context_.peers.connected(peer.name)) node = peer.name;
    return redirectTo(node);
}

http::Response HeartbeatApi::redirectTo(const std::string& node) {
    json::Out out;
    out.open().field("steward", node).close();
    return {421, out.text()};
}

}  // namespace basaltchute::controller
