#include "scheduler/quota.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::scheduler {
namespace {

using worker_api::Allocation;
using worker_api::Machine;

/// Two teams: red has 4 cores reserved and no limit, blue has a limit of 16 cores. Machines are of
/// one type, with 8 cores and as many slots.
class QuotaTest : public ::testing::Test {
  protected:
    settings::Settings settings = testing::someSettings();
    settings::OperatorSettings operatorSettings;
    autoscaler::Catalogue catalogue = testing::someCatalogue();
    Job job;

    QuotaTest() {
        settings.teams = {{"red", 4, 0, 0, 0}, {"blue", 0, 16, 0, 0}};
        job.spec = testing::spec("run-1", 2);
    }
    JobSpec specOf(const std::string& team, double cores) const {
        JobSpec spec = job.spec;
        spec.team = team;
        spec.demand.cores = cores;
        return spec;
    }
    static Machine machine() {
        Machine m;
        m.type = "box";
        m.zone = "a";
        return m;
    }
    static bool anyMachine(MachineIndex) { return true; }
};

TEST_F(QuotaTest, LimitsHoldForOneTaskOfAnArrayAndForAWholeGang) {
    const Quota quota(settings, operatorSettings, catalogue);
    EXPECT_TRUE(quota.knowsTeam("blue"));
    EXPECT_FALSE(quota.knowsTeam("green"));
    JobSpec spec = specOf("blue", 8);
    spec.tasks = 3;
    EXPECT_FALSE(quota.exceedsLimit(spec)) << "tasks of an array run one after the other";
    spec.shape = Shape::gang;
    EXPECT_TRUE(quota.exceedsLimit(spec));
    EXPECT_FALSE(quota.exceedsLimit(specOf("red", 1000))) << "no limit is set";
}

TEST_F(QuotaTest, UsageCountsAgainstTheLimitUntilItIsRemoved) {
    Quota quota(settings, operatorSettings, catalogue);
    const JobSpec spec = specOf("blue", 8);
    quota.addUsage(spec);
    EXPECT_TRUE(quota.withinLimit(spec));
    quota.addUsage(spec);
    EXPECT_FALSE(quota.withinLimit(spec));
    quota.removeUsage(spec);
    EXPECT_TRUE(quota.withinLimit(spec));
    EXPECT_FALSE(quota.withinLimit(specOf("green", 1))) << "an unknown team may run nothing";
}

TEST_F(QuotaTest, FairShareWeightsDivideTheUsage) {
    operatorSettings.weights["blue"] = 4;
    Quota quota(settings, operatorSettings, catalogue);
    quota.addUsage(specOf("blue", 8));
    quota.addUsage(specOf("red", 8));
    EXPECT_DOUBLE_EQ(quota.weightedUsage("blue"), 2);
    EXPECT_DOUBLE_EQ(quota.weightedUsage("red"), 8);
    EXPECT_DOUBLE_EQ(quota.weightedUsage("green"), 0);
}

TEST_F(QuotaTest, AReservationInCoresCanBeUsedUpToItsAmount) {
    Quota quota(settings, operatorSettings, catalogue);
    ASSERT_TRUE(quota.addPool(catalogue.at("box")));
    EXPECT_FALSE(quota.addPool(catalogue.at("box"))) << "its cells exist";
    const Machine m = machine();
    ASSERT_TRUE(quota.addMachine(0, m));
    job.spec = specOf("red", 4);
    ASSERT_TRUE(quota.withinReservation(job.spec));
    EXPECT_FALSE(quota.withinReservation(specOf("blue", 4)));

    const auto bound = quota.bindCells(job.spec, "box", anyMachine);
    ASSERT_TRUE(bound);
    EXPECT_EQ(bound->cells.size(), 4U);
    EXPECT_FALSE(bound->sharedWithOthers);
    EXPECT_EQ(quota.machineOf("box", *bound), 0U);
    Allocation allocation;
    allocation.job = &job;
    allocation.cells = bound->cells;
    EXPECT_EQ(quota.occupyCells(allocation, 0, m), std::vector<MachineIndex>{0});
    EXPECT_EQ(quota.reservationDistance(0, m), 0);
    EXPECT_FALSE(quota.withinReservation(job.spec));
    EXPECT_FALSE(quota.bindCells(job.spec, "box", anyMachine)) << "the reservation is in use";

    EXPECT_EQ(quota.vacateCells(allocation, 0, m), std::vector<MachineIndex>{0});
    EXPECT_EQ(quota.reservationDistance(0, m), 2);
    EXPECT_TRUE(quota.withinReservation(job.spec));
    EXPECT_EQ(quota.pools().at("box").findInconsistency(), "");
}

TEST_F(QuotaTest, AMachineCellIsSharedByItsTeamAndReleasedWithItsLastTask) {
    settings.teams = {{"red", 0, 0, 0, 0}};
    operatorSettings.reservations = {{"red", "box", cells::Level::machine, 1}};
    Quota quota(settings, operatorSettings, catalogue);
    quota.addPool(catalogue.at("box"));
    const Machine m = machine();
    quota.addMachine(0, m);
    job.spec = specOf("red", 4);
    std::vector<Allocation> allocations(2);
    for (std::size_t i = 0; i < allocations.size(); ++i) {
        const auto bound = quota.bindCells(job.spec, "box", anyMachine);
        ASSERT_TRUE(bound);
        EXPECT_EQ(bound->sharedWithOthers, i > 0);
        allocations[i].job = &job;
        allocations[i].cells = bound->cells;
        quota.occupyCells(allocations[i], 0, m);
    }
    EXPECT_FALSE(quota.bindCells(job.spec, "box", anyMachine)) << "the cell is full";
    quota.vacateCells(allocations[0], 0, m);
    EXPECT_EQ(quota.pools().at("box").boundCells("red", cells::Level::machine), 1U);
    quota.vacateCells(allocations[1], 0, m);
    EXPECT_EQ(quota.pools().at("box").boundCells("red", cells::Level::machine), 0U);
    EXPECT_EQ(quota.pools().at("box").findInconsistency(), "");
}

TEST_F(QuotaTest, CellsInWhichNothingWasAllocatedAreFreeAgain) {
    operatorSettings.reservations = {{"red", "box", cells::Level::machine, 1}};
    Quota quota(settings, operatorSettings, catalogue);
    quota.addPool(catalogue.at("box"));
    quota.addMachine(0, machine());
    job.spec = specOf("red", 8);
    for (int i = 0; i < 2; ++i) {
        const auto bound = quota.bindCells(job.spec, "box", anyMachine);
        ASSERT_TRUE(bound);
        quota.unbindCells("box", *bound);
        EXPECT_EQ(quota.pools().at("box").findInconsistency(), "");
    }
}

TEST_F(QuotaTest, TasksOutsideOfCellsCountAsOpportunisticUse) {
    Quota quota(settings, operatorSettings, catalogue);
    quota.addPool(catalogue.at("box"));
    const Machine m = machine();
    quota.addMachine(0, m);
    job.spec = specOf("blue", 3);
    Allocation allocation;
    allocation.job = &job;
    EXPECT_TRUE(quota.occupyCells(allocation, 0, m).empty());
    EXPECT_EQ(allocation.opportunisticSlots, 3U);
    EXPECT_EQ(quota.pools().at("box").lowPrioritySlots(0), 3U);
    quota.vacateCells(allocation, 0, m);
    EXPECT_EQ(quota.pools().at("box").lowPrioritySlots(0), 0U);
}

TEST_F(QuotaTest, AnUnknownMachineTypeHasNoCells) {
    Quota quota(settings, operatorSettings, catalogue);
    Machine m = machine();
    m.type = "unlisted";
    EXPECT_FALSE(quota.addMachine(0, m));
    EXPECT_EQ(quota.slotsFor(job.spec, "unlisted"), 0U);
    EXPECT_FALSE(quota.bindCells(job.spec, "unlisted", anyMachine));
    EXPECT_EQ(quota.reservationDistance(0, m), 2);
}

}  // namespace
}  // namespace basaltchute::scheduler
