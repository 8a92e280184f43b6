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

TEST(Cells, SplitsTheSmallestLargerFreeCellAndMergesBack) {
    CellPool p = poolOf(4);
    EXPECT_EQ(p.freeCells(Level::zone), 2U);
    p.reserve("red", Level::slot, 4);
    const auto first = p.bindCell("red", Level::slot, anyMachine);
    ASSERT_TRUE(first);
    EXPECT_EQ(p.freeCells(Level::zone), 1U);
    EXPECT_EQ(p.freeCells(Level::machine), 1U);
    EXPECT_EQ(p.freeCells(Level::slot), 3U);
    const auto second = p.bindCell("red", Level::slot, anyMachine);
    EXPECT_EQ(p.machinesOf(*first), p.machinesOf(*second)) << "a buddy slot before another split";
    p.releaseCell(*first);
    p.releaseCell(*second);
    EXPECT_EQ(p.freeCells(Level::zone), 2U);
    EXPECT_EQ(p.freeCells(Level::machine) + p.freeCells(Level::slot), 0U);
}

TEST(Cells, BindsOnlyWithinTheReservation) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::machine, 1);
    EXPECT_TRUE(p.bindCell("red", Level::machine, anyMachine));
    EXPECT_FALSE(p.bindCell("red", Level::machine, anyMachine));
    EXPECT_FALSE(p.bindCell("blue", Level::machine, anyMachine));
}

TEST(Cells, PrefersCellsWithFewestLowPrioritySlots) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::machine, 4);
    p.addLowPrioritySlots(0, 3);
    p.addLowPrioritySlots(2, 1);
    p.addLowPrioritySlots(1, 2);
    const auto c = p.bindCell("red", Level::machine, anyMachine);
    EXPECT_EQ(p.machinesOf(*c).front(), 3U);
    EXPECT_EQ(p.findInconsistency(), "");
}

TEST(Cells, DistanceToBoundCellsDependsOnMachineAndZoneCell) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::slot, 1);
    const auto c = p.bindCell("red", Level::slot, [](MachineIndex m) { return m == 0; });
    ASSERT_TRUE(c);
    EXPECT_EQ(p.distanceToBoundCells(0), 0);
    EXPECT_EQ(p.distanceToBoundCells(2), 1) << "the buddy in its zone cell";
    EXPECT_EQ(p.distanceToBoundCells(1), 2);
}

TEST(Cells, RemovingAMachineReleasesItsBoundCells) {
    CellPool p = poolOf(4);
    p.reserve("red", Level::slot, 2);
    p.reserve("red", Level::zone, 1);
    const auto slot = p.bindCell("red", Level::slot, anyMachine);
    const auto zone = p.bindCell("red", Level::zone, anyMachine);
    ASSERT_TRUE(slot && zone);
    EXPECT_EQ(p.removeMachine(p.machinesOf(*slot).front()).size(), 1U);
    EXPECT_EQ(p.findInconsistency(), "");
    EXPECT_EQ(p.removeMachine(p.machinesOf(*zone).front()).size(), 1U);
    EXPECT_EQ(p.findInconsistency(), "");
    EXPECT_EQ(p.boundCells("red", Level::slot) + p.boundCells("red", Level::zone), 0U);
}

/// Checks theorem 1 of the HiveD paper on random sequences: as long as all reservations fit, a
/// request within a reservation never fails, whatever was bound and released before. A pool in
/// which everything is released consists of whole zone cells again.
TEST(Cells, ARequestWithinAReservationNeverFailsIfAllReservationsFit) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 rng(seed);
        const PoolShape shape{2 + static_cast<std::uint32_t>(rng() % 5),
                              2 + static_cast<std::uint32_t>(rng() % 2)};
        CellPool p(shape);
        const std::uint32_t perZone = shape.machinesPerZoneCell * 2;
        for (MachineIndex i = 0; i < perZone * 2; ++i) p.addMachine(i, i < perZone ? "a" : "b");
        const std::vector<std::string> teams{"red", "blue"};
        p.reserve("red", Level::zone, 1);
        p.reserve("blue", Level::zone, 1);
        p.reserve("red", Level::machine, shape.machinesPerZoneCell);
        p.reserve("red", Level::slot, shape.slotsPerMachine);
        p.reserve("blue", Level::slot, shape.slotsPerMachine * (shape.machinesPerZoneCell - 1));
        ASSERT_TRUE(p.reservationsFit());
        const std::size_t zoneCells = p.freeCells(Level::zone);
        std::vector<CellIndex> bound;
        for (int step = 0; step < 400; ++step) {
            if (!bound.empty() && rng() % 3 == 0) {
                const std::size_t k = rng() % bound.size();
                p.releaseCell(bound[k]);
                bound.erase(bound.begin() + static_cast<std::ptrdiff_t>(k));
            } else {
                const auto& team = teams[rng() % 2];
                const auto level = static_cast<Level>(rng() % levelCount);
                const bool withinReservation =
                    p.boundCells(team, level) < p.reservedCells(team, level);
                const auto c = p.bindCell(team, level, anyMachine);
                ASSERT_EQ(c.has_value(), withinReservation) << "seed " << seed << " step " << step;
                if (c) bound.push_back(*c);
            }
            if (rng() % 4 == 0) {
                const auto m = static_cast<MachineIndex>(rng() % (perZone * 2));
                p.addLowPrioritySlots(m, p.lowPrioritySlots(m) > 0 && rng() % 2 == 0 ? -1 : 1);
            }
            ASSERT_EQ(p.findInconsistency(), "") << "seed " << seed << " step " << step;
        }
        for (const CellIndex c : bound) p.releaseCell(c);
        EXPECT_EQ(p.freeCells(Level::zone), zoneCells);
        EXPECT_EQ(p.freeCells(Level::machine) + p.freeCells(Level::slot), 0U);
    }
}

}  // namespace
}  // namespace basaltchute::cells
