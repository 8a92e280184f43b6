#include "kv_store/transaction_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::kv_store {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t maxTransactions = 3;
constexpr std::size_t maxBatchBytes = 48 * 1024;
constexpr double keptShare = 0.3;  // of a burst of writes, for what is urgent
constexpr Duration coalesce = 250ms, coalesceProgress = 1500ms;  // wait for company
constexpr Duration pauseAfterRefusal = 150ms;
}  // namespace

TransactionWriter::TransactionWriter(EventLoop& loop, Client& client, std::size_t txnOps,
                                     Precondition leader, Hooks hooks)
    : loop_(loop),
      client_(client),
      txnOps_(txnOps),
      fence_(std::move(leader)),
      hooks_(std::move(hooks)),
      wake_(loop) {}

void TransactionWriter::markDirty(const std::string& key, WritePriority urgency) {
    enqueue(key, {urgency, loop_.now()});
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

std::vector<std::string> TransactionWriter::nextBatch(TimePoint now) {
    std::vector<std::string> keys;
    if (byRank_.empty()) return keys;
    const auto due = [&](const Rank& rank) {
        const Duration wait = rank.first == WritePriority::progress ? coalesceProgress
                              : rank.first == WritePriority::rest   ? coalesce
                                                                    : Duration::zero();
        return now - rank.second >= wait;
    };
    const auto [first, since] = byRank_.begin()->first;
    if (!due({first, since})) return keys;
    double available = client_.writeLimiter().available(now);
    // What users wait for never finds the budget spent on what nobody waits for.
    const auto keptFor = [&](WritePriority urgency) {
        return urgency >= WritePriority::rest ? client_.writeLimiter().burst() * keptShare : 0;
    };
    if (hooks_.writeAllowance) {
        const double kept = keptFor(first);
        // What is not urgent queues up only when it can be paid for: it must not hold up others.
        if (first >= WritePriority::rest && available - kept < 1) return keys;
        available = kept + hooks_.writeAllowance(first, available - kept);
    }
    for (const auto& [rank, key] : byRank_) {
        if (rank.first == WritePriority::progress && !due(rank)) break;
        if (keys.size() >= txnOps_ ||
            static_cast<double>(keys.size()) + 1 > available - keptFor(rank.first))
            break;
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
        std::vector<std::string> batch;
        if (transactions_ < maxTransactions && now >= pauseUntil_) batch = nextBatch(now);
        if (batch.empty()) {
            // Budget, coalescing and pauses all pass with time: look again soon if work waits.
            const TimePoint until = queue_.empty() ? TimePoint::max() : now + 50ms;
            co_await loop_.wait(wake_, until, scope);
            continue;
        }
        scope.spawn(write(std::move(batch), scope));
    }
}

Task<void> TransactionWriter::write(std::vector<std::string> keys, Scope& scope) {
    ++transactions_;
    Transaction txn;
    txn.preconditions.push_back(fence_);
    std::vector<std::pair<std::string, std::uint64_t>> versions;
    std::vector<std::pair<std::string, Rank>> taken;
    std::map<std::string, std::string> sent;
    std::size_t bytes = 0;
    for (const auto& key : keys) {
        auto e = hooks_.encode(key);
        if (e && bytes > 0 && bytes + e->data.size() > maxBatchBytes) break;
        const auto waiting = queue_.find(key);
        byRank_.erase({waiting->second, key});
        if (!e) {
            queue_.erase(waiting);
            sentAlone_.erase(key);
            continue;
        }
        bytes += e->data.size();
        txn.preconditions.push_back({key, revisions_[key]});
        txn.puts.push_back({key, e->data, std::nullopt});
        sent[key] = std::move(e->data);
        versions.emplace_back(key, e->version);
        taken.emplace_back(*waiting);
        queue_.erase(waiting);
        inFlight_.insert(key);
    }
    if (versions.empty()) {
        --transactions_;
        co_return;
    }
    client_.writeLimiter().tryTake(loop_.now(), static_cast<double>(versions.size()));
    CommitResult result = co_await client_.commit(std::move(txn), scope);
    const bool conflict = result.status == Status::conflict;
    const bool fenced = conflict && std::find(result.failedKeys.begin(), result.failedKeys.end(),
                                              fence_.key) != result.failedKeys.end();
    std::set<std::string> stood;
    if (conflict && !fenced) stood = co_await findApplied(result.failedKeys, sent, scope);
    --transactions_;
    for (const auto& [key, version] : versions) {
        inFlight_.erase(key);
        // Changed again meanwhile: it may be written again now.
        if (const auto again = queue_.find(key); again != queue_.end())
            byRank_.emplace(again->second, key);
    }
    if (scope.cancelled()) co_return;

    if (result.status == Status::ok) {
        healthy_ = true;
        for (const auto& [key, version] : versions) {
            revisions_[key] = result.revision;
            sentAlone_.erase(key);
            hooks_.committed(key, version);
        }
    } else if (result.status == Status::malformed && (taken.size() > 1 || hooks_.tooLarge)) {
        onMalformed(taken, bytes);
    } else {
        for (const auto& [key, rank] : taken)
            if (!stood.contains(key)) enqueue(key, rank);
        if (fenced) {
            hooks_.fenced();
            co_return;
        }
        if (conflict) {
            for (const auto& [key, version] : versions)
                if (stood.contains(key)) hooks_.committed(key, version);
        } else if (result.status == Status::rateLimited) {
            // It serves, if not that fast: what is most urgent goes first, and nobody is refused.
            pauseUntil_ = loop_.now() + pauseAfterRefusal;
        } else {
            if (healthy_)
                spdlog::warn("state service does not take writes; holding {}", queue_.size());
            healthy_ = false;
            pauseUntil_ = loop_.now() + pauseAfterRefusal;
            hooks_.writeFailed();
        }
    }
    wake_.notify();
}

Task<std::set<std::string>> TransactionWriter::findApplied(
    std::vector<std::string> failed, const std::map<std::string, std::string>& sent, Scope& scope) {
    // An earlier transaction of ours was carried out after all, and its answer was lost. Mostly it
    // is this very one, sent again: what stands already is not written a second time.
    std::set<std::string> out;
    for (const auto& key : failed) {
        const GetResult found = co_await client_.get(key, scope);
        if (scope.cancelled()) break;
        if (found.status == Status::notFound) revisions_[key] = 0;
        if (found.status != Status::ok) continue;
        revisions_[key] = found.entry->revision;
        const auto mine = sent.find(key);
        if (mine == sent.end()) continue;
        const auto here = json::parse(mine->second), there = json::parse(found.entry->data);
        if (here && there && *here == *there) out.insert(key);
    }
    co_return out;
}

void TransactionWriter::onMalformed(const std::vector<std::pair<std::string, Rank>>& taken,
                                    std::size_t bytes) {
    // Too many or too much at once, or one of them: repeated as it is it would hold up the others
    // for ever.
    if (taken.size() == 1) {
        sentAlone_.erase(taken[0].first);
        hooks_.tooLarge(taken[0].first, bytes);
        return;
    }
    txnOps_ = std::max<std::size_t>(1, std::min(txnOps_, taken.size() / 2));
    for (const auto& [key, rank] : taken) {
        sentAlone_.insert(key);
        enqueue(key, rank);
    }
}

}  // namespace basaltchute::kv_store
