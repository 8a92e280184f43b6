#pragma once
// Election of the one controller that may act.
//
// A leader holds a lease of the key-value store and the leader key that is bound to it. It may act
// until `leaseValidUntil`, by its own steady clock, which ends before the store can end the lease:
// it counts from when the last keep-alive that succeeded was *sent*, less the drift of two clocks
// and a margin. Each election takes a new fencing token, higher than all before.
//
// While no node reaches the store nobody can be elected, so the leader may go on if every other
// node pledges not to campaign for a while (a *leadership pledge*: a lease extension by unanimous
// followers). Nodes that have been silent are recorded in the store as absent, by the leader that
// goes on without their pledge: a recorded node does not campaign until a leader has heard from it
// and removes it from the record.
//
// State: the part of this node in the election, its lease, the pledges it gave, and who leads as
// far as is known. Guarantee: at any moment at most one node finds leaseValid() true. Called by the
// Controller, which starts and ends a LeaderTerm by it; all on the one event loop.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "kv_store/client.h"
#include "leader_election/election_records.h"

namespace basaltchute {

/// A node that leads, or did when it was last heard of.
struct LeaderHint {
    std::string node;
    FencingToken token = 0;
};

/// Receives the begin and the end of this node's leadership.
class LeaderElectionListener {
  public:
    virtual ~LeaderElectionListener() = default;
    /// This node leads. `fence`: to be a precondition of every write of the term, so that writes
    /// of a former leader fail.
    virtual void onElected(FencingToken token, kv_store::Precondition fence) = 0;
    /// The lease is no longer valid. Ends every duty of the leader before it returns; only then is
    /// the lease revoked, which lets others lead.
    virtual Task<void> onLeadershipLost() = 0;
};

/// What the election needs to know and ask of the other nodes.
class ElectionPeers {
  public:
    virtual ~ElectionPeers() = default;
    /// Asks every other node but `absent` for a pledge not to campaign for `duration`; true if all
    /// give it.
    virtual Task<bool> requestPledges(FencingToken token, Duration duration,
                                      const std::set<std::string>& absent) = 0;
    /// Whether that node has said, since this process started, that it does not lead.
    [[nodiscard]] virtual bool isKnownFollower(const std::string& node) const = 0;
    /// The other nodes from which nothing came for at least `span`.
    [[nodiscard]] virtual std::set<std::string> nodesSilentFor(Duration span) const = 0;
};

/// Campaigns, leads or follows for one node; see the top of this file.
class LeaderElection {
  public:
    /// All that is passed by reference must outlive the election. `incarnation`: of this process.
    LeaderElection(EventLoop& loop, kv_store::Client& client, const settings::Settings& settings,
                   std::string incarnation, LeaderElectionListener& listener, ElectionPeers& peers);
    /// Takes part until the scope is cancelled or resignPermanently() was called.
    Task<void> run(Scope& scope);

    /// Whether this node may act as the leader. Ask right before anything is sent: the process may
    /// have been starved meanwhile.
    [[nodiscard]] bool leaseValid() const { return leading_ && loop_.now() < leaseValidUntil_; }
    /// Between onElected() and onLeadershipLost(), also if the lease has just run out.
    [[nodiscard]] bool leading() const { return leading_; }
    /// Of the last election that this node won; 0 if none.
    [[nodiscard]] FencingToken token() const { return token_; }
    /// Who leads as far as this node knows, itself included.
    [[nodiscard]] const std::optional<LeaderHint>& knownLeader() const { return knownLeader_; }
    /// Whether the state service answered this node's last question.
    [[nodiscard]] bool storeReachable() const { return storeReachable_; }
    /// A node said that it leads. This one steps down if that one's token is higher.
    void observeLeader(const LeaderHint& hint);
    /// A leader asks for a leadership pledge. If true, this node does not campaign for `duration`.
    [[nodiscard]] bool grantPledge(FencingToken token, Duration duration);
    /// Ends the leadership, if any. `reason`: for the log.
    void stepDown(const std::string& reason);
    /// Steps down and takes part no more: the process is about to end.
    void resignPermanently();
    /// Format of the stored state: nodes whose version does not know it cannot be elected.
    [[nodiscard]] unsigned storedFormat() const { return format_; }
    /// Records that the state may hold what only `format` knows. To be called before any of that is
    /// written; true once the record is durable. A format is never lowered.
    Task<bool> raiseStoredFormat(unsigned format, Scope& scope);
    /// Highest format that this version knows: 1, the first; 2, job dependencies and record pages.
    static constexpr unsigned newestSupportedFormat = 2;
    /// TTL of the leader's lease.
    [[nodiscard]] static Duration leaseTtlFor(const settings::Settings& settings);

  private:
    /// The records as a campaign has read them.
    struct StoredState {
        election_records::TokenCounter counter;
        std::set<std::string> absentNodes;
        kv_store::Revision counterRevision = 0, absentNodesRevision = 0;  // 0: no such record
    };
    /// What a campaign writes.
    struct Candidacy {
        election_records::LeaderRecord leader;
        election_records::TokenCounter counter;
        std::set<std::string> absentNodes;
        bool absentNodesChanged = false;
        TimePoint leaseRequestedAt{};
    };

    /// Returns once no leader key is stored.
    Task<void> follow(Scope& scope);
    /// Learns who leads from the stored leader key, and waits until that may have changed.
    Task<void> followLeader(const kv_store::KeyValue& leader, kv_store::Revision listedAt,
                            Scope& scope);
    /// True if this node was elected.
    Task<bool> campaign(Scope& scope);
    Task<bool> tryCampaign(Scope& scope);
    /// Nothing if this node must not campaign by what is stored.
    Task<std::optional<StoredState>> readStoredState(Scope& scope);
    /// The stored counter; nothing (and a line in the log) if this version must not lead by it.
    [[nodiscard]] static std::optional<election_records::TokenCounter> readCounter(
        const kv_store::KeyValue* entry);
    [[nodiscard]] Candidacy prepareCandidacy(const StoredState& stored,
                                             const kv_store::LeaseResult& lease) const;
    Task<kv_store::CommitResult> commitCandidacy(const Candidacy& candidacy,
                                                 const StoredState& stored, Scope& scope);
    /// The revision of the leader key if its value is exactly `record`.
    Task<std::optional<kv_store::Revision>> findOwnLeaderKey(std::string record, Scope& scope);
    void beginTerm(const Candidacy& candidacy, const StoredState& stored,
                   kv_store::Revision revision);
    Task<void> lead(Scope& scope);
    /// Renews the lease until it runs out or this node steps down.
    Task<void> keepLeading(Scope& scope);
    Task<kv_store::Status> renewLease(Scope& scope);
    Task<void> extendLeaseByPledges();
    void extendLease(TimePoint sentAt, Duration ttl);
    [[nodiscard]] bool mayCampaign() const;
    /// No node acts by a pledge that a former process of this node gave.
    [[nodiscard]] bool noEarlierPledgeOutstanding() const;
    /// Records who is silent: those nodes may not campaign, so their pledges are not needed.
    Task<void> recordAbsentNodes(std::set<std::string> silent, Scope& scope);
    [[nodiscard]] std::set<std::string> silentMinority(Duration span) const;

    EventLoop& loop_;
    kv_store::Client& client_;
    std::string node_, incarnation_;
    Duration leaseTtl_;
    LeaderElectionListener& listener_;
    ElectionPeers& peers_;
    Event steppedDown_;
    bool leading_ = false, storeReachable_ = false;
    bool resign_ = false;   // the present term is to end
    bool retired_ = false;  // and no other one is to follow
    FencingToken token_ = 0;
    kv_store::LeaseId leaseId_ = 0;
    kv_store::Revision leaderKeyRevision_ = 0, tokenCounterRevision_ = 0;
    unsigned format_ = 1;
    TimePoint leaseValidUntil_{};
    TimePoint startedAt_, pledgedUntil_{};
    bool campaigning_ = false;
    std::vector<std::string> otherNodes_;  // configured, beside this one
    /// Who was elected last by the token counter, if it says so.
    std::optional<std::string> lastElected_;
    std::set<std::string> absentNodes_;  // durably recorded, so that they cannot campaign
    /// What the record was last written with; nothing if the outcome of that write is unknown.
    std::optional<std::set<std::string>> writtenAbsentNodes_;
    kv_store::Revision absentNodesRevision_ = 0;
    bool recordingAbsentNodes_ = false;
    std::optional<LeaderHint> knownLeader_;
};

}  // namespace basaltchute
