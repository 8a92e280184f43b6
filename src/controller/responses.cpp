#include "controller/responses.h"

#include "json/json.h"

namespace basaltchute::controller {

http::Response jsonResponse(int status, const char* body) {
    return {status, body};
}

http::Response errorResponse(int status, const std::string& reason) {
    json::Out out;
    out.open().field("error", reason).close();
    return {status, out.text()};
}

http::Response noLeaderResponse() {
    http::Response response = errorResponse(503, "no leader at the moment");
    response.retryAfterS = 1;
    return response;
}

http::Response malformedReportResponse() {
    return errorResponse(400, "malformed report");
}

}  // namespace basaltchute::controller
