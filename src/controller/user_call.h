#pragma once
// Parses the method and path of a user's request into a typed call. Pure; the body of a submission
// is parsed by `jobs::parseSubmission`.
#include <variant>

#include "http/message.h"
#include "jobs/job.h"

namespace basaltchute::controller {

/// `POST /v1/jobs`
struct SubmitCall {};
/// `GET /v1/jobs/ID`. The id is not validated.
struct QueryCall {
    JobId job;
};
/// `POST /v1/jobs/ID/withdraw`. The id is not validated.
struct CancelCall {
    JobId job;
};
/// A path that does not exist.
struct UnknownPath {};
/// A path that exists, but not with this method.
struct WrongMethod {};

using UserCall = std::variant<SubmitCall, QueryCall, CancelCall, UnknownPath, WrongMethod>;

/// What a user asks for. A query string is ignored.
UserCall parseUserCall(const http::Request& request);

}  // namespace basaltchute::controller
