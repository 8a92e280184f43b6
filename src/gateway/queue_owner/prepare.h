#pragma once
#include <string>
#include <variant>

#include "gateway/amqp/message.h"
#include "gateway/journal/journal_entry.h"
#include "gateway/settings/settings.h"

namespace basaltchute::gateway {

/// A message as the ledger and the controllers take it.
struct PreparedMessage {
    JournalEntry entry;      // without a ref; of a message without id, the key of its content
    std::string job;         // a submission without its ref: JSON members, no braces
    bool anonymous = false;  // without id
    bool redelivered = false;
};

/// Reads a message of the queue, or says in one line why it can never be taken.
std::variant<PreparedMessage, std::string> prepare(const QueueSettings& queue,
                                                   const std::string& origin,
                                                   const amqp::Message& message);

/// The submission's text.
std::string submission(const PreparedMessage& prepared, const std::string& ref);

/// The beginning of addresses that replies to a queue's clients are read from.
inline std::string replyAddressPrefix(const QueueName& queue) {
    return "reply/" + queue + '/';
}

}  // namespace basaltchute::gateway
