#include "scheduler/room.h"

#include <algorithm>
#include <cmath>

namespace basaltchute::scheduler {

namespace {

bool moreThan(const Demand& now, const Demand& before) {
    return now.cores > before.cores + epsilon || now.gpus > before.gpus + epsilon ||
           now.ramGb > before.ramGb + epsilon;
}

}  // namespace

std::uint32_t copies(const Demand& each, const Demand& have) {
    double n = 1e6;
    const auto limit = [&](double need, double room) {
        if (need > epsilon) n = std::min(n, std::floor((room + epsilon) / need));
    };
    limit(each.cores, have.cores);
    limit(each.gpus, have.gpus);
    limit(each.ramGb, have.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, n));
}

void Room::count(Warm& warm, const Offer& offer, bool add) {
    const std::uint32_t n = offer.spot || offer.mute ? 0 : copies(warm.each, offer.free);
    if (n == 0) return;
    for (const auto& image : offer.images) {
        std::uint32_t& room = warm.room[image];
        room = add ? room + n : room - n;
        if (room == 0) warm.room.erase(image);
    }
}

void Room::list(MachineIndex machine, const Offer& o) {
    Pool& pool = pools_[{o.type, o.zone, o.spot, o.lasting, o.mute, o.distance}];
    pool.all.insert(o.free, machine);
    for (const auto& image : o.images) pool.cached[image].insert(o.free, machine);
    for (const auto& image : o.fetching) pool.fetching[image].insert(o.free, machine);
    for (std::size_t rank = 0; rank < Offer::preempting; ++rank)
        if (moreThan(o.reclaimable[rank], o.free))
            pool.reclaimable[rank].insert(o.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, o, true);
}

void Room::unlist(MachineIndex machine, const Offer& o) {
    const auto at = pools_.find({o.type, o.zone, o.spot, o.lasting, o.mute, o.distance});
    Pool& pool = at->second;
    const auto drop = [&](std::map<std::string, RoomSet>& sets, const std::string& image) {
        const auto set = sets.find(image);
        set->second.erase(o.free, machine);
        if (set->second.empty()) sets.erase(set);
    };
    pool.all.erase(o.free, machine);
    for (const auto& image : o.images) drop(pool.cached, image);
    for (const auto& image : o.fetching) drop(pool.fetching, image);
    for (std::size_t rank = 0; rank < Offer::preempting; ++rank)
        pool.reclaimable[rank].erase(o.reclaimable[rank], machine);
    for (auto& [name, warm] : warm_) count(warm, o, false);
    if (pool.all.empty()) pools_.erase(at);
}

void Room::offer(MachineIndex machine, const Offer& offer) {
    const auto [it, fresh] = offers_.try_emplace(machine);
    if (!fresh) {
        if (it->second == offer) return;
        unlist(machine, it->second);
    }
    bool more =
        fresh || moreThan(offer.free, it->second.free) || offer.distance > it->second.distance;
    for (std::size_t rank = 0; rank < Offer::preempting; ++rank)
        more = more || moreThan(offer.reclaimable[rank], it->second.reclaimable[rank]);
    if (more) ++gains_;
    it->second = offer;
    list(machine, offer);
}

void Room::withdraw(MachineIndex machine) {
    const auto it = offers_.find(machine);
    if (it == offers_.end()) return;
    unlist(machine, it->second);
    offers_.erase(it);
}

void Room::wantWarm(const std::string& jobClass, Priority rank, const Demand& each,
                    const std::string& image, std::uint32_t tasks) {
    Warm& w = warm_[jobClass];
    ++w.jobs[image];
    w.rank = rank;
    w.keep = std::max(w.keep, tasks);
    // The most that any of its jobs asked for: that is counted anew a few times at most, however
    // much jobs differ.
    if (fits(each, w.each)) return;
    w.each = {std::max(w.each.cores, each.cores), std::max(w.each.gpus, each.gpus),
              std::max(w.each.ramGb, each.ramGb)};
    w.room.clear();
    for (const auto& [machine, o] : offers_) count(w, o, true);
}

void Room::unwantWarm(const std::string& jobClass, const std::string& image) {
    const auto w = warm_.find(jobClass);
    if (w == warm_.end()) return;
    const auto jobs = w->second.jobs.find(image);
    if (jobs == w->second.jobs.end()) return;
    if (--jobs->second == 0) w->second.jobs.erase(jobs);
    if (w->second.jobs.empty()) warm_.erase(w);
}

bool Room::staysWarm(MachineIndex machine, const Demand& taken, Priority rank) const {
    const Offer* o = of(machine);
    if (o == nullptr || o->spot || o->mute) return true;
    Demand left = o->free;
    left -= taken;
    for (const auto& [name, w] : warm_) {
        if (w.rank >= rank) continue;
        const std::uint32_t before = copies(w.each, o->free), after = copies(w.each, left);
        if (after == before) continue;
        for (const auto& image : o->images) {
            if (!w.jobs.contains(image)) continue;
            const auto room = w.room.find(image);
            if (room == w.room.end() || room->second < w.keep + (before - after)) return false;
        }
    }
    return true;
}

double Room::warmth(MachineIndex machine) const {
    const Offer* o = of(machine);
    std::size_t wanted = 0, here = 0;
    for (const auto& [name, w] : warm_) {
        wanted += w.jobs.size();
        for (const auto& image : o->images) here += w.jobs.contains(image) ? 1 : 0;
    }
    return wanted == 0 ? 0.0 : static_cast<double>(here) / static_cast<double>(wanted);
}

Room Room::recount() const {
    Room plain;
    for (const auto& [name, w] : warm_)
        for (const auto& [image, jobs] : w.jobs)
            for (std::uint32_t i = 0; i < jobs; ++i)
                plain.wantWarm(name, w.rank, w.each, image, w.keep);
    for (const auto& [machine, o] : offers_) plain.offer(machine, o);
    return plain;
}

}  // namespace basaltchute::scheduler
