#include <gtest/gtest.h>

#include "scheduler/cluster.h"
#include "testing/world.h"

// Tests of dependencies between jobs: when a dependent starts, when it is cancelled along with a
// dependency, which priority and deadline its dependencies inherit, and what a new leader restores.

namespace basaltchute::scheduler {
namespace {

using namespace std::chrono_literals;
using testing::Worker;
using worker_api::Command;
using worker_api::ExitCause;
using worker_api::TaskStatus;

class DependencyTrackingTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    std::unique_ptr<Cluster> cluster = make(5);
    std::map<std::string, std::string> records;
    Worker worker{"n-1"};

    std::unique_ptr<Cluster> make(FencingToken token) {
        auto c = std::make_unique<Cluster>(settings, token);
        c->setCatalogue(testing::someCatalogue());
        c->enableRecordPages();
        return c;
    }
    void commit() { testing::commitAll(*cluster, records); }
    void takeOver() {
        cluster = make(cluster->token() + 1);
        for (const auto& [k, data] : records)
            ASSERT_TRUE(cluster->loadRecord(k, data, clock.now(), clock.wall())) << k;
        cluster->finishLoading(clock.now());
    }
    Job& submit(const JobId& id, std::vector<JobId> dependencyIds, std::uint32_t tasks = 1,
                const std::function<void(JobSpec&)>& change = {}) {
        JobSpec s = testing::spec(id, tasks);
        s.demand = {1, 0, 1};
        s.dependencies = std::move(dependencyIds);
        if (change) change(s);
        EXPECT_EQ(cluster->checkDependencies(s).kind, Cluster::DependencyError::Kind::none);
        EXPECT_EQ(cluster->submit(s, clock.now(), clock.wall()), SubmitResult::accepted);
        commit();
        return *cluster->find(id);
    }
    Job& job(const JobId& id) { return *cluster->find(id); }
    /// Exchanges one heartbeat, commits the changed records, places tasks and commits again.
    void exchangeHeartbeatAndPlace() {
        worker.execute(cluster->onHeartbeat(worker.next(), clock.now()));
        worker.report.token = cluster->token();
        commit();
        cluster->advanceTo(clock.now());
        cluster->place(clock.now());
        commit();
        EXPECT_EQ(cluster->findInconsistency(), "");
    }
    void finish(const JobId& id) {
        for (std::size_t t = 0; t < worker.report.tasks.size(); ++t)
            if (worker.report.tasks[t].job == id)
                worker.set(t, TaskStatus::exited, ExitCause::done);
    }
    bool onWorker(const JobId& id) {
        for (const auto& t : worker.report.tasks)
            if (t.job == id && t.status != TaskStatus::exited) return true;
        return false;
    }
};

TEST_F(DependencyTrackingTest, AJobStartsOnlyAfterItsDependenciesAreDurablyDone) {
    submit("run-1", {});
    Job& second = submit("run-2", {"run-1"});
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    EXPECT_TRUE(onWorker("run-1"));
    EXPECT_TRUE(second.blocked);
    EXPECT_EQ(second.boundCount, 0U);
    finish("run-1");
    cluster->onHeartbeat(worker.next(), clock.now());
    cluster->advanceTo(clock.now());
    cluster->place(clock.now());
    EXPECT_TRUE(job("run-1").allDone());
    EXPECT_TRUE(second.blocked)
        << "the result of run-1 is not durable yet: a new leader would not know of it";
    commit();
    EXPECT_FALSE(second.blocked);
    exchangeHeartbeatAndPlace();
    exchangeHeartbeatAndPlace();
    EXPECT_TRUE(onWorker("run-2"));
}

TEST_F(DependencyTrackingTest, ABlockedJobCountsNeitherForItsTeamsLimitNorAsWaiting) {
    settings.teams = {{"red", 0, 3, 0, 0}};
    settings.objectives = {{"wait", "c", 5s, 0.9}};
    submit("run-1", {}, 2);
    Job& second = submit("run-2", {"run-1"}, 3);
    Job& third = submit("run-3", {}, 1);
    exchangeHeartbeatAndPlace();
    exchangeHeartbeatAndPlace();
    EXPECT_EQ(third.boundCount, 1U) << "the team's limit is 3, and 2 are in use";
    EXPECT_EQ(cluster->openJobs().size(), 2U);
    clock.advance(300s);
    worker.startIncarnation();
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    finish("run-1");
    exchangeHeartbeatAndPlace();
    exchangeHeartbeatAndPlace();
    ASSERT_FALSE(second.blocked);
    // Its waiting time counts from its release, so it can still meet the wait objective.
    EXPECT_EQ(cluster->schedulingPriority(second, clock.now()).missedObjectives, 0U);
    EXPECT_EQ(cluster->schedulingPriority(second, clock.now()).startBy, clock.now() + 5s);
}

TEST_F(DependencyTrackingTest, DependentsAreCancelledWithAJobAndStayCancelledAfterATakeOver) {
    submit("run-1", {});
    submit("run-2", {"run-1"});
    submit("run-3", {"run-2", "run-1"});
    submit("run-4", {"run-3"});
    submit("run-9", {});
    exchangeHeartbeatAndPlace();
    const auto before = records;
    cluster->cancel(job("run-1"), clock.now());
    cluster->advanceTo(clock.now());
    EXPECT_FALSE(job("run-4").cancelled)
        << "the cancellation of run-1 is neither acknowledged nor on record yet";
    commit();
    cluster->advanceTo(clock.now());
    for (const char* id : {"run-2", "run-3", "run-4"}) {
        EXPECT_TRUE(job(id).cancelDurable()) << id;
        EXPECT_EQ(job(id).cancelledDependency, "run-1");
        EXPECT_EQ(records.at("jobs/" + std::string(id)), before.at("jobs/" + std::string(id)))
            << "the cancellation follows from that of run-1, so the record is not rewritten";
    }
    EXPECT_TRUE(job("run-9").open());
    // A job that is submitted later and depends on one of them is accepted, and then cancelled.
    EXPECT_TRUE(submit("run-5", {"run-4"}).cancelDurable());
    takeOver();
    for (const char* id : {"run-1", "run-2", "run-3", "run-4", "run-5"})
        EXPECT_TRUE(job(id).cancelDurable()) << id;
    EXPECT_TRUE(job("run-9").open());
    exchangeHeartbeatAndPlace();
}

TEST_F(DependencyTrackingTest, AJobDoneBeforeItsCancellationDoesNotCancelItsDependents) {
    submit("run-1", {});
    Job& second = submit("run-2", {"run-1"});
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    finish("run-1");
    cluster->onHeartbeat(worker.next(), clock.now());
    cluster->cancel(job("run-1"), clock.now());
    commit();
    cluster->advanceTo(clock.now());
    EXPECT_TRUE(job("run-1").doneDurable());
    EXPECT_FALSE(job("run-1").cancelled);
    EXPECT_FALSE(second.blocked);
    EXPECT_TRUE(second.open());
}

TEST_F(DependencyTrackingTest, ACancelledBlockedJobCancelsOnlyItsDependents) {
    submit("run-1", {});
    submit("run-2", {"run-1"});
    submit("run-3", {"run-2"});
    cluster->cancel(job("run-2"), clock.now());
    commit();
    exchangeHeartbeatAndPlace();
    EXPECT_TRUE(job("run-1").open());
    EXPECT_TRUE(job("run-2").cancelDurable());
    EXPECT_TRUE(job("run-3").cancelDurable());
    takeOver();
    EXPECT_TRUE(job("run-3").cancelDurable());
    EXPECT_TRUE(job("run-1").open());
}

TEST_F(DependencyTrackingTest, ANewLeaderRestoresWhichJobsAreBlockedAndWhenOthersWereReleased) {
    submit("run-1", {});
    submit("run-2", {"run-1"});
    submit("run-3", {"run-2"});
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    takeOver();
    EXPECT_TRUE(job("run-2").blocked);
    EXPECT_TRUE(job("run-3").blocked);
    finish("run-1");
    clock.advance(50s);
    for (int i = 0; i < 4; ++i) exchangeHeartbeatAndPlace();
    ASSERT_TRUE(onWorker("run-2"));
    const Duration waited = job("run-2").releasedAt - job("run-2").submittedAt;
    EXPECT_GE(waited, 50s);
    takeOver();
    EXPECT_FALSE(job("run-2").blocked);
    EXPECT_EQ(job("run-2").releasedAt - job("run-2").submittedAt, waited);
    EXPECT_TRUE(job("run-3").blocked);
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(DependencyTrackingTest, AnInvalidDependencyIsReportedBeforeAnythingIsStored) {
    using Kind = Cluster::DependencyError::Kind;
    submit("run-1", {});
    submit("run-2", {}, 1, [](JobSpec& s) { s.shape = Shape::service; });
    const auto errorFor = [&](std::vector<JobId> dependencyIds) {
        JobSpec s = testing::spec("run-9");
        s.dependencies = std::move(dependencyIds);
        return cluster->checkDependencies(s);
    };
    EXPECT_EQ(errorFor({"run-1"}).kind, Kind::none);
    EXPECT_EQ(errorFor({"run-1", "run-9"}).kind, Kind::self);
    EXPECT_EQ(errorFor({"run-1", "run-7"}).kind, Kind::unknown);
    EXPECT_EQ(errorFor({"run-1", "run-7"}).job, "run-7");
    EXPECT_EQ(errorFor({"run-2"}).kind, Kind::isService);
    cluster->submit(testing::spec("run-3"), clock.now(), clock.wall());
    EXPECT_EQ(errorFor({"run-3"}).kind, Kind::notYetAccepted)
        << "run-3 is submitted but not yet committed";
    EXPECT_EQ(errorFor({"run-3", "run-7"}).kind, Kind::unknown)
        << "run-7 is unknown whether or not run-3 is accepted";
    commit();
    EXPECT_EQ(errorFor({"run-3"}).kind, Kind::none);
}

TEST_F(DependencyTrackingTest, ADependentsPriorityAndDeadlineCountForItsDependencies) {
    settings.objectives = {{"deadline", "post", {}, 0.9, 1}, {"deadline", "post", {}, 0.9, 1.5}};
    const auto low = [](JobSpec& s) { s.priority = Priority::low; };
    submit("run-1", {}, 8, low);
    // No job depends on run-2; without inheritance it would be placed before run-1.
    submit("run-2", {}, 8, low);
    submit("run-3", {"run-1"}, 1, low);
    EXPECT_EQ(job("run-1").effectivePriority, Priority::low);
    submit("run-4", {"run-3"}, 1, [](JobSpec& s) {
        s.jobClass = "post";
        s.priority = Priority::high;
        s.deadlineS = 100;
    });
    EXPECT_EQ(job("run-1").effectivePriority, Priority::high);
    EXPECT_EQ(job("run-3").effectivePriority, Priority::high);
    // The deadline of 100 s less the durations of the two later jobs, and less its own of 10 s.
    const Duration after = cluster->estimatedDuration(job("run-3").spec) +
                           cluster->estimatedDuration(job("run-4").spec);
    EXPECT_EQ(cluster->schedulingPriority(job("run-1"), clock.now()).startBy,
              clock.now() + 100s - after - 10s);
    EXPECT_EQ(cluster->slack(job("run-4"), clock.now()),
              100s - after - cluster->estimatedDuration(job("run-1").spec));
    exchangeHeartbeatAndPlace();
    EXPECT_EQ(job("run-1").boundCount, 8U);
    EXPECT_EQ(job("run-2").boundCount, 0U);
    // Once the first deadline objective is missed, the next one counts.
    EXPECT_EQ(cluster->schedulingPriority(job("run-1"), clock.now() + 95s).missedObjectives, 1U);
    EXPECT_TRUE(cluster->schedulingPriority(job("run-1"), clock.now() + 95s).canMeetAnother);
    cluster->cancel(job("run-4"), clock.now());
    commit();
    exchangeHeartbeatAndPlace();
    EXPECT_EQ(job("run-1").effectivePriority, Priority::low)
        << "no remaining dependent has a higher priority";
    EXPECT_EQ(job("run-1").inheritedDeadlines, Deadlines{});
}

TEST_F(DependencyTrackingTest,
       ADependencyPreemptsByItsInheritedPriorityAndIsNotPreemptedByALowerOne) {
    const auto withPriority = [](Priority p) {
        return [p](JobSpec& s) {
            s.priority = p;
            s.demand = {8, 0, 4};
        };
    };
    submit("run-1", {}, 1, withPriority(Priority::normal));
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    ASSERT_TRUE(onWorker("run-1"));
    submit("run-2", {}, 1, withPriority(Priority::low));
    submit("run-3", {"run-2"}, 1, withPriority(Priority::high));
    exchangeHeartbeatAndPlace();
    EXPECT_TRUE(job("run-1").tasks[0].stopping) << "run-2 inherits the high priority of run-3";
    for (int i = 0; i < 4; ++i) exchangeHeartbeatAndPlace();
    EXPECT_TRUE(onWorker("run-2"));
    submit("run-4", {}, 1, withPriority(Priority::normal));
    for (int i = 0; i < 3; ++i) exchangeHeartbeatAndPlace();
    EXPECT_TRUE(onWorker("run-2"));
}

/// Runs sequences of steps, among them take-overs, on a small dependency graph and checks that no
/// job starts before a dependency is done or after one is cancelled, that no job stays blocked for
/// ever, and that a job once reported as done or cancelled stays so.
class DependencySearch {
  public:
    enum class Step { heartbeat, write, cancelFirst, cancelSecond, takeOver, expire, finish };
    static constexpr int stepKinds = 7;
    explicit DependencySearch(const std::vector<std::vector<JobId>>& dependencyIds)
        : dependencyIds_(dependencyIds) {
        settings_.objectives = {};
    }
    /// Returns the first violation, or an empty string.
    std::string run(const std::vector<Step>& sequence) {
        records_.clear();
        reportedStatus_.clear();
        worker_ = Worker("n-1");
        launchedJobs_.clear();
        finishedJobs_.clear();
        token_ = 1;
        startLeader();
        for (std::size_t i = 0; i < dependencyIds_.size(); ++i) {
            JobSpec s = testing::spec(name(i));
            s.demand = {1, 0, 1};
            s.dependencies = dependencyIds_[i];
            cluster_->submit(s, clock_.now(), clock_.wall());
            write();
        }
        for (const Step s : sequence) {
            apply(s);
            if (auto violation = findViolation(); !violation.empty()) return violation;
        }
        const auto allFinished = [&] {
            for (std::size_t i = 0; i < dependencyIds_.size(); ++i)
                if (const std::string current = status(name(i));
                    current != "done" && current != "cancelled")
                    return false;
            return true;
        };
        for (int i = 0; i < 40 && !allFinished(); ++i) {
            for (const Step s :
                 {Step::heartbeat, Step::write, Step::expire, Step::heartbeat, Step::finish})
                apply(s);
            if (auto violation = findViolation(); !violation.empty()) return violation;
        }
        return allFinished() ? "" : "a job neither finishes nor is cancelled";
    }

  private:
    static JobId name(std::size_t i) { return "run-" + std::to_string(i); }
    void startLeader() {
        cluster_ = std::make_unique<Cluster>(settings_, token_);
        cluster_->setCatalogue(testing::someCatalogue());
        cluster_->enableRecordPages();
        for (const auto& [k, data] : records_)
            cluster_->loadRecord(k, data, clock_.now(), clock_.wall());
        cluster_->finishLoading(clock_.now());
    }
    void write() { testing::commitAll(*cluster_, records_); }
    void apply(Step s) {
        clock_.advance(100ms);
        switch (s) {
            case Step::heartbeat: {
                const auto commands = cluster_->onHeartbeat(worker_.next(), clock_.now());
                worker_.report.token = token_;
                for (const Command& o : commands)
                    if (const auto* launch = std::get_if<worker_api::LaunchTask>(&o))
                        launchedJobs_.insert(launch->attempt.job);
                worker_.execute(commands);
                break;
            }
            case Step::write:
                write();
                break;
            case Step::cancelFirst:
                firstCancelled_ = name(0);
                cluster_->cancel(*cluster_->find(firstCancelled_), clock_.now());
                break;
            case Step::cancelSecond:
                cluster_->cancel(*cluster_->find(name(1)), clock_.now());
                break;
            case Step::takeOver:
                ++token_;
                startLeader();
                break;
            case Step::expire:
                cluster_->advanceTo(clock_.now());
                cluster_->place(clock_.now());
                break;
            case Step::finish:
                for (std::size_t t = 0; t < worker_.report.tasks.size(); ++t)
                    if (worker_.report.tasks[t].status == TaskStatus::running) {
                        worker_.set(t, TaskStatus::exited, ExitCause::done);
                        finishedJobs_.insert(worker_.report.tasks[t].job);
                    }
                break;
        }
    }
    std::string status(const JobId& id) {
        const Job& j = *cluster_->find(id);
        if (j.cancelDurable()) return "cancelled";
        return !j.cancelled && j.doneDurable() ? "done" : "pending";
    }
    std::string findViolation() {
        if (auto violation = cluster_->findInconsistency(); !violation.empty()) return violation;
        for (std::size_t i = 0; i < dependencyIds_.size(); ++i) {
            const JobId id = name(i);
            const std::string current = status(id);
            std::string& previous = reportedStatus_[id];
            if ((previous == "done" || previous == "cancelled") && current != previous)
                return id + " was reported as " + previous + " and is now " + current;
            previous = current;
            for (const auto& dependencyId : dependencyIds_[i]) {
                if (launchedJobs_.contains(id) && !finishedJobs_.contains(dependencyId))
                    return id + " started before its dependency was done";
                if (launchedJobs_.contains(id) && status(dependencyId) == "cancelled")
                    return id + " was started although its dependency is cancelled";
            }
        }
        return "";
    }

    const std::vector<std::vector<JobId>>& dependencyIds_;
    FakeClock clock_;
    settings::Settings settings_ = testing::someSettings();
    std::unique_ptr<Cluster> cluster_;
    std::map<std::string, std::string> records_, reportedStatus_;
    std::set<JobId> launchedJobs_, finishedJobs_;
    JobId firstCancelled_;
    Worker worker_{"n-1"};
    FencingToken token_ = 1;
};

TEST(DependencySearch, NoOrderOfStepsStartsAJobTooEarlyOrLeavesOneBlocked) {
    const std::vector<std::vector<std::vector<JobId>>> graphs{
        {{}, {"run-0"}, {"run-1"}},                      // a chain
        {{}, {"run-0"}, {"run-0"}, {"run-1", "run-2"}},  // a diamond
        {{}, {}, {"run-0", "run-1"}},                    // one job with two dependencies
    };
    std::size_t sequencesRun = 0;
    for (const auto& graph : graphs) {
        DependencySearch search(graph);
        const std::size_t length = &graph == &graphs.front() ? 4 : 3;
        std::size_t sequenceCount = 1;
        for (std::size_t i = 0; i < length; ++i) sequenceCount *= DependencySearch::stepKinds;
        for (std::size_t n = 0; n < sequenceCount; ++n) {
            std::vector<DependencySearch::Step> sequence;
            // Each sequence runs from the start, from where the first job runs, and from where its
            // result has been reported.
            for (std::size_t remainder = n, i = 0; i < length;
                 ++i, remainder /= DependencySearch::stepKinds)
                sequence.push_back(
                    static_cast<DependencySearch::Step>(remainder % DependencySearch::stepKinds));
            using S = DependencySearch::Step;
            for (const std::vector<S>& before :
                 {std::vector<S>{},
                  std::vector<S>{S::heartbeat, S::expire, S::write, S::heartbeat, S::heartbeat},
                  std::vector<S>{S::heartbeat, S::expire, S::write, S::heartbeat, S::heartbeat,
                                 S::finish, S::heartbeat}}) {
                auto whole = before;
                whole.insert(whole.end(), sequence.begin(), sequence.end());
                ++sequencesRun;
                ASSERT_EQ(search.run(whole), "") << "sequence " << n << " after " << before.size();
            }
        }
    }
    EXPECT_EQ(sequencesRun, 3U * (2401U + 2U * 343U));
}

}  // namespace
}  // namespace basaltchute::scheduler
