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
class Out {
  public:
    Out& open() {
        w_.StartObject();
        return *this;
    }
    Out& close() {
        w_.EndObject();
        return *this;
    }
    Out& openArray() {
        w_.StartArray();
        return *this;
    }
    Out& closeArray() {
        w_.EndArray();
        return *this;
    }
    Out& key(std::string_view k) {
        w_.Key(k.data(), static_cast<unsigned>(k.size()));
        return *this;
    }
    Out& value(std::string_view v) {
        w_.String(v.data(), static_cast<unsigned>(v.size()));
        return *this;
    }
    Out& value(const char* v) { return value(std::string_view(v)); }
    Out& value(std::uint64_t v) {
        w_.Uint64(v);
        return *this;
    }
    Out& value(std::int64_t v) {
        w_.Int64(v);
        return *this;
    }
    Out& value(std::uint32_t v) {
        w_.Uint(v);
        return *this;
    }
    Out& value(int v) {
        w_.Int(v);
        return *this;
    }
    Out& value(double v) {
        w_.Double(v);
        return *this;
    }
    Out& value(bool v) {
        w_.Bool(v);
        return *this;
    }
    Out& null() {
        w_.Null();
        return *this;
    }
    Out& raw(std::string_view v) {
        w_.RawValue(v.data(), v.size(), rapidjson::kObjectType);
        return *this;
    }
    template <typename T>
    Out& field(std::string_view k, const T& v) {
        key(k);
        return value(v);
    }
    [[nodiscard]] std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

  private:
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> w_{buffer_};
};

}  // namespace basaltchute::json
