#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

// Preemption: which work is stopped to make room for work of a higher priority.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

namespace {
constexpr std::size_t maxMachinesCompared = 24;         // of each machine group
constexpr std::uint32_t maxTasksReclaimedPerPass = 32;  // for each job
constexpr double restartCostSeconds = 1;                // for each task that is stopped

/// Seconds of work that are lost if the allocation's task is stopped now.
double lostWorkSeconds(const Allocation& allocation, TimePoint now) {
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
                                          const PlannedPlacements& planned) const {
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
    if (fits(demand, capacity)) stopTasks(chosen, worker_api::StopReason::preempted);
    return false;
}

bool Cluster::mayPreempt(Priority priority, const Allocation& allocation) const {
    return !mustStop(allocation) && allocation.cells.empty() &&
           allocation.job->effectivePriority > priority;
}

std::optional<Cluster::PreemptionPlan> Cluster::planPreemption(const Job& job, MachineIndex machine,
                                                               const PlannedPlacements& planned,
                                                               const PreemptionPlan& best,
                                                               TimePoint now) const {
    ++visitedMachines_;
    const Machine& m = machines_[machine];
    const Resources& demand = job.spec.demand;
    std::vector<std::pair<double, std::size_t>> candidates;
    for (std::size_t i = 0; i < m.allocations.size(); ++i)
        if (mayPreempt(job.effectivePriority, m.allocations[i]))
            candidates.emplace_back(lostWorkSeconds(m.allocations[i], now), i);
    std::sort(candidates.begin(), candidates.end());

    Resources capacity = capacityOnceStoppedFor(job, machine, planned);
    Resources taken = demand;
    PreemptionPlan plan;
    plan.machine = machine;
    plan.costSeconds = startDelaySeconds(job.spec, m);
    for (const auto& [lostSeconds, i] : candidates) {
        if (fits(demand, capacity)) break;
        const Resources& freed = m.allocations[i].job->spec.demand;
        capacity += freed;
        taken -= freed;
        plan.costSeconds += lostSeconds + restartCostSeconds;
        plan.victims.push_back(i);
    }
    if (!fits(demand, capacity) || plan.costSeconds >= best.costSeconds) return std::nullopt;
    // The job could not use capacity that must stay warm for others, so nothing is stopped for it.
    if (!capacityIndex_.leavesEnoughWarmCapacity(machine, taken, job.effectivePriority))
        return std::nullopt;
    return plan;
}

Cluster::PreemptionPlan Cluster::cheapestPreemption(const Job& job,
                                                    const PlannedPlacements& planned,
                                                    TimePoint now) const {
    PreemptionPlan best;
    for (const auto& [key, group] : capacityIndex_.machineGroups()) {
        if (key.outboundPartitioned) continue;
        if (!meetsConstraints(job, key.type, key.zone, key.spot, planned)) continue;
        const CapacitySet& machines =
            group.reclaimable[static_cast<std::size_t>(job.effectivePriority)];
        std::size_t compared = 0;
        machines.visitFitting(job.spec.demand, [&](MachineIndex machine) {
            if (isPlaceable(job, machine, now))
                if (auto plan = planPreemption(job, machine, planned, best, now))
                    best = std::move(*plan);
            return ++compared >= maxMachinesCompared;
        });
    }
    return best;
}

void Cluster::preemptFor(const Job& job, std::uint32_t tasks, TimePoint now) {
    if (job.effectivePriority == Priority::low) return;
    PlannedPlacements planned;  // tasks that capacity is being reclaimed for already
    for (const auto& [machine, beneficiary] : reclaimedFor_) {
        if (beneficiary != &job) continue;
        ++planned[machine].tasks;
        if (--tasks == 0) return;
    }
    for (tasks = std::min(tasks, maxTasksReclaimedPerPass); tasks > 0; --tasks) {
        const PreemptionPlan plan = cheapestPreemption(job, planned, now);
        if (plan.machine == noMachine) return;
        TaskList victims;
        for (const std::size_t i : plan.victims) {
            const Allocation& allocation = machines_[plan.machine].allocations[i];
            victims.emplace_back(allocation.job, allocation.task);
        }
        stopTasks(victims, worker_api::StopReason::preempted);
        reclaimedFor_.emplace(plan.machine, &job);
        ++planned[plan.machine].tasks;
        refreshCapacities();
    }
}

}  // namespace basaltchute::scheduler
