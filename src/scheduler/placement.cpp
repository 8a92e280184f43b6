#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using worker_api::Allocation;
using worker_api::Machine;

namespace {

// A service replica that is stopped sooner after its start does not count as started.
constexpr Duration settledReplica = 40s;
constexpr Duration nextLook = 1s;  // waiting jobs are looked at again, as their order changes
constexpr Duration failedMachineBackOff = 60s;       // before a job returns where it failed
constexpr std::size_t replicaMachinesCompared = 12;  // of a kind, for a replica

// Costs of a placement, in seconds of delay that they are worth.
constexpr double onDemandCost = 4;           // an ordinary machine, for work that allows spot
constexpr double mixedCost = 1;              // batch work beside services, or the other way round
constexpr double nearReservationCost = 0.5;  // for each step nearer to bound cells
constexpr double lastResortCost = 60;
constexpr double imageLocalityCost = 1.5;  // against the share of a machine that stays free

}  // namespace

Resources Cluster::freeCapacityOn(const Machine& m) const {
    const auto type = catalogue_.find(m.type);
    if (type == catalogue_.end()) return {};
    Resources free = type->second.capacity;
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
    for (const auto& [other, tasks] : job.tasksPerZone) {
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
           (failed == job.failedOn.end() || now - failed->second >= failedMachineBackOff);
}

bool Cluster::hasCapacityFor(const Job& job, MachineIndex machine, const Planned& planned,
                             TimePoint now) const {
    ++visitedMachines_;
    const Resources& demand = job.spec.demand;
    if (!placeable(job, machine, now) ||
        !capacityIndex_.keepsWarmCapacity(machine, demand, job.effectivePriority))
        return false;
    Resources free = capacityIndex_.find(machine)->free;
    if (const auto p = planned.find(machine); p != planned.end()) free -= p->second.demand;
    // Capacity that is being reclaimed is not for those who had to give way: they once took each
    // piece of it back as it came free, to be stopped again in the next pass.
    const auto [from, to] = reclaimedFor_.equal_range(machine);
    for (auto p = from; p != to; ++p)
        if (p->second != &job && p->second->effectivePriority <= job.effectivePriority)
            free -= p->second->spec.demand;
    return fits(demand, free);
}

MachineIndex Cluster::chooseMachine(const Job& job, const Planned& planned, TimePoint now) const {
    const JobSpec& s = job.spec;
    const bool isService = s.shape == Shape::service;
    const bool startsAtOnce = wantsWarmCapacity(s);
    MachineIndex best = noMachine;
    double bestCost = std::numeric_limits<double>::infinity();
    // The first that fits leaves least free; replicas compare several.
    const auto consider = [&](const CapacitySet& machines, double kindCost, double wholeMachine) {
        if (kindCost >= bestCost) return;
        std::size_t compared = 0;
        machines.visitFitting(s.demand, [&](MachineIndex i) {
            if (!hasCapacityFor(job, i, planned, now)) return false;
            const double left = capacityIndex_.find(i)->free.cores - s.demand.cores;
            double cost = kindCost + left / wholeMachine;
            // A replica starts at once only where its image is: a machine with few others is taken
            // first, so that the capacity that is left suits whatever comes next.
            if (startsAtOnce) cost += imageLocalityCost * capacityIndex_.imageLocality(i);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
            return !startsAtOnce || ++compared >= replicaMachinesCompared;
        });
    };
    for (const auto& [key, pool] : capacityIndex_.pools()) {
        // A replica is there again at once, whatever ends it; other work would be lost.
        if (!allowed(job, key.type, key.zone, key.spot, planned) ||
            (key.outboundPartitioned && !isService))
            continue;
        const double whole = std::max(catalogue_.at(key.type).capacity.cores, 1.0);
        // Seconds until it runs, then: leave ordinary machines to work that needs them, and
        // fill the fullest machine that has the capacity so that whole ones stay whole.
        // Low-priority work keeps away from reserved cells, which may grow into its capacity.
        // What comes and goes keeps off ordinary machines with replicas, and replicas off the
        // others, so that a machine rented for a peak is empty after it.
        const bool mixes = !key.spot && key.hasServices != isService;
        const double base = (s.spotAllowed && !key.spot ? onDemandCost : 0) +
                            (mixes ? mixedCost : 0) +
                            nearReservationCost * (2 - key.reservationDistance) +
                            (key.outboundPartitioned ? lastResortCost : 0);
        const double fetch = imageFetchTime(s, key.type);
        if (const auto set = pool.cached.find(s.image); set != pool.cached.end())
            consider(set->second, base, whole);
        if (const auto set = pool.fetching.find(s.image); set != pool.fetching.end())
            consider(set->second, base + fetch / 2, whole);
        consider(pool.all, base + fetch, whole);
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
        if (now >= job->backOffUntil) ranks[job->effectivePriority].push_back(job);
    for (const auto& [rank, waiting] : ranks)
        if (placeRank(waiting, most, now)) return true;
    return false;
}

Cluster::TeamQueues Cluster::queuesByTeam(const std::vector<Job*>& waiting, TimePoint now) const {
    TeamQueues queues;
    const auto order = queueOrder(waiting, settings_.objectives, estimates_, now);
    for (auto entry = order.rbegin(); entry != order.rend(); ++entry)
        queues[entry->job->spec.team].push_back(entry->job);
    return queues;
}

bool Cluster::placeRank(const std::vector<Job*>& waiting, std::size_t& budget, TimePoint now) {
    TeamQueues queues = queuesByTeam(waiting, now);
    // Within a rank the team that uses least goes next: max-min fairness, one task at a time.
    const auto usesLess = [&](const auto& a, const auto& b) {
        return quota_.weightedUse(a.first) < quota_.weightedUse(b.first);
    };
    while (!queues.empty()) {
        const auto next = std::min_element(queues.begin(), queues.end(), usesLess);
        std::vector<Job*>& jobs = next->second;
        if (jobs.empty()) {
            queues.erase(next);
            continue;
        }
        Job& job = *jobs.back();
        if (job.waitingCount() == 0 || !quota_.withinLimit(job.spec)) {
            jobs.pop_back();
            continue;
        }
        if (budget == 0) return true;
        --budget;
        if (!placeNext(job, now)) jobs.pop_back();
    }
    return false;
}

bool Cluster::placeNext(Job& job, TimePoint now) {
    if (job.spec.shape == Shape::gang) {
        if (!placeGang(job, now)) preemptFor(job, job.waitingCount(), now);
        refreshCapacities();
        return false;
    }
    const std::uint32_t task = job.nextWaiting();
    if (quota_.withinReservation(job.spec) && placeInReservation(job, task, now)) {
        refreshCapacities();
        return true;
    }
    MachineIndex machine = chooseMachine(job, {}, now);
    if (machine == noMachine) {
        preemptFor(job, job.waitingCount(), now);
        // What gave way before its launch had left has freed its capacity already.
        machine = chooseMachine(job, {}, now);
    }
    if (machine == noMachine) return false;
    spdlog::debug("task is placed: job={} task={} machine={} waited_s={:.2f} start_delay_s={:.1f}",
                  job.spec.id, task, machines_[machine].name, toSeconds(now - job.releasedAt),
                  startDelay(job.spec, machines_[machine]));
    bind(job, task, machine);
    refreshCapacities();
    return true;
}

void Cluster::stopOpportunisticTasks(MachineIndex machine) {
    TaskList chosen;
    for (const Allocation& allocation : machines_[machine].allocations) {
        const Job& job = *allocation.job;
        if (job.spec.checkpointIntervalS > 0 && isOpportunistic(job) && !mustStop(allocation))
            chosen.emplace_back(allocation.job, allocation.task);
    }
    stopAll(chosen);
}

void Cluster::migrateReplica(MachineIndex machine, TimePoint now) {
    refreshCapacities();
    const auto moving = [&](const Allocation& c) { return mustStop(c); };
    Machine& m = machines_[machine];
    if (std::any_of(m.allocations.begin(), m.allocations.end(), moving)) return;  // one at a time
    for (const auto& c : m.allocations) {
        if (c.job->spec.shape != Shape::service || !ownsAllocation(c, machine)) continue;
        JobTask& task = c.job->tasks[c.task];
        if (task.phase != TaskPhase::running || now - task.runningSince < settledReplica) continue;
        const MachineIndex to = chooseMachine(*c.job, {}, now);
        if (to == noMachine || startDelay(c.job->spec, machines_[to]) > 0) continue;
        stop(*c.job, c.task);
        return;
    }
}

}  // namespace basaltchute::scheduler
