#pragma once
#include <string>
#include <variant>

#include "gateway/amqp/message.h"
#include "gateway/journal/journal_entry.h"
#include "gateway/settings/settings.h"

namespace basaltchute::gateway {

/// A message that has been checked and converted to a journal entry and a job submission.
struct PreparedMessage {
    JournalEntry entry;  // without a ref; the key of a message without id is a hash of its content
    std::string job;     // the submission without its ref: JSON members without braces
    bool anonymous = false;  // the message has no id
    bool redelivered = false;
};

/// Checks and converts a message of the queue, or returns the reason why it can never be accepted.
std::variant<PreparedMessage, std::string> prepareMessage(const QueueSettings& queue,
                                                          const std::string& origin,
                                                          const amqp::Message& message);

/// The body of the job submission with this ref.
std::string submissionBody(const PreparedMessage& prepared, const std::string& ref);

/// Prefix of the addresses from which the clients of a queue read replies.
inline std::string replyAddressPrefix(const QueueName& queue) {
    return "reply/" + queue + '/';
}

}  // namespace basaltchute::gateway
