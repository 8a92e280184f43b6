#include "kv_store/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::kv_store {

using namespace std::chrono_literals;

namespace {

constexpr Duration relayTimeout = 700ms;
constexpr Duration listTimeout = 4s;
/// Added to the timeout of a watch, for its response to arrive.
constexpr Duration watchGracePeriod = 2s;
/// How often the direct path is probed while requests go through a peer.
constexpr Duration probeInterval = 2s;
constexpr std::size_t maxIdleConnections = 6;
/// Shares of the service's request limit that one node uses. The limit applies to all nodes
/// together, so the leader and its followers must fit into it.
constexpr double requestRateShare = 0.7, requestBurstShare = 0.5;
/// Shares of the service's limit on writes that this client uses.
constexpr double writeRateShare = 0.95, writeBurstShare = 0.9;
/// Factors by which the write rate is changed when the service limits it, and when the service has
/// accepted it for a while.
constexpr double rateDecreaseFactor = 0.9, rateIncreaseFactor = 1.05;
/// The write rate never falls below this share of the configured maximum, unless a lower rate was
/// announced.
constexpr double minWriteRateShare = 0.2;
/// Several rate-limited writes within this time lower the rate only once.
constexpr Duration rateLimitBurstDuration = 1s;
/// Time from the last rate-limited write until the rate is raised, and between later raises.
constexpr Duration rateIncreaseDelay = 60s, rateIncreaseInterval = 10s;
constexpr std::size_t maxKeyBytes = 200;

Status statusOf(const http::RequestOutcome& outcome) {
    if (!outcome.answered) return outcome.sent ? Status::outcomeUnknown : Status::refused;
    switch (outcome.response.status) {
        case 200:
            return Status::ok;
        case 404:
            return Status::notFound;
        case 409:
            return Status::conflict;
        case 400:
            spdlog::warn("state service rejected a request as malformed: response={}",
                         outcome.response.body);
            return Status::malformed;
        case 429:
            return Status::rateLimited;
        default:
            return Status::refused;  // 503: not executed
    }
}

std::optional<KeyValue> decodeEntry(const json::Value& value) {
    auto key = json::string(value, "key");
    const auto revision = json::count(value, "stamp");
    const auto* data = json::find(value, "data");
    if (!key || !revision || data == nullptr) return std::nullopt;
    return KeyValue{std::move(*key), json::text(*data), *revision};
}

std::string encode(const Transaction& txn) {
    json::Writer out;
    out.open().key("guards").openArray();
    for (const auto& precondition : txn.preconditions)
        out.open().field("key", precondition.key).field("stamp", precondition.revision).close();
    out.closeArray().key("then").openArray();
    for (const auto& put : txn.puts) {
        out.open().field("put", put.key).key("data").raw(put.data);
        if (put.lease) out.field("hold", *put.lease);
        out.close();
    }
    for (const auto& key : txn.deletes) out.open().field("delete", key).close();
    out.closeArray().close();
    return out.text();
}

std::int64_t toMillis(Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

bool isValidKey(const std::string& key) {
    return !key.empty() && key.size() <= maxKeyBytes && key.find(' ') == std::string::npos;
}

bool equalAsJson(const std::string& one, const std::string& other) {
    const auto first = json::parse(one), second = json::parse(other);
    return first && second && *first == *second;
}

Client::Client(EventLoop& loop, const settings::Settings& s)
    : loop_(loop),
      http_(loop, s.stateAddress, maxIdleConnections),
      requestLimiter_(s.stateRps * requestRateShare, s.stateRps * requestBurstShare, loop.now()),
      writeLimiter_(s.stateWriteRps * writeRateShare, s.stateWriteRps * writeBurstShare,
                    loop.now()),
      maxWriteRate_(s.stateWriteRps * writeRateShare),
      announcedWriteRate_(s.stateWriteRpsNext * writeRateShare) {}

void Client::adaptWriteRate(Status status) {
    const TimePoint now = loop_.now();
    const double rate = writeLimiter_.rate();
    if (status == Status::rateLimited && now - rateLimitedAt_ >= rateLimitBurstDuration) {
        rateLimitedAt_ = now;
        const bool decreaseAnnounced = announcedWriteRate_ > 0 && announcedWriteRate_ < rate;
        const double decreasedRate =
            std::max(rate * rateDecreaseFactor, maxWriteRate_ * minWriteRateShare);
        writeLimiter_.setRate(decreaseAnnounced ? announcedWriteRate_ : decreasedRate, now);
        spdlog::info(
            "write rate adapted to the limit of the state service: writes_per_second={:.1f}",
            writeLimiter_.rate());
    } else if (status == Status::ok && rate < maxWriteRate_ &&
               now - rateLimitedAt_ >= rateIncreaseDelay) {
        // The limit may have been exceeded by another client's burst of writes, so a higher rate is
        // tried again, one step per `rateIncreaseInterval`.
        rateLimitedAt_ = now - rateIncreaseDelay + rateIncreaseInterval;
        writeLimiter_.setRate(std::min(rate * rateIncreaseFactor, maxWriteRate_), now);
    }
}

bool Client::isPlausible(Revision revision, Revision expectedAtLeast, const std::string& subject) {
    if (revision < expectedAtLeast) {
        spdlog::error(
            "response of the state service ignored, its revision is too old: "
            "subject=\"{}\" revision={} expected_at_least={}",
            subject, revision, expectedAtLeast);
        return false;
    }
    newestRevision_ = std::max(newestRevision_, revision);
    return true;
}

Task<http::RequestOutcome> Client::send(http::Request request, Duration timeout, Scope& scope) {
    // If the service refuses only this node, or a network partition separates only this node from
    // it, that looks like an outage from here, but a peer may still reach the service.
    http::RequestOutcome directOutcome;
    if (!relay_ || !directPathFailing_) {
        http::Request copy = request;
        directOutcome = co_await sendDirectly(std::move(copy), timeout, scope);
        const bool servedDirectly = directOutcome.answered && directOutcome.response.status != 503;
        if (servedDirectly || !relay_ || scope.cancelled()) co_return directOutcome;
        directPathFailing_ = true;
        nextProbeAt_ = loop_.now() + probeInterval;
    } else if (loop_.now() >= nextProbeAt_ && !probing_) {
        probing_ = true;
        scope.spawn(probeDirectPath(scope));
    }
    auto relayedOutcome =
        co_await relay_(std::move(request), std::min(timeout, relayTimeout), scope);
    if (!relayedOutcome.answered) {
        directPathFailing_ = false;
        // The request may have been executed on either path.
        relayedOutcome.sent =
            relayedOutcome.sent || (directOutcome.sent && !directOutcome.answered);
        if (directOutcome.answered && !relayedOutcome.sent) co_return directOutcome;
    }
    co_return relayedOutcome;
}

Task<void> Client::probeDirectPath(Scope& scope) {
    http::Request request{"GET", "/keys/lead/token", ""};
    const auto outcome = co_await sendDirectly(std::move(request), defaultTimeout, scope);
    if (outcome.answered && outcome.response.status != 503) directPathFailing_ = false;
    nextProbeAt_ = loop_.now() + probeInterval;
    probing_ = false;
}

Task<http::RequestOutcome> Client::sendDirectly(http::Request request, Duration timeout,
                                                Scope& scope) {
    while (!requestLimiter_.tryTake(loop_.now())) {
        const WakeReason woke = co_await loop_.sleep(requestLimiter_.timeUntil(loop_.now()), scope);
        if (woke == WakeReason::cancelled) co_return http::RequestOutcome{};
    }
    auto outcome = co_await http_.request(std::move(request), timeout, scope);
    co_return outcome;
}

Task<CommitResult> Client::commit(Transaction txn, Scope& scope, Duration timeout) {
    const bool writes = !(txn.puts.empty() && txn.deletes.empty());
    http::Request request{"POST", "/multi", encode(txn)};
    const Revision knownAtSend = newestRevision_;
    auto outcome = co_await send(std::move(request), timeout, scope);
    CommitResult result;
    result.status = statusOf(outcome);
    adaptWriteRate(result.status);
    if (!outcome.answered || (outcome.response.status != 200 && outcome.response.status != 409))
        co_return result;
    const auto doc = json::parse(outcome.response.body);
    const auto revision = doc ? json::count(*doc, "epoch") : std::nullopt;
    const auto* failed = doc ? json::array(*doc, "failed") : nullptr;
    if (!revision || (result.status == Status::conflict && failed == nullptr)) {
        spdlog::warn("malformed response of the state service: subject=transaction");
        result.status = Status::outcomeUnknown;
        co_return result;
    }
    // Each write raises the store's revision.
    const bool written = result.status == Status::ok && writes;
    if (!isPlausible(*revision, knownAtSend + (written ? 1 : 0), "transaction")) {
        result.status = Status::outcomeUnknown;
        co_return result;
    }
    result.revision = *revision;
    if (failed != nullptr)
        for (const auto& key : failed->GetArray())
            if (key.IsString()) result.failedKeys.emplace_back(key.GetString());
    co_return result;
}

Task<GetResult> Client::get(std::string key, Scope& scope) {
    http::Request request{"GET", "/keys/" + key, ""};
    const Revision knownAtSend = newestRevision_;
    auto outcome = co_await send(std::move(request), defaultTimeout, scope);
    GetResult found;
    found.status = statusOf(outcome);
    if (!outcome.answered || (outcome.response.status != 200 && outcome.response.status != 404))
        co_return found;
    const auto doc = json::parse(outcome.response.body, json::Strings::any);
    if (found.status == Status::notFound) {
        const auto revision = doc ? json::count(*doc, "epoch") : std::nullopt;
        if (!revision || !isPlausible(*revision, knownAtSend, key))
            found.status = Status::outcomeUnknown;
        found.revision = revision.value_or(0);
        co_return found;
    }
    if (doc) found.entry = decodeEntry(*doc);
    if (!found.entry || found.entry->key != key) {
        spdlog::error("malformed response of the state service: subject=\"{}\"", key);
        found.status = Status::outcomeUnknown;
        found.entry.reset();
        co_return found;
    }
    found.revision = found.entry->revision;
    co_return found;
}

Task<ListResult> Client::list(std::string prefix, Scope& scope) {
    ListResult all;
    bool more = true;
    while (more) {
        http::Request request{"GET", "/keys?under=" + prefix + "&page=1000", ""};
        if (!all.entries.empty()) request.target += "&after=" + all.entries.back().key;
        const Revision knownAtSend = newestRevision_;
        auto outcome = co_await send(std::move(request), listTimeout, scope);
        all.status = statusOf(outcome);
        if (all.status != Status::ok) break;
        more = appendPage(outcome.response.body, prefix, knownAtSend, all);
    }
    co_return all;
}

bool Client::appendPage(const std::string& body, const std::string& prefix, Revision knownAtSend,
                        ListResult& all) {
    // A value that cannot be read must not make all others unreadable; whoever reads it is told.
    const auto doc = json::parse(body, json::Strings::any);
    const auto* entries = doc ? json::array(*doc, "pairs") : nullptr;
    const auto more = doc ? json::boolean(*doc, "truncated") : std::nullopt;
    const auto revision = doc ? json::count(*doc, "epoch") : std::nullopt;
    if (entries == nullptr || !revision || !isPlausible(*revision, knownAtSend, prefix)) {
        all.status = Status::outcomeUnknown;
        return false;
    }
    for (const auto& value : entries->GetArray()) {
        auto entry = decodeEntry(value);
        const bool ascending =
            entry && (all.entries.empty() || entry->key > all.entries.back().key);
        if (!ascending || !entry->key.starts_with(prefix) || entry->revision > *revision) {
            spdlog::error("malformed response of the state service: subject=\"{}\"", prefix);
            all.status = Status::outcomeUnknown;
            return false;
        }
        all.entries.push_back(std::move(*entry));
    }
    all.revision = *revision;
    return more.value_or(false) && !entries->Empty();
}

Task<LeaseResult> Client::grantLease(Duration ttl, Scope& scope) {
    json::Writer out;
    out.open().field("lifeMs", toMillis(ttl)).close();
    http::Request request{"POST", "/grants", out.text()};
    LeaseResult lease;
    lease.sentAt = loop_.now();
    auto outcome = co_await send(std::move(request), defaultTimeout, scope);
    lease.status = statusOf(outcome);
    if (lease.status != Status::ok) co_return lease;
    const auto doc = json::parse(outcome.response.body);
    const auto id = doc ? json::count(*doc, "hold") : std::nullopt;
    if (!id) lease.status = Status::outcomeUnknown;
    lease.id = id.value_or(0);
    co_return lease;
}

Task<LeaseResult> Client::keepAlive(LeaseId id, Duration timeout, Scope& scope) {
    http::Request request{"POST", "/grants/" + std::to_string(id) + "/touch", ""};
    LeaseResult lease;
    lease.id = id;
    lease.sentAt = loop_.now();
    auto outcome = co_await send(std::move(request), timeout, scope);
    lease.status = statusOf(outcome);
    co_return lease;
}

Task<void> Client::revokeLease(LeaseId id, Scope& scope) {
    http::Request request{"DELETE", "/grants/" + std::to_string(id), ""};
    co_await send(std::move(request), defaultTimeout, scope);
}

Task<Status> Client::watch(std::string prefix, Revision after, Duration timeout, Scope& scope) {
    http::Request request{"GET",
                          "/watch?under=" + prefix + "&after=" + std::to_string(after) +
                              "&waitMs=" + std::to_string(toMillis(timeout)),
                          ""};
    auto outcome = co_await sendDirectly(std::move(request), timeout + watchGracePeriod, scope);
    co_return statusOf(outcome);
}

}  // namespace basaltchute::kv_store
