#include "json/schema.h"

#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>

namespace basaltchute::json {

namespace {

std::string textOf(const rapidjson::Pointer& p) {
    rapidjson::StringBuffer b;
    p.StringifyUriFragment(b);
    return {b.GetString(), b.GetSize()};
}

/// The first member that the schema requires and `object` misses.
std::string missing(const Value& object, const Value& schema) {
    for (const auto& name : schema["required"].GetArray())
        if (!object.HasMember(name)) return name.GetString();
    return "";
}

}  // namespace

std::optional<std::string> schemaError(const Document& document, const char* schemaText) {
    rapidjson::Document rules;
    rules.Parse(schemaText);
    const rapidjson::SchemaDocument schema(rules);
    rapidjson::SchemaValidator validator(schema);
    if (document.Accept(validator)) return std::nullopt;
    const auto where = validator.GetInvalidDocumentPointer();
    const std::string rule = validator.GetInvalidSchemaKeyword();
    const auto* asked = validator.GetInvalidSchemaPointer().Get(rules);
    const auto* given = where.Get(document);
    const std::string at = textOf(where);
    if (rule == "additionalProperties") return at + ": expected no such field";
    if (rule == "required" && asked != nullptr && given != nullptr)
        return at + ": expected \"" + missing(*given, *asked) + '"';
    std::string expected = rule;
    if (asked != nullptr && asked->IsObject() && asked->HasMember(rule.c_str()))
        expected += ' ' + text((*asked)[rule.c_str()]);
    return at + ": expected " + expected;
}

}  // namespace basaltchute::json
