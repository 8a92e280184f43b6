#pragma once
#include <functional>
#include <optional>

#include "autoscaler/autoscaler.h"
#include "http/client.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::autoscaler {

/// The cloud by its published protocol. Malformed answers count as no answer.
class CloudClient {
  public:
    /// `mayAct` is asked right before anything is sent: the right may have ended while a call
    /// waited for its turn.
    CloudClient(EventLoop& loop, const settings::Settings& settings, std::function<bool()> mayAct);
    Task<std::optional<Catalogue>> fetchCatalogue(Scope& scope);
    Task<std::optional<std::vector<ListedMachine>>> listMachines(Scope& scope);
    enum class Answer { ok, refused, unknown };
    struct ScaleOutResult {
        Answer answer = Answer::unknown;
        std::vector<std::string> names;
    };
    Task<ScaleOutResult> createMachines(ScaleOutRequest wanted, Scope& scope);
    /// True once the cloud has said that the machines and all on them are gone.
    Task<bool> deleteMachines(std::vector<std::string> names, Scope& scope);

  private:
    /// `reserve`: calls that are left in the budget for others.
    Task<http::RequestOutcome> send(http::Request request, Scope& scope, double reserve = 0);
    EventLoop& loop_;
    http::Client http_;
    RateLimiter calls_;
    std::function<bool()> mayAct_;
};

}  // namespace basaltchute::autoscaler
