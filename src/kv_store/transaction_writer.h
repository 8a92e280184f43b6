#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "kv_store/client.h"

namespace basaltchute::kv_store {

/// Smaller goes first; from `rest` on in groups, for which it waits a little, and for `progress`
/// longer: that is what a successor learns from workers as well.
enum class WritePriority { users, bindings, rest, progress };

struct EncodedRecord {
    std::string data;
    std::uint64_t version = 0;
};

/// Writes dirty records in groups within the write budget. A record that changes several
/// times before its turn is written once. Every transaction is guarded by the leader's own
/// key, and each record by its last known revision: a transaction of ours that was given up
/// and is applied late must not undo a newer one.
class TransactionWriter {
  public:
    struct Hooks {
        /// Nothing if what the key held is written under others by now.
        std::function<std::optional<EncodedRecord>(const std::string& key)> encode;
        std::function<void(const std::string& key, std::uint64_t version)> committed;
        std::function<void()> writeFailed;  // a write was refused or lost its answer
        std::function<void()> fenced;       // another leader holds the key
        /// Where several writers share one budget: how much of it this one may spend now. Asked
        /// with its most urgent work and what the budget has for that; may be left out.
        std::function<double(WritePriority, double available)> writeAllowance = {};
        /// The service takes no value of that size under the key: it is not tried again as it is.
        std::function<void(const std::string& key, std::size_t bytes)> tooLarge = {};
    };
    TransactionWriter(EventLoop& loop, Client& client, std::size_t txnOps, Precondition leader,
                      Hooks hooks);

    void setKnownRevision(const std::string& key, Revision revision) { revisions_[key] = revision; }
    /// The record was deleted and its key is never used again.
    void forget(const std::string& key) { revisions_.erase(key); }
    void markDirty(const std::string& key, WritePriority urgency);
    Task<void> run(Scope& scope);
    /// False while the last word of the state service was a refusal or silence.
    [[nodiscard]] bool healthy() const { return healthy_; }
    [[nodiscard]] std::size_t backlog() const { return queue_.size(); }

  private:
    using Rank = std::pair<WritePriority, TimePoint>;
    void enqueue(const std::string& key, Rank rank);
    std::vector<std::string> nextBatch(TimePoint now);
    Task<void> write(std::vector<std::string> keys, Scope& scope);
    /// Those of the keys under which just what was sent stands; learns where the others are.
    Task<std::set<std::string>> findApplied(std::vector<std::string> failed,
                                            const std::map<std::string, std::string>& sent,
                                            Scope& scope);
    void onMalformed(const std::vector<std::pair<std::string, Rank>>& taken, std::size_t bytes);

    EventLoop& loop_;
    Client& client_;
    std::size_t txnOps_;
    Precondition fence_;
    Hooks hooks_;
    Event wake_;
    std::unordered_map<std::string, Revision> revisions_;
    std::unordered_map<std::string, Rank> queue_;
    std::set<std::pair<Rank, std::string>> byRank_;  // of those in the queue, what is not in flight
    std::set<std::string> inFlight_;
    std::set<std::string> sentAlone_;  // refused in company: each is tried by itself
    std::size_t transactions_ = 0;
    TimePoint pauseUntil_{};
    bool healthy_ = true;
};

}  // namespace basaltchute::kv_store
