#pragma once
// Everything that exists only while this node leads: made on election, ended on step-down. Owns the
// cluster's state, the writer of its records, and the routines that schedule, scale, probe and
// answer users and workers. Guarantees that nothing leaves once the node may not act any more.
// Made, called and ended by `Controller`.
#include <memory>

#include "controller/job_requests.h"
#include "controller/term_autoscaling.h"
#include "controller/term_effects.h"

namespace basaltchute::controller {

/// One term of a leader. Requests that wait on it keep it alive, so it outlives its routines but
/// never acts after them.
class LeaderTerm {
  public:
    /// `guard`: holds only as long as this term's leader key stands. `sinceDelegationUse`: how long
    /// ago this node last answered as a delegate. What is passed by reference outlives the term.
    LeaderTerm(EventLoop& loop, const settings::Settings& settings,
               const settings::Operator& operatorSettings, kv_store::Client& state,
               LeaderElection& leadership, kv_store::Precondition guard,
               Duration sinceDelegationUse, LeaderTermEnvironment& environment);
    /// Loads all records, then starts every routine.
    void start();
    /// Ends every routine. Requests that wait are refused.
    Task<void> end() { return scope_.cancelAndWait(); }
    /// This process leads, and still by the election that this term began with.
    [[nodiscard]] bool mayAct() const { return context_.mayAct(); }
    /// Requests can be answered: all records are loaded and this node may act.
    [[nodiscard]] bool ready() const { return context_.ready(); }
    [[nodiscard]] bool loaded() const { return context_.loaded; }

    /// Users' requests: see `JobRequests`.
    Task<http::Response> submit(std::string body) { return requests_.submit(std::move(body)); }
    Task<http::Response> query(JobId id) { return requests_.query(std::move(id)); }
    Task<http::Response> cancel(JobId id) { return requests_.cancel(std::move(id)); }
    /// 200 with the commands for the machine (none until all records are loaded); 503 if this node
    /// may not act.
    http::Response handleHeartbeat(const worker_api::StatusReport& report);
    /// A delegation of the right to answer workers while this leader is silent; empty until all
    /// records are loaded. `delegates`: every node understands delegations; otherwise nothing is
    /// delegated, and what the request says still counts.
    std::optional<lease_delegation::Delegation> delegate(
        const lease_delegation::DelegationRequest& request, bool delegates);
    /// What this node delegated to itself: how late it may answer its zone's workers after its
    /// lease has ended.
    [[nodiscard]] TimePoint delegatedToSelf() const {
        return delegator_.delegationEndOf(settings_.node);
    }
    [[nodiscard]] const scheduler::Cluster& cluster() const { return cluster_; }
    /// Records that wait to be written.
    [[nodiscard]] std::size_t backlog() const { return writer_.backlog(); }

  private:
    Task<void> load();
    void applyRecords(const std::vector<kv_store::KeyValue>& records);
    void startRoutines();
    Task<void> runScheduler();
    /// One pass of the scheduler, and what follows from it.
    void schedule();
    /// The record of that key as it is to be written: of jobs, or of statistics.
    std::optional<kv_store::EncodedRecord> encode(const std::string& key);
    void wakeScheduler() { context_.wakeScheduler(); }

    EventLoop& loop_;
    const settings::Settings& settings_;
    kv_store::Client& store_;
    LeaderElection& election_;
    Scope scope_;
    Event recordWritten_, schedulerWoken_;
    lease_delegation::Delegator delegator_;
    scheduler::Cluster cluster_;
    kv_store::TransactionWriter writer_;
    LeaderTermContext context_;
    MachineCommands commands_;
    TermEffects effects_;
    JobRequests requests_;
    TermAutoscaling autoscaling_;
};

}  // namespace basaltchute::controller
