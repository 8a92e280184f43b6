// The JSON field names of the platform's settings file and of the operators' settings file.
#include <gtest/gtest.h>

#include "settings/operator_settings.h"
#include "settings/settings.h"

namespace basaltchute::settings {
namespace {

using namespace std::chrono_literals;

const std::string settingsFile =
    R"({"node_name":"rig-0","area":"north","client_listen":"10.0.0.1:8080",)"
    R"("mesh_addr":"10.0.0.1:8081",)"
    R"("seeds":[{"node_name":"rig-1","area":"south","address":"10.0.0.2:8081"}],)"
    R"("endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},)"
    R"("params":{"zones":["north","south"],)"
    R"("teams":[{"name":"red","cpus":1.0,"cpus_max":8.0,"gpus":2.0,"gpus_max":4.0}],)"
    R"("objectives":[{"kind":"wait","class":"web","within_s":15.0,"share":0.8,"times":1.5}],)"
    R"("workers":{"report_s":2.5,"lease_s":16.0,"cancel_s":41.0},)"
    R"("state":{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20,)"
    R"("next":{"write_rps":18.0,"value_kb":2.0,"txn_ops":5}},)"
    R"("cloud":{"rps":8.0,"list_lag_s":7.0},"machine_limits":{"fd_limit":1800}}})";

TEST(WireFormat, SettingsFileFields) {
    const auto parsed = parse(settingsFile);
    ASSERT_TRUE(std::holds_alternative<Settings>(parsed)) << std::get<Error>(parsed);
    const auto& s = std::get<Settings>(parsed);
    EXPECT_EQ(s.node, "rig-0");
    EXPECT_EQ(s.zone, "north");
    EXPECT_EQ(s.listenAddress, "10.0.0.1:8080");
    EXPECT_EQ(s.peerListenAddress, "10.0.0.1:8081");
    ASSERT_EQ(s.peers.size(), 1U);
    EXPECT_EQ(s.peers[0].name, "rig-1");
    EXPECT_EQ(s.peers[0].zone, "south");
    EXPECT_EQ(s.peers[0].address, "10.0.0.2:8081");
    EXPECT_EQ(s.cloudAddress, "10.2.0.2:8443");
    EXPECT_EQ(s.stateAddress, "10.2.0.1:2379");
    EXPECT_EQ(s.zones, (std::vector<std::string>{"north", "south"}));
    ASSERT_EQ(s.teams.size(), 1U);
    EXPECT_EQ(s.teams[0].name, "red");
    EXPECT_EQ(s.teams[0].cores, 1);
    EXPECT_EQ(s.teams[0].coresMax, 8);
    EXPECT_EQ(s.teams[0].gpus, 2);
    EXPECT_EQ(s.teams[0].gpusMax, 4);
    ASSERT_EQ(s.objectives.size(), 1U);
    EXPECT_EQ(s.objectives[0].kind, "wait");
    EXPECT_EQ(s.objectives[0].jobClass, "web");
    EXPECT_EQ(s.objectives[0].within, Duration(15s));
    EXPECT_EQ(s.objectives[0].share, 0.8);
    EXPECT_EQ(s.objectives[0].deadlineFactor, 1.5);
    EXPECT_EQ(s.heartbeatInterval, Duration(2500ms));
    EXPECT_EQ(s.lease, Duration(16s));
    EXPECT_EQ(s.cancelWithin, Duration(41s));
    EXPECT_EQ(s.stateRps, 100);
    EXPECT_EQ(s.stateWriteRps, 25);
    EXPECT_EQ(s.stateWriteRpsNext, 18);
    EXPECT_EQ(s.valueBytes, 2048U);
    EXPECT_EQ(s.valueBytesNow, 16384U);
    EXPECT_EQ(s.txnOps, 5U);
    EXPECT_EQ(s.cloudRps, 8);
    EXPECT_EQ(s.cloudListLag, Duration(7s));
    EXPECT_EQ(s.maxSockets, 1800U);
}

TEST(WireFormat, OperatorFileFields) {
    const auto settings = std::get<Settings>(parse(settingsFile));
    const auto parsed = parseOperatorSettings(
        R"({"weights":{"red":2.5},"machinesPerZoneCell":3,"zoneLoans":false,"storedFormat":1,)"
        R"("pools":[{"type":"c8","machines":6,"slotsPerMachine":4},)"
        R"({"type":"g4","machines":9,"slotsPerMachine":2}],)"
        R"("reservations":[{"team":"red","type":"c8","level":"slot","cells":3},)"
        R"({"team":"red","type":"c8","level":"machine","cells":2},)"
        R"({"team":"red","type":"g4","level":"zone","cells":1}]})",
        settings);
    ASSERT_TRUE(std::holds_alternative<OperatorSettings>(parsed)) << std::get<Error>(parsed);
    const auto& o = std::get<OperatorSettings>(parsed);
    EXPECT_EQ(o.weights, (std::map<std::string, double>{{"red", 2.5}}));
    EXPECT_EQ(o.machinesPerZoneCell, 3U);
    EXPECT_FALSE(o.leaseDelegationEnabled);
    EXPECT_EQ(o.maxStoredFormat, 1U);
    EXPECT_EQ(o.pooledMachines, (std::map<std::string, std::uint32_t>{{"c8", 6}, {"g4", 9}}));
    ASSERT_EQ(o.reservations.size(), 3U);
    EXPECT_EQ(o.reservations[0].team, "red");
    EXPECT_EQ(o.reservations[0].type, "c8");
    EXPECT_EQ(o.reservations[0].level, cells::Level::slot);
    EXPECT_EQ(o.reservations[0].cells, 3U);
    EXPECT_EQ(o.reservations[1].level, cells::Level::machine);
    EXPECT_EQ(o.reservations[2].level, cells::Level::zone);
}

}  // namespace
}  // namespace basaltchute::settings
