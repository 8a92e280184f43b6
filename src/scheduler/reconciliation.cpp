#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/cluster.h"

// What workers report, what it proves, and the orders that answer it.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;
using worker_api::Command;
using worker_api::CommandKind;
using worker_api::ExitCause;
using worker_api::Machine;
using worker_api::Presence;
using worker_api::ReportedTask;
using worker_api::StatusReport;
using worker_api::TaskStatus;

namespace {
constexpr Duration soundAfter = 15s;    // a task that ran this long has a sound job
constexpr std::size_t maxOrders = 300;  // an answer is one line of at most 64 KiB
constexpr std::uint32_t deafAfter = 2;  // answers in a row that nothing came of
constexpr Duration reportDelay = 1500ms;
}  // namespace

void Cluster::setPhase(Job& job, JobTask& task, Phase phase, TimePoint now) {
    const auto on = [](Phase p) { return p == Phase::running || p == Phase::checkpointing; };
    if (on(phase) && !on(task.phase)) {
        ++job.runningCount;
        task.runningSince = now;
        if (job.startedAt == TimePoint{}) job.startedAt = now;
    }
    if (!on(phase) && on(task.phase)) --job.runningCount;
    task.phase = phase;
}

void Cluster::onTaskFailed(Machine& m, MachineIndex index, Job& job, TimePoint now) {
    ++m.failures;
    ++job.failures;
    m.failedJobs.insert(job.spec.id);
    job.failedOn[index] = now;
    m.backOffUntil = now + 10s;
    markCapacityDirty(index);
    scheduleTimer(index, m.backOffUntil);
    // A job that fails wherever it goes is at fault itself, unless some of its tasks do run: then
    // it only met several sick machines, as a large array does when dozens are sick at once.
    // A job with a mistake may run for a while before it fails, so only what has run for longer
    // than its failures did speaks for it; machines differ in speed.
    const Duration longEnough = std::max<Duration>(soundAfter, job.longestFailure * 5 / 4);
    const bool sound =
        job.doneCount > 0 || std::any_of(job.tasks.begin(), job.tasks.end(), [&](const JobTask& t) {
            return t.state == TaskState::bound && t.phase == Phase::running &&
                   now - t.runningSince >= longEnough;
        });
    job.crashLooping = !sound && job.failedOn.size() >= 3;
    if (job.crashLooping) {
        for (const auto& [at, when] : job.failedOn) machines_[at].failedJobs.erase(job.spec.id);
        const auto tries = std::min<std::uint32_t>(job.failures, 8);
        job.backOffUntil = now + std::min<Duration>(60s, 1s * (1U << tries) / 4);
        return;
    }
    if ((m.failedJobs.size() >= 2 || sound) && !m.quarantined) {
        m.quarantined = true;
        spdlog::warn("machine {} fails its tasks: no more work for it", m.name);
    }
}

void Cluster::onTaskExited(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) return;
    const Allocation* c = m.findAllocation(*job, t.task, t.attempt);
    if (t.cause == ExitCause::done && job->spec.shape != Shape::service) {
        const JobTask& task = job->tasks[t.task];
        const double ran = toSeconds(now - task.runningSince);
        if (task.state == TaskState::bound && task.attempt == 1 && job->spec.estimateS > 0 &&
            ran > 0)
            estimates_.recordRun(job->spec.jobClass, job->spec.estimateS, ran);
        // A result is a result, whichever attempt brought it: but not while another attempt may
        // be on another machine. The record would say no more where, and a successor would neither
        // count it nor wait for its end. It ends by itself as soon as it has its image.
        const Allocation* other =
            task.state == TaskState::bound && task.attempt != t.attempt
                ? machines_[task.machine].findAllocation(*job, t.task, task.attempt)
                : nullptr;
        if (other == nullptr || !other->launchSent) finish(*job, t.task);
    }
    if (c == nullptr) return;
    if (c->directLaunchUnresolved || c->directLaunchInFlight)
        m.tombstones.emplace(t.job, t.task, t.attempt);
    const bool mine = ownsAllocation(*c, machine);
    switch (t.cause) {
        case ExitCause::done:
            m.failedJobs.clear();
            m.failures = 0;
            break;
        case ExitCause::error:
            if (mine) {
                const JobTask& task = job->tasks[t.task];
                if (task.phase == Phase::running)
                    job->longestFailure = std::max(job->longestFailure, now - task.runningSince);
                onTaskFailed(m, machine, *job, now);
            }
            break;
        case ExitCause::full:
            m.backOffUntil = now + 2s;
            scheduleTimer(machine, m.backOffUntil);
            break;
        case ExitCause::busy:
        case ExitCause::noSuch:
            job->backOffUntil = now + 1s;
            break;
        case ExitCause::stopped:
        case ExitCause::other:
            break;
    }
    release(machine, static_cast<std::size_t>(c - m.allocations.data()));
}

void Cluster::onTaskReported(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) {
        m.unknownTasks.push_back(t);
        return;
    }
    Allocation* c = m.findAllocation(*job, t.task, t.attempt);
    JobTask& task = job->tasks[t.task];
    if (c == nullptr) {
        Allocation fresh;
        fresh.job = job;
        fresh.task = t.task;
        fresh.attempt = t.attempt;
        fresh.launchSent = true;
        if (task.state == TaskState::waiting && t.attempt >= task.attempt && job->open() &&
            !job->blocked) {
            // It runs although no record says so: it stays where it is, on record.
            task.state = TaskState::bound;
            task.machine = machine;
            task.attempt = t.attempt;
            ++job->boundCount;
            listWaiting(*job);
            markTaskDirty(*job, t.task, WritePriority::bindings);
        } else {
            fresh.orphaned = true;
        }
        c = &allocate(machine, std::move(fresh));
    }
    c->lastReportedIn = m.heartbeatSequence;
    c->confirmed = true;
    c->adopted = false;
    if (!ownsAllocation(*c, machine)) return;
    const Phase before = task.phase;
    const Phase phase = t.status == TaskStatus::pulling         ? Phase::pulling
                        : t.status == TaskStatus::checkpointing ? Phase::checkpointing
                                                                : Phase::running;
    setPhase(*job, task, phase, now);
    if (phase != Phase::pulling && before != Phase::running &&
        m.images.insert_or_assign(job->spec.image, now).second)
        markCapacityDirty(machine);
}

void Cluster::onStatusReport(const StatusReport& r, Source source, TimePoint now) {
    const MachineIndex index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    if (m.presence == Presence::gone) return;
    now_ = now;
    m.address = r.address;
    if (m.presence == Presence::expected) {
        m.presence = Presence::up;
        m.upSince = now;
        m.type = r.type;
        m.zone = r.zone;
        m.spot = r.spot;
        for (const auto& c :
             m.allocations) {  // bound by a former leader, in a zone not known till now
            --c.job->perZone[""];
            ++c.job->perZone[m.zone];
            std::erase_if(c.job->perZone, [](const auto& n) { return n.second == 0; });
        }
        enterPool(index);
        markCapacityDirty(index);
    }
    if (std::tie(r.incarnation, r.sequence) <= std::tie(m.incarnation, m.heartbeatSequence)) return;
    if (r.incarnation > m.incarnation && m.incarnation != 0) {
        // An answer that was heard lately would have kept the session.
        if (m.answeredHeartbeats >= deafAfter && now - m.answeredAt < settings_.lease / 2)
            markInboundPartitioned(index, "its lease ran out though it was answered", now);
        m.answeredHeartbeats = m.ignoredResponses = 0;
        m.tombstones.clear();
        m.images.clear();
        markCapacityDirty(index);
        // The worker killed all it had. Bindings whose launch never left are still good.
        for (std::size_t c = m.allocations.size(); c-- > 0;)
            if (m.allocations[c].launchSent) release(index, c);
    }
    // A session lives for a lease from when it began, though nobody has answered a beat of it: one
    // that became known by an answer to a question was given work, and up to the end of the former
    // session's lease only, after which that work was started elsewhere as well.
    if (r.incarnation > m.incarnation) m.leaseEnd = std::max(m.leaseEnd, leaseEnd(now));
    m.incarnation = r.incarnation;
    m.heartbeatSequence = r.sequence;
    m.sequenceSeenAt = now;
    if (r.incarnation <= m.endedIncarnation) {
        // A report held back since before the lease ran out: only results in it still count.
        for (const auto& t : r.tasks)
            if (t.status == TaskStatus::exited && t.cause == ExitCause::done)
                onTaskExited(index, t, now);
        return;
    }
    m.lastHeardAt = now;
    m.unansweredProbes = 0;
    if (source == Source::heartbeat) {
        m.lastHeartbeatAt = now;
        if (std::exchange(m.outboundPartitioned, false)) {
            spdlog::info("machine {} reports again", m.name);
            markCapacityDirty(index);
        }
    } else {
        m.ignoredResponses = 0;  // it heard the question
        if (std::exchange(m.inboundPartitioned, false)) markCapacityDirty(index);
        checkReportsArrive(index, now);
    }
    m.reportBytes = r.bytes;
    if ((capacityIndex_.find(index) != nullptr) != acceptsWork(m))
        markCapacityDirty(index);  // silent for a while, new, or full
    scheduleTimer(index, now + settings_.reportEvery * 2);
    if (r.interruptionNotice) {
        if (!m.interruptionAt) {
            spdlog::info("machine {} is to be taken back", m.name);
            markCapacityDirty(index);
        }
        m.interruptionAt = now + *r.interruptionNotice;
        scheduleTimer(index, now);
    }
    const auto before = std::exchange(m.terminalStatuses, {});
    m.unknownTasks.clear();
    for (const auto& t : r.tasks) {
        if (t.status == TaskStatus::exited) {
            const Machine::TaskAttempt ended{t.job, t.task, t.attempt};
            if (const auto known = before.find(ended); known != before.end()) {
                m.terminalStatuses.insert(*known);
                continue;
            }
            onTaskExited(index, t, now);
            const Job* job = find(t.job);
            const bool ours = job != nullptr && t.task < job->spec.tasks;
            m.terminalStatuses.emplace(ended, ours ? job->layout.of(t.task).version : 0);
        } else {
            onTaskReported(index, t, now);
        }
    }
    for (std::size_t i = m.allocations.size(); i-- > 0;) {
        const Allocation& c = m.allocations[i];
        if (c.lastReportedIn == r.sequence || !c.launchSent) continue;
        // Not mentioned. Proof that it is not there, unless a launch may still be on its way:
        // those of a former leader are fenced once the worker has seen our token.
        const bool fenced = c.adopted && r.token == token_;
        // A launch inside the answer to a beat is executed or dropped before the next beat is
        // sent; the body of a direct answer may be older than that.
        const bool unlaunched = source == Source::heartbeat && mustStop(c) && !c.adopted &&
                                !c.directLaunchInFlight && !c.directLaunchUnresolved;
        if (c.confirmed || fenced || unlaunched) release(index, i);
    }
}

void Cluster::checkReportsArrive(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // Heard of first by an answer, it has had no time to report yet.
    if (m.lastHeartbeatAt == TimePoint{}) m.lastHeartbeatAt = now;
    const Duration overdue = settings_.reportEvery * 5 / 4 + reportDelay;
    if (now - m.lastHeartbeatAt <= overdue) return;
    if (!std::exchange(m.outboundPartitioned, true)) {
        spdlog::warn("machine {} answers, but its reports do not come: used last from now on",
                     m.name);
        markCapacityDirty(machine);
    }
    scheduleTimer(machine, now);
    // What has to stop there has not heard it by an answer to a report.
    if (std::any_of(m.allocations.begin(), m.allocations.end(), [&](const Allocation& c) {
            return mustStop(c) && c.launchSent && !c.stopSent;
        }))
        effects_.sendCommands.insert(machine);
}

bool Cluster::allBound(const Job& job) const {
    if (job.boundCount + job.doneCount < job.spec.tasks) return false;
    return job.layout.durable();
}

bool Cluster::mustStop(const Allocation& c) const {
    return c.orphaned || !c.job->open() || c.job->tasks[c.task].state != TaskState::bound ||
           c.job->tasks[c.task].attempt != c.attempt || c.job->tasks[c.task].stopping;
}

std::vector<Command> Cluster::commandsFor(MachineIndex machine, bool direct) {
    Machine& m = machines_[machine];
    std::vector<Command> out;
    if (!direct) {
        for (const auto& [ended, version] : m.terminalStatuses) {
            if (out.size() >= maxOrders / 2) break;  // launches and stops go on meanwhile
            if (m.tombstones.contains(ended)) continue;
            const auto& [id, task, attempt] = ended;
            const Job* job = find(id);
            // What the exit proves must be on record first: a forgotten result is lost for good.
            if (job != nullptr && task < job->spec.tasks && job->layout.of(task).durable < version)
                continue;
            out.push_back({CommandKind::forget, id, task, attempt, {}});
        }
    }
    for (const auto& t : m.unknownTasks) {
        if (out.size() >= maxOrders) break;
        out.push_back({CommandKind::stop, t.job, t.task, t.attempt, {}});
    }
    for (auto& c : m.allocations) {
        if (out.size() >= maxOrders) break;
        const JobSpec& spec = c.job->spec;
        const JobTask& task = c.job->tasks[c.task];
        if (mustStop(c)) {
            if (!c.launchSent || (direct && c.stopSent)) continue;
            const bool save = task.stopping && c.job->open() && spec.checkpointS > 0;
            if (!c.confirmed && c.directLaunchUnresolved)
                // The launch may come yet. Making the attempt known and ending it at once
                // turns the late one into a repetition, which does nothing.
                out.push_back({CommandKind::launch, spec.id, c.task, c.attempt, {}});
            out.push_back({CommandKind::stop, spec.id, c.task, c.attempt,
                           save ? fromSeconds(spec.saveS + 0.5) : Duration::zero()});
            c.stopSent = true;
        } else if (!c.confirmed && !c.adopted) {
            const auto& record = c.job->layout.of(c.task);
            if (record.durable < c.recordVersion || !c.job->accepted()) continue;
            if (spec.shape == Shape::gang && !allBound(*c.job)) continue;
            if (direct && (c.launchSent || c.directLaunchInFlight)) continue;
            out.push_back({CommandKind::launch, spec.id, c.task, c.attempt, {}});
            c.launchSent = true;
            c.directLaunchInFlight = c.directLaunchInFlight || direct;
            c.job->tasks[c.task].phase = Phase::launchSent;
        }
    }
    return out;
}

void Cluster::markInboundPartitioned(MachineIndex machine, const char* why, TimePoint now) {
    Machine& m = machines_[machine];
    if (!std::exchange(m.inboundPartitioned, true))
        spdlog::warn("machine {} does not hear: {}", m.name, why);
    m.inboundPartitionedUntil = now + settings_.lease;
    markCapacityDirty(machine);
    scheduleTimer(machine, m.inboundPartitionedUntil);
}

void Cluster::checkResponsesArrive(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // One report is on its way at a time: the answer to the one before was executed, or never will
    // be. Copies are no news and do not come here.
    bool asked = false, heeded = false;
    for (const auto& c : m.allocations) {
        if (!c.launchInLastResponse) continue;
        asked = true;
        heeded = heeded || c.confirmed;
    }
    if (heeded) m.ignoredResponses = 0;
    if (asked && !heeded && ++m.ignoredResponses >= deafAfter)
        markInboundPartitioned(machine, "nothing comes of the answers to its reports", now);
    // What no launch is under way for need not wait there for its lease to end.
    for (std::size_t i = m.allocations.size(); i-- > 0;) {
        Allocation& c = m.allocations[i];
        const bool settled = c.launchInLastResponse && !c.confirmed && !c.directLaunchInFlight &&
                             !c.directLaunchUnresolved;
        c.launchInLastResponse = false;
        if (m.inboundPartitioned && (settled || !c.launchSent)) release(machine, i);
    }
}

std::vector<Command> Cluster::onHeartbeat(const StatusReport& r, TimePoint now) {
    const auto index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    const bool news =
        std::tie(r.incarnation, r.sequence) > std::tie(m.incarnation, m.heartbeatSequence);
    onStatusReport(r, Source::heartbeat, now);
    // What is older than the newest word was sent before that one came. Copies arrive for minutes,
    // and must not hold back for ever what ran on a machine that is gone.
    m.leaseEnd = std::max(m.leaseEnd, leaseEnd(news ? now : m.sequenceSeenAt));
    if (m.presence == Presence::gone || r.incarnation <= m.endedIncarnation ||
        r.incarnation != m.incarnation || r.sequence != m.heartbeatSequence)
        return {};
    if (news) checkResponsesArrive(index, now);
    if (m.inboundPartitioned) effects_.probe.insert(index);
    auto out = commandsFor(index, false);
    if (!news) return out;  // a copy: its answer reaches nobody
    ++m.answeredHeartbeats;
    m.answeredAt = now;
    for (const auto& o : out) {
        if (o.kind != CommandKind::launch) continue;
        const Job* job = find(o.job);
        if (Allocation* c = job != nullptr ? m.findAllocation(*job, o.task, o.attempt) : nullptr)
            c->launchInLastResponse = true;
    }
    return out;
}

std::vector<Command> Cluster::takeDirectCommands(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.commandInFlight || !m.up() || !isResponsive(m, now)) return {};
    auto out = commandsFor(machine, true);
    m.commandInFlight = !out.empty();
    return out;
}

void Cluster::onDirectCommandEnded(MachineIndex machine, bool unanswered) {
    Machine& m = machines_[machine];
    m.commandInFlight = false;
    for (auto& c : m.allocations) {
        if (unanswered) c.stopSent = false;  // perhaps nobody heard it
        if (!c.directLaunchInFlight) continue;
        c.directLaunchInFlight = false;
        if (unanswered) c.directLaunchUnresolved = true;
    }
}

bool Cluster::isResponsive(const Machine& m, TimePoint now) const {
    return m.up() && m.incarnation > m.endedIncarnation &&
           now - m.lastHeardAt < settings_.reportEvery * 2;
}

}  // namespace basaltchute::scheduler
