#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

// Which work gives way to work of a higher rank.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

namespace {
constexpr std::size_t machinesCompared = 24;     // of a pool, before work is stopped on one
constexpr std::uint32_t maxReclaimedTasks = 32;  // for which a job has work stopped in a pass
constexpr double restartCost = 1;                // seconds, for each task that is stopped

/// Seconds of work that are lost if the allocation's task is stopped now.
double lostWork(const Allocation& allocation, TimePoint now) {
    const JobSpec& spec = allocation.job->spec;
    if (spec.checkpointIntervalS > 0) return spec.checkpointDurationS;
    const JobTask& task = allocation.job->tasks[allocation.task];
    return task.phase == TaskPhase::running ? toSeconds(now - task.runningSince) : 0;
}

}  // namespace

Resources Cluster::capacityOnceStopped(const Machine& m) const {
    Resources capacity = freeCapacityOn(m);
    for (const Allocation& allocation : m.allocations)
        if (mustStop(allocation)) capacity += allocation.job->spec.demand;
    return capacity;
}

Resources Cluster::capacityOnceStoppedFor(const Job& job, MachineIndex machine,
                                          const Planned& planned) const {
    Resources capacity = capacityOnceStopped(machines_[machine]);
    const auto [from, to] = reclaimedFor_.equal_range(machine);
    for (auto p = from; p != to; ++p)
        if (p->second != &job) capacity -= p->second->spec.demand;
    if (const auto own = planned.find(machine); own != planned.end())
        for (std::uint32_t n = 0; n < own->second.tasks; ++n) capacity -= job.spec.demand;
    return capacity;
}

bool Cluster::reclaimCapacity(const Job& job, MachineIndex machine,
                              const std::function<bool(const Allocation&)>& victim) {
    const Machine& m = machines_[machine];
    const Resources& demand = job.spec.demand;
    if (fits(demand, freeCapacityOn(m))) return true;
    Resources capacity = capacityOnceStopped(m);
    TaskList chosen;
    for (const Allocation& allocation : m.allocations) {
        if (fits(demand, capacity)) break;
        if (mustStop(allocation) || !victim(allocation)) continue;
        capacity += allocation.job->spec.demand;
        chosen.emplace_back(allocation.job, allocation.task);
    }
    if (fits(demand, capacity)) stopAll(chosen);
    return false;
}

bool Cluster::mayPreempt(Priority rank, const Allocation& allocation) const {
    return !mustStop(allocation) && allocation.cells.empty() &&
           allocation.job->effectivePriority > rank;
}

std::optional<Cluster::PreemptionPlan> Cluster::planPreemption(const Job& job, MachineIndex machine,
                                                               const Planned& planned,
                                                               const PreemptionPlan& best,
                                                               TimePoint now) const {
    ++visitedMachines_;
    const Machine& m = machines_[machine];
    const Resources& demand = job.spec.demand;
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t i = 0; i < m.allocations.size(); ++i)
        if (mayPreempt(job.effectivePriority, m.allocations[i]))
            candidates.emplace_back(lostWork(m.allocations[i], now), i);
    std::sort(candidates.begin(), candidates.end());

    Resources capacity = capacityOnceStoppedFor(job, machine, planned);
    Resources taken = demand;
    PreemptionPlan plan;
    plan.machine = machine;
    plan.loss = startDelay(job.spec, m);
    for (const auto& [lost, i] : candidates) {
        if (fits(demand, capacity)) break;
        const Resources& freed = m.allocations[i].job->spec.demand;
        capacity += freed;
        taken -= freed;
        plan.loss += lost + restartCost;
        plan.victims.push_back(i);
    }
    if (!fits(demand, capacity) || plan.loss >= best.loss) return std::nullopt;
    // Capacity that must stay warm for others would not be taken: nobody is stopped for it.
    if (!capacityIndex_.keepsWarmCapacity(machine, taken, job.effectivePriority))
        return std::nullopt;
    return plan;
}

Cluster::PreemptionPlan Cluster::cheapestPreemption(const Job& job, const Planned& planned,
                                                    TimePoint now) const {
    PreemptionPlan best;
    for (const auto& [key, pool] : capacityIndex_.pools()) {
        if (key.outboundPartitioned) continue;
        if (!allowed(job, key.type, key.zone, key.spot, planned)) continue;
        const CapacitySet& machines =
            pool.reclaimable[static_cast<std::size_t>(job.effectivePriority)];
        std::size_t compared = 0;
        machines.visitFitting(job.spec.demand, [&](MachineIndex machine) {
            if (placeable(job, machine, now))
                if (auto plan = planPreemption(job, machine, planned, best, now))
                    best = std::move(*plan);
            return ++compared >= machinesCompared;
        });
    }
    return best;
}

void Cluster::preemptFor(const Job& job, std::uint32_t tasks, TimePoint now) {
    if (job.effectivePriority == Priority::low) return;
    Planned planned;  // what is being reclaimed for the job already
    for (const auto& [machine, beneficiary] : reclaimedFor_) {
        if (beneficiary != &job) continue;
        ++planned[machine].tasks;
        if (--tasks == 0) return;
    }
    for (tasks = std::min(tasks, maxReclaimedTasks); tasks > 0; --tasks) {
        const PreemptionPlan plan = cheapestPreemption(job, planned, now);
        if (plan.machine == noMachine) return;
        TaskList victims;
        for (const std::size_t i : plan.victims) {
            const Allocation& allocation = machines_[plan.machine].allocations[i];
            victims.emplace_back(allocation.job, allocation.task);
        }
        stopAll(victims);
        reclaimedFor_.emplace(plan.machine, &job);
        ++planned[plan.machine].tasks;
        refreshCapacities();
    }
}

}  // namespace basaltchute::scheduler
