#include <algorithm>
#include <cmath>

#include "scheduler/cluster.h"

// Offers of room, and the plain recount of every index.

namespace basaltchute::scheduler {

using workers::Charge;
using workers::Machine;

namespace {
// A report over 64 KiB is refused, and a worker whose reports are refused loses its lease and all
// that runs there: it gets no more tasks while its next report might not fit.
constexpr std::size_t fullReportBytes = 48 * 1024;
constexpr std::size_t reportedTaskBytes = 96;
}  // namespace

void Cluster::changed(MachineIndex machine) {
    Machine& m = machines_[machine];
    if (m.changed) return;
    m.changed = true;
    changed_.push_back(machine);
}

bool Cluster::reportsFit(const Machine& m) const {
    std::size_t bytes = m.reportBytes;
    for (const auto& c : m.charges)
        if (!c.seen) bytes += reportedTaskBytes;
    return bytes <= fullReportBytes;
}

bool Cluster::open(const Machine& m) const {
    return fresh(m, now_) && reportsFit(m) && !m.sick && !m.draining && !m.recalledAt &&
           !away_.contains(m.zone) && now_ >= m.avoidUntil && !m.deaf &&
           catalogue_.contains(m.type);
}

Offer Cluster::offerOf(MachineIndex machine) const {
    const Machine& m = machines_[machine];
    Offer o;
    o.type = m.type;
    o.zone = m.zone;
    o.spot = m.spot;
    // Closed to replicas too they cost users more than by the leases that end: where every machine
    // is in use there is no other room, and replicas start again on them at once.
    o.mute = m.mute || now_ - m.beatAt >= settings_.reportEvery * 2;
    if (const auto pool = pools_.find(m.type); pool != pools_.end())
        o.distance = pool->second.distance(machine);
    o.free = freeOn(m);
    o.reclaimable.fill(o.free);
    for (const auto& [image, used] : m.images) o.images.push_back(image);
    for (const auto& c : m.charges) {
        for (std::size_t rank = 0; rank < Offer::preempting; ++rank)
            if (mustStop(c) || mayPreempt(static_cast<Priority>(rank), c))
                o.reclaimable[rank] += c.job->spec.demand;
        o.lasting = o.lasting || c.job->spec.shape == Shape::service;
        if (!m.images.contains(c.job->spec.image)) o.fetching.push_back(c.job->spec.image);
    }
    std::sort(o.fetching.begin(), o.fetching.end());
    o.fetching.erase(std::unique(o.fetching.begin(), o.fetching.end()), o.fetching.end());
    return o;
}

void Cluster::settle() {
    for (const MachineIndex i : changed_) {
        Machine& m = machines_[i];
        m.changed = false;
        ++looks_;
        const bool stopping = std::any_of(m.charges.begin(), m.charges.end(),
                                          [&](const Charge& c) { return mustStop(c); });
        if (!stopping || !m.up()) promises_.erase(i);
        if (open(m))
            room_.offer(i, offerOf(i));
        else
            room_.withdraw(i);
    }
    changed_.clear();
}

std::string Cluster::check() {
    settle();
    if (!room_.agrees(room_.recount())) return "the room index";
    std::unordered_map<std::string, Demand> used;
    std::map<const Job*, std::map<std::string, std::uint32_t>> zones;
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        const Machine& m = machines_[i];
        const Offer* offer = room_.of(i);
        if ((offer != nullptr) != open(m)) return "which machines are open: " + m.name;
        if (offer != nullptr && !(*offer == offerOf(i))) return "the offer of " + m.name;
        for (const auto& c : m.charges) {
            used[c.job->spec.team] += c.job->spec.demand;
            ++zones[c.job][m.zone];
        }
    }
    for (const auto& [team, use] : teamUse_) {
        Demand left = use;
        left -= used[team];
        if (std::abs(left.cores) + std::abs(left.ramGb) + std::abs(left.gpus) > 1e-3)
            return "the use of team " + team;
    }
    for (const auto& [id, job] : jobs_) {
        if (job->perZone != zones[job.get()]) return "the zones of " + id;
        std::uint32_t waiting = 0;
        for (const auto& t : job->tasks) waiting += t.state == TaskState::waiting ? 1 : 0;
        if (waiting != job->waitingCount()) return "the tasks that wait of " + id;
        if ((job->queuedAt != Job::notQueued) != (job->open() && !job->held && waiting > 0))
            return "whether " + id + " is listed";
        if (job->held != held_.contains(job.get()) || (job->held && !job->open()))
            return "whether " + id + " waits for others";
        if (!job->held && job->boundCount > 0 && chains_.waits(id)) return id + " is too early";
    }
    return chains_.check();
}

}  // namespace basaltchute::scheduler
