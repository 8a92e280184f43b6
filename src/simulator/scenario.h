// Scenarios: sites, load and faults of a simulated run, parsed from JSON (scenario.schema.json).
// Times are seconds since the start of the run. Used by the simulation and its command line.
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

/// A class of jobs that the users of a site submit. Ranges are drawn from for each job.
struct JobClassOptions {
    std::string name;
    bool standing = false;
    Priority priority = Priority::normal;
    double cores = 1, ramGb = 1, perMinute = 0, imageGb = 0, checkpointS = 0, saveS = 0;
    double deadlineFactor = 0, cancelledShare = 0;  // 0: none
    double apart = 0;  // how much longer the last task runs than the first, in run times
    std::array<std::uint32_t, 2> tasks{1, 1};
    std::array<double, 2> runS{1, 1};
    std::uint32_t initial = 0, images = 3;
    bool spot = false, spread = false, together = false;
    double bound = 0;  // share of jobs that may run only in one, randomly drawn zone
    std::optional<double> waitS;
};

/// Jobs in stages, where later stages depend on earlier ones. The deadline is set on the last job.
struct PipelineOptions {
    /// Jobs of one class that depend on the same earlier stages.
    struct Stage {
        std::string jobClass;
        std::array<std::uint32_t, 2> jobs{1, 1};
        std::vector<std::size_t> needs;  // indexes of earlier stages
    };
    std::string name;
    std::vector<Stage> stages;
    double perMinute = 0, fromS = 0, deadlinePlusS = 60;
    /// Shares of the pipelines in which the first job also depends on an accepted job outside the
    /// pipeline (`onEarlier`), the last job is submitted only when the others have ended (`late`),
    /// or one job is cancelled by its user (`cancelledShare`).
    double onEarlier = 0, late = 0, cancelledShare = 0;
};

/// Limits of the state service that apply once the fault `state_limits` begins; 0: unchanged.
struct NextLimits {
    std::size_t valueBytes = 0, txnOps = 0;
    double writeRps = 0;
};

/// A site: its controllers, machines, teams, load, and the services it uses.
struct SiteOptions {
    std::string name;
    std::size_t nodes = 3, sockets = 2000;
    std::vector<std::string> zones;
    std::vector<SimulatedMachineType> types;
    std::vector<settings::Team> teams;
    std::vector<JobClassOptions> classes;
    std::vector<PipelineOptions> pipelines;
    /// Its nodes start with settings that lack the next limits and keep the older format of the
    /// stored state, as versions before chains do; a rolling restart applies the current settings.
    bool heldBack = false;
    NextLimits next;
    StateService::Limits state{200, 60, std::size_t{16} * 1024, 20, std::chrono::milliseconds(4)};
    double cloudRps = 10, listLagS = 6, reportS = 5, leaseS = 20, cancelS = 45;
    double restartS = 0.2, clockOffMs = 250;
};

/// One fault to inject.
struct Fault {
    double atS = 0, forS = 0, factor = 1;
    double share = 0.3;  // of the transactions, reports or ending jobs that it may affect
    std::string kind, site, zone, jobClass;
    std::uint32_t count = 1;
    bool leader = false, reset = false;
    /// The fault as JSON, in the form that scenarios use.
    [[nodiscard]] std::string text() const;
};

/// Random faults that each seed draws in addition to the listed ones.
struct Swarm {
    double fromS = 10, toS = 0;  // toS 0: no random faults
    std::vector<std::string> kinds;
    std::uint32_t most = 6;
    /// If given, pairs are drawn instead of single faults: the second begins during the first or
    /// shortly after it. `anyKind` stands for any of `kinds`.
    std::vector<std::array<std::string, 2>> pairs;
    static constexpr const char* anyKind = "any";
    bool thenLeaderEnds = false;  // the leader also stops shortly after each pair has begun
};

/// Bounds that a scenario sets for the checker; 0: not checked.
struct ExtraChecks {
    /// Once all faults are over, no job's polls stay unanswered for longer than this.
    double knownS = 75;
    /// The largest jobs of each class start within this time, and at least half of the jobs of each
    /// class, of each team and among the largest of each class are started.
    double beginS = 0;
};

/// A whole scenario.
struct Scenario {
    double seconds = 60;
    ExtraChecks shown;
    std::vector<SiteOptions> sites;
    std::vector<Fault> faults;
    Swarm swarm;
};

/// The names of all kinds of faults.
const std::vector<std::string>& faultKinds();
/// Parses and validates a scenario. On an error returns one line that names the invalid field and
/// what was expected there.
std::variant<Scenario, std::string> parseScenario(const std::string& text);

}  // namespace basaltchute::simulator
