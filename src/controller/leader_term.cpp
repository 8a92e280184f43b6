#include "controller/leader_term.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration factTimeout = 3s;
constexpr Duration askTimeout = 900ms;
constexpr std::size_t askTries = 3;  // what a machine is given up after
constexpr Duration planEvery = 1s, planGather = 250ms;
constexpr Duration tick = 250ms;
constexpr Duration gather = 10ms;
const std::string experienceKey = "fleet/experience", experiencePrefix = experienceKey + '/';
constexpr Duration experienceEvery = 60s;
constexpr unsigned partedFormat = 2;  // of the stored state, with chains and records in parts
constexpr std::size_t slice = 64;     // tasks placed before others get their turn

std::vector<lease_delegation::Delegator::Node> othersOf(const settings::Settings& s) {
    std::vector<lease_delegation::Delegator::Node> out;
    for (const auto& p : s.peers) out.push_back({p.name, p.zone});
    return out;
}

http::Response refuse(int status, const std::string& why) {
    json::Writer o;
    o.open().field("error", why).close();
    return {status, o.text()};
}
}  // namespace

LeaderTerm::LeaderTerm(EventLoop& loop, const settings::Settings& settings,
                       const settings::OperatorSettings& operatorSettings, kv_store::Client& state,
                       LeaderElection& leadership, kv_store::Precondition guard, Hooks hooks)
    : loop_(loop),
      settings_(settings),
      store_(state),
      election_(leadership),
      scope_(loop),
      recordWritten_(loop),
      schedulerWoken_(loop),
      machineUnresponsive_(loop),
      delegator_(lease_delegation::DelegationLimits::from(settings), leadership.token(),
                 {settings.node, settings.zone}, hooks.timeSinceUse, othersOf(settings),
                 loop.now()),
      cluster_(settings, leadership.token()),
      writer_(loop, state, settings.txnOps, std::move(guard), *this, *this),
      cloud_(loop, settings, [this] { return mayAct(); }),
      autoscaler_(cluster_, loop.now()),
      commandSender_(loop, settings.directCommandSockets(), std::move(hooks.relay)),
      onLoaded_(std::move(hooks.loaded)),
      peerConnected_(std::move(hooks.peerConnected)),
      allSupportFormat_(std::move(hooks.allSupportFormat)) {
    cluster_.setOperatorSettings(operatorSettings);
    delegator_.setEnabled(operatorSettings.leaseDelegationEnabled);
    cluster_.setDelegator(delegator_);
}

void LeaderTerm::onCommitted(const std::string& key, std::uint64_t version) {
    cluster_.onRecordCommitted(key, version);
    recordWritten_.notify();
    wakeScheduler();
}

void LeaderTerm::onFenced() {
    election_.stepDown("another leader's key is in place");
}

kv_store::TooLargeAction LeaderTerm::onTooLarge(const std::string& key, std::size_t bytes) {
    spdlog::warn("record too large for the state service key={} bytes={}", key, bytes);
    cluster_.onRecordTooLarge(key, bytes);
    wakeScheduler();
    return kv_store::TooLargeAction::drop;
}

void LeaderTerm::start() {
    scope_.spawn(load());
}

Task<void> LeaderTerm::load() {
    while (!scope_.cancelled()) {
        // Nobody else writes meanwhile: whoever did before is fenced by this leader's key.
        kv_store::ListResult all = co_await store_.list(jobs::jobKeyPrefix, scope_);
        kv_store::ListResult parts;
        if (all.status == kv_store::Status::ok)
            parts = co_await store_.list(jobs::partKeyPrefix, scope_);
        if (parts.status != kv_store::Status::ok) {
            co_await loop_.sleep(200ms, scope_);
            continue;
        }
        for (const auto* items : {&all.entries, &parts.entries})
            for (const auto& item : *items) {
                if (!cluster_.loadRecord(item.key, item.data, loop_.now(), loop_.clock().wall()))
                    spdlog::error("record {} is malformed", item.key);
                writer_.setKnownRevision(item.key, item.revision);
            }
        cluster_.finishLoading(loop_.now());
        if (election_.storedFormat() >= partedFormat) cluster_.enableRecordPages();
        loaded_ = true;
        spdlog::info("loaded {} records", all.entries.size() + parts.entries.size());
        onLoaded_();
        scope_.spawn(writer_.run(scope_));
        scope_.spawn(runScheduler());
        scope_.spawn(runAutoscaler());
        scope_.spawn(pollCloud());
        scope_.spawn(loadStatistics());
        scope_.spawn(persistStatistics());
        co_return;
    }
}

void LeaderTerm::wakeScheduler() {
    schedulePending_ = true;
    schedulerWoken_.notify();
}

void LeaderTerm::flush() {
    scheduler::Effects effects = cluster_.takeEffects();
    for (const auto& [key, urgency] : effects.dirtyRecords) writer_.markDirty(key, urgency);
    for (const MachineIndex m : effects.machinesToCommand) scope_.spawn(sendDirectCommands(m));
    for (const MachineIndex m : effects.machinesToProbe) scope_.spawn(probeInbound(m));
    if (cluster_.needsRecordPages() && !raisingFormat_) scope_.spawn(raiseFormat());
}

Task<bool> LeaderTerm::enablePages() {
    if (election_.storedFormat() < partedFormat) {
        // A node that does not know it might lead next, and would lose what it cannot read.
        if (cluster_.operatorSettings().maxStoredFormat < partedFormat ||
            !allSupportFormat_(partedFormat) || !mayAct())
            co_return false;
        const bool stands = co_await election_.raiseStoredFormat(partedFormat, scope_);
        if (!stands || scope_.cancelled()) co_return false;
    }
    cluster_.enableRecordPages();
    co_return true;
}

Task<void> LeaderTerm::raiseFormat() {
    raisingFormat_ = true;
    const bool done = co_await enablePages();
    // Not while an older version is there: asked again with a later write.
    if (!done) co_await loop_.sleep(1s, scope_);
    raisingFormat_ = false;
    if (!scope_.cancelled()) flush();
}

Task<void> LeaderTerm::runScheduler() {
    while (!scope_.cancelled()) {
        if (!schedulePending_) co_await loop_.wait(schedulerWoken_, loop_.now() + tick, scope_);
        if (scope_.cancelled()) break;
        schedulePending_ = false;
        // The process may have stood still: what is decided without the right is never done.
        if (!mayAct()) {
            co_await loop_.sleep(tick, scope_);
            continue;
        }
        cluster_.advanceTo(loop_.now());
        // Beats, touches and users go on between slices of a long pass; a short pause lets one
        // pass serve many beats.
        if (cluster_.hasPlaceableWork() && cluster_.place(loop_.now(), slice))
            schedulePending_ = true;
        flush();
        co_await loop_.sleep(schedulePending_ ? Duration::zero() : gather, scope_);
    }
}

worker_api::CommandSender::Target LeaderTerm::target(MachineIndex machine) const {
    const worker_api::Machine& m = cluster_.machines()[machine];
    return {machine, m.zone.empty() ? m.listedZone : m.zone, m.address};
}

Task<void> LeaderTerm::sendDirectCommands(MachineIndex machine) {
    while (!scope_.cancelled()) {
        const auto orders = cluster_.takeDirectCommands(machine, loop_.now());
        if (orders.empty()) co_return;
        const worker_api::Machine& m = cluster_.machines()[machine];
        worker_api::CommandSender::SendResult reached;
        if (mayAct()) {
            http::Request request{
                "POST", "/commands",
                worker_api::encodeCommands(cluster_.token(), m.incarnation, orders)};
            worker_api::CommandSender::Target to = target(machine);
            reached =
                co_await commandSender_.send(std::move(to), std::move(request), 2s, false, scope_);
        }
        if (scope_.cancelled()) co_return;
        const http::RequestOutcome& o = reached.outcome;
        const bool answered = o.answered && (o.response.status == 200 || o.response.status == 409);
        if (answered) {
            if (!applyAnsweredReport(o.response.body)) co_return;
        }
        cluster_.onDirectCommandEnded(machine, reached.mayExecuteLater || (o.sent && !answered));
        wakeScheduler();
        if (!answered) {
            // The first sign that a machine is dead, often seconds before its report is late.
            if (reached.machineUnreachable) cluster_.onProbeUnanswered(machine);
            co_return;
        }
    }
}

bool LeaderTerm::applyAnsweredReport(const std::string& body) {
    const auto report = worker_api::parseStatusReport(body);
    if (!report) return true;
    if (report->token > cluster_.token()) {
        election_.stepDown("a worker has seen a higher token");
        return false;
    }
    cluster_.onStatusReport(*report, scheduler::Cluster::ReportSource::commandResponse,
                            loop_.now());
    return true;
}

Task<void> LeaderTerm::probe(MachineIndex machine) {
    if (!probing_.insert(machine).second) co_return;
    for (std::size_t tries = 0; tries < askTries && !scope_.cancelled(); ++tries) {
        http::Request request{"GET", "/inspect", ""};
        worker_api::CommandSender::Target to = target(machine);
        const auto reached = co_await commandSender_.send(std::move(to), std::move(request),
                                                          askTimeout, true, scope_);
        if (scope_.cancelled()) co_return;
        const http::RequestOutcome& o = reached.outcome;
        if (o.answered && o.response.status == 200 && applyAnsweredReport(o.response.body))
            wakeScheduler();
        // Given up only if others in its zone speak.
        if (!reached.machineUnreachable) break;
        cluster_.onProbeUnanswered(machine);
        machineUnresponsive_.notify();
    }
    probing_.erase(machine);
}

Task<void> LeaderTerm::probeInbound(MachineIndex machine) {
    http::Request request{"GET", "/inspect", ""};
    worker_api::CommandSender::Target to = target(machine);
    const auto reached =
        co_await commandSender_.send(std::move(to), std::move(request), askTimeout, true, scope_);
    const http::RequestOutcome& o = reached.outcome;
    if (!scope_.cancelled() && o.answered && o.response.status == 200 &&
        applyAnsweredReport(o.response.body))
        wakeScheduler();
}

Task<void> LeaderTerm::pollCloud() {
    TimePoint catalogueAt{}, listAt{};
    while (!scope_.cancelled()) {
        if (loop_.now() >= catalogueAt) {
            auto catalogue = co_await cloud_.catalogue(scope_);
            if (catalogue) cluster_.setCatalogue(std::move(*catalogue));
            catalogueAt = loop_.now() + (catalogue ? Duration(30s) : Duration(500ms));
            wakeScheduler();
        }
        if (loop_.now() >= listAt) {
            const auto all = co_await cloud_.list(scope_);
            if (all) autoscaler_.onMachineList(*all, loop_.now());
            listAt = loop_.now() + 2s;
        }
        co_await loop_.sleep(500ms, scope_);
    }
}

Task<void> LeaderTerm::runAutoscaler() {
    while (!scope_.cancelled()) {
        detectAwayZones();
        const autoscaler::ScalingPlan plan = autoscaler_.plan(loop_.now());
        for (const auto& wanted : plan.scaleOut) scope_.spawn(scaleOut(wanted));
        for (const MachineIndex machine : plan.probe) scope_.spawn(probe(machine));
        // Machines of a zone that this node is cut off from say nothing about death: once a sweep
        // over a peer, which was too much for it, had 140 sound ones given up.
        for (const MachineIndex machine : plan.probeSample)
            if (!commandSender_.directPathFailing(cluster_.machines()[machine].zone))
                scope_.spawn(probe(machine));
        if (!plan.terminate.empty() && mayAct()) {
            const TimePoint asked = loop_.now();
            const bool gone = co_await cloud_.remove(plan.terminate, scope_);
            if (scope_.cancelled()) co_return;
            spdlog::debug("{} machines {}, after {:.2f} s", plan.terminate.size(),
                          gone ? "deleted" : "not deleted", toSeconds(loop_.now() - asked));
            if (gone) {
                autoscaler_.onTerminated(plan.terminate, loop_.now());
                wakeScheduler();
            }
        }
        // Those who die together are found together: one look for all of them.
        const WakeReason woke =
            co_await loop_.wait(machineUnresponsive_, loop_.now() + planEvery, scope_);
        if (woke == WakeReason::signalled) co_await loop_.sleep(planGather, scope_);
    }
}

void LeaderTerm::detectAwayZones() {
    for (const auto& zone : settings_.zones) {
        const bool nodesSilent =
            std::none_of(settings_.peers.begin(), settings_.peers.end(),
                         [&](const auto& p) { return p.zone == zone && peerConnected_(p.name); });
        const bool away =
            zone != settings_.zone && nodesSilent && commandSender_.directPathFailing(zone);
        if (away == cluster_.isZoneUnreachable(zone)) continue;
        spdlog::info("zone {} is {}", zone,
                     away ? "away: its work stays, no more goes there" : "back");
        cluster_.setZoneUnreachable(zone, away);
    }
}

Task<void> LeaderTerm::loadStatistics() {
    // A record for each type; one for all of them is what versions before wrote.
    const auto found = co_await store_.list(experienceKey, scope_);
    for (const auto& item : found.entries) {
        writer_.setKnownRevision(item.key, item.revision);
        if (!autoscaler_.statistics().decode(item.data))
            spdlog::error("record {} is malformed and was skipped", item.key);
    }
}

std::optional<kv_store::EncodedRecord> LeaderTerm::encode(const std::string& key) {
    if (!key.starts_with(experiencePrefix)) return cluster_.encode(key);
    const std::string type = key.substr(experiencePrefix.size());
    return kv_store::EncodedRecord{autoscaler_.statistics().encode(type, settings_.valueBytes), 0};
}

Task<void> LeaderTerm::persistStatistics() {
    while (!scope_.cancelled()) {
        const WakeReason woke = co_await loop_.sleep(experienceEvery, scope_);
        if (woke == WakeReason::cancelled) co_return;
        const auto& changed = autoscaler_.statistics().changed();
        for (const auto& type : changed)
            if (const std::string key = experiencePrefix + type; kv_store::isValidKey(key))
                writer_.markDirty(key, kv_store::WritePriority::progress);
    }
}

Task<void> LeaderTerm::scaleOut(autoscaler::ScaleOutRequest wanted) {
    autoscaler::CloudClient::ScaleOutResult result;
    if (mayAct()) result = co_await cloud_.rent(wanted, scope_);
    if (scope_.cancelled()) co_return;
    if (result.answer == autoscaler::CloudClient::Answer::ok)
        autoscaler_.onScaledOut(wanted, result.names, loop_.now());
    else
        autoscaler_.onScaleOutFailed(
            wanted, result.answer == autoscaler::CloudClient::Answer::refused, loop_.now());
}

http::Response LeaderTerm::serviceUnavailable() const {
    http::Response r = refuse(503, "not now");
    const double backlog = static_cast<double>(writer_.backlog()) / settings_.stateWriteRps;
    r.retryAfterS = static_cast<int>(std::clamp(backlog, 1.0, 30.0));
    return r;
}

template <typename Fact>
Task<bool> LeaderTerm::waitUntilDurable(Fact fact) {
    const TimePoint until = loop_.now() + factTimeout;
    while (!fact()) {
        // What the state service does not take now is refused now: the user is told when to
        // come back, and finds the job waiting for its turn.
        if (!writer_.healthy() || loop_.now() >= until || !mayAct()) co_return false;
        const WakeReason woke = co_await loop_.wait(recordWritten_, until, scope_);
        if (woke == WakeReason::cancelled) co_return false;
    }
    co_return mayAct();
}

Task<std::optional<http::Response>> LeaderTerm::checkDependencies(const JobSpec& spec) {
    using Kind = scheduler::Cluster::DependencyError::Kind;
    if (spec.dependencies.empty()) co_return std::nullopt;
    const auto need = cluster_.checkDependencies(spec);
    const auto because = [&](const char* why) {
        return refuse(422, "waitsOn: " + need.job + ' ' + why);
    };
    switch (need.kind) {
        case Kind::self:
            co_return because("is the job itself");
        case Kind::unknown:
            co_return because("was never accepted");
        case Kind::isService:
            co_return because("is a service, which is never done");
        case Kind::notYetAccepted:
            co_return serviceUnavailable();  // its acceptance may stand or not
        case Kind::none:
            break;
    }
    const bool can = co_await enablePages();
    if (!can) co_return serviceUnavailable();
    co_return std::nullopt;
}

Task<http::Response> LeaderTerm::submit(std::string body) {
    auto parsed = jobs::parseSubmission(body);
    if (auto* error = std::get_if<jobs::SubmissionError>(&parsed))
        co_return refuse(400, error->message);
    if (!ready()) co_return serviceUnavailable();
    const JobSpec& spec = std::get<JobSpec>(parsed);
    if (cluster_.isUnreadable(spec.id)) co_return serviceUnavailable();
    Job* job = cluster_.find(spec.id);
    bool fresh = false;
    if (job == nullptr) {
        if (cluster_.catalogue().empty()) co_return serviceUnavailable();
        auto refused = co_await checkDependencies(spec);
        if (!mayAct()) co_return serviceUnavailable();
        if (refused) co_return std::move(*refused);
        if (!ready()) co_return serviceUnavailable();
        switch (cluster_.submit(spec, loop_.now(), loop_.clock().wall())) {
            case scheduler::SubmitResult::unknownTeam:
                co_return refuse(422, "unknown team");
            case scheduler::SubmitResult::fitsNoMachine:
                co_return refuse(422, "a task fits no allowed machine type");
            case scheduler::SubmitResult::overTeamLimit:
                co_return refuse(422, "the job needs more than its team's limit");
            case scheduler::SubmitResult::contradictoryPlacement:
                co_return refuse(422, "together and spread: its tasks have no place");
            case scheduler::SubmitResult::alreadyKnown:
            case scheduler::SubmitResult::accepted:
                break;
        }
        job = cluster_.find(spec.id);
        fresh = true;
        // Placed first, so that one write holds both acceptance and bindings.
        if (cluster_.hasPlaceableWork() && cluster_.place(loop_.now(), slice)) wakeScheduler();
        flush();
    }
    const bool accepted = co_await waitUntilDurable([job] { return job->accepted(); });
    if (!accepted) co_return serviceUnavailable();
    spdlog::debug("{} is accepted", job->spec.id);
    // What names a cancelled job is cancelled with it from the start, and must not be called
    // pending long after that one's user was told.
    auto response = co_await query(job->spec.id);
    if (fresh && response.status == 200) response.status = 201;
    co_return response;
}

Task<http::Response> LeaderTerm::query(JobId id) {
    if (!ready() || cluster_.isUnreadable(id)) co_return serviceUnavailable();
    Job* job = cluster_.find(id);
    if (job == nullptr) co_return refuse(404, "no such job");
    if (!job->accepted()) co_return serviceUnavailable();
    if (job->cancelDurable()) {
        cluster_.acknowledgeCancellation(*job, loop_.now());
        co_return http::Response{200, jobs::encodeStatusResponse(*job, "cancelled")};
    }
    if (!job->cancelled && job->doneDurable())
        co_return http::Response{200, jobs::encodeStatusResponse(*job, "done")};
    co_return http::Response{
        200, jobs::encodeStatusResponse(*job, job->runningCount > 0 ? "running" : "pending")};
}

Task<http::Response> LeaderTerm::cancel(JobId id) {
    if (!ready() || cluster_.isUnreadable(id)) co_return serviceUnavailable();
    Job* job = cluster_.find(id);
    if (job == nullptr) co_return refuse(404, "no such job");
    cluster_.cancel(*job, loop_.now());
    flush();
    const bool told = co_await waitUntilDurable([job] {
        return job->accepted() && (job->cancelled ? job->cancelDurable() : job->doneDurable());
    });
    if (!told) {
        // On record, and carried out as far as its machines can be reached. Where a zone that is
        // cut off still runs tasks of it, its user is told when those must be gone.
        http::Response wait = serviceUnavailable();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(
            cluster_.timeUntilAcknowledgeable(*job, loop_.now()));
        wait.retryAfterS = std::clamp(static_cast<int>(seconds.count()), wait.retryAfterS, 30);
        co_return wait;
    }
    if (job->cancelled) cluster_.acknowledgeCancellation(*job, loop_.now());
    co_return http::Response{200,
                             jobs::encodeStatusResponse(id, job->cancelled ? "cancelled" : "done")};
}

std::optional<lease_delegation::Delegation> LeaderTerm::delegate(
    const lease_delegation::DelegationRequest& question, bool delegates) {
    if (!ready()) return std::nullopt;
    const TimePoint now = loop_.now();
    const TimePoint cap = delegates
                              ? cluster_.latestDelegationEnd(delegator_.zoneOf(question.node), now)
                              : TimePoint{};
    const auto delegation = delegator_.handleRequest(question, cap, now);
    wakeScheduler();  // a withdrawal or a silent machine may have waited for what it says
    return delegation;
}

http::Response LeaderTerm::handleHeartbeat(const worker_api::StatusReport& report) {
    std::vector<worker_api::Command> orders;
    if (loaded_) {
        orders = cluster_.onHeartbeat(report, loop_.now());
        wakeScheduler();
        flush();
    }
    http::Response r{200, worker_api::encodeHeartbeatResponse(cluster_.token(), orders)};
    if (!mayAct()) return serviceUnavailable();
    return r;
}

}  // namespace basaltchute::controller
