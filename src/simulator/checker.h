// Checks the history of a simulated run against the rules that every deployment must keep. Called
// by the simulation at the end of a run and by the tests.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "settings/settings.h"
#include "simulator/history.h"

namespace basaltchute::simulator {

/// Settings of the deployment and bounds that the rules need in addition to the history. Times are
/// seconds since the start of the run.
struct CheckerOptions {
    /// Tasks of a cancelled job are gone this long after its user was told, and jobs that depend on
    /// it are reported as cancelled within the same time.
    double cancelS = 0;
    std::map<std::string, settings::Team> teams;  // by name; limits hold over all sites
    /// A job submitted between `settledS` and `untilS`, when no fault has any effect left, is
    /// accepted before the history ends.
    double settledS = 0, untilS = -1;
    /// All faults are over at `calmS`. From then on no accepted job's polls stay unanswered for
    /// longer than `knownS`.
    double calmS = 0, knownS = 75;
    /// If not 0: the largest jobs of each class start within this time, and at least half of the
    /// jobs of each class, of each team and among the largest of each class are started.
    double beginS = 0;
    /// From `calmS` on no job waits longer than this while a suitable machine has free capacity and
    /// its team is below its limit.
    double idleCapacityWaitS = 90;
};

/// A rule that the history breaks.
struct Violation {
    std::string rule, what;
    std::vector<HistoryEvent> proof;  // the events that show it, as few as possible
};

/// How many jobs of a group were submitted, and how many of them were accepted, started and ended.
struct JobCounts {
    std::uint64_t jobs = 0, accepted = 0, started = 0, ended = 0;
};
/// The violations of one run, with counts for its report.
struct CheckResult {
    std::vector<Violation> violations;
    std::map<std::string, JobCounts> classes, teams, largest;
    /// Answers that are older than another answer which arrived while their request was in flight.
    /// Linearizability allows either order of the two; the text of PROTOCOL does not.
    std::uint64_t overtaken = 0;
    double longestOvertakenS = 0;  // from the request to its answer
    /// Tasks that started after their job's cancellation was confirmed, because the launch command
    /// was already in flight.
    std::uint64_t startedCancelled = 0;
};

/// Checks every rule. It uses only what users, workers and the cloud observed and shares no code
/// with the controllers, so that a fault of theirs cannot hide itself.
CheckResult check(const History& history, const CheckerOptions& terms);

}  // namespace basaltchute::simulator
