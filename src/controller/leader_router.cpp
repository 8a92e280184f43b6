#include "controller/leader_router.h"

#include "controller/responses.h"
#include "controller/user_call.h"

namespace basaltchute::controller {

Task<LeaderRouter::ForwardResult> LeaderRouter::forwardToLeader(http::Request request,
                                                                Duration timeout) {
    const TimePoint until = context_.loop.now() + timeout;
    FencingToken askedToken = 0;
    while (context_.loop.now() < until) {
        if (context_.term) {
            auto response = co_await serveAsLeader(std::move(request));
            co_return ForwardResult{std::move(response), false};
        }
        const auto leader = context_.election.knownLeader();
        // A leader that was asked already, and given up by the peer connections, cannot be reached.
        if (!leader || leader->node == context_.settings.node || leader->token == askedToken) break;
        askedToken = leader->token;
        http::Request copy = request;
        auto outcome = co_await context_.peers.forward(leader->node, std::move(copy),
                                                       until - context_.loop.now(), context_.scope);
        if (!outcome.answered) continue;
        outcome.response.keepAlive = true;
        co_return ForwardResult{std::move(outcome.response), true};
    }
    co_return ForwardResult{};
}

Task<http::Response> LeaderRouter::serveAsLeader(http::Request request) {
    const auto term = context_.term;  // kept alive: it may be deposed while the request waits
    if (!term || !term->ready()) co_return noLeaderResponse();
    if (request.target == heartbeatPath) co_return serveHeartbeat(*term, request.body);
    const UserCall call = parseUserCall(request);
    http::Response response;
    if (std::holds_alternative<SubmitCall>(call))
        response = co_await term->submit(std::move(request.body));
    else if (const auto* query = std::get_if<QueryCall>(&call))
        response = co_await term->query(query->job);
    else if (const auto* cancel = std::get_if<CancelCall>(&call))
        response = co_await term->cancel(cancel->job);
    else
        co_return jsonResponse(404, "{}");
    if (!term->mayAct()) co_return noLeaderResponse();
    co_return response;
}

http::Response LeaderRouter::serveHeartbeat(LeaderTerm& term, const std::string& body) {
    const auto report = worker_api::parseStatusReport(body);
    if (!report) return malformedReportResponse();
    return answerHeartbeat(term, *report).value_or(noLeaderResponse());
}

std::optional<http::Response> LeaderRouter::answerHeartbeat(
    LeaderTerm& term, const worker_api::StatusReport& report) {
    if (report.token > context_.election.token())
        context_.election.stepDown("a worker has seen a higher token");
    if (!term.mayAct()) return std::nullopt;
    return term.handleHeartbeat(report);
}

}  // namespace basaltchute::controller
