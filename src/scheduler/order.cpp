#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// Whose turn it is.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr Duration overdueTurn = 240s;
constexpr Duration patientTurn = 900s;
constexpr Duration nextLook = 1s;  // what waits is looked at again, as its order changes
}  // namespace

Cluster::Turn Cluster::turn(const Job& job, TimePoint now, std::size_t given) const {
    Duration last = overdueTurn;
    const Duration run = runTime(job.spec);
    Turn u;
    std::vector<TimePoint> open;  // latest starts that still serve an objective
    const auto considerBy = [&](TimePoint latestStart) {
        if (latestStart < now)
            ++u.missed;
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
    if (job.ends.first != Ends::never) considerBy(job.ends.first - run);
    if (job.ends.last != job.ends.first) considerBy(job.ends.last - run);
    // Work that nobody has an objective for does not go before work that can still meet one, or
    // whoever takes its time fills the room of those in a hurry; its turn comes late, but it does.
    if (open.empty() && u.missed == 0) {
        u.missed = 1;
        last = patientTurn;
    }
    std::sort(open.begin(), open.end());
    u.missed += std::min(given, open.size());
    u.hopes = given < open.size();
    if (u.hopes) {
        u.by = open[given];
        return u;
    }
    // A start that meets every objective is worth more than one that meets the rest: in a burst
    // what is late would make all that follows late as well. What has missed them all waits, but
    // not for ever: its turn comes by age.
    u.by = job.releasedAt + last;
    if (u.by <= now) u.missed = 0;
    return u;
}

void Cluster::measurePace(TimePoint now) {
    if (now - pacedAt_ < nextLook) return;
    pacedAt_ = now;
    std::array<double, 4> cores{}, seconds{};
    for (const Job* job : open_) {
        if (job->spec.shape == Shape::service || job->boundCount == 0) continue;
        const auto rank = static_cast<std::size_t>(job->rank);
        const double bound = job->spec.demand.cores * job->boundCount;
        cores[rank] += bound;
        seconds[rank] += bound * std::max(1.0, toSeconds(runTime(job->spec)));
    }
    for (std::size_t rank = 0; rank < pace_.size(); ++rank)
        pace_[rank] = cores[rank] > 0 ? cores[rank] * cores[rank] / seconds[rank] : 0;
}

std::vector<Cluster::Entry> Cluster::inOrder(const std::vector<Job*>& jobs, TimePoint now) const {
    // By what is due first, as long as all of it can be served in time. Where it cannot, the
    // largest jobs are put back to their next objective until the rest can: serving in order of
    // due times would make everybody late together (Moore and Hodgson's rule).
    std::map<std::size_t, std::vector<Entry>> tiers;
    for (Job* job : jobs) {
        const Turn t = turn(*job, now);
        tiers[t.missed].push_back({t, job});
    }
    std::vector<Entry> order;
    double ahead = 0;
    for (auto tier = tiers.begin(); tier != tiers.end(); ++tier) {
        auto& entries = tier->second;
        std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
            return std::tie(a.turn, a.job->submitted, a.job->spec.id) <
                   std::tie(b.turn, b.job->submitted, b.job->spec.id);
        });
        std::set<std::pair<double, std::size_t>> kept;  // by cores that wait
        std::vector<bool> put(entries.size(), false);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const Entry& e = entries[i];
            const double pace = pace_[static_cast<std::size_t>(e.job->rank)];
            const double work = e.job->spec.demand.cores * e.job->waitingCount();
            ahead += work;
            if (!e.turn.hopes || e.job->spec.shape == Shape::service || pace <= 0) continue;
            kept.emplace(work, i);
            while (!kept.empty() && ahead > pace * toSeconds(e.turn.by - now)) {
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
            Turn later = turn(*entries[i].job, now, given);
            while (later.missed <= tier->first && later.hopes)
                later = turn(*entries[i].job, now, ++given);
            later.missed = std::max(later.missed, tier->first + 1);
            tiers[later.missed].push_back({later, entries[i].job});
        }
    }
    return order;
}

double Cluster::biasOf(const std::string& jobClass) const {
    const auto it = bias_.find(jobClass);
    return it == bias_.end() ? 1.0 : std::exp(it->second);
}

}  // namespace basaltchute::scheduler
