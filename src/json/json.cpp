#include "json/json.h"

#include <cmath>

namespace basaltchute::json {

namespace {
constexpr int maxDepth = 64;

/// Whether the text nests deeper than `maxDepth`. The parser is iterative, but the destructor of a
/// document is not.
bool tooDeep(std::string_view text) {
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxDepth) return true;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}
}  // namespace

std::string text(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Document> parse(std::string_view text) {
    if (tooDeep(text)) return std::nullopt;
    Document d;
    d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                    text.size());
    if (d.HasParseError()) return std::nullopt;
    return d;
}

const Value* find(const Value& object, const char* name) {
    if (!object.IsObject()) return nullptr;
    const auto it = object.FindMember(name);
    if (it == object.MemberEnd() || it->value.IsNull()) return nullptr;
    return &it->value;
}
std::optional<std::string> string(const Value& object, const char* name) {
    const Value* v = find(object, name);
    if (v == nullptr || !v->IsString()) return std::nullopt;
    return std::string(v->GetString(), v->GetStringLength());
}
std::optional<double> number(const Value& object, const char* name) {
    const Value* v = find(object, name);
    if (v == nullptr || !v->IsNumber() || !std::isfinite(v->GetDouble())) return std::nullopt;
    return v->GetDouble();
}
std::optional<std::uint64_t> count(const Value& object, const char* name) {
    const Value* v = find(object, name);
    if (v == nullptr || !v->IsUint64()) return std::nullopt;
    return v->GetUint64();
}
std::optional<bool> boolean(const Value& object, const char* name) {
    const Value* v = find(object, name);
    if (v == nullptr || !v->IsBool()) return std::nullopt;
    return v->GetBool();
}
const Value* array(const Value& object, const char* name) {
    const Value* v = find(object, name);
    return v != nullptr && v->IsArray() ? v : nullptr;
}

}  // namespace basaltchute::json
