// The exact bytes of the gateway's stored pages of entries.
#include <gtest/gtest.h>

#include "gateway/journal/message_journal.h"

namespace basaltchute::gateway {
namespace {

JournalEntry fullEntry() {
    JournalEntry entry;
    entry.key = "m-1";
    entry.ref = "run-000017";
    entry.digest = 0xFFFFFFFFFFFFFFFE;
    entry.stage = Stage::final;
    entry.origin = "broker-1";
    entry.replyTo = "answers";
    entry.correlation = "t:c-1";
    entry.reason = "not taken";
    entry.status = "done";
    entry.number = 7;
    entry.attempts = 2;
    entry.expiresAt = WallMillis(1700000000123);
    return entry;
}

const std::string fullPage =
    R"({"entries":[{"key":"m-1","ref":"run-000017","stage":"final",)"
    R"("digest":18446744073709551614,"origin":"broker-1","replyTo":"answers",)"
    R"("correlation":"t:c-1","why":"not taken","status":"done","number":7,"attempts":2,)"
    R"("forgetMs":1700000000123},)"
    R"({"key":"m-2","ref":"run-000018","stage":"entered","digest":0}]})";

TEST(WireFormat, EntryPageKeyAndBytes) {
    MessageJournal journal("gw/q/red/", 4096);
    EXPECT_EQ(journal.add(fullEntry()), "gw/q/red/1");
    JournalEntry plain;
    plain.key = "m-2";
    plain.ref = "run-000018";
    EXPECT_EQ(journal.add(plain), "gw/q/red/1");
    EXPECT_EQ(journal.encode("gw/q/red/1").data, fullPage);
    EXPECT_EQ(journal.encode("gw/q/red/2").data, R"({"entries":[]})");
}

TEST(WireFormat, EntryPageIsRead) {
    MessageJournal journal("gw/q/red/", 4096);
    ASSERT_EQ(journal.load("gw/q/red/3", fullPage), std::nullopt);
    const JournalEntry* entry = journal.find("m-1");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->ref, "run-000017");
    EXPECT_EQ(entry->digest, 0xFFFFFFFFFFFFFFFEU);
    EXPECT_EQ(entry->stage, Stage::final);
    EXPECT_EQ(entry->origin, "broker-1");
    EXPECT_EQ(entry->replyTo, "answers");
    EXPECT_EQ(entry->correlation, "t:c-1");
    EXPECT_EQ(entry->reason, "not taken");
    EXPECT_EQ(entry->status, "done");
    EXPECT_EQ(entry->number, 7U);
    EXPECT_EQ(entry->attempts, 2U);
    EXPECT_EQ(entry->expiresAt, WallMillis(1700000000123));
    ASSERT_NE(journal.find("m-2"), nullptr);
    EXPECT_EQ(journal.find("m-2")->attempts, 1U);
    EXPECT_EQ(journal.encode("gw/q/red/3").data, fullPage);
}

TEST(WireFormat, EntryStageNames) {
    EXPECT_STREQ(nameOf(Stage::entered), "entered");
    EXPECT_STREQ(nameOf(Stage::refused), "refused");
    EXPECT_STREQ(nameOf(Stage::accepted), "accepted");
    EXPECT_STREQ(nameOf(Stage::final), "final");
    EXPECT_STREQ(nameOf(Stage::replied), "replied");
    for (const Stage stage :
         {Stage::entered, Stage::refused, Stage::accepted, Stage::final, Stage::replied})
        EXPECT_EQ(stageOf(nameOf(stage)), stage);
}

}  // namespace
}  // namespace basaltchute::gateway
