#include "app/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::app {

using namespace std::chrono_literals;

namespace {

const std::string jobsPath = "/v1/jobs";
const std::string beatPath = "/agent/beat";
constexpr Duration pledgePatience = 500ms;
constexpr Duration statePatience = 500ms;   // on behalf of a peer
constexpr Duration workerPatience = 600ms;  // likewise; less than the peer waits for this node
constexpr Duration absentAfter = 8s;        // then its version is not waited for
constexpr Duration userPatience = 4s;       // users wait for 5 s
constexpr Duration answerAge = 1s;          // of what a leader said of a job and may change
constexpr Duration borrowEvery = 500ms, borrowPatience = 1s;
constexpr std::size_t shownWaiting = 100, shownNeeds = 5;
constexpr Duration relayPatience = 3s;  // a worker drops what comes after 4 s

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
void writeWaiting(json::Out& o, const scheduler::Cluster& c, TimePoint now) {
    o.field("held", static_cast<std::uint64_t>(c.heldJobs().size())).key("waiting").openArray();
    std::size_t jobs = 0;
    for (const Job* job : c.heldJobs()) {
        if (jobs++ >= shownWaiting) break;
        o.open().field("ref", job->spec.id).key("for").openArray();
        std::size_t needs = 0;
        for (const auto& id : c.chains().unmet(job->spec.id))
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
        if (m.presence == workers::Presence::gone) continue;
        json::Out o;
        o.open().field("name", m.name).field("type", m.type).field("zone", m.zone);
        o.field("spot", m.spot).field("up", m.up()).field("sick", m.sick);
        o.field("tasks", static_cast<std::uint64_t>(m.charges.size()));
        o.field("session", m.session).close();
        list += (list.empty() ? "" : ",\n") + o.text();
    }
    return '[' + list + ']';
}

}  // namespace

Controller::Controller(Loop& loop, settings::Settings settings, settings::Operator operatorSettings,
                       const std::string& incarnation)
    : loop_(loop),
      settings_(std::move(settings)),
      operator_(std::move(operatorSettings)),
      scope_(loop),
      state_(loop, settings_),
      leadership_(
          loop, state_, settings_, incarnation,
          {[this](FencingToken, state::Guard guard) {
               term_ = std::make_shared<Term>(
                   loop_, settings_, operator_, state_, leadership_, std::move(guard),
                   Term::Hooks{
                       [this](workers::Reach::Target t, http::Request r, Duration patience,
                              Scope& scope) -> Task<workers::Reach::Detoured> {
                           auto over =
                               co_await mesh_.toWorker(std::move(t.zone), std::move(t.address),
                                                       std::move(r), patience, scope);
                           co_return workers::Reach::Detoured{std::move(over.outcome), over.near};
                       },
                       [this] {
                           // What waits for the former leader comes here now.
                           mesh_.announce();
                           mesh_.leaderIs(settings_.node);
                       },
                       [this](const std::string& node) { return mesh_.connected(node); },
                       holder_.sinceUse(loop_.now()),
                       [this](unsigned f) { return mesh_.allKnowFormat(f, absentAfter); }});
               holder_.drop();
               term_->start();
               mesh_.announce();
           },
           [this]() -> Task<void> {
               const auto term = std::exchange(term_, nullptr);
               holder_.keep(leadership_.token(), term->delegatedToSelf(), loop_.now());
               mesh_.announce();
               co_await term->end();
           },
           [this](FencingToken token, Duration hold, const std::set<std::string>& absent) {
               const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(hold);
               return mesh_.pledgeAll({token, ms}, absent, pledgePatience, scope_);
           },
           [this](const std::string& node) { return idlePeers_.contains(node); },
           [this](Duration span) { return mesh_.silentFor(span); }}),
      mesh_(loop, settings_,
            {[this, incarnation] {
                 const auto known = leadership_.known();
                 const bool hears = known && mesh_.connected(known->node);
                 return mesh::Hello{settings_.node,
                                    leadership_.mayAct(),
                                    leadership_.token(),
                                    term_ && term_->ready(),
                                    hears ? known->token : 0,
                                    true,
                                    true,
                                    incarnation,
                                    std::min(Leadership::knownFormat, operator_.storedFormat)};
             },
             [this](const mesh::Hello& hello) {
                 if (!hello.leading) {
                     idlePeers_.insert(hello.node);
                     return;
                 }
                 idlePeers_.erase(hello.node);
                 leaderSeen_ = loop_.now();
                 leadership_.heard({hello.node, hello.token});
                 holder_.heard(hello.token, loop_.now());
                 const auto known = leadership_.known();
                 if (hello.ready && known && known->token == hello.token)
                     mesh_.leaderIs(hello.node);
             },
             [this](mesh::Purpose purpose, http::Request r, std::string worker) {
                 switch (purpose) {
                     case mesh::Purpose::stateService:
                         return stateFor(std::move(r));
                     case mesh::Purpose::worker:
                         return workerFor(std::move(r), std::move(worker));
                     case mesh::Purpose::leader:
                         break;
                 }
                 return lead(std::move(r));
             },
             [this](const mesh::Pledge& p) { return leadership_.pledge(p.token, p.hold); },
             [this](const delegation::Question& q) -> std::optional<delegation::Delegation> {
                 if (!term_) return handOn(q);
                 // A successor of an older version would know nothing of delegations.
                 const bool allKnow = std::all_of(
                     settings_.peers.begin(), settings_.peers.end(), [&](const auto& p) {
                         return !mesh_.connected(p.name) || mesh_.knowsDelegations(p.name);
                     });
                 return term_->delegate(q, allKnow);
             }}),
      server_(
          loop, settings_.listen, http::ServerLimits{settings_.servedSockets()},
          [this](http::Request r) { return handle(std::move(r)); }, classify),
      holder_(delegation::Bounds::of(settings_), settings_.zone, loop.now()),
      relays_(loop, settings_.directSockets()),
      leaderSeen_(loop.now()) {
    if (settings_.peers.empty()) return;
    state_.setRelay([this](http::Request r, Duration patience, Scope& scope) {
        return mesh_.viaPeers(std::move(r), patience, scope);
    });
}

void Controller::start() {
    mesh_.start(scope_);
    server_.start(scope_);
    scope_.spawn(leadership_.run(scope_));
    if (!settings_.peers.empty()) scope_.spawn(borrow());
}

Task<void> Controller::shutDown() {
    leadership_.retire();
    // Leave the resignation a moment to reach the state service: the next leader need not wait.
    Scope pause(loop_);
    co_await loop_.sleep(100ms, pause);
    co_await abandon();
    loop_.stop();
}

http::ConnectionClass Controller::classify(const http::Request& r) {
    return r.target == beatPath ? http::ConnectionClass::agent : http::ConnectionClass::client;
}

Task<http::Response> Controller::handle(http::Request r) {
    if (r.target == "/up") {
        if (r.method != "GET") co_return plain(405, "{}");
        co_return up();
    }
    if (r.target == beatPath) {
        if (r.method != "POST") co_return plain(405, "{}");
        auto answer = co_await beat(std::move(r));
        co_return answer;
    }
    if (r.target == "/status") {
        if (r.method != "GET") co_return plain(405, "{}");
        co_return status();
    }
    auto response = co_await users(std::move(r));
    co_return response;
}

Task<http::Response> Controller::users(http::Request r) {
    const UserCall call = parseCall(r);
    if (call.verb == UserCall::Verb::none) co_return plain(404, R"({"error":"no such path"})");
    if (call.verb == UserCall::Verb::wrongMethod)
        co_return plain(405, R"({"error":"wrong method"})");
    const bool leads = term_ && term_->ready();
    JobId job = call.id;
    if (call.verb == UserCall::Verb::submit && !leads) {
        // What is malformed is so whoever leads; a leader finds out by itself.
        auto parsed = jobs::parseSubmission(r.body);
        if (std::holds_alternative<std::string>(parsed)) {
            json::Out o;
            o.open().field("error", std::get<std::string>(parsed)).close();
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
    using jobs::Word;
    const TimePoint until = loop_.now() + userPatience;
    while (loop_.now() < until) {
        const TimePoint askedAt = loop_.now();
        Word newest = Word::none;
        const auto mine = looking_.emplace(job, &newest);
        http::Request copy = r;
        auto passed = co_await passOn(std::move(copy), until - askedAt);
        looking_.erase(mine);
        if (!passed.response) break;
        const Word word = jobs::wordOf(passed.response->status, passed.response->body);
        for (auto [q, end] = looking_.equal_range(job); q != end; ++q)
            *q->second = std::max(*q->second, word);
        // A leader answers from what it knows at that moment, but its word may be held up on its
        // way here, while another node has told users something newer: then it is asked again.
        const bool mayChange = word == Word::unknown || word == Word::open;
        const bool old =
            passed.relayed && mayChange && (word < newest || loop_.now() - askedAt > answerAge);
        if (!old) co_return std::move(*passed.response);
    }
    co_return noLeader();
}

Task<Controller::Passed> Controller::passOn(http::Request r, Duration patience) {
    const TimePoint until = loop_.now() + patience;
    FencingToken asked = 0;
    while (loop_.now() < until) {
        if (term_) {
            auto response = co_await lead(std::move(r));
            co_return Passed{std::move(response), false};
        }
        const auto known = leadership_.known();
        // Asked already, and given up by the mesh: that leader cannot be reached.
        if (!known || known->node == settings_.node || known->token == asked) break;
        asked = known->token;
        http::Request copy = r;
        auto o = co_await mesh_.forward(known->node, std::move(copy), until - loop_.now(), scope_);
        if (!o.answered) continue;
        o.response.keepAlive = true;
        co_return Passed{std::move(o.response), true};
    }
    co_return Passed{};
}

Task<http::Response> Controller::workerFor(http::Request r, std::string worker) {
    if (r.target != "/commands" && r.target != "/inspect") co_return plain(400, "{}");
    // Not 502: that would count against the machine.
    const auto permit = relays_.tryAcquire();
    if (!permit) co_return plain(500, R"({"error":"no socket to spare"})");
    http::Client client(loop_, worker, 0);
    const TimePoint since = loop_.now();
    auto o = co_await client.request(std::move(r), workerPatience, scope_);
    // A node that was itself held up cannot tell whether the worker was.
    const bool heldUp = loop_.now() - since > workerPatience + workerPatience / 4;
    if (!o.answered) co_return plain(o.sent ? 504 : heldUp ? 500 : 502, "{}");
    co_return std::move(o.response);
}

Task<http::Response> Controller::stateFor(http::Request r) {
    auto o = co_await state_.direct(std::move(r), statePatience, scope_);
    if (!o.answered) co_return plain(502, "{}");
    co_return std::move(o.response);
}

Task<http::Response> Controller::lead(http::Request r) {
    const auto term = term_;  // held: it may be deposed while the request waits
    if (!term || !term->ready()) co_return noLeader();
    if (r.target == beatPath) {
        const auto report = workers::parseReport(r.body);
        if (!report) co_return malformedReport();
        co_return leaderBeat(*term, *report).value_or(noLeader());
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
            response = co_await term->withdraw(call.id);
            break;
        default:
            co_return plain(404, "{}");
    }
    if (!term->acts()) co_return noLeader();
    co_return response;
}

std::optional<http::Response> Controller::leaderBeat(Term& term, const workers::Report& report) {
    if (report.token > leadership_.token())
        leadership_.stepDown("a worker has seen a higher token");
    if (!term.acts()) return std::nullopt;
    return term.beat(report);
}

Task<http::Response> Controller::beat(http::Request r) {
    const auto report = workers::parseReport(r.body);
    if (!report) co_return malformedReport();
    if (term_)
        if (auto answer = leaderBeat(*term_, *report)) co_return std::move(*answer);
    const auto known = leadership_.known();
    if (known && known->node != settings_.node && mesh_.connected(known->node)) {
        // Passed on instead of sent away: the worker may not be able to reach the leader.
        auto passed = co_await passOn(std::move(r), relayPatience);
        // A leader whose right has ended is there, and refuses: that is no more use to a worker
        // than silence.
        if (passed.response && passed.response->status != 503)
            co_return std::move(*passed.response);
        auto lent = inItsName(*report);
        co_return lent ? std::move(*lent) : noLeader();
    }
    // Cut off from the leader, perhaps together with the worker: another node may reach both.
    std::string to = known ? mesh_.whoHears(known->token) : "";
    if (to.empty()) {
        if (auto lent = inItsName(*report)) co_return std::move(*lent);
        if (!known || known->node == settings_.node) co_return noLeader();
        to = known->node;
    }
    if (to == known->node)
        for (const auto& p : settings_.peers)
            if (p.name != known->node && mesh_.connected(p.name)) to = p.name;
    json::Out o;
    o.open().field("steward", to).close();
    co_return http::Response{421, o.text()};
}

Task<void> Controller::borrow() {
    while (!scope_.cancelled()) {
        const auto known = leadership_.known();
        if (!term_ && known && known->node != settings_.node &&
            mesh_.knowsDelegations(known->node) && mesh_.connected(known->node)) {
            const TimePoint askedAt = loop_.now();
            auto question = holder_.question(settings_.node, askedAt);
            const auto delegation =
                co_await mesh_.borrow(known->node, std::move(question), borrowPatience, scope_);
            // This node may lead by now.
            if (delegation && !term_) {
                if (!holder_.take(*delegation, askedAt, loop_.now()))
                    spdlog::error("a delegation of {} s by {} is longer than any may be: not taken",
                                  toSeconds(delegation->span), known->node);
                if (std::exchange(lentOut_, false))
                    spdlog::info("the leader is heard again: no more answers in its name");
            }
        }
        if (!term_ && holder_.wants(loop_.now())) co_await borrowFromHolders();
        co_await loop_.sleep(borrowEvery, scope_);
    }
}

Task<void> Controller::borrowFromHolders() {
    for (const auto& p : settings_.peers) {
        if (p.zone != settings_.zone || !mesh_.connected(p.name)) continue;
        const TimePoint askedAt = loop_.now();
        auto question = holder_.question(settings_.node, askedAt);
        const auto delegation =
            co_await mesh_.borrow(p.name, std::move(question), borrowPatience, scope_);
        if (!delegation || delegation->number != 0 || term_) continue;
        holder_.takeOn(*delegation, askedAt, loop_.now());
        if (!holder_.holds(loop_.now())) continue;
        spdlog::info("{} hands on its delegation, token {}", p.name, delegation->token);
        co_return;
    }
}

std::optional<delegation::Delegation> Controller::handOn(const delegation::Question& question) {
    const bool near = std::any_of(
        settings_.peers.begin(), settings_.peers.end(),
        [&](const auto& p) { return p.name == question.node && p.zone == settings_.zone; });
    // This node may have been started again itself and have heard nobody outside of the cut.
    if (!near || !(holder_.wasHandedOn() || mesh_.allHandOn())) return std::nullopt;
    const auto known = leadership_.known();
    return holder_.handOn(known ? known->token : 0, loop_.now());
}

std::optional<http::Response> Controller::inItsName(const workers::Report& report) {
    if (term_) return std::nullopt;
    const auto known = leadership_.known();
    if (!holder_.answer(report.token, report.zone, known ? known->token : 0, loop_.now()))
        return std::nullopt;
    if (!std::exchange(lentOut_, true))
        spdlog::warn("the leader is silent: answering the workers of {} in its name, token {}",
                     settings_.zone, holder_.token());
    return http::Response{200, workers::beatAnswer(holder_.token(), {})};
}

http::Response Controller::up() {
    const auto known = leadership_.known();
    const bool reachable = leadership_.mayAct() || (known && mesh_.connected(known->node));
    if (reachable) leaderSeen_ = loop_.now();
    // A moment without a leader must not cost this node its users: taking it back takes the
    // load balancer longer than an election. Without a leader anywhere, all nodes are alike.
    const bool othersServe = leadership_.stateAnswers() && known && !reachable;
    // Cut off from everything but its users: whoever keeps a connection to it would be refused for
    // as long as that lasts, and their jobs would be forgotten.
    const bool isolated = !reachable && !leadership_.stateAnswers() && !settings_.peers.empty() &&
                          std::none_of(settings_.peers.begin(), settings_.peers.end(),
                                       [&](const auto& p) { return mesh_.connected(p.name); });
    if ((othersServe || isolated) && loop_.now() - leaderSeen_ > 4s) return plain(503, "{}");
    return plain(200, "{}");
}

http::Response Controller::status() {
    json::Out o;
    o.open().field("node", settings_.node).field("leading", leadership_.mayAct());
    if (const auto known = leadership_.known())
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

}  // namespace basaltchute::app
