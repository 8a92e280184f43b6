#pragma once
#include <map>
#include <memory>
#include <set>

#include "http/client.h"
#include "http/server.h"
#include "json/json.h"
#include "lab/cloud.h"
#include "lab/history.h"
#include "workers/report.h"

namespace basaltchute::lab {

/// What the workers of a site know alike, and what is stored outside of their machines.
struct WorkerTerms {
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
class Worker {
  public:
    /// `former`: the process that it follows on the same machine. Its lease counts as over:
    /// messages are told older from newer by session and sequence, so they go on.
    Worker(Timeline& time, Machine& machine, Cloud::Host host, TypeTerms type, WorkerTerms& terms,
           History& history, const Worker* former = nullptr);
    /// The machine and all that is on it is gone; `power`: its connections are reset.
    void kill(bool power);
    /// It does not execute its tasks and says nothing, and goes on later.
    void hang(Duration span) { machine_.freeze(span); }
    /// Its reports go out, but neither answers nor commands come in; what was held back does later.
    void deafen(Duration span);
    /// It reaches no controller, while commands reach it.
    void mute(Duration span) { muteUntil_ = std::max(muteUntil_, now() + span); }
    /// What has its image and has not ended.
    [[nodiscard]] std::set<std::string> jobsOn() const;
    /// Commands, or their answers, are held up for a moment each; its reports go on.
    void holdCommands(Duration span) { holdUntil_ = std::max(holdUntil_, now() + span); }
    void recall(Duration notice);
    void setSick(bool sick) { sick_ = sick; }
    [[nodiscard]] bool gone() const { return gone_; }
    [[nodiscard]] const Cloud::Host& host() const { return host_; }

  private:
    struct Held {
        std::string job;
        std::uint32_t task = 0;
        Attempt attempt = 0;
        workers::TaskStatus status = workers::TaskStatus::pulling;
        workers::ExitCause cause = workers::ExitCause::other;
        bool stored = false;
        bool on = false;
        TimePoint since{};         // running
        std::uint64_t serial = 0;  // changes when something else is to become of it
        [[nodiscard]] std::string id() const { return job + '/' + std::to_string(task); }
    };
    using Key = std::pair<std::string, Attempt>;  // task and attempt
    [[nodiscard]] TimePoint now() const { return machine_.clock().now(); }
    [[nodiscard]] bool deaf() const { return now() < deafUntil_; }
    Task<void> beat();
    Task<http::Response> serve(http::Request request);
    http::Response command(const http::Request& request);
    Task<void> run(Key key, std::uint64_t serial);
    Task<void> save(Key key, std::uint64_t serial, Duration span);
    [[nodiscard]] std::string report();
    void execute(const json::Value& answer);
    void launch(const std::string& job, std::uint32_t task, Attempt attempt);
    void stop(const Key& key, Duration grace);
    void end(Held& held, workers::ExitCause cause, bool stored);
    Held* find(const Key& key, std::uint64_t serial);
    void renew(TimePoint sentAt);
    void endSession();
    void change() {
        changed_ = true;
        wake_.notify();
    }
    void say(Fact::Kind kind, const Held& held);

    Timeline& time_;
    Machine& machine_;
    Cloud::Host host_;
    TypeTerms type_;
    WorkerTerms& terms_;
    History& history_;
    Loop& loop_;
    Scope scope_;
    basaltchute::Event wake_;
    std::unique_ptr<http::Server> server_;
    std::map<Key, Held> held_;
    std::map<std::string, TimePoint> images_;  // by when each is there
    std::uint64_t session_ = 1, sequence_ = 0, serials_ = 0;
    FencingToken token_ = 0;
    TimePoint leaseEnd_{}, tokenToldAt_{}, deafUntil_{}, holdUntil_{}, muteUntil_{};
    std::optional<TimePoint> notice_;
    bool sick_ = false, gone_ = false, changed_ = false;
    std::size_t node_ = 0;
};

}  // namespace basaltchute::lab
