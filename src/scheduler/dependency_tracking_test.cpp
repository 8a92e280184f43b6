#include <gtest/gtest.h>

#include "scheduler/cluster.h"
#include "testing/world.h"

// Jobs that wait for others, as the scheduler carries it out.

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
    Worker w{"n-1"};

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
    Job& submit(const JobId& id, std::vector<JobId> needs, std::uint32_t tasks = 1,
                const std::function<void(JobSpec&)>& change = {}) {
        JobSpec s = testing::spec(id, tasks);
        s.demand = {1, 0, 1};
        s.dependencies = std::move(needs);
        if (change) change(s);
        EXPECT_EQ(cluster->checkDependencies(s).kind, Cluster::DependencyError::Kind::none);
        EXPECT_EQ(cluster->submit(s, clock.now(), clock.wall()), SubmitResult::accepted);
        commit();
        return *cluster->find(id);
    }
    Job& job(const JobId& id) { return *cluster->find(id); }
    /// One heartbeat, with time for what follows: records are written, work is placed.
    void round() {
        w.execute(cluster->onHeartbeat(w.next(), clock.now()));
        w.report.token = cluster->token();
        commit();
        cluster->advanceTo(clock.now());
        cluster->place(clock.now());
        commit();
        EXPECT_EQ(cluster->findInconsistency(), "");
    }
    void finish(const JobId& id) {
        for (std::size_t t = 0; t < w.report.tasks.size(); ++t)
            if (w.report.tasks[t].job == id) w.set(t, TaskStatus::exited, ExitCause::done);
    }
    bool onWorker(const JobId& id) {
        for (const auto& t : w.report.tasks)
            if (t.job == id && t.status != TaskStatus::exited) return true;
        return false;
    }
};

TEST_F(DependencyTrackingTest, NothingStartsBeforeItsDependenciesAreDoneOnRecord) {
    submit("run-1", {});
    Job& second = submit("run-2", {"run-1"});
    for (int i = 0; i < 3; ++i) round();
    EXPECT_TRUE(onWorker("run-1"));
    EXPECT_TRUE(second.blocked);
    EXPECT_EQ(second.boundCount, 0U);
    finish("run-1");
    cluster->onHeartbeat(w.next(), clock.now());
    cluster->advanceTo(clock.now());
    cluster->place(clock.now());
    EXPECT_TRUE(job("run-1").allDone());
    EXPECT_TRUE(second.blocked)
        << "its result does not stand yet: a successor would not know of it";
    commit();
    EXPECT_FALSE(second.blocked);
    round();
    round();
    EXPECT_TRUE(onWorker("run-2"));
}

TEST_F(DependencyTrackingTest, ABlockedJobCountsNowhere) {
    settings.teams = {{"red", 0, 3, 0, 0}};
    settings.objectives = {{"wait", "c", 5s, 0.9}};
    submit("run-1", {}, 2);
    Job& second = submit("run-2", {"run-1"}, 3);
    Job& third = submit("run-3", {}, 1);
    round();
    round();
    EXPECT_EQ(third.boundCount, 1U) << "its team's limit is 3, and 2 are in use";
    EXPECT_EQ(cluster->openJobs().size(), 2U);
    clock.advance(300s);
    w.newSession();
    for (int i = 0; i < 3; ++i) round();
    finish("run-1");
    round();
    round();
    ASSERT_FALSE(second.blocked);
    // Its waiting counts from now: it can still meet what counts from its release.
    EXPECT_EQ(cluster->schedulingPriority(second, clock.now()).missedObjectives, 0U);
    EXPECT_EQ(cluster->schedulingPriority(second, clock.now()).startBy, clock.now() + 5s);
}

TEST_F(DependencyTrackingTest, DependentsAreCancelledWithAJobAndStaySoAfterATakeOver) {
    submit("run-1", {});
    submit("run-2", {"run-1"});
    submit("run-3", {"run-2", "run-1"});
    submit("run-4", {"run-3"});
    submit("run-9", {});
    round();
    const auto before = records;
    cluster->cancel(job("run-1"), clock.now());
    cluster->advanceTo(clock.now());
    EXPECT_FALSE(job("run-4").cancelled) << "nothing was acknowledged, and no record says so";
    commit();
    cluster->advanceTo(clock.now());
    for (const char* id : {"run-2", "run-3", "run-4"}) {
        EXPECT_TRUE(job(id).cancelDurable()) << id;
        EXPECT_EQ(job(id).cancelledDependency, "run-1");
        EXPECT_EQ(records.at("jobs/" + std::string(id)), before.at("jobs/" + std::string(id)))
            << "it follows, and is not written";
    }
    EXPECT_TRUE(job("run-9").open());
    // Whoever names one of them afterwards is accepted, and cancelled.
    EXPECT_TRUE(submit("run-5", {"run-4"}).cancelDurable());
    takeOver();
    for (const char* id : {"run-1", "run-2", "run-3", "run-4", "run-5"})
        EXPECT_TRUE(job(id).cancelDurable()) << id;
    EXPECT_TRUE(job("run-9").open());
    round();
}

TEST_F(DependencyTrackingTest, AJobDoneBeforeItsCancellationDoesNotCancelItsDependents) {
    submit("run-1", {});
    Job& second = submit("run-2", {"run-1"});
    for (int i = 0; i < 3; ++i) round();
    finish("run-1");
    cluster->onHeartbeat(w.next(), clock.now());
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
    round();
    EXPECT_TRUE(job("run-1").open());
    EXPECT_TRUE(job("run-2").cancelDurable());
    EXPECT_TRUE(job("run-3").cancelDurable());
    takeOver();
    EXPECT_TRUE(job("run-3").cancelDurable());
    EXPECT_TRUE(job("run-1").open());
}

TEST_F(DependencyTrackingTest, ASuccessorKnowsWhichJobsAreBlockedAndWhichWereReleased) {
    submit("run-1", {});
    submit("run-2", {"run-1"});
    submit("run-3", {"run-2"});
    for (int i = 0; i < 3; ++i) round();
    takeOver();
    EXPECT_TRUE(job("run-2").blocked);
    EXPECT_TRUE(job("run-3").blocked);
    finish("run-1");
    clock.advance(50s);
    for (int i = 0; i < 4; ++i) round();
    ASSERT_TRUE(onWorker("run-2"));
    const Duration waited = job("run-2").releasedAt - job("run-2").submittedAt;
    EXPECT_GE(waited, 50s);
    takeOver();
    EXPECT_FALSE(job("run-2").blocked);
    EXPECT_EQ(job("run-2").releasedAt - job("run-2").submittedAt, waited);
    EXPECT_TRUE(job("run-3").blocked);
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(DependencyTrackingTest, AnInvalidDependencyIsNamedBeforeAnythingIsStored) {
    using Kind = Cluster::DependencyError::Kind;
    submit("run-1", {});
    submit("run-2", {}, 1, [](JobSpec& s) { s.shape = Shape::service; });
    const auto wrong = [&](std::vector<JobId> needs) {
        JobSpec s = testing::spec("run-9");
        s.dependencies = std::move(needs);
        return cluster->checkDependencies(s);
    };
    EXPECT_EQ(wrong({"run-1"}).kind, Kind::none);
    EXPECT_EQ(wrong({"run-1", "run-9"}).kind, Kind::self);
    EXPECT_EQ(wrong({"run-1", "run-7"}).kind, Kind::unknown);
    EXPECT_EQ(wrong({"run-1", "run-7"}).job, "run-7");
    EXPECT_EQ(wrong({"run-2"}).kind, Kind::isService);
    cluster->submit(testing::spec("run-3"), clock.now(), clock.wall());
    EXPECT_EQ(wrong({"run-3"}).kind, Kind::notYetAccepted) << "its acceptance is under way";
    EXPECT_EQ(wrong({"run-3", "run-7"}).kind, Kind::unknown) << "certain, whatever becomes of it";
    commit();
    EXPECT_EQ(wrong({"run-3"}).kind, Kind::none);
}

TEST_F(DependencyTrackingTest, ADependentsPriorityAndDeadlineCountForItsDependencies) {
    settings.objectives = {{"deadline", "post", {}, 0.9, 1}, {"deadline", "post", {}, 0.9, 1.5}};
    const auto low = [](JobSpec& s) { s.priority = Priority::low; };
    submit("run-1", {}, 8, low);
    submit("run-2", {}, 8, low);  // no dependency of the others, and first in line otherwise
    submit("run-3", {"run-1"}, 1, low);
    EXPECT_EQ(job("run-1").effectivePriority, Priority::low);
    submit("run-4", {"run-3"}, 1, [](JobSpec& s) {
        s.jobClass = "post";
        s.priority = Priority::high;
        s.deadlineS = 100;
    });
    EXPECT_EQ(job("run-1").effectivePriority, Priority::high);
    EXPECT_EQ(job("run-3").effectivePriority, Priority::high);
    // 100 s less what the two after it take, and its own run.
    const Duration after = cluster->estimatedDuration(job("run-3").spec) +
                           cluster->estimatedDuration(job("run-4").spec);
    EXPECT_EQ(cluster->schedulingPriority(job("run-1"), clock.now()).startBy,
              clock.now() + 100s - after - 10s);
    EXPECT_EQ(cluster->slack(job("run-4"), clock.now()),
              100s - after - cluster->estimatedDuration(job("run-1").spec));
    round();
    EXPECT_EQ(job("run-1").boundCount, 8U);
    EXPECT_EQ(job("run-2").boundCount, 0U);
    // Past its first deadline it goes by the next one.
    EXPECT_EQ(cluster->schedulingPriority(job("run-1"), clock.now() + 95s).missedObjectives, 1U);
    EXPECT_TRUE(cluster->schedulingPriority(job("run-1"), clock.now() + 95s).canMeetAnother);
    cluster->cancel(job("run-4"), clock.now());
    commit();
    round();
    EXPECT_EQ(job("run-1").effectivePriority, Priority::low) << "nobody asks for more any longer";
    EXPECT_EQ(job("run-1").inheritedDeadlines, Deadlines{});
}

TEST_F(DependencyTrackingTest, ADependencyPreemptsByItsInheritedRankAndIsNotPreemptedBelowIt) {
    const auto rank = [](Priority p) {
        return [p](JobSpec& s) {
            s.priority = p;
            s.demand = {8, 0, 4};
        };
    };
    submit("run-1", {}, 1, rank(Priority::normal));
    for (int i = 0; i < 3; ++i) round();
    ASSERT_TRUE(onWorker("run-1"));
    submit("run-2", {}, 1, rank(Priority::low));
    submit("run-3", {"run-2"}, 1, rank(Priority::high));
    round();
    EXPECT_TRUE(job("run-1").tasks[0].stopping) << "run-2 counts as high for run-3's sake";
    for (int i = 0; i < 4; ++i) round();
    EXPECT_TRUE(onWorker("run-2"));
    submit("run-4", {}, 1, rank(Priority::normal));
    for (int i = 0; i < 3; ++i) round();
    EXPECT_TRUE(onWorker("run-2"));
}

/// Every order of steps of a small graph, with a take-over possible after each: nothing runs after
/// an unfinished or cancelled dependency, nothing is blocked for ever, and every answer stays true.
class DependencySearch {
  public:
    enum class Step { heartbeat, write, cancelFirst, cancelSecond, takeOver, expire, finish };
    static constexpr int steps = 7;
    explicit DependencySearch(const std::vector<std::vector<JobId>>& needs) : needs_(needs) {
        settings_.objectives = {};
    }
    /// What went wrong, or nothing.
    std::string play(const std::vector<Step>& story) {
        records_.clear();
        told_.clear();
        w_ = Worker("n-1");
        ran_.clear();
        done_.clear();
        token_ = 1;
        renew();
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            JobSpec s = testing::spec(name(i));
            s.demand = {1, 0, 1};
            s.dependencies = needs_[i];
            cluster_->submit(s, clock_.now(), clock_.wall());
            write();
        }
        for (const Step s : story) {
            apply(s);
            if (auto bad = wrong(); !bad.empty()) return bad;
        }
        const auto over = [&] {
            for (std::size_t i = 0; i < needs_.size(); ++i)
                if (const std::string is = status(name(i)); is != "done" && is != "cancelled")
                    return false;
            return true;
        };
        for (int i = 0; i < 40 && !over(); ++i) {
            for (const Step s :
                 {Step::heartbeat, Step::write, Step::expire, Step::heartbeat, Step::finish})
                apply(s);
            if (auto bad = wrong(); !bad.empty()) return bad;
        }
        return over() ? "" : "something waits for ever";
    }

  private:
    static JobId name(std::size_t i) { return "run-" + std::to_string(i); }
    void renew() {
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
                const auto commands = cluster_->onHeartbeat(w_.next(), clock_.now());
                w_.report.token = token_;
                for (const Command& o : commands)
                    if (const auto* launch = std::get_if<worker_api::LaunchTask>(&o))
                        ran_.insert(launch->attempt.job);
                w_.execute(commands);
                break;
            }
            case Step::write:
                write();
                break;
            case Step::cancelFirst:
                cancellations_ = name(0);
                cluster_->cancel(*cluster_->find(cancellations_), clock_.now());
                break;
            case Step::cancelSecond:
                cluster_->cancel(*cluster_->find(name(1)), clock_.now());
                break;
            case Step::takeOver:
                ++token_;
                renew();
                break;
            case Step::expire:
                cluster_->advanceTo(clock_.now());
                cluster_->place(clock_.now());
                break;
            case Step::finish:
                for (std::size_t t = 0; t < w_.report.tasks.size(); ++t)
                    if (w_.report.tasks[t].status == TaskStatus::running) {
                        w_.set(t, TaskStatus::exited, ExitCause::done);
                        done_.insert(w_.report.tasks[t].job);
                    }
                break;
        }
    }
    std::string status(const JobId& id) {
        const Job& j = *cluster_->find(id);
        if (j.cancelDurable()) return "cancelled";
        return !j.cancelled && j.doneDurable() ? "done" : "pending";
    }
    std::string wrong() {
        if (auto bad = cluster_->findInconsistency(); !bad.empty()) return bad;
        for (std::size_t i = 0; i < needs_.size(); ++i) {
            const JobId id = name(i);
            const std::string is = status(id);
            std::string& was = told_[id];
            if ((was == "done" || was == "cancelled") && is != was)
                return id + " was answered to be " + was + " and is " + is;
            was = is;
            for (const auto& need : needs_[i]) {
                if (ran_.contains(id) && !done_.contains(need)) return id + " is too early";
                if (ran_.contains(id) && status(need) == "cancelled")
                    return id + " ran after a cancelled job";
            }
        }
        return "";
    }

    const std::vector<std::vector<JobId>>& needs_;
    FakeClock clock_;
    settings::Settings settings_ = testing::someSettings();
    std::unique_ptr<Cluster> cluster_;
    std::map<std::string, std::string> records_, told_;
    std::set<JobId> ran_, done_;
    JobId cancellations_;
    Worker w_{"n-1"};
    FencingToken token_ = 1;
};

TEST(DependencySearch, NoOrderOfStepsStartsAJobTooEarlyOrLeavesOneBlocked) {
    const std::vector<std::vector<std::vector<JobId>>> graphs{
        {{}, {"run-0"}, {"run-1"}},                      // a chain
        {{}, {"run-0"}, {"run-0"}, {"run-1", "run-2"}},  // a diamond
        {{}, {}, {"run-0", "run-1"}},                    // two before one
    };
    std::size_t played = 0;
    for (const auto& graph : graphs) {
        DependencySearch search(graph);
        const std::size_t length = &graph == &graphs.front() ? 4 : 3;
        std::size_t all = 1;
        for (std::size_t i = 0; i < length; ++i) all *= DependencySearch::steps;
        for (std::size_t n = 0; n < all; ++n) {
            std::vector<DependencySearch::Step> story;
            // From where the first job runs, from the start, and from where its result is known.
            for (std::size_t at = n, i = 0; i < length; ++i, at /= DependencySearch::steps)
                story.push_back(static_cast<DependencySearch::Step>(at % DependencySearch::steps));
            using S = DependencySearch::Step;
            for (const std::vector<S>& before :
                 {std::vector<S>{},
                  std::vector<S>{S::heartbeat, S::expire, S::write, S::heartbeat, S::heartbeat},
                  std::vector<S>{S::heartbeat, S::expire, S::write, S::heartbeat, S::heartbeat,
                                 S::finish, S::heartbeat}}) {
                auto whole = before;
                whole.insert(whole.end(), story.begin(), story.end());
                ++played;
                ASSERT_EQ(search.play(whole), "") << "story " << n << " after " << before.size();
            }
        }
    }
    EXPECT_EQ(played, 3U * (2401U + 2U * 343U));
}

}  // namespace
}  // namespace basaltchute::scheduler
