#pragma once
#include <string>

namespace basaltchute {

/// Logs to standard error under `name`, as much as LOG_LEVEL (`error`, `info`, `debug`) says.
void configureLogging(const std::string& name);

}  // namespace basaltchute
