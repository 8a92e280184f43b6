#pragma once
// For tests only: a leader's state on a fake clock, and shorthands for what its machines do.
#include <gtest/gtest.h>

#include "scheduler/cluster.h"
#include "testing/world.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using testing::Worker;
using worker_api::Command;
using worker_api::ExitCause;
using worker_api::StopTask;
using worker_api::TaskStatus;

/// The alternatives of a command, in their order, for comparisons of several at once.
enum class CommandKind { launch, stop, forget };
inline CommandKind kindOf(const Command& command) {
    static_assert(
        std::is_same_v<Command,
                       std::variant<worker_api::LaunchTask, StopTask, worker_api::ForgetTask>>);
    return static_cast<CommandKind>(command.index());
}

/// A leader's state on a fake clock, with the state service played by `commit`.
class ClusterTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    std::unique_ptr<Cluster> cluster = makeCluster(5);
    std::map<std::string, std::string> records;

    std::unique_ptr<Cluster> makeCluster(FencingToken token) {
        auto c = std::make_unique<Cluster>(settings, token);
        c->setCatalogue(testing::someCatalogue());
        return c;
    }
    void commit() { testing::commitAll(*cluster, records); }
    void takeOver() {
        cluster = makeCluster(cluster->token() + 1);
        for (const auto& [k, data] : records)
            ASSERT_TRUE(cluster->loadRecord(k, data, clock.now(), clock.wall()));
        cluster->finishLoading(clock.now());
    }
    std::vector<Command> heartbeat(Worker& w) {
        const auto commands = cluster->onHeartbeat(w.next(), clock.now());
        w.report.token = cluster->token();
        return commands;
    }
    void exchangeHeartbeat(Worker& w) { w.execute(heartbeat(w)); }
    Job& submit(const JobSpec& spec) {
        EXPECT_EQ(cluster->submit(spec, clock.now(), clock.wall()), SubmitResult::accepted);
        commit();
        return *cluster->find(spec.id);
    }
    void place() { cluster->place(clock.now()); }
    /// There is capacity for one of two jobs, and it goes to run-2, which came later.
    void expectSecondJobPlacedFirst(const JobSpec& first, Duration apart) {
        submit(first);
        clock.advance(apart);
        submit(testing::spec("run-2", 2));
        Worker w("n-1");
        exchangeHeartbeat(w);
        place();
        EXPECT_EQ(cluster->find("run-2")->boundCount, 2U);
        EXPECT_EQ(cluster->find(first.id)->boundCount, 0U);
    }
    /// Submits, places and launches on `w` so that every task runs there.
    Job& submitAndRun(Worker& w, const JobSpec& spec) {
        exchangeHeartbeat(w);
        Job& job = submit(spec);
        place();
        commit();
        exchangeHeartbeat(w);
        exchangeHeartbeat(w);
        EXPECT_EQ(job.runningCount, spec.tasks);
        return job;
    }
};

}  // namespace basaltchute::scheduler
