#pragma once
#include <map>
#include <string>
#include <vector>

#include "settings/settings.h"
#include "simulator/history.h"

namespace basaltchute::simulator {

/// What the rules need to know of a deployment, beside what happened.
struct CheckerOptions {
    double cancelS = 0;
    std::map<std::string, settings::Team> teams;  // over all sites
    /// Nothing is wrong any more from `settledS` on: what is submitted then, and before `untilS`,
    /// is accepted before the history ends.
    double settledS = 0, untilS = -1;
    /// All troubles are over: from then on no accepted job's polls are in vain for `knownS`.
    double calmS = 0, knownS = 75;
    /// Not 0: the largest jobs of each class begin within so long, and half of each class, team and
    /// class's largest jobs is started.
    double beginS = 0;
    /// From `calmS` on no job waits for so long while a machine that fits has room and its team is
    /// under its limit.
    double idleCapacityWaitS = 90;
};

struct Violation {
    std::string rule, what;
    std::vector<HistoryEvent> proof;  // the shortest part of the history that shows it
};

struct JobCounts {
    std::uint64_t jobs = 0, accepted = 0, started = 0, ended = 0;
};
struct CheckResult {
    std::vector<Violation> violations;
    std::map<std::string, JobCounts> classes, teams, largest;
    /// Answers older than what was told while their question was on its way: by linearizability the
    /// two may be ordered either way, by the letter of PROTOCOL they may not.
    std::uint64_t overtaken = 0;
    double longestOvertakenS = 0;  // from the question to the answer
    /// Starts after a confirmed cancellation, of launches that were on their way.
    std::uint64_t startedCancelled = 0;
};

/// Decides from outside: it knows what users, workers and the cloud saw, and no code of the
/// service.
CheckResult check(const History& history, const CheckerOptions& terms);

}  // namespace basaltchute::simulator
