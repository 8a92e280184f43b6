#include "dependencies/dependency_graph.h"

#include <gtest/gtest.h>

#include <random>

namespace basaltchute::dependencies {
namespace {

using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

JobProperties properties(Priority priority = Priority::low, Duration duration = 10s,
                         Deadlines deadlines = {}) {
    return {priority, deadlines, duration};
}
/// Deadlines at these times after `start`.
Deadlines deadlinesAt(Duration first, Duration last) {
    return {start + first, start + last};
}

class DependencyGraphTest : public ::testing::Test {
  protected:
    DependencyGraph graph;
    void add(const JobId& id, const std::vector<JobId>& dependencies,
             const JobProperties& own = properties()) {
        for (const auto& dependency : dependencies)
            graph.addJob(dependency, properties(), JobOutcome::open);
        graph.addJob(id, own, JobOutcome::open);
        graph.addDependencies(id, dependencies);
    }
    /// Adds clip -> two splits -> time -> post. Only the last one has a deadline.
    void addPipeline() {
        add("clip", {});
        add("split-1", {"clip"});
        add("split-2", {"clip"}, properties(Priority::low, 25s));
        add("time", {"split-1", "split-2"}, properties(Priority::normal, 20s));
        add("post", {"time"}, properties(Priority::high, 8s, deadlinesAt(100s, 150s)));
        graph.takeChanges();
    }
};

TEST_F(DependencyGraphTest, JobIsReleasedByItsLastDependency) {
    addPipeline();
    EXPECT_FALSE(graph.isBlocked("clip"));
    EXPECT_TRUE(graph.isBlocked("split-1"));
    graph.setOutcome("clip", JobOutcome::done);
    EXPECT_EQ(graph.takeChanges().released, (std::vector<JobId>{"split-1", "split-2"}));
    graph.setOutcome("split-2", JobOutcome::done);
    EXPECT_TRUE(graph.takeChanges().released.empty());
    EXPECT_EQ(graph.unfinishedDependencies("time"), std::vector<JobId>{"split-1"});
    graph.setOutcome("split-1", JobOutcome::done);
    graph.setOutcome("split-1", JobOutcome::done);  // repeated
    EXPECT_EQ(graph.takeChanges().released, std::vector<JobId>{"time"});
    add("later", {"clip", "split-1"});
    EXPECT_FALSE(graph.isBlocked("later")) << "all its dependencies were done when it was added";
}

TEST_F(DependencyGraphTest, CancellationReachesEachDependentOnceAndNeverOverridesDone) {
    addPipeline();
    add("aside", {"clip"});
    graph.setOutcome("split-1", JobOutcome::cancelled);
    EXPECT_EQ(graph.takeChanges().cancelled, (std::vector<JobId>{"time", "post"}));
    EXPECT_EQ(*graph.cancelledDependency("post"), "split-1");
    EXPECT_EQ(graph.cancelledDependency("aside"), nullptr);
    graph.setOutcome("split-2", JobOutcome::done);
    EXPECT_FALSE(graph.isBlocked("time"));
    EXPECT_TRUE(graph.takeChanges().released.empty()) << "a cancelled job is never released";
    add("afterwards", {"post"});
    EXPECT_EQ(*graph.cancelledDependency("afterwards"), "split-1");
    graph.setOutcome("clip", JobOutcome::done);
    graph.setOutcome("clip", JobOutcome::cancelled);
    EXPECT_TRUE(graph.takeChanges().cancelled.empty()) << "done before it was cancelled";
}

TEST_F(DependencyGraphTest, UrgencyIsInheritedAlongTheLongestPathAndRevoked) {
    addPipeline();
    const InheritedUrgency clip = graph.inheritedUrgency("clip");
    EXPECT_EQ(clip.priority, Priority::high);
    // 100 s less the durations on the longest path: 8 s of post, 20 s of time and 25 s of split-2.
    EXPECT_EQ(clip.deadlines, deadlinesAt(47s, 97s));
    EXPECT_EQ(graph.inheritedUrgency("split-1").deadlines, deadlinesAt(72s, 122s));
    // A more urgent dependent counts at once, even if it is added later.
    add("audit", {"split-1"}, properties(Priority::production, 5s, deadlinesAt(40s, 40s)));
    EXPECT_EQ(graph.inheritedUrgency("clip").priority, Priority::production);
    EXPECT_EQ(graph.inheritedUrgency("clip").deadlines.first, start + 25s);
    graph.setOutcome("audit", JobOutcome::cancelled);
    EXPECT_EQ(graph.inheritedUrgency("clip"), clip);
    graph.setDuration("split-2", 60s);
    EXPECT_EQ(graph.inheritedUrgency("clip").deadlines.first, start + 12s);
    graph.setOutcome("post", JobOutcome::cancelled);
    EXPECT_EQ(graph.inheritedUrgency("clip").deadlines, Deadlines{});
    EXPECT_EQ(graph.inheritedUrgency("clip").priority, Priority::normal)
        << "the priority of time itself";
    EXPECT_EQ(graph.findInconsistency(), "");
}

TEST_F(DependencyGraphTest, RemovedJobTakesBackItsUrgencyAndCanBeAddedAgain) {
    addPipeline();
    const InheritedUrgency clip = graph.inheritedUrgency("clip");
    const auto urgent = properties(Priority::production, 5s, deadlinesAt(30s, 40s));
    for (int round = 0; round < 2; ++round) {
        add("report", {"split-1", "split-2"}, urgent);
        EXPECT_EQ(graph.inheritedUrgency("clip").priority, Priority::production);
        graph.removeJob("report");
        EXPECT_FALSE(graph.contains("report"));
        EXPECT_EQ(graph.inheritedUrgency("clip"), clip);
        EXPECT_EQ(graph.findInconsistency(), "");
    }
    graph.takeChanges();
    graph.setOutcome("clip", JobOutcome::done);
    graph.setOutcome("split-1", JobOutcome::done);
    graph.setOutcome("split-2", JobOutcome::done);
    EXPECT_EQ(graph.takeChanges().released, (std::vector<JobId>{"split-1", "split-2", "time"}));
    graph.removeJob("never added");
}

TEST_F(DependencyGraphTest, TopologicalOrderPutsDependenciesFirst) {
    const auto ordered = topologicalOrder(
        {{"post", {"time"}}, {"time", {"split-1", "split-2"}}, {"split-1", {"clip"}}});
    std::vector<JobId> ids;
    for (const auto& job : ordered) ids.push_back(job.id);
    EXPECT_EQ(ids, (std::vector<JobId>{"split-1", "time", "post"}));
}

TEST_F(DependencyGraphTest, IncrementalStateAgreesWithARecomputation) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        DependencyGraph g;
        std::mt19937 random(seed);
        const auto randomBelow = [&](std::size_t n) { return random() % n; };
        std::vector<JobId> ids;
        for (int step = 0; step < 120; ++step) {
            const auto action = randomBelow(10);
            if (ids.size() < 2 || action < 5) {
                const JobId id = "job-" + std::to_string(ids.size());
                std::vector<JobId> dependencies;
                for (std::size_t n = randomBelow(4); n > 0 && !ids.empty(); --n) {
                    const JobId& dependency = ids[randomBelow(ids.size())];
                    if (std::find(dependencies.begin(), dependencies.end(), dependency) ==
                        dependencies.end())
                        dependencies.push_back(dependency);
                }
                const Duration end = std::chrono::seconds(50 + randomBelow(100));
                g.addJob(id,
                         properties(static_cast<Priority>(randomBelow(4)),
                                    std::chrono::seconds(randomBelow(30)),
                                    randomBelow(2) == 0 ? Deadlines{} : deadlinesAt(end, end * 2)),
                         JobOutcome::open);
                g.addDependencies(id, dependencies);
                ids.push_back(id);
            } else {
                const JobId& id = ids[randomBelow(ids.size())];
                if (action < 8) {
                    if (g.unfinishedDependencies(id).empty()) g.setOutcome(id, JobOutcome::done);
                } else if (action == 8) {
                    g.setOutcome(id, JobOutcome::cancelled);
                } else {
                    g.setDuration(id, std::chrono::seconds(randomBelow(40)));
                }
            }
            ASSERT_EQ(g.findInconsistency(), "") << "seed " << seed << ", step " << step;
        }
    }
}

TEST_F(DependencyGraphTest, CostOfAChangeIsProportionalToItsEffect) {
    // Among 10,000 jobs: 1,000 dependents of one job, and a path that is 100 deep.
    for (int i = 0; i < 5000; ++i) {
        add("a-" + std::to_string(i), {});
        add("b-" + std::to_string(i), {"a-" + std::to_string(i)});
    }
    add("fan", {});
    for (int i = 0; i < 1000; ++i) add("fan-" + std::to_string(i), {"fan"});
    add("deep-0", {});
    for (int i = 1; i <= 100; ++i)
        add("deep-" + std::to_string(i), {"deep-" + std::to_string(i - 1)});
    const auto cost = [&](const auto& change) {
        const auto before = graph.visitedNodes();
        change();
        return graph.visitedNodes() - before;
    };
    EXPECT_LE(cost([&] { graph.setOutcome("a-17", JobOutcome::done); }), 2U);
    EXPECT_LE(cost([&] { graph.setOutcome("fan-3", JobOutcome::cancelled); }), 4U);
    EXPECT_LE(cost([&] { graph.setOutcome("fan", JobOutcome::done); }), 1001U);
    // An urgent dependent at the end of the path reaches its first job and visits each once.
    EXPECT_LE(cost([&] {
                  add("last", {"deep-100"},
                      properties(Priority::high, 1s, deadlinesAt(900s, 900s)));
              }),
              110U);
    EXPECT_EQ(graph.inheritedUrgency("deep-0").priority, Priority::high);
    EXPECT_LE(cost([&] { graph.setOutcome("deep-0", JobOutcome::cancelled); }), 2 * 102U);
    EXPECT_EQ(graph.takeChanges().cancelled.size(), 101U);
    EXPECT_EQ(graph.findInconsistency(), "");
}

}  // namespace
}  // namespace basaltchute::dependencies
