#include "autoscaler/autoscaler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "testing/world.h"

namespace basaltchute::autoscaler {
namespace {

using namespace std::chrono_literals;
using testing::Worker;

class FleetTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    scheduler::Cluster cluster{settings, 1};
    Autoscaler fleet{cluster, clock.now()};
    FleetTest() { cluster.setCatalogue(testing::someCatalogue()); }

    ListedMachine listed(const std::string& name, const std::string& status, double age) {
        return {name, "", "box", "a", status, false, age};
    }
    void submit(const std::string& id, std::uint32_t tasks) {
        cluster.submit(testing::spec(id, tasks), clock.now(), clock.wall());
        const auto key = cluster.takeEffects().dirtyRecords.at(0).first;
        cluster.onRecordCommitted(key, cluster.encode(key)->version);
    }
};

TEST_F(FleetTest, ATakeOverDeletesNoMachineThatOnlyHasNotReportedYet) {
    // Once every machine listed with a great age and not heard of yet was taken for a boot that
    // never ended, and deleted with all that ran on it.
    for (int i = 0; i < 15; ++i) {
        fleet.onMachineList({listed("n-1", "running", 300), listed("n-2", "starting", 300)},
                            clock.now());
        EXPECT_TRUE(fleet.plan(clock.now()).terminate.empty());
        clock.advance(1s);
    }
    clock.advance(20s);
    fleet.onMachineList({listed("n-1", "running", 330), listed("n-2", "starting", 330)},
                        clock.now());
    EXPECT_EQ(fleet.plan(clock.now()).terminate, std::vector<std::string>{"n-2"});
}

TEST_F(FleetTest, AsksAgainUnderTheSameNameWhenTheAnswerWasLost) {
    fleet.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = fleet.plan(clock.now()).scaleOut;
    ASSERT_FALSE(first.empty());
    fleet.onScaleOutFailed(first[0], false, clock.now());
    clock.advance(1s);
    const auto again = fleet.plan(clock.now()).scaleOut;
    ASSERT_FALSE(again.empty());
    EXPECT_EQ(again[0].booking, first[0].booking);
    fleet.onScaledOut(again[0], {"n-1", "n-2", "n-3", "n-4"}, clock.now());
    const auto after = fleet.plan(clock.now()).scaleOut;
    EXPECT_TRUE(std::none_of(after.begin(), after.end(), [&](const ScaleOutRequest& r) {
        return r.booking == first[0].booking;
    }));
}

TEST_F(FleetTest, ARefusedPoolIsLeftAloneForAWhile) {
    fleet.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = fleet.plan(clock.now()).scaleOut;
    ASSERT_FALSE(first.empty());
    fleet.onScaleOutFailed(first[0], true, clock.now());
    for (const auto& r : fleet.plan(clock.now()).scaleOut)
        EXPECT_FALSE(r.type == first[0].type && r.zone == first[0].zone && r.spot == first[0].spot);
}

TEST_F(FleetTest, DrainsWhatIsBeyondTheTargetAndDeletesItOnlyWhenEmpty) {
    std::vector<Worker> all;
    for (int i = 1; i <= 4; ++i) all.emplace_back("n-" + std::to_string(i));
    const auto everyoneReports = [&] {
        for (auto& w : all) {
            w.execute(cluster.onHeartbeat(w.next(), clock.now()));
            w.report.token = cluster.token();
        }
    };
    everyoneReports();
    submit("run-1", 2);  // 8 cores: one machine of the four
    cluster.place(clock.now());
    std::size_t returned = 0;
    for (int i = 0; i < 90; ++i) {
        clock.advance(1s);
        everyoneReports();
        fleet.onMachineList({}, clock.now());
        const auto plan = fleet.plan(clock.now());
        for (const auto& name : plan.terminate)
            EXPECT_TRUE(cluster.machines()[*cluster.machines().find(name)].allocations.empty());
        returned = plan.terminate.size();
    }
    EXPECT_EQ(returned, 3U);
    EXPECT_EQ(cluster.find("run-1")->boundCount, 2U);
}

TEST_F(FleetTest, GivesUpMachinesThatDoNotAnswerButNotManyAtOnce) {
    // Machines packed with replicas died, and those stayed down for a lease of 45 s.
    settings.lease = 45s;
    settings.heartbeatInterval = 10s;
    std::vector<Worker> all;
    for (int i = 1; i <= 20; ++i) all.emplace_back("n-" + std::to_string(i));
    const auto report = [&](std::size_t from) {
        for (std::size_t i = from; i < all.size(); ++i) {
            all[i].execute(cluster.onHeartbeat(all[i].next(), clock.now()));
            all[i].report.token = cluster.token();
        }
    };
    const auto run = [&](std::size_t silent, bool answers) {
        std::set<std::string> removed;
        for (int i = 0; i < 18; ++i) {
            clock.advance(1s);
            report(silent);
            fleet.onMachineList({}, clock.now());
            const auto plan = fleet.plan(clock.now());
            for (const auto m : plan.probe) {
                if (!answers) cluster.onProbeUnanswered(m);
            }
            removed.insert(plan.terminate.begin(), plan.terminate.end());
        }
        return removed;
    };
    report(0);
    submit("run-1", 40);
    cluster.place(clock.now());
    EXPECT_TRUE(run(0, false).empty());
    EXPECT_TRUE(run(3, true).empty()) << "late, but there";
    report(0);
    EXPECT_TRUE(run(11, false).empty()) << "eleven of twenty at once: the fault is ours";
    report(0);
    EXPECT_EQ(run(3, false), (std::set<std::string>{"n-1", "n-2", "n-3"})) << "well within a lease";
    fleet.onTerminated({"n-1", "n-2", "n-3"}, clock.now());
    report(3);
    EXPECT_TRUE(run(10, false).empty()) << "seven more of seventeen: a part at a time is too much";
}

TEST_F(FleetTest, OnceAFewDoNotAnswerTheOthersAreAskedBeforeTheirReportsAreLate) {
    // 59 machines died at once; each was found when its own report was late, up to 14 s after.
    settings.lease = 45s;
    settings.heartbeatInterval = 10s;
    std::vector<Worker> all;
    all.reserve(40);
    for (int i = 0; i < 40; ++i) all.emplace_back("n-" + std::to_string(i));
    const auto report = [&](std::size_t i) {
        all[i].execute(cluster.onHeartbeat(all[i].next(), clock.now()));
        all[i].report.token = cluster.token();
    };
    for (std::size_t i = 0; i < all.size(); ++i) report(i);
    submit("run-1", 80);
    cluster.place(clock.now());
    std::size_t second = 0;
    std::map<std::string, std::size_t> removed;
    const std::size_t death = 30;
    for (; second < 60; ++second) {
        clock.advance(1s);
        for (std::size_t i = 0; i < all.size(); ++i)  // every tenth second each; six die
            if (second % 10 == i % 10 && (second < death || i >= 6)) report(i);
        fleet.onMachineList({}, clock.now());
        const auto plan = fleet.plan(clock.now());
        auto asked = plan.probe;
        asked.insert(asked.end(), plan.probeSample.begin(), plan.probeSample.end());
        for (const auto m : asked)
            if (cluster.machines()[m].name.size() == 3 && cluster.machines()[m].name[2] < '6' &&
                second >= death)
                cluster.onProbeUnanswered(m);
            else
                report(m);
        for (const auto& name : plan.terminate) removed.try_emplace(name, second - death);
        fleet.onTerminated(plan.terminate, clock.now());
    }
    ASSERT_EQ(removed.size(), 6U);
    for (const auto& [name, after] : removed) EXPECT_LE(after, 12U) << name;
}

TEST_F(FleetTest, RentsAllThatIsLackingAtOnceAndFromAllZonesAlike) {
    // Four machines a request and 24 on their way: a fleet of hundreds grew by one a second.
    fleet.onMachineList({}, clock.now());
    submit("run-1", 120);  // 480 cores: 60 machines
    clock.advance(11s);
    std::map<std::string, unsigned> spot;
    for (const auto& r : fleet.plan(clock.now()).scaleOut) {
        EXPECT_LE(r.count, 50U);
        if (r.spot) spot[r.zone] += r.count;
    }
    EXPECT_EQ(spot, (std::map<std::string, unsigned>{{"a", 30}, {"b", 30}}));
}

TEST_F(FleetTest, AfterATakeOverDeletesWhatTheCloudNoLongerLists) {
    // Machines that died around a take-over kept their tasks for a whole lease.
    Worker w("n-1");
    w.execute(cluster.onHeartbeat(w.next(), clock.now()));
    submit("run-1", 2);
    cluster.place(clock.now());
    std::map<std::string, std::string> records;
    testing::commitAll(cluster, records);
    scheduler::Cluster next{settings, 2};
    next.setCatalogue(testing::someCatalogue());
    for (const auto& [key, data] : records)
        ASSERT_TRUE(next.loadRecord(key, data, clock.now(), clock.wall()));
    next.finishLoading(clock.now());
    Autoscaler after{next, clock.now()};
    std::set<std::string> removed;
    for (int i = 0; i < 25; ++i) {
        clock.advance(1s);
        after.onMachineList({}, clock.now());
        const auto plan = after.plan(clock.now());
        EXPECT_TRUE(i >= 15 || plan.terminate.empty()) << "the list lags";
        removed.insert(plan.terminate.begin(), plan.terminate.end());
    }
    EXPECT_EQ(removed, std::set<std::string>{"n-1"});
}

TEST_F(FleetTest, AGuestsArrayBorrowsAndDoesNotRentTheCloud) {
    // A low-priority class with an objective was kept warm at four times its peak: its one array
    // had every machine of the cloud rented, at two and a half times the price of the day.
    settings.objectives = {{"finished", "c", 400s, 0.8}};
    const auto rentedFor = [&](const JobSpec& spec) {
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler fleet{other, clock.now()};
        fleet.onMachineList({}, clock.now());
        other.submit(spec, clock.now(), clock.wall());
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : fleet.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    JobSpec guest = testing::spec("run-1", 25'000);
    guest.priority = Priority::low;
    guest.demand = {0.25, 0, 0.5};
    guest.estimatedRuntimeS = 4;
    const unsigned lent = rentedFor(guest);
    EXPECT_GE(lent, 25'000U / 4 * 4 / 400) << "enough to be done in time";
    EXPECT_LE(lent, 200U) << "25,000 core seconds within 400 s";
}

TEST_F(FleetTest, WhatATeamsLimitDoesNotLetRunRentsNothing) {
    // A team that wanted fifteen times its limit had every machine of the cloud rented for it.
    const auto rentedFor = [&](double limit) {
        settings.teams[0].coresMax = limit;
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler here{other, clock.now()};
        here.onMachineList({}, clock.now());
        JobSpec urgent = testing::spec("run-1", 4);
        urgent.priority = Priority::high;
        other.submit(urgent, clock.now(), clock.wall());
        other.submit(testing::spec("run-2", 100), clock.now(), clock.wall());
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : here.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_GE(rentedFor(0), 416U) << "no limit";
    EXPECT_LE(rentedFor(40), 64U);
    EXPECT_GE(rentedFor(40), 40U);
}

TEST_F(FleetTest, BorrowersGetOrdinaryMachinesWhereNoOthersAreToBeHad) {
    // Found on a day of a small deployment without spot machines: a class of low priority lived on
    // leftovers, the ordinary machines that it used were returned, and a fifth of it was served.
    settings.objectives = {{"finished", "c", 200s, 0.9}};
    for (const bool spotAllowed : {true, false}) {
        scheduler::Cluster small{settings, 1};
        small.setCatalogue(testing::someCatalogue());
        Autoscaler here{small, clock.now()};
        here.onMachineList({}, clock.now());
        JobSpec spec = testing::spec("run-1", 4);
        spec.priority = Priority::low;
        spec.spotAllowed = spotAllowed;
        spec.estimatedRuntimeS = 30;
        small.submit(spec, clock.now(), clock.wall());
        unsigned ordinary = 0;
        Worker w("n-1");
        for (int second = 0; second < 120; ++second) {
            clock.advance(1s);
            small.advanceTo(clock.now());
            if (ordinary > 0) {
                // It comes, and is used.
                w.execute(small.onHeartbeat(w.next(), clock.now()));
                w.report.token = small.token();
                small.place(clock.now());
                std::map<std::string, std::string> records;
                testing::commitAll(small, records);
            }
            for (const auto& r : here.plan(clock.now()).scaleOut) {
                ordinary += r.spot ? 0 : r.count;
                here.onScaleOutFailed(r, r.spot, clock.now());
                if (!r.spot) here.onScaledOut(r, {"n-1"}, clock.now());
            }
        }
        EXPECT_GT(ordinary, 0U) << spotAllowed;
        const Job& job = *small.find("run-1");
        EXPECT_GT(job.runningCount + job.doneCount, 0U) << spotAllowed;
        EXPECT_FALSE(small.machines()[small.indexOf("n-1")].draining) << spotAllowed;
    }
}

TEST_F(FleetTest, AClassIsKeptWarmOnlyIfMachinesComeTooLateForItsObjective) {
    // A wait of 250 s had four times the peak of its class rented, where machines come in 40 s.
    const auto rentedFor = [&](Duration within, Duration boots) {
        settings.objectives = {{"wait", "c", within, 0.95}};
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler fleet{other, clock.now()};
        for (int i = 0; i < 200; ++i) fleet.statistics().recordBoot("box", boots, 20s);
        fleet.onMachineList({}, clock.now());
        other.submit(testing::spec("run-1", 10), clock.now(), clock.wall());  // 40 cores
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : fleet.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_LE(rentedFor(60s, 20s), 48U) << "what there is";
    EXPECT_GE(rentedFor(15s, 20s), 160U) << "ahead of what comes";
    EXPECT_GE(rentedFor(60s, 80s), 160U) << "machines are slow to come today";
}

TEST_F(FleetTest, MachinesForTheNextStageAreAskedForWhenTheyWouldComeInTime) {
    fleet.onMachineList({}, clock.now());
    Worker w("n-1");
    w.execute(cluster.onHeartbeat(w.next(), clock.now()));
    std::map<std::string, std::string> records;
    const auto wanted = [&] {
        unsigned cores = 0;
        for (const auto& r : fleet.plan(clock.now()).scaleOut) {
            cores += r.count * 8;
            fleet.onScaleOutFailed(r, true, clock.now());
        }
        return cores;
    };
    JobSpec first = testing::spec("run-1", 1);
    first.estimatedRuntimeS = 300;
    cluster.submit(first, clock.now(), clock.wall());
    cluster.place(clock.now());
    testing::commitAll(cluster, records);
    JobSpec second = testing::spec("run-2", 40);  // 160 cores
    second.dependencies = {"run-1"};
    cluster.submit(second, clock.now(), clock.wall());
    testing::commitAll(cluster, records);
    for (int i = 0; i < 3; ++i) w.execute(cluster.onHeartbeat(w.next(), clock.now()));
    clock.advance(11s);
    EXPECT_LE(wanted(), 8U) << "the first one runs for minutes yet";
    clock.advance(260s);
    EXPECT_GE(wanted(), 160U) << "it will be done in half a minute, and machines come in 20 s";
    clock.advance(16s);
    cluster.cancel(*cluster.find("run-2"), clock.now());
    testing::commitAll(cluster, records);
    clock.advance(300s);
    EXPECT_LE(wanted(), 8U);
}

TEST_F(FleetTest, AClassThatIsForeseenNeedsLessWarmth) {
    // Kept warm at four times its peak, the boards' second stage cost a tenth of all money.
    settings.objectives = {{"wait", "c", 25s, 0.9}};
    const auto rentedFor = [&](Duration ahead) {
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler fleet{other, clock.now()};
        fleet.onMachineList({}, clock.now());
        std::map<std::string, std::string> records;
        for (int i = 0; i < 6; ++i) {
            JobSpec need = testing::spec("first-" + std::to_string(i));
            need.jobClass = "first";
            need.priority = Priority::low;
            need.estimatedRuntimeS = toSeconds(ahead);
            other.submit(need, clock.now(), clock.wall());
            testing::commitAll(other, records);
            JobSpec next = testing::spec("run-" + std::to_string(i), 10);
            next.dependencies = {need.id};
            other.submit(next, clock.now(), clock.wall());
            testing::commitAll(other, records);
        }
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : fleet.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_GE(rentedFor(1s), 6 * 160U) << "four times the peak of what comes";
    EXPECT_LE(rentedFor(30s), 6 * 48U) << "what comes";
}

TEST_F(FleetTest, WhatAMachineTookToComeIsLearnt) {
    fleet.onMachineList({}, clock.now());
    submit("run-1", 40);
    clock.advance(11s);
    const Duration before = fleet.statistics().bootTime("box", 20s, 0.9);
    for (const auto& r : fleet.plan(clock.now()).scaleOut) {
        std::vector<std::string> names;
        for (unsigned i = 0; i < r.count; ++i) names.push_back(r.booking + std::to_string(i));
        fleet.onScaledOut(r, names, clock.now());
        clock.advance(50s);
        for (const auto& n : names) cluster.onHeartbeat(Worker(n, "a", r.spot).next(), clock.now());
    }
    fleet.plan(clock.now());
    EXPECT_GT(fleet.statistics().bootTime("box", 20s, 0.9), before + 10s);
}

TEST_F(FleetTest, AZoneThatIsAwayLosesNoMachineAndKeepsNoOtherFromBeingGivenUp) {
    settings.lease = 45s;
    settings.heartbeatInterval = 10s;
    std::vector<Worker> all;
    all.reserve(20);
    for (int i = 0; i < 20; ++i) all.emplace_back("n-" + std::to_string(i), i < 8 ? "b" : "a");
    const auto report = [&](std::size_t from) {
        for (std::size_t i = from; i < all.size(); ++i) {
            all[i].execute(cluster.onHeartbeat(all[i].next(), clock.now()));
            all[i].report.token = cluster.token();
        }
    };
    report(0);
    submit("run-1", 40);
    cluster.place(clock.now());
    cluster.setZoneUnreachable("b", true);
    std::set<std::string> removed;
    std::size_t most = 0;
    for (int i = 0; i < 30; ++i) {
        clock.advance(1s);
        report(9);  // n-8, in the other zone, dies
        fleet.onMachineList({}, clock.now());
        const auto plan = fleet.plan(clock.now());
        most = std::max(most, plan.probe.size());
        for (const auto m : plan.probe) cluster.onProbeUnanswered(m);
        removed.insert(plan.terminate.begin(), plan.terminate.end());
    }
    EXPECT_EQ(removed, std::set<std::string>{"n-8"});
    EXPECT_LE(most, 6U) << "a few are enough to see when the zone is back";
}

TEST_F(FleetTest, AJobThatFailsEverywhereRentsNothing) {
    fleet.onMachineList({}, clock.now());
    submit("run-1", 40);
    cluster.find("run-1")->crashLooping = true;
    clock.advance(11s);
    EXPECT_TRUE(fleet.plan(clock.now()).scaleOut.empty());
}

TEST_F(FleetTest, RentsOnlyTypesThatATaskFitsOn) {
    auto catalogue = testing::someCatalogue();
    MachineType tiny = catalogue.at("box");
    tiny.name = "tiny";
    tiny.capacity = {2, 0, 8};
    tiny.price = tiny.spotPrice = 0.01;
    catalogue["tiny"] = tiny;
    cluster.setCatalogue(catalogue);
    fleet.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto rent = fleet.plan(clock.now()).scaleOut;
    ASSERT_FALSE(rent.empty());
    for (const auto& r : rent) EXPECT_EQ(r.type, "box");
}

TEST_F(FleetTest, OfFourThousandMachinesThoseThatDieTogetherAreFoundWithinALease) {
    // At most 300 were asked at once and 24 in a sample, whatever the number of machines.
    settings.lease = 31s;
    settings.heartbeatInterval = 25s;  // by its late report none is found within a lease
    constexpr std::size_t count = 4000;
    const auto dead = [](std::size_t i) { return i % 20 == 7; };
    std::vector<Worker> all;
    for (std::size_t i = 0; i < count; ++i) all.emplace_back("n-" + std::to_string(10'000 + i));
    const auto report = [&](std::size_t i) {
        all[i].execute(cluster.onHeartbeat(all[i].next(), clock.now()));
        all[i].report.token = cluster.token();
    };
    for (std::size_t i = 0; i < count; ++i) report(i);
    for (int j = 0; j < 80; ++j) submit("run-" + std::to_string(j), 100);
    for (int i = 0; i < 100; ++i) cluster.place(clock.now(), 10'000);
    for (std::size_t i = 0; i < count; ++i) report(i);
    std::size_t busy = 0;
    for (const auto& m : cluster.machines()) busy += m.allocations.empty() ? 0 : 1;
    ASSERT_EQ(busy, count);
    std::set<std::string> removed;
    std::size_t largestSweep = 0;
    int seconds = 0;
    for (; removed.size() < count / 20 && seconds < 60; ++seconds) {
        clock.advance(1s);
        fleet.onMachineList({}, clock.now());
        const auto plan = fleet.plan(clock.now());
        largestSweep = std::max(largestSweep, plan.probeSample.size());
        auto asked = plan.probe;
        asked.insert(asked.end(), plan.probeSample.begin(), plan.probeSample.end());
        for (const MachineIndex m : asked)
            if (dead(m))
                cluster.onProbeUnanswered(m);
            else
                report(m);
        removed.insert(plan.terminate.begin(), plan.terminate.end());
        fleet.onTerminated(plan.terminate, clock.now());
    }
    EXPECT_LT(seconds, 31 - 5) << removed.size() << " found";
    EXPECT_EQ(largestSweep, count / 4);
    for (const auto& name : removed) EXPECT_TRUE(dead(std::stoul(name.substr(2)) - 10'000));
}

}  // namespace
}  // namespace basaltchute::autoscaler
