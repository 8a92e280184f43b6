#pragma once
// Which of the waiting jobs of one rank is placed next.
//
// Jobs are ordered by how many of their objectives they can no longer meet, then by the latest
// start that still meets the next one (earliest deadline first). Where not everything can be served
// in time, the largest jobs concede an objective until the rest can (Moore and Hodgson's rule).
//
// Owns nothing: values and functions of their arguments alone.
// Called by: `Cluster::place`, and the autoscaler for what a job's next objective asks of it.
#include <compare>
#include <cstddef>
#include <vector>

#include "jobs/job.h"
#include "scheduler/runtime_estimates.h"
#include "settings/settings.h"

namespace basaltchute::scheduler {

/// How urgently a waiting job has to start; the least goes first.
struct SchedulingPriority {
    /// Objectives that the job does not meet any more, or has conceded. 0 also for a job that has
    /// missed them all and has waited so long that it goes next.
    std::size_t missedObjectives = 0;
    /// The latest start that meets the next objective; when there is none, the time from which the
    /// job's age alone puts it first.
    TimePoint startBy{};
    bool canMeetAnother = false;  // there is a next objective
    auto operator<=>(const SchedulingPriority&) const = default;
};

struct QueueEntry {
    SchedulingPriority priority;
    Job* job;
};

/// Of a job whose tasks take `runTime` each. `conceded`: objectives that are given up although they
/// could be met, the most urgent first.
[[nodiscard]] SchedulingPriority schedulingPriority(
    const Job& job, const std::vector<settings::Objective>& objectives, Duration runTime,
    TimePoint now, std::size_t conceded = 0);

/// Jobs of one rank in the order in which they are to be placed.
[[nodiscard]] std::vector<QueueEntry> queueOrder(const std::vector<Job*>& jobs,
                                                 const std::vector<settings::Objective>& objectives,
                                                 const RuntimeEstimates& estimates, TimePoint now);

}  // namespace basaltchute::scheduler
