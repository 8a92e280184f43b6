#include "gateway/settings/settings.h"

#include <gtest/gtest.h>

namespace basaltchute::gateway {
namespace {

std::optional<std::string> secrets(const std::string& path) {
    if (path == "empty") return "\n";
    return path == "missing" ? std::nullopt : std::optional<std::string>("secret\n");
}

std::string text(const std::string& more = "", const std::string& queue = "",
                 const std::string& state = "") {
    return R"({"instance":"gw-1","listen":"0.0.0.0:5672","admin":"127.0.0.1:1",
        "controllers":["127.0.0.1:2"],"anonymous":true,
        "state":{"address":"127.0.0.1:3","requestsPerSecond":100,"writesPerSecond":25)" +
           state + R"(},
        "refs":{"from":5,"to":9},
        "queues":[{"team":"north","class":"c")" +
           queue + "}]" + more + "}";
}

std::string error(const std::string& t) {
    const auto s = parse(t, secrets);
    return std::holds_alternative<settings::Error>(s) ? std::get<settings::Error>(s) : "";
}

TEST(GatewaySettings, ParsesTheExampleSettingsFile) {
    const auto example = settings::readFile(GATEWAY_EXAMPLE);
    ASSERT_TRUE(example);
    const auto s = parse(*example, secrets);
    ASSERT_TRUE(std::holds_alternative<Settings>(s)) << std::get<settings::Error>(s);
    const auto& read = std::get<Settings>(s);
    EXPECT_EQ(read.users.at("kierros-north").password, "secret");
    EXPECT_DOUBLE_EQ(read.state.stateWriteRps, 2.5);
    EXPECT_EQ(read.sources[0].consume.at("north/replay-verify"), "replay-checks");
    EXPECT_TRUE(read.networks.contains("192.0.2.77"));
    EXPECT_FALSE(read.networks.contains("192.0.3.1"));
}

TEST(GatewaySettings, ErrorsNameTheFieldAndTheExpectedValue) {
    EXPECT_EQ(error(text()), "");
    EXPECT_EQ(error("{"), "not JSON");
    EXPECT_EQ(error(text("", "", R"(,"share":0.07)")),
              "#/state/share: expected at least 2 writes a second");
    EXPECT_EQ(error("{}"), "#: expected \"instance\"");
    EXPECT_EQ(error(text(R"(,"listn":"x")")), "#/listn: expected no such field");
    EXPECT_EQ(error(text("", R"(,"withoutId":"maybe")")),
              R"(#/queues/0/withoutId: expected enum ["reject","atMostOnce","atLeastOnce"])");
    EXPECT_EQ(error(text("", R"(,"retainSeconds":5)")),
              "#/queues/0/retainSeconds: expected minimum 600");
    EXPECT_EQ(error(text("", R"(,"job":{"ref":"run-1"})")),
              "#/queues/0/job/ref: expected no such field");
    EXPECT_EQ(error(text(R"(,"networks":["10.0.0.0/8","10.0.0.0/40"])")),
              "#/networks/1: expected a network such as 10.0.0.0/8");
    EXPECT_EQ(error(text(R"(,"users":[{"name":"u","teams":[],"passwordFile":"missing"}])")),
              "#/users/0/passwordFile: expected a file with a password");
    EXPECT_EQ(error(text(R"(,"users":[{"name":"u","teams":[],"passwordFile":"empty"}])")),
              "#/users/0/passwordFile: expected a file with a password");
    EXPECT_EQ(error(text(R"(,"advertise":"somewhere")")),
              "#/advertise: expected an IPv4 address with a port");
    EXPECT_EQ(error(text(R"(,"sources":[{"name":"s","address":"127.0.0.1:4",
                           "consume":[{"from":"a","queue":"south/c"}]}])")),
              "#/sources/0/consume/0/queue: expected a queue named in queues");
}

}  // namespace
}  // namespace basaltchute::gateway
