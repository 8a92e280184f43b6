#pragma once
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

/// Parses without recursion, so hostile nesting cannot exhaust the stack; nullopt if it is
/// not JSON or nests deeper than anything this service reads.
std::optional<Document> parse(std::string_view text);

/// The value as JSON text.
std::string text(const Value& value);

/// The member, or nullptr if it is absent or null (the protocols treat both alike).
const Value* find(const Value& object, const char* name);
std::optional<std::string> string(const Value& object, const char* name);
std::optional<double> number(const Value& object, const char* name);
std::optional<std::uint64_t> count(const Value& object, const char* name);
std::optional<bool> boolean(const Value& object, const char* name);
const Value* array(const Value& object, const char* name);

/// Builds JSON text piece by piece.
class Writer {
  public:
    Writer& open() {
        w_.StartObject();
        return *this;
    }
    Writer& close() {
        w_.EndObject();
        return *this;
    }
    Writer& openArray() {
        w_.StartArray();
        return *this;
    }
    Writer& closeArray() {
        w_.EndArray();
        return *this;
    }
    Writer& key(std::string_view k) {
        w_.Key(k.data(), static_cast<unsigned>(k.size()));
        return *this;
    }
    Writer& value(std::string_view v) {
        w_.String(v.data(), static_cast<unsigned>(v.size()));
        return *this;
    }
    Writer& value(const char* v) { return value(std::string_view(v)); }
    Writer& value(std::uint64_t v) {
        w_.Uint64(v);
        return *this;
    }
    Writer& value(std::int64_t v) {
        w_.Int64(v);
        return *this;
    }
    Writer& value(std::uint32_t v) {
        w_.Uint(v);
        return *this;
    }
    Writer& value(int v) {
        w_.Int(v);
        return *this;
    }
    Writer& value(double v) {
        w_.Double(v);
        return *this;
    }
    Writer& value(bool v) {
        w_.Bool(v);
        return *this;
    }
    Writer& null() {
        w_.Null();
        return *this;
    }
    Writer& raw(std::string_view v) {
        w_.RawValue(v.data(), v.size(), rapidjson::kObjectType);
        return *this;
    }
    template <typename T>
    Writer& field(std::string_view k, const T& v) {
        key(k);
        return value(v);
    }
    [[nodiscard]] std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

  private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> w_{buffer_};
};

}  // namespace basaltchute::json
