#include "scheduler/quota.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "scheduler/capacity_index.h"

namespace basaltchute::scheduler {

using cells::CellIndex;
using cells::CellPool;
using cells::Level;
using worker_api::Allocation;
using worker_api::Machine;

namespace {

Resources usageOf(const std::unordered_map<std::string, Resources>& usage,
                  const std::string& team) {
    const auto it = usage.find(team);
    return it == usage.end() ? Resources{} : it->second;
}

}  // namespace

// ---------------------------------------------------------------- teams

const settings::Team* Quota::findTeam(const std::string& team) const {
    const auto it = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                 [&](const auto& t) { return t.name == team; });
    return it == settings_.teams.end() ? nullptr : &*it;
}

bool Quota::exceedsLimit(const JobSpec& spec) const {
    const settings::Team* team = findTeam(spec.team);
    if (team == nullptr) return true;
    const double concurrentTasks = spec.shape == Shape::array ? 1 : spec.tasks;
    return (team->coresMax > 0 && spec.demand.cores * concurrentTasks > team->coresMax) ||
           (team->gpusMax > 0 && spec.demand.gpus * concurrentTasks > team->gpusMax);
}

bool Quota::withinLimit(const JobSpec& spec) const {
    const settings::Team* team = findTeam(spec.team);
    if (team == nullptr) return false;
    const Resources used = usageOf(usage_, spec.team);
    return (team->coresMax <= 0 ||
            used.cores + spec.demand.cores <= team->coresMax + resourceEpsilon) &&
           (team->gpusMax <= 0 || used.gpus + spec.demand.gpus <= team->gpusMax + resourceEpsilon);
}

bool Quota::withinReservation(const JobSpec& spec) const {
    const settings::Team* team = findTeam(spec.team);
    if (team == nullptr) return false;
    const bool hasCells = std::any_of(operator_.reservations.begin(), operator_.reservations.end(),
                                      [&](const auto& r) { return r.team == spec.team; });
    if (hasCells) return true;  // limited by the number of cells instead
    const Resources used = usageOf(reservedUsage_, spec.team);
    return (team->cores > 0 && used.cores + spec.demand.cores <= team->cores + resourceEpsilon) ||
           (team->gpus > 0 && spec.demand.gpus > 0 &&
            used.gpus + spec.demand.gpus <= team->gpus + resourceEpsilon);
}

double Quota::weightedUsage(const std::string& team) const {
    const auto weight = operator_.weights.find(team);
    return usageOf(usage_, team).cores / (weight == operator_.weights.end() ? 1.0 : weight->second);
}

// ---------------------------------------------------------------- machines

bool Quota::addPool(const autoscaler::MachineType& type) {
    if (pools_.contains(type.name)) return false;
    const bool countsGpus = type.capacity.gpus >= 1;
    const double slots = countsGpus ? type.capacity.gpus : type.capacity.cores;
    cells::PoolShape shape;
    shape.slotsPerMachine = static_cast<std::uint32_t>(std::max(1.0, std::floor(slots)));
    shape.machinesPerZoneCell = operator_.machinesPerZoneCell;
    CellPool& pool = pools_.emplace(type.name, CellPool(shape)).first->second;
    for (const auto& r : operator_.reservations)
        if (r.type == type.name) pool.reserve(r.team, r.level, r.cells);
    for (const auto& team : settings_.teams) {
        const auto slotsOfTeam =
            static_cast<std::uint32_t>(std::floor(countsGpus ? team.gpus : team.cores));
        if (slotsOfTeam > 0)
            pool.reserve(team.name, Level::slot,
                         pool.reservedCells(team.name, Level::slot) + slotsOfTeam);
    }
    return true;
}

CellPool* Quota::poolOf(const std::string& type) {
    const auto it = pools_.find(type);
    return it == pools_.end() ? nullptr : &it->second;
}

bool Quota::addMachine(MachineIndex index, const Machine& machine) {
    CellPool* pool = poolOf(machine.type);
    if (pool == nullptr) return false;
    pool->addMachine(index, machine.zone);
    return true;
}

void Quota::removeMachine(MachineIndex index, const Machine& machine) {
    if (CellPool* pool = poolOf(machine.type)) pool->removeMachine(index);
}

int Quota::reservationDistance(MachineIndex index, const Machine& machine) const {
    constexpr int noBoundCellsNear = 2;
    const auto pool = pools_.find(machine.type);
    return pool == pools_.end() ? noBoundCellsNear : pool->second.distanceToBoundCells(index);
}

// ---------------------------------------------------------------- cells

std::uint32_t Quota::slotsFor(const JobSpec& spec, const std::string& type) const {
    const auto machineType = catalogue_.find(type);
    const auto pool = pools_.find(type);
    if (machineType == catalogue_.end() || pool == pools_.end()) return 0;
    const double slots = pool->second.slotsPerMachine();
    const auto share = [&](double demand, double capacity) {
        return capacity > 0 ? demand * slots / capacity : 0.0;
    };
    const Resources& whole = machineType->second.capacity;
    const double needed =
        std::max({share(spec.demand.cores, whole.cores), share(spec.demand.gpus, whole.gpus),
                  share(spec.demand.ramGb, whole.ramGb), 1.0});
    return static_cast<std::uint32_t>(std::ceil(needed - resourceEpsilon));
}

std::optional<std::vector<CellIndex>> Quota::bindSlots(const JobSpec& spec, const std::string& type,
                                                       const MachineFilter& usable) {
    CellPool* pool = poolOf(type);
    if (pool == nullptr) return std::nullopt;
    const std::uint32_t slots = slotsFor(spec, type);
    std::set<MachineIndex> tooSmall;
    while (true) {
        const auto first = pool->bindCell(spec.team, Level::slot, [&](MachineIndex m) {
            return !tooSmall.contains(m) && usable(m);
        });
        if (!first) return std::nullopt;
        // All slots of a task must be on one machine.
        const MachineIndex machine = pool->machinesOf(*first).front();
        std::vector<CellIndex> found{*first};
        while (found.size() < slots) {
            const auto next = pool->bindCell(spec.team, Level::slot,
                                             [&](MachineIndex m) { return m == machine; });
            if (!next) break;
            found.push_back(*next);
        }
        if (found.size() == slots) return found;
        for (const CellIndex cell : found) pool->releaseCell(cell);
        tooSmall.insert(machine);
    }
}

std::optional<CellIndex> Quota::findSharedCell(const std::string& team, const std::string& type,
                                               std::uint32_t slots,
                                               const MachineFilter& usable) const {
    const CellPool& pool = pools_.at(type);
    std::optional<CellIndex> found;
    for (const auto& [key, shared] : sharedCells_) {
        const auto& [cellType, cell] = key;
        if (cellType != type || shared.team != team) continue;
        if (shared.usedSlots + slots > pool.slotsPerMachine()) continue;
        if (usable(pool.machinesOf(cell).front())) found = cell;
    }
    return found;
}

std::optional<Quota::ReservedCells> Quota::bindCells(const JobSpec& spec, const std::string& type,
                                                     const MachineFilter& usable) {
    CellPool* pool = poolOf(type);
    if (pool == nullptr) return std::nullopt;
    const std::uint32_t slots = slotsFor(spec, type);
    if (const auto shared = findSharedCell(spec.team, type, slots, usable))
        return ReservedCells{{*shared}, true};
    if (auto found = bindSlots(spec, type, usable)) return ReservedCells{std::move(*found), false};
    if (slots > pool->slotsPerMachine()) return std::nullopt;
    const auto cell = pool->bindCell(spec.team, Level::machine, usable);
    if (!cell) return std::nullopt;
    sharedCells_[{type, *cell}] = SharedCell{spec.team, 0, 0};
    return ReservedCells{{*cell}, false};
}

void Quota::unbindCells(const std::string& type, const ReservedCells& bound) {
    if (bound.sharedWithOthers) return;
    sharedCells_.erase({type, bound.cells.front()});
    CellPool& pool = pools_.at(type);
    for (const CellIndex cell : bound.cells) pool.releaseCell(cell);
}

MachineIndex Quota::machineOf(const std::string& type, const ReservedCells& bound) const {
    return pools_.at(type).machinesOf(bound.cells.front()).front();
}

std::vector<MachineIndex> Quota::occupyCells(Allocation& allocation, MachineIndex index,
                                             const Machine& machine) {
    CellPool* pool = poolOf(machine.type);
    if (pool == nullptr) return {};
    const JobSpec& spec = allocation.job->spec;
    const std::uint32_t slots = slotsFor(spec, machine.type);
    if (allocation.cells.empty()) {
        allocation.opportunisticSlots = slots;
        pool->addLowPrioritySlots(index, static_cast<int>(slots));
        return {};
    }
    reservedUsage_[spec.team] += spec.demand;
    const auto shared = sharedCells_.find({machine.type, allocation.cells.front()});
    if (shared != sharedCells_.end()) {
        shared->second.usedSlots += slots;
        ++shared->second.tasks;
    }
    return pool->machinesInSameZoneCell(index);
}

std::vector<MachineIndex> Quota::vacateCells(const Allocation& allocation, MachineIndex index,
                                             const Machine& machine) {
    CellPool* pool = poolOf(machine.type);
    if (pool == nullptr) return {};
    if (allocation.opportunisticSlots > 0)
        pool->addLowPrioritySlots(index, -static_cast<int>(allocation.opportunisticSlots));
    if (allocation.cells.empty()) return {};
    const JobSpec& spec = allocation.job->spec;
    reservedUsage_[spec.team] -= spec.demand;
    const std::vector<MachineIndex> buddies = pool->machinesInSameZoneCell(index);
    const auto shared = sharedCells_.find({machine.type, allocation.cells.front()});
    if (shared != sharedCells_.end()) {
        shared->second.usedSlots -= slotsFor(spec, machine.type);
        if (--shared->second.tasks > 0) return buddies;
        sharedCells_.erase(shared);
    }
    for (const CellIndex cell : allocation.cells) pool->releaseCell(cell);
    return buddies;
}

}  // namespace basaltchute::scheduler
