#include "workers/connections.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::workers {
namespace {

TEST(Connections, AreBoundedAndNeverClosedUnderAnOrder) {
    testing::World world;
    Connections all(world.loop, 2);
    const auto busy = all.to(1, "127.0.0.1:1");
    all.to(2, "127.0.0.1:2");
    all.to(1, "127.0.0.1:1");
    all.to(3, "127.0.0.1:3");
    EXPECT_EQ(all.size(), 2U) << "2 was unused for longest";
    EXPECT_EQ(all.to(1, "127.0.0.1:1"), busy);
    const auto alsoBusy = all.to(3, "127.0.0.1:3");
    all.to(4, "127.0.0.1:4");
    EXPECT_EQ(all.size(), 3U) << "both others have orders under way";
    EXPECT_EQ(all.to(3, "127.0.0.1:3"), alsoBusy);
}

}  // namespace
}  // namespace basaltchute::workers
