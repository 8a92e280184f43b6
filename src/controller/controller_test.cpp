#include "controller/controller.h"

#include <gtest/gtest.h>

#include <sstream>

#include "kv_store/fake_record_owner.h"
#include "leader_election/fake_election_peers.h"
#include "testing/world.h"

// Whole controllers on a fake clock. The state service and the cloud are fakes that speak the real
// protocols; the tests act as users and agents.

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

    /// Starts `count` nodes and lets them elect a leader. `absent` more nodes are in their settings
    /// but do not exist.
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
                                                    "process-" + std::to_string(++processCount));
        n.controller->start();
    }
    int processCount = 0;
    /// Ends a node as if its process were killed: its lease is not revoked.
    void kill(std::size_t node) {
        bool ended = false;
        const bool wasDown = std::exchange(state.down, true);
        world.scope.spawn([](Controller& c, bool& flag) -> Task<void> {
            co_await c.abandon();
            flag = true;
        }(*nodes[node]->controller, ended));
        world.until([&] { return ended; });
        nodes[node]->controller.reset();
        state.down = wasDown;
    }
    /// The node that the stored leader key names; nodes.size() if there is none.
    std::size_t leader() {
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (const auto held = state.keys.find("lead/holder");
                held != state.keys.end() &&
                held->second.data.find(nodes[i]->settings.node) != std::string::npos)
                return i;
        return nodes.size();
    }
    /// The last fencing token that the last election reserved, by the stored counter.
    std::uint64_t token() {
        const auto doc = json::parse(state.keys.at("lead/token").data);
        return json::count(*doc, "token").value_or(json::count(*doc, "last").value_or(0));
    }
    /// The job's status as that node reports it, or the HTTP status if there is none.
    std::string status(std::size_t node, const std::string& id) {
        const auto o = ask(node, "GET", "/v1/jobs/" + id);
        const auto doc = o.answered ? json::parse(o.response.body) : std::nullopt;
        return doc ? json::string(*doc, "status").value_or(std::to_string(o.response.status)) : "";
    }
    /// Submits a job through that node; `dependencies` as JSON. Returns the HTTP status.
    int submit(std::size_t node, const std::string& id, const std::string& dependencies) {
        return ask(node, "POST", "/v1/jobs",
                   testing::submission(id, ",\"waitsOn\":" + dependencies))
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
    /// A heartbeat of an agent without tasks that has seen the fencing token.
    static std::string heartbeat(unsigned sequence, unsigned token = 1) {
        return R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,)"
               R"("stint":1,"tick":)" +
               std::to_string(sequence) + R"(,"baton":)" + std::to_string(token) +
               R"(,"recallS":null,"splits":[]})";
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

TEST_F(ControllerTest, FollowersDoNotPollAfterManyUnrelatedWrites) {
    // Once the state service no longer kept the revision of the leader key, every follower polled
    // it without a pause, and the leader's own writes were refused.
    start(3);
    state.advanceRevisionAndCompact(20'000);
    world.run(12s);  // until the watches that are open now have ended
    const int before = state.watches;
    world.run(20s);
    EXPECT_LE(state.watches - before, 6) << "two followers, one watch every ten seconds";
}

TEST_F(ControllerTest, AnyNodeAcceptsAJobOnceAndDurablyBeforeItResponds) {
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
    const auto cancelled = ask(2, "POST", "/v1/jobs/run-1/withdraw");
    EXPECT_EQ(cancelled.response.status, 200);
    EXPECT_NE(cancelled.response.body.find("cancelled"), std::string::npos);
    EXPECT_NE(state.keys["jobs/run-1"].data.find("cancelled"), std::string::npos);
}

TEST_F(ControllerTest, AnyNodeRejectsInvalidSubmissionsWithAReason) {
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
                const std::string answer = submit(node, body);
                EXPECT_EQ(answer.substr(0, 3), "400") << body;
                const bool named = answer.find(field) != std::string::npos ||
                                   answer.find("not JSON") != std::string::npos;
                EXPECT_TRUE(named) << answer;
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
            const std::string answer = submit(node, changed(field, value));
            EXPECT_EQ(answer.substr(0, 3), "422") << field << ' ' << value;
            EXPECT_NE(answer.find("error"), std::string::npos);
        }
    // A known job stays accepted, whatever a submission of it says now.
    EXPECT_EQ(submit(1, changed("crew", R"("nobody")", "run-1")).substr(0, 3), "200");
    EXPECT_EQ(status(2, "run-2"), "404") << "none of them was accepted";
}

TEST_F(ControllerTest, SubmissionsWithAnUnpairedSurrogateAreRefusedAndDelayNoOtherJob) {
    // Guards against submissions that the state service refuses for good: with three of them no
    // other user's job was started or reported as done any more.
    start(3);
    for (const char* field : {"build", "category", "crew", "hall"}) {
        std::string body = testing::submission(std::string("run-9-") + field);
        if (const auto at = body.find('"' + std::string(field) + "\":\""); at != std::string::npos)
            body.insert(at + std::string(field).size() + 4, R"(\udc00)");
        else
            body.insert(1, '"' + std::string(field) + R"(":"\udc00",)");
        for (std::size_t node = 0; node < 3; ++node)
            EXPECT_EQ(ask(node, "POST", "/v1/jobs", body).response.status, 400) << body;
        EXPECT_EQ(status(0, std::string("run-9-") + field), "404");
    }
    const TimePoint submittedAt = world.clock.now();
    EXPECT_EQ(ask(1, "POST", "/v1/jobs", testing::submission("run-2")).response.status, 201);
    EXPECT_LT(world.clock.now() - submittedAt, 200ms);
    EXPECT_EQ(json::count(*json::parse(state.keys.at("lead/token").data), "format"), std::nullopt)
        << "no record was divided, so the stored format is as it was";
}

TEST_F(ControllerTest, StoredTextWithAnUnpairedSurrogateMakesOnlyItsJobUnreadable) {
    // Guards against one stored value that keeps every node from loading the records. A state
    // service that took such a text from an earlier version may return it as an escape.
    std::string description = testing::submission("run-9");
    description.insert(description.find("img"), R"(\udc00)");
    state.keys["jobs/run-9"] = {R"({"spec":)" + description + R"(,"at":0,"per":614})", 1, 0};
    start(2);
    EXPECT_EQ(ask(1, "POST", "/v1/jobs", testing::submission("run-2")).response.status, 201);
    EXPECT_EQ(status(0, "run-9"), "503") << "it exists, but nothing more is known of it";
}

TEST_F(ControllerTest, RecordsThatTheStateServiceRefusesForGoodDelayNoOtherJob) {
    // Guards against refused records that are written again without a pause: no other job was
    // started or reported as done until the leader changed.
    start(3);
    std::string refused = "run-9";
    state.fault = [&](const http::Request& r) -> simulator::StateService::Fault {
        const bool matches = r.target == "/multi" && r.body.find(refused) != std::string::npos;
        return {matches ? simulator::StateService::Fault::Kind::malformed
                        : simulator::StateService::Fault::Kind::none,
                {}};
    };
    unsigned sequence = 0;
    const std::size_t leading = leader();
    const auto commands = [&] {
        return ask(leading, "POST", "/agent/beat", heartbeat(++sequence, token())).response.body;
    };
    commands();
    for (int round = 0; round < 3; ++round) {
        for (const char* id : {"run-91", "run-92", "run-93"})
            EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission(id)).response.status, 503);
        world.run(1s);
    }
    EXPECT_EQ(status(0, "run-91"), "404") << "it was not accepted, and is forgotten";
    commands();
    TimePoint submittedAt = world.clock.now();
    EXPECT_EQ(ask(1, "POST", "/v1/jobs", testing::submission("run-2")).response.status, 201);
    EXPECT_LT(world.clock.now() - submittedAt, 500ms);
    EXPECT_NE(commands().find(R"("launch","split":"run-2/0")"), std::string::npos)
        << "the dropped jobs hold no machine";
    // The records of an accepted job are refused from now on: it alone has to wait.
    refused = "run-2";
    EXPECT_EQ(ask(1, "POST", "/v1/jobs/run-2/withdraw").response.status, 503);
    submittedAt = world.clock.now();
    EXPECT_EQ(ask(1, "POST", "/v1/jobs", testing::submission("run-3")).response.status, 201);
    EXPECT_LT(world.clock.now() - submittedAt, 500ms);
    refused = "none of them";
    world.run(10s);
    EXPECT_EQ(status(1, "run-2"), "cancelled") << "retried, and stored at last";
    state.fault = {};  // it refers to variables of this test
}

TEST_F(ControllerTest, DependentJobsAreAcceptedThroughAnyNodeAndCancelledTogether) {
    start(3);
    EXPECT_EQ(submit(0, "run-1", "null"), 201);
    EXPECT_EQ(submit(1, "run-2", R"(["run-1","run-1"])"), 201);
    EXPECT_EQ(submit(2, "run-3", R"(["run-2"])"), 201);
    EXPECT_EQ(submit(0, "run-4", R"(["run-3","run-1"])"), 201);
    EXPECT_EQ(submit(1, "run-4", R"(["run-3","run-1"])"), 200) << "submitted again";
    EXPECT_EQ(submit(1, "run-4", R"(["run-77"])"), 200) << "known, whatever the submission says";
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
    // A job that depends on a cancelled one is accepted but cancelled at once: it is never reported
    // as pending, since the user was told of that cancellation long before.
    const auto late =
        ask(1, "POST", "/v1/jobs", testing::submission("run-7", R"(,"waitsOn":["run-4"])"));
    EXPECT_EQ(late.response.status, 201);
    EXPECT_NE(late.response.body.find("cancelled"), std::string::npos);
    kill(leader());
    world.run(5s);
    const std::size_t next = leader();
    ASSERT_LT(next, 3U);
    EXPECT_EQ(status(next, "run-7"), "cancelled") << "every leader derives the same";
}

TEST_F(ControllerTest, DependentJobsAreRefusedWhileANodeCannotReadTheirFormat) {
    start(3);
    EXPECT_EQ(state.keys.at("lead/token").data.find("format"), std::string::npos);
    const std::size_t first = leader();
    const std::size_t olderNode = (first + 1) % 3, other = (first + 2) % 3;
    kill(olderNode);
    // As a version without job dependencies.
    nodes[olderNode]->operatorSettings.maxStoredFormat = 1;
    launch(*nodes[olderNode]);
    world.run(2s);
    ASSERT_EQ(leader(), first);
    EXPECT_EQ(submit(other, "run-1", "null"), 201);
    const auto refusal =
        ask(other, "POST", "/v1/jobs", testing::submission("run-2", R"(,"waitsOn":["run-1"])"));
    EXPECT_EQ(refusal.response.status, 503);
    EXPECT_GE(refusal.response.retryAfterS, 1);
    EXPECT_EQ(submit(other, "run-2", R"(["run-9"])"), 422) << "invalid at any format";
    // A node that is down holds back the new format for a few seconds only.
    kill(olderNode);
    world.run(1s);
    EXPECT_EQ(submit(other, "run-2", R"(["run-1"])"), 503);
    world.run(9s);
    EXPECT_EQ(submit(other, "run-2", R"(["run-1"])"), 201);
    // From now on the older version finds the token counter malformed, so that it only follows.
    const auto counter = json::parse(state.keys.at("lead/token").data);
    EXPECT_FALSE(json::count(*counter, "token"));
    EXPECT_EQ(json::count(*counter, "format"), 2U);
    launch(*nodes[olderNode]);
    world.run(2s);
    EXPECT_EQ(submit(olderNode, "run-3", R"(["run-2"])"), 201)
        << "a raised format is never lowered";
    const auto before = token();
    kill(first);
    world.run(6s);
    EXPECT_NE(leader(), first);
    EXPECT_GT(token(), before) << "the counter continues in its new field";
}

TEST_F(ControllerTest, NodeDoesNotLeadIfItCannotReadTheStoredFormat) {
    start(1);
    kill(0);
    state.keys.erase("lead/holder");
    state.keys["lead/token"].data = R"({"last":5,"node":"rig-0","format":3})";
    launch(*nodes[0]);
    world.run(8s);
    EXPECT_EQ(leader(), 1U) << "no leader";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 503);
    state.keys["lead/token"].data = R"({"last":5,"node":"rig-0","format":2})";
    world.run(8s);
    EXPECT_EQ(leader(), 0U);
    EXPECT_EQ(token(), lastTokenOfTerm(6));
}

TEST_F(ControllerTest, SubmissionDuringAStateServiceOutageIsRefusedAtOnceAndAcceptedAfterwards) {
    start(1);
    state.down = true;
    const TimePoint requestedAt = world.clock.now();
    const auto refusal = ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    EXPECT_EQ(refusal.response.status, 503);
    EXPECT_GT(refusal.response.retryAfterS, 0);
    EXPECT_LT(world.clock.now() - requestedAt, 1s) << "not delayed";
    EXPECT_NE(ask(0, "GET", "/v1/jobs/run-1").response.status, 200);
    world.run(10s);
    state.down = false;
    world.run(6s);
    const auto taken = ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    EXPECT_TRUE(taken.response.status == 201 || taken.response.status == 200);
    EXPECT_TRUE(state.keys.contains("jobs/run-1"));
}

TEST_F(ControllerTest, SuccessorLeadsWithAHigherTokenAndKnowsTheJobs) {
    start(2);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    const std::string before = state.keys.at("lead/holder").data;
    state.expireLeaseOf("lead/holder");  // as if the leader had not renewed its lease in time
    world.run(6s);
    ASSERT_TRUE(state.keys.contains("lead/holder"));
    EXPECT_NE(state.keys.at("lead/holder").data, before);
    EXPECT_EQ(token(), 2 * tokensPerTerm);
    for (std::size_t i = 0; i < 2; ++i)
        EXPECT_EQ(ask(i, "GET", "/v1/jobs/run-1").response.status, 200);
}

TEST_F(ControllerTest, HeartbeatsReachTheLeaderThroughAnyNodeAndAHigherTokenEndsItsTerm) {
    start(2);
    for (std::size_t i = 0; i < 2; ++i) {
        const auto o = ask(i, "POST", "/agent/beat", heartbeat(static_cast<unsigned>(i) + 1, 0));
        EXPECT_EQ(o.response.status, 200);
        EXPECT_NE(o.response.body.find(R"("baton":1)"), std::string::npos);
    }
    const auto o = ask(0, "POST", "/agent/beat", heartbeat(9, tokensPerTerm + 1));
    EXPECT_NE(o.response.status, 200) << "the agent would ignore it and lose its lease";
}

TEST_F(ControllerTest, LeaderKeepsActingDuringAnOutageIfAllNodesPledge) {
    // An outage of 19 s once outlasted the agents' leases of 16 s, and every replica was killed.
    start(3);
    state.down = true;
    for (unsigned s = 1; s <= 25; ++s) {
        world.run(1s);
        EXPECT_EQ(ask(s % 3, "POST", "/agent/beat", heartbeat(s)).response.status, 200)
            << s << " s";
    }
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 503);
    state.down = false;
    world.run(2s);
    EXPECT_EQ(token(), tokensPerTerm) << "there was no other election";
    EXPECT_NE(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 503);
}

TEST_F(ControllerTest, DelegateAnswersHeartbeatsForASilentLeaderUntilTheDelegationEnds) {
    // A zone that was cut off for longer than a lease lost all its tasks: no node there could
    // answer heartbeats.
    start(2);
    ASSERT_EQ(ask(0, "POST", "/agent/beat", heartbeat(1, 0)).response.status, 200);
    const bool firstLeads = state.keys.at("lead/holder").data.find("rig-0") != std::string::npos;
    const std::size_t leader = firstLeads ? 0 : 1, delegate = firstLeads ? 1 : 0;
    const auto limits = lease_delegation::DelegationLimits::from(nodes[delegate]->settings);
    state.down = true;  // so that no other node is elected
    bool stopped = false;
    world.scope.spawn(stop(*nodes[leader]->controller, stopped));
    world.until([&] { return stopped; });
    unsigned sequence = 1;
    EXPECT_NE(ask(delegate, "POST", "/agent/beat", heartbeat(++sequence, 1)).response.status, 200);
    world.run(limits.leaderSilenceTimeout + 500ms);
    const auto outcome = ask(delegate, "POST", "/agent/beat", heartbeat(++sequence, 1));
    EXPECT_EQ(outcome.response.status, 200);
    EXPECT_EQ(outcome.response.body, R"({"baton":1,"orders":[]})");
    EXPECT_NE(ask(delegate, "POST", "/agent/beat", heartbeat(++sequence, tokensPerTerm + 1))
                  .response.status,
              200)
        << "that agent would ignore it";
    world.run(limits.maxDuration - limits.leaderSilenceTimeout - 3s);
    EXPECT_EQ(ask(delegate, "POST", "/agent/beat", heartbeat(++sequence, 1)).response.status, 200);
    world.run(4s);
    EXPECT_NE(ask(delegate, "POST", "/agent/beat", heartbeat(++sequence, 1)).response.status, 200);
    EXPECT_NE(ask(delegate, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201)
        << "a delegation allows answers to agents only";
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(leader));
}

TEST_F(ControllerTest, DelegateAnswersHeartbeatsForAConnectedLeaderWhoseLeaseHasEnded) {
    // A node crashes during an outage, so that the leader lacks its pledge and its lease ends. The
    // leader was still connected but refused forwarded heartbeats, and the other nodes passed these
    // refusals on instead of answering as delegates: the leases of 5,050 tasks ran out.
    start(3);
    const std::size_t leaderNode = leader(), other = (leaderNode + 1) % 3;
    state.down = true;
    world.run(2s);
    kill((leaderNode + 2) % 3);
    const auto limits = lease_delegation::DelegationLimits::from(nodes[0]->settings);
    world.run(4s + limits.leaderSilenceTimeout);
    EXPECT_EQ(ask(leaderNode, "GET", "/v1/jobs/run-9").response.status, 503)
        << "its lease has ended";
    for (const std::size_t n : {other, leaderNode})
        EXPECT_EQ(
            ask(n, "POST", "/agent/beat", heartbeat(static_cast<unsigned>(n) + 1)).response.status,
            200)
            << n;
    world.run(limits.maxDuration);
    EXPECT_NE(ask(other, "POST", "/agent/beat", heartbeat(9)).response.status, 200)
        << "the delegation has ended";
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
    bool stopped = false;
    world.scope.spawn(stop(*nodes[0]->controller, stopped));  // it gives up the leader key
    world.until([&] { return stopped; });
    nodes.clear();
    world.run(2500ms);
    EXPECT_FALSE(peers.elected);
    world.run(1500ms);
    EXPECT_TRUE(peers.elected);
    world.end(scope);
}

TEST_F(ControllerTest, PledgeOfANodeRecordedAsAbsentIsNotNeededInAnOutage) {
    // A silent controller together with an outage of the state service once ended every lease: in
    // an outage of 25 s all replicas were killed.
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
    EXPECT_EQ(token(), tokensPerTerm) << "there was no other election";
}

TEST_F(ControllerTest, PledgeOfASilentFormerLeaderIsNotNeededRightAfterTheElection) {
    // The former leader's pledge used to be needed until it was recorded as absent, 8 s after it
    // fell silent. When a leader was cut off and all nodes lost the state service 4 s later, the
    // successor's lease ended in the outage, and 1,862 tasks were killed as their leases ran out.
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
    EXPECT_EQ(token(), 2 * tokensPerTerm) << "there was no other election";
    EXPECT_EQ(state.keys.at("lead/absent").data, R"({"nodes":[]})") << "it is present again";
}

TEST_F(ControllerTest, IsolatedNodeReportsThatItIsUnhealthy) {
    // A node that is cut off from everything but its users used to report that it was healthy.
    // Users who kept their connection to it were refused all the time, and their jobs were lost.
    start(3);
    state.down = true;
    world.run(8s);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_EQ(ask(i, "GET", "/up").response.status, 200) << "no node is better in an outage";
    for (std::size_t i = 1; i < 3; ++i) kill(i);
    world.run(8s);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 503);
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-9").response.status, 503);
    state.down = false;
    world.run(6s);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 200) << "it leads now";
}

TEST_F(ControllerTest, NodeRecordedAsAbsentDoesNotCampaign) {
    // While a node is recorded as absent, a leader may act without its pledge.
    state.keys["lead/absent"] = {R"({"nodes":["rig-0"]})", 1, 0};
    start(1);
    world.run(10s);
    EXPECT_FALSE(state.keys.contains("lead/holder"));
    state.keys["lead/absent"].data = R"({"nodes":["rig-1"]})";
    world.run(2s);
    EXPECT_TRUE(state.keys.contains("lead/holder"));
}

TEST_F(ControllerTest, MajorityOfNodesIsNeverRecordedAsAbsent) {
    // If most nodes are silent, it is probably this leader that is cut off, and the others must be
    // free to elect another one.
    start(1, 3);
    world.run(15s);
    ASSERT_TRUE(state.keys.contains("lead/holder"));
    EXPECT_FALSE(state.keys.contains("lead/absent"));
}

TEST_F(ControllerTest, NodesThatRestartEverySecondElectALeaderWhileAnotherNodeIsSilent) {
    // A new process used to wait for 3 s, since it does not remember its pledges, or until every
    // other node had said that it does not lead. With one node silent there was no leader as long
    // as the others restarted more often than that.
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

TEST_F(ControllerTest, RestartedNodeWaitsForALeaderThatItMayHavePledgedTo) {
    // The leader that was elected last may still act by a pledge of this node's former process.
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
    EXPECT_EQ(token(), lastTokenOfTerm(10));
    // A counter written by an older version does not name that leader: it may be any node.
    kill(0);
    state.keys.erase("lead/holder");
    state.keys["lead/token"] = {R"({"token":20})", 3, 0};
    launch(*nodes[0]);
    world.run(2900ms);
    EXPECT_EQ(token(), 20U);
    world.run(300ms);
    EXPECT_EQ(token(), lastTokenOfTerm(21));
}

TEST_F(ControllerTest, RestartedLeaderLeadsAgainAtOnceWithANewToken) {
    start(1, 2);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    kill(0);
    ASSERT_TRUE(state.keys.contains("lead/holder")) << "its lease is still valid";
    launch(*nodes[0]);
    world.run(100ms);
    EXPECT_EQ(token(), 2 * tokensPerTerm) << "at once, and with a leader key of its own";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 200);
}

TEST_F(ControllerTest, RestartedLeaderUsesNewBookingNamesAndIsHealthyAtOnce) {
    // A request of the former process to rent machines may arrive late: it must not be taken for
    // one of the new process.
    start(1);
    ask(0, "POST", "/v1/jobs", testing::submission("run-1"));
    world.run(5s);
    const std::set<std::string> before(cloud.rentRequestIds.begin(), cloud.rentRequestIds.end());
    ASSERT_FALSE(before.empty());
    kill(0);
    cloud.rentRequestIds.clear();
    launch(*nodes[0]);
    EXPECT_EQ(ask(0, "GET", "/up").response.status, 200) << "the load balancer does not notice";
    world.run(20s);  // the new process first lists the machines
    ASSERT_FALSE(cloud.rentRequestIds.empty());
    for (const auto& name : cloud.rentRequestIds) EXPECT_FALSE(before.contains(name)) << name;
}

TEST_F(ControllerTest, LateWriteOfAFormerProcessIsFencedOnceItsSuccessorLeads) {
    start(1);
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("jobs/run-1") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::executedLate, 2s};
    };
    bool done = false;
    http::RequestOutcome outcome;
    users.spawn(
        send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission("run-1")}, outcome, done));
    world.run(100ms);
    kill(0);
    launch(*nodes[0]);
    world.run(5s);
    EXPECT_TRUE(done);
    EXPECT_NE(outcome.response.status, 201);
    EXPECT_FALSE(state.keys.contains("jobs/run-1"))
        << "its precondition is the former process's leader key";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 404);
    state.fault = nullptr;
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
}

TEST_F(ControllerTest, LateCampaignOfAFormerProcessHasNoEffect) {
    start(1);
    kill(0);
    state.keys.erase("lead/holder");
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("lead/holder") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::executedLate, 800ms};
    };
    launch(*nodes[0]);
    world.run(100ms);
    kill(0);  // its campaign is in flight, with a lease that is still valid
    state.fault = nullptr;
    launch(*nodes[0]);
    world.run(3s);
    EXPECT_EQ(leader(), 0U);
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-9").response.status, 404);
    EXPECT_GE(token(), 2 * tokensPerTerm);
}

TEST_F(ControllerTest, ElectionWhoseResponseIsLostStillCounts) {
    start(3);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    const FencingToken before = token();
    int campaigns = 0;
    state.fault = [&](const http::Request& r) -> testing::StateService::Fault {
        // The response to the first campaign is lost, directly and through a peer alike.
        if (r.body.find("lead/holder") == std::string::npos ||
            r.body.find("lead/token") == std::string::npos || ++campaigns > 1)
            return {};
        return {testing::StateService::Fault::Kind::responseLost, {}};
    };
    kill(leader());
    const TimePoint ended = world.clock.now();
    world.until([&] { return token() > before; });
    const std::size_t next = leader();
    ASSERT_LT(next, 3U);
    world.until([&] { return status(next, "run-1") == "pending"; });
    EXPECT_LT(world.clock.now() - ended, 4s);
    world.run(3s);
    EXPECT_EQ(token(), before + tokensPerTerm) << "there was no second election";
    EXPECT_EQ(leader(), next);
    state.fault = nullptr;
}

TEST_F(ControllerTest, CrashInAnyPhaseOfATakeoverDelaysOnlyThatTakeover) {
    // Every request to the state service takes 20 ms, and each step kills the process 8 ms later
    // than the one before: before its lease is granted, before the leader key is written, before
    // the records are loaded and while they are, and before and just after the first acceptance.
    start(1, 1);
    ASSERT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.target.starts_with("/watch")) return {};
        return {testing::StateService::Fault::Kind::respondedLate, 20ms};
    };
    std::set<FencingToken> elected{token()};
    std::size_t interrupted = 0;
    for (int step = 0; step < 40; ++step) {
        kill(0);
        launch(*nodes[0]);
        world.run(step * 8ms);
        bool done = false;
        http::RequestOutcome outcome;
        const std::string id = "run-" + std::to_string(10 + step);
        users.spawn(
            send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission(id)}, outcome, done));
        world.run(5ms);
        kill(0);
        world.until([&] { return done; });
        if (!elected.insert(token()).second) ++interrupted;
        launch(*nodes[0]);
        world.run(1500ms);
        EXPECT_EQ(leader(), 0U) << step;
        EXPECT_TRUE(elected.insert(token()).second) << "a new token, step " << step;
        EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 200) << step;
        // If a user was told that the job is accepted, it is.
        const int status = ask(0, "GET", "/v1/jobs/" + id).response.status;
        EXPECT_TRUE(outcome.response.status != 201 || status == 200) << step;
        EXPECT_EQ(status == 200, state.keys.contains("jobs/" + id)) << step;
    }
    EXPECT_GT(interrupted, 5U) << "steps that ended before the leader key was written";
    EXPECT_LT(interrupted, 35U) << "some ended after it was written";
}

TEST_F(ControllerTest, DelegateTransfersItsDelegationToARestartedNodeOfItsZone) {
    // A node that has just started has no delegation. When the nodes of a zone that was cut off
    // were restarted one after the other, the zone was left without any.
    start(3);
    const std::size_t leaderNode = leader();
    ASSERT_LT(leaderNode, 3U);
    const std::size_t first = (leaderNode + 1) % 3, second = (leaderNode + 2) % 3;
    const auto limits = lease_delegation::DelegationLimits::from(nodes[0]->settings);
    state.down = true;  // so that no other node is elected
    kill(leaderNode);
    unsigned sequence = 0;
    kill(first);
    launch(*nodes[first]);
    world.run(limits.leaderSilenceTimeout + 300ms);
    EXPECT_EQ(ask(second, "POST", "/agent/beat", heartbeat(++sequence)).response.status, 200);
    world.run(1s);
    EXPECT_EQ(ask(first, "POST", "/agent/beat", heartbeat(++sequence)).response.status, 200);
    kill(second);
    launch(*nodes[second]);
    world.run(limits.leaderSilenceTimeout + 1s);
    EXPECT_EQ(ask(second, "POST", "/agent/beat", heartbeat(++sequence)).response.status, 200);
    EXPECT_EQ(ask(first, "POST", "/agent/beat", heartbeat(++sequence)).response.status, 200);
    EXPECT_NE(ask(first, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    world.run(limits.maxDuration - limits.leaderSilenceTimeout * 2 - 2s);
    for (const auto n : {first, second})
        EXPECT_NE(ask(n, "POST", "/agent/beat", heartbeat(++sequence)).response.status, 200) << n;
}

TEST_F(ControllerTest, LeaderStopsActingBeforeItsLeaseCanEnd) {
    start(1, 1);  // the other node does not exist, so it gives no pledge
    const Duration leaseTtl = LeaderElection::leaseTtlFor(nodes[0]->settings);
    state.down = true;
    const TimePoint startedAt = world.clock.now();
    bool acted = true;
    while (world.clock.now() - startedAt < leaseTtl + 1s) {
        world.run(50ms);
        acted = ask(0, "GET", "/v1/jobs/run-9").response.status == 404;
        if (!acted) break;
    }
    EXPECT_FALSE(acted);
    EXPECT_LT(world.clock.now() - startedAt, leaseTtl);
}

TEST_F(ControllerTest, RequestOfAnEarlierTermOfTheSameProcessIsRefused) {
    // The process is elected again within moments and may act again, but a request of the earlier
    // term must not be answered from what that term knew.
    start(1);
    bool delayFirstWrite = true;
    state.fault = [&](const http::Request& r) -> testing::StateService::Fault {
        if (!delayFirstWrite || r.body.find("jobs/run-1") == std::string::npos) return {};
        delayFirstWrite = false;
        return {testing::StateService::Fault::Kind::executedLate, 1200ms};
    };
    http::RequestOutcome outcome;
    bool done = false;
    users.spawn(
        send(*nodes[0]->client, {"POST", "/v1/jobs", testing::submission("run-1")}, outcome, done));
    world.run(100ms);
    state.expireLeaseOf("lead/holder");
    world.until([&] { return done; });
    EXPECT_EQ(outcome.response.status, 503);
    world.until([&] { return token() == 2 * tokensPerTerm && state.keys.contains("lead/holder"); });
    world.run(2s);
    EXPECT_FALSE(state.keys.contains("jobs/run-1")) << "the write was late and was fenced";
    EXPECT_EQ(ask(0, "GET", "/v1/jobs/run-1").response.status, 404);
    EXPECT_EQ(ask(0, "POST", "/v1/jobs", testing::submission("run-1")).response.status, 201);
    state.fault = nullptr;  // it refers to local variables
}

TEST_F(ControllerTest, LateWriteOfTheAbsentNodesRecordIsCorrectedByTheLeader) {
    // The write that records a node as absent is executed seconds later, without a response. By
    // then the node is back.
    start(3);
    const std::size_t absentNode = (leader() + 1) % 3;
    state.fault = [](const http::Request& r) -> testing::StateService::Fault {
        if (r.body.find("lead/absent") == std::string::npos) return {};
        return {testing::StateService::Fault::Kind::executedLate, 4s};
    };
    kill(absentNode);
    world.run(4s);
    launch(*nodes[absentNode]);
    state.fault = nullptr;
    world.run(8s);
    const auto record = state.keys.find("lead/absent");
    EXPECT_TRUE(record == state.keys.end() || record->second.data == R"({"nodes":[]})")
        << record->second.data;
    EXPECT_EQ(token(), tokensPerTerm);
}

TEST_F(ControllerTest, WriteOfAFormerLeaderIsFenced) {
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

TEST_F(ControllerTest, StatusOf4000MachinesHasNoLineLongerThan64KiB) {
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
