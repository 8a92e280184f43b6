#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/custody/turnstile.h"
#include "gateway/settings/settings.h"
#include "state/client.h"

namespace basaltchute::gateway {

/// A live instance, as its own record says.
struct Member {
    std::string instance, incarnation, advertise, admin;
    bool draining = false;
    std::set<QueueName> queues;  // that its settings name
};

/// Which of the members a queue belongs to: rendezvous hashing over those that serve it and do not
/// drain, so that one that comes or goes moves no queue but its own. Nobody: nullptr.
const Member* ownerOf(const QueueName& queue, const std::map<std::string, Member>& members);

/// Membership and ownership of queues. Each instance keeps a record under a grant; a queue's owner
/// keeps one for the queue under the same grant, and the revision of that one is its fence: every
/// ledger write is guarded by it, so an owner whose grant has ended writes nothing more.
class Members {
  public:
    struct Hooks {
        std::function<void(const QueueName&, state::Guard fence)> gained;
        /// Ends what is under way in good order; the queue is given away afterwards.
        std::function<Task<void>(QueueName)> yield;
        /// The grant has ended, or somebody else holds the queue.
        std::function<void(const QueueName&)> lost;
        /// Somebody's ownership has changed.
        std::function<void()> changed;
    };
    Members(Loop& loop, state::Client& client, Turnstile& turnstile, const Settings& settings,
            std::string incarnation, Hooks hooks);
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
    [[nodiscard]] bool idle() const { return held_.empty() && claiming_.empty(); }
    /// A write met another owner's fence.
    void fenced(const QueueName& queue);
    /// Ends the grant, and with it all records under it.
    Task<void> leave(Scope& scope);

  private:
    struct Held {
        state::Revision revision = 0;
        bool yielding = false;
    };
    [[nodiscard]] std::string memberKey() const;
    [[nodiscard]] std::string queueKey(const QueueName& queue) const;
    [[nodiscard]] std::string record() const;
    [[nodiscard]] bool granted() const;
    Task<void> keepGrant(Scope& scope);
    Task<bool> enlist(Scope& scope);
    Task<void> look(Scope& scope);
    void read(const std::vector<state::Item>& items);
    void act(state::Revision at, Scope& scope);
    Task<void> claim(QueueName queue, Scope& scope);
    Task<void> giveAway(QueueName queue, Scope& scope);
    void lose(const QueueName& queue);
    void loseAll();

    Loop& loop_;
    state::Client& client_;
    Turnstile& turnstile_;
    const Settings& settings_;
    std::string incarnation_;
    Hooks hooks_;
    state::GrantId grant_ = 0;
    TimePoint grantedUntil_{};
    state::Revision memberRevision_ = 0;
    bool draining_ = false, announced_ = false;
    Event changed_, drained_;
    std::map<std::string, Member> members_;
    std::map<QueueName, std::pair<std::string, state::Revision>> owners_;  // incarnation, revision
    std::map<QueueName, Held> held_;
    std::set<QueueName> claiming_;
    /// The revision under which a queue was held last: a listing that is older than its end must
    /// not bring it back.
    std::map<QueueName, state::Revision> past_;
};

}  // namespace basaltchute::gateway
