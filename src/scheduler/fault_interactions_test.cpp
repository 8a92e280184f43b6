#include <gtest/gtest.h>

#include "scheduler/cluster_fixture.h"

// Tests of two faults at a time, for the pairs whose outcome depends only on reports and records.
// See docs/fault-interactions.md.

namespace basaltchute::scheduler {
namespace {

class FaultInteractionTest : public ClusterTest {
  protected:
    static std::vector<CommandKind> kindsOf(const std::vector<Command>& commands) {
        std::vector<CommandKind> out;
        for (const Command& o : commands) out.push_back(kindOf(o));
        return out;
    }
    /// Delivers a report that was built earlier and returns the commands in the response.
    std::vector<Command> deliver(const worker_api::StatusReport& report) {
        return cluster->onHeartbeat(report, clock.now());
    }
    /// Advances the clock in steps of 500 ms, and the cluster with it.
    void advanceBy(Duration span) {
        for (Duration elapsed{}; elapsed < span; elapsed += 500ms) {
            clock.advance(500ms);
            cluster->advanceTo(clock.now());
        }
    }
};

TEST_F(FaultInteractionTest, TasksThatEndMinutesApartAreCountedDoneOnceAcrossChangesOfLeader) {
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
    // One result is on record and its worker has forgotten it. Another one is reported to a leader
    // that ends before committing it.
    first.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(first);
    commit();
    exchangeHeartbeat(first);
    ASSERT_EQ(first.report.tasks.size(), 1U);
    first.set(0, TaskStatus::exited, ExitCause::done);
    EXPECT_TRUE(heartbeat(first).empty())
        << "a result must not be forgotten before it is on record";
    takeOver();
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.doneCount, 1U);
    advanceBy(4s);
    EXPECT_TRUE(heartbeat(first).empty());
    EXPECT_EQ(job.doneCount, 2U) << "the worker reports the result again";
    commit();
    EXPECT_EQ(kindsOf(heartbeat(first)), std::vector{CommandKind::forget});
    takeOver();
    // The other two tasks end minutes later, the last of them under yet another leader.
    for (int minute = 0; minute < 3; ++minute) {
        advanceBy(5s);
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

TEST_F(FaultInteractionTest, AnOldReportThatANewLeaderReceivesFirstReleasesNoTask) {
    Worker worker("n-1"), other("n-2");
    exchangeHeartbeat(worker);
    // Reported before the task was launched.
    const worker_api::StatusReport emptyReport = worker.report;
    submit(testing::spec("run-1"));
    place();
    commit();
    exchangeHeartbeat(worker);
    const worker_api::StatusReport running = worker.next();
    takeOver();
    EXPECT_TRUE(deliver(emptyReport).empty());
    Job& restored = *cluster->find("run-1");
    EXPECT_EQ(restored.boundCount, 1U)
        << "the report lacks the task only because it is older than the launch";
    advanceBy(500ms);
    place();
    EXPECT_EQ(restored.tasks[0].attempt, 1U);
    deliver(running);
    EXPECT_EQ(restored.runningCount, 1U);
    deliver(emptyReport);
    EXPECT_EQ(restored.runningCount, 1U) << "the report is older than the latest one";
    heartbeat(worker);
    EXPECT_EQ(restored.runningCount, 1U);
}

TEST_F(FaultInteractionTest,
       AnOldReportOfAnEarlierIncarnationThatANewLeaderReceivesFirstReleasesNoTaskOfTheNewerOne) {
    Worker worker("n-1"), other("n-2");
    exchangeHeartbeat(worker);
    const worker_api::StatusReport ofEarlierIncarnation = worker.report;
    worker.startIncarnation();
    exchangeHeartbeat(worker);
    const worker_api::StatusReport beforeTheLaunch = worker.report;
    submitAndRun(worker, testing::spec("run-1"));
    takeOver();
    Job& restored = *cluster->find("run-1");
    deliver(ofEarlierIncarnation);
    deliver(beforeTheLaunch);
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(restored.tasks[0].attempt, 1U) << "a second attempt would run beside the first";
    heartbeat(worker);
    EXPECT_EQ(restored.runningCount, 1U);
}

TEST_F(FaultInteractionTest,
       AnAdoptedAttemptThatANewerIncarnationDoesNotHaveIsReleasedOnceItsMachineIsFenced) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    const worker_api::StatusReport ofEarlierIncarnation = worker.report;
    submitAndRun(worker, testing::spec("run-1"));
    takeOver();
    Job& restored = *cluster->find("run-1");
    deliver(ofEarlierIncarnation);
    worker.startIncarnation();  // the task is gone with the earlier one
    heartbeat(worker);
    EXPECT_EQ(restored.boundCount, 1U) << "the former leader may have launched it since";
    heartbeat(worker);
    EXPECT_EQ(restored.boundCount, 0U);
}

TEST_F(FaultInteractionTest, ADuplicateReportFromAnEarlierIncarnationDoesNotRestoreItsTasks) {
    Worker worker("n-1"), other("n-2");
    submitAndRun(worker, testing::spec("run-1"));
    const worker_api::StatusReport before = worker.next();
    // The incarnation ends, and the task is started again on n-2.
    worker.startIncarnation();
    heartbeat(worker);
    exchangeHeartbeat(other);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    commit();
    exchangeHeartbeat(other);
    exchangeHeartbeat(other);
    ASSERT_EQ(other.report.tasks.size(), 1U);
    takeOver();
    deliver(before);
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_EQ(job.tasks[0].attempt, 2U);
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 1U)
        << "the task is counted on n-1 until the present incarnation reports";
    heartbeat(worker);
    EXPECT_TRUE(cluster->machines()[cluster->indexOf("n-1")].allocations.empty());
    EXPECT_TRUE(heartbeat(other).empty()) << "the running attempt gets no command";
    EXPECT_EQ(job.runningCount, 1U);
}

TEST_F(FaultInteractionTest,
       AReportFromAnIncarnationWhoseLeaseHasEndedDoesNotMakeItsMachineUsable) {
    // The report was delayed by a network partition and is newer than any received before it. The
    // task that it lists was killed when its lease ended.
    Worker worker("n-1"), other("n-2");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    advanceBy(settings.lease + 2s);
    EXPECT_EQ(job.boundCount, 0U);
    heartbeat(worker);
    const worker_api::Machine& m = cluster->machines()[cluster->indexOf("n-1")];
    EXPECT_TRUE(m.allocations.empty());
    EXPECT_FALSE(cluster->isResponsive(m, clock.now()));
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest, ADuplicateReportDoesNotRestoreADeletedMachine) {
    Worker worker("n-1"), other("n-2");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    const worker_api::StatusReport last = worker.next();
    cluster->onMachineDeleted(cluster->indexOf("n-1"), clock.now());
    exchangeHeartbeat(other);
    place();
    commit();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_TRUE(deliver(last).empty());
    EXPECT_EQ(cluster->machines()[cluster->indexOf("n-1")].presence, worker_api::Presence::gone);
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest,
       AFormerLeadersDelayedLaunchIsStoppedThoughItsCancellationWasAcknowledged) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    submit(testing::spec("run-1"));
    place();
    commit();
    const auto delayedCommands = cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now());
    ASSERT_EQ(kindsOf(delayedCommands), std::vector{CommandKind::launch});
    takeOver();  // before the launch arrives
    Job& job = *cluster->find("run-1");
    cluster->cancel(job, clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    cluster->acknowledgeCancellation(job, clock.now());
    const auto stops = heartbeat(worker);
    EXPECT_EQ(kindsOf(stops), std::vector{CommandKind::stop})
        << "the delayed launch may have arrived";
    EXPECT_FALSE(job.tasksPerZone.empty());
    worker.report.token = cluster->token() - 1;  // the response was lost
    worker.execute(delayedCommands);             // the machine resumes and gets the delayed launch
    ASSERT_EQ(worker.report.tasks.size(), 1U);
    const auto again = heartbeat(worker);
    ASSERT_EQ(kindsOf(again), std::vector{CommandKind::stop});
    worker.execute(again);
    heartbeat(worker);
    EXPECT_TRUE(job.tasksPerZone.empty()) << "the report proves that nothing of the job is left";
}

TEST_F(FaultInteractionTest,
       TasksOnAMachineThatTheNewLeaderCannotReachStayUntilItsIncarnationEnds) {
    Worker partitioned("n-1"), other("n-2");
    submitAndRun(partitioned, testing::spec("run-1", 2));
    takeOver();
    Job& job = *cluster->find("run-1");
    exchangeHeartbeat(other);
    const FencingToken formerToken = partitioned.report.token;
    for (Duration elapsed{}; elapsed < settings.lease; elapsed += 2s) {
        // Reports from n-1 arrive, but no response reaches it.
        cluster->onHeartbeat(partitioned.next(), clock.now());
        partitioned.report.token = formerToken;
        advanceBy(2s);
        exchangeHeartbeat(other);
        place();
        EXPECT_EQ(job.boundCount, 2U);
        EXPECT_EQ(job.runningCount, 2U) << "the reports list them as running";
    }
    partitioned.startIncarnation();  // its lease has ended by its own clock
    cluster->onHeartbeat(partitioned.next(), clock.now());
    EXPECT_EQ(job.boundCount, 0U);
    cluster->setDraining(cluster->indexOf("n-1"), true);
    place();
    EXPECT_EQ(job.boundCount, 2U);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

TEST_F(FaultInteractionTest, AnInboundPartitionedMachineGetsNoMoreWorkUntilItRespondsToACommand) {
    Worker partitioned("n-1"), other("n-2");
    exchangeHeartbeat(partitioned);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    EXPECT_EQ(kindsOf(heartbeat(partitioned)), std::vector{CommandKind::launch});
    advanceBy(2s);
    EXPECT_EQ(kindsOf(heartbeat(partitioned)), std::vector{CommandKind::launch})
        << "a single response may be lost";
    advanceBy(2s);
    EXPECT_TRUE(heartbeat(partitioned).empty());
    EXPECT_EQ(job.boundCount, 0U) << "no launch can still be under way, so the task is released";
    place();
    EXPECT_EQ(job.boundCount, 0U) << "an inbound partitioned machine gets no work";
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    commit();
    exchangeHeartbeat(other);
    // It responds to a direct request, so it is used again at once.
    submit(testing::spec("run-2", 2));
    cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                            clock.now());
    cluster->advanceTo(clock.now());
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 0U);
}

TEST_F(FaultInteractionTest,
       AMachineWhoseLeaseExpiresAlthoughItsReportsWereAnsweredIsInboundPartitioned) {
    Worker partitioned("n-1"), other("n-2");
    Job& job = submitAndRun(partitioned, testing::spec("run-1"));
    for (Duration elapsed{}; elapsed < settings.lease; elapsed += 2s) {
        cluster->onHeartbeat(partitioned.next(), clock.now());
        advanceBy(2s);
    }
    partitioned.startIncarnation();
    cluster->onHeartbeat(partitioned.next(), clock.now());
    place();
    EXPECT_EQ(job.boundCount, 0U);
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    advanceBy(settings.lease + 1s);
    submit(testing::spec("run-2", 4));
    exchangeHeartbeat(partitioned);
    place();
    EXPECT_GT(cluster->machines()[cluster->indexOf("n-1")].allocations.size(), 0U)
        << "the machine is tried again after the length of a lease";
}

TEST_F(FaultInteractionTest,
       TasksOnAMachineThatNeverReportedToTheNewLeaderStayForTheLongestDelegation) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    Worker unresponsive("n-1"), other("n-2");
    submitAndRun(unresponsive, testing::spec("run-1"));
    takeOver();
    lease_delegation::Delegator delegator(terms, cluster->token(), {"rig-0", "b"}, 1h,
                                          {{"rig-1", "a"}}, clock.now());
    cluster->setDelegator(delegator);
    Job& job = *cluster->find("run-1");
    const auto advanceAndPlace = [&](Duration span) {
        advanceBy(span);
        exchangeHeartbeat(other);
        place();
    };
    advanceAndPlace(settings.lease + 2s);
    EXPECT_EQ(job.tasks[0].attempt, 1U)
        << "a delegate of a former leader may have renewed the lease";
    advanceAndPlace(terms.maxDuration);
    EXPECT_EQ(job.tasks[0].attempt, 2U);
}

TEST_F(FaultInteractionTest, AnOutboundPartitionedMachineIsUsedLastAndItsTasksWriteCheckpoints) {
    Worker partitioned("n-1"), other("n-2");
    JobSpec checkpointingSpec = testing::spec("run-1");
    checkpointingSpec.checkpointIntervalS = 10;
    checkpointingSpec.checkpointDurationS = 1;
    Job& job = submitAndRun(partitioned, checkpointingSpec);
    Job& cancelled = submit(testing::spec("run-2"));
    place();
    commit();
    exchangeHeartbeat(partitioned);
    exchangeHeartbeat(partitioned);
    ASSERT_EQ(cancelled.runningCount, 1U);
    const MachineIndex partitionedIndex = cluster->indexOf("n-1");
    const auto reportInCommandResponse = [&] {
        cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                                clock.now());
    };
    // A stop command is lost, and from now on no report arrives.
    cluster->cancel(cancelled, clock.now());
    commit();
    ASSERT_EQ(kindsOf(cluster->takeDirectCommands(partitionedIndex, clock.now())),
              std::vector{CommandKind::stop});
    cluster->onDirectCommandEnded(partitionedIndex, true);
    advanceBy(settings.heartbeatInterval * 5 / 4 + 2s);
    reportInCommandResponse();
    EXPECT_TRUE(cluster->machines()[partitionedIndex].outboundPartitioned);
    EXPECT_TRUE(cluster->takeEffects().machinesToCommand.contains(partitionedIndex))
        << "the machine receives commands, so the stop is sent again";
    const auto stops = cluster->takeDirectCommands(partitionedIndex, clock.now());
    ASSERT_EQ(kindsOf(stops), std::vector{CommandKind::stop});
    partitioned.execute(stops);
    cluster->onDirectCommandEnded(partitionedIndex, false);
    reportInCommandResponse();
    EXPECT_TRUE(cancelled.tasksPerZone.empty())
        << "the response proves that the task is gone long before the lease ends";
    // n-1 has capacity and the image, but a task placed there is lost when the lease ends, so any
    // other machine is preferred.
    exchangeHeartbeat(other);
    Job& otherJob = submit(testing::spec("run-3", 2));
    place();
    EXPECT_EQ(otherJob.boundCount, 2U);
    for (const auto& t : otherJob.tasks) EXPECT_EQ(cluster->machines()[t.machine].name, "n-2");
    Job& waitingJob = submit(testing::spec("run-4"));
    JobSpec serviceSpec = testing::spec("run-5");
    serviceSpec.shape = Shape::service;
    Job& replica = submit(serviceSpec);
    place();
    EXPECT_EQ(waitingJob.boundCount, 0U) << "a batch task there would be lost with the lease";
    ASSERT_EQ(replica.boundCount, 1U) << "a replica there is better than none";
    EXPECT_EQ(cluster->machines()[replica.tasks[0].machine].name, "n-1");
    EXPECT_EQ(cluster->findInconsistency(), "");
    // A task that writes checkpoints is stopped as late as its checkpoint allows, but before the
    // lease ends.
    for (Duration elapsed{}; elapsed < settings.lease && !job.tasks[0].stopping; elapsed += 1s) {
        advanceBy(1s);
        reportInCommandResponse();
    }
    EXPECT_TRUE(job.tasks[0].stopping);
    EXPECT_GT(cluster->machines()[partitionedIndex].lastAnsweredAt + settings.lease,
              clock.now() + 2s);
    // Its reports arrive again.
    heartbeat(partitioned);
    EXPECT_FALSE(cluster->machines()[partitionedIndex].outboundPartitioned);
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(FaultInteractionTest,
       ANewLeaderStopsTasksOnAnOutboundPartitionedMachineAtOnceSoThatTheyWriteCheckpoints) {
    // Only the former leader knew when it last answered a report of n-1, so the lease of n-1 may
    // end at any moment.
    Worker partitioned("n-1"), other("n-2");
    JobSpec checkpointingSpec = testing::spec("run-1");
    checkpointingSpec.checkpointIntervalS = 10;
    checkpointingSpec.checkpointDurationS = 1;
    submitAndRun(partitioned, checkpointingSpec);
    takeOver();
    exchangeHeartbeat(other);
    advanceBy(settings.heartbeatInterval * 5 / 4 + 2s);
    cluster->onStatusReport(partitioned.next(), Cluster::ReportSource::commandResponse,
                            clock.now());
    advanceBy(500ms);
    EXPECT_TRUE(cluster->machines()[cluster->indexOf("n-1")].outboundPartitioned)
        << "no report has arrived since the take-over";
    EXPECT_TRUE(cluster->find("run-1")->tasks[0].stopping);
    const auto stops = cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now());
    EXPECT_EQ(kindsOf(stops), std::vector{CommandKind::stop});
}

TEST_F(FaultInteractionTest, RepeatedDuplicateReportsDoNotKeepADeadMachinesTasksAllocated) {
    Worker dead("n-1"), other("n-2");
    Job& job = submitAndRun(dead, testing::spec("run-1"));
    const worker_api::StatusReport last = dead.report;
    TimePoint released{};
    for (Duration elapsed{}; elapsed < settings.lease * 2 && released == TimePoint{};
         elapsed += 1s) {
        deliver(last);
        advanceBy(1s);
        if (job.boundCount == 0) released = clock.now();
    }
    EXPECT_NE(released, TimePoint{})
        << "the task is released a lease after the last new report, whatever duplicates arrive";
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(FaultInteractionTest, AHeartbeatOvertakenByADirectResponseStillRenewsItsLease) {
    // While the worker waits for the response to a heartbeat, it responds to a direct command. That
    // report is newer than the heartbeat, but the response to the heartbeat still renews the lease.
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    advanceBy(10s);
    const worker_api::StatusReport sent = worker.next();
    cluster->onStatusReport(worker.next(), Cluster::ReportSource::commandResponse, clock.now());
    advanceBy(1s);
    deliver(sent);
    advanceBy(settings.lease - 2s);
    EXPECT_EQ(job.boundCount, 1U) << "the lease counts from when the heartbeat was sent";
    advanceBy(4s);
    EXPECT_EQ(job.boundCount, 0U);
}

TEST_F(FaultInteractionTest,
       TasksListedInAnOldReportAreCountedWithoutExceedingLimitsUntilTheirLeaseEnds) {
    // The first report that a new leader receives dates from before the task was stopped,
    // checkpointed and returned to the queue. Its machine has long been deleted.
    settings.teams[0].coresMax = 4;
    cluster = makeCluster(5);
    JobSpec spec = testing::spec("run-1");
    spec.demand.cores = 4;
    Worker deletedMachine("n-1"), other("n-2");
    Job& job = submitAndRun(deletedMachine, spec);
    const worker_api::StatusReport oldReport = deletedMachine.next();
    cluster->onMachineDeleted(cluster->indexOf("n-1"), clock.now());
    commit();
    EXPECT_EQ(job.boundCount, 0U);
    takeOver();
    deliver(oldReport);
    exchangeHeartbeat(other);
    place();
    Job& restoredJob = *cluster->find("run-1");
    commit();
    EXPECT_NE(cluster->machines()[restoredJob.tasks[0].machine].name, "n-2")
        << "the task may still run on n-1";
    EXPECT_EQ(cluster->findInconsistency(), "");
    for (Duration elapsed{}; elapsed < settings.lease + 2s; elapsed += 1s) {
        deliver(oldReport);
        exchangeHeartbeat(other);
        advanceBy(1s);
        place();
    }
    EXPECT_EQ(cluster->machines()[restoredJob.tasks[0].machine].name, "n-2");
    EXPECT_EQ(restoredJob.tasks[0].attempt, 2U)
        << "the attempt in the old report is not used again";
}

TEST_F(FaultInteractionTest, AMachineNotYetListedMayBeInAnyZoneUntilItReports) {
    // The machine was rented, was up within two seconds and got work from a leader that then ended.
    JobSpec spec = testing::spec("run-1", 2);
    spec.spread = true;
    Worker newMachine("n-1"), inZoneA("n-2"), inZoneB("n-3", "b");
    exchangeHeartbeat(newMachine);
    submit(spec);
    place();
    commit();
    exchangeHeartbeat(newMachine);
    takeOver();
    Job& job = *cluster->find("run-1");
    exchangeHeartbeat(inZoneA);
    exchangeHeartbeat(inZoneB);
    place();
    EXPECT_EQ(job.boundCount, 1U)
        << "the bound task is in zone a or in zone b, so neither may take another";
    exchangeHeartbeat(newMachine);
    place();
    ASSERT_EQ(job.boundCount, 2U);
    EXPECT_EQ(job.tasksPerZone, (std::map<std::string, std::uint32_t>{{"a", 1}, {"b", 1}}));
}

}  // namespace
}  // namespace basaltchute::scheduler
