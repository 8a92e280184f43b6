#include "controller/term_autoscaling.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration planInterval = 1s;
constexpr Duration failureGatheringTime = 250ms;
constexpr Duration pollInterval = 500ms;
constexpr Duration catalogueInterval = 30s;
constexpr Duration catalogueRetryInterval = 500ms;
constexpr Duration machineListInterval = 2s;
constexpr Duration statisticsInterval = 60s;
const std::string statisticsKey = "fleet/experience", statisticsPrefix = statisticsKey + '/';
}  // namespace

TermAutoscaling::TermAutoscaling(LeaderTermContext& context, MachineCommands& commands)
    : context_(context),
      commands_(commands),
      cloud_(context.loop, context.settings, [&context] { return context.mayAct(); }),
      autoscaler_(context.cluster, context.loop.now()) {}

void TermAutoscaling::start() {
    context_.scope.spawn(run());
    context_.scope.spawn(pollCloud());
    context_.scope.spawn(loadStatistics());
    context_.scope.spawn(persistStatistics());
}

Task<void> TermAutoscaling::run() {
    while (!context_.scope.cancelled()) {
        detectPartitionedZones();
        autoscaler::ScalingPlan plan = autoscaler_.plan(context_.loop.now());
        for (const auto& request : plan.scaleOut) context_.scope.spawn(scaleOut(request));
        startProbes(plan);
        if (!plan.terminate.empty() && context_.mayAct())
            co_await scaleIn(std::move(plan.terminate));
        if (context_.scope.cancelled()) co_return;
        // Machines that die together are found together: one plan for all of them.
        const Wake woke = co_await context_.loop.wait(
            commands_.machineUnresponsive(), context_.loop.now() + planInterval, context_.scope);
        if (woke == Wake::signalled)
            co_await context_.loop.sleep(failureGatheringTime, context_.scope);
    }
}

void TermAutoscaling::startProbes(const autoscaler::ScalingPlan& plan) {
    for (const MachineIndex machine : plan.probe) context_.scope.spawn(commands_.probe(machine));
    // Machines of a zone that this node is partitioned from say nothing about death: once a sweep
    // over a peer, which was too much for it, had 140 sound ones given up.
    for (const MachineIndex machine : plan.probeSample)
        if (!commands_.directPathFailing(context_.cluster.machines()[machine].zone))
            context_.scope.spawn(commands_.probe(machine));
}

Task<void> TermAutoscaling::scaleIn(std::vector<std::string> machines) {
    const TimePoint startedAt = context_.loop.now();
    const bool gone = co_await cloud_.remove(machines, context_.scope);
    if (context_.scope.cancelled()) co_return;
    spdlog::debug("scale-in requested machines={} deleted={} duration_s={:.2f}", machines.size(),
                  gone, toSeconds(context_.loop.now() - startedAt));
    if (!gone) co_return;
    autoscaler_.onTerminated(machines, context_.loop.now());
    context_.wakeScheduler();
}

Task<void> TermAutoscaling::scaleOut(autoscaler::ScaleOutRequest request) {
    using Answer = autoscaler::CloudClient::Answer;
    autoscaler::CloudClient::ScaleOutResult result;
    if (context_.mayAct()) result = co_await cloud_.rent(request, context_.scope);
    if (context_.scope.cancelled()) co_return;
    if (result.answer == Answer::ok)
        autoscaler_.onScaledOut(request, result.names, context_.loop.now());
    else
        autoscaler_.onScaleOutFailed(request, result.answer == Answer::refused,
                                     context_.loop.now());
}

Task<void> TermAutoscaling::pollCloud() {
    while (!context_.scope.cancelled()) {
        if (context_.loop.now() >= nextCataloguePoll_) co_await pollCatalogue();
        if (context_.loop.now() >= nextMachineListPoll_) co_await pollMachineList();
        co_await context_.loop.sleep(pollInterval, context_.scope);
    }
}

Task<void> TermAutoscaling::pollCatalogue() {
    auto catalogue = co_await cloud_.catalogue(context_.scope);
    const Duration interval = catalogue ? catalogueInterval : catalogueRetryInterval;
    if (catalogue) context_.cluster.setCatalogue(std::move(*catalogue));
    nextCataloguePoll_ = context_.loop.now() + interval;
    context_.wakeScheduler();
}

Task<void> TermAutoscaling::pollMachineList() {
    const auto machines = co_await cloud_.list(context_.scope);
    if (machines) autoscaler_.onMachineList(*machines, context_.loop.now());
    nextMachineListPoll_ = context_.loop.now() + machineListInterval;
}

bool TermAutoscaling::isPartitioned(const std::string& zone) const {
    if (zone == context_.settings.zone || !commands_.directPathFailing(zone)) return false;
    const auto& peers = context_.settings.peers;
    return std::none_of(peers.begin(), peers.end(), [&](const auto& peer) {
        return peer.zone == zone && context_.environment.peerConnected(peer.name);
    });
}

void TermAutoscaling::detectPartitionedZones() {
    for (const auto& zone : context_.settings.zones) {
        const bool partitioned = isPartitioned(zone);
        if (partitioned == context_.cluster.isZoneAway(zone)) continue;
        // Its tasks stay where they are, and no more go there.
        spdlog::info("zone partition changed zone={} partitioned={}", zone, partitioned);
        context_.cluster.setZoneAway(zone, partitioned);
    }
}

Task<void> TermAutoscaling::loadStatistics() {
    // A record for each type; one for all of them is what versions before wrote.
    const auto found = co_await context_.store.list(statisticsKey, context_.scope);
    for (const auto& item : found.entries) {
        context_.writer.setKnownRevision(item.key, item.revision);
        if (!autoscaler_.statistics().decode(item.data))
            spdlog::error("statistics record skipped key={} reason=malformed", item.key);
    }
}

bool TermAutoscaling::ownsRecord(const std::string& key) {
    return key.starts_with(statisticsPrefix);
}

kv_store::EncodedRecord TermAutoscaling::encode(const std::string& key) {
    const std::string type = key.substr(statisticsPrefix.size());
    return {autoscaler_.statistics().encode(type, context_.settings.valueBytes), 0};
}

Task<void> TermAutoscaling::persistStatistics() {
    while (!context_.scope.cancelled()) {
        const Wake woke = co_await context_.loop.sleep(statisticsInterval, context_.scope);
        if (woke == Wake::cancelled) co_return;
        const auto& changed = autoscaler_.statistics().changed();
        for (const auto& type : changed)
            if (const std::string key = statisticsPrefix + type; kv_store::validKey(key))
                context_.writer.markDirty(key, kv_store::WritePriority::progress);
    }
}

}  // namespace basaltchute::controller
