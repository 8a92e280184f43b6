#include "settings/operator_settings.h"

#include <algorithm>

#include "json/schema.h"
#include "operator_schema.h"

namespace basaltchute::settings {

namespace {

cells::Level parseLevel(const std::string& name) {
    if (name == "machine") return cells::Level::machine;
    return name == "zone" ? cells::Level::zone : cells::Level::slot;
}

}  // namespace

std::variant<OperatorSettings, Error> parseOperatorSettings(const std::string& text,
                                                            const Settings& settings) {
    const auto doc = json::parse(text);
    if (!doc) return Error("not JSON");
    if (auto error = json::schemaError(*doc, operatorSchema)) return std::move(*error);
    const auto knownTeam = [&](const std::string& name) {
        return std::any_of(settings.teams.begin(), settings.teams.end(),
                           [&](const auto& t) { return t.name == name; });
    };
    OperatorSettings out;
    if (const auto* weights = json::find(*doc, "weights")) {
        for (const auto& w : weights->GetObject()) {
            if (!knownTeam(w.name.GetString()))
                return std::string("#/weights/") + w.name.GetString() + ": expected a known team";
            out.weights[w.name.GetString()] = w.value.GetDouble();
        }
    }
    if (const auto n = json::count(*doc, "machinesPerZoneCell"))
        out.machinesPerZoneCell = static_cast<std::uint32_t>(*n);
    out.leaseDelegationEnabled = json::boolean(*doc, "zoneLoans").value_or(true);
    if (const auto n = json::count(*doc, "storedFormat"))
        out.maxStoredFormat = static_cast<unsigned>(*n);
    struct Pool {
        std::uint64_t machines = 0, slotsPerMachine = 1, reservedSlots = 0;
    };
    std::map<std::string, Pool> poolsByType;
    if (const auto* pools = json::array(*doc, "pools"))
        for (const auto& p : pools->GetArray()) {
            out.pooledMachines[*json::string(p, "type")] =
                static_cast<std::uint32_t>(*json::count(p, "machines"));
            poolsByType[*json::string(p, "type")] = {*json::count(p, "machines"),
                                                     *json::count(p, "slotsPerMachine"), 0};
        }
    unsigned index = 0;
    if (const auto* reservations = json::array(*doc, "reservations")) {
        for (const auto& r : reservations->GetArray()) {
            const std::string at = "#/reservations/" + std::to_string(index++);
            Reservation reservation{*json::string(r, "team"), *json::string(r, "type"),
                                    parseLevel(*json::string(r, "level")),
                                    static_cast<std::uint32_t>(*json::count(r, "cells"))};
            if (!knownTeam(reservation.team)) return at + "/team: expected a known team";
            const auto pool = poolsByType.find(reservation.type);
            if (pool == poolsByType.end()) return at + "/type: expected a type named in pools";
            const std::uint64_t slotsPerCell =
                reservation.level == cells::Level::slot ? 1
                : reservation.level == cells::Level::machine
                    ? pool->second.slotsPerMachine
                    : pool->second.slotsPerMachine * out.machinesPerZoneCell;
            pool->second.reservedSlots += slotsPerCell * reservation.cells;
            if (pool->second.reservedSlots > pool->second.machines * pool->second.slotsPerMachine)
                return at + "/cells: expected reservations that the pool's machines can hold";
            out.reservations.push_back(std::move(reservation));
        }
    }
    return out;
}

std::variant<OperatorSettings, Error> loadOperatorSettings(const std::string& path,
                                                           const Settings& settings) {
    const auto text = readFile(path);
    if (!text) return Error("cannot be read");
    return parseOperatorSettings(*text, settings);
}

}  // namespace basaltchute::settings
