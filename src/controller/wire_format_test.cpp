// The exact responses of a whole controller to users, agents and operators, its requests to agents,
// and the records that it stores.
#include <gtest/gtest.h>

#include "controller/controller.h"
#include "testing/scripted_service.h"

namespace basaltchute::controller {
namespace {

using namespace std::chrono_literals;

class ControllerWireFormat : public ::testing::Test {
  protected:
    testing::World world;
    testing::StateService state{world};
    testing::CloudService cloud{world};
    testing::ScriptedService agent{world};
    settings::Settings settings = testing::someSettings();
    std::unique_ptr<Controller> controller;
    std::unique_ptr<http::Client> client;
    Scope users{world.loop};

    void start() {
        settings.listenAddress = testing::freeAddress();
        settings.peerListenAddress = testing::freeAddress();
        settings.stateAddress = state.address();
        settings.cloudAddress = cloud.address();
        client = std::make_unique<http::Client>(world.loop, settings.listenAddress);
        controller = std::make_unique<Controller>(world.loop, settings,
                                                  settings::OperatorSettings{}, "process-1");
        controller->start();
        world.run(4s);
    }
    /// Sends a request and returns the status and the body of the response, with the seconds of
    /// Retry-After between them if there are any.
    std::string ask(const std::string& method, const std::string& target,
                    const std::string& body = "") {
        http::RequestOutcome outcome;
        bool done = false;
        users.spawn(send({method, target, body}, outcome, done));
        world.until([&] { return done; });
        const auto& response = outcome.response;
        const std::string retry =
            response.retryAfterS == 0 ? "" : " Retry-After " + std::to_string(response.retryAfterS);
        return std::to_string(response.status) + retry + ' ' + response.body;
    }
    Task<void> send(http::Request request, http::RequestOutcome& out, bool& done) {
        out = co_await client->request(std::move(request), 5s, users);
        done = true;
    }
    void TearDown() override {
        bool done = false;
        world.scope.spawn([](Controller& c, bool& flag) -> Task<void> {
            co_await c.shutDown();
            flag = true;
        }(*controller, done));
        world.until([&] { return done; });
        world.end(users);
        world.end(world.scope);
    }
};

const std::string heartbeatStart =
    R"({"host":"n-1","addr":"127.0.0.1:1","rigKind":"box","hall":"a","loaners":false,"stint":1,)";

TEST_F(ControllerWireFormat, UserErrorResponses) {
    start();
    EXPECT_EQ(ask("GET", "/nothing"), R"(404 {"error":"no such path"})");
    EXPECT_EQ(ask("PUT", "/v1/jobs"), R"(405 {"error":"wrong method"})");
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1/withdraw"), R"(405 {"error":"wrong method"})");
    EXPECT_EQ(ask("GET", "/v1/jobs/run.1"), R"(404 {"error":"not a job id"})");
    EXPECT_EQ(ask("POST", "/v1/jobs/run.1/withdraw"), R"(400 {"error":"not a job id"})");
    EXPECT_EQ(ask("GET", "/v1/jobs/run-9"), R"(404 {"error":"no such job"})");
    EXPECT_EQ(ask("POST", "/v1/jobs/run-9/withdraw"), R"(404 {"error":"no such job"})");
    EXPECT_EQ(ask("POST", "/v1/jobs", "{"), R"(400 {"error":"not JSON"})");
    EXPECT_EQ(ask("POST", "/v1/jobs", "{}"), R"(400 {"error":"missing or invalid: ref"})");
}

TEST_F(ControllerWireFormat, RefusedSubmissionResponses) {
    start();
    const auto submit = [&](const std::string& original, const std::string& replacement) {
        std::string body = testing::submission("run-1");
        body.replace(body.find(original), original.size(), replacement);
        return ask("POST", "/v1/jobs", body);
    };
    EXPECT_EQ(submit(R"("crew":"red")", R"("crew":"grey")"), R"(422 {"error":"unknown team"})");
    EXPECT_EQ(submit(R"("cores":4.0)", R"("cores":99.0)"),
              R"(422 {"error":"a task fits no allowed machine type"})");
    EXPECT_EQ(submit(R"("red","shape":"array","rank":"normal","splits":2)",
                     R"("blue","shape":"standing","rank":"normal","splits":9)"),
              R"(422 {"error":"the job needs more than its team's limit"})");
    EXPECT_EQ(submit(R"("together":false,"spread":false)", R"("together":true,"spread":true)"),
              R"(422 {"error":"together and spread: its tasks have no place"})");
    EXPECT_EQ(ask("POST", "/v1/jobs", testing::submission("run-1", R"(,"waitsOn":["run-8"])")),
              R"(422 {"error":"waitsOn: run-8 was never accepted"})");
    EXPECT_EQ(ask("POST", "/v1/jobs", testing::submission("run-1", R"(,"waitsOn":["run-1"])")),
              R"(422 {"error":"waitsOn: run-1 is the job itself"})");
}

TEST_F(ControllerWireFormat, JobFromSubmissionToEnd) {
    start();
    const std::string pending = R"({"ref":"run-1","status":"pending","done":0,"running":0})";
    EXPECT_EQ(ask("POST", "/v1/jobs", testing::submission("run-1")), "201 " + pending);
    EXPECT_EQ(ask("POST", "/v1/jobs", testing::submission("run-1")), "200 " + pending);
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"), "200 " + pending);
    EXPECT_EQ(ask("POST", "/agent/beat", heartbeatStart + R"("tick":1,"splits":[]})"),
              R"(200 {"baton":1,"orders":[]})");
    world.run(1s);
    EXPECT_EQ(ask("POST", "/agent/beat", heartbeatStart + R"("tick":2,"splits":[]})"),
              R"(200 {"baton":1,"orders":[{"verb":"launch","split":"run-1/0","try":1},)"
              R"({"verb":"launch","split":"run-1/1","try":1}]})");
    const auto heartbeat = [&](int sequence, const std::string& first, const std::string& second) {
        return ask("POST", "/agent/beat",
                   heartbeatStart + R"("tick":)" + std::to_string(sequence) +
                       R"(,"baton":1,"splits":[{"split":"run-1/0","try":1,)" + first +
                       R"(},{"split":"run-1/1","try":1,)" + second + "}]}");
    };
    const std::string running = R"("status":"running")";
    const std::string done = R"("status":"exited","cause":"done")";
    EXPECT_EQ(heartbeat(3, running, running), R"(200 {"baton":1,"orders":[]})");
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"),
              R"(200 {"ref":"run-1","status":"running","done":0,"running":2})");
    heartbeat(4, done, running);
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"),
              R"(200 {"ref":"run-1","status":"running","done":1,"running":1})");
    heartbeat(5, done, done);
    world.run(2s);
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"),
              R"(200 {"ref":"run-1","status":"done","done":2,"running":0})");
    EXPECT_EQ(ask("POST", "/v1/jobs/run-1/withdraw"), R"(200 {"ref":"run-1","status":"done"})");
}

TEST_F(ControllerWireFormat, CancellationResponses) {
    start();
    ask("POST", "/v1/jobs", testing::submission("run-2"));
    EXPECT_EQ(ask("POST", "/v1/jobs/run-2/withdraw"),
              R"(200 {"ref":"run-2","status":"cancelled"})");
    EXPECT_EQ(ask("GET", "/v1/jobs/run-2"),
              R"(200 {"ref":"run-2","status":"cancelled","done":0,"running":0})");
}

TEST_F(ControllerWireFormat, AgentErrorResponses) {
    start();
    EXPECT_EQ(ask("POST", "/agent/beat", "{}"), R"(400 {"error":"malformed report"})");
    EXPECT_EQ(ask("GET", "/agent/beat"), "405 {}");
    EXPECT_EQ(ask("GET", "/up"), "200 {}");
    EXPECT_EQ(ask("POST", "/up"), "405 {}");
    EXPECT_EQ(ask("POST", "/status"), "405 {}");
}

TEST_F(ControllerWireFormat, ResponsesWithoutALeader) {
    state.down = true;
    start();
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"),
              R"(503 Retry-After 1 {"error":"no leader at the moment"})");
    EXPECT_EQ(ask("POST", "/agent/beat", heartbeatStart + R"("tick":1,"splits":[]})"),
              R"(503 Retry-After 1 {"error":"no leader at the moment"})");
    EXPECT_EQ(ask("GET", "/status"), R"(200 {"node":"rig-0","leading":false,"connections":1})");
    EXPECT_EQ(ask("GET", "/status/n-1"), R"(503 {"error":"not the leader"})");
}

TEST_F(ControllerWireFormat, HeartbeatRedirectToALeaderOutOfReach) {
    settings.peers = {{"rig-1", "a", "127.0.0.1:1"}};
    state.keys["lead/holder"].data =
        R"({"node":"rig-1","incarnation":"process-9","token":3,"grant":1})";
    state.keys["lead/token"].data = R"({"token":3,"node":"rig-1"})";
    start();
    EXPECT_EQ(ask("POST", "/agent/beat", heartbeatStart + R"("tick":1,"splits":[]})"),
              R"(421 {"steward":"rig-1"})");
}

TEST_F(ControllerWireFormat, RetryAfterIsTheTimeThatTheUnwrittenRecordsTake) {
    settings.stateWriteRps = 2;
    start();
    state.down = true;
    std::string last;
    for (int job = 1; job <= 6; ++job)
        last = ask("POST", "/v1/jobs", testing::submission("run-" + std::to_string(job)));
    EXPECT_EQ(last, R"(503 Retry-After 3 {"error":"not now"})") << "six records, two a second";
}

TEST_F(ControllerWireFormat, DirectCommandRequest) {
    start();
    const auto reportOf = [&](const std::string& sequence, const std::string& tasks) {
        return R"({"host":"n-1","addr":")" + agent.address() +
               R"(","rigKind":"box","hall":"a","loaners":false,"stint":1,"tick":)" + sequence +
               R"(,"baton":1,"splits":[)" + tasks + "]}";
    };
    agent.answer(200, reportOf("2", R"({"split":"run-1/0","try":1,"status":"running"},)"
                                    R"({"split":"run-1/1","try":1,"status":"running"})"));
    ask("POST", "/agent/beat", reportOf("1", ""));
    ask("POST", "/v1/jobs", testing::submission("run-1"));
    world.run(500ms);
    EXPECT_EQ(agent.takeRequests(),
              std::vector<std::string>{R"(POST /commands {"baton":1,"stint":1,"orders":[)"
                                       R"({"verb":"launch","split":"run-1/0","try":1},)"
                                       R"({"verb":"launch","split":"run-1/1","try":1}]})"});
    EXPECT_EQ(ask("GET", "/v1/jobs/run-1"),
              R"(200 {"ref":"run-1","status":"running","done":0,"running":2})");
}

TEST_F(ControllerWireFormat, StatusPageOfTheLeader) {
    start();
    ask("POST", "/v1/jobs", testing::submission("run-1"));
    ask("POST", "/v1/jobs", testing::submission("run-2", R"(,"waitsOn":["run-1"])"));
    ask("POST", "/agent/beat", heartbeatStart + R"("tick":1,"splits":[]})");
    world.run(1s);
    EXPECT_EQ(ask("GET", "/status"),
              R"(200 {"node":"rig-0","leading":true,"leader":"rig-0","token":1,"connections":1,)"
              R"("jobs":2,"open":1,"unwritten":0,"restartedAttempts":0,"held":1,)"
              R"("waiting":[{"ref":"run-2","for":["run-1"],"needs":1}],)"
              R"("cells":{"box":{"freeZones":0,"freeMachines":1,"freeSlots":0}},)"
              R"("machines":[{"name":"n-1","type":"box","zone":"a","spot":false,"up":true,)"
              R"("sick":false,"tasks":2,"session":1}]})");
}

TEST_F(ControllerWireFormat, StatusPageOfAMachine) {
    start();
    ask("POST", "/v1/jobs", testing::submission("run-1"));
    ask("POST", "/agent/beat", heartbeatStart + R"("tick":1,"splits":[]})");
    world.run(1s);
    ask("POST", "/agent/beat",
        heartbeatStart + R"("tick":2,"splits":[{"split":"run-1/0","try":1,"status":"running"},)"
                         R"({"split":"run-1/1","try":1,"status":"exited","cause":"error"}]})");
    const std::string answer = ask("GET", "/status/n-1");
    ASSERT_TRUE(answer.starts_with("200 ")) << answer;
    const auto doc = json::parse(answer.substr(4));
    ASSERT_TRUE(doc) << answer;
    EXPECT_EQ(json::string(*doc, "name"), "n-1");
    EXPECT_EQ(json::count(*doc, "session"), 1U);
    const auto& running = (*doc)["attempts"][0];
    EXPECT_EQ(json::string(running, "task"), "run-1/0");
    EXPECT_EQ(json::string(running, "launch"), "direct");
    EXPECT_EQ(json::count(running, "token"), 1U);
    EXPECT_TRUE(json::number(running, "confirmedSAgo"));
    EXPECT_EQ(json::string(running, "stop"), "none");
    const auto& ended = (*doc)["ended"][0];
    EXPECT_EQ(json::string(ended, "task"), "run-1/1");
    EXPECT_EQ(json::string(ended, "cause"), "error");
    EXPECT_EQ(ask("GET", "/status/n-2"), R"(404 {"error":"no such machine"})");
    EXPECT_EQ(ask("POST", "/status/n-1"), "405 {}");
}

TEST_F(ControllerWireFormat, StoredRecordsOfAJob) {
    start();
    ask("POST", "/v1/jobs", testing::submission("run-1"));
    std::string all;
    for (const auto& [key, stored] : state.keys) all += key + ' ' + stored.data + '\n';
    EXPECT_EQ(all,
              R"(jobs/run-1 {"spec":{"ref":"run-1","category":"c","crew":"red","shape":"array",)"
              R"("rank":"normal","splits":2,"cores":4.0,"gpus":0.0,"ramGb":4.0,"build":"img",)"
              R"("sizeGb":1.0,"together":false,"spread":false,"loaners":true,"parS":10.0,)"
              R"("savepointS":0.0,"flushS":0.0},"at":3600004000,"per":614,"done":[],"bound":[]})"
              "\n"
              R"(lead/holder {"node":"rig-0","incarnation":"process-1","token":1,"grant":1})"
              "\n"
              R"(lead/token {"token":16777216,"node":"rig-0"})"
              "\n");
}

}  // namespace
}  // namespace basaltchute::controller
