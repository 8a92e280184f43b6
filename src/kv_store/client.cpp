#include "kv_store/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::kv_store {

using namespace std::chrono_literals;

namespace {

constexpr Duration timeout = Client::defaultTimeout;
constexpr Duration relayTimeout = 700ms;
constexpr Duration probeEvery = 2s;  // of the own way while requests go over a peer
constexpr double usedShare = 0.95;   // of the rate of changes
constexpr double slower = 0.9, faster = 1.05, slowest = 0.2;
constexpr Duration oneRefusal = 1s;  // those of one burst count once
constexpr Duration tryAfter = 60s, tryAgain = 10s;

Status verdictOf(const http::RequestOutcome& o) {
    if (!o.answered) return o.sent ? Status::outcomeUnknown : Status::refused;
    switch (o.response.status) {
        case 200:
            return Status::ok;
        case 404:
            return Status::notFound;
        case 409:
            return Status::conflict;
        case 400:
            spdlog::warn("state service calls a request malformed: {}", o.response.body);
            return Status::malformed;
        case 429:
            return Status::rateLimited;
        default:
            return Status::refused;  // 503: not executed
    }
}

std::optional<KeyValue> itemOf(const json::Value& v) {
    auto key = json::string(v, "key");
    const auto stamp = json::count(v, "stamp");
    const auto* data = json::find(v, "data");
    if (!key || !stamp || data == nullptr) return std::nullopt;
    return KeyValue{std::move(*key), json::text(*data), *stamp};
}

}  // namespace

bool validKey(const std::string& key) {
    return !key.empty() && key.size() <= 200 && key.find(' ') == std::string::npos;
}

Client::Client(EventLoop& loop, const settings::Settings& s)
    : loop_(loop),
      http_(loop, s.state, 6),
      // The limit is the whole service's: one leader and its followers must fit in together.
      requestLimiter_(s.stateRps * 0.7, s.stateRps * 0.5, loop.now()),
      writeLimiter_(s.stateWriteRps * usedShare, s.stateWriteRps * 0.9, loop.now()),
      maxWriteRate_(s.stateWriteRps * usedShare),
      nextWriteRate_(s.stateWriteRpsNext * usedShare) {}

void Client::adaptWriteRate(Status status) {
    const TimePoint now = loop_.now();
    const double rate = writeLimiter_.rate();
    if (status == Status::rateLimited && now - rateLimitedAt_ >= oneRefusal) {
        rateLimitedAt_ = now;
        const bool fell = nextWriteRate_ > 0 && nextWriteRate_ < rate;
        writeLimiter_.setRate(
            fell ? nextWriteRate_ : std::max(rate * slower, maxWriteRate_ * slowest), now);
        spdlog::info("state service refuses for its rate: {:.1f} changes a second from now on",
                     writeLimiter_.rate());
    } else if (status == Status::ok && rate < maxWriteRate_ && now - rateLimitedAt_ >= tryAfter) {
        // It may have been a burst of somebody else's.
        rateLimitedAt_ = now - tryAfter + tryAgain;
        writeLimiter_.setRate(std::min(rate * faster, maxWriteRate_), now);
    }
}

bool Client::isPlausible(Revision at, Revision since, const std::string& about) {
    if (at < since) {
        spdlog::error("state service: an answer about {} is of revision {}, after {}: not heeded",
                      about, at, since);
        return false;
    }
    newestRevision_ = std::max(newestRevision_, at);
    return true;
}

Task<http::RequestOutcome> Client::send(http::Request request, Duration wait, Scope& scope) {
    // A refusal that only this node gets, or a cut that only it suffers, looks like an outage:
    // a peer may still reach the service.
    http::RequestOutcome first;
    if (!relay_ || !directPathFailing_) {
        http::Request copy = request;
        first = co_await direct(std::move(copy), wait, scope);
        const bool served = first.answered && first.response.status != 503;
        if (served || !relay_ || scope.cancelled()) co_return first;
        directPathFailing_ = true;
        nextProbe_ = loop_.now() + probeEvery;
    } else if (loop_.now() >= nextProbe_ && !probing_) {
        probing_ = true;
        scope.spawn(probe(scope));
    }
    auto relayed = co_await relay_(std::move(request), std::min(wait, relayTimeout), scope);
    if (!relayed.answered) {
        directPathFailing_ = false;
        // It may have been executed by either way.
        relayed.sent = relayed.sent || (first.sent && !first.answered);
        if (first.answered && !relayed.sent) co_return first;
    }
    co_return relayed;
}

Task<void> Client::probe(Scope& scope) {
    http::Request question{"GET", "/keys/lead/token", ""};
    const auto o = co_await direct(std::move(question), timeout, scope);
    if (o.answered && o.response.status != 503) directPathFailing_ = false;
    nextProbe_ = loop_.now() + probeEvery;
    probing_ = false;
}

Task<http::RequestOutcome> Client::direct(http::Request request, Duration wait, Scope& scope) {
    while (!requestLimiter_.tryTake(loop_.now())) {
        const Wake woke = co_await loop_.sleep(requestLimiter_.timeUntil(loop_.now()), scope);
        if (woke == Wake::cancelled) co_return http::RequestOutcome{};
    }
    auto outcome = co_await http_.request(std::move(request), wait, scope);
    co_return outcome;
}

Task<CommitResult> Client::commit(Transaction txn, Scope& scope, Duration wait) {
    json::Out out;
    out.open().key("guards").openArray();
    for (const auto& g : txn.preconditions)
        out.open().field("key", g.key).field("stamp", g.revision).close();
    out.closeArray().key("then").openArray();
    for (const auto& p : txn.puts) {
        out.open().field("put", p.key).key("data").raw(p.data);
        if (p.lease) out.field("hold", *p.lease);
        out.close();
    }
    for (const auto& key : txn.deletes) out.open().field("delete", key).close();
    out.closeArray().close();
    http::Request request{"POST", "/multi", out.text()};
    const Revision since = newestRevision_;
    auto o = co_await send(std::move(request), wait, scope);
    CommitResult result;
    result.status = verdictOf(o);
    adaptWriteRate(result.status);
    if (!o.answered || (o.response.status != 200 && o.response.status != 409)) co_return result;
    const auto doc = json::parse(o.response.body);
    const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
    const bool changed = result.status == Status::ok && !(txn.puts.empty() && txn.deletes.empty());
    const auto* failed = doc ? json::array(*doc, "failed") : nullptr;
    if (!epoch || (result.status == Status::conflict && failed == nullptr)) {
        spdlog::warn("state service: malformed answer to a transaction");
        result.status = Status::outcomeUnknown;
        co_return result;
    }
    if (!isPlausible(*epoch, since + (changed ? 1 : 0), "a transaction")) {
        result.status = Status::outcomeUnknown;
        co_return result;
    }
    result.revision = *epoch;
    if (failed != nullptr)
        for (const auto& k : failed->GetArray())
            if (k.IsString()) result.failedKeys.emplace_back(k.GetString());
    co_return result;
}

Task<GetResult> Client::get(std::string key, Scope& scope) {
    http::Request request{"GET", "/keys/" + key, ""};
    const Revision since = newestRevision_;
    auto o = co_await send(std::move(request), timeout, scope);
    GetResult found;
    found.status = verdictOf(o);
    if (!o.answered || (o.response.status != 200 && o.response.status != 404)) co_return found;
    const auto doc = json::parse(o.response.body);
    if (doc && found.status == Status::ok) found.entry = itemOf(*doc);
    if (found.status == Status::notFound) {
        const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
        if (!epoch || !isPlausible(*epoch, since, key)) found.status = Status::outcomeUnknown;
        found.at = epoch.value_or(0);
    }
    if (found.status == Status::ok && (!found.entry || found.entry->key != key)) {
        spdlog::error("state service: malformed answer about {}", key);
        found.status = Status::outcomeUnknown;
        found.entry.reset();
    }
    if (found.entry) found.at = found.entry->revision;
    co_return found;
}

Task<ListResult> Client::list(std::string prefix, Scope& scope) {
    ListResult all;
    std::string after;
    while (true) {
        http::Request request{"GET", "/keys?under=" + prefix + "&page=1000", ""};
        if (!after.empty()) request.target += "&after=" + after;
        const Revision since = newestRevision_;
        auto o = co_await send(std::move(request), 4s, scope);
        all.status = verdictOf(o);
        if (all.status != Status::ok) co_return all;
        const auto doc = json::parse(o.response.body);
        const auto* pairs = doc ? json::array(*doc, "pairs") : nullptr;
        const auto more = doc ? json::boolean(*doc, "truncated") : std::nullopt;
        const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
        if (pairs == nullptr || !epoch || !isPlausible(*epoch, since, prefix)) {
            all.status = Status::outcomeUnknown;
            co_return all;
        }
        for (const auto& p : pairs->GetArray()) {
            auto item = itemOf(p);
            if (!item || !item->key.starts_with(prefix) || item->key <= after ||
                item->revision > *epoch) {
                spdlog::error("state service: malformed item under {}", prefix);
                all.status = Status::outcomeUnknown;
                co_return all;
            }
            after = item->key;
            all.entries.push_back(std::move(*item));
        }
        all.at = *epoch;
        if (!more.value_or(false) || pairs->Empty()) co_return all;
    }
}

Task<LeaseResult> Client::grantLease(Duration life, Scope& scope) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(life).count();
    json::Out out;
    out.open().field("lifeMs", static_cast<std::int64_t>(ms)).close();
    http::Request request{"POST", "/grants", out.text()};
    LeaseResult g;
    g.sentAt = loop_.now();
    auto o = co_await send(std::move(request), timeout, scope);
    g.status = verdictOf(o);
    if (g.status != Status::ok) co_return g;
    const auto doc = json::parse(o.response.body);
    const auto id = doc ? json::count(*doc, "hold") : std::nullopt;
    if (!id) g.status = Status::outcomeUnknown;
    g.id = id.value_or(0);
    co_return g;
}

Task<LeaseResult> Client::keepAlive(LeaseId id, Duration wait, Scope& scope) {
    http::Request request{"POST", "/grants/" + std::to_string(id) + "/touch", ""};
    LeaseResult g;
    g.id = id;
    g.sentAt = loop_.now();
    auto o = co_await send(std::move(request), wait, scope);
    g.status = verdictOf(o);
    co_return g;
}

Task<void> Client::revokeLease(LeaseId id, Scope& scope) {
    http::Request request{"DELETE", "/grants/" + std::to_string(id), ""};
    co_await send(std::move(request), timeout, scope);
}

Task<Status> Client::watch(std::string prefix, Revision after, Duration wait, Scope& scope) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http::Request request{"GET",
                          "/watch?under=" + prefix + "&after=" + std::to_string(after) +
                              "&waitMs=" + std::to_string(ms),
                          ""};
    auto o = co_await direct(std::move(request), wait + 2s, scope);
    co_return verdictOf(o);
}

}  // namespace basaltchute::kv_store
