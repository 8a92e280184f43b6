#include "simulator/state_service.h"

#include <algorithm>

#include "json/json.h"
#include "simulator/query.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

StateService::StateService(EventLoop& loop, Scope& scope, const std::string& address)
    : StateService(loop, scope, address, Limits{}) {}
StateService::StateService(EventLoop& loop, Scope& scope, const std::string& address, Limits limits)
    : loop_(loop),
      scope_(scope),
      limits_(limits),
      requests_(limits.rps, limits.rps, loop.now()),
      changes_(limits.writeRps, limits.writeRps, loop.now()),
      server_(loop, address, {},
              [this](http::Request r) { return handle(std::move(r), neverRefuse_); }),
      changed_(loop) {
    server_.start(scope);
}

void StateService::addListener(const std::string& address, Refuses refuses) {
    Listener& listener = listeners_.emplace_back(Listener{std::move(refuses), nullptr});
    listener.server = std::make_unique<http::Server>(
        loop_, address, http::ServerLimits{},
        [this, &listener](http::Request r) { return handle(std::move(r), listener.refuses); });
    listener.server->start(scope_);
}

void StateService::lowerLimits(const Limits& limits) {
    if (limits.valueBytes > 0) limits_.valueBytes = limits.valueBytes;
    if (limits.txnOps > 0) limits_.txnOps = limits.txnOps;
    if (limits.writeRps > 0) {
        limits_.writeRps = limits.writeRps;
        changes_ = RateLimiter(limits.writeRps, limits.writeRps, loop_.now());
    }
}

void StateService::erase(const std::string& key) {
    keys.erase(key);
    lastErasedAt_ = ++revision_;
    changed_.notify();
}
http::Response StateService::endLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [k, e] : keys)
        if (e.grant == id) attached.push_back(k);
    for (const auto& k : attached) erase(k);
    return {200, "{}"};
}
void StateService::expireLeaseOf(const std::string& key) {
    endLease(keys.at(key).grant);
}
void StateService::expireLeases() {
    std::vector<std::uint64_t> ended;
    for (auto& [id, g] : leases_) {
        if (down) g.end = loop_.now() + g.life;  // leases restart in full after an outage
        if (g.end < loop_.now()) ended.push_back(id);
    }
    for (const auto id : ended) endLease(id);
}

http::Response StateService::executeTransaction(const std::string& body) {
    const auto doc = json::parse(body);
    if (!doc) return {400, R"({"error":"not JSON"})"};
    json::Writer out;
    std::vector<std::string> failed;
    if ((*doc)["then"].Size() > limits_.txnOps || body.size() > std::size_t{64} * 1024)
        return {400, R"({"error":"too large"})"};
    for (const auto& p : (*doc)["then"].GetArray())
        if (p.HasMember("data") && json::text(p["data"]).size() > limits_.valueBytes)
            return {400, R"({"error":"value too large"})"};
    for (const auto& g : (*doc)["guards"].GetArray()) {
        const std::string key = g["key"].GetString();
        const auto it = keys.find(key);
        if ((it == keys.end() ? 0 : it->second.stamp) != g["stamp"].GetUint64())
            failed.push_back(key);
    }
    // Transactions whose preconditions fail count against the write rate as well.
    if (!changes_.tryTake(loop_.now(), static_cast<double>((*doc)["then"].Size())))
        return {429, R"({"error":"too many changes"})"};
    if (!failed.empty()) {
        out.open().key("failed").openArray();
        for (const auto& k : failed) out.value(k);
        out.closeArray().field("epoch", revision_).close();
        return {409, out.text()};
    }
    for (const auto& p : (*doc)["then"].GetArray())
        if (p.HasMember("hold") && !leases_.contains(p["hold"].GetUint64()))
            return {400, R"({"error":"no such lease"})"};
    ++revision_;
    for (const auto& p : (*doc)["then"].GetArray()) {
        if (p.HasMember("delete")) {
            if (keys.erase(p["delete"].GetString()) > 0) lastErasedAt_ = revision_;
            ++writes;
            continue;
        }
        keys[p["put"].GetString()] = {json::text(p["data"]), revision_,
                                      p.HasMember("hold") ? p["hold"].GetUint64() : 0};
        ++writes;
        if (onPut) onPut(p["put"].GetString(), keys[p["put"].GetString()].data);
    }
    changed_.notify();
    out.open().field("epoch", revision_).close();
    return {200, out.text()};
}

Task<http::Response> StateService::watch(std::string target, const Refuses& refuses) {
    const auto after = std::stoull(queryParameter(target, "after"));
    ++watches;
    if (after < compactedBelow_) co_return http::Response{410, "{}"};
    const std::string prefix = queryParameter(target, "under");
    const TimePoint until =
        loop_.now() + std::chrono::milliseconds(std::stol(queryParameter(target, "waitMs")));
    const auto changed = [&] {
        return lastErasedAt_ > after || std::any_of(keys.begin(), keys.end(), [&](const auto& k) {
                   return k.first.starts_with(prefix) && k.second.stamp > after;
               });
    };
    std::uint64_t lastRevisionSeen = 0;
    while (loop_.now() < until && !scope_.cancelled()) {
        if (!down && !refuses() && std::exchange(lastRevisionSeen, revision_) != revision_ &&
            changed())
            break;
        co_await loop_.wait(changed_, std::min(until, loop_.now() + 50ms), scope_);
        expireLeases();
    }
    co_return http::Response{200, R"({"epoch":1,"log":[]})"};
}

http::Response StateService::list(const std::string& target) {
    const std::string prefix = queryParameter(target, "under"),
                      after = queryParameter(target, "after");
    const std::string page = queryParameter(target, "page");
    const std::size_t most = page.empty() ? 1000 : std::stoul(page);
    json::Writer out;
    out.open().key("pairs").openArray();
    std::size_t bytes = 0, items = 0;
    bool more = false;
    for (auto k = after.empty() ? keys.lower_bound(prefix) : keys.upper_bound(after);
         k != keys.end() && k->first.starts_with(prefix); ++k) {
        bytes += k->first.size() + k->second.data.size() + 40;
        if (items++ >= most || bytes > std::size_t{512} * 1024) {
            more = true;
            break;
        }
        out.open().field("key", k->first).key("data").raw(k->second.data);
        out.field("stamp", k->second.stamp).close();
    }
    out.closeArray().field("truncated", more).field("epoch", revision_).close();
    return {200, out.text()};
}

Task<http::Response> StateService::handle(http::Request r, const Refuses& refuses) {
    const Fault f = fault ? fault(r) : Fault{};
    if (limits_.latency > Duration::zero()) co_await loop_.sleep(limits_.latency, scope_);
    if (f.kind == Fault::Kind::refused) co_return http::Response{503, R"({"error":"trouble"})"};
    if (f.kind == Fault::Kind::malformed) co_return http::Response{400, R"({"error":"malformed"})"};
    if (f.kind == Fault::Kind::executedLate) co_await loop_.sleep(f.delay, scope_);
    auto response = co_await serve(std::move(r), refuses);
    if (f.kind == Fault::Kind::respondedLate) {
        co_await loop_.sleep(f.delay, scope_);
        co_return response;
    }
    // One minute is longer than any client timeout, so the response is lost.
    if (f.kind != Fault::Kind::none) co_await loop_.sleep(std::chrono::minutes(1), scope_);
    co_return response;
}

Task<http::Response> StateService::serve(http::Request r, const Refuses& refuses) {
    expireLeases();
    if (r.target.starts_with("/watch")) {
        auto response = co_await watch(std::move(r.target), refuses);
        co_return response;
    }
    if (down || refuses()) co_return http::Response{503, R"({"error":"trouble"})"};
    if (!requests_.tryTake(loop_.now())) co_return http::Response{429, R"({"error":"too many"})"};
    json::Writer out;
    if (r.target == "/multi") co_return executeTransaction(r.body);
    if (r.target == "/grants") {
        const auto doc = json::parse(r.body);
        const Duration life = std::chrono::milliseconds((*doc)["lifeMs"].GetInt64());
        leases_[nextLeaseId_] = {life, loop_.now() + life};
        out.open().field("hold", nextLeaseId_++).close();
        co_return http::Response{200, out.text()};
    }
    if (r.target.starts_with("/grants/")) {
        const auto id = std::stoull(r.target.substr(8));
        if (!leases_.contains(id)) co_return http::Response{404, "{}"};
        if (r.method == "DELETE") co_return endLease(id);
        leases_[id].end = loop_.now() + leases_[id].life;
        co_return http::Response{200, "{}"};
    }
    if (r.target.starts_with("/keys?")) co_return list(r.target);
    const std::string key = r.target.substr(6);
    const auto it = keys.find(key);
    if (it == keys.end()) {
        out.open().field("epoch", revision_).close();
        co_return http::Response{404, out.text()};
    }
    out.open()
        .field("key", key)
        .key("data")
        .raw(it->second.data)
        .field("stamp", it->second.stamp)
        .close();
    co_return http::Response{200, out.text()};
}

}  // namespace basaltchute::simulator
