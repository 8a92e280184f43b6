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

TEST(Membership, QueuesAreSpreadEvenlyAndOnlyQueuesOfChangedMembersMove) {
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

TEST(RoundRobinQueue, TeamsTakeTurnsRegardlessOfBacklog) {
    RoundRobinQueue<int> queue;
    for (int i = 0; i < 5; ++i) queue.push("a", i);
    queue.push("b", 10);
    queue.push("c", 20);
    std::vector<int> order;
    while (auto n = queue.next()) order.push_back(*n);
    EXPECT_EQ(order, (std::vector<int>{0, 10, 20, 1, 2, 3, 4}));
}

TEST(WriteLimiter, WritersTakeTurnsAndAbandonedRequestsExpire) {
    basaltchute::testing::World world;
    RateLimiter writes(1, 1, world.clock.now());
    WriteLimiter limiter(world.loop, writes);
    EXPECT_FALSE(limiter.tryAcquire(1, 0s, 0.5));
    EXPECT_FALSE(limiter.tryAcquire(2, 0s, 1)) << "the first requester is waiting for the budget";
    EXPECT_TRUE(limiter.tryAcquire(2, 0s, 2)) << "enough for both requesters";
    EXPECT_FALSE(limiter.tryAcquire(2, 0s, 1));
    EXPECT_TRUE(limiter.tryAcquire(1, 0s, 1));
    EXPECT_FALSE(limiter.tryAcquire(1, 0s, 1)) << "one success per turn";
    EXPECT_TRUE(limiter.tryAcquire(2, 0s, 1));
    world.run(1s);
    EXPECT_TRUE(limiter.tryAcquire(2, 0s, 1)) << "the other request has expired";
    EXPECT_FALSE(limiter.tryAcquire(4, 3s, 0.5));
    EXPECT_TRUE(limiter.tryAcquire(5, 0s, 1)) << "requests without slack go first";
    // A queue owner that writes all the time does not starve a claim.
    writes.tryTake(world.clock.now());
    bool claimed = false;
    world.scope.spawn([](WriteLimiter& writeLimiter, Scope& scope, bool& flag) -> Task<void> {
        flag = co_await writeLimiter.acquire(1, scope);
    }(limiter, world.scope, claimed));
    int acquiredByOwner = 0;
    EXPECT_TRUE(world.until(
        [&] {
            if (limiter.tryAcquire(3, 0s, writes.available(world.clock.now()))) {
                writes.tryTake(world.clock.now());
                ++acquiredByOwner;
            }
            return claimed;
        },
        3s));
    EXPECT_EQ(acquiredByOwner, 0);
    world.end(world.scope);
}

TEST(ConcurrencyLimiter, HalvesWhileMessagesAreOldAndRecoversInSteps) {
    ConcurrencyLimiter limiter(64);
    for (int i = 0; i < 10; ++i) limiter.observe(5s, 2s);
    EXPECT_EQ(limiter.window(), 1);
    limiter.observe(1s, 2s);
    EXPECT_EQ(limiter.window(), 5);
    for (int i = 0; i < 20; ++i) limiter.observe(0s, 2s);
    EXPECT_EQ(limiter.window(), 64);
}

}  // namespace
}  // namespace basaltchute::gateway
