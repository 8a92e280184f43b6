#pragma once
#include <string>

namespace basaltchute::http {

/// An HTTP request, without the headers that Parser and serialize() handle themselves.
struct Request {
    std::string method;
    std::string target;  // path and query
    std::string body;
    bool keepAlive = true;  // the connection can serve another request afterwards
};

/// An HTTP response with a JSON body.
struct Response {
    int status = 200;
    std::string body;
    int retryAfterS = 0;  // the Retry-After header; 0: none
    bool keepAlive = true;
};

}  // namespace basaltchute::http
