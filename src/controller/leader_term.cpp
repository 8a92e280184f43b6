#include "controller/leader_term.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
/// How long a user's request waits to become durable before the user is told to try again.
constexpr Duration durabilityTimeout = 3s;
constexpr Duration loadRetryDelay = 200ms;
constexpr Duration commandTimeout = 2s;
constexpr Duration probeTimeout = 900ms;
constexpr std::size_t maxProbes = 3;  // in a row; a machine that answers none counts as dead
constexpr Duration autoscalerInterval = 1s;
/// Delay between an unanswered probe and the next autoscaler pass. Machines that fail together are
/// noticed shortly after each other; the delay lets one pass handle all of them.
constexpr Duration autoscalerBatchDelay = 250ms;
constexpr Duration schedulerInterval = 250ms;
/// Delay between two scheduler passes, so that one pass serves many heartbeats.
constexpr Duration schedulerBatchDelay = 10ms;
/// Tasks that one scheduler pass places before heartbeats and users' requests get their turn.
constexpr std::size_t placementBatchSize = 64;
/// Runtime statistics: one record for each machine type, under the prefix.
const std::string statisticsKey = "fleet/experience", statisticsPrefix = statisticsKey + '/';
constexpr Duration statisticsInterval = 60s;
constexpr Duration cloudPollInterval = 500ms;
constexpr Duration machineListInterval = 2s;
constexpr Duration catalogueInterval = 30s, catalogueRetryDelay = 500ms;
/// First format of the stored state that has job dependencies and record pages.
constexpr unsigned pagedFormat = 2;
constexpr Duration formatRetryDelay = 1s;

std::vector<lease_delegation::Delegator::Node> otherNodes(const settings::Settings& s) {
    std::vector<lease_delegation::Delegator::Node> out;
    for (const auto& p : s.peers) out.push_back({p.name, p.zone});
    return out;
}

http::Response errorResponse(int status, const std::string& message) {
    json::Writer out;
    out.open().field("error", message).close();
    return {status, out.text()};
}
}  // namespace

LeaderTerm::LeaderTerm(EventLoop& loop, const settings::Settings& settings,
                       const settings::OperatorSettings& operatorSettings, kv_store::Client& store,
                       LeaderElection& election, kv_store::Precondition fence, Hooks hooks)
    : loop_(loop),
      settings_(settings),
      store_(store),
      election_(election),
      scope_(loop),
      recordWritten_(loop),
      schedulerWoken_(loop),
      probeUnanswered_(loop),
      delegator_(lease_delegation::DelegationLimits::from(settings), election.token(),
                 {settings.node, settings.zone}, hooks.timeSinceDelegationUse, otherNodes(settings),
                 loop.now()),
      cluster_(settings, election.token()),
      writer_(loop, store, settings.txnOps, std::move(fence), *this, *this),
      cloud_(loop, settings, [this] { return mayAct(); }),
      autoscaler_(cluster_, loop.now()),
      commandSender_(loop, settings.directCommandSockets(), std::move(hooks.relay)),
      onLoaded_(std::move(hooks.onLoaded)),
      peerConnected_(std::move(hooks.peerConnected)),
      peersSupportFormat_(std::move(hooks.peersSupportFormat)) {
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
    election_.stepDown("another leader key is stored");
}

kv_store::RefusedRecordAction LeaderTerm::onRecordRefused(const kv_store::RefusedRecord& record) {
    if (record.key.starts_with(statisticsPrefix)) {
        spdlog::warn("statistics are refused by the state service: key={} bytes={}", record.key,
                     record.bytes);
        return kv_store::RefusedRecordAction::drop;  // written again once they have changed
    }
    const auto action = cluster_.onRecordRefused(record);
    recordWritten_.notify();
    wakeScheduler();
    return action;
}

void LeaderTerm::start() {
    scope_.spawn(load());
}

Task<void> LeaderTerm::load() {
    while (!scope_.cancelled()) {
        // No other node writes during the load: former leaders are fenced by this leader's key.
        kv_store::ListResult jobRecords = co_await store_.list(jobs::jobKeyPrefix, scope_);
        kv_store::ListResult pageRecords;
        if (jobRecords.status == kv_store::Status::ok)
            pageRecords = co_await store_.list(jobs::partKeyPrefix, scope_);
        if (pageRecords.status != kv_store::Status::ok) {
            co_await loop_.sleep(loadRetryDelay, scope_);
            continue;
        }
        for (const auto* items : {&jobRecords.entries, &pageRecords.entries})
            for (const auto& item : *items) {
                if (!cluster_.loadRecord(item.key, item.data, loop_.now(), loop_.clock().wall()))
                    spdlog::error("record is malformed: key={}", item.key);
                writer_.setKnownRevision(item.key, item.revision);
            }
        cluster_.finishLoading(loop_.now());
        if (election_.storedFormat() >= pagedFormat) cluster_.enableRecordPages();
        loaded_ = true;
        spdlog::info("records loaded: count={}",
                     jobRecords.entries.size() + pageRecords.entries.size());
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
    schedulingRequested_ = true;
    schedulerWoken_.notify();
}

void LeaderTerm::applyEffects() {
    scheduler::Effects effects = cluster_.takeEffects();
    for (const auto& [key, priority] : effects.dirtyRecords) writer_.markDirty(key, priority);
    for (const MachineIndex m : effects.machinesToCommand) scope_.spawn(sendDirectCommands(m));
    for (const MachineIndex m : effects.machinesToProbe) scope_.spawn(probeInboundPartition(m));
    if (cluster_.needsRecordPages() && !raisingFormat_) scope_.spawn(tryRaiseFormat());
}

Task<bool> LeaderTerm::ensurePagedFormat() {
    if (election_.storedFormat() < pagedFormat) {
        // A node that does not support the format could lead next and lose what it cannot read.
        if (cluster_.operatorSettings().maxStoredFormat < pagedFormat ||
            !peersSupportFormat_(pagedFormat) || !mayAct())
            co_return false;
        const bool raised = co_await election_.raiseStoredFormat(pagedFormat, scope_);
        if (!raised || scope_.cancelled()) co_return false;
    }
    cluster_.enableRecordPages();
    co_return true;
}

Task<void> LeaderTerm::tryRaiseFormat() {
    raisingFormat_ = true;
    const bool enabled = co_await ensurePagedFormat();
    // Most likely some node runs an older version. applyEffects() below tries again.
    if (!enabled) co_await loop_.sleep(formatRetryDelay, scope_);
    raisingFormat_ = false;
    if (!scope_.cancelled()) applyEffects();
}

Task<void> LeaderTerm::runScheduler() {
    while (!scope_.cancelled()) {
        if (!schedulingRequested_)
            co_await loop_.wait(schedulerWoken_, loop_.now() + schedulerInterval, scope_);
        if (scope_.cancelled()) break;
        schedulingRequested_ = false;
        // The process may have been suspended for longer than its lease. A decision made without a
        // valid lease would never be carried out.
        if (!mayAct()) {
            co_await loop_.sleep(schedulerInterval, scope_);
            continue;
        }
        cluster_.advanceTo(loop_.now());
        // A long pass is split into batches, so that heartbeats, keep-alives and users' requests
        // are handled in between.
        if (cluster_.hasPlaceableWork() && cluster_.place(loop_.now(), placementBatchSize))
            schedulingRequested_ = true;
        applyEffects();
        co_await loop_.sleep(schedulingRequested_ ? Duration::zero() : schedulerBatchDelay, scope_);
    }
}

worker_api::CommandSender::Target LeaderTerm::commandTarget(MachineIndex machine) const {
    const worker_api::Machine& m = cluster_.machines()[machine];
    return {machine, m.zone.empty() ? m.listedZone : m.zone, m.address};
}

Task<void> LeaderTerm::sendDirectCommands(MachineIndex machine) {
    while (!scope_.cancelled()) {
        const auto commands = cluster_.takeDirectCommands(machine, loop_.now());
        if (commands.empty()) co_return;
        const worker_api::Machine& m = cluster_.machines()[machine];
        worker_api::CommandSender::SendResult result;
        if (mayAct()) {
            http::Request request{"POST", "/commands",
                                  worker_api::encodeCommands(cluster_.commandToken(machine),
                                                             m.incarnation, commands)};
            worker_api::CommandSender::Target target = commandTarget(machine);
            result =
                co_await commandSender_.send(std::move(target), std::move(request), commandTimeout,
                                             /*relayIfUnanswered=*/false, scope_);
        }
        if (scope_.cancelled()) co_return;
        const http::RequestOutcome& outcome = result.outcome;
        const bool answered =
            outcome.answered && (outcome.response.status == 200 || outcome.response.status == 409);
        if (answered) {
            if (!applyReportInResponse(outcome.response.body)) co_return;
        }
        cluster_.onDirectCommandEnded(machine,
                                      result.mayExecuteLater || (outcome.sent && !answered));
        wakeScheduler();
        if (!answered) {
            // An unanswered command is often the first sign that a machine is dead, seconds before
            // its heartbeat is late.
            if (result.machineUnreachable) cluster_.onProbeUnanswered(machine);
            co_return;
        }
    }
}

bool LeaderTerm::applyReportInResponse(const std::string& body) {
    const auto report = worker_api::parseStatusReport(body);
    if (!report) return true;
    if (report->token > cluster_.lastToken()) {
        election_.stepDown("an agent has seen a higher fencing token");
        return false;
    }
    cluster_.onStatusReport(*report, scheduler::Cluster::ReportSource::commandResponse,
                            loop_.now());
    return true;
}

Task<void> LeaderTerm::probeSilentMachine(MachineIndex machine) {
    if (!probedMachines_.insert(machine).second) co_return;
    for (std::size_t attempt = 0; attempt < maxProbes && !scope_.cancelled(); ++attempt) {
        http::Request request{"GET", "/inspect", ""};
        worker_api::CommandSender::Target target = commandTarget(machine);
        const auto result =
            co_await commandSender_.send(std::move(target), std::move(request), probeTimeout,
                                         /*relayIfUnanswered=*/true, scope_);
        if (scope_.cancelled()) co_return;
        const http::RequestOutcome& outcome = result.outcome;
        if (outcome.answered && outcome.response.status == 200 &&
            applyReportInResponse(outcome.response.body))
            wakeScheduler();
        // `machineUnreachable` is set only if other machines in the zone answer.
        if (!result.machineUnreachable) break;
        cluster_.onProbeUnanswered(machine);
        probeUnanswered_.notify();
    }
    probedMachines_.erase(machine);
}

Task<void> LeaderTerm::probeInboundPartition(MachineIndex machine) {
    http::Request request{"GET", "/inspect", ""};
    worker_api::CommandSender::Target target = commandTarget(machine);
    const auto result = co_await commandSender_.send(
        std::move(target), std::move(request), probeTimeout, /*relayIfUnanswered=*/true, scope_);
    const http::RequestOutcome& outcome = result.outcome;
    if (!scope_.cancelled() && outcome.answered && outcome.response.status == 200 &&
        applyReportInResponse(outcome.response.body))
        wakeScheduler();
}

Task<void> LeaderTerm::pollCloud() {
    TimePoint nextCatalogueAt{}, nextListAt{};
    while (!scope_.cancelled()) {
        if (loop_.now() >= nextCatalogueAt) {
            auto catalogue = co_await cloud_.fetchCatalogue(scope_);
            if (catalogue) cluster_.setCatalogue(std::move(*catalogue));
            nextCatalogueAt = loop_.now() + (catalogue ? catalogueInterval : catalogueRetryDelay);
            wakeScheduler();
        }
        if (loop_.now() >= nextListAt) {
            const auto machines = co_await cloud_.listMachines(scope_);
            if (machines) autoscaler_.onMachineList(*machines, loop_.now());
            nextListAt = loop_.now() + machineListInterval;
        }
        co_await loop_.sleep(cloudPollInterval, scope_);
    }
}

Task<void> LeaderTerm::runAutoscaler() {
    while (!scope_.cancelled()) {
        updateUnreachableZones();
        const autoscaler::ScalingPlan plan = autoscaler_.plan(loop_.now());
        for (const auto& request : plan.scaleOut) scope_.spawn(scaleOut(request));
        for (const MachineIndex machine : plan.probe) scope_.spawn(probeSilentMachine(machine));
        // While this node is cut off from a zone, probes go through a peer, and an unanswered probe
        // is no evidence that the machine is dead: probing a whole zone once overloaded the peer,
        // and 140 healthy machines were taken for dead.
        for (const MachineIndex machine : plan.probeSample)
            if (!commandSender_.directPathFailing(cluster_.machines()[machine].zone))
                scope_.spawn(probeSilentMachine(machine));
        if (!plan.terminate.empty() && mayAct()) {
            const TimePoint requestedAt = loop_.now();
            const bool terminated = co_await cloud_.deleteMachines(plan.terminate, scope_);
            if (scope_.cancelled()) co_return;
            spdlog::debug(
                "{}: count={} duration={:.2f}s",
                terminated ? "machines terminated" : "machine termination is not confirmed",
                plan.terminate.size(), toSeconds(loop_.now() - requestedAt));
            if (terminated) {
                autoscaler_.onTerminated(plan.terminate, loop_.now());
                wakeScheduler();
            }
        }
        const WakeReason woke =
            co_await loop_.wait(probeUnanswered_, loop_.now() + autoscalerInterval, scope_);
        if (woke == WakeReason::signalled) co_await loop_.sleep(autoscalerBatchDelay, scope_);
    }
}

void LeaderTerm::updateUnreachableZones() {
    for (const auto& zone : settings_.zones) {
        const bool controllersSilent =
            std::none_of(settings_.peers.begin(), settings_.peers.end(),
                         [&](const auto& p) { return p.zone == zone && peerConnected_(p.name); });
        const bool unreachable =
            zone != settings_.zone && controllersSilent && commandSender_.directPathFailing(zone);
        if (unreachable == cluster_.isZoneUnreachable(zone)) continue;
        spdlog::info("{}: zone={}",
                     unreachable ? "zone is unreachable, its tasks stay and it gets no new ones"
                                 : "zone is reachable again",
                     zone);
        cluster_.setZoneUnreachable(zone, unreachable);
    }
}

Task<void> LeaderTerm::loadStatistics() {
    // One record for each machine type. Earlier versions wrote a single record, under
    // statisticsKey.
    const auto found = co_await store_.list(statisticsKey, scope_);
    for (const auto& item : found.entries) {
        writer_.setKnownRevision(item.key, item.revision);
        if (!autoscaler_.statistics().decode(item.data))
            spdlog::error("record is malformed and was skipped: key={}", item.key);
    }
}

std::optional<kv_store::EncodedRecord> LeaderTerm::encode(const std::string& key) {
    if (!key.starts_with(statisticsPrefix)) return cluster_.encode(key);
    const std::string type = key.substr(statisticsPrefix.size());
    return kv_store::EncodedRecord{autoscaler_.statistics().encode(type, settings_.valueBytes), 0};
}

Task<void> LeaderTerm::persistStatistics() {
    while (!scope_.cancelled()) {
        const WakeReason woke = co_await loop_.sleep(statisticsInterval, scope_);
        if (woke == WakeReason::cancelled) co_return;
        const auto& changed = autoscaler_.statistics().changed();
        for (const auto& type : changed)
            if (const std::string key = statisticsPrefix + type; kv_store::isValidKey(key))
                writer_.markDirty(key, kv_store::WritePriority::progress);
    }
}

Task<void> LeaderTerm::scaleOut(autoscaler::ScaleOutRequest request) {
    autoscaler::CloudClient::ScaleOutResult result;
    if (mayAct()) result = co_await cloud_.createMachines(request, scope_);
    if (scope_.cancelled()) co_return;
    if (result.answer == autoscaler::CloudClient::Answer::ok)
        autoscaler_.onScaledOut(request, result.names, loop_.now());
    else
        autoscaler_.onScaleOutFailed(
            request, result.answer == autoscaler::CloudClient::Answer::refused, loop_.now());
}

http::Response LeaderTerm::serviceUnavailable() const {
    http::Response response = errorResponse(503, "not now");
    const double backlogSeconds = static_cast<double>(writer_.backlog()) / settings_.stateWriteRps;
    response.retryAfterS = static_cast<int>(std::clamp(backlogSeconds, 1.0, 30.0));
    return response;
}

template <typename Predicate>
Task<bool> LeaderTerm::waitUntilDurable(JobId id, Predicate isDurable) {
    const TimePoint until = loop_.now() + durabilityTimeout;
    while (true) {
        const Job* job = cluster_.find(id);
        if (job == nullptr) co_return false;
        if (isDurable(*job)) break;
        // While the state service refuses writes, the user is told at once when to try again. The
        // job stays queued for its write.
        if (!writer_.healthy() || loop_.now() >= until || !mayAct()) co_return false;
        const WakeReason woke = co_await loop_.wait(recordWritten_, until, scope_);
        if (woke == WakeReason::cancelled) co_return false;
    }
    co_return mayAct();
}

Task<std::optional<http::Response>> LeaderTerm::checkDependencies(const JobSpec& spec) {
    using Kind = scheduler::Cluster::DependencyError::Kind;
    if (spec.dependencies.empty()) co_return std::nullopt;
    const auto dependencyError = cluster_.checkDependencies(spec);
    const auto rejected = [&](const char* reason) {
        return errorResponse(422, "waitsOn: " + dependencyError.job + ' ' + reason);
    };
    switch (dependencyError.kind) {
        case Kind::self:
            co_return rejected("is the job itself");
        case Kind::unknown:
            co_return rejected("was never accepted");
        case Kind::isService:
            co_return rejected("is a service, which is never done");
        case Kind::notYetAccepted:
            // It is not known yet whether the dependency was accepted.
            co_return serviceUnavailable();
        case Kind::none:
            break;
    }
    const bool enabled = co_await ensurePagedFormat();
    if (!enabled) co_return serviceUnavailable();
    co_return std::nullopt;
}

Task<http::Response> LeaderTerm::submit(std::string body) {
    auto parsed = jobs::parseSubmission(body);
    if (auto* error = std::get_if<jobs::SubmissionError>(&parsed))
        co_return errorResponse(400, error->message);
    if (!ready()) co_return serviceUnavailable();
    const JobSpec& spec = std::get<JobSpec>(parsed);
    if (cluster_.isUnreadable(spec.id)) co_return serviceUnavailable();
    bool isNew = false;
    if (cluster_.find(spec.id) == nullptr) {
        if (cluster_.catalogue().empty()) co_return serviceUnavailable();
        auto refused = co_await checkDependencies(spec);
        if (!mayAct()) co_return serviceUnavailable();
        if (refused) co_return std::move(*refused);
        if (!ready()) co_return serviceUnavailable();
        switch (cluster_.submit(spec, loop_.now(), loop_.clock().wall())) {
            case scheduler::SubmitResult::unknownTeam:
                co_return errorResponse(422, "unknown team");
            case scheduler::SubmitResult::fitsNoMachine:
                co_return errorResponse(422, "a task fits no allowed machine type");
            case scheduler::SubmitResult::overTeamLimit:
                co_return errorResponse(422, "the job needs more than its team's limit");
            case scheduler::SubmitResult::contradictoryPlacement:
                co_return errorResponse(422, "together and spread: its tasks have no place");
            case scheduler::SubmitResult::alreadyKnown:
            case scheduler::SubmitResult::accepted:
                break;
        }
        isNew = true;
        // Tasks are placed before the first write, so that one write holds both acceptance and
        // bindings.
        if (cluster_.hasPlaceableWork() && cluster_.place(loop_.now(), placementBatchSize))
            wakeScheduler();
        applyEffects();
    }
    const bool accepted = co_await waitUntilDurable(
        spec.id, [](const Job& submitted) { return submitted.accepted(); });
    if (!accepted) co_return serviceUnavailable();
    spdlog::debug("job accepted: job={}", spec.id);
    // A job that depends on a cancelled job is cancelled on submission. It must not be reported as
    // pending long after the user was told that the other job is cancelled.
    auto response = co_await query(spec.id);
    if (isNew && response.status == 200) response.status = 201;
    co_return response;
}

Task<http::Response> LeaderTerm::query(JobId id) {
    if (!ready() || cluster_.isUnreadable(id)) co_return serviceUnavailable();
    Job* job = cluster_.find(id);
    if (job == nullptr) co_return errorResponse(404, "no such job");
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
    if (job == nullptr) co_return errorResponse(404, "no such job");
    cluster_.cancel(*job, loop_.now());
    applyEffects();
    const bool durable = co_await waitUntilDurable(id, [](const Job& cancelled) {
        return cancelled.accepted() &&
               (cancelled.cancelled ? cancelled.cancelDurable() : cancelled.doneDurable());
    });
    job = cluster_.find(id);  // its submission may have been dropped
    if (job == nullptr) co_return serviceUnavailable();
    if (!durable) {
        // The cancellation is on record and carried out on all machines that can be reached. If a
        // zone that is cut off may still run tasks of the job, Retry-After says when those must
        // have ended.
        http::Response response = serviceUnavailable();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(
            cluster_.timeUntilAcknowledgeable(*job, loop_.now()));
        response.retryAfterS =
            std::clamp(static_cast<int>(seconds.count()), response.retryAfterS, 30);
        co_return response;
    }
    if (job->cancelled) cluster_.acknowledgeCancellation(*job, loop_.now());
    co_return http::Response{200,
                             jobs::encodeStatusResponse(id, job->cancelled ? "cancelled" : "done")};
}

std::optional<lease_delegation::Delegation> LeaderTerm::handleDelegationRequest(
    const lease_delegation::DelegationRequest& request, bool peersSupportDelegations) {
    if (!ready()) return std::nullopt;
    const TimePoint now = loop_.now();
    const TimePoint latestEnd =
        peersSupportDelegations ? cluster_.latestDelegationEnd(delegator_.zoneOf(request.node), now)
                                : TimePoint{};
    const auto delegation = delegator_.handleRequest(request, latestEnd, now);
    wakeScheduler();  // the request may end the wait for a cancellation or a silent machine's lease
    return delegation;
}

http::Response LeaderTerm::handleHeartbeat(const worker_api::StatusReport& report) {
    std::vector<worker_api::Command> commands;
    if (loaded_) {
        commands = cluster_.onHeartbeat(report, loop_.now());
        wakeScheduler();
        applyEffects();
    }
    http::Response response{
        200, worker_api::encodeHeartbeatResponse(cluster_.commandToken(report.machine), commands)};
    if (!mayAct()) return serviceUnavailable();
    return response;
}

}  // namespace basaltchute::controller
