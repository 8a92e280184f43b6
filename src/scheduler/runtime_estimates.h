#pragma once
// Estimates of how long work takes, by observation: run times, drain rates and arrival lead times.
//
// State: the bias of owners' estimates for each job class, the bias that the durations in the
// dependency graph were last computed with, recent arrival lead times, and the drain rate of each
// priority. All of it is in memory only, so that a new leader starts without observations. The
// class depends on nothing but its arguments. Called by `Cluster`: reconciliation records runs and
// placement measures the drain rate, while queue order and dependency tracking only read.
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::scheduler {

/// See the top of this file.
class RuntimeEstimates {
  public:
    /// Records that the first attempt of a task ended after `observedS` seconds, where its owner
    /// had estimated `estimatedRuntimeS` (more than 0). The bias is a moving average of the
    /// logarithm of their ratio, since owners' estimates are wrong in the same direction for most
    /// of a day.
    void recordRun(const std::string& jobClass, double estimatedRuntimeS, double observedS);

    /// The observed ratio of run time to estimate in the class. 1 if nothing was observed.
    [[nodiscard]] double bias(const std::string& jobClass) const;
    /// How long one task of the job runs: its owner's estimate times the bias of its class.
    [[nodiscard]] Duration estimatedRunTime(const JobSpec& spec) const;
    /// The time from the job's release until its last task is done, for an image that takes
    /// `imageFetchS` seconds to fetch. Takes into account that the last of many tasks takes longer
    /// than the mean.
    [[nodiscard]] Duration jobDuration(const JobSpec& spec, double imageFetchS) const;

    /// Returns the classes whose bias has changed so much since they were last returned that
    /// durations should be recomputed with it. Empty if the last call was a moment ago.
    std::set<std::string> takeShiftedClasses(TimePoint now);

    /// Records how long before its release the job was known. Zero for a job without dependencies.
    void recordLeadTime(const JobSpec& spec, Duration lead);
    /// The lead time that four of five recent jobs of the class reached: how long before their
    /// release they were known. Zero if none of them had dependencies.
    [[nodiscard]] Duration arrivalLeadTime(const std::string& jobClass) const;

    /// Measures the drain rate of each priority, unless that was done a moment ago.
    void measureDrainRate(const std::vector<Job*>& openJobs, TimePoint now);
    /// How many cores the bound tasks of the priority free each second, by their estimated run
    /// times. Services do not end and do not count. 0 if nothing of the priority runs.
    [[nodiscard]] double drainRate(Priority priority) const {
        return drainRate_[static_cast<std::size_t>(priority)];
    }

  private:
    std::unordered_map<std::string, double> logBias_;  // log(run time / estimate), by class
    std::map<std::string, double> appliedLogBias_;     // as last returned by takeShiftedClasses
    std::map<std::string, std::deque<Duration>> leadTimes_;  // of the last few jobs, by class
    std::array<double, 4> drainRate_{};                      // by priority
    TimePoint lastShiftCheckAt_{}, drainRateMeasuredAt_{};
};

}  // namespace basaltchute::scheduler
