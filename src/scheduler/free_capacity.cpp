#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// Offers of room, and the plain recount of every index.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

namespace {
// A report over 64 KiB is refused, and a worker whose reports are refused loses its lease and all
// that runs there: it gets no more tasks while its next report might not fit.
constexpr std::size_t fullReportBytes = 48 * 1024;
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

bool Cluster::reportFitsOneMore(const Machine& m) const {
    std::size_t bytes = m.reportBytes;
    for (const auto& c : m.allocations)
        if (!c.state.confirmed()) bytes += reportedTaskBytes;
    return bytes <= fullReportBytes;
}

bool Cluster::acceptsWork(const Machine& m) const {
    return isResponsive(m, now_) && reportFitsOneMore(m) && !m.quarantined && !m.draining &&
           !m.interruptionAt && !awayZones_.contains(m.zone) && now_ >= m.backOffUntil &&
           !m.inboundPartitioned && catalogue_.contains(m.type);
}

FreeCapacity Cluster::freeCapacityFor(MachineIndex machine) const {
    const Machine& m = machines_[machine];
    FreeCapacity o;
    o.type = m.type;
    o.zone = m.zone;
    o.spot = m.spot;
    // Closed to replicas too they cost users more than by the leases that end: where every machine
    // is in use there is no other room, and replicas start again on them at once.
    o.outboundPartitioned =
        m.outboundPartitioned || now_ - m.lastHeartbeatAt >= settings_.reportEvery * 2;
    o.reservationDistance = quota_.reservationDistance(machine, m);
    o.free = freeCapacityOn(m);
    o.reclaimable.fill(o.free);
    for (const auto& [image, used] : m.images) o.images.push_back(image);
    for (const auto& c : m.allocations) {
        for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
            if (mustStop(c) || mayPreempt(static_cast<Priority>(rank), c))
                o.reclaimable[rank] += c.job->spec.demand;
        o.hasServices = o.hasServices || c.job->spec.shape == Shape::service;
        if (!m.images.contains(c.job->spec.image)) o.fetching.push_back(c.job->spec.image);
    }
    std::sort(o.fetching.begin(), o.fetching.end());
    o.fetching.erase(std::unique(o.fetching.begin(), o.fetching.end()), o.fetching.end());
    return o;
}

void Cluster::refreshCapacities() {
    for (const MachineIndex i : capacityDirty_) {
        Machine& m = machines_[i];
        m.capacityDirty = false;
        ++visitedMachines_;
        const bool stopping = std::any_of(m.allocations.begin(), m.allocations.end(),
                                          [&](const Allocation& c) { return mustStop(c); });
        if (!stopping || !m.up()) reclaimedFor_.erase(i);
        if (acceptsWork(m))
            capacityIndex_.update(i, freeCapacityFor(i));
        else
            capacityIndex_.remove(i);
    }
    capacityDirty_.clear();
}

std::string Cluster::findInconsistency() {
    refreshCapacities();
    if (!capacityIndex_.equals(capacityIndex_.recount())) return "the room index";
    std::unordered_map<std::string, Demand> used;
    std::map<const Job*, std::map<std::string, std::uint32_t>> zones;
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        const FreeCapacity* offer = capacityIndex_.find(i);
        if ((offer != nullptr) != acceptsWork(m)) return "which machines are open: " + m.name;
        if (offer != nullptr && !(*offer == freeCapacityFor(i))) return "the offer of " + m.name;
        for (const auto& c : m.allocations) {
            used[c.job->spec.team] += c.job->spec.demand;
            ++zones[c.job][m.zone];
        }
    }
    for (const auto& [team, use] : quota_.useByTeam()) {
        Demand left = use;
        left -= used[team];
        if (std::abs(left.cores) + std::abs(left.ramGb) + std::abs(left.gpus) > 1e-3)
            return "the use of team " + team;
    }
    for (const auto& [id, job] : jobs_) {
        if (job->perZone != zones[job.get()]) return "the zones of " + id;
        std::uint32_t waiting = 0;
        for (const auto& t : job->tasks) waiting += t.state == TaskState::waiting ? 1 : 0;
        if (waiting != job->waitingCount()) return "the tasks that wait of " + id;
        if ((job->queuePosition != Job::notQueued) != (job->open() && !job->blocked && waiting > 0))
            return "whether " + id + " is listed";
        if (job->blocked != blocked_.contains(job.get()) || (job->blocked && !job->open()))
            return "whether " + id + " waits for others";
        if (!job->blocked && job->boundCount > 0 && dependencies_.isBlocked(id))
            return id + " is too early";
    }
    return dependencies_.findInconsistency();
}

}  // namespace basaltchute::scheduler
