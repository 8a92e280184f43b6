#include "state/writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::state {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t maxTransactions = 3;
constexpr std::size_t maxBatchBytes = 48 * 1024;
constexpr double keptShare = 0.3;     // of a burst of writes, for what is urgent
constexpr Duration coalesce = 250ms;  // how long the least urgent wait for company
constexpr Duration pauseAfterRefusal = 150ms;
}  // namespace

Writer::Writer(Loop& loop, Client& client, std::size_t txnOps, Guard leader, Hooks hooks)
    : loop_(loop),
      client_(client),
      txnOps_(txnOps),
      leader_(std::move(leader)),
      hooks_(std::move(hooks)),
      wake_(loop) {}

void Writer::dirty(const std::string& key, Urgency urgency) {
    enqueue(key, {urgency, loop_.now()});
    wake_.notify();
}

void Writer::enqueue(const std::string& key, Rank rank) {
    const auto [it, fresh] = queue_.try_emplace(key, rank);
    if (!fresh) {
        const Rank before = it->second;
        if (before.first <= rank.first && before.second <= rank.second) return;
        byRank_.erase({before, key});
        it->second = {std::min(before.first, rank.first), std::min(before.second, rank.second)};
    }
    if (!inFlight_.contains(key)) byRank_.emplace(it->second, key);
}

std::vector<std::string> Writer::nextBatch(TimePoint now) {
    std::vector<std::string> keys;
    if (byRank_.empty()) return keys;
    const bool due = byRank_.begin()->first.first != Urgency::rest ||
                     now - byRank_.begin()->first.second >= coalesce;
    if (!due) return keys;
    double available = client_.writes().available(now);
    if (hooks_.turn) {
        const Urgency first = byRank_.begin()->first.first;
        const double kept = first == Urgency::rest ? client_.writes().burst() * keptShare : 0;
        // What is not urgent queues up only when it can be paid for: it must not hold up others.
        if (first == Urgency::rest && available - kept < 1) return keys;
        available = kept + hooks_.turn(first, available - kept);
    }
    for (const auto& [rank, key] : byRank_) {
        // What users wait for never finds the budget spent on what nobody waits for.
        const double kept = rank.first == Urgency::rest ? client_.writes().burst() * keptShare : 0;
        if (keys.size() >= txnOps_ || static_cast<double>(keys.size()) + 1 > available - kept)
            break;
        keys.push_back(key);
    }
    return keys;
}

Task<void> Writer::run(Scope& scope) {
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

Task<void> Writer::write(std::vector<std::string> keys, Scope& scope) {
    ++transactions_;
    Transaction txn;
    txn.guards.push_back(leader_);
    std::vector<std::pair<std::string, std::uint64_t>> versions;
    std::vector<std::pair<std::string, Rank>> taken;
    std::size_t bytes = 0;
    for (const auto& key : keys) {
        Encoded e = hooks_.encode(key);
        if (bytes > 0 && bytes + e.data.size() > maxBatchBytes) break;
        bytes += e.data.size();
        txn.guards.push_back({key, revisions_[key]});
        txn.puts.push_back({key, std::move(e.data), std::nullopt});
        versions.emplace_back(key, e.version);
        const auto waiting = queue_.find(key);
        byRank_.erase({waiting->second, key});
        taken.emplace_back(*waiting);
        queue_.erase(waiting);
        inFlight_.insert(key);
    }
    client_.writes().take(loop_.now(), static_cast<double>(versions.size()));
    Committed result = co_await client_.commit(std::move(txn), scope);
    --transactions_;
    for (const auto& [key, version] : versions) {
        inFlight_.erase(key);
        // Changed again meanwhile: it may be written again now.
        if (const auto again = queue_.find(key); again != queue_.end())
            byRank_.emplace(again->second, key);
    }
    if (scope.cancelled()) co_return;

    if (result.verdict == Verdict::ok) {
        healthy_ = true;
        for (const auto& [key, version] : versions) {
            revisions_[key] = result.revision;
            hooks_.committed(key, version);
        }
    } else {
        for (const auto& [key, rank] : taken) enqueue(key, rank);
        if (result.verdict == Verdict::conflict) {
            if (std::find(result.failed.begin(), result.failed.end(), leader_.key) !=
                result.failed.end()) {
                hooks_.fenced();
                co_return;
            }
            // An earlier transaction of ours was applied after all: learn the revision it left.
            for (const auto& key : result.failed) {
                const Found found = co_await client_.get(key, scope);
                if (found.verdict == Verdict::ok) revisions_[key] = found.item->revision;
                if (found.verdict == Verdict::notFound) revisions_[key] = 0;
            }
        } else {
            if (healthy_)
                spdlog::warn("state service does not take writes; holding {}", queue_.size());
            healthy_ = false;
            pauseUntil_ = loop_.now() + pauseAfterRefusal;
            hooks_.troubled();
        }
    }
    wake_.notify();
}

}  // namespace basaltchute::state
