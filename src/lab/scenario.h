#pragma once
#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"
#include "lab/cloud.h"
#include "lab/state_service.h"
#include "settings/settings.h"

namespace basaltchute::lab {

struct ClassTerms {
    std::string name;
    bool standing = false;
    Priority priority = Priority::normal;
    double cores = 1, ramGb = 1, perMinute = 0, imageGb = 0, checkpointS = 0, saveS = 0;
    double deadlineFactor = 0, withdrawn = 0;  // 0: none
    std::array<std::uint32_t, 2> tasks{1, 1};
    std::array<double, 2> runS{1, 1};
    std::uint32_t initial = 0, images = 3;
    bool spot = false, spread = false;
    std::optional<double> waitS;
};

struct SiteTerms {
    std::string name;
    std::size_t nodes = 3, sockets = 2000;
    std::vector<std::string> zones;
    std::vector<TypeTerms> types;
    std::vector<settings::Team> teams;
    std::vector<ClassTerms> classes;
    StateService::Terms state{200, 60, 16 * 1024, 20, std::chrono::milliseconds(4)};
    double cloudRps = 10, listLagS = 6, reportS = 5, leaseS = 20, cancelS = 45;
    double restartS = 0.2, clockOffMs = 250;
};

struct Fault {
    double atS = 0, forS = 0, factor = 1;
    std::string kind, site, zone, jobClass;
    std::uint32_t count = 1;
    bool leader = false, reset = false;
    [[nodiscard]] std::string text() const;
};

/// What each seed draws beside the faults that are named.
struct Swarm {
    double fromS = 10, toS = 0;  // 0: none
    std::vector<std::string> kinds;
    std::uint32_t most = 6;
};

struct Scenario {
    double seconds = 60;
    std::vector<SiteTerms> sites;
    std::vector<Fault> faults;
    Swarm swarm;
};

/// All kinds of faults by name.
const std::vector<std::string>& faultKinds();
/// One line: which field is wrong and what was expected there.
std::variant<Scenario, std::string> parseScenario(const std::string& text);

}  // namespace basaltchute::lab
