#include <gtest/gtest.h>

#include <random>

#include "scheduler/cluster_fixture.h"

// Tests of the cluster's main rules: bindings and results on record, leases and incarnations,
// cancellation, take-over, placement, preemption and quarantine.

namespace basaltchute::scheduler {
namespace {

TEST_F(ClusterTest, TasksOnAnIncarnationKnownOnlyFromACommandResponseStayForAWholeLease) {
    // A worker's node was paused, its lease expired, and the leader learnt of the new incarnation
    // from the response to a probe. It launched a task there and half a second later, when the
    // lease of the former incarnation had surely ended, started the task elsewhere as well. Nothing
    // is launched any more on a machine whose reports are overdue. A new incarnation that begins
    // before they are overdue is still known from a response only.
    Worker worker("n-1"), other("n-2");
    exchangeHeartbeat(worker);
    clock.advance(settings.heartbeatInterval);
    worker.startIncarnation();
    cluster->onStatusReport(worker.next(), Cluster::ReportSource::commandResponse, clock.now());
    Job& job = submit(testing::spec("run-1", 1));
    place();
    commit();
    worker.execute(cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now()));
    ASSERT_EQ(worker.report.tasks.size(), 1U);
    exchangeHeartbeat(other);
    // The former incarnation's lease has ended by any clock.
    clock.advance(settings.lease - settings.heartbeatInterval + 1500ms);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(job.boundCount, 1U) << "the new incarnation has its own lease, which has not ended";
    EXPECT_EQ(job.tasks[0].machine, cluster->indexOf("n-1"));
    // Its reports are overdue by now. It responds to a probe with yet another incarnation and gets
    // no task.
    worker.startIncarnation();
    cluster->onStatusReport(worker.next(), Cluster::ReportSource::commandResponse, clock.now());
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(job.tasks[0].machine, cluster->indexOf("n-2"));
    clock.advance(settings.lease + 2s);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(job.boundCount, 0U);
}

TEST_F(ClusterTest, LaunchesOnlyBindingsThatAreOnRecord) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    submit(testing::spec("run-1"));
    place();
    EXPECT_TRUE(heartbeat(worker).empty()) << "the binding is not written yet";
    commit();
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::launch);
    EXPECT_EQ(attemptOf(commands[0]).attempt, 1U);
}

TEST_F(ClusterTest, AcceptanceAndBindingsAreCommittedInOneWrite) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    cluster->submit(testing::spec("run-1"), clock.now(), clock.wall());
    place();
    EXPECT_TRUE(heartbeat(worker).empty()) << "neither is on record yet";
    const auto dirty = cluster->takeEffects().dirtyRecords;
    for (const auto& d : dirty) EXPECT_EQ(d.first, dirty[0].first);
    const auto encoded = cluster->encode(dirty[0].first);
    ASSERT_TRUE(encoded);
    cluster->onRecordCommitted(dirty[0].first, encoded->version);
    EXPECT_EQ(heartbeat(worker).size(), 1U);
}

TEST_F(ClusterTest, RepeatsALaunchThatTheWorkerDroppedWithTheSameAttempt) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    submit(testing::spec("run-1"));
    place();
    commit();
    heartbeat(worker);  // the response is lost
    const auto again = heartbeat(worker);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(attemptOf(again[0]).attempt, 1U);
}

TEST_F(ClusterTest, DoesNotMoveATaskWhileItMayStillRun) {
    Worker worker("n-1"), other("n-2");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    const TimePoint last = clock.now();
    while (clock.now() - last < settings.lease) {
        clock.advance(1s);
        exchangeHeartbeat(other);
        cluster->advanceTo(clock.now());
        place();
        EXPECT_EQ(job.tasks[0].attempt, 1U);
    }
    clock.advance(1s);
    exchangeHeartbeat(other);
    cluster->advanceTo(clock.now());
    place();
    commit();
    EXPECT_EQ(job.tasks[0].attempt, 2U);
    const auto commands = heartbeat(other);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(attemptOf(commands[0]).attempt, 2U);
}

TEST_F(ClusterTest, ANewIncarnationProvesThatNothingRuns) {
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    worker.startIncarnation();
    heartbeat(worker);
    EXPECT_EQ(job.tasks[0].state, TaskState::waiting);
    EXPECT_EQ(job.runningCount, 0U);
}

TEST_F(ClusterTest, ADelayedReportFromAnEndedIncarnationChangesNothing) {
    Worker worker("n-1"), other("n-2");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    clock.advance(20s);
    exchangeHeartbeat(other);
    cluster->advanceTo(clock.now());
    place();
    commit();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_TRUE(heartbeat(worker).empty());  // sent before the partition, delivered after the lease
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(ClusterTest, AnEarlierAttemptsResultDoesNotHideWhereTheNextAttemptMayRun) {
    // A delayed report brings the result of an attempt that was given up, while the next attempt is
    // on a machine. When the task was then marked as done, its record no longer named that machine:
    // a new leader counted the task nowhere and acknowledged a cancellation as if nothing of it
    // were left.
    Worker worker("n-1"), other("n-2");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    clock.advance(20s);
    exchangeHeartbeat(other);
    cluster->advanceTo(clock.now());
    place();
    commit();
    exchangeHeartbeat(other);
    exchangeHeartbeat(other);
    ASSERT_EQ(other.report.tasks.size(), 1U);
    worker.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(worker);
    commit();
    EXPECT_EQ(job.doneCount, 0U);
    takeOver();
    Job& restored = *cluster->find("run-1");
    EXPECT_EQ(restored.boundCount, 1U);
    EXPECT_FALSE(restored.tasksPerZone.empty()) << "the next attempt may run on n-2";
    other.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(other);
    EXPECT_EQ(restored.doneCount, 1U);
}

TEST_F(ClusterTest, AJobWithAnUnreadableRecordIsKnownAsSuchAndStartsNothing) {
    submit(testing::spec("run-1"));
    submit(testing::spec("run-2"));
    cluster = makeCluster(6);
    for (const auto& [key, data] : records) {
        const bool first = key.find("run-1") != std::string::npos;
        EXPECT_EQ(
            cluster->loadRecord(key, first ? R"({"spec":7})" : data, clock.now(), clock.wall()),
            !first);
    }
    cluster->finishLoading(clock.now());
    EXPECT_TRUE(cluster->isUnreadable("run-1"));
    EXPECT_FALSE(cluster->isUnreadable("run-2"));
    EXPECT_FALSE(cluster->isUnreadable("run-3"));
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    place();
    EXPECT_EQ(cluster->find("run-1"), nullptr);
    EXPECT_EQ(cluster->find("run-2")->boundCount, 1U);
}

TEST_F(ClusterTest, ForgetsAResultOnlyOnceItIsOnRecord) {
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    worker.set(0, TaskStatus::exited, ExitCause::done);
    EXPECT_TRUE(heartbeat(worker).empty());
    EXPECT_TRUE(job.allDone());
    EXPECT_FALSE(job.doneDurable()) << "no user may see the result before it is on record";
    commit();
    EXPECT_TRUE(job.doneDurable());
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::forget);
}

TEST_F(ClusterTest, AnUnansweredDirectLaunchStaysAllocatedAndIsForgottenUnderAHigherTokenOnly) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    const auto machineIndex = *cluster->machines().find("n-1");
    ASSERT_EQ(cluster->takeDirectCommands(machineIndex, clock.now()).size(), 1U);
    // The launch was sent but got no response: it may arrive minutes later.
    cluster->onDirectCommandEnded(machineIndex, true);
    cluster->cancel(job, clock.now());
    commit();
    // The worker gets the launch and the stop together, so that a late launch is only a duplicate.
    auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::launch);
    EXPECT_EQ(kindOf(commands[1]), CommandKind::stop);
    EXPECT_EQ(cluster->machines()[machineIndex].allocations.size(), 1U);
    worker.execute(commands);
    const FencingToken launchToken = cluster->commandToken(machineIndex);
    EXPECT_TRUE(heartbeat(worker).empty()) << "its end is not on record yet";
    commit();
    commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::forget);
    EXPECT_GT(cluster->commandToken(machineIndex), launchToken)
        << "under the same token the late launch could start the task again";
    EXPECT_TRUE(cluster->machines()[machineIndex].allocations.empty());
}

TEST_F(ClusterTest, ADirectReportDoesNotDisproveALaunchInAHeartbeatResponse) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    heartbeat(worker);  // this response carries the launch
    cluster->cancel(job, clock.now());
    commit();
    const auto machineIndex = *cluster->machines().find("n-1");
    cluster->onStatusReport(worker.next(), Cluster::ReportSource::commandResponse, clock.now());
    EXPECT_EQ(cluster->machines()[machineIndex].allocations.size(), 1U);
    heartbeat(worker);  // sent only after the earlier response was executed or lost
    EXPECT_TRUE(cluster->machines()[machineIndex].allocations.empty());
}

TEST_F(ClusterTest, ACancellationIsCommittedOnceRemainingTasksAreSureToEndInTime) {
    // In a zone delegated for longer than the time promised to users, a task could still run after
    // its cancellation was acknowledged.
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    commit();
    EXPECT_FALSE(job.cancelDurable()) << "rig-1 may hold a former leader's delegation";
    clock.advance(1s);
    cluster->advanceTo(clock.now());
    commit();
    EXPECT_FALSE(job.cancelDurable());
    EXPECT_NE(records.at("jobs/run-1").find("withdrawing"), std::string::npos)
        << "a new leader must not start the job again";
    EXPECT_GT(cluster->timeUntilAcknowledgeable(job, clock.now()), 0s);
    EXPECT_LE(cluster->latestDelegationEnd("a", clock.now()), clock.now() + settings.cancelWithin);
    EXPECT_EQ(cluster->latestDelegationEnd("b", clock.now()), TimePoint::max());
    worker.execute(heartbeat(worker));
    heartbeat(worker);  // reports that the task is gone
    cluster->advanceTo(clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    EXPECT_EQ(cluster->latestDelegationEnd("a", clock.now()), TimePoint::max());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->cancelDurable());
}

TEST_F(ClusterTest, APendingCancellationSurvivesATakeOverAndIsThenAcknowledgedWhenAllowed) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker worker("n-1");
    submitAndRun(worker, testing::spec("run-1"));
    cluster->cancel(*cluster->find("run-1"), clock.now());
    clock.advance(1s);
    cluster->advanceTo(clock.now());
    commit();
    takeOver();  // the new leader delegates nothing
    Job& job = *cluster->find("run-1");
    EXPECT_TRUE(cluster->openJobs().empty());
    cluster->advanceTo(clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
}

TEST_F(ClusterTest, ATaskFoundAfterItsCancellationWasAcknowledgedEndsTheDelegationsOfItsZone) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    Job& job = submit(testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    commit();
    cluster->acknowledgeCancellation(job, clock.now());
    cluster->setDelegator(delegator);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(cluster->latestDelegationEnd("a", clock.now()), TimePoint::max())
        << "no task of the job can be on any machine";
    clock.advance(1h);
    worker.report.tasks.push_back({"run-1", 0, 1, TaskStatus::running, ExitCause::other, false});
    heartbeat(worker);
    EXPECT_LT(cluster->latestDelegationEnd("a", clock.now()), clock.now());
}

TEST_F(ClusterTest, AnUnresponsiveMachinesTasksStayWhileADelegateMayHaveRenewedItsLease) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    const auto unresponsiveFor = [&](Duration span) {
        for (Duration elapsed{}; elapsed < span; elapsed += 1s) {
            clock.advance(1s);
            cluster->advanceTo(clock.now());
        }
    };
    unresponsiveFor(settings.lease + 2s);
    EXPECT_EQ(job.boundCount, 1U) << "the end of one lease is not enough";
    unresponsiveFor(terms.maxDuration - 3s);
    EXPECT_EQ(job.boundCount, 1U);
    unresponsiveFor(3s);
    EXPECT_EQ(job.boundCount, 0U)
        << "the task is released one lease after the end of the longest delegation";
}

TEST_F(ClusterTest, ACancelledJobsStatusNeverChangesBack) {
    Worker worker("n-1");
    Job& job = submitAndRun(worker, testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    EXPECT_FALSE(job.cancelDurable());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    worker.set(0, TaskStatus::exited, ExitCause::done);  // it finished before the stop arrived
    heartbeat(worker);
    EXPECT_TRUE(job.cancelDurable());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->cancelDurable());
}

TEST_F(ClusterTest, AfterTakeOverOnlyAnUnresponsiveMachinesTasksWaitForItsLease) {
    Worker a("n-1"), b("n-2");
    exchangeHeartbeat(a);
    exchangeHeartbeat(b);
    submit(testing::spec("run-1", 4));
    place();
    commit();
    for (int i = 0; i < 2; ++i) {
        exchangeHeartbeat(a);
        exchangeHeartbeat(b);
    }
    commit();
    ASSERT_EQ(a.report.tasks.size(), 2U);
    takeOver();
    Job& job = *cluster->find("run-1");
    exchangeHeartbeat(a);  // n-2 stays unresponsive
    EXPECT_EQ(job.runningCount, 2U) << "the tasks that n-1 reports are adopted at once";
    submit(testing::spec("run-2"));
    a.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(a);
    place();
    EXPECT_EQ(cluster->find("run-2")->boundCount, 1U) << "placed before n-2 reports";
    EXPECT_EQ(job.boundCount, 3U);
    clock.advance(settings.lease + 1s);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(job.boundCount, 0U);
}

TEST_F(ClusterTest, AfterTakeOverABindingThatIsNotReportedIsReleasedOnceTheWorkerKnowsTheToken) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    submit(testing::spec("run-1"));
    place();
    commit();  // bound on record, but not launched
    takeOver();
    Job& job = *cluster->find("run-1");
    EXPECT_TRUE(heartbeat(worker).empty());
    EXPECT_EQ(job.boundCount, 1U) << "a command of the former leader may still arrive";
    heartbeat(worker);
    EXPECT_EQ(job.boundCount, 0U);
    place();
    EXPECT_EQ(job.tasks[0].attempt, 2U) << "an attempt is never used twice";
}

TEST_F(ClusterTest, AReportedTaskWithoutABindingIsAdoptedOnItsMachine) {
    Worker worker("n-1");
    submit(testing::spec("run-1"));
    worker.report.tasks.push_back({"run-1", 0, 3, TaskStatus::running, ExitCause::other, false});
    EXPECT_TRUE(heartbeat(worker).empty());
    const Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.tasks[0].attempt, 3U);
    EXPECT_EQ(job.runningCount, 1U);
}

TEST_F(ClusterTest, UnknownTasksAreStopped) {
    Worker worker("n-1");
    worker.report.tasks.push_back({"run-9", 0, 1, TaskStatus::running, ExitCause::other, false});
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::stop);
}

TEST_F(ClusterTest, TeamLimitsCountTasksThatMayStillRun) {
    Worker worker("n-1"), other("n-2"), newWorker("n-3");
    JobSpec s = testing::spec("run-1", 4);
    s.team = "blue";  // at most 16 cores
    exchangeHeartbeat(worker);
    exchangeHeartbeat(other);
    submit(s);
    place();
    commit();
    exchangeHeartbeat(worker);
    exchangeHeartbeat(other);
    clock.advance(8s);  // both are unresponsive, and neither lease has ended
    exchangeHeartbeat(newWorker);
    s.id = "run-2";
    Job& second = submit(s);
    place();
    EXPECT_EQ(second.boundCount, 0U);
}

TEST_F(ClusterTest, SpreadLimitsTheTasksOfAJobPerZone) {
    Worker worker("n-1", "a"), other("n-2", "a");
    JobSpec s = testing::spec("run-1", 3);
    s.spread = true;
    exchangeHeartbeat(worker);
    exchangeHeartbeat(other);
    Job& job = submit(s);
    place();
    EXPECT_EQ(job.boundCount, 2U) << "two of three, rounded up, in one zone";
    Worker b("n-3", "b");
    exchangeHeartbeat(b);
    place();
    EXPECT_EQ(job.boundCount, 3U);
}

TEST_F(ClusterTest, PlacesOnlyInTheRequiredZoneAndNotOnSpotUnlessAllowed) {
    Worker spot("n-1", "a", true), zoneA("n-2", "a");
    exchangeHeartbeat(spot);
    exchangeHeartbeat(zoneA);
    JobSpec s = testing::spec("run-1");
    s.spotAllowed = false;
    s.zone = "b";
    Job& job = submit(s);
    place();
    EXPECT_EQ(job.boundCount, 0U);
    Worker zoneB("n-3", "b");
    exchangeHeartbeat(zoneB);
    place();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-3");
}

TEST_F(ClusterTest, AGangStartsTogetherOrNotAtAll) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    JobSpec s = testing::spec("run-1", 3);
    s.shape = Shape::gang;
    Job& job = submit(s);
    place();
    EXPECT_EQ(job.boundCount, 0U);
    Worker other("n-2");
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(job.boundCount, 3U);
    commit();
    EXPECT_EQ(heartbeat(worker).size() + heartbeat(other).size(), 3U);
}

TEST_F(ClusterTest, ProductionPreemptsOnlyAsManyLowerTasksAsNeededAndLeavesTimeForACheckpoint) {
    Worker worker("n-1");
    JobSpec low = testing::spec("run-1", 2);
    low.checkpointIntervalS = 10;
    low.checkpointDurationS = 5;
    Job& preempted = submitAndRun(worker, low);
    JobSpec same = testing::spec("run-2");
    submit(same);
    place();
    EXPECT_TRUE(heartbeat(worker).empty()) << "equal priority is not preempted";
    JobSpec high = testing::spec("run-3");
    high.priority = Priority::production;
    submit(high);
    place();
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U) << "one task is enough";
    EXPECT_EQ(kindOf(commands[0]), CommandKind::stop);
    EXPECT_GE(std::get<StopTask>(commands[0]).gracePeriod, 5s);
    worker.execute(commands);
    heartbeat(worker);
    place();
    EXPECT_EQ(cluster->find("run-3")->boundCount, 1U);
    EXPECT_EQ(preempted.boundCount, 1U);
}

TEST_F(ClusterTest, ATaskPreemptedBeforeItsLaunchWasSentFreesItsCapacityAtOnce) {
    // Such tasks once stayed marked as stopping for ever: never launched, so never reported and
    // never released.
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    Job& low = submit(testing::spec("run-1", 2));
    place();
    JobSpec high = testing::spec("run-2", 2);
    high.priority = Priority::production;
    Job& preempting = submit(high);
    place();
    place();
    EXPECT_EQ(preempting.boundCount, 2U);
    EXPECT_EQ(low.waitingCount(), 2U);
    commit();
    exchangeHeartbeat(worker);
    EXPECT_EQ(worker.report.tasks.size(), 2U);
    EXPECT_EQ(worker.report.tasks[0].job, "run-2");
}

TEST_F(ClusterTest, AGangThatLosesATaskToAHigherPriorityIsStoppedEntirely) {
    Worker worker("n-1"), other("n-2");
    JobSpec gang = testing::spec("run-1", 4);
    gang.shape = Shape::gang;
    exchangeHeartbeat(worker);
    exchangeHeartbeat(other);
    submit(gang);
    place();
    commit();
    for (int i = 0; i < 2; ++i) {
        exchangeHeartbeat(worker);
        exchangeHeartbeat(other);
    }
    JobSpec high = testing::spec("run-2");
    high.priority = Priority::production;
    submit(high);
    place();
    EXPECT_EQ(heartbeat(worker).size() + heartbeat(other).size(), 4U);
}

TEST_F(ClusterTest, ALargeArrayOnFaultyMachinesIsNotCrashLooping) {
    // With dozens of machines faulty at once, a large array fails on several of them. It was then
    // treated as a crash-looping job, and the machines went on failing the tasks of all jobs.
    std::vector<Worker> workers;
    for (int i = 0; i < 6; ++i) workers.emplace_back("n-" + std::to_string(i));
    exchangeHeartbeat(workers[4]);
    exchangeHeartbeat(workers[5]);
    Job& job = submit(testing::spec("run-1", 12));
    place();
    commit();
    for (int i = 0; i < 5; ++i) {  // the two healthy machines run their tasks for a while
        for (std::size_t healthy = 4; healthy < 6; ++healthy) exchangeHeartbeat(workers[healthy]);
        clock.advance(4s);
    }
    for (auto& worker : workers) exchangeHeartbeat(worker);
    place();
    commit();
    for (auto& worker : workers) exchangeHeartbeat(worker);
    for (auto& worker : workers) exchangeHeartbeat(worker);
    clock.advance(1s);
    for (std::size_t i = 0; i < 4; ++i) {
        for (std::size_t t = 0; t < 2; ++t) workers[i].set(t, TaskStatus::exited, ExitCause::error);
        exchangeHeartbeat(workers[i]);
    }
    EXPECT_LE(job.backOffUntil, clock.now());
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_EQ(cluster->machines()[cluster->indexOf(workers[i].report.machine)].quarantined,
                  i < 4)
            << i;
}

TEST_F(ClusterTest, AJobThatRunsForAWhileBeforeItFailsQuarantinesNoMachine) {
    // The tasks that had not failed yet once counted as healthy, so that each machine on which the
    // others failed was considered faulty.
    std::vector<Worker> workers;
    for (int i = 0; i < 6; ++i) workers.emplace_back("n-" + std::to_string(i));
    for (auto& worker : workers) exchangeHeartbeat(worker);
    Job& broken = submit(testing::spec("run-1", 12));
    place();
    commit();
    for (int i = 0; i < 6; ++i) {
        for (auto& worker : workers) exchangeHeartbeat(worker);
        clock.advance(4s);
    }
    for (auto& worker : workers) {
        for (std::size_t t = 0; t < 2; ++t) worker.set(t, TaskStatus::exited, ExitCause::error);
        exchangeHeartbeat(worker);
        clock.advance(500ms);
    }
    EXPECT_TRUE(broken.crashLooping);
    EXPECT_GT(broken.backOffUntil, clock.now());
    for (const auto& m : cluster->machines()) EXPECT_FALSE(m.quarantined) << m.name;
}

TEST_F(ClusterTest, AResultIsForgottenOnceItIsOnRecordEvenIfTheRecordHasChangedAgain) {
    // The record of a large array always changes again before it is committed. Results that waited
    // for an unchanged record stayed in the reports until these were too large to be accepted, and
    // the worker lost its lease and all its tasks.
    Worker worker("n-1");
    JobSpec s = testing::spec("run-1", 20);
    s.demand = {0.25, 0, 0.5};
    Job& job = submitAndRun(worker, s);
    worker.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(worker);
    const auto resultVersion = cluster->encode("jobs/run-1")->version;
    worker.set(1, TaskStatus::exited, ExitCause::done);
    heartbeat(worker);  // the record changes again before the first result is on record
    cluster->onRecordCommitted("jobs/run-1", resultVersion);
    ASSERT_LT(job.layout.head().durableVersion, job.layout.head().version);
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U) << "the second result is not on record yet";
    EXPECT_EQ(kindOf(commands[0]), CommandKind::forget);
    EXPECT_EQ(attemptOf(commands[0]).task, 0U);
}

TEST_F(ClusterTest, AMachineWhoseReportIsNearlyFullGetsNoMoreTasks) {
    Worker worker("n-1");
    worker.report.bytes = 47 * 1024;
    exchangeHeartbeat(worker);
    JobSpec s = testing::spec("run-1", 100);
    s.demand = {0.01, 0, 0.01};
    Job& job = submit(s);
    place();
    EXPECT_GT(job.boundCount, 0U);
    EXPECT_LT(job.boundCount, 20U) << "the bound tasks will take space in the report as well";
    worker.report.bytes = 60 * 1024;
    commit();
    exchangeHeartbeat(worker);
    const auto bound = job.boundCount;
    place();
    EXPECT_EQ(job.boundCount, bound);
    worker.report.bytes = 1024;
    exchangeHeartbeat(worker);
    place();
    EXPECT_EQ(job.waitingCount(), 0U);
}

TEST_F(ClusterTest, APreemptedJobDoesNotTakeTheReclaimedCapacityBack) {
    // Tasks bound at low priority were preempted before their launch and bound to the same capacity
    // again in the same placement pass, and so on in each pass: 600,000 bindings for 47,000 starts
    // on one day.
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    JobSpec opportunistic = testing::spec("run-1", 64);
    opportunistic.priority = Priority::low;
    opportunistic.demand = {0.25, 0, 0.5};
    Job& low = submit(opportunistic);
    place();  // 32 of them fill the machine
    commit();
    exchangeHeartbeat(worker);
    exchangeHeartbeat(worker);
    JobSpec more = testing::spec("run-2");
    more.demand = {8, 0, 16};
    Job& high = submit(more);
    std::uint64_t attempts = 0;
    const auto totalAttempts = [&] {
        std::uint64_t sum = 0;
        for (const auto& t : low.tasks) sum += t.attempt;
        return sum;
    };
    place();
    attempts = totalAttempts();
    for (int i = 0; i < 5; ++i) {
        clock.advance(200ms);
        place();
    }
    EXPECT_EQ(totalAttempts(), attempts) << "no task is bound to capacity that is being reclaimed";
    exchangeHeartbeat(worker);  // the worker receives the stop commands
    for (auto& t : worker.report.tasks) t.status = TaskStatus::exited, t.cause = ExitCause::stopped;
    exchangeHeartbeat(worker);
    place();
    EXPECT_EQ(high.boundCount, 1U);
}

TEST_F(ClusterTest, JobsWithoutAnObjectiveArePlacedAfterJobsThatCanMeetOne) {
    // Jobs without an objective counted as the oldest and filled all idle capacity for
    // a long time. The short jobs of an opportunistic team waited behind them, and only 0.29 of
    // those were in time.
    settings.objectives = {{"finished", "c", 400s, 0.9}};
    JobSpec withoutObjective = testing::spec("run-1", 2);
    withoutObjective.jobClass = "other";
    expectSecondJobPlacedFirst(withoutObjective, 300s);
    clock.advance(700s);  // it is still placed eventually
    submit(testing::spec("run-3", 2));
    Worker other("n-2");
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->find("run-1")->boundCount, 2U);
}

TEST_F(ClusterTest, AJobThatCanStillMeetItsObjectiveIsPlacedBeforeOneThatMissedIt) {
    settings.objectives = {{"wait", "c", 15s, 0.8}};
    expectSecondJobPlacedFirst(testing::spec("run-1", 2), 20s);
}

TEST_F(ClusterTest, WhenNotAllJobsCanMeetTheirObjectiveTheLargestIsPlacedLast) {
    // In a burst, placing jobs in the order of their due times made all of them late.
    settings.objectives = {{"wait", "c", 15s, 0.8}};
    Worker worker("n-1");
    submitAndRun(worker, testing::spec("run-1", 2));  // 8 cores for 10 s: 12 become free in 15 s
    submit(testing::spec("run-2", 4));                // would need 16
    clock.advance(1s);
    submit(testing::spec("run-3", 1));
    submit(testing::spec("run-4", 1));
    exchangeHeartbeat(worker);
    place();
    worker.set(0, TaskStatus::exited, ExitCause::done);
    worker.set(1, TaskStatus::exited, ExitCause::done);
    exchangeHeartbeat(worker);
    place();
    EXPECT_EQ(cluster->find("run-3")->boundCount, 1U);
    EXPECT_EQ(cluster->find("run-4")->boundCount, 1U);
    EXPECT_EQ(cluster->find("run-2")->boundCount, 0U);
}

TEST_F(ClusterTest, KeepsCapacityFreeForReplicasOnMachinesThatHaveTheirImage) {
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    Worker worker("n-1"), other("n-2"), spot("n-3", "a", true);
    JobSpec web = testing::spec("run-1");
    web.jobClass = "web";
    web.shape = Shape::service;
    web.priority = Priority::production;
    web.spotAllowed = false;
    web.demand = {2, 0, 2};
    web.image = "img-web";
    submitAndRun(worker, web);
    exchangeHeartbeat(other);
    Job& batch = submit(testing::spec("run-2", 4));
    place();
    EXPECT_EQ(batch.boundCount, 2U)
        << "n-2 lacks the image and is filled; n-1 has it and keeps its warm capacity free";
    exchangeHeartbeat(spot);
    place();
    EXPECT_EQ(batch.boundCount, 4U);
}

TEST_F(ClusterTest, AReplicaIsPlacedFirstOnAMachineWithFewOtherImages) {
    // Capacity on machines with many images was given to any replica. A tenth of the replicas then
    // found no free machine that had their image and started late.
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    Worker workerWithTwoImages("n-1"), workerWithOneImage("n-2", "b");
    JobSpec web = testing::spec("run-1", 1);
    web.jobClass = "web";
    web.shape = Shape::service;
    web.priority = Priority::production;
    web.spotAllowed = false;
    web.demand = {2, 0, 2};
    web.image = "img-a";
    submitAndRun(workerWithTwoImages, web);
    web.id = "run-2";
    web.image = "img-b";
    submitAndRun(workerWithTwoImages, web);
    web.id = "run-3";
    web.image = "img-a";
    web.zone = "b";
    submitAndRun(workerWithOneImage, web);
    web.id = "run-4";
    web.zone.reset();
    const Job& next = submit(web);
    place();
    ASSERT_EQ(next.boundCount, 1U);
    EXPECT_EQ(next.tasks[0].machine, *cluster->machines().find("n-2"))
        << "n-2 is preferred although n-1 is fuller";
}

TEST_F(ClusterTest, ATaskOnAnInterruptedSpotMachineWritesItsCheckpointAsLateAsItCan) {
    Worker worker("n-1");
    JobSpec s = testing::spec("run-1");
    s.checkpointIntervalS = 10;
    s.checkpointDurationS = 4;
    submitAndRun(worker, s);
    worker.report.interruptionNotice = 15s;
    heartbeat(worker);
    cluster->advanceTo(clock.now());
    EXPECT_TRUE(heartbeat(worker).empty())
        << "the task may still finish before its checkpoint has to start";
    clock.advance(9s);
    worker.report.interruptionNotice = 6s;
    cluster->advanceTo(clock.now());
    const auto commands = heartbeat(worker);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_GE(std::get<StopTask>(commands[0]).gracePeriod, 4s);
}

TEST_F(ClusterTest, AMachineThatFailsSeveralJobsIsQuarantined) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    submit(testing::spec("run-1"));
    submit(testing::spec("run-2"));
    place();
    commit();
    exchangeHeartbeat(worker);
    worker.set(0, TaskStatus::exited, ExitCause::error);
    worker.set(1, TaskStatus::exited, ExitCause::error);
    exchangeHeartbeat(worker);
    EXPECT_TRUE(cluster->machines()[0].quarantined);
    clock.advance(2min);
    exchangeHeartbeat(worker);
    place();
    EXPECT_EQ(cluster->find("run-1")->boundCount, 0U);
}

TEST_F(ClusterTest, ACrashLoopingJobBacksOffAndQuarantinesNoMachine) {
    std::vector<Worker> workers{Worker("n-1"), Worker("n-2"), Worker("n-3")};
    for (auto& worker : workers) exchangeHeartbeat(worker);
    Job& job = submit(testing::spec("run-1"));
    for (int round = 0; round < 6; ++round) {
        clock.advance(11s);
        for (auto& worker : workers) exchangeHeartbeat(worker);
        place();
        commit();
        for (auto& worker : workers) {
            exchangeHeartbeat(worker);
            for (std::size_t t = 0; t < worker.report.tasks.size(); ++t)
                worker.set(t, TaskStatus::exited, ExitCause::error);
            exchangeHeartbeat(worker);
            commit();
            exchangeHeartbeat(worker);
        }
    }
    EXPECT_GE(job.failures, 3U);
    EXPECT_GT(job.backOffUntil, clock.now() - 60s);
    for (const auto& m : cluster->machines()) EXPECT_FALSE(m.quarantined);
}

TEST_F(ClusterTest, LargeArraysAreStoredInSeveralRecordsAndRestored) {
    Worker worker("n-1");
    exchangeHeartbeat(worker);
    JobSpec s = testing::spec("run-1", 2000);
    s.demand = {0.01, 0, 0.01};
    submit(s);
    for (int i = 0; i < 12; ++i) {
        place();
        commit();
        exchangeHeartbeat(worker);
    }
    for (std::size_t t = 0; t < 700; ++t) worker.set(t, TaskStatus::exited, ExitCause::done);
    heartbeat(worker);
    commit();
    EXPECT_GT(records.size(), 1U);
    for (const auto& [key, data] : records) EXPECT_LE(data.size(), settings.valueBytes) << key;
    const auto before = cluster->find("run-1")->doneCount;
    EXPECT_EQ(before, 700U);
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->doneCount, before);
}

TEST_F(ClusterTest, IndexesStayConsistentUnderRandomOperations) {
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    std::mt19937 random(20261201);
    const auto randomBelow = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    std::vector<Worker> workers;
    std::vector<JobId> ids;
    for (int step = 0; step < 3000; ++step) {
        const std::size_t operation = randomBelow(20);
        if (operation == 0 || workers.size() < 4) {
            workers.emplace_back("n-" + std::to_string(workers.size()),
                                 randomBelow(2) == 0 ? "a" : "b", randomBelow(3) == 0);
        } else if (operation < 3 && ids.size() < 200) {
            JobSpec s = testing::spec("run-" + std::to_string(ids.size()),
                                      1 + static_cast<std::uint32_t>(randomBelow(6)));
            s.priority = static_cast<Priority>(randomBelow(4));
            s.team = randomBelow(2) == 0 ? "red" : "blue";
            s.demand = {1.0 + static_cast<double>(randomBelow(4)), 0,
                        1.0 + static_cast<double>(randomBelow(9))};
            s.image = "img-" + std::to_string(randomBelow(3));
            s.spread = randomBelow(3) == 0;
            s.sameZone = !s.spread && randomBelow(4) == 0;
            s.spotAllowed = randomBelow(2) == 0;
            s.checkpointIntervalS = randomBelow(2) == 0 ? 10 : 0;
            if (randomBelow(4) == 0) {
                s.shape = Shape::service;
                s.jobClass = "web";
                s.spotAllowed = false;
            } else if (randomBelow(6) == 0) {
                s.shape = Shape::gang;
            }
            if (cluster->submit(s, clock.now(), clock.wall()) == SubmitResult::accepted)
                ids.push_back(s.id);
        } else if (operation < 6) {
            place();
        } else if (operation < 9) {
            commit();
        } else if (operation == 9 && !ids.empty()) {
            cluster->cancel(*cluster->find(ids[randomBelow(ids.size())]), clock.now());
        } else if (operation == 10) {
            clock.advance(std::chrono::milliseconds(200 * randomBelow(20)));
            cluster->advanceTo(clock.now());
        } else if (operation == 11 && randomBelow(12) == 0) {
            cluster->onMachineDeleted(
                cluster->indexOf(workers[randomBelow(workers.size())].report.machine), clock.now());
        } else if (operation == 11 && randomBelow(12) == 0) {
            commit();
            takeOver();
        } else if (operation == 12 && randomBelow(4) == 0) {
            cluster->setDraining(
                cluster->indexOf(workers[randomBelow(workers.size())].report.machine),
                randomBelow(2) == 0);
        } else {
            Worker& worker = workers[randomBelow(workers.size())];
            if (randomBelow(30) == 0) worker.startIncarnation();
            if (randomBelow(60) == 0) worker.report.interruptionNotice = 20s;
            for (std::size_t t = 0; t < worker.report.tasks.size(); ++t) {
                if (worker.report.tasks[t].status == TaskStatus::exited || randomBelow(6) != 0)
                    continue;
                const std::size_t outcome = randomBelow(10);
                worker.set(t, outcome == 0 ? TaskStatus::pulling : TaskStatus::exited,
                           outcome < 7    ? ExitCause::done
                           : outcome == 7 ? ExitCause::error
                           : outcome == 8 ? ExitCause::full
                                          : ExitCause::stopped);
            }
            exchangeHeartbeat(worker);
        }
        ASSERT_EQ(cluster->findInconsistency(), "") << "after step " << step;
    }
    EXPECT_GT(cluster->jobCount(), 50U);
}

TEST_F(ClusterTest, HeartbeatsAndPlacementVisitNoMoreMachinesInALargeCluster) {
    // Each placement pass once visited every machine and all its allocations, which at some hundred
    // machines used up the leader's share of a core.
    settings.teams.push_back({"green", 0, 0, 0, 0});
    const auto visitsIn = [&](std::size_t machines) {
        cluster = makeCluster(5);
        std::vector<Worker> workers;
        for (std::size_t i = 0; i < machines; ++i) {
            workers.emplace_back("n-" + std::to_string(i), i % 2 == 0 ? "a" : "b", i % 3 == 0);
            exchangeHeartbeat(workers.back());
        }
        JobSpec filler = testing::spec("run-0", static_cast<std::uint32_t>(machines) * 2 - 4);
        filler.team = "green";
        submit(filler);
        place();
        commit();
        for (int round = 0; round < 3; ++round)
            for (auto& worker : workers) exchangeHeartbeat(worker);
        EXPECT_EQ(cluster->find("run-0")->runningCount, filler.tasks);
        place();  // processes the changes from the launches
        std::uint64_t before = cluster->visitedMachines();
        for (auto& worker : workers) exchangeHeartbeat(worker);
        place();
        EXPECT_EQ(cluster->visitedMachines(), before)
            << "heartbeats without changes visit no machine";
        JobSpec web = testing::spec("run-1", 3);
        web.team = "green";
        submit(web);
        before = cluster->visitedMachines();
        place();
        EXPECT_EQ(cluster->find("run-1")->boundCount, 3U);
        // The cluster is full: few visits are enough to find that out.
        JobSpec more = testing::spec("run-2", 500);
        more.team = "green";
        submit(more);
        place();
        return cluster->visitedMachines() - before;
    };
    const auto small = visitsIn(20), large = visitsIn(2000);
    EXPECT_LE(large, small + 4);
    EXPECT_LE(large, 30U);
}

}  // namespace
}  // namespace basaltchute::scheduler
