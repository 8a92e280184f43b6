#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/attempt_log.h"
#include "scheduler/cluster.h"

// Reconciles status reports with the state: what a report proves about the allocations of its
// machine, and whether heartbeats and their responses arrive (network partitions).

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;
using worker_api::AllocationState;
using worker_api::Command;
using worker_api::CommandChannel;
using worker_api::ExitCause;
using worker_api::LaunchTask;
using worker_api::Machine;
using worker_api::Presence;
using worker_api::ReportedTask;
using worker_api::StatusReport;
using worker_api::TaskAttempt;
using worker_api::TaskStatus;
using worker_api::TerminalStatus;

namespace {

constexpr Duration minHealthyRunTime = 15s;  // a task that has run this long is healthy
// A job that has failed on this many machines is at fault itself.
constexpr std::size_t crashLoopAfterMachines = 3;
// A machine on which this many jobs have failed is at fault itself.
constexpr std::size_t quarantineAfterFailedJobs = 2;
constexpr Duration machineBackOffAfterFailure = 10s;  // after a task failed on it
constexpr Duration fullMachineBackOff = 2s;           // after it had no capacity for a task
constexpr Duration refusedJobBackOff = 1s;            // after a machine refused a task of the job
constexpr Duration maxCrashLoopBackOff = 60s;
constexpr std::uint32_t maxCrashLoopDoublings = 8;
// A machine that acts on none of this many responses in a row does not receive them.
constexpr std::uint32_t maxIgnoredResponses = 2;
constexpr Duration maxHeartbeatNetworkDelay = 1500ms;  // in a network without faults

/// Whether a task in that phase has been started on its machine.
bool hasStarted(TaskPhase phase) {
    return phase == TaskPhase::running || phase == TaskPhase::checkpointing;
}

TaskPhase phaseOf(TaskStatus status) {
    if (status == TaskStatus::pulling) return TaskPhase::pulling;
    if (status == TaskStatus::checkpointing) return TaskPhase::checkpointing;
    return TaskPhase::running;
}

}  // namespace

// ---------------------------------------------------------------- tasks

void Cluster::setPhase(Job& job, JobTask& task, TaskPhase phase, TimePoint now) {
    if (hasStarted(phase) && !hasStarted(task.phase)) {
        ++job.runningCount;
        task.runningSince = now;
        if (job.startedAt == TimePoint{}) job.startedAt = now;
    }
    if (!hasStarted(phase) && hasStarted(task.phase)) --job.runningCount;
    task.phase = phase;
}

bool Cluster::hasHealthyTask(const Job& job, TimePoint now) const {
    if (job.doneCount > 0) return true;
    // A faulty job may run for a while before it fails, so only a task that has run for longer than
    // its failed ones shows that the job is healthy. The factor allows for machines of different
    // speed.
    const Duration longEnough = std::max<Duration>(minHealthyRunTime, job.longestFailure * 5 / 4);
    return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const JobTask& t) {
        return t.state == TaskState::bound && t.phase == TaskPhase::running &&
               now - t.runningSince >= longEnough;
    });
}

void Cluster::onTaskFailed(MachineIndex machine, Job& job, TimePoint now) {
    Machine& m = machines_[machine];
    ++m.failures;
    ++job.failures;
    m.failedJobs.insert(job.spec.id);
    job.failedOn[machine] = now;
    m.backOffUntil = now + machineBackOffAfterFailure;
    markCapacityDirty(machine);
    scheduleTimer(machine, m.backOffUntil);
    // A job that fails on every machine is at fault itself, unless some of its tasks do run. In
    // that case it has only been placed on several faulty machines, as happens to a large array
    // when dozens are faulty at once.
    const bool healthy = hasHealthyTask(job, now);
    job.crashLooping = !healthy && job.failedOn.size() >= crashLoopAfterMachines;
    if (job.crashLooping) {
        for (const auto& [at, when] : job.failedOn) machines_[at].failedJobs.erase(job.spec.id);
        const auto doublings = std::min(job.failures, maxCrashLoopDoublings);
        job.backOffUntil =
            now + std::min<Duration>(maxCrashLoopBackOff, 1s * (1U << doublings) / 4);
        return;
    }
    if ((m.failedJobs.size() >= quarantineAfterFailedJobs || healthy) && !m.quarantined) {
        m.quarantined = true;
        spdlog::warn("machine is quarantined: machine={} reason=tasks_fail failed_jobs={}", m.name,
                     m.failedJobs.size());
    }
}

void Cluster::recordResult(Job& job, const ReportedTask& t, TimePoint now) {
    const JobTask& task = job.tasks[t.task];
    const bool bound = task.state == TaskState::bound;
    const double ranS = toSeconds(now - task.runningSince);
    if (bound && task.attempt == 1 && job.spec.estimatedRuntimeS > 0 && ranS > 0)
        estimates_.recordRun(job.spec.jobClass, job.spec.estimatedRuntimeS, ranS);
    // The result of any attempt counts, unless another attempt may be on another machine: the
    // record would no longer name that machine, and the next leader would neither account for that
    // attempt nor wait for its end. The other attempt ends by itself as soon as it has its image.
    const Allocation* other =
        bound && task.attempt != t.attempt
            ? machines_[task.machine].findAllocation(job, t.task, task.attempt)
            : nullptr;
    if (other == nullptr || !other->state.launchSent()) finishTask(job, t.task);
}

void Cluster::applyExitCause(MachineIndex machine, const Allocation& allocation, ExitCause cause,
                             TimePoint now) {
    Machine& m = machines_[machine];
    Job& job = *allocation.job;
    const JobTask& task = job.tasks[allocation.task];
    switch (cause) {
        case ExitCause::done:
            m.failedJobs.clear();
            m.failures = 0;
            break;
        case ExitCause::error:
            if (!isCurrentAllocation(allocation, machine)) break;
            if (task.phase == TaskPhase::running)
                job.longestFailure = std::max(job.longestFailure, now - task.runningSince);
            onTaskFailed(machine, job, now);
            break;
        case ExitCause::full:
            m.backOffUntil = now + fullMachineBackOff;
            scheduleTimer(machine, m.backOffUntil);
            break;
        case ExitCause::busy:
        case ExitCause::noSuch:
            job.backOffUntil = now + refusedJobBackOff;
            break;
        case ExitCause::stopped:
        case ExitCause::other:
            break;
    }
}

void Cluster::onTaskExited(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) return;
    const Allocation* allocation = m.findAllocation(*job, t.task, t.attempt);
    if (t.cause == ExitCause::done && job->spec.shape != Shape::service) recordResult(*job, t, now);
    if (allocation == nullptr) return;
    applyExitCause(machine, *allocation, t.cause, now);
    releaseAllocation(machine, static_cast<std::size_t>(allocation - m.allocations.data()));
}

Allocation& Cluster::adoptReported(MachineIndex machine, Job& job, const ReportedTask& t) {
    JobTask& task = job.tasks[t.task];
    Allocation found;
    found.job = &job;
    found.task = t.task;
    found.attempt = t.attempt;
    found.state = AllocationState::foundOnMachine();
    if (task.state == TaskState::waiting && t.attempt >= task.attempt && job.open() &&
        !job.blocked) {
        // The task runs although no record says so. It stays on this machine, and its binding is
        // recorded.
        task.state = TaskState::bound;
        task.machine = machine;
        task.attempt = t.attempt;
        ++job.boundCount;
        updateWaitingList(job);
        markTaskDirty(job, t.task, WritePriority::immediate);
    } else {
        found.orphaned = true;
    }
    return addAllocation(machine, std::move(found));
}

void Cluster::onTaskReported(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) {
        m.unknownTasks.push_back(t);
        return;
    }
    Allocation* known = m.findAllocation(*job, t.task, t.attempt);
    if (known == nullptr && m.formerLeadersFenced) {
        ++restartedAttempts_;
        logRestartedAttempt(m, {t.job, t.task, t.attempt});
    }
    Allocation& allocation = known != nullptr ? *known : adoptReported(machine, *job, t);
    allocation.lastReportedIn = m.heartbeatSequence;
    if (!allocation.launch.confirmedAt) allocation.launch.confirmedAt = now;
    allocation.state.onReported();
    if (!isCurrentAllocation(allocation, machine)) return;
    JobTask& task = job->tasks[t.task];
    const TaskPhase before = task.phase;
    const TaskPhase phase = phaseOf(t.status);
    setPhase(*job, task, phase, now);
    if (phase != TaskPhase::pulling && before != TaskPhase::running &&
        m.cachedImages.insert_or_assign(job->spec.image, now).second)
        markCapacityDirty(machine);
}

// ---------------------------------------------------------------- reports

void Cluster::onStatusReport(const StatusReport& r, ReportSource source, TimePoint now) {
    const MachineIndex index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    if (m.presence == Presence::gone) return;
    now_ = now;
    m.address = r.address;
    if (m.presence == Presence::expected) onFirstReport(index, r, now);
    if (std::tie(r.incarnation, r.sequence) <= std::tie(m.incarnation, m.heartbeatSequence)) return;
    if (r.incarnation > m.incarnation) onNewIncarnation(index, now);
    m.incarnation = r.incarnation;
    m.heartbeatSequence = r.sequence;
    m.sequenceSeenAt = now;
    if (r.incarnation <= m.endedIncarnation) return acceptLateResults(index, r, now);
    recordContact(index, source, now);
    m.lastReportBytes = r.bytes;
    if ((capacityIndex_.find(index) != nullptr) != acceptsWork(m))
        markCapacityDirty(index);  // it is new, was unresponsive, or its report is (no longer) full
    scheduleTimer(index, now + settings_.heartbeatInterval * 2);
    if (r.interruptionNotice) recordInterruptionNotice(index, *r.interruptionNotice, now);
    reconcileTasks(index, r, now);
    releaseUnreported(index, r, source);
    m.formerLeadersFenced = m.formerLeadersFenced || r.token >= token_;
}

void Cluster::onFirstReport(MachineIndex machine, const StatusReport& r, TimePoint now) {
    Machine& m = machines_[machine];
    m.presence = Presence::up;
    m.upSince = now;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    // Allocations of a former leader were counted in the zone "", as the real one was unknown.
    for (const Allocation& allocation : m.allocations) {
        auto& tasksPerZone = allocation.job->tasksPerZone;
        --tasksPerZone[""];
        ++tasksPerZone[m.zone];
        std::erase_if(tasksPerZone, [](const auto& zone) { return zone.second == 0; });
    }
    addToCellPool(machine);
    markCapacityDirty(machine);
}

void Cluster::onNewIncarnation(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.incarnation != 0) {
        // If the machine had received a recent response, its former incarnation would still be
        // alive.
        if (m.answeredHeartbeats >= maxIgnoredResponses &&
            now - m.lastAnsweredAt < settings_.lease / 2)
            markInboundPartitioned(machine, "lease_expired_despite_responses", now);
        m.answeredHeartbeats = m.ignoredResponses = 0;
        m.formerLeadersFenced = false;
        m.cachedImages.clear();
        markCapacityDirty(machine);
        // The worker has killed all its tasks. Bindings whose launch was never sent remain valid.
        // So do adopted ones: the former leader may have launched them in the new incarnation,
        // while an old report of the earlier one reached this leader first.
        for (std::size_t i = m.allocations.size(); i-- > 0;) {
            const AllocationState& state = m.allocations[i].state;
            if (!state.launchSent() || state.adopted()) continue;
            logLostAttempt(m, m.allocations[i], "new_session", now);
            releaseAllocation(machine, i);
        }
    }
    // A new incarnation holds a lease from its start, before any of its heartbeats is answered.
    // Without this, the lease of the former incarnation still counted: an incarnation that became
    // known by its answer to a probe was once given work, and when the former lease ended, that
    // work was started elsewhere a second time.
    m.leaseEnd = std::max(m.leaseEnd, leaseEnd(now));
}

void Cluster::acceptLateResults(MachineIndex machine, const StatusReport& r, TimePoint now) {
    // The report was sent before the lease ran out and was delayed, so only its results still
    // count.
    for (const ReportedTask& t : r.tasks)
        if (t.status == TaskStatus::exited && t.cause == ExitCause::done)
            onTaskExited(machine, t, now);
}

void Cluster::recordContact(MachineIndex machine, ReportSource source, TimePoint now) {
    Machine& m = machines_[machine];
    m.lastHeardAt = now;
    m.unansweredProbes = 0;
    if (source == ReportSource::heartbeat) {
        m.lastHeartbeatAt = now;
        if (std::exchange(m.outboundPartitioned, false)) {
            spdlog::info("machine is no longer outbound-partitioned: machine={}", m.name);
            markCapacityDirty(machine);
        }
        return;
    }
    m.ignoredResponses = 0;  // it received the direct request
    if (std::exchange(m.inboundPartitioned, false)) markCapacityDirty(machine);
    checkHeartbeatsArrive(machine, now);
}

void Cluster::recordInterruptionNotice(MachineIndex machine, Duration notice, TimePoint now) {
    Machine& m = machines_[machine];
    if (!m.interruptionAt) {
        spdlog::info("spot interruption notice: machine={} remaining_s={:.1f}", m.name,
                     toSeconds(notice));
        markCapacityDirty(machine);
    }
    m.interruptionAt = now + notice;
    scheduleTimer(machine, now);
}

void Cluster::reconcileTasks(MachineIndex machine, const StatusReport& r, TimePoint now) {
    Machine& m = machines_[machine];
    const auto before = std::exchange(m.terminalStatuses, {});
    m.unknownTasks.clear();
    for (const ReportedTask& t : r.tasks) {
        if (t.status != TaskStatus::exited) {
            onTaskReported(machine, t, now);
            continue;
        }
        const TaskAttempt ended{t.job, t.task, t.attempt};
        if (const auto known = before.find(ended); known != before.end()) {
            m.terminalStatuses.insert(*known);
            continue;
        }
        const Job* job = find(t.job);
        const bool isKnownTask = job != nullptr && t.task < job->spec.tasks;
        TerminalStatus status;
        status.cause = t.cause;
        status.reportedAt = now;
        if (isKnownTask)
            if (const Allocation* launched = m.findAllocation(*job, t.task, t.attempt))
                status.launch = launched->launch;
        onTaskExited(machine, t, now);
        if (isKnownTask) status.recordVersion = job->layout.rangeOf(t.task).version;
        m.terminalStatuses.emplace(ended, std::move(status));
    }
}

void Cluster::releaseUnreported(MachineIndex machine, const StatusReport& r, ReportSource source) {
    Machine& m = machines_[machine];
    for (std::size_t i = m.allocations.size(); i-- > 0;) {
        const Allocation& allocation = m.allocations[i];
        const AllocationState& state = allocation.state;
        if (allocation.lastReportedIn == r.sequence || !state.launchSent()) continue;
        // An attempt that the report does not list is not on the machine, unless a launch of it may
        // still be on its way. Launches of a former leader are rejected once the worker has seen
        // this leader's fencing token.
        const bool fenced = state.adopted() && r.token >= token_;
        // The worker executes or drops a launch in a heartbeat response before it sends its next
        // heartbeat. The report in a direct response may be older than that.
        const bool neverLaunched = source == ReportSource::heartbeat && mustStop(allocation) &&
                                   !state.adopted() && !state.directLaunchMayArrive();
        if (!state.confirmed() && !fenced && !neverLaunched) continue;
        logLostAttempt(m, allocation, "not_reported", now_);
        releaseAllocation(machine, i);
    }
}

std::vector<Command> Cluster::onHeartbeat(const StatusReport& r, TimePoint now) {
    const auto index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    const bool isNew =
        std::tie(r.incarnation, r.sequence) > std::tie(m.incarnation, m.heartbeatSequence);
    onStatusReport(r, ReportSource::heartbeat, now);
    // A report that is not new was sent before the newest one arrived, so it extends the lease only
    // from the time when that one arrived. Duplicates may arrive for minutes, and must not keep
    // delaying the release of a dead machine's tasks.
    m.leaseEnd = std::max(m.leaseEnd, leaseEnd(isNew ? now : m.sequenceSeenAt));
    if (m.presence == Presence::gone || r.incarnation <= m.endedIncarnation ||
        r.incarnation != m.incarnation || r.sequence != m.heartbeatSequence)
        return {};
    if (isNew) checkResponsesArrive(index, now);
    if (m.inboundPartitioned) effects_.machinesToProbe.insert(index);
    std::vector<Command> commands;
    // A raised token makes the worker drop an earlier response that is still on its way, and what a
    // direct request in flight would launch. So it rises in the only response that the worker waits
    // for, and while no request is open.
    addForgetCommands(index, isNew && !m.commandInFlight && mayLaunchDirectly(index), commands);
    addLaunchesAndStops(index, CommandChannel::heartbeatResponse, commands);
    if (!isNew) return commands;  // a duplicate: nobody receives its response
    ++m.answeredHeartbeats;
    m.lastAnsweredAt = now;
    markLaunchesInResponse(index, commands);
    return commands;
}

void Cluster::markLaunchesInResponse(MachineIndex machine, const std::vector<Command>& commands) {
    for (const Command& command : commands) {
        const auto* launch = std::get_if<LaunchTask>(&command);
        if (launch == nullptr) continue;
        const auto& [id, task, attempt] = launch->attempt;
        const Job* job = find(id);
        if (job == nullptr) continue;
        if (Allocation* allocation = machines_[machine].findAllocation(*job, task, attempt))
            allocation->launchInLastResponse = true;
    }
}

// ---------------------------------------------------------------- partitions

void Cluster::checkHeartbeatsArrive(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // A machine that became known by its answer to a request has had no time to send a heartbeat.
    if (m.lastHeartbeatAt == TimePoint{}) m.lastHeartbeatAt = now;
    const Duration overdue = settings_.heartbeatInterval * 5 / 4 + maxHeartbeatNetworkDelay;
    if (now - m.lastHeartbeatAt <= overdue) return;
    if (!std::exchange(m.outboundPartitioned, true)) {
        spdlog::warn("machine is outbound-partitioned: machine={} reason=heartbeats_overdue",
                     m.name);
        markCapacityDirty(machine);
    }
    scheduleTimer(machine, now);
    // Stop commands have not reached it in heartbeat responses, so they are sent directly.
    if (std::any_of(m.allocations.begin(), m.allocations.end(), [&](const Allocation& allocation) {
            return mustStop(allocation) && allocation.state.launchSent() && !allocation.stopSent;
        }))
        effects_.machinesToCommand.insert(machine);
}

void Cluster::markInboundPartitioned(MachineIndex machine, const char* reason, TimePoint now) {
    Machine& m = machines_[machine];
    if (!std::exchange(m.inboundPartitioned, true))
        spdlog::warn("machine is inbound-partitioned: machine={} reason={}", m.name, reason);
    m.inboundPartitionedUntil = now + settings_.lease;
    markCapacityDirty(machine);
    scheduleTimer(machine, m.inboundPartitionedUntil);
}

void Cluster::checkResponsesArrive(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // A worker sends one heartbeat at a time: by now it has acted on the response to the previous
    // one, or never will. Only new reports are checked, never duplicates.
    bool launchExpected = false, launchReported = false;
    for (const Allocation& allocation : m.allocations) {
        if (!allocation.launchInLastResponse) continue;
        launchExpected = true;
        launchReported = launchReported || allocation.state.confirmed();
    }
    if (launchReported) m.ignoredResponses = 0;
    if (launchExpected && !launchReported && ++m.ignoredResponses >= maxIgnoredResponses)
        markInboundPartitioned(machine, "responses_ignored", now);
    // On an inbound-partitioned machine, allocations whose launch cannot arrive any more are
    // released at once, rather than when the lease ends.
    for (std::size_t i = m.allocations.size(); i-- > 0;) {
        Allocation& allocation = m.allocations[i];
        const AllocationState& state = allocation.state;
        const bool dropped =
            allocation.launchInLastResponse && !state.confirmed() && !state.directLaunchMayArrive();
        allocation.launchInLastResponse = false;
        if (m.inboundPartitioned && (dropped || !state.launchSent())) releaseAllocation(machine, i);
    }
}

bool Cluster::isResponsive(const Machine& m, TimePoint now) const {
    return m.up() && m.incarnation > m.endedIncarnation &&
           now - m.lastHeardAt < settings_.heartbeatInterval * 2;
}

}  // namespace basaltchute::scheduler
