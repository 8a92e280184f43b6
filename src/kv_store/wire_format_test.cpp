// Checks the exact requests to the key-value service, and how its literal responses are decoded.
#include <gtest/gtest.h>

#include "kv_store/client.h"
#include "testing/scripted_service.h"

namespace basaltchute::kv_store {
namespace {

using namespace std::chrono_literals;
using testing::finish;
using Requests = std::vector<std::string>;

class KvStoreWireFormat : public ::testing::Test {
  protected:
    testing::World world;
    testing::ScriptedService service{world};
    settings::Settings settings = settingsFor(service.address());
    Client client{world.loop, settings};

    static settings::Settings settingsFor(const std::string& address) {
        auto s = testing::someSettings();
        s.stateAddress = address;
        return s;
    }
    void TearDown() override { world.end(world.scope); }
};

TEST_F(KvStoreWireFormat, TransactionRequestBytes) {
    service.answer(200, R"({"epoch":12})");
    Transaction transaction;
    transaction.preconditions = {{"lead/holder", 7}, {"jobs/run-1", 0}};
    transaction.puts = {{"jobs/run-1", R"({"a":[1,"x"]})", std::nullopt},
                        {"lead/holder", R"({"b":2})", 42}};
    transaction.deletes = {"gw/q/red/1"};
    const auto committed = finish(world, client.commit(std::move(transaction), world.scope));
    EXPECT_EQ(service.takeRequests(),
              Requests{R"(POST /multi {"guards":[{"key":"lead/holder","stamp":7},)"
                       R"({"key":"jobs/run-1","stamp":0}],"then":[)"
                       R"({"put":"jobs/run-1","data":{"a":[1,"x"]}},)"
                       R"({"put":"lead/holder","data":{"b":2},"hold":42},)"
                       R"({"delete":"gw/q/red/1"}]})"});
    EXPECT_EQ(committed.status, Status::ok);
    EXPECT_EQ(committed.revision, 12U);
    EXPECT_TRUE(committed.failedKeys.empty());
}

TEST_F(KvStoreWireFormat, TransactionConflictResponse) {
    service.answer(409, R"({"failed":["jobs/run-1","lead/holder"],"epoch":13})");
    const auto committed = finish(world, client.commit({}, world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{R"(POST /multi {"guards":[],"then":[]})"});
    EXPECT_EQ(committed.status, Status::conflict);
    EXPECT_EQ(committed.revision, 13U);
    EXPECT_EQ(committed.failedKeys, (std::vector<std::string>{"jobs/run-1", "lead/holder"}));
}

TEST_F(KvStoreWireFormat, ResponseStatuses) {
    const std::pair<int, Status> all[] = {{200, Status::ok},          {404, Status::notFound},
                                          {409, Status::conflict},    {400, Status::malformed},
                                          {429, Status::rateLimited}, {503, Status::refused}};
    for (const auto& [httpStatus, status] : all) {
        service.answer(httpStatus, "{}");
        EXPECT_EQ(finish(world, client.keepAlive(1, 1s, world.scope)).status, status) << httpStatus;
    }
}

TEST_F(KvStoreWireFormat, GetRequestAndResponse) {
    service.answer(200, R"({"key":"lead/token","data":{"token":9,"x":[1,2.5,null]},"stamp":4})");
    const auto found = finish(world, client.get("lead/token", world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{"GET /keys/lead/token"});
    EXPECT_EQ(found.status, Status::ok);
    ASSERT_TRUE(found.entry);
    EXPECT_EQ(found.entry->key, "lead/token");
    EXPECT_EQ(found.entry->data, R"({"token":9,"x":[1,2.5,null]})");
    EXPECT_EQ(found.entry->revision, 4U);
    service.answer(404, R"({"epoch":21})");
    const auto none = finish(world, client.get("lead/holder", world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{"GET /keys/lead/holder"});
    EXPECT_EQ(none.status, Status::notFound);
    EXPECT_EQ(none.revision, 21U);
}

TEST_F(KvStoreWireFormat, ListRequestsAndResponses) {
    service.setScript([](const http::Request& request) {
        if (request.target.find("&after=") == std::string::npos)
            return http::Response{
                200, R"({"pairs":[{"key":"jobs/a","data":{"n":1},"stamp":3},)"
                     R"({"key":"jobs/b","data":{"n":2},"stamp":5}],"truncated":true,"epoch":20})"};
        return http::Response{200, R"({"pairs":[{"key":"jobs/c","data":{"n":3},"stamp":21}],)"
                                   R"("truncated":false,"epoch":22})"};
    });
    const auto listing = finish(world, client.list("jobs/", world.scope));
    EXPECT_EQ(service.takeRequests(), (Requests{"GET /keys?under=jobs/&page=1000",
                                                "GET /keys?under=jobs/&page=1000&after=jobs/b"}));
    EXPECT_EQ(listing.status, Status::ok);
    EXPECT_EQ(listing.revision, 22U);
    ASSERT_EQ(listing.entries.size(), 3U);
    EXPECT_EQ(listing.entries[2].key, "jobs/c");
    EXPECT_EQ(listing.entries[2].data, R"({"n":3})");
    EXPECT_EQ(listing.entries[2].revision, 21U);
}

TEST_F(KvStoreWireFormat, LeaseGrantKeepAliveAndRevokeRequests) {
    service.answer(200, R"({"hold":42})");
    const auto lease = finish(world, client.grantLease(1200ms, world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{R"(POST /grants {"lifeMs":1200})"});
    EXPECT_EQ(lease.status, Status::ok);
    EXPECT_EQ(lease.id, 42U);
    service.answer(200, "{}");
    EXPECT_EQ(finish(world, client.keepAlive(42, 1s, world.scope)).status, Status::ok);
    EXPECT_EQ(service.takeRequests(), Requests{"POST /grants/42/touch"});
    finish(world, client.revokeLease(42, world.scope));
    EXPECT_EQ(service.takeRequests(), Requests{"DELETE /grants/42"});
}

TEST_F(KvStoreWireFormat, WatchRequest) {
    service.answer(200, R"({"epoch":22})");
    EXPECT_EQ(finish(world, client.watch("lead/", 12, 10s, world.scope)), Status::ok);
    EXPECT_EQ(service.takeRequests(), Requests{"GET /watch?under=lead/&after=12&waitMs=10000"});
}

}  // namespace
}  // namespace basaltchute::kv_store
