#include "runtime_statistics/runtime_statistics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace basaltchute::runtime_statistics {
namespace {

using namespace std::chrono_literals;

TEST(QuantileHistogram, ObservationsOutweighThePriorAndOlderObservations) {
    QuantileHistogram histogram(0.6, 1.5, 20);
    EXPECT_NEAR(histogram.quantile(0.5), 0.95, 0.1);
    EXPECT_GT(histogram.quantile(0.99), 1.4);
    for (int i = 0; i < 400; ++i) histogram.add(3.0);
    EXPECT_NEAR(histogram.quantile(0.5), 3.0, 0.25);
    // After the distribution has changed, old observations lose their weight.
    for (int i = 0; i < 1000; ++i) histogram.add(0.8);
    EXPECT_NEAR(histogram.quantile(0.9), 0.8, 0.1);
}

TEST(QuantileHistogram, QuantilesMatchTheObservations) {
    std::mt19937 random(7);
    std::lognormal_distribution<double> ratios(std::log(1.2), 0.4);
    QuantileHistogram histogram(0.5, 2.0, 10);
    std::vector<double> all;
    for (int i = 0; i < 600; ++i) {
        all.push_back(ratios(random));
        histogram.add(all.back());
    }
    std::sort(all.begin(), all.end());
    for (const double q : {0.25, 0.5, 0.75, 0.9})
        EXPECT_NEAR(histogram.quantile(q) / all[static_cast<std::size_t>(q * 600)], 1.0, 0.12) << q;
}

TEST(QuantileHistogram, InvalidRatiosAreIgnored) {
    QuantileHistogram histogram(0.6, 1.5, 20);
    const double before = histogram.quantile(0.9);
    for (const double invalid : {0.0, -1.0, std::nan(""), HUGE_VAL}) histogram.add(invalid);
    EXPECT_EQ(histogram.quantile(0.9), before);
    histogram.add(1e9);
    EXPECT_LE(histogram.quantile(1.0), 20.1);
}

TEST(RuntimeStatistics, NextLeaderLoadsTheRecordsOfTheFormerOne) {
    RuntimeStatistics former;
    for (int i = 0; i < 100; ++i) former.recordBoot("box", 60s, 20s);
    former.recordBoot("slow", 200s, 20s);
    EXPECT_EQ(former.changed().size(), 2U);
    const std::string record = former.encode("box", 2000);
    EXPECT_EQ(former.changed(), std::set<std::string>{"slow"});
    EXPECT_LT(record.size(), 2000U);
    RuntimeStatistics next;
    ASSERT_TRUE(next.decode(former.encode("slow", 2000)));
    ASSERT_TRUE(next.decode(record));
    EXPECT_GT(next.bootTime("slow", 20s, 0.99), 60s) << "each type has a record of its own";
    EXPECT_NEAR(toSeconds(next.bootTime("box", 20s, 0.9)),
                toSeconds(former.bootTime("box", 20s, 0.9)), 1.0);
    EXPECT_LT(next.bootTime("other", 20s, 0.9), 40s) << "no machine of that type has been observed";
    for (const char* malformed :
         {"", "{}", R"({"format":2,"boots":{}})", R"({"format":1,"boots":{"box":[999,1]}})",
          R"({"format":1,"boots":{"box":"x"}})"})
        EXPECT_FALSE(next.decode(malformed)) << malformed;
    EXPECT_GT(next.bootTime("box", 20s, 0.5), 50s) << "a malformed record changes nothing";
}

TEST(RuntimeStatistics, RecordFitsIntoTheValueSizeLimit) {
    // The size limit of a value can fall while the service runs. One record for three types took
    // 2.6 KiB, which no longer fitted after the limit had fallen to 2 KiB.
    RuntimeStatistics statistics;
    std::mt19937 random(3);
    std::lognormal_distribution<double> ratios(0, 0.9);
    for (int i = 0; i < 2000; ++i)
        statistics.recordBoot("box", fromSeconds(20 * ratios(random)), 20s);
    for (const std::size_t bytes : {4096U, 512U, 200U}) {
        const std::string record = statistics.encode("box", bytes);
        EXPECT_LE(record.size(), bytes);
        RuntimeStatistics next;
        ASSERT_TRUE(next.decode(record));
        EXPECT_NEAR(toSeconds(next.bootTime("box", 20s, 0.5)),
                    toSeconds(statistics.bootTime("box", 20s, 0.5)), 4.0);
    }
}

}  // namespace
}  // namespace basaltchute::runtime_statistics
