// The exact bytes of the stored record of observed boot times.
#include <gtest/gtest.h>

#include "runtime_statistics/runtime_statistics.h"

namespace basaltchute::runtime_statistics {
namespace {

using namespace std::chrono_literals;

TEST(WireFormat, BootTimesRecordBytes) {
    RuntimeStatistics written;
    written.recordBoot("box", 60s, 20s);
    EXPECT_EQ(written.encode("box", 2000), R"({"format":1,"boots":{"box":[65,100]}})");
    written.recordBoot("box", 20s, 20s);
    EXPECT_EQ(written.encode("box", 2000), R"({"format":1,"boots":{"box":[48,100,65,100]}})");
}

TEST(WireFormat, BootTimesRecordIsRead) {
    RuntimeStatistics read;
    ASSERT_TRUE(read.decode(R"({"format":1,"boots":{"box":[48,100,65,5000],"c8":[]}})"));
    EXPECT_GT(read.bootTime("box", 20s, 0.5), 50s);
    EXPECT_LT(read.bootTime("c8", 20s, 0.5), 30s);
    EXPECT_EQ(read.encode("box", 2000), R"({"format":1,"boots":{"box":[48,100,65,5000]}})");
}

}  // namespace
}  // namespace basaltchute::runtime_statistics
