#include "json/json.h"

#include <rapidjson/encodings.h>
#include <rapidjson/memorystream.h>

#include <cmath>

namespace basaltchute::json {

namespace {
constexpr int maxDepth = 64;

/// What has to be known of a text before it is parsed.
struct TextProperties {
    bool tooDeep = false;  // it nests deeper than `maxDepth`
    bool hasUnicodeEscapes = false;
};

/// Scans the text up to where it nests too deeply. The parser is iterative, but the destructor of a
/// document is not.
TextProperties scan(std::string_view text) {
    TextProperties properties;
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size() && !properties.tooDeep; ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\') {
                ++i;
                if (i < text.size() && text[i] == 'u') properties.hasUnicodeEscapes = true;
            } else if (c == '"') {
                inString = false;
            }
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            properties.tooDeep = ++depth > maxDepth;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return properties;
}

/// Accepts a document if all of its strings are Unicode text. RapidJSON 1.1 checks the encoding of
/// its input, but turns the escape of an unpaired low surrogate into bytes that are not UTF-8.
struct UnicodeChecker : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, UnicodeChecker> {
    static bool String(const char* text, rapidjson::SizeType length, bool /*copy*/) {
        return isUnicode({text, length});
    }
};
}  // namespace

bool isUnicode(std::string_view text) {
    rapidjson::MemoryStream in(text.data(), text.size());
    unsigned codePoint = 0;
    while (in.Tell() < text.size())
        if (!rapidjson::UTF8<>::Decode(in, &codePoint)) return false;
    return true;
}

std::string text(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Document> parse(std::string_view text, Strings strings) {
    const TextProperties properties = scan(text);
    if (properties.tooDeep) return std::nullopt;
    Document d;
    d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                    text.size());
    if (d.HasParseError()) return std::nullopt;
    UnicodeChecker checker;
    const bool mustCheck = strings == Strings::unicode && properties.hasUnicodeEscapes;
    if (mustCheck && !d.Accept(checker)) return std::nullopt;
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
