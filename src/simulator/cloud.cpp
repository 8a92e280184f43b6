#include "simulator/cloud.h"

#include <algorithm>

#include "json/json.h"
#include "simulator/query.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {
constexpr Duration deadMachineListedFor = 30s;  // as running
}  // namespace

Cloud::Cloud(Timeline& time, EventLoop& loop, Scope& scope, const std::string& address,
             Config config, Hooks hooks)
    : time_(time),
      loop_(loop),
      config_(std::move(config)),
      hooks_(std::move(hooks)),
      requests_(config_.rps, config_.rps * 2, loop.now()),
      server_(loop, address, {},
              [this](http::Request r) -> Task<http::Response> { co_return serve(r); }) {
    server_.start(scope);
    recordSnapshot();
}

const SimulatedMachineType* Cloud::findType(const std::string& name) const {
    const auto it = std::find_if(config_.types.begin(), config_.types.end(),
                                 [&](const auto& t) { return t.name == name; });
    return it == config_.types.end() ? nullptr : &*it;
}

Cloud::Host& Cloud::add(const std::string& type, const std::string& zone, bool spot) {
    Host h;
    h.name = hooks_.name();
    h.address = hooks_.address();
    h.type = type;
    h.zone = zone;
    h.spot = spot;
    h.since = time_.now();
    return hosts_[h.name] = h;
}
void Cloud::addRunning(const std::string& type, const std::string& zone) {
    Host& h = add(type, zone, false);
    h.running = true;
    recordSnapshot();
    hooks_.boot(h);
}

void Cloud::recordSnapshot() {
    snapshots_[time_.now()] = hosts_;
    // A list is at most twice the lag old.
    while (snapshots_.size() > 1 &&
           std::next(snapshots_.begin())->first < time_.now() - config_.listLag * 2)
        snapshots_.erase(snapshots_.begin());
}

void Cloud::lose(const std::string& name, bool taken) {
    const auto it = hosts_.find(name);
    if (it == hosts_.end()) return;
    if (taken) {
        hosts_.erase(it);
        recordSnapshot();
        return;
    }
    time_.after(deadMachineListedFor, [this, name] {
        if (const auto h = hosts_.find(name); h != hosts_.end()) {
            h->second.running = false;
            h->second.failed = true;
            recordSnapshot();
        }
    });
}

http::Response Cloud::rent(const std::string& body) {
    const auto doc = json::parse(body);
    const auto booking = doc ? json::string(*doc, "booking") : std::nullopt;
    const auto type = doc ? json::string(*doc, "rigKind") : std::nullopt;
    const auto zone = doc ? json::string(*doc, "hall") : std::nullopt;
    const auto many = doc ? json::count(*doc, "howMany") : std::nullopt;
    const bool spot = doc && json::boolean(*doc, "loaners").value_or(false);
    if (!booking || !type || !zone || !many || *many > 50 || findType(*type) == nullptr)
        return {400, R"({"error":"malformed"})"};
    if (const auto before = rentResponses_.find(*booking); before != rentResponses_.end())
        return {200, before->second};
    const SimulatedMachineType& t = *findType(*type);
    const auto used = std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& h) {
        return h.second.type == *type && h.second.zone == *zone && h.second.spot == spot;
    });
    const std::uint64_t room = spot ? t.spot : t.ordinary;
    const std::uint64_t left = room - std::min<std::uint64_t>(room, static_cast<unsigned>(used));
    const std::uint64_t n = std::min(left, *many);
    if (n == 0) return {503, R"({"error":"no capacity"})"};
    json::Writer out;
    out.open().key("hosts").openArray();
    for (std::uint64_t i = 0; i < n; ++i) {
        const std::string name = add(*type, *zone, spot).name;
        out.value(name);
        if (time_.chance(t.neverBoots + bootFails)) continue;
        const double boot = t.bootS * time_.between(0.6, 1.5) * bootFactor;
        time_.after(fromSeconds(boot), [this, name] {
            const auto h = hosts_.find(name);
            if (h == hosts_.end()) return;
            h->second.running = true;
            recordSnapshot();
            hooks_.boot(h->second);
        });
    }
    out.closeArray().close();
    recordSnapshot();
    rentResponses_[*booking] = out.text();
    return {200, out.text()};
}

http::Response Cloud::list(const std::string& target) {
    const std::string after = queryParameter(target, "after"),
                      page = queryParameter(target, "page");
    const std::size_t most = page.empty() ? 500 : std::min<std::size_t>(500, std::stoul(page));
    const double lag = toSeconds(config_.listLag) * time_.between(0.5, 2);
    auto shown = snapshots_.upper_bound(time_.now() - fromSeconds(lag));
    if (shown != snapshots_.begin()) --shown;
    json::Writer out;
    out.open().key("hosts").openArray();
    std::size_t n = 0;
    bool more = false;
    for (auto h = shown->second.upper_bound(after); h != shown->second.end(); ++h) {
        if (n++ >= most) {
            more = true;
            break;
        }
        const Host& host = h->second;
        out.open().field("ref", host.name).field("addr", host.address);
        out.field("rigKind", host.type).field("hall", host.zone).field("loaners", host.spot);
        out.field("status", host.failed ? "failed" : host.running ? "running" : "starting");
        out.field("ageS", std::max(0.0, toSeconds(shown->first - host.since))).close();
    }
    out.closeArray().field("truncated", more).close();
    return {200, out.text()};
}

http::Response Cloud::serve(const http::Request& r) {
    if (down) return {503, R"({"error":"trouble"})"};
    if (!requests_.tryTake(loop_.now())) return {429, "{}"};
    if (r.target == "/catalog") {
        json::Writer out;
        out.open().key("rigs").openArray();
        for (const auto& t : config_.types) {
            out.open().field("sku", t.name).field("cores", t.cores).field("gpus", t.gpus);
            out.field("ramGb", t.ramGb).field("localGb", 50.0).field("fetchGbPerS", t.fetchGbPerS);
            out.field("rate", t.price).field("marketPrice", t.spotPrice).field("readyS", t.bootS);
            out.key("halls").openArray();
            for (const auto& z : config_.zones) out.value(z);
            out.closeArray().close();
        }
        out.closeArray().close();
        return {200, out.text()};
    }
    if (r.target == "/hosts/delete") {
        const auto doc = json::parse(r.body);
        const auto* names = doc ? json::array(*doc, "hosts") : nullptr;
        if (names == nullptr || names->Size() > 100) return {400, "{}"};
        for (const auto& n : names->GetArray()) {
            const auto h = hosts_.find(n.GetString());
            if (h == hosts_.end()) continue;
            const Host gone = h->second;
            hosts_.erase(h);
            hooks_.remove(gone);
        }
        recordSnapshot();
        return {200, "{}"};
    }
    if (r.target == "/hosts" && r.method == "POST") return rent(r.body);
    if (r.target.starts_with("/hosts")) return list(r.target);
    return {404, "{}"};
}

}  // namespace basaltchute::simulator
