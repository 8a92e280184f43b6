#include <algorithm>
#include <cmath>

#include "autoscaler/autoscaler.h"

// How many cores the fleet should have: from the objectives, the work there is, and what is lent.

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;

namespace {
constexpr Duration rise = 6s, fall = 40s;  // of the target for classes whose starts may wait
constexpr double warmMargin = 4;           // of a warm class's peak: jobs come in bursts
constexpr double runMargin = 2.0;          // owners' estimates of run times are rough
constexpr Duration lendingDelay = 60s;     // of borrowers' time: machines boot, and orders travel
constexpr Duration foundNoRoom = 10s;
constexpr Duration scarceFor = 45s;  // beyond the pause after a refusal
constexpr double usualBoots = 0.9;   // the share of machines that are reckoned with
constexpr Duration noticeAndOrder =
    4s;                                 // plans are made each second; the cloud answers, then beats
constexpr Duration patientSpan = 600s;  // for borrowing work that no objective hurries any more
}  // namespace

Duration Autoscaler::startupTimeQuantile(const ClassDemand& c, double q) const {
    Duration soonest = Duration::max();
    for (const auto& [name, t] : cluster_.catalogue()) {
        const Resources& has = t.capacity;
        if (c.perTask.cores > has.cores || c.perTask.ramGb > has.ramGb || c.perTask.gpus > has.gpus)
            continue;
        const Duration fetch = fromSeconds(c.imageGb / std::max(t.fetchGbPerS, 1e-3));
        soonest = std::min(soonest, statistics_.bootTime(name, t.bootTime, q) + fetch);
    }
    return soonest == Duration::max() ? soonest : soonest + noticeAndOrder;
}

bool Autoscaler::needsWarmCapacity(const std::string& jobClass, const ClassDemand& c) const {
    // A class whose tasks may wait longer than a machine takes to come is served by machines
    // asked for as it comes. Kept warm like the others, the boards' checks had four times their
    // peak rented for a wait of 250 s: a price of 2.9 where 1.6 does.
    const auto& all = cluster_.settings().objectives;
    return std::any_of(all.begin(), all.end(), [&](const auto& o) {
        return o.jobClass == jobClass && o.kind == "wait" &&
               o.within + cluster_.arrivalLeadTime(jobClass) < startupTimeQuantile(c, o.share);
    });
}

void Autoscaler::measureLimits() {
    withinLimit_.clear();
    const auto& teams = cluster_.settings().teams;
    if (std::none_of(teams.begin(), teams.end(), [](const auto& t) { return t.coresMax > 0; }))
        return;
    std::map<std::string, std::map<Priority, double>> wanted;
    for (const Job* job : cluster_.openJobs())
        wanted[job->spec.team][job->effectivePriority] +=
            job->spec.demand.cores * (job->spec.tasks - job->doneCount);
    for (const auto& t : teams) {
        if (t.coresMax <= 0) continue;
        double left = t.coresMax;
        for (const auto& [rank, cores] : wanted[t.name]) {
            withinLimit_[t.name][rank] = cores > left ? left / cores : 1;
            left = std::max(0.0, left - cores);
        }
    }
}

double Autoscaler::withinLimit(const Job& job) const {
    const auto team = withinLimit_.find(job.spec.team);
    if (team == withinLimit_.end()) return 1;
    const auto rank = team->second.find(job.effectivePriority);
    return rank == team->second.end() ? 1 : rank->second;
}

void Autoscaler::measureDemand(TimePoint now) {
    measureLimits();
    std::map<std::string, bool> borrows;
    for (auto& [name, c] : classes_) c.now = 0;
    for (const Job* job : cluster_.openJobs()) {
        // What fails wherever it goes asks for no machines.
        if (job->crashLooping) continue;
        ClassDemand& c = classes_[job->spec.jobClass];
        // Some jobs of a class may borrow while others have the priority of work after them.
        const bool lent = cluster_.isOpportunistic(*job);
        const auto seen = borrows.try_emplace(job->spec.jobClass, lent).first;
        c.opportunistic = seen->second = seen->second && lent;
        c.spotAllowed = job->spec.spotAllowed;
        c.perTask = job->spec.demand;
        c.imageGb = std::max(c.imageGb, job->spec.imageGb);
        if (lent) continue;
        // What a team's limit does not let run asks for no machines either.
        const double each = job->spec.demand.cores * withinLimit(*job);
        c.now += each * (job->spec.tasks - job->doneCount);
        c.largestJob = std::max(c.largestJob, each * job->spec.tasks);
    }
    // What waits for others asks for its machines when these, asked for now, would come in time.
    for (const Job* job : cluster_.blockedJobs()) {
        ClassDemand& c = classes_[job->spec.jobClass];
        if (cluster_.isOpportunistic(*job)) continue;
        c.spotAllowed = job->spec.spotAllowed;
        c.perTask = job->spec.demand;
        c.imageGb = std::max(c.imageGb, job->spec.imageGb);
        const Duration coming = startupTimeQuantile(c, usualBoots);
        if (coming == Duration::max() || cluster_.expectedRelease(*job, now) > now + coming)
            continue;
        c.opportunistic = false;
        c.now += job->spec.demand.cores * job->spec.tasks;
    }
    // Up fast and down slowly: the work has to be run anyway, and a machine that comes late
    // costs as much as one that came in time; one sent away too soon has to boot again.
    const auto weight = [&](Duration constant) {
        if (measuredAt_ == TimePoint{}) return 1.0;
        return 1 - std::exp(-toSeconds(now - measuredAt_) / toSeconds(constant));
    };
    const double up = weight(rise), down = weight(fall);
    measuredAt_ = now;
    target_ = {};
    wantsWarmSpot_ = false;
    for (auto& [name, c] : classes_) {
        c.wantsWarmCapacity = needsWarmCapacity(name, c);
        if (c.opportunistic) continue;
        c.smooth += (c.now - c.smooth) * (c.now > c.smooth ? up : down);
        c.peak = std::max(c.peak, c.now);
        wantsWarmSpot_ = wantsWarmSpot_ || (c.wantsWarmCapacity && c.spotAllowed);
        double want = c.smooth;
        if (c.wantsWarmCapacity && c.spotAllowed)
            want = cluster_.openJobs().empty() ? 0 : c.peak * warmMargin + c.largestJob;
        // Services: what runs, and room for a few more at once.
        if (c.wantsWarmCapacity && !c.spotAllowed) want = c.now * 1.1 + 4 * c.largestJob;
        (c.spotAllowed ? target_.spot : target_.ordinary) += want;
    }
    // What such work uses of ordinary machines it keeps until it has run, as far as there are no
    // spot machines for it; idle room for replicas that it fills meanwhile is no reason to rent.
    for (const auto& m : cluster_.machines()) {
        if (!m.up() || m.spot) continue;
        for (const auto& c : m.allocations)
            if (c.job->spec.spotAllowed && !cluster_.isOpportunistic(*c.job))
                target_.ordinaryUsed += c.job->spec.demand.cores;
    }
    target_.ordinaryUsed =
        std::min(target_.ordinaryUsed, std::max(0.0, target_.spot - capacity(true).spot));
    target_.forDeadlines = missingCoresForDeadlines(now);
    target_.ordinary += missingCoresForOpportunistic(false, false, now);
    const bool scarce = spotScarce(now);
    const double lent = missingCoresForOpportunistic(true, scarce, now);
    // Without spot machines its work once ran on nothing but leftovers: a class of low priority had
    // a fifth of its jobs served, and the ordinary machines that it used were returned.
    if (scarce)
        target_.ordinaryForOpportunistic =
            std::max(0.0, lent - std::max(0.0, capacity(true).spot - target_.spot));
    target_.spot += lent;
}

bool Autoscaler::spotScarce(TimePoint now) const {
    for (const auto& [name, t] : cluster_.catalogue()) {
        if (!servesSpot(name)) continue;
        for (const auto& zone : t.zones) {
            const auto refused = backOffUntil_.find({name, zone, true});
            if (refused == backOffUntil_.end() || refused->second + scarceFor < now) return false;
        }
    }
    return true;
}

double Autoscaler::missingCoresForOpportunistic(bool spotAllowed, bool spotScarce,
                                                TimePoint now) const {
    // Their work, spread over the time they have: a guest that is patient needs few cores for
    // long, and mostly finds them idle. Counted by classes like the rest, one guest's array once
    // had every machine of the cloud rented for it.
    double pace = 0, hurried = 0;  // cores: without hurry, and for objectives that can still be met
    std::set<const Job*> inHurry;
    for (const Job* job : cluster_.openJobs()) {
        if (!cluster_.isOpportunistic(*job) || job->crashLooping ||
            job->spec.spotAllowed != spotAllowed)
            continue;
        const double run = std::max(1.0, toSeconds(cluster_.estimatedRunTime(job->spec)));
        const auto turn = cluster_.schedulingPriority(*job, now);
        const double left = turn.canMeetAnother ? toSeconds(turn.startBy - now - lendingDelay) : 0;
        const double over =
            turn.canMeetAnother ? run + std::max(0.0, left) : toSeconds(patientSpan);
        const double cores = job->spec.demand.cores * withinLimit(*job);
        const double need = cores * (job->spec.tasks - job->doneCount) * run / over;
        if (!turn.canMeetAnother) {
            pace += need;
            continue;
        }
        inHurry.insert(job);
        // What has waited for a while finds no room, whatever seems idle: it is kept warm for
        // others, or filled for long by work without hurry, which it may not preempt.
        if (now - job->submittedAt > foundNoRoom)
            hurried += cores * job->waitingCount() * run / over;
    }
    if (pace == 0 && inHurry.empty()) return 0;
    Capacity others;  // cores in use
    for (const auto& m : cluster_.machines())
        for (const auto& c : m.allocations) {
            const double cores = c.job->spec.demand.cores;
            if (!cluster_.isOpportunistic(*c.job))
                (m.spot ? others.spot : others.ordinary) += cores;
            else if ((m.spot || spotScarce || !spotAllowed) && inHurry.contains(c.job))
                hurried += cores;
        }
    const Capacity there = capacity(false);
    // Of idle ordinary machines much is kept warm for replicas.
    double idle = std::max(0.0, there.ordinary - others.ordinary) / 2;
    if (spotAllowed) idle += std::max(0.0, std::min(there.spot, target_.spot) - others.spot);
    return std::max(0.0, pace - idle) + hurried;
}

double Autoscaler::missingCoresForDeadlines(TimePoint now) const {
    // Served in the order of their latest start by what is there, whose cores come free once in a
    // run: what would start too late needs machines of its own. Those that come too late for the
    // shortest jobs serve the next such jobs.
    struct Wait {
        TimePoint by;
        double cores;
    };
    std::vector<Wait> queue;
    double running = 0, seconds = 0, open = 0;
    for (const Job* job : cluster_.openJobs()) {
        const JobSpec& s = job->spec;
        if (!s.spotAllowed || job->crashLooping || cluster_.isOpportunistic(*job) ||
            classes_.at(s.jobClass).wantsWarmCapacity)
            continue;
        running += s.demand.cores * job->boundCount;
        const double share = withinLimit(*job);
        const double left = share * s.demand.cores * (s.tasks - job->doneCount);
        open += left;
        seconds += left * std::max(1.0, toSeconds(cluster_.estimatedRunTime(s)));
        if (job->waitingCount() == 0 || now < job->backOffUntil) continue;
        const auto turn = cluster_.schedulingPriority(*job, now);
        if (turn.canMeetAnother)
            queue.push_back({turn.startBy, share * s.demand.cores * job->waitingCount()});
    }
    if (queue.empty()) return 0;
    std::sort(queue.begin(), queue.end(), [](const Wait& a, const Wait& b) { return a.by < b.by; });
    const double run = runMargin * seconds / open;
    const double rate =
        std::max(running, capacity(true).spot) / run;  // cores that come free a second
    double lack = 0, ahead = 0;
    for (const Wait& w : queue) {
        ahead += w.cores;
        lack = std::max(lack, ahead - rate * toSeconds(w.by - now));
    }
    return lack;
}

}  // namespace basaltchute::autoscaler
