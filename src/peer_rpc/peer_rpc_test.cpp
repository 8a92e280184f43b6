#include "peer_rpc/peer_rpc.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::peer_rpc {
namespace {

using namespace std::chrono_literals;

TEST(PeerRpc, DecodesFramesThatArriveByteByByte) {
    Message request;
    request.id = 7;
    request.request = http::Request{"POST", "/v1/jobs", std::string(5000, 'x')};
    Message helloMessage;
    helloMessage.hello = Hello{"rig-1", true, 9};
    const std::string wire = encode(request) + encode(helloMessage);
    std::string data;
    std::vector<Message> got;
    for (const char c : wire) {
        data += c;
        Message out;
        if (decode(data, out) == DecodeStatus::message) got.push_back(std::move(out));
    }
    ASSERT_EQ(got.size(), 2U);
    EXPECT_EQ(got[0].request->body.size(), 5000U);
    EXPECT_EQ(got[0].id, 7U);
    EXPECT_EQ(got[1].hello->token, 9U);
    EXPECT_TRUE(data.empty());
}

TEST(PeerRpc, RequestsToASuspendedLeaderFailOnceAnotherNodeIsReadyToLead) {
    // A suspended leader keeps its connections. Requests forwarded to it used to wait until their
    // users' timeouts, long after another node had taken over.
    testing::World world;
    std::vector<std::unique_ptr<PeerRpc>> nodes;
    std::vector<settings::Settings> settings;
    for (int i = 0; i < 2; ++i) {
        auto s = testing::someSettings();
        s.node = "rig-" + std::to_string(i);
        s.peerListenAddress = testing::freeAddress();
        settings.push_back(s);
    }
    settings[0].peers = {{"rig-1", "a", settings[1].peerListenAddress}};
    settings[1].peers = {{"rig-0", "a", settings[0].peerListenAddress}};
    int requestsHandled = 0;
    for (auto& s : settings) {
        nodes.push_back(std::make_unique<PeerRpc>(
            world.loop, s,
            PeerRpc::Hooks{
                [&s] {
                    return Hello{s.node, false, 0, false};
                },
                [](const Hello&) {},
                [&](Purpose, http::Request, std::string) -> Task<http::Response> {
                    ++requestsHandled;
                    co_await world.loop.sleep(60s, world.scope);
                    co_return http::Response{};
                },
                [](const Pledge&) { return false; },
                [](const lease_delegation::DelegationRequest&) { return std::nullopt; }}));
        nodes.back()->start(world.scope);
    }
    world.run(1s);
    ASSERT_TRUE(nodes[0]->connected("rig-1"));
    http::RequestOutcome out;
    bool done = false;
    const TimePoint since = world.clock.now();
    world.loop.spawn([](PeerRpc& node, Scope& scope, http::RequestOutcome& outcome,
                        bool& finished) -> Task<void> {
        http::Request request{"GET", "/v1/jobs/run-1", ""};
        outcome = co_await node.forward("rig-1", std::move(request), 4s, scope);
        finished = true;
    }(*nodes[0], world.scope, out, done));
    world.run(500ms);
    EXPECT_EQ(requestsHandled, 1);
    nodes[0]->failRequestsToFormerLeaders("rig-1");
    world.run(100ms);
    EXPECT_FALSE(done) << "rig-1 still leads";
    nodes[0]->failRequestsToFormerLeaders("rig-2");
    world.until([&] { return done; });
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 1s);
    world.end(world.scope);
}

TEST(PeerRpc, ConnectionToAFormerProcessIsClosedOnTheHelloOfItsSuccessor) {
    // In a network partition a connection is not closed when the process at its other end exits.
    // The new process is up within a fraction of a second, but requests forwarded to the former one
    // used to wait until the connection had been silent for its whole timeout.
    testing::World world;
    auto nearSettings = testing::someSettings(), farSettings = nearSettings;
    nearSettings.node = "rig-0";
    nearSettings.peerListenAddress = testing::freeAddress();
    farSettings.node = "rig-1";
    farSettings.peerListenAddress = testing::freeAddress();
    nearSettings.peers = {{"rig-1", "a", farSettings.peerListenAddress}};
    farSettings.peers = {{"rig-0", "a", nearSettings.peerListenAddress}};
    const auto hooks = [&](std::string node, std::string incarnation) {
        return PeerRpc::Hooks{
            [=] { return Hello{node, false, 0, false, 0, true, true, incarnation}; },
            [](const Hello&) {},
            [&](Purpose, http::Request, std::string) -> Task<http::Response> {
                co_await world.loop.sleep(60s, world.scope);
                co_return http::Response{};
            },
            [](const Pledge&) { return false; },
            [](const lease_delegation::DelegationRequest&) { return std::nullopt; }};
    };
    PeerRpc nearNode(world.loop, nearSettings, hooks("rig-0", "1"));
    nearNode.start(world.scope);
    // The former process. It keeps running, so that its connections are never reset.
    PeerRpc formerProcess(world.loop, farSettings, hooks("rig-1", "2"));
    formerProcess.start(world.scope);
    world.run(1s);
    ASSERT_TRUE(nearNode.connected("rig-1"));
    http::RequestOutcome out;
    bool done = false;
    world.loop.spawn([](PeerRpc& node, Scope& scope, http::RequestOutcome& outcome,
                        bool& finished) -> Task<void> {
        http::Request request{"GET", "/v1/jobs/run-1", ""};
        outcome = co_await node.forward("rig-1", std::move(request), 4s, scope);
        finished = true;
    }(nearNode, world.scope, out, done));
    world.run(100ms);
    auto newSettings = farSettings;
    newSettings.peerListenAddress = testing::freeAddress();
    PeerRpc newProcess(world.loop, newSettings, hooks("rig-1", "3"));
    const TimePoint since = world.clock.now();
    newProcess.start(world.scope);
    world.until([&] { return done; });
    EXPECT_TRUE(out.sent);
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 500ms);
    world.end(world.scope);
}

TEST(PeerRpc, DelegationsRoundTripAndAHelloWithoutThemIsThatOfAnOlderVersion) {
    Message request, response, olderHello, out;
    request.id = response.id = 3;
    request.delegationRequest = lease_delegation::DelegationRequest{"rig-1", 7, 41, 90s};
    response.delegation = lease_delegation::Delegation{7, 42, 30s};
    std::string data = encode(request) + encode(response);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(out.delegationRequest);
    EXPECT_EQ(out.delegationRequest->node, "rig-1");
    EXPECT_EQ(out.delegationRequest->number, 41U);
    EXPECT_EQ(out.delegationRequest->timeSinceUse, 90s);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(out.delegation);
    EXPECT_EQ(out.delegation->number, 42U);
    EXPECT_EQ(out.delegation->duration, 30s);
    olderHello.hello = Hello{"rig-2", true, 9, true};
    data = encode(olderHello);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    EXPECT_FALSE(out.hello->supportsDelegations);
    EXPECT_FALSE(out.hello->supportsTransfers);
    EXPECT_EQ(out.hello->incarnation, "");
    EXPECT_EQ(out.hello->storedFormat, 1U);
    EXPECT_EQ(out.hello->knownLeaderToken, 0U);
}

TEST(PeerRpc, MalformedAndOversizedFramesAreRejected) {
    Message out;
    std::string oversized("\xff\xff\xff\x7f", 4);
    EXPECT_EQ(decode(oversized, out), DecodeStatus::malformed);
    std::string unaligned(
        "\x03\x00\x00\x00"
        "abc",
        7);
    EXPECT_EQ(decode(unaligned, out), DecodeStatus::malformed);
    std::string notCapnProto = std::string("\x10\x00\x00\x00", 4) + std::string(16, '\xee');
    EXPECT_EQ(decode(notCapnProto, out), DecodeStatus::malformed);
}

TEST(PeerRpc, FrameHoldsTheLargestStateServicePageAndTheLargestHeartbeat) {
    // No frame grows with the number of machines: lists come in pages of at most 512 KiB; requests
    // and their responses have at most 64 KiB.
    constexpr std::size_t maxPageBytes = 512 * 1024, envelopeBytes = 64 * 1024;
    Message reply;
    reply.id = 1;
    reply.reply = http::Response{200, std::string(maxPageBytes + envelopeBytes, 'x')};
    Message heartbeat;
    heartbeat.id = 2;
    heartbeat.request = http::Request{"POST", "/agent/beat", std::string(64 * 1024, 'x')};
    std::string data = encode(reply) + encode(heartbeat);
    Message got;
    ASSERT_EQ(decode(data, got), DecodeStatus::message);
    EXPECT_EQ(got.reply->body.size(), maxPageBytes + envelopeBytes);
    ASSERT_EQ(decode(data, got), DecodeStatus::message);
    EXPECT_EQ(got.request->body.size(), 64U * 1024);
    EXPECT_TRUE(data.empty());
}

}  // namespace
}  // namespace basaltchute::peer_rpc
