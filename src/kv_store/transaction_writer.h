#pragma once
// Write queue in front of the key-value store, for one owner of a set of records.
//
// The owner marks a record dirty; the writer encodes it when its turn comes, writes records in
// transactions within the rate of writes, and reports which version of each is durable. A record
// that changes several times before its turn is written once. Every transaction has two kinds of
// preconditions: the revision of the owner's fence (a leader's key, a queue's ownership), so that a
// former owner cannot write, and the last known revision of each record, so that a transaction that
// was given up and is executed late cannot undo a newer one.
//
// State: the queue, what is in flight, and the revision of each record. Used by LeaderTerm for jobs
// and by the gateway's QueueOwner for messages.
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kv_store/client.h"

namespace basaltchute::kv_store {

/// Smaller goes first.
enum class WritePriority {
    userRequest,  // a user waits for it
    immediate,    // where tasks run
    background,   // coalesced: waits a little for other records
    progress,     // coalesced for longer: what a successor learns from agents as well
};

/// A record as it is to be written. `version`: the owner's; it rises with each change.
struct EncodedRecord {
    std::string data;  // JSON text
    std::uint64_t version = 0;
};

/// Encodes records when their turn comes.
class RecordSource {
  public:
    virtual ~RecordSource() = default;
    /// The record as it is now; nothing if what the key held is written under other keys by now.
    virtual std::optional<EncodedRecord> encode(const std::string& key) = 0;
};

/// What a writer does with a record for which the service takes no value of that size.
enum class TooLargeAction {
    drop,   // the owner sees to it, and may mark it dirty again in another form
    retry,  // written again as it is, as after any other failure
};

/// Learns how writes end. All calls come from the event loop, between two turns of the writer.
class WriteObserver {
  public:
    virtual ~WriteObserver() = default;
    /// The record is durable as it was in that version.
    virtual void onCommitted(const std::string& key, std::uint64_t version) = 0;
    /// A write was refused, or its answer was lost; it is repeated.
    virtual void onWriteFailed() {}
    /// Another process holds the fence: nothing of this writer is written any more.
    virtual void onFenced() = 0;
    /// The service takes no value of `bytes` under the key.
    virtual TooLargeAction onTooLarge(const std::string& /*key*/, std::size_t /*bytes*/) {
        return TooLargeAction::retry;
    }
};

/// A rate of writes that several writers share.
class SharedWriteBudget {
  public:
    virtual ~SharedWriteBudget() = default;
    /// How many of the `available` writes this writer may spend now, for work whose most urgent
    /// part has that priority.
    virtual double allowance(WritePriority mostUrgent, double available) = 0;
};

/// See the top of this file.
class TransactionWriter {
  public:
    /// All that is passed by reference must outlive the writer. `maxRecords`: of one transaction.
    /// `budget`: nullptr if no other writer shares the client's rate.
    TransactionWriter(EventLoop& loop, Client& client, std::size_t maxRecords, Precondition fence,
                      RecordSource& source, WriteObserver& observer,
                      SharedWriteBudget* budget = nullptr);

    /// The record was read, with that revision.
    void setKnownRevision(const std::string& key, Revision revision) { revisions_[key] = revision; }
    /// The record was deleted and its key is never used again.
    void forget(const std::string& key) { revisions_.erase(key); }
    /// Queues the record. One that is queued already keeps the higher priority and earlier time.
    void markDirty(const std::string& key, WritePriority priority);
    /// Writes until the scope is cancelled.
    Task<void> run(Scope& scope);
    /// False while the last answer of the state service was a refusal, or none came.
    [[nodiscard]] bool healthy() const { return healthy_; }
    /// Records in the queue, without those in flight.
    [[nodiscard]] std::size_t backlog() const { return queue_.size(); }

  private:
    using Rank = std::pair<WritePriority, TimePoint>;  // and since when it is queued
    struct BatchEntry {                                // one record of a batch
        std::string key;
        std::uint64_t version = 0;
        Rank rank;
    };
    /// The records of one transaction.
    struct Batch {
        std::vector<BatchEntry> entries;
        std::map<std::string, std::string> data;  // as sent
        std::size_t bytes = 0;
    };
    void enqueue(const std::string& key, Rank rank);
    /// The keys to be written now, most urgent first; empty if none may be.
    std::vector<std::string> nextKeys(TimePoint now);
    /// What may be spent now on work of that priority and less urgent work; negative if nothing.
    [[nodiscard]] double availableWrites(WritePriority mostUrgent, TimePoint now);
    /// Part of the burst that work of that priority must leave to users' requests.
    [[nodiscard]] double reservedFrom(WritePriority priority);
    Task<void> write(std::vector<std::string> keys, Scope& scope);
    /// Encodes the records, as many as fit, and moves them from the queue into flight.
    Batch takeBatch(const std::vector<std::string>& keys);
    [[nodiscard]] Transaction transactionFor(const Batch& batch);
    [[nodiscard]] bool isFenced(const CommitResult& result) const;
    /// Those of the keys whose stored value is exactly what was sent; learns the revisions of all.
    Task<std::set<std::string>> findApplied(std::vector<std::string> failed, const Batch& batch,
                                            Scope& scope);
    void landBatch(const Batch& batch);
    void onOk(const Batch& batch, Revision revision);
    void onConflict(const Batch& batch, const std::set<std::string>& applied);
    void onMalformed(const Batch& batch);
    void onRateLimited(const Batch& batch);
    void onFailed(const Batch& batch);
    void requeue(const Batch& batch);

    EventLoop& loop_;
    Client& client_;
    std::size_t maxRecords_;
    Precondition fence_;
    RecordSource& source_;
    WriteObserver& observer_;
    SharedWriteBudget* budget_;
    Event wake_;
    std::unordered_map<std::string, Revision> revisions_;
    std::unordered_map<std::string, Rank> queue_;
    std::set<std::pair<Rank, std::string>> byRank_;  // of the queue, what is not in flight
    std::set<std::string> inFlight_;
    std::set<std::string> sentAlone_;  // refused in company: each is tried by itself
    std::size_t transactions_ = 0;     // in flight
    TimePoint pauseUntil_{};
    bool healthy_ = true;
};

}  // namespace basaltchute::kv_store
