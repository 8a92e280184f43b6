#include "testing/world.h"

#include <unistd.h>

#include <algorithm>

namespace basaltchute::testing {

using namespace std::chrono_literals;

bool World::until(const std::function<bool()>& done, Duration most) {
    const TimePoint end = clock.now() + most;
    int quiet = 0;
    while (!done()) {
        if (loop.runOnce(Duration::zero())) {
            quiet = 0;
            continue;
        }
        // Loopback delivers within the sending call; a second empty round means all is quiet.
        if (++quiet < 2) continue;
        if (clock.now() >= end) return false;
        clock.advance(5ms);
    }
    return true;
}
void World::run(Duration span) {
    const TimePoint end = clock.now() + span;
    until([&] { return clock.now() >= end; }, span + 1s);
}

void World::end(Scope& ending) {
    bool done = false;
    loop.spawn([](Scope& s, bool& flag) -> Task<void> {
        co_await s.cancelAndWait();
        flag = true;
    }(ending, done));
    until([&] { return done; });
}

std::string freeAddress() {
    const FakeClock clock;
    EventLoop loop(clock);
    const auto id = static_cast<unsigned>(::getpid());
    const auto part = [&](unsigned shift) { return std::to_string(id >> shift & 0xffU); };
    const std::string net = "127." + std::to_string(1 + (id >> 16 & 0x7fU)) + '.';
    // The system may hand out a port again that nobody listens on yet.
    static std::set<std::string> handedOut;
    while (true) {
        auto address = Listener(loop, net + part(8) + '.' + part(0) + ":0").address();
        if (handedOut.insert(address).second) return address;
    }
}

void commitAll(scheduler::Cluster& cluster, std::map<std::string, std::string>& records) {
    for (auto e = cluster.takeEffects(); !e.dirtyRecords.empty(); e = cluster.takeEffects())
        for (const auto& d : e.dirtyRecords) {
            const auto encoded = cluster.encode(d.first);
            if (!encoded) continue;
            records[d.first] = encoded->data;
            cluster.onRecordCommitted(d.first, encoded->version);
        }
}

CloudService::CloudService(World& world)
    : world_(world),
      server_(world.loop, "127.0.0.1:0", {}, [this](http::Request r) -> Task<http::Response> {
          if (r.target == "/catalog")
              co_return http::Response{
                  200,
                  R"({"rigs":[{"sku":"box","cores":8,"gpus":0,"ramGb":32,"localGb":50,"fetchGbPerS":1,
                      "rate":1,"marketPrice":0.3,"readyS":20,"halls":["a","b"]}]})"};
          if (r.target == "/hosts/delete") {
              const auto doc = json::parse(r.body);
              for (const auto& h : (*doc)["hosts"].GetArray()) deleted.insert(h.GetString());
              co_return http::Response{200, "{}"};
          }
          if (r.method == "POST") {
              const auto doc = json::parse(r.body);
              rentRequestIds.push_back(json::string(*doc, "booking").value_or(""));
          }
          if (r.method == "POST") co_return http::Response{503, R"({"error":"no capacity"})"};
          co_return http::Response{200, R"({"hosts":[],"truncated":false})"};
      }) {
    server_.start(world.scope);
}

settings::Settings someSettings() {
    settings::Settings s;
    s.node = "rig-0";
    s.zone = "a";
    s.listenAddress = s.peerListenAddress = "127.0.0.1:0";
    s.cloudAddress = s.stateAddress = "127.0.0.1:1";
    s.zones = {"a", "b"};
    s.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 16, 0, 0}};
    s.heartbeatInterval = 2500ms;
    s.lease = 16s;
    s.cancelWithin = 41s;
    s.stateRps = 200;
    s.stateWriteRps = 100;
    s.valueBytes = s.valueBytesNow = std::size_t{16} * 1024;
    s.txnOps = 20;
    s.cloudRps = 10;
    s.cloudListLag = 8s;
    s.maxSockets = 500;
    return s;
}
autoscaler::Catalogue someCatalogue() {
    autoscaler::MachineType t;
    t.name = "box";
    t.capacity = {8, 0, 32};
    t.fetchGbPerS = 1;
    t.price = 1;
    t.spotPrice = 0.3;
    t.bootTime = 20s;
    t.zones = {"a", "b"};
    return {{"box", t}};
}
std::string submission(const std::string& id, const std::string& extra) {
    return R"({"ref":")" + id +
           R"(","category":"c","crew":"red","shape":"array","rank":"normal","splits":2,"cores":4.0,)"
           R"("gpus":0.0,"ramGb":4.0,"build":"img","sizeGb":1.0,"rigs":null,"hall":null,)"
           R"("together":false,"spread":false,"loaners":true,"parS":10.0,"savepointS":0.0,)"
           R"("flushS":0.0,"cutoffS":null)" +
           extra + "}";
}
JobSpec spec(const std::string& id, std::uint32_t tasks) {
    auto s = std::get<JobSpec>(jobs::parseSubmission(submission(id)));
    s.tasks = tasks;
    return s;
}

Worker::Worker(const std::string& name, const std::string& zone, bool spot) {
    report.machine = name;
    report.address = "127.0.0.1:1";
    report.type = "box";
    report.zone = zone;
    report.spot = spot;
    report.incarnation = 1;
}
void Worker::execute(const std::vector<worker_api::Command>& commands) {
    using worker_api::TaskStatus;
    for (const worker_api::Command& command : commands) {
        const worker_api::TaskAttempt& target = worker_api::attemptOf(command);
        const auto it = std::find_if(report.tasks.begin(), report.tasks.end(), [&](const auto& t) {
            return worker_api::TaskAttempt{t.job, t.task, t.attempt} == target;
        });
        const bool known = it != report.tasks.end();
        if (std::holds_alternative<worker_api::LaunchTask>(command) && !known)
            report.tasks.push_back({target.job, target.task, target.attempt, TaskStatus::running,
                                    worker_api::ExitCause::other, false});
        if (std::holds_alternative<worker_api::StopTask>(command) && known &&
            it->status != TaskStatus::exited) {
            it->status = TaskStatus::exited;
            it->cause = worker_api::ExitCause::stopped;
        }
        if (std::holds_alternative<worker_api::ForgetTask>(command) && known)
            report.tasks.erase(it);
    }
}

}  // namespace basaltchute::testing
