#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {

const std::string jobsPath = "/v1/jobs";
const std::string beatPath = "/agent/beat";
constexpr Duration pledgeTimeout = 500ms;
constexpr Duration stateTimeout = 500ms;   // on behalf of a peer
constexpr Duration workerTimeout = 600ms;  // likewise; less than the peer waits for this node
constexpr Duration absentAfter = 8s;       // then its version is not waited for
constexpr Duration userTimeout = 4s;       // users wait for 5 s
constexpr Duration answerAge = 1s;         // of what a leader said of a job and may change
constexpr Duration borrowEvery = 500ms, borrowTimeout = 1s;
constexpr std::size_t shownWaiting = 100, shownNeeds = 5;
constexpr Duration relayTimeout = 3s;  // a worker drops what comes after 4 s

http::Response plain(int status, const char* body) {
    return {status, body};
}
http::Response malformedReport() {
    return plain(400, R"({"error":"malformed report"})");
}
http::Response noLeader() {
    http::Response r = plain(503, R"({"error":"no leader at the moment"})");
    r.retryAfterS = 1;
    return r;
}

/// What a user asks for; the empty verb stands for a path that does not exist.
struct UserCall {
    enum class Verb { none, submit, query, withdraw, wrongMethod } verb = Verb::none;
    JobId id;
};
UserCall parseCall(const http::Request& r) {
    using Verb = UserCall::Verb;
    const std::string path = r.target.substr(0, r.target.find('?'));
    if (path == jobsPath) return {r.method == "POST" ? Verb::submit : Verb::wrongMethod, ""};
    if (!path.starts_with(jobsPath + '/')) return {};
    const std::string rest = path.substr(jobsPath.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string::npos)
        return {r.method == "GET" ? Verb::query : Verb::wrongMethod, rest};
    if (rest.substr(slash) != "/withdraw") return {};
    return {r.method == "POST" ? Verb::withdraw : Verb::wrongMethod, rest.substr(0, slash)};
}

/// Jobs that wait for others: what for, and how much time that leaves.
void writeWaiting(json::Writer& o, const scheduler::Cluster& c, TimePoint now) {
    o.field("held", static_cast<std::uint64_t>(c.blockedJobs().size())).key("waiting").openArray();
    std::size_t jobs = 0;
    for (const Job* job : c.blockedJobs()) {
        if (jobs++ >= shownWaiting) break;
        o.open().field("ref", job->spec.id).key("for").openArray();
        std::size_t needs = 0;
        for (const auto& id : c.dependencyGraph().unfinishedDependencies(job->spec.id))
            if (needs++ < shownNeeds) o.value(id);
        o.closeArray().field("needs", static_cast<std::uint64_t>(needs));
        if (const auto slack = c.slack(*job, now)) o.field("slackS", toSeconds(*slack));
        o.close();
    }
    o.closeArray();
}

/// A JSON array with each machine on a line of its own: no line of a response may be longer than
/// 64 KiB, however many machines there are.
std::string machineList(const scheduler::Cluster& c) {
    std::string list;
    for (const auto& m : c.machines()) {
        if (m.presence == worker_api::Presence::gone) continue;
        json::Writer o;
        o.open().field("name", m.name).field("type", m.type).field("zone", m.zone);
        o.field("spot", m.spot).field("up", m.up()).field("sick", m.quarantined);
        o.field("tasks", static_cast<std::uint64_t>(m.allocations.size()));
        o.field("session", m.incarnation).close();
        list += (list.empty() ? "" : ",\n") + o.text();
    }
    return '[' + list + ']';
}

}  // namespace

Controller::Controller(EventLoop& loop, settings::Settings settings,
                       settings::OperatorSettings operatorSettings, const std::string& incarnation)
    : loop_(loop),
      settings_(std::move(settings)),
      operator_(std::move(operatorSettings)),
      scope_(loop),
      store_(loop, settings_),
      election_(loop, store_, settings_, incarnation, *this, *this),
      peers_(loop, settings_,
             {[this, incarnation] {
                  const auto known = election_.knownLeader();
                  const bool hears = known && peers_.connected(known->node);
                  return peer_rpc::Hello{
                      settings_.node,
                      election_.leaseValid(),
                      election_.token(),
                      term_ && term_->ready(),
                      hears ? known->token : 0,
                      true,
                      true,
                      incarnation,
                      std::min(LeaderElection::newestSupportedFormat, operator_.maxStoredFormat)};
              },
              [this](const peer_rpc::Hello& hello) {
                  if (!hello.leading) {
                      followerPeers_.insert(hello.node);
                      return;
                  }
                  followerPeers_.erase(hello.node);
                  leaderSeenAt_ = loop_.now();
                  election_.observeLeader({hello.node, hello.token});
                  delegate_.onLeaderContact(hello.token, loop_.now());
                  const auto known = election_.knownLeader();
                  if (hello.ready && known && known->token == hello.token)
                      peers_.retryPendingAt(hello.node);
              },
              [this](peer_rpc::Purpose purpose, http::Request r, std::string worker) {
                  switch (purpose) {
                      case peer_rpc::Purpose::stateService:
                          return relayToStoreFor(std::move(r));
                      case peer_rpc::Purpose::worker:
                          return relayToAgentFor(std::move(r), std::move(worker));
                      case peer_rpc::Purpose::leader:
                          break;
                  }
                  return serveAsLeader(std::move(r));
              },
              [this](const peer_rpc::Pledge& p) { return election_.grantPledge(p.token, p.hold); },
              [this](const lease_delegation::DelegationRequest& q)
                  -> std::optional<lease_delegation::Delegation> {
                  if (!term_) return transferDelegation(q);
                  // A successor of an older version would know nothing of delegations.
                  const bool allKnow = std::all_of(
                      settings_.peers.begin(), settings_.peers.end(), [&](const auto& p) {
                          return !peers_.connected(p.name) || peers_.supportsDelegations(p.name);
                      });
                  return term_->delegate(q, allKnow);
              }}),
      server_(
          loop, settings_.listenAddress, http::ServerLimits{settings_.inboundSockets()},
          [this](http::Request r) { return handleRequest(std::move(r)); }, classify),
      delegate_(lease_delegation::DelegationLimits::from(settings_), settings_.zone, loop.now()),
      relays_(loop, settings_.directCommandSockets()),
      leaderSeenAt_(loop.now()) {
    if (settings_.peers.empty()) return;
    store_.setRelay([this](http::Request r, Duration timeout, Scope& scope) {
        return peers_.relayToStore(std::move(r), timeout, scope);
    });
}

void Controller::onElected(FencingToken /*token*/, kv_store::Precondition fence) {
    term_ = std::make_shared<LeaderTerm>(
        loop_, settings_, operator_, store_, election_, std::move(fence),
        LeaderTerm::Hooks{
            [this](worker_api::CommandSender::Target target, http::Request request,
                   Duration timeout,
                   Scope& scope) -> Task<worker_api::CommandSender::RelayedOutcome> {
                auto relayed =
                    co_await peers_.relayToAgent(std::move(target.zone), std::move(target.address),
                                                 std::move(request), timeout, scope);
                co_return worker_api::CommandSender::RelayedOutcome{std::move(relayed.outcome),
                                                                    relayed.near};
            },
            [this] {
                // What waits for the former leader comes here now.
                peers_.announce();
                peers_.retryPendingAt(settings_.node);
            },
            [this](const std::string& node) { return peers_.connected(node); },
            delegate_.timeSinceUse(loop_.now()),
            [this](unsigned format) { return peers_.allSupportFormat(format, absentAfter); }});
    delegate_.discard();
    term_->start();
    peers_.announce();
}

Task<void> Controller::onLeadershipLost() {
    const auto term = std::exchange(term_, nullptr);
    delegate_.adoptSelfDelegation(election_.token(), term->delegatedToSelf(), loop_.now());
    peers_.announce();
    co_await term->end();
}

Task<bool> Controller::requestPledges(FencingToken token, Duration duration,
                                      const std::set<std::string>& absent) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    return peers_.pledgeAll({token, ms}, absent, pledgeTimeout, scope_);
}

void Controller::start() {
    peers_.start(scope_);
    server_.start(scope_);
    scope_.spawn(election_.run(scope_));
    if (!settings_.peers.empty()) scope_.spawn(refreshDelegation());
}

Task<void> Controller::shutDown() {
    election_.resignPermanently();
    // Leave the resignation a moment to reach the state service: the next leader need not wait.
    Scope pause(loop_);
    co_await loop_.sleep(100ms, pause);
    co_await abandon();
    loop_.stop();
}

http::ConnectionClass Controller::classify(const http::Request& r) {
    return r.target == beatPath ? http::ConnectionClass::agent : http::ConnectionClass::client;
}

Task<http::Response> Controller::handleRequest(http::Request r) {
    if (r.target == "/up") {
        if (r.method != "GET") co_return plain(405, "{}");
        co_return healthResponse();
    }
    if (r.target == beatPath) {
        if (r.method != "POST") co_return plain(405, "{}");
        auto answer = co_await handleHeartbeat(std::move(r));
        co_return answer;
    }
    if (r.target == "/status") {
        if (r.method != "GET") co_return plain(405, "{}");
        co_return statusResponse();
    }
    auto response = co_await handleUserRequest(std::move(r));
    co_return response;
}

Task<http::Response> Controller::handleUserRequest(http::Request r) {
    const UserCall call = parseCall(r);
    if (call.verb == UserCall::Verb::none) co_return plain(404, R"({"error":"no such path"})");
    if (call.verb == UserCall::Verb::wrongMethod)
        co_return plain(405, R"({"error":"wrong method"})");
    const bool leads = term_ && term_->ready();
    JobId job = call.id;
    if (call.verb == UserCall::Verb::submit && !leads) {
        // What is malformed is so whoever leads; a leader finds out by itself.
        auto parsed = jobs::parseSubmission(r.body);
        if (std::holds_alternative<jobs::SubmissionError>(parsed)) {
            json::Writer o;
            o.open().field("error", std::get<jobs::SubmissionError>(parsed).message).close();
            co_return http::Response{400, o.text()};
        }
        job = std::get<JobSpec>(parsed).id;
    } else if (call.verb != UserCall::Verb::submit && !jobs::validId(call.id)) {
        co_return plain(call.verb == UserCall::Verb::query ? 404 : 400,
                        R"({"error":"not a job id"})");
    }
    auto response = co_await askLeader(std::move(r), std::move(job));
    co_return response;
}

Task<http::Response> Controller::askLeader(http::Request r, JobId job) {
    using jobs::JobState;
    const TimePoint until = loop_.now() + userTimeout;
    while (loop_.now() < until) {
        const TimePoint askedAt = loop_.now();
        JobState newest = JobState::none;
        const auto mine = openQuestions_.emplace(job, &newest);
        http::Request copy = r;
        auto passed = co_await forwardToLeader(std::move(copy), until - askedAt);
        openQuestions_.erase(mine);
        if (!passed.response) break;
        const JobState state = jobs::parseJobState(passed.response->status, passed.response->body);
        for (auto [q, end] = openQuestions_.equal_range(job); q != end; ++q)
            *q->second = std::max(*q->second, state);
        // A leader answers from what it knows at that moment, but its state may be held up on its
        // way here, while another node has told users something newer: then it is asked again.
        const bool mayChange = state == JobState::unknown || state == JobState::open;
        const bool old =
            passed.relayed && mayChange && (state < newest || loop_.now() - askedAt > answerAge);
        if (!old) co_return std::move(*passed.response);
    }
    co_return noLeader();
}

Task<Controller::ForwardResult> Controller::forwardToLeader(http::Request r, Duration timeout) {
    const TimePoint until = loop_.now() + timeout;
    FencingToken asked = 0;
    while (loop_.now() < until) {
        if (term_) {
            auto response = co_await serveAsLeader(std::move(r));
            co_return ForwardResult{std::move(response), false};
        }
        const auto known = election_.knownLeader();
        // Asked already, and given up by the mesh: that leader cannot be reached.
        if (!known || known->node == settings_.node || known->token == asked) break;
        asked = known->token;
        http::Request copy = r;
        auto o = co_await peers_.forward(known->node, std::move(copy), until - loop_.now(), scope_);
        if (!o.answered) continue;
        o.response.keepAlive = true;
        co_return ForwardResult{std::move(o.response), true};
    }
    co_return ForwardResult{};
}

Task<http::Response> Controller::relayToAgentFor(http::Request r, std::string worker) {
    if (r.target != "/commands" && r.target != "/inspect") co_return plain(400, "{}");
    // Not 502: that would count against the machine.
    const auto permit = relays_.tryAcquire();
    if (!permit) co_return plain(500, R"({"error":"no socket to spare"})");
    http::Client client(loop_, worker, 0);
    const TimePoint since = loop_.now();
    auto o = co_await client.request(std::move(r), workerTimeout, scope_);
    // A node that was itself held up cannot tell whether the worker was.
    const bool heldUp = loop_.now() - since > workerTimeout + workerTimeout / 4;
    if (!o.answered) co_return plain(o.sent ? 504 : heldUp ? 500 : 502, "{}");
    co_return std::move(o.response);
}

Task<http::Response> Controller::relayToStoreFor(http::Request r) {
    auto o = co_await store_.sendDirectly(std::move(r), stateTimeout, scope_);
    if (!o.answered) co_return plain(502, "{}");
    co_return std::move(o.response);
}

Task<http::Response> Controller::serveAsLeader(http::Request r) {
    const auto term = term_;  // held: it may be deposed while the request waits
    if (!term || !term->ready()) co_return noLeader();
    if (r.target == beatPath) {
        const auto report = worker_api::parseStatusReport(r.body);
        if (!report) co_return malformedReport();
        co_return answerHeartbeatAsLeader(*term, *report).value_or(noLeader());
    }
    const UserCall call = parseCall(r);
    http::Response response = noLeader();
    switch (call.verb) {
        case UserCall::Verb::submit:
            response = co_await term->submit(std::move(r.body));
            break;
        case UserCall::Verb::query:
            response = co_await term->query(call.id);
            break;
        case UserCall::Verb::withdraw:
            response = co_await term->cancel(call.id);
            break;
        default:
            co_return plain(404, "{}");
    }
    if (!term->mayAct()) co_return noLeader();
    co_return response;
}

std::optional<http::Response> Controller::answerHeartbeatAsLeader(
    LeaderTerm& term, const worker_api::StatusReport& report) {
    if (report.token > election_.token()) election_.stepDown("a worker has seen a higher token");
    if (!term.mayAct()) return std::nullopt;
    return term.handleHeartbeat(report);
}

Task<http::Response> Controller::handleHeartbeat(http::Request r) {
    const auto report = worker_api::parseStatusReport(r.body);
    if (!report) co_return malformedReport();
    if (term_)
        if (auto answer = answerHeartbeatAsLeader(*term_, *report)) co_return std::move(*answer);
    const auto known = election_.knownLeader();
    if (known && known->node != settings_.node && peers_.connected(known->node)) {
        // Passed on instead of sent away: the worker may not be able to reach the leader.
        auto passed = co_await forwardToLeader(std::move(r), relayTimeout);
        // A leader whose right has ended is there, and refuses: that is no more use to a worker
        // than silence.
        if (passed.response && passed.response->status != 503)
            co_return std::move(*passed.response);
        auto lent = answerAsDelegate(*report);
        co_return lent ? std::move(*lent) : noLeader();
    }
    // Cut off from the leader, perhaps together with the worker: another node may reach both.
    std::string to = known ? peers_.peersHearingLeader(known->token) : "";
    if (to.empty()) {
        if (auto lent = answerAsDelegate(*report)) co_return std::move(*lent);
        if (!known || known->node == settings_.node) co_return noLeader();
        to = known->node;
    }
    if (to == known->node)
        for (const auto& p : settings_.peers)
            if (p.name != known->node && peers_.connected(p.name)) to = p.name;
    json::Writer o;
    o.open().field("steward", to).close();
    co_return http::Response{421, o.text()};
}

Task<void> Controller::refreshDelegation() {
    while (!scope_.cancelled()) {
        const auto known = election_.knownLeader();
        if (!term_ && known && known->node != settings_.node &&
            peers_.supportsDelegations(known->node) && peers_.connected(known->node)) {
            const TimePoint askedAt = loop_.now();
            auto question = delegate_.request(settings_.node, askedAt);
            const auto delegation = co_await peers_.requestDelegation(
                known->node, std::move(question), borrowTimeout, scope_);
            // This node may lead by now.
            if (delegation && !term_) {
                if (!delegate_.accept(*delegation, askedAt, loop_.now()))
                    spdlog::error("a delegation of {} s by {} is longer than any may be: not taken",
                                  toSeconds(delegation->duration), known->node);
                if (std::exchange(answeringAsDelegate_, false))
                    spdlog::info("the leader is heard again: no more answers in its name");
            }
        }
        if (!term_ && delegate_.needsDelegation(loop_.now())) co_await requestTransfer();
        co_await loop_.sleep(borrowEvery, scope_);
    }
}

Task<void> Controller::requestTransfer() {
    for (const auto& p : settings_.peers) {
        if (p.zone != settings_.zone || !peers_.connected(p.name)) continue;
        const TimePoint askedAt = loop_.now();
        auto question = delegate_.request(settings_.node, askedAt);
        const auto delegation =
            co_await peers_.requestDelegation(p.name, std::move(question), borrowTimeout, scope_);
        if (!delegation || delegation->number != 0 || term_) continue;
        delegate_.acceptTransfer(*delegation, askedAt, loop_.now());
        if (!delegate_.isValid(loop_.now())) continue;
        spdlog::info("{} hands on its delegation, token {}", p.name, delegation->token);
        co_return;
    }
}

std::optional<lease_delegation::Delegation> Controller::transferDelegation(
    const lease_delegation::DelegationRequest& question) {
    const bool near = std::any_of(
        settings_.peers.begin(), settings_.peers.end(),
        [&](const auto& p) { return p.name == question.node && p.zone == settings_.zone; });
    // This node may have been started again itself and have heard nobody outside of the cut.
    if (!near || !(delegate_.wasTransferred() || peers_.allHandOn())) return std::nullopt;
    const auto known = election_.knownLeader();
    return delegate_.transfer(known ? known->token : 0, loop_.now());
}

std::optional<http::Response> Controller::answerAsDelegate(const worker_api::StatusReport& report) {
    if (term_) return std::nullopt;
    const auto known = election_.knownLeader();
    if (!delegate_.tryUse(report.token, report.zone, known ? known->token : 0, loop_.now()))
        return std::nullopt;
    if (!std::exchange(answeringAsDelegate_, true))
        spdlog::warn("the leader is silent: answering the workers of {} in its name, token {}",
                     settings_.zone, delegate_.token());
    return http::Response{200, worker_api::encodeHeartbeatResponse(delegate_.token(), {})};
}

http::Response Controller::healthResponse() {
    const auto known = election_.knownLeader();
    const bool reachable = election_.leaseValid() || (known && peers_.connected(known->node));
    if (reachable) leaderSeenAt_ = loop_.now();
    // A moment without a leader must not cost this node its users: taking it back takes the
    // load balancer longer than an election. Without a leader anywhere, all nodes are alike.
    const bool othersServe = election_.storeReachable() && known && !reachable;
    // Cut off from everything but its users: whoever keeps a connection to it would be refused for
    // as long as that lasts, and their jobs would be forgotten.
    const bool isolated = !reachable && !election_.storeReachable() && !settings_.peers.empty() &&
                          std::none_of(settings_.peers.begin(), settings_.peers.end(),
                                       [&](const auto& p) { return peers_.connected(p.name); });
    if ((othersServe || isolated) && loop_.now() - leaderSeenAt_ > 4s) return plain(503, "{}");
    return plain(200, "{}");
}

http::Response Controller::statusResponse() {
    json::Writer o;
    o.open().field("node", settings_.node).field("leading", election_.leaseValid());
    if (const auto known = election_.knownLeader())
        o.field("leader", known->node).field("token", known->token);
    o.field("connections", static_cast<std::uint64_t>(server_.connections()));
    if (term_ && term_->loaded()) {
        const auto& c = term_->cluster();
        o.field("jobs", static_cast<std::uint64_t>(c.jobCount()));
        o.field("open", static_cast<std::uint64_t>(c.openJobs().size()));
        o.field("unwritten", static_cast<std::uint64_t>(term_->backlog()));
        writeWaiting(o, c, loop_.now());
        o.key("cells").open();
        for (const auto& [type, pool] : c.pools()) {
            o.key(type).open();
            o.field("freeZones", static_cast<std::uint64_t>(pool.freeCells(cells::Level::zone)));
            o.field("freeMachines",
                    static_cast<std::uint64_t>(pool.freeCells(cells::Level::machine)));
            o.field("freeSlots", static_cast<std::uint64_t>(pool.freeCells(cells::Level::slot)));
            o.close();
        }
        o.close().key("machines").raw(machineList(c));
    }
    o.close();
    return {200, o.text()};
}

}  // namespace basaltchute::controller
