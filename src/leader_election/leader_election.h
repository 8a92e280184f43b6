#pragma once
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kv_store/client.h"

namespace basaltchute {

using FencingToken = std::uint64_t;

struct LeaderHint {
    std::string node;
    FencingToken token = 0;
};

/// Election by a grant in the state service. The right to act ends by this node's own steady
/// clock, before the grant can: counted from when the last successful touch was *sent*.
class LeaderElection {
  public:
    struct Hooks {
        std::function<void(FencingToken, kv_store::Precondition)> elected;
        std::function<Task<void>()> deposed;  // ends every duty of the leader before returning
        /// Asks every other node but `absent` not to campaign for a while; true if all agree.
        std::function<Task<bool>(FencingToken, Duration hold, const std::set<std::string>& absent)>
            pledgeAll;
        /// That node has said, since this process started, that it does not lead.
        std::function<bool(const std::string& node)> isKnownFollower;
        /// Nodes that have said nothing for so long.
        std::function<std::set<std::string>(Duration)> silentNodes;
    };
    LeaderElection(EventLoop& loop, kv_store::Client& client, const settings::Settings& settings,
                   std::string incarnation, Hooks hooks);
    Task<void> run(Scope& scope);

    /// To be asked right before anything leaves: the process may have been starved meanwhile.
    [[nodiscard]] bool leaseValid() const { return leading_ && loop_.now() < leaseValidUntil_; }
    [[nodiscard]] bool leading() const { return leading_; }
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] const std::optional<LeaderHint>& knownLeader() const { return knownLeader_; }
    /// The state service answered this node recently.
    [[nodiscard]] bool storeReachable() const { return storeReachable_; }
    void onLeaderHeard(const LeaderHint& hint);
    /// A leader that nobody can replace asks to go on; true if this node will not campaign.
    bool acceptPledge(FencingToken token, Duration hold);
    void stepDown(const std::string& why);
    /// Steps down for good: this node is ending.
    void resignForGood();
    /// What the stored state may hold by now: an election by a version that does not know it fails.
    [[nodiscard]] unsigned format() const { return format_; }
    /// Puts on record that the state may hold what only `format` knows, before any of it is
    /// written; true once that stands. There is no way back.
    Task<bool> raiseFormat(unsigned format, Scope& scope);
    /// What this version knows: 1, the first; 2, chains of jobs and records in parts.
    static constexpr unsigned knownFormat = 2;
    [[nodiscard]] static Duration leaseTtlFor(const settings::Settings& settings);

  private:
    Task<void> follow(Scope& scope);
    Task<bool> campaign(Scope& scope);
    Task<bool> tryCampaign(Scope& scope);
    /// The revision of the leader's key if just that stands there.
    Task<std::optional<kv_store::Revision>> findOwnLeaderKey(std::string holder, Scope& scope);
    Task<void> lead(Scope& scope);
    void extendLease(TimePoint sentAt, Duration life);
    [[nodiscard]] bool mayCampaign() const;
    /// Nobody acts by a pledge that a former process of this node gave.
    [[nodiscard]] bool noEarlierPledgeOutstanding() const;
    /// Puts on record who is silent: those may not campaign, so that their pledge is not needed.
    Task<void> recordAbsent(std::set<std::string> silent, Scope& scope);
    [[nodiscard]] std::set<std::string> silentMinority(Duration span) const;

    EventLoop& loop_;
    kv_store::Client& client_;
    std::string node_, incarnation_;
    Duration leaseTtl_;
    Hooks hooks_;
    Event changed_;
    bool leading_ = false, storeReachable_ = false, resign_ = false, retired_ = false;
    FencingToken token_ = 0;
    kv_store::LeaseId leaseId_ = 0;
    kv_store::Revision leaderKeyRevision_ = 0, tokenCounterRevision_ = 0;
    unsigned format_ = 1;
    TimePoint leaseValidUntil_{};
    TimePoint startedAt_, pledgedUntil_{};
    bool campaigning_ = false;
    std::vector<std::string> otherNodes_;  // nodes beside this one
    /// Who was elected last, as the counter of tokens says, if it does.
    std::optional<std::string> lastElected_;
    /// On record as absent, so that they cannot campaign; and what was written there last.
    std::set<std::string> absentNodes_;
    std::optional<std::set<std::string>> writtenAbsent_;
    kv_store::Revision absentNodesRevision_ = 0;
    bool recordingAbsent_ = false;
    std::optional<LeaderHint> knownLeader_;
};

}  // namespace basaltchute
