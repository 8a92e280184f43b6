#pragma once
#include <string>

namespace basaltchute::simulator {

/// The value of a parameter in a request's target; empty if it is not there.
inline std::string queryParameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + '=');
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

}  // namespace basaltchute::simulator
