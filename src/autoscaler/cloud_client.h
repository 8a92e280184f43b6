#pragma once
// Client of the cloud's HTTP API: reads the catalogue and the list of machines, creates and deletes
// machines. Called by the leader's term (`controller::LeaderTerm`).
#include <functional>
#include <optional>

#include "autoscaler/autoscaler.h"
#include "http/client.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::autoscaler {

/// Calls the cloud, within its limit on the rate of calls. A malformed answer counts as none. A
/// call waits until the limit allows it, and is dropped when its scope is cancelled.
class CloudClient {
  public:
    /// `mayAct`: whether this node still leads. It is asked right before each call is sent, since
    /// leadership may have ended while the call waited for its turn. The loop must live as long as
    /// the client.
    CloudClient(EventLoop& loop, const settings::Settings& settings, std::function<bool()> mayAct);
    /// Reads the catalogue of machine types. Nothing if there was no valid answer.
    Task<std::optional<Catalogue>> fetchCatalogue(Scope& scope);
    /// Lists all machines, page by page. Nothing if there was no valid answer to one of the pages.
    Task<std::optional<std::vector<ListedMachine>>> listMachines(Scope& scope);
    /// The outcome of a request for machines. `refused`: nothing was created. `unknown`: machines
    /// may have been created; repeating the request under the same ID tells.
    enum class Answer { ok, refused, unknown };
    struct ScaleOutResult {
        Answer answer = Answer::unknown;
        std::vector<std::string> names;  // of the machines created, perhaps fewer than requested
    };
    Task<ScaleOutResult> createMachines(ScaleOutRequest wanted, Scope& scope);
    /// Deletes machines. True once the cloud has confirmed that the machines and everything on them
    /// are gone.
    Task<bool> deleteMachines(std::vector<std::string> names, Scope& scope);

  private:
    /// Sends a call once the rate limit allows it. `reserve`: calls that must be left in the budget
    /// for more urgent ones.
    Task<http::RequestOutcome> send(http::Request request, Scope& scope, double reserve = 0);
    EventLoop& loop_;
    http::Client http_;
    RateLimiter calls_;
    std::function<bool()> mayAct_;
};

}  // namespace basaltchute::autoscaler
