#include <gtest/gtest.h>

#include "scheduler/cluster_fixture.h"

// Interactions of two faults, as far as they are decided from reports and records:
// docs/meetings.md.

namespace basaltchute::scheduler {
namespace {

class FaultInteractionTest : public ClusterTest {
  protected:
    static std::vector<CommandKind> kindsOf(const std::vector<Command>& commands) {
        std::vector<CommandKind> out;
        for (const Command& o : commands) out.push_back(kindOf(o));
        return out;
    }
    /// A copy of a report that was sent before.
    std::vector<Command> copy(const worker_api::StatusReport& report) {
        return cluster->onHeartbeat(report, clock.now());
    }
    void pass(Duration span) {
        for (Duration d{}; d < span; d += 500ms) {
            clock.advance(500ms);
            cluster->advanceTo(clock.now());
        }
    }
};

TEST_F(FaultInteractionTest, TasksThatEndFarApartAreDoneOnceAcrossChangesOfLeader) {
    Worker first("n-1"), second("n-2");
    exchangeHeartbeat(first);
    exchangeHeartbeat(second);
    submit(testing::spec("run-1", 4));
    place();
    commit();
    for (int i = 0; i < 2; ++i) {
        exchangeHeartbeat(first);
        exchangeHeartbeat(second);
    }
    ASSERT_EQ(first.report.tasks.size(), 2U);
    ASSERT_EQ(second.report.tasks.size(), 2U);
    // One result is on record and is forgotten by its worker, another one is reported to a leader
    // that ends before it has written it.
    first.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(first);
    commit();
    exchangeHeartbeat(first);
    ASSERT_EQ(first.report.tasks.size(), 1U);
    first.set(0, TaskStatus::exited, ExitCause::done);
    EXPECT_TRUE(heartbeat(first).empty()) << "not before it is on record";
    takeOver();
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.doneCount, 1U);
    pass(4s);
    EXPECT_TRUE(heartbeat(first).empty());
    EXPECT_EQ(job.doneCount, 2U) << "it comes again";
    commit();
    EXPECT_EQ(kindsOf(heartbeat(first)), std::vector{CommandKind::forget});
    takeOver();
    // Minutes later the others end, one of them under one more leader.
    for (int minute = 0; minute < 3; ++minute) {
        pass(5s);
        heartbeat(first);
        EXPECT_TRUE(heartbeat(second).empty());
        place();
        EXPECT_EQ(cluster->find("run-1")->boundCount, 2U);
    }
    second.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(second);
    EXPECT_FALSE(cluster->find("run-1")->doneDurable());
    commit();
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->doneCount, 3U);
    second.set(1, TaskStatus::exited, ExitCause::done);
    heartbeat(second);
    EXPECT_TRUE(cluster->find("run-1")->allDone());
    EXPECT_FALSE(cluster->find("run-1")->doneDurable());
    commit();
    EXPECT_TRUE(cluster->find("run-1")->doneDurable());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->doneDurable());
}

TEST_F(FaultInteractionTest, AnOldReportThatANewLeaderReceivesFirstProvesNothing) {
    Worker w("n-1"), other("n-2");
    exchangeHeartbeat(w);
    const worker_api::StatusReport empty = w.report;  // before anything was there
    submit(testing::spec("run-1"));
    place();
    commit();
    exchangeHeartbeat(w);
    const worker_api::StatusReport running = w.next();
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
    heartbeat(w);
    EXPECT_EQ(known.runningCount, 1U);
}

TEST_F(FaultInteractionTest, ADuplicateFromAnEarlierIncarnationDoesNotBringItsTasksBack) {
    Worker w("n-1"), other("n-2");
    submitAndRun(w, testing::spec("run-1"));
    const worker_api::StatusReport before = w.next();
    // The incarnation ends, and the task goes on elsewhere.
    w.newSession();
    heartbeat(w);
    exchangeHeartbeat(other);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    commit();
    exchangeHeartbeat(other);
    exchangeHeartbeat(other);
    ASSERT_EQ(other.report.tasks.size(), 1U);
    takeOver();
    copy(before);
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_EQ(job.tasks[0].attempt, 2U);
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 1U)
        << "counted until n-1 speaks for itself";
    heartbeat(w);
    EXPECT_TRUE(cluster->machines()[cluster->indexOf("n-1")].allocations.empty());
    EXPECT_TRUE(heartbeat(other).empty()) << "what runs is not touched";
    EXPECT_EQ(job.runningCount, 1U);
}

TEST_F(FaultInteractionTest, AReportFromAnIncarnationWhoseLeaseHasEndedDoesNotOpenItsMachine) {
    // Held back in a cut, and newer than any that came before it: what it lists has been killed.
    Worker w("n-1"), other("n-2");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    pass(settings.lease + 2s);
    EXPECT_EQ(job.boundCount, 0U);
    heartbeat(w);
    const worker_api::Machine& m = cluster->machines()[cluster->indexOf("n-1")];
    EXPECT_TRUE(m.allocations.empty());
    EXPECT_FALSE(cluster->isResponsive(m, clock.now()));
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest, ADuplicateAfterAMachineWasDeletedDoesNotBringItBack) {
    Worker w("n-1"), other("n-2");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    const worker_api::StatusReport last = w.next();
    cluster->onMachineDeleted(cluster->indexOf("n-1"), clock.now());
    exchangeHeartbeat(other);
    place();
    commit();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_TRUE(copy(last).empty());
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].presence, worker_api::Presence::gone);
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest,
       AFormerLeadersDelayedLaunchIsStoppedThoughItsCancellationWasAcknowledged) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(testing::spec("run-1"));
    place();
    commit();
    const auto held = cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now());
    ASSERT_EQ(kindsOf(held), std::vector{CommandKind::launch});
    takeOver();  // before it arrives
    Job& job = *cluster->find("run-1");
    cluster->cancel(job, clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    cluster->acknowledgeCancellation(job, clock.now());
    const auto stops = heartbeat(w);
    EXPECT_EQ(kindsOf(stops), std::vector{CommandKind::stop}) << "it may be there";
    EXPECT_FALSE(job.tasksPerZone.empty());
    w.report.token = cluster->token() - 1;  // that answer was lost
    w.execute(held);                        // the machine goes on
    ASSERT_EQ(w.report.tasks.size(), 1U);
    const auto again = heartbeat(w);
    ASSERT_EQ(kindsOf(again), std::vector{CommandKind::stop});
    w.execute(again);
    heartbeat(w);
    EXPECT_TRUE(job.tasksPerZone.empty()) << "proven";
}

TEST_F(FaultInteractionTest,
       LongTasksOnMachinesThatTheNewLeaderCannotReachStayUntilTheirIncarnationEnds) {
    Worker partitioned("n-1"), other("n-2");
    submitAndRun(partitioned, testing::spec("run-1", 2));
    takeOver();
    Job& job = *cluster->find("run-1");
    exchangeHeartbeat(other);
    const FencingToken formerToken = partitioned.report.token;
    for (Duration d{}; d < settings.lease; d += 2s) {
        // Its reports arrive; no answer does.
        cluster->onHeartbeat(partitioned.next(), clock.now());
        partitioned.report.token = formerToken;
        pass(2s);
        exchangeHeartbeat(other);
        place();
        EXPECT_EQ(job.boundCount, 2U);
        EXPECT_EQ(job.runningCount, 2U) << "polls say so";
    }
    partitioned.newSession();  // its lease has ended, by its own clock
    cluster->onHeartbeat(partitioned.next(), clock.now());
    EXPECT_EQ(job.boundCount, 0U);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    EXPECT_EQ(job.boundCount, 2U);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

TEST_F(FaultInteractionTest, AnInboundPartitionedMachineGetsNoMoreWorkUntilItAnswers) {
    Worker partitioned("n-1"), other("n-2");
    exchangeHeartbeat(partitioned);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    EXPECT_EQ(kindsOf(heartbeat(partitioned)), std::vector{CommandKind::launch});
    pass(2s);
    EXPECT_EQ(kindsOf(heartbeat(partitioned)), std::vector{CommandKind::launch})
        << "one answer may be lost";
    pass(2s);
    EXPECT_TRUE(heartbeat(partitioned).empty());
    EXPECT_EQ(job.boundCount, 0U) << "no launch for it is under way";
    place();
    EXPECT_EQ(job.boundCount, 0U) << "and no more work goes there";
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    commit();
    exchangeHeartbeat(other);
    // Asked, it answers: it is used again at once.
    submit(testing::spec("run-2", 2));
    cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                            clock.now());
    cluster->advanceTo(clock.now());
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 0U);
}

TEST_F(FaultInteractionTest, AMachineWhoseLeaseExpiresThoughItIsAnsweredIsInboundPartitioned) {
    Worker partitioned("n-1"), other("n-2");
    Job& job = submitAndRun(partitioned, testing::spec("run-1"));
    for (Duration d{}; d < settings.lease; d += 2s) {
        cluster->onHeartbeat(partitioned.next(), clock.now());
        pass(2s);
    }
    partitioned.newSession();
    cluster->onHeartbeat(partitioned.next(), clock.now());
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    pass(settings.lease + 1s);
    submit(testing::spec("run-2", 4));
    exchangeHeartbeat(partitioned);
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 0U)
        << "tried again after a lease";
}

TEST_F(FaultInteractionTest,
       LongTasksOnMachinesThatNeverReportedToANewLeaderWaitForTheLongestDelegation) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    Worker unresponsive("n-1"), other("n-2");
    submitAndRun(unresponsive, testing::spec("run-1"));
    takeOver();
    lease_delegation::Delegator delegator(terms, cluster->token(), {"rig-0", "b"}, 1h,
                                          {{"rig-1", "a"}}, clock.now());
    cluster->setDelegator(delegator);
    Job& job = *cluster->find("run-1");
    const auto place2 = [&](Duration span) {
        pass(span);
        exchangeHeartbeat(other);
        place();
    };
    place2(settings.lease + 2s);
    EXPECT_EQ(job.tasks[0].attempt, 1U)
        << "somebody may have answered it in a former leader's name";
    place2(terms.maxDuration);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

TEST_F(FaultInteractionTest, AnOutboundPartitionedMachineIsUsedLastAndWritesItsCheckpoints) {
    Worker partitioned("n-1"), other("n-2");
    JobSpec saves = testing::spec("run-1");
    saves.checkpointIntervalS = 10;
    saves.checkpointDurationS = 1;
    Job& job = submitAndRun(partitioned, saves);
    Job& cancelled = submit(testing::spec("run-2"));
    place();
    commit();
    exchangeHeartbeat(partitioned);
    exchangeHeartbeat(partitioned);
    ASSERT_EQ(cancelled.runningCount, 1U);
    const MachineIndex at = cluster->indexOf("n-1");
    const auto inspect = [&] {
        cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                                clock.now());
    };
    // A command to stop is lost. No more reports come from now on.
    cluster->cancel(cancelled, clock.now());
    commit();
    ASSERT_EQ(kindsOf(cluster->takeDirectCommands(at, clock.now())),
              std::vector{CommandKind::stop});
    cluster->onDirectCommandEnded(at, true);
    pass(settings.heartbeatInterval * 5 / 4 + 2s);
    inspect();
    EXPECT_TRUE(cluster->machines()[at].outboundPartitioned);
    EXPECT_TRUE(cluster->takeEffects().machinesToCommand.contains(at))
        << "it receives commands: the stop is sent once more";
    const auto stops = cluster->takeDirectCommands(at, clock.now());
    ASSERT_EQ(kindsOf(stops), std::vector{CommandKind::stop});
    partitioned.execute(stops);
    cluster->onDirectCommandEnded(at, false);
    inspect();
    EXPECT_TRUE(cancelled.tasksPerZone.empty()) << "proven long before its lease ends";
    // There is capacity, and its image, but what is placed there is lost with the lease: any other
    // is taken.
    exchangeHeartbeat(other);
    Job& elsewhere = submit(testing::spec("run-3", 2));
    place();
    EXPECT_EQ(elsewhere.boundCount, 2U);
    for (const auto& t : elsewhere.tasks) EXPECT_EQ(cluster->machines()[t.machine].name, "n-2");
    Job& waits = submit(testing::spec("run-4"));
    JobSpec lasting = testing::spec("run-5");
    lasting.shape = Shape::service;
    Job& replica = submit(lasting);
    place();
    EXPECT_EQ(waits.boundCount, 0U) << "it would be lost";
    ASSERT_EQ(replica.boundCount, 1U) << "better than none";
    EXPECT_EQ(cluster->machines()[replica.tasks[0].machine].name, "n-1");
    EXPECT_EQ(cluster->findInconsistency(), "");
    // What saves is stopped as late as that allows, before the lease ends.
    for (Duration d{}; d < settings.lease && !job.tasks[0].stopping; d += 1s) {
        pass(1s);
        inspect();
    }
    EXPECT_TRUE(job.tasks[0].stopping);
    EXPECT_GT(cluster->machines()[at].lastAnsweredAt + settings.lease, clock.now() + 2s);
    // It reports again.
    heartbeat(partitioned);
    EXPECT_FALSE(cluster->machines()[at].outboundPartitioned);
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(FaultInteractionTest, ANewLeaderCheckpointsAtOnceWhatAnOutboundPartitionedMachineRuns) {
    // When its last report was answered only the former leader knew: its lease may end at any
    // moment.
    Worker partitioned("n-1"), other("n-2");
    JobSpec saves = testing::spec("run-1");
    saves.checkpointIntervalS = 10;
    saves.checkpointDurationS = 1;
    submitAndRun(partitioned, saves);
    takeOver();
    exchangeHeartbeat(other);
    pass(settings.heartbeatInterval * 5 / 4 + 2s);
    cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                            clock.now());
    pass(500ms);
    EXPECT_TRUE(cluster->machines()[cluster->indexOf("n-1")].outboundPartitioned)
        << "it has not reported since";
    EXPECT_TRUE(cluster->find("run-1")->tasks[0].stopping);
    const auto stops = cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now());
    EXPECT_EQ(kindsOf(stops), std::vector{CommandKind::stop});
}

TEST_F(FaultInteractionTest, DuplicatesThatArriveForMinutesKeepNobodyWaitingForADeadMachine) {
    Worker dead("n-1"), other("n-2");
    Job& job = submitAndRun(dead, testing::spec("run-1"));
    const worker_api::StatusReport last = dead.report;
    TimePoint released{};
    for (Duration d{}; d < settings.lease * 2 && released == TimePoint{}; d += 1s) {
        copy(last);
        pass(1s);
        if (job.boundCount == 0) released = clock.now();
    }
    EXPECT_NE(released, TimePoint{}) << "a lease after its last news, however many copies came";
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest, AHeartbeatOvertakenByADirectResponseStillRenewsItsLease) {
    // The worker waits for the answer to a report while it is asked directly: what it said last is
    // newer than that report, whose answer renews its lease all the same.
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    pass(10s);
    const worker_api::StatusReport sent = w.next();
    cluster->onStatusReport(w.next(), Cluster::ReportSource::commandResponse, clock.now());
    pass(1s);
    copy(sent);
    pass(settings.lease - 2s);
    EXPECT_EQ(job.boundCount, 1U) << "its lease counts from when that report was sent";
    pass(4s);
    EXPECT_EQ(job.boundCount, 0U);
}

TEST_F(FaultInteractionTest, TasksNamedInAnOldReportAreCountedButBreakNoLimitAndEndWithTheirLease) {
    // A report of before the task was stopped, saved and put back, as a new leader's first word.
    // Its machine is long gone.
    settings.teams[0].coresMax = 4;
    cluster = makeCluster(5);
    JobSpec spec = testing::spec("run-1");
    spec.demand.cores = 4;
    Worker gone("n-1"), other("n-2");
    Job& job = submitAndRun(gone, spec);
    const worker_api::StatusReport old = gone.next();
    cluster->onMachineDeleted(cluster->indexOf("n-1"), clock.now());
    commit();
    EXPECT_EQ(job.boundCount, 0U);
    takeOver();
    copy(old);
    exchangeHeartbeat(other);
    place();
    Job& now = *cluster->find("run-1");
    commit();
    EXPECT_NE(cluster->machines()[now.tasks[0].machine].name, "n-2") << "it may be there";
    EXPECT_EQ(cluster->findInconsistency(), "");
    for (Duration d{}; d < settings.lease + 2s; d += 1s) {
        copy(old);
        exchangeHeartbeat(other);
        pass(1s);
        place();
    }
    EXPECT_EQ(cluster->machines()[now.tasks[0].machine].name, "n-2");
    EXPECT_EQ(now.tasks[0].attempt, 2U) << "not the one that the old report names";
}

TEST_F(FaultInteractionTest, AMachineInNoListIsInAnyZoneUntilItReports) {
    // Rented, up within two seconds and given work by a leader that ends.
    JobSpec spec = testing::spec("run-1", 2);
    spec.spread = true;
    Worker fresh("n-1"), a("n-2"), b("n-3", "b");
    exchangeHeartbeat(fresh);
    submit(spec);
    place();
    commit();
    exchangeHeartbeat(fresh);
    takeOver();
    Job& job = *cluster->find("run-1");
    exchangeHeartbeat(a);
    exchangeHeartbeat(b);
    place();
    EXPECT_EQ(job.boundCount, 1U) << "one is in a or in b: neither may take another one";
    exchangeHeartbeat(fresh);
    place();
    ASSERT_EQ(job.boundCount, 2U);
    EXPECT_EQ(job.tasksPerZone, (std::map<std::string, std::uint32_t>{{"a", 1}, {"b", 1}}));
}

}  // namespace
}  // namespace basaltchute::scheduler
