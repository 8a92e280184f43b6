#include "scheduler/capacity_index.h"

#include <algorithm>
#include <cmath>

namespace basaltchute::scheduler {

namespace {

bool moreThan(const Resources& now, const Resources& before) {
    return now.cores > before.cores + epsilon || now.gpus > before.gpus + epsilon ||
           now.ramGb > before.ramGb + epsilon;
}

CapacityIndex::PoolKey poolKeyOf(const FreeCapacity& capacity) {
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
        if (need > epsilon) n = std::min(n, std::floor((available + epsilon) / need));
    };
    limit(each.cores, have.cores);
    limit(each.gpus, have.gpus);
    limit(each.ramGb, have.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, n));
}

void CapacityIndex::count(Warm& warm, const FreeCapacity& capacity, bool add) {
    const std::uint32_t n = capacity.spot || capacity.outboundPartitioned
                                ? 0
                                : maxReplicasThatFit(warm.perTask, capacity.free);
    if (n == 0) return;
    for (const auto& image : capacity.images) {
        std::uint32_t& free = warm.freeReplicas[image];
        free = add ? free + n : free - n;
        if (free == 0) warm.freeReplicas.erase(image);
    }
}

void CapacityIndex::addToIndex(MachineIndex machine, const FreeCapacity& capacity) {
    Pool& pool = pools_[poolKeyOf(capacity)];
    pool.all.insert(capacity.free, machine);
    for (const auto& image : capacity.images) pool.cached[image].insert(capacity.free, machine);
    for (const auto& image : capacity.fetching) pool.fetching[image].insert(capacity.free, machine);
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        if (moreThan(capacity.reclaimable[rank], capacity.free))
            pool.reclaimable[rank].insert(capacity.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, capacity, true);
}

void CapacityIndex::removeFromIndex(MachineIndex machine, const FreeCapacity& capacity) {
    const auto at = pools_.find(poolKeyOf(capacity));
    Pool& pool = at->second;
    const auto drop = [&](std::map<std::string, CapacitySet>& sets, const std::string& image) {
        const auto set = sets.find(image);
        set->second.erase(capacity.free, machine);
        if (set->second.empty()) sets.erase(set);
    };
    pool.all.erase(capacity.free, machine);
    for (const auto& image : capacity.images) drop(pool.cached, image);
    for (const auto& image : capacity.fetching) drop(pool.fetching, image);
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        pool.reclaimable[rank].erase(capacity.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, capacity, false);
    if (pool.all.empty()) pools_.erase(at);
}

void CapacityIndex::update(MachineIndex machine, const FreeCapacity& capacity) {
    const auto [it, fresh] = capacities_.try_emplace(machine);
    if (!fresh) {
        if (it->second == capacity) return;
        removeFromIndex(machine, it->second);
    }
    bool more = fresh || moreThan(capacity.free, it->second.free) ||
                capacity.reservationDistance > it->second.reservationDistance;
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        more = more || moreThan(capacity.reclaimable[rank], it->second.reclaimable[rank]);
    if (more) ++increaseCount_;
    it->second = capacity;
    addToIndex(machine, capacity);
}

void CapacityIndex::remove(MachineIndex machine) {
    const auto it = capacities_.find(machine);
    if (it == capacities_.end()) return;
    removeFromIndex(machine, it->second);
    capacities_.erase(it);
}

void CapacityIndex::addWarmDemand(const std::string& jobClass, Priority rank, const Resources& each,
                                  const std::string& image, std::uint32_t tasks) {
    Warm& w = warm_[jobClass];
    ++w.jobs[image];
    w.rank = rank;
    w.replicasPerImage = std::max(w.replicasPerImage, tasks);
    // The most that any of its jobs asked for: that is counted anew a few times at most, however
    // much jobs differ.
    if (fits(each, w.perTask)) return;
    w.perTask = {std::max(w.perTask.cores, each.cores), std::max(w.perTask.gpus, each.gpus),
                 std::max(w.perTask.ramGb, each.ramGb)};
    w.freeReplicas.clear();
    for (const auto& [machine, o] : capacities_) count(w, o, true);
}

void CapacityIndex::removeWarmDemand(const std::string& jobClass, const std::string& image) {
    const auto w = warm_.find(jobClass);
    if (w == warm_.end()) return;
    const auto jobs = w->second.jobs.find(image);
    if (jobs == w->second.jobs.end()) return;
    if (--jobs->second == 0) w->second.jobs.erase(jobs);
    if (w->second.jobs.empty()) warm_.erase(w);
}

bool CapacityIndex::keepsWarmCapacity(MachineIndex machine, const Resources& taken,
                                      Priority rank) const {
    const FreeCapacity* o = find(machine);
    if (o == nullptr || o->spot || o->outboundPartitioned) return true;
    Resources left = o->free;
    left -= taken;
    for (const auto& [name, w] : warm_) {
        if (w.rank >= rank) continue;
        const std::uint32_t before = maxReplicasThatFit(w.perTask, o->free),
                            after = maxReplicasThatFit(w.perTask, left);
        if (after == before) continue;
        for (const auto& image : o->images) {
            if (!w.jobs.contains(image)) continue;
            const auto free = w.freeReplicas.find(image);
            if (free == w.freeReplicas.end() ||
                free->second < w.replicasPerImage + (before - after))
                return false;
        }
    }
    return true;
}

double CapacityIndex::imageLocality(MachineIndex machine) const {
    const FreeCapacity* o = find(machine);
    std::size_t wanted = 0, here = 0;
    for (const auto& [name, w] : warm_) {
        wanted += w.jobs.size();
        for (const auto& image : o->images) here += w.jobs.contains(image) ? 1 : 0;
    }
    return wanted == 0 ? 0.0 : static_cast<double>(here) / static_cast<double>(wanted);
}

CapacityIndex CapacityIndex::recount() const {
    CapacityIndex plain;
    for (const auto& [name, w] : warm_)
        for (const auto& [image, jobs] : w.jobs)
            for (std::uint32_t i = 0; i < jobs; ++i)
                plain.addWarmDemand(name, w.rank, w.perTask, image, w.replicasPerImage);
    for (const auto& [machine, o] : capacities_) plain.update(machine, o);
    return plain;
}

}  // namespace basaltchute::scheduler
