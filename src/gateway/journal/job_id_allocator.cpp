#include "gateway/journal/job_id_allocator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {
constexpr std::uint64_t block = 1000;
constexpr std::size_t width = 6;  // digits, at least
}  // namespace

JobIdAllocator::JobIdAllocator(EventLoop& loop, kv_store::Client& client,
                               WriteLimiter& writeLimiter, const Settings& settings)
    : loop_(loop),
      client_(client),
      writeLimiter_(writeLimiter),
      settings_(settings),
      reserved_(loop) {}

Task<bool> JobIdAllocator::reserve(Scope& scope) {
    const std::string key = settings_.statePrefix + "refs";
    const auto found = co_await client_.get(key, scope);
    std::uint64_t from = settings_.refsFrom;
    kv_store::Revision revision = 0;
    if (found.status == kv_store::Status::ok) {
        const auto doc = json::parse(found.entry->data);
        const auto next = doc ? json::count(*doc, "next") : std::nullopt;
        if (!next) {
            spdlog::error("{}: expected a record with \"next\"; no refs are handed out", key);
            co_return false;
        }
        from = std::max(from, *next);
        revision = found.entry->revision;
    } else if (found.status != kv_store::Status::notFound) {
        co_return false;
    }
    const std::uint64_t to = std::min(from + block, settings_.refsTo);
    if (from >= to) {
        spdlog::error("the range of refs is used up: widen \"refs\" in the settings");
        co_return false;
    }
    const bool may = co_await writeLimiter_.acquire(1, scope);
    if (!may) co_return false;
    json::Writer out;
    out.open().field("next", to).close();
    kv_store::Transaction txn;
    txn.preconditions = {{key, revision}};
    txn.puts = {{key, out.text(), std::nullopt}};
    const auto committed = co_await client_.commit(std::move(txn), scope);
    // Without an answer the block may be ours or not: it is left unused.
    if (committed.status != kv_store::Status::ok) co_return false;
    next_ = from;
    end_ = to;
    co_return true;
}

Task<std::optional<std::string>> JobIdAllocator::next(Scope& scope) {
    while (next_ == end_) {
        if (reserving_) {
            const WakeReason woke = co_await loop_.wait(reserved_, TimePoint::max(), scope);
            if (woke == WakeReason::cancelled) co_return std::nullopt;
            if (next_ == end_ && !reserving_) co_return std::nullopt;
            continue;
        }
        reserving_ = true;
        bool good = false;
        // Another instance may take a block at the same moment: tried again with what it left.
        for (int i = 0; i < 3 && !good && !scope.cancelled(); ++i) {
            good = co_await reserve(scope);
            if (!good) co_await loop_.sleep(200ms, scope);
        }
        reserving_ = false;
        reserved_.notify();
        if (!good) co_return std::nullopt;
    }
    std::string digits = std::to_string(next_++);
    if (digits.size() < width) digits.insert(0, width - digits.size(), '0');
    co_return settings_.refWord + '-' + digits;
}

}  // namespace basaltchute::gateway
