#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "jobs/record_layout.h"
#include "runtime/clock.h"
#include "runtime/loop.h"

namespace basaltchute {

enum class Shape { array, service, gang };  // a gang's tasks run all together or not at all
enum class Priority { production, high, normal, low };

struct Resources {
    double cores = 0, gpus = 0, ramGb = 0;
    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources& d) {
        cores += d.cores;
        gpus += d.gpus;
        ramGb += d.ramGb;
        return *this;
    }
    Resources& operator-=(const Resources& d) {
        cores -= d.cores;
        gpus -= d.gpus;
        ramGb -= d.ramGb;
        return *this;
    }
};

struct JobSpec {
    JobId id;
    std::string jobClass, team;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources demand;
    std::string image;
    double imageGb = 0;
    std::optional<std::vector<std::string>> machineTypes;
    std::optional<std::string> zone;
    bool sameZone = false, spread = false, spotAllowed = false;
    double estimatedRuntimeS = 0, checkpointIntervalS = 0, checkpointDurationS = 0;
    std::optional<double> deadlineS;
    std::vector<JobId>
        dependencies;  // that have to be done before any task of it starts; each once

    /// Whether its tasks may run on machines of the type.
    [[nodiscard]] bool allowsType(const std::string& type) const {
        return !machineTypes ||
               std::find(machineTypes->begin(), machineTypes->end(), type) != machineTypes->end();
    }
};

/// When a job has to be done to meet the first and the last of the deadlines that apply to it.
struct Deadlines {
    static constexpr TimePoint never = TimePoint::max();
    TimePoint first = never, last = never;
    bool operator==(const Deadlines&) const = default;
};

enum class TaskState : std::uint8_t { waiting, bound, done };
/// How far a bound task has come on its machine, as far as this leader knows.
enum class TaskPhase : std::uint8_t { pendingBind, launchSent, pulling, running, checkpointing };

struct JobTask {
    TaskState state = TaskState::waiting;
    TaskPhase phase = TaskPhase::pendingBind;
    bool reserved = false;  // bound in cells of its team's reservation
    bool stopping = false;  // told to stop: by preemption, draining or cancellation
    MachineIndex machine = noMachine;
    Attempt attempt = 0;
    TimePoint runningSince{};
};

struct Job {
    JobSpec spec;
    WallMillis submittedWallTime{};
    TimePoint submittedAt{};
    /// From when its wait counts: its submission, or when the last of its dependencies was done.
    TimePoint releasedAt{};
    std::optional<WallMillis> releasedWallTime;  // the latter, for the record
    TimePoint startedAt{};                       // when its first task ran, as far as is known
    /// A dependency is not done: no task of it starts, and it is no demand for capacity.
    bool blocked = false;
    JobId cancelledDependency;  // the dependency that was cancelled, and this job with it
    /// Its own priority or a higher one that a dependent has, and when its dependents need it to
    /// be done.
    Priority effectivePriority = Priority::normal;
    Deadlines inheritedDeadlines{};
    /// Its user has asked to cancel it: no task starts any more, and all are stopped.
    bool cancelled = false;
    /// And it may be acknowledged: whatever may still run ends in time. Until then the record says
    /// that it is being cancelled, and polls are answered as before.
    bool cancelCommitted = false;
    std::uint64_t cancelVersion = 0;  // of the record of the job itself, when it was committed
    TimePoint cancelRequestedAt{};
    bool cancelRecorded = false;              // on record as being cancelled
    std::optional<TimePoint> acknowledgedAt;  // to a user, first; the past if unknown
    std::vector<JobTask> tasks;
    std::uint32_t doneCount = 0, boundCount = 0, runningCount = 0;
    /// Tasks to be placed, the next one last. What was adopted or done meanwhile is skipped when
    /// it comes up, so that no change of a task costs a search.
    std::vector<std::uint32_t> placementQueue;
    std::size_t queuePosition = notQueued;  // in the scheduler's list of jobs with tasks to place
    static constexpr std::size_t notQueued = SIZE_MAX;
    /// Tasks that are possibly in each zone; under "" those on machines that have not reported.
    std::map<std::string, std::uint32_t> tasksPerZone;
    jobs::RecordLayout layout;  // of its records
    // A job whose tasks fail on several machines is its owner's mistake: tried ever more rarely.
    std::map<MachineIndex, TimePoint> failedOn;
    std::uint32_t failures = 0;
    /// Fails wherever it runs, and nothing of it has succeeded: no evidence against machines, and
    /// no reason to rent any.
    bool crashLooping = false;
    Duration longestFailure{};  // the longest that a task of it ran before it failed
    TimePoint backOffUntil{};

    [[nodiscard]] bool accepted() const { return layout.accepted(); }
    [[nodiscard]] bool cancelDurable() const {
        return cancelCommitted && layout.head().durableVersion >= cancelVersion;
    }
    [[nodiscard]] std::uint32_t waitingCount() const { return spec.tasks - doneCount - boundCount; }
    /// The next task to be placed; there must be one.
    [[nodiscard]] std::uint32_t nextWaiting() {
        while (tasks[placementQueue.back()].state != TaskState::waiting) placementQueue.pop_back();
        return placementQueue.back();
    }
    [[nodiscard]] bool allDone() const { return doneCount == spec.tasks; }
    [[nodiscard]] bool doneDurable() const { return allDone() && layout.durable(); }
    [[nodiscard]] bool open() const { return !cancelled && !allDone(); }
};

}  // namespace basaltchute
