#include <gtest/gtest.h>

#include <random>

#include "scheduler/cluster_fixture.h"

namespace basaltchute::scheduler {
namespace {

TEST_F(ClusterTest, AnIncarnationLivesForALeaseThoughItIsKnownByAResponseOnly) {
    // Found in the lab: the worker's node stood still, its lease ran out, and the leader learnt of
    // its new incarnation by a probe. Work launched there was started elsewhere too, half a second
    // later, when the lease of the former incarnation had surely ended. Since then nothing is
    // launched where reports are overdue; one that begins before they are is known by a response
    // still.
    Worker w("n-1"), other("n-2");
    exchangeHeartbeat(w);
    clock.advance(settings.heartbeatInterval);
    w.newSession();
    cluster->onStatusReport(w.next(), Cluster::ReportSource::commandResponse, clock.now());
    Job& job = submit(testing::spec("run-1", 1));
    place();
    commit();
    w.execute(cluster->takeDirectCommands(cluster->indexOf("n-1"), clock.now()));
    ASSERT_EQ(w.report.tasks.size(), 1U);
    exchangeHeartbeat(other);
    // The former incarnation's lease has ended by any clock.
    clock.advance(settings.lease - settings.heartbeatInterval + 1500ms);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(job.boundCount, 1U) << "it lives on, and nothing has arrived since";
    EXPECT_EQ(job.tasks[0].machine, cluster->indexOf("n-1"));
    // Its reports are overdue by now: it is probed, answers with one more incarnation, and gets
    // nothing.
    w.newSession();
    cluster->onStatusReport(w.next(), Cluster::ReportSource::commandResponse, clock.now());
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(job.tasks[0].machine, cluster->indexOf("n-2"));
    clock.advance(settings.lease + 2s);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(job.boundCount, 0U);
}

TEST_F(ClusterTest, LaunchesOnlyBindingsThatAreOnRecord) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(testing::spec("run-1"));
    place();
    EXPECT_TRUE(heartbeat(w).empty()) << "the binding is not written yet";
    commit();
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::launch);
    EXPECT_EQ(attemptOf(commands[0]).attempt, 1U);
}

TEST_F(ClusterTest, AcceptanceAndBindingsAreOneWrite) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    cluster->submit(testing::spec("run-1"), clock.now(), clock.wall());
    place();
    EXPECT_TRUE(heartbeat(w).empty()) << "neither is on record yet";
    const auto dirty = cluster->takeEffects().dirtyRecords;
    for (const auto& d : dirty) EXPECT_EQ(d.first, dirty[0].first);
    const auto encoded = cluster->encode(dirty[0].first);
    ASSERT_TRUE(encoded);
    cluster->onRecordCommitted(dirty[0].first, encoded->version);
    EXPECT_EQ(heartbeat(w).size(), 1U);
}

TEST_F(ClusterTest, RepeatsALaunchThatTheWorkerDroppedWithTheSameAttempt) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(testing::spec("run-1"));
    place();
    commit();
    heartbeat(w);  // the answer is lost
    const auto again = heartbeat(w);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(attemptOf(again[0]).attempt, 1U);
}

TEST_F(ClusterTest, DoesNotMoveATaskWhileItMayStillRun) {
    Worker w("n-1"), other("n-2");
    Job& job = submitAndRun(w, testing::spec("run-1"));
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
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    w.newSession();
    heartbeat(w);
    EXPECT_EQ(job.tasks[0].state, TaskState::waiting);
    EXPECT_EQ(job.runningCount, 0U);
}

TEST_F(ClusterTest, ADelayedReportFromAnEndedIncarnationChangesNothing) {
    Worker w("n-1"), other("n-2");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    clock.advance(20s);
    exchangeHeartbeat(other);
    cluster->advanceTo(clock.now());
    place();
    commit();
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
    EXPECT_TRUE(heartbeat(w).empty());  // sent before the cut, delivered after the lease
    EXPECT_EQ(cluster->machines()[job.tasks[0].machine].name, "n-2");
}

TEST_F(ClusterTest, AnEarlierAttemptsResultDoesNotHideWhereTheNextOneMayBe) {
    // A report that was held back brings the result of an attempt that was given up, while the next
    // one is on a machine. Called done, its record no longer said where: a successor counted it
    // nowhere, and the cancellation was acknowledged as if nothing of it were left.
    Worker w("n-1"), other("n-2");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    clock.advance(20s);
    exchangeHeartbeat(other);
    cluster->advanceTo(clock.now());
    place();
    commit();
    exchangeHeartbeat(other);
    exchangeHeartbeat(other);
    ASSERT_EQ(other.report.tasks.size(), 1U);
    w.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(w);
    commit();
    EXPECT_EQ(job.doneCount, 0U);
    takeOver();
    Job& known = *cluster->find("run-1");
    EXPECT_EQ(known.boundCount, 1U);
    EXPECT_FALSE(known.tasksPerZone.empty()) << "it may be on n-2";
    other.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(other);
    EXPECT_EQ(known.doneCount, 1U);
}

TEST_F(ClusterTest, AJobWhoseRecordCannotBeReadIsKnownAndStartsNothing) {
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
    Worker w("n-1");
    exchangeHeartbeat(w);
    place();
    EXPECT_EQ(cluster->find("run-1"), nullptr);
    EXPECT_EQ(cluster->find("run-2")->boundCount, 1U);
}

TEST_F(ClusterTest, ForgetsAResultOnlyOnceItIsOnRecord) {
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    w.set(0, TaskStatus::exited, ExitCause::done);
    EXPECT_TRUE(heartbeat(w).empty());
    EXPECT_TRUE(job.allDone());
    EXPECT_FALSE(job.doneDurable()) << "no user may see it yet";
    commit();
    EXPECT_TRUE(job.doneDurable());
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::forget);
}

TEST_F(ClusterTest, AnUnansweredDirectLaunchStaysAllocatedAndIsNeverForgotten) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    const auto m = *cluster->machines().find("n-1");
    ASSERT_EQ(cluster->takeDirectCommands(m, clock.now()).size(), 1U);
    cluster->onDirectCommandEnded(m, true);  // sent, no answer: it may arrive minutes later
    cluster->cancel(job, clock.now());
    commit();
    // Made known and ended in one go, so that the late launch is a repetition.
    auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::launch);
    EXPECT_EQ(kindOf(commands[1]), CommandKind::stop);
    EXPECT_EQ(cluster->machines()[m].allocations.size(), 1U);
    w.execute(commands);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(heartbeat(w).empty()) << "forgotten, it could start again";
    EXPECT_TRUE(cluster->machines()[m].allocations.empty());
}

TEST_F(ClusterTest, ADirectReportDoesNotDisproveALaunchInAHeartbeatResponse) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    Job& job = submit(testing::spec("run-1"));
    place();
    commit();
    heartbeat(w);  // the launch is on its way in this answer
    cluster->cancel(job, clock.now());
    commit();
    const auto m = *cluster->machines().find("n-1");
    cluster->onStatusReport(w.next(), Cluster::ReportSource::commandResponse, clock.now());
    EXPECT_EQ(cluster->machines()[m].allocations.size(), 1U);
    heartbeat(w);  // a beat is sent only after the earlier answer was executed or dropped
    EXPECT_TRUE(cluster->machines()[m].allocations.empty());
}

TEST_F(ClusterTest, ACancellationIsCommittedOnceWhatMayStillRunEndsInTime) {
    // With a zone lent for longer than users are promised, a task there could outlive its answer.
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    commit();
    EXPECT_FALSE(job.cancelDurable()) << "rig-1 may hold a former leader's delegation";
    clock.advance(1s);
    cluster->advanceTo(clock.now());
    commit();
    EXPECT_FALSE(job.cancelDurable());
    EXPECT_NE(records.at("jobs/run-1").find("withdrawing"), std::string::npos)
        << "no successor starts it again";
    EXPECT_GT(cluster->timeUntilAcknowledgeable(job, clock.now()), 0s);
    EXPECT_LE(cluster->latestDelegationEnd("a", clock.now()), clock.now() + settings.cancelWithin);
    EXPECT_EQ(cluster->latestDelegationEnd("b", clock.now()), TimePoint::max());
    w.execute(heartbeat(w));
    heartbeat(w);  // gone: that is proof
    cluster->advanceTo(clock.now());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    EXPECT_EQ(cluster->latestDelegationEnd("a", clock.now()), TimePoint::max());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->cancelDurable());
}

TEST_F(ClusterTest, APendingCancellationOutlivesATakeOverAndIsAcknowledgedWhenItMayBe) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker w("n-1");
    submitAndRun(w, testing::spec("run-1"));
    cluster->cancel(*cluster->find("run-1"), clock.now());
    clock.advance(1s);
    cluster->advanceTo(clock.now());
    commit();
    takeOver();  // the successor delegates nothing
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
    Worker w("n-1");
    exchangeHeartbeat(w);
    Job& job = submit(testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    commit();
    cluster->acknowledgeCancellation(job, clock.now());
    cluster->setDelegator(delegator);
    cluster->advanceTo(clock.now());
    EXPECT_EQ(cluster->latestDelegationEnd("a", clock.now()), TimePoint::max())
        << "nothing of it is anywhere";
    clock.advance(1h);
    w.report.tasks.push_back({"run-1", 0, 1, TaskStatus::running, ExitCause::other, false});
    heartbeat(w);
    EXPECT_LT(cluster->latestDelegationEnd("a", clock.now()), clock.now());
}

TEST_F(ClusterTest, AnUnresponsiveMachinesTasksStayWhereADelegateMayHaveAnsweredForTheLeader) {
    const lease_delegation::DelegationLimits terms =
        lease_delegation::DelegationLimits::from(settings);
    lease_delegation::Delegator delegator(terms, 1, {"rig-0", "b"}, 1h, {{"rig-1", "a"}},
                                          clock.now());
    cluster->setDelegator(delegator);
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    const auto unresponsiveFor = [&](Duration span) {
        for (Duration d{}; d < span; d += 1s) {
            clock.advance(1s);
            cluster->advanceTo(clock.now());
        }
    };
    unresponsiveFor(settings.lease + 2s);
    EXPECT_EQ(job.boundCount, 1U) << "a lease is not enough";
    unresponsiveFor(terms.maxDuration - 3s);
    EXPECT_EQ(job.boundCount, 1U);
    unresponsiveFor(3s);
    EXPECT_EQ(job.boundCount, 0U) << "a lease after the longest delegation is";
}

TEST_F(ClusterTest, ACancelStopsWhatRunsAndTheStatusNeverGoesBack) {
    Worker w("n-1");
    Job& job = submitAndRun(w, testing::spec("run-1"));
    cluster->cancel(job, clock.now());
    EXPECT_FALSE(job.cancelDurable());
    commit();
    EXPECT_TRUE(job.cancelDurable());
    w.set(0, TaskStatus::exited, ExitCause::done);  // it finished before the stop came
    heartbeat(w);
    EXPECT_TRUE(job.cancelDurable());
    takeOver();
    EXPECT_TRUE(cluster->find("run-1")->cancelDurable());
}

TEST_F(ClusterTest, TakeOverWithAnUnresponsiveMachineWaitsOutItsLeaseOnly) {
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
    EXPECT_EQ(job.runningCount, 2U) << "what reports is adopted at once";
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

TEST_F(ClusterTest, AfterTakeOverAnUnlistedBindingIsFreeOnceTheWorkerKnowsTheToken) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(testing::spec("run-1"));
    place();
    commit();  // bound on record, launched by nobody
    takeOver();
    Job& job = *cluster->find("run-1");
    EXPECT_TRUE(heartbeat(w).empty());
    EXPECT_EQ(job.boundCount, 1U) << "an order of the former leader may still arrive";
    heartbeat(w);
    EXPECT_EQ(job.boundCount, 0U);
    place();
    EXPECT_EQ(job.tasks[0].attempt, 2U) << "an attempt is never used twice";
}

TEST_F(ClusterTest, AReportedTaskWithoutABindingIsAdoptedWhereItIs) {
    Worker w("n-1");
    submit(testing::spec("run-1"));
    w.report.tasks.push_back({"run-1", 0, 3, TaskStatus::running, ExitCause::other, false});
    EXPECT_TRUE(heartbeat(w).empty());
    const Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.tasks[0].attempt, 3U);
    EXPECT_EQ(job.runningCount, 1U);
}

TEST_F(ClusterTest, UnknownTasksAreStopped) {
    Worker w("n-1");
    w.report.tasks.push_back({"run-9", 0, 1, TaskStatus::running, ExitCause::other, false});
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(kindOf(commands[0]), CommandKind::stop);
}

TEST_F(ClusterTest, LimitsCountWhatPossiblyRuns) {
    Worker w("n-1"), v("n-2"), x("n-3");
    JobSpec s = testing::spec("run-1", 4);
    s.team = "blue";  // at most 16 cores
    exchangeHeartbeat(w);
    exchangeHeartbeat(v);
    submit(s);
    place();
    commit();
    exchangeHeartbeat(w);
    exchangeHeartbeat(v);
    clock.advance(8s);  // both unresponsive, neither lease has run out
    exchangeHeartbeat(x);
    s.id = "run-2";
    Job& second = submit(s);
    place();
    EXPECT_EQ(second.boundCount, 0U);
}

TEST_F(ClusterTest, SpreadCountsWhatPossiblyRuns) {
    Worker w("n-1", "a"), v("n-2", "a");
    JobSpec s = testing::spec("run-1", 3);
    s.spread = true;
    exchangeHeartbeat(w);
    exchangeHeartbeat(v);
    Job& job = submit(s);
    place();
    EXPECT_EQ(job.boundCount, 2U) << "two of three, rounded up, in one zone";
    Worker b("n-3", "b");
    exchangeHeartbeat(b);
    place();
    EXPECT_EQ(job.boundCount, 3U);
}

TEST_F(ClusterTest, KeepsToZoneTypeAndKindOfMachine) {
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
    Worker w("n-1");
    exchangeHeartbeat(w);
    JobSpec s = testing::spec("run-1", 3);
    s.shape = Shape::gang;
    Job& job = submit(s);
    place();
    EXPECT_EQ(job.boundCount, 0U);
    Worker v("n-2");
    exchangeHeartbeat(v);
    place();
    EXPECT_EQ(job.boundCount, 3U);
    commit();
    EXPECT_EQ(heartbeat(w).size() + heartbeat(v).size(), 3U);
}

TEST_F(ClusterTest, ProductionPreemptsLowerWorkWithTimeForACheckpointAndNothingElse) {
    Worker w("n-1");
    JobSpec low = testing::spec("run-1", 2);
    low.checkpointIntervalS = 10;
    low.checkpointDurationS = 5;
    Job& victim = submitAndRun(w, low);
    JobSpec same = testing::spec("run-2");
    submit(same);
    place();
    EXPECT_TRUE(heartbeat(w).empty()) << "equal priority is not preempted";
    JobSpec high = testing::spec("run-3");
    high.priority = Priority::production;
    submit(high);
    place();
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U) << "one task is enough";
    EXPECT_EQ(kindOf(commands[0]), CommandKind::stop);
    EXPECT_GE(std::get<StopTask>(commands[0]).gracePeriod, 5s);
    w.execute(commands);
    heartbeat(w);
    place();
    EXPECT_EQ(cluster->find("run-3")->boundCount, 1U);
    EXPECT_EQ(victim.boundCount, 1U);
}

TEST_F(ClusterTest, WorkStoppedBeforeItsLaunchWasSentFreesItsCapacityAtOnce) {
    // Such tasks were to be stopped for good: never launched, never reported, never released.
    Worker w("n-1");
    exchangeHeartbeat(w);
    Job& low = submit(testing::spec("run-1", 2));
    place();
    JobSpec high = testing::spec("run-2", 2);
    high.priority = Priority::production;
    Job& winner = submit(high);
    place();
    place();
    EXPECT_EQ(winner.boundCount, 2U);
    EXPECT_EQ(low.waitingCount(), 2U);
    commit();
    exchangeHeartbeat(w);
    EXPECT_EQ(w.report.tasks.size(), 2U);
    EXPECT_EQ(w.report.tasks[0].job, "run-2");
}

TEST_F(ClusterTest, AGangThatLosesAMemberToAHigherRankStopsWhole) {
    Worker w("n-1"), v("n-2");
    JobSpec gang = testing::spec("run-1", 4);
    gang.shape = Shape::gang;
    exchangeHeartbeat(w);
    exchangeHeartbeat(v);
    submit(gang);
    place();
    commit();
    for (int i = 0; i < 2; ++i) {
        exchangeHeartbeat(w);
        exchangeHeartbeat(v);
    }
    JobSpec high = testing::spec("run-2");
    high.priority = Priority::production;
    submit(high);
    place();
    EXPECT_EQ(heartbeat(w).size() + heartbeat(v).size(), 4U);
}

TEST_F(ClusterTest, ALargeArrayOnFaultyMachinesIsNotCrashLooping) {
    // With dozens faulty at once a large array fails on several and was taken for its owner's
    // mistake; the machines went on failing everybody's tasks.
    std::vector<Worker> all;
    for (int i = 0; i < 6; ++i) all.emplace_back("n-" + std::to_string(i));
    exchangeHeartbeat(all[4]);
    exchangeHeartbeat(all[5]);
    Job& job = submit(testing::spec("run-1", 12));
    place();
    commit();
    for (int i = 0; i < 5; ++i) {  // the sound ones run for a while
        for (std::size_t w = 4; w < 6; ++w) exchangeHeartbeat(all[w]);
        clock.advance(4s);
    }
    for (auto& w : all) exchangeHeartbeat(w);
    place();
    commit();
    for (auto& w : all) exchangeHeartbeat(w);
    for (auto& w : all) exchangeHeartbeat(w);
    clock.advance(1s);
    for (std::size_t i = 0; i < 4; ++i) {
        for (std::size_t t = 0; t < 2; ++t) all[i].set(t, TaskStatus::exited, ExitCause::error);
        exchangeHeartbeat(all[i]);
    }
    EXPECT_LE(job.backOffUntil, clock.now());
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_EQ(cluster->machines()[cluster->indexOf(all[i].report.machine)].quarantined, i < 4)
            << i;
}

TEST_F(ClusterTest, AJobThatRunsForAWhileBeforeItFailsQuarantinesNoMachine) {
    // Its tasks that had not failed yet once counted as running well, and each machine on which
    // the others failed as faulty.
    std::vector<Worker> all;
    for (int i = 0; i < 6; ++i) all.emplace_back("n-" + std::to_string(i));
    for (auto& w : all) exchangeHeartbeat(w);
    Job& broken = submit(testing::spec("run-1", 12));
    place();
    commit();
    for (int i = 0; i < 6; ++i) {
        for (auto& w : all) exchangeHeartbeat(w);
        clock.advance(4s);
    }
    for (auto& w : all) {
        for (std::size_t t = 0; t < 2; ++t) w.set(t, TaskStatus::exited, ExitCause::error);
        exchangeHeartbeat(w);
        clock.advance(500ms);
    }
    EXPECT_TRUE(broken.crashLooping);
    EXPECT_GT(broken.backOffUntil, clock.now());
    for (const auto& m : cluster->machines()) EXPECT_FALSE(m.quarantined) << m.name;
}

TEST_F(ClusterTest, AResultIsForgottenOnceItIsOnRecordHoweverOftenThatChanges) {
    // The record of a large array has always changed again, so its results stayed in the reports
    // until those were too large to be taken, and the worker lost its lease and all it ran.
    Worker w("n-1");
    JobSpec s = testing::spec("run-1", 20);
    s.demand = {0.25, 0, 0.5};
    Job& job = submitAndRun(w, s);
    w.set(0, TaskStatus::exited, ExitCause::done);
    heartbeat(w);
    const auto resultVersion = cluster->encode("jobs/run-1")->version;
    w.set(1, TaskStatus::exited, ExitCause::done);
    heartbeat(w);  // the record changes again before the first result is on record
    cluster->onRecordCommitted("jobs/run-1", resultVersion);
    ASSERT_LT(job.layout.head().durableVersion, job.layout.head().version);
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U) << "the second result is not on record yet";
    EXPECT_EQ(kindOf(commands[0]), CommandKind::forget);
    EXPECT_EQ(attemptOf(commands[0]).task, 0U);
}

TEST_F(ClusterTest, AMachineWhoseReportIsNearlyFullGetsNoMoreTasks) {
    Worker w("n-1");
    w.report.bytes = 47 * 1024;
    exchangeHeartbeat(w);
    JobSpec s = testing::spec("run-1", 100);
    s.demand = {0.01, 0, 0.01};
    Job& job = submit(s);
    place();
    EXPECT_GT(job.boundCount, 0U);
    EXPECT_LT(job.boundCount, 20U) << "what is bound will be reported as well";
    w.report.bytes = 60 * 1024;
    commit();
    exchangeHeartbeat(w);
    const auto bound = job.boundCount;
    place();
    EXPECT_EQ(job.boundCount, bound);
    w.report.bytes = 1024;
    exchangeHeartbeat(w);
    place();
    EXPECT_EQ(job.waitingCount(), 0U);
}

TEST_F(ClusterTest, APreemptedJobDoesNotTakeTheReclaimedCapacityBack) {
    // Tasks bound at low priority gave way before their launch, took the same capacity back in the
    // same pass, and so on in each: 600,000 bindings for 47,000 starts on one day.
    Worker w("n-1");
    exchangeHeartbeat(w);
    JobSpec opportunistic = testing::spec("run-1", 64);
    opportunistic.priority = Priority::low;
    opportunistic.demand = {0.25, 0, 0.5};
    Job& low = submit(opportunistic);
    place();  // 32 of them fill the machine
    commit();
    exchangeHeartbeat(w);
    exchangeHeartbeat(w);
    JobSpec more = testing::spec("run-2");
    more.demand = {8, 0, 16};
    Job& high = submit(more);
    std::uint64_t attempts = 0;
    const auto count = [&] {
        std::uint64_t sum = 0;
        for (const auto& t : low.tasks) sum += t.attempt;
        return sum;
    };
    place();
    attempts = count();
    for (int i = 0; i < 5; ++i) {
        clock.advance(200ms);
        place();
    }
    EXPECT_EQ(count(), attempts) << "nothing is bound into capacity that is being reclaimed";
    exchangeHeartbeat(w);  // told to stop
    for (auto& t : w.report.tasks) t.status = TaskStatus::exited, t.cause = ExitCause::stopped;
    exchangeHeartbeat(w);
    place();
    EXPECT_EQ(high.boundCount, 1U);
}

TEST_F(ClusterTest, WorkWithoutAnObjectiveGoesAfterWorkThatCanMeetOne) {
    // Idle runs without an objective counted as the oldest, filled all idle capacity for long, and
    // an opportunistic team's short jobs waited behind them until they were late: 0.29 of them in
    // time.
    settings.objectives = {{"finished", "c", 400s, 0.9}};
    JobSpec idle = testing::spec("run-1", 2);
    idle.jobClass = "other";
    expectSecondJobPlacedFirst(idle, 300s);
    clock.advance(700s);  // but its turn comes
    submit(testing::spec("run-3", 2));
    Worker other("n-2");
    exchangeHeartbeat(other);
    place();
    EXPECT_EQ(cluster->find("run-1")->boundCount, 2U);
}

TEST_F(ClusterTest, WhatCanStillMeetItsObjectiveGoesBeforeWhatMissedIt) {
    settings.objectives = {{"wait", "c", 15s, 0.8}};
    expectSecondJobPlacedFirst(testing::spec("run-1", 2), 20s);
}

TEST_F(ClusterTest, WhenNotAllCanBeInTimeTheLargestJobConcedes) {
    // In a burst, serving in order of due times made everybody late together.
    settings.objectives = {{"wait", "c", 15s, 0.8}};
    Worker w("n-1");
    submitAndRun(w, testing::spec("run-1", 2));  // 8 cores for 10 s: 12 come free in 15 s
    submit(testing::spec("run-2", 4));           // would take 16
    clock.advance(1s);
    submit(testing::spec("run-3", 1));
    submit(testing::spec("run-4", 1));
    exchangeHeartbeat(w);
    place();
    w.set(0, TaskStatus::exited, ExitCause::done);
    w.set(1, TaskStatus::exited, ExitCause::done);
    exchangeHeartbeat(w);
    place();
    EXPECT_EQ(cluster->find("run-3")->boundCount, 1U);
    EXPECT_EQ(cluster->find("run-4")->boundCount, 1U);
    EXPECT_EQ(cluster->find("run-2")->boundCount, 0U);
}

TEST_F(ClusterTest, KeepsWarmCapacityForReplicasOnMachinesThatHaveTheirImage) {
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    Worker w("n-1"), v("n-2"), spot("n-3", "a", true);
    JobSpec web = testing::spec("run-1");
    web.jobClass = "web";
    web.shape = Shape::service;
    web.priority = Priority::production;
    web.spotAllowed = false;
    web.demand = {2, 0, 2};
    web.image = "img-web";
    submitAndRun(w, web);
    exchangeHeartbeat(v);
    Job& batch = submit(testing::spec("run-2", 4));
    place();
    EXPECT_EQ(batch.boundCount, 2U)
        << "n-2 has not the image and is filled; n-1 keeps its warm capacity";
    exchangeHeartbeat(spot);
    place();
    EXPECT_EQ(batch.boundCount, 4U);
}

TEST_F(ClusterTest, AReplicaTakesAMachineWithFewOtherImagesFirst) {
    // Room on machines with many images went to whoever came; a tenth of the replicas then found
    // none with their own and started late.
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    Worker rich("n-1"), poor("n-2", "b");
    JobSpec web = testing::spec("run-1", 1);
    web.jobClass = "web";
    web.shape = Shape::service;
    web.priority = Priority::production;
    web.spotAllowed = false;
    web.demand = {2, 0, 2};
    web.image = "img-a";
    submitAndRun(rich, web);
    web.id = "run-2";
    web.image = "img-b";
    submitAndRun(rich, web);
    web.id = "run-3";
    web.image = "img-a";
    web.zone = "b";
    submitAndRun(poor, web);
    web.id = "run-4";
    web.zone.reset();
    const Job& next = submit(web);
    place();
    ASSERT_EQ(next.boundCount, 1U);
    EXPECT_EQ(next.tasks[0].machine, *cluster->machines().find("n-2")) << "although n-1 is fuller";
}

TEST_F(ClusterTest, ATaskOnAnInterruptedSpotMachineWritesItsCheckpointAsLateAsItCan) {
    Worker w("n-1");
    JobSpec s = testing::spec("run-1");
    s.checkpointIntervalS = 10;
    s.checkpointDurationS = 4;
    submitAndRun(w, s);
    w.report.interruptionNotice = 15s;
    heartbeat(w);
    cluster->advanceTo(clock.now());
    EXPECT_TRUE(heartbeat(w).empty()) << "it may still finish";
    clock.advance(9s);
    w.report.interruptionNotice = 6s;
    cluster->advanceTo(clock.now());
    const auto commands = heartbeat(w);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_GE(std::get<StopTask>(commands[0]).gracePeriod, 4s);
}

TEST_F(ClusterTest, AMachineThatFailsSeveralJobsIsQuarantined) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(testing::spec("run-1"));
    submit(testing::spec("run-2"));
    place();
    commit();
    exchangeHeartbeat(w);
    w.set(0, TaskStatus::exited, ExitCause::error);
    w.set(1, TaskStatus::exited, ExitCause::error);
    exchangeHeartbeat(w);
    EXPECT_TRUE(cluster->machines()[0].quarantined);
    clock.advance(2min);
    exchangeHeartbeat(w);
    place();
    EXPECT_EQ(cluster->find("run-1")->boundCount, 0U);
}

TEST_F(ClusterTest, ACrashLoopingJobBacksOffAndQuarantinesNoMachine) {
    std::vector<Worker> all{Worker("n-1"), Worker("n-2"), Worker("n-3")};
    for (auto& w : all) exchangeHeartbeat(w);
    Job& job = submit(testing::spec("run-1"));
    for (int round = 0; round < 6; ++round) {
        clock.advance(11s);
        for (auto& w : all) exchangeHeartbeat(w);
        place();
        commit();
        for (auto& w : all) {
            exchangeHeartbeat(w);
            for (std::size_t t = 0; t < w.report.tasks.size(); ++t)
                w.set(t, TaskStatus::exited, ExitCause::error);
            exchangeHeartbeat(w);
            commit();
            exchangeHeartbeat(w);
        }
    }
    EXPECT_GE(job.failures, 3U);
    EXPECT_GT(job.backOffUntil, clock.now() - 60s);
    for (const auto& m : cluster->machines()) EXPECT_FALSE(m.quarantined);
}

TEST_F(ClusterTest, LargeArraysSpillIntoFurtherRecordsAndComeBack) {
    Worker w("n-1");
    exchangeHeartbeat(w);
    JobSpec s = testing::spec("run-1", 2000);
    s.demand = {0.01, 0, 0.01};
    submit(s);
    for (int i = 0; i < 12; ++i) {
        place();
        commit();
        exchangeHeartbeat(w);
    }
    for (std::size_t t = 0; t < 700; ++t) w.set(t, TaskStatus::exited, ExitCause::done);
    heartbeat(w);
    commit();
    EXPECT_GT(records.size(), 1U);
    for (const auto& [key, data] : records) EXPECT_LE(data.size(), settings.valueBytes) << key;
    const auto before = cluster->find("run-1")->doneCount;
    EXPECT_EQ(before, 700U);
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->doneCount, before);
}

TEST_F(ClusterTest, EveryIndexAgreesWithARecountUnderRandomOperations) {
    settings.objectives = {{"wait", "web", 1s, 0.9}};
    std::mt19937 random(20261201);
    const auto below = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    std::vector<Worker> all;
    std::vector<JobId> ids;
    for (int step = 0; step < 3000; ++step) {
        const std::size_t what = below(20);
        if (what == 0 || all.size() < 4) {
            all.emplace_back("n-" + std::to_string(all.size()), below(2) == 0 ? "a" : "b",
                             below(3) == 0);
        } else if (what < 3 && ids.size() < 200) {
            JobSpec s = testing::spec("run-" + std::to_string(ids.size()),
                                      1 + static_cast<std::uint32_t>(below(6)));
            s.priority = static_cast<Priority>(below(4));
            s.team = below(2) == 0 ? "red" : "blue";
            s.demand = {1.0 + static_cast<double>(below(4)), 0,
                        1.0 + static_cast<double>(below(9))};
            s.image = "img-" + std::to_string(below(3));
            s.spread = below(3) == 0;
            s.sameZone = !s.spread && below(4) == 0;
            s.spotAllowed = below(2) == 0;
            s.checkpointIntervalS = below(2) == 0 ? 10 : 0;
            if (below(4) == 0) {
                s.shape = Shape::service;
                s.jobClass = "web";
                s.spotAllowed = false;
            } else if (below(6) == 0) {
                s.shape = Shape::gang;
            }
            if (cluster->submit(s, clock.now(), clock.wall()) == SubmitResult::accepted)
                ids.push_back(s.id);
        } else if (what < 6) {
            place();
        } else if (what < 9) {
            commit();
        } else if (what == 9 && !ids.empty()) {
            cluster->cancel(*cluster->find(ids[below(ids.size())]), clock.now());
        } else if (what == 10) {
            clock.advance(std::chrono::milliseconds(200 * below(20)));
            cluster->advanceTo(clock.now());
        } else if (what == 11 && below(12) == 0) {
            cluster->onMachineDeleted(cluster->indexOf(all[below(all.size())].report.machine),
                                      clock.now());
        } else if (what == 11 && below(12) == 0) {
            commit();
            takeOver();
        } else if (what == 12 && below(4) == 0) {
            cluster->setDraining(cluster->indexOf(all[below(all.size())].report.machine),
                                 below(2) == 0);
        } else {
            Worker& w = all[below(all.size())];
            if (below(30) == 0) w.newSession();
            if (below(60) == 0) w.report.interruptionNotice = 20s;
            for (std::size_t t = 0; t < w.report.tasks.size(); ++t) {
                if (w.report.tasks[t].status == TaskStatus::exited || below(6) != 0) continue;
                const std::size_t how = below(10);
                w.set(t, how == 0 ? TaskStatus::pulling : TaskStatus::exited,
                      how < 7    ? ExitCause::done
                      : how == 7 ? ExitCause::error
                      : how == 8 ? ExitCause::full
                                 : ExitCause::stopped);
            }
            exchangeHeartbeat(w);
        }
        ASSERT_EQ(cluster->findInconsistency(), "") << "after step " << step;
    }
    EXPECT_GT(cluster->jobCount(), 50U);
}

TEST_F(ClusterTest, AHeartbeatAndAPlacementCostTheSameInALargeCluster) {
    // Every placement once looked at every machine and all that was on it: at some hundred
    // machines a leader's share of a core was gone.
    settings.teams.push_back({"green", 0, 0, 0, 0});
    const auto looksIn = [&](std::size_t machines) {
        cluster = makeCluster(5);
        std::vector<Worker> all;
        for (std::size_t i = 0; i < machines; ++i) {
            all.emplace_back("n-" + std::to_string(i), i % 2 == 0 ? "a" : "b", i % 3 == 0);
            exchangeHeartbeat(all.back());
        }
        JobSpec filler = testing::spec("run-0", static_cast<std::uint32_t>(machines) * 2 - 4);
        filler.team = "green";
        submit(filler);
        place();
        commit();
        for (int round = 0; round < 3; ++round)
            for (auto& w : all) exchangeHeartbeat(w);
        EXPECT_EQ(cluster->find("run-0")->runningCount, filler.tasks);
        place();  // sees what the launches changed
        std::uint64_t before = cluster->visitedMachines();
        for (auto& w : all) exchangeHeartbeat(w);
        place();
        EXPECT_EQ(cluster->visitedMachines(), before) << "beats that tell nothing new";
        JobSpec web = testing::spec("run-1", 3);
        web.team = "green";
        submit(web);
        before = cluster->visitedMachines();
        place();
        EXPECT_EQ(cluster->find("run-1")->boundCount, 3U);
        JobSpec more = testing::spec("run-2", 500);  // all is full: nothing is found, cheaply
        more.team = "green";
        submit(more);
        place();
        return cluster->visitedMachines() - before;
    };
    const auto small = looksIn(20), large = looksIn(2000);
    EXPECT_LE(large, small + 4);
    EXPECT_LE(large, 30U);
}

}  // namespace
}  // namespace basaltchute::scheduler
