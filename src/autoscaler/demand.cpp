#include <algorithm>
#include <cmath>

#include "autoscaler/autoscaler.h"

// Measures the demand: how many cores the fleet should have, by the service level objectives, the
// jobs there are, and the capacity that opportunistic work uses.

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;

namespace {
/// Time constants by which the target follows a rising and a falling demand, for classes that do
/// not want warm capacity.
constexpr Duration demandRiseTime = 6s, demandFallTime = 40s;
/// Warm capacity of a class as a multiple of its peak demand: jobs come in bursts.
constexpr double warmPeakFactor = 4;
/// Warm capacity of a class of services: the cores that it uses times this factor, and so many of
/// its largest jobs in addition.
constexpr double warmServiceFactor = 1.1, warmServiceJobs = 4;
/// Run times are assumed to be longer by this factor: their owners' estimates are rough.
constexpr double runTimeFactor = 2.0;
/// Taken off the time that opportunistic work has left: machines boot, and commands travel.
constexpr Duration opportunisticStartDelay = 60s;
/// Opportunistic work that has waited for longer evidently finds no idle capacity.
constexpr Duration noCapacityWait = 10s;
/// How long after the back-off that follows a refusal spot machines still count as unavailable.
constexpr Duration spotUnavailableHold = 45s;
/// The share of machines that boot within the time that is planned with.
constexpr double bootTimeQuantile = 0.9;
/// What comes on top of the boot time: plans are made once a second, the cloud has to answer, and
/// the new machine has to send its first heartbeat.
constexpr Duration scaleOutDelay = 4s;
/// The time over which opportunistic work that can meet no further objective is spread.
constexpr Duration noObjectiveSpan = 600s;
}  // namespace

Duration Autoscaler::startupTimeQuantile(const ClassDemand& c, double q) const {
    Duration soonest = Duration::max();
    for (const auto& [name, t] : cluster_.catalogue()) {
        const Resources& available = t.capacity;
        if (c.perTask.cores > available.cores || c.perTask.ramGb > available.ramGb ||
            c.perTask.gpus > available.gpus)
            continue;
        const Duration fetch = fromSeconds(c.largestImageGb / std::max(t.fetchGbPerS, 1e-3));
        soonest = std::min(soonest, statistics_.bootTime(name, t.bootTime, q) + fetch);
    }
    return soonest == Duration::max() ? soonest : soonest + scaleOutDelay;
}

bool Autoscaler::needsWarmCapacity(const std::string& jobClass, const ClassDemand& c) const {
    // A class whose tasks may wait for longer than a machine takes to become ready is served by
    // machines that are requested when its jobs arrive. Keeping capacity warm for a class with a
    // wait objective of 250 s created four times its peak demand, at a price of 2.9 instead of 1.6.
    const auto& objectives = cluster_.settings().objectives;
    return std::any_of(objectives.begin(), objectives.end(), [&](const auto& o) {
        return o.jobClass == jobClass && o.kind == "wait" &&
               o.within + cluster_.arrivalLeadTime(jobClass) < startupTimeQuantile(c, o.share);
    });
}

void Autoscaler::measureTeamLimits() {
    shareWithinLimit_.clear();
    const auto& teams = cluster_.settings().teams;
    if (std::none_of(teams.begin(), teams.end(), [](const auto& t) { return t.coresMax > 0; }))
        return;
    std::map<std::string, std::map<Priority, double>> wantedCores;
    for (const Job* job : cluster_.openJobs())
        wantedCores[job->spec.team][job->effectivePriority] +=
            job->spec.demand.cores * (job->spec.tasks - job->doneCount);
    for (const auto& team : teams) {
        if (team.coresMax <= 0) continue;
        double coresLeft = team.coresMax;
        for (const auto& [priority, cores] : wantedCores[team.name]) {
            shareWithinLimit_[team.name][priority] = cores > coresLeft ? coresLeft / cores : 1;
            coresLeft = std::max(0.0, coresLeft - cores);
        }
    }
}

double Autoscaler::shareWithinLimit(const Job& job) const {
    const auto team = shareWithinLimit_.find(job.spec.team);
    if (team == shareWithinLimit_.end()) return 1;
    const auto share = team->second.find(job.effectivePriority);
    return share == team->second.end() ? 1 : share->second;
}

void Autoscaler::measureDemand(TimePoint now) {
    measureTeamLimits();
    std::map<std::string, bool> onlyOpportunistic;
    for (auto& [name, c] : classes_) c.currentCores = 0;
    for (const Job* job : cluster_.openJobs()) {
        // A job that fails on every machine is no reason to create any.
        if (job->crashLooping) continue;
        ClassDemand& c = classes_[job->spec.jobClass];
        // Some jobs of a class may be opportunistic while others have inherited a higher priority
        // from their dependents. The class is opportunistic only if all its jobs are.
        const bool opportunistic = cluster_.isOpportunistic(*job);
        const auto seen = onlyOpportunistic.try_emplace(job->spec.jobClass, opportunistic).first;
        c.opportunistic = seen->second = seen->second && opportunistic;
        c.spotAllowed = job->spec.spotAllowed;
        c.perTask = job->spec.demand;
        c.largestImageGb = std::max(c.largestImageGb, job->spec.imageGb);
        if (opportunistic) continue;
        // Nor is work that its team's limit does not allow to run.
        const double coresPerTask = job->spec.demand.cores * shareWithinLimit(*job);
        c.currentCores += coresPerTask * (job->spec.tasks - job->doneCount);
        c.largestJobCores = std::max(c.largestJobCores, coresPerTask * job->spec.tasks);
    }
    // A job that is blocked by its dependencies counts once machines requested now would be ready
    // no earlier than its release.
    for (const Job* job : cluster_.blockedJobs()) {
        ClassDemand& c = classes_[job->spec.jobClass];
        if (cluster_.isOpportunistic(*job)) continue;
        c.spotAllowed = job->spec.spotAllowed;
        c.perTask = job->spec.demand;
        c.largestImageGb = std::max(c.largestImageGb, job->spec.imageGb);
        const Duration startupTime = startupTimeQuantile(c, bootTimeQuantile);
        if (startupTime == Duration::max() ||
            cluster_.expectedRelease(*job, now) > now + startupTime)
            continue;
        c.opportunistic = false;
        c.currentCores += job->spec.demand.cores * job->spec.tasks;
    }
    // The target rises fast and falls slowly. The work has to be done anyway, so a machine that is
    // created late costs as much as one created in time; and a machine that is deleted too soon has
    // to boot again.
    const auto weight = [&](Duration timeConstant) {
        if (demandMeasuredAt_ == TimePoint{}) return 1.0;
        return 1 - std::exp(-toSeconds(now - demandMeasuredAt_) / toSeconds(timeConstant));
    };
    const double riseWeight = weight(demandRiseTime), fallWeight = weight(demandFallTime);
    demandMeasuredAt_ = now;
    target_ = {};
    wantsWarmSpot_ = false;
    for (auto& [name, c] : classes_) {
        c.wantsWarmCapacity = needsWarmCapacity(name, c);
        if (c.opportunistic) continue;
        c.smoothedCores += (c.currentCores - c.smoothedCores) *
                           (c.currentCores > c.smoothedCores ? riseWeight : fallWeight);
        c.peakCores = std::max(c.peakCores, c.currentCores);
        wantsWarmSpot_ = wantsWarmSpot_ || (c.wantsWarmCapacity && c.spotAllowed);
        double want = c.smoothedCores;
        if (c.wantsWarmCapacity && c.spotAllowed)
            want =
                cluster_.openJobs().empty() ? 0 : c.peakCores * warmPeakFactor + c.largestJobCores;
        // Services: the capacity that they use, and some for a few more that start at once.
        if (c.wantsWarmCapacity && !c.spotAllowed)
            want = c.currentCores * warmServiceFactor + warmServiceJobs * c.largestJobCores;
        (c.spotAllowed ? target_.spot : target_.ordinary) += want;
    }
    // Spot work keeps the ordinary cores that it uses until it is done, as far as there are no spot
    // machines for it. Idle capacity for replicas that it fills meanwhile is no reason to create
    // machines.
    for (const auto& m : cluster_.machines()) {
        if (!m.up() || m.spot) continue;
        for (const auto& allocation : m.allocations)
            if (allocation.job->spec.spotAllowed && !cluster_.isOpportunistic(*allocation.job))
                target_.ordinaryUsedBySpotWork += allocation.job->spec.demand.cores;
    }
    target_.ordinaryUsedBySpotWork =
        std::min(target_.ordinaryUsedBySpotWork, std::max(0.0, target_.spot - capacity(true).spot));
    target_.extraForDeadlines = missingCoresForDeadlines(now);
    target_.ordinary += missingCoresForOpportunistic(false, false, now);
    const bool noSpotMachines = spotUnavailable(now);
    const double forOpportunistic = missingCoresForOpportunistic(true, noSpotMachines, now);
    // While no spot machines are available, opportunistic spot work gets ordinary ones. When it did
    // not, it ran on idle capacity only: a fifth of the jobs of a low-priority class was served,
    // and the ordinary machines that it used were deleted.
    if (noSpotMachines)
        target_.ordinaryForOpportunistic =
            std::max(0.0, forOpportunistic - std::max(0.0, capacity(true).spot - target_.spot));
    target_.spot += forOpportunistic;
}

bool Autoscaler::spotUnavailable(TimePoint now) const {
    for (const auto& [name, t] : cluster_.catalogue()) {
        if (!suitsSpotWork(name)) continue;
        for (const auto& zone : t.zones) {
            const auto refused = backOffUntil_.find({name, zone, true});
            if (refused == backOffUntil_.end() || refused->second + spotUnavailableHold < now)
                return false;
        }
    }
    return true;
}

double Autoscaler::missingCoresForOpportunistic(bool spotAllowed, bool spotUnavailable,
                                                TimePoint now) const {
    // The work is spread over the time that it has: patient opportunistic work needs few cores for
    // a long time, and mostly finds them idle. Counted by classes like other work, a single array
    // of opportunistic tasks had every machine of the cloud created for it.

    // Cores for work that can meet no further objective, and for work that can.
    double coresWithoutObjective = 0, coresForObjectives = 0;
    std::set<const Job*> jobsWithObjective;
    for (const Job* job : cluster_.openJobs()) {
        if (!cluster_.isOpportunistic(*job) || job->crashLooping ||
            job->spec.spotAllowed != spotAllowed)
            continue;
        const double runSeconds = std::max(1.0, toSeconds(cluster_.estimatedRunTime(job->spec)));
        const auto priority = cluster_.schedulingPriority(*job, now);
        const double secondsLeft = priority.canMeetAnother
                                       ? toSeconds(priority.startBy - now - opportunisticStartDelay)
                                       : 0;
        const double spreadSeconds = priority.canMeetAnother
                                         ? runSeconds + std::max(0.0, secondsLeft)
                                         : toSeconds(noObjectiveSpan);
        const double cores = job->spec.demand.cores * shareWithinLimit(*job);
        const double need = cores * (job->spec.tasks - job->doneCount) * runSeconds / spreadSeconds;
        if (!priority.canMeetAnother) {
            coresWithoutObjective += need;
            continue;
        }
        jobsWithObjective.insert(job);
        // A job that has waited for a while finds no capacity, however much seems idle: that is
        // kept warm for other classes, or is used for long by work without an objective, which the
        // job may not preempt.
        if (now - job->submittedAt > noCapacityWait)
            coresForObjectives += cores * job->waitingCount() * runSeconds / spreadSeconds;
    }
    if (coresWithoutObjective == 0 && jobsWithObjective.empty()) return 0;
    Capacity usedByOthers;
    for (const auto& m : cluster_.machines())
        for (const auto& allocation : m.allocations) {
            const double cores = allocation.job->spec.demand.cores;
            if (!cluster_.isOpportunistic(*allocation.job))
                (m.spot ? usedByOthers.spot : usedByOthers.ordinary) += cores;
            else if ((m.spot || spotUnavailable || !spotAllowed) &&
                     jobsWithObjective.contains(allocation.job))
                coresForObjectives += cores;
        }
    const Capacity available = capacity(false);
    // Much of the idle ordinary capacity is kept warm for replicas: half of it is counted.
    double idle = std::max(0.0, available.ordinary - usedByOthers.ordinary) / 2;
    if (spotAllowed)
        idle += std::max(0.0, std::min(available.spot, target_.spot) - usedByOthers.spot);
    return std::max(0.0, coresWithoutObjective - idle) + coresForObjectives;
}

double Autoscaler::missingCoresForDeadlines(TimePoint now) const {
    // The jobs are taken in the order of their latest start. Each core of the existing machines
    // becomes free once per run time. A job that would start too late that way needs additional
    // machines; if these are ready too late for the shortest jobs, they serve the next such jobs.
    struct WaitingWork {
        TimePoint startBy;
        double cores;
    };
    std::vector<WaitingWork> queue;
    double runningCores = 0, coreSeconds = 0, unfinishedCores = 0;
    for (const Job* job : cluster_.openJobs()) {
        const JobSpec& spec = job->spec;
        if (!spec.spotAllowed || job->crashLooping || cluster_.isOpportunistic(*job) ||
            classes_.at(spec.jobClass).wantsWarmCapacity)
            continue;
        runningCores += spec.demand.cores * job->boundCount;
        const double share = shareWithinLimit(*job);
        const double unfinished = share * spec.demand.cores * (spec.tasks - job->doneCount);
        unfinishedCores += unfinished;
        coreSeconds += unfinished * std::max(1.0, toSeconds(cluster_.estimatedRunTime(spec)));
        if (job->waitingCount() == 0 || now < job->backOffUntil) continue;
        const auto priority = cluster_.schedulingPriority(*job, now);
        if (priority.canMeetAnother)
            queue.push_back({priority.startBy, share * spec.demand.cores * job->waitingCount()});
    }
    if (queue.empty()) return 0;
    std::sort(queue.begin(), queue.end(),
              [](const WaitingWork& a, const WaitingWork& b) { return a.startBy < b.startBy; });
    const double runSeconds = runTimeFactor * coreSeconds / unfinishedCores;
    const double freedPerSecond = std::max(runningCores, capacity(true).spot) / runSeconds;
    double missing = 0, coresAhead = 0;
    for (const WaitingWork& work : queue) {
        coresAhead += work.cores;
        missing = std::max(missing, coresAhead - freedPerSecond * toSeconds(work.startBy - now));
    }
    return missing;
}

}  // namespace basaltchute::autoscaler
