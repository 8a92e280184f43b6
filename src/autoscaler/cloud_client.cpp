#include "autoscaler/cloud_client.h"

#include <spdlog/spdlog.h>

#include "json/json.h"

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;

namespace {
/// Calls in the rate limit that are left for deletions when machines are created. A deletion
/// releases the tasks of an unresponsive machine, and once waited for two seconds behind a burst of
/// creations.
constexpr double callsReservedForDeletions = 3;
constexpr Duration callTimeout = 5s;
}  // namespace

CloudClient::CloudClient(EventLoop& loop, const settings::Settings& settings,
                         std::function<bool()> mayAct)
    : loop_(loop),
      http_(loop, settings.cloudAddress, 4),
      calls_(settings.cloudRps * 0.8, settings.cloudRps, loop.now()),
      mayAct_(std::move(mayAct)) {}

Task<http::RequestOutcome> CloudClient::send(http::Request request, Scope& scope, double reserve) {
    while (calls_.available(loop_.now()) < 1 + reserve) {
        const WakeReason woke =
            co_await loop_.sleep(calls_.timeUntil(loop_.now(), 1 + reserve), scope);
        if (woke == WakeReason::cancelled) co_return http::RequestOutcome{};
    }
    calls_.tryTake(loop_.now());
    if (!mayAct_()) co_return http::RequestOutcome{};
    auto outcome = co_await http_.request(std::move(request), callTimeout, scope);
    co_return outcome;
}

Task<std::optional<Catalogue>> CloudClient::fetchCatalogue(Scope& scope) {
    http::Request request{"GET", "/catalog", ""};
    auto outcome = co_await send(std::move(request), scope);
    if (!outcome.answered || outcome.response.status != 200) co_return std::nullopt;
    const auto doc = json::parse(outcome.response.body);
    const auto* types = doc ? json::array(*doc, "rigs") : nullptr;
    if (types == nullptr) {
        spdlog::warn("malformed response from the cloud: request=catalogue");
        co_return std::nullopt;
    }
    Catalogue out;
    for (const auto& entry : types->GetArray()) {
        MachineType type;
        type.name = json::string(entry, "sku").value_or("");
        type.capacity = {json::number(entry, "cores").value_or(0),
                         json::number(entry, "gpus").value_or(0),
                         json::number(entry, "ramGb").value_or(0)};
        type.imageCacheGb = json::number(entry, "localGb").value_or(0);
        type.fetchGbPerS = json::number(entry, "fetchGbPerS").value_or(1);
        type.price = json::number(entry, "rate").value_or(0);
        type.spotPrice = json::number(entry, "marketPrice").value_or(type.price);
        type.bootTime = fromSeconds(json::number(entry, "readyS").value_or(60));
        if (const auto* zones = json::array(entry, "halls"))
            for (const auto& zone : zones->GetArray())
                if (zone.IsString()) type.zones.emplace_back(zone.GetString());
        if (!type.name.empty()) out[type.name] = type;
    }
    co_return out;
}

Task<std::optional<std::vector<ListedMachine>>> CloudClient::listMachines(Scope& scope) {
    std::vector<ListedMachine> all;
    std::string after;
    while (true) {
        http::Request request{"GET", "/hosts?page=500" + (after.empty() ? "" : "&after=" + after),
                              ""};
        auto outcome = co_await send(std::move(request), scope);
        if (!outcome.answered || outcome.response.status != 200) co_return std::nullopt;
        const auto doc = json::parse(outcome.response.body);
        const auto* hosts = doc ? json::array(*doc, "hosts") : nullptr;
        if (hosts == nullptr) {
            spdlog::warn("malformed response from the cloud: request=machine_list");
            co_return std::nullopt;
        }
        for (const auto& entry : hosts->GetArray()) {
            ListedMachine machine;
            machine.name = json::string(entry, "ref").value_or("");
            machine.address = json::string(entry, "addr").value_or("");
            machine.type = json::string(entry, "rigKind").value_or("");
            machine.zone = json::string(entry, "hall").value_or("");
            machine.spot = json::boolean(entry, "loaners").value_or(false);
            machine.status = json::string(entry, "status").value_or("");
            machine.ageSeconds = json::number(entry, "ageS").value_or(0);
            if (machine.name.empty()) continue;
            after = machine.name;
            all.push_back(std::move(machine));
        }
        if (!json::boolean(*doc, "truncated").value_or(false) || hosts->Empty()) co_return all;
    }
}

Task<CloudClient::ScaleOutResult> CloudClient::createMachines(ScaleOutRequest wanted,
                                                              Scope& scope) {
    json::Writer out;
    out.open()
        .field("booking", wanted.requestId)
        .field("rigKind", wanted.type)
        .field("hall", wanted.zone);
    out.field("loaners", wanted.spot).field("howMany", wanted.count).close();
    http::Request request{"POST", "/hosts", out.text()};
    auto outcome = co_await send(std::move(request), scope, callsReservedForDeletions);
    ScaleOutResult result;
    if (!outcome.answered) {
        if (!outcome.sent) result.answer = Answer::refused;
        co_return result;
    }
    const auto doc = json::parse(outcome.response.body);
    if (outcome.response.status != 200) {
        // "No capacity" creates nothing, and in an outage of the cloud the request may be repeated.
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
    auto outcome = co_await send(std::move(request), scope);
    const bool gone = outcome.answered && outcome.response.status == 200;
    co_return gone;
}

}  // namespace basaltchute::autoscaler
