#pragma once
#include <string>

namespace basaltchute {

/// Configures the default spdlog logger: it writes to standard error from the level that the
/// environment variable LOG_LEVEL names (`error`, `info`, `debug`; `info` if unset). `name`: of the
/// program.
void configureLogging(const std::string& name);

}  // namespace basaltchute
