#include "kv_store/transaction_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace basaltchute::kv_store {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t maxTransactionsInFlight = 3;
constexpr std::size_t maxBatchBytes = 48UL * 1024;
/// Share of a burst of writes that less urgent records leave for user requests.
constexpr double userRequestShare = 0.3;
/// How long records wait, so that they are written together with others.
constexpr Duration backgroundDelay = 250ms, progressDelay = 1500ms;
constexpr Duration pauseAfterRefusal = 150ms;
/// Intervals at which a record is tried again that the service refuses for itself. Each doubles the
/// one before. The longest is a fraction of the time for which users repeat a request.
constexpr Duration minRefusedRecordDelay = 1s, maxRefusedRecordDelay = 8s;
/// How often the queue is checked while it is not empty: the write budget, the delays of records
/// and the pauses after a refusal all change with time.
constexpr Duration pollInterval = 50ms;

Duration coalescingDelay(WritePriority priority) {
    switch (priority) {
        case WritePriority::progress:
            return progressDelay;
        case WritePriority::background:
            return backgroundDelay;
        case WritePriority::userRequest:
        case WritePriority::immediate:
            break;
    }
    return Duration::zero();
}
}  // namespace

TransactionWriter::TransactionWriter(EventLoop& loop, Client& client, std::size_t maxRecords,
                                     Precondition fence, RecordSource& source,
                                     WriteObserver& observer, SharedWriteBudget* budget)
    : loop_(loop),
      client_(client),
      maxRecordsConfigured_(maxRecords),
      maxRecords_(maxRecords),
      fence_(std::move(fence)),
      source_(source),
      observer_(observer),
      budget_(budget),
      workAvailable_(loop) {}

void TransactionWriter::markDirty(const std::string& key, WritePriority priority) {
    enqueue(key, {priority, loop_.now()});
    workAvailable_.notify();
}

void TransactionWriter::enqueue(const std::string& key, QueueRank rank) {
    // However many records are refused, all others go first.
    if (refusedRecords_.contains(key)) rank.first = WritePriority::progress;
    const auto [it, inserted] = queue_.try_emplace(key, rank);
    if (!inserted) {
        const QueueRank queuedRank = it->second;
        if (queuedRank.first <= rank.first && queuedRank.second <= rank.second) return;
        sendOrder_.erase({queuedRank, key});
        it->second = {std::min(queuedRank.first, rank.first),
                      std::min(queuedRank.second, rank.second)};
    }
    if (isSendable(key)) sendOrder_.emplace(it->second, key);
}

bool TransactionWriter::isSendable(const std::string& key) const {
    if (inFlight_.contains(key)) return false;
    const auto refused = refusedRecords_.find(key);
    return refused == refusedRecords_.end() || loop_.now() >= refused->second.nextAt;
}

void TransactionWriter::resumeRefusedRecords(TimePoint now) {
    for (const auto& [key, retry] : refusedRecords_) {
        if (now < retry.nextAt || inFlight_.contains(key)) continue;
        if (const auto queued = queue_.find(key); queued != queue_.end())
            sendOrder_.emplace(queued->second, key);
    }
}

double TransactionWriter::reservedForUserRequests(WritePriority priority) {
    // Records that no user waits for must never use up the budget of those that a user waits for.
    return priority >= WritePriority::background ? client_.writeLimiter().burst() * userRequestShare
                                                 : 0;
}

double TransactionWriter::availableWrites(WritePriority mostUrgent, TimePoint now) {
    const double available = client_.writeLimiter().available(now);
    if (budget_ == nullptr) return available;
    const double reserved = reservedForUserRequests(mostUrgent);
    // Less urgent records request a share of the common budget only if there are writes for them,
    // so that they do not delay other writers.
    if (mostUrgent >= WritePriority::background && available - reserved < 1) return 0;
    return reserved + budget_->allowance(mostUrgent, available - reserved);
}

std::vector<std::string> TransactionWriter::nextKeys(TimePoint now) {
    std::vector<std::string> keys;
    if (sendOrder_.empty()) return keys;
    const auto due = [&](const QueueRank& rank) {
        return now - rank.second >= coalescingDelay(rank.first);
    };
    const QueueRank mostUrgent = sendOrder_.begin()->first;
    if (!due(mostUrgent)) return keys;
    const double available = availableWrites(mostUrgent.first, now);
    for (const auto& [rank, key] : sendOrder_) {
        if (rank.first == WritePriority::progress && !due(rank)) break;
        const bool affordable =
            static_cast<double>(keys.size()) + 1 <= available - reservedForUserRequests(rank.first);
        if (keys.size() >= maxRecords_ || !affordable) break;
        if (sendAlone_.contains(key)) {
            if (keys.empty()) keys.push_back(key);
            break;
        }
        keys.push_back(key);
    }
    return keys;
}

Task<void> TransactionWriter::run(Scope& scope) {
    while (!scope.cancelled()) {
        const TimePoint now = loop_.now();
        resumeRefusedRecords(now);
        std::vector<std::string> keys;
        if (transactionsInFlight_ < maxTransactionsInFlight && now >= pausedUntil_)
            keys = nextKeys(now);
        if (keys.empty()) {
            const TimePoint until = queue_.empty() ? TimePoint::max() : now + pollInterval;
            co_await loop_.wait(workAvailable_, until, scope);
            continue;
        }
        scope.spawn(write(std::move(keys), scope));
    }
}

TransactionWriter::Batch TransactionWriter::takeBatch(const std::vector<std::string>& keys) {
    Batch batch;
    for (const auto& key : keys) {
        auto record = source_.encode(key);
        if (record && batch.bytes > 0 && batch.bytes + record->data.size() > maxBatchBytes) break;
        const auto queued = queue_.find(key);
        const QueueRank rank = queued->second;
        sendOrder_.erase({rank, key});
        queue_.erase(queued);
        if (!record) {
            sendAlone_.erase(key);
            refusedRecords_.erase(key);
            continue;
        }
        inFlight_.insert(key);
        batch.bytes += record->data.size();
        batch.entries.push_back({key, record->version, rank});
        batch.data[key] = std::move(record->data);
    }
    return batch;
}

Transaction TransactionWriter::transactionFor(const Batch& batch) {
    Transaction txn;
    txn.preconditions.push_back(fence_);
    for (const auto& entry : batch.entries) {
        txn.preconditions.push_back({entry.key, revisions_[entry.key]});
        txn.puts.push_back({entry.key, batch.data.at(entry.key), std::nullopt});
    }
    return txn;
}

bool TransactionWriter::isFenced(const CommitResult& result) const {
    return result.status == Status::conflict &&
           std::find(result.failedKeys.begin(), result.failedKeys.end(), fence_.key) !=
               result.failedKeys.end();
}

Task<void> TransactionWriter::write(std::vector<std::string> keys, Scope& scope) {
    const Batch batch = takeBatch(keys);
    if (batch.entries.empty()) co_return;
    ++transactionsInFlight_;
    Transaction txn = transactionFor(batch);
    client_.writeLimiter().tryTake(loop_.now(), static_cast<double>(batch.entries.size()));
    const CommitResult result = co_await client_.commit(std::move(txn), scope);
    const bool fenced = isFenced(result);
    std::set<std::string> applied;
    if (result.status == Status::conflict && !fenced)
        applied = co_await findApplied(result.failedKeys, batch, scope);
    --transactionsInFlight_;
    removeFromFlight(batch);
    if (scope.cancelled()) co_return;
    if (fenced) {
        requeue(batch);
        observer_.onFenced();
        co_return;
    }
    switch (result.status) {
        case Status::ok:
            onOk(batch, result.revision);
            break;
        case Status::conflict:
            onConflict(batch, applied);
            break;
        case Status::malformed:
            onMalformed(batch);
            break;
        case Status::rateLimited:
            onRateLimited(batch);
            break;
        case Status::notFound:
        case Status::refused:
        case Status::outcomeUnknown:
            onFailed(batch);
            break;
    }
    workAvailable_.notify();
}

Task<std::set<std::string>> TransactionWriter::findApplied(std::vector<std::string> failed,
                                                           const Batch& batch, Scope& scope) {
    // An earlier transaction of this writer was executed, but its response was lost. Mostly it had
    // the same content as this one, which repeats it. Records that are already stored as sent are
    // not written a second time.
    std::set<std::string> applied;
    for (const auto& key : failed) {
        const GetResult found = co_await client_.get(key, scope);
        if (scope.cancelled()) break;
        if (found.status == Status::notFound) revisions_[key] = 0;
        if (found.status != Status::ok) continue;
        revisions_[key] = found.entry->revision;
        const auto sent = batch.data.find(key);
        if (sent != batch.data.end() && equalAsJson(sent->second, found.entry->data))
            applied.insert(key);
    }
    co_return applied;
}

void TransactionWriter::removeFromFlight(const Batch& batch) {
    for (const auto& entry : batch.entries) {
        inFlight_.erase(entry.key);
        // The record changed while it was in flight, and may now be written again.
        const auto queued = queue_.find(entry.key);
        if (queued != queue_.end() && isSendable(entry.key))
            sendOrder_.emplace(queued->second, entry.key);
    }
}

void TransactionWriter::requeue(const Batch& batch) {
    for (const auto& entry : batch.entries) enqueue(entry.key, entry.rank);
}

void TransactionWriter::onOk(const Batch& batch, Revision revision) {
    healthy_ = true;
    for (const auto& entry : batch.entries) {
        revisions_[entry.key] = revision;
        largestAcceptedBytes_ = std::max(largestAcceptedBytes_, batch.data.at(entry.key).size());
        reportCommitted(entry);
    }
}

void TransactionWriter::reportCommitted(const BatchEntry& entry) {
    sendAlone_.erase(entry.key);
    refusedRecords_.erase(entry.key);
    observer_.onCommitted(entry.key, entry.version);
}

void TransactionWriter::onConflict(const Batch& batch, const std::set<std::string>& applied) {
    for (const auto& entry : batch.entries)
        if (!applied.contains(entry.key)) enqueue(entry.key, entry.rank);
    for (const auto& entry : batch.entries)
        if (applied.contains(entry.key)) reportCommitted(entry);
}

void TransactionWriter::onMalformed(const Batch& batch) {
    // The transaction has too many records or too many bytes, or one of its records is too large or
    // malformed. If it were repeated unchanged, it would block all other records forever.
    if (batch.entries.size() == 1) return onRecordRefused(batch);
    maxRecords_ = std::max<std::size_t>(1, std::min(maxRecords_, batch.entries.size() / 2));
    for (const auto& entry : batch.entries) sendAlone_.insert(entry.key);
    requeue(batch);
}

void TransactionWriter::onRecordRefused(const Batch& batch) {
    const std::string& key = batch.entries.front().key;
    // The record explains why the batch was refused that it was in: that batch was not too large.
    if (!refusedRecords_.contains(key)) maxRecords_ = maxRecordsConfigured_;
    const bool sizeWasAccepted = batch.bytes <= std::exchange(largestAcceptedBytes_, 0);
    const auto action = observer_.onRecordRefused({key, batch.bytes, sizeWasAccepted});
    if (action == RefusedRecordAction::retry) return retryRefusedRecord(batch);
    sendAlone_.erase(key);
    refusedRecords_.erase(key);
}

void TransactionWriter::retryRefusedRecord(const Batch& batch) {
    const std::string& key = batch.entries.front().key;
    RefusedRecordRetry& retry = refusedRecords_[key];
    retry.delay = std::clamp(retry.delay * 2, minRefusedRecordDelay, maxRefusedRecordDelay);
    retry.nextAt = loop_.now() + retry.delay;
    sendAlone_.insert(key);
    // The record may have changed while it was in flight. It waits all the same.
    if (const auto queued = queue_.find(key); queued != queue_.end()) {
        sendOrder_.erase({queued->second, key});
        queue_.erase(queued);
    }
    enqueue(key, {WritePriority::progress, loop_.now()});
    spdlog::error("state service refuses a record, trying it again: key={} bytes={} delay_s={:.0f}",
                  key, batch.bytes, toSeconds(retry.delay));
}

void TransactionWriter::onRateLimited(const Batch& batch) {
    // The service works, but not at this rate. The most urgent records go first, and no user
    // request is refused.
    requeue(batch);
    pausedUntil_ = loop_.now() + pauseAfterRefusal;
}

void TransactionWriter::onFailed(const Batch& batch) {
    requeue(batch);
    if (healthy_)
        spdlog::warn("state service does not accept writes: queued_records={}", queue_.size());
    healthy_ = false;
    pausedUntil_ = loop_.now() + pauseAfterRefusal;
    observer_.onWriteFailed();
}

}  // namespace basaltchute::kv_store
