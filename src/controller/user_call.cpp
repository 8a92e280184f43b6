#include "controller/user_call.h"

namespace basaltchute::controller {

namespace {
const std::string jobsPath = "/v1/jobs";
const std::string cancelSuffix = "/withdraw";
}  // namespace

UserCall parseUserCall(const http::Request& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == jobsPath) {
        if (request.method == "POST") return SubmitCall{};
        return WrongMethod{};
    }
    if (!path.starts_with(jobsPath + '/')) return UnknownPath{};
    const std::string rest = path.substr(jobsPath.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string::npos) {
        if (request.method == "GET") return QueryCall{rest};
        return WrongMethod{};
    }
    if (rest.substr(slash) != cancelSuffix) return UnknownPath{};
    if (request.method == "POST") return CancelCall{rest.substr(0, slash)};
    return WrongMethod{};
}

}  // namespace basaltchute::controller
