#include "settings/settings.h"

#include <gtest/gtest.h>

#include "settings/operator_settings.h"
#include "testing/world.h"

namespace basaltchute::settings {
namespace {

const std::string validSettings =
    R"({"node_name":"rig-0","area":"a","client_listen":"10.0.0.1:8080",
 "mesh_addr":"10.0.0.1:8081","seeds":[{"node_name":"rig-1","area":"b","address":"10.0.0.2:8081"}],
 "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"added_later":{"x":1},
 "params":{"nodes":2,"zones":["a","b"],"teams":[{"name":"red","cpus":0.0,"cpus_max":8.0}],
  "objectives":[{"kind":"wait","class":"c","within_s":15.0,"share":0.8}],
  "workers":{"report_s":2.5,"lease_s":16.0,"cancel_s":41.0},
  "state":{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20},
  "cloud":{"rps":8.0,"list_lag_s":8.0},"machine_limits":{"fd_limit":1800}}})";

/// The valid settings with one part replaced.
std::string with(const std::string& from, const std::string& to) {
    std::string s = validSettings;
    s.replace(s.find(from), from.size(), to);
    return s;
}

TEST(Settings, UnknownFieldsAreIgnored) {
    const auto s = parse(validSettings);
    ASSERT_TRUE(std::holds_alternative<Settings>(s)) << std::get<Error>(s);
    EXPECT_EQ(std::get<Settings>(s).teams[0].coresMax, 8);
    EXPECT_EQ(std::get<Settings>(s).lease, std::chrono::seconds(16));
}

TEST(Settings, ErrorNamesTheInvalidFieldAndWhatWasExpected) {
    const auto error = [](const std::string& text) {
        const auto s = parse(text);
        return std::holds_alternative<Error>(s) ? std::get<Error>(s) : "";
    };
    EXPECT_EQ(error("{"), "not JSON");
    EXPECT_EQ(error("[]"), "expected a JSON object");
    EXPECT_EQ(error(with(R"("lease_s":16.0)", R"("lease_s":"16")")),
              "params.workers.lease_s: expected a number above 0");
    EXPECT_EQ(error(with("10.0.0.2:8081", "rig-1:8081")),
              "seeds[0].address: expected an IPv4 address with a port");
    EXPECT_EQ(error(with(R"("cpus":0.0)", R"("cpus":-1)")),
              "params.teams[0].cpus: expected a number of at least 0");
    EXPECT_EQ(error(with(R"("area":"a",)", "")), "area: expected a non-empty string");
}

TEST(Settings, AnnouncedLimitsApplyFromTheStart) {
    const auto next = [](const std::string& text) {
        return parse(with(R"("txn_ops":20)", R"("txn_ops":20,"next":)" + text));
    };
    const auto all = next(R"({"write_rps":18.0,"value_kb":2.0,"txn_ops":5})");
    ASSERT_TRUE(std::holds_alternative<Settings>(all)) << std::get<Error>(all);
    const auto& s = std::get<Settings>(all);
    EXPECT_EQ(s.valueBytes, 2048U);
    EXPECT_EQ(s.valueBytesNow, 16384U);
    EXPECT_EQ(s.txnOps, 5U);
    EXPECT_EQ(s.stateWriteRps, 25) << "the client lowers its rate once the service rejects writes";
    EXPECT_EQ(s.stateWriteRpsNext, 18);
    const auto larger = next(R"({"value_kb":64.0})");
    EXPECT_EQ(std::get<Settings>(larger).valueBytes, 16384U)
        << "the smaller of both limits applies";
    EXPECT_EQ(std::get<Settings>(larger).txnOps, 20U) << "each announced limit is optional";
    const auto error = [&](const std::string& text) {
        const auto parsed = next(text);
        return std::holds_alternative<Error>(parsed) ? std::get<Error>(parsed) : "";
    };
    EXPECT_EQ(error("null"), "");
    EXPECT_EQ(error("3"), "params.state.next: expected an object");
    EXPECT_EQ(error(R"({"value_kb":"2"})"),
              "params.state.next.value_kb: expected a number above 0");
    EXPECT_EQ(error(R"({"value_kb":0.5})"), "params.state.next.value_kb: expected at least 1");
    EXPECT_EQ(error(R"({"txn_ops":1})"), "params.state.next.txn_ops: expected at least 2");
    EXPECT_EQ(error(R"({"write_rps":0})"),
              "params.state.next.write_rps: expected a number above 0");
}

TEST(OperatorSettings, ErrorNamesTheUnknownOrInvalidField) {
    const auto platform = testing::someSettings();
    const auto error = [&](const std::string& text) {
        const auto s = parseOperatorSettings(text, platform);
        return std::holds_alternative<Error>(s) ? std::get<Error>(s) : "";
    };
    EXPECT_EQ(error("{}"), "");
    EXPECT_EQ(error(R"({"wieghts":{}})"), "#/wieghts: expected no such field");
    EXPECT_EQ(error(R"({"weights":{"red":-1}})").substr(0, 14), "#/weights/red:");
    EXPECT_EQ(error(R"({"weights":{"green":1}})"), "#/weights/green: expected a known team");
    EXPECT_EQ(error(R"({"storedFormat":1})"), "");
    EXPECT_NE(error(R"({"storedFormat":3})"), "");
    const std::string pools = R"("pools":[{"type":"box","machines":2,"slotsPerMachine":8}],)";
    EXPECT_EQ(error("{" + pools +
                    R"("reservations":[{"team":"red","type":"box","level":"machine","cells":2}]})"),
              "");
    EXPECT_EQ(error("{" + pools +
                    R"("reservations":[{"team":"red","type":"box","level":"machine","cells":2},
                        {"team":"blue","type":"box","level":"slot","cells":1}]})"),
              "#/reservations/1/cells: expected reservations that the pool's machines can hold");
}

}  // namespace
}  // namespace basaltchute::settings
