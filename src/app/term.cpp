#include "app/term.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::app {

using namespace std::chrono_literals;

namespace {
constexpr Duration factPatience = 3s;
constexpr Duration askPatience = 900ms;
constexpr std::size_t askTries = 3;  // what a machine is given up after
constexpr Duration planEvery = 1s, planGather = 250ms;
constexpr Duration tick = 250ms;
constexpr Duration gather = 10ms;
const std::string experienceKey = "fleet/experience", experiencePrefix = experienceKey + '/';
constexpr Duration experienceEvery = 60s;
constexpr unsigned partedFormat = 2;  // of the stored state, with chains and records in parts
constexpr std::size_t slice = 64;     // tasks placed before others get their turn

std::vector<delegation::Delegator::Node> othersOf(const settings::Settings& s) {
    std::vector<delegation::Delegator::Node> out;
    for (const auto& p : s.peers) out.push_back({p.name, p.zone});
    return out;
}

http::Response refuse(int status, const std::string& why) {
    json::Out o;
    o.open().field("error", why).close();
    return {status, o.text()};
}
}  // namespace

Term::Term(Loop& loop, const settings::Settings& settings,
           const settings::Operator& operatorSettings, state::Client& state, Leadership& leadership,
           state::Guard guard, Hooks hooks)
    : loop_(loop),
      settings_(settings),
      state_(state),
      leadership_(leadership),
      scope_(loop),
      written_(loop),
      kicked_(loop),
      dying_(loop),
      delegator_(delegation::Bounds::of(settings), leadership.token(),
                 {settings.node, settings.zone}, hooks.sinceUse, othersOf(settings), loop.now()),
      cluster_(settings, leadership.token()),
      writer_(loop, state, settings.txnOps, std::move(guard),
              {[this](const std::string& key) { return encode(key); },
               [this](const std::string& key, std::uint64_t version) {
                   cluster_.committed(key, version);
                   written_.notify();
                   kick();
               },
               [this] { written_.notify(); },
               [this] { leadership_.stepDown("another leader's key is in place"); },
               {},
               [this](const std::string& key, std::size_t bytes) {
                   spdlog::warn("state service does not take {} bytes for {}", bytes, key);
                   cluster_.tooLarge(key, bytes);
                   kick();
               }}),
      cloud_(loop, settings, [this] { return acts(); }),
      fleet_(cluster_, loop.now()),
      reach_(loop, settings.directSockets(), std::move(hooks.detour)),
      onLoaded_(std::move(hooks.loaded)),
      speaks_(std::move(hooks.speaks)),
      allKnow_(std::move(hooks.allKnow)) {
    cluster_.setOperator(operatorSettings);
    delegator_.setDelegating(operatorSettings.zoneLoans);
    cluster_.setDelegator(delegator_);
}

void Term::start() {
    scope_.spawn(load());
}

Task<void> Term::load() {
    while (!scope_.cancelled()) {
        // Nobody else writes meanwhile: whoever did before is fenced by this leader's key.
        state::Listing all = co_await state_.list(jobs::blockPrefix, scope_);
        state::Listing parts;
        if (all.verdict == state::Verdict::ok)
            parts = co_await state_.list(jobs::partPrefix, scope_);
        if (parts.verdict != state::Verdict::ok) {
            co_await loop_.sleep(200ms, scope_);
            continue;
        }
        for (const auto* items : {&all.items, &parts.items})
            for (const auto& item : *items) {
                if (!cluster_.load(item.key, item.data, loop_.now(), loop_.clock().wall()))
                    spdlog::error("record {} is malformed", item.key);
                writer_.known(item.key, item.revision);
            }
        cluster_.loaded(loop_.now());
        if (leadership_.format() >= partedFormat) cluster_.setParted();
        loaded_ = true;
        spdlog::info("loaded {} records", all.items.size() + parts.items.size());
        onLoaded_();
        scope_.spawn(writer_.run(scope_));
        scope_.spawn(schedule());
        scope_.spawn(manageFleet());
        scope_.spawn(readCloud());
        scope_.spawn(recallExperience());
        scope_.spawn(keepExperience());
        co_return;
    }
}

void Term::kick() {
    dirty_ = true;
    kicked_.notify();
}

void Term::flush() {
    scheduler::Effects effects = cluster_.take();
    for (const auto& [key, urgency] : effects.dirty) writer_.dirty(key, urgency);
    for (const MachineIndex m : effects.push) scope_.spawn(direct(m));
    for (const MachineIndex m : effects.ask) scope_.spawn(hears(m));
    if (cluster_.wantsParted() && !raising_) scope_.spawn(raiseFormat());
}

Task<bool> Term::parted() {
    if (leadership_.format() < partedFormat) {
        // A node that does not know it might lead next, and would lose what it cannot read.
        if (cluster_.operatorSettings().storedFormat < partedFormat || !allKnow_(partedFormat) ||
            !acts())
            co_return false;
        const bool stands = co_await leadership_.raiseFormat(partedFormat, scope_);
        if (!stands || scope_.cancelled()) co_return false;
    }
    cluster_.setParted();
    co_return true;
}

Task<void> Term::raiseFormat() {
    raising_ = true;
    const bool done = co_await parted();
    // Not while an older version is there: asked again with a later write.
    if (!done) co_await loop_.sleep(1s, scope_);
    raising_ = false;
    if (!scope_.cancelled()) flush();
}

Task<void> Term::schedule() {
    while (!scope_.cancelled()) {
        if (!dirty_) co_await loop_.wait(kicked_, loop_.now() + tick, scope_);
        if (scope_.cancelled()) break;
        dirty_ = false;
        // The process may have stood still: what is decided without the right is never done.
        if (!acts()) {
            co_await loop_.sleep(tick, scope_);
            continue;
        }
        cluster_.expire(loop_.now());
        // Beats, touches and users go on between slices of a long pass; a short pause lets one
        // pass serve many beats.
        if (cluster_.worthPlacing() && cluster_.place(loop_.now(), slice)) dirty_ = true;
        flush();
        co_await loop_.sleep(dirty_ ? Duration::zero() : gather, scope_);
    }
}

workers::Reach::Target Term::target(MachineIndex machine) const {
    const workers::Machine& m = cluster_.machines()[machine];
    return {machine, m.zone.empty() ? m.listedZone : m.zone, m.address};
}

Task<void> Term::direct(MachineIndex machine) {
    while (!scope_.cancelled()) {
        const auto orders = cluster_.directOrders(machine, loop_.now());
        if (orders.empty()) co_return;
        const workers::Machine& m = cluster_.machines()[machine];
        workers::Reach::Reached reached;
        if (acts()) {
            http::Request request{"POST", "/commands",
                                  workers::directOrders(cluster_.token(), m.session, orders)};
            workers::Reach::Target to = target(machine);
            reached = co_await reach_.request(std::move(to), std::move(request), 2s, false, scope_);
        }
        if (scope_.cancelled()) co_return;
        const http::Outcome& o = reached.outcome;
        const bool answered = o.answered && (o.response.status == 200 || o.response.status == 409);
        if (answered) {
            if (!heed(o.response.body)) co_return;
        }
        cluster_.directEnded(machine, reached.stray || (o.sent && !answered));
        kick();
        if (!answered) {
            // The first sign that a machine is dead, often seconds before its report is late.
            if (reached.proof) cluster_.unanswered(machine);
            co_return;
        }
    }
}

bool Term::heed(const std::string& body) {
    const auto report = workers::parseReport(body);
    if (!report) return true;
    if (report->token > cluster_.token()) {
        leadership_.stepDown("a worker has seen a higher token");
        return false;
    }
    cluster_.report(*report, scheduler::Cluster::Source::direct, loop_.now());
    return true;
}

Task<void> Term::ask(MachineIndex machine) {
    if (!asking_.insert(machine).second) co_return;
    for (std::size_t tries = 0; tries < askTries && !scope_.cancelled(); ++tries) {
        http::Request request{"GET", "/inspect", ""};
        workers::Reach::Target to = target(machine);
        const auto reached =
            co_await reach_.request(std::move(to), std::move(request), askPatience, true, scope_);
        if (scope_.cancelled()) co_return;
        const http::Outcome& o = reached.outcome;
        if (o.answered && o.response.status == 200 && heed(o.response.body)) kick();
        // Given up only if others in its zone speak.
        if (!reached.proof) break;
        cluster_.unanswered(machine);
        dying_.notify();
    }
    asking_.erase(machine);
}

Task<void> Term::hears(MachineIndex machine) {
    http::Request request{"GET", "/inspect", ""};
    workers::Reach::Target to = target(machine);
    const auto reached =
        co_await reach_.request(std::move(to), std::move(request), askPatience, true, scope_);
    const http::Outcome& o = reached.outcome;
    if (!scope_.cancelled() && o.answered && o.response.status == 200 && heed(o.response.body))
        kick();
}

Task<void> Term::readCloud() {
    TimePoint catalogueAt{}, listAt{};
    while (!scope_.cancelled()) {
        if (loop_.now() >= catalogueAt) {
            auto catalogue = co_await cloud_.catalogue(scope_);
            if (catalogue) cluster_.setCatalogue(std::move(*catalogue));
            catalogueAt = loop_.now() + (catalogue ? Duration(30s) : Duration(500ms));
            kick();
        }
        if (loop_.now() >= listAt) {
            const auto all = co_await cloud_.list(scope_);
            if (all) fleet_.listed(*all, loop_.now());
            listAt = loop_.now() + 2s;
        }
        co_await loop_.sleep(500ms, scope_);
    }
}

Task<void> Term::manageFleet() {
    while (!scope_.cancelled()) {
        findAway();
        const fleet::Plan plan = fleet_.plan(loop_.now());
        for (const auto& wanted : plan.rent) scope_.spawn(rent(wanted));
        for (const MachineIndex machine : plan.ask) scope_.spawn(ask(machine));
        // Machines of a zone that this node is cut off from say nothing about death: once a sweep
        // over a peer, which was too much for it, had 140 sound ones given up.
        for (const MachineIndex machine : plan.sweep)
            if (!reach_.cut(cluster_.machines()[machine].zone)) scope_.spawn(ask(machine));
        if (!plan.remove.empty() && acts()) {
            const TimePoint asked = loop_.now();
            const bool gone = co_await cloud_.remove(plan.remove, scope_);
            if (scope_.cancelled()) co_return;
            spdlog::debug("{} machines {}, after {:.2f} s", plan.remove.size(),
                          gone ? "deleted" : "not deleted", toSeconds(loop_.now() - asked));
            if (gone) {
                fleet_.removed(plan.remove, loop_.now());
                kick();
            }
        }
        // Those who die together are found together: one look for all of them.
        const Wake woke = co_await loop_.wait(dying_, loop_.now() + planEvery, scope_);
        if (woke == Wake::signalled) co_await loop_.sleep(planGather, scope_);
    }
}

void Term::findAway() {
    for (const auto& zone : settings_.zones) {
        const bool nodesSilent =
            std::none_of(settings_.peers.begin(), settings_.peers.end(),
                         [&](const auto& p) { return p.zone == zone && speaks_(p.name); });
        const bool away = zone != settings_.zone && nodesSilent && reach_.cut(zone);
        if (away == cluster_.away(zone)) continue;
        spdlog::info("zone {} is {}", zone,
                     away ? "away: its work stays, no more goes there" : "back");
        cluster_.setAway(zone, away);
    }
}

Task<void> Term::recallExperience() {
    // A record for each type; one for all of them is what versions before wrote.
    const auto found = co_await state_.list(experienceKey, scope_);
    for (const auto& item : found.items) {
        writer_.known(item.key, item.revision);
        if (!fleet_.experience().decode(item.data))
            spdlog::error("record {} is malformed and was skipped", item.key);
    }
}

std::optional<state::Encoded> Term::encode(const std::string& key) {
    if (!key.starts_with(experiencePrefix)) return cluster_.encode(key);
    const std::string type = key.substr(experiencePrefix.size());
    return state::Encoded{fleet_.experience().encode(type, settings_.valueBytes), 0};
}

Task<void> Term::keepExperience() {
    while (!scope_.cancelled()) {
        const Wake woke = co_await loop_.sleep(experienceEvery, scope_);
        if (woke == Wake::cancelled) co_return;
        const auto& changed = fleet_.experience().changed();
        for (const auto& type : changed)
            if (const std::string key = experiencePrefix + type; state::validKey(key))
                writer_.dirty(key, state::Urgency::progress);
    }
}

Task<void> Term::rent(fleet::Rent wanted) {
    fleet::Cloud::Rented result;
    if (acts()) result = co_await cloud_.rent(wanted, scope_);
    if (scope_.cancelled()) co_return;
    if (result.answer == fleet::Cloud::Answer::ok)
        fleet_.rented(wanted, result.names, loop_.now());
    else
        fleet_.rentFailed(wanted, result.answer == fleet::Cloud::Answer::refused, loop_.now());
}

http::Response Term::later() const {
    http::Response r = refuse(503, "not now");
    const double backlog = static_cast<double>(writer_.backlog()) / settings_.stateWriteRps;
    r.retryAfterS = static_cast<int>(std::clamp(backlog, 1.0, 30.0));
    return r;
}

template <typename Fact>
Task<bool> Term::stands(Fact fact) {
    const TimePoint until = loop_.now() + factPatience;
    while (!fact()) {
        // What the state service does not take now is refused now: the user is told when to
        // come back, and finds the job waiting for its turn.
        if (!writer_.healthy() || loop_.now() >= until || !acts()) co_return false;
        const Wake woke = co_await loop_.wait(written_, until, scope_);
        if (woke == Wake::cancelled) co_return false;
    }
    co_return acts();
}

Task<std::optional<http::Response>> Term::refuseNeeds(const JobSpec& spec) {
    using Wrong = scheduler::Cluster::Need::Wrong;
    if (spec.needs.empty()) co_return std::nullopt;
    const auto need = cluster_.wrongNeed(spec);
    const auto because = [&](const char* why) {
        return refuse(422, "waitsOn: " + need.id + ' ' + why);
    };
    switch (need.wrong) {
        case Wrong::itself:
            co_return because("is the job itself");
        case Wrong::unknown:
            co_return because("was never accepted");
        case Wrong::service:
            co_return because("is a service, which is never done");
        case Wrong::unsure:
            co_return later();  // its acceptance may stand or not
        case Wrong::nothing:
            break;
    }
    const bool can = co_await parted();
    if (!can) co_return later();
    co_return std::nullopt;
}

Task<http::Response> Term::submit(std::string body) {
    auto parsed = jobs::parseSubmission(body);
    if (auto* why = std::get_if<std::string>(&parsed)) co_return refuse(400, *why);
    if (!ready()) co_return later();
    const JobSpec& spec = std::get<JobSpec>(parsed);
    if (cluster_.unreadable(spec.id)) co_return later();
    Job* job = cluster_.find(spec.id);
    bool fresh = false;
    if (job == nullptr) {
        if (cluster_.catalogue().empty()) co_return later();
        auto refused = co_await refuseNeeds(spec);
        if (!acts()) co_return later();
        if (refused) co_return std::move(*refused);
        if (!ready()) co_return later();
        switch (cluster_.submit(spec, loop_.now(), loop_.clock().wall())) {
            case scheduler::Submitted::unknownTeam:
                co_return refuse(422, "unknown team");
            case scheduler::Submitted::fitsNowhere:
                co_return refuse(422, "a task fits no allowed machine type");
            case scheduler::Submitted::overLimit:
                co_return refuse(422, "the job needs more than its team's limit");
            case scheduler::Submitted::contradicts:
                co_return refuse(422, "together and spread: its tasks have no place");
            case scheduler::Submitted::known:
            case scheduler::Submitted::fresh:
                break;
        }
        job = cluster_.find(spec.id);
        fresh = true;
        // Placed first, so that one write holds both acceptance and bindings.
        if (cluster_.worthPlacing() && cluster_.place(loop_.now(), slice)) kick();
        flush();
    }
    const bool accepted = co_await stands([job] { return job->accepted(); });
    if (!accepted) co_return later();
    spdlog::debug("{} is accepted", job->spec.id);
    // What names a cancelled job is cancelled with it from the start, and must not be called
    // pending long after that one's user was told.
    auto response = co_await query(job->spec.id);
    if (fresh && response.status == 200) response.status = 201;
    co_return response;
}

Task<http::Response> Term::query(JobId id) {
    if (!ready() || cluster_.unreadable(id)) co_return later();
    Job* job = cluster_.find(id);
    if (job == nullptr) co_return refuse(404, "no such job");
    if (!job->accepted()) co_return later();
    if (job->cancelDurable()) {
        cluster_.told(*job, loop_.now());
        co_return http::Response{200, jobs::statusText(*job, "cancelled")};
    }
    if (!job->cancelled && job->doneDurable())
        co_return http::Response{200, jobs::statusText(*job, "done")};
    co_return http::Response{200,
                             jobs::statusText(*job, job->runningCount > 0 ? "running" : "pending")};
}

Task<http::Response> Term::withdraw(JobId id) {
    if (!ready() || cluster_.unreadable(id)) co_return later();
    Job* job = cluster_.find(id);
    if (job == nullptr) co_return refuse(404, "no such job");
    cluster_.cancel(*job, loop_.now());
    flush();
    const bool told = co_await stands([job] {
        return job->accepted() && (job->cancelled ? job->cancelDurable() : job->doneDurable());
    });
    if (!told) {
        // On record, and carried out as far as its machines can be reached. Where a zone that is
        // cut off still runs tasks of it, its user is told when those must be gone.
        http::Response wait = later();
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(cluster_.tellableIn(*job, loop_.now()));
        wait.retryAfterS = std::clamp(static_cast<int>(seconds.count()), wait.retryAfterS, 30);
        co_return wait;
    }
    if (job->cancelled) cluster_.told(*job, loop_.now());
    co_return http::Response{200, jobs::statusText(id, job->cancelled ? "cancelled" : "done")};
}

std::optional<delegation::Delegation> Term::delegate(const delegation::Question& question,
                                                     bool delegates) {
    if (!ready()) return std::nullopt;
    const TimePoint now = loop_.now();
    const TimePoint cap =
        delegates ? cluster_.delegationCap(delegator_.zoneOf(question.node), now) : TimePoint{};
    const auto delegation = delegator_.asked(question, cap, now);
    kick();  // a withdrawal or a silent machine may have waited for what it says
    return delegation;
}

http::Response Term::beat(const workers::Report& report) {
    std::vector<workers::Order> orders;
    if (loaded_) {
        orders = cluster_.beat(report, loop_.now());
        kick();
        flush();
    }
    http::Response r{200, workers::beatAnswer(cluster_.token(), orders)};
    if (!acts()) return later();
    return r;
}

}  // namespace basaltchute::app
