#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// A team's reservation: which of its tasks stand in guaranteed cells, and how those are bound.

namespace basaltchute::scheduler {

using cells::CellIndex;
using cells::Level;
using cells::Pool;
using worker_api::Allocation;
using worker_api::Machine;

void Cluster::setCatalogue(autoscaler::Catalogue catalogue) {
    const bool sameTypes =
        std::equal(catalogue.begin(), catalogue.end(), catalogue_.begin(), catalogue_.end(),
                   [](const auto& a, const auto& b) {
                       return a.first == b.first && a.second.capacity == b.second.capacity;
                   });
    catalogue_ = std::move(catalogue);
    if (sameTypes) return;  // prices move, and nothing here follows them
    for (MachineIndex i = 0; i < machines_.size(); ++i) markCapacityDirty(i);
    for (const auto& [name, type] : catalogue_) {
        if (pools_.contains(name)) continue;
        cells::Shape shape;
        const double slots = type.capacity.gpus >= 1 ? type.capacity.gpus : type.capacity.cores;
        shape.slotsPerMachine = static_cast<std::uint32_t>(std::max(1.0, std::floor(slots)));
        shape.machinesPerZone = operator_.machinesPerZoneCell;
        Pool& pool = pools_.emplace(name, Pool(shape)).first->second;
        for (const auto& r : operator_.reservations)
            if (r.type == name) pool.reserve(r.team, r.level, r.cells);
        // A guarantee in cores names no type: it may be met by slots of any, within its sum.
        for (const auto& t : settings_.teams) {
            const double cores = type.capacity.gpus >= 1 ? t.gpus : t.cores;
            const auto more = static_cast<std::uint32_t>(std::floor(cores));
            if (more > 0)
                pool.reserve(t.name, Level::slot, pool.reserved(t.name, Level::slot) + more);
        }
        for (MachineIndex i = 0; i < machines_.size(); ++i)
            if (machines_[i].up() && machines_[i].type == name) enterPool(i);
    }
}

Pool* Cluster::poolOf(const Machine& m) {
    const auto it = pools_.find(m.type);
    return it == pools_.end() ? nullptr : &it->second;
}

std::uint32_t Cluster::slotsFor(const JobSpec& s, const std::string& type) const {
    const auto t = catalogue_.find(type);
    const auto pool = pools_.find(type);
    if (t == catalogue_.end() || pool == pools_.end()) return 0;
    const double slots = pool->second.slotsPerMachine();
    const auto share = [&](double need, double whole) {
        return whole > 0 ? need * slots / whole : 0.0;
    };
    const Demand& whole = t->second.capacity;
    const double n = std::max({share(s.demand.cores, whole.cores), share(s.demand.gpus, whole.gpus),
                               share(s.demand.ramGb, whole.ramGb), 1.0});
    return static_cast<std::uint32_t>(std::ceil(n - 1e-6));
}

void Cluster::enterPool(MachineIndex machine) {
    Machine& m = machines_[machine];
    Pool* pool = poolOf(m);
    if (pool == nullptr) return;
    pool->addMachine(machine, m.zone);
    // After a take-over: bindings on record come first, before anything new is placed.
    for (auto& c : m.allocations) {
        if (!c.cells.empty() || c.opportunisticSlots > 0) continue;
        const JobTask& t = c.job->tasks[c.task];
        if (t.reserved && ownsAllocation(c, machine) && withinReservation(*c.job)) {
            auto found = cellsOn(*pool, c.job->spec.team, slotsFor(c.job->spec, m.type),
                                 [machine](MachineIndex i) { return i == machine; });
            if (found) c.cells = std::move(*found);
        }
        allocateCells(c, machine);
    }
}

void Cluster::allocateCells(Allocation& c, MachineIndex machine) {
    const Machine& m = machines_[machine];
    Pool* pool = poolOf(m);
    if (pool == nullptr) return;
    const std::uint32_t slots = slotsFor(c.job->spec, m.type);
    if (c.cells.empty()) {
        c.opportunisticSlots = slots;
        pool->use(machine, static_cast<int>(slots));
        return;
    }
    reservedUse_[c.job->spec.team] += c.job->spec.demand;
    for (const MachineIndex buddy : pool->buddies(machine)) markCapacityDirty(buddy);
    const auto it = sharedCells_.find({m.type, c.cells.front()});
    if (it == sharedCells_.end()) return;
    it->second.used += slots;
    ++it->second.tasks;
}

void Cluster::freeCells(const Allocation& c, MachineIndex machine) {
    const Machine& m = machines_[machine];
    Pool* pool = poolOf(m);
    if (pool == nullptr) return;
    if (c.opportunisticSlots > 0) pool->use(machine, -static_cast<int>(c.opportunisticSlots));
    if (c.cells.empty()) return;
    reservedUse_[c.job->spec.team] -= c.job->spec.demand;
    for (const MachineIndex buddy : pool->buddies(machine)) markCapacityDirty(buddy);
    const auto it = sharedCells_.find({m.type, c.cells.front()});
    if (it != sharedCells_.end()) {
        it->second.used -= slotsFor(c.job->spec, m.type);
        if (--it->second.tasks > 0) return;
        sharedCells_.erase(it);
    }
    for (const CellIndex cell : c.cells) pool->release(cell);
}

std::optional<std::vector<CellIndex>> Cluster::cellsOn(
    Pool& pool, const std::string& team, std::uint32_t slots,
    const std::function<bool(MachineIndex)>& usable) {
    std::set<MachineIndex> tooSmall;
    while (true) {
        const auto first = pool.bind(
            team, Level::slot, [&](MachineIndex m) { return !tooSmall.contains(m) && usable(m); });
        if (!first) return std::nullopt;
        // The slots of one task lie on one machine.
        const MachineIndex machine = pool.machinesOf(*first).front();
        std::vector<CellIndex> found{*first};
        while (found.size() < slots) {
            const auto next =
                pool.bind(team, Level::slot, [&](MachineIndex m) { return m == machine; });
            if (!next) break;
            found.push_back(*next);
        }
        if (found.size() == slots) return found;
        for (const CellIndex c : found) pool.release(c);
        tooSmall.insert(machine);
    }
}

bool Cluster::withinReservation(const Job& job) const {
    const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                   [&](const auto& t) { return t.name == job.spec.team; });
    if (team == settings_.teams.end()) return false;
    const bool reserved = std::any_of(operator_.reservations.begin(), operator_.reservations.end(),
                                      [&](const auto& r) { return r.team == job.spec.team; });
    if (reserved) return true;  // the cells themselves are the bound
    const auto it = reservedUse_.find(job.spec.team);
    const Demand used = it == reservedUse_.end() ? Demand{} : it->second;
    return (team->cores > 0 && used.cores + job.spec.demand.cores <= team->cores + 1e-6) ||
           (team->gpus > 0 && job.spec.demand.gpus > 0 &&
            used.gpus + job.spec.demand.gpus <= team->gpus + 1e-6);
}

double Cluster::weightOf(const std::string& team) const {
    const auto it = operator_.weights.find(team);
    return it == operator_.weights.end() ? 1.0 : it->second;
}

bool Cluster::placeInReservation(Job& job, std::uint32_t task, TimePoint now) {
    const std::string& team = job.spec.team;
    for (auto& [type, pool] : pools_) {
        if (!typeAllowed(job.spec, type)) continue;
        const std::uint32_t slots = slotsFor(job.spec, type);
        const auto usable = [&](MachineIndex m) {
            return placeable(job, m, now) && allowed(job, machines_[m]);
        };
        std::optional<std::vector<CellIndex>> found;
        for (const auto& [key, s] : sharedCells_) {
            if (key.first != type || s.team != team) continue;
            if (s.used + slots > pool.slotsPerMachine()) continue;
            if (usable(pool.machinesOf(key.second).front())) found = {key.second};
        }
        const bool share = found.has_value();
        if (!found) found = cellsOn(pool, team, slots, usable);
        if (!found && slots <= pool.slotsPerMachine()) {
            if (const auto cell = pool.bind(team, Level::machine, usable)) {
                found = {*cell};
                sharedCells_[{type, *cell}] = SharedCell{team, 0, 0};
            }
        }
        if (!found) continue;
        const MachineIndex m = pool.machinesOf(found->front()).front();
        // Only what is borrowed gives way: work of another team beyond its guarantee, or of a
        // lower priority.
        const bool room = reclaimCapacity(job, m, [&](const Allocation& c) {
            return c.cells.empty() && (c.job->spec.team != team || c.job->rank > job.rank);
        });
        if (room) {
            bind(job, task, m, *found);
            return true;
        }
        // Not free yet: the cells are bound again once what stood on them has gone.
        if (share) continue;
        sharedCells_.erase({type, found->front()});
        for (const CellIndex c : *found) pool.release(c);
    }
    return false;
}

}  // namespace basaltchute::scheduler
