#include "scheduler/cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using state::Urgency;
using workers::Charge;
using workers::Machine;
using workers::Presence;

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

bool Cluster::typeAllowed(const JobSpec& s, const std::string& type) const {
    return !s.types || std::find(s.types->begin(), s.types->end(), type) != s.types->end();
}

Submitted Cluster::submit(const JobSpec& spec, TimePoint now, WallMillis wall) {
    if (find(spec.id) != nullptr) return Submitted::known;
    const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                   [&](const auto& t) { return t.name == spec.team; });
    if (team == settings_.teams.end()) return Submitted::unknownTeam;
    const bool fits = std::any_of(catalogue_.begin(), catalogue_.end(), [&](const auto& entry) {
        const fleet::MachineType& t = entry.second;
        return typeAllowed(spec, t.name) && spec.demand.cores <= t.capacity.cores &&
               spec.demand.gpus <= t.capacity.gpus && spec.demand.ramGb <= t.capacity.ramGb &&
               (!spec.zone ||
                std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
    });
    if (!fits) return Submitted::fitsNowhere;
    // All in one zone, and no more than half of them in any.
    if (spec.oneZone && spec.spread && spec.tasks > 1) return Submitted::contradicts;
    const double n = spec.shape == Shape::array ? 1 : spec.tasks;
    if ((team->coresMax > 0 && spec.demand.cores * n > team->coresMax) ||
        (team->gpusMax > 0 && spec.demand.gpus * n > team->gpusMax))
        return Submitted::overLimit;
    auto job = jobs::makeJob(spec, valueBytes_);
    job->submitted = wall;
    job->submittedAt = job->releasedAt = now;
    now_ = now;
    Job& ref = *job;
    jobs_[spec.id] = std::move(job);
    spdlog::debug("{} of {}: {} tasks of {} cores, {:.0f} s each, rank {}, saves every {} s",
                  spec.id, spec.jobClass, spec.tasks, spec.demand.cores, spec.estimateS,
                  static_cast<int>(spec.priority), spec.checkpointS);
    touchHead(ref, Urgency::users);
    if (spec.needs.empty()) {
        foresee(ref, Duration::zero());
        opened(ref);
    } else {
        enterChain(ref);
    }
    return Submitted::fresh;
}

void Cluster::cancel(Job& job, TimePoint now) {
    if (job.cancelled || job.allDone()) return;
    job.cancelled = true;
    job.cancelAskedAt = now;
    if (job.held)
        unhold(job);
    else
        closed(job);
    // Bindings whose launch never left need no proof.
    for (const JobTask& t : job.tasks) {
        if (t.state != TaskState::bound) continue;
        const MachineIndex at = t.machine;
        changed(at);
        auto& charges = machines_[at].charges;
        for (std::size_t c = charges.size(); c-- > 0;)
            if (charges[c].job == &job && !charges[c].sent) release(at, c);
        if (t.state == TaskState::bound) effects_.push.insert(at);
    }
    withdrawn_.insert(&job);
    settleWithdrawn(now);
}

bool Cluster::tellable(const Job& job, TimePoint now) const {
    if (delegator_ == nullptr) return true;
    const TimePoint latest = now + std::max(Duration::zero(), delegator_->bounds().beyondTold());
    return std::all_of(job.perZone.begin(), job.perZone.end(), [&](const auto& zone) {
        return delegator_->answersEnd(zone.first) <= latest;
    });
}

Duration Cluster::tellableIn(const Job& job, TimePoint now) const {
    Duration wait{};
    if (delegator_ == nullptr || job.cancelFinal) return wait;
    const TimePoint latest = now + delegator_->bounds().beyondTold();
    for (const auto& [zone, tasks] : job.perZone)
        wait = std::max(wait, delegator_->answersEnd(zone) - latest);
    return wait;
}

TimePoint Cluster::delegationCap(const std::string& zone, TimePoint now) const {
    TimePoint cap = TimePoint::max();
    if (delegator_ == nullptr) return cap;
    for (const Job* job : withdrawn_)
        // A machine that has not reported to this leader may be in any zone.
        if (job->perZone.contains(zone) || job->perZone.contains(""))
            cap = std::min(cap, job->toldAt.value_or(now) + delegator_->bounds().beyondTold());
    return cap;
}

void Cluster::settleWithdrawn(TimePoint now) {
    if (delegator_ != nullptr) delegator_->delegateSelf(delegationCap(settings_.zone, now), now);
    for (auto it = withdrawn_.begin(); it != withdrawn_.end();) {
        Job& job = **it;
        if (!job.cancelFinal && tellable(job, now)) {
            job.cancelFinal = true;
            touchHead(job, Urgency::users);
            job.cancelVersion = job.layout.head().version;
        } else if (!job.cancelFinal && !job.cancelNoted && now - job.cancelAskedAt > noteAfter) {
            // So that a successor does not start it again.
            job.cancelNoted = true;
            touchHead(job, Urgency::users);
        }
        it = job.cancelFinal && job.perZone.empty() ? withdrawn_.erase(it) : std::next(it);
    }
}

TimePoint Cluster::possiblyUntil(const Machine& m, TimePoint now) const {
    if (delegator_ == nullptr) return m.leaseEnd;
    return std::max(m.leaseEnd, delegator_->leasesEnd(m.zone, now));
}

TimePoint Cluster::renewedUntil(const Machine& m, TimePoint now) const {
    return m.answeredAt == TimePoint{} ? now : m.answeredAt + settings_.lease;
}

void Cluster::setAway(const std::string& zone, bool away) {
    if (away == away_.contains(zone)) return;
    if (away)
        away_.insert(zone);
    else
        away_.erase(zone);
    for (MachineIndex i = 0; i < machines_.size(); ++i)
        if (machines_[i].zone == zone) changed(i);
}

void Cluster::opened(Job& job) {
    open_.push_back(&job);
    if (wantsWarm(job.spec))
        room_.wantWarm(job.spec.jobClass, job.spec.priority, job.spec.demand, job.spec.image,
                       job.spec.tasks);
    listWaiting(job);
}

void Cluster::closed(Job& job) {
    std::erase(open_, &job);
    if (wantsWarm(job.spec)) room_.unwantWarm(job.spec.jobClass, job.spec.image);
    listWaiting(job);
}

void Cluster::listWaiting(Job& job) {
    // Placed even before it is accepted: acceptance and bindings are then one change of one
    // record, and nothing is launched before that stands.
    const bool waits = job.open() && !job.held && job.waitingCount() > 0;
    const bool listed = job.queuedAt != Job::notQueued;
    if (waits == listed) return;
    if (waits) {
        job.queuedAt = waiting_.size();
        waiting_.push_back(&job);
        newWork_ = true;
        return;
    }
    waiting_[job.queuedAt] = waiting_.back();
    waiting_[job.queuedAt]->queuedAt = job.queuedAt;
    waiting_.pop_back();
    job.queuedAt = Job::notQueued;
}

// ---------------------------------------------------------------- charges

bool Cluster::owns(const Charge& c, MachineIndex machine) const {
    const JobTask& t = c.job->tasks[c.task];
    return t.state == TaskState::bound && t.machine == machine && t.attempt == c.attempt;
}

void Cluster::unbind(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.phase == Phase::running || t.phase == Phase::saving) --job.runningCount;
    t.state = TaskState::waiting;
    t.phase = Phase::binding;
    t.stopping = false;
    t.machine = noMachine;
    --job.boundCount;
    job.queue.push_back(task);
    newWork_ = true;
    listWaiting(job);
    touch(job, task, Urgency::progress);
}

void Cluster::finish(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.state == TaskState::done) return;
    if (t.state == TaskState::bound) {
        if (t.phase == Phase::running || t.phase == Phase::saving) --job.runningCount;
        --job.boundCount;
        changed(t.machine);
    }
    t.state = TaskState::done;
    t.machine = noMachine;
    ++job.doneCount;
    job.suspect = false;
    // Users wait for the last result, nobody for those before it.
    touch(job, task, job.allDone() ? Urgency::bindings : Urgency::progress);
    if (job.allDone())
        closed(job);
    else
        listWaiting(job);
}

void Cluster::release(MachineIndex machine, std::size_t charge) {
    Machine& m = machines_[machine];
    const Charge c = m.charges[charge];
    freeCells(c, machine);
    m.charges.erase(m.charges.begin() + static_cast<std::ptrdiff_t>(charge));
    teamUse_[c.job->spec.team] -= c.job->spec.demand;
    const auto zone = c.job->perZone.find(m.zone);
    if (--zone->second == 0) c.job->perZone.erase(zone);
    changed(machine);
    if (owns(c, machine)) unbind(*c.job, c.task);
}

void Cluster::releaseAll(MachineIndex machine) {
    while (!machines_[machine].charges.empty())
        release(machine, machines_[machine].charges.size() - 1);
}

void Cluster::bind(Job& job, std::uint32_t task, MachineIndex machine,
                   std::vector<cells::CellIndex> cells) {
    JobTask& t = job.tasks[task];
    t.state = TaskState::bound;
    t.phase = Phase::binding;
    t.stopping = false;
    t.machine = machine;
    ++t.attempt;
    ++job.boundCount;
    listWaiting(job);
    // Low-priority work is bound by what the others leave of the write rate: a large array once
    // held up everybody's bindings.
    touch(job, task, job.rank == Priority::low ? Urgency::rest : Urgency::bindings);
    Charge c;
    c.job = &job;
    c.task = task;
    c.attempt = t.attempt;
    c.version = job.layout.of(task).version;
    c.cells = std::move(cells);
    t.guaranteed = !c.cells.empty();
    charge(machine, std::move(c));
}

Charge& Cluster::charge(MachineIndex machine, Charge c) {
    Machine& m = machines_[machine];
    chargeCells(c, machine);
    teamUse_[c.job->spec.team] += c.job->spec.demand;
    ++c.job->perZone[m.zone];
    // Found on a machine after its job was told to be cancelled: its zone may not be lent for
    // longer than that leaves.
    if (c.job->cancelled) withdrawn_.insert(c.job);
    m.charges.push_back(std::move(c));
    changed(machine);
    attendAt(machine, m.leaseEnd);
    return m.charges.back();
}

void Cluster::stop(Job& job, std::uint32_t task) {
    const auto one = [&](std::uint32_t which) {
        JobTask& t = job.tasks[which];
        if (t.state != TaskState::bound || t.stopping) return;
        Machine& m = machines_[t.machine];
        const Charge* c = m.charge(job, which, t.attempt);
        if (c != nullptr && !c->sent) {
            // Its launch never left, so there is nothing to stop and nothing will be reported:
            // told to stop, such a task once kept its room for good.
            release(t.machine, static_cast<std::size_t>(c - m.charges.data()));
            return;
        }
        t.stopping = true;
        effects_.push.insert(t.machine);
        changed(t.machine);
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
    m.heardAt = now;
    releaseAll(machine);
    if (cells::Pool* pool = poolOf(m)) pool->removeMachine(machine);
    // The name must stay known, so that a late report does not bring the machine back; what was
    // on it need not.
    m.images.clear();
    m.keep.clear();
    m.exited.clear();
    m.strangers.clear();
    m.failedJobs.clear();
    changed(machine);
}

void Cluster::setDraining(MachineIndex machine, bool draining) {
    machines_[machine].draining = draining;
    changed(machine);
}

void Cluster::saveBefore(MachineIndex machine, TimePoint until, TimePoint now) {
    const Machine& m = machines_[machine];
    std::vector<std::pair<Job*, std::uint32_t>> due;
    for (const auto& c : m.charges) {
        const JobTask& task = c.job->tasks[c.task];
        const JobSpec& spec = c.job->spec;
        if (!owns(c, machine) || task.stopping || spec.checkpointS <= 0) continue;
        // As late as the save allows: the task may still finish.
        const TimePoint last = until - fromSeconds(spec.saveS) - recallMargin;
        if (now < last)
            attendAt(machine, last);
        else
            due.emplace_back(c.job, c.task);
    }
    for (const auto& [job, task] : due) stop(*job, task);
}

void Cluster::attendAt(MachineIndex machine, TimePoint at) {
    Machine& m = machines_[machine];
    if (at >= m.attendAt) return;
    if (m.attendAt != TimePoint::max()) agenda_.erase({m.attendAt, machine});
    m.attendAt = at;
    agenda_.emplace(at, machine);
}

void Cluster::attend(MachineIndex i, TimePoint now) {
    Machine& m = machines_[i];
    if (m.presence == Presence::gone) return;
    if (m.up() && m.recalledAt) saveBefore(i, *m.recalledAt, now);
    if (m.up() && m.mute) saveBefore(i, renewedUntil(m, now), now);
    const bool held = now >= m.leaseEnd && now < possiblyUntil(m, now);
    if (held && !m.charges.empty()) {
        // Answered by a node that holds a delegation, perhaps: what it told may be old, and is
        // asked of the books again.
        attendAt(i, now + 500ms);
    } else if (!m.charges.empty() && now >= m.leaseEnd) {
        // Nobody can have renewed it: the worker has killed everything and begun a new session,
        // which also fences direct orders that are still under way.
        spdlog::warn("machine {} silent for a whole lease: {} tasks released", m.name,
                     m.charges.size());
        m.deadSession = std::max(m.deadSession, m.session);
        m.keep.clear();
        releaseAll(i);
    }
    if (now >= m.deafUntil) m.deaf = false;
    changed(i);
    // Beats move these on; the next look is at what they were when this one was due.
    for (const TimePoint t :
         {m.heardAt + settings_.reportEvery * 2, m.beatAt + settings_.reportEvery * 2, m.avoidUntil,
          m.deafUntil, m.leaseEnd})
        if (t > now) attendAt(i, t);
}

void Cluster::expire(TimePoint now) {
    now_ = now;
    while (!agenda_.empty() && agenda_.begin()->first <= now) {
        const MachineIndex i = agenda_.begin()->second;
        agenda_.erase(agenda_.begin());
        machines_[i].attendAt = TimePoint::max();
        attend(i, now);
    }
    settleWithdrawn(now);
    followChains(now);
}

}  // namespace basaltchute::scheduler
