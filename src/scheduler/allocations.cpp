#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/cluster.h"

// What is possibly on which machine: bind, stop and release, and what the passing of time changes.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;
using worker_api::Machine;
using worker_api::Presence;

namespace {
constexpr Duration leaseMargin = 500ms;
constexpr Duration interruptionMargin = 2500ms;
constexpr Duration delegationRecheck = 500ms;
}  // namespace

Cluster::Cluster(const settings::Settings& settings, FencingToken token)
    : settings_(settings), token_(token), valueBytes_(settings.valueBytes) {}

// ---------------------------------------------------------------- allocations

bool Cluster::ownsAllocation(const Allocation& allocation, MachineIndex machine) const {
    const JobTask& t = allocation.job->tasks[allocation.task];
    return t.state == TaskState::bound && t.machine == machine && t.attempt == allocation.attempt;
}

void Cluster::bind(Job& job, std::uint32_t task, MachineIndex machine,
                   std::vector<cells::CellIndex> cells) {
    JobTask& t = job.tasks[task];
    t.state = TaskState::bound;
    t.phase = TaskPhase::pendingBind;
    t.stopping = false;
    t.machine = machine;
    ++t.attempt;
    ++job.boundCount;
    listWaiting(job);
    // Low-priority work is bound by what the others leave of the write rate: a large array once
    // held up everybody's bindings.
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
    allocate(machine, std::move(allocation));
}

void Cluster::unbind(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.phase == TaskPhase::running || t.phase == TaskPhase::checkpointing) --job.runningCount;
    t.state = TaskState::waiting;
    t.phase = TaskPhase::pendingBind;
    t.stopping = false;
    t.machine = noMachine;
    --job.boundCount;
    job.placementQueue.push_back(task);
    hasNewWork_ = true;
    listWaiting(job);
    markTaskDirty(job, task, WritePriority::progress);
}

Allocation& Cluster::allocate(MachineIndex machine, Allocation allocation) {
    Machine& m = machines_[machine];
    Job& job = *allocation.job;
    markCapacityDirty(quota_.occupyCells(allocation, machine, m));
    quota_.addUse(job.spec);
    ++job.tasksPerZone[m.zone];
    // Found on a machine after its job's cancellation was acknowledged: leases in its zone may not
    // be delegated for longer than that leaves.
    if (job.cancelled) cancellations_.insert(&job);
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
    quota_.removeUse(job.spec);
    const auto zone = job.tasksPerZone.find(m.zone);
    if (--zone->second == 0) job.tasksPerZone.erase(zone);
    markCapacityDirty(machine);
    if (ownsAllocation(allocation, machine)) unbind(job, allocation.task);
}

void Cluster::releaseAll(MachineIndex machine) {
    while (!machines_[machine].allocations.empty())
        releaseAllocation(machine, machines_[machine].allocations.size() - 1);
}

void Cluster::stopMember(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.state != TaskState::bound || t.stopping) return;
    Machine& m = machines_[t.machine];
    const Allocation* allocation = m.findAllocation(job, task, t.attempt);
    if (allocation != nullptr && !allocation->state.launchSent()) {
        // Its launch never left, so there is nothing to stop and nothing will be reported: told to
        // stop, such a task once kept its resources for good.
        releaseAllocation(t.machine, static_cast<std::size_t>(allocation - m.allocations.data()));
        return;
    }
    t.stopping = true;
    effects_.machinesToCommand.insert(t.machine);
    markCapacityDirty(t.machine);
}

void Cluster::stop(Job& job, std::uint32_t task) {
    if (job.spec.shape != Shape::gang) return stopMember(job, task);
    for (std::uint32_t member = 0; member < job.spec.tasks; ++member) stopMember(job, member);
}

void Cluster::stopAll(const TaskList& tasks) {
    for (const auto& [job, task] : tasks) stop(*job, task);
}

// ---------------------------------------------------------------- machines

void Cluster::onMachineDeleted(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    now_ = now;
    m.presence = Presence::gone;
    m.lastHeardAt = now;
    releaseAll(machine);
    quota_.removeMachine(machine, m);
    // The name must stay known, so that a late report does not bring the machine back; what was
    // on it need not.
    m.images.clear();
    m.tombstones.clear();
    m.terminalStatuses.clear();
    m.unknownTasks.clear();
    m.failedJobs.clear();
    markCapacityDirty(machine);
}

void Cluster::setDraining(MachineIndex machine, bool draining) {
    machines_[machine].draining = draining;
    markCapacityDirty(machine);
}

void Cluster::setZoneUnreachable(const std::string& zone, bool away) {
    if (away == unreachableZones_.contains(zone)) return;
    if (away)
        unreachableZones_.insert(zone);
    else
        unreachableZones_.erase(zone);
    for (MachineIndex i = 0; i < machines_.size(); ++i)
        if (machines_[i].zone == zone) markCapacityDirty(i);
}

// ---------------------------------------------------------------- leases and timers

TimePoint Cluster::leaseEnd(TimePoint renewed) const {
    return renewed + settings_.lease + settings_.lease / 1000 + leaseMargin;
}

TimePoint Cluster::possiblyRunningUntil(const Machine& m, TimePoint now) const {
    if (delegator_ == nullptr) return m.leaseEnd;
    return std::max(m.leaseEnd, delegator_->agentLeasesEnd(m.zone, now));
}

TimePoint Cluster::leaseEndWithoutRenewal(const Machine& m, TimePoint now) const {
    return m.answeredAt == TimePoint{} ? now : m.answeredAt + settings_.lease;
}

void Cluster::checkpointBefore(MachineIndex machine, TimePoint until, TimePoint now) {
    const Machine& m = machines_[machine];
    TaskList due;
    for (const Allocation& allocation : m.allocations) {
        const JobTask& task = allocation.job->tasks[allocation.task];
        const JobSpec& spec = allocation.job->spec;
        if (!ownsAllocation(allocation, machine) || task.stopping || spec.checkpointIntervalS <= 0)
            continue;
        // As late as the checkpoint allows: the task may still finish.
        const TimePoint last = until - fromSeconds(spec.checkpointDurationS) - interruptionMargin;
        if (now < last)
            scheduleTimer(machine, last);
        else
            due.emplace_back(allocation.job, allocation.task);
    }
    stopAll(due);
}

void Cluster::scheduleTimer(MachineIndex machine, TimePoint at) {
    Machine& m = machines_[machine];
    if (at >= m.timerAt) return;
    if (m.timerAt != TimePoint::max()) timers_.erase({m.timerAt, machine});
    m.timerAt = at;
    timers_.emplace(at, machine);
}

void Cluster::releaseExpired(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.allocations.empty() || now < m.leaseEnd) return;
    if (now < possiblyRunningUntil(m, now)) {
        // Answered by a delegate, perhaps: what it told this leader may be old, and is looked up
        // again.
        scheduleTimer(machine, now + delegationRecheck);
        return;
    }
    // Nobody can have renewed it: the worker has killed everything and begun a new incarnation,
    // which also fences direct commands that are still on their way.
    spdlog::warn("machine lease expired: machine={} released_tasks={}", m.name,
                 m.allocations.size());
    m.endedIncarnation = std::max(m.endedIncarnation, m.incarnation);
    m.tombstones.clear();
    releaseAll(machine);
}

void Cluster::runTimers(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.presence == Presence::gone) return;
    if (m.up() && m.interruptionAt) checkpointBefore(machine, *m.interruptionAt, now);
    if (m.up() && m.outboundPartitioned)
        checkpointBefore(machine, leaseEndWithoutRenewal(m, now), now);
    releaseExpired(machine, now);
    if (now >= m.inboundPartitionedUntil) m.inboundPartitioned = false;
    markCapacityDirty(machine);
    // Heartbeats move these on; the next look is at what they were when this one was due.
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
        machines_[machine].timerAt = TimePoint::max();
        runTimers(machine, now);
    }
    commitCancellations(now);
    applyDependencyChanges(now);
}

}  // namespace basaltchute::scheduler
