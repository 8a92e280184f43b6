#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// What workers report, what it proves, and the orders that answer it.

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
constexpr Duration soundAfter = 15s;    // a task that ran this long has a sound job
constexpr std::size_t maxOrders = 300;  // an answer is one line of at most 64 KiB
constexpr std::uint32_t deafAfter = 2;  // answers in a row that nothing came of
constexpr Duration reportDelay = 1500ms;
}  // namespace

void Cluster::setPhase(Job& job, JobTask& task, Phase phase, TimePoint now) {
    const auto on = [](Phase p) { return p == Phase::running || p == Phase::saving; };
    if (on(phase) && !on(task.phase)) {
        ++job.runningCount;
        task.runningSince = now;
        if (job.startedAt == TimePoint{}) job.startedAt = now;
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
    // A job with a mistake may run for a while before it fails, so only what has run for longer
    // than its failures did speaks for it; machines differ in speed.
    const Duration longEnough = std::max<Duration>(soundAfter, job.longestFailure * 5 / 4);
    const bool sound =
        job.doneCount > 0 || std::any_of(job.tasks.begin(), job.tasks.end(), [&](const JobTask& t) {
            return t.state == TaskState::bound && t.phase == Phase::running &&
                   now - t.runningSince >= longEnough;
        });
    job.suspect = !sound && job.failedOn.size() >= 3;
    if (job.suspect) {
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
    const Charge* c = m.charge(*job, t.task, t.attempt);
    if (t.cause == ExitCause::done && job->spec.shape != Shape::service) {
        const JobTask& task = job->tasks[t.task];
        const double ran = toSeconds(now - task.runningSince);
        if (task.state == TaskState::bound && task.attempt == 1 && job->spec.estimateS > 0 &&
            ran > 0) {
            // Owners' estimates are off in the same direction for most of a day.
            double& bias = bias_[job->spec.jobClass];
            bias += 0.1 * (std::clamp(std::log(ran / job->spec.estimateS), -2.0, 2.0) - bias);
        }
        // A result is a result, whichever attempt brought it: but not while another attempt may
        // be on another machine. The record would say no more where, and a successor would neither
        // count it nor wait for its end. It ends by itself as soon as it has its image.
        const Charge* other = task.state == TaskState::bound && task.attempt != t.attempt
                                  ? machines_[task.machine].charge(*job, t.task, task.attempt)
                                  : nullptr;
        if (other == nullptr || !other->sent) finish(*job, t.task);
    }
    if (c == nullptr) return;
    if (c->directUnknown || c->directPending) m.keep.emplace(t.job, t.task, t.attempt);
    const bool mine = owns(*c, machine);
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
                failed(m, machine, *job, now);
            }
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
    release(machine, static_cast<std::size_t>(c - m.charges.data()));
}

void Cluster::seen(MachineIndex machine, const ReportedTask& t, TimePoint now) {
    Machine& m = machines_[machine];
    Job* job = find(t.job);
    if (job == nullptr || t.task >= job->spec.tasks) {
        m.strangers.push_back(t);
        return;
    }
    Charge* c = m.charge(*job, t.task, t.attempt);
    JobTask& task = job->tasks[t.task];
    if (c == nullptr) {
        Charge fresh;
        fresh.job = job;
        fresh.task = t.task;
        fresh.attempt = t.attempt;
        fresh.sent = true;
        if (task.state == TaskState::waiting && t.attempt >= task.attempt && job->open() &&
            !job->held) {
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
        c = &charge(machine, std::move(fresh));
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
        // An answer that was heard lately would have kept the session.
        if (m.answers >= deafAfter && now - m.answeredAt < settings_.lease / 2)
            calledDeaf(index, "its lease ran out though it was answered", now);
        m.answers = m.unheeded = 0;
        m.keep.clear();
        m.images.clear();
        changed(index);
        // The worker killed all it had. Bindings whose launch never left are still good.
        for (std::size_t c = m.charges.size(); c-- > 0;)
            if (m.charges[c].sent) release(index, c);
    }
    // A session lives for a lease from when it began, though nobody has answered a beat of it: one
    // that became known by an answer to a question was given work, and up to the end of the former
    // session's lease only, after which that work was started elsewhere as well.
    if (r.session > m.session) m.leaseEnd = std::max(m.leaseEnd, leaseEnd(now));
    m.session = r.session;
    m.sequence = r.sequence;
    m.newsAt = now;
    if (r.session <= m.deadSession) {
        // A report held back since before the lease ran out: only results in it still count.
        for (const auto& t : r.tasks)
            if (t.status == TaskStatus::exited && t.cause == ExitCause::done) exited(index, t, now);
        return;
    }
    m.heardAt = now;
    m.unanswered = 0;
    if (source == Source::beat) {
        m.beatAt = now;
        if (std::exchange(m.mute, false)) {
            spdlog::info("machine {} reports again", m.name);
            changed(index);
        }
    } else {
        m.unheeded = 0;  // it heard the question
        if (std::exchange(m.deaf, false)) changed(index);
        answeredInsteadOfReporting(index, now);
    }
    m.reportBytes = r.bytes;
    if ((room_.of(index) != nullptr) != open(m))
        changed(index);  // silent for a while, new, or full
    attendAt(index, now + settings_.reportEvery * 2);
    if (r.notice) {
        if (!m.recalledAt) {
            spdlog::info("machine {} is to be taken back", m.name);
            changed(index);
        }
        m.recalledAt = now + *r.notice;
        attendAt(index, now);
    }
    const auto before = std::exchange(m.exited, {});
    m.strangers.clear();
    for (const auto& t : r.tasks) {
        if (t.status == TaskStatus::exited) {
            const Machine::Ended ended{t.job, t.task, t.attempt};
            if (const auto known = before.find(ended); known != before.end()) {
                m.exited.insert(*known);
                continue;
            }
            exited(index, t, now);
            const Job* job = find(t.job);
            const bool ours = job != nullptr && t.task < job->spec.tasks;
            m.exited.emplace(ended, ours ? job->layout.of(t.task).version : 0);
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

void Cluster::answeredInsteadOfReporting(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // Heard of first by an answer, it has had no time to report yet.
    if (m.beatAt == TimePoint{}) m.beatAt = now;
    const Duration overdue = settings_.reportEvery * 5 / 4 + reportDelay;
    if (now - m.beatAt <= overdue) return;
    if (!std::exchange(m.mute, true)) {
        spdlog::warn("machine {} answers, but its reports do not come: used last from now on",
                     m.name);
        changed(machine);
    }
    attendAt(machine, now);
    // What has to stop there has not heard it by an answer to a report.
    if (std::any_of(m.charges.begin(), m.charges.end(),
                    [&](const Charge& c) { return mustStop(c) && c.sent && !c.stopSent; }))
        effects_.push.insert(machine);
}

bool Cluster::allBound(const Job& job) const {
    if (job.boundCount + job.doneCount < job.spec.tasks) return false;
    return job.layout.durable();
}

bool Cluster::mustStop(const Charge& c) const {
    return c.ghost || !c.job->open() || c.job->tasks[c.task].state != TaskState::bound ||
           c.job->tasks[c.task].attempt != c.attempt || c.job->tasks[c.task].stopping;
}

std::vector<Order> Cluster::orders(MachineIndex machine, bool direct) {
    Machine& m = machines_[machine];
    std::vector<Order> out;
    if (!direct) {
        for (const auto& [ended, version] : m.exited) {
            if (out.size() >= maxOrders / 2) break;  // launches and stops go on meanwhile
            if (m.keep.contains(ended)) continue;
            const auto& [id, task, attempt] = ended;
            const Job* job = find(id);
            // What the exit proves must be on record first: a forgotten result is lost for good.
            if (job != nullptr && task < job->spec.tasks && job->layout.of(task).durable < version)
                continue;
            out.push_back({Verb::forget, id, task, attempt, {}});
        }
    }
    for (const auto& t : m.strangers) {
        if (out.size() >= maxOrders) break;
        out.push_back({Verb::stop, t.job, t.task, t.attempt, {}});
    }
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
            const auto& record = c.job->layout.of(c.task);
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

void Cluster::calledDeaf(MachineIndex machine, const char* why, TimePoint now) {
    Machine& m = machines_[machine];
    if (!std::exchange(m.deaf, true)) spdlog::warn("machine {} does not hear: {}", m.name, why);
    m.deafUntil = now + settings_.lease;
    changed(machine);
    attendAt(machine, m.deafUntil);
}

void Cluster::heeds(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    // One report is on its way at a time: the answer to the one before was executed, or never will
    // be. Copies are no news and do not come here.
    bool asked = false, heeded = false;
    for (const auto& c : m.charges) {
        if (!c.beatSent) continue;
        asked = true;
        heeded = heeded || c.seen;
    }
    if (heeded) m.unheeded = 0;
    if (asked && !heeded && ++m.unheeded >= deafAfter)
        calledDeaf(machine, "nothing comes of the answers to its reports", now);
    // What no launch is under way for need not wait there for its lease to end.
    for (std::size_t i = m.charges.size(); i-- > 0;) {
        Charge& c = m.charges[i];
        const bool settled = c.beatSent && !c.seen && !c.directPending && !c.directUnknown;
        c.beatSent = false;
        if (m.deaf && (settled || !c.sent)) release(machine, i);
    }
}

std::vector<Order> Cluster::beat(const Report& r, TimePoint now) {
    const auto index = machines_.indexOf(r.machine);
    Machine& m = machines_[index];
    const bool news = std::tie(r.session, r.sequence) > std::tie(m.session, m.sequence);
    report(r, Source::beat, now);
    // What is older than the newest word was sent before that one came. Copies arrive for minutes,
    // and must not hold back for ever what ran on a machine that is gone.
    m.leaseEnd = std::max(m.leaseEnd, leaseEnd(news ? now : m.newsAt));
    if (m.presence == Presence::gone || r.session <= m.deadSession || r.session != m.session ||
        r.sequence != m.sequence)
        return {};
    if (news) heeds(index, now);
    if (m.deaf) effects_.ask.insert(index);
    auto out = orders(index, false);
    if (!news) return out;  // a copy: its answer reaches nobody
    ++m.answers;
    m.answeredAt = now;
    for (const auto& o : out) {
        if (o.verb != Verb::launch) continue;
        const Job* job = find(o.job);
        if (Charge* c = job != nullptr ? m.charge(*job, o.task, o.attempt) : nullptr)
            c->beatSent = true;
    }
    return out;
}

std::vector<Order> Cluster::directOrders(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.directBusy || !m.up() || !fresh(m, now)) return {};
    auto out = orders(machine, true);
    m.directBusy = !out.empty();
    return out;
}

void Cluster::directEnded(MachineIndex machine, bool unanswered) {
    Machine& m = machines_[machine];
    m.directBusy = false;
    for (auto& c : m.charges) {
        if (unanswered) c.stopSent = false;  // perhaps nobody heard it
        if (!c.directPending) continue;
        c.directPending = false;
        if (unanswered) c.directUnknown = true;
    }
}

bool Cluster::fresh(const Machine& m, TimePoint now) const {
    return m.up() && m.session > m.deadSession && now - m.heardAt < settings_.reportEvery * 2;
}

}  // namespace basaltchute::scheduler
