#include "peer_rpc/peer_rpc.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::peer_rpc {
namespace {

using namespace std::chrono_literals;

/// Says hello, follows nobody, and keeps whoever forwards a request waiting for a minute.
class SlowHandler final : public PeerRequestHandler {
  public:
    SlowHandler(testing::World& world, Hello hello) : world_(world), hello_(std::move(hello)) {}
    Hello makeHello() override { return hello_; }
    void helloReceived(const Hello&) override {}
    Task<http::Response> handleRequest(Purpose, http::Request, std::string) override {
        ++requests;
        co_await world_.loop.sleep(60s, world_.scope);
        co_return http::Response{};
    }
    bool handlePledge(const Pledge&) override { return false; }
    std::optional<lease_delegation::Delegation> handleDelegationRequest(
        const lease_delegation::DelegationRequest&) override {
        return std::nullopt;
    }
    int requests = 0;

  private:
    testing::World& world_;
    Hello hello_;
};

TEST(PeerRpc, FramesAreDecodedWhicheverWayTheyAreSplit) {
    const RequestMessage request{7, {"POST", "/v1/jobs", std::string(5000, 'x')}};
    const Hello hello{"rig-1", true, 9};
    const std::string wire = encode(request) + encode(hello);
    std::string data;
    std::vector<Message> messages;
    for (const char c : wire) {
        data += c;
        Message out;
        if (decode(data, out) == DecodeStatus::message) messages.push_back(std::move(out));
    }
    ASSERT_EQ(messages.size(), 2U);
    ASSERT_TRUE(std::holds_alternative<RequestMessage>(messages[0]));
    EXPECT_EQ(std::get<RequestMessage>(messages[0]).request.body.size(), 5000U);
    EXPECT_EQ(std::get<RequestMessage>(messages[0]).id, 7U);
    ASSERT_TRUE(std::holds_alternative<Hello>(messages[1]));
    EXPECT_EQ(std::get<Hello>(messages[1]).token, 9U);
    EXPECT_TRUE(data.empty());
}

TEST(PeerRpc, RequestsToASilentLeaderAreAbandonedOnceAnotherLeaderIsReady) {
    // A leader that stands still keeps its connections: requests passed on to it timed out with
    // their users, long after another node had taken over.
    testing::World world;
    std::vector<std::unique_ptr<PeerRpc>> nodes;
    std::vector<settings::Settings> settings;
    for (int i = 0; i < 2; ++i) {
        auto s = testing::someSettings();
        s.node = "rig-" + std::to_string(i);
        s.meshListen = testing::freeAddress();
        settings.push_back(s);
    }
    settings[0].peers = {{"rig-1", "a", settings[1].meshListen}};
    settings[1].peers = {{"rig-0", "a", settings[0].meshListen}};
    std::vector<std::unique_ptr<SlowHandler>> handlers;
    for (auto& s : settings) {
        handlers.push_back(std::make_unique<SlowHandler>(world, Hello{s.node, false, 0, false}));
        nodes.push_back(std::make_unique<PeerRpc>(world.loop, s, *handlers.back()));
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
    EXPECT_EQ(handlers[0]->requests + handlers[1]->requests, 1);
    nodes[0]->retryPendingAt("rig-1");
    world.run(100ms);
    EXPECT_FALSE(done) << "it leads still";
    nodes[0]->retryPendingAt("rig-2");
    world.until([&] { return done; });
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 1s);
    world.end(world.scope);
}

TEST(PeerRpc, ConnectionToAFormerProcessIsClosedOnceItsSuccessorSaysHello) {
    // In a cut the end of a process does not come through. Its successor is back within a fraction
    // of a second, but what was passed on to the former one waited for its silence to be noticed.
    testing::World world;
    auto near = testing::someSettings(), far = near;
    near.node = "rig-0";
    near.meshListen = testing::freeAddress();
    far.node = "rig-1";
    far.meshListen = testing::freeAddress();
    near.peers = {{"rig-1", "a", far.meshListen}};
    far.peers = {{"rig-0", "a", near.meshListen}};
    const auto hello = [](const char* node, const char* process) {
        return Hello{node, false, 0, false, 0, true, true, process};
    };
    SlowHandler handlerHere(world, hello("rig-0", "1"));
    SlowHandler handlerBefore(world, hello("rig-1", "2"));
    SlowHandler handlerAfter(world, hello("rig-1", "3"));
    PeerRpc here(world.loop, near, handlerHere);
    here.start(world.scope);
    // The former process: its listener stays open, as a connection that was never reset does.
    PeerRpc before(world.loop, far, handlerBefore);
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
    again.meshListen = testing::freeAddress();
    PeerRpc after(world.loop, again, handlerAfter);
    const TimePoint since = world.clock.now();
    after.start(world.scope);
    world.until([&] { return done; });
    EXPECT_TRUE(out.sent);
    EXPECT_FALSE(out.answered);
    EXPECT_LT(world.clock.now() - since, 500ms);
    world.end(world.scope);
}

TEST(PeerRpc, DelegationsAreDecodedAndAHelloWithoutThemIsAnOlderVersions) {
    const DelegationRequestMessage request{3, {"rig-1", 7, 41, 90s}};
    const DelegationMessage reply{3, {7, 42, 30s}};
    std::string data = encode(request) + encode(reply);
    Message out;
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(std::holds_alternative<DelegationRequestMessage>(out));
    const auto& readRequest = std::get<DelegationRequestMessage>(out).request;
    EXPECT_EQ(readRequest.node, "rig-1");
    EXPECT_EQ(readRequest.number, 41U);
    EXPECT_EQ(readRequest.sinceUse, 90s);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(std::holds_alternative<DelegationMessage>(out));
    EXPECT_EQ(std::get<DelegationMessage>(out).delegation.number, 42U);
    EXPECT_EQ(std::get<DelegationMessage>(out).delegation.duration, 30s);
    data = encode(Hello{"rig-2", true, 9, true});
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(std::holds_alternative<Hello>(out));
    const auto& hello = std::get<Hello>(out);
    EXPECT_FALSE(hello.supportsDelegations);
    EXPECT_FALSE(hello.supportsTransfers);
    EXPECT_EQ(hello.incarnation, "");
    EXPECT_EQ(hello.storedFormat, 1U);
    EXPECT_EQ(hello.knownLeaderToken, 0U);
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
    const ReplyMessage reply{1, {200, std::string(largestPage + envelope, 'x')}};
    const RequestMessage heartbeat{2, {"POST", "/agent/beat", std::string(64 * 1024, 'x')}};
    std::string data = encode(reply) + encode(heartbeat);
    Message out;
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(std::holds_alternative<ReplyMessage>(out));
    EXPECT_EQ(std::get<ReplyMessage>(out).response.body.size(), largestPage + envelope);
    ASSERT_EQ(decode(data, out), DecodeStatus::message);
    ASSERT_TRUE(std::holds_alternative<RequestMessage>(out));
    EXPECT_EQ(std::get<RequestMessage>(out).request.body.size(), 64U * 1024);
    EXPECT_TRUE(data.empty());
}

}  // namespace
}  // namespace basaltchute::peer_rpc
