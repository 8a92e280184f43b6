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

TEST(MessageJournal, AnEntryStandsOnlyOnceItsPageIsWrittenAsItIsNow) {
    MessageJournal b("q/", 4096);
    const auto record = b.add(entry("1"));
    const auto first = b.encode(record);
    EXPECT_FALSE(b.isDurable("1"));
    b.change("1", [](JournalEntry& e) { e.stage = Stage::accepted; });
    b.committed(record, first.version);
    EXPECT_FALSE(b.isDurable("1")) << "what was written is older";
    b.committed(record, b.encode(record).version);
    EXPECT_TRUE(b.isDurable("1"));
}

TEST(MessageJournal, IndicesAgreeWithARecountAndWithWhatIsReadBack) {
    std::mt19937_64 random(5);
    MessageJournal b("q/", 4096);
    std::map<std::string, std::string> records;
    std::uint64_t now = 1000, next = 0;
    const auto write = [&](const std::string& record) {
        records[record] = b.encode(record).data;
        b.committed(record, b.encode(record).version);
    };
    std::vector<std::string> keys;
    for (int step = 0; step < 3000; ++step) {
        now += random() % 20;
        if (keys.empty() || random() % 3 == 0) {
            keys.push_back(std::to_string(next++) + std::string(random() % 60, '"'));
            write(b.add(entry(keys.back())));
        } else {
            const std::string& key = keys[random() % keys.size()];
            if (b.find(key) == nullptr) continue;
            const auto number = b.nextNumber();
            write(b.change(key, [&](JournalEntry& e) {
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
            for (const auto& record : b.forget(WallMillis(now), 40).changed) write(record);
            for (const auto& record : b.closing()) {
                b.deleted(record);
                records.erase(record);
            }
            ASSERT_EQ(b.findInconsistency(), "") << step;
        }
    }
    MessageJournal again("q/", 4096);
    for (const auto& [key, data] : records) ASSERT_EQ(again.load(key, data), std::nullopt) << data;
    EXPECT_EQ(again.findInconsistency(), "");
    EXPECT_EQ(again.size(), b.size());
    EXPECT_EQ(again.unsent(), b.unsent());
    EXPECT_GT(b.pages(), 3U);
    for (const auto& key : keys)
        if (b.find(key) != nullptr)
            write(b.change(key, [](JournalEntry& e) {
                e.stage = Stage::replied;
                e.expiresAt = WallMillis(1);
            }));
    for (const auto& record : b.forget(WallMillis(now), 10'000).changed) write(record);
    for (const auto& record : b.closing()) b.deleted(record);
    EXPECT_EQ(b.findInconsistency(), "");
    EXPECT_EQ(b.pages(), 0U) << "pages that are empty go";
}

TEST(MessageJournal, ARecordThatCannotBeReadIsAnErrorThatNamesIt) {
    MessageJournal b("q/", 4096);
    EXPECT_EQ(b.load("q/1", "{}"), "q/1: expected a page of entries");
    EXPECT_EQ(b.load("q/x", R"({"entries":[]})"), "q/x: expected a page of entries");
    EXPECT_EQ(b.load("q/1", R"({"entries":[{"key":"a","ref":"r","stage":"lost"}]})"),
              "q/1: expected entries with a stage, a ref and a key of their own");
}

}  // namespace
}  // namespace basaltchute::gateway
