#include "controller/leader_term.h"

#include <spdlog/spdlog.h>

#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration loadRetryInterval = 200ms;
constexpr Duration schedulingInterval = 250ms;
constexpr Duration schedulingPause = 10ms;

std::vector<lease_delegation::Delegator::Node> peersOf(const settings::Settings& settings) {
    std::vector<lease_delegation::Delegator::Node> nodes;
    for (const auto& peer : settings.peers) nodes.push_back({peer.name, peer.zone});
    return nodes;
}
}  // namespace

LeaderTerm::LeaderTerm(EventLoop& loop, const settings::Settings& settings,
                       const settings::Operator& operatorSettings, kv_store::Client& state,
                       LeaderElection& leadership, kv_store::Precondition guard,
                       Duration sinceDelegationUse, LeaderTermEnvironment& environment)
    : loop_(loop),
      settings_(settings),
      store_(state),
      election_(leadership),
      scope_(loop),
      recordWritten_(loop),
      schedulerWoken_(loop),
      delegator_(lease_delegation::DelegationLimits::from(settings), leadership.token(),
                 {settings.node, settings.zone}, sinceDelegationUse, peersOf(settings), loop.now()),
      cluster_(settings, leadership.token()),
      writer_(loop, state, settings.txnOps, std::move(guard),
              {[this](const std::string& key) { return encode(key); },
               [this](const std::string& key, std::uint64_t version) {
                   cluster_.committed(key, version);
                   recordWritten_.notify();
                   wakeScheduler();
               },
               [this] { recordWritten_.notify(); },
               [this] { election_.stepDown("another leader's key is in place"); },
               {},
               [this](const std::string& key, std::size_t bytes) {
                   spdlog::warn("record refused reason=too-large key={} bytes={}", key, bytes);
                   cluster_.tooLarge(key, bytes);
                   wakeScheduler();
               }}),
      context_{loop_,  settings_, store_,  election_,      environment,
               scope_, cluster_,  writer_, recordWritten_, schedulerWoken_},
      commands_(context_),
      effects_(context_, commands_),
      requests_(context_, effects_),
      autoscaling_(context_, commands_) {
    cluster_.setOperator(operatorSettings);
    delegator_.setEnabled(operatorSettings.zoneLoans);
    cluster_.setDelegator(delegator_);
}

void LeaderTerm::start() {
    scope_.spawn(load());
}

Task<void> LeaderTerm::load() {
    while (!scope_.cancelled()) {
        // Nobody else writes meanwhile: whoever did before is fenced by this leader's key.
        kv_store::ListResult blocks = co_await store_.list(jobs::blockPrefix, scope_);
        kv_store::ListResult parts;
        if (blocks.status == kv_store::Status::ok)
            parts = co_await store_.list(jobs::partPrefix, scope_);
        if (parts.status != kv_store::Status::ok) {
            co_await loop_.sleep(loadRetryInterval, scope_);
            continue;
        }
        applyRecords(blocks.entries);
        applyRecords(parts.entries);
        cluster_.loaded(loop_.now());
        if (election_.format() >= pagedFormat) cluster_.enablePages();
        context_.loaded = true;
        spdlog::info("records loaded count={}", blocks.entries.size() + parts.entries.size());
        context_.environment.recordsLoaded();
        startRoutines();
        co_return;
    }
}

void LeaderTerm::applyRecords(const std::vector<kv_store::KeyValue>& records) {
    for (const auto& record : records) {
        if (!cluster_.load(record.key, record.data, loop_.now(), loop_.clock().wall()))
            spdlog::error("record skipped key={} reason=malformed", record.key);
        writer_.setKnownRevision(record.key, record.revision);
    }
}

void LeaderTerm::startRoutines() {
    scope_.spawn(writer_.run(scope_));
    scope_.spawn(runScheduler());
    autoscaling_.start();
}

Task<void> LeaderTerm::runScheduler() {
    while (!scope_.cancelled()) {
        if (!context_.schedulePending)
            co_await loop_.wait(schedulerWoken_, loop_.now() + schedulingInterval, scope_);
        if (scope_.cancelled()) break;
        context_.schedulePending = false;
        // The process may have been suspended: what it decides while it may not act is never done.
        if (!mayAct()) {
            co_await loop_.sleep(schedulingInterval, scope_);
            continue;
        }
        schedule();
        // Heartbeats, lease keep-alives and users are served between the batches of a long pass; a
        // short pause lets one pass serve many heartbeats.
        co_await loop_.sleep(context_.schedulePending ? Duration::zero() : schedulingPause, scope_);
    }
}

void LeaderTerm::schedule() {
    cluster_.advanceTo(loop_.now());
    if (cluster_.hasPlaceableWork() && cluster_.place(loop_.now(), placementBatch))
        context_.schedulePending = true;
    effects_.flush();
}

std::optional<kv_store::EncodedRecord> LeaderTerm::encode(const std::string& key) {
    if (TermAutoscaling::ownsRecord(key)) return autoscaling_.encode(key);
    return cluster_.encode(key);
}

std::optional<lease_delegation::Delegation> LeaderTerm::delegate(
    const lease_delegation::DelegationRequest& request, bool delegates) {
    if (!ready()) return std::nullopt;
    const TimePoint now = loop_.now();
    const std::string zone = delegator_.zoneOf(request.node);
    const TimePoint cap = delegates ? cluster_.delegationCap(zone, now) : TimePoint{};
    const auto delegation = delegator_.handleRequest(request, cap, now);
    wakeScheduler();  // a cancellation or a silent machine may have waited for what it says
    return delegation;
}

http::Response LeaderTerm::handleHeartbeat(const worker_api::StatusReport& report) {
    std::vector<worker_api::Command> commands;
    if (loaded()) {
        commands = cluster_.onHeartbeat(report, loop_.now());
        wakeScheduler();
        effects_.flush();
    }
    if (!mayAct()) return requests_.serviceUnavailable();
    return {200, worker_api::encodeHeartbeatResponse(cluster_.token(), commands)};
}

}  // namespace basaltchute::controller
