#pragma once
#include <map>
#include <memory>
#include <set>

#include "http/client.h"
#include "http/server.h"
#include "json/json.h"
#include "simulator/cloud.h"
#include "simulator/history.h"
#include "worker_api/status_report.h"

namespace basaltchute::simulator {

/// What the workers of a site know alike, and what is stored outside of their machines.
struct AgentEnvironment {
    Duration report{}, lease{};
    std::vector<std::pair<std::string, std::string>> nodes;  // name and address of controllers
    std::map<std::string, double> progress;                  // saved seconds, by task
    std::set<std::string> results;                           // tasks that are done
    std::map<std::string, double> runS;                      // true run time, by job
    std::map<std::string, double> apart;  // how much longer its last task takes, in run times
    std::function<void(const std::string& report)> reported;  // one has left
    std::function<void(const std::string& job)> ended;        // all its tasks have results
    std::map<std::string, std::uint32_t> resultsOf;           // how many tasks of a job have
};

/// A worker by its published protocol, on a machine of its own.
class Agent {
  public:
    /// `former`: the process that it follows on the same machine. Its lease counts as over:
    /// messages are told older from newer by session and sequence, so they go on.
    Agent(Timeline& time, Machine& machine, Cloud::Host host, SimulatedMachineType type,
          AgentEnvironment& terms, History& history, const Agent* former = nullptr);
    /// The machine and all that is on it is gone; `power`: its connections are reset.
    void kill(bool power);
    /// It does not execute its tasks and says nothing, and goes on later.
    void hang(Duration span) { machine_.freeze(span); }
    /// Its reports go out, but neither answers nor commands come in; what was held back does later.
    void blockInbound(Duration span);
    /// It reaches no controller, while commands reach it.
    void blockOutbound(Duration span) {
        outboundBlockedUntil_ = std::max(outboundBlockedUntil_, now() + span);
    }
    /// What has its image and has not ended.
    [[nodiscard]] std::set<std::string> jobsOn() const;
    /// Commands, or their answers, are held up for a moment each; its reports go on.
    void holdCommands(Duration span) { holdUntil_ = std::max(holdUntil_, now() + span); }
    void noticeInterruption(Duration notice);
    void setFailing(bool sick) { failing_ = sick; }
    [[nodiscard]] bool gone() const { return gone_; }
    [[nodiscard]] const Cloud::Host& host() const { return host_; }

  private:
    struct RunningTask {
        std::string job;
        std::uint32_t task = 0;
        Attempt attempt = 0;
        worker_api::TaskStatus status = worker_api::TaskStatus::pulling;
        worker_api::ExitCause cause = worker_api::ExitCause::other;
        bool stored = false;
        bool on = false;
        TimePoint since{};         // running
        std::uint64_t serial = 0;  // changes when something else is to become of it
        [[nodiscard]] std::string id() const { return job + '/' + std::to_string(task); }
    };
    using Key = std::pair<std::string, Attempt>;  // task and attempt
    [[nodiscard]] TimePoint now() const { return machine_.clock().now(); }
    [[nodiscard]] bool inboundBlocked() const { return now() < inboundBlockedUntil_; }
    Task<void> sendHeartbeats();
    Task<http::Response> serve(http::Request request);
    http::Response command(const http::Request& request);
    Task<void> run(Key key, std::uint64_t serial);
    Task<void> save(Key key, std::uint64_t serial, Duration span);
    [[nodiscard]] std::string report();
    void execute(const json::Value& answer);
    void launch(const std::string& job, std::uint32_t task, Attempt attempt);
    void stop(const Key& key, Duration grace);
    void end(RunningTask& held, worker_api::ExitCause cause, bool stored);
    RunningTask* find(const Key& key, std::uint64_t serial);
    void renew(TimePoint sentAt);
    void endIncarnation();
    void change() {
        changed_ = true;
        wake_.notify();
    }
    void say(HistoryEvent::Kind kind, const RunningTask& held);

    Timeline& time_;
    Machine& machine_;
    Cloud::Host host_;
    SimulatedMachineType type_;
    AgentEnvironment& terms_;
    History& history_;
    EventLoop& loop_;
    Scope scope_;
    basaltchute::Event wake_;
    std::unique_ptr<http::Server> server_;
    std::map<Key, RunningTask> tasks_;
    std::map<std::string, TimePoint> images_;  // by when each is there
    std::uint64_t incarnation_ = 1, sequence_ = 0, serials_ = 0;
    FencingToken token_ = 0;
    TimePoint leaseEnd_{}, tokenSeenAt_{}, inboundBlockedUntil_{}, holdUntil_{},
        outboundBlockedUntil_{};
    std::optional<TimePoint> notice_;
    bool failing_ = false, gone_ = false, changed_ = false;
    std::size_t node_ = 0;
};

}  // namespace basaltchute::simulator
