#pragma once
#include <string>

namespace basaltchute::http {

struct Request {
    std::string method;
    std::string target;
    std::string body;
    bool keepAlive = true;
};

struct Response {
    int status = 200;
    std::string body;
    int retryAfterS = 0;  // 0: no Retry-After
    bool keepAlive = true;
};

}  // namespace basaltchute::http
