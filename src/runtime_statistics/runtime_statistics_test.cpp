#include "runtime_statistics/runtime_statistics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace basaltchute::runtime_statistics {
namespace {

using namespace std::chrono_literals;

TEST(QuantileHistogram, LeansOnWhatIsKnownAndThenOnWhatIsSeen) {
    QuantileHistogram s(0.6, 1.5, 20);
    EXPECT_NEAR(s.quantile(0.5), 0.95, 0.1);
    EXPECT_GT(s.quantile(0.99), 1.4);
    for (int i = 0; i < 400; ++i) s.add(3.0);
    EXPECT_NEAR(s.quantile(0.5), 3.0, 0.25);
    // An other day: what was seen before fades.
    for (int i = 0; i < 1000; ++i) s.add(0.8);
    EXPECT_NEAR(s.quantile(0.9), 0.8, 0.1);
}

TEST(QuantileHistogram, ItsQuantilesAreThoseOfWhatItSaw) {
    std::mt19937 random(7);
    std::lognormal_distribution<double> ratios(std::log(1.2), 0.4);
    QuantileHistogram s(0.5, 2.0, 10);
    std::vector<double> all;
    for (int i = 0; i < 600; ++i) {
        all.push_back(ratios(random));
        s.add(all.back());
    }
    std::sort(all.begin(), all.end());
    for (const double q : {0.25, 0.5, 0.75, 0.9})
        EXPECT_NEAR(s.quantile(q) / all[static_cast<std::size_t>(q * 600)], 1.0, 0.12) << q;
}

TEST(QuantileHistogram, OddRatiosDoNoHarm) {
    QuantileHistogram s(0.6, 1.5, 20);
    const double before = s.quantile(0.9);
    for (const double odd : {0.0, -1.0, std::nan(""), HUGE_VAL}) s.add(odd);
    EXPECT_EQ(s.quantile(0.9), before);
    s.add(1e9);
    EXPECT_LE(s.quantile(1.0), 20.1);
}

TEST(RuntimeStatistics, GoesFromOneLeaderToTheNext) {
    RuntimeStatistics first;
    for (int i = 0; i < 100; ++i) first.came("box", 60s, 20s);
    first.came("slow", 200s, 20s);
    EXPECT_EQ(first.changed().size(), 2U);
    const std::string record = first.encode("box", 2000);
    EXPECT_EQ(first.changed(), std::set<std::string>{"slow"});
    EXPECT_LT(record.size(), 2000U);
    RuntimeStatistics next;
    ASSERT_TRUE(next.decode(first.encode("slow", 2000)));
    ASSERT_TRUE(next.decode(record));
    EXPECT_GT(next.coming("slow", 20s, 0.99), 60s) << "of each type a record of its own";
    EXPECT_NEAR(toSeconds(next.coming("box", 20s, 0.9)), toSeconds(first.coming("box", 20s, 0.9)),
                1.0);
    EXPECT_LT(next.coming("other", 20s, 0.9), 40s) << "nothing was seen of that type";
    for (const char* odd :
         {"", "{}", R"({"format":2,"boots":{}})", R"({"format":1,"boots":{"box":[999,1]}})",
          R"({"format":1,"boots":{"box":"x"}})"})
        EXPECT_FALSE(next.decode(odd)) << odd;
    EXPECT_GT(next.coming("box", 20s, 0.5), 50s) << "nothing changes by a record it cannot read";
}

TEST(RuntimeStatistics, ARecordFitsIntoWhatAValueMayBe) {
    // The boards' three types took 2.6 KiB in one record, and the state service went down to 2.
    RuntimeStatistics e;
    std::mt19937 random(3);
    std::lognormal_distribution<double> ratios(0, 0.9);
    for (int i = 0; i < 2000; ++i) e.came("box", fromSeconds(20 * ratios(random)), 20s);
    for (const std::size_t bytes : {4096U, 512U, 200U}) {
        const std::string record = e.encode("box", bytes);
        EXPECT_LE(record.size(), bytes);
        RuntimeStatistics next;
        ASSERT_TRUE(next.decode(record));
        EXPECT_NEAR(toSeconds(next.coming("box", 20s, 0.5)), toSeconds(e.coming("box", 20s, 0.5)),
                    4.0);
    }
}

}  // namespace
}  // namespace basaltchute::runtime_statistics
