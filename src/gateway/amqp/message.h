#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace basaltchute::amqp {

/// A message-id or correlation-id: ulong, uuid, binary or string (AMQP 1.0 part 3, 3.2.11
/// to 3.2.14). Kept with its type, since a client compares what comes back with what it sent.
struct Id {
    enum class Kind : std::uint8_t { none, number, uuid, binary, text } kind = Kind::none;
    std::string bytes;  // of a number: its decimal digits
    bool operator==(const Id&) const = default;
    [[nodiscard]] bool empty() const { return kind == Kind::none; }
    /// Printable and reversible form for records: a letter for the kind, a colon, the value.
    [[nodiscard]] std::string toText() const;
    static std::optional<Id> fromText(std::string_view text);
};

/// The sections of a message that the gateway reads or sets (part 3, 3.2).
struct Message {
    Id id, correlation;
    std::string to, replyTo, subject, contentType;
    std::string body;                 // one or more data sections, or one string or binary value
    std::uint32_t deliveryCount = 0;  // earlier deliveries that failed (3.2.1)
    std::map<std::string, std::string> properties;  // application properties that are strings
};

/// Encodes a bare message with its header; nullopt if it cannot be encoded.
std::optional<std::string> encode(const Message& message);
/// Decodes a message, or returns an error text.
std::variant<Message, std::string> decode(std::string_view bytes);

}  // namespace basaltchute::amqp
