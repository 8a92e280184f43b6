#include "chains/chains.h"

#include <gtest/gtest.h>

#include <random>

namespace basaltchute::chains {
namespace {

using namespace std::chrono_literals;

const TimePoint start{std::chrono::hours(1)};

Own own(Priority p = Priority::low, Duration takes = 10s, Ends ends = {}) {
    return {p, ends, takes};
}
Ends by(Duration first, Duration last) {
    return {start + first, start + last};
}

class ChainsTest : public ::testing::Test {
  protected:
    Graph graph;
    void add(const JobId& id, const std::vector<JobId>& needs, const Own& what = own()) {
        for (const auto& n : needs) graph.join(n, own(), Fate::open);
        graph.join(id, what, Fate::open);
        graph.link(id, needs);
    }
    /// clip -> two splits -> time -> post, with the deadline on the last.
    void pipeline() {
        add("clip", {});
        add("split-1", {"clip"});
        add("split-2", {"clip"}, own(Priority::low, 25s));
        add("time", {"split-1", "split-2"}, own(Priority::normal, 20s));
        add("post", {"time"}, own(Priority::high, 8s, by(100s, 150s)));
        graph.take();
    }
};

TEST_F(ChainsTest, AJobIsReleasedByTheLastThatItNeeds) {
    pipeline();
    EXPECT_FALSE(graph.waits("clip"));
    EXPECT_TRUE(graph.waits("split-1"));
    graph.settle("clip", Fate::done);
    EXPECT_EQ(graph.take().released, (std::vector<JobId>{"split-1", "split-2"}));
    graph.settle("split-2", Fate::done);
    EXPECT_TRUE(graph.take().released.empty());
    EXPECT_EQ(graph.unmet("time"), std::vector<JobId>{"split-1"});
    graph.settle("split-1", Fate::done);
    graph.settle("split-1", Fate::done);  // said again
    EXPECT_EQ(graph.take().released, std::vector<JobId>{"time"});
    add("later", {"clip", "split-1"});
    EXPECT_FALSE(graph.waits("later")) << "all that it needs was over when it came";
}

TEST_F(ChainsTest, ACancellationReachesAllAfterItOnceAndDoneWins) {
    pipeline();
    add("aside", {"clip"});
    graph.settle("split-1", Fate::cancelled);
    EXPECT_EQ(graph.take().cancelled, (std::vector<JobId>{"time", "post"}));
    EXPECT_EQ(*graph.cancelledWith("post"), "split-1");
    EXPECT_EQ(graph.cancelledWith("aside"), nullptr);
    graph.settle("split-2", Fate::done);
    EXPECT_FALSE(graph.waits("time"));
    EXPECT_TRUE(graph.take().released.empty()) << "what is cancelled is never released";
    add("afterwards", {"post"});
    EXPECT_EQ(*graph.cancelledWith("afterwards"), "split-1");
    graph.settle("clip", Fate::done);
    graph.settle("clip", Fate::cancelled);
    EXPECT_TRUE(graph.take().cancelled.empty()) << "done before it was cancelled";
}

TEST_F(ChainsTest, UrgencyIsHandedUpTheLongestWayAndTakenBack) {
    pipeline();
    const Urgency clip = graph.urgency("clip");
    EXPECT_EQ(clip.priority, Priority::high);
    // 100 s less 8 of the last, 20 of the third and 25 of the longer second.
    EXPECT_EQ(clip.ends, by(47s, 97s));
    EXPECT_EQ(graph.urgency("split-1").ends, by(72s, 122s));
    // A last job that comes late and is more urgent counts at once.
    add("audit", {"split-1"}, own(Priority::production, 5s, by(40s, 40s)));
    EXPECT_EQ(graph.urgency("clip").priority, Priority::production);
    EXPECT_EQ(graph.urgency("clip").ends.first, start + 25s);
    graph.settle("audit", Fate::cancelled);
    EXPECT_EQ(graph.urgency("clip"), clip);
    graph.retime("split-2", 60s);
    EXPECT_EQ(graph.urgency("clip").ends.first, start + 12s);
    graph.settle("post", Fate::cancelled);
    EXPECT_EQ(graph.urgency("clip").ends, Ends{});
    EXPECT_EQ(graph.urgency("clip").priority, Priority::normal) << "the third stage's own";
    EXPECT_EQ(graph.check(), "");
}

TEST_F(ChainsTest, WhatIsReadBackComesInAnOrderInWhichItCanBeLinked) {
    const auto ordered =
        inOrder({{"post", {"time"}}, {"time", {"split-1", "split-2"}}, {"split-1", {"clip"}}});
    std::vector<JobId> ids;
    for (const auto& w : ordered) ids.push_back(w.id);
    EXPECT_EQ(ids, (std::vector<JobId>{"split-1", "time", "post"}));
}

TEST_F(ChainsTest, AllThatIsCountedAgreesWithAPlainRecount) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Graph g;
        std::mt19937 random(seed);
        const auto below = [&](std::size_t n) { return random() % n; };
        std::vector<JobId> ids;
        for (int step = 0; step < 120; ++step) {
            const auto what = below(10);
            if (ids.size() < 2 || what < 5) {
                const JobId id = "job-" + std::to_string(ids.size());
                std::vector<JobId> needs;
                for (std::size_t n = below(4); n > 0 && !ids.empty(); --n) {
                    const JobId& need = ids[below(ids.size())];
                    if (std::find(needs.begin(), needs.end(), need) == needs.end())
                        needs.push_back(need);
                }
                const Duration end = std::chrono::seconds(50 + below(100));
                g.join(id,
                       own(static_cast<Priority>(below(4)), std::chrono::seconds(below(30)),
                           below(2) == 0 ? Ends{} : by(end, end * 2)),
                       Fate::open);
                g.link(id, needs);
                ids.push_back(id);
            } else {
                const JobId& id = ids[below(ids.size())];
                if (what < 8) {
                    if (g.unmet(id).empty()) g.settle(id, Fate::done);
                } else if (what == 8) {
                    g.settle(id, Fate::cancelled);
                } else {
                    g.retime(id, std::chrono::seconds(below(40)));
                }
            }
            ASSERT_EQ(g.check(), "") << "seed " << seed << ", step " << step;
        }
    }
}

TEST_F(ChainsTest, EachChangeCostsWhatItChanges) {
    // Among 10,000 that wait: a fan of 1,000 after one job, and a chain that is 100 deep.
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
        const auto before = graph.looks();
        change();
        return graph.looks() - before;
    };
    EXPECT_LE(cost([&] { graph.settle("a-17", Fate::done); }), 2U);
    EXPECT_LE(cost([&] { graph.settle("fan-3", Fate::cancelled); }), 4U);
    EXPECT_LE(cost([&] { graph.settle("fan", Fate::done); }), 1001U);
    // An urgent last job at the end of the chain reaches its first, each on the way once.
    EXPECT_LE(cost([&] { add("last", {"deep-100"}, own(Priority::high, 1s, by(900s, 900s))); }),
              110U);
    EXPECT_EQ(graph.urgency("deep-0").priority, Priority::high);
    EXPECT_LE(cost([&] { graph.settle("deep-0", Fate::cancelled); }), 2 * 102U);
    EXPECT_EQ(graph.take().cancelled.size(), 101U);
    EXPECT_EQ(graph.check(), "");
}

}  // namespace
}  // namespace basaltchute::chains
