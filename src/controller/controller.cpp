#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/machine_status.h"
#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {

const std::string jobsPath = "/v1/jobs";
const std::string heartbeatPath = "/agent/beat";
const std::string machineStatusPrefix = "/status/";  // followed by the name of the machine
constexpr Duration pledgeTimeout = 500ms;
constexpr Duration peerStoreTimeout = 500ms;  // of a request relayed to the state service
/// Timeout of a request relayed to an agent; shorter than the time that the peer waits for this
/// node.
constexpr Duration peerCommandTimeout = 600ms;
/// A peer that has been silent for this long cannot prevent a new format of the stored state,
/// whatever version it runs.
constexpr Duration absentPeerTimeout = 8s;
constexpr Duration userRequestTimeout = 4s;  // users wait for 5 s
/// If a relayed response about a job that may still change can be older than this, the request is
/// sent again.
constexpr Duration maxResponseAge = 1s;
/// How long no leader can be reached before this node reports that it cannot serve users.
constexpr Duration leaderLossTolerance = 4s;
constexpr Duration resignationDelay = 100ms;  // for the resignation to reach the state service
constexpr Duration delegationInterval = 500ms, delegationTimeout = 1s;
constexpr Duration heartbeatForwardTimeout = 3s;  // agents ignore a response after 4 s
constexpr std::size_t maxShownJobs = 100, maxShownDependencies = 5;  // in the status response

http::Response jsonResponse(int status, const char* body) {
    return {status, body};
}
http::Response malformedReportResponse() {
    return jsonResponse(400, R"({"error":"malformed report"})");
}
http::Response noLeaderResponse() {
    http::Response response = jsonResponse(503, R"({"error":"no leader at the moment"})");
    response.retryAfterS = 1;
    return response;
}

/// A user's request, by its method and path.
struct UserRequest {
    enum class Action {
        unknownPath,
        submit,
        query,
        cancel,
        wrongMethod
    } action = Action::unknownPath;
    JobId id;
};
UserRequest parseUserRequest(const http::Request& request) {
    using Action = UserRequest::Action;
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == jobsPath)
        return {request.method == "POST" ? Action::submit : Action::wrongMethod, ""};
    if (!path.starts_with(jobsPath + '/')) return {};
    const std::string rest = path.substr(jobsPath.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string::npos)
        return {request.method == "GET" ? Action::query : Action::wrongMethod, rest};
    if (rest.substr(slash) != "/withdraw") return {};
    return {request.method == "POST" ? Action::cancel : Action::wrongMethod, rest.substr(0, slash)};
}

/// Writes the jobs that wait for dependencies: for each, its unfinished dependencies and its slack,
/// the time by which its release may be delayed without missing its deadline.
void writeBlockedJobs(json::Writer& out, const scheduler::Cluster& cluster, TimePoint now) {
    out.field("held", static_cast<std::uint64_t>(cluster.blockedJobs().size()))
        .key("waiting")
        .openArray();
    std::size_t jobs = 0;
    for (const Job* job : cluster.blockedJobs()) {
        if (jobs++ >= maxShownJobs) break;
        out.open().field("ref", job->spec.id).key("for").openArray();
        std::size_t needs = 0;
        for (const auto& id : cluster.dependencyGraph().unfinishedDependencies(job->spec.id))
            if (needs++ < maxShownDependencies) out.value(id);
        out.closeArray().field("needs", static_cast<std::uint64_t>(needs));
        if (const auto slack = cluster.slack(*job, now)) out.field("slackS", toSeconds(*slack));
        out.close();
    }
    out.closeArray();
}

}  // namespace

Controller::Controller(EventLoop& loop, settings::Settings settings,
                       settings::OperatorSettings operatorSettings, const std::string& incarnation)
    : loop_(loop),
      settings_(std::move(settings)),
      operatorSettings_(std::move(operatorSettings)),
      scope_(loop),
      store_(loop, settings_),
      election_(loop, store_, settings_, incarnation, *this, *this),
      peers_(
          loop, settings_,
          {.makeHello =
               [this, incarnation] {
                   const auto known = election_.knownLeader();
                   const bool connectedToLeader = known && peers_.connected(known->node);
                   return peer_rpc::Hello{
                       .node = settings_.node,
                       .leading = election_.leaseValid(),
                       .token = election_.token(),
                       .ready = term_ && term_->ready(),
                       .knownLeaderToken = connectedToLeader ? known->token : 0,
                       .supportsDelegations = true,
                       .supportsTransfers = true,
                       .incarnation = incarnation,
                       .storedFormat = std::min(LeaderElection::newestSupportedFormat,
                                                operatorSettings_.maxStoredFormat)};
               },
           .onHello =
               [this](const peer_rpc::Hello& hello) {
                   if (!hello.leading) {
                       followerPeers_.insert(hello.node);
                       return;
                   }
                   followerPeers_.erase(hello.node);
                   leaderLastReachableAt_ = loop_.now();
                   election_.observeLeader({hello.node, hello.token});
                   delegate_.onLeaderContact(hello.token, loop_.now());
                   const auto known = election_.knownLeader();
                   if (hello.ready && known && known->token == hello.token)
                       peers_.failRequestsToFormerLeaders(hello.node);
               },
           .handleRequest =
               [this](peer_rpc::Purpose purpose, http::Request request, std::string agentAddress) {
                   switch (purpose) {
                       case peer_rpc::Purpose::stateService:
                           return relayPeerRequestToStore(std::move(request));
                       case peer_rpc::Purpose::agent:
                           return relayPeerRequestToAgent(std::move(request),
                                                          std::move(agentAddress));
                       case peer_rpc::Purpose::leader:
                           break;
                   }
                   return serveAsLeader(std::move(request));
               },
           .handlePledge =
               [this](const peer_rpc::Pledge& pledge) {
                   return election_.grantPledge(pledge.token, pledge.duration);
               },
           .handleDelegationRequest =
               [this](const lease_delegation::DelegationRequest& delegationRequest)
               -> std::optional<lease_delegation::Delegation> {
               if (!term_) return transferDelegation(delegationRequest);
               // A peer of an older version could lead next without taking delegations into
               // account.
               const bool allPeersSupportDelegations =
                   std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const auto& p) {
                       return !peers_.connected(p.name) || peers_.supportsDelegations(p.name);
                   });
               return term_->handleDelegationRequest(delegationRequest, allPeersSupportDelegations);
           }}),
      server_(
          loop, settings_.listenAddress, http::ServerLimits{settings_.inboundSockets()},
          [this](http::Request request) { return handleRequest(std::move(request)); }, classify),
      delegate_(lease_delegation::DelegationLimits::from(settings_), settings_.zone, loop.now()),
      relayPermits_(loop, settings_.directCommandSockets()),
      leaderLastReachableAt_(loop.now()) {
    if (settings_.peers.empty()) return;
    store_.setRelay([this](http::Request request, Duration timeout, Scope& scope) {
        return peers_.relayToStore(std::move(request), timeout, scope);
    });
}

void Controller::onElected(FencingToken /*token*/, kv_store::Precondition fence) {
    term_ = std::make_shared<LeaderTerm>(
        loop_, settings_, operatorSettings_, store_, election_, std::move(fence),
        LeaderTerm::Hooks{
            .relay = [this](worker_api::CommandSender::Target target, http::Request request,
                            Duration timeout,
                            Scope& scope) -> Task<worker_api::CommandSender::RelayedOutcome> {
                auto relayed =
                    co_await peers_.relayToAgent(std::move(target.zone), std::move(target.address),
                                                 std::move(request), timeout, scope);
                co_return worker_api::CommandSender::RelayedOutcome{std::move(relayed.outcome),
                                                                    relayed.sameZone};
            },
            .onLoaded =
                [this] {
                    // Requests that wait for the former leader are sent here instead.
                    peers_.broadcastHello();
                    peers_.failRequestsToFormerLeaders(settings_.node);
                },
            .peerConnected = [this](const std::string& node) { return peers_.connected(node); },
            .timeSinceDelegationUse = delegate_.timeSinceUse(loop_.now()),
            .peersSupportFormat =
                [this](unsigned format) {
                    return peers_.allSupportFormat(format, absentPeerTimeout);
                }});
    delegate_.discard();
    term_->start();
    peers_.broadcastHello();
}

Task<void> Controller::onLeadershipLost() {
    const auto term = std::exchange(term_, nullptr);
    delegate_.adoptSelfDelegation(election_.token(), term->selfDelegationEnd(), loop_.now());
    peers_.broadcastHello();
    co_await term->end();
}

Task<bool> Controller::requestPledges(FencingToken token, Duration duration,
                                      const std::set<std::string>& absent) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    return peers_.requestPledges({token, ms}, absent, pledgeTimeout, scope_);
}

void Controller::start() {
    peers_.start(scope_);
    server_.start(scope_);
    scope_.spawn(election_.run(scope_));
    if (!settings_.peers.empty()) scope_.spawn(refreshDelegation());
}

Task<void> Controller::shutDown() {
    election_.resignPermanently();
    // Gives the resignation time to reach the state service, so that the next leader need not wait
    // until this node's lease runs out.
    Scope resignationScope(loop_);
    co_await loop_.sleep(resignationDelay, resignationScope);
    co_await abandon();
    loop_.stop();
}

http::ConnectionClass Controller::classify(const http::Request& request) {
    return request.target == heartbeatPath ? http::ConnectionClass::agent
                                           : http::ConnectionClass::client;
}

Task<http::Response> Controller::handleRequest(http::Request request) {
    if (request.target == "/up") {
        if (request.method != "GET") co_return jsonResponse(405, "{}");
        co_return healthResponse();
    }
    if (request.target == heartbeatPath) {
        if (request.method != "POST") co_return jsonResponse(405, "{}");
        auto answer = co_await handleHeartbeat(std::move(request));
        co_return answer;
    }
    if (request.target == "/status") {
        if (request.method != "GET") co_return jsonResponse(405, "{}");
        co_return statusResponse();
    }
    if (request.target.starts_with(machineStatusPrefix)) {
        if (request.method != "GET") co_return jsonResponse(405, "{}");
        co_return machineStatusResponse(request.target.substr(machineStatusPrefix.size()));
    }
    auto response = co_await handleUserRequest(std::move(request));
    co_return response;
}

Task<http::Response> Controller::handleUserRequest(http::Request request) {
    const UserRequest userRequest = parseUserRequest(request);
    if (userRequest.action == UserRequest::Action::unknownPath)
        co_return jsonResponse(404, R"({"error":"no such path"})");
    if (userRequest.action == UserRequest::Action::wrongMethod)
        co_return jsonResponse(405, R"({"error":"wrong method"})");
    const bool leads = term_ && term_->ready();
    JobId job = userRequest.id;
    if (userRequest.action == UserRequest::Action::submit && !leads) {
        // A malformed submission is rejected here, without asking the leader. If this node leads,
        // the term checks it.
        auto parsed = jobs::parseSubmission(request.body);
        if (std::holds_alternative<jobs::SubmissionError>(parsed)) {
            json::Writer out;
            out.open().field("error", std::get<jobs::SubmissionError>(parsed).message).close();
            co_return http::Response{400, out.text()};
        }
        job = std::get<JobSpec>(parsed).id;
    } else if (userRequest.action != UserRequest::Action::submit &&
               !jobs::validId(userRequest.id)) {
        co_return jsonResponse(userRequest.action == UserRequest::Action::query ? 404 : 400,
                               R"({"error":"not a job id"})");
    }
    auto response = co_await forwardUserRequest(std::move(request), std::move(job));
    co_return response;
}

Task<http::Response> Controller::forwardUserRequest(http::Request request, JobId job) {
    using jobs::JobState;
    const TimePoint until = loop_.now() + userRequestTimeout;
    while (loop_.now() < until) {
        const TimePoint sentAt = loop_.now();
        JobState newest = JobState::none;
        const auto pending = pendingUserRequests_.emplace(job, &newest);
        http::Request copy = request;
        auto forwarded = co_await forwardToLeader(std::move(copy), until - sentAt);
        pendingUserRequests_.erase(pending);
        if (!forwarded.response) break;
        const JobState state =
            jobs::parseJobState(forwarded.response->status, forwarded.response->body);
        for (auto [other, end] = pendingUserRequests_.equal_range(job); other != end; ++other)
            *other->second = std::max(*other->second, state);
        // The leader's response may have been delayed on its way here while another response showed
        // users a newer state of the job. In that case the leader is asked again.
        const bool mayStillChange = state == JobState::unknown || state == JobState::open;
        const bool outdated = forwarded.relayed && mayStillChange &&
                              (state < newest || loop_.now() - sentAt > maxResponseAge);
        if (!outdated) co_return std::move(*forwarded.response);
    }
    co_return noLeaderResponse();
}

Task<Controller::ForwardResult> Controller::forwardToLeader(http::Request request,
                                                            Duration timeout) {
    const TimePoint until = loop_.now() + timeout;
    FencingToken lastTriedToken = 0;
    while (loop_.now() < until) {
        if (term_) {
            auto response = co_await serveAsLeader(std::move(request));
            co_return ForwardResult{std::move(response), false};
        }
        const auto known = election_.knownLeader();
        // A leader that left the previous attempt unanswered cannot be reached.
        if (!known || known->node == settings_.node || known->token == lastTriedToken) break;
        lastTriedToken = known->token;
        http::Request copy = request;
        auto outcome =
            co_await peers_.forward(known->node, std::move(copy), until - loop_.now(), scope_);
        if (!outcome.answered) continue;
        outcome.response.keepAlive = true;
        co_return ForwardResult{std::move(outcome.response), true};
    }
    co_return ForwardResult{};
}

Task<http::Response> Controller::relayPeerRequestToAgent(http::Request request,
                                                         std::string agentAddress) {
    if (request.target != "/commands" && request.target != "/inspect")
        co_return jsonResponse(400, "{}");
    // Without a permit the status is 500, because the peer would count 502 as a sign that the
    // machine is dead.
    const auto permit = relayPermits_.tryAcquire();
    if (!permit) co_return jsonResponse(500, R"({"error":"no socket to spare"})");
    http::Client client(loop_, agentAddress, 0);
    const TimePoint sentAt = loop_.now();
    auto outcome = co_await client.request(std::move(request), peerCommandTimeout, scope_);
    // If this node was itself suspended during the request, it cannot tell whether the agent was
    // unreachable.
    const bool thisNodeStalled = loop_.now() - sentAt > peerCommandTimeout + peerCommandTimeout / 4;
    if (!outcome.answered)
        co_return jsonResponse(outcome.sent ? 504 : thisNodeStalled ? 500 : 502, "{}");
    co_return std::move(outcome.response);
}

Task<http::Response> Controller::relayPeerRequestToStore(http::Request request) {
    auto outcome = co_await store_.sendDirectly(std::move(request), peerStoreTimeout, scope_);
    if (!outcome.answered) co_return jsonResponse(502, "{}");
    co_return std::move(outcome.response);
}

Task<http::Response> Controller::serveAsLeader(http::Request request) {
    const auto term = term_;  // keeps the term alive: it may end while the request waits
    if (!term || !term->ready()) co_return noLeaderResponse();
    if (request.target == heartbeatPath) {
        const auto report = worker_api::parseStatusReport(request.body);
        if (!report) co_return malformedReportResponse();
        co_return answerHeartbeatAsLeader(*term, *report).value_or(noLeaderResponse());
    }
    const UserRequest userRequest = parseUserRequest(request);
    http::Response response = noLeaderResponse();
    switch (userRequest.action) {
        case UserRequest::Action::submit:
            response = co_await term->submit(std::move(request.body));
            break;
        case UserRequest::Action::query:
            response = co_await term->query(userRequest.id);
            break;
        case UserRequest::Action::cancel:
            response = co_await term->cancel(userRequest.id);
            break;
        default:
            co_return jsonResponse(404, "{}");
    }
    if (!term->mayAct()) co_return noLeaderResponse();
    co_return response;
}

std::optional<http::Response> Controller::answerHeartbeatAsLeader(
    LeaderTerm& term, const worker_api::StatusReport& report) {
    if (report.token > lastTokenOfTerm(election_.token()))
        election_.stepDown("an agent has seen a higher fencing token");
    if (!term.mayAct()) return std::nullopt;
    return term.handleHeartbeat(report);
}

Task<http::Response> Controller::handleHeartbeat(http::Request request) {
    const auto report = worker_api::parseStatusReport(request.body);
    if (!report) co_return malformedReportResponse();
    if (term_)
        if (auto answer = answerHeartbeatAsLeader(*term_, *report)) co_return std::move(*answer);
    const auto known = election_.knownLeader();
    if (known && known->node != settings_.node && peers_.connected(known->node)) {
        // Forwarded rather than redirected: the agent may not be able to reach the leader.
        auto forwarded = co_await forwardToLeader(std::move(request), heartbeatForwardTimeout);
        // A leader whose lease has run out is connected but refuses with 503. For the agent that
        // is the same as a silent leader.
        if (forwarded.response && forwarded.response->status != 503)
            co_return std::move(*forwarded.response);
        auto delegateResponse = answerAsDelegate(*report);
        co_return delegateResponse ? std::move(*delegateResponse) : noLeaderResponse();
    }
    // This node is cut off from the leader, perhaps together with the agent. The agent is
    // redirected to another node that may reach the leader.
    std::string redirectTo = known ? peers_.peerConnectedToLeader(known->token) : "";
    if (redirectTo.empty()) {
        if (auto delegateResponse = answerAsDelegate(*report))
            co_return std::move(*delegateResponse);
        if (!known || known->node == settings_.node) co_return noLeaderResponse();
        redirectTo = known->node;
    }
    if (redirectTo == known->node)
        for (const auto& p : settings_.peers)
            if (p.name != known->node && peers_.connected(p.name)) redirectTo = p.name;
    json::Writer out;
    out.open().field("steward", redirectTo).close();
    co_return http::Response{421, out.text()};
}

Task<void> Controller::refreshDelegation() {
    while (!scope_.cancelled()) {
        const auto known = election_.knownLeader();
        if (!term_ && known && known->node != settings_.node &&
            peers_.supportsDelegations(known->node) && peers_.connected(known->node)) {
            const TimePoint sentAt = loop_.now();
            auto request = delegate_.request(settings_.node, sentAt);
            const auto delegation = co_await peers_.requestDelegation(
                known->node, std::move(request), delegationTimeout, scope_);
            // This node may have been elected meanwhile.
            if (delegation && !term_) {
                if (!delegate_.accept(*delegation, sentAt, loop_.now()))
                    spdlog::error("delegation is too long and was ignored: leader={} duration={}s",
                                  known->node, toSeconds(delegation->duration));
                if (std::exchange(answeringAsDelegate_, false))
                    spdlog::info("stopped answering heartbeats as delegate: leader={}",
                                 known->node);
            }
        }
        if (!term_ && delegate_.needsDelegation(loop_.now())) co_await requestTransfer();
        co_await loop_.sleep(delegationInterval, scope_);
    }
}

Task<void> Controller::requestTransfer() {
    for (const auto& p : settings_.peers) {
        if (p.zone != settings_.zone || !peers_.connected(p.name)) continue;
        const TimePoint sentAt = loop_.now();
        auto request = delegate_.request(settings_.node, sentAt);
        const auto delegation = co_await peers_.requestDelegation(p.name, std::move(request),
                                                                  delegationTimeout, scope_);
        if (!delegation || delegation->number != 0 || term_) continue;
        delegate_.acceptTransfer(*delegation, sentAt, loop_.now());
        if (!delegate_.isValid(loop_.now())) continue;
        spdlog::info("delegation transferred to this node: from={} token={}", p.name,
                     delegation->token);
        co_return;
    }
}

std::optional<lease_delegation::Delegation> Controller::transferDelegation(
    const lease_delegation::DelegationRequest& request) {
    const bool sameZone = std::any_of(
        settings_.peers.begin(), settings_.peers.end(),
        [&](const auto& p) { return p.name == request.node && p.zone == settings_.zone; });
    // A transfer is safe only if every node that may lead next takes transfers into account. If
    // this node was itself restarted during the partition, it does not know that of the nodes on
    // the other side. It then relies on the check by the node that transferred the delegation to
    // it.
    if (!sameZone || !(delegate_.wasTransferred() || peers_.allSupportTransfers()))
        return std::nullopt;
    const auto known = election_.knownLeader();
    return delegate_.transfer(known ? known->token : 0, loop_.now());
}

std::optional<http::Response> Controller::answerAsDelegate(const worker_api::StatusReport& report) {
    if (term_) return std::nullopt;
    const auto known = election_.knownLeader();
    if (!delegate_.tryUse(report.token, report.zone, known ? known->token : 0, loop_.now()))
        return std::nullopt;
    if (!std::exchange(answeringAsDelegate_, true))
        spdlog::warn("leader is silent, answering heartbeats as delegate: zone={} token={}",
                     settings_.zone, delegate_.token());
    return http::Response{
        200, worker_api::encodeHeartbeatResponse(delegate_.responseToken(report.token), {})};
}

http::Response Controller::healthResponse() {
    const auto known = election_.knownLeader();
    const bool leaderReachable = election_.leaseValid() || (known && peers_.connected(known->node));
    if (leaderReachable) leaderLastReachableAt_ = loop_.now();
    // A short time without a leader is tolerated, because the load balancer takes longer to return
    // to a node than an election lasts. While no node leads, no node serves users better than
    // another.
    const bool onlyThisNodeCutOff = election_.storeReachable() && known && !leaderReachable;
    // A node that is cut off from everything but its users has to report it. Otherwise users who
    // keep their connection to it would be refused for as long as the partition lasts, and their
    // jobs would be lost.
    const bool isolated = !leaderReachable && !election_.storeReachable() &&
                          !settings_.peers.empty() &&
                          std::none_of(settings_.peers.begin(), settings_.peers.end(),
                                       [&](const auto& p) { return peers_.connected(p.name); });
    if ((onlyThisNodeCutOff || isolated) &&
        loop_.now() - leaderLastReachableAt_ > leaderLossTolerance)
        return jsonResponse(503, "{}");
    return jsonResponse(200, "{}");
}

http::Response Controller::statusResponse() {
    json::Writer out;
    out.open().field("node", settings_.node).field("leading", election_.leaseValid());
    if (const auto known = election_.knownLeader())
        out.field("leader", known->node).field("token", known->token);
    out.field("connections", static_cast<std::uint64_t>(server_.connections()));
    if (term_ && term_->loaded()) {
        const auto& cluster = term_->cluster();
        out.field("jobs", static_cast<std::uint64_t>(cluster.jobCount()));
        out.field("open", static_cast<std::uint64_t>(cluster.openJobs().size()));
        out.field("unwritten", static_cast<std::uint64_t>(term_->writeBacklog()));
        out.field("restartedAttempts", cluster.restartedAttempts());
        writeBlockedJobs(out, cluster, loop_.now());
        out.key("cells").open();
        for (const auto& [type, pool] : cluster.pools()) {
            out.key(type).open();
            out.field("freeZones", static_cast<std::uint64_t>(pool.freeCells(cells::Level::zone)));
            out.field("freeMachines",
                      static_cast<std::uint64_t>(pool.freeCells(cells::Level::machine)));
            out.field("freeSlots", static_cast<std::uint64_t>(pool.freeCells(cells::Level::slot)));
            out.close();
        }
        out.close().key("machines").raw(machineListJson(cluster));
    }
    out.close();
    return {200, out.text()};
}

http::Response Controller::machineStatusResponse(const std::string& machine) {
    if (!term_ || !term_->loaded()) return jsonResponse(503, R"({"error":"not the leader"})");
    auto status = machineStatusJson(term_->cluster(), machine, loop_.now());
    if (!status) return jsonResponse(404, R"({"error":"no such machine"})");
    return {200, std::move(*status)};
}

}  // namespace basaltchute::controller
