#include <gtest/gtest.h>

#include "scheduler/cluster_fixture.h"

// Two troubles that meet, as far as they are decided from reports and records: docs/meetings.md.

namespace basaltchute::scheduler {
namespace {

class MeetingsTest : public ClusterTest {
  protected:
    static std::vector<Verb> verbs(const std::vector<Order>& orders) {
        std::vector<Verb> out;
        for (const auto& o : orders) out.push_back(o.verb);
        return out;
    }
    /// A copy of a report that was sent before.
    std::vector<Order> copy(const workers::Report& report) {
        return cluster->beat(report, clock.now());
    }
    void pass(Duration span) {
        for (Duration d{}; d < span; d += 500ms) {
            clock.advance(500ms);
            cluster->expire(clock.now());
        }
    }
};

TEST_F(MeetingsTest, TasksThatEndFarApartAreDoneOnceAcrossChangesOfLeader) {
    Worker first("n-1"), second("n-2");
    exchange(first);
    exchange(second);
    submit(testing::spec("run-1", 4));
    place();
    commit();
    for (int i = 0; i < 2; ++i) {
        exchange(first);
        exchange(second);
    }
    ASSERT_EQ(first.report.tasks.size(), 2U);
    ASSERT_EQ(second.report.tasks.size(), 2U);
    // One result stands and is forgotten by its worker, another one is reported to a leader that
    // ends before it has written it.
    first.set(0, TaskStatus::exited, ExitCause::done);
    beat(first);
    commit();
    exchange(first);
    ASSERT_EQ(first.report.tasks.size(), 1U);
    first.set(0, TaskStatus::exited, ExitCause::done);
    EXPECT_TRUE(beat(first).empty()) << "not before it stands";
    takeOver();
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.doneCount, 1U);
    pass(4s);
    EXPECT_TRUE(beat(first).empty());
    EXPECT_EQ(job.doneCount, 2U) << "it comes again";
    commit();
    EXPECT_EQ(verbs(beat(first)), std::vector{Verb::forget});
    takeOver();
    // Minutes later the others end, one of them under one more leader.
    for (int minute = 0; minute < 3; ++minute) {
        pass(5s);
        beat(first);
        EXPECT_TRUE(beat(second).empty());
        place();
        EXPECT_EQ(cluster->find("run-1")->boundCount, 2U);
    }
    second.set(0, TaskStatus::exited, ExitCause::done);
    beat(second);
    EXPECT_FALSE(cluster->find("run-1")->doneDurable());
    commit();
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->doneCount, 3U);
    second.set(1, TaskStatus::exited, ExitCause::done);
    beat(second);
    EXPECT_TRUE(cluster->find("run-1")->allDone());
    EXPECT_FALSE(cluster->find("run-1")->doneDurable());
    commit();
    EXPECT_TRUE(cluster->find("run-1")->doneDurable());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->doneDurable());
}

TEST_F(MeetingsTest, AnOldReportThatIsANewLeadersFirstWordProvesNothing) {
    Worker w("n-1"), other("n-2");
    exchange(w);
    const workers::Report empty = w.report;  // before anything was there
    submit(testing::spec("run-1"));
    place();
    commit();
    exchange(w);
    const workers::Report running = w.next();
    takeOver();
    EXPECT_TRUE(copy(empty).empty());
    Job& known = *cluster->find("run-1");
    EXPECT_EQ(known.boundCount, 1U) << "it does not mention the task, and is older than its launch";
    pass(500ms);
    place();
    EXPECT_EQ(known.tasks[0].attempt, 1U);
    copy(running);
    EXPECT_EQ(known.runningCount, 1U);
    copy(empty);
    EXPECT_EQ(known.runningCount, 1U) << "older than the last";
    beat(w);
    EXPECT_EQ(known.runningCount, 1U);
}

TEST_F(MeetingsTest, ACopyFromAnEarlierSessionDoesNotBringItsTasksBack) {
    Worker w("n-1"), other("n-2");
    running(w, testing::spec("run-1"));
    const workers::Report before = w.next();
    // The session ends, and the task goes on elsewhere.
    w.newSession();
    beat(w);
    exchange(other);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    commit();
    exchange(other);
    exchange(other);
    ASSERT_EQ(other.report.tasks.size(), 1U);
    takeOver();
    copy(before);
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_EQ(job.tasks[0].attempt, 2U);
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].charges.size(), 1U)
        << "counted until n-1 speaks for itself";
    beat(w);
    EXPECT_TRUE(cluster->machines()[cluster->indexOf("n-1")].charges.empty());
    EXPECT_TRUE(beat(other).empty()) << "what runs is not touched";
    EXPECT_EQ(job.runningCount, 1U);
}

TEST_F(MeetingsTest, AReportFromASessionWhoseLeaseHasEndedMakesNothingOfItsMachineUsable) {
    // Held back in a cut, and newer than any that came before it: what it lists has been killed.
    Worker w("n-1"), other("n-2");
    Job& job = running(w, testing::spec("run-1"));
    pass(settings.lease + 2s);
    EXPECT_EQ(job.boundCount, 0U);
    beat(w);
    const workers::Machine& m = cluster->machines()[cluster->indexOf("n-1")];
    EXPECT_TRUE(m.charges.empty());
    EXPECT_FALSE(cluster->fresh(m, clock.now()));
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchange(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(MeetingsTest, ACopyAfterAMachineWasDeletedDoesNotBringItBack) {
    Worker w("n-1"), other("n-2");
    Job& job = running(w, testing::spec("run-1"));
    const workers::Report last = w.next();
    cluster->machineGone(cluster->indexOf("n-1"), clock.now());
    exchange(other);
    place();
    commit();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_TRUE(copy(last).empty());
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].presence, workers::Presence::gone);
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(MeetingsTest, AFormerLeadersHeldUpLaunchIsStoppedThoughItsJobWasToldToBeCancelled) {
    Worker w("n-1");
    exchange(w);
    submit(testing::spec("run-1"));
    place();
    commit();
    const auto held = cluster->directOrders(cluster->indexOf("n-1"), clock.now());
    ASSERT_EQ(verbs(held), std::vector{Verb::launch});
    takeOver();  // before it arrives
    Job& job = *cluster->find("run-1");
    cluster->cancel(job, clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    cluster->told(job, clock.now());
    const auto stops = beat(w);
    EXPECT_EQ(verbs(stops), std::vector{Verb::stop}) << "it may be there";
    EXPECT_FALSE(job.perZone.empty());
    w.report.token = cluster->token() - 1;  // that answer was lost
    w.execute(held);                        // the machine goes on
    ASSERT_EQ(w.report.tasks.size(), 1U);
    const auto again = beat(w);
    ASSERT_EQ(verbs(again), std::vector{Verb::stop});
    w.execute(again);
    beat(w);
    EXPECT_TRUE(job.perZone.empty()) << "proven";
}

TEST_F(MeetingsTest, LongTasksOnMachinesThatDoNotHearTheNewLeaderStayUntilTheirSessionEnds) {
    Worker deaf("n-1"), other("n-2");
    running(deaf, testing::spec("run-1", 2));
    takeOver();
    Job& job = *cluster->find("run-1");
    exchange(other);
    const FencingToken heard = deaf.report.token;
    for (Duration d{}; d < settings.lease; d += 2s) {
        // Its reports arrive; no answer does.
        cluster->beat(deaf.next(), clock.now());
        deaf.report.token = heard;
        pass(2s);
        exchange(other);
        place();
        EXPECT_EQ(job.boundCount, 2U);
        EXPECT_EQ(job.runningCount, 2U) << "polls say so";
    }
    deaf.newSession();  // its lease has ended, by its own clock
    cluster->beat(deaf.next(), clock.now());
    EXPECT_EQ(job.boundCount, 0U);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    EXPECT_EQ(job.boundCount, 2U);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

TEST_F(MeetingsTest, AMachineThatDoesNotHearGetsNoMoreWorkUntilItAnswers) {
    Worker deaf("n-1"), other("n-2");
    exchange(deaf);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    EXPECT_EQ(verbs(beat(deaf)), std::vector{Verb::launch});
    pass(2s);
    EXPECT_EQ(verbs(beat(deaf)), std::vector{Verb::launch}) << "one answer may be lost";
    pass(2s);
    EXPECT_TRUE(beat(deaf).empty());
    EXPECT_EQ(job.boundCount, 0U) << "no launch for it is under way";
    place();
    EXPECT_EQ(job.boundCount, 0U) << "and no more work goes there";
    exchange(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    commit();
    exchange(other);
    // Asked, it answers: it is used again at once.
    submit(testing::spec("run-2", 2));
    cluster->report(deaf.next(), Cluster::Source::direct, clock.now());
    cluster->expire(clock.now());
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].charges.size(), 0U);
}

TEST_F(MeetingsTest, AMachineWhoseLeaseRunsOutThoughItIsAnsweredDoesNotHear) {
    Worker deaf("n-1"), other("n-2");
    Job& job = running(deaf, testing::spec("run-1"));
    for (Duration d{}; d < settings.lease; d += 2s) {
        cluster->beat(deaf.next(), clock.now());
        pass(2s);
    }
    deaf.newSession();
    cluster->beat(deaf.next(), clock.now());
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchange(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    pass(settings.lease + 1s);
    submit(testing::spec("run-2", 4));
    exchange(deaf);
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].charges.size(), 0U)
        << "tried again after a lease";
}

TEST_F(MeetingsTest, LongTasksOnMachinesThatANewLeaderNeverHeardWaitForTheLongestDelegation) {
    const delegation::Bounds terms = delegation::Bounds::of(settings);
    Worker silent("n-1"), other("n-2");
    running(silent, testing::spec("run-1"));
    takeOver();
    delegation::Delegator delegator(terms, cluster->token(), {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                    clock.now());
    cluster->setDelegator(delegator);
    Job& job = *cluster->find("run-1");
    const auto place2 = [&](Duration span) {
        pass(span);
        exchange(other);
        place();
    };
    place2(settings.lease + 2s);
    EXPECT_EQ(job.tasks[0].attempt, 1U)
        << "somebody may have answered it in a former leader's name";
    place2(terms.longest);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

}  // namespace
}  // namespace basaltchute::scheduler
