#include "json/schema.h"

#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>

namespace basaltchute::json {

namespace {

std::string pointerText(const rapidjson::Pointer& pointer) {
    rapidjson::StringBuffer buffer;
    pointer.StringifyUriFragment(buffer);
    return {buffer.GetString(), buffer.GetSize()};
}

/// The first member that the schema requires and `object` does not have.
std::string missingMember(const Value& object, const Value& schema) {
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
    const auto* violatedSchema = validator.GetInvalidSchemaPointer().Get(rules);
    const auto* invalid = where.Get(document);
    const std::string at = pointerText(where);
    if (rule == "additionalProperties") return at + ": expected no such field";
    if (rule == "required" && violatedSchema != nullptr && invalid != nullptr)
        return at + ": expected \"" + missingMember(*invalid, *violatedSchema) + '"';
    std::string expected = rule;
    if (violatedSchema != nullptr && violatedSchema->IsObject() &&
        violatedSchema->HasMember(rule.c_str()))
        expected += ' ' + text((*violatedSchema)[rule.c_str()]);
    return at + ": expected " + expected;
}

}  // namespace basaltchute::json
