#include "gateway/queue_owner/prepare.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

#include "json/json.h"

namespace basaltchute::gateway {

namespace {

constexpr std::size_t maxKeyLength = 160, maxReplyToLength = 256, maxCorrelationLength = 256;
constexpr std::size_t maxSubmissionBytes = std::size_t{64} * 1024;  // limit of the job API
constexpr std::size_t maxRefBytes = 160;

std::string hashOf(const std::string& text) {
    const XXH128_hash_t h = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> out{};
    std::snprintf(out.data(), out.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(h.high64),
                  static_cast<unsigned long long>(h.low64));
    return out.data();
}

/// The reason to reject a message with a string that the journal cannot hold. AMQP strings are
/// UTF-8, but the sender decides which bytes it sends.
std::string notUnicode(const std::string& field) {
    return field + ": expected UTF-8 text";
}

}  // namespace

std::variant<PreparedMessage, std::string> prepareMessage(const QueueSettings& queue,
                                                          const std::string& origin,
                                                          const amqp::Message& m) {
    PreparedMessage out;
    JournalEntry& e = out.entry;
    e.origin = origin;
    e.digest = XXH3_64bits(m.body.data(), m.body.size());
    e.replyTo = m.replyTo;
    if (e.replyTo.size() > maxReplyToLength) return std::string("reply-to: longer than 256 bytes");
    if (!json::isUnicode(e.replyTo)) return notUnicode("reply-to");
    // Messages from a client's link are answered over a client's link.
    if (origin.empty() && !e.replyTo.empty() &&
        !e.replyTo.starts_with(replyAddressPrefix(queue.name)))
        return "reply-to: expected an address that begins with " + replyAddressPrefix(queue.name);
    const amqp::Id& replyId = m.correlation.empty() ? m.id : m.correlation;
    e.correlation = replyId.empty() ? "" : replyId.toText();
    if (e.correlation.size() > maxCorrelationLength)
        return std::string("correlation-id: longer than 256 bytes");
    if (!json::isUnicode(e.correlation))
        return notUnicode(m.correlation.empty() ? "message-id" : "correlation-id");

    std::string key;
    if (!queue.keyProperty.empty()) {
        const auto it = m.properties.find(queue.keyProperty);
        if (it != m.properties.end() && !it->second.empty()) key = "p:" + it->second;
    } else if (!m.id.empty()) {
        key = m.id.toText();
    }
    if (!json::isUnicode(key))
        return notUnicode(queue.keyProperty.empty() ? "message-id"
                                                    : "property " + queue.keyProperty);
    out.redelivered = m.deliveryCount > 0;
    out.anonymous = key.empty();
    if (key.empty()) {
        if (queue.withoutId == WithoutId::reject)
            return queue.keyProperty.empty()
                       ? std::string("message-id: this queue takes no message without one")
                       : "property " + queue.keyProperty +
                             ": this queue takes no message without it";
        std::string content = m.subject + '\n' + m.replyTo + '\n' + e.correlation + '\n' + m.body;
        for (const auto& [k, v] : m.properties)
            content.append("\n").append(k).append("=").append(v);
        key = "c:" + hashOf(content);
    }
    e.key = key.size() <= maxKeyLength ? key : "h:" + hashOf(key);

    auto doc = json::parse(m.body);
    if (!doc || !doc->IsObject()) return std::string("body: expected a JSON object");
    auto& memory = doc->GetAllocator();
    const auto setOrCheckField = [&](const char* name, const std::string& value) {
        const auto it = doc->FindMember(name);
        if (it == doc->MemberEnd()) {
            doc->AddMember(json::Value(name, memory), json::Value(value.c_str(), memory), memory);
            return true;
        }
        return it->value.IsString() && it->value.GetString() == value;
    };
    if (!setOrCheckField("crew", queue.team)) return "body: \"crew\" expected to be " + queue.team;
    if (!setOrCheckField("category", queue.jobClass))
        return "body: \"category\" expected to be " + queue.jobClass;
    if (doc->HasMember("ref")) return std::string("body: no \"ref\" expected, the ledger gives it");
    const auto defaults = json::parse(queue.job);
    for (const auto& member : defaults->GetObject())
        if (!doc->HasMember(member.name))
            doc->AddMember(json::Value(member.name, memory), json::Value(member.value, memory),
                           memory);
    const std::string text = json::text(*doc);
    out.job = text.substr(1, text.size() - 2);
    if (out.job.size() + maxRefBytes > maxSubmissionBytes)
        return std::string("body: the submission would be larger than 64 KiB");
    return out;
}

std::string submissionBody(const PreparedMessage& p, const std::string& ref) {
    return R"({"ref":")" + ref + "\"," + p.job + '}';
}

}  // namespace basaltchute::gateway
