#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// Keeps the capacity index up to date, and checks every index against a recomputation.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

namespace {
// A status report over 64 KiB is rejected. A worker whose reports are rejected loses its lease and
// everything that runs on it, so it gets no more tasks while its next report might exceed the
// limit.
constexpr std::size_t maxReportBytes = 48 * 1024;
constexpr std::size_t reportedTaskBytes = 96;
}  // namespace

void Cluster::markCapacityDirty(MachineIndex machine) {
    Machine& m = machines_[machine];
    if (m.capacityDirty) return;
    m.capacityDirty = true;
    capacityDirty_.push_back(machine);
}

void Cluster::markCapacityDirty(const std::vector<MachineIndex>& machines) {
    for (const MachineIndex machine : machines) markCapacityDirty(machine);
}

bool Cluster::reportFitsOneMoreTask(const Machine& m) const {
    std::size_t bytes = m.lastReportBytes;
    for (const Allocation& allocation : m.allocations)
        if (!allocation.state.confirmed()) bytes += reportedTaskBytes;
    return bytes <= maxReportBytes;
}

bool Cluster::acceptsWork(const Machine& m) const {
    return isResponsive(m, now_) && reportFitsOneMoreTask(m) && !m.quarantined && !m.draining &&
           !m.interruptionAt && !unreachableZones_.contains(m.zone) && now_ >= m.backOffUntil &&
           !m.inboundPartitioned && catalogue_.contains(m.type);
}

FreeCapacity Cluster::freeCapacityFor(MachineIndex machine) const {
    const Machine& m = machines_[machine];
    FreeCapacity capacity;
    capacity.type = m.type;
    capacity.zone = m.zone;
    capacity.spot = m.spot;
    // Such machines are a last resort for service replicas instead of being excluded. Excluding
    // them cost users more than the leases that end: where every machine is in use there is no
    // other capacity, and a replica that is lost starts again there at once.
    capacity.outboundPartitioned =
        m.outboundPartitioned || now_ - m.lastHeartbeatAt >= settings_.heartbeatInterval * 2;
    capacity.reservationDistance = quota_.reservationDistance(machine, m);
    capacity.free = freeCapacityOn(m);
    capacity.reclaimable.fill(capacity.free);
    for (const auto& [image, used] : m.cachedImages) capacity.cachedImages.push_back(image);
    for (const Allocation& allocation : m.allocations) {
        const JobSpec& spec = allocation.job->spec;
        for (std::size_t priority = 0; priority < FreeCapacity::preemptingPriorities; ++priority)
            if (mustStop(allocation) || mayPreempt(static_cast<Priority>(priority), allocation))
                capacity.reclaimable[priority] += spec.demand;
        capacity.hasServices = capacity.hasServices || spec.shape == Shape::service;
        if (!m.cachedImages.contains(spec.image)) capacity.fetchingImages.push_back(spec.image);
    }
    std::sort(capacity.fetchingImages.begin(), capacity.fetchingImages.end());
    capacity.fetchingImages.erase(
        std::unique(capacity.fetchingImages.begin(), capacity.fetchingImages.end()),
        capacity.fetchingImages.end());
    return capacity;
}

void Cluster::refreshCapacities() {
    for (const MachineIndex i : capacityDirty_) {
        Machine& m = machines_[i];
        m.capacityDirty = false;
        ++visitedMachines_;
        const bool stopping =
            std::any_of(m.allocations.begin(), m.allocations.end(),
                        [&](const Allocation& allocation) { return mustStop(allocation); });
        if (!stopping || !m.up()) reclaimedFor_.erase(i);
        if (acceptsWork(m))
            capacityIndex_.update(i, freeCapacityFor(i));
        else
            capacityIndex_.remove(i);
    }
    capacityDirty_.clear();
}

// ---------------------------------------------------------------- consistency checks

std::string Cluster::findInconsistency() {
    refreshCapacities();
    if (auto found = findCapacityInconsistency(); !found.empty()) return found;
    if (auto found = findUsageInconsistency(); !found.empty()) return found;
    std::map<const Job*, TasksPerZone> tasksPerZone;
    for (const Machine& m : machines_)
        for (const Allocation& allocation : m.allocations) ++tasksPerZone[allocation.job][m.zone];
    for (const auto& [id, job] : jobs_)
        if (auto found = findJobInconsistency(*job, tasksPerZone[job.get()]); !found.empty())
            return found;
    return dependencies_.findInconsistency();
}

std::string Cluster::findCapacityInconsistency() const {
    if (!capacityIndex_.equals(capacityIndex_.recount())) return "the capacity index";
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        const FreeCapacity* indexed = capacityIndex_.find(i);
        if ((indexed != nullptr) != acceptsWork(m))
            return "whether the machine accepts work: " + m.name;
        if (indexed != nullptr && !(*indexed == freeCapacityFor(i)))
            return "the free capacity of " + m.name;
    }
    return {};
}

std::string Cluster::findUsageInconsistency() const {
    constexpr double tolerance = 1e-3;
    std::unordered_map<std::string, Resources> recounted;
    for (const Machine& m : machines_)
        for (const Allocation& allocation : m.allocations)
            recounted[allocation.job->spec.team] += allocation.job->spec.demand;
    for (const auto& [team, usage] : quota_.usageByTeam()) {
        Resources difference = usage;
        difference -= recounted[team];
        if (std::abs(difference.cores) + std::abs(difference.ramGb) + std::abs(difference.gpus) >
            tolerance)
            return "the usage of team " + team;
    }
    return {};
}

std::string Cluster::findJobInconsistency(Job& job, const TasksPerZone& recounted) const {
    const JobId& id = job.spec.id;
    if (job.tasksPerZone != recounted) return "the tasks in each zone of " + id;
    const auto waiting = static_cast<std::uint32_t>(
        std::count_if(job.tasks.begin(), job.tasks.end(),
                      [](const JobTask& t) { return t.state == TaskState::waiting; }));
    if (waiting != job.waitingCount()) return "the waiting tasks of " + id;
    if ((job.queuePosition != Job::notQueued) != (job.open() && !job.blocked && waiting > 0))
        return "whether " + id + " is on the waiting list";
    if (job.blocked != blocked_.contains(&job) || (job.blocked && !job.open()))
        return "whether " + id + " is blocked";
    if (!job.blocked && job.boundCount > 0 && dependencies_.isBlocked(id))
        return id + " has started before its dependencies are done";
    return {};
}

}  // namespace basaltchute::scheduler
