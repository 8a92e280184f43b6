#include "gateway/amqp/message.h"

#include <proton/codec.h>
#include <proton/message.h>

#include <charconv>
#include <cstring>
#include <memory>

namespace basaltchute::amqp {

namespace {

struct FreeMessage {
    void operator()(pn_message_t* m) const { pn_message_free(m); }
};
using MessagePtr = std::unique_ptr<pn_message_t, FreeMessage>;

std::string textOf(pn_bytes_t b) {
    return {b.start, b.size};
}
std::string textOf(const char* s) {
    return s == nullptr ? "" : s;
}

Id idOf(pn_msgid_t a) {
    switch (a.type) {
        case PN_ULONG:
            return {Id::Kind::number, std::to_string(a.u.as_ulong)};
        case PN_UUID:
            return {Id::Kind::uuid, {a.u.as_uuid.bytes, sizeof a.u.as_uuid.bytes}};
        case PN_BINARY:
            return {Id::Kind::binary, textOf(a.u.as_bytes)};
        case PN_STRING:
            return {Id::Kind::text, textOf(a.u.as_bytes)};
        default:
            return {};
    }
}
pn_msgid_t atomOf(const Id& id) {
    pn_msgid_t a{};
    a.type = PN_NULL;
    switch (id.kind) {
        case Id::Kind::none:
            break;
        case Id::Kind::number:
            a.type = PN_ULONG;
            std::from_chars(id.bytes.data(), id.bytes.data() + id.bytes.size(), a.u.as_ulong);
            break;
        case Id::Kind::uuid:
            a.type = PN_UUID;
            std::memcpy(a.u.as_uuid.bytes, id.bytes.data(),
                        std::min(id.bytes.size(), sizeof a.u.as_uuid.bytes));
            break;
        case Id::Kind::binary:
        case Id::Kind::text:
            a.type = id.kind == Id::Kind::text ? PN_STRING : PN_BINARY;
            a.u.as_bytes = pn_bytes(id.bytes.size(), id.bytes.data());
            break;
    }
    return a;
}

constexpr std::string_view kindLetters = "-nubt";  // in the order of Id::Kind
constexpr std::string_view hexDigits = "0123456789abcdef";

}  // namespace

std::string Id::toText() const {
    std::string out{kindLetters[static_cast<std::size_t>(kind)], ':'};
    if (kind == Kind::text || kind == Kind::number) return out + bytes;
    for (const char c : bytes) {
        const auto b = static_cast<unsigned char>(c);
        out += hexDigits[b >> 4U];
        out += hexDigits[b & 15U];
    }
    return out;
}

std::optional<Id> Id::fromText(std::string_view text) {
    if (text.size() < 2 || text[1] != ':') return std::nullopt;
    const auto letter = kindLetters.find(text[0]);
    if (letter == std::string_view::npos) return std::nullopt;
    Id out;
    out.kind = static_cast<Kind>(letter);
    text.remove_prefix(2);
    if (out.kind == Kind::text || out.kind == Kind::number) {
        out.bytes = text;
        return out;
    }
    if (text.size() % 2 != 0) return std::nullopt;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const auto high = hexDigits.find(text[i]), low = hexDigits.find(text[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) return std::nullopt;
        out.bytes += static_cast<char>(high * 16 + low);
    }
    return out;
}

std::optional<std::string> encode(const Message& m) {
    const MessagePtr out(pn_message());
    pn_message_set_durable(out.get(), true);
    pn_message_set_id(out.get(), atomOf(m.id));
    pn_message_set_correlation_id(out.get(), atomOf(m.correlation));
    const auto set = [&](auto setter, const std::string& value) {
        if (!value.empty()) setter(out.get(), value.c_str());
    };
    set(pn_message_set_address, m.to);
    set(pn_message_set_reply_to, m.replyTo);
    set(pn_message_set_subject, m.subject);
    set(pn_message_set_content_type, m.contentType);
    pn_message_set_delivery_count(out.get(), m.deliveryCount);
    if (!m.properties.empty()) {
        pn_data_t* map = pn_message_properties(out.get());
        pn_data_put_map(map);
        pn_data_enter(map);
        for (const auto& [k, v] : m.properties) {
            pn_data_put_string(map, pn_bytes(k.size(), k.data()));
            pn_data_put_string(map, pn_bytes(v.size(), v.data()));
        }
        pn_data_exit(map);
    }
    pn_message_set_inferred(out.get(), true);
    pn_data_put_binary(pn_message_body(out.get()), pn_bytes(m.body.size(), m.body.data()));
    std::string bytes(m.body.size() + 1024, '\0');
    while (true) {
        std::size_t size = bytes.size();
        const int rc = pn_message_encode(out.get(), bytes.data(), &size);
        if (rc == PN_OVERFLOW && bytes.size() < (std::size_t{64} << 20U)) {
            bytes.resize(bytes.size() * 2);
            continue;
        }
        if (rc != 0) return std::nullopt;
        bytes.resize(size);
        return bytes;
    }
}

std::variant<Message, std::string> decode(std::string_view bytes) {
    const MessagePtr in(pn_message());
    if (bytes.empty() || pn_message_decode(in.get(), bytes.data(), bytes.size()) != 0)
        return std::string("not an AMQP message");
    Message m;
    m.id = idOf(pn_message_get_id(in.get()));
    m.correlation = idOf(pn_message_get_correlation_id(in.get()));
    m.to = textOf(pn_message_get_address(in.get()));
    m.replyTo = textOf(pn_message_get_reply_to(in.get()));
    m.subject = textOf(pn_message_get_subject(in.get()));
    m.contentType = textOf(pn_message_get_content_type(in.get()));
    m.deliveryCount = pn_message_get_delivery_count(in.get());
    pn_data_t* map = pn_message_properties(in.get());
    pn_data_rewind(map);
    if (pn_data_next(map) && pn_data_type(map) == PN_MAP) {
        pn_data_enter(map);
        while (pn_data_next(map)) {
            const bool named = pn_data_type(map) == PN_STRING;
            const std::string key = named ? textOf(pn_data_get_string(map)) : "";
            if (!pn_data_next(map)) break;
            if (named && pn_data_type(map) == PN_STRING)
                m.properties[key] = textOf(pn_data_get_string(map));
        }
    }
    pn_data_t* body = pn_message_body(in.get());
    pn_data_rewind(body);
    while (pn_data_next(body)) {
        if (pn_data_type(body) == PN_BINARY)
            m.body += textOf(pn_data_get_binary(body));
        else if (pn_data_type(body) == PN_STRING)
            m.body += textOf(pn_data_get_string(body));
        else
            return std::string("body: expected data, or a value that is a string or binary");
    }
    return m;
}

}  // namespace basaltchute::amqp
