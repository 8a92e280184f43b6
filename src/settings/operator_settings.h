#pragma once
// The settings that the operators of the deployment decide, read from a JSON file of their own. Its
// schema is deploy/operator.schema.json. Read once at the start by the controller's main program.
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cells/cells.h"
#include "settings/settings.h"

namespace basaltchute::settings {

/// Cells that a team may always bind.
struct Reservation {
    std::string team, type;
    cells::Level level = cells::Level::slot;
    std::uint32_t cells = 0;
};

/// What the operators decide in addition to the platform's settings. Every member has a default.
struct OperatorSettings {
    /// Weight of each team in the division of capacity that is not reserved; 1 if absent.
    std::map<std::string, double> weights;
    std::uint32_t machinesPerZoneCell = 2;
    /// Whether controllers may answer the workers of their zone on behalf of a leader that they do
    /// not hear from.
    bool leaseDelegationEnabled = true;
    /// The newest format of the stored state that may be written. While it is below the newest one
    /// that this version knows, the deployment can still be rolled back to the previous version.
    unsigned maxStoredFormat = 2;
    std::vector<Reservation> reservations;
    /// Number of ordinary (not spot) machines of each type that are kept ready for reservations.
    std::map<std::string, std::uint32_t> pooledMachines;
};

/// Parses the operators' settings. They are checked against deploy/operator.schema.json, then
/// against the platform's settings. The error names the field by its JSON pointer.
std::variant<OperatorSettings, Error> parseOperatorSettings(const std::string& text,
                                                            const Settings& settings);
std::variant<OperatorSettings, Error> loadOperatorSettings(const std::string& path,
                                                           const Settings& settings);

}  // namespace basaltchute::settings
