#pragma once
// Jobs and their tasks as a leader holds them in memory: the description that the user submitted,
// and the state of each task. Plain data with small accessors; the scheduler creates and changes
// it, and codec.h maps it to the user API and to stored records.
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

/// How the tasks of a job relate to each other.
enum class Shape {
    array,    // tasks run independently, each to its end
    service,  // tasks run until the job is cancelled
    gang,     // tasks run all at the same time or not at all
};

/// Scheduling priority, from highest to lowest: a smaller value goes first.
enum class Priority { production, high, normal, low };

/// An amount of resources: what a task needs, or what a machine has.
struct Resources {
    double cores = 0, gpus = 0, ramGb = 0;
    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources& other) {
        cores += other.cores;
        gpus += other.gpus;
        ramGb += other.ramGb;
        return *this;
    }
    Resources& operator-=(const Resources& other) {
        cores -= other.cores;
        gpus -= other.gpus;
        ramGb -= other.ramGb;
        return *this;
    }
};

/// A job as its user submitted it. It never changes after the submission.
struct JobSpec {
    JobId id;
    std::string jobClass, team;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;  // number of tasks
    Resources demand;         // of each task
    std::string image;
    double imageGb = 0;
    std::optional<std::vector<std::string>> machineTypes;  // allowed types; absent: any
    std::optional<std::string> zone;                       // the only allowed zone; absent: any
    bool sameZone = false;                                 // all tasks run in one zone
    bool spread = false;              // no zone runs more than half of the tasks, rounded up
    bool spotAllowed = false;         // tasks may run on machines that the cloud can take back
    double estimatedRuntimeS = 0;     // of one task, as its user estimates it
    double checkpointIntervalS = 0;   // between two checkpoints of a task; 0: it makes none
    double checkpointDurationS = 0;   // time that a task needs to write a checkpoint
    std::optional<double> deadlineS;  // from submission
    std::vector<JobId> dependencies;  // must be done before any task starts; no duplicates

    /// Whether tasks may run on machines of the type.
    [[nodiscard]] bool allowsType(const std::string& type) const {
        return !machineTypes ||
               std::find(machineTypes->begin(), machineTypes->end(), type) != machineTypes->end();
    }
};

/// The earliest and the latest of the deadlines that apply to a job.
struct Deadlines {
    static constexpr TimePoint never = TimePoint::max();
    TimePoint first = never, last = never;
    bool operator==(const Deadlines&) const = default;
};

enum class TaskState : std::uint8_t {
    waiting,  // for a machine
    bound,    // to a machine
    done,
};
/// Progress of a bound task on its machine, as far as this leader knows.
enum class TaskPhase : std::uint8_t {
    pendingBind,  // no launch command has been sent yet
    launchSent,
    pulling,  // the machine is fetching the image
    running,
    checkpointing,
};

/// The state of one task.
struct JobTask {
    TaskState state = TaskState::waiting;
    TaskPhase phase = TaskPhase::pendingBind;
    bool reserved = false;  // bound in cells of its team's reservation
    bool stopping = false;  // told to stop by preemption, draining or cancellation
    MachineIndex machine = noMachine;
    Attempt attempt = 0;
    TimePoint runningSince{};
};

/// A job and its tasks. Owned by the scheduler's Cluster.
struct Job {
    JobSpec spec;
    WallMillis submittedWallTime{};
    TimePoint submittedAt{};
    /// When the job became ready to run: at its submission, or when the last of its dependencies
    /// was done. Its waiting time counts from here.
    TimePoint releasedAt{};
    /// When the last dependency was done, for the stored record; absent if there was none.
    std::optional<WallMillis> releasedWallTime;
    TimePoint startedAt{};  // when its first task ran, as far as this leader knows
    /// A dependency is not done: no task starts, and the job does not count as demand for capacity.
    bool blocked = false;
    /// The dependency whose cancellation cancelled this job; empty if there is none.
    JobId cancelledDependency;
    /// Its own priority, or the higher one of a dependent job.
    Priority effectivePriority = Priority::normal;
    /// When dependent jobs need it to be done. Its own deadlines come on top of these.
    Deadlines inheritedDeadlines{};
    /// The job is being cancelled: no further task starts, and all running ones are stopped.
    bool cancelled = false;
    /// Every task that may still run is certain to end within the time that users are promised, so
    /// the cancellation may be acknowledged. Until then the record says that the job is being
    /// cancelled, and status requests are answered as before.
    bool cancelCommitted = false;
    /// Version of the record with the job's own state in which the cancellation was committed.
    std::uint64_t cancelVersion = 0;
    TimePoint cancelRequestedAt{};
    bool cancelRecorded = false;  // the record says that the job is being cancelled
    /// When a user was first told that the job is cancelled; the clock's epoch, long past, if
    /// unknown.
    std::optional<TimePoint> acknowledgedAt;
    std::vector<JobTask> tasks;
    std::uint32_t doneCount = 0, boundCount = 0, runningCount = 0;
    /// Indices of tasks to place, the next one last. Tasks that were adopted or finished in the
    /// meantime stay in it until nextWaiting() skips them, so that no change of a task costs a
    /// search.
    std::vector<std::uint32_t> placementQueue;
    /// Position in the scheduler's list of jobs that have tasks to place.
    std::size_t queuePosition = notQueued;
    static constexpr std::size_t notQueued = SIZE_MAX;
    /// Number of tasks that are possibly in each zone. Those on machines that have not reported to
    /// this leader yet count under the empty name.
    std::map<std::string, std::uint32_t> tasksPerZone;
    jobs::RecordLayout layout;  // of its stored records
    /// Machines on which a task failed, and when. A job that fails on several machines is faulty
    /// itself: it is retried at growing intervals.
    std::map<MachineIndex, TimePoint> failedOn;
    std::uint32_t failures = 0;
    /// The job fails on whatever machine it runs, and no task has succeeded: its failures are no
    /// evidence against machines, and no machines are rented for it.
    bool crashLooping = false;
    Duration longestFailure{};  // longest time that a task ran before it failed
    TimePoint backOffUntil{};   // no task is placed before

    /// Whether the job itself is stored, so that users were or may be told so.
    [[nodiscard]] bool accepted() const { return layout.accepted(); }
    /// Whether the committed cancellation is stored.
    [[nodiscard]] bool cancelDurable() const {
        return cancelCommitted && layout.head().durableVersion >= cancelVersion;
    }
    [[nodiscard]] std::uint32_t waitingCount() const { return spec.tasks - doneCount - boundCount; }
    /// The next task to place. Must not be called if no task is waiting.
    [[nodiscard]] std::uint32_t nextWaiting() {
        while (tasks[placementQueue.back()].state != TaskState::waiting) placementQueue.pop_back();
        return placementQueue.back();
    }
    [[nodiscard]] bool allDone() const { return doneCount == spec.tasks; }
    /// Whether all tasks are done and all of that is stored.
    [[nodiscard]] bool doneDurable() const { return allDone() && layout.durable(); }
    /// Neither cancelled nor done.
    [[nodiscard]] bool open() const { return !cancelled && !allDone(); }
};

}  // namespace basaltchute
