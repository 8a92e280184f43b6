#include "simulator/measures.h"

#include <gtest/gtest.h>

#include <cmath>

#include "testing/world.h"

namespace basaltchute::simulator {
namespace {

TEST(Measures, ContainTimesUntilAcceptanceAndShareOfAcceptedJobs) {
    History h;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "run-" + std::to_string(i);
        h.jobs[id] = testing::spec(id, 1);
        HistoryEvent f;
        f.job = id;
        f.kind = HistoryEvent::Kind::submitted;
        f.at = i;
        h.events.push_back(f);
        f.kind = HistoryEvent::Kind::answered;
        f.status = i == 19 ? 503 : 201;
        f.at = i + (i < 17 ? 0.1 : 5.0);
        h.events.push_back(f);
    }
    const auto m = measure(h, check(h, {}));
    EXPECT_NEAR(m.at("c acceptance p50 s"), 0.1, 0.01);
    EXPECT_NEAR(m.at("c acceptance p95 s"), 5, 0.3);
    EXPECT_DOUBLE_EQ(m.at("c accepted"), 0.95);
    EXPECT_EQ(parseMeasures("seed 3: kept\n" + measuresText(3, m) + "\n").at(3).size(), m.size());
}

TEST(Measures, PairedComparisonFindsDifferenceSmallerThanSpreadBetweenSeeds) {
    std::map<std::uint64_t, Measures> a, b;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto seedEffect = static_cast<double>(seed * seed % 7);
        a[seed] = {{"x", seedEffect}, {"y", seedEffect}};
        b[seed] = {{"x", seedEffect + 0.1 + 0.01 * static_cast<double>(seed % 3)},
                   {"y", seedEffect + (seed % 2 == 0 ? 1.0 : -1.0)}};
    }
    b[99] = {{"x", 1e6}};  // in one set only, ignored
    const auto found = compare(a, b);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].pairs, 10U);
    EXPECT_NEAR(found[0].difference, 0.11, 0.01);
    EXPECT_TRUE(found[0].clear());
    EXPECT_FALSE(found[1].clear());
    EXPECT_FALSE(compare({{1, {{"x", 1}}}}, {{1, {{"x", 2}}}})[0].clear()) << "one pair only";
}

}  // namespace
}  // namespace basaltchute::simulator
