#pragma once
#include <optional>
#include <string>

#include "json/json.h"

namespace basaltchute::json {

/// Validates a document against a JSON Schema (draft 4). Returns nothing if it is valid, otherwise
/// one line that names the first invalid field and says what was expected there. Meant for settings
/// files that people write.
std::optional<std::string> schemaError(const Document& document, const char* schemaText);

}  // namespace basaltchute::json
