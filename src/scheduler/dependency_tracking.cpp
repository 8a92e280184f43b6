#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/cluster.h"

// Jobs with dependencies: when they are released, when they are cancelled along with a dependency,
// and how their dependencies inherit their urgency.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;

namespace {
// Expected releases are not computed through longer chains of dependencies: no capacity has to be
// planned that far ahead.
constexpr unsigned maxDependencyDepth = 32;
constexpr Duration farFuture = 24h;
}  // namespace

Cluster::DependencyError Cluster::checkDependencies(const JobSpec& spec) const {
    using Kind = DependencyError::Kind;
    DependencyError result;
    for (const auto& id : spec.dependencies) {
        if (id == spec.id) return {Kind::self, id};
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) return {Kind::unknown, id};
        if (it->second->spec.shape == Shape::service) return {Kind::isService, id};
        if (!it->second->accepted()) result = {Kind::notYetAccepted, id};
    }
    return result;
}

Duration Cluster::estimatedDuration(const JobSpec& s) const {
    double slowestFetchS = 0;
    for (const auto& [name, type] : catalogue_)
        if (s.allowsType(name) && fits(s.demand, type.capacity))
            slowestFetchS = std::max(slowestFetchS, imageFetchSeconds(s, name));
    return estimates_.jobDuration(s, slowestFetchS);
}

TimePoint Cluster::expectedEndUpToDepth(const Job& job, TimePoint now, unsigned depth) const {
    if (job.allDone()) return now;
    const Duration duration = estimatedDuration(job.spec);
    if (job.blocked) return expectedReleaseUpToDepth(job, now, depth) + duration;
    const bool runs = job.waitingCount() == 0 && job.startedAt != TimePoint{};
    return runs ? std::max(now, job.startedAt + duration) : now + duration;
}

TimePoint Cluster::expectedReleaseUpToDepth(const Job& job, TimePoint now, unsigned depth) const {
    TimePoint at = now;
    if (depth == 0) return now + farFuture;
    for (const auto& id : job.spec.dependencies) {
        const auto dependency = jobs_.find(id);
        if (dependency == jobs_.end()) return now + farFuture;
        at = std::max(at, expectedEndUpToDepth(*dependency->second, now, depth - 1));
    }
    return at;
}

TimePoint Cluster::expectedRelease(const Job& job, TimePoint now) const {
    return expectedReleaseUpToDepth(job, now, maxDependencyDepth);
}

std::optional<Duration> Cluster::slack(const Job& job, TimePoint now) const {
    const TimePoint end = std::min(deadlinesOf(job).first, job.inheritedDeadlines.first);
    if (end == Deadlines::never) return std::nullopt;
    return end - (expectedRelease(job, now) + estimatedDuration(job.spec));
}

Deadlines Cluster::deadlinesOf(const Job& job) const {
    Deadlines ends;
    if (!job.spec.deadlineS) return ends;
    double minFactor = 0, maxFactor = 0;
    for (const auto& o : settings_.objectives) {
        if (o.jobClass != job.spec.jobClass || o.kind != "deadline") continue;
        minFactor = minFactor == 0 ? o.deadlineFactor : std::min(minFactor, o.deadlineFactor);
        maxFactor = std::max(maxFactor, o.deadlineFactor);
    }
    if (maxFactor == 0) minFactor = maxFactor = 1;
    ends.first = job.submittedAt + fromSeconds(*job.spec.deadlineS * minFactor);
    ends.last = job.submittedAt + fromSeconds(*job.spec.deadlineS * maxFactor);
    return ends;
}

void Cluster::addToDependencyGraph(const Job& job) {
    using dependencies::JobOutcome;
    const JobOutcome outcome = job.cancelDurable()                   ? JobOutcome::cancelled
                               : !job.cancelled && job.doneDurable() ? JobOutcome::done
                                                                     : JobOutcome::open;
    dependencies_.addJob(
        job.spec.id, {job.spec.priority, deadlinesOf(job), estimatedDuration(job.spec)}, outcome);
}

void Cluster::resolveDependencies(Job& job) {
    const JobId& id = job.spec.id;
    for (const auto& dependency : job.spec.dependencies) addToDependencyGraph(*find(dependency));
    addToDependencyGraph(job);
    dependencies_.addDependencies(id, job.spec.dependencies);
    if (const JobId* cancelled = dependencies_.cancelledDependency(id)) {
        cancelWithDependency(job, *cancelled);
    } else if (dependencies_.isBlocked(id)) {
        job.blocked = true;
        blocked_.insert(&job);
    } else {
        onJobOpened(job);
    }
    estimates_.recordLeadTime(job.spec, expectedRelease(job, now_) - now_);
    applyDependencyChanges(now_);
}

void Cluster::restoreDependencies() {
    std::vector<dependencies::DependentJob> dependents;
    for (const auto& [id, job] : jobs_)
        if (!job->spec.dependencies.empty()) dependents.push_back({id, job->spec.dependencies});
    if (dependents.empty()) return;
    for (const auto& dependent : dependencies::topologicalOrder(std::move(dependents)))
        restoreDependent(dependent);
    dependencies_.takeChanges();
    for (const auto& [id, job] : jobs_)
        if (dependencies_.contains(id)) applyInheritedUrgency(*job);
}

void Cluster::restoreDependent(const dependencies::DependentJob& dependent) {
    std::size_t missing = 0;
    for (const auto& dependency : dependent.dependencies) {
        if (const Job* job = find(dependency))
            addToDependencyGraph(*job);
        else
            ++missing;
    }
    if (missing > 0)
        spdlog::error("job cannot start: job={} reason=dependencies_not_on_record missing={}",
                      dependent.id, missing);
    Job& job = *find(dependent.id);
    addToDependencyGraph(job);
    dependencies_.addDependencies(dependent.id, dependent.dependencies);
    if (job.releasedWallTime)
        estimates_.recordLeadTime(job.spec, *job.releasedWallTime - job.submittedWallTime);
    if (const JobId* cancelled = dependencies_.cancelledDependency(dependent.id)) {
        if (!job.cancelled) cancelWithDependency(job, *cancelled);
    } else if (dependencies_.isBlocked(dependent.id)) {
        if (!job.open()) return;
        job.blocked = true;
        blocked_.insert(&job);
    } else if (job.releasedWallTime) {
        job.releasedAt += std::max(WallMillis(0), *job.releasedWallTime - job.submittedWallTime);
    } else {
        // It was released after the former leader last wrote its record.
        job.releasedAt = now_;
        job.releasedWallTime = loadWallTime_;
    }
}

void Cluster::unblock(Job& job) {
    job.blocked = false;
    blocked_.erase(&job);
}

void Cluster::releaseBlocked(Job& job, TimePoint now) {
    unblock(job);
    job.releasedAt = now;
    job.releasedWallTime =
        job.submittedWallTime + std::chrono::duration_cast<WallMillis>(now - job.submittedAt);
    spdlog::debug("job is released: job={} class={} blocked_s={:.2f}", job.spec.id,
                  job.spec.jobClass, toSeconds(now - job.submittedAt));
    onJobOpened(job);
}

void Cluster::cancelWithDependency(Job& job, const JobId& dependency) {
    if (job.blocked) unblock(job);
    // The cancellation follows from the durable record of the dependency, so nothing has to be
    // written. No task of the job has ever started, so nothing has to be stopped.
    job.cancelled = job.cancelCommitted = true;
    job.cancelVersion = 0;
    job.cancelledDependency = dependency;
    spdlog::debug("job is cancelled: job={} reason=dependency_cancelled dependency={}", job.spec.id,
                  dependency);
}

void Cluster::applyInheritedUrgency(Job& job) {
    const dependencies::InheritedUrgency inherited = dependencies_.inheritedUrgency(job.spec.id);
    job.inheritedDeadlines = inherited.deadlines;
    hasNewWork_ = true;
    const Priority effective = std::min(job.spec.priority, inherited.priority);
    if (effective == job.effectivePriority) return;
    job.effectivePriority = effective;
    if (job.boundCount == 0) return;
    // The new priority changes which jobs may preempt its tasks.
    for (const auto& t : job.tasks)
        if (t.state == TaskState::bound) markCapacityDirty(t.machine);
}

void Cluster::applyDependencyChanges(TimePoint now) {
    const dependencies::DependencyGraph::Changes changes = dependencies_.takeChanges();
    for (const auto& id : changes.cancelled)
        if (Job& job = *find(id); !job.cancelled)
            cancelWithDependency(job, *dependencies_.cancelledDependency(id));
    for (const auto& id : changes.released)
        if (Job& job = *find(id); job.blocked) releaseBlocked(job, now);
    for (const auto& id : changes.urgencyChanged)
        if (Job* job = find(id); job != nullptr && job->open()) applyInheritedUrgency(*job);
    refreshBlockedDurations(now);
}

void Cluster::refreshBlockedDurations(TimePoint now) {
    if (blocked_.empty()) return;
    const std::set<std::string> shifted = estimates_.takeShiftedClasses(now);
    if (shifted.empty()) return;
    for (const Job* job : blocked_)
        if (shifted.contains(job->spec.jobClass))
            dependencies_.setDuration(job->spec.id, estimatedDuration(job->spec));
}

}  // namespace basaltchute::scheduler
