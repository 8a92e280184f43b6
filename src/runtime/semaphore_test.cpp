#include "runtime/semaphore.h"

#include <gtest/gtest.h>

#include <vector>

#include "testing/world.h"

namespace basaltchute {
namespace {

using namespace std::chrono_literals;

/// A coroutine that holds a permit for `takes`. Afterwards it appends its number to `done`,
/// negative if it got no permit.
struct Worker {
    testing::World& world;
    Semaphore& semaphore;
    std::vector<int>& done;
    Task<void> work(int number, Duration takes, Duration timeout) {
        const auto permit = co_await semaphore.acquire(world.loop.now() + timeout, world.scope);
        if (permit) co_await world.loop.sleep(takes, world.scope);
        done.push_back(permit ? number : -number);
    }
};

TEST(Semaphore, GrantsItsPermitsAndThenInTheOrderOfWaiting) {
    testing::World world;
    Semaphore semaphore(world.loop, 2);
    std::vector<int> done;
    Worker worker{world, semaphore, done};
    for (int i = 1; i <= 6; ++i) world.scope.spawn(worker.work(i, 1s, 10s));
    EXPECT_FALSE(semaphore.tryAcquire());
    world.run(1500ms);
    EXPECT_EQ(done, (std::vector<int>{1, 2}));
    world.run(5s);
    EXPECT_EQ(done, (std::vector<int>{1, 2, 3, 4, 5, 6}));
    EXPECT_TRUE(semaphore.tryAcquire()) << "all permits are released";
    world.end(world.scope);
}

TEST(Semaphore, AWaiterThatTimedOutTakesNoPermit) {
    testing::World world;
    Semaphore semaphore(world.loop, 1);
    std::vector<int> done;
    Worker worker{world, semaphore, done};
    world.scope.spawn(worker.work(1, 3s, 1s));
    world.scope.spawn(worker.work(2, 1s, 1s));
    world.scope.spawn(worker.work(3, 1s, 10s));
    world.run(6s);
    EXPECT_EQ(done, (std::vector<int>{-2, 1, 3}));
    EXPECT_TRUE(semaphore.tryAcquire());
    world.end(world.scope);
}

TEST(Semaphore, CancellingTheScopeEndsTheWait) {
    testing::World world;
    Semaphore semaphore(world.loop, 1);
    const auto held = semaphore.tryAcquire();
    std::vector<int> done;
    Worker worker{world, semaphore, done};
    world.scope.spawn(worker.work(1, 1s, 1h));
    world.end(world.scope);
    EXPECT_EQ(done, (std::vector<int>{-1}));
}

}  // namespace
}  // namespace basaltchute
