#include "scheduler/queue_order.h"

#include <gtest/gtest.h>

#include <deque>

namespace basaltchute::scheduler {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

class QueueOrderTest : public ::testing::Test {
  protected:
    std::vector<settings::Objective> objectives;
    RuntimeEstimates estimates;
    std::deque<Job> jobs;  // references stay valid

    /// A job submitted at `start` whose task runs for 10 s.
    Job& add(const JobId& id, const std::string& jobClass, double cores = 4) {
        Job& job = jobs.emplace_back();
        job.spec.id = id;
        job.spec.jobClass = jobClass;
        job.spec.demand.cores = cores;
        job.spec.estimatedRuntimeS = 10;
        job.submittedAt = job.releasedAt = start;
        return job;
    }
    void addObjective(const std::string& kind, const std::string& jobClass, Duration within) {
        settings::Objective objective;
        objective.kind = kind;
        objective.jobClass = jobClass;
        objective.within = within;
        objectives.push_back(objective);
    }
    SchedulingPriority priorityOf(const Job& job, TimePoint now, std::size_t conceded = 0) const {
        return schedulingPriority(job, objectives, estimates.estimatedRunTime(job.spec), now,
                                  conceded);
    }
    std::vector<JobId> order(TimePoint now) {
        std::vector<Job*> waiting;
        for (Job& job : jobs) waiting.push_back(&job);
        std::vector<JobId> ids;
        for (const QueueEntry& entry : queueOrder(waiting, objectives, estimates, now))
            ids.push_back(entry.job->spec.id);
        return ids;
    }
    /// Makes the drain rate of the jobs' priority that many cores per second.
    void setDrainRate(double coresPerS) {
        Job running;
        running.spec.estimatedRuntimeS = 1;
        running.spec.demand.cores = coresPerS;
        running.boundCount = 1;
        estimates.measureDrainRate({&running}, start);
    }
};

TEST_F(QueueOrderTest, TheLatestStartOfAnObjectiveLeavesTimeForTheRun) {
    addObjective("wait", "web", 30s);
    addObjective("finished", "etl", 30s);
    EXPECT_EQ(priorityOf(add("run-1", "web"), start).startBy, start + 30s);
    EXPECT_EQ(priorityOf(add("run-2", "etl"), start).startBy, start + 20s);
    Job& job = add("run-3", "ml");
    job.spec.deadlineS = 100;
    EXPECT_EQ(priorityOf(job, start).startBy, start + 90s) << "its deadline counts by itself";
}

TEST_F(QueueOrderTest, MissedObjectivesAreCountedAndTheNextOneDecides) {
    addObjective("wait", "web", 30s);
    addObjective("wait", "web", 60s);
    const Job& job = add("run-1", "web");
    const SchedulingPriority late = priorityOf(job, start + 31s);
    EXPECT_EQ(late.missedObjectives, 1U);
    EXPECT_TRUE(late.canMeetAnother);
    EXPECT_EQ(late.startBy, start + 60s);
    EXPECT_EQ(priorityOf(job, start, 1), late) << "a conceded objective counts as missed";
}

TEST_F(QueueOrderTest, AJobThatMissedEveryObjectiveGoesFirstByAge) {
    addObjective("wait", "web", 30s);
    const Job& job = add("run-1", "web");
    const SchedulingPriority late = priorityOf(job, start + 31s);
    EXPECT_EQ(late.missedObjectives, 1U);
    EXPECT_FALSE(late.canMeetAnother);
    EXPECT_EQ(late.startBy, start + 240s);
    EXPECT_EQ(priorityOf(job, start + 240s).missedObjectives, 0U);
}

TEST_F(QueueOrderTest, AJobWithoutObjectivesWaitsForThoseThatHaveSome) {
    addObjective("wait", "web", 30s);
    const SchedulingPriority none = priorityOf(add("run-1", "etl"), start);
    EXPECT_EQ(none.missedObjectives, 1U);
    EXPECT_EQ(none.startBy, start + 900s);
    add("run-2", "web");
    EXPECT_EQ(order(start), (std::vector<JobId>{"run-2", "run-1"}));
}

TEST_F(QueueOrderTest, AJobInheritsTheDeadlinesOfItsDependents) {
    Job& job = add("run-1", "etl");
    job.inheritedDeadlines = {start + 50s, start + 80s};
    const SchedulingPriority priority = priorityOf(job, start);
    EXPECT_EQ(priority.missedObjectives, 0U);
    EXPECT_EQ(priority.startBy, start + 40s);
    EXPECT_EQ(priorityOf(job, start + 41s).startBy, start + 70s);
}

TEST_F(QueueOrderTest, TheEarliestLatestStartGoesFirstAndThenTheEarlierSubmission) {
    addObjective("wait", "web", 30s);
    addObjective("wait", "api", 20s);
    add("run-3", "web");
    add("run-1", "web");
    add("run-2", "api");
    jobs[1].submittedWallTime = WallMillis(1);
    EXPECT_EQ(order(start), (std::vector<JobId>{"run-2", "run-3", "run-1"}));
}

TEST_F(QueueOrderTest, TheLargestJobConcedesWhenNotAllCanBeServedInTime) {
    addObjective("finished", "etl", 20s);
    add("run-1", "etl", 90);
    add("run-2", "etl", 4);
    add("run-3", "etl", 4);
    EXPECT_EQ(order(start), (std::vector<JobId>{"run-1", "run-2", "run-3"}))
        << "nothing is known of the drain rate";
    setDrainRate(1);  // 10 cores are free by the time that all have to start
    EXPECT_EQ(order(start), (std::vector<JobId>{"run-2", "run-3", "run-1"}));
}

}  // namespace
}  // namespace basaltchute::scheduler
