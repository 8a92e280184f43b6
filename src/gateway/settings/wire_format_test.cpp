// The field names of the gateway's settings file.
#include <gtest/gtest.h>

#include "gateway/settings/settings.h"

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;

const std::string settingsFile =
    R"({"instance":"gw-1","listen":"0.0.0.0:5671","advertise":"10.0.0.9:5671",)"
    R"("admin":"127.0.0.1:7071","controllers":["10.0.0.1:8080","10.0.0.2:8080"],)"
    R"("state":{"address":"10.2.0.1:2379","prefix":"gate/","requestsPerSecond":100,)"
    R"("writesPerSecond":40,"share":0.25,"valueKb":8,"operations":12},)"
    R"("grantSeconds":5,"refs":{"word":"job","from":7,"to":70},)"
    R"("networks":["10.0.0.0/8"],"anonymous":true,"passwordsInClear":true,)"
    R"("users":[{"name":"ada","passwordFile":"p","teams":["north"]}],)"
    R"("tls":{"certificate":"c","key":"k","trust":"t","clientCertificates":"required"},)"
    R"("queues":[{"team":"north","class":"check","job":{"rank":"low"},"key":"id",)"
    R"("withoutId":"atLeastOnce","attempts":4,"unfinished":9,"retainSeconds":700},)"
    R"({"team":"north","class":"once","withoutId":"atMostOnce"},)"
    R"({"team":"north","class":"never","withoutId":"reject"}],)"
    R"("sources":[{"name":"broker","address":"192.0.2.1:5671","user":"u","passwordFile":"p",)"
    R"("passwordsInClear":true,"tls":{"trust":"t","host":"h","certificate":"c","key":"k"},)"
    R"("consume":[{"from":"work","queue":"north/check"}]}],)"
    R"("limits":{"connections":11,"links":12,"credit":13,"messageKb":14,"memoryMb":15,)"
    R"("underWay":16,"pollsPerSecond":17,"pollSeconds":18,"patienceSeconds":19,"ageSeconds":20}})";

class GatewaySettingsWireFormat : public ::testing::Test {
  protected:
    void SetUp() override {
        auto parsed = parse(settingsFile, [](const std::string& path) {
            return path == "p" ? std::optional<std::string>("secret\n") : std::nullopt;
        });
        ASSERT_TRUE(std::holds_alternative<Settings>(parsed)) << std::get<settings::Error>(parsed);
        s = std::get<Settings>(std::move(parsed));
    }
    Settings s;
};

TEST_F(GatewaySettingsWireFormat, InstanceAndStateFields) {
    EXPECT_EQ(s.instance, "gw-1");
    EXPECT_EQ(s.listen, "0.0.0.0:5671");
    EXPECT_EQ(s.advertise, "10.0.0.9:5671");
    EXPECT_EQ(s.admin, "127.0.0.1:7071");
    EXPECT_EQ(s.controllers, (std::vector<std::string>{"10.0.0.1:8080", "10.0.0.2:8080"}));
    EXPECT_EQ(s.state.stateAddress, "10.2.0.1:2379");
    EXPECT_EQ(s.statePrefix, "gate/");
    EXPECT_EQ(s.state.stateRps, 25);
    EXPECT_EQ(s.state.stateWriteRps, 10);
    EXPECT_EQ(s.state.valueBytes, 8192U);
    EXPECT_EQ(s.state.txnOps, 12U);
    EXPECT_EQ(s.leaseTtl, Duration(5s));
    EXPECT_EQ(s.refWord, "job");
    EXPECT_EQ(s.refsFrom, 7U);
    EXPECT_EQ(s.refsTo, 70U);
}

TEST_F(GatewaySettingsWireFormat, AccessFields) {
    EXPECT_TRUE(s.networks.contains("10.9.9.9"));
    EXPECT_FALSE(s.networks.contains("11.0.0.1"));
    EXPECT_TRUE(s.anonymous);
    EXPECT_TRUE(s.passwordsInClear);
    EXPECT_EQ(s.users.at("ada").password, "secret");
    EXPECT_EQ(s.users.at("ada").teams, (std::set<std::string>{"north"}));
    ASSERT_TRUE(s.tls);
    EXPECT_EQ(s.tls->certificate, "c");
    EXPECT_EQ(s.tls->key, "k");
    EXPECT_EQ(s.tls->trust, "t");
    EXPECT_TRUE(s.tls->required);
}

TEST_F(GatewaySettingsWireFormat, QueueFields) {
    const auto& q = s.queues.at("north/check");
    EXPECT_EQ(q.team, "north");
    EXPECT_EQ(q.jobClass, "check");
    EXPECT_EQ(q.job, R"({"rank":"low"})");
    EXPECT_EQ(q.keyProperty, "id");
    EXPECT_EQ(q.withoutId, WithoutId::atLeastOnce);
    EXPECT_EQ(q.attempts, 4U);
    EXPECT_EQ(q.unfinished, 9U);
    EXPECT_EQ(q.retain, 700s);
    EXPECT_EQ(s.queues.at("north/once").withoutId, WithoutId::atMostOnce);
    EXPECT_EQ(s.queues.at("north/never").withoutId, WithoutId::reject);
}

TEST_F(GatewaySettingsWireFormat, SourceAndLimitFields) {
    ASSERT_EQ(s.sources.size(), 1U);
    const auto& source = s.sources[0];
    EXPECT_EQ(source.name, "broker");
    EXPECT_EQ(source.address, "192.0.2.1:5671");
    EXPECT_EQ(source.user, "u");
    EXPECT_EQ(source.password, "secret");
    EXPECT_TRUE(source.passwordsInClear);
    ASSERT_TRUE(source.tls);
    EXPECT_EQ(source.tls->trust, "t");
    EXPECT_EQ(source.tls->host, "h");
    EXPECT_EQ(source.tls->certificate, "c");
    EXPECT_EQ(source.tls->key, "k");
    EXPECT_EQ(source.consume.at("north/check"), "work");
    EXPECT_EQ(s.limits.connections, 11U);
    EXPECT_EQ(s.limits.links, 12U);
    EXPECT_EQ(s.limits.credit, 13);
    EXPECT_EQ(s.limits.messageBytes, std::size_t{14} * 1024);
    EXPECT_EQ(s.limits.memoryBytes, std::size_t{15} * 1024 * 1024);
    EXPECT_EQ(s.limits.maxMessagesInProgress, 16U);
    EXPECT_EQ(s.limits.pollsPerSecond, 17);
    EXPECT_EQ(s.limits.poll, Duration(18s));
    EXPECT_EQ(s.limits.timeout, Duration(19s));
    EXPECT_EQ(s.limits.age, Duration(20s));
}

}  // namespace
}  // namespace basaltchute::gateway
