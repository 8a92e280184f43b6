#include "state/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::state {

using namespace std::chrono_literals;

namespace {

constexpr Duration patience = Client::usualPatience;
constexpr Duration relayPatience = 700ms;
constexpr Duration probeEvery = 2s;  // of the own way while requests go over a peer
constexpr double usedShare = 0.95;   // of the rate of changes
constexpr double slower = 0.9, faster = 1.05, slowest = 0.2;
constexpr Duration oneRefusal = 1s;  // those of one burst count once
constexpr Duration tryAfter = 60s, tryAgain = 10s;

Verdict verdictOf(const http::Outcome& o) {
    if (!o.answered) return o.sent ? Verdict::unknown : Verdict::refused;
    switch (o.response.status) {
        case 200:
            return Verdict::ok;
        case 404:
            return Verdict::notFound;
        case 409:
            return Verdict::conflict;
        case 400:
            spdlog::warn("state service calls a request malformed: {}", o.response.body);
            return Verdict::malformed;
        case 429:
            return Verdict::limited;
        default:
            return Verdict::refused;  // 503: not executed
    }
}

std::optional<Item> itemOf(const json::Value& v) {
    auto key = json::string(v, "key");
    const auto stamp = json::count(v, "stamp");
    const auto* data = json::find(v, "data");
    if (!key || !stamp || data == nullptr) return std::nullopt;
    return Item{std::move(*key), json::text(*data), *stamp};
}

}  // namespace

bool validKey(const std::string& key) {
    return !key.empty() && key.size() <= 200 && key.find(' ') == std::string::npos;
}

Client::Client(Loop& loop, const settings::Settings& s)
    : loop_(loop),
      http_(loop, s.state, 6),
      // The limit is the whole service's: one leader and its followers must fit in together.
      requests_(s.stateRps * 0.7, s.stateRps * 0.5, loop.now()),
      writes_(s.stateWriteRps * usedShare, s.stateWriteRps * 0.9, loop.now()),
      mostWrites_(s.stateWriteRps * usedShare),
      nextWrites_(s.stateWriteRpsNext * usedShare) {}

void Client::adapt(Verdict verdict) {
    const TimePoint now = loop_.now();
    const double rate = writes_.rate();
    if (verdict == Verdict::limited && now - limitedAt_ >= oneRefusal) {
        limitedAt_ = now;
        const bool fell = nextWrites_ > 0 && nextWrites_ < rate;
        writes_.setRate(fell ? nextWrites_ : std::max(rate * slower, mostWrites_ * slowest), now);
        spdlog::info("state service refuses for its rate: {:.1f} changes a second from now on",
                     writes_.rate());
    } else if (verdict == Verdict::ok && rate < mostWrites_ && now - limitedAt_ >= tryAfter) {
        // It may have been a burst of somebody else's.
        limitedAt_ = now - tryAfter + tryAgain;
        writes_.setRate(std::min(rate * faster, mostWrites_), now);
    }
}

bool Client::plausible(Revision at, Revision since, const std::string& about) {
    if (at < since) {
        spdlog::error("state service: an answer about {} is of revision {}, after {}: not heeded",
                      about, at, since);
        return false;
    }
    newest_ = std::max(newest_, at);
    return true;
}

Task<http::Outcome> Client::send(http::Request request, Duration wait, Scope& scope) {
    // A refusal that only this node gets, or a cut that only it suffers, looks like an outage:
    // a peer may still reach the service.
    http::Outcome first;
    if (!relay_ || !directBad_) {
        http::Request copy = request;
        first = co_await direct(std::move(copy), wait, scope);
        const bool served = first.answered && first.response.status != 503;
        if (served || !relay_ || scope.cancelled()) co_return first;
        directBad_ = true;
        nextProbe_ = loop_.now() + probeEvery;
    } else if (loop_.now() >= nextProbe_ && !probing_) {
        probing_ = true;
        scope.spawn(probe(scope));
    }
    auto relayed = co_await relay_(std::move(request), std::min(wait, relayPatience), scope);
    if (!relayed.answered) {
        directBad_ = false;
        // It may have been executed by either way.
        relayed.sent = relayed.sent || (first.sent && !first.answered);
        if (first.answered && !relayed.sent) co_return first;
    }
    co_return relayed;
}

Task<void> Client::probe(Scope& scope) {
    http::Request question{"GET", "/keys/lead/token", ""};
    const auto o = co_await direct(std::move(question), patience, scope);
    if (o.answered && o.response.status != 503) directBad_ = false;
    nextProbe_ = loop_.now() + probeEvery;
    probing_ = false;
}

Task<http::Outcome> Client::direct(http::Request request, Duration wait, Scope& scope) {
    while (!requests_.take(loop_.now())) {
        const Wake woke = co_await loop_.sleep(requests_.until(loop_.now()), scope);
        if (woke == Wake::cancelled) co_return http::Outcome{};
    }
    auto outcome = co_await http_.request(std::move(request), wait, scope);
    co_return outcome;
}

Task<Committed> Client::commit(Transaction txn, Scope& scope, Duration wait) {
    json::Out out;
    out.open().key("guards").openArray();
    for (const auto& g : txn.guards)
        out.open().field("key", g.key).field("stamp", g.revision).close();
    out.closeArray().key("then").openArray();
    for (const auto& p : txn.puts) {
        out.open().field("put", p.key).key("data").raw(p.data);
        if (p.grant) out.field("hold", *p.grant);
        out.close();
    }
    for (const auto& key : txn.deletes) out.open().field("delete", key).close();
    out.closeArray().close();
    http::Request request{"POST", "/multi", out.text()};
    const Revision since = newest_;
    auto o = co_await send(std::move(request), wait, scope);
    Committed result;
    result.verdict = verdictOf(o);
    adapt(result.verdict);
    if (!o.answered || (o.response.status != 200 && o.response.status != 409)) co_return result;
    const auto doc = json::parse(o.response.body);
    const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
    const bool changed =
        result.verdict == Verdict::ok && !(txn.puts.empty() && txn.deletes.empty());
    const auto* failed = doc ? json::array(*doc, "failed") : nullptr;
    if (!epoch || (result.verdict == Verdict::conflict && failed == nullptr)) {
        spdlog::warn("state service: malformed answer to a transaction");
        result.verdict = Verdict::unknown;
        co_return result;
    }
    if (!plausible(*epoch, since + (changed ? 1 : 0), "a transaction")) {
        result.verdict = Verdict::unknown;
        co_return result;
    }
    result.revision = *epoch;
    if (failed != nullptr)
        for (const auto& k : failed->GetArray())
            if (k.IsString()) result.failed.emplace_back(k.GetString());
    co_return result;
}

Task<Found> Client::get(std::string key, Scope& scope) {
    http::Request request{"GET", "/keys/" + key, ""};
    const Revision since = newest_;
    auto o = co_await send(std::move(request), patience, scope);
    Found found;
    found.verdict = verdictOf(o);
    if (!o.answered || (o.response.status != 200 && o.response.status != 404)) co_return found;
    const auto doc = json::parse(o.response.body);
    if (doc && found.verdict == Verdict::ok) found.item = itemOf(*doc);
    if (found.verdict == Verdict::notFound) {
        const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
        if (!epoch || !plausible(*epoch, since, key)) found.verdict = Verdict::unknown;
        found.at = epoch.value_or(0);
    }
    if (found.verdict == Verdict::ok && (!found.item || found.item->key != key)) {
        spdlog::error("state service: malformed answer about {}", key);
        found.verdict = Verdict::unknown;
        found.item.reset();
    }
    if (found.item) found.at = found.item->revision;
    co_return found;
}

Task<Listing> Client::list(std::string prefix, Scope& scope) {
    Listing all;
    std::string after;
    while (true) {
        http::Request request{"GET", "/keys?under=" + prefix + "&page=1000", ""};
        if (!after.empty()) request.target += "&after=" + after;
        const Revision since = newest_;
        auto o = co_await send(std::move(request), 4s, scope);
        all.verdict = verdictOf(o);
        if (all.verdict != Verdict::ok) co_return all;
        const auto doc = json::parse(o.response.body);
        const auto* pairs = doc ? json::array(*doc, "pairs") : nullptr;
        const auto more = doc ? json::boolean(*doc, "truncated") : std::nullopt;
        const auto epoch = doc ? json::count(*doc, "epoch") : std::nullopt;
        if (pairs == nullptr || !epoch || !plausible(*epoch, since, prefix)) {
            all.verdict = Verdict::unknown;
            co_return all;
        }
        for (const auto& p : pairs->GetArray()) {
            auto item = itemOf(p);
            if (!item || !item->key.starts_with(prefix) || item->key <= after ||
                item->revision > *epoch) {
                spdlog::error("state service: malformed item under {}", prefix);
                all.verdict = Verdict::unknown;
                co_return all;
            }
            after = item->key;
            all.items.push_back(std::move(*item));
        }
        all.at = *epoch;
        if (!more.value_or(false) || pairs->Empty()) co_return all;
    }
}

Task<Granted> Client::grant(Duration life, Scope& scope) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(life).count();
    json::Out out;
    out.open().field("lifeMs", static_cast<std::int64_t>(ms)).close();
    http::Request request{"POST", "/grants", out.text()};
    Granted g;
    g.sentAt = loop_.now();
    auto o = co_await send(std::move(request), patience, scope);
    g.verdict = verdictOf(o);
    if (g.verdict != Verdict::ok) co_return g;
    const auto doc = json::parse(o.response.body);
    const auto id = doc ? json::count(*doc, "hold") : std::nullopt;
    if (!id) g.verdict = Verdict::unknown;
    g.id = id.value_or(0);
    co_return g;
}

Task<Granted> Client::touch(GrantId id, Duration wait, Scope& scope) {
    http::Request request{"POST", "/grants/" + std::to_string(id) + "/touch", ""};
    Granted g;
    g.id = id;
    g.sentAt = loop_.now();
    auto o = co_await send(std::move(request), wait, scope);
    g.verdict = verdictOf(o);
    co_return g;
}

Task<void> Client::drop(GrantId id, Scope& scope) {
    http::Request request{"DELETE", "/grants/" + std::to_string(id), ""};
    co_await send(std::move(request), patience, scope);
}

Task<Verdict> Client::watch(std::string prefix, Revision after, Duration wait, Scope& scope) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http::Request request{"GET",
                          "/watch?under=" + prefix + "&after=" + std::to_string(after) +
                              "&waitMs=" + std::to_string(ms),
                          ""};
    auto o = co_await direct(std::move(request), wait + 2s, scope);
    co_return verdictOf(o);
}

}  // namespace basaltchute::state
