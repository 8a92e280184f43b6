#include "fleet/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "testing/world.h"

namespace basaltchute::fleet {
namespace {

using namespace std::chrono_literals;
using testing::Worker;

class FleetTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    scheduler::Cluster cluster{settings, 1, clock.now()};
    Fleet fleet{cluster, clock.now()};
    FleetTest() { cluster.setCatalogue(testing::someCatalogue()); }

    Listed listed(const std::string& name, const std::string& status, double age) {
        return {name, "", "box", "a", status, false, age};
    }
    void submit(const std::string& id, std::uint32_t tasks) {
        cluster.submit(testing::spec(id, tasks), clock.now(), clock.wall());
        const auto key = cluster.take().dirty.at(0).first;
        cluster.committed(key, cluster.encode(key).version);
    }
};

TEST_F(FleetTest, ATakeOverDeletesNoMachineThatOnlyHasNotReportedYet) {
    // Once every machine listed with a great age and not heard of yet was taken for a boot that
    // never ended, and deleted with all that ran on it.
    for (int i = 0; i < 15; ++i) {
        fleet.listed({listed("n-1", "running", 300), listed("n-2", "starting", 300)}, clock.now());
        EXPECT_TRUE(fleet.plan(clock.now()).remove.empty());
        clock.advance(1s);
    }
    clock.advance(20s);
    fleet.listed({listed("n-1", "running", 330), listed("n-2", "starting", 330)}, clock.now());
    EXPECT_EQ(fleet.plan(clock.now()).remove, std::vector<std::string>{"n-2"});
}

TEST_F(FleetTest, AsksAgainUnderTheSameNameWhenTheAnswerWasLost) {
    fleet.listed({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = fleet.plan(clock.now()).rent;
    ASSERT_FALSE(first.empty());
    fleet.rentFailed(first[0], false, clock.now());
    clock.advance(1s);
    const auto again = fleet.plan(clock.now()).rent;
    ASSERT_FALSE(again.empty());
    EXPECT_EQ(again[0].booking, first[0].booking);
    fleet.rented(again[0], {"n-1", "n-2", "n-3", "n-4"}, clock.now());
    const auto after = fleet.plan(clock.now()).rent;
    EXPECT_TRUE(std::none_of(after.begin(), after.end(),
                             [&](const Rent& r) { return r.booking == first[0].booking; }));
}

TEST_F(FleetTest, ARefusedPoolIsLeftAloneForAWhile) {
    fleet.listed({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = fleet.plan(clock.now()).rent;
    ASSERT_FALSE(first.empty());
    fleet.rentFailed(first[0], true, clock.now());
    for (const auto& r : fleet.plan(clock.now()).rent)
        EXPECT_FALSE(r.type == first[0].type && r.zone == first[0].zone && r.spot == first[0].spot);
}

TEST_F(FleetTest, ReturnsIdleMachinesBeyondTheTargetOnly) {
    Worker w("n-1"), v("n-2");
    cluster.beat(w.next(), clock.now());
    cluster.beat(v.next(), clock.now());
    submit("run-1", 2);
    cluster.place(clock.now());
    std::size_t returned = 0;
    for (int i = 0; i < 60; ++i) {
        clock.advance(1s);
        cluster.beat(w.next(), clock.now());
        cluster.beat(v.next(), clock.now());
        fleet.listed({listed("n-1", "running", 60), listed("n-2", "running", 60)}, clock.now());
        const auto plan = fleet.plan(clock.now());
        for (const auto& name : plan.remove) {
            const auto& m = cluster.machines()[*cluster.machines().find(name)];
            EXPECT_TRUE(m.charges.empty()) << "a machine with work was returned";
            EXPECT_GE(i, 28);
        }
        returned = plan.remove.size();
    }
    EXPECT_EQ(returned, 1U);
}

}  // namespace
}  // namespace basaltchute::fleet
