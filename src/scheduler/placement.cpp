#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using worker_api::Allocation;
using worker_api::Machine;

namespace {

constexpr Duration settledReplica = 40s;  // a start that is stopped sooner does not count as one
constexpr Duration nextLook = 1s;         // what waits is looked at again, as its order changes
constexpr std::size_t replicaLooks = 12;  // machines of a kind that are compared for a replica
constexpr double lastResort = 60;         // seconds that any other machine may cost instead
constexpr double richness = 1.5;          // against the share of a machine that stays free

}  // namespace

Demand Cluster::freeCapacityOn(const Machine& m) const {
    const auto type = catalogue_.find(m.type);
    if (type == catalogue_.end()) return {};
    Demand free = type->second.capacity;
    for (const auto& c : m.allocations) free -= c.job->spec.demand;
    return free;
}

bool Cluster::allowed(const Job& job, const std::string& type, const std::string& zone, bool spot,
                      const Planned& planned) const {
    const JobSpec& s = job.spec;
    if (spot && !s.spotAllowed) return false;
    if (!s.allowsType(type)) return false;
    if (s.zone && *s.zone != zone) return false;
    if (!s.sameZone && !s.spread) return true;
    // Judged against everything of the job that may be somewhere, not only what is reported. A
    // machine that has not reported yet may be in any zone.
    std::uint32_t here = 0;
    for (const auto& [other, tasks] : job.perZone) {
        if (other == zone || (other.empty() && s.spread))
            here += tasks;
        else if (s.sameZone)
            return false;
    }
    for (const auto& [index, share] : planned) {
        if (machines_[index].zone == zone)
            here += share.tasks;
        else if (s.sameZone && share.tasks > 0)
            return false;
    }
    return !s.spread || here < (s.tasks + 1) / 2;
}

double Cluster::imageFetchTime(const JobSpec& s, const std::string& type) const {
    const auto t = catalogue_.find(type);
    return t == catalogue_.end() ? 0 : s.imageGb / std::max(t->second.fetchGbPerS, 1e-3);
}

double Cluster::startDelay(const JobSpec& s, const Machine& m) const {
    if (m.images.contains(s.image)) return 0;
    // Joining a fetch that is under way costs only what is left of it.
    const bool joins =
        std::any_of(m.allocations.begin(), m.allocations.end(),
                    [&](const Allocation& c) { return c.job->spec.image == s.image; });
    return imageFetchTime(s, m.type) / (joins ? 2 : 1);
}

bool Cluster::wantsWarmCapacity(const JobSpec& s) const {
    if (s.spotAllowed || s.shape != Shape::service) return false;
    return std::any_of(settings_.objectives.begin(), settings_.objectives.end(),
                       [&](const auto& o) { return o.kind == "wait" && o.jobClass == s.jobClass; });
}

bool Cluster::placeable(const Job& job, MachineIndex machine, TimePoint now) const {
    const auto failed = job.failedOn.find(machine);
    return capacityIndex_.find(machine) != nullptr &&
           (failed == job.failedOn.end() || now - failed->second >= 60s);
}

MachineIndex Cluster::chooseMachine(const Job& job, const Planned& planned, TimePoint now) const {
    const JobSpec& s = job.spec;
    const bool lasts = wantsWarmCapacity(s);
    MachineIndex best = noMachine;
    double bestCost = std::numeric_limits<double>::infinity();
    const auto usable = [&](MachineIndex i) {
        ++visitedMachines_;
        if (!placeable(job, i, now) || !capacityIndex_.keepsWarmCapacity(i, s.demand, job.rank))
            return false;
        Demand free = capacityIndex_.find(i)->free;
        if (const auto p = planned.find(i); p != planned.end()) free -= p->second.demand;
        // Room that is being made is not for those who had to give way: they once took each piece
        // of it back as it came free, to be stopped again in the next pass.
        const auto [from, to] = reclaimedFor_.equal_range(i);
        for (auto p = from; p != to; ++p)
            if (p->second != &job && p->second->rank <= job.rank) free -= p->second->spec.demand;
        return fits(s.demand, free);
    };
    for (const auto& [key, pool] : capacityIndex_.pools()) {
        const auto& [type, zone, spot, lasting, mute, distance] = key;
        // A replica is there again at once, whatever ends it; other work would be lost.
        if (!allowed(job, type, zone, spot, planned) || (mute && s.shape != Shape::service))
            continue;
        const double whole = std::max(catalogue_.at(type).capacity.cores, 1.0);
        // Seconds until it runs, then: leave ordinary machines to work that needs them, and
        // fill the fullest machine that has room so that whole ones stay whole. Low-priority
        // work keeps away from guaranteed cells, which may grow into its room.
        // What comes and goes keeps off ordinary machines with replicas, and replicas off the
        // others, so that a machine taken for a peak is empty after it.
        const bool mixes = !spot && lasting != (s.shape == Shape::service);
        const double base = (s.spotAllowed && !spot ? 4 : 0) + (mixes ? 1 : 0) +
                            0.5 * (2 - distance) + (mute ? lastResort : 0);
        const auto consider = [&](const CapacitySet& machines, double delay) {
            if (base + delay >= bestCost) return;
            std::size_t looked = 0;
            machines.visitFitting(s.demand, [&](MachineIndex i) {
                if (!usable(i)) return false;
                const double left = capacityIndex_.find(i)->free.cores - s.demand.cores;
                double cost = base + delay + left / whole;
                // A replica starts at once only where its image is: what has few others is taken
                // first, so that the room that is left suits whatever comes next.
                if (lasts) cost += richness * capacityIndex_.imageLocality(i);
                if (cost < bestCost) {
                    bestCost = cost;
                    best = i;
                }
                return !lasts || ++looked >= replicaLooks;
            });
        };
        const double fetch = imageFetchTime(s, type);
        if (const auto set = pool.cached.find(s.image); set != pool.cached.end())
            consider(set->second, 0);
        if (const auto set = pool.fetching.find(s.image); set != pool.fetching.end())
            consider(set->second, fetch / 2);
        consider(pool.all, fetch);
    }
    return best;
}

bool Cluster::placeGang(Job& job, TimePoint now) {
    // All or nothing: half a gang would hold machines and do no work.
    Planned planned;
    std::vector<std::pair<std::uint32_t, MachineIndex>> chosen;
    for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
        if (job.tasks[t].state != TaskState::waiting) continue;
        const MachineIndex m = chooseMachine(job, planned, now);
        if (m == noMachine) return false;
        PlannedShare& share = planned[m];
        share.demand += job.spec.demand;
        ++share.tasks;
        chosen.emplace_back(t, m);
    }
    for (const auto& [task, machine] : chosen) bind(job, task, machine);
    return true;
}

bool Cluster::hasPlaceableWork() {
    if (waiting_.empty()) return false;
    refreshCapacities();
    return hasNewWork_ || capacityIndex_.increaseCount() != increasesSeen_ ||
           now_ - lastPass_ >= nextLook;
}

bool Cluster::place(TimePoint now, std::size_t most) {
    advanceTo(now);
    refreshCapacities();
    hasNewWork_ = false;
    increasesSeen_ = capacityIndex_.increaseCount();
    lastPass_ = now;
    estimates_.measureDrainRate(openJobs_, now);
    std::map<Priority, std::vector<Job*>> ranks;
    for (Job* job : waiting_)
        if (now >= job->backOffUntil) ranks[job->rank].push_back(job);
    for (const auto& [rank, waiting] : ranks) {
        std::map<std::string, std::vector<Job*>> teams;  // the next job of each last
        const auto order = queueOrder(waiting, settings_.objectives, estimates_, now);
        for (auto e = order.rbegin(); e != order.rend(); ++e)
            teams[e->job->spec.team].push_back(e->job);
        // Within a rank the team that uses least goes next: max-min, one task at a time.
        const auto use = [&](const auto& team) { return quota_.weightedUse(team.first); };
        while (!teams.empty()) {
            const auto least =
                std::min_element(teams.begin(), teams.end(),
                                 [&](const auto& a, const auto& b) { return use(a) < use(b); });
            auto& jobs = least->second;
            if (jobs.empty()) {
                teams.erase(least);
                continue;
            }
            Job& job = *jobs.back();
            if (job.waitingCount() == 0 || !quota_.withinLimit(job.spec)) {
                jobs.pop_back();
                continue;
            }
            if (most == 0) return true;
            --most;
            if (job.spec.shape == Shape::gang) {
                if (!placeGang(job, now)) preemptFor(job, job.waitingCount(), now);
                jobs.pop_back();
                refreshCapacities();
                continue;
            }
            const std::uint32_t task = job.nextWaiting();
            if (quota_.withinReservation(job.spec) && placeInReservation(job, task, now)) {
                refreshCapacities();
                continue;
            }
            MachineIndex m = chooseMachine(job, {}, now);
            if (m == noMachine) {
                preemptFor(job, job.waitingCount(), now);
                // What gave way before its launch had left has made room already.
                m = chooseMachine(job, {}, now);
            }
            if (m == noMachine) {
                jobs.pop_back();
                continue;
            }
            spdlog::debug("{}/{} goes to {} after {:.2f} s, image in {:.1f} s", job.spec.id, task,
                          machines_[m].name, toSeconds(now - job.releasedAt),
                          startDelay(job.spec, machines_[m]));
            bind(job, task, m);
            refreshCapacities();
        }
    }
    return false;
}

void Cluster::stopOpportunistic(MachineIndex machine) {
    std::vector<std::pair<Job*, std::uint32_t>> chosen;
    for (const auto& c : machines_[machine].allocations)
        if (c.job->spec.checkpointS > 0 && isOpportunistic(*c.job) && !mustStop(c))
            chosen.emplace_back(c.job, c.task);
    for (const auto& [job, task] : chosen) stop(*job, task);
}

void Cluster::moveReplicas(MachineIndex machine, TimePoint now) {
    refreshCapacities();
    const auto moving = [&](const Allocation& c) { return mustStop(c); };
    Machine& m = machines_[machine];
    if (std::any_of(m.allocations.begin(), m.allocations.end(), moving)) return;  // one at a time
    for (const auto& c : m.allocations) {
        if (c.job->spec.shape != Shape::service || !ownsAllocation(c, machine)) continue;
        JobTask& task = c.job->tasks[c.task];
        if (task.phase != Phase::running || now - task.runningSince < settledReplica) continue;
        const MachineIndex to = chooseMachine(*c.job, {}, now);
        if (to == noMachine || startDelay(c.job->spec, machines_[to]) > 0) continue;
        stop(*c.job, c.task);
        return;
    }
}

}  // namespace basaltchute::scheduler
