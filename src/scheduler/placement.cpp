#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

// Placement: which machine each waiting task is bound to, and moving tasks off machines that are to
// be terminated.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using worker_api::Allocation;
using worker_api::Machine;

namespace {

// A service replica that is stopped within this time after its start does not count as started.
constexpr Duration minUptimeBeforeMigration = 40s;
// Waiting jobs are reconsidered at this interval even if nothing else changes, as their order does.
constexpr Duration placementRetryInterval = 1s;
constexpr Duration jobBackOffOnFailedMachine = 60s;        // before a job is placed where it failed
constexpr std::size_t maxMachinesComparedPerReplica = 12;  // of each machine group

// Costs of a placement, each as the number of seconds of start delay that it outweighs.
constexpr double onDemandCost = 4;           // an on-demand machine for work that allows spot
constexpr double mixedWorkloadCost = 1;      // batch work beside services, or the other way round
constexpr double nearReservationCost = 0.5;  // for each step closer to bound cells
constexpr double outboundPartitionedCost = 60;  // only if there is no other capacity
// Cost of a machine that has all warm images, added to the share of the machine that stays free.
constexpr double imageLocalityCost = 1.5;

}  // namespace

Resources Cluster::freeCapacityOn(const Machine& m) const {
    const auto type = catalogue_.find(m.type);
    if (type == catalogue_.end()) return {};
    Resources free = type->second.capacity;
    for (const Allocation& allocation : m.allocations) free -= allocation.job->spec.demand;
    return free;
}

bool Cluster::meetsConstraints(const Job& job, const std::string& type, const std::string& zone,
                               bool spot, const PlannedPlacements& planned) const {
    const JobSpec& s = job.spec;
    if (spot && !s.spotAllowed) return false;
    if (!s.allowsType(type)) return false;
    if (s.zone && *s.zone != zone) return false;
    if (!s.sameZone && !s.spread) return true;
    // Counts all tasks of the job that may be running, not only the reported ones. A machine that
    // has not reported yet (zone "") may be in any zone.
    std::uint32_t tasksInZone = 0;
    for (const auto& [other, tasks] : job.tasksPerZone) {
        if (other == zone || (other.empty() && s.spread))
            tasksInZone += tasks;
        else if (s.sameZone)
            return false;
    }
    for (const auto& [index, onMachine] : planned) {
        if (machines_[index].zone == zone)
            tasksInZone += onMachine.tasks;
        else if (s.sameZone && onMachine.tasks > 0)
            return false;
    }
    return !s.spread || tasksInZone < (s.tasks + 1) / 2;
}

double Cluster::imageFetchSeconds(const JobSpec& s, const std::string& type) const {
    const auto t = catalogue_.find(type);
    return t == catalogue_.end() ? 0 : s.imageGb / std::max(t->second.fetchGbPerS, 1e-3);
}

double Cluster::startDelaySeconds(const JobSpec& s, const Machine& m) const {
    if (m.cachedImages.contains(s.image)) return 0;
    // If another task is fetching the image already, half of the fetch is assumed to be left.
    const bool isBeingFetched = std::any_of(
        m.allocations.begin(), m.allocations.end(),
        [&](const Allocation& allocation) { return allocation.job->spec.image == s.image; });
    return imageFetchSeconds(s, m.type) / (isBeingFetched ? 2 : 1);
}

bool Cluster::wantsWarmCapacity(const JobSpec& s) const {
    if (s.spotAllowed || s.shape != Shape::service) return false;
    return std::any_of(settings_.objectives.begin(), settings_.objectives.end(),
                       [&](const auto& o) { return o.kind == "wait" && o.jobClass == s.jobClass; });
}

bool Cluster::isPlaceable(const Job& job, MachineIndex machine, TimePoint now) const {
    const auto failed = job.failedOn.find(machine);
    return capacityIndex_.find(machine) != nullptr &&
           (failed == job.failedOn.end() || now - failed->second >= jobBackOffOnFailedMachine);
}

bool Cluster::hasCapacityFor(const Job& job, MachineIndex machine, const PlannedPlacements& planned,
                             TimePoint now) const {
    ++visitedMachines_;
    const Resources& demand = job.spec.demand;
    if (!isPlaceable(job, machine, now) ||
        !capacityIndex_.leavesEnoughWarmCapacity(machine, demand, job.effectivePriority))
        return false;
    Resources free = capacityIndex_.find(machine)->free;
    if (const auto p = planned.find(machine); p != planned.end()) free -= p->second.demand;
    // Capacity that is being reclaimed is withheld from other jobs of the same or a lower priority.
    // Without this, preempted jobs took back each part of it as it was freed, and were stopped
    // again in the next pass.
    const auto [from, to] = reclaimedFor_.equal_range(machine);
    for (auto p = from; p != to; ++p)
        if (p->second != &job && p->second->effectivePriority <= job.effectivePriority)
            free -= p->second->spec.demand;
    return fits(demand, free);
}

MachineIndex Cluster::chooseMachine(const Job& job, const PlannedPlacements& planned,
                                    TimePoint now) const {
    const JobSpec& s = job.spec;
    const bool isService = s.shape == Shape::service;
    const bool startsAtOnce = wantsWarmCapacity(s);
    MachineIndex best = noMachine;
    double bestCost = std::numeric_limits<double>::infinity();
    // Machines are visited by ascending free capacity, so the first that fits leaves the least
    // free. For replicas several machines are compared.
    const auto consider = [&](const CapacitySet& machines, double groupCost, double machineCores) {
        if (groupCost >= bestCost) return;
        std::size_t compared = 0;
        machines.visitFitting(s.demand, [&](MachineIndex i) {
            if (!hasCapacityFor(job, i, planned, now)) return false;
            const double left = capacityIndex_.find(i)->free.cores - s.demand.cores;
            double cost = groupCost + left / machineCores;
            // A replica starts at once only on a machine that has its image. Machines with few
            // other warm images are preferred, so that the capacity that remains suits more jobs.
            if (startsAtOnce) cost += imageLocalityCost * capacityIndex_.imageLocality(i);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
            return !startsAtOnce || ++compared >= maxMachinesComparedPerReplica;
        });
    };
    for (const auto& [key, group] : capacityIndex_.machineGroups()) {
        // Outbound-partitioned machines lose their lease, so they are used for replicas only: a
        // replica then starts again elsewhere at once, while other tasks would lose their work.
        if (!meetsConstraints(job, key.type, key.zone, key.spot, planned) ||
            (key.outboundPartitioned && !isService))
            continue;
        const double machineCores = std::max(catalogue_.at(key.type).capacity.cores, 1.0);
        // Besides the seconds until the task runs, the cost reflects these preferences:
        // - on-demand machines are left to work that needs them;
        // - the fullest machine with enough capacity is filled first, so that others stay empty;
        // - unreserved work keeps away from bound cells, which may expand into its capacity;
        // - batch work avoids on-demand machines with replicas and replicas avoid those without, so
        //   that a machine rented for a peak is empty after it.
        const bool mixes = !key.spot && key.hasServices != isService;
        const double base = (s.spotAllowed && !key.spot ? onDemandCost : 0) +
                            (mixes ? mixedWorkloadCost : 0) +
                            nearReservationCost * (2 - key.reservationDistance) +
                            (key.outboundPartitioned ? outboundPartitionedCost : 0);
        const double fetch = imageFetchSeconds(s, key.type);
        if (const auto set = group.cached.find(s.image); set != group.cached.end())
            consider(set->second, base, machineCores);
        if (const auto set = group.fetching.find(s.image); set != group.fetching.end())
            consider(set->second, base + fetch / 2, machineCores);
        consider(group.all, base + fetch, machineCores);
    }
    return best;
}

bool Cluster::placeGang(Job& job, TimePoint now) {
    // All or nothing: a part of a gang would occupy machines and do no work.
    PlannedPlacements planned;
    std::vector<std::pair<std::uint32_t, MachineIndex>> chosen;
    for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
        if (job.tasks[t].state != TaskState::waiting) continue;
        const MachineIndex m = chooseMachine(job, planned, now);
        if (m == noMachine) return false;
        PlannedTasks& onMachine = planned[m];
        onMachine.demand += job.spec.demand;
        ++onMachine.tasks;
        chosen.emplace_back(t, m);
    }
    for (const auto& [task, machine] : chosen) bindTask(job, task, machine);
    return true;
}

bool Cluster::hasPlaceableWork() {
    if (waiting_.empty()) return false;
    refreshCapacities();
    return hasNewWork_ || capacityIndex_.increaseCount() != increaseCountAtLastPass_ ||
           now_ - lastPassAt_ >= placementRetryInterval;
}

bool Cluster::place(TimePoint now, std::size_t maxTasks) {
    advanceTo(now);
    refreshCapacities();
    hasNewWork_ = false;
    increaseCountAtLastPass_ = capacityIndex_.increaseCount();
    lastPassAt_ = now;
    estimates_.measureDrainRate(openJobs_, now);
    std::map<Priority, std::vector<Job*>> jobsByPriority;
    for (Job* job : waiting_)
        if (now >= job->backOffUntil) jobsByPriority[job->effectivePriority].push_back(job);
    for (const auto& [priority, waiting] : jobsByPriority)
        if (placeJobsOfPriority(waiting, maxTasks, now)) return true;
    return false;
}

Cluster::TeamQueues Cluster::queuesByTeam(const std::vector<Job*>& waiting, TimePoint now) const {
    TeamQueues queues;
    const auto order = queueOrder(waiting, settings_.objectives, estimates_, now);
    for (auto entry = order.rbegin(); entry != order.rend(); ++entry)
        queues[entry->job->spec.team].push_back(entry->job);
    return queues;
}

bool Cluster::placeJobsOfPriority(const std::vector<Job*>& waiting, std::size_t& budget,
                                  TimePoint now) {
    TeamQueues queues = queuesByTeam(waiting, now);
    // Max-min fairness within a priority: the next task is taken from the team with the least
    // weighted usage.
    const auto usesLess = [&](const auto& a, const auto& b) {
        return quota_.weightedUsage(a.first) < quota_.weightedUsage(b.first);
    };
    while (!queues.empty()) {
        const auto next = std::min_element(queues.begin(), queues.end(), usesLess);
        std::vector<Job*>& jobs = next->second;
        if (jobs.empty()) {
            queues.erase(next);
            continue;
        }
        Job& job = *jobs.back();
        if (job.waitingCount() == 0 || !quota_.withinLimit(job.spec)) {
            jobs.pop_back();
            continue;
        }
        if (budget == 0) return true;
        --budget;
        if (!placeNextTask(job, now)) jobs.pop_back();
    }
    return false;
}

bool Cluster::placeNextTask(Job& job, TimePoint now) {
    if (job.spec.shape == Shape::gang) {
        if (!placeGang(job, now)) preemptFor(job, job.waitingCount(), now);
        refreshCapacities();
        return false;
    }
    const std::uint32_t task = job.nextWaiting();
    if (quota_.withinReservation(job.spec) && placeInReservation(job, task, now)) {
        refreshCapacities();
        return true;
    }
    MachineIndex machine = chooseMachine(job, {}, now);
    if (machine == noMachine) {
        preemptFor(job, job.waitingCount(), now);
        // Preempted tasks whose launch was never sent have freed their capacity at once.
        machine = chooseMachine(job, {}, now);
    }
    if (machine == noMachine) return false;
    spdlog::debug("task is placed: job={} task={} machine={} waited_s={:.2f} start_delay_s={:.1f}",
                  job.spec.id, task, machines_[machine].name, toSeconds(now - job.releasedAt),
                  startDelaySeconds(job.spec, machines_[machine]));
    bindTask(job, task, machine);
    refreshCapacities();
    return true;
}

void Cluster::stopOpportunisticTasks(MachineIndex machine) {
    TaskList chosen;
    for (const Allocation& allocation : machines_[machine].allocations) {
        const Job& job = *allocation.job;
        if (job.spec.checkpointIntervalS > 0 && isOpportunistic(job) && !mustStop(allocation))
            chosen.emplace_back(allocation.job, allocation.task);
    }
    stopTasks(chosen, worker_api::StopReason::moved);
}

void Cluster::migrateReplica(MachineIndex machine, TimePoint now) {
    refreshCapacities();
    const auto isStopping = [&](const Allocation& allocation) { return mustStop(allocation); };
    Machine& m = machines_[machine];
    // Replicas are moved one at a time.
    if (std::any_of(m.allocations.begin(), m.allocations.end(), isStopping)) return;
    for (const auto& allocation : m.allocations) {
        if (allocation.job->spec.shape != Shape::service ||
            !isCurrentAllocation(allocation, machine))
            continue;
        JobTask& task = allocation.job->tasks[allocation.task];
        if (task.phase != TaskPhase::running || now - task.runningSince < minUptimeBeforeMigration)
            continue;
        const MachineIndex to = chooseMachine(*allocation.job, {}, now);
        if (to == noMachine || startDelaySeconds(allocation.job->spec, machines_[to]) > 0) continue;
        stopTaskOrGang(*allocation.job, allocation.task, worker_api::StopReason::moved);
        return;
    }
}

}  // namespace basaltchute::scheduler
