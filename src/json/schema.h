#pragma once
#include <optional>
#include <string>

#include "json/json.h"

namespace basaltchute::json {

/// Holds a file that people write against its schema (JSON Schema, draft 4). One line that names
/// the field and what was expected there, or nothing if all is well.
std::optional<std::string> schemaError(const Document& document, const char* schemaText);

}  // namespace basaltchute::json
