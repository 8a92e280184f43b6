#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// Jobs that need others: when they are released, cancelled with them, and how urgent they are.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr Duration relearn = 5s;
constexpr double worthRetiming = 0.1;   // of the logarithm of a class's run times over estimates
constexpr double lastOfMany = 0.25;     // the last of n tasks takes longer, by this times ln n
constexpr Duration betweenStages = 2s;  // a result is reported and written, an order given
constexpr std::size_t leadsKept = 20;
constexpr unsigned stagesAhead = 32;  // beyond that no machine has to be thought of yet
constexpr Duration farOff = 24h;
}  // namespace

Cluster::Need Cluster::wrongNeed(const JobSpec& spec) const {
    using Wrong = Need::Wrong;
    Need unsure;
    for (const auto& id : spec.needs) {
        if (id == spec.id) return {Wrong::itself, id};
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) return {Wrong::unknown, id};
        if (it->second->spec.shape == Shape::service) return {Wrong::service, id};
        if (!it->second->accepted()) unsure = {Wrong::unsure, id};
    }
    return unsure;
}

Duration Cluster::takes(const JobSpec& s) const {
    double fetch = 0;
    for (const auto& [name, type] : catalogue_)
        if (typeAllowed(s, name) && fits(s.demand, type.capacity))
            fetch = std::max(fetch, fetchTime(s, name));
    const double last = 1 + lastOfMany * std::log(std::max(1.0, static_cast<double>(s.tasks)));
    return fromSeconds(fetch + toSeconds(runTime(s)) * last) + betweenStages;
}

TimePoint Cluster::doneExpected(const Job& job, TimePoint now, unsigned stages) const {
    if (job.allDone()) return now;
    const Duration all = takes(job.spec);
    if (job.held) return releaseAfter(job, now, stages) + all;
    const bool runs = job.waitingCount() == 0 && job.startedAt != TimePoint{};
    return runs ? std::max(now, job.startedAt + all) : now + all;
}

TimePoint Cluster::releaseAfter(const Job& job, TimePoint now, unsigned stages) const {
    TimePoint at = now;
    if (stages == 0) return now + farOff;
    for (const auto& id : job.spec.needs) {
        const auto need = jobs_.find(id);
        if (need == jobs_.end()) return now + farOff;
        at = std::max(at, doneExpected(*need->second, now, stages - 1));
    }
    return at;
}

TimePoint Cluster::releaseExpected(const Job& job, TimePoint now) const {
    return releaseAfter(job, now, stagesAhead);
}

std::optional<Duration> Cluster::slack(const Job& job, TimePoint now) const {
    const TimePoint end = std::min(endsOf(job).first, job.ends.first);
    if (end == Ends::never) return std::nullopt;
    return end - (releaseExpected(job, now) + takes(job.spec));
}

void Cluster::foresee(const Job& job, Duration lead) {
    // Classes of which nothing ever waits are not kept.
    if (job.spec.needs.empty() && !leads_.contains(job.spec.jobClass)) return;
    auto& leads = leads_[job.spec.jobClass];
    leads.push_back(lead);
    if (leads.size() > leadsKept) leads.pop_front();
}

Duration Cluster::foreseen(const std::string& jobClass) const {
    const auto it = leads_.find(jobClass);
    if (it == leads_.end()) return Duration::zero();
    std::vector<Duration> sorted(it->second.begin(), it->second.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 5];
}

Ends Cluster::endsOf(const Job& job) const {
    Ends ends;
    if (!job.spec.deadlineS) return ends;
    double least = 0, most = 0;
    for (const auto& o : settings_.objectives) {
        if (o.jobClass != job.spec.jobClass || o.kind != "deadline") continue;
        least = least == 0 ? o.times : std::min(least, o.times);
        most = std::max(most, o.times);
    }
    if (most == 0) least = most = 1;
    ends.first = job.submittedAt + fromSeconds(*job.spec.deadlineS * least);
    ends.last = job.submittedAt + fromSeconds(*job.spec.deadlineS * most);
    return ends;
}

void Cluster::joinChain(const Job& job) {
    using chains::Fate;
    const Fate fate = job.cancelDurable()                   ? Fate::cancelled
                      : !job.cancelled && job.doneDurable() ? Fate::done
                                                            : Fate::open;
    chains_.join(job.spec.id, {job.spec.priority, endsOf(job), takes(job.spec)}, fate);
}

void Cluster::enterChain(Job& job) {
    const JobId& id = job.spec.id;
    for (const auto& need : job.spec.needs) joinChain(*find(need));
    joinChain(job);
    chains_.link(id, job.spec.needs);
    if (const JobId* with = chains_.cancelledWith(id)) {
        cancelWith(job, *with);
    } else if (chains_.waits(id)) {
        job.held = true;
        held_.insert(&job);
    } else {
        opened(job);
    }
    foresee(job, releaseExpected(job, now_) - now_);
    followChains(now_);
}

void Cluster::restoreChains() {
    std::vector<chains::Waiting> waiting;
    for (const auto& [id, job] : jobs_)
        if (!job->spec.needs.empty()) waiting.push_back({id, job->spec.needs});
    if (waiting.empty()) return;
    const auto ordered = chains::inOrder(std::move(waiting));
    for (const auto& w : ordered) {
        std::size_t lost = 0;
        for (const auto& need : w.needs) {
            if (const Job* job = find(need))
                joinChain(*job);
            else
                ++lost;
        }
        if (lost > 0)
            spdlog::error("{} needs {} jobs that are not on record: it cannot start", w.id, lost);
        Job& job = *find(w.id);
        joinChain(job);
        chains_.link(w.id, w.needs);
        if (job.released) foresee(job, *job.released - job.submitted);
        if (const JobId* with = chains_.cancelledWith(w.id)) {
            if (!job.cancelled) cancelWith(job, *with);
        } else if (chains_.waits(w.id)) {
            if (!job.open()) continue;
            job.held = true;
            held_.insert(&job);
        } else if (job.released) {
            job.releasedAt += std::max(WallMillis(0), *job.released - job.submitted);
        } else {
            // Released since the former leader's last word about it.
            job.releasedAt = now_;
            job.released = wall_;
        }
    }
    chains_.take();
    for (const auto& [id, job] : jobs_)
        if (chains_.contains(id)) heed(*job);
}

void Cluster::unhold(Job& job) {
    job.held = false;
    held_.erase(&job);
}

void Cluster::release(Job& job, TimePoint now) {
    unhold(job);
    job.releasedAt = now;
    job.released = job.submitted + std::chrono::duration_cast<WallMillis>(now - job.submittedAt);
    spdlog::debug("{} of {} waits for no other job any more, after {:.2f} s", job.spec.id,
                  job.spec.jobClass, toSeconds(now - job.submittedAt));
    opened(job);
}

void Cluster::cancelWith(Job& job, const JobId& with) {
    if (job.held) unhold(job);
    // It follows from what stands about the other, and stands with it: nothing is written, and
    // there is nothing to stop, since no task of it ever started.
    job.cancelled = job.cancelFinal = true;
    job.cancelVersion = 0;
    job.cancelledWith = with;
    spdlog::debug("{} is cancelled with {}", job.spec.id, with);
}

void Cluster::heed(Job& job) {
    const chains::Urgency u = chains_.urgency(job.spec.id);
    job.ends = u.ends;
    newWork_ = true;
    const Priority rank = std::min(job.spec.priority, u.priority);
    if (rank == job.rank) return;
    job.rank = rank;
    if (job.boundCount == 0) return;
    // Who may take its room has changed.
    for (const auto& t : job.tasks)
        if (t.state == TaskState::bound) changed(t.machine);
}

void Cluster::followChains(TimePoint now) {
    const chains::Graph::Changes follows = chains_.take();
    for (const auto& id : follows.cancelled)
        if (Job& job = *find(id); !job.cancelled) cancelWith(job, *chains_.cancelledWith(id));
    for (const auto& id : follows.released)
        if (Job& job = *find(id); job.held) release(job, now);
    for (const auto& id : follows.urgency)
        if (Job* job = find(id); job != nullptr && job->open()) heed(*job);
    learnTakes(now);
}

void Cluster::learnTakes(TimePoint now) {
    if (held_.empty() || now - learntAt_ < relearn) return;
    learntAt_ = now;
    std::set<std::string> moved;
    for (const auto& [name, bias] : bias_) {
        double& at = takesAt_[name];
        if (std::abs(bias - at) < worthRetiming) continue;
        at = bias;
        moved.insert(name);
    }
    if (moved.empty()) return;
    for (const Job* job : held_)
        if (moved.contains(job->spec.jobClass)) chains_.retime(job->spec.id, takes(job->spec));
}

}  // namespace basaltchute::scheduler
