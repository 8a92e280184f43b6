#include "cells/cells.h"

#include <algorithm>

namespace basaltchute::cells {

CellIndex CellPool::makeCell(Level level, CellIndex parent, MachineIndex machine,
                             const std::string& zone) {
    CellIndex c = noCell;
    if (unusedIndices_.empty()) {
        c = static_cast<CellIndex>(cells_.size());
        cells_.emplace_back();
    } else {
        c = unusedIndices_.back();
        unusedIndices_.pop_back();
        cells_[c] = {};
    }
    Cell& cell = cells_[c];
    cell.level = level;
    cell.parent = parent;
    cell.machine = machine;
    cell.zone = zone;
    return c;
}

void CellPool::markFree(CellIndex c) {
    cells_[c].state = State::free;
    cells_[c].team.clear();
    freeList(cells_[c].level).emplace(cells_[c].lowPrioritySlots, c);
}
void CellPool::removeFromFreeList(CellIndex c) {
    freeList(cells_[c].level).erase({cells_[c].lowPrioritySlots, c});
}

void CellPool::adjustSlotCounts(CellIndex c, int low, int bound) {
    for (; c != noCell; c = cells_[c].parent) {
        Cell& cell = cells_[c];
        const bool isFree = cell.state == State::free;
        if (isFree) removeFromFreeList(c);
        cell.lowPrioritySlots =
            static_cast<std::uint32_t>(static_cast<int>(cell.lowPrioritySlots) + low);
        cell.boundSlots = static_cast<std::uint32_t>(static_cast<int>(cell.boundSlots) + bound);
        if (isFree) markFree(c);
    }
}

void CellPool::addMachine(MachineIndex machine, const std::string& zone) {
    if (machineCells_.contains(machine)) return;
    const CellIndex c = makeCell(Level::machine, noCell, machine, zone);
    machineCells_[machine] = c;
    markFree(c);
    formZoneCell(zone);
}

void CellPool::formZoneCell(const std::string& zone) {
    // Machines come and go, so zone cells are formed of any free machines of the zone. The few that
    // do not fill a zone cell stay machine cells without buddies.
    std::vector<CellIndex> ungrouped;
    for (const auto& [low, c] : freeList(Level::machine))
        if (cells_[c].parent == noCell && cells_[c].zone == zone) ungrouped.push_back(c);
    if (ungrouped.size() < shape_.machinesPerZoneCell) return;
    ungrouped.resize(shape_.machinesPerZoneCell);
    const CellIndex z = makeCell(Level::zone, noCell, noMachine, zone);
    for (const CellIndex c : ungrouped) {
        removeFromFreeList(c);
        cells_[c].state = State::merged;
        cells_[c].parent = z;
        cells_[z].lowPrioritySlots += cells_[c].lowPrioritySlots;
    }
    cells_[z].children = std::move(ungrouped);
    markFree(z);
}

void CellPool::dissolveZoneCell(CellIndex z) {
    if (cells_[z].state == State::free) removeFromFreeList(z);
    const bool isWhole = cells_[z].state != State::split;
    for (const CellIndex c : cells_[z].children) {
        cells_[c].parent = noCell;
        if (isWhole) markFree(c);
    }
    cells_[z] = {};
    unusedIndices_.push_back(z);
}

std::vector<CellIndex> CellPool::removeMachine(MachineIndex machine) {
    std::vector<CellIndex> lost;
    const auto it = machineCells_.find(machine);
    if (it == machineCells_.end()) return lost;
    const CellIndex m = it->second;
    const CellIndex z = cells_[m].parent;
    // Releasing cells merges them, possibly up to the zone cell, so the zone cell is dissolved
    // last.
    if (z != noCell && cells_[z].state == State::bound) {
        lost.push_back(z);
        releaseCell(z);
    }
    if (cells_[m].state == State::bound) {
        lost.push_back(m);
        releaseCell(m);
    }
    // Releasing a slot may merge the machine cell, so the children are searched anew each time.
    for (bool again = true; again;) {
        again = false;
        if (cells_[m].state != State::split) break;
        for (const CellIndex s : cells_[m].children) {
            if (cells_[s].state != State::bound) continue;
            lost.push_back(s);
            releaseCell(s);
            again = true;
            break;
        }
    }
    const std::string zone = cells_[m].zone;
    adjustSlotCounts(m, -static_cast<int>(cells_[m].lowPrioritySlots), 0);
    if (cells_[m].parent != noCell) dissolveZoneCell(cells_[m].parent);
    removeFromFreeList(m);
    cells_[m] = {};
    unusedIndices_.push_back(m);
    machineCells_.erase(it);
    formZoneCell(zone);
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
    std::uint64_t wanted[levelCount] = {};
    for (const auto& [key, n] : reserved_) wanted[static_cast<std::size_t>(key.second)] += n;
    std::map<std::string, std::uint64_t> perZone;
    for (const auto& [machine, c] : machineCells_) ++perZone[cells_[c].zone];
    std::uint64_t zones = 0;
    for (const auto& [zone, n] : perZone) zones += n / shape_.machinesPerZoneCell;
    if (wanted[2] > zones) return false;
    const std::uint64_t machines = machineCells_.size() - wanted[2] * shape_.machinesPerZoneCell;
    return wanted[1] <= machines && wanted[0] <= (machines - wanted[1]) * shape_.slotsPerMachine;
}

bool CellPool::hasUsableMachine(CellIndex c,
                                const std::function<bool(MachineIndex)>& usable) const {
    const auto machines = machinesOf(c);
    return std::any_of(machines.begin(), machines.end(), usable);
}

std::optional<CellIndex> CellPool::findFreeCell(
    Level l, Level want, const std::function<bool(MachineIndex)>& usable) const {
    for (const auto& [low, c] : freeList(l)) {
        const auto machines = machinesOf(c);
        // To bind the whole cell, all its machines must be usable. To bind a part of it, one must.
        const bool isUsable = l == want ? std::all_of(machines.begin(), machines.end(), usable)
                                        : hasUsableMachine(c, usable);
        if (isUsable) return c;
    }
    return std::nullopt;
}

void CellPool::splitCell(CellIndex c) {
    removeFromFreeList(c);
    cells_[c].state = State::split;
    if (cells_[c].level == Level::machine) {
        std::vector<CellIndex> slots;
        const MachineIndex machine = cells_[c].machine;
        const std::string zone = cells_[c].zone;
        // Low-priority work is counted on the machine and not on particular slots. Machines with
        // little of it are preferred when a slot is bound.
        for (std::uint32_t i = 0; i < shape_.slotsPerMachine; ++i)
            slots.push_back(makeCell(Level::slot, c, machine, zone));
        for (const CellIndex s : slots) markFree(s);
        cells_[c].children = std::move(slots);
    } else {
        for (const CellIndex m : cells_[c].children) markFree(m);
    }
}

std::optional<CellIndex> CellPool::bindCell(const std::string& team, Level level,
                                            const std::function<bool(MachineIndex)>& usable) {
    if (boundCells(team, level) >= reservedCells(team, level)) return std::nullopt;
    std::optional<CellIndex> found;
    auto at = static_cast<std::size_t>(level);
    for (; at < levelCount; ++at) {
        found = findFreeCell(static_cast<Level>(at), level, usable);
        if (found) break;
    }
    if (!found) return std::nullopt;
    while (at > static_cast<std::size_t>(level)) {
        splitCell(*found);
        --at;
        const CellIndex parent = *found;
        std::uint32_t fewest = UINT32_MAX;
        for (const CellIndex child : cells_[parent].children) {
            if (cells_[child].lowPrioritySlots >= fewest || !hasUsableMachine(child, usable))
                continue;
            fewest = cells_[child].lowPrioritySlots;
            found = child;
        }
    }
    removeFromFreeList(*found);
    cells_[*found].state = State::bound;
    cells_[*found].team = team;
    ++bound_[{team, level}];
    const auto slots = static_cast<int>(slotsOf(*found));
    adjustSlotCounts(*found, 0, slots);
    return found;
}

void CellPool::releaseCell(CellIndex c) {
    --bound_[{cells_[c].team, cells_[c].level}];
    adjustSlotCounts(c, 0, -static_cast<int>(slotsOf(c)));
    markFree(c);
    mergeWithBuddies(c);
}

void CellPool::mergeWithBuddies(CellIndex c) {
    for (CellIndex p = cells_[c].parent; p != noCell; p = cells_[p].parent) {
        const auto& buddies = cells_[p].children;
        const bool allFree = std::all_of(buddies.begin(), buddies.end(), [&](CellIndex b) {
            return cells_[b].state == State::free;
        });
        if (!allFree) return;
        for (const CellIndex b : buddies) {
            removeFromFreeList(b);
            cells_[b].state = State::merged;
            if (cells_[b].level == Level::slot) unusedIndices_.push_back(b);
        }
        if (cells_[p].level == Level::machine) cells_[p].children.clear();
        markFree(p);
        if (cells_[p].parent == noCell && cells_[p].level == Level::machine)
            formZoneCell(cells_[p].zone);
    }
    if (cells_[c].level == Level::machine && cells_[c].parent == noCell &&
        cells_[c].state == State::free)
        formZoneCell(cells_[c].zone);
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
    const auto it = machineCells_.find(machine);
    if (it == machineCells_.end()) return 0;
    const Cell& m = cells_[it->second];
    if (m.parent != noCell && cells_[m.parent].state == State::bound) return shape_.slotsPerMachine;
    return m.boundSlots;
}
void CellPool::addLowPrioritySlots(MachineIndex machine, int slots) {
    const auto it = machineCells_.find(machine);
    if (it != machineCells_.end()) adjustSlotCounts(it->second, slots, 0);
}
std::uint32_t CellPool::lowPrioritySlots(MachineIndex machine) const {
    const auto it = machineCells_.find(machine);
    return it == machineCells_.end() ? 0 : cells_[it->second].lowPrioritySlots;
}
int CellPool::distanceToBoundCells(MachineIndex machine) const {
    const auto it = machineCells_.find(machine);
    if (it == machineCells_.end()) return 2;
    if (boundSlots(machine) > 0) return 0;
    const CellIndex z = cells_[it->second].parent;
    return z != noCell && cells_[z].boundSlots > 0 ? 1 : 2;
}

std::vector<MachineIndex> CellPool::machinesInSameZoneCell(MachineIndex machine) const {
    const auto it = machineCells_.find(machine);
    if (it == machineCells_.end()) return {};
    const CellIndex zone = cells_[it->second].parent;
    return machinesOf(zone == noCell ? it->second : zone);
}

std::string CellPool::findFreeListInconsistency(Level level) const {
    for (const auto& [low, c] : freeLists_[static_cast<std::size_t>(level)]) {
        const Cell& cell = cells_[c];
        if (cell.state != State::free) return "a listed cell is not free";
        if (cell.lowPrioritySlots != low) return "a free list is out of date";
        if (cell.level != level) return "a cell is on the wrong list";
        for (CellIndex p = cell.parent; p != noCell; p = cells_[p].parent)
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
    return shape_.slotsPerMachine * shape_.machinesPerZoneCell;
}

std::string CellPool::findInconsistency() const {
    for (const Level level : {Level::slot, Level::machine, Level::zone}) {
        std::string fault = findFreeListInconsistency(level);
        if (!fault.empty()) return fault;
    }
    std::uint64_t slots = 0;
    for (const auto& list : freeLists_)
        for (const auto& [low, cell] : list) slots += slotsOf(cell);
    for (const auto& [key, count] : bound_) slots += std::uint64_t{count} * slotsOf(key.second);
    if (slots != machineCells_.size() * shape_.slotsPerMachine)
        return "slots are lost or counted twice";
    return "";
}

}  // namespace basaltchute::cells
