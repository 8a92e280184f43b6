#include "controller/controller.h"

#include <algorithm>

#include "controller/responses.h"
#include "controller/status_page.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration pledgeTimeout = 500ms;
constexpr Duration absentAfter = 8s;  // then a node's version is not waited for
constexpr Duration resignationTime = 100ms;
}  // namespace

Controller::Controller(EventLoop& loop, settings::Settings settings,
                       settings::Operator operatorSettings, const std::string& incarnation)
    : loop_(loop),
      settings_(std::move(settings)),
      operator_(std::move(operatorSettings)),
      scope_(loop),
      store_(loop, settings_),
      context_{loop_, settings_, scope_, election_, peers_, nullptr, loop.now()},
      router_(context_),
      delegate_(context_),
      peerApi_(context_, router_, delegate_, store_, incarnation,
               std::min(LeaderElection::knownFormat, operator_.storedFormat)),
      userApi_(context_, router_),
      heartbeatApi_(context_, router_, delegate_),
      election_(
          loop, store_, settings_, incarnation,
          {[this](FencingToken, kv_store::Precondition guard) { startTerm(std::move(guard)); },
           [this] { return endTerm(); },
           [this](FencingToken token, Duration hold, const std::set<std::string>& absent) {
               return pledgeAll(token, hold, absent);
           },
           [this](const std::string& node) { return peerApi_.isKnownFollower(node); },
           [this](Duration span) { return peers_.nodesSilentFor(span); }}),
      peers_(loop, settings_, peerApi_),
      server_(
          loop, settings_.listen, http::ServerLimits{settings_.servedSockets()},
          [this](http::Request request) { return handleRequest(std::move(request)); }, classify) {
    if (settings_.peers.empty()) return;
    store_.setRelay([this](http::Request request, Duration timeout, Scope& scope) {
        return peers_.relayToStore(std::move(request), timeout, scope);
    });
}

void Controller::start() {
    peers_.start(scope_);
    server_.start(scope_);
    scope_.spawn(election_.run(scope_));
    if (!settings_.peers.empty()) scope_.spawn(delegate_.run());
}

Task<void> Controller::shutDown() {
    election_.resignForGood();
    // Leave the resignation a moment to reach the state service: the next leader need not wait.
    Scope pause(loop_);
    co_await loop_.sleep(resignationTime, pause);
    co_await abandon();
    loop_.stop();
}

void Controller::startTerm(kv_store::Precondition guard) {
    LeaderTermEnvironment& environment = *this;
    context_.term =
        std::make_shared<LeaderTerm>(loop_, settings_, operator_, store_, election_,
                                     std::move(guard), delegate_.sinceUse(), environment);
    delegate_.discard();
    context_.term->start();
    peers_.announce();
}

Task<void> Controller::endTerm() {
    const auto term = std::exchange(context_.term, nullptr);
    delegate_.retainOwn(election_.token(), term->delegatedToSelf());
    peers_.announce();
    co_await term->end();
}

Task<bool> Controller::pledgeAll(FencingToken token, Duration hold,
                                 const std::set<std::string>& absent) {
    const auto holdMs = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
    return peers_.pledgeAll({token, holdMs}, absent, pledgeTimeout, scope_);
}

Task<worker_api::CommandSender::RelayedOutcome> Controller::relayToAgent(
    worker_api::CommandSender::Target target, http::Request request, Duration timeout,
    Scope& scope) {
    auto relayed = co_await peers_.relayToAgent(std::move(target.zone), std::move(target.address),
                                                std::move(request), timeout, scope);
    co_return worker_api::CommandSender::RelayedOutcome{std::move(relayed.outcome),
                                                        relayed.sameZone, relayed.failure};
}

void Controller::recordsLoaded() {
    // Requests that wait for the former leader come here now.
    peers_.announce();
    peers_.retryPendingAt(settings_.node);
}

bool Controller::peerConnected(const std::string& node) const {
    return peers_.connected(node);
}

bool Controller::allSupportFormat(unsigned format) const {
    return peers_.allSupportFormat(format, absentAfter);
}

http::ConnectionClass Controller::classify(const http::Request& request) {
    return request.target == heartbeatPath ? http::ConnectionClass::agent
                                           : http::ConnectionClass::client;
}

Task<http::Response> Controller::handleRequest(http::Request request) {
    if (request.target == "/up") {
        if (request.method != "GET") co_return jsonResponse(405, "{}");
        co_return health();
    }
    if (request.target == heartbeatPath) {
        if (request.method != "POST") co_return jsonResponse(405, "{}");
        auto response = co_await heartbeatApi_.handle(std::move(request));
        co_return response;
    }
    if (request.target == "/status") {
        if (request.method != "GET") co_return jsonResponse(405, "{}");
        co_return status();
    }
    auto response = co_await userApi_.handle(std::move(request));
    co_return response;
}

http::Response Controller::health() {
    const auto& leader = election_.knownLeader();
    HealthView view;
    view.leaderReachable = election_.leaseValid() || (leader && peers_.connected(leader->node));
    view.leaderKnown = leader.has_value();
    view.storeReachable = election_.storeReachable();
    view.hasPeers = !settings_.peers.empty();
    view.anyPeerConnected =
        std::any_of(settings_.peers.begin(), settings_.peers.end(),
                    [&](const auto& peer) { return peers_.connected(peer.name); });
    if (view.leaderReachable) context_.leaderSeenAt = loop_.now();
    view.sinceLeaderSeen = loop_.now() - context_.leaderSeenAt;
    return healthResponse(view);
}

http::Response Controller::status() const {
    const auto& term = context_.term;
    const bool loaded = term && term->loaded();
    return statusResponse({settings_.node, election_.leaseValid(), election_.knownLeader(),
                           server_.connections(), loaded ? &term->cluster() : nullptr,
                           loaded ? term->backlog() : 0, loop_.now()});
}

}  // namespace basaltchute::controller
