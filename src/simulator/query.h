// Reads query parameters of request targets, for the simulated cloud and state service.
#pragma once
#include <string>

namespace basaltchute::simulator {

/// Returns the value of the query parameter `name` in a request target, or an empty string if it
/// is missing. The value is not percent-decoded.
inline std::string queryParameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + '=');
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

}  // namespace basaltchute::simulator
