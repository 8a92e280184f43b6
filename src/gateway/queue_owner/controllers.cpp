#include "gateway/queue_owner/controllers.h"

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Duration submitTimeout = 5s, queryTimeout = 2s;  // as the protocol gives users
constexpr Duration leastPause = 1s, mostPause = 30s;
constexpr std::size_t keptConnections = 16;  // to each node
constexpr std::size_t longestReason = 100;

std::string memberOf(const std::string& body, const char* name) {
    const auto doc = json::parse(body);
    return doc && doc->IsObject() ? json::string(*doc, name).value_or("") : "";
}

}  // namespace

ControllerClient::ControllerClient(EventLoop& loop, const Settings& settings, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      polls_(settings.limits.pollsPerSecond, std::max(1.0, settings.limits.pollsPerSecond),
             loop.now()),
      random_(seed) {
    for (const auto& address : settings.controllers)
        nodes_.push_back(std::make_unique<http::Client>(loop, address, keptConnections));
    at_ = random_() % nodes_.size();
}

http::Client& ControllerClient::next() {
    return *nodes_[at_ % nodes_.size()];
}

Task<ControllerClient::Answer> ControllerClient::submit(std::string body, Scope& scope) {
    const TimePoint until = loop_.now() + settings_.limits.timeout;
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    Answer answer;
    while (!scope.cancelled()) {
        http::Request request{"POST", "/v1/jobs", body};
        http::Client& node = next();
        const auto o = co_await node.request(std::move(request), submitTimeout, scope);
        const int status = o.answered ? o.response.status : 0;
        if (status == 200 || status == 201) {
            answer.kind = Answer::Kind::accepted;
            answer.text = memberOf(o.response.body, "status");
            co_return answer;
        }
        if (status == 400 || status == 422) {
            answer.kind = Answer::Kind::refused;
            answer.text = memberOf(o.response.body, "error");
            if (answer.text.empty()) answer.text = "refused with status " + std::to_string(status);
            if (answer.text.size() > longestReason) answer.text.resize(longestReason);
            co_return answer;
        }
        ++at_;
        ++retries_;
        const Duration asked = std::chrono::seconds(o.answered ? o.response.retryAfterS : 0);
        const Duration pause =
            fromSeconds(toSeconds(std::clamp(asked, leastPause, mostPause)) * jitter(random_));
        if (loop_.now() + pause > until) co_return answer;
        co_await loop_.sleep(pause, scope);
    }
    co_return answer;
}

Task<ControllerClient::State> ControllerClient::query(std::string ref, Scope& scope) {
    http::Request request{"GET", "/v1/jobs/" + ref, ""};
    http::Client& node = next();
    const auto o = co_await node.request(std::move(request), queryTimeout, scope);
    State state;
    if (o.answered && o.response.status == 200) {
        state.status = memberOf(o.response.body, "status");
        if (!state.status.empty()) state.kind = State::Kind::known;
    } else if (o.answered && o.response.status == 404) {
        state.kind = State::Kind::unknown;
    } else {
        ++at_;
    }
    co_return state;
}

}  // namespace basaltchute::gateway
