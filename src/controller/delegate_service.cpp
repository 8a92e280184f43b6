#include "controller/delegate_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration delegationRefreshInterval = 500ms;
constexpr Duration delegationTimeout = 1s;
}  // namespace

DelegateService::DelegateService(ControllerContext& context)
    : context_(context),
      delegate_(lease_delegation::DelegationLimits::from(context.settings), context.settings.zone,
                context.loop.now()) {}

Task<void> DelegateService::run() {
    while (!context_.scope.cancelled()) {
        if (auto leader = delegatingLeader()) co_await renewWith(std::move(*leader));
        if (!context_.term && delegate_.needsDelegation(context_.loop.now()))
            co_await requestTransfer();
        co_await context_.loop.sleep(delegationRefreshInterval, context_.scope);
    }
}

std::optional<LeaderHint> DelegateService::delegatingLeader() const {
    const auto& leader = context_.election.knownLeader();
    const bool follows = !context_.term && leader && leader->node != context_.settings.node;
    if (!follows || !context_.peers.supportsDelegations(leader->node) ||
        !context_.peers.connected(leader->node))
        return std::nullopt;
    return leader;
}

Task<void> DelegateService::renewWith(LeaderHint leader) {
    const TimePoint askedAt = context_.loop.now();
    auto request = delegate_.request(context_.settings.node, askedAt);
    const auto delegation = co_await context_.peers.requestDelegation(
        leader.node, std::move(request), delegationTimeout, context_.scope);
    // This node may lead by now.
    if (!delegation || context_.term) co_return;
    if (!delegate_.accept(*delegation, askedAt, context_.loop.now()))
        spdlog::error("delegation rejected reason=longer-than-maximum leader={} duration_s={}",
                      leader.node, toSeconds(delegation->duration));
    if (std::exchange(answering_, false))
        spdlog::info("heartbeats no longer answered as delegate reason=leader-responsive zone={}",
                     context_.settings.zone);
}

Task<void> DelegateService::requestTransfer() {
    for (const auto& peer : context_.settings.peers) {
        if (peer.zone != context_.settings.zone || !context_.peers.connected(peer.name)) continue;
        const bool valid = co_await requestTransferFrom(peer.name);
        if (valid) co_return;
    }
}

Task<bool> DelegateService::requestTransferFrom(std::string node) {
    const TimePoint askedAt = context_.loop.now();
    auto request = delegate_.request(context_.settings.node, askedAt);
    const auto delegation = co_await context_.peers.requestDelegation(
        node, std::move(request), delegationTimeout, context_.scope);
    // A number other than 0 is a leader's answer, not a transfer.
    if (!delegation || delegation->number != 0 || context_.term) co_return false;
    delegate_.acceptTransfer(*delegation, askedAt, context_.loop.now());
    if (!delegate_.isValid(context_.loop.now())) co_return false;
    spdlog::info("delegation transferred from={} token={}", node, delegation->token);
    co_return true;
}

std::optional<lease_delegation::Delegation> DelegateService::transferTo(
    const lease_delegation::DelegationRequest& request) {
    const auto& settings = context_.settings;
    const bool sameZone = std::any_of(
        settings.peers.begin(), settings.peers.end(),
        [&](const auto& peer) { return peer.name == request.node && peer.zone == settings.zone; });
    // This node may have been restarted itself and have heard nobody outside of the partition.
    const bool everyLeaderKnows =
        delegate_.wasTransferred() || context_.peers.allSupportTransfers();
    if (!sameZone || !everyLeaderKnows) return std::nullopt;
    return delegate_.transfer(knownToken(), context_.loop.now());
}

std::optional<http::Response> DelegateService::answer(const worker_api::StatusReport& report) {
    if (context_.term) return std::nullopt;
    if (!delegate_.mayAnswer(report.token, report.zone, knownToken(), context_.loop.now()))
        return std::nullopt;
    if (!std::exchange(answering_, true))
        spdlog::warn("heartbeats answered as delegate reason=leader-unresponsive zone={} token={}",
                     context_.settings.zone, delegate_.token());
    return http::Response{200, worker_api::encodeHeartbeatResponse(delegate_.token(), {})};
}

FencingToken DelegateService::knownToken() const {
    const auto& leader = context_.election.knownLeader();
    return leader ? leader->token : 0;
}

}  // namespace basaltchute::controller
