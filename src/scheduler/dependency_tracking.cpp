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

Cluster::DependencyError Cluster::checkDependencies(const JobSpec& spec) const {
    using Kind = DependencyError::Kind;
    DependencyError undecided;
    for (const auto& id : spec.dependencies) {
        if (id == spec.id) return {Kind::self, id};
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) return {Kind::unknown, id};
        if (it->second->spec.shape == Shape::service) return {Kind::isService, id};
        if (!it->second->accepted()) undecided = {Kind::undecided, id};
    }
    return undecided;
}

Duration Cluster::estimatedDuration(const JobSpec& s) const {
    double fetch = 0;
    for (const auto& [name, type] : catalogue_)
        if (typeAllowed(s, name) && fits(s.demand, type.capacity))
            fetch = std::max(fetch, imageFetchTime(s, name));
    const double last = 1 + lastOfMany * std::log(std::max(1.0, static_cast<double>(s.tasks)));
    return fromSeconds(fetch + toSeconds(runTime(s)) * last) + betweenStages;
}

TimePoint Cluster::expectedEnd(const Job& job, TimePoint now, unsigned stages) const {
    if (job.allDone()) return now;
    const Duration all = estimatedDuration(job.spec);
    if (job.blocked) return expectedReleaseAfter(job, now, stages) + all;
    const bool runs = job.waitingCount() == 0 && job.startedAt != TimePoint{};
    return runs ? std::max(now, job.startedAt + all) : now + all;
}

TimePoint Cluster::expectedReleaseAfter(const Job& job, TimePoint now, unsigned stages) const {
    TimePoint at = now;
    if (stages == 0) return now + farOff;
    for (const auto& id : job.spec.dependencies) {
        const auto need = jobs_.find(id);
        if (need == jobs_.end()) return now + farOff;
        at = std::max(at, expectedEnd(*need->second, now, stages - 1));
    }
    return at;
}

TimePoint Cluster::expectedRelease(const Job& job, TimePoint now) const {
    return expectedReleaseAfter(job, now, stagesAhead);
}

std::optional<Duration> Cluster::slack(const Job& job, TimePoint now) const {
    const TimePoint end = std::min(deadlinesOf(job).first, job.deadlines.first);
    if (end == Deadlines::never) return std::nullopt;
    return end - (expectedRelease(job, now) + estimatedDuration(job.spec));
}

void Cluster::recordLeadTime(const Job& job, Duration lead) {
    // Classes of which nothing ever waits are not kept.
    if (job.spec.dependencies.empty() && !leadTimes_.contains(job.spec.jobClass)) return;
    auto& leads = leadTimes_[job.spec.jobClass];
    leads.push_back(lead);
    if (leads.size() > leadsKept) leads.pop_front();
}

Duration Cluster::arrivalLeadTime(const std::string& jobClass) const {
    const auto it = leadTimes_.find(jobClass);
    if (it == leadTimes_.end()) return Duration::zero();
    std::vector<Duration> sorted(it->second.begin(), it->second.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 5];
}

Deadlines Cluster::deadlinesOf(const Job& job) const {
    Deadlines ends;
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

void Cluster::addToDependencyGraph(const Job& job) {
    using dependencies::JobOutcome;
    const JobOutcome fate = job.cancelDurable()                   ? JobOutcome::cancelled
                            : !job.cancelled && job.doneDurable() ? JobOutcome::done
                                                                  : JobOutcome::open;
    dependencies_.addJob(job.spec.id,
                         {job.spec.priority, deadlinesOf(job), estimatedDuration(job.spec)}, fate);
}

void Cluster::resolveDependencies(Job& job) {
    const JobId& id = job.spec.id;
    for (const auto& need : job.spec.dependencies) addToDependencyGraph(*find(need));
    addToDependencyGraph(job);
    dependencies_.addDependencies(id, job.spec.dependencies);
    if (const JobId* with = dependencies_.cancelledWith(id)) {
        cancelWithDependency(job, *with);
    } else if (dependencies_.isBlocked(id)) {
        job.blocked = true;
        blocked_.insert(&job);
    } else {
        onJobOpened(job);
    }
    recordLeadTime(job, expectedRelease(job, now_) - now_);
    applyDependencyChanges(now_);
}

void Cluster::restoreChains() {
    std::vector<dependencies::DependentJob> waiting;
    for (const auto& [id, job] : jobs_)
        if (!job->spec.dependencies.empty()) waiting.push_back({id, job->spec.dependencies});
    if (waiting.empty()) return;
    const auto ordered = dependencies::topologicalOrder(std::move(waiting));
    for (const auto& w : ordered) {
        std::size_t lost = 0;
        for (const auto& need : w.dependencies) {
            if (const Job* job = find(need))
                addToDependencyGraph(*job);
            else
                ++lost;
        }
        if (lost > 0)
            spdlog::error("{} needs {} jobs that are not on record: it cannot start", w.id, lost);
        Job& job = *find(w.id);
        addToDependencyGraph(job);
        dependencies_.addDependencies(w.id, w.dependencies);
        if (job.released) recordLeadTime(job, *job.released - job.submitted);
        if (const JobId* with = dependencies_.cancelledWith(w.id)) {
            if (!job.cancelled) cancelWithDependency(job, *with);
        } else if (dependencies_.isBlocked(w.id)) {
            if (!job.open()) continue;
            job.blocked = true;
            blocked_.insert(&job);
        } else if (job.released) {
            job.releasedAt += std::max(WallMillis(0), *job.released - job.submitted);
        } else {
            // Released since the former leader's last word about it.
            job.releasedAt = now_;
            job.released = wall_;
        }
    }
    dependencies_.takeChanges();
    for (const auto& [id, job] : jobs_)
        if (dependencies_.contains(id)) applyInheritedUrgency(*job);
}

void Cluster::unblock(Job& job) {
    job.blocked = false;
    blocked_.erase(&job);
}

void Cluster::release(Job& job, TimePoint now) {
    unblock(job);
    job.releasedAt = now;
    job.released = job.submitted + std::chrono::duration_cast<WallMillis>(now - job.submittedAt);
    spdlog::debug("{} of {} waits for no other job any more, after {:.2f} s", job.spec.id,
                  job.spec.jobClass, toSeconds(now - job.submittedAt));
    onJobOpened(job);
}

void Cluster::cancelWithDependency(Job& job, const JobId& with) {
    if (job.blocked) unblock(job);
    // It follows from what stands about the other, and stands with it: nothing is written, and
    // there is nothing to stop, since no task of it ever started.
    job.cancelled = job.cancelCommitted = true;
    job.cancelVersion = 0;
    job.cancelledWith = with;
    spdlog::debug("{} is cancelled with {}", job.spec.id, with);
}

void Cluster::applyInheritedUrgency(Job& job) {
    const dependencies::InheritedUrgency u = dependencies_.inheritedUrgency(job.spec.id);
    job.deadlines = u.deadlines;
    hasNewWork_ = true;
    const Priority rank = std::min(job.spec.priority, u.priority);
    if (rank == job.rank) return;
    job.rank = rank;
    if (job.boundCount == 0) return;
    // Who may take its room has changed.
    for (const auto& t : job.tasks)
        if (t.state == TaskState::bound) markCapacityDirty(t.machine);
}

void Cluster::applyDependencyChanges(TimePoint now) {
    const dependencies::DependencyGraph::Changes follows = dependencies_.takeChanges();
    for (const auto& id : follows.cancelled)
        if (Job& job = *find(id); !job.cancelled)
            cancelWithDependency(job, *dependencies_.cancelledWith(id));
    for (const auto& id : follows.released)
        if (Job& job = *find(id); job.blocked) release(job, now);
    for (const auto& id : follows.urgency)
        if (Job* job = find(id); job != nullptr && job->open()) applyInheritedUrgency(*job);
    updateEstimates(now);
}

void Cluster::updateEstimates(TimePoint now) {
    if (blocked_.empty() || now - estimatesAt_ < relearn) return;
    estimatesAt_ = now;
    std::set<std::string> moved;
    for (const auto& [name, bias] : logBias_) {
        double& at = durationBias_[name];
        if (std::abs(bias - at) < worthRetiming) continue;
        at = bias;
        moved.insert(name);
    }
    if (moved.empty()) return;
    for (const Job* job : blocked_)
        if (moved.contains(job->spec.jobClass))
            dependencies_.setDuration(job->spec.id, estimatedDuration(job->spec));
}

}  // namespace basaltchute::scheduler
