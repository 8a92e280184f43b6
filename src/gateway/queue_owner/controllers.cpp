#include "gateway/queue_owner/controllers.h"

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Duration submitTimeout = 5s,
                   queryTimeout = 2s;  // the timeouts that the API documents for its users
constexpr Duration minRetryDelay = 1s, maxRetryDelay = 30s;
constexpr std::size_t maxIdleConnections = 16;  // idle connections kept per node
constexpr std::size_t maxReasonLength = 100;

std::string stringMember(const std::string& body, const char* name) {
    const auto doc = json::parse(body);
    return doc && doc->IsObject() ? json::string(*doc, name).value_or("") : "";
}

}  // namespace

ControllerClient::ControllerClient(EventLoop& loop, const Settings& settings, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      pollLimiter_(settings.limits.pollsPerSecond, std::max(1.0, settings.limits.pollsPerSecond),
                   loop.now()),
      random_(seed) {
    for (const auto& address : settings.controllers)
        nodes_.push_back(std::make_unique<http::Client>(loop, address, maxIdleConnections));
    nodeIndex_ = random_() % nodes_.size();
}

http::Client& ControllerClient::currentNode() {
    return *nodes_[nodeIndex_ % nodes_.size()];
}

Task<ControllerClient::SubmitResult> ControllerClient::submit(std::string body, Scope& scope) {
    const TimePoint deadline = loop_.now() + settings_.limits.timeout;
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    SubmitResult answer;
    while (!scope.cancelled()) {
        http::Request request{"POST", "/v1/jobs", body};
        http::Client& node = currentNode();
        const auto reply = co_await node.request(std::move(request), submitTimeout, scope);
        const int status = reply.answered ? reply.response.status : 0;
        if (status == 200 || status == 201) {
            answer.kind = SubmitResult::Kind::accepted;
            answer.text = stringMember(reply.response.body, "status");
            co_return answer;
        }
        if (status == 400 || status == 422) {
            answer.kind = SubmitResult::Kind::refused;
            answer.text = stringMember(reply.response.body, "error");
            if (answer.text.empty()) answer.text = "refused with status " + std::to_string(status);
            if (answer.text.size() > maxReasonLength) answer.text.resize(maxReasonLength);
            co_return answer;
        }
        ++nodeIndex_;
        ++retries_;
        const Duration requestedDelay =
            std::chrono::seconds(reply.answered ? reply.response.retryAfterS : 0);
        const Duration delay = fromSeconds(
            toSeconds(std::clamp(requestedDelay, minRetryDelay, maxRetryDelay)) * jitter(random_));
        if (loop_.now() + delay > deadline) co_return answer;
        co_await loop_.sleep(delay, scope);
    }
    co_return answer;
}

Task<ControllerClient::JobState> ControllerClient::query(std::string ref, Scope& scope) {
    http::Request request{"GET", "/v1/jobs/" + ref, ""};
    http::Client& node = currentNode();
    const auto reply = co_await node.request(std::move(request), queryTimeout, scope);
    JobState state;
    if (reply.answered && reply.response.status == 200) {
        state.status = stringMember(reply.response.body, "status");
        if (!state.status.empty()) state.kind = JobState::Kind::known;
    } else if (reply.answered && reply.response.status == 404) {
        state.kind = JobState::Kind::unknown;
    } else {
        ++nodeIndex_;
    }
    co_return state;
}

}  // namespace basaltchute::gateway
