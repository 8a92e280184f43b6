#pragma once
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

/// The levels of a pool: a slot (a fixed share of a machine), a machine, and a zone cell (a fixed
/// number of machines of one zone). All cells of a level are alike, as buddy allocation needs.
enum class Level : std::uint8_t { slot, machine, zone };
inline constexpr std::size_t levels = 3;

using CellIndex = std::uint32_t;

struct PoolShape {
    std::uint32_t slotsPerMachine = 1;
    std::uint32_t machinesPerZone = 4;
};

/// Buddy cell allocation (HiveD, algorithm 1) over the machines of one type. Two views share the
/// cells: guaranteed bindings take whole cells, low-priority work only counts the slots it uses,
/// and each side is told where the other is so as to keep away from it.
class CellPool {
  public:
    explicit CellPool(PoolShape shape) : shape_(shape) {}

    void addMachine(MachineIndex machine, const std::string& zone);
    /// The machine is gone; bound cells that held it are unbound and returned.
    std::vector<CellIndex> removeMachine(MachineIndex machine);

    // Guaranteed view
    void reserve(const std::string& team, Level level, std::uint32_t count);
    [[nodiscard]] std::uint32_t reservedCells(const std::string& team, Level level) const;
    [[nodiscard]] std::uint32_t boundCells(const std::string& team, Level level) const;
    /// Whether the machines present can hold every team's reservation at once.
    [[nodiscard]] bool reservationsFit() const;
    /// Binds a free cell, splitting the lowest higher one if need be. Legal only while the team's
    /// bound cells at the level are below its reservation. Among equals the cell with the fewest
    /// low-priority slots is taken. `usable` may rule machines out.
    std::optional<CellIndex> bind(const std::string& team, Level level,
                                  const std::function<bool(MachineIndex)>& usable);
    /// Returns a cell; it merges with its buddies as far up as they are all free.
    void release(CellIndex cell);
    [[nodiscard]] std::vector<MachineIndex> machinesOf(CellIndex cell) const;
    [[nodiscard]] std::uint32_t slotsOf(CellIndex cell) const;
    /// Slots in a whole cell of the level.
    [[nodiscard]] std::uint32_t slotsOf(Level level) const;
    /// Slots of the machine that belong to bound cells.
    [[nodiscard]] std::uint32_t boundSlots(MachineIndex machine) const;

    // Low-priority view
    void addLowPrioritySlots(MachineIndex machine, int slots);
    [[nodiscard]] std::uint32_t lowPrioritySlots(MachineIndex machine) const;
    /// How far the machine is from guaranteed cells: 0 it has some itself, 1 a buddy has, 2 none.
    [[nodiscard]] int distanceToBoundCells(MachineIndex machine) const;
    /// The machines whose distance changes with what is bound on this one, itself among them.
    [[nodiscard]] std::vector<MachineIndex> buddies(MachineIndex machine) const;

    [[nodiscard]] std::size_t freeCells(Level level) const { return free(level).size(); }
    [[nodiscard]] std::uint32_t slotsPerMachine() const { return shape_.slotsPerMachine; }
    /// Empty if free lists, parents and counts agree; else what is wrong. For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    enum class State : std::uint8_t { absent, free, split, bound };
    struct Cell {
        Level level = Level::slot;
        State state = State::absent;
        CellIndex parent = none;
        std::vector<CellIndex> children;
        MachineIndex machine = noMachine;
        std::uint32_t low = 0;    // low-priority slots in it
        std::uint32_t bound = 0;  // slots of bound cells in it
        std::string team;
        std::string zone;
    };
    static constexpr CellIndex none = UINT32_MAX;
    using FreeList = std::set<std::pair<std::uint32_t, CellIndex>>;  // by low-priority slots

    FreeList& free(Level l) { return free_[static_cast<std::size_t>(l)]; }
    [[nodiscard]] const FreeList& free(Level l) const { return free_[static_cast<std::size_t>(l)]; }
    CellIndex make(Level level, CellIndex parent, MachineIndex machine, const std::string& zone);
    void setFree(CellIndex c);
    void unlist(CellIndex c);
    void split(CellIndex c);
    void mergeUp(CellIndex c);
    void groupZone(const std::string& zone);
    void dissolve(CellIndex zoneCell);
    void count(CellIndex c, int low, int bound);
    /// Empty if the level's free list agrees with its cells; else what is wrong.
    [[nodiscard]] std::string freeListFault(Level level) const;
    [[nodiscard]] bool anyUsable(CellIndex c,
                                 const std::function<bool(MachineIndex)>& usable) const;
    [[nodiscard]] std::optional<CellIndex> best(
        Level l, Level want, const std::function<bool(MachineIndex)>& usable) const;

    PoolShape shape_;
    std::vector<Cell> cells_;
    std::vector<CellIndex> spare_;
    std::array<FreeList, levels> free_;
    std::map<MachineIndex, CellIndex> byMachine_;
    std::map<std::pair<std::string, Level>, std::uint32_t> reserved_, bound_;
};

}  // namespace basaltchute::cells
