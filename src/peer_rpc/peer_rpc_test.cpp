#include "peer_rpc/peer_rpc.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::peer_rpc {
namespace {

using namespace std::chrono_literals;

TEST(PeerRpc, FramesComeBackWholeHoweverTheyAreCut) {
    Message m;
    m.id = 7;
    m.request = http::Request{"POST", "/v1/jobs", std::string(5000, 'x')};
    Message greeting;
    greeting.hello = Hello{"rig-1", true, 9};
    const std::string wire = encode(m) + encode(greeting);
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

TEST(PeerRpc, WhatASilentLeaderWasAskedIsNotWaitedForOnceAnotherOneIsReady) {
    // A leader that stands still keeps its connections: requests passed on to it timed out with
    // their users, long after another node had taken over.
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
    int asked = 0;
    for (auto& s : settings) {
        nodes.push_back(std::make_unique<PeerRpc>(
            world.loop, s,
            PeerRpc::Hooks{
                [&s] {
                    return Hello{s.node, false, 0, false};
                },
                [](const Hello&) {},
                [&](Purpose, http::Request, std::string) -> Task<http::Response> {
                    ++asked;
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
    world.loop.spawn(
        [](PeerRpc& m, Scope& scope, http::RequestOutcome& o, bool& flag) -> Task<void> {
            http::Request request{"GET", "/v1/jobs/run-1", ""};
            o = co_await m.forward("rig-1", std::move(request), 4s, scope);
            flag = true;
        }(*nodes[0], world.scope, out, done));
    world.run(500ms);
    EXPECT_EQ(asked, 1);
    nodes[0]->retryPendingAt("rig-1");
    world.run(100ms);
    EXPECT_FALSE(done) << "it leads still";
    nodes[0]->retryPendingAt("rig-2");
    world.until([&] { return done; });
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 1s);
    world.end(world.scope);
}

TEST(PeerRpc, AConnectionToAProcessThatIsGoneIsGivenUpOnceItsSuccessorGreets) {
    // In a cut the end of a process does not come through. Its successor is back within a fraction
    // of a second, but what was passed on to the former one waited for its silence to be noticed.
    testing::World world;
    auto near = testing::someSettings(), far = near;
    near.node = "rig-0";
    near.peerListenAddress = testing::freeAddress();
    far.node = "rig-1";
    far.peerListenAddress = testing::freeAddress();
    near.peers = {{"rig-1", "a", far.peerListenAddress}};
    far.peers = {{"rig-0", "a", near.peerListenAddress}};
    const auto hooks = [&](std::string node, std::string process) {
        return PeerRpc::Hooks{
            [=] { return Hello{node, false, 0, false, 0, true, true, process}; },
            [](const Hello&) {},
            [&](Purpose, http::Request, std::string) -> Task<http::Response> {
                co_await world.loop.sleep(60s, world.scope);
                co_return http::Response{};
            },
            [](const Pledge&) { return false; },
            [](const lease_delegation::DelegationRequest&) { return std::nullopt; }};
    };
    PeerRpc here(world.loop, near, hooks("rig-0", "1"));
    here.start(world.scope);
    // The former process: its listener stays open, as a connection that was never reset does.
    PeerRpc before(world.loop, far, hooks("rig-1", "2"));
    before.start(world.scope);
    world.run(1s);
    ASSERT_TRUE(here.connected("rig-1"));
    http::RequestOutcome out;
    bool done = false;
    world.loop.spawn(
        [](PeerRpc& m, Scope& scope, http::RequestOutcome& o, bool& flag) -> Task<void> {
            http::Request request{"GET", "/v1/jobs/run-1", ""};
            o = co_await m.forward("rig-1", std::move(request), 4s, scope);
            flag = true;
        }(here, world.scope, out, done));
    world.run(100ms);
    auto again = far;
    again.peerListenAddress = testing::freeAddress();
    PeerRpc after(world.loop, again, hooks("rig-1", "3"));
    const TimePoint since = world.clock.now();
    after.start(world.scope);
    world.until([&] { return done; });
    EXPECT_TRUE(out.sent);
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 500ms);
    world.end(world.scope);
}

TEST(PeerRpc, DelegationsComeBackAsTheyWereAndAGreetingWithoutThemIsAnOlderNodes) {
    Message ask, give, old, out;
    ask.id = give.id = 3;
    ask.delegationRequest = lease_delegation::DelegationRequest{"rig-1", 7, 41, 90s};
    give.delegation = lease_delegation::Delegation{7, 42, 30s};
    std::string data = encode(ask) + encode(give);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(out.delegationRequest);
    EXPECT_EQ(out.delegationRequest->node, "rig-1");
    EXPECT_EQ(out.delegationRequest->number, 41U);
    EXPECT_EQ(out.delegationRequest->timeSinceUse, 90s);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(out.delegation);
    EXPECT_EQ(out.delegation->number, 42U);
    EXPECT_EQ(out.delegation->duration, 30s);
    old.hello = Hello{"rig-2", true, 9, true};
    data = encode(old);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    EXPECT_FALSE(out.hello->supportsDelegations);
    EXPECT_FALSE(out.hello->supportsTransfers);
    EXPECT_EQ(out.hello->incarnation, "");
    EXPECT_EQ(out.hello->storedFormat, 1U);
    EXPECT_EQ(out.hello->knownLeaderToken, 0U);
}

TEST(PeerRpc, MalformedAndOversizedFramesAreBroken) {
    Message out;
    std::string huge("\xff\xff\xff\x7f", 4);
    EXPECT_EQ(decode(huge, out), DecodeStatus::broken);
    std::string odd(
        "\x03\x00\x00\x00"
        "abc",
        7);
    EXPECT_EQ(decode(odd, out), DecodeStatus::broken);
    std::string noise = std::string("\x10\x00\x00\x00", 4) + std::string(16, '\xee');
    EXPECT_EQ(decode(noise, out), DecodeStatus::broken);
}

TEST(Mesh, AFrameHoldsTheLargestPageOfTheStateServiceAndAHeartbeatOfTheLargestMachine) {
    // Nothing in a frame grows with the number of machines: lists come in pages of 512 KiB at most,
    // requests and their responses are of 64 KiB at most.
    constexpr std::size_t largestPage = 512 * 1024, envelope = 64 * 1024;
    Message reply;
    reply.id = 1;
    reply.reply = http::Response{200, std::string(largestPage + envelope, 'x')};
    Message heartbeat;
    heartbeat.id = 2;
    heartbeat.request = http::Request{"POST", "/agent/beat", std::string(64 * 1024, 'x')};
    std::string data = encode(reply) + encode(heartbeat);
    Message got;
    ASSERT_EQ(decode(data, got), DecodeStatus::message);
    EXPECT_EQ(got.reply->body.size(), largestPage + envelope);
    ASSERT_EQ(decode(data, got), DecodeStatus::message);
    EXPECT_EQ(got.request->body.size(), 64U * 1024);
    EXPECT_TRUE(data.empty());
}

}  // namespace
}  // namespace basaltchute::peer_rpc
