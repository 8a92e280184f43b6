#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "scheduler/cluster.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using workers::Charge;
using workers::Machine;

namespace {

constexpr double epsilon = 1e-6;  // amounts are decimal fractions
constexpr int warmRoom = 3;       // tasks of a class that must start at once
constexpr Duration overdueTurn = 240s;
constexpr Duration settledReplica = 40s;  // a start that is stopped sooner does not count as one

bool fits(const Demand& need, const Demand& have) {
    return need.cores <= have.cores + epsilon && need.gpus <= have.gpus + epsilon &&
           need.ramGb <= have.ramGb + epsilon;
}

}  // namespace

TimePoint Cluster::due(const Job& job, TimePoint now) const {
    // The next moment by which starting a task still serves an objective. What has missed them
    // all goes behind what can still be met, but not for ever: its turn comes by age.
    TimePoint next = TimePoint::max();
    const Duration run = fromSeconds(job.spec.estimateS * biasOf(job.spec.jobClass));
    const auto consider = [&](TimePoint latestStart) {
        if (latestStart >= now) next = std::min(next, latestStart);
    };
    if (job.spec.deadlineS) consider(job.submittedAt + fromSeconds(*job.spec.deadlineS) - run);
    for (const auto& o : settings_.objectives) {
        if (o.jobClass != job.spec.jobClass) continue;
        if (o.kind == "wait") consider(job.submittedAt + o.within);
        if (o.kind == "finished") consider(job.submittedAt + o.within - run);
    }
    return next == TimePoint::max() ? job.submittedAt + overdueTurn : next;
}

double Cluster::biasOf(const std::string& jobClass) const {
    const auto it = bias_.find(jobClass);
    return it == bias_.end() ? 1.0 : std::exp(it->second);
}

Demand Cluster::freeOn(const Machine& m) const {
    const auto type = catalogue_.find(m.type);
    if (type == catalogue_.end()) return {};
    Demand free = type->second.capacity;
    for (const auto& c : m.charges) free -= c.job->spec.demand;
    return free;
}

bool Cluster::allowed(const Job& job, const Machine& m, const Planned& planned) const {
    const JobSpec& s = job.spec;
    if (m.spot && !s.spotAllowed) return false;
    if (!typeAllowed(s, m.type)) return false;
    if (s.zone && *s.zone != m.zone) return false;
    if (!s.oneZone && !s.spread) return true;
    // Judged against everything of the job that may be somewhere, not only what is reported.
    std::uint32_t here = 0;
    for (const auto& other : machines_) {
        for (const auto& c : other.charges) {
            if (c.job != &job) continue;
            if (other.zone == m.zone)
                ++here;
            else if (s.oneZone)
                return false;
        }
    }
    for (const auto& [index, share] : planned) {
        if (machines_[index].zone == m.zone)
            here += share.tasks;
        else if (s.oneZone && share.tasks > 0)
            return false;
    }
    return !s.spread || here < (s.tasks + 1) / 2;
}

bool Cluster::withinLimit(const Job& job) const {
    const auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                                   [&](const auto& t) { return t.name == job.spec.team; });
    if (team == settings_.teams.end()) return false;
    const auto used = teamUse_.find(job.spec.team);
    const Demand now = used == teamUse_.end() ? Demand{} : used->second;
    return (team->coresMax <= 0 || now.cores + job.spec.demand.cores <= team->coresMax + epsilon) &&
           (team->gpusMax <= 0 || now.gpus + job.spec.demand.gpus <= team->gpusMax + epsilon);
}

double Cluster::startDelay(const JobSpec& s, const Machine& m) const {
    if (m.images.contains(s.image)) return 0;
    const auto type = catalogue_.find(m.type);
    if (type == catalogue_.end()) return 0;
    const double fetch = s.imageGb / std::max(type->second.fetchGbPerS, 1e-3);
    // Joining a fetch that is under way costs only what is left of it.
    for (const auto& c : m.charges)
        if (c.job->spec.image == s.image) return fetch / 2;
    return fetch;
}

void Cluster::findWarmClasses() {
    warm_.clear();
    for (const Job* job : open_) {
        const JobSpec& s = job->spec;
        if (s.spotAllowed || s.shape != Shape::service) continue;
        const bool hurried = std::any_of(
            settings_.objectives.begin(), settings_.objectives.end(),
            [&](const auto& o) { return o.kind == "wait" && o.jobClass == s.jobClass; });
        if (!hurried) continue;
        WarmClass& w = warm_[s.jobClass];
        w.sample = job;
        w.images.insert(s.image);
    }
}

bool Cluster::leavesWarmRoom(const Job& job, MachineIndex machine, TimePoint now) const {
    for (const auto& [name, w] : warm_) {
        const JobSpec& s = w.sample->spec;
        if (s.priority >= job.spec.priority) continue;
        for (const auto& image : w.images) {
            if (!machines_[machine].images.contains(image)) continue;
            int room = 0;
            for (MachineIndex i = 0; i < machines_.size() && room < warmRoom; ++i) {
                const Machine& m = machines_[i];
                if (m.spot || m.draining || m.sick || !fresh(m, now) || !m.images.contains(image))
                    continue;
                Demand free = freeOn(m);
                if (i == machine) free -= job.spec.demand;
                for (; room < warmRoom && fits(s.demand, free); ++room) free -= s.demand;
            }
            if (room < warmRoom) return false;
        }
    }
    return true;
}

bool Cluster::placeable(const Job& job, MachineIndex machine, TimePoint now) const {
    const Machine& m = machines_[machine];
    if (!fresh(m, now) || m.sick || m.draining || m.recalledAt || now < m.avoidUntil) return false;
    const auto failed = job.failedOn.find(machine);
    return failed == job.failedOn.end() || now - failed->second >= 60s;
}

MachineIndex Cluster::pick(const Job& job, const Planned& planned, TimePoint now) const {
    MachineIndex best = noMachine;
    double bestCost = std::numeric_limits<double>::infinity();
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        if (!placeable(job, i, now)) continue;
        Demand free = freeOn(m);
        if (const auto p = planned.find(i); p != planned.end()) free -= p->second.demand;
        if (!fits(job.spec.demand, free)) continue;
        if (!allowed(job, m, planned)) continue;
        if (!m.spot && !leavesWarmRoom(job, i, now)) continue;
        const Demand& whole = catalogue_.at(m.type).capacity;
        // Seconds until it runs, then: leave ordinary machines to work that needs them, and
        // fill the fullest machine that has room so that whole ones stay whole.
        double cost = startDelay(job.spec, m);
        if (job.spec.spotAllowed && !m.spot) cost += 4;
        cost += (free.cores - job.spec.demand.cores) / std::max(whole.cores, 1.0);
        // Low-priority work keeps away from guaranteed cells, which may grow into its room.
        if (const auto pool = pools_.find(m.type); pool != pools_.end())
            cost += 0.5 * (2 - pool->second.distance(i));
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    return best;
}

Demand Cluster::roomOnceStopped(const Machine& m) const {
    Demand room = freeOn(m);
    for (const auto& c : m.charges)
        if (mustStop(c)) room += c.job->spec.demand;
    return room;
}

bool Cluster::makeRoom(const Job& job, MachineIndex machine,
                       const std::function<bool(const Charge&)>& victim) {
    Machine& m = machines_[machine];
    if (fits(job.spec.demand, freeOn(m))) return true;
    Demand room = roomOnceStopped(m);
    std::vector<const Charge*> chosen;
    for (const auto& c : m.charges) {
        if (fits(job.spec.demand, room)) break;
        if (mustStop(c) || !victim(c)) continue;
        room += c.job->spec.demand;
        chosen.push_back(&c);
    }
    if (!fits(job.spec.demand, room)) return false;
    for (const auto* c : chosen) {
        // A gang with a member gone does no work: the rest makes room as well.
        if (c->job->spec.shape == Shape::gang)
            for (auto& t : c->job->tasks) t.stopping = t.state == TaskState::bound;
        c->job->tasks[c->task].stopping = true;
    }
    effects_.push.insert(machine);
    return false;
}

void Cluster::preemptFor(const Job& job, TimePoint now) {
    // Choose the machine on which stopping the least recent work makes room.
    MachineIndex best = noMachine;
    std::vector<std::size_t> victims;
    double bestLoss = std::numeric_limits<double>::infinity();
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        if (!fresh(m, now) || m.sick || m.draining || m.recalledAt || !allowed(job, m, {}))
            continue;
        Demand room = roomOnceStopped(m);
        if (fits(job.spec.demand, room)) return;  // room is being made already
        std::vector<std::pair<double, std::size_t>> candidates;
        for (std::size_t k = 0; k < m.charges.size(); ++k) {
            const Charge& c = m.charges[k];
            if (mustStop(c) || !c.cells.empty() || c.job->spec.priority <= job.spec.priority)
                continue;
            const JobTask& t = c.job->tasks[c.task];
            const double ran = t.phase == Phase::running ? toSeconds(now - t.runningSince) : 0;
            const double lost = c.job->spec.checkpointS > 0 ? c.job->spec.saveS : ran;
            candidates.emplace_back(lost, k);
        }
        std::sort(candidates.begin(), candidates.end());
        std::vector<std::size_t> chosen;
        double loss = startDelay(job.spec, m);
        for (const auto& [lost, k] : candidates) {
            if (fits(job.spec.demand, room)) break;
            room += m.charges[k].job->spec.demand;
            loss += lost + 1;
            chosen.push_back(k);
        }
        if (fits(job.spec.demand, room) && loss < bestLoss) {
            bestLoss = loss;
            best = i;
            victims = std::move(chosen);
        }
    }
    if (best == noMachine) return;
    for (const std::size_t k : victims) {
        const Charge& c = machines_[best].charges[k];
        c.job->tasks[c.task].stopping = true;
    }
    effects_.push.insert(best);
}

bool Cluster::placeGang(Job& job, TimePoint now) {
    // All or nothing: half a gang would hold machines and do no work.
    Planned planned;
    std::vector<std::pair<std::uint32_t, MachineIndex>> chosen;
    for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
        if (job.tasks[t].state != TaskState::waiting) continue;
        const MachineIndex m = pick(job, planned, now);
        if (m == noMachine) return false;
        Share& share = planned[m];
        share.demand += job.spec.demand;
        ++share.tasks;
        chosen.emplace_back(t, m);
    }
    for (const auto& [task, machine] : chosen) bind(job, task, machine);
    return true;
}

void Cluster::place(TimePoint now) {
    struct Entry {
        Job* job;
        TimePoint due;
        std::uint32_t next = 0;
    };
    std::vector<Entry> queue;
    findWarmClasses();
    for (Job* job : open_) {
        const std::uint32_t waiting = job->spec.tasks - job->doneCount - job->boundCount;
        if (waiting > 0 && job->accepted() && now >= job->notBefore)
            queue.push_back({job, due(*job, now)});
    }
    std::stable_sort(queue.begin(), queue.end(), [](const Entry& a, const Entry& b) {
        return std::tie(a.job->spec.priority, a.due) < std::tie(b.job->spec.priority, b.due);
    });
    // Within a priority the team that uses least goes next: max-min, one task at a time.
    for (auto from = queue.begin(); from != queue.end();) {
        auto to = std::find_if(from, queue.end(), [&](const Entry& e) {
            return e.job->spec.priority != from->job->spec.priority;
        });
        std::vector<Entry*> live;
        for (auto e = from; e != to; ++e) live.push_back(&*e);
        while (!live.empty()) {
            const auto least = std::min_element(live.begin(), live.end(), [&](Entry* a, Entry* b) {
                return teamUse_[a->job->spec.team].cores / weightOf(a->job->spec.team) <
                       teamUse_[b->job->spec.team].cores / weightOf(b->job->spec.team);
            });
            Entry& e = **least;
            Job& job = *e.job;
            while (e.next < job.spec.tasks && job.tasks[e.next].state != TaskState::waiting)
                ++e.next;
            if (e.next >= job.spec.tasks || !withinLimit(job)) {
                live.erase(least);
                continue;
            }
            if (job.spec.shape != Shape::gang && withinGuarantee(job) &&
                placeGuaranteed(job, e.next, now))
                continue;
            if (job.spec.shape == Shape::gang) {
                if (!placeGang(job, now) && job.spec.priority != Priority::low)
                    preemptFor(job, now);
                live.erase(least);
                continue;
            }
            const MachineIndex m = pick(job, {}, now);
            if (m == noMachine) {
                if (job.spec.priority != Priority::low) preemptFor(job, now);
                live.erase(least);
                continue;
            }
            spdlog::debug("{}/{} goes to {} after {:.2f} s, image in {:.1f} s", job.spec.id, e.next,
                          machines_[m].name, toSeconds(now - job.submittedAt),
                          startDelay(job.spec, machines_[m]));
            bind(job, e.next, m);
        }
        from = to;
    }
}

void Cluster::moveReplicas(MachineIndex machine, TimePoint now) {
    const auto moving = [&](const Charge& c) { return mustStop(c); };
    Machine& m = machines_[machine];
    if (std::any_of(m.charges.begin(), m.charges.end(), moving)) return;  // one at a time
    for (const auto& c : m.charges) {
        if (c.job->spec.shape != Shape::service || !owns(c, machine)) continue;
        JobTask& task = c.job->tasks[c.task];
        if (task.phase != Phase::running || now - task.runningSince < settledReplica) continue;
        const MachineIndex to = pick(*c.job, {}, now);
        if (to == noMachine || startDelay(c.job->spec, machines_[to]) > 0) continue;
        task.stopping = true;
        effects_.push.insert(machine);
        return;
    }
}

}  // namespace basaltchute::scheduler
