#include "gateway/journal/job_id_allocator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {
constexpr std::uint64_t blockSize = 1000;
constexpr std::size_t minDigits = 6;  // refs are padded with zeros to this length
}  // namespace

JobIdAllocator::JobIdAllocator(EventLoop& loop, kv_store::Client& client,
                               WriteLimiter& writeLimiter, const Settings& settings)
    : loop_(loop),
      client_(client),
      writeLimiter_(writeLimiter),
      settings_(settings),
      blockReserved_(loop) {}

Task<bool> JobIdAllocator::reserveBlock(Scope& scope) {
    const std::string key = settings_.statePrefix + "refs";
    const auto found = co_await client_.get(key, scope);
    std::uint64_t first = settings_.refsFrom;
    kv_store::Revision revision = 0;
    if (found.status == kv_store::Status::ok) {
        const auto doc = json::parse(found.entry->data);
        const auto next = doc ? json::count(*doc, "next") : std::nullopt;
        if (!next) {
            spdlog::error(
                "job reference record is invalid, no refs are allocated: key={} expected=next",
                key);
            co_return false;
        }
        first = std::max(first, *next);
        revision = found.entry->revision;
    } else if (found.status != kv_store::Status::notFound) {
        co_return false;
    }
    const std::uint64_t end = std::min(first + blockSize, settings_.refsTo);
    if (first >= end) {
        spdlog::error("job reference range is used up, widen \"refs\" in the settings: end={}",
                      settings_.refsTo);
        co_return false;
    }
    const bool acquired = co_await writeLimiter_.acquire(1, scope);
    if (!acquired) co_return false;
    json::Writer out;
    out.open().field("next", end).close();
    kv_store::Transaction txn;
    txn.preconditions = {{key, revision}};
    txn.puts = {{key, out.text(), std::nullopt}};
    const auto committed = co_await client_.commit(std::move(txn), scope);
    // If the answer was lost, the reservation may have been applied: the block stays unused.
    if (committed.status != kv_store::Status::ok) co_return false;
    nextId_ = first;
    blockEnd_ = end;
    co_return true;
}

Task<std::optional<std::string>> JobIdAllocator::next(Scope& scope) {
    while (nextId_ == blockEnd_) {
        if (reserving_) {
            const WakeReason woke = co_await loop_.wait(blockReserved_, TimePoint::max(), scope);
            if (woke == WakeReason::cancelled) co_return std::nullopt;
            if (nextId_ == blockEnd_ && !reserving_) co_return std::nullopt;
            continue;
        }
        reserving_ = true;
        bool reserved = false;
        // Another instance may have reserved a block at the same time: retry with the range
        // that is left.
        for (int i = 0; i < 3 && !reserved && !scope.cancelled(); ++i) {
            reserved = co_await reserveBlock(scope);
            if (!reserved) co_await loop_.sleep(200ms, scope);
        }
        reserving_ = false;
        blockReserved_.notify();
        if (!reserved) co_return std::nullopt;
    }
    std::string digits = std::to_string(nextId_++);
    if (digits.size() < minDigits) digits.insert(0, minDigits - digits.size(), '0');
    co_return settings_.refWord + '-' + digits;
}

}  // namespace basaltchute::gateway
