// The exact responses of a gateway's admin interface.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "gateway/testing/gateway_fixture.h"

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;
using testing::GatewayFixture;

const QueueName queueName = "north/check";
const std::string entryQuery = "?queue=north/check&key=t%3a1";

class GatewayAdminWireFormat : public ::testing::Test {
  protected:
    GatewayAdminWireFormat() {
        spdlog::set_level(spdlog::level::off);
        fixture.addQueue(queueName);
    }
    /// The status and the body of the response.
    std::string ask(const Gateway& gateway, const std::string& method, const std::string& target) {
        std::string response;
        bool done = false;
        fixture.world.scope.spawn([](GatewayFixture& f, std::string address, http::Request request,
                                     std::string& out, bool& flag) -> Task<void> {
            http::Client client(f.world.loop, std::move(address), 0);
            const auto outcome = co_await client.request(std::move(request), 5s, f.world.scope);
            out = std::to_string(outcome.response.status) + ' ' + outcome.response.body;
            flag = true;
        }(fixture, gateway.admin(), http::Request{method, target, ""}, response, done));
        fixture.until([&] { return done; });
        return response;
    }
    /// An instance that holds the queue and has sent the reply to one message.
    Gateway& startAndAnswerOneMessage() {
        Gateway& gateway = fixture.start("gw-1");
        fixture.broker.publish("work/" + queueName, GatewayFixture::message("m", "1", "replies"));
        EXPECT_TRUE(
            fixture.until([&] { return fixture.broker.received["replies"].size() == 1; }, 60s));
        fixture.world.run(1s);
        return gateway;
    }
    GatewayFixture fixture;
};

TEST_F(GatewayAdminWireFormat, Queues) {
    const Gateway& gateway = startAndAnswerOneMessage();
    EXPECT_EQ(ask(gateway, "GET", "/queues"),
              R"(200 {"instance":"gw-1","draining":false,)"
              R"("members":[{"instance":"gw-1","draining":false}],)"
              R"("queues":[{"queue":"north/check","holder":"gw-1","ready":true,"entered":0,)"
              R"("refused":0,"accepted":0,"final":0,"replied":1,"links":1,"untaken":0,)"
              R"("oldestS":0.0,"window":64,"pages":1}],)"
              R"("sources":[{"source":"partner","connected":true}],)"
              R"("counters":{"arrived":1,"duplicates":0,"accepted":1,"rejected":0,"released":0,)"
              R"("finals":1,"replies":1,"repliesAgain":0,"repliesRefused":0,"repliesLost":0,)"
              R"("connections":0,"connectionsRefused":0,"queuesGained":1,"queuesLost":0,)"
              R"("submissionRetries":0,"clients":0,"waiting":0}})");
}

TEST_F(GatewayAdminWireFormat, Ledger) {
    const Gateway& gateway = startAndAnswerOneMessage();
    EXPECT_EQ(ask(gateway, "GET", "/ledger" + entryQuery),
              R"(200 {"queue":"north/check","entries":1,"lines":[{"ref":"run-900000000",)"
              R"("key":"t:1","stage":"replied","status":"done","number":1,"attempts":1,)"
              R"("origin":"partner","replyTo":"replies","why":"","stands":true,)"
              R"("forgetMs":3686401200}]})");
    EXPECT_EQ(ask(gateway, "GET", "/ledger?queue=north/check&stage=entered"),
              R"(200 {"queue":"north/check","entries":1,"lines":[]})");
    for (const std::string stage : {"entered", "refused", "accepted", "final", "replied"})
        EXPECT_TRUE(
            ask(gateway, "GET", "/ledger?queue=north/check&stage=" + stage).starts_with("200 "))
            << stage;
}

TEST_F(GatewayAdminWireFormat, ReplayAndDrain) {
    const Gateway& gateway = startAndAnswerOneMessage();
    EXPECT_EQ(ask(gateway, "POST", "/replay" + entryQuery), R"(200 {"replayed":true})");
    EXPECT_EQ(ask(gateway, "POST", "/drain"), R"(200 {"draining":true})");
}

TEST_F(GatewayAdminWireFormat, Errors) {
    const Gateway& gateway = startAndAnswerOneMessage();
    EXPECT_EQ(ask(gateway, "GET", "/nothing"), R"(404 {"error":"no such path"})");
    EXPECT_EQ(ask(gateway, "POST", "/queues"), R"(404 {"error":"no such path"})");
    EXPECT_EQ(ask(gateway, "GET", "/ledger?queue=no/such"),
              R"(404 {"error":"no such queue: expected <team>/<class> of the settings"})");
    EXPECT_EQ(ask(gateway, "GET", "/ledger?queue=north/check&stage=none"),
              R"(400 {"error":"stage: expected a stage of the ledger"})");
    EXPECT_EQ(ask(gateway, "POST", "/replay?queue=north/check&key=t%3a9"),
              R"(409 {"error":"no such key in north/check"})");
}

TEST_F(GatewayAdminWireFormat, RedirectToTheInstanceThatHoldsTheQueue) {
    Gateway& one = fixture.start("gw-1");
    Gateway& two = fixture.start("gw-2");
    ASSERT_TRUE(fixture.until([&] {
        return fixture.holder(queueName) != nullptr && one.members().all().size() == 2 &&
               two.members().all().size() == 2;
    }));
    fixture.world.run(2s);
    const Gateway& holder = *fixture.holder(queueName);
    const Gateway& other = &holder == &one ? two : one;
    const std::string name = &holder == &one ? "gw-1" : "gw-2";
    EXPECT_EQ(ask(other, "GET", "/ledger" + entryQuery),
              R"(421 {"error":"this instance does not hold the queue","instance":")" + name +
                  R"(","admin":"127.0.0.1:0"})");
}

}  // namespace
}  // namespace basaltchute::gateway
