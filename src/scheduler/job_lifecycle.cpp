#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"
#include "scheduler/cluster.h"

// The life of a job: submission, opening and closing, finished tasks, cancellation.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using kv_store::WritePriority;
using worker_api::Allocation;

namespace {
// A cancellation that cannot be acknowledged within this time is recorded as requested.
constexpr Duration recordCancellationAfter = 500ms;
}  // namespace

Job* Cluster::find(const JobId& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

SubmitResult Cluster::submit(const JobSpec& spec, TimePoint now, WallMillis wall) {
    if (find(spec.id) != nullptr) return SubmitResult::alreadyKnown;
    if (!quota_.knowsTeam(spec.team)) return SubmitResult::unknownTeam;
    const bool fitsSomeType =
        std::any_of(catalogue_.begin(), catalogue_.end(), [&](const auto& entry) {
            const autoscaler::MachineType& t = entry.second;
            return spec.allowsType(t.name) && spec.demand.cores <= t.capacity.cores &&
                   spec.demand.gpus <= t.capacity.gpus && spec.demand.ramGb <= t.capacity.ramGb &&
                   (!spec.zone ||
                    std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end());
        });
    if (!fitsSomeType) return SubmitResult::fitsNoMachine;
    // The job asks for all tasks in one zone, and for no more than half of them in any zone.
    if (spec.sameZone && spec.spread && spec.tasks > 1) return SubmitResult::contradictoryPlacement;
    if (quota_.exceedsLimit(spec)) return SubmitResult::overTeamLimit;
    auto job = jobs::makeJob(spec, maxValueBytes_);
    job->submittedWallTime = wall;
    job->submittedAt = job->releasedAt = now;
    now_ = now;
    Job& submitted = *job;
    jobs_[spec.id] = std::move(job);
    spdlog::debug(
        "job is submitted: job={} class={} tasks={} cores={} estimate_s={:.0f} priority={} "
        "checkpoint_interval_s={}",
        spec.id, spec.jobClass, spec.tasks, spec.demand.cores, spec.estimatedRuntimeS,
        static_cast<int>(spec.priority), spec.checkpointIntervalS);
    markHeadDirty(submitted, WritePriority::userRequest);
    if (spec.dependencies.empty()) {
        estimates_.recordLeadTime(spec, Duration::zero());
        onJobOpened(submitted);
    } else {
        resolveDependencies(submitted);
    }
    return SubmitResult::accepted;
}

void Cluster::onJobOpened(Job& job) {
    openJobs_.push_back(&job);
    if (wantsWarmCapacity(job.spec))
        capacityIndex_.addWarmDemand(job.spec.jobClass, job.spec.priority, job.spec.demand,
                                     job.spec.image, job.spec.tasks);
    updateWaitingList(job);
}

void Cluster::onJobClosed(Job& job) {
    std::erase(openJobs_, &job);
    if (wantsWarmCapacity(job.spec))
        capacityIndex_.removeWarmDemand(job.spec.jobClass, job.spec.image);
    updateWaitingList(job);
}

void Cluster::updateWaitingList(Job& job) {
    // A job is placed even before it is accepted, so that acceptance and bindings are written as
    // one change of one record. Nothing is launched before that record is durable.
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

void Cluster::finishTask(Job& job, std::uint32_t task) {
    JobTask& t = job.tasks[task];
    if (t.state == TaskState::done) return;
    if (t.state == TaskState::bound) {
        if (t.phase == TaskPhase::running || t.phase == TaskPhase::checkpointing)
            --job.runningCount;
        --job.boundCount;
        markCapacityDirty(t.machine);
    }
    t.state = TaskState::done;
    t.machine = noMachine;
    ++job.doneCount;
    job.crashLooping = false;
    // Users wait for the last result only, so earlier ones are written at a lower priority.
    markTaskDirty(job, task, job.allDone() ? WritePriority::immediate : WritePriority::progress);
    if (job.allDone())
        onJobClosed(job);
    else
        updateWaitingList(job);
}

// ---------------------------------------------------------------- cancellation

void Cluster::cancel(Job& job, TimePoint now) {
    if (job.cancelled || job.allDone()) return;
    job.cancelled = true;
    job.cancelRequestedAt = now;
    if (job.blocked)
        unblock(job);
    else
        onJobClosed(job);
    // Tasks whose launch was never sent are not on a machine and can be released at once.
    for (const JobTask& t : job.tasks) {
        if (t.state != TaskState::bound) continue;
        const MachineIndex machine = t.machine;
        markCapacityDirty(machine);
        const auto& allocations = machines_[machine].allocations;
        for (std::size_t i = allocations.size(); i-- > 0;)
            if (allocations[i].job == &job && !allocations[i].state.launchSent())
                releaseAllocation(machine, i);
        if (t.state == TaskState::bound) effects_.machinesToCommand.insert(machine);
    }
    pendingCancellations_.insert(&job);
    commitCancellations(now);
}

bool Cluster::canAcknowledgeCancellation(const Job& job, TimePoint now) const {
    if (delegator_ == nullptr) return true;
    const TimePoint latest =
        now + std::max(Duration::zero(), delegator_->limits().maxDelegationAfterCancellation());
    return std::all_of(job.tasksPerZone.begin(), job.tasksPerZone.end(), [&](const auto& zone) {
        return delegator_->delegationsEnd(zone.first) <= latest;
    });
}

Duration Cluster::timeUntilAcknowledgeable(const Job& job, TimePoint now) const {
    Duration wait{};
    if (delegator_ == nullptr || job.cancelCommitted) return wait;
    const TimePoint latest = now + delegator_->limits().maxDelegationAfterCancellation();
    for (const auto& [zone, tasks] : job.tasksPerZone)
        wait = std::max(wait, delegator_->delegationsEnd(zone) - latest);
    return wait;
}

TimePoint Cluster::latestDelegationEnd(const std::string& zone, TimePoint now) const {
    TimePoint latestEnd = TimePoint::max();
    if (delegator_ == nullptr) return latestEnd;
    for (const Job* job : pendingCancellations_)
        // A machine that has not reported to this leader (zone "") may be in any zone.
        if (job->tasksPerZone.contains(zone) || job->tasksPerZone.contains(""))
            latestEnd =
                std::min(latestEnd, job->acknowledgedAt.value_or(now) +
                                        delegator_->limits().maxDelegationAfterCancellation());
    return latestEnd;
}

void Cluster::commitCancellations(TimePoint now) {
    if (delegator_ != nullptr)
        delegator_->delegateToSelf(latestDelegationEnd(settings_.zone, now), now);
    for (auto it = pendingCancellations_.begin(); it != pendingCancellations_.end();) {
        Job& job = **it;
        if (!job.cancelCommitted && canAcknowledgeCancellation(job, now)) {
            job.cancelCommitted = true;
            markHeadDirty(job, WritePriority::userRequest);
            job.cancelVersion = job.layout.head().version;
        } else if (!job.cancelCommitted && !job.cancelRecorded &&
                   now - job.cancelRequestedAt > recordCancellationAfter) {
            // The record prevents the next leader from starting the job again.
            job.cancelRecorded = true;
            markHeadDirty(job, WritePriority::userRequest);
        }
        it = job.cancelCommitted && job.tasksPerZone.empty() ? pendingCancellations_.erase(it)
                                                             : std::next(it);
    }
}

}  // namespace basaltchute::scheduler
