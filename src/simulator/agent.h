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

// The simulated worker agent. Simulation starts one on each machine that the cloud has booted.

namespace basaltchute::simulator {

/// Configuration that all agents of a site share, and state that is stored outside their machines.
struct AgentEnvironment {
    Duration reportInterval{}, lease{};
    std::vector<std::pair<std::string, std::string>> nodes;  // name and address of controllers
    std::map<std::string, double> savedProgressS;            // checkpointed run time, by task
    std::set<std::string> completedTasks;
    std::map<std::string, double> trueRuntimeS;               // by job
    std::map<std::string, double> lastTaskExtraRuntime;       // by job, as a share of its run time
    std::function<void(const std::string& report)> onReport;  // called as a report is sent
    std::function<void(const std::string& job)> onJobCompleted;  // all tasks are completed
    /// Called once direct commands are executed, with the body of their request.
    std::function<void(const std::string& machine, const std::string& body)> onCommandsExecuted;
    std::map<std::string, std::uint32_t> completedTaskCounts;  // by job
};

/// A worker agent that speaks the published worker protocol, on its own simulated machine: it sends
/// heartbeats with status reports and executes commands.
class Agent {
  public:
    /// `former`: the previous agent process on the same machine, if any. The new one continues its
    /// incarnation and sequence numbers, by which controllers order messages, and counts the lease
    /// of the former as ended.
    Agent(Timeline& time, Machine& machine, Cloud::Host host, SimulatedMachineType type,
          AgentEnvironment& environment, History& history, const Agent* former = nullptr);
    /// Removes the machine with everything on it. `power`: its connections are closed; otherwise
    /// they fall silent.
    void kill(bool power);
    /// Suspends the agent and its tasks for `span`.
    void hang(Duration span) { machine_.freeze(span); }
    /// Reports go out, but no responses or commands come in. Commands are delivered afterwards.
    void blockInbound(Duration span);
    /// The agent reaches no controller, while commands still reach it.
    void blockOutbound(Duration span) {
        outboundBlockedUntil_ = std::max(outboundBlockedUntil_, now() + span);
    }
    /// Jobs with a task that is executing here.
    [[nodiscard]] std::set<std::string> jobsOn() const;
    /// Delays each command, or its response, by up to 8 s; reports are sent as usual.
    void delayCommands(Duration span) {
        commandsDelayedUntil_ = std::max(commandsDelayedUntil_, now() + span);
    }
    /// A copy of a direct request with that body arrives. Nobody receives its response.
    void receiveCopy(const std::string& body);
    /// Announces that the spot machine will be reclaimed after `notice`.
    void noticeInterruption(Duration notice);
    /// While set, each task that starts fails after 1 s.
    void setFailing(bool failing) { failing_ = failing; }
    [[nodiscard]] bool gone() const { return gone_; }
    [[nodiscard]] const Cloud::Host& host() const { return host_; }

  private:
    struct RunningTask {
        std::string job;
        std::uint32_t task = 0;
        Attempt attempt = 0;
        worker_api::TaskStatus status = worker_api::TaskStatus::pulling;
        worker_api::ExitCause cause = worker_api::ExitCause::other;
        bool checkpointed = false;
        bool executing = false;
        TimePoint startedAt{};         // start of execution
        std::uint64_t generation = 0;  // invalidates coroutines of an earlier state
        [[nodiscard]] std::string id() const { return job + '/' + std::to_string(task); }
    };
    using Key = std::pair<std::string, Attempt>;  // task and attempt
    [[nodiscard]] TimePoint now() const { return machine_.clock().now(); }
    [[nodiscard]] bool inboundBlocked() const { return now() < inboundBlockedUntil_; }
    Task<void> sendHeartbeats();
    Task<http::Response> serve(http::Request request);
    Task<void> executeCopy(std::string body);
    http::Response command(const http::Request& request);
    /// Executes direct commands, unless their token or incarnation is outdated.
    http::Response executeCommands(const std::string& body);
    Task<void> run(Key key, std::uint64_t generation);
    Task<void> save(Key key, std::uint64_t generation, Duration span);
    [[nodiscard]] std::string report();
    void execute(const json::Value& answer);
    void launch(const std::string& job, std::uint32_t task, Attempt attempt);
    void stop(const Key& key, Duration grace);
    void end(RunningTask& running, worker_api::ExitCause cause, bool checkpointed);
    RunningTask* find(const Key& key, std::uint64_t generation);
    void renew(TimePoint sentAt);
    void endIncarnation();
    void reportSoon() {
        changed_ = true;
        wake_.notify();
    }
    void recordEvent(HistoryEvent::Kind kind, const RunningTask& running);

    Timeline& time_;
    Machine& machine_;
    Cloud::Host host_;
    SimulatedMachineType type_;
    AgentEnvironment& environment_;
    History& history_;
    EventLoop& loop_;
    Scope scope_;
    basaltchute::Event wake_;
    std::unique_ptr<http::Server> server_;
    std::map<Key, RunningTask> tasks_;
    std::map<std::string, TimePoint> images_;  // time at which each is downloaded
    std::uint64_t incarnation_ = 1, sequence_ = 0, lastGeneration_ = 0;
    FencingToken token_ = 0;
    TimePoint leaseEnd_{}, tokenSeenAt_{}, inboundBlockedUntil_{}, commandsDelayedUntil_{},
        outboundBlockedUntil_{};
    std::optional<TimePoint> notice_;
    bool failing_ = false, gone_ = false, changed_ = false;
    std::size_t node_ = 0;
};

}  // namespace basaltchute::simulator
