#pragma once
// The HTTP responses that several APIs of a controller give.
//
// Status codes, for users and workers alike: 400 malformed, 404 unknown, 405 wrong method, 421 (to
// workers) ask the node named in the body, 422 can never run, 500 this node lacks a resource, 503
// not now, with Retry-After.
#include <string>

#include "http/message.h"

namespace basaltchute::controller {

inline constexpr const char* heartbeatPath = "/agent/beat";

/// A response with that JSON text as its body.
http::Response jsonResponse(int status, const char* body);
/// A response whose body holds the reason under `error`.
http::Response errorResponse(int status, const std::string& reason);
/// 503: nobody leads, or the leader cannot be reached. Another attempt is due after a second.
http::Response noLeaderResponse();
/// 400: a heartbeat that does not parse.
http::Response malformedReportResponse();

}  // namespace basaltchute::controller
