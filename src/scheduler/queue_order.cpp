#include <algorithm>

#include "scheduler/cluster.h"

// Whose turn it is.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr Duration overdueTurn = 240s;
constexpr Duration patientTurn = 900s;
}  // namespace

Cluster::SchedulingPriority Cluster::schedulingPriority(const Job& job, TimePoint now,
                                                        std::size_t given) const {
    Duration last = overdueTurn;
    const Duration run = estimates_.runTime(job.spec);
    SchedulingPriority u;
    std::vector<TimePoint> open;  // latest starts that still serve an objective
    const auto considerBy = [&](TimePoint latestStart) {
        if (latestStart < now)
            ++u.missedObjectives;
        else
            open.push_back(latestStart);
    };
    // What it waited for others is no wait of its own; its deadline counts from its submission.
    const auto consider = [&](TimePoint from, Duration within, Duration needs) {
        last = std::max(last, within * 4);
        considerBy(from + within - needs);
    };
    bool deadlines = false;
    for (const auto& o : settings_.objectives) {
        if (o.jobClass != job.spec.jobClass) continue;
        if (o.kind == "wait") consider(job.releasedAt, o.within, Duration::zero());
        if (o.kind == "finished") consider(job.releasedAt, o.within, run);
        if (o.kind == "deadline" && job.spec.deadlineS) {
            deadlines = true;
            consider(job.submittedAt, fromSeconds(*job.spec.deadlineS * o.times), run);
        }
    }
    if (job.spec.deadlineS && !deadlines)
        consider(job.submittedAt, fromSeconds(*job.spec.deadlineS), run);
    // What jobs after it ask of it: a chain is late as a whole.
    if (job.deadlines.first != Deadlines::never) considerBy(job.deadlines.first - run);
    if (job.deadlines.last != job.deadlines.first) considerBy(job.deadlines.last - run);
    // Work that nobody has an objective for does not go before work that can still meet one, or
    // whoever takes its time fills the room of those in a hurry; its turn comes late, but it does.
    if (open.empty() && u.missedObjectives == 0) {
        u.missedObjectives = 1;
        last = patientTurn;
    }
    std::sort(open.begin(), open.end());
    u.missedObjectives += std::min(given, open.size());
    u.canMeetAnother = given < open.size();
    if (u.canMeetAnother) {
        u.startBy = open[given];
        return u;
    }
    // A start that meets every objective is worth more than one that meets the rest: in a burst
    // what is late would make all that follows late as well. What has missed them all waits, but
    // not for ever: its turn comes by age.
    u.startBy = job.releasedAt + last;
    if (u.startBy <= now) u.missedObjectives = 0;
    return u;
}

std::vector<Cluster::QueueEntry> Cluster::queueOrder(const std::vector<Job*>& jobs,
                                                     TimePoint now) const {
    // By what is due first, as long as all of it can be served in time. Where it cannot, the
    // largest jobs are put back to their next objective until the rest can: serving in order of
    // due times would make everybody late together (Moore and Hodgson's rule).
    std::map<std::size_t, std::vector<QueueEntry>> tiers;
    for (Job* job : jobs) {
        const SchedulingPriority t = schedulingPriority(*job, now);
        tiers[t.missedObjectives].push_back({t, job});
    }
    std::vector<QueueEntry> order;
    double ahead = 0;
    for (auto tier = tiers.begin(); tier != tiers.end(); ++tier) {
        auto& entries = tier->second;
        std::sort(entries.begin(), entries.end(), [](const QueueEntry& a, const QueueEntry& b) {
            return std::tie(a.priority, a.job->submitted, a.job->spec.id) <
                   std::tie(b.priority, b.job->submitted, b.job->spec.id);
        });
        std::set<std::pair<double, std::size_t>> kept;  // by cores that wait
        std::vector<bool> put(entries.size(), false);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const QueueEntry& e = entries[i];
            const double pace = estimates_.drainRate(e.job->rank);
            const double work = e.job->spec.demand.cores * e.job->waitingCount();
            ahead += work;
            if (!e.priority.canMeetAnother || e.job->spec.shape == Shape::service || pace <= 0)
                continue;
            kept.emplace(work, i);
            while (!kept.empty() && ahead > pace * toSeconds(e.priority.startBy - now)) {
                const auto largest = std::prev(kept.end());
                ahead -= largest->first;
                put[largest->second] = true;
                kept.erase(largest);
            }
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (!put[i]) {
                order.push_back(entries[i]);
                continue;
            }
            // What it could meet and gives up counts as missed; what it has missed does already.
            std::size_t given = 1;
            SchedulingPriority later = schedulingPriority(*entries[i].job, now, given);
            while (later.missedObjectives <= tier->first && later.canMeetAnother)
                later = schedulingPriority(*entries[i].job, now, ++given);
            later.missedObjectives = std::max(later.missedObjectives, tier->first + 1);
            tiers[later.missedObjectives].push_back({later, entries[i].job});
        }
    }
    return order;
}

}  // namespace basaltchute::scheduler
