#include "kv_store/transaction_writer.h"

#include <gtest/gtest.h>

#include <random>

#include "testing/world.h"

namespace basaltchute::kv_store {
namespace {

using namespace std::chrono_literals;

/// A writer with a state service that has limits, and records of the sizes that the test sets.
class TransactionWriterTest : public ::testing::Test, public RecordSource, public WriteObserver {
  protected:
    testing::World world;
    settings::Settings settings = testing::someSettings();
    std::unique_ptr<simulator::StateService> service;
    std::unique_ptr<Client> client;
    std::unique_ptr<TransactionWriter> writer;
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, std::uint64_t> versions, durable;
    std::map<std::string, int> encodeCalls;
    std::set<std::string> tooLarge;
    std::map<std::string, RefusedRecord> refused;  // the last refusal of each key
    std::set<std::string> malformed;               // keys whose values are no JSON
    int failedWrites = 0;

    void begin(simulator::StateService::Limits terms) {
        service = std::make_unique<simulator::StateService>(world.loop, world.scope, "127.0.0.1:0",
                                                            terms);
        service->keys["lead/holder"] = {"{}", 1, 0};
        settings.stateAddress = service->address();
        client = std::make_unique<Client>(world.loop, settings);
        writer = std::make_unique<TransactionWriter>(world.loop, *client, settings.txnOps,
                                                     Precondition{"lead/holder", 1}, *this, *this);
        world.scope.spawn(writer->run(world.scope));
    }
    void write(const std::string& key, std::size_t bytes,
               WritePriority priority = WritePriority::immediate) {
        sizes[key] = bytes;
        ++versions[key];
        writer->markDirty(key, priority);
    }
    void TearDown() override { world.end(world.scope); }

  private:
    std::optional<EncodedRecord> encode(const std::string& key) override {
        ++encodeCalls[key];
        if (sizes[key] == 0) return std::nullopt;
        if (malformed.contains(key)) return EncodedRecord{"\"\xED\xB0\x80\"", versions[key]};
        return EncodedRecord{'"' + std::string(sizes[key] - 2, 'x') + '"', versions[key]};
    }
    void onCommitted(const std::string& key, std::uint64_t version) override {
        durable[key] = version;
    }
    void onWriteFailed() override { ++failedWrites; }
    void onFenced() override { FAIL() << "nobody else holds the fence"; }
    RefusedRecordAction onRecordRefused(const RefusedRecord& record) override {
        refused[record.key] = record;
        if (malformed.contains(record.key)) return RefusedRecordAction::retry;
        EXPECT_GE(record.bytes, 100U);
        tooLarge.insert(record.key);
        return RefusedRecordAction::drop;
    }
};

TEST_F(TransactionWriterTest, TooLargeRecordBlocksNoOthersAndIsNotRepeated) {
    // Guards against a batch that the service rejects as malformed being repeated unchanged
    // forever, while all other records wait behind it.
    begin({1e9, 1e9, 100, 20, {}});
    for (int i = 0; i < 8; ++i) write("k" + std::to_string(i), i == 3 ? 101 : 50);
    world.run(2s);
    EXPECT_EQ(tooLarge, std::set<std::string>{"k3"});
    EXPECT_EQ(durable.size(), 7U);
    EXPECT_LE(encodeCalls["k3"], 2) << "once with other records, and once alone";
    EXPECT_EQ(failedWrites, 0) << "a record that is too large is no outage";
    EXPECT_EQ(writer->backlog(), 0U);
    write("k3", 60);
    world.run(1s);
    EXPECT_EQ(durable["k3"], 2U);
}

TEST_F(TransactionWriterTest, RecordThatIsRefusedForGoodIsRetriedAtIntervalsAndDelaysNoOthers) {
    // Guards against a malformed record that is written again without a pause: all other records
    // waited behind it, and users were told that the service accepts no writes.
    begin({1e9, 1e9, 1000, 20, {}});
    int transactions = 0, withMalformed = 0;
    service->fault = [&](const http::Request& r) -> simulator::StateService::Fault {
        if (r.target == "/multi") ++transactions;
        if (r.body.find("\"k3\"") != std::string::npos) ++withMalformed;
        return {};
    };
    malformed.insert("k3");
    for (int i = 0; i < 8; ++i) write("k" + std::to_string(i), 50, WritePriority::userRequest);
    world.run(500ms);
    EXPECT_EQ(durable.size(), 7U);
    EXPECT_TRUE(writer->healthy()) << "a refused record is no outage";
    for (int second = 0; second < 60; ++second) {
        const int before = transactions - withMalformed;
        for (int i = 10; i < 20; ++i) write("k" + std::to_string(i), 50);
        if (second % 2 == 0) write("k3", 50);  // changes do not hurry it
        world.run(100ms);
        EXPECT_EQ(durable["k10"], static_cast<std::uint64_t>(second) + 1);
        EXPECT_EQ(transactions - withMalformed, before + 1) << "others are still written together";
        world.run(900ms);
    }
    EXPECT_GE(withMalformed, 8);
    EXPECT_LE(withMalformed, 12) << "in the first batch, alone, after 1, 2 and 4 s, then each 8 s";
    EXPECT_EQ(failedWrites, 0);
    malformed.clear();
    world.run(10s);
    EXPECT_EQ(durable["k3"], versions["k3"]) << "what the service takes at last is stored";
    EXPECT_EQ(writer->backlog(), 0U);
    service->fault = {};  // it refers to variables of this test
}

TEST_F(TransactionWriterTest, HundredsOfRefusedRecordsLeaveTheWriteRateToOthers) {
    settings.stateWriteRps = 25;
    begin({1e9, 25, 1000, 20, {}});
    for (int i = 0; i < 300; ++i) {
        const std::string key = "odd-" + std::to_string(i);
        malformed.insert(key);
        write(key, 50, WritePriority::userRequest);
    }
    world.run(40s);
    for (int second = 0; second < 30; ++second) {
        for (int i = 0; i < 10; ++i) write("k" + std::to_string(i), 50);
        world.run(1s);
        EXPECT_EQ(durable["k9"], static_cast<std::uint64_t>(second) + 1);
    }
}

TEST_F(TransactionWriterTest, RefusalTellsWhetherAValueOfThatSizeWasAccepted) {
    begin({1e9, 1e9, 1000, 20, {}});
    const auto refusedWithSizeAccepted = [&](std::size_t bytes) {
        write("large", bytes);
        world.run(100ms);
        return refused.at("large").sizeWasAccepted;
    };
    write("small", 50);
    world.run(100ms);
    EXPECT_FALSE(refusedWithSizeAccepted(1100)) << "only smaller ones were";
    service->lowerLimits({0, 0, 200, 0, {}});
    sizes["small"] = 150;
    write("small", 150);
    world.run(100ms);
    EXPECT_FALSE(refusedWithSizeAccepted(900));
    service->lowerLimits({0, 0, 1000, 0, {}});
    write("small", 900);
    world.run(100ms);
    service->lowerLimits({0, 0, 200, 0, {}});
    EXPECT_TRUE(refusedWithSizeAccepted(800));
    EXPECT_FALSE(refusedWithSizeAccepted(800)) << "not since the last refusal";
}

TEST_F(TransactionWriterTest, TransactionsShrinkWhenTheServiceAcceptsFewerWritesAtOnce) {
    begin({1e9, 1e9, 1000, 20, {}});
    for (int i = 0; i < 40; ++i) write("k" + std::to_string(i), 50);
    world.run(1s);
    ASSERT_EQ(durable.size(), 40U);
    service->lowerLimits({0, 0, 0, 3, {}});
    for (int i = 0; i < 40; ++i) write("k" + std::to_string(i), 50);
    world.run(3s);
    for (const auto& [key, v] : durable) EXPECT_EQ(v, 2U) << key;
    EXPECT_TRUE(tooLarge.empty());
}

TEST_F(TransactionWriterTest, WriteRateFollowsTheServicesLimitAndMostUrgentRecordsGoFirst) {
    settings.stateWriteRps = 25;
    settings.stateWriteRpsNext = 18;
    begin({1e9, 18, 1000, 20, {}});
    for (int i = 0; i < 200; ++i) write("rest-" + std::to_string(i), 50, WritePriority::progress);
    world.run(3s);
    write("user", 50, WritePriority::userRequest);
    const TimePoint queuedAt = world.clock.now();
    world.until([&] { return durable.contains("user"); });
    EXPECT_LT(world.clock.now() - queuedAt, 400ms);
    world.run(20s);
    EXPECT_EQ(durable.size(), 201U);
    EXPECT_EQ(failedWrites, 0) << "a rate limit is no outage: users only wait";
    EXPECT_NEAR(client->writeLimiter().rate(), 18 * 0.95, 0.01);
    // A lower limit that was not announced: the rate falls in steps, and rises again after a while.
    service->lowerLimits({0, 8, 0, 0, {}});
    for (int i = 0; i < 100; ++i) write("more-" + std::to_string(i), 50, WritePriority::immediate);
    world.run(30s);
    EXPECT_EQ(durable.size(), 301U);
    EXPECT_LT(client->writeLimiter().rate(), 9);
    service->lowerLimits({0, 100, 0, 0, {}});
    for (int i = 0; i < 200; ++i) {
        write("later", 50);
        world.run(2s);
    }
    EXPECT_GT(client->writeLimiter().rate(), 20);
}

TEST_F(TransactionWriterTest, WriteThatIsExecutedLateDoesNotOverwriteANewerOne) {
    // Records are created and changed, alone and in batches, and some transactions time out and are
    // executed later. In the end the last version of each record is stored, and the writer has
    // reported it as durable.
    begin({});
    std::map<std::string, std::size_t> minimumSize;
    std::mt19937 random(7);
    const auto randomBelow = [&](unsigned n) { return random() % n; };
    service->fault = [&](const http::Request& r) -> simulator::StateService::Fault {
        if (r.target != "/multi" || randomBelow(3) > 0) return {};
        return {simulator::StateService::Fault::Kind::executedLate,
                std::chrono::milliseconds(2000 + randomBelow(10000))};
    };
    service->onPut = [&](const std::string& key, const std::string& data) {
        EXPECT_GE(data.size(), minimumSize[key]) << key << " was overwritten by an older version";
        minimumSize[key] = data.size();
    };
    for (std::size_t i = 0; i < 60; ++i) {
        for (const char* key : {"jobs/a", "jobs/b", "jobs/c", "jobs/d"})
            if (randomBelow(2) == 0) write(key, 100 + i);
        world.run(std::chrono::milliseconds(100 + randomBelow(900)));
    }
    world.run(20s);
    for (const auto& [key, bytes] : sizes) {
        EXPECT_EQ(service->keys.at(key).data.size(), bytes) << key;
        EXPECT_EQ(durable.at(key), versions.at(key)) << key;
    }
    EXPECT_GT(failedWrites, 10);
}

TEST_F(TransactionWriterTest, WriteWithLostResponseIsNotRepeatedIfItWasExecuted) {
    // When the batch is sent again, its preconditions fail because of its own first execution. No
    // record is lost or written twice, the writer does not take itself for fenced, and a record
    // that changed meanwhile is written with its current revision as precondition.
    begin({1e9, 1e9, 1000, 20, {}});
    int responsesToLose = 1, transactions = 0;
    service->fault = [&](const http::Request& r) -> simulator::StateService::Fault {
        if (r.target != "/multi") return {};
        ++transactions;
        return {responsesToLose-- > 0 ? simulator::StateService::Fault::Kind::responseLost
                                      : simulator::StateService::Fault::Kind::none,
                {}};
    };
    for (int i = 0; i < 8; ++i) write("k" + std::to_string(i), 50 + i);
    world.run(1s);
    EXPECT_EQ(service->writes, 8);
    EXPECT_TRUE(durable.empty()) << "the outcome of the write is not known yet";
    write("k3", 90);  // changed before the request times out
    world.until([&] { return durable.size() == 8U && durable["k3"] == 2U; });
    EXPECT_EQ(service->writes, 9) << "only the changed record is written again";
    EXPECT_LE(transactions, 4);
    EXPECT_EQ(service->keys.at("k3").data.size(), 90U);
    EXPECT_EQ(writer->backlog(), 0U);
}

TEST_F(TransactionWriterTest, RecordsWithNothingToWriteAreSkipped) {
    begin({1e9, 1e9, 1000, 20, {}});
    write("gone", 0);
    write("there", 50);
    world.run(1s);
    EXPECT_EQ(durable.size(), 1U);
    EXPECT_EQ(writer->backlog(), 0U);
}

TEST_F(TransactionWriterTest, SeveralProgressUpdatesAreWrittenOnce) {
    begin({1e9, 1e9, 1000, 20, {}});
    for (int i = 0; i < 14; ++i) {
        write("array", 50, WritePriority::progress);
        world.run(100ms);
    }
    EXPECT_EQ(service->writes, 0);
    world.run(400ms);
    EXPECT_EQ(service->writes, 1);
    write("array", 50, WritePriority::progress);
    write("array", 50, WritePriority::immediate);
    world.run(50ms);
    EXPECT_EQ(service->writes, 2) << "the more urgent priority applies, without delay";
}

}  // namespace
}  // namespace basaltchute::kv_store
