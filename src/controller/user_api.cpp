#include "controller/user_api.h"

#include <algorithm>

#include "controller/responses.h"
#include "controller/user_call.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration userTimeout = 4s;     // users wait for 5 s
constexpr Duration maxResponseAge = 1s;  // of what a leader said of a job and may change

bool mayChange(jobs::JobState state) {
    return state == jobs::JobState::unknown || state == jobs::JobState::open;
}
}  // namespace

Task<http::Response> UserApi::handle(http::Request request) {
    const UserCall call = parseUserCall(request);
    JobId job;
    if (std::holds_alternative<UnknownPath>(call)) co_return errorResponse(404, "no such path");
    if (std::holds_alternative<WrongMethod>(call)) co_return errorResponse(405, "wrong method");
    if (const auto* query = std::get_if<QueryCall>(&call)) {
        if (!jobs::validId(query->job)) co_return errorResponse(404, "not a job id");
        job = query->job;
    } else if (const auto* cancel = std::get_if<CancelCall>(&call)) {
        if (!jobs::validId(cancel->job)) co_return errorResponse(400, "not a job id");
        job = cancel->job;
    } else if (!context_.term || !context_.term->ready()) {
        // A submission that is malformed is so whoever leads; a leader finds out by itself.
        auto parsed = jobs::parseSubmission(request.body);
        if (const auto* reason = std::get_if<std::string>(&parsed))
            co_return errorResponse(400, *reason);
        job = std::get<JobSpec>(parsed).id;
    }
    auto response = co_await askLeader(std::move(request), std::move(job));
    co_return response;
}

Task<http::Response> UserApi::askLeader(http::Request request, JobId job) {
    const TimePoint until = context_.loop.now() + userTimeout;
    while (context_.loop.now() < until) {
        const TimePoint askedAt = context_.loop.now();
        jobs::JobState newest = jobs::JobState::none;
        const auto inFlight = requestsInFlight_.emplace(job, &newest);
        http::Request copy = request;
        auto forwarded = co_await router_.forwardToLeader(std::move(copy), until - askedAt);
        requestsInFlight_.erase(inFlight);
        if (!forwarded.response) break;
        const jobs::JobState state =
            jobs::parseJobState(forwarded.response->status, forwarded.response->body);
        recordJobState(job, state);
        // A leader answers from what it knows at that moment, but its response may be delayed on
        // its way here while another node has given users something newer: then it is asked again.
        const bool delayed = context_.loop.now() - askedAt > maxResponseAge;
        const bool stale = forwarded.relayed && mayChange(state) && (state < newest || delayed);
        if (!stale) co_return std::move(*forwarded.response);
    }
    co_return noLeaderResponse();
}

void UserApi::recordJobState(const JobId& job, jobs::JobState state) {
    for (auto [request, end] = requestsInFlight_.equal_range(job); request != end; ++request)
        *request->second = std::max(*request->second, state);
}

}  // namespace basaltchute::controller
