#include "gateway/journal/message_journal.h"

#include <gtest/gtest.h>

#include <random>

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;

JournalEntry entry(const std::string& key) {
    JournalEntry e;
    e.key = key;
    e.ref = "run-" + key;
    e.replyTo = "answers";
    e.correlation = "t:" + key;
    return e;
}

TEST(MessageJournal, EntryIsDurableOnlyOnceItsLatestVersionIsCommitted) {
    MessageJournal journal("q/", 4096);
    const auto record = journal.add(entry("1"));
    const auto first = journal.encode(record);
    EXPECT_FALSE(journal.isDurable("1"));
    journal.update("1", [](JournalEntry& e) { e.stage = Stage::accepted; });
    journal.committed(record, first.version);
    EXPECT_FALSE(journal.isDurable("1")) << "the committed version is older";
    journal.committed(record, journal.encode(record).version);
    EXPECT_TRUE(journal.isDurable("1"));
}

TEST(MessageJournal, IndicesMatchARecountAndAReload) {
    std::mt19937_64 random(5);
    MessageJournal journal("q/", 4096);
    std::map<std::string, std::string> records;
    std::uint64_t now = 1000, next = 0;
    const auto write = [&](const std::string& record) {
        records[record] = journal.encode(record).data;
        journal.committed(record, journal.encode(record).version);
    };
    std::vector<std::string> keys;
    for (int step = 0; step < 3000; ++step) {
        now += random() % 20;
        if (keys.empty() || random() % 3 == 0) {
            keys.push_back(std::to_string(next++) + std::string(random() % 60, '"'));
            write(journal.add(entry(keys.back())));
        } else {
            const std::string& key = keys[random() % keys.size()];
            if (journal.find(key) == nullptr) continue;
            const auto number = journal.nextNumber();
            write(journal.update(key, [&](JournalEntry& e) {
                switch (e.stage) {
                    case Stage::entered:
                        e.stage = random() % 5 == 0 ? Stage::refused : Stage::accepted;
                        e.reason = std::string(300, '\n');
                        if (e.stage == Stage::refused) e.expiresAt = WallMillis(now + 500);
                        break;
                    case Stage::accepted:
                        e.stage = Stage::final;
                        e.status = "cancelled";
                        e.number = number;
                        e.expiresAt = WallMillis(now + 2000);
                        break;
                    default:
                        if (e.stage == Stage::final) e.stage = Stage::replied;
                        break;
                }
            }));
        }
        if (step % 50 == 0) {
            for (const auto& record : journal.removeExpired(WallMillis(now), 40).changed)
                write(record);
            for (const auto& record : journal.deletableRecords()) {
                journal.deleted(record);
                records.erase(record);
            }
            ASSERT_EQ(journal.findInconsistency(), "") << step;
        }
    }
    MessageJournal reloaded("q/", 4096);
    for (const auto& [key, data] : records)
        ASSERT_EQ(reloaded.load(key, data), std::nullopt) << data;
    EXPECT_EQ(reloaded.findInconsistency(), "");
    EXPECT_EQ(reloaded.size(), journal.size());
    EXPECT_EQ(reloaded.unsent(), journal.unsent());
    EXPECT_GT(journal.pages(), 3U);
    for (const auto& key : keys)
        if (journal.find(key) != nullptr)
            write(journal.update(key, [](JournalEntry& e) {
                e.stage = Stage::replied;
                e.expiresAt = WallMillis(1);
            }));
    for (const auto& record : journal.removeExpired(WallMillis(now), 10'000).changed) write(record);
    for (const auto& record : journal.deletableRecords()) journal.deleted(record);
    EXPECT_EQ(journal.findInconsistency(), "");
    EXPECT_EQ(journal.pages(), 0U) << "empty pages are deleted";
}

TEST(MessageJournal, InvalidRecordIsReportedWithItsKey) {
    MessageJournal journal("q/", 4096);
    EXPECT_EQ(journal.load("q/1", "{}"), "q/1: expected a page of entries");
    EXPECT_EQ(journal.load("q/x", R"({"entries":[]})"), "q/x: expected a page of entries");
    EXPECT_EQ(journal.load("q/1", R"({"entries":[{"key":"a","ref":"r","stage":"lost"}]})"),
              "q/1: expected entries with a stage, a ref and a key of their own");
}

}  // namespace
}  // namespace basaltchute::gateway
