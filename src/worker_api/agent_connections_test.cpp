#include "worker_api/agent_connections.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::worker_api {
namespace {

TEST(AgentConnections, AreBoundedAndNeverClosedUnderAnOrder) {
    testing::World world;
    AgentConnections all(world.loop, 2);
    const auto busy = all.clientFor(1, "127.0.0.1:1");
    all.clientFor(2, "127.0.0.1:2");
    all.clientFor(1, "127.0.0.1:1");
    all.clientFor(3, "127.0.0.1:3");
    EXPECT_EQ(all.size(), 2U) << "2 was unused for longest";
    EXPECT_EQ(all.clientFor(1, "127.0.0.1:1"), busy);
    const auto alsoBusy = all.clientFor(3, "127.0.0.1:3");
    all.clientFor(4, "127.0.0.1:4");
    EXPECT_EQ(all.size(), 3U) << "both others have orders under way";
    EXPECT_EQ(all.clientFor(3, "127.0.0.1:3"), alsoBusy);
}

}  // namespace
}  // namespace basaltchute::worker_api
