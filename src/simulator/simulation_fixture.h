#pragma once
// For tests only: scenarios by name, and shorthands for what happens in them.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "simulator/simulation.h"

namespace basaltchute::simulator {

inline Scenario scenario(const std::string& name) {
    const auto text = settings::readFile(std::string(SCENARIOS) + '/' + name + ".json");
    auto parsed = parseScenario(text.value_or(""));
    EXPECT_TRUE(std::holds_alternative<Scenario>(parsed)) << std::get<std::string>(parsed);
    return std::get<Scenario>(std::move(parsed));
}

/// Jobs that were told to be cancelled between two moments, and how many of them while their tasks
/// were on machines and a leader elected since then led.
struct Cancelled {
    int told = 0, elsewhere = 0;
};
inline Cancelled cancelledElsewhere(const History& history, double fromS, double toS) {
    Cancelled out;
    std::map<std::string, int> on;
    std::set<std::string> told;
    bool successor = false;
    for (const auto& f : history.events) {
        if (f.kind == HistoryEvent::Kind::taskStarted) ++on[f.job];
        if (f.kind == HistoryEvent::Kind::taskStopped) --on[f.job];
        if (f.kind == HistoryEvent::Kind::elected && f.at > fromS) successor = true;
        if (f.kind != HistoryEvent::Kind::answered || f.text != "cancelled" || f.at < fromS ||
            f.at > toS)
            continue;
        if (!told.insert(f.job).second) continue;
        ++out.told;
        out.elsewhere += successor && on[f.job] > 0 ? 1 : 0;
    }
    return out;
}

class SimulationTest : public ::testing::Test {
  protected:
    void SetUp() override { spdlog::set_level(spdlog::level::off); }
    void TearDown() override { spdlog::set_level(levelBefore); }
    spdlog::level::level_enum levelBefore = spdlog::get_level();
};

inline Fault fault(const std::string& kind, double atS, double forS) {
    Fault f;
    f.kind = kind;
    f.atS = atS;
    f.forS = forS;
    f.leader = true;
    return f;
}

}  // namespace basaltchute::simulator
