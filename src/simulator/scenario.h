#pragma once
#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"
#include "settings/settings.h"
#include "simulator/cloud.h"
#include "simulator/state_service.h"

namespace basaltchute::simulator {

struct JobClassOptions {
    std::string name;
    bool standing = false;
    Priority priority = Priority::normal;
    double cores = 1, ramGb = 1, perMinute = 0, imageGb = 0, checkpointS = 0, saveS = 0;
    double deadlineFactor = 0, cancelledShare = 0;  // 0: none
    double apart = 0;  // its last task takes so many run times longer than its first
    std::array<std::uint32_t, 2> tasks{1, 1};
    std::array<double, 2> runS{1, 1};
    std::uint32_t initial = 0, images = 3;
    bool spot = false, spread = false, together = false;
    double bound = 0;  // the share of its jobs that may run in one zone only, which is drawn
    std::optional<double> waitS;
};

/// Jobs of which the later ones need the earlier ones; the deadline is the last one's.
struct PipelineOptions {
    struct Stage {
        std::string jobClass;
        std::array<std::uint32_t, 2> jobs{1, 1};
        std::vector<std::size_t> needs;  // stages before it
    };
    std::string name;
    std::vector<Stage> stages;
    double perMinute = 0, fromS = 0, deadlinePlusS = 60;
    /// Shares of them: the first job needs one of another class that was accepted before; the last
    /// is submitted once the others are over; one of its jobs is withdrawn.
    double onEarlier = 0, late = 0, cancelledShare = 0;
};

/// Limits of the state service that come with a trouble; 0: as they are.
struct NextLimits {
    std::size_t valueBytes = 0, txnOps = 0;
    double writeRps = 0;
};

struct SiteOptions {
    std::string name;
    std::size_t nodes = 3, sockets = 2000;
    std::vector<std::string> zones;
    std::vector<SimulatedMachineType> types;
    std::vector<settings::Team> teams;
    std::vector<JobClassOptions> classes;
    std::vector<PipelineOptions> pipelines;
    /// Its nodes start by settings that know no next limits and hold the stored state's form back,
    /// as versions before chains do; a roll brings the others.
    bool heldBack = false;
    NextLimits next;
    StateService::Limits state{200, 60, std::size_t{16} * 1024, 20, std::chrono::milliseconds(4)};
    double cloudRps = 10, listLagS = 6, reportS = 5, leaseS = 20, cancelS = 45;
    double restartS = 0.2, clockOffMs = 250;
};

struct Fault {
    double atS = 0, forS = 0, factor = 1;
    double share = 0.3;  // of what it may hit each time: transactions, reports, jobs that end
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
    /// Drawn instead of single ones: the second of a pair begins while the first one lasts, or
    /// shortly after it. anyKind: one of `kinds`.
    std::vector<std::array<std::string, 2>> pairs;
    static constexpr const char* anyKind = "any";
    bool thenLeaderEnds = false;  // and the leader ends shortly after each pair has begun
};

/// What is to be shown of a scenario beside the rules; 0: nothing.
struct ExtraChecks {
    /// Once all troubles are over, no job's polls are in vain for so long.
    double knownS = 75;
    /// The largest jobs of each class begin within that, and of each class, team and class's
    /// largest jobs half is started.
    double beginS = 0;
};

struct Scenario {
    double seconds = 60;
    ExtraChecks shown;
    std::vector<SiteOptions> sites;
    std::vector<Fault> faults;
    Swarm swarm;
};

/// All kinds of faults by name.
const std::vector<std::string>& faultKinds();
/// One line: which field is wrong and what was expected there.
std::variant<Scenario, std::string> parseScenario(const std::string& text);

}  // namespace basaltchute::simulator
