#include "scheduler/queue_order.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using settings::Objective;

namespace {

constexpr Duration minAgingTime = 240s;  // until age alone puts a late job first
constexpr Duration agingTimeWithoutObjectives = 900s;
constexpr int agingTimePerObjective = 4;  // in multiples of the time the objective allows

/// What a job's objectives ask of its start.
struct ObjectiveStarts {
    std::size_t missed = 0;
    std::vector<TimePoint> latestStarts;  // of those that can still be met, ascending
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
            // Work that nobody has an objective for does not go before work that can still meet
            // one, or whoever takes their time would fill the capacity of those in a hurry; its
            // turn comes late, but it does.
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

ObjectiveStarts startsOf(const Job& job, const std::vector<Objective>& objectives, Duration runTime,
                         TimePoint now) {
    ObjectiveStartsBuilder starts(runTime, now);
    // The time a job was blocked by others is no wait of its own; its deadline counts from its
    // submission.
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
    // What its dependents ask of it: the jobs of a dependency graph are late together.
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
        // Jobs that concede an objective join a later tier, which may come to exist by that.
        for (auto tier = tiers_.begin(); tier != tiers_.end(); ++tier) {
            auto& [missed, entries] = *tier;
            std::sort(entries.begin(), entries.end(), goesBefore);
            const std::vector<bool> concedes = largestThatMakeOthersLate(entries);
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

    /// Which entries of a tier concede their next objective. In order of the latest starts alone
    /// everybody would be late together where not everything can be served in time.
    std::vector<bool> largestThatMakeOthersLate(const std::vector<QueueEntry>& entries) {
        std::vector<bool> concedes(entries.size(), false);
        std::set<std::pair<double, std::size_t>> keeping;  // by cores that wait
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto& [priority, job] = entries[i];
            const double drainRate = estimates_.drainRate(job->effectivePriority);
            const double work = job->spec.demand.cores * job->waitingCount();
            coresAhead_ += work;
            if (!priority.canMeetAnother || job->spec.shape == Shape::service || drainRate <= 0)
                continue;
            keeping.emplace(work, i);
            const double servedInTime = drainRate * toSeconds(priority.startBy - now_);
            while (!keeping.empty() && coresAhead_ > servedInTime) {
                const auto largest = std::prev(keeping.end());
                coresAhead_ -= largest->first;
                concedes[largest->second] = true;
                keeping.erase(largest);
            }
        }
        return concedes;
    }

    void moveToLaterTier(Job& job, std::size_t tier) {
        // What it could meet and concedes counts as missed; what it has missed does already.
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
    double coresAhead_ = 0;  // of what goes before, in this tier and those before it
};

}  // namespace

SchedulingPriority schedulingPriority(const Job& job, const std::vector<Objective>& objectives,
                                      Duration runTime, TimePoint now, std::size_t conceded) {
    const ObjectiveStarts starts = startsOf(job, objectives, runTime, now);
    SchedulingPriority priority;
    priority.missedObjectives = starts.missed + std::min(conceded, starts.latestStarts.size());
    priority.canMeetAnother = conceded < starts.latestStarts.size();
    if (priority.canMeetAnother) {
        priority.startBy = starts.latestStarts[conceded];
        return priority;
    }
    // A start that meets every objective is worth more than one that meets the rest: in a burst
    // what is late would make all that follows late as well. What has missed them all waits, but
    // not for ever: its turn comes by age.
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
