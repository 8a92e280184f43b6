#include <algorithm>

#include "scheduler/cluster.h"

// Placing tasks in the cells of their team's reservation. `Quota` keeps track of the cells.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

void Cluster::setCatalogue(autoscaler::Catalogue catalogue) {
    const bool sameTypes =
        std::equal(catalogue.begin(), catalogue.end(), catalogue_.begin(), catalogue_.end(),
                   [](const auto& a, const auto& b) {
                       return a.first == b.first && a.second.capacity == b.second.capacity;
                   });
    catalogue_ = std::move(catalogue);
    if (sameTypes) return;  // only prices have changed, which nothing here depends on
    for (MachineIndex i = 0; i < machines_.size(); ++i) markCapacityDirty(i);
    for (const auto& [name, type] : catalogue_) {
        if (!quota_.addPool(type)) continue;
        for (MachineIndex i = 0; i < machines_.size(); ++i)
            if (machines_[i].up() && machines_[i].type == name) addToCellPool(i);
    }
}

void Cluster::addToCellPool(MachineIndex machine) {
    Machine& m = machines_[machine];
    if (!quota_.addMachine(machine, m)) return;
    // After a change of leaders, allocations restored from records get their cells back before
    // anything new is placed.
    for (Allocation& allocation : m.allocations) {
        if (!allocation.cells.empty() || allocation.opportunisticSlots > 0) continue;
        const JobSpec& spec = allocation.job->spec;
        const JobTask& task = allocation.job->tasks[allocation.task];
        if (task.reserved && isCurrentAllocation(allocation, machine) &&
            quota_.withinReservation(spec)) {
            auto found =
                quota_.bindSlots(spec, m.type, [machine](MachineIndex i) { return i == machine; });
            if (found) allocation.cells = std::move(*found);
        }
        markCapacityDirty(quota_.occupyCells(allocation, machine, m));
    }
}

bool Cluster::placeInReservation(Job& job, std::uint32_t task, TimePoint now) {
    const JobSpec& spec = job.spec;
    const auto usable = [&](MachineIndex m) {
        return isPlaceable(job, m, now) && meetsConstraints(job, machines_[m]);
    };
    // Only work outside of reserved cells is preempted: that of other teams, or of the same team
    // with a lower priority.
    const auto isOpportunisticHere = [&](const Allocation& allocation) {
        const Job& other = *allocation.job;
        return allocation.cells.empty() &&
               (other.spec.team != spec.team || other.effectivePriority > job.effectivePriority);
    };
    for (const auto& [type, pool] : quota_.pools()) {
        if (!spec.allowsType(type)) continue;
        const auto bound = quota_.bindCells(spec, type, usable);
        if (!bound) continue;
        const MachineIndex machine = quota_.machineOf(type, *bound);
        if (reclaimCapacity(job, machine, isOpportunisticHere)) {
            bindTask(job, task, machine, bound->cells);
            return true;
        }
        // Not free yet. The cells are bound again once what runs on them has ended.
        quota_.unbindCells(type, *bound);
    }
    return false;
}

}  // namespace basaltchute::scheduler
