#include "cells/cells.h"

#include <gtest/gtest.h>

#include <random>

namespace basaltchute::cells {
namespace {

const auto anyMachine = [](MachineIndex) { return true; };

CellPool poolOf(std::uint32_t machines, PoolShape shape = {4, 2}) {
    CellPool p(shape);
    for (MachineIndex i = 0; i < machines; ++i) p.addMachine(i, i % 2 == 0 ? "a" : "b");
    return p;
}

TEST(Cells, SplitsTheLowestFreeHigherCellAndMergesBack) {
    CellPool p = poolOf(4);
    EXPECT_EQ(p.freeCells(Level::zone), 2U);
    p.reserve("red", Level::slot, 4);
    const auto first = p.bind("red", Level::slot, anyMachine);
    ASSERT_TRUE(first);
    EXPECT_EQ(p.freeCells(Level::zone), 1U);
    EXPECT_EQ(p.freeCells(Level::machine), 1U);
    EXPECT_EQ(p.freeCells(Level::slot), 3U);
    const auto second = p.bind("red", Level::slot, anyMachine);
    EXPECT_EQ(p.machinesOf(*first), p.machinesOf(*second)) << "a buddy slot before another split";
    p.release(*first);
    p.release(*second);
    EXPECT_EQ(p.freeCells(Level::zone), 2U);
    EXPECT_EQ(p.freeCells(Level::machine) + p.freeCells(Level::slot), 0U);
}

TEST(Cells, BindsOnlyWithinTheReservation) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::machine, 1);
    EXPECT_TRUE(p.bind("red", Level::machine, anyMachine));
    EXPECT_FALSE(p.bind("red", Level::machine, anyMachine));
    EXPECT_FALSE(p.bind("blue", Level::machine, anyMachine));
}

TEST(Cells, PrefersCellsWithFewestLowPrioritySlots) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::machine, 4);
    p.addLowPrioritySlots(0, 3);
    p.addLowPrioritySlots(2, 1);
    p.addLowPrioritySlots(1, 2);
    const auto c = p.bind("red", Level::machine, anyMachine);
    EXPECT_EQ(p.machinesOf(*c).front(), 3U);
    EXPECT_EQ(p.findInconsistency(), "");
}

TEST(Cells, TellsLowPriorityWorkHowFarGuaranteedCellsAre) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::slot, 1);
    const auto c = p.bind("red", Level::slot, [](MachineIndex m) { return m == 0; });
    ASSERT_TRUE(c);
    EXPECT_EQ(p.distanceToBoundCells(0), 0);
    EXPECT_EQ(p.distanceToBoundCells(2), 1) << "the buddy in its zone cell";
    EXPECT_EQ(p.distanceToBoundCells(1), 2);
}

TEST(Cells, ALostMachineUnbindsItsCells) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::slot, 2);
    p.reserve("red", Level::zone, 1);
    const auto slot = p.bind("red", Level::slot, anyMachine);
    const auto zone = p.bind("red", Level::zone, anyMachine);
    ASSERT_TRUE(slot && zone);
    EXPECT_EQ(p.removeMachine(p.machinesOf(*slot).front()).size(), 1U);
    EXPECT_EQ(p.findInconsistency(), "");
    EXPECT_EQ(p.removeMachine(p.machinesOf(*zone).front()).size(), 1U);
    EXPECT_EQ(p.findInconsistency(), "");
    EXPECT_EQ(p.boundCells("red", Level::slot) + p.boundCells("red", Level::zone), 0U);
}

/// Theorem 1 of the paper, tried: while the reservations are feasible, a legal request is never
/// refused, whatever order of binding and releasing went before; and a pool from which all is
/// released is whole again.
TEST(Cells, ALegalRequestNeverFailsInAFeasibleReservation) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 rng(seed);
        const PoolShape shape{2 + static_cast<std::uint32_t>(rng() % 5),
                              2 + static_cast<std::uint32_t>(rng() % 2)};
        CellPool p(shape);
        const std::uint32_t perZone = shape.machinesPerZone * 2;
        for (MachineIndex i = 0; i < perZone * 2; ++i) p.addMachine(i, i < perZone ? "a" : "b");
        const std::vector<std::string> teams{"red", "blue"};
        p.reserve("red", Level::zone, 1);
        p.reserve("blue", Level::zone, 1);
        p.reserve("red", Level::machine, shape.machinesPerZone);
        p.reserve("red", Level::slot, shape.slotsPerMachine);
        p.reserve("blue", Level::slot, shape.slotsPerMachine * (shape.machinesPerZone - 1));
        ASSERT_TRUE(p.reservationsFit());
        const std::size_t whole = p.freeCells(Level::zone);
        std::vector<CellIndex> held;
        for (int step = 0; step < 400; ++step) {
            if (!held.empty() && rng() % 3 == 0) {
                const std::size_t k = rng() % held.size();
                p.release(held[k]);
                held.erase(held.begin() + static_cast<std::ptrdiff_t>(k));
            } else {
                const auto& team = teams[rng() % 2];
                const auto level = static_cast<Level>(rng() % levels);
                const bool legal = p.boundCells(team, level) < p.reservedCells(team, level);
                const auto c = p.bind(team, level, anyMachine);
                ASSERT_EQ(c.has_value(), legal) << "seed " << seed << " step " << step;
                if (c) held.push_back(*c);
            }
            if (rng() % 4 == 0) {
                const auto m = static_cast<MachineIndex>(rng() % (perZone * 2));
                p.addLowPrioritySlots(m, p.lowPrioritySlots(m) > 0 && rng() % 2 == 0 ? -1 : 1);
            }
            ASSERT_EQ(p.findInconsistency(), "") << "seed " << seed << " step " << step;
        }
        for (const CellIndex c : held) p.release(c);
        EXPECT_EQ(p.freeCells(Level::zone), whole);
        EXPECT_EQ(p.freeCells(Level::machine) + p.freeCells(Level::slot), 0U);
    }
}

}  // namespace
}  // namespace basaltchute::cells
