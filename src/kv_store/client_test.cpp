#include "kv_store/client.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::kv_store {
namespace {

using namespace std::chrono_literals;

TEST(KvStoreClient, RelayedWritesDoNotWaitForTheDirectPathWhichIsProbedAndUsedAgain) {
    testing::World world;
    bool partitioned = false;
    int relayed = 0, epoch = 1;
    // Each write raises the store's revision.
    const auto nextWriteResponse = [&] {
        return http::Response{200, R"({"epoch":)" + std::to_string(++epoch) + '}'};
    };
    http::Server service(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        if (partitioned) co_await world.loop.sleep(1h, world.scope);
        co_return nextWriteResponse();
    });
    service.start(world.scope);
    auto settings = testing::someSettings();
    settings.stateAddress = service.address();
    Client client(world.loop, settings);
    client.setRelay([&](http::Request, Duration, Scope&) -> Task<http::RequestOutcome> {
        ++relayed;
        co_return http::RequestOutcome{true, true, nextWriteResponse()};
    });
    const auto write = [&] {
        bool done = false;
        const TimePoint since = world.clock.now();
        world.loop.spawn([](Client& c, Scope& scope, bool& flag) -> Task<void> {
            Transaction txn;
            txn.puts = {{"a", "{}", std::nullopt}};
            const auto committed = co_await c.commit(std::move(txn), scope);
            EXPECT_EQ(committed.status, Status::ok);
            flag = true;
        }(client, world.scope, done));
        world.until([&] { return done; });
        return world.clock.now() - since;
    };
    EXPECT_LT(write(), 100ms);
    EXPECT_EQ(relayed, 0);
    partitioned = true;
    EXPECT_GT(write(), 1s) << "the first write detects the partition";
    for (int i = 0; i < 20; ++i) {
        EXPECT_LT(write(), 100ms) << i;
        world.run(500ms);
    }
    EXPECT_EQ(relayed, 21);
    partitioned = false;
    for (int i = 0; i < 8; ++i) {
        write();
        world.run(500ms);
    }
    const int before = relayed;
    write();
    EXPECT_EQ(relayed, before) << "the direct path is used again";
    world.end(world.scope);
}

TEST(KvStoreClient, ImplausibleResponseIsTreatedAsLost) {
    testing::World world;
    http::Response answer;
    http::Server service(world.loop, "127.0.0.1:0", {},
                         [&](http::Request) -> Task<http::Response> { co_return answer; });
    service.start(world.scope);
    auto settings = testing::someSettings();
    settings.stateAddress = service.address();
    Client client(world.loop, settings);
    bool done = false;
    const auto commit = [&](int httpStatus, const std::string& body) {
        answer = {httpStatus, body};
        Status status{};
        done = false;
        world.loop.spawn([](Client& c, Scope& scope, Status& out, bool& flag) -> Task<void> {
            Transaction txn;
            txn.preconditions = {{"a", 3}};
            txn.puts = {{"a", "{}", std::nullopt}};
            const auto committed = co_await c.commit(std::move(txn), scope);
            out = committed.status;
            flag = true;
        }(client, world.scope, status, done));
        world.until([&] { return done; });
        return status;
    };
    const auto get = [&](int httpStatus, const std::string& body) {
        answer = {httpStatus, body};
        Status status{};
        done = false;
        world.loop.spawn([](Client& c, Scope& scope, Status& out, bool& flag) -> Task<void> {
            const auto found = co_await c.get("a", scope);
            out = found.status;
            flag = true;
        }(client, world.scope, status, done));
        world.until([&] { return done; });
        return status;
    };
    const auto list = [&](const std::string& body) {
        answer = {200, body};
        Status status{};
        done = false;
        world.loop.spawn([](Client& c, Scope& scope, Status& out, bool& flag) -> Task<void> {
            const auto listing = co_await c.list("jobs/", scope);
            out = listing.status;
            flag = true;
        }(client, world.scope, status, done));
        world.until([&] { return done; });
        return status;
    };
    const auto listPage = [](const std::string& key, int stamp) {
        return R"({"pairs":[{"key":")" + key + R"(","data":{},"stamp":)" + std::to_string(stamp) +
               R"(}],"truncated":false,"epoch":12})";
    };
    EXPECT_EQ(commit(200, R"({"epoch":10})"), Status::ok);
    EXPECT_EQ(commit(200, R"({"epoch":10})"), Status::outcomeUnknown)
        << "each write raises the revision";
    EXPECT_EQ(commit(409, R"({"failed":["a"],"epoch":9})"), Status::outcomeUnknown);
    EXPECT_EQ(commit(409, R"({"epoch":11})"), Status::outcomeUnknown)
        << "the failed keys are missing";
    EXPECT_EQ(commit(409, R"({"failed":["a"],"epoch":11})"), Status::conflict);
    EXPECT_EQ(get(404, R"({"epoch":10})"), Status::outcomeUnknown);
    EXPECT_EQ(get(404, "{}"), Status::outcomeUnknown);
    EXPECT_EQ(get(404, R"({"epoch":11})"), Status::notFound);
    EXPECT_EQ(get(200, R"({"key":"b","data":{},"stamp":4})"), Status::outcomeUnknown);
    EXPECT_EQ(get(200, R"({"key":"a","data":{},"stamp":4})"), Status::ok);
    EXPECT_EQ(list(listPage("jobs/x", 4)), Status::ok);
    EXPECT_EQ(list(listPage("other/x", 4)), Status::outcomeUnknown);
    EXPECT_EQ(list(listPage("jobs/x", 13)), Status::outcomeUnknown)
        << "the key's revision is newer than the store's";
    EXPECT_EQ(list(R"({"pairs":[],"truncated":false,"epoch":11})"), Status::outcomeUnknown);
    world.end(world.scope);
}

TEST(KvStoreClient, LargestPossibleWatchResponseIsAccepted) {
    // The service does not limit the size of a watch response: it contains all changes under the
    // prefix that the service keeps. The watched prefix contains only the few keys of the election,
    // whose values do not grow with the number of machines.
    constexpr int keptChanges = 10'000;
    constexpr std::size_t largestLeaderValue = 1000;
    std::string body = R"({"epoch":20000,"changes":[)";
    for (int i = 0; i < keptChanges; ++i)
        body += R"({"key":"lead/holder","data":{"node":")" + std::string(largestLeaderValue, 'x') +
                R"("},"stamp":)" + std::to_string(i + 1) + (i + 1 < keptChanges ? "}," : "}");
    body += "]}";
    testing::World world;
    http::Server service(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        co_return http::Response{200, body};
    });
    service.start(world.scope);
    auto settings = testing::someSettings();
    settings.stateAddress = service.address();
    Client client(world.loop, settings);
    std::optional<Status> status;
    world.loop.spawn([](Client& c, Scope& scope, std::optional<Status>& out) -> Task<void> {
        out = co_await c.watch("lead/", 1, 10s, scope);
    }(client, world.scope, status));
    world.until([&] { return status.has_value(); });
    EXPECT_EQ(status, Status::ok) << "response of " << body.size() << " bytes";
    world.end(world.scope);
}

}  // namespace
}  // namespace basaltchute::kv_store
