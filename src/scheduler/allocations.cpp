#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/attempt_log.h"
#include "scheduler/cluster.h"

// Allocations: binding, stopping and releasing tasks, and the timers of machines (leases, spot
// interruptions, back-offs).

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;
using worker_api::Machine;
using worker_api::Presence;
using worker_api::StopReason;

namespace {
constexpr Duration leaseMargin = 500ms;  // added to a lease, in addition to clock drift
constexpr Duration interruptionMargin =
    2500ms;  // from the end of a checkpoint until the machine is lost
constexpr Duration delegationRecheckInterval = 500ms;
}  // namespace

Cluster::Cluster(const settings::Settings& settings, FencingToken token, FencingToken lastToken)
    : settings_(settings),
      token_(token),
      lastToken_(lastToken),
      maxValueBytes_(settings.valueBytes) {}

// ---------------------------------------------------------------- allocations

bool Cluster::isCurrentAllocation(const Allocation& allocation, MachineIndex machine) const {
    const JobTask& t = allocation.job->tasks[allocation.task];
    return t.state == TaskState::bound && t.machine == machine && t.attempt == allocation.attempt;
}

void Cluster::bindTask(Job& job, std::uint32_t task, MachineIndex machine,
                       std::vector<cells::CellIndex> cells) {
    JobTask& t = job.tasks[task];
    t.state = TaskState::bound;
    t.phase = TaskPhase::pendingBind;
    t.stopping = false;
    t.machine = machine;
    ++t.attempt;
    ++job.boundCount;
    updateWaitingList(job);
    // Bindings of low-priority work are written only at the rate that other writes leave unused: a
    // large array once delayed the bindings of all other jobs.
    markTaskDirty(job, task,
                  job.effectivePriority == Priority::low ? WritePriority::background
                                                         : WritePriority::immediate);
    Allocation allocation;
    allocation.job = &job;
    allocation.task = task;
    allocation.attempt = t.attempt;
    allocation.recordVersion = job.layout.rangeOf(task).version;
    allocation.cells = std::move(cells);
    t.reserved = !allocation.cells.empty();
    addAllocation(machine, std::move(allocation));
}

void Cluster::unbindTask(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.phase == TaskPhase::running || t.phase == TaskPhase::checkpointing) --job.runningCount;
    t.state = TaskState::waiting;
    t.phase = TaskPhase::pendingBind;
    t.stopping = false;
    t.machine = noMachine;
    --job.boundCount;
    job.placementQueue.push_back(task);
    hasNewWork_ = true;
    updateWaitingList(job);
    markTaskDirty(job, task, WritePriority::progress);
}

Allocation& Cluster::addAllocation(MachineIndex machine, Allocation allocation) {
    Machine& m = machines_[machine];
    Job& job = *allocation.job;
    markCapacityDirty(quota_.occupyCells(allocation, machine, m));
    quota_.addUsage(job.spec);
    ++job.tasksPerZone[m.zone];
    // The task was found after its job's cancellation was acknowledged. Listing the job again
    // limits the delegations in the zone of the machine (`latestDelegationEnd`).
    if (job.cancelled) pendingCancellations_.insert(&job);
    m.allocations.push_back(std::move(allocation));
    markCapacityDirty(machine);
    scheduleTimer(machine, m.leaseEnd);
    return m.allocations.back();
}

void Cluster::releaseAllocation(MachineIndex machine, std::size_t position) {
    Machine& m = machines_[machine];
    const Allocation allocation = m.allocations[position];
    Job& job = *allocation.job;
    markCapacityDirty(quota_.vacateCells(allocation, machine, m));
    m.allocations.erase(m.allocations.begin() + static_cast<std::ptrdiff_t>(position));
    quota_.removeUsage(job.spec);
    const auto tasksInZone = job.tasksPerZone.find(m.zone);
    if (--tasksInZone->second == 0) job.tasksPerZone.erase(tasksInZone);
    markCapacityDirty(machine);
    if (isCurrentAllocation(allocation, machine)) unbindTask(job, allocation.task);
}

void Cluster::releaseAllAllocations(MachineIndex machine, const char* reason) {
    Machine& m = machines_[machine];
    while (!m.allocations.empty()) {
        if (m.allocations.back().state.launchSent())
            logLostAttempt(m, m.allocations.back(), reason, now_);
        releaseAllocation(machine, m.allocations.size() - 1);
    }
}

void Cluster::stopTask(Job& job, std::uint32_t task, StopReason reason) {
    JobTask& t = job.tasks[task];
    if (t.state != TaskState::bound || t.stopping) return;
    Machine& m = machines_[t.machine];
    Allocation* allocation = m.findAllocation(job, task, t.attempt);
    if (allocation != nullptr && !allocation->state.launchSent()) {
        // The launch was never sent, so there is nothing to stop and the machine will report
        // nothing. Such a task was once marked as stopping and never released its resources.
        releaseAllocation(t.machine, static_cast<std::size_t>(allocation - m.allocations.data()));
        return;
    }
    t.stopping = true;
    if (allocation != nullptr) allocation->launch.stopReason = reason;
    effects_.machinesToCommand.insert(t.machine);
    markCapacityDirty(t.machine);
}

void Cluster::stopTaskOrGang(Job& job, std::uint32_t task, StopReason reason) {
    if (job.spec.shape != Shape::gang) return stopTask(job, task, reason);
    for (std::uint32_t member = 0; member < job.spec.tasks; ++member) stopTask(job, member, reason);
}

void Cluster::stopTasks(const TaskList& tasks, StopReason reason) {
    for (const auto& [job, task] : tasks) stopTaskOrGang(*job, task, reason);
}

// ---------------------------------------------------------------- machines

void Cluster::onMachineDeleted(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    now_ = now;
    m.presence = Presence::gone;
    m.lastHeardAt = now;
    releaseAllAllocations(machine, "machine_deleted");
    quota_.removeMachine(machine, m);
    // The machine itself stays registered, so that a late report does not bring it back. What was
    // known about its images and tasks is discarded.
    m.cachedImages.clear();
    m.terminalStatuses.clear();
    m.unknownTasks.clear();
    m.failedJobs.clear();
    markCapacityDirty(machine);
}

void Cluster::setDraining(MachineIndex machine, bool draining) {
    machines_[machine].draining = draining;
    markCapacityDirty(machine);
}

void Cluster::setZoneUnreachable(const std::string& zone, bool unreachable) {
    if (unreachable == unreachableZones_.contains(zone)) return;
    if (unreachable)
        unreachableZones_.insert(zone);
    else
        unreachableZones_.erase(zone);
    for (MachineIndex i = 0; i < machines_.size(); ++i)
        if (machines_[i].zone == zone) markCapacityDirty(i);
}

// ---------------------------------------------------------------- leases and timers

TimePoint Cluster::leaseEnd(TimePoint renewed) const {
    // A thousandth of the lease allows for drift between the clocks.
    return renewed + settings_.lease + settings_.lease / 1000 + leaseMargin;
}

TimePoint Cluster::possiblyRunningUntil(const Machine& m, TimePoint now) const {
    if (delegator_ == nullptr) return m.leaseEnd;
    return std::max(m.leaseEnd, delegator_->agentLeasesEnd(m.zone, now));
}

TimePoint Cluster::leaseEndWithoutRenewal(const Machine& m, TimePoint now) const {
    return m.lastAnsweredAt == TimePoint{} ? now : m.lastAnsweredAt + settings_.lease;
}

void Cluster::stopCheckpointingTasksBefore(MachineIndex machine, TimePoint until, TimePoint now) {
    const Machine& m = machines_[machine];
    TaskList due;
    for (const Allocation& allocation : m.allocations) {
        const JobTask& task = allocation.job->tasks[allocation.task];
        const JobSpec& spec = allocation.job->spec;
        if (!isCurrentAllocation(allocation, machine) || task.stopping ||
            spec.checkpointIntervalS <= 0)
            continue;
        // The task is stopped as late as its checkpoint allows, since it may finish before that.
        const TimePoint latestStop =
            until - fromSeconds(spec.checkpointDurationS) - interruptionMargin;
        if (now < latestStop)
            scheduleTimer(machine, latestStop);
        else
            due.emplace_back(allocation.job, allocation.task);
    }
    stopTasks(due, StopReason::interrupted);
}

void Cluster::scheduleTimer(MachineIndex machine, TimePoint at) {
    Machine& m = machines_[machine];
    if (at >= m.nextTimerAt) return;
    if (m.nextTimerAt != TimePoint::max()) timers_.erase({m.nextTimerAt, machine});
    m.nextTimerAt = at;
    timers_.emplace(at, machine);
}

void Cluster::releaseIfLeaseExpired(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.allocations.empty() || now < m.leaseEnd) return;
    if (now < possiblyRunningUntil(m, now)) {
        // A delegate may have renewed the lease. What this leader knows of that may be out of date,
        // so it is checked again shortly.
        scheduleTimer(machine, now + delegationRecheckInterval);
        return;
    }
    // Nobody can have renewed the lease, so the worker has killed all tasks and begun a new
    // incarnation, which also rejects direct commands that are still on their way.
    spdlog::warn("machine lease expired: machine={} released_tasks={}", m.name,
                 m.allocations.size());
    m.endedIncarnation = std::max(m.endedIncarnation, m.incarnation);
    releaseAllAllocations(machine, "lease_expired");
}

void Cluster::runTimers(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.presence == Presence::gone) return;
    if (m.up() && m.interruptionAt) stopCheckpointingTasksBefore(machine, *m.interruptionAt, now);
    if (m.up() && m.outboundPartitioned)
        stopCheckpointingTasksBefore(machine, leaseEndWithoutRenewal(m, now), now);
    releaseIfLeaseExpired(machine, now);
    if (now >= m.inboundPartitionedUntil) m.inboundPartitioned = false;
    markCapacityDirty(machine);
    // New heartbeats postpone these times. The timer then runs too early and only reschedules.
    for (const TimePoint t : {m.lastHeardAt + settings_.heartbeatInterval * 2,
                              m.lastHeartbeatAt + settings_.heartbeatInterval * 2, m.backOffUntil,
                              m.inboundPartitionedUntil, m.leaseEnd})
        if (t > now) scheduleTimer(machine, t);
}

void Cluster::advanceTo(TimePoint now) {
    now_ = now;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const MachineIndex machine = timers_.begin()->second;
        timers_.erase(timers_.begin());
        machines_[machine].nextTimerAt = TimePoint::max();
        runTimers(machine, now);
    }
    commitCancellations(now);
    applyDependencyChanges(now);
}

}  // namespace basaltchute::scheduler
