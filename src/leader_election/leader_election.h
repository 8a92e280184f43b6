#pragma once
// Leader election: elects the one controller that may act.
//
// The leader holds a lease in the key-value store and the leader key, which is bound to that lease.
// It may act until `leaseValidUntil_` by its own steady clock. That time is earlier than any time
// at which the store can end the lease: it counts from when the last successful keep-alive was
// *sent*, and an allowance for clock drift and a safety margin are subtracted. Each election takes
// a new fencing token, higher than all earlier ones.
//
// While no node reaches the store, nobody can be elected. The leader may then go on if every other
// node pledges not to campaign for some time (a *leadership pledge*: the followers extend the lease
// unanimously). Nodes that have been silent are recorded in the store as absent by the leader,
// which then needs no pledge from them: a node recorded as absent does not campaign until a leader
// has heard from it and has removed it from the record.
//
// State: this node's role in the election, its lease, the pledges that it gave, and the last known
// leader. Guarantee: at any moment leaseValid() is true on at most one node. Owned by the
// Controller, which creates a LeaderTerm when elected and ends it when the leadership is lost. All
// calls are made on one event loop.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "kv_store/client.h"
#include "leader_election/election_records.h"

namespace basaltchute {

/// The last known leader; it may have lost the leadership since.
struct LeaderHint {
    std::string node;
    FencingToken token = 0;
};

/// Is notified when this node's leadership begins and ends.
class LeaderElectionListener {
  public:
    virtual ~LeaderElectionListener() = default;
    /// This node was elected. `fence` must be a precondition of every write of the term, so that
    /// writes of a former leader fail.
    virtual void onElected(FencingToken token, kv_store::Precondition fence) = 0;
    /// The lease is no longer valid. The listener ends all work of the leader before it returns;
    /// only then is the lease revoked, which lets other nodes lead.
    virtual Task<void> onLeadershipLost() = 0;
};

/// What the election needs to know about the other nodes, and to ask of them.
class ElectionPeers {
  public:
    virtual ~ElectionPeers() = default;
    /// Asks every other node except those in `absent` to pledge not to campaign for `duration`.
    /// Returns true if all of them do.
    virtual Task<bool> requestPledges(FencingToken token, Duration duration,
                                      const std::set<std::string>& absent) = 0;
    /// Whether that node has said, since this process started, that it does not lead.
    [[nodiscard]] virtual bool isKnownFollower(const std::string& node) const = 0;
    /// The other nodes from which nothing was received for at least `span`.
    [[nodiscard]] virtual std::set<std::string> nodesSilentFor(Duration span) const = 0;
};

/// Runs the election for one node, which follows, campaigns or leads. See the top of this file.
class LeaderElection {
  public:
    /// Everything passed by reference must outlive the election. `incarnation` identifies this
    /// process of the node.
    LeaderElection(EventLoop& loop, kv_store::Client& client, const settings::Settings& settings,
                   std::string incarnation, LeaderElectionListener& listener, ElectionPeers& peers);
    /// Takes part in elections until the scope is cancelled or resignPermanently() is called.
    Task<void> run(Scope& scope);

    /// Whether this node may act as the leader. Check it right before anything is sent, because
    /// the process may not have been scheduled for a while.
    [[nodiscard]] bool leaseValid() const { return leading_ && loop_.now() < leaseValidUntil_; }
    /// True between onElected() and onLeadershipLost(), even if the lease has just run out.
    [[nodiscard]] bool leading() const { return leading_; }
    /// First fencing token of the last term that this node won; 0 if it never won one.
    [[nodiscard]] FencingToken token() const { return token_; }
    /// The last known leader, which may be this node; empty if none is known.
    [[nodiscard]] const std::optional<LeaderHint>& knownLeader() const { return knownLeader_; }
    /// Whether the last request of the election to the state service succeeded.
    [[nodiscard]] bool storeReachable() const { return storeReachable_; }
    /// Records that another node says it leads. Steps down if that node's token is higher.
    void observeLeader(const LeaderHint& hint);
    /// Handles a leader's request for a leadership pledge. If it returns true, this node does not
    /// campaign for `duration`.
    [[nodiscard]] bool grantPledge(FencingToken token, Duration duration);
    /// Ends the leadership, if this node leads. `reason` is only logged.
    void stepDown(const std::string& reason);
    /// Steps down and takes part in no further election: the process is about to end.
    void resignPermanently();
    /// Format of the stored state. A node whose version does not support it cannot be elected.
    [[nodiscard]] unsigned storedFormat() const { return storedFormat_; }
    /// Records that the stored state may contain what only `format` supports. Must be called before
    /// any such data is written. Returns true once the record is durable. A format is never
    /// lowered.
    Task<bool> raiseStoredFormat(unsigned format, Scope& scope);
    /// Newest format that this version supports: 1 is the first one, 2 added job dependencies and
    /// record pages.
    static constexpr unsigned newestSupportedFormat = 2;
    /// TTL of the leader's lease.
    [[nodiscard]] static Duration leaseTtlFor(const settings::Settings& settings);

  private:
    /// The stored records as a campaign has read them.
    struct StoredRecords {
        election_records::TokenCounter counter;
        std::set<std::string> absentNodes;
        kv_store::Revision counterRevision = 0, absentNodesRevision = 0;  // 0: no such record
    };
    /// The records that a campaign writes.
    struct Candidacy {
        election_records::LeaderRecord leader;
        election_records::TokenCounter counter;
        std::set<std::string> absentNodes;
        bool absentNodesChanged = false;
        TimePoint leaseRequestedAt{};
    };

    /// Returns once no leader key is stored.
    Task<void> follow(Scope& scope);
    /// Takes the known leader from the stored leader key and waits until that key may have changed.
    Task<void> followLeader(const kv_store::KeyValue& leader, kv_store::Revision listRevision,
                            Scope& scope);
    /// Returns true if this node was elected.
    Task<bool> campaign(Scope& scope);
    Task<bool> tryCampaign(Scope& scope);
    /// Empty if the stored records forbid this node to campaign, or could not be read.
    Task<std::optional<StoredRecords>> readStoredRecords(Scope& scope);
    /// The stored token counter. Empty, with an error in the log, if it is malformed or this
    /// version does not support the stored format.
    [[nodiscard]] static std::optional<election_records::TokenCounter> readCounter(
        const kv_store::KeyValue* entry);
    [[nodiscard]] Candidacy prepareCandidacy(const StoredRecords& stored,
                                             const kv_store::LeaseResult& lease) const;
    Task<kv_store::CommitResult> commitCandidacy(const Candidacy& candidacy,
                                                 const StoredRecords& stored, Scope& scope);
    /// The revision of the leader key if its value equals `record`.
    Task<std::optional<kv_store::Revision>> findOwnLeaderKey(std::string record, Scope& scope);
    void beginTerm(const Candidacy& candidacy, const StoredRecords& stored,
                   kv_store::Revision revision);
    Task<void> lead(Scope& scope);
    /// Renews the lease until it runs out or this node steps down.
    Task<void> keepLeading(Scope& scope);
    Task<kv_store::Status> renewLease(Scope& scope);
    Task<void> extendLeaseByPledges();
    void extendLease(TimePoint sentAt, Duration ttl);
    [[nodiscard]] bool mayCampaign() const;
    /// True if no leader can still rely on a pledge that a former process of this node gave.
    [[nodiscard]] bool noEarlierPledgeOutstanding() const;
    /// Records the silent nodes as absent: they may not campaign, so no pledge of theirs is needed.
    Task<void> recordAbsentNodes(std::set<std::string> silent, Scope& scope);
    /// The nodes silent for `span` that may be recorded as absent; empty if they are not a
    /// minority.
    [[nodiscard]] std::set<std::string> silentMinority(Duration span) const;

    EventLoop& loop_;
    kv_store::Client& client_;
    std::string node_, incarnation_;
    Duration leaseTtl_;
    LeaderElectionListener& listener_;
    ElectionPeers& peers_;
    Event stepDownEvent_;
    bool leading_ = false, storeReachable_ = false;
    bool stepDownRequested_ = false;    // the current term is to end
    bool resignedPermanently_ = false;  // no further term is to begin
    FencingToken token_ = 0;
    kv_store::LeaseId leaseId_ = 0;
    kv_store::Revision leaderKeyRevision_ = 0, tokenCounterRevision_ = 0;
    unsigned storedFormat_ = 1;
    TimePoint leaseValidUntil_{};
    TimePoint startedAt_, pledgedUntil_{};
    bool campaigning_ = false;
    std::vector<std::string> otherNodes_;  // all configured nodes except this one
    /// The node that was elected last, if the token counter names it.
    std::optional<std::string> lastElected_;
    std::set<std::string> absentNodes_;  // durably recorded as absent, so they cannot campaign
    /// The content last written to the absent-nodes record; empty if the outcome of the last write
    /// is unknown.
    std::optional<std::set<std::string>> writtenAbsentNodes_;
    kv_store::Revision absentNodesRevision_ = 0;
    bool recordingAbsentNodes_ = false;
    std::optional<LeaderHint> knownLeader_;
};

}  // namespace basaltchute
