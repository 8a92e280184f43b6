#include "simulator/simulation_fixture.h"

// One controller with the heartbeats of more machines than it has sockets.

namespace basaltchute::simulator {
namespace {

constexpr double settledS = 45;

/// 4,000 machines that each run one long task, at a single controller with 1,000 sockets.
Scenario fourThousandMachines() {
    Scenario s = scenario("one-site");
    s.swarm = {};
    s.seconds = 100;
    SiteOptions& site = s.sites.front();
    site.nodes = 1;
    site.sockets = 1000;
    site.reportS = 6;
    site.leaseS = 31;
    site.state.writeRps = 400;
    site.state.rps = 800;
    SimulatedMachineType& type = site.types.front();
    type.up = 2000;
    type.ordinary = 2000;
    type.spot = 0;
    JobClassOptions whole = site.classes.back();
    whole.cores = type.cores;
    whole.ramGb = type.ramGb / 2;
    whole.perMinute = 0;
    whole.initial = 10;
    whole.tasks = {400, 400};
    whole.runS = {900, 900};
    whole.deadlineFactor = whole.cancelledShare = 0;
    whole.spot = false;
    JobClassOptions small = site.classes.front();
    small.initial = 0;
    small.perMinute = 120;
    site.classes = {whole, small};
    return s;
}

TEST_F(SimulationTest, ASingleControllerWithAThousandSocketsServesUsersBesideFourThousandMachines) {
    Simulation world(fourThousandMachines(), 21);
    world.run();
    std::set<std::size_t> answered;
    std::size_t asked = 0, failed = 0, started = 0;
    const auto& facts = world.history().events;
    for (const auto& f : facts)
        if (f.kind == HistoryEvent::Kind::answered && f.asked) answered.insert(*f.asked);
    for (std::size_t i = 0; i < facts.size(); ++i) {
        const HistoryEvent& f = facts[i];
        started += f.kind == HistoryEvent::Kind::taskStarted ? 1 : 0;
        if (f.kind != HistoryEvent::Kind::asked || f.at < settledS || f.at > 90) continue;
        ++asked;
        if (!answered.contains(i)) ++failed;
    }
    EXPECT_EQ(failed, 0U) << "of " << asked;
    EXPECT_GT(asked, 100U);
    EXPECT_GT(started, 3000U);
    const CheckResult result = world.checkResult();
    for (const auto& v : result.violations) ADD_FAILURE() << v.rule << ": " << v.what;
}

}  // namespace
}  // namespace basaltchute::simulator
