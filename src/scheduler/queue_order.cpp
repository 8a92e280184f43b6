#include "scheduler/queue_order.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using settings::Objective;

namespace {

// How long a job that meets no objective waits until it goes first by age.
constexpr Duration minAgingTime = 240s;
constexpr Duration agingTimeWithoutObjectives = 900s;
constexpr int agingTimePerObjective = 4;  // in multiples of the time that the objective allows

/// When a job has to start to meet its objectives.
struct ObjectiveStarts {
    std::size_t missed = 0;               // objectives that cannot be met any more
    std::vector<TimePoint> latestStarts;  // for those that can still be met, ascending
    Duration agingTime = minAgingTime;
};

class ObjectiveStartsBuilder {
  public:
    ObjectiveStartsBuilder(Duration runTime, TimePoint now) : runTime_(runTime), now_(now) {}

    void addStartWithin(TimePoint from, Duration within) { add(from, within, Duration::zero()); }
    void addEndWithin(TimePoint from, Duration within) { add(from, within, runTime_); }
    void addEndBy(TimePoint end) { addLatestStart(end - runTime_); }

    ObjectiveStarts build() {
        if (starts_.latestStarts.empty() && starts_.missed == 0) {
            // A job without objectives must not go before jobs that can still meet one, as it
            // would take the capacity of more urgent work. Its age alone puts it first in the
            // end.
            starts_.missed = 1;
            starts_.agingTime = agingTimeWithoutObjectives;
        }
        std::sort(starts_.latestStarts.begin(), starts_.latestStarts.end());
        return std::move(starts_);
    }

  private:
    void add(TimePoint from, Duration within, Duration needed) {
        starts_.agingTime = std::max(starts_.agingTime, within * agingTimePerObjective);
        addLatestStart(from + within - needed);
    }
    void addLatestStart(TimePoint latestStart) {
        if (latestStart < now_)
            ++starts_.missed;
        else
            starts_.latestStarts.push_back(latestStart);
    }

    Duration runTime_;
    TimePoint now_;
    ObjectiveStarts starts_;
};

ObjectiveStarts latestStartsOf(const Job& job, const std::vector<Objective>& objectives,
                               Duration runTime, TimePoint now) {
    ObjectiveStartsBuilder starts(runTime, now);
    // Waiting counts from the job's release, since it does not include the time that the job was
    // blocked by dependencies. Deadlines count from its submission.
    bool hasDeadlineObjective = false;
    for (const Objective& o : objectives) {
        if (o.jobClass != job.spec.jobClass) continue;
        if (o.kind == "wait") starts.addStartWithin(job.releasedAt, o.within);
        if (o.kind == "finished") starts.addEndWithin(job.releasedAt, o.within);
        if (o.kind == "deadline" && job.spec.deadlineS) {
            hasDeadlineObjective = true;
            starts.addEndWithin(job.submittedAt,
                                fromSeconds(*job.spec.deadlineS * o.deadlineFactor));
        }
    }
    if (job.spec.deadlineS && !hasDeadlineObjective)
        starts.addEndWithin(job.submittedAt, fromSeconds(*job.spec.deadlineS));
    // The deadlines of its dependents: if this job is late, they are late as well.
    if (job.inheritedDeadlines.first != Deadlines::never)
        starts.addEndBy(job.inheritedDeadlines.first);
    if (job.inheritedDeadlines.last != job.inheritedDeadlines.first)
        starts.addEndBy(job.inheritedDeadlines.last);
    return starts.build();
}

/// Orders jobs tier by tier, a tier being the number of objectives that its jobs have missed.
class QueueOrder {
  public:
    QueueOrder(const std::vector<Objective>& objectives, const RuntimeEstimates& estimates,
               TimePoint now)
        : objectives_(objectives), estimates_(estimates), now_(now) {}

    std::vector<QueueEntry> order(const std::vector<Job*>& jobs) {
        for (Job* job : jobs) {
            const SchedulingPriority priority = priorityOf(*job, 0);
            tiers_[priority.missedObjectives].push_back({priority, job});
        }
        std::vector<QueueEntry> ordered;
        // Jobs that concede an objective move to a later tier, which is created if necessary.
        for (auto tier = tiers_.begin(); tier != tiers_.end(); ++tier) {
            auto& [missed, entries] = *tier;
            std::sort(entries.begin(), entries.end(), goesBefore);
            const std::vector<bool> concedes = selectConcedingEntries(entries);
            for (std::size_t i = 0; i < entries.size(); ++i) {
                if (concedes[i])
                    moveToLaterTier(*entries[i].job, missed);
                else
                    ordered.push_back(entries[i]);
            }
        }
        return ordered;
    }

  private:
    static bool goesBefore(const QueueEntry& a, const QueueEntry& b) {
        return std::tie(a.priority, a.job->submittedWallTime, a.job->spec.id) <
               std::tie(b.priority, b.job->submittedWallTime, b.job->spec.id);
    }

    SchedulingPriority priorityOf(const Job& job, std::size_t conceded) const {
        return schedulingPriority(job, objectives_, estimates_.estimatedRunTime(job.spec), now_,
                                  conceded);
    }

    /// Which entries of a tier concede their next objective: the largest ones, until the capacity
    /// that is freed by the time that each other entry has to start suffices for the work ahead of
    /// it.
    std::vector<bool> selectConcedingEntries(const std::vector<QueueEntry>& entries) {
        std::vector<bool> concedes(entries.size(), false);
        std::set<std::pair<double, std::size_t>> notConceding;  // by the cores that are waited for
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto& [priority, job] = entries[i];
            const double drainRate = estimates_.drainRate(job->effectivePriority);
            const double waitingCores = job->spec.demand.cores * job->waitingCount();
            coresAhead_ += waitingCores;
            if (!priority.canMeetAnother || job->spec.shape == Shape::service || drainRate <= 0)
                continue;
            notConceding.emplace(waitingCores, i);
            const double coresFreedInTime = drainRate * toSeconds(priority.startBy - now_);
            while (!notConceding.empty() && coresAhead_ > coresFreedInTime) {
                const auto largest = std::prev(notConceding.end());
                coresAhead_ -= largest->first;
                concedes[largest->second] = true;
                notConceding.erase(largest);
            }
        }
        return concedes;
    }

    void moveToLaterTier(Job& job, std::size_t tier) {
        // Conceded objectives count as missed, besides those that are missed already.
        std::size_t conceded = 1;
        SchedulingPriority later = priorityOf(job, conceded);
        while (later.missedObjectives <= tier && later.canMeetAnother)
            later = priorityOf(job, ++conceded);
        later.missedObjectives = std::max(later.missedObjectives, tier + 1);
        tiers_[later.missedObjectives].push_back({later, &job});
    }

    const std::vector<Objective>& objectives_;
    const RuntimeEstimates& estimates_;
    TimePoint now_;
    std::map<std::size_t, std::vector<QueueEntry>> tiers_;
    double coresAhead_ = 0;  // of all entries that go before, in this tier and earlier ones
};

}  // namespace

SchedulingPriority schedulingPriority(const Job& job, const std::vector<Objective>& objectives,
                                      Duration runTime, TimePoint now, std::size_t conceded) {
    const ObjectiveStarts starts = latestStartsOf(job, objectives, runTime, now);
    SchedulingPriority priority;
    priority.missedObjectives = starts.missed + std::min(conceded, starts.latestStarts.size());
    priority.canMeetAnother = conceded < starts.latestStarts.size();
    if (priority.canMeetAnother) {
        priority.startBy = starts.latestStarts[conceded];
        return priority;
    }
    // A start that meets all objectives is worth more than one that meets only the remaining ones:
    // in a burst, late jobs that go first would make all the jobs after them late as well. A job
    // that has missed all its objectives waits until its age puts it first.
    priority.startBy = job.releasedAt + starts.agingTime;
    if (priority.startBy <= now) priority.missedObjectives = 0;
    return priority;
}

std::vector<QueueEntry> queueOrder(const std::vector<Job*>& jobs,
                                   const std::vector<Objective>& objectives,
                                   const RuntimeEstimates& estimates, TimePoint now) {
    return QueueOrder(objectives, estimates, now).order(jobs);
}

}  // namespace basaltchute::scheduler
