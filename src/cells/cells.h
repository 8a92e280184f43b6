#pragma once
// Cells: the units of machines that teams can reserve (HiveD, algorithm 1: buddy cell allocation;
// Zhao et al., OSDI 2020).
//
// A pool divides the machines of one type into cells of three levels. Reservations are met by
// binding whole cells; other, low-priority work runs anywhere and only counts the slots that it
// uses. Each side is told where the other one is, so that they can stay apart. Pure data structure
// without I/O. Called by `scheduler::Quota`.
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::cells {

/// The levels of cells in a pool: a slot (a fixed share of a machine), a machine, and a zone cell
/// (a fixed number of machines in one zone). All cells of a level have the same size, as buddy
/// allocation requires.
enum class Level : std::uint8_t { slot, machine, zone };
inline constexpr std::size_t levelCount = 3;

/// Identifies a cell of a pool. Indices of cells that no longer exist are reused.
using CellIndex = std::uint32_t;

/// The sizes of the cells of a pool.
struct PoolShape {
    std::uint32_t slotsPerMachine = 1;
    std::uint32_t machinesPerZoneCell = 4;
};

/// The cells of all machines of one type. See the top of this file.
class CellPool {
  public:
    explicit CellPool(PoolShape shape) : shape_(shape) {}

    /// Adds a machine. Does nothing if it is in the pool already.
    void addMachine(MachineIndex machine, const std::string& zone);
    /// Removes a machine. Returns the bound cells that contained it, which are released.
    std::vector<CellIndex> removeMachine(MachineIndex machine);

    // Reservations
    /// Sets how many cells of the level are reserved for the team.
    void reserve(const std::string& team, Level level, std::uint32_t count);
    [[nodiscard]] std::uint32_t reservedCells(const std::string& team, Level level) const;
    [[nodiscard]] std::uint32_t boundCells(const std::string& team, Level level) const;
    /// Whether the machines in the pool suffice for all reservations at once.
    [[nodiscard]] bool reservationsFit() const;
    /// Binds a free cell for the team and splits the smallest larger one if there is none. Prefers
    /// cells with few low-priority slots. Returns nothing if the team's reservation at the level is
    /// used up, or no cell is free on machines that `usable` accepts.
    std::optional<CellIndex> bindCell(const std::string& team, Level level,
                                      const std::function<bool(MachineIndex)>& usable);
    /// Makes a bound cell free again. It merges with its buddies, level by level, as long as all of
    /// them are free.
    void releaseCell(CellIndex cell);
    /// The machines of the cell. For a slot, the machine that it is a part of.
    [[nodiscard]] std::vector<MachineIndex> machinesOf(CellIndex cell) const;
    [[nodiscard]] std::uint32_t slotsOf(CellIndex cell) const;
    /// How many slots a cell of the level has.
    [[nodiscard]] std::uint32_t slotsOf(Level level) const;
    /// How many slots of the machine belong to bound cells.
    [[nodiscard]] std::uint32_t boundSlots(MachineIndex machine) const;

    // Low-priority work
    /// Adds to the number of slots that low-priority work uses on the machine. `slots` is negative
    /// when work ends.
    void addLowPrioritySlots(MachineIndex machine, int slots);
    [[nodiscard]] std::uint32_t lowPrioritySlots(MachineIndex machine) const;
    /// How far the machine is from bound cells: 0 if it has bound slots itself, 1 if another
    /// machine of its zone cell has, else 2.
    [[nodiscard]] int distanceToBoundCells(MachineIndex machine) const;
    /// The machines whose distance may change when cells are bound on this one, which is included.
    [[nodiscard]] std::vector<MachineIndex> machinesInSameZoneCell(MachineIndex machine) const;

    [[nodiscard]] std::size_t freeCells(Level level) const { return freeList(level).size(); }
    [[nodiscard]] std::uint32_t slotsPerMachine() const { return shape_.slotsPerMachine; }
    /// Checks that free lists, parents and counts agree. Returns what is wrong, or an empty string.
    /// For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    /// `merged`: the parent is not split, so the cell exists only as a part of it.
    enum class State : std::uint8_t { merged, free, split, bound };
    struct Cell {
        Level level = Level::slot;
        State state = State::merged;
        CellIndex parent = noCell;
        std::vector<CellIndex> children;
        MachineIndex machine = noMachine;
        std::uint32_t lowPrioritySlots = 0;  // including those of its children
        std::uint32_t boundSlots = 0;        // of bound cells, including its children
        std::string team;                    // that it is bound for
        std::string zone;
    };
    static constexpr CellIndex noCell = UINT32_MAX;
    using FreeList = std::set<std::pair<std::uint32_t, CellIndex>>;  // by low-priority slots

    FreeList& freeList(Level l) { return freeLists_[static_cast<std::size_t>(l)]; }
    [[nodiscard]] const FreeList& freeList(Level l) const {
        return freeLists_[static_cast<std::size_t>(l)];
    }
    CellIndex makeCell(Level level, CellIndex parent, MachineIndex machine,
                       const std::string& zone);
    /// Sets the state to free and adds the cell to the free list of its level.
    void markFree(CellIndex c);
    void removeFromFreeList(CellIndex c);
    /// Replaces a free cell by its children, which become free.
    void splitCell(CellIndex c);
    /// Replaces free cells by their parent, as far up as all children of a cell are free.
    void mergeWithBuddies(CellIndex c);
    /// Makes a zone cell of free machines of the zone that are in none, if there are enough.
    void formZoneCell(const std::string& zone);
    /// Removes a zone cell. Its machines stay.
    void dissolveZoneCell(CellIndex zoneCell);
    /// Adds to the slot counts of the cell and of all its ancestors.
    void adjustSlotCounts(CellIndex c, int low, int bound);
    /// Checks that the level's free list agrees with its cells. Returns what is wrong, if anything.
    [[nodiscard]] std::string findFreeListInconsistency(Level level) const;
    [[nodiscard]] bool hasUsableMachine(CellIndex c,
                                        const std::function<bool(MachineIndex)>& usable) const;
    /// The free cell of level `l` with the fewest low-priority slots that a cell of level `want`
    /// can be made of.
    [[nodiscard]] std::optional<CellIndex> findFreeCell(
        Level l, Level want, const std::function<bool(MachineIndex)>& usable) const;

    PoolShape shape_;
    std::vector<Cell> cells_;
    std::vector<CellIndex> unusedIndices_;  // in `cells_`
    std::array<FreeList, levelCount> freeLists_;
    std::map<MachineIndex, CellIndex> machineCells_;
    std::map<std::pair<std::string, Level>, std::uint32_t> reserved_, bound_;
};

}  // namespace basaltchute::cells
