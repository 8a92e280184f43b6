#pragma once
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cells/cells.h"
#include "settings/settings.h"

namespace basaltchute::settings {

struct Reservation {
    std::string team, type;
    cells::Level level = cells::Level::slot;
    std::uint32_t cells = 0;
};

/// What the operators decide beyond the platform's file; every member has a default.
struct OperatorSettings {
    std::map<std::string, double> weights;  // of teams that share what is not reserved; 1 if absent
    std::uint32_t machinesPerZoneCell = 2;
    /// Controllers may answer the workers of their zone in a silent leader's name.
    bool leaseDelegationEnabled = true;
    /// The newest format of the stored state that may be written. As long as it is below what this
    /// version knows, the previous version can be rolled back to.
    unsigned maxStoredFormat = 2;
    std::vector<Reservation> reservations;
    std::map<std::string, std::uint32_t> pooledMachines;  // ordinary machines kept ready, by type
};

/// Checked against deploy/operator.schema.json, then against the platform's settings.
std::variant<OperatorSettings, Error> parseOperatorSettings(const std::string& text,
                                                            const Settings& settings);
std::variant<OperatorSettings, Error> loadOperatorSettings(const std::string& path,
                                                           const Settings& settings);

}  // namespace basaltchute::settings
