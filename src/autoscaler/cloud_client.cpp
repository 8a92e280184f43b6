#include "autoscaler/cloud_client.h"

#include <spdlog/spdlog.h>

#include "json/json.h"

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;

namespace {
// Calls that rentals leave in the budget: a deletion frees the tasks of dead machines, and once
// waited for two seconds behind a burst of rentals.
constexpr double keptForDeletions = 3;
}  // namespace

CloudClient::CloudClient(EventLoop& loop, const settings::Settings& s, std::function<bool()> mayAct)
    : loop_(loop),
      http_(loop, s.cloudAddress, 4),
      calls_(s.cloudRps * 0.8, s.cloudRps, loop.now()),
      mayAct_(std::move(mayAct)) {}

Task<http::RequestOutcome> CloudClient::send(http::Request request, Scope& scope, double reserve) {
    while (calls_.available(loop_.now()) < 1 + reserve) {
        const WakeReason woke =
            co_await loop_.sleep(calls_.timeUntil(loop_.now(), 1 + reserve), scope);
        if (woke == WakeReason::cancelled) co_return http::RequestOutcome{};
    }
    calls_.tryTake(loop_.now());
    if (!mayAct_()) co_return http::RequestOutcome{};
    auto outcome = co_await http_.request(std::move(request), 5s, scope);
    co_return outcome;
}

Task<std::optional<Catalogue>> CloudClient::fetchCatalogue(Scope& scope) {
    http::Request request{"GET", "/catalog", ""};
    auto o = co_await send(std::move(request), scope);
    if (!o.answered || o.response.status != 200) co_return std::nullopt;
    const auto doc = json::parse(o.response.body);
    const auto* rigs = doc ? json::array(*doc, "rigs") : nullptr;
    if (rigs == nullptr) {
        spdlog::warn("cloud: malformed catalogue");
        co_return std::nullopt;
    }
    Catalogue out;
    for (const auto& r : rigs->GetArray()) {
        MachineType t;
        t.name = json::string(r, "sku").value_or("");
        t.capacity = {json::number(r, "cores").value_or(0), json::number(r, "gpus").value_or(0),
                      json::number(r, "ramGb").value_or(0)};
        t.imageCacheGb = json::number(r, "localGb").value_or(0);
        t.fetchGbPerS = json::number(r, "fetchGbPerS").value_or(1);
        t.price = json::number(r, "rate").value_or(0);
        t.spotPrice = json::number(r, "marketPrice").value_or(t.price);
        t.bootTime = fromSeconds(json::number(r, "readyS").value_or(60));
        if (const auto* halls = json::array(r, "halls"))
            for (const auto& h : halls->GetArray())
                if (h.IsString()) t.zones.emplace_back(h.GetString());
        if (!t.name.empty()) out[t.name] = t;
    }
    co_return out;
}

Task<std::optional<std::vector<ListedMachine>>> CloudClient::listMachines(Scope& scope) {
    std::vector<ListedMachine> all;
    std::string after;
    while (true) {
        http::Request request{"GET", "/hosts?page=500" + (after.empty() ? "" : "&after=" + after),
                              ""};
        auto o = co_await send(std::move(request), scope);
        if (!o.answered || o.response.status != 200) co_return std::nullopt;
        const auto doc = json::parse(o.response.body);
        const auto* hosts = doc ? json::array(*doc, "hosts") : nullptr;
        if (hosts == nullptr) {
            spdlog::warn("cloud: malformed list of machines");
            co_return std::nullopt;
        }
        for (const auto& h : hosts->GetArray()) {
            ListedMachine l;
            l.name = json::string(h, "ref").value_or("");
            l.address = json::string(h, "addr").value_or("");
            l.type = json::string(h, "rigKind").value_or("");
            l.zone = json::string(h, "hall").value_or("");
            l.spot = json::boolean(h, "loaners").value_or(false);
            l.status = json::string(h, "status").value_or("");
            l.ageS = json::number(h, "ageS").value_or(0);
            if (l.name.empty()) continue;
            after = l.name;
            all.push_back(std::move(l));
        }
        if (!json::boolean(*doc, "truncated").value_or(false) || hosts->Empty()) co_return all;
    }
}

Task<CloudClient::ScaleOutResult> CloudClient::createMachines(ScaleOutRequest wanted,
                                                              Scope& scope) {
    json::Writer out;
    out.open()
        .field("booking", wanted.booking)
        .field("rigKind", wanted.type)
        .field("hall", wanted.zone);
    out.field("loaners", wanted.spot).field("howMany", wanted.count).close();
    http::Request request{"POST", "/hosts", out.text()};
    auto o = co_await send(std::move(request), scope, keptForDeletions);
    ScaleOutResult result;
    if (!o.answered) {
        if (!o.sent) result.answer = Answer::refused;
        co_return result;
    }
    const auto doc = json::parse(o.response.body);
    if (o.response.status != 200) {
        // "no capacity" rents nothing; in an outage the booking may be asked for again.
        result.answer = Answer::refused;
        co_return result;
    }
    const auto* hosts = doc ? json::array(*doc, "hosts") : nullptr;
    if (hosts == nullptr) co_return result;
    result.answer = Answer::ok;
    for (const auto& h : hosts->GetArray())
        if (h.IsString()) result.names.emplace_back(h.GetString());
    co_return result;
}

Task<bool> CloudClient::deleteMachines(std::vector<std::string> names, Scope& scope) {
    json::Writer out;
    out.open().key("hosts").openArray();
    for (const auto& n : names) out.value(n);
    out.closeArray().close();
    http::Request request{"POST", "/hosts/delete", out.text()};
    auto o = co_await send(std::move(request), scope);
    const bool gone = o.answered && o.response.status == 200;
    co_return gone;
}

}  // namespace basaltchute::autoscaler
