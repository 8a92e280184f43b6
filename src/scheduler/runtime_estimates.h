#pragma once
// How long work takes, by what has been observed: run times, drain rate and arrival lead times.
//
// Owns: the estimator bias of each job class, the bias that the dependency graph's durations were
// last computed with, recent arrival lead times, and the drain rate of each rank. All of it is in
// memory only: a new leader starts without observations. Guarantees: reads nothing but its
// arguments and writes nothing but its own state, so that it can be constructed and called in a
// test alone. Called by: `Cluster` (reconciliation records runs, placement measures the drain
// rate), queue order and dependency tracking (which read).
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::scheduler {

class RuntimeEstimates {
  public:
    /// A task ended that ran for `ranS` seconds with its first attempt; `estimatedRuntimeS` is its
    /// owner's estimate, more than 0. The bias is a moving average of the logarithm of run time
    /// over estimate, since owners' estimates are off in the same direction for most of a day.
    void recordRun(const std::string& jobClass, double estimatedRuntimeS, double ranS);

    /// Run time over estimate, as observed in the class; 1 if nothing was.
    [[nodiscard]] double bias(const std::string& jobClass) const;
    /// How long one task of the job runs: its owner's estimate times the bias of its class.
    [[nodiscard]] Duration estimatedRunTime(const JobSpec& spec) const;
    /// From the job's release until its last task is done, for an image that takes `imageFetchS`
    /// seconds to fetch. The last of many tasks takes longer than the mean.
    [[nodiscard]] Duration jobDuration(const JobSpec& spec, double imageFetchS) const;

    /// Classes whose bias has moved so far since they were last returned that durations computed
    /// with it should be computed again. Empty if the last look was a moment ago.
    std::set<std::string> takeShiftedClasses(TimePoint now);

    /// The job's release was known that long before it came; zero for a job without dependencies.
    void recordLeadTime(const JobSpec& spec, Duration lead);
    /// How long before their release four of five recent jobs of the class were known; zero if
    /// none of them had dependencies.
    [[nodiscard]] Duration arrivalLeadTime(const std::string& jobClass) const;

    /// Measures the drain rate from the open jobs, unless it was measured a moment ago.
    void measureDrainRate(const std::vector<Job*>& openJobs, TimePoint now);
    /// Cores that bound tasks of the rank free each second, by their run times; services do not end
    /// and do not count. 0 if nothing of the rank runs.
    [[nodiscard]] double drainRate(Priority rank) const {
        return drainRate_[static_cast<std::size_t>(rank)];
    }

  private:
    std::unordered_map<std::string, double> logBias_;  // log(run time / estimate), by class
    std::map<std::string, double> appliedLogBias_;     // as last returned by takeShiftedClasses
    std::map<std::string, std::deque<Duration>> leadTimes_;  // of the last few jobs, by class
    std::array<double, 4> drainRate_{};                      // by rank
    TimePoint shiftsLookedForAt_{}, drainRateMeasuredAt_{};
};

}  // namespace basaltchute::scheduler
