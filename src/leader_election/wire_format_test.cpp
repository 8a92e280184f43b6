// Checks the exact stored records and requests of an election: the leader key, the token counter
// with the stored format, and the absent nodes.
#include <gtest/gtest.h>

#include "leader_election/fake_election_peers.h"
#include "testing/scripted_service.h"

namespace basaltchute {
namespace {

using namespace std::chrono_literals;
using Requests = std::vector<std::string>;

/// Expects each election to have the revision of the test's first write as its fence.
class Peers : public testing::FakeElectionPeers {
  public:
    void onElected(FencingToken token, kv_store::Precondition fence) override {
        EXPECT_EQ(fence.key, "lead/holder");
        EXPECT_EQ(fence.revision, 21U);
        FakeElectionPeers::onElected(token, std::move(fence));
    }
};

class LeaderElectionWireFormat : public ::testing::Test {
  protected:
    testing::World world;
    /// The records stored under "lead/", as the JSON items of a listing.
    std::string storedItems;
    std::uint64_t revision = 20;
    Peers peers;
    testing::ScriptedService service{
        world, [this](const http::Request& request) { return respond(request); }};
    std::unique_ptr<kv_store::Client> client;
    std::unique_ptr<LeaderElection> election;

    http::Response respond(const http::Request& request) {
        if (request.target.starts_with("/keys?"))
            return {200, R"({"pairs":[)" + storedItems + R"(],"truncated":false,"epoch":)" +
                             std::to_string(revision) + '}'};
        if (request.target == "/multi")
            return {200, R"({"epoch":)" + std::to_string(++revision) + '}'};
        if (request.target == "/grants") return {200, R"({"hold":42})"};
        return {200, "{}"};
    }
    void start() {
        auto settings = testing::someSettings();
        settings.stateAddress = service.address();
        settings.peers = {{"rig-1", "a", "127.0.0.1:1"}, {"rig-2", "b", "127.0.0.1:1"}};
        client = std::make_unique<kv_store::Client>(world.loop, settings);
        peers.othersAreKnownFollowers = true;
        election = std::make_unique<LeaderElection>(world.loop, *client, settings, "process-1",
                                                    peers, peers);
        world.scope.spawn(election->run(world.scope));
    }
    void TearDown() override { world.end(world.scope); }
    /// The transaction requests sent since the requests were last taken.
    Requests transactions() {
        Requests out;
        for (auto& request : service.takeRequests())
            if (request.starts_with("POST /multi")) out.push_back(std::move(request));
        return out;
    }
};

TEST_F(LeaderElectionWireFormat, FirstElectionRequests) {
    start();
    ASSERT_TRUE(world.until([&] { return peers.elected; }));
    EXPECT_EQ(
        service.takeRequests(),
        (Requests{"GET /keys?under=lead/&page=1000", "GET /keys?under=lead/&page=1000",
                  R"(POST /grants {"lifeMs":1200})",
                  R"(POST /multi {"guards":[{"key":"lead/holder","stamp":0},)"
                  R"({"key":"lead/token","stamp":0},{"key":"lead/absent","stamp":0}],"then":[)"
                  R"({"put":"lead/holder","data":{"node":"rig-0","incarnation":"process-1",)"
                  R"("token":1,"grant":42},"hold":42},)"
                  R"({"put":"lead/token","data":{"token":16777216,"node":"rig-0"}}]})"}));
    EXPECT_EQ(election->token(), 1U);
    EXPECT_EQ(election->storedFormat(), 1U);
    world.run(300ms);
    EXPECT_EQ(service.takeRequests().at(0), "POST /grants/42/touch");
    election->resignPermanently();
    world.run(300ms);
    EXPECT_EQ(service.takeRequests().back(), "DELETE /grants/42");
}

TEST_F(LeaderElectionWireFormat, ElectionWithStoredRecordsRequest) {
    storedItems = R"({"key":"lead/absent","data":{"nodes":[]},"stamp":5},)"
                  R"({"key":"lead/token","data":{"last":9,"node":"rig-1","format":2},"stamp":7})";
    peers.silentNodes = {"rig-1"};
    start();
    ASSERT_TRUE(world.until([&] { return peers.elected; }));
    EXPECT_EQ(transactions(),
              Requests{R"(POST /multi {"guards":[{"key":"lead/holder","stamp":0},)"
                       R"({"key":"lead/token","stamp":7},{"key":"lead/absent","stamp":5}],"then":[)"
                       R"({"put":"lead/holder","data":{"node":"rig-0","incarnation":"process-1",)"
                       R"("token":10,"grant":42},"hold":42},)"
                       R"({"put":"lead/token","data":{"last":16777225,"node":"rig-0","format":2}},)"
                       R"({"put":"lead/absent","data":{"nodes":["rig-1"]}}]})"});
    EXPECT_EQ(election->token(), 10U);
    EXPECT_EQ(election->storedFormat(), 2U);
}

TEST_F(LeaderElectionWireFormat, RaiseOfStoredFormatRequest) {
    storedItems = R"({"key":"lead/token","data":{"token":3,"node":"rig-0"},"stamp":7})";
    start();
    ASSERT_TRUE(world.until([&] { return peers.elected; }));
    transactions();
    EXPECT_TRUE(testing::finish(world, election->raiseStoredFormat(2, world.scope)));
    EXPECT_EQ(
        transactions(),
        Requests{R"(POST /multi {"guards":[{"key":"lead/holder","stamp":21},)"
                 R"({"key":"lead/token","stamp":21}],"then":[)"
                 R"({"put":"lead/token","data":{"last":16777219,"node":"rig-0","format":2}}]})"});
}

TEST_F(LeaderElectionWireFormat, AbsentNodesRecordRequest) {
    start();
    ASSERT_TRUE(world.until([&] { return peers.elected; }));
    transactions();
    peers.silentNodes = {"rig-2"};
    world.run(400ms);
    EXPECT_EQ(transactions(), Requests{R"(POST /multi {"guards":[{"key":"lead/holder","stamp":21},)"
                                       R"({"key":"lead/absent","stamp":0}],"then":[)"
                                       R"({"put":"lead/absent","data":{"nodes":["rig-2"]}}]})"});
}

TEST_F(LeaderElectionWireFormat, LeaderRecordIsRead) {
    storedItems =
        R"({"key":"lead/holder","data":{"node":"rig-1","incarnation":"process-8","token":9,)"
        R"("grant":41},"stamp":7})";
    start();
    ASSERT_TRUE(world.until([&] { return election->knownLeader().has_value(); }));
    EXPECT_EQ(election->knownLeader()->node, "rig-1");
    EXPECT_EQ(election->knownLeader()->token, 9U);
    world.run(50ms);
    const auto requests = service.takeRequests();
    ASSERT_GE(requests.size(), 2U);
    EXPECT_EQ(requests[1], "GET /watch?under=lead/&after=20&waitMs=10000");
}

TEST_F(LeaderElectionWireFormat, LeaderRecordOfFormerProcessHasItsLeaseRevoked) {
    storedItems =
        R"({"key":"lead/holder","data":{"node":"rig-0","incarnation":"process-0","token":9,)"
        R"("grant":41},"stamp":7})";
    start();
    world.run(50ms);
    EXPECT_EQ(service.takeRequests().at(1), "DELETE /grants/41");
}

}  // namespace
}  // namespace basaltchute
