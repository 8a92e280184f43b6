#pragma once
// Write queue in front of the key-value store, for one owner of a set of records.
//
// The owner marks a record as dirty. The writer encodes it when its turn comes, writes records in
// transactions within the permitted rate of writes, and reports which version of each record is
// durable. A record that changes several times before its turn is written once. Every transaction
// has two kinds of preconditions: the revision of the owner's fence (the leader key, or the
// ownership of a queue), so that a former owner cannot write; and the last known revision of each
// record, so that a transaction that timed out and is executed late cannot undo a newer one.
//
// State: the queue, the records in flight, and the revision of each record. Used by LeaderTerm for
// jobs and by the gateway's QueueOwner for messages.
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kv_store/client.h"

namespace basaltchute::kv_store {

/// Order in which queued records are written, most urgent first.
enum class WritePriority {
    userRequest,  // a user waits for the write
    immediate,    // not delayed, e.g. on which machine a task runs
    background,   // delayed briefly, to be written together with other records
    progress,     // delayed for longer: a new leader also learns it from the agents
};

/// A record as it is to be written.
struct EncodedRecord {
    std::string data;           // JSON text
    std::uint64_t version = 0;  // set by the owner; rises with each change
};

/// Encodes records when they are about to be written.
class RecordSource {
  public:
    virtual ~RecordSource() = default;
    /// The current content of the record; empty if its content is now stored under other keys.
    virtual std::optional<EncodedRecord> encode(const std::string& key) = 0;
};

/// A record that the service refuses in a transaction of its own, as too large or as malformed; its
/// response does not tell which.
struct RefusedRecord {
    std::string key;
    std::size_t bytes = 0;  // of its value
    /// Whether a value of that size or more was accepted since the last refusal, so that the size
    /// is hardly the cause.
    bool sizeWasAccepted = false;
};

/// What the writer does with a refused record.
enum class RefusedRecordAction {
    drop,   // removed from the queue; the owner may mark it as dirty again in another form
    retry,  // written again as it is, at growing intervals; all other records go on
};

/// Is notified of the outcome of writes. All calls are made on the event loop, between two steps of
/// the writer.
class WriteObserver {
  public:
    virtual ~WriteObserver() = default;
    /// That version of the record is durable.
    virtual void onCommitted(const std::string& key, std::uint64_t version) = 0;
    /// A write was refused or its response was lost; the writer repeats it.
    virtual void onWriteFailed() {}
    /// Another process holds the fence: no write of this writer can succeed any more.
    virtual void onFenced() = 0;
    /// The service refuses the record.
    virtual RefusedRecordAction onRecordRefused(const RefusedRecord& /*record*/) {
        return RefusedRecordAction::retry;
    }
};

/// Divides one rate of writes among several writers.
class SharedWriteBudget {
  public:
    virtual ~SharedWriteBudget() = default;
    /// How many of the `available` writes this writer may use now. `mostUrgent` is the priority of
    /// its most urgent record.
    virtual double allowance(WritePriority mostUrgent, double available) = 0;
};

/// See the top of this file.
class TransactionWriter {
  public:
    /// Everything passed by reference must outlive the writer. `maxRecords` limits the records of
    /// one transaction. `budget` is nullptr if no other writer shares the client's write rate.
    TransactionWriter(EventLoop& loop, Client& client, std::size_t maxRecords, Precondition fence,
                      RecordSource& source, WriteObserver& observer,
                      SharedWriteBudget* budget = nullptr);

    /// Sets the revision with which the record was read from the store.
    void setKnownRevision(const std::string& key, Revision revision) { revisions_[key] = revision; }
    /// Drops the revision of a record that was deleted and whose key is never used again.
    void forget(const std::string& key) { revisions_.erase(key); }
    /// Queues the record. If it is queued already, it keeps the more urgent priority and the
    /// earlier time.
    void markDirty(const std::string& key, WritePriority priority);
    /// Writes queued records until the scope is cancelled.
    Task<void> run(Scope& scope);
    /// False from when the state service refuses writes (other than for their rate, or for what a
    /// single record holds), or a response is lost, until a write succeeds.
    [[nodiscard]] bool healthy() const { return healthy_; }
    /// Number of queued records, not counting those in flight.
    [[nodiscard]] std::size_t backlog() const { return queue_.size(); }

  private:
    /// The priority of a queued record and the time since when it has been queued.
    using QueueRank = std::pair<WritePriority, TimePoint>;
    /// One record of a batch.
    struct BatchEntry {
        std::string key;
        std::uint64_t version = 0;
        QueueRank rank;
    };
    /// The records of one transaction.
    struct Batch {
        std::vector<BatchEntry> entries;
        std::map<std::string, std::string> data;  // by key, as sent
        std::size_t bytes = 0;
    };
    /// The retries of a record that the service refuses for itself.
    struct RefusedRecordRetry {
        Duration delay{};    // between the last two attempts
        TimePoint nextAt{};  // the record is not sent before
    };
    void enqueue(const std::string& key, QueueRank rank);
    /// Whether a queued record may be sent now, as far as it alone is concerned.
    [[nodiscard]] bool isSendable(const std::string& key) const;
    /// Makes refused records whose next attempt is due sendable.
    void resumeRefusedRecords(TimePoint now);
    /// The keys to write now, most urgent first; empty if nothing may be written now.
    std::vector<std::string> nextKeys(TimePoint now);
    /// How many writes may be spent now on records of that priority or a less urgent one; can be
    /// negative.
    [[nodiscard]] double availableWrites(WritePriority mostUrgent, TimePoint now);
    /// How many writes records of that priority must leave for user requests.
    [[nodiscard]] double reservedForUserRequests(WritePriority priority);
    Task<void> write(std::vector<std::string> keys, Scope& scope);
    /// Encodes the records, as many as fit into one transaction, and moves them from the queue into
    /// flight.
    Batch takeBatch(const std::vector<std::string>& keys);
    [[nodiscard]] Transaction transactionFor(const Batch& batch);
    [[nodiscard]] bool isFenced(const CommitResult& result) const;
    /// Reads the keys whose preconditions failed, updates their known revisions, and returns those
    /// whose stored value equals what was sent.
    Task<std::set<std::string>> findApplied(std::vector<std::string> failed, const Batch& batch,
                                            Scope& scope);
    void removeFromFlight(const Batch& batch);
    void onOk(const Batch& batch, Revision revision);
    void onConflict(const Batch& batch, const std::set<std::string>& applied);
    void reportCommitted(const BatchEntry& entry);
    void onMalformed(const Batch& batch);
    void onRecordRefused(const Batch& batch);
    /// Queues a refused record for its next attempt.
    void retryRefusedRecord(const Batch& batch);
    void onRateLimited(const Batch& batch);
    void onFailed(const Batch& batch);
    void requeue(const Batch& batch);

    EventLoop& loop_;
    Client& client_;
    const std::size_t maxRecordsConfigured_;
    /// Lower than configured after the service has refused a batch of that size.
    std::size_t maxRecords_;
    Precondition fence_;
    RecordSource& source_;
    WriteObserver& observer_;
    SharedWriteBudget* budget_;
    Event workAvailable_;
    std::unordered_map<std::string, Revision> revisions_;
    std::unordered_map<std::string, QueueRank> queue_;
    std::set<std::pair<QueueRank, std::string>> sendOrder_;  // queued and sendable
    std::set<std::string> inFlight_;
    std::set<std::string> sendAlone_;  // were in a refused batch, so each gets its own transaction
    std::map<std::string, RefusedRecordRetry> refusedRecords_;  // until they are committed
    std::size_t largestAcceptedBytes_ = 0;  // of a value, since the last refusal of a record
    std::size_t transactionsInFlight_ = 0;
    TimePoint pausedUntil_{};
    bool healthy_ = true;
};

}  // namespace basaltchute::kv_store
