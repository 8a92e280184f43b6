#include "scheduler/capacity_index.h"

#include <algorithm>
#include <cmath>

namespace basaltchute::scheduler {

namespace {

bool moreThan(const Demand& now, const Demand& before) {
    return now.cores > before.cores + epsilon || now.gpus > before.gpus + epsilon ||
           now.ramGb > before.ramGb + epsilon;
}

}  // namespace

std::uint32_t maxReplicasThatFit(const Demand& each, const Demand& have) {
    double n = 1e6;
    const auto limit = [&](double need, double room) {
        if (need > epsilon) n = std::min(n, std::floor((room + epsilon) / need));
    };
    limit(each.cores, have.cores);
    limit(each.gpus, have.gpus);
    limit(each.ramGb, have.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, n));
}

void CapacityIndex::count(Warm& warm, const FreeCapacity& offer, bool add) {
    const std::uint32_t n =
        offer.spot || offer.outboundPartitioned ? 0 : maxReplicasThatFit(warm.perTask, offer.free);
    if (n == 0) return;
    for (const auto& image : offer.images) {
        std::uint32_t& room = warm.freeReplicas[image];
        room = add ? room + n : room - n;
        if (room == 0) warm.freeReplicas.erase(image);
    }
}

void CapacityIndex::addToIndex(MachineIndex machine, const FreeCapacity& o) {
    Pool& pool = pools_[{o.type, o.zone, o.spot, o.hasServices, o.outboundPartitioned,
                         o.reservationDistance}];
    pool.all.insert(o.free, machine);
    for (const auto& image : o.images) pool.cached[image].insert(o.free, machine);
    for (const auto& image : o.fetching) pool.fetching[image].insert(o.free, machine);
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        if (moreThan(o.reclaimable[rank], o.free))
            pool.reclaimable[rank].insert(o.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, o, true);
}

void CapacityIndex::removeFromIndex(MachineIndex machine, const FreeCapacity& o) {
    const auto at = pools_.find(
        {o.type, o.zone, o.spot, o.hasServices, o.outboundPartitioned, o.reservationDistance});
    Pool& pool = at->second;
    const auto drop = [&](std::map<std::string, CapacitySet>& sets, const std::string& image) {
        const auto set = sets.find(image);
        set->second.erase(o.free, machine);
        if (set->second.empty()) sets.erase(set);
    };
    pool.all.erase(o.free, machine);
    for (const auto& image : o.images) drop(pool.cached, image);
    for (const auto& image : o.fetching) drop(pool.fetching, image);
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        pool.reclaimable[rank].erase(o.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, o, false);
    if (pool.all.empty()) pools_.erase(at);
}

void CapacityIndex::update(MachineIndex machine, const FreeCapacity& offer) {
    const auto [it, fresh] = capacities_.try_emplace(machine);
    if (!fresh) {
        if (it->second == offer) return;
        removeFromIndex(machine, it->second);
    }
    bool more = fresh || moreThan(offer.free, it->second.free) ||
                offer.reservationDistance > it->second.reservationDistance;
    for (std::size_t rank = 0; rank < FreeCapacity::preempting; ++rank)
        more = more || moreThan(offer.reclaimable[rank], it->second.reclaimable[rank]);
    if (more) ++increaseCount_;
    it->second = offer;
    addToIndex(machine, offer);
}

void CapacityIndex::remove(MachineIndex machine) {
    const auto it = capacities_.find(machine);
    if (it == capacities_.end()) return;
    removeFromIndex(machine, it->second);
    capacities_.erase(it);
}

void CapacityIndex::addWarmDemand(const std::string& jobClass, Priority rank, const Demand& each,
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

bool CapacityIndex::keepsWarmCapacity(MachineIndex machine, const Demand& taken,
                                      Priority rank) const {
    const FreeCapacity* o = find(machine);
    if (o == nullptr || o->spot || o->outboundPartitioned) return true;
    Demand left = o->free;
    left -= taken;
    for (const auto& [name, w] : warm_) {
        if (w.rank >= rank) continue;
        const std::uint32_t before = maxReplicasThatFit(w.perTask, o->free),
                            after = maxReplicasThatFit(w.perTask, left);
        if (after == before) continue;
        for (const auto& image : o->images) {
            if (!w.jobs.contains(image)) continue;
            const auto room = w.freeReplicas.find(image);
            if (room == w.freeReplicas.end() ||
                room->second < w.replicasPerImage + (before - after))
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
