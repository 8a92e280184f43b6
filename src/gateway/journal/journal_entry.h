#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "runtime/clock.h"

namespace basaltchute::gateway {

/// How far a message has come; what is on record, in this order.
enum class Stage : std::uint8_t {
    entered,   // it has a job ref; a submission under it may have left
    refused,   // for good: its delivery may be rejected
    accepted,  // the job's acceptance stands: its delivery may be accepted
    final,     // the job is over and has a number in its queue's order of results
    replied    // the result was taken by whoever asked for it, or nobody asked
};

/// One message's line in the ledger.
struct JournalEntry {
    std::string key;           // what identifies the message within its queue
    std::string ref;           // of its job
    std::uint64_t digest = 0;  // of its body: one id does not stand for two messages
    Stage stage = Stage::entered;
    std::string origin;          // the source it came from; empty for a listening link
    std::string replyTo;         // empty: nobody wants to know
    std::string correlation;     // amqp::Id as written
    std::string reason;          // of a refusal, or of a reply that was not taken
    std::string status;          // `done` or `cancelled` once final
    std::uint64_t number = 0;    // in the queue's order of results, from 1
    std::uint32_t attempts = 1;  // how often it was taken up
    WallMillis expiresAt{};      // when it may be forgotten; 0 while it is not over

    [[nodiscard]] bool over() const { return stage == Stage::refused || stage == Stage::replied; }
};

const char* nameOf(Stage stage);
std::optional<Stage> stageOf(const std::string& name);

}  // namespace basaltchute::gateway
