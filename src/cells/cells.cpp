#include "cells/cells.h"

#include <algorithm>

namespace basaltchute::cells {

CellIndex CellPool::make(Level level, CellIndex parent, MachineIndex machine,
                         const std::string& zone) {
    CellIndex c = none;
    if (spare_.empty()) {
        c = static_cast<CellIndex>(cells_.size());
        cells_.emplace_back();
    } else {
        c = spare_.back();
        spare_.pop_back();
        cells_[c] = {};
    }
    Cell& cell = cells_[c];
    cell.level = level;
    cell.parent = parent;
    cell.machine = machine;
    cell.zone = zone;
    return c;
}

void CellPool::setFree(CellIndex c) {
    cells_[c].state = State::free;
    cells_[c].team.clear();
    free(cells_[c].level).emplace(cells_[c].low, c);
}
void CellPool::unlist(CellIndex c) {
    free(cells_[c].level).erase({cells_[c].low, c});
}

void CellPool::count(CellIndex c, int low, int bound) {
    for (; c != none; c = cells_[c].parent) {
        Cell& cell = cells_[c];
        const bool listed = cell.state == State::free;
        if (listed) unlist(c);
        cell.low = static_cast<std::uint32_t>(static_cast<int>(cell.low) + low);
        cell.bound = static_cast<std::uint32_t>(static_cast<int>(cell.bound) + bound);
        if (listed) setFree(c);
    }
}

void CellPool::addMachine(MachineIndex machine, const std::string& zone) {
    if (byMachine_.contains(machine)) return;
    const CellIndex c = make(Level::machine, none, machine, zone);
    byMachine_[machine] = c;
    setFree(c);
    groupZone(zone);
}

void CellPool::groupZone(const std::string& zone) {
    // Machines come and go, so zone cells are made of whatever free machines a zone has; the
    // few beyond the last full cell stay machine cells with no buddies.
    std::vector<CellIndex> single;
    for (const auto& [low, c] : free(Level::machine))
        if (cells_[c].parent == none && cells_[c].zone == zone) single.push_back(c);
    if (single.size() < shape_.machinesPerZone) return;
    single.resize(shape_.machinesPerZone);
    const CellIndex z = make(Level::zone, none, noMachine, zone);
    for (const CellIndex c : single) {
        unlist(c);
        cells_[c].state = State::absent;
        cells_[c].parent = z;
        cells_[z].low += cells_[c].low;
    }
    cells_[z].children = std::move(single);
    setFree(z);
}

void CellPool::dissolve(CellIndex z) {
    if (cells_[z].state == State::free) unlist(z);
    const bool whole = cells_[z].state != State::split;
    for (const CellIndex c : cells_[z].children) {
        cells_[c].parent = none;
        if (whole) setFree(c);
    }
    cells_[z] = {};
    spare_.push_back(z);
}

std::vector<CellIndex> CellPool::removeMachine(MachineIndex machine) {
    std::vector<CellIndex> lost;
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return lost;
    const CellIndex m = it->second;
    const CellIndex z = cells_[m].parent;
    // Unbinding merges, and merging may free the zone cell: dissolve only what is left then.
    if (z != none && cells_[z].state == State::bound) {
        lost.push_back(z);
        release(z);
    }
    if (cells_[m].state == State::bound) {
        lost.push_back(m);
        release(m);
    }
    for (bool again = true; again;) {
        again = false;
        if (cells_[m].state != State::split) break;
        for (const CellIndex s : cells_[m].children) {
            if (cells_[s].state != State::bound) continue;
            lost.push_back(s);
            release(s);
            again = true;
            break;
        }
    }
    const std::string zone = cells_[m].zone;
    count(m, -static_cast<int>(cells_[m].low), 0);
    if (cells_[m].parent != none) dissolve(cells_[m].parent);
    unlist(m);
    cells_[m] = {};
    spare_.push_back(m);
    byMachine_.erase(it);
    groupZone(zone);
    return lost;
}

void CellPool::reserve(const std::string& team, Level level, std::uint32_t count) {
    reserved_[{team, level}] = count;
}
std::uint32_t CellPool::reservedCells(const std::string& team, Level level) const {
    const auto it = reserved_.find({team, level});
    return it == reserved_.end() ? 0 : it->second;
}
std::uint32_t CellPool::boundCells(const std::string& team, Level level) const {
    const auto it = bound_.find({team, level});
    return it == bound_.end() ? 0 : it->second;
}

bool CellPool::reservationsFit() const {
    std::uint64_t want[levels] = {};
    for (const auto& [key, n] : reserved_) want[static_cast<std::size_t>(key.second)] += n;
    std::map<std::string, std::uint64_t> perZone;
    for (const auto& [machine, c] : byMachine_) ++perZone[cells_[c].zone];
    std::uint64_t zones = 0;
    for (const auto& [zone, n] : perZone) zones += n / shape_.machinesPerZone;
    if (want[2] > zones) return false;
    const std::uint64_t machines = byMachine_.size() - want[2] * shape_.machinesPerZone;
    return want[1] <= machines && want[0] <= (machines - want[1]) * shape_.slotsPerMachine;
}

bool CellPool::anyUsable(CellIndex c, const std::function<bool(MachineIndex)>& usable) const {
    const auto machines = machinesOf(c);
    return std::any_of(machines.begin(), machines.end(), usable);
}

std::optional<CellIndex> CellPool::best(Level l, Level want,
                                        const std::function<bool(MachineIndex)>& usable) const {
    for (const auto& [low, c] : free(l)) {
        const auto machines = machinesOf(c);
        // A whole zone cell needs all of its machines; a part of it needs one.
        const bool ok = l == want ? std::all_of(machines.begin(), machines.end(), usable)
                                  : anyUsable(c, usable);
        if (ok) return c;
    }
    return std::nullopt;
}

void CellPool::split(CellIndex c) {
    unlist(c);
    cells_[c].state = State::split;
    if (cells_[c].level == Level::machine) {
        std::vector<CellIndex> slots;
        const MachineIndex machine = cells_[c].machine;
        const std::string zone = cells_[c].zone;
        // Low-priority work on a machine stands on no slot in particular: it is counted on the
        // machine, and slots of machines with little of it are preferred by their parent.
        for (std::uint32_t i = 0; i < shape_.slotsPerMachine; ++i)
            slots.push_back(make(Level::slot, c, machine, zone));
        for (const CellIndex s : slots) setFree(s);
        cells_[c].children = std::move(slots);
    } else {
        for (const CellIndex m : cells_[c].children) setFree(m);
    }
}

std::optional<CellIndex> CellPool::bind(const std::string& team, Level level,
                                        const std::function<bool(MachineIndex)>& usable) {
    if (boundCells(team, level) >= reservedCells(team, level)) return std::nullopt;
    std::optional<CellIndex> found;
    auto at = static_cast<std::size_t>(level);
    for (; at < levels; ++at) {
        found = best(static_cast<Level>(at), level, usable);
        if (found) break;
    }
    if (!found) return std::nullopt;
    while (at > static_cast<std::size_t>(level)) {
        split(*found);
        --at;
        const CellIndex parent = *found;
        std::uint32_t fewest = UINT32_MAX;
        for (const CellIndex child : cells_[parent].children) {
            if (cells_[child].low >= fewest || !anyUsable(child, usable)) continue;
            fewest = cells_[child].low;
            found = child;
        }
    }
    unlist(*found);
    cells_[*found].state = State::bound;
    cells_[*found].team = team;
    ++bound_[{team, level}];
    const auto slots = static_cast<int>(slotsOf(*found));
    count(*found, 0, slots);
    return found;
}

void CellPool::release(CellIndex c) {
    --bound_[{cells_[c].team, cells_[c].level}];
    count(c, 0, -static_cast<int>(slotsOf(c)));
    setFree(c);
    mergeUp(c);
}

void CellPool::mergeUp(CellIndex c) {
    for (CellIndex p = cells_[c].parent; p != none; p = cells_[p].parent) {
        const auto& buddies = cells_[p].children;
        const bool whole = std::all_of(buddies.begin(), buddies.end(),
                                       [&](CellIndex b) { return cells_[b].state == State::free; });
        if (!whole) return;
        for (const CellIndex b : buddies) {
            unlist(b);
            cells_[b].state = State::absent;
            if (cells_[b].level == Level::slot) spare_.push_back(b);
        }
        if (cells_[p].level == Level::machine) cells_[p].children.clear();
        setFree(p);
        if (cells_[p].parent == none && cells_[p].level == Level::machine)
            groupZone(cells_[p].zone);
    }
    if (cells_[c].level == Level::machine && cells_[c].parent == none &&
        cells_[c].state == State::free)
        groupZone(cells_[c].zone);
}

std::vector<MachineIndex> CellPool::machinesOf(CellIndex c) const {
    if (cells_[c].level != Level::zone) return {cells_[c].machine};
    std::vector<MachineIndex> out;
    for (const CellIndex m : cells_[c].children) out.push_back(cells_[m].machine);
    return out;
}
std::uint32_t CellPool::slotsOf(CellIndex c) const {
    return slotsOf(cells_[c].level);
}

std::uint32_t CellPool::boundSlots(MachineIndex machine) const {
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return 0;
    const Cell& m = cells_[it->second];
    if (m.parent != none && cells_[m.parent].state == State::bound) return shape_.slotsPerMachine;
    return m.bound;
}
void CellPool::addLowPrioritySlots(MachineIndex machine, int slots) {
    const auto it = byMachine_.find(machine);
    if (it != byMachine_.end()) count(it->second, slots, 0);
}
std::uint32_t CellPool::lowPrioritySlots(MachineIndex machine) const {
    const auto it = byMachine_.find(machine);
    return it == byMachine_.end() ? 0 : cells_[it->second].low;
}
int CellPool::distanceToBoundCells(MachineIndex machine) const {
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return 2;
    if (boundSlots(machine) > 0) return 0;
    const CellIndex z = cells_[it->second].parent;
    return z != none && cells_[z].bound > 0 ? 1 : 2;
}

std::vector<MachineIndex> CellPool::buddies(MachineIndex machine) const {
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return {};
    const CellIndex zone = cells_[it->second].parent;
    return machinesOf(zone == none ? it->second : zone);
}

std::string CellPool::freeListFault(Level level) const {
    for (const auto& [low, c] : free_[static_cast<std::size_t>(level)]) {
        const Cell& cell = cells_[c];
        if (cell.state != State::free) return "a listed cell is not free";
        if (cell.low != low) return "a free list is out of date";
        if (cell.level != level) return "a cell is on the wrong list";
        for (CellIndex p = cell.parent; p != none; p = cells_[p].parent)
            if (cells_[p].state != State::split) return "a free cell lies in one that is not split";
    }
    return "";
}

std::uint32_t CellPool::slotsOf(Level level) const {
    switch (level) {
        case Level::slot:
            return 1;
        case Level::machine:
            return shape_.slotsPerMachine;
        case Level::zone:
            break;
    }
    return shape_.slotsPerMachine * shape_.machinesPerZone;
}

std::string CellPool::findInconsistency() const {
    for (const Level level : {Level::slot, Level::machine, Level::zone}) {
        std::string fault = freeListFault(level);
        if (!fault.empty()) return fault;
    }
    std::uint64_t slots = 0;
    for (const auto& list : free_)
        for (const auto& [low, cell] : list) slots += slotsOf(cell);
    for (const auto& [key, count] : bound_) slots += std::uint64_t{count} * slotsOf(key.second);
    if (slots != byMachine_.size() * shape_.slotsPerMachine)
        return "slots are lost or counted twice";
    return "";
}

}  // namespace basaltchute::cells
