#include "state/writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::state {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t maxTransactions = 3;
constexpr std::size_t maxBatchBytes = 48 * 1024;
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
    auto [it, fresh] = queue_.try_emplace(key, Waiting{urgency, loop_.now()});
    if (!fresh) it->second.urgency = std::min(it->second.urgency, urgency);
    wake_.notify();
}

std::vector<std::string> Writer::nextBatch(TimePoint now) {
    std::vector<std::pair<Waiting, const std::string*>> ready;
    bool due = false;
    for (const auto& [key, w] : queue_) {
        if (inFlight_.contains(key)) continue;
        ready.emplace_back(w, &key);
        due = due || w.urgency != Urgency::rest || now - w.since >= coalesce;
    }
    std::vector<std::string> keys;
    if (!due) return keys;
    std::sort(ready.begin(), ready.end(), [](const auto& a, const auto& b) {
        return std::tie(a.first.urgency, a.first.since) < std::tie(b.first.urgency, b.first.since);
    });
    const auto room = static_cast<std::size_t>(client_.writes().available(now));
    for (const auto& r : ready) {
        if (keys.size() >= std::min(room, txnOps_)) break;
        keys.push_back(*r.second);
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
    std::map<std::string, Waiting> taken;
    std::size_t bytes = 0;
    for (const auto& key : keys) {
        Encoded e = hooks_.encode(key);
        if (bytes > 0 && bytes + e.data.size() > maxBatchBytes) break;
        bytes += e.data.size();
        txn.guards.push_back({key, revisions_[key]});
        txn.puts.push_back({key, std::move(e.data), std::nullopt});
        versions.emplace_back(key, e.version);
        taken.insert(queue_.extract(key));
        inFlight_.insert(key);
    }
    client_.writes().take(loop_.now(), static_cast<double>(versions.size()));
    Committed result = co_await client_.commit(std::move(txn), scope);
    --transactions_;
    for (const auto& v : versions) inFlight_.erase(v.first);
    if (scope.cancelled()) co_return;

    if (result.verdict == Verdict::ok) {
        healthy_ = true;
        for (const auto& [key, version] : versions) {
            revisions_[key] = result.revision;
            hooks_.committed(key, version);
        }
    } else {
        for (auto& [key, w] : taken) {
            auto [it, fresh] = queue_.try_emplace(key, w);
            if (!fresh) it->second = {std::min(it->second.urgency, w.urgency), w.since};
        }
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
