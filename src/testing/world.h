#pragma once
// Stand-ins for the outside world, for tests only: a clock that tests turn, a state service and
// a cloud by their published protocols, and the values that tests feed to the pure parts.
#include <functional>
#include <map>
#include <set>
#include <string>

#include "http/client.h"
#include "http/server.h"
#include "jobs/codec.h"
#include "json/json.h"
#include "runtime/loop.h"
#include "scheduler/cluster.h"
#include "settings/settings.h"
#include "simulator/state_service.h"
#include "worker_api/status_report.h"

namespace basaltchute::testing {

/// A loop on a fake clock. `until` runs rounds; the clock moves only when nothing is left to do.
class World {
  public:
    FakeClock clock;
    EventLoop loop{clock};
    Scope scope{loop};
    bool until(const std::function<bool()>& done, Duration most = std::chrono::seconds(30));
    void run(Duration span);
    /// Ends a scope and waits until its routines have.
    void end(Scope& ending);
};

/// The lab's, on a test's loop.
class StateService : public simulator::StateService {
  public:
    explicit StateService(World& world) : simulator::StateService(world.loop, world.scope) {}
    using simulator::StateService::StateService;
};

class CloudService {
  public:
    explicit CloudService(World& world);
    [[nodiscard]] std::string address() const { return server_.address(); }
    std::set<std::string> deleted;
    std::vector<std::string> rentRequestIds;  // of requests to rent, all refused

  private:
    World& world_;
    http::Server server_;
};

/// A port that was free a moment ago, for settings that must name it beforehand; on an address of
/// this process alone, or tests that run beside it could take it meanwhile.
std::string freeAddress();

/// Plays the state service for a cluster: everything dirty is written and said to stand.
void commitAll(scheduler::Cluster& cluster, std::map<std::string, std::string>& records);

settings::Settings someSettings();
autoscaler::Catalogue someCatalogue();
std::string submission(const std::string& id, const std::string& extra = "");
JobSpec spec(const std::string& id, std::uint32_t tasks = 1);

/// A worker's side of the protocol, moved by hand.
struct Worker {
    worker_api::StatusReport report;
    explicit Worker(const std::string& name, const std::string& zone = "a", bool spot = false);
    /// The next report, with the tasks it now has.
    const worker_api::StatusReport& next() {
        ++report.sequence;
        return report;
    }
    void startIncarnation() {
        ++report.incarnation;
        report.tasks.clear();
    }
    void execute(const std::vector<worker_api::Command>& commands);
    void set(std::size_t task, worker_api::TaskStatus status,
             worker_api::ExitCause cause = worker_api::ExitCause::other) {
        report.tasks[task].status = status;
        report.tasks[task].cause = cause;
    }
};

}  // namespace basaltchute::testing
