#include "scheduler/capacity_index.h"

#include <algorithm>
#include <cmath>

namespace basaltchute::scheduler {

namespace {

/// Whether there is more of some resource than before.
bool exceedsInAnyResource(const Resources& now, const Resources& before) {
    return now.cores > before.cores + resourceEpsilon || now.gpus > before.gpus + resourceEpsilon ||
           now.ramGb > before.ramGb + resourceEpsilon;
}

CapacityIndex::MachineGroupKey groupKeyOf(const FreeCapacity& capacity) {
    return {capacity.type,
            capacity.zone,
            capacity.spot,
            capacity.hasServices,
            capacity.outboundPartitioned,
            capacity.reservationDistance};
}

}  // namespace

std::uint32_t maxReplicasThatFit(const Resources& each, const Resources& have) {
    double n = 1e6;
    const auto limit = [&](double need, double available) {
        if (need > resourceEpsilon)
            n = std::min(n, std::floor((available + resourceEpsilon) / need));
    };
    limit(each.cores, have.cores);
    limit(each.gpus, have.gpus);
    limit(each.ramGb, have.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, n));
}

void CapacityIndex::updateFreeReplicas(WarmClass& warm, const FreeCapacity& capacity, bool add) {
    const std::uint32_t n = capacity.spot || capacity.outboundPartitioned
                                ? 0
                                : maxReplicasThatFit(warm.perTask, capacity.free);
    if (n == 0) return;
    for (const auto& image : capacity.cachedImages) {
        std::uint32_t& free = warm.freeReplicas[image];
        free = add ? free + n : free - n;
        if (free == 0) warm.freeReplicas.erase(image);
    }
}

void CapacityIndex::addToIndex(MachineIndex machine, const FreeCapacity& capacity) {
    MachineGroup& group = machineGroups_[groupKeyOf(capacity)];
    group.all.insert(capacity.free, machine);
    for (const auto& image : capacity.cachedImages)
        group.cached[image].insert(capacity.free, machine);
    for (const auto& image : capacity.fetchingImages)
        group.fetching[image].insert(capacity.free, machine);
    for (std::size_t priority = 0; priority < FreeCapacity::preemptingPriorities; ++priority)
        if (exceedsInAnyResource(capacity.reclaimable[priority], capacity.free))
            group.reclaimable[priority].insert(capacity.reclaimable[priority], machine);
    for (auto& [name, warm] : warmClasses_) updateFreeReplicas(warm, capacity, true);
}

void CapacityIndex::removeFromIndex(MachineIndex machine, const FreeCapacity& capacity) {
    const auto at = machineGroups_.find(groupKeyOf(capacity));
    MachineGroup& group = at->second;
    const auto removeFromSet = [&](std::map<std::string, CapacitySet>& sets,
                                   const std::string& image) {
        const auto set = sets.find(image);
        set->second.erase(capacity.free, machine);
        if (set->second.empty()) sets.erase(set);
    };
    group.all.erase(capacity.free, machine);
    for (const auto& image : capacity.cachedImages) removeFromSet(group.cached, image);
    for (const auto& image : capacity.fetchingImages) removeFromSet(group.fetching, image);
    for (std::size_t priority = 0; priority < FreeCapacity::preemptingPriorities; ++priority)
        group.reclaimable[priority].erase(capacity.reclaimable[priority], machine);
    for (auto& [name, warm] : warmClasses_) updateFreeReplicas(warm, capacity, false);
    if (group.all.empty()) machineGroups_.erase(at);
}

void CapacityIndex::update(MachineIndex machine, const FreeCapacity& capacity) {
    const auto [it, fresh] = capacities_.try_emplace(machine);
    if (!fresh) {
        if (it->second == capacity) return;
        removeFromIndex(machine, it->second);
    }
    bool hasMore = fresh || exceedsInAnyResource(capacity.free, it->second.free) ||
                   capacity.reservationDistance > it->second.reservationDistance;
    for (std::size_t priority = 0; priority < FreeCapacity::preemptingPriorities; ++priority)
        hasMore = hasMore || exceedsInAnyResource(capacity.reclaimable[priority],
                                                  it->second.reclaimable[priority]);
    if (hasMore) ++increaseCount_;
    it->second = capacity;
    addToIndex(machine, capacity);
}

void CapacityIndex::remove(MachineIndex machine) {
    const auto it = capacities_.find(machine);
    if (it == capacities_.end()) return;
    removeFromIndex(machine, it->second);
    capacities_.erase(it);
}

void CapacityIndex::addWarmDemand(const std::string& jobClass, Priority priority,
                                  const Resources& each, const std::string& image,
                                  std::uint32_t tasks) {
    WarmClass& warm = warmClasses_[jobClass];
    ++warm.jobs[image];
    warm.priority = priority;
    warm.replicasPerImage = std::max(warm.replicasPerImage, tasks);
    // The maximum over the jobs, in each resource. It changes a few times at most, however much the
    // jobs differ, so that the replicas are seldom counted again.
    if (fits(each, warm.perTask)) return;
    warm.perTask = {std::max(warm.perTask.cores, each.cores),
                    std::max(warm.perTask.gpus, each.gpus),
                    std::max(warm.perTask.ramGb, each.ramGb)};
    warm.freeReplicas.clear();
    for (const auto& [machine, capacity] : capacities_) updateFreeReplicas(warm, capacity, true);
}

void CapacityIndex::removeWarmDemand(const std::string& jobClass, const std::string& image) {
    const auto warm = warmClasses_.find(jobClass);
    if (warm == warmClasses_.end()) return;
    const auto jobs = warm->second.jobs.find(image);
    if (jobs == warm->second.jobs.end()) return;
    if (--jobs->second == 0) warm->second.jobs.erase(jobs);
    if (warm->second.jobs.empty()) warmClasses_.erase(warm);
}

bool CapacityIndex::leavesEnoughWarmCapacity(MachineIndex machine, const Resources& taken,
                                             Priority priority) const {
    const FreeCapacity* capacity = find(machine);
    if (capacity == nullptr || capacity->spot || capacity->outboundPartitioned) return true;
    Resources left = capacity->free;
    left -= taken;
    for (const auto& [name, warm] : warmClasses_) {
        if (warm.priority >= priority) continue;
        const std::uint32_t before = maxReplicasThatFit(warm.perTask, capacity->free),
                            after = maxReplicasThatFit(warm.perTask, left);
        if (after == before) continue;
        for (const auto& image : capacity->cachedImages) {
            if (!warm.jobs.contains(image)) continue;
            const auto free = warm.freeReplicas.find(image);
            if (free == warm.freeReplicas.end() ||
                free->second < warm.replicasPerImage + (before - after))
                return false;
        }
    }
    return true;
}

double CapacityIndex::imageLocality(MachineIndex machine) const {
    const FreeCapacity* capacity = find(machine);
    std::size_t wanted = 0, here = 0;
    for (const auto& [name, warm] : warmClasses_) {
        wanted += warm.jobs.size();
        for (const auto& image : capacity->cachedImages) here += warm.jobs.contains(image) ? 1 : 0;
    }
    return wanted == 0 ? 0.0 : static_cast<double>(here) / static_cast<double>(wanted);
}

CapacityIndex CapacityIndex::recount() const {
    CapacityIndex recounted;
    for (const auto& [name, warm] : warmClasses_)
        for (const auto& [image, jobs] : warm.jobs)
            for (std::uint32_t i = 0; i < jobs; ++i)
                recounted.addWarmDemand(name, warm.priority, warm.perTask, image,
                                        warm.replicasPerImage);
    for (const auto& [machine, capacity] : capacities_) recounted.update(machine, capacity);
    return recounted;
}

}  // namespace basaltchute::scheduler
