#pragma once
// One term of leadership: everything that a controller does only while it is the leader.
//
// Connects the scheduler (`scheduler::Cluster`, which decides and does no input or output) with the
// outside: loads the stored records and writes changed ones, answers users' requests and agents'
// heartbeats, sends commands to agents, runs the autoscaler against the cloud, and issues lease
// delegations to other controllers. Created and ended by `Controller`, on its event loop.
#include <memory>

#include "autoscaler/autoscaler.h"
#include "autoscaler/cloud_client.h"
#include "kv_store/transaction_writer.h"
#include "leader_election/leader_election.h"
#include "scheduler/cluster.h"
#include "worker_api/command_sender.h"

namespace basaltchute::controller {

/// Created when this node is elected and ended when it steps down. Requests in flight share
/// ownership of it, so it may outlive the leadership, but it does not act once mayAct() is false.
class LeaderTerm : private kv_store::RecordSource, private kv_store::WriteObserver {
  public:
    /// What the term needs from its controller.
    struct Hooks {
        /// Sends a request to an agent through another controller.
        worker_api::CommandSender::Relay relay;
        /// Called once all records are loaded: from then on requests can be answered.
        std::function<void()> onLoaded;
        /// Whether this node is connected to the named peer.
        std::function<bool(const std::string&)> peerConnected;
        /// How long ago this node last answered an agent by a delegation.
        Duration timeSinceDelegationUse{};
        /// Whether every peer can read the given format of the stored state. Peers that have been
        /// silent for long are ignored.
        std::function<bool(unsigned format)> peersSupportFormat;
    };
    /// Everything passed by reference must outlive the term. `fence` is a precondition of every
    /// write; it fails once another node has been elected.
    LeaderTerm(EventLoop& loop, const settings::Settings& settings,
               const settings::OperatorSettings& operatorSettings, kv_store::Client& store,
               LeaderElection& election, kv_store::Precondition fence, Hooks hooks);
    /// Loads the stored records, and starts the leader's duties once they are loaded.
    void start();
    /// Cancels every duty and returns when all have ended.
    Task<void> end() { return scope_.cancelAndWait(); }
    /// Whether this node leads and this is its current term. A term of an earlier election may not
    /// act even if the node has been elected again, because its state is outdated.
    [[nodiscard]] bool mayAct() const {
        return election_.leaseValid() && election_.token() == cluster_.token();
    }
    /// Whether requests can be answered: the records are loaded, and the term may act.
    [[nodiscard]] bool ready() const { return loaded_ && mayAct(); }
    /// Whether all stored records have been loaded.
    [[nodiscard]] bool loaded() const { return loaded_; }

    /// Accepts a job; `body` is the submission as JSON. Answers 201 once the acceptance is durable,
    /// 200 if the job was known already, 400 or 422 if the submission is invalid, and 503 with
    /// Retry-After if it cannot be accepted now.
    Task<http::Response> submit(std::string body);
    /// The job's status; 404 if there is no such job, and 503 while its acceptance is not durable.
    /// Reporting a cancellation acknowledges it.
    Task<http::Response> query(JobId id);
    /// Cancels a job. Answers 200 once the cancellation (or the job's earlier end) is durable and
    /// may be acknowledged, 404 if there is no such job, and 503 with Retry-After until then.
    Task<http::Response> cancel(JobId id);
    /// Applies an agent's heartbeat and answers it with the commands for that machine; 503 if the
    /// term may not act. Before the records are loaded the answer has no commands.
    http::Response handleHeartbeat(const worker_api::StatusReport& report);
    /// Answers a node's request for a delegation, the right to answer heartbeats while this leader
    /// is silent. Returns nothing while the term is not ready. `peersSupportDelegations`: whether
    /// all connected peers support delegations, and so would take this one into account if they
    /// lead next; otherwise nothing new is delegated.
    std::optional<lease_delegation::Delegation> handleDelegationRequest(
        const lease_delegation::DelegationRequest& request, bool peersSupportDelegations);
    /// Until when this node may go on answering the heartbeats of its zone's agents after its
    /// leadership has ended, by the delegation that it issued to itself.
    [[nodiscard]] TimePoint selfDelegationEnd() const {
        return delegator_.delegationEndOf(settings_.node);
    }
    [[nodiscard]] const scheduler::Cluster& cluster() const { return cluster_; }
    /// Records that wait to be written.
    [[nodiscard]] std::size_t writeBacklog() const { return writer_.backlog(); }
    /// A 503 response whose Retry-After follows from the write backlog.
    [[nodiscard]] http::Response serviceUnavailable() const;

  private:
    Task<void> load();
    Task<void> runScheduler();
    [[nodiscard]] worker_api::CommandSender::Target commandTarget(MachineIndex machine) const;
    /// Sends the machine its pending commands, until there are none or it does not answer.
    Task<void> sendDirectCommands(MachineIndex machine);
    /// Applies the status report in an agent's response; false if the report made this node step
    /// down.
    bool applyReportInResponse(const std::string& body);
    /// Asks a silent machine for a report, several times in a row, so that within one or two
    /// seconds a dead machine can be distinguished from one whose heartbeat is late.
    Task<void> probeSilentMachine(MachineIndex machine);
    /// Asks for a report from a machine whose heartbeats arrive but which does not act on the
    /// responses. An unanswered probe does not count as evidence that the machine is dead.
    Task<void> probeInboundPartition(MachineIndex machine);
    Task<void> runAutoscaler();
    /// Tells the cluster which zones are cut off: neither their agents nor their controllers can be
    /// reached.
    void updateUnreachableZones();
    /// Encodes the record to store under the key: one of a job, or one with runtime statistics.
    std::optional<kv_store::EncodedRecord> encode(const std::string& key) override;
    void onCommitted(const std::string& key, std::uint64_t version) override;
    void onWriteFailed() override { recordWritten_.notify(); }
    void onFenced() override;
    kv_store::RefusedRecordAction onRecordRefused(const kv_store::RefusedRecord& record) override;
    /// Writes changed runtime statistics at intervals, for the next leader.
    Task<void> persistStatistics();
    Task<void> loadStatistics();
    Task<void> scaleOut(autoscaler::ScaleOutRequest request);
    /// Keeps the machine catalogue and the list of machines up to date with the cloud.
    Task<void> pollCloud();
    /// Waits until `isDurable` holds for the job; false as soon as the state service refuses
    /// writes, the job's submission is dropped or the term may not act, or after
    /// `durabilityTimeout`.
    template <typename Predicate>
    Task<bool> waitUntilDurable(JobId id, Predicate isDurable);
    void wakeScheduler();
    /// Carries out what the cluster asks for: writes, commands and probes.
    void applyEffects();
    /// Raises the stored state to format 2, which adds job dependencies and record pages, if all
    /// nodes can read that format and the operators' settings allow it. Returns whether such
    /// records may be written now.
    Task<bool> ensurePagedFormat();
    /// Calls ensurePagedFormat() because some record can only be written in format 2. After a
    /// failure it tries again after `formatRetryDelay`.
    Task<void> tryRaiseFormat();
    /// The response that refuses a submission for its dependencies; nothing if they are valid.
    Task<std::optional<http::Response>> checkDependencies(const JobSpec& spec);

    EventLoop& loop_;
    const settings::Settings& settings_;
    kv_store::Client& store_;
    LeaderElection& election_;
    Scope scope_;
    Event recordWritten_;    // a write ended, whether it succeeded or not
    Event schedulerWoken_;   // schedulingRequested_ was set
    Event probeUnanswered_;  // a silent machine did not answer a probe
    lease_delegation::Delegator delegator_;
    scheduler::Cluster cluster_;
    kv_store::TransactionWriter writer_;
    autoscaler::CloudClient cloud_;
    autoscaler::Autoscaler autoscaler_;
    worker_api::CommandSender commandSender_;
    std::set<MachineIndex> probedMachines_;  // by probeSilentMachine(), at present
    std::function<void()> onLoaded_;
    std::function<bool(const std::string&)> peerConnected_;
    std::function<bool(unsigned)> peersSupportFormat_;
    bool loaded_ = false, schedulingRequested_ = false, raisingFormat_ = false;
};

}  // namespace basaltchute::controller
