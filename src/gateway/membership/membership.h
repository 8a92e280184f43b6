#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/queue_owner/write_limiter.h"
#include "gateway/settings/settings.h"
#include "kv_store/client.h"

namespace basaltchute::gateway {

/// A running gateway instance, as described by its member record.
struct Member {
    std::string instance, incarnation, advertise, admin;
    bool draining = false;
    std::set<QueueName> queues;  // queues that its settings name
};

/// The member that should own the queue: rendezvous hashing over the members that serve it and are
/// not draining, so that a member that joins or leaves moves only its own queues. Returns nullptr
/// if there is none.
const Member* preferredOwner(const QueueName& queue, const std::map<std::string, Member>& members);

/// Tracks the members of the gateway cluster and owns queues on behalf of this instance. Each
/// instance keeps a member record under a lease; the owner of a queue keeps an owner record under
/// the same lease. The revision of the owner record is the fencing token: each journal write has it
/// as a precondition, so an owner whose lease has expired can no longer write. Created and observed
/// by Gateway.
class Membership {
  public:
    struct Hooks {
        std::function<void(const QueueName&, kv_store::Precondition fence)> gained;
        /// Finishes work in progress on the queue; the queue is released afterwards.
        std::function<Task<void>(QueueName)> drainQueue;
        /// The lease has expired, or another instance owns the queue.
        std::function<void(const QueueName&)> lost;
        /// The owner of some queue has changed.
        std::function<void()> changed;
    };
    Membership(EventLoop& loop, kv_store::Client& client, WriteLimiter& writeLimiter,
               const Settings& settings, std::string incarnation, Hooks hooks);
    void start(Scope& scope);
    /// Whether this instance may act as owner of the queue, by its own clock.
    [[nodiscard]] bool holds(const QueueName& queue) const;
    /// The current owner of the queue, or nullptr if it is unknown or not alive.
    [[nodiscard]] const Member* holder(const QueueName& queue) const;
    [[nodiscard]] const std::map<std::string, Member>& all() const { return members_; }
    /// Claims no more queues and releases those it owns.
    void drain();
    [[nodiscard]] bool draining() const { return draining_; }
    /// Whether this instance owns no queue and is claiming none.
    [[nodiscard]] bool idle() const { return ownedQueues_.empty() && claiming_.empty(); }
    /// Reports that a write to the queue failed its fencing precondition.
    void fenced(const QueueName& queue);
    /// Revokes the lease, which deletes all records under it.
    Task<void> leave(Scope& scope);

  private:
    struct OwnedQueue {
        kv_store::Revision revision = 0;
        bool releasing = false;
    };
    [[nodiscard]] std::string memberKey() const;
    [[nodiscard]] std::string queueKey(const QueueName& queue) const;
    [[nodiscard]] std::string memberRecord() const;
    [[nodiscard]] bool leaseValid() const;
    Task<void> keepLease(Scope& scope);
    Task<bool> registerMember(Scope& scope);
    Task<void> refresh(Scope& scope);
    void parseRecords(const std::vector<kv_store::KeyValue>& items);
    void reconcileOwnership(kv_store::Revision at, Scope& scope);
    Task<void> claimQueue(QueueName queue, Scope& scope);
    Task<void> releaseQueue(QueueName queue, Scope& scope);
    void loseQueue(const QueueName& queue);
    void loseAllQueues();

    EventLoop& loop_;
    kv_store::Client& client_;
    WriteLimiter& writeLimiter_;
    const Settings& settings_;
    std::string incarnation_;
    Hooks hooks_;
    kv_store::LeaseId leaseId_ = 0;
    TimePoint leaseValidUntil_{};
    kv_store::Revision memberRevision_ = 0;
    bool draining_ = false, announcedDraining_ = false;
    Event changed_, drained_;
    std::map<std::string, Member> members_;
    std::map<QueueName, std::pair<std::string, kv_store::Revision>>
        owners_;  // incarnation and revision of the owner record
    std::map<QueueName, OwnedQueue> ownedQueues_;
    std::set<QueueName> claiming_;
    /// Revision of the last owner record of this instance, by queue: an outdated listing must not
    /// restore ended ownership.
    std::map<QueueName, kv_store::Revision> lastOwnedRevisions_;
};

}  // namespace basaltchute::gateway
