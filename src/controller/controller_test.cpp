#include "controller/controller.h"

#include <gtest/gtest.h>

#include <sstream>

#include "kv_store/fake_record_owner.h"
#include "leader_election/fake_election_peers.h"
#include "testing/world.h"

// Whole controllers on a fake clock, with the state service, the cloud, users and workers
// played by their published protocols.

namespace basaltchute::controller {
namespace {

using namespace std::chrono_literals;

class ControllerTest : public ::testing::Test {
  protected:
    testing::World world;
    testing::StateService state{world};
    testing::CloudService cloud{world};
    struct Node {
        settings::Settings settings;
        settings::OperatorSettings operatorSettings;
        std::unique_ptr<Controller> controller;
        std::unique_ptr<http::Client> client;
    };
    std::vector<std::unique_ptr<Node>> nodes;
    Scope users{world.loop};

    /// `absent` peers are in the settings but never answer.
    void start(std::size_t count, std::size_t absent = 0) {
        for (std::size_t i = 0; i < count; ++i) {
            auto n = std::make_unique<Node>();
            n->settings = testing::someSettings();
            n->settings.node = "rig-" + std::to_string(i);
            n->settings.listenAddress = testing::freeAddress();
            n->settings.peerListenAddress = testing::freeAddress();
            n->settings.stateAddress = state.address();
            n->settings.cloudAddress = cloud.address();
            nodes.push_back(std::move(n));
        }
        for (auto& n : nodes)
            for (auto& other : nodes)
                if (n != other)
                    n->settings.peers.push_back(
                        {other->settings.node, "a", other->settings.peerListenAddress});
        for (auto& n : nodes)
            for (std::size_t i = 0; i < absent; ++i)
                n->settings.peers.push_back({"gone-" + std::to_string(i), "a", "127.0.0.1:1"});
        for (auto& n : nodes) {
            n->client = std::make_unique<http::Client>(world.loop, n->settings.listenAddress);
            launch(*n);
        }
        world.run(4s);
    }
    void launch(Node& n) {
        n.controller = std::make_unique<Controller>(world.loop, n.settings, n.operatorSettings,
                                                    "process-" + std::to_string(++processes));
        n.controller->start();
    }
    int processes = 0;
    /// As a process that is killed: nothing that it would give back arrives.
    void kill(std::size_t node) {
        bool gone = false;
        const bool down = std::exchange(state.down, true);
        world.scope.spawn([](Controller& c, bool& flag) -> Task<void> {
            co_await c.abandon();
            flag = true;
        }(*nodes[node]->controller, gone));
        world.until([&] { return gone; });
        nodes[node]->controller.reset();
        state.down = down;
    }
    /// Whoever holds the leader's key, or no node at all.
    std::size_t leader() {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (const auto held = state.keys.find("lead/holder");
                held != state.keys.end() &&
                held->second.data.find(nodes[i]->settings.node) != std::string::npos)
                return i;
        return nodes.size();
    }
    std::uint64_t token() {
        const auto doc = json::parse(state.keys.at("lead/token").data);
        return json::count(*doc, "token").value_or(json::count(*doc, "last").value_or(0));
    }
    std::string status(std::size_t node, const std::string& id) {
        const auto o = ask(node, "GET", "/v1/jobs/" + id);
        const auto doc = o.answered ? json::parse(o.response.body) : std::nullopt;
        return doc ? json::string(*doc, "status").value_or(std::to_string(o.response.status)) : "";
    }
    int submit(std::size_t node, const std::string& id, const std::string& needs) {
        return ask(node, "POST", "/v1/jobs", testing::submission(id, ",\"waitsOn\":" + needs))
            .response.status;
    }
    http::RequestOutcome ask(std::size_t node, const std::string& method, const std::string& target,
                             const std::string& body = "") {
        http::RequestOutcome out;
        bool done = false;
        users.spawn(send(*nodes[node]->client, {method, target, body}, out, done));
        world.until([&] { return done; });
        return out;
    }
    Task<void> send(http::Client& client, http::Request request, http::RequestOutcome& out,
                    bool& done) {
        out = co_await client.request(std::move(request), 5s, users);
        done = true;
    }
    void TearDown() override {
        for (auto& n : nodes) {
            if (!n->controller) continue;
            bool done = false;
            world.scope.spawn(stop(*n->controller, done));
            world.until([&] { return done; });
        }
        world.end(users);
        world.end(world.scope);
    }
    static Task<void> stop(Controller& c, bool& done) {
        co_await c.shutDown();
        done = true;
    }
};

TEST_F(ControllerTest, FollowersWatchQuietlyAfterManyChangesElsewhere) {
    // Once the state service had forgotten the revision of the leader's key, every follower asked
    // for it without a pause, and the leader's own writes were refused.
    start(3);
    state.changeElsewhere(20'000);
    world.run(12s);  // the watches of before end
    const int before = state.watches;
    world.run(20s);
    EXPECT_LE(state.watches - before, 6) << "two followers, ten seconds a watch";
}

TEST_F(ControllerTest, AnyNodeTakesAJobOnceAndItStandsBeforeTheAnswer) {
    start(3);
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(ask(i, "GET", "/up").response.status, 200);
    const auto first = ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    EXPECT_EQ(first.response.status, 201) << first.response.body;
    EXPECT_TRUE(state.keys.contains("jobs/run-1"));
    EXPECT_EQ(ask(1, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 200);
    EXPECT_EQ(ask(2, "GET", "/v1/jobs/run-1").response.status, 200);
    EXPECT_EQ(ask(2, "GET", "/v1/jobs/run-2").response.status, 404);
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", "{").response.status, 400);
    EXPECT_EQ(
        ask(1, "POST", "/v1/jobs", testing::submission("run-3", R"(,"crew2":1)")).response.status,
        201);
    EXPECT_EQ(ask(1, "PUT", "/v1/jobs").response.status, 405);
    EXPECT_EQ(ask(1, "GET", "/nowhere").response.status, 404);
    EXPECT_EQ(ask(1, "POST", "/status").response.status, 405);
    const auto over = ask(2, "POST", "/v1/jobs/run-1/withdraw");
    EXPECT_EQ(over.response.status, 200);
    EXPECT_NE(over.response.body.find("cancelled"), std::string::npos);
    EXPECT_NE(state.keys["jobs/run-1"].data.find("cancelled"), std::string::npos);
}

TEST_F(ControllerTest, WhatCanNeverRunOrLacksAFieldIsRefusedWithAReasonByAnyNode) {
    start(3);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    const auto submit = [&](std::size_t node, const std::string& body) {
        const auto r = ask(node, "POST", "/v1/jobs", body).response;
        return std::to_string(r.status) + ' ' + r.body;
    };
    const auto good = *json::parse(testing::submission("run-2"));
    for (const char* field :
         {"ref", "category", "crew", "shape", "rank", "splits", "cores", "gpus", "ramGb", "build",
          "sizeGb", "together", "spread", "loaners", "parS", "savepointS", "flushS"})
        for (const char* value : {"", "null", "{}", "-1", "1e999"}) {
            json::Document odd;
            odd.CopyFrom(good, odd.GetAllocator());
            odd.RemoveMember(field);
            std::string body = json::text(odd);
            if (*value != 0)
                body = body.substr(0, body.size() - 1) + ",\"" + field + "\":" + value + '}';
            for (const std::size_t node : {0U, 1U}) {
                const std::string said = submit(node, body);
                EXPECT_EQ(said.substr(0, 3), "400") << body;
                const bool named = said.find(field) != std::string::npos ||
                                   said.find("not JSON") != std::string::npos;
                EXPECT_TRUE(named) << said;
            }
        }
    const auto changed = [&](const char* field, const std::string& value,
                             const char* id = "run-2") {
        auto odd = *json::parse(testing::submission(id));
        odd.RemoveMember(field);
        if (value.find("spread") != std::string::npos) odd.RemoveMember("spread");
        const std::string body = json::text(odd);
        return body.substr(0, body.size() - 1) + ",\"" + field + "\":" + value + '}';
    };
    for (const auto& [field, value] :
         std::map<const char*, std::string>{{"crew", R"("nobody")"},
                                            {"cores", "8.5"},
                                            {"ramGb", "33"},
                                            {"gpus", "1"},
                                            {"rigs", R"(["rack"])"},
                                            {"hall", R"("nowhere")"},
                                            {"together", R"(true,"spread":true)"}})
        for (std::size_t node = 0; node < 3; ++node) {
            const std::string said = submit(node, changed(field, value));
            EXPECT_EQ(said.substr(0, 3), "422") << field << ' ' << value;
            EXPECT_NE(said.find("error"), std::string::npos);
        }
    // What is known stays so, whatever it would be told today.
    EXPECT_EQ(submit(1, changed("crew", R"("nobody")", "run-1")).substr(0, 3), "200");
    EXPECT_EQ(status(2, "run-2"), "404") << "none of them was taken";
}

TEST_F(ControllerTest, AChainIsAcceptedThroughAnyNodeAndCancelledAsAWhole) {
    start(3);
    EXPECT_EQ(submit(0, "run-1", "null"), 201);
    EXPECT_EQ(submit(1, "run-2", R"(["run-1","run-1"])"), 201);
    EXPECT_EQ(submit(2, "run-3", R"(["run-2"])"), 201);
    EXPECT_EQ(submit(0, "run-4", R"(["run-3","run-1"])"), 201);
    EXPECT_EQ(submit(1, "run-4", R"(["run-3","run-1"])"), 200) << "said again";
    EXPECT_EQ(submit(1, "run-4", R"(["run-77"])"), 200) << "known, whatever is said of it";
    EXPECT_EQ(submit(0, "run-5", R"(["run-77"])"), 422);
    EXPECT_EQ(submit(0, "run-5", R"(["run-5"])"), 422);
    for (const char* odd : {R"("run-1")", "[1]", R"([""])", R"(["a b"])", "{}"})
        for (const std::size_t node : {0U, 1U}) {
            const auto o = ask(node, "POST", "/v1/jobs",
                               testing::submission("run-6", std::string(",\"waitsOn\":") + odd));
            EXPECT_EQ(o.response.status, 400) << odd;
            EXPECT_NE(o.response.body.find("waitsOn"), std::string::npos) << odd;
        }
    EXPECT_EQ(submit(2, "run-6", "[]"), 201);
    EXPECT_EQ(status(1, "run-4"), "pending");
    const auto shown = ask(leader(), "GET", "/status").response.body;
    EXPECT_NE(shown.find(R"("ref":"run-4","for":["run-3","run-1"],"needs":2})"), std::string::npos)
        << shown;
    EXPECT_EQ(ask(2, "POST", "/v1/jobs/run-1/withdraw").response.status, 200);
    for (std::size_t node = 0; node < 3; ++node)
        for (const char* id : {"run-1", "run-2", "run-3", "run-4"})
            EXPECT_EQ(status(node, id), "cancelled") << id;
    EXPECT_NE(ask(0, "GET", "/v1/jobs/run-4").response.body.find(R"("because":"run-1")"),
              std::string::npos);
    EXPECT_EQ(status(0, "run-6"), "pending");
    EXPECT_EQ(ask(0, "POST", "/v1/jobs/run-3/withdraw").response.status, 200);
    // Accepted all the same, and never called pending: its user was told long ago.
    const auto late =
        ask(1, "POST", "/v1/jobs", testing::submission("run-7", R"(,"waitsOn":["run-4"])"));
    EXPECT_EQ(late.response.status, 201);
    EXPECT_NE(late.response.body.find("cancelled"), std::string::npos);
    kill(leader());
    world.run(5s);
    const std::size_t next = leader();
    ASSERT_LT(next, 3U);
    EXPECT_EQ(status(next, "run-7"), "cancelled") << "it follows at any leader";
}

TEST_F(ControllerTest, NoChainIsTakenWhileANodeThatWouldLoseItIsThere) {
    start(3);
    EXPECT_EQ(state.keys.at("lead/token").data.find("format"), std::string::npos);
    const std::size_t first = leader();
    const std::size_t held = (first + 1) % 3, other = (first + 2) % 3;
    kill(held);
    nodes[held]->operatorSettings.maxStoredFormat = 1;  // greets as a version before chains does
    launch(*nodes[held]);
    world.run(2s);
    ASSERT_EQ(leader(), first);
    EXPECT_EQ(submit(other, "run-1", "null"), 201);
    const auto refused =
        ask(other, "POST", "/v1/jobs", testing::submission("run-2", R"(,"waitsOn":["run-1"])"));
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_GE(refused.response.retryAfterS, 1);
    EXPECT_EQ(submit(other, "run-2", R"(["run-9"])"), 422) << "certain in any case";
    // Merely down, it holds nobody up for long.
    kill(held);
    world.run(1s);
    EXPECT_EQ(submit(other, "run-2", R"(["run-1"])"), 503);
    world.run(9s);
    EXPECT_EQ(submit(other, "run-2", R"(["run-1"])"), 201);
    // From now on such a version calls the counter malformed, and only follows.
    const auto counter = json::parse(state.keys.at("lead/token").data);
    EXPECT_FALSE(json::count(*counter, "token"));
    EXPECT_EQ(json::count(*counter, "format"), 2U);
    launch(*nodes[held]);
    world.run(2s);
    EXPECT_EQ(submit(held, "run-3", R"(["run-2"])"), 201) << "what has been raised stays so";
    const auto before = token();
    kill(first);
    world.run(6s);
    EXPECT_NE(leader(), first);
    EXPECT_GT(token(), before) << "counted on under its new name";
}

TEST_F(ControllerTest, AStateOfAFormatThatIsNotKnownIsNotLedOver) {
    start(1);
    kill(0);
    state.keys.erase("lead/holder");
    state.keys["lead/token"].data = R"({"last":5,"node":"rig-0","format":3})";
    launch(*nodes[0]);
    world.run(8s);
    EXPECT_EQ(leader(), 1U) << "nobody";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 503);
    state.keys["lead/token"].data = R"({"last":5,"node":"rig-0","format":2})";
    world.run(8s);
    EXPECT_EQ(leader(), 0U);
    EXPECT_EQ(token(), 6U);
}

TEST_F(ControllerTest, AnOutageDuringAcceptanceIsRefusedAtOnceAndTheJobIsTakenAfterwards) {
    start(1);
    state.down = true;
    const TimePoint asked = world.clock.now();
    const auto refused = ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_GT(refused.response.retryAfterS, 0);
    EXPECT_LT(world.clock.now() - asked, 1s) << "not held back";
    EXPECT_NE(ask(0, "GET", "/v1/jobs/run-1").response.status, 200);
    world.run(10s);
    state.down = false;
    world.run(6s);
    const auto taken = ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    EXPECT_TRUE(taken.response.status == 201 || taken.response.status == 200);
    EXPECT_TRUE(state.keys.contains("jobs/run-1"));
}

TEST_F(ControllerTest, AnotherNodeTakesOverWithAHigherTokenAndKnowsTheJobs) {
    start(2);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    const std::string before = state.keys.at("lead/holder").data;
    state.endGrantOf("lead/holder");  // as if the leader had been silent for too long
    world.run(6s);
    ASSERT_TRUE(state.keys.contains("lead/holder"));
    EXPECT_NE(state.keys.at("lead/holder").data, before);
    EXPECT_EQ(token(), 2U);
    for (std::size_t i = 0; i < 2; ++i)
        EXPECT_EQ(ask(i, "GET", "/v1/jobs/run-1").response.status, 200);
}

TEST_F(ControllerTest, BeatsReachTheLeaderThroughAnyNodeAndAHigherTokenDethronesIt) {
    start(2);
    const auto beat = [](unsigned tick, unsigned token) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" +
               std::to_string(tick) + R"(,"baton":)" + std::to_string(token) +
               R"(,"recallS":null,"splits":[]})";
    };
    for (std::size_t i = 0; i < 2; ++i) {
        const auto o = ask(i, "POST", "/agent/beat", beat(static_cast<unsigned>(i) + 1, 0));
        EXPECT_EQ(o.response.status, 200);
        EXPECT_NE(o.response.body.find(R"("baton":1)"), std::string::npos);
    }
    const auto o = ask(0, "POST", "/agent/beat", beat(9, 5));
    EXPECT_NE(o.response.status, 200) << "the worker would drop it and lose its lease";
}

TEST_F(ControllerTest, AnOutageThatAllNodesPledgeForKeepsTheLeaderActing) {
    // An outage of 19 s once outlasted leases of 16 s, and every replica was killed.
    start(3);
    state.down = true;
    const auto beat = [](unsigned tick) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" +
               std::to_string(tick) + R"(,"baton":1,"recallS":null,"splits":[]})";
    };
    for (unsigned s = 1; s <= 25; ++s) {
        world.run(1s);
        EXPECT_EQ(ask(s % 3, "POST", "/agent/beat", beat(s)).response.status, 200) << s << " s";
    }
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 503);
    state.down = false;
    world.run(2s);
    EXPECT_EQ(token(), 1U) << "nobody had to take over";
    EXPECT_NE(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 503);
}

TEST_F(ControllerTest, AWorkerIsAnsweredInASilentLeadersNameUntilTheDelegationEnds) {
    // A zone cut off for longer than a lease lost all its tasks: nobody there could answer.
    start(2);
    const auto beat = [](unsigned tick, unsigned token) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" +
               std::to_string(tick) + R"(,"baton":)" + std::to_string(token) +
               R"(,"recallS":null,"splits":[]})";
    };
    ASSERT_EQ(ask(0, "POST", "/agent/beat", beat(1, 0)).response.status, 200);
    const bool firstLeads = state.keys.at("lead/holder").data.find("rig-0") != std::string::npos;
    const std::size_t leader = firstLeads ? 0 : 1, holder = firstLeads ? 1 : 0;
    const auto terms = lease_delegation::DelegationLimits::from(nodes[holder]->settings);
    state.down = true;  // so that nobody takes over
    bool left = false;
    world.scope.spawn(stop(*nodes[leader]->controller, left));
    world.until([&] { return left; });
    unsigned tick = 1;
    EXPECT_NE(ask(holder, "POST", "/agent/beat", beat(++tick, 1)).response.status, 200);
    world.run(terms.leaderSilenceTimeout + 500ms);
    const auto lent = ask(holder, "POST", "/agent/beat", beat(++tick, 1));
    EXPECT_EQ(lent.response.status, 200);
    EXPECT_EQ(lent.response.body, R"({"baton":1,"orders":[]})");
    EXPECT_NE(ask(holder, "POST", "/agent/beat", beat(++tick, 2)).response.status, 200)
        << "that worker would drop it";
    world.run(terms.maxDuration - terms.leaderSilenceTimeout - 3s);
    EXPECT_EQ(ask(holder, "POST", "/agent/beat", beat(++tick, 1)).response.status, 200);
    world.run(4s);
    EXPECT_NE(ask(holder, "POST", "/agent/beat", beat(++tick, 1)).response.status, 200);
    EXPECT_NE(ask(holder, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201)
        << "a delegation answers workers only";
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(leader));
}

TEST_F(ControllerTest, AWorkerIsAnsweredInTheNameOfALeaderThatIsThereAndMayNotActAnyMore) {
    // Another node ends in an outage, so that the leader lacks its pledge: connected as it was, it
    // refused what the others passed on, and they refused with it. All leases ran out, 5,050 tasks.
    start(3);
    const std::size_t led = leader(), other = (led + 1) % 3;
    state.down = true;
    world.run(2s);
    kill((led + 2) % 3);
    const auto beat = [](unsigned tick) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" +
               std::to_string(tick) + R"(,"baton":1,"recallS":null,"splits":[]})";
    };
    const auto bounds = lease_delegation::DelegationLimits::from(nodes[0]->settings);
    world.run(4s + bounds.leaderSilenceTimeout);
    EXPECT_EQ(ask(led, "GET", "/v1/jobs/run-9").response.status, 503) << "its right has ended";
    for (const std::size_t n : {other, led})
        EXPECT_EQ(ask(n, "POST", "/agent/beat", beat(static_cast<unsigned>(n) + 1)).response.status,
                  200)
            << n;
    world.run(bounds.maxDuration);
    EXPECT_NE(ask(other, "POST", "/agent/beat", beat(9)).response.status, 200) << "to its end";
}

TEST_F(ControllerTest, NodeThatPledgedDoesNotCampaignBeforeItsPledgeExpires) {
    start(1);
    kv_store::Client client(world.loop, nodes[0]->settings);
    Scope scope(world.loop);
    auto settings = nodes[0]->settings;
    settings.node = "rig-9";
    testing::FakeElectionPeers peers;
    LeaderElection other(world.loop, client, settings, "x", peers, peers);
    scope.spawn(other.run(scope));
    world.run(5s);
    EXPECT_TRUE(other.grantPledge(1, 3s));
    EXPECT_FALSE(other.grantPledge(1, 1h)) << "longer than a restarted node would wait";
    bool left = false;
    world.scope.spawn(stop(*nodes[0]->controller, left));  // the leader's key is free now
    world.until([&] { return left; });
    nodes.clear();
    world.run(2500ms);
    EXPECT_FALSE(peers.elected);
    world.run(1500ms);
    EXPECT_TRUE(peers.elected);
    world.end(scope);
}

TEST_F(ControllerTest, ANodeOnRecordAsAbsentIsNotNeededInAnOutage) {
    // One silent controller and an outage together once ended every lease: on a day of 25 s
    // without the state service all replicas were killed.
    start(2, 1);
    world.run(10s);
    ASSERT_TRUE(state.keys.contains("lead/absent"));
    EXPECT_EQ(state.keys.at("lead/absent").data, R"({"nodes":["gone-0"]})");
    state.down = true;
    for (int s = 0; s < 20; ++s) {
        world.run(1s);
        EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-9").response.status, 404) << s;
    }
    state.down = false;
    world.run(2s);
    EXPECT_EQ(token(), 1U) << "nobody had to take over";
}

TEST_F(ControllerTest, AFormerLeaderThatIsSilentIsNotNeededInAnOutageRightAfterTheElection) {
    // Its pledge was missing until it had been on record for being silent, 8 s later: an outage
    // before that ended the successor's right, and 1,862 tasks were killed by their lease on a day
    // on which the leader was cut off and everybody lost the state service 4 s later.
    start(3);
    const std::size_t former = leader();
    kill(former);
    world.until([&] { return leader() < nodes.size() && leader() != former; });
    const std::size_t successor = leader();
    ASSERT_LT(successor, nodes.size());
    EXPECT_EQ(state.keys.at("lead/absent").data,
              R"({"nodes":["rig-)" + std::to_string(former) + R"("]})");
    world.run(300ms);
    state.down = true;
    for (int s = 0; s < 20; ++s) {
        world.run(1s);
        EXPECT_EQ(ask(successor, "GET", "/v1/jobs/run-9").response.status, 404) << s;
    }
    state.down = false;
    launch(*nodes[former]);
    world.run(3s);
    EXPECT_EQ(token(), 2U) << "nobody had to take over";
    EXPECT_EQ(state.keys.at("lead/absent").data, R"({"nodes":[]})") << "it is back";
}

TEST_F(ControllerTest, ANodeThatIsCutOffFromAllButItsUsersSaysThatItCannotServe) {
    // It called itself healthy for as long as that lasted: whoever kept a connection to it was
    // refused all the time, and their jobs counted as forgotten.
    start(3);
    state.down = true;
    world.run(8s);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_EQ(ask(i, "GET", "/up").response.status, 200) << "all are alike in an outage";
    for (std::size_t i = 1; i < 3; ++i) kill(i);
    world.run(8s);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 503);
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-9").response.status, 503);
    state.down = false;
    world.run(6s);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 200) << "it leads now";
}

TEST_F(ControllerTest, ANodeOnRecordAsAbsentDoesNotCampaign) {
    // A leader may act by the pledges of the others alone.
    state.keys["lead/absent"] = {R"({"nodes":["rig-0"]})", 1, 0};
    start(1);
    world.run(10s);
    EXPECT_FALSE(state.keys.contains("lead/holder"));
    state.keys["lead/absent"].data = R"({"nodes":["rig-1"]})";
    world.run(2s);
    EXPECT_TRUE(state.keys.contains("lead/holder"));
}

TEST_F(ControllerTest, MostNodesAreNeverOnRecordAsAbsent) {
    // Then the silent one is the leader, and those who could follow it must be free to.
    start(1, 3);
    world.run(15s);
    ASSERT_TRUE(state.keys.contains("lead/holder"));
    EXPECT_FALSE(state.keys.contains("lead/absent"));
}

TEST_F(ControllerTest, ProcessesThatEndEachSecondStillElectALeaderThoughOneNodeNeverSpeaks) {
    // Each fresh process waited for 3 s, since it remembers no pledge, or for the word of every
    // other node: with one node silent nobody led as long as the others ended more often than that.
    start(2, 1);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    FencingToken before = token();
    for (int s = 0; s < 6; ++s) {
        for (std::size_t i = 0; i < 2; ++i) kill(i);
        world.run(200ms);
        for (auto& n : nodes) launch(*n);
        world.run(800ms);
        EXPECT_GT(token(), before) << s;
        before = token();
        EXPECT_EQ(ask(s % 2, "GET", "/v1/jobs/run-1").response.status, 200) << s;
    }
}

TEST_F(ControllerTest, AFreshProcessWaitsForALeaderThatItMayHavePledgedTo) {
    // The one who was elected last may act by the pledge of this node's former process still.
    state.keys["lead/token"] = {R"({"token":4,"node":"gone-0"})", 1, 0};
    start(1, 1);
    EXPECT_GT(token(), 4U);
    kill(0);
    state.keys.erase("lead/holder");
    state.keys["lead/token"] = {R"({"token":9,"node":"gone-0"})", 2, 0};
    launch(*nodes[0]);
    world.run(2900ms);
    EXPECT_EQ(token(), 9U);
    world.run(300ms);
    EXPECT_EQ(token(), 10U);
    // A counter of an older version does not say who it was: then it may have been anybody.
    kill(0);
    state.keys.erase("lead/holder");
    state.keys["lead/token"] = {R"({"token":20})", 3, 0};
    launch(*nodes[0]);
    world.run(2900ms);
    EXPECT_EQ(token(), 20U);
    world.run(300ms);
    EXPECT_EQ(token(), 21U);
}

TEST_F(ControllerTest, ASuccessorOfOnesOwnLeadsByATokenOfItsOwnAtOnce) {
    start(1, 2);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    kill(0);
    ASSERT_TRUE(state.keys.contains("lead/holder")) << "its grant lives on";
    launch(*nodes[0]);
    world.run(100ms);
    EXPECT_EQ(token(), 2U) << "not after the grant's end, and not under the former key";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 200);
}

TEST_F(ControllerTest, ASuccessorRentsUnderNamesOfItsOwnAndIsHealthyFromItsStart) {
    // A rental of the former process that arrives late must not be answered by this one's name.
    start(1);
    ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    world.run(5s);
    const std::set<std::string> before(cloud.bookings.begin(), cloud.bookings.end());
    ASSERT_FALSE(before.empty());
    kill(0);
    cloud.bookings.clear();
    launch(*nodes[0]);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 200) << "the load balancer notices nothing";
    world.run(20s);  // it first learns which machines there are
    ASSERT_FALSE(cloud.bookings.empty());
    for (const auto& name : cloud.bookings) EXPECT_FALSE(before.contains(name)) << name;
}

TEST_F(ControllerTest, WhatAFormerProcessWroteArrivesTooLateOnceItsSuccessorLeads) {
    start(1);
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("jobs/run-1") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::late, 2s};
    };
    bool done = false;
    http::RequestOutcome lost;
    users.spawn(
        send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission("run-1")}, lost, done));
    world.run(100ms);
    kill(0);
    launch(*nodes[0]);
    world.run(5s);
    EXPECT_TRUE(done);
    EXPECT_NE(lost.response.status, 201);
    EXPECT_FALSE(state.keys.contains("jobs/run-1")) << "guarded by the former process's own key";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 404);
    state.fault = nullptr;
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
}

TEST_F(ControllerTest, ALateCampaignOfAFormerProcessLeadsNobody) {
    start(1);
    kill(0);
    state.keys.erase("lead/holder");
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("lead/holder") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::late, 800ms};
    };
    launch(*nodes[0]);
    world.run(100ms);
    kill(0);  // its campaign is on the way, under a grant that still lives
    state.fault = nullptr;
    launch(*nodes[0]);
    world.run(3s);
    EXPECT_EQ(leader(), 0U);
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-9").response.status, 404);
    EXPECT_GE(token(), 2U);
}

TEST_F(ControllerTest, AnElectionStandsThoughItsAnswerIsLostWhileOthersReadIt) {
    start(3);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    const FencingToken before = token();
    int campaigns = 0;
    state.fault = [&](const http::Request& r) -> testing::StateService::Fault {
        // The first one's answer is lost, by its own way as over a peer.
        if (r.body.find("lead/holder") == std::string::npos ||
            r.body.find("lead/token") == std::string::npos || ++campaigns > 1)
            return {};
        return {testing::StateService::Fault::Kind::mute, {}};
    };
    kill(leader());
    const TimePoint ended = world.clock.now();
    world.until([&] { return token() > before; });
    const std::size_t next = leader();
    ASSERT_LT(next, 3U);
    world.until([&] { return status(next, "run-1") == "pending"; });
    EXPECT_LT(world.clock.now() - ended, 4s);
    world.run(3s);
    EXPECT_EQ(token(), before + 1) << "it stands: there is no second one";
    EXPECT_EQ(leader(), next);
    state.fault = nullptr;
}

TEST_F(ControllerTest, AnEndInAnyPhaseOfATakeOverCostsThatTakeOverOnly) {
    // Before the grant, between grant and key, between key and records, while they load, before the
    // first acceptance and just after: every request takes its time, and the process ends in steps
    // of less than that.
    start(1, 1);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.target.starts_with("/watch")) return {};
        return {testing::StateService::Fault::Kind::slow, 20ms};
    };
    std::set<FencingToken> elected{token()};
    std::size_t interrupted = 0;
    for (int step = 0; step < 40; ++step) {
        kill(0);
        launch(*nodes[0]);
        world.run(step * 8ms);
        bool done = false;
        http::RequestOutcome maybe;
        const std::string id = "run-" + std::to_string(10 + step);
        users.spawn(
            send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission(id)}, maybe, done));
        world.run(5ms);
        kill(0);
        world.until([&] { return done; });
        if (!elected.insert(token()).second) ++interrupted;
        launch(*nodes[0]);
        world.run(1500ms);
        EXPECT_EQ(leader(), 0U) << step;
        EXPECT_TRUE(elected.insert(token()).second) << "a token of its own, step " << step;
        EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 200) << step;
        // Nobody was told that this one is accepted, unless it is.
        const int now = ask(0, "GET", "/v1/jobs/" + id).response.status;
        EXPECT_TRUE(maybe.response.status != 201 || now == 200) << step;
        EXPECT_EQ(now == 200, state.keys.contains("jobs/" + id)) << step;
    }
    EXPECT_GT(interrupted, 5U) << "ended before the key stood";
    EXPECT_LT(interrupted, 35U) << "and after";
}

TEST_F(ControllerTest, AHolderHandsItsDelegationOnToANodeOfItsZoneThatWasStartedAgain) {
    // A node that has just started holds no delegation: nodes of a cut zone that were started again
    // one after the other left it without any.
    start(3);
    const auto beat = [](unsigned tick) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" +
               std::to_string(tick) + R"(,"baton":1,"recallS":null,"splits":[]})";
    };
    const std::size_t led = leader();
    ASSERT_LT(led, 3U);
    const std::size_t first = (led + 1) % 3, second = (led + 2) % 3;
    const auto terms = lease_delegation::DelegationLimits::from(nodes[0]->settings);
    state.down = true;  // so that nobody takes over
    kill(led);
    unsigned tick = 0;
    kill(first);
    launch(*nodes[first]);
    world.run(terms.leaderSilenceTimeout + 300ms);
    EXPECT_EQ(ask(second, "POST", "/agent/beat", beat(++tick)).response.status, 200);
    world.run(1s);
    EXPECT_EQ(ask(first, "POST", "/agent/beat", beat(++tick)).response.status, 200);
    kill(second);
    launch(*nodes[second]);
    world.run(terms.leaderSilenceTimeout + 1s);
    EXPECT_EQ(ask(second, "POST", "/agent/beat", beat(++tick)).response.status, 200);
    EXPECT_EQ(ask(first, "POST", "/agent/beat", beat(++tick)).response.status, 200);
    EXPECT_NE(ask(first, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    world.run(terms.maxDuration - terms.leaderSilenceTimeout * 2 - 2s);
    for (const auto n : {first, second})
        EXPECT_NE(ask(n, "POST", "/agent/beat", beat(++tick)).response.status, 200) << n;
}

TEST_F(ControllerTest, TheRightToActEndsBeforeTheGrantCan) {
    start(1, 1);  // the other node cannot pledge
    const Duration life = LeaderElection::leaseTtlFor(nodes[0]->settings);
    state.down = true;
    const TimePoint from = world.clock.now();
    bool acted = true;
    while (world.clock.now() - from < life + 1s) {
        world.run(50ms);
        acted = ask(0, "GET", "/v1/jobs/run-9").response.status == 404;
        if (!acted) break;
    }
    EXPECT_FALSE(acted);
    EXPECT_LT(world.clock.now() - from, life);
}

TEST_F(ControllerTest, WhatWaitedForAnEarlierLeadershipOfTheSameProcessIsRefused) {
    // It leads again within a moment, and has the right to act again: what waited knows less.
    start(1);
    bool hold = true;
    state.fault = [&](const http::Request& r) -> testing::StateService::Fault {
        if (!hold || r.body.find("jobs/run-1") == std::string::npos) return {};
        hold = false;
        return {testing::StateService::Fault::Kind::late, 1200ms};
    };
    http::RequestOutcome waited;
    bool done = false;
    users.spawn(
        send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission("run-1")}, waited, done));
    world.run(100ms);
    state.endGrantOf("lead/holder");
    world.until([&] { return done; });
    EXPECT_EQ(waited.response.status, 503);
    world.until([&] { return token() == 2U && state.keys.contains("lead/holder"); });
    world.run(2s);
    EXPECT_FALSE(state.keys.contains("jobs/run-1")) << "the write came late, and was fenced";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 404);
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    state.fault = nullptr;  // it looks at what ends here
}

TEST_F(ControllerTest, ALateRecordOfAbsentNodesIsMendedByWhoeverLeads) {
    // Written without an answer, and carried out seconds later: the node that it names is back.
    start(3);
    const std::size_t away = (leader() + 1) % 3;
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("lead/absent") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::late, 4s};
    };
    kill(away);
    world.run(4s);
    launch(*nodes[away]);
    state.fault = nullptr;
    world.run(8s);
    const auto listed = state.keys.find("lead/absent");
    EXPECT_TRUE(listed == state.keys.end() || listed->second.data == R"({"nodes":[]})")
        << listed->second.data;
    EXPECT_EQ(token(), 1U);
}

TEST_F(ControllerTest, AFormerLeadersWriteIsRefused) {
    start(1);
    auto settings = nodes[0]->settings;
    kv_store::Client client(world.loop, settings);
    Scope scope(world.loop);
    testing::FakeRecordOwner owner;
    kv_store::TransactionWriter writer(world.loop, client, 20,
                                       kv_store::Precondition{"lead/holder", 1}, owner, owner);
    scope.spawn(writer.run(scope));
    writer.markDirty("jobs/run-1", kv_store::WritePriority::userRequest);
    world.until([&] { return owner.fenced || owner.committed; });
    EXPECT_TRUE(owner.fenced);
    EXPECT_FALSE(state.keys.contains("jobs/run-1"));
    world.end(scope);
}

TEST_F(ControllerTest, TheStatusOfFourThousandMachinesHasNoLineOver64KiB) {
    start(1);
    ASSERT_EQ(leader(), 0U);
    constexpr int count = 4000;
    for (int i = 0; i < count; ++i) {
        const std::string n = std::to_string(100'000 + i);
        const auto o = ask(0, "POST", "/agent/beat",
                           R"({"host":"n-)" + n + R"(","addr":"127.0.0.1:1","rigKind":"box",)" +
                               R"("hall":"a","loaners":false,"stint":1,"tick":1,"baton":0,)" +
                               R"("recallS":null,"splits":[]})");
        ASSERT_EQ(o.response.status, 200) << o.response.body;
    }
    const std::string body = ask(0, "GET", "/status").response.body;
    const auto doc = json::parse(body);
    ASSERT_TRUE(doc);
    EXPECT_EQ(json::array(*doc, "machines")->Size(), static_cast<unsigned>(count));
    std::size_t longest = 0;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) longest = std::max(longest, line.size());
    EXPECT_LE(longest, 64U * 1024);
}

}  // namespace
}  // namespace basaltchute::controller
