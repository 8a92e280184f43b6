#pragma once
// Test fixture: a cluster on a fake clock, and helpers that play its machines and state service.
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

/// The alternatives of a command, in the order of the variant, to compare several commands at once.
enum class CommandKind { launch, stop, forget };
inline CommandKind kindOf(const Command& command) {
    static_assert(
        std::is_same_v<Command,
                       std::variant<worker_api::LaunchTask, StopTask, worker_api::ForgetTask>>);
    return static_cast<CommandKind>(command.index());
}

/// A cluster on a fake clock. `commit` plays the state service.
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
    /// Makes everything that the cluster wants to write durable.
    void commit() { testing::commitAll(*cluster, records); }
    /// Replaces the cluster by that of the next leader, loaded from the records.
    void takeOver() {
        cluster = makeCluster(cluster->lastToken() + 1);
        for (const auto& [k, data] : records)
            ASSERT_TRUE(cluster->loadRecord(k, data, clock.now(), clock.wall()));
        cluster->finishLoading(clock.now());
    }
    /// Sends a heartbeat and returns the commands in its response, without executing them.
    std::vector<Command> heartbeat(Worker& w) {
        const auto commands = cluster->onHeartbeat(w.next(), clock.now());
        w.report.token = cluster->commandToken(w.report.machine);
        return commands;
    }
    /// Sends a heartbeat and executes the commands in its response.
    void exchangeHeartbeat(Worker& w) { w.execute(heartbeat(w)); }
    /// Submits a job, which must be accepted, and commits.
    Job& submit(const JobSpec& spec) {
        EXPECT_EQ(cluster->submit(spec, clock.now(), clock.wall()), SubmitResult::accepted);
        commit();
        return *cluster->find(spec.id);
    }
    void place() { cluster->place(clock.now()); }
    /// Expects that of two jobs, where there is capacity for one only, the second is placed. It is
    /// submitted `delay` after `first`.
    void expectSecondJobPlacedFirst(const JobSpec& first, Duration delay) {
        submit(first);
        clock.advance(delay);
        submit(testing::spec("run-2", 2));
        Worker w("n-1");
        exchangeHeartbeat(w);
        place();
        EXPECT_EQ(cluster->find("run-2")->boundCount, 2U);
        EXPECT_EQ(cluster->find(first.id)->boundCount, 0U);
    }
    /// Submits a job and makes all its tasks run on `w`.
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
