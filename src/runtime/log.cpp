#include "runtime/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

namespace basaltchute {

void configureLogging(const std::string& name) {
    auto logger = spdlog::stderr_logger_st(name);
    logger->set_pattern("%L %v");
    spdlog::set_default_logger(logger);
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(level != nullptr ? spdlog::level::from_str(level) : spdlog::level::info);
}

}  // namespace basaltchute
