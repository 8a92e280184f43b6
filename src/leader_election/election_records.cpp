#include "leader_election/election_records.h"

#include "json/json.h"

namespace basaltchute::election_records {

namespace {
/// Name of the token counter's field that holds the token; see encode().
const char* tokenField(std::uint64_t format) {
    return format > 1 ? "last" : "token";
}
}  // namespace

std::string encode(const LeaderRecord& record) {
    json::Writer out;
    out.open().field("node", record.node).field("incarnation", record.incarnation);
    out.field("token", record.token);
    if (record.lease) out.field("grant", *record.lease);
    out.close();
    return out.text();
}

std::optional<LeaderRecord> decodeLeader(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc) return std::nullopt;
    auto node = json::string(*doc, "node");
    const auto token = json::count(*doc, "token");
    if (!node || !token) return std::nullopt;
    return LeaderRecord{std::move(*node), json::string(*doc, "incarnation").value_or(""), *token,
                        json::count(*doc, "grant")};
}

std::string encode(const TokenCounter& counter, const std::string& node) {
    json::Writer out;
    out.open().field(tokenField(counter.format), counter.token).field("node", node);
    if (counter.format > 1) out.field("format", counter.format);
    out.close();
    return out.text();
}

std::optional<TokenCounter> decodeTokenCounter(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc || !doc->IsObject()) return std::nullopt;
    const auto format = json::count(*doc, "format").value_or(1);
    const auto token = json::count(*doc, tokenField(format));
    if (!token) return std::nullopt;
    return TokenCounter{*token, static_cast<unsigned>(format)};
}

std::optional<std::string> decodeLastElected(const std::string& text) {
    const auto doc = json::parse(text);
    return doc ? json::string(*doc, "node") : std::nullopt;
}

std::string encodeAbsentNodes(const std::set<std::string>& nodes) {
    json::Writer out;
    out.open().key("nodes").openArray();
    for (const auto& node : nodes) out.value(node);
    out.closeArray().close();
    return out.text();
}

std::optional<std::set<std::string>> decodeAbsentNodes(const std::string& text) {
    const auto doc = json::parse(text);
    const auto* nodes = doc && doc->IsObject() ? json::array(*doc, "nodes") : nullptr;
    if (nodes == nullptr) return std::nullopt;
    std::set<std::string> out;
    for (const auto& node : nodes->GetArray())
        if (node.IsString()) out.insert(node.GetString());
    return out;
}

}  // namespace basaltchute::election_records
