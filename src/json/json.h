#pragma once
// Reading and writing JSON, on top of RapidJSON. Used by all modules that handle JSON.
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basaltchute::json {

using Value = rapidjson::Value;
using Document = rapidjson::Document;

/// Which escaped characters strings may have.
enum class Strings {
    unicode,  // so that whatever is read can be written as JSON again
    any,      // also a surrogate without its other half, which becomes bytes that are not UTF-8
};

/// Parses without recursion, so that deeply nested input cannot exhaust the stack. Returns nothing
/// if the text is not JSON, if a string in it is not as `strings` demands, or if it is nested
/// deeper than any document that is expected.
std::optional<Document> parse(std::string_view text, Strings strings = Strings::unicode);

/// Whether the text is valid UTF-8, as every string in JSON must be.
[[nodiscard]] bool isUnicode(std::string_view text);

/// Serializes the value.
std::string text(const Value& value);

/// The member of an object; nullptr if it is absent or null, which the protocols treat alike, or if
/// `object` is not an object. The functions below return nothing if the member is not of their
/// type.
const Value* find(const Value& object, const char* name);
std::optional<std::string> string(const Value& object, const char* name);
/// A finite number.
std::optional<double> number(const Value& object, const char* name);
/// A non-negative integer.
std::optional<std::uint64_t> count(const Value& object, const char* name);
std::optional<bool> boolean(const Value& object, const char* name);
const Value* array(const Value& object, const char* name);

/// Writes JSON text. Calls must be in the order of the text; separators are added.
class Writer {
  public:
    Writer& open() {
        writer_.StartObject();
        return *this;
    }
    Writer& close() {
        writer_.EndObject();
        return *this;
    }
    Writer& openArray() {
        writer_.StartArray();
        return *this;
    }
    Writer& closeArray() {
        writer_.EndArray();
        return *this;
    }
    Writer& key(std::string_view k) {
        writer_.Key(k.data(), static_cast<unsigned>(k.size()));
        return *this;
    }
    Writer& value(std::string_view v) {
        writer_.String(v.data(), static_cast<unsigned>(v.size()));
        return *this;
    }
    Writer& value(const char* v) { return value(std::string_view(v)); }
    Writer& value(std::uint64_t v) {
        writer_.Uint64(v);
        return *this;
    }
    Writer& value(std::int64_t v) {
        writer_.Int64(v);
        return *this;
    }
    Writer& value(std::uint32_t v) {
        writer_.Uint(v);
        return *this;
    }
    Writer& value(int v) {
        writer_.Int(v);
        return *this;
    }
    Writer& value(double v) {
        writer_.Double(v);
        return *this;
    }
    Writer& value(bool v) {
        writer_.Bool(v);
        return *this;
    }
    Writer& null() {
        writer_.Null();
        return *this;
    }
    /// Inserts JSON text as it is.
    Writer& raw(std::string_view v) {
        writer_.RawValue(v.data(), v.size(), rapidjson::kObjectType);
        return *this;
    }
    /// Writes a member of an object: its name and its value.
    template <typename T>
    Writer& field(std::string_view k, const T& v) {
        key(k);
        return value(v);
    }
    [[nodiscard]] std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

  private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace basaltchute::json
