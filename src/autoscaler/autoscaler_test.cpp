#include "autoscaler/autoscaler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "testing/world.h"

namespace basaltchute::autoscaler {
namespace {

using namespace std::chrono_literals;
using testing::Worker;

class AutoscalerTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    scheduler::Cluster cluster{settings, 1};
    Autoscaler autoscaler{cluster, clock.now()};
    AutoscalerTest() { cluster.setCatalogue(testing::someCatalogue()); }

    ListedMachine listed(const std::string& name, const std::string& status, double age) {
        return {name, "", "box", "a", status, false, age};
    }
    void submit(const std::string& id, std::uint32_t tasks) {
        cluster.submit(testing::spec(id, tasks), clock.now(), clock.wall());
        const auto key = cluster.takeEffects().dirtyRecords.at(0).first;
        cluster.onRecordCommitted(key, cluster.encode(key)->version);
    }
};

TEST_F(AutoscalerTest, KeepsMachinesThatHaveNotReportedYetAfterALeaderChange) {
    // A new leader took every machine that had been listed for long and had not reported to it yet
    // for one that never finished booting, and deleted it with all its tasks.
    for (int i = 0; i < 15; ++i) {
        autoscaler.onMachineList({listed("n-1", "running", 300), listed("n-2", "starting", 300)},
                                 clock.now());
        EXPECT_TRUE(autoscaler.plan(clock.now()).terminate.empty());
        clock.advance(1s);
    }
    clock.advance(20s);
    autoscaler.onMachineList({listed("n-1", "running", 330), listed("n-2", "starting", 330)},
                             clock.now());
    EXPECT_EQ(autoscaler.plan(clock.now()).terminate, std::vector<std::string>{"n-2"});
}

TEST_F(AutoscalerTest, RepeatsARequestWithALostAnswerUnderTheSameRequestId) {
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = autoscaler.plan(clock.now()).scaleOut;
    ASSERT_FALSE(first.empty());
    autoscaler.onScaleOutFailed(first[0], false, clock.now());
    clock.advance(1s);
    const auto again = autoscaler.plan(clock.now()).scaleOut;
    ASSERT_FALSE(again.empty());
    EXPECT_EQ(again[0].requestId, first[0].requestId);
    autoscaler.onScaledOut(again[0], {"n-1", "n-2", "n-3", "n-4"}, clock.now());
    const auto after = autoscaler.plan(clock.now()).scaleOut;
    EXPECT_TRUE(std::none_of(after.begin(), after.end(), [&](const ScaleOutRequest& r) {
        return r.requestId == first[0].requestId;
    }));
}

TEST_F(AutoscalerTest, BacksOffFromAPoolThatWasRefused) {
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto first = autoscaler.plan(clock.now()).scaleOut;
    ASSERT_FALSE(first.empty());
    autoscaler.onScaleOutFailed(first[0], true, clock.now());
    for (const auto& r : autoscaler.plan(clock.now()).scaleOut)
        EXPECT_FALSE(r.type == first[0].type && r.zone == first[0].zone && r.spot == first[0].spot);
}

TEST_F(AutoscalerTest, DrainsSurplusMachinesAndDeletesThemOnlyWhenEmpty) {
    std::vector<Worker> all;
    for (int i = 1; i <= 4; ++i) all.emplace_back("n-" + std::to_string(i));
    const auto allReport = [&] {
        for (auto& w : all) {
            w.execute(cluster.onHeartbeat(w.next(), clock.now()));
            w.report.token = cluster.token();
        }
    };
    allReport();
    submit("run-1", 2);  // 8 cores: one machine of the four
    cluster.place(clock.now());
    std::size_t deleted = 0;
    for (int i = 0; i < 90; ++i) {
        clock.advance(1s);
        allReport();
        autoscaler.onMachineList({}, clock.now());
        const auto plan = autoscaler.plan(clock.now());
        for (const auto& name : plan.terminate)
            EXPECT_TRUE(cluster.machines()[*cluster.machines().find(name)].allocations.empty());
        deleted = plan.terminate.size();
    }
    EXPECT_EQ(deleted, 3U);
    EXPECT_EQ(cluster.find("run-1")->boundCount, 2U);
}

TEST_F(AutoscalerTest, RemovesUnresponsiveMachinesButNotMostOfAZoneAtOnce) {
    // When machines full of replicas failed, the replicas stayed down for a whole lease of 45 s.
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
            autoscaler.onMachineList({}, clock.now());
            const auto plan = autoscaler.plan(clock.now());
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
    EXPECT_TRUE(run(3, true).empty()) << "reports are late, but probes are answered";
    report(0);
    EXPECT_TRUE(run(11, false).empty())
        << "eleven of twenty at once: a fault of this node's network is likelier";
    report(0);
    EXPECT_EQ(run(3, false), (std::set<std::string>{"n-1", "n-2", "n-3"})) << "well within a lease";
    autoscaler.onTerminated({"n-1", "n-2", "n-3"}, clock.now());
    report(3);
    EXPECT_TRUE(run(10, false).empty())
        << "seven more of seventeen: the three removed before count as well";
}

TEST_F(AutoscalerTest, ProbesOtherMachinesBeforeTheirReportsAreOverdueOnceAFewDoNotAnswer) {
    // When 59 machines failed at once, each was found only when its own report was overdue, up to
    // 14 s later.
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
    std::map<std::string, std::size_t> removed;  // seconds after the failure, by name
    const std::size_t failure = 30;
    for (; second < 60; ++second) {
        clock.advance(1s);
        for (std::size_t i = 0; i < all.size(); ++i)  // each every tenth second; six fail
            if (second % 10 == i % 10 && (second < failure || i >= 6)) report(i);
        autoscaler.onMachineList({}, clock.now());
        const auto plan = autoscaler.plan(clock.now());
        auto probed = plan.probe;
        probed.insert(probed.end(), plan.probeSample.begin(), plan.probeSample.end());
        for (const auto m : probed)
            if (cluster.machines()[m].name.size() == 3 && cluster.machines()[m].name[2] < '6' &&
                second >= failure)
                cluster.onProbeUnanswered(m);
            else
                report(m);
        for (const auto& name : plan.terminate) removed.try_emplace(name, second - failure);
        autoscaler.onTerminated(plan.terminate, clock.now());
    }
    ASSERT_EQ(removed.size(), 6U);
    for (const auto& [name, after] : removed) EXPECT_LE(after, 12U) << name;
}

TEST_F(AutoscalerTest, RequestsAllMissingMachinesAtOnceAndEvenlyFromAllZones) {
    // With at most four machines in a request and 24 requested at a time, a fleet of hundreds grew
    // by only one machine a second.
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 120);  // 480 cores: 60 machines
    clock.advance(11s);
    std::map<std::string, unsigned> spot;
    for (const auto& r : autoscaler.plan(clock.now()).scaleOut) {
        EXPECT_LE(r.count, 50U);
        if (r.spot) spot[r.zone] += r.count;
    }
    EXPECT_EQ(spot, (std::map<std::string, unsigned>{{"a", 30}, {"b", 30}}));
}

TEST_F(AutoscalerTest, DeletesMachinesThatTheCloudNoLongerListsAfterALeaderChange) {
    // Machines that failed around a change of leader kept their tasks for a whole lease.
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

TEST_F(AutoscalerTest, OpportunisticArrayRequestsOnlyTheCoresThatItNeedsInTime) {
    // A low-priority class with an objective was kept warm at four times its peak. Its only array
    // had every machine of the cloud created, which made the day two and a half times as expensive.
    settings.objectives = {{"finished", "c", 400s, 0.8}};
    const auto requestedCores = [&](const JobSpec& spec) {
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler autoscaler{other, clock.now()};
        autoscaler.onMachineList({}, clock.now());
        other.submit(spec, clock.now(), clock.wall());
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : autoscaler.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    JobSpec spec = testing::spec("run-1", 25'000);
    spec.priority = Priority::low;
    spec.demand = {0.25, 0, 0.5};
    spec.estimatedRuntimeS = 4;
    const unsigned cores = requestedCores(spec);
    EXPECT_GE(cores, 25'000U / 4 * 4 / 400) << "enough to be done in time";
    EXPECT_LE(cores, 200U) << "25,000 core seconds within 400 s";
}

TEST_F(AutoscalerTest, WorkBeyondATeamsLimitRequestsNoMachines) {
    // For a team that requestedCores fifteen times its limit, every machine of the cloud was
    // created.
    const auto requestedCores = [&](double limit) {
        settings.teams[0].coresMax = limit;
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler autoscaler{other, clock.now()};
        autoscaler.onMachineList({}, clock.now());
        JobSpec urgent = testing::spec("run-1", 4);
        urgent.priority = Priority::high;
        other.submit(urgent, clock.now(), clock.wall());
        other.submit(testing::spec("run-2", 100), clock.now(), clock.wall());
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : autoscaler.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_GE(requestedCores(0), 416U) << "no limit";
    EXPECT_LE(requestedCores(40), 64U);
    EXPECT_GE(requestedCores(40), 40U);
}

TEST_F(AutoscalerTest, OpportunisticWorkGetsOrdinaryMachinesWhileSpotMachinesAreUnavailable) {
    // In a small deployment without spot machines, a low-priority class ran on idle capacity only,
    // and the ordinary machines that it used were deleted: a fifth of its jobs was served.
    settings.objectives = {{"finished", "c", 200s, 0.9}};
    for (const bool spotAllowed : {true, false}) {
        scheduler::Cluster small{settings, 1};
        small.setCatalogue(testing::someCatalogue());
        Autoscaler autoscaler{small, clock.now()};
        autoscaler.onMachineList({}, clock.now());
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
                // The machine has come up, and is given work.
                w.execute(small.onHeartbeat(w.next(), clock.now()));
                w.report.token = small.token();
                small.place(clock.now());
                std::map<std::string, std::string> records;
                testing::commitAll(small, records);
            }
            for (const auto& r : autoscaler.plan(clock.now()).scaleOut) {
                ordinary += r.spot ? 0 : r.count;
                autoscaler.onScaleOutFailed(r, r.spot, clock.now());
                if (!r.spot) autoscaler.onScaledOut(r, {"n-1"}, clock.now());
            }
        }
        EXPECT_GT(ordinary, 0U) << spotAllowed;
        const Job& job = *small.find("run-1");
        EXPECT_GT(job.runningCount + job.doneCount, 0U) << spotAllowed;
        EXPECT_FALSE(small.machines()[small.indexOf("n-1")].draining) << spotAllowed;
    }
}

TEST_F(AutoscalerTest, KeepsCapacityWarmOnlyIfMachinesBootTooSlowlyForTheObjective) {
    // For a class with a wait objective of 250 s, machines for four times its peak were created,
    // although machines are ready within 40 s.
    const auto requestedCores = [&](Duration within, Duration boots) {
        settings.objectives = {{"wait", "c", within, 0.95}};
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler autoscaler{other, clock.now()};
        for (int i = 0; i < 200; ++i) autoscaler.statistics().recordBoot("box", boots, 20s);
        autoscaler.onMachineList({}, clock.now());
        other.submit(testing::spec("run-1", 10), clock.now(), clock.wall());  // 40 cores
        clock.advance(11s);
        unsigned cores = 0;
        for (const auto& r : autoscaler.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_LE(requestedCores(60s, 20s), 48U)
        << "machines are ready in time: only the current demand";
    EXPECT_GE(requestedCores(15s, 20s), 160U) << "machines are ready too late: warm capacity";
    EXPECT_GE(requestedCores(60s, 80s), 160U) << "machines boot slowly today";
}

TEST_F(AutoscalerTest, RequestsMachinesForABlockedJobShortlyBeforeItsRelease) {
    autoscaler.onMachineList({}, clock.now());
    Worker w("n-1");
    w.execute(cluster.onHeartbeat(w.next(), clock.now()));
    std::map<std::string, std::string> records;
    const auto requestedCores = [&] {
        unsigned cores = 0;
        for (const auto& r : autoscaler.plan(clock.now()).scaleOut) {
            cores += r.count * 8;
            autoscaler.onScaleOutFailed(r, true, clock.now());
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
    EXPECT_LE(requestedCores(), 8U) << "the first job still runs for minutes";
    clock.advance(260s);
    EXPECT_GE(requestedCores(), 160U)
        << "it will be done in half a minute, and machines boot in 20 s";
    clock.advance(16s);
    cluster.cancel(*cluster.find("run-2"), clock.now());
    testing::commitAll(cluster, records);
    clock.advance(300s);
    EXPECT_LE(requestedCores(), 8U);
}

TEST_F(AutoscalerTest, ClassWhoseJobsAreKnownInAdvanceNeedsLessWarmCapacity) {
    // Capacity for the second stage of a pipeline was kept warm at four times its peak, although
    // its jobs are known in advance. That was a tenth of all cost.
    settings.objectives = {{"wait", "c", 25s, 0.9}};
    const auto requestedCores = [&](Duration ahead) {
        scheduler::Cluster other{settings, 1};
        other.setCatalogue(testing::someCatalogue());
        Autoscaler autoscaler{other, clock.now()};
        autoscaler.onMachineList({}, clock.now());
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
        for (const auto& r : autoscaler.plan(clock.now()).scaleOut) cores += r.count * 8;
        return cores;
    };
    EXPECT_GE(requestedCores(1s), 6 * 160U) << "four times the peak";
    EXPECT_LE(requestedCores(30s), 6 * 48U) << "only the demand itself";
}

TEST_F(AutoscalerTest, RecordsObservedBootTimes) {
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 40);
    clock.advance(11s);
    const Duration before = autoscaler.statistics().bootTime("box", 20s, 0.9);
    for (const auto& r : autoscaler.plan(clock.now()).scaleOut) {
        std::vector<std::string> names;
        for (unsigned i = 0; i < r.count; ++i) names.push_back(r.requestId + std::to_string(i));
        autoscaler.onScaledOut(r, names, clock.now());
        clock.advance(50s);
        for (const auto& n : names) cluster.onHeartbeat(Worker(n, "a", r.spot).next(), clock.now());
    }
    autoscaler.plan(clock.now());
    EXPECT_GT(autoscaler.statistics().bootTime("box", 20s, 0.9), before + 10s);
}

TEST_F(AutoscalerTest, KeepsMachinesOfAnUnreachableZoneAndStillRemovesOthers) {
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
        report(9);  // n-8, in the other zone, has failed
        autoscaler.onMachineList({}, clock.now());
        const auto plan = autoscaler.plan(clock.now());
        most = std::max(most, plan.probe.size());
        for (const auto m : plan.probe) cluster.onProbeUnanswered(m);
        removed.insert(plan.terminate.begin(), plan.terminate.end());
    }
    EXPECT_EQ(removed, std::set<std::string>{"n-8"});
    EXPECT_LE(most, 6U) << "a few probes are enough to notice when the zone is back";
}

TEST_F(AutoscalerTest, CrashLoopingJobRequestsNoMachines) {
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 40);
    cluster.find("run-1")->crashLooping = true;
    clock.advance(11s);
    EXPECT_TRUE(autoscaler.plan(clock.now()).scaleOut.empty());
}

TEST_F(AutoscalerTest, RequestsOnlyTypesOnWhichATaskFits) {
    auto catalogue = testing::someCatalogue();
    MachineType tiny = catalogue.at("box");
    tiny.name = "tiny";
    tiny.capacity = {2, 0, 8};
    tiny.price = tiny.spotPrice = 0.01;
    catalogue["tiny"] = tiny;
    cluster.setCatalogue(catalogue);
    autoscaler.onMachineList({}, clock.now());
    submit("run-1", 4);
    clock.advance(11s);
    const auto requests = autoscaler.plan(clock.now()).scaleOut;
    ASSERT_FALSE(requests.empty());
    for (const auto& r : requests) EXPECT_EQ(r.type, "box");
}

TEST_F(AutoscalerTest, FindsMachinesThatFailTogetherWithinALeaseAmongFourThousand) {
    // At most 300 machines were probed at once and 24 in a sample, however large the fleet was: too
    // few to find machines that fail together in a large fleet within a lease.
    settings.lease = 31s;
    settings.heartbeatInterval = 25s;  // too long to find them by overdue reports within a lease
    constexpr std::size_t count = 4000;
    const auto hasFailed = [](std::size_t i) { return i % 20 == 7; };
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
    std::size_t largestSample = 0;
    int seconds = 0;
    for (; removed.size() < count / 20 && seconds < 60; ++seconds) {
        clock.advance(1s);
        autoscaler.onMachineList({}, clock.now());
        const auto plan = autoscaler.plan(clock.now());
        largestSample = std::max(largestSample, plan.probeSample.size());
        auto probed = plan.probe;
        probed.insert(probed.end(), plan.probeSample.begin(), plan.probeSample.end());
        for (const MachineIndex m : probed)
            if (hasFailed(m))
                cluster.onProbeUnanswered(m);
            else
                report(m);
        removed.insert(plan.terminate.begin(), plan.terminate.end());
        autoscaler.onTerminated(plan.terminate, clock.now());
    }
    EXPECT_LT(seconds, 31 - 5) << removed.size() << " found";
    EXPECT_EQ(largestSample, count / 4);
    for (const auto& name : removed) EXPECT_TRUE(hasFailed(std::stoul(name.substr(2)) - 10'000));
}

}  // namespace
}  // namespace basaltchute::autoscaler
