#include "scheduler/cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "jobs/codec.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using state::Urgency;
using workers::Charge;
using workers::ExitCause;
using workers::Machine;
using workers::Order;
using workers::Presence;
using workers::Report;
using workers::ReportedTask;
using workers::TaskStatus;
using workers::Verb;

namespace {
constexpr Duration leaseMargin = 500ms;
constexpr Duration recallMargin = 2500ms;
constexpr Duration soundAfter = 15s;    // a task that ran this long has a sound job
constexpr std::size_t maxOrders = 300;  // an answer is one line of at most 64 KiB

/// The longest a worker may still hold a lease that was renewed at `t` by our clock.
TimePoint leaseEnd(const settings::Settings& s, TimePoint t) {
    return t + s.lease + s.lease / 1000 + leaseMargin;
}
}  // namespace

Cluster::Cluster(const settings::Settings& settings, Token token)
    : settings_(settings), token_(token) {}

// ---------------------------------------------------------------- records

void Cluster::touch(Job& job, std::uint32_t task, Urgency urgency) {
    const std::size_t r = job.recordOf(task);
    ++job.records[r].version;
    effects_.dirty.emplace_back(jobs::recordKey(job.spec.id, r), urgency);
}

bool Cluster::load(const std::string& key, const std::string& data, TimePoint now,
                   WallMillis wall) {
    now_ = now;
    return jobs::decodeRecord(
        key, data, settings_.valueBytes, [&](const JobId& id) { return find(id); },
        [&](std::unique_ptr<Job> job) {
            job->submittedAt = now - std::max(WallMillis(0), wall - job->submitted);
            Job* raw = job.get();
            jobs_[raw->spec.id] = std::move(job);
            return raw;
        },
        [&](const std::string& name) { return machines_.indexOf(name); });
}

void Cluster::loaded(TimePoint now) {
    for (auto& [id, job] : jobs_) {
        if (job->open()) opened(*job);
        for (std::uint32_t t = 0; t < job->spec.tasks; ++t) {
            const JobTask& task = job->tasks[t];
            if (task.state != TaskState::bound) continue;
            Charge c;
            c.job = job.get();
            c.task = t;
            c.attempt = task.attempt;
            c.sent = c.recovered = true;
            charge(task.machine, std::move(c));
        }
    }
    // The former leader's right had ended before this one's began.
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        machines_[i].leaseEnd = leaseEnd(settings_, now);
        attendAt(i, machines_[i].leaseEnd);
    }
}

state::Encoded Cluster::encode(const std::string& key) const {
    const std::string rest = key.substr(jobs::recordPrefix.size());
    const auto slash = rest.find('/');
    const Job& job = *jobs_.at(rest.substr(0, slash));
    const std::size_t r = slash == std::string::npos ? 0 : std::stoul(rest.substr(slash + 1));
    return {jobs::encodeRecord(
                job, r, [&](MachineIndex i) -> const std::string& { return machines_[i].name; }),
            job.records[r].version};
}

void Cluster::committed(const std::string& key, std::uint64_t version) {
    const std::string rest = key.substr(jobs::recordPrefix.size());
    const auto slash = rest.find('/');
    Job& job = *jobs_.at(rest.substr(0, slash));
    const std::size_t r = slash == std::string::npos ? 0 : std::stoul(rest.substr(slash + 1));
    job.records[r].durable = std::max(job.records[r].durable, version);
    if (!job.open() && !job.cancelled) return;
    const auto from = static_cast<std::uint32_t>(r * job.tasksPerRecord);
    const auto to = std::min(from + job.tasksPerRecord, job.spec.tasks);
    const bool justAccepted = r == 0 && version == job.records[0].durable && job.records.size() > 1;
    for (std::uint32_t t = from; t < (justAccepted ? job.spec.tasks : to); ++t)
        if (job.tasks[t].state == TaskState::bound &&
            (job.cancelled || job.tasks[t].phase == Phase::binding))
            effects_.push.insert(job.tasks[t].machine);
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
    const double n = spec.shape == Shape::array ? 1 : spec.tasks;
    if ((team->coresMax > 0 && spec.demand.cores * n > team->coresMax) ||
        (team->gpusMax > 0 && spec.demand.gpus * n > team->gpusMax))
        return Submitted::overLimit;
    auto job = jobs::makeJob(spec, settings_.valueBytes);
    job->submitted = wall;
    job->submittedAt = now;
    job->records[0].version = 0;
    now_ = now;
    Job& ref = *job;
    jobs_[spec.id] = std::move(job);
    opened(ref);
    touch(ref, 0, Urgency::users);
    return Submitted::fresh;
}

void Cluster::cancel(Job& job) {
    if (job.cancelled || job.allDone()) return;
    job.cancelled = true;
    touch(job, 0, Urgency::users);
    job.cancelVersion = job.records[0].version;
    closed(job);
    // Bindings whose launch never left need no proof.
    for (const JobTask& t : job.tasks) {
        if (t.state != TaskState::bound) continue;
        const MachineIndex at = t.machine;
        changed(at);
        auto& charges = machines_[at].charges;
        for (std::size_t c = charges.size(); c-- > 0;)
            if (charges[c].job == &job && !charges[c].sent) release(at, c);
    }
}

void Cluster::opened(Job& job) {
    open_.push_back(&job);
    if (wantsWarm(job.spec))
        room_.wantWarm(job.spec.jobClass, job.spec.priority, job.spec.demand, job.spec.image);
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
    const bool waits = job.open() && job.waitingCount() > 0;
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
    touch(job, task, Urgency::rest);
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
    // Users wait for the last result, nobody for those before it.
    touch(job, task, job.allDone() ? Urgency::bindings : Urgency::rest);
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
    touch(job, task, Urgency::bindings);
    Charge c;
    c.job = &job;
    c.task = task;
    c.attempt = t.attempt;
    c.version = job.records[job.recordOf(task)].version;
    c.cells = std::move(cells);
    t.guaranteed = !c.cells.empty();
    charge(machine, std::move(c));
}

Charge& Cluster::charge(MachineIndex machine, Charge c) {
    Machine& m = machines_[machine];
    chargeCells(c, machine);
    teamUse_[c.job->spec.team] += c.job->spec.demand;
    ++c.job->perZone[m.zone];
    m.charges.push_back(std::move(c));
    changed(machine);
    attendAt(machine, m.leaseEnd);
    return m.charges.back();
}

void Cluster::stop(Job& job, std::uint32_t task) {
    const auto one = [&](JobTask& t) {
        if (t.state != TaskState::bound || t.stopping) return;
        auto& charges = machines_[t.machine].charges;
        const auto c = std::find_if(charges.begin(), charges.end(), [&](const Charge& x) {
            return x.job == &job && &job.tasks[x.task] == &t && x.attempt == t.attempt;
        });
        if (c != charges.end() && !c->sent) {
            // Its launch never left, so there is nothing to stop and nothing will be reported:
            // told to stop, such a task once kept its room for good.
            release(t.machine, static_cast<std::size_t>(c - charges.begin()));
            return;
        }
        t.stopping = true;
        effects_.push.insert(t.machine);
        changed(t.machine);
    };
    if (job.spec.shape == Shape::gang)
        for (JobTask& t : job.tasks) one(t);
    else
        one(job.tasks[task]);
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

void Cluster::saveBeforeRecall(MachineIndex machine, TimePoint now) {
    const Machine& m = machines_[machine];
    std::vector<std::pair<Job*, std::uint32_t>> due;
    for (const auto& c : m.charges) {
        const JobTask& task = c.job->tasks[c.task];
        const JobSpec& spec = c.job->spec;
        if (!owns(c, machine) || task.stopping || spec.checkpointS <= 0) continue;
        // As late as the save allows: the task may still finish.
        const TimePoint last = *m.recalledAt - fromSeconds(spec.saveS) - recallMargin;
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
    if (m.up() && m.recalledAt) saveBeforeRecall(i, now);
    if (!m.charges.empty() && now >= m.leaseEnd) {
        // Nobody can have renewed it: the worker has killed everything and begun a new session,
        // which also fences direct orders that are still under way.
        spdlog::warn("machine {} silent for a whole lease: {} tasks released", m.name,
                     m.charges.size());
        m.deadSession = std::max(m.deadSession, m.session);
        m.keep.clear();
        releaseAll(i);
    }
    changed(i);
    // Beats move these on; the next look is at what they were when this one was due.
    for (const TimePoint t : {m.heardAt + settings_.reportEvery * 2, m.avoidUntil, m.leaseEnd})
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
}

// ---------------------------------------------------------------- reports

void Cluster::setPhase(Job& job, JobTask& task, Phase phase, TimePoint now) {
    const auto on = [](Phase p) { return p == Phase::running || p == Phase::saving; };
    if (on(phase) && !on(task.phase)) {
        ++job.runningCount;
        task.runningSince = now;
    }
    if (!on(phase) && on(task.phase)) --job.runningCount;
    task.phase = phase;
}

void Cluster::failed(Machine& m, MachineIndex index, Job& job, TimePoint now) {
    ++m.failures;
    ++job.failures;
    m.failedJobs.insert(job.spec.id);
    job.failedOn[index] = now;
    m.avoidUntil = now + 10s;
    changed(index);
    attendAt(index, m.avoidUntil);
    // A job that fails wherever it goes is at fault itself, unless some of its tasks do run: then
    // it only met several sick machines, as a large array does when dozens are sick at once.
    const bool sound =
        job.doneCount > 0 || std::any_of(job.tasks.begin(), job.tasks.end(), [&](const JobTask& t) {
            return t.state == TaskState::bound && t.phase == Phase::running &&
                   now - t.runningSince >= soundAfter;
        });
    if (!sound && job.failedOn.size() >= 3) {
        for (const auto& [at, when] : job.failedOn) machines_[at].failedJobs.erase(job.spec.id);
        const auto tries = std::min<std::uint32_t>(job.failures, 8);
        job.notBefore = now + std::min<Duration>(60s, 1s * (1U << tries) / 4);
        return;
    }
    if ((m.failedJobs.size() >= 2 || sound) && !m.sick) {
        m.sick = true;
        spdlog::warn("machine {} fails its tasks: no more work for it", m.name);
    }
}

void Cluster::exited(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) return;
    const auto c = std::find_if(m.charges.begin(), m.charges.end(), [&](const Charge& x) {
        return x.job == job && x.task == t.task && x.attempt == t.attempt;
    });
    if (t.cause == ExitCause::done && job->spec.shape != Shape::service) {
        const JobTask& task = job->tasks[t.task];
        const double ran = toSeconds(now - task.runningSince);
        if (task.state == TaskState::bound && task.attempt == 1 && job->spec.estimateS > 0 &&
            ran > 0) {
            // Owners' estimates are off in the same direction for most of a day.
            double& bias = bias_[job->spec.jobClass];
            bias += 0.1 * (std::clamp(std::log(ran / job->spec.estimateS), -2.0, 2.0) - bias);
        }
        // A result is a result, whichever attempt brought it.
        finish(*job, t.task);
    }
    if (c == m.charges.end()) return;
    if (c->directUnknown || c->directPending) m.keep.emplace(t.job, t.task, t.attempt);
    const bool mine = owns(*c, machine);
    switch (t.cause) {
        case ExitCause::done:
            m.failedJobs.clear();
            m.failures = 0;
            break;
        case ExitCause::error:
            if (mine) failed(m, machine, *job, now);
            break;
        case ExitCause::full:
            m.avoidUntil = now + 2s;
            attendAt(machine, m.avoidUntil);
            break;
        case ExitCause::busy:
        case ExitCause::noSuch:
            job->notBefore = now + 1s;
            break;
        case ExitCause::stopped:
        case ExitCause::other:
            break;
    }
    release(machine, static_cast<std::size_t>(c - m.charges.begin()));
}

void Cluster::seen(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) {
        m.strangers.push_back(t);
        return;
    }
    auto c = std::find_if(m.charges.begin(), m.charges.end(), [&](const Charge& x) {
        return x.job == job && x.task == t.task && x.attempt == t.attempt;
    });
    JobTask& task = job->tasks[t.task];
    if (c == m.charges.end()) {
        Charge fresh;
        fresh.job = job;
        fresh.task = t.task;
        fresh.attempt = t.attempt;
        fresh.sent = true;
        if (task.state == TaskState::waiting && t.attempt >= task.attempt && job->open()) {
            // It runs although no record says so: it stays where it is, on record.
            task.state = TaskState::bound;
            task.machine = machine;
            task.attempt = t.attempt;
            ++job->boundCount;
            listWaiting(*job);
            touch(*job, t.task, Urgency::bindings);
        } else {
            fresh.ghost = true;
        }
        charge(machine, std::move(fresh));
        c = std::prev(m.charges.end());
    }
    c->listedIn = m.sequence;
    c->seen = true;
    c->recovered = false;
    if (!owns(*c, machine)) return;
    const Phase before = task.phase;
    const Phase phase = t.status == TaskStatus::pulling  ? Phase::pulling
                        : t.status == TaskStatus::saving ? Phase::saving
                                                         : Phase::running;
    setPhase(*job, task, phase, now);
    if (phase != Phase::pulling && before != Phase::running &&
        m.images.insert_or_assign(job->spec.image, now).second)
        changed(machine);
}

void Cluster::report(const Report& r, Source source, TimePoint now) {
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
        for (const auto& c : m.charges) {  // bound by a former leader, in a zone not known till now
            --c.job->perZone[""];
            ++c.job->perZone[m.zone];
            std::erase_if(c.job->perZone, [](const auto& n) { return n.second == 0; });
        }
        enterPool(index);
        changed(index);
    }
    if (std::tie(r.session, r.sequence) <= std::tie(m.session, m.sequence)) return;
    if (r.session > m.session && m.session != 0) {
        m.keep.clear();
        m.images.clear();
        changed(index);
        // The worker killed all it had. Bindings whose launch never left are still good.
        for (std::size_t c = m.charges.size(); c-- > 0;)
            if (m.charges[c].sent) release(index, c);
    }
    m.session = r.session;
    m.sequence = r.sequence;
    if (r.session <= m.deadSession) {
        // A report held back since before the lease ran out: only results in it still count.
        for (const auto& t : r.tasks)
            if (t.status == TaskStatus::exited && t.cause == ExitCause::done) exited(index, t, now);
        return;
    }
    m.heardAt = now;
    m.unanswered = 0;
    if (room_.of(index) == nullptr) changed(index);  // silent for a while, or new
    attendAt(index, now + settings_.reportEvery * 2);
    if (r.notice) {
        if (!m.recalledAt) {
            spdlog::info("machine {} is to be taken back", m.name);
            changed(index);
        }
        m.recalledAt = now + *r.notice;
        attendAt(index, now);
    }
    m.exited.clear();
    m.strangers.clear();
    for (const auto& t : r.tasks) {
        if (t.status == TaskStatus::exited) {
            m.exited.push_back(t);
            exited(index, t, now);
        } else {
            seen(index, t, now);
        }
    }
    for (std::size_t i = m.charges.size(); i-- > 0;) {
        const Charge& c = m.charges[i];
        if (c.listedIn == r.sequence || !c.sent) continue;
        // Not mentioned. Proof that it is not there, unless a launch may still be on its way:
        // those of a former leader are fenced once the worker has seen our token.
        const bool fenced = c.recovered && r.token == token_;
        // A launch inside the answer to a beat is executed or dropped before the next beat is
        // sent; the body of a direct answer may be older than that.
        const bool unlaunched = source == Source::beat && mustStop(c) && !c.recovered &&
                                !c.directPending && !c.directUnknown;
        if (c.seen || fenced || unlaunched) release(index, i);
    }
}

bool Cluster::allBound(const Job& job) const {
    if (job.boundCount + job.doneCount < job.spec.tasks) return false;
    return std::all_of(job.records.begin(), job.records.end(),
                       [](const auto& r) { return r.durable >= r.version; });
}

bool Cluster::mustStop(const Charge& c) const {
    return c.ghost || !c.job->open() || c.job->tasks[c.task].state != TaskState::bound ||
           c.job->tasks[c.task].attempt != c.attempt || c.job->tasks[c.task].stopping;
}

std::vector<Order> Cluster::orders(MachineIndex machine, bool direct) {
    Machine& m = machines_[machine];
    std::vector<Order> out;
    if (!direct) {
        for (const auto& t : m.exited) {
            if (out.size() >= maxOrders) break;
            if (m.keep.contains({t.job, t.task, t.attempt})) continue;
            const Job* job = find(t.job);
            // What the exit proves must be on record first: a forgotten result is lost for good.
            if (job != nullptr && t.task < job->spec.tasks) {
                const auto& record = job->records[job->recordOf(t.task)];
                if (record.durable < record.version) continue;
            }
            out.push_back({Verb::forget, t.job, t.task, t.attempt, {}});
        }
    }
    for (const auto& t : m.strangers) out.push_back({Verb::stop, t.job, t.task, t.attempt, {}});
    for (auto& c : m.charges) {
        if (out.size() >= maxOrders) break;
        const JobSpec& spec = c.job->spec;
        const JobTask& task = c.job->tasks[c.task];
        if (mustStop(c)) {
            if (!c.sent || (direct && c.stopSent)) continue;
            const bool save = task.stopping && c.job->open() && spec.checkpointS > 0;
            if (!c.seen && c.directUnknown)
                // The launch may come yet. Making the attempt known and ending it at once
                // turns the late one into a repetition, which does nothing.
                out.push_back({Verb::launch, spec.id, c.task, c.attempt, {}});
            out.push_back({Verb::stop, spec.id, c.task, c.attempt,
                           save ? fromSeconds(spec.saveS + 0.5) : Duration::zero()});
            c.stopSent = true;
        } else if (!c.seen && !c.recovered) {
            const auto& record = c.job->records[c.job->recordOf(c.task)];
            if (record.durable < c.version || !c.job->accepted()) continue;
            if (spec.shape == Shape::gang && !allBound(*c.job)) continue;
            if (direct && (c.sent || c.directPending)) continue;
            out.push_back({Verb::launch, spec.id, c.task, c.attempt, {}});
            c.sent = true;
            c.directPending = c.directPending || direct;
            c.job->tasks[c.task].phase = Phase::ordered;
        }
    }
    return out;
}

std::vector<Order> Cluster::beat(const Report& r, TimePoint now) {
    report(r, Source::beat, now);
    const auto index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    m.leaseEnd = leaseEnd(settings_, now);
    if (m.presence == Presence::gone || r.session <= m.deadSession || r.session != m.session ||
        r.sequence != m.sequence)
        return {};
    return orders(index, false);
}

std::vector<Order> Cluster::directOrders(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.directBusy || !m.up() || !fresh(m, now)) return {};
    auto out = orders(machine, true);
    m.directBusy = !out.empty();
    return out;
}

void Cluster::directEnded(MachineIndex machine, bool sent, bool answered) {
    Machine& m = machines_[machine];
    m.directBusy = false;
    for (auto& c : m.charges) {
        if (!c.directPending) continue;
        c.directPending = false;
        if (sent && !answered) c.directUnknown = true;
    }
}

bool Cluster::fresh(const Machine& m, TimePoint now) const {
    return m.up() && m.session > m.deadSession && now - m.heardAt < settings_.reportEvery * 2;
}

// ---------------------------------------------------------------- offers of room

void Cluster::changed(MachineIndex machine) {
    Machine& m = machines_[machine];
    if (m.changed) return;
    m.changed = true;
    changed_.push_back(machine);
}

bool Cluster::open(const Machine& m) const {
    return fresh(m, now_) && !m.sick && !m.draining && !m.recalledAt && now_ >= m.avoidUntil &&
           catalogue_.contains(m.type);
}

Offer Cluster::offerOf(MachineIndex machine) const {
    const Machine& m = machines_[machine];
    Offer o;
    o.type = m.type;
    o.zone = m.zone;
    o.spot = m.spot;
    if (const auto pool = pools_.find(m.type); pool != pools_.end())
        o.distance = pool->second.distance(machine);
    o.free = freeOn(m);
    o.reclaimable.fill(o.free);
    for (const auto& [image, used] : m.images) o.images.push_back(image);
    for (const auto& c : m.charges) {
        for (std::size_t rank = 0; rank < Offer::preempting; ++rank)
            if (mustStop(c) || mayPreempt(static_cast<Priority>(rank), c))
                o.reclaimable[rank] += c.job->spec.demand;
        o.lasting = o.lasting || c.job->spec.shape == Shape::service;
        if (!m.images.contains(c.job->spec.image)) o.fetching.push_back(c.job->spec.image);
    }
    std::sort(o.fetching.begin(), o.fetching.end());
    o.fetching.erase(std::unique(o.fetching.begin(), o.fetching.end()), o.fetching.end());
    return o;
}

void Cluster::settle() {
    for (const MachineIndex i : changed_) {
        Machine& m = machines_[i];
        m.changed = false;
        ++looks_;
        const bool stopping = std::any_of(m.charges.begin(), m.charges.end(),
                                          [&](const Charge& c) { return mustStop(c); });
        if (!stopping || !m.up()) promises_.erase(i);
        if (open(m))
            room_.offer(i, offerOf(i));
        else
            room_.withdraw(i);
    }
    changed_.clear();
}

std::string Cluster::check() {
    settle();
    if (!room_.agrees(room_.recount())) return "the room index";
    std::unordered_map<std::string, Demand> used;
    std::map<const Job*, std::map<std::string, std::uint32_t>> zones;
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        const Offer* offer = room_.of(i);
        if ((offer != nullptr) != open(m)) return "which machines are open: " + m.name;
        if (offer != nullptr && !(*offer == offerOf(i))) return "the offer of " + m.name;
        for (const auto& c : m.charges) {
            used[c.job->spec.team] += c.job->spec.demand;
            ++zones[c.job][m.zone];
        }
    }
    for (const auto& [team, use] : teamUse_) {
        Demand left = use;
        left -= used[team];
        if (std::abs(left.cores) + std::abs(left.ramGb) + std::abs(left.gpus) > 1e-3)
            return "the use of team " + team;
    }
    for (const auto& [id, job] : jobs_) {
        if (job->perZone != zones[job.get()]) return "the zones of " + id;
        std::uint32_t waiting = 0;
        for (const auto& t : job->tasks) waiting += t.state == TaskState::waiting ? 1 : 0;
        if (waiting != job->waitingCount()) return "the tasks that wait of " + id;
        if ((job->queuedAt != Job::notQueued) != (job->open() && waiting > 0))
            return "whether " + id + " is listed";
    }
    return "";
}

}  // namespace basaltchute::scheduler
