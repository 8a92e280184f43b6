#include "state/client.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::state {
namespace {

using namespace std::chrono_literals;

TEST(StateClient, OverAPeerNoWriteWaitsForTheOwnWayAndItIsFoundAgain) {
    testing::World world;
    bool cut = false;
    int relayed = 0;
    http::Server way(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        if (cut) co_await world.loop.sleep(1h, world.scope);
        co_return http::Response{200, R"({"epoch":2})"};
    });
    way.start(world.scope);
    auto settings = testing::someSettings();
    settings.state = way.address();
    Client client(world.loop, settings);
    client.setRelay([&](http::Request, Duration, Scope&) -> Task<http::Outcome> {
        ++relayed;
        co_return http::Outcome{true, true, {200, R"({"epoch":2})"}};
    });
    const auto write = [&] {
        bool done = false;
        const TimePoint since = world.clock.now();
        world.loop.spawn([](Client& c, Scope& scope, bool& flag) -> Task<void> {
            Transaction txn;
            txn.puts = {{"a", "{}", std::nullopt}};
            const auto committed = co_await c.commit(std::move(txn), scope);
            EXPECT_EQ(committed.verdict, Verdict::ok);
            flag = true;
        }(client, world.scope, done));
        world.until([&] { return done; });
        return world.clock.now() - since;
    };
    EXPECT_LT(write(), 100ms);
    EXPECT_EQ(relayed, 0);
    cut = true;
    EXPECT_GT(write(), 1s) << "the first one finds out";
    for (int i = 0; i < 20; ++i) {
        EXPECT_LT(write(), 100ms) << i;
        world.run(500ms);
    }
    EXPECT_EQ(relayed, 21);
    cut = false;
    for (int i = 0; i < 8; ++i) {
        write();
        world.run(500ms);
    }
    const int before = relayed;
    write();
    EXPECT_EQ(relayed, before) << "directly again";
    world.end(world.scope);
}

}  // namespace
}  // namespace basaltchute::state
