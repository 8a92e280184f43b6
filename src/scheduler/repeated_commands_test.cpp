#include <gtest/gtest.h>

#include "scheduler/cluster_fixture.h"

// Direct requests that were executed and answered arrive at their machine once more. What happened
// to the task between the answer and the copy differs from test to test.

namespace basaltchute::scheduler {
namespace {

using worker_api::LaunchTask;
using worker_api::TaskAttempt;

/// A direct request, as it was sent.
struct DirectRequest {
    FencingToken token = 0;
    std::uint64_t incarnation = 0;
    std::vector<Command> commands;
};

/// A machine whose agent checks tokens and incarnations by the published rules.
struct Agent : Worker {
    using Worker::Worker;
    std::vector<TaskAttempt> started;

    bool knows(const TaskAttempt& attempt) const {
        return std::any_of(report.tasks.begin(), report.tasks.end(), [&](const auto& t) {
            return TaskAttempt{t.job, t.task, t.attempt} == attempt;
        });
    }
    void executeInOrder(const std::vector<Command>& commands) {
        for (const Command& command : commands) {
            if (const auto* launch = std::get_if<LaunchTask>(&command))
                if (!knows(launch->attempt)) started.push_back(launch->attempt);
            execute({command});
        }
    }
    /// Whether the request was executed.
    bool receive(const DirectRequest& request) {
        ++report.sequence;
        if (request.token < report.token || request.incarnation != report.incarnation) return false;
        report.token = request.token;
        executeInOrder(request.commands);
        return true;
    }
    void receiveResponse(FencingToken token, const std::vector<Command>& commands) {
        if (token < report.token) return;
        report.token = token;
        executeInOrder(commands);
    }
    /// Ends every running task.
    void endTasks(ExitCause cause) {
        for (std::size_t i = 0; i < report.tasks.size(); ++i)
            if (report.tasks[i].status != TaskStatus::exited) set(i, TaskStatus::exited, cause);
    }
    [[nodiscard]] std::size_t running() const {
        return static_cast<std::size_t>(
            std::count_if(report.tasks.begin(), report.tasks.end(),
                          [](const auto& t) { return t.status != TaskStatus::exited; }));
    }
};

class RepeatedCommandsTest : public ClusterTest {
  protected:
    std::vector<std::pair<Agent*, DirectRequest>> answered;

    void heartbeatOf(Agent& agent) {
        const auto commands = cluster->onHeartbeat(agent.next(), clock.now());
        agent.receiveResponse(cluster->commandToken(agent.report.machine), commands);
        commit();
    }
    /// Delivers the pending direct commands of the machine, whose answer arrives.
    bool sendDirect(Agent& agent) {
        const MachineIndex machine = cluster->indexOf(agent.report.machine);
        DirectRequest request{cluster->commandToken(machine), agent.report.incarnation,
                              cluster->takeDirectCommands(machine, clock.now())};
        if (request.commands.empty()) return false;
        const bool executed = agent.receive(request);
        cluster->onStatusReport(agent.report, Cluster::ReportSource::commandResponse, clock.now());
        cluster->onDirectCommandEnded(machine, /*unanswered=*/false);
        if (executed) answered.emplace_back(&agent, std::move(request));
        commit();
        return executed;
    }
    /// Submits a job of one task and launches it on the agent's machine by a direct request.
    Job& launchDirectly(Agent& agent, const std::string& id) {
        heartbeatOf(agent);
        Job& job = submit(testing::spec(id, 1));
        place();
        commit();
        EXPECT_TRUE(sendDirect(agent));
        EXPECT_EQ(agent.running(), 1U);
        return job;
    }
    /// Heartbeats until the machine has been told to forget everything that has ended.
    void exchangeUntilForgotten(Agent& agent) {
        for (int i = 0; i < 4; ++i) {
            clock.advance(500ms);
            cluster->advanceTo(clock.now());
            heartbeatOf(agent);
        }
        for (const auto& t : agent.report.tasks)
            EXPECT_NE(t.status, TaskStatus::exited) << "its machine has to forget it";
    }
    /// Every answered request arrives once more. Returns how many tasks that starts.
    std::size_t repeatAll() {
        std::size_t starts = 0;
        for (const auto& [agent, request] : answered) {
            const std::size_t before = agent->started.size();
            agent->receive(request);
            starts += agent->started.size() - before;
        }
        return starts;
    }
    std::size_t repeatAfter(Duration delay) {
        clock.advance(delay);
        return repeatAll();
    }
};

TEST_F(RepeatedCommandsTest, ACopyDoesNotStartATaskThatFailedAndRunsElsewhere) {
    Agent first("n-1"), second("n-2");
    Job& job = launchDirectly(first, "run-1");
    heartbeatOf(first);
    first.endTasks(ExitCause::error);
    heartbeatOf(first);
    exchangeUntilForgotten(first);
    heartbeatOf(second);
    place();
    commit();
    ASSERT_TRUE(sendDirect(second));
    ASSERT_EQ(job.tasks[0].attempt, 2U);
    answered.resize(1);
    EXPECT_EQ(repeatAfter(5s), 0U);
    EXPECT_EQ(first.running(), 0U);
    EXPECT_EQ(second.running(), 1U);
}

TEST_F(RepeatedCommandsTest, ACopyDoesNotStartATaskThatWasStoppedAndMoved) {
    Agent first("n-1"), second("n-2");
    Job& job = launchDirectly(first, "run-1");
    heartbeatOf(first);
    JobSpec urgent = testing::spec("run-2", 2);
    urgent.priority = Priority::production;
    submit(urgent);
    place();
    commit();
    ASSERT_TRUE(job.tasks[0].stopping);
    ASSERT_TRUE(sendDirect(first)) << "the stop";
    heartbeatOf(first);
    heartbeatOf(second);
    place();
    commit();
    ASSERT_TRUE(sendDirect(second));
    exchangeUntilForgotten(first);
    const std::size_t running = first.running();
    EXPECT_EQ(repeatAfter(20s), 0U);
    EXPECT_EQ(first.running(), running);
    EXPECT_EQ(second.running(), 1U);
}

TEST_F(RepeatedCommandsTest, ACopyDoesNotStartATaskThatIsDoneWhileItsArrayGoesOn) {
    Agent agent("n-1");
    heartbeatOf(agent);
    Job& job = submit(testing::spec("run-1", 6));
    for (int round = 0; round < 2; ++round) {
        place();
        commit();
        ASSERT_TRUE(sendDirect(agent));
        heartbeatOf(agent);
        agent.endTasks(ExitCause::done);
        heartbeatOf(agent);
        exchangeUntilForgotten(agent);
    }
    EXPECT_EQ(job.doneCount, 4U);
    place();
    commit();
    ASSERT_TRUE(sendDirect(agent));
    EXPECT_EQ(agent.running(), 2U);
    EXPECT_EQ(repeatAfter(1s), 0U);
    EXPECT_EQ(agent.running(), 2U);
}

TEST_F(RepeatedCommandsTest, ACopyDoesNotStartATaskOfAJobWhoseCancellationWasAcknowledged) {
    Agent agent("n-1");
    Job& job = launchDirectly(agent, "run-1");
    heartbeatOf(agent);
    cluster->cancel(job, clock.now());
    commit();
    ASSERT_TRUE(job.cancelDurable());
    cluster->acknowledgeCancellation(job, clock.now());
    ASSERT_TRUE(sendDirect(agent));
    exchangeUntilForgotten(agent);
    EXPECT_EQ(repeatAfter(17s), 0U);
    EXPECT_EQ(agent.running(), 0U);
}

TEST_F(RepeatedCommandsTest, ACopyIsRejectedByANewIncarnation) {
    Agent agent("n-1");
    launchDirectly(agent, "run-1");
    agent.startIncarnation();
    heartbeatOf(agent);
    const std::size_t running = agent.running();
    EXPECT_EQ(repeatAll(), 0U);
    EXPECT_EQ(agent.running(), running);
}

TEST_F(RepeatedCommandsTest, AMachineThatHangsExecutesACopyAndTheLateOriginalOnce) {
    Agent agent("n-1");
    heartbeatOf(agent);
    Job& job = submit(testing::spec("run-1", 1));
    place();
    commit();
    const MachineIndex machine = cluster->indexOf("n-1");
    const DirectRequest late{cluster->commandToken(machine), 1,
                             cluster->takeDirectCommands(machine, clock.now())};
    ASSERT_EQ(late.commands.size(), 1U);
    cluster->onDirectCommandEnded(machine, /*unanswered=*/true);
    heartbeatOf(agent);  // the response repeats the launch
    heartbeatOf(agent);
    agent.endTasks(ExitCause::done);
    heartbeatOf(agent);
    EXPECT_TRUE(job.doneDurable());
    exchangeUntilForgotten(agent);
    EXPECT_FALSE(agent.receive(late)) << "it arrives only now";
    EXPECT_FALSE(agent.receive(late));
    EXPECT_EQ(agent.started.size(), 1U);
}

TEST_F(RepeatedCommandsTest, ACopyDoesNothingWheneverTheLeaderChanges) {
    // Before the end of the task, between its end and the forgetting, and after that; at last to
    // another leader and back.
    for (const int changeAt : {0, 1, 2, 3}) {
        SCOPED_TRACE(changeAt);
        records.clear();
        answered.clear();
        cluster = makeCluster(5);
        Agent agent("n-1");
        launchDirectly(agent, "run-1");
        heartbeatOf(agent);
        if (changeAt == 0) {
            takeOver();
            heartbeatOf(agent);
        }
        agent.endTasks(ExitCause::error);
        cluster->onHeartbeat(agent.next(), clock.now());  // the response is lost
        commit();
        if (changeAt == 1) takeOver();
        exchangeUntilForgotten(agent);
        if (changeAt >= 2) takeOver();  // the machine has not seen the newer token
        EXPECT_EQ(repeatAll(), 0U);
        if (changeAt == 3) {
            heartbeatOf(agent);
            takeOver();
            EXPECT_EQ(repeatAll(), 0U);
        }
        if (changeAt == 2) heartbeatOf(agent);
        EXPECT_EQ(repeatAfter(9s), 0U);
    }
}

TEST_F(RepeatedCommandsTest, ACopyOfLaunchesAndStopsTogetherStartsNothing) {
    Agent agent("n-1");
    heartbeatOf(agent);
    Job& first = submit(testing::spec("run-1", 1));
    place();
    commit();
    ASSERT_TRUE(sendDirect(agent));
    cluster->cancel(first, clock.now());
    submit(testing::spec("run-2", 1));
    place();
    commit();
    ASSERT_TRUE(sendDirect(agent));
    ASSERT_EQ(answered.back().second.commands.size(), 2U);
    agent.endTasks(ExitCause::done);
    heartbeatOf(agent);
    exchangeUntilForgotten(agent);
    EXPECT_EQ(repeatAfter(30s), 0U);
    EXPECT_EQ(agent.running(), 0U);
}

TEST_F(RepeatedCommandsTest, TheTokenDoesNotRiseWhileADirectRequestIsInFlight) {
    Agent agent("n-1");
    launchDirectly(agent, "run-1");
    agent.endTasks(ExitCause::error);
    heartbeatOf(agent);
    submit(testing::spec("run-2", 1));
    clock.advance(11s);
    heartbeatOf(agent);
    place();
    commit();
    const MachineIndex machine = cluster->indexOf("n-1");
    const FencingToken token = cluster->commandToken(machine);
    const DirectRequest inFlight{token, 1, cluster->takeDirectCommands(machine, clock.now())};
    ASSERT_FALSE(inFlight.commands.empty());
    heartbeatOf(agent);
    EXPECT_EQ(cluster->commandToken(machine), token);
    EXPECT_TRUE(agent.receive(inFlight));
}

TEST_F(RepeatedCommandsTest, NothingIsLaunchedDirectlyOnceATermsLastTokenIsInUse) {
    Agent agent("n-1");
    cluster = std::make_unique<Cluster>(settings, 5, 6);
    cluster->setCatalogue(testing::someCatalogue());
    launchDirectly(agent, "run-0");
    heartbeatOf(agent);
    agent.endTasks(ExitCause::done);
    heartbeatOf(agent);
    exchangeUntilForgotten(agent);
    const MachineIndex machine = cluster->indexOf("n-1");
    ASSERT_EQ(cluster->commandToken(machine), cluster->lastToken());
    submit(testing::spec("run-1", 1));
    place();
    commit();
    EXPECT_TRUE(cluster->takeDirectCommands(machine, clock.now()).empty());
    heartbeatOf(agent);
    EXPECT_EQ(agent.running(), 1U) << "the heartbeat response carries the launch";
    heartbeatOf(agent);
    agent.endTasks(ExitCause::done);
    heartbeatOf(agent);
    exchangeUntilForgotten(agent);
    EXPECT_TRUE(agent.report.tasks.empty());
    EXPECT_EQ(agent.report.token, cluster->lastToken());
}

TEST_F(RepeatedCommandsTest, AnAttemptThatRunsAgainAfterItsEndIsCountedAndStopped) {
    Agent agent("n-1");
    launchDirectly(agent, "run-1");
    heartbeatOf(agent);
    agent.endTasks(ExitCause::done);
    heartbeatOf(agent);
    heartbeatOf(agent);
    EXPECT_EQ(cluster->restartedAttempts(), 0U);
    // As under a leader of a version that forgets without a fence.
    agent.execute({LaunchTask{{"run-1", 0, 1}}});
    heartbeatOf(agent);
    EXPECT_EQ(cluster->restartedAttempts(), 1U);
    EXPECT_EQ(agent.running(), 0U);
}

TEST_F(RepeatedCommandsTest, ALeaderOfTheFormerVersionFencesAllCommandsOfThisOne) {
    Agent agent("n-1");
    launchDirectly(agent, "run-1");
    agent.endTasks(ExitCause::error);
    heartbeatOf(agent);
    exchangeUntilForgotten(agent);
    ASSERT_GT(agent.report.token, cluster->token());
    // It counts from the stored counter, which holds the last token of this leader's term.
    const FencingToken formerVersionsToken = cluster->lastToken() + 1;
    agent.receiveResponse(formerVersionsToken, {});
    EXPECT_EQ(agent.report.token, formerVersionsToken);
    EXPECT_EQ(repeatAll(), 0U);
}

TEST_F(RepeatedCommandsTest,
       AfterALeaderOfTheFormerVersionCopiesOfItsCommandsAreFencedAtFirstContact) {
    Agent agent("n-1");
    const FencingToken formerVersionsToken = cluster->token() - 1;
    const DirectRequest launch{formerVersionsToken, 1, {LaunchTask{{"run-1", 0, 1}}}};
    ASSERT_TRUE(agent.receive(launch));
    agent.endTasks(ExitCause::error);
    heartbeatOf(agent);  // the job is not known: the attempt may be forgotten
    EXPECT_TRUE(agent.report.tasks.empty());
    EXPECT_FALSE(agent.receive(launch));
}

TEST_F(RepeatedCommandsTest, TenHoursOfShortTasksKeepReportsAndBookkeepingBounded) {
    // 64 CPUs run four tasks a second, launched directly, and a quarter of the jobs is cancelled.
    constexpr auto duration = 10h;
    constexpr auto step = 500ms;  // at most one report in this time
    constexpr std::uint32_t tasksPerStep = 2, tasksPerJob = 400;
    constexpr std::size_t maxReportBytes = std::size_t{32} * 1024, bytesPerTask = 80;
    autoscaler::Catalogue catalogue = testing::someCatalogue();
    catalogue.at("box").capacity = {64, 0, 256};
    cluster->setCatalogue(catalogue);
    Agent agent("n-1");
    std::size_t largestReport = 0, mostRemembered = 0, direct = 0;
    int jobs = 0;
    Job* job = nullptr;
    const MachineIndex machine = cluster->indexOf("n-1");
    for (auto at = 0ms; at < duration; at += step) {
        clock.advance(step);
        cluster->advanceTo(clock.now());
        agent.endTasks(ExitCause::done);
        heartbeatOf(agent);
        if (job == nullptr || !job->open()) {
            JobSpec next = testing::spec("run-" + std::to_string(++jobs), tasksPerJob);
            next.demand.cores = 64.0 / tasksPerStep;
            job = &submit(next);
        }
        if (jobs % 4 == 0 && job->doneCount > tasksPerJob / 2) cluster->cancel(*job, clock.now());
        place();
        commit();
        direct += sendDirect(agent) ? 1 : 0;
        answered.clear();
        largestReport = std::max(largestReport, agent.report.tasks.size() * bytesPerTask);
        mostRemembered =
            std::max(mostRemembered, cluster->machines()[machine].terminalStatuses.size());
    }
    EXPECT_GT(direct, 60'000U);
    EXPECT_LT(largestReport, maxReportBytes);
    EXPECT_LT(mostRemembered, 64U);
    EXPECT_LT(cluster->commandToken(machine), cluster->lastToken());
}

}  // namespace
}  // namespace basaltchute::scheduler
