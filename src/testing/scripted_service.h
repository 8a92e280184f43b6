#pragma once
// A scripted HTTP service for tests that pin literal requests, and a way to run one call to its
// end on a test's loop.
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "testing/world.h"

namespace basaltchute::testing {

/// Answers each request by a script and records what was asked, as "METHOD target body" with the
/// body left out where there is none.
class ScriptedService {
  public:
    using Script = std::function<http::Response(const http::Request&)>;
    explicit ScriptedService(World& world, Script script = {})
        : script_(std::move(script)),
          server_(world.loop, "127.0.0.1:0", {},
                  [this](http::Request request) { return handle(std::move(request)); }) {
        server_.start(world.scope);
    }
    [[nodiscard]] std::string address() const { return server_.address(); }
    void setScript(Script script) { script_ = std::move(script); }
    /// From now on every request gets this response.
    void answer(int status, std::string body) {
        script_ = [status, body = std::move(body)](const http::Request&) {
            return http::Response{status, body};
        };
    }
    /// The requests recorded since the last call.
    std::vector<std::string> takeRequests() { return std::exchange(requests_, {}); }

  private:
    Task<http::Response> handle(http::Request request) {
        requests_.push_back(request.method + ' ' + request.target +
                            (request.body.empty() ? "" : ' ' + request.body));
        co_return script_(request);
    }
    Script script_;
    std::vector<std::string> requests_;
    http::Server server_;
};

/// Runs a call that gives a result to its end.
template <typename T>
T finish(World& world, Task<T> call) {
    std::optional<T> result;
    world.loop.spawn([](Task<T> running, std::optional<T>& out) -> Task<void> {
        T value = co_await running;
        out.emplace(std::move(value));
    }(std::move(call), result));
    world.until([&] { return result.has_value(); });
    return std::move(result).value();
}

/// Runs a call without a result to its end.
inline void finish(World& world, Task<void> call) {
    bool done = false;
    world.loop.spawn([](Task<void> running, bool& flag) -> Task<void> {
        co_await running;
        flag = true;
    }(std::move(call), done));
    world.until([&] { return done; });
}

}  // namespace basaltchute::testing
