#include "worker_api/agent_connections.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::worker_api {
namespace {

TEST(AgentConnections, ClosesTheLeastRecentlyUsedButNoneWithARequestInFlight) {
    testing::World world;
    AgentConnections connections(world.loop, 2);
    const auto busy = connections.clientFor(1, "127.0.0.1:1");
    connections.clientFor(2, "127.0.0.1:2");
    connections.clientFor(1, "127.0.0.1:1");
    connections.clientFor(3, "127.0.0.1:3");
    EXPECT_EQ(connections.size(), 2U) << "2 was the least recently used";
    EXPECT_EQ(connections.clientFor(1, "127.0.0.1:1"), busy);
    const auto alsoBusy = connections.clientFor(3, "127.0.0.1:3");
    connections.clientFor(4, "127.0.0.1:4");
    EXPECT_EQ(connections.size(), 3U) << "both others have requests in flight";
    EXPECT_EQ(connections.clientFor(3, "127.0.0.1:3"), alsoBusy);
}

}  // namespace
}  // namespace basaltchute::worker_api
