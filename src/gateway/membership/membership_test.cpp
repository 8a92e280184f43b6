#include "gateway/membership/membership.h"

#include <gtest/gtest.h>

#include "gateway/queue_owner/concurrency_limiter.h"
#include "gateway/queue_owner/round_robin_queue.h"
#include "gateway/queue_owner/write_limiter.h"
#include "testing/world.h"

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;

std::map<std::string, Member> members(int n, const std::set<QueueName>& queues) {
    std::map<std::string, Member> out;
    for (int i = 0; i < n; ++i) {
        const std::string name = "gw-" + std::to_string(i);
        out[name] = {name, name, "", "", false, queues};
    }
    return out;
}

TEST(Membership, QueuesAreSpreadAndOnlyThoseOfWhoComesOrGoesMove) {
    std::set<QueueName> queues;
    for (int i = 0; i < 200; ++i) queues.insert("team/" + std::to_string(i));
    auto all = members(4, queues);
    std::map<QueueName, std::string> before;
    std::map<std::string, int> load;
    for (const auto& q : queues) ++load[before[q] = preferredOwner(q, all)->instance];
    for (const auto& [name, n] : load) EXPECT_NEAR(n, 50, 25) << name;
    all["gw-1"].draining = true;
    for (const auto& q : queues) {
        const auto& now = preferredOwner(q, all)->instance;
        EXPECT_NE(now, "gw-1");
        if (before[q] != "gw-1") {
            EXPECT_EQ(now, before[q]);
        }
    }
    all["gw-2"].queues.clear();
    for (const auto& q : queues) EXPECT_NE(preferredOwner(q, all)->instance, "gw-2");
    EXPECT_EQ(preferredOwner("team/0", {}), nullptr);
}

TEST(RoundRobinQueue, TeamsAreServedInTurnHoweverManyOneHasWaiting) {
    RoundRobinQueue<int> t;
    for (int i = 0; i < 5; ++i) t.push("a", i);
    t.push("b", 10);
    t.push("c", 20);
    std::vector<int> order;
    while (auto n = t.next()) order.push_back(*n);
    EXPECT_EQ(order, (std::vector<int>{0, 10, 20, 1, 2, 3, 4}));
}

TEST(WriteLimiter, EachPassesInItsTurnAndWhoHasGoneHoldsUpNobody) {
    basaltchute::testing::World world;
    RateLimiter writes(1, 1, world.clock.now());
    WriteLimiter t(world.loop, writes);
    EXPECT_FALSE(t.tryAcquire(1, 0s, 0.5));
    EXPECT_FALSE(t.tryAcquire(2, 0s, 1)) << "the first one waits for the budget";
    EXPECT_TRUE(t.tryAcquire(2, 0s, 2)) << "which has enough for both";
    EXPECT_FALSE(t.tryAcquire(2, 0s, 1));
    EXPECT_TRUE(t.tryAcquire(1, 0s, 1));
    EXPECT_FALSE(t.tryAcquire(1, 0s, 1)) << "once a turn";
    EXPECT_TRUE(t.tryAcquire(2, 0s, 1));
    world.run(1s);
    EXPECT_TRUE(t.tryAcquire(2, 0s, 1)) << "the other one no longer asks";
    EXPECT_FALSE(t.tryAcquire(4, 3s, 0.5));
    EXPECT_TRUE(t.tryAcquire(5, 0s, 1)) << "what is due at once goes before what may wait";
    // A ledger that is always ready to write leaves room for a claim.
    writes.tryTake(world.clock.now());
    bool claimed = false;
    world.scope.spawn([](WriteLimiter& writeLimiter, Scope& scope, bool& flag) -> Task<void> {
        flag = co_await writeLimiter.acquire(1, scope);
    }(t, world.scope, claimed));
    int passed = 0;
    EXPECT_TRUE(world.until(
        [&] {
            if (t.tryAcquire(3, 0s, writes.available(world.clock.now()))) {
                writes.tryTake(world.clock.now());
                ++passed;
            }
            return claimed;
        },
        3s));
    EXPECT_EQ(passed, 0);
    world.end(world.scope);
}

TEST(ConcurrencyLimiter, HalvesWhileMessagesWaitLongAndComesBackInSteps) {
    ConcurrencyLimiter p(64);
    for (int i = 0; i < 10; ++i) p.observe(5s, 2s);
    EXPECT_EQ(p.window(), 1);
    p.observe(1s, 2s);
    EXPECT_EQ(p.window(), 5);
    for (int i = 0; i < 20; ++i) p.observe(0s, 2s);
    EXPECT_EQ(p.window(), 64);
}

}  // namespace
}  // namespace basaltchute::gateway
