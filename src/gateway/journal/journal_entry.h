#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "runtime/clock.h"

namespace basaltchute::gateway {

/// Progress of a message. The stages are stored by name and follow each other in this order.
enum class Stage : std::uint8_t {
    entered,   // has a job ref; a submission with this ref may have been sent
    refused,   // permanently refused: the delivery may be rejected
    accepted,  // the controllers accepted the job: the delivery may be accepted
    final,     // the job has ended and has its number in the queue's order of results
    replied    // the receiver settled the result, or no reply was requested
};

/// The journal's entry for one message.
struct JournalEntry {
    std::string key;           // identifies the message within its queue
    std::string ref;           // job reference
    std::uint64_t digest = 0;  // hash of the body; detects an id reused for another message
    Stage stage = Stage::entered;
    std::string origin;          // name of the source broker; empty for a client's link
    std::string replyTo;         // reply address; empty if no reply is requested
    std::string correlation;     // correlation id in the form of amqp::Id::toText
    std::string reason;          // why the message was refused or its reply was rejected
    std::string status;          // final job status: `done` or `cancelled`
    std::uint64_t number = 0;    // position in the queue's order of results, from 1
    std::uint32_t attempts = 1;  // how often processing of the message was started
    WallMillis expiresAt{};      // when the entry may be removed; 0 while the message is unfinished

    [[nodiscard]] bool finished() const {
        return stage == Stage::refused || stage == Stage::replied;
    }
};

/// The stage's name in stored entries and in admin responses.
const char* nameOf(Stage stage);
/// The stage with this name, or nullopt.
std::optional<Stage> stageOf(const std::string& name);

}  // namespace basaltchute::gateway
