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

/// A live instance, as its own record says.
struct Member {
    std::string instance, incarnation, advertise, admin;
    bool draining = false;
    std::set<QueueName> queues;  // that its settings name
};

/// Which of the members a queue belongs to: rendezvous hashing over those that serve it and do not
/// drain, so that one that comes or goes moves no queue but its own. Nobody: nullptr.
const Member* preferredOwner(const QueueName& queue, const std::map<std::string, Member>& members);

/// Membership and ownership of queues. Each instance keeps a record under a grant; a queue's owner
/// keeps one for the queue under the same grant, and the revision of that one is its fence: every
/// ledger write is guarded by it, so an owner whose grant has ended writes nothing more.
class Membership {
  public:
    struct Hooks {
        std::function<void(const QueueName&, kv_store::Precondition fence)> gained;
        /// Ends what is under way in good order; the queue is given away afterwards.
        std::function<Task<void>(QueueName)> yield;
        /// The grant has ended, or somebody else holds the queue.
        std::function<void(const QueueName&)> lost;
        /// Somebody's ownership has changed.
        std::function<void()> changed;
    };
    Membership(EventLoop& loop, kv_store::Client& client, WriteLimiter& writeLimiter,
               const Settings& settings, std::string incarnation, Hooks hooks);
    void start(Scope& scope);
    /// Whether this instance may act as the queue's owner, by its own clock.
    [[nodiscard]] bool holds(const QueueName& queue) const;
    /// Who holds the queue, if that one lives and is known.
    [[nodiscard]] const Member* holder(const QueueName& queue) const;
    [[nodiscard]] const std::map<std::string, Member>& all() const { return members_; }
    /// Takes no queue any more and gives away what it holds.
    void drain();
    [[nodiscard]] bool draining() const { return draining_; }
    /// Holds no queue, nor is about to.
    [[nodiscard]] bool idle() const { return ownedQueues_.empty() && claiming_.empty(); }
    /// A write met another owner's fence.
    void fenced(const QueueName& queue);
    /// Ends the grant, and with it all records under it.
    Task<void> leave(Scope& scope);

  private:
    struct OwnedQueue {
        kv_store::Revision revision = 0;
        bool yielding = false;
    };
    [[nodiscard]] std::string memberKey() const;
    [[nodiscard]] std::string queueKey(const QueueName& queue) const;
    [[nodiscard]] std::string record() const;
    [[nodiscard]] bool leaseValid() const;
    Task<void> keepLease(Scope& scope);
    Task<bool> register_(Scope& scope);
    Task<void> refresh(Scope& scope);
    void read(const std::vector<kv_store::KeyValue>& items);
    void act(kv_store::Revision at, Scope& scope);
    Task<void> claim(QueueName queue, Scope& scope);
    Task<void> giveAway(QueueName queue, Scope& scope);
    void lose(const QueueName& queue);
    void loseAll();

    EventLoop& loop_;
    kv_store::Client& client_;
    WriteLimiter& writeLimiter_;
    const Settings& settings_;
    std::string incarnation_;
    Hooks hooks_;
    kv_store::LeaseId leaseId_ = 0;
    TimePoint leaseValidUntil_{};
    kv_store::Revision memberRevision_ = 0;
    bool draining_ = false, announced_ = false;
    Event changed_, drained_;
    std::map<std::string, Member> members_;
    std::map<QueueName, std::pair<std::string, kv_store::Revision>>
        owners_;  // incarnation, revision
    std::map<QueueName, OwnedQueue> ownedQueues_;
    std::set<QueueName> claiming_;
    /// The revision under which a queue was held last: a listing that is older than its end must
    /// not bring it back.
    std::map<QueueName, kv_store::Revision> past_;
};

}  // namespace basaltchute::gateway
