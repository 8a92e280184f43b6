#include <algorithm>
#include <limits>

#include "scheduler/cluster.h"

// Room for work of higher rank, and what is stopped for it.

namespace basaltchute::scheduler {

using worker_api::Allocation;
using worker_api::Machine;

namespace {
constexpr std::size_t victimsLookedAt = 24;  // machines compared before work is stopped on one
constexpr std::uint32_t stoppedAtOnce = 32;  // tasks for which a job has work stopped in a pass
}  // namespace

Demand Cluster::capacityOnceStopped(const Machine& m) const {
    Demand room = freeCapacityOn(m);
    for (const auto& c : m.allocations)
        if (mustStop(c)) room += c.job->spec.demand;
    return room;
}

bool Cluster::reclaimCapacity(const Job& job, MachineIndex machine,
                              const std::function<bool(const Allocation&)>& victim) {
    Machine& m = machines_[machine];
    if (fits(job.spec.demand, freeCapacityOn(m))) return true;
    Demand room = capacityOnceStopped(m);
    std::vector<std::pair<Job*, std::uint32_t>> chosen;
    for (const auto& c : m.allocations) {
        if (fits(job.spec.demand, room)) break;
        if (mustStop(c) || !victim(c)) continue;
        room += c.job->spec.demand;
        chosen.emplace_back(c.job, c.task);
    }
    if (!fits(job.spec.demand, room)) return false;
    for (const auto& [victim, task] : chosen) stop(*victim, task);
    return false;
}

bool Cluster::mayPreempt(Priority rank, const Allocation& c) const {
    return !mustStop(c) && c.cells.empty() && c.job->rank > rank;
}

void Cluster::preemptFor(const Job& job, std::uint32_t tasks, TimePoint now) {
    const JobSpec& s = job.spec;
    if (job.rank == Priority::low) return;
    const auto rank = static_cast<std::size_t>(job.rank);
    Planned planned;  // room that is being made already
    for (const auto& [machine, for_] : reclaimedFor_) {
        if (for_ != &job) continue;
        ++planned[machine].tasks;
        if (--tasks == 0) return;
    }
    for (tasks = std::min(tasks, stoppedAtOnce); tasks > 0; --tasks) {
        // Choose the machine on which stopping the least recent work makes room.
        MachineIndex best = noMachine;
        std::vector<std::size_t> victims;
        double bestLoss = std::numeric_limits<double>::infinity();
        const auto weigh = [&](MachineIndex i) {
            ++visitedMachines_;
            const Machine& m = machines_[i];
            Demand room = capacityOnceStopped(m);
            const auto [from, to] = reclaimedFor_.equal_range(i);
            for (auto p = from; p != to; ++p)
                if (p->second != &job) room -= p->second->spec.demand;
            if (const auto own = planned.find(i); own != planned.end())
                for (std::uint32_t n = 0; n < own->second.tasks; ++n) room -= s.demand;
            std::vector<std::pair<double, std::size_t>> candidates;
            for (std::size_t k = 0; k < m.allocations.size(); ++k) {
                const Allocation& c = m.allocations[k];
                if (!mayPreempt(job.rank, c)) continue;
                const JobTask& t = c.job->tasks[c.task];
                const double ran = t.phase == Phase::running ? toSeconds(now - t.runningSince) : 0;
                const double lost = c.job->spec.checkpointS > 0 ? c.job->spec.saveS : ran;
                candidates.emplace_back(lost, k);
            }
            std::sort(candidates.begin(), candidates.end());
            std::vector<std::size_t> chosen;
            Demand taken = s.demand;
            double loss = startDelay(s, m);
            for (const auto& [lost, k] : candidates) {
                if (fits(s.demand, room)) break;
                room += m.allocations[k].job->spec.demand;
                taken -= m.allocations[k].job->spec.demand;
                loss += lost + 1;
                chosen.push_back(k);
            }
            if (!fits(s.demand, room) || loss >= bestLoss) return;
            // Room that must stay warm for others would not be taken: nobody is stopped for it.
            if (!capacityIndex_.keepsWarmCapacity(i, taken, job.rank)) return;
            bestLoss = loss;
            best = i;
            victims = std::move(chosen);
        };
        for (const auto& [key, pool] : capacityIndex_.pools()) {
            const auto& [type, zone, spot, lasting, mute, distance] = key;
            if (mute) continue;
            if (!allowed(job, type, zone, spot, planned)) continue;
            std::size_t looked = 0;
            pool.reclaimable[rank].visitFitting(s.demand, [&](MachineIndex i) {
                if (placeable(job, i, now)) weigh(i);
                return ++looked >= victimsLookedAt;
            });
        }
        if (best == noMachine) return;
        std::vector<std::pair<Job*, std::uint32_t>> stopped;
        for (const std::size_t k : victims)
            stopped.emplace_back(machines_[best].allocations[k].job,
                                 machines_[best].allocations[k].task);
        for (const auto& [victim, task] : stopped) stop(*victim, task);
        reclaimedFor_.emplace(best, &job);
        ++planned[best].tasks;
        refreshCapacities();
    }
}

}  // namespace basaltchute::scheduler
