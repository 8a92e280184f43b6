#include "scheduler/cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;
using worker_api::Machine;
using worker_api::Presence;

namespace {
constexpr Duration leaseMargin = 500ms;
constexpr Duration recallMargin = 2500ms;
constexpr Duration noteAfter = 500ms;  // a withdrawal that is not proven by then goes on record
}  // namespace

Cluster::Cluster(const settings::Settings& settings, FencingToken token)
    : settings_(settings), token_(token), valueBytes_(settings.valueBytes) {}

TimePoint Cluster::leaseEnd(TimePoint renewed) const {
    return renewed + settings_.lease + settings_.lease / 1000 + leaseMargin;
}

// ---------------------------------------------------------------- users

Job* Cluster::find(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

SubmitResult Cluster::submit(const JobSpec& spec, TimePoint now, WallMillis wall) {
    if (find(spec.id) != nullptr) return SubmitResult::alreadyKnown;
    if (!quota_.knowsTeam(spec.team)) return SubmitResult::unknownTeam;
    const bool fits = std::any_of(catalogue_.begin(), catalogue_.end(), [&](const auto& entry) {
        const autoscaler::MachineType& t = entry.second;
        return spec.allowsType(t.name) && spec.demand.cores <= t.capacity.cores &&
               spec.demand.gpus <= t.capacity.gpus && spec.demand.ramGb <= t.capacity.ramGb &&
               (!spec.zone ||
                std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
    });
    if (!fits) return SubmitResult::fitsNoMachine;
    // All in one zone, and no more than half of them in any.
    if (spec.sameZone && spec.spread && spec.tasks > 1) return SubmitResult::contradictoryPlacement;
    if (quota_.exceedsLimit(spec)) return SubmitResult::overTeamLimit;
    auto job = jobs::makeJob(spec, valueBytes_);
    job->submitted = wall;
    job->submittedAt = job->releasedAt = now;
    now_ = now;
    Job& ref = *job;
    jobs_[spec.id] = std::move(job);
    spdlog::debug("{} of {}: {} tasks of {} cores, {:.0f} s each, rank {}, saves every {} s",
                  spec.id, spec.jobClass, spec.tasks, spec.demand.cores, spec.estimateS,
                  static_cast<int>(spec.priority), spec.checkpointS);
    markHeadDirty(ref, WritePriority::users);
    if (spec.dependencies.empty()) {
        estimates_.recordLeadTime(spec, Duration::zero());
        onJobOpened(ref);
    } else {
        resolveDependencies(ref);
    }
    return SubmitResult::accepted;
}

void Cluster::cancel(Job& job, TimePoint now) {
    if (job.cancelled || job.allDone()) return;
    job.cancelled = true;
    job.cancelRequestedAt = now;
    if (job.blocked)
        unblock(job);
    else
        onJobClosed(job);
    // Bindings whose launch never left need no proof.
    for (const JobTask& t : job.tasks) {
        if (t.state != TaskState::bound) continue;
        const MachineIndex at = t.machine;
        markCapacityDirty(at);
        auto& allocations = machines_[at].allocations;
        for (std::size_t c = allocations.size(); c-- > 0;)
            if (allocations[c].job == &job && !allocations[c].state.launchSent()) release(at, c);
        if (t.state == TaskState::bound) effects_.sendCommands.insert(at);
    }
    cancellations_.insert(&job);
    settleCancellations(now);
}

bool Cluster::cancellationAcknowledgeable(const Job& job, TimePoint now) const {
    if (delegator_ == nullptr) return true;
    const TimePoint latest =
        now + std::max(Duration::zero(), delegator_->bounds().afterAcknowledgedCancellation());
    return std::all_of(job.perZone.begin(), job.perZone.end(), [&](const auto& zone) {
        return delegator_->delegationsEnd(zone.first) <= latest;
    });
}

Duration Cluster::timeUntilAcknowledgeable(const Job& job, TimePoint now) const {
    Duration wait{};
    if (delegator_ == nullptr || job.cancelCommitted) return wait;
    const TimePoint latest = now + delegator_->bounds().afterAcknowledgedCancellation();
    for (const auto& [zone, tasks] : job.perZone)
        wait = std::max(wait, delegator_->delegationsEnd(zone) - latest);
    return wait;
}

TimePoint Cluster::delegationCap(const std::string& zone, TimePoint now) const {
    TimePoint cap = TimePoint::max();
    if (delegator_ == nullptr) return cap;
    for (const Job* job : cancellations_)
        // A machine that has not reported to this leader may be in any zone.
        if (job->perZone.contains(zone) || job->perZone.contains(""))
            cap = std::min(cap, job->acknowledgedAt.value_or(now) +
                                    delegator_->bounds().afterAcknowledgedCancellation());
    return cap;
}

void Cluster::settleCancellations(TimePoint now) {
    if (delegator_ != nullptr) delegator_->delegateSelf(delegationCap(settings_.zone, now), now);
    for (auto it = cancellations_.begin(); it != cancellations_.end();) {
        Job& job = **it;
        if (!job.cancelCommitted && cancellationAcknowledgeable(job, now)) {
            job.cancelCommitted = true;
            markHeadDirty(job, WritePriority::users);
            job.cancelVersion = job.layout.head().version;
        } else if (!job.cancelCommitted && !job.cancelRecorded &&
                   now - job.cancelRequestedAt > noteAfter) {
            // So that a successor does not start it again.
            job.cancelRecorded = true;
            markHeadDirty(job, WritePriority::users);
        }
        it = job.cancelCommitted && job.perZone.empty() ? cancellations_.erase(it) : std::next(it);
    }
}

TimePoint Cluster::possiblyRunningUntil(const Machine& m, TimePoint now) const {
    if (delegator_ == nullptr) return m.leaseEnd;
    return std::max(m.leaseEnd, delegator_->agentLeasesEnd(m.zone, now));
}

TimePoint Cluster::leaseRenewedUntil(const Machine& m, TimePoint now) const {
    return m.answeredAt == TimePoint{} ? now : m.answeredAt + settings_.lease;
}

void Cluster::setZoneAway(const std::string& zone, bool away) {
    if (away == awayZones_.contains(zone)) return;
    if (away)
        awayZones_.insert(zone);
    else
        awayZones_.erase(zone);
    for (MachineIndex i = 0; i < machines_.size(); ++i)
        if (machines_[i].zone == zone) markCapacityDirty(i);
}

void Cluster::onJobOpened(Job& job) {
    openJobs_.push_back(&job);
    if (wantsWarmCapacity(job.spec))
        capacityIndex_.addWarmDemand(job.spec.jobClass, job.spec.priority, job.spec.demand,
                                     job.spec.image, job.spec.tasks);
    listWaiting(job);
}

void Cluster::onJobClosed(Job& job) {
    std::erase(openJobs_, &job);
    if (wantsWarmCapacity(job.spec))
        capacityIndex_.removeWarmDemand(job.spec.jobClass, job.spec.image);
    listWaiting(job);
}

void Cluster::listWaiting(Job& job) {
    // Placed even before it is accepted: acceptance and bindings are then one change of one
    // record, and nothing is launched before that stands.
    const bool waits = job.open() && !job.blocked && job.waitingCount() > 0;
    const bool listed = job.queuePosition != Job::notQueued;
    if (waits == listed) return;
    if (waits) {
        job.queuePosition = waiting_.size();
        waiting_.push_back(&job);
        hasNewWork_ = true;
        return;
    }
    waiting_[job.queuePosition] = waiting_.back();
    waiting_[job.queuePosition]->queuePosition = job.queuePosition;
    waiting_.pop_back();
    job.queuePosition = Job::notQueued;
}

// ---------------------------------------------------------------- allocations

bool Cluster::ownsAllocation(const Allocation& c, MachineIndex machine) const {
    const JobTask& t = c.job->tasks[c.task];
    return t.state == TaskState::bound && t.machine == machine && t.attempt == c.attempt;
}

void Cluster::unbind(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.phase == Phase::running || t.phase == Phase::checkpointing) --job.runningCount;
    t.state = TaskState::waiting;
    t.phase = Phase::pendingBind;
    t.stopping = false;
    t.machine = noMachine;
    --job.boundCount;
    job.queue.push_back(task);
    hasNewWork_ = true;
    listWaiting(job);
    markTaskDirty(job, task, WritePriority::progress);
}

void Cluster::finish(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.state == TaskState::done) return;
    if (t.state == TaskState::bound) {
        if (t.phase == Phase::running || t.phase == Phase::checkpointing) --job.runningCount;
        --job.boundCount;
        markCapacityDirty(t.machine);
    }
    t.state = TaskState::done;
    t.machine = noMachine;
    ++job.doneCount;
    job.crashLooping = false;
    // Users wait for the last result, nobody for those before it.
    markTaskDirty(job, task, job.allDone() ? WritePriority::bindings : WritePriority::progress);
    if (job.allDone())
        onJobClosed(job);
    else
        listWaiting(job);
}

void Cluster::release(MachineIndex machine, std::size_t charge) {
    Machine& m = machines_[machine];
    const Allocation c = m.allocations[charge];
    markCapacityDirty(quota_.vacateCells(c, machine, m));
    m.allocations.erase(m.allocations.begin() + static_cast<std::ptrdiff_t>(charge));
    quota_.removeUse(c.job->spec);
    const auto zone = c.job->perZone.find(m.zone);
    if (--zone->second == 0) c.job->perZone.erase(zone);
    markCapacityDirty(machine);
    if (ownsAllocation(c, machine)) unbind(*c.job, c.task);
}

void Cluster::releaseAll(MachineIndex machine) {
    while (!machines_[machine].allocations.empty())
        release(machine, machines_[machine].allocations.size() - 1);
}

void Cluster::bind(Job& job, std::uint32_t task, MachineIndex machine,
                   std::vector<cells::CellIndex> cells) {
    JobTask& t = job.tasks[task];
    t.state = TaskState::bound;
    t.phase = Phase::pendingBind;
    t.stopping = false;
    t.machine = machine;
    ++t.attempt;
    ++job.boundCount;
    listWaiting(job);
    // Low-priority work is bound by what the others leave of the write rate: a large array once
    // held up everybody's bindings.
    markTaskDirty(job, task,
                  job.rank == Priority::low ? WritePriority::rest : WritePriority::bindings);
    Allocation c;
    c.job = &job;
    c.task = task;
    c.attempt = t.attempt;
    c.recordVersion = job.layout.of(task).version;
    c.cells = std::move(cells);
    t.reserved = !c.cells.empty();
    allocate(machine, std::move(c));
}

Allocation& Cluster::allocate(MachineIndex machine, Allocation c) {
    Machine& m = machines_[machine];
    markCapacityDirty(quota_.occupyCells(c, machine, m));
    quota_.addUse(c.job->spec);
    ++c.job->perZone[m.zone];
    // Found on a machine after its job was told to be cancelled: its zone may not be lent for
    // longer than that leaves.
    if (c.job->cancelled) cancellations_.insert(c.job);
    m.allocations.push_back(std::move(c));
    markCapacityDirty(machine);
    scheduleTimer(machine, m.leaseEnd);
    return m.allocations.back();
}

void Cluster::stop(Job& job, std::uint32_t task) {
    const auto one = [&](std::uint32_t which) {
        JobTask& t = job.tasks[which];
        if (t.state != TaskState::bound || t.stopping) return;
        Machine& m = machines_[t.machine];
        const Allocation* c = m.findAllocation(job, which, t.attempt);
        if (c != nullptr && !c->state.launchSent()) {
            // Its launch never left, so there is nothing to stop and nothing will be reported:
            // told to stop, such a task once kept its room for good.
            release(t.machine, static_cast<std::size_t>(c - m.allocations.data()));
            return;
        }
        t.stopping = true;
        effects_.sendCommands.insert(t.machine);
        markCapacityDirty(t.machine);
    };
    if (job.spec.shape == Shape::gang)
        for (std::uint32_t t = 0; t < job.spec.tasks; ++t) one(t);
    else
        one(task);
}

void Cluster::machineGone(MachineIndex machine, TimePoint now) {
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

void Cluster::saveBefore(MachineIndex machine, TimePoint until, TimePoint now) {
    const Machine& m = machines_[machine];
    std::vector<std::pair<Job*, std::uint32_t>> due;
    for (const auto& c : m.allocations) {
        const JobTask& task = c.job->tasks[c.task];
        const JobSpec& spec = c.job->spec;
        if (!ownsAllocation(c, machine) || task.stopping || spec.checkpointS <= 0) continue;
        // As late as the save allows: the task may still finish.
        const TimePoint last = until - fromSeconds(spec.saveS) - recallMargin;
        if (now < last)
            scheduleTimer(machine, last);
        else
            due.emplace_back(c.job, c.task);
    }
    for (const auto& [job, task] : due) stop(*job, task);
}

void Cluster::scheduleTimer(MachineIndex machine, TimePoint at) {
    Machine& m = machines_[machine];
    if (at >= m.timerAt) return;
    if (m.timerAt != TimePoint::max()) timers_.erase({m.timerAt, machine});
    m.timerAt = at;
    timers_.emplace(at, machine);
}

void Cluster::runTimers(MachineIndex i, TimePoint now) {
    Machine& m = machines_[i];
    if (m.presence == Presence::gone) return;
    if (m.up() && m.interruptionAt) saveBefore(i, *m.interruptionAt, now);
    if (m.up() && m.outboundPartitioned) saveBefore(i, leaseRenewedUntil(m, now), now);
    const bool held = now >= m.leaseEnd && now < possiblyRunningUntil(m, now);
    if (held && !m.allocations.empty()) {
        // Answered by a node that holds a delegation, perhaps: what it told may be old, and is
        // asked of the books again.
        scheduleTimer(i, now + 500ms);
    } else if (!m.allocations.empty() && now >= m.leaseEnd) {
        // Nobody can have renewed it: the worker has killed everything and begun a new session,
        // which also fences direct orders that are still under way.
        spdlog::warn("machine {} silent for a whole lease: {} tasks released", m.name,
                     m.allocations.size());
        m.endedIncarnation = std::max(m.endedIncarnation, m.incarnation);
        m.tombstones.clear();
        releaseAll(i);
    }
    if (now >= m.inboundPartitionedUntil) m.inboundPartitioned = false;
    markCapacityDirty(i);
    // Beats move these on; the next look is at what they were when this one was due.
    for (const TimePoint t :
         {m.lastHeardAt + settings_.reportEvery * 2, m.lastHeartbeatAt + settings_.reportEvery * 2,
          m.backOffUntil, m.inboundPartitionedUntil, m.leaseEnd})
        if (t > now) scheduleTimer(i, t);
}

void Cluster::advanceTo(TimePoint now) {
    now_ = now;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const MachineIndex i = timers_.begin()->second;
        timers_.erase(timers_.begin());
        machines_[i].timerAt = TimePoint::max();
        runTimers(i, now);
    }
    settleCancellations(now);
    applyDependencyChanges(now);
}

}  // namespace basaltchute::scheduler
