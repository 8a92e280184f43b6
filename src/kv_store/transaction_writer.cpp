#include "kv_store/transaction_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::kv_store {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t maxTransactions = 3;  // in flight
constexpr std::size_t maxBatchBytes = 48UL * 1024;
/// Of a burst of writes, what less urgent work leaves to users' requests.
constexpr double reservedShare = 0.3;
/// How long records wait for others to be written with.
constexpr Duration coalesceRest = 250ms, coalesceProgress = 1500ms;
constexpr Duration pauseAfterRefusal = 150ms;
/// Budget, coalescing and pauses all pass with time: while work waits they are checked so often.
constexpr Duration pollInterval = 50ms;

Duration coalescingTime(WritePriority priority) {
    switch (priority) {
        case WritePriority::progress:
            return coalesceProgress;
        case WritePriority::background:
            return coalesceRest;
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
      maxRecords_(maxRecords),
      fence_(std::move(fence)),
      source_(source),
      observer_(observer),
      budget_(budget),
      wake_(loop) {}

void TransactionWriter::markDirty(const std::string& key, WritePriority priority) {
    enqueue(key, {priority, loop_.now()});
    wake_.notify();
}

void TransactionWriter::enqueue(const std::string& key, Rank rank) {
    const auto [it, fresh] = queue_.try_emplace(key, rank);
    if (!fresh) {
        const Rank before = it->second;
        if (before.first <= rank.first && before.second <= rank.second) return;
        byRank_.erase({before, key});
        it->second = {std::min(before.first, rank.first), std::min(before.second, rank.second)};
    }
    if (!inFlight_.contains(key)) byRank_.emplace(it->second, key);
}

double TransactionWriter::reservedFrom(WritePriority priority) {
    // What users wait for never finds the budget spent on what nobody waits for.
    return priority >= WritePriority::background ? client_.writeLimiter().burst() * reservedShare
                                                 : 0;
}

double TransactionWriter::availableWrites(WritePriority mostUrgent, TimePoint now) {
    const double available = client_.writeLimiter().available(now);
    if (budget_ == nullptr) return available;
    const double reserved = reservedFrom(mostUrgent);
    // What is not urgent asks for its share only when it can be paid for: it must not hold up
    // others.
    if (mostUrgent >= WritePriority::background && available - reserved < 1) return 0;
    return reserved + budget_->allowance(mostUrgent, available - reserved);
}

std::vector<std::string> TransactionWriter::nextKeys(TimePoint now) {
    std::vector<std::string> keys;
    if (byRank_.empty()) return keys;
    const auto due = [&](const Rank& rank) {
        return now - rank.second >= coalescingTime(rank.first);
    };
    const Rank first = byRank_.begin()->first;
    if (!due(first)) return keys;
    const double available = availableWrites(first.first, now);
    for (const auto& [rank, key] : byRank_) {
        if (rank.first == WritePriority::progress && !due(rank)) break;
        const bool affordable =
            static_cast<double>(keys.size()) + 1 <= available - reservedFrom(rank.first);
        if (keys.size() >= maxRecords_ || !affordable) break;
        if (sentAlone_.contains(key)) {
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
        std::vector<std::string> keys;
        if (transactions_ < maxTransactions && now >= pauseUntil_) keys = nextKeys(now);
        if (keys.empty()) {
            const TimePoint until = queue_.empty() ? TimePoint::max() : now + pollInterval;
            co_await loop_.wait(wake_, until, scope);
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
        const Rank rank = queued->second;
        byRank_.erase({rank, key});
        queue_.erase(queued);
        if (!record) {
            sentAlone_.erase(key);
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
    ++transactions_;
    Transaction txn = transactionFor(batch);
    client_.writeLimiter().tryTake(loop_.now(), static_cast<double>(batch.entries.size()));
    const CommitResult result = co_await client_.commit(std::move(txn), scope);
    const bool fenced = isFenced(result);
    std::set<std::string> applied;
    if (result.status == Status::conflict && !fenced)
        applied = co_await findApplied(result.failedKeys, batch, scope);
    --transactions_;
    landBatch(batch);
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
    wake_.notify();
}

Task<std::set<std::string>> TransactionWriter::findApplied(std::vector<std::string> failed,
                                                           const Batch& batch, Scope& scope) {
    // An earlier transaction of this writer was executed after all, and its answer was lost. Mostly
    // it is this very one, sent again: what is stored already is not written a second time.
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

void TransactionWriter::landBatch(const Batch& batch) {
    for (const auto& entry : batch.entries) {
        inFlight_.erase(entry.key);
        // Changed again meanwhile: it may be written again now.
        if (const auto again = queue_.find(entry.key); again != queue_.end())
            byRank_.emplace(again->second, entry.key);
    }
}

void TransactionWriter::requeue(const Batch& batch) {
    for (const auto& entry : batch.entries) enqueue(entry.key, entry.rank);
}

void TransactionWriter::onOk(const Batch& batch, Revision revision) {
    healthy_ = true;
    for (const auto& entry : batch.entries) {
        revisions_[entry.key] = revision;
        sentAlone_.erase(entry.key);
        observer_.onCommitted(entry.key, entry.version);
    }
}

void TransactionWriter::onConflict(const Batch& batch, const std::set<std::string>& applied) {
    for (const auto& entry : batch.entries)
        if (!applied.contains(entry.key)) enqueue(entry.key, entry.rank);
    for (const auto& entry : batch.entries)
        if (applied.contains(entry.key)) observer_.onCommitted(entry.key, entry.version);
}

void TransactionWriter::onMalformed(const Batch& batch) {
    // Too many or too much at once, or one of them: repeated as it is it would hold up the others
    // for ever.
    if (batch.entries.size() == 1) {
        const std::string& key = batch.entries.front().key;
        if (observer_.onTooLarge(key, batch.bytes) == TooLargeAction::retry)
            onFailed(batch);
        else
            sentAlone_.erase(key);
        return;
    }
    maxRecords_ = std::max<std::size_t>(1, std::min(maxRecords_, batch.entries.size() / 2));
    for (const auto& entry : batch.entries) sentAlone_.insert(entry.key);
    requeue(batch);
}

void TransactionWriter::onRateLimited(const Batch& batch) {
    // The service serves, if not that fast: what is most urgent goes first, and nobody is refused.
    requeue(batch);
    pauseUntil_ = loop_.now() + pauseAfterRefusal;
}

void TransactionWriter::onFailed(const Batch& batch) {
    requeue(batch);
    if (healthy_)
        spdlog::warn("state service does not take writes queued_records={}", queue_.size());
    healthy_ = false;
    pauseUntil_ = loop_.now() + pauseAfterRefusal;
    observer_.onWriteFailed();
}

}  // namespace basaltchute::kv_store
