#pragma once
// The order in which waiting jobs of one priority are placed.
//
// Jobs are ordered by how many of their objectives they can no longer meet, then by the latest
// start that still meets the next one (earliest deadline first). Where the jobs cannot all meet
// their objectives, the largest ones concede an objective until the others can (Moore and
// Hodgson's rule). In the order of the latest starts alone, all jobs would be late together.
//
// Pure functions without state. Called by `Cluster::place`, and by the autoscaler to learn what a
// job's next objective demands.
#include <compare>
#include <cstddef>
#include <vector>

#include "jobs/job.h"
#include "scheduler/runtime_estimates.h"
#include "settings/settings.h"

namespace basaltchute::scheduler {

/// How urgently a waiting job has to start. The smallest value goes first.
struct SchedulingPriority {
    /// How many objectives the job cannot meet any more, or has conceded. 0 also for a job that has
    /// missed all of them and has waited so long that it goes first by age.
    std::size_t missedObjectives = 0;
    /// The latest start that meets the next objective. If there is none, the time from which the
    /// job goes first by age.
    TimePoint startBy{};
    bool canMeetAnother = false;  // whether there is a next objective
    auto operator<=>(const SchedulingPriority&) const = default;
};

/// A waiting job and its place in the order.
struct QueueEntry {
    SchedulingPriority priority;
    Job* job;
};

/// The priority of a job whose tasks run for `runTime` each. `conceded`: how many objectives are
/// given up although they could be met, starting with the most urgent.
[[nodiscard]] SchedulingPriority schedulingPriority(
    const Job& job, const std::vector<settings::Objective>& objectives, Duration runTime,
    TimePoint now, std::size_t conceded = 0);

/// Returns the jobs, all of one priority, in the order in which they are to be placed.
[[nodiscard]] std::vector<QueueEntry> queueOrder(const std::vector<Job*>& jobs,
                                                 const std::vector<settings::Objective>& objectives,
                                                 const RuntimeEstimates& estimates, TimePoint now);

}  // namespace basaltchute::scheduler
