#pragma once
#include <memory>

#include "autoscaler/autoscaler.h"
#include "autoscaler/cloud_client.h"
#include "kv_store/transaction_writer.h"
#include "leader_election/leader_election.h"
#include "scheduler/cluster.h"
#include "worker_api/command_sender.h"

namespace basaltchute::controller {

/// Everything that exists only while this node leads: made on election, ended on step-down.
/// Requests that wait on it hold it, so it outlives its duties but never acts after them.
class LeaderTerm : private kv_store::RecordSource, private kv_store::WriteObserver {
  public:
    struct Hooks {
        worker_api::CommandSender::Relay relay;
        std::function<void()> loaded;  // from now on requests can be answered
        std::function<bool(const std::string&)> peerConnected;  // whether that node does
        Duration timeSinceUse{};  // of a delegation that this node held
        /// No node that might lead next is known not to read that format of the stored state.
        std::function<bool(unsigned format)> allSupportFormat;
    };
    LeaderTerm(EventLoop& loop, const settings::Settings& settings,
               const settings::OperatorSettings& operatorSettings, kv_store::Client& state,
               LeaderElection& leadership, kv_store::Precondition guard, Hooks hooks);
    void start();
    Task<void> end() { return scope_.cancelAndWait(); }
    /// This process leads, and it is still by this election: elected again within a moment it has
    /// the right to act, and what an earlier leadership of it knew is old.
    [[nodiscard]] bool mayAct() const {
        return election_.leaseValid() && election_.token() == cluster_.token();
    }
    [[nodiscard]] bool ready() const { return loaded_ && mayAct(); }
    [[nodiscard]] bool loaded() const { return loaded_; }

    Task<http::Response> submit(std::string body);
    Task<http::Response> query(JobId id);
    Task<http::Response> cancel(JobId id);
    http::Response handleHeartbeat(const worker_api::StatusReport& report);
    /// The right to answer for this leader while it is silent; nothing as long as the records are
    /// not loaded. `delegates`: every node understands what that means.
    std::optional<lease_delegation::Delegation> delegate(
        const lease_delegation::DelegationRequest& question, bool delegates);
    /// What this node lent to itself: how late it may answer its zone's workers without the right.
    [[nodiscard]] TimePoint delegatedToSelf() const {
        return delegator_.delegationEndOf(settings_.node);
    }
    [[nodiscard]] const scheduler::Cluster& cluster() const { return cluster_; }
    [[nodiscard]] std::size_t backlog() const { return writer_.backlog(); }
    [[nodiscard]] http::Response serviceUnavailable() const;

  private:
    Task<void> load();
    Task<void> runScheduler();
    [[nodiscard]] worker_api::CommandSender::Target target(MachineIndex machine) const;
    Task<void> sendDirectCommands(MachineIndex machine);
    /// Takes in a report that came as an answer; false if it made this node step down.
    bool applyAnsweredReport(const std::string& body);
    /// Asks a silent machine for a report, several times in a row: dead ones are told from late
    /// ones within a second or two.
    Task<void> probe(MachineIndex machine);
    /// Asks a machine that reports without hearing; its silence is no evidence that it is dead.
    Task<void> probeInbound(MachineIndex machine);
    Task<void> runAutoscaler();
    /// Zones whose machines and controllers are silent alike.
    void detectAwayZones();
    /// The record of a job or of the runtime statistics.
    std::optional<kv_store::EncodedRecord> encode(const std::string& key) override;
    void onCommitted(const std::string& key, std::uint64_t version) override;
    void onWriteFailed() override { recordWritten_.notify(); }
    void onFenced() override;
    kv_store::TooLargeAction onTooLarge(const std::string& key, std::size_t bytes) override;
    /// What was learnt goes on record now and then, for the next leader.
    Task<void> persistStatistics();
    Task<void> loadStatistics();
    Task<void> scaleOut(autoscaler::ScaleOutRequest wanted);
    /// Keeps up with the cloud's catalogue and list of machines.
    Task<void> pollCloud();
    /// Waits for a fact to stand in the state service; false if it cannot soon.
    template <typename Fact>
    Task<bool> waitUntilDurable(Fact fact);
    void wakeScheduler();
    void flush();
    /// May be written by now what only version 2 of the stored state holds.
    Task<bool> enablePages();
    Task<void> raiseFormat();
    Task<std::optional<http::Response>> checkDependencies(const JobSpec& spec);

    EventLoop& loop_;
    const settings::Settings& settings_;
    kv_store::Client& store_;
    LeaderElection& election_;
    Scope scope_;
    Event recordWritten_, schedulerWoken_, machineUnresponsive_;
    lease_delegation::Delegator delegator_;
    scheduler::Cluster cluster_;
    kv_store::TransactionWriter writer_;
    autoscaler::CloudClient cloud_;
    autoscaler::Autoscaler autoscaler_;
    worker_api::CommandSender commandSender_;
    std::set<MachineIndex> probing_;
    std::function<void()> onLoaded_;
    std::function<bool(const std::string&)> peerConnected_;
    std::function<bool(unsigned)> allSupportFormat_;
    bool loaded_ = false, schedulePending_ = false, raisingFormat_ = false;
};

}  // namespace basaltchute::controller
