#include "fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace basaltchute::fleet {

using namespace std::chrono_literals;
using workers::Machine;
using workers::Presence;

namespace {
constexpr Duration refusalPause = 15s;
constexpr unsigned maxPerRequest = 50, maxPerDeletion = 100;  // the cloud takes no more
constexpr Duration rise = 6s, fall = 40s;  // of the target for classes whose starts may wait
constexpr double warmMargin = 4;           // of a warm class's peak: jobs come in bursts
constexpr Duration worthDeleting = 10s;    // of a silent machine's lease still to run
constexpr double movedShare = 0.6;         // of a machine that replicas may use when it is returned
constexpr double runMargin = 2.0;          // owners' estimates of run times are rough
constexpr Duration reportDelay = 1500ms;
constexpr std::uint32_t askedInVain = 2;
constexpr std::size_t fewDying = 3, sweepMost = 300;
constexpr Duration sweepAge = 2500ms;   // a machine heard of since then is hardly dead
constexpr Duration lendingDelay = 60s;  // of borrowers' time: machines boot, and orders travel
constexpr Duration foundNoRoom = 10s;
constexpr Duration patientSpan = 600s;  // for borrowing work that no objective hurries any more
constexpr Duration spareHold = 30s;     // how long an idle machine beyond the target is kept
}  // namespace

void Fleet::listed(const std::vector<Listed>& all, TimePoint now) {
    everListed_ = true;
    namesBefore_ = std::exchange(names_, {});
    for (const auto& l : all) {
        const auto index = cluster_.machines().find(l.name);
        names_.insert(l.name);
        if (index) cluster_.setAddress(*index, l.address);
        if (index && cluster_.machines()[*index].presence == Presence::gone) continue;
        if (l.status == "failed") {
            dead_.insert(l.name);
            continue;
        }
        if (index && cluster_.machines()[*index].up()) {
            coming_.erase(l.name);
            continue;
        }
        const TimePoint since = now - fromSeconds(l.ageS);
        auto [it, fresh] = coming_.try_emplace(l.name, Coming{{l.type, l.zone, l.spot}, since});
        it->second.starting = l.status == "starting";
    }
}

void Fleet::replaceStuck(TimePoint now) {
    const auto& s = cluster_.settings();
    for (auto it = coming_.begin(); it != coming_.end();) {
        const auto index = cluster_.machines().find(it->first);
        if (index && cluster_.machines()[*index].presence != Presence::expected) {
            it = coming_.erase(it);
            continue;
        }
        const auto type = cluster_.catalogue().find(std::get<0>(it->second.pool));
        const Duration boot = type == cluster_.catalogue().end() ? 60s : type->second.boot;
        // Some boots never end, and are charged until the machine is deleted. The list lags, so
        // one that is up may still be listed as starting; and just after a take-over a machine
        // that has not reported yet only has not found the new leader. Deleting those cost a
        // whole fleet once.
        const bool overdue = now - it->second.since > boot * 3 + s.listLag * 2;
        const bool wouldHaveReported = now - since_ > s.lease + s.reportEvery * 2;
        if (it->second.starting && overdue && wouldHaveReported) {
            spdlog::warn("machine {} never came up: replacing it", it->first);
            dead_.insert(it->first);
            it = coming_.erase(it);
            continue;
        }
        ++it;
    }
}

void Fleet::measure(TimePoint now) {
    for (auto& [name, c] : classes_) c.now = 0;
    for (const Job* job : cluster_.openJobs()) {
        // What fails wherever it goes asks for no machines.
        if (job->suspect) continue;
        ClassDemand& c = classes_[job->spec.jobClass];
        c.borrows = cluster_.borrows(*job);
        c.spotAllowed = job->spec.spotAllowed;
        c.each = job->spec.demand;
        const double each = job->spec.demand.cores;
        c.now += each * (job->spec.tasks - job->doneCount);
        c.largestJob = std::max(c.largestJob, each * job->spec.tasks);
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
    warm_ = false;
    for (auto& [name, c] : classes_) {
        c.warm = std::any_of(cluster_.settings().objectives.begin(),
                             cluster_.settings().objectives.end(),
                             [&](const auto& o) { return o.jobClass == name && o.kind == "wait"; });
        if (c.borrows) continue;
        c.smooth += (c.now - c.smooth) * (c.now > c.smooth ? up : down);
        c.peak = std::max(c.peak, c.now);
        warm_ = warm_ || (c.warm && c.spotAllowed);
        double want = c.smooth;
        if (c.warm && c.spotAllowed)
            want = cluster_.openJobs().empty() ? 0 : c.peak * warmMargin + c.largestJob;
        // Services: what runs, and room for a few more at once.
        if (c.warm && !c.spotAllowed) want = c.now * 1.1 + 4 * c.largestJob;
        (c.spotAllowed ? target_.spot : target_.ordinary) += want;
    }
    // What such work uses of ordinary machines it keeps until it has run, as far as there are no
    // spot machines for it; idle room for replicas that it fills meanwhile is no reason to rent.
    for (const auto& m : cluster_.machines()) {
        if (!m.up() || m.spot) continue;
        for (const auto& c : m.charges)
            if (c.job->spec.spotAllowed && !cluster_.borrows(*c.job))
                target_.ordinaryUsed += c.job->spec.demand.cores;
    }
    target_.ordinaryUsed =
        std::min(target_.ordinaryUsed, std::max(0.0, target_.spot - have(true).spot));
    target_.late = lackForDeadlines(now);
    target_.spot += lackForBorrowers(now);
}

double Fleet::lackForBorrowers(TimePoint now) const {
    // Their work, spread over the time they have: a guest that is patient needs few cores for
    // long, and mostly finds them idle. Counted by classes like the rest, one guest's array once
    // had every machine of the cloud rented for it.
    double pace = 0, hurried = 0;  // cores: without hurry, and for objectives that can still be met
    std::set<const Job*> inHurry;
    for (const Job* job : cluster_.openJobs()) {
        if (!cluster_.borrows(*job) || job->suspect || !job->spec.spotAllowed) continue;
        const double run = std::max(1.0, toSeconds(cluster_.runTime(job->spec)));
        const auto turn = cluster_.turn(*job, now);
        const double left = turn.hopes ? toSeconds(turn.by - now - lendingDelay) : 0;
        const double over = turn.hopes ? run + std::max(0.0, left) : toSeconds(patientSpan);
        const double cores = job->spec.demand.cores;
        const double need = cores * (job->spec.tasks - job->doneCount) * run / over;
        if (!turn.hopes) {
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
    Have others;  // cores in use
    for (const auto& m : cluster_.machines())
        for (const auto& c : m.charges) {
            const double cores = c.job->spec.demand.cores;
            if (!cluster_.borrows(*c.job))
                (m.spot ? others.spot : others.ordinary) += cores;
            else if (m.spot && inHurry.contains(c.job))
                hurried += cores;
        }
    const Have there = have(false);
    // Of idle ordinary machines much is kept warm for replicas.
    const double idle = std::max(0.0, there.ordinary - others.ordinary) / 2 +
                        std::max(0.0, std::min(there.spot, target_.spot) - others.spot);
    return std::max(0.0, pace - idle) + hurried;
}

double Fleet::coresOf(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    return t == cluster_.catalogue().end() ? 0.0 : t->second.capacity.cores;
}

double Fleet::pricePerCore(const MachineType& t, bool spot) const {
    return (spot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
}

Fleet::Have Fleet::have(bool withComing) const {
    Have out;
    const auto count = [&](const std::string& type, bool spot) {
        // A machine too small for any task that may run on it serves nobody.
        if (spot && !servesSpot(type)) return;
        (spot ? out.spot : out.ordinary) += coresOf(type);
    };
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.sick && !m.recalledAt && !m.draining) count(m.type, m.spot);
    if (withComing)
        for (const auto& [name, c] : coming_) count(std::get<0>(c.pool), std::get<2>(c.pool));
    return out;
}

bool Fleet::servesSpot(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    if (t == cluster_.catalogue().end()) return false;
    // Machines are chosen for the work that they are rented for, unless there are only borrowers.
    const bool onlyBorrowers = std::none_of(
        classes_.begin(), classes_.end(),
        [](const auto& entry) { return entry.second.spotAllowed && !entry.second.borrows; });
    return std::any_of(classes_.begin(), classes_.end(), [&](const auto& entry) {
        const ClassDemand& c = entry.second;
        return c.spotAllowed && c.borrows == onlyBorrowers &&
               c.each.cores <= t->second.capacity.cores &&
               c.each.ramGb <= t->second.capacity.ramGb && c.each.gpus <= t->second.capacity.gpus;
    });
}

double Fleet::lackForDeadlines(TimePoint now) const {
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
        if (!s.spotAllowed || job->suspect || cluster_.borrows(*job) ||
            classes_.at(s.jobClass).warm)
            continue;
        running += s.demand.cores * job->boundCount;
        const double left = s.demand.cores * (s.tasks - job->doneCount);
        open += left;
        seconds += left * std::max(1.0, toSeconds(cluster_.runTime(s)));
        if (job->waitingCount() == 0 || now < job->notBefore) continue;
        const auto turn = cluster_.turn(*job, now);
        if (turn.hopes) queue.push_back({turn.by, s.demand.cores * job->waitingCount()});
    }
    if (queue.empty()) return 0;
    std::sort(queue.begin(), queue.end(), [](const Wait& a, const Wait& b) { return a.by < b.by; });
    const double run = runMargin * seconds / open;
    const double rate = std::max(running, have(true).spot) / run;  // cores that come free a second
    double lack = 0, ahead = 0;
    for (const Wait& w : queue) {
        ahead += w.cores;
        lack = std::max(lack, ahead - rate * toSeconds(w.by - now));
    }
    return lack;
}

std::uint32_t Fleet::heldOf(const std::string& type) const {
    const auto it = cluster_.operatorSettings().held.find(type);
    return it == cluster_.operatorSettings().held.end() ? 0 : it->second;
}
std::uint32_t Fleet::ordinaryOf(const std::string& type) const {
    std::uint32_t n = 0;
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.spot && !m.sick && !m.draining && m.type == type) ++n;
    for (const auto& [name, c] : coming_)
        if (std::get<0>(c.pool) == type && !std::get<2>(c.pool)) ++n;
    return n;
}

void Fleet::shrink(TimePoint now) {
    Have have = this->have(false);
    const double forSpot =
        warm_ ? std::max(0.0, target_.spot - have.spot) : target_.ordinaryUsed + target_.late;
    const auto surplus = [&](const Machine& m) {
        const double c = coresOf(m.type);
        if (m.spot && !servesSpot(m.type)) return true;
        if (m.spot) return have.spot - c >= target_.spot;
        if (heldOf(m.type) > 0 && ordinaryOf(m.type) <= heldOf(m.type)) return false;
        // Work that may use spot machines uses ordinary ones where it finds no others.
        return have.ordinary - c >= target_.ordinary + forSpot;
    };
    // Those with least on them first, and of those the dearest.
    std::vector<std::tuple<double, double, MachineIndex>> candidates;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (!cluster_.fresh(m, now) || m.sick || m.draining || now - m.upSince <= spareHold)
            continue;
        double used = 0;
        double lasting = 0;
        for (const auto& c : m.charges) {
            used += c.job->spec.demand.cores;
            if (c.job->spec.shape == Shape::service) lasting += c.job->spec.demand.cores;
        }
        // Emptying it would move replicas, which are away for a moment: not for many of them.
        if (lasting > coresOf(m.type) * movedShare) continue;
        candidates.emplace_back(used, -pricePerCore(cluster_.catalogue().at(m.type), m.spot), i);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [used, price, i] : candidates) {
        const Machine& m = cluster_.machines()[i];
        if (!surplus(m)) {
            surplusSince_.erase(i);
            continue;
        }
        const auto since = surplusSince_.try_emplace(i, now).first->second;
        if (now - since < spareHold) continue;
        spdlog::info("machine {} is beyond the target: no more work for it", m.name);
        cluster_.setDraining(i, true);
        (m.spot ? have.spot : have.ordinary) -= coresOf(m.type);
    }
}

void Fleet::emptyDraining(TimePoint now) {
    Have have = this->have(true);
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (!m.draining || !m.up()) continue;
        if (m.charges.empty()) {
            dead_.insert(m.name);
            continue;
        }
        // Wanted again before it was empty: nothing is cheaper than a machine that is up.
        const bool wanted = m.spot ? have.spot < target_.spot && servesSpot(m.type)
                                   : have.ordinary < target_.ordinary;
        if (wanted && !dead_.contains(m.name)) {
            cluster_.setDraining(i, false);
            surplusSince_.erase(i);
            (m.spot ? have.spot : have.ordinary) += coresOf(m.type);
            continue;
        }
        // A machine is not kept for those who run on what is idle.
        cluster_.stopBorrowers(i);
        cluster_.moveReplicas(i, now);
    }
}

void Fleet::giveUpSilent(TimePoint now, Plan& plan) {
    const auto& s = cluster_.settings();
    // Reports come as much as a quarter late.
    const Duration overdue = s.reportEvery * 5 / 4 + reportDelay;
    std::size_t up = 0, silent = 0;
    std::vector<const Machine*> lost;
    std::vector<std::pair<TimePoint, MachineIndex>> unheard;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (m.presence == Presence::gone || (!m.up() && m.charges.empty())) continue;
        ++up;
        // What runs on it is on record, and it has not found this leader; a machine is listed
        // until it is gone.
        if (!m.up() && now - since_ > s.listLag * 2 + reportDelay && !names_.contains(m.name) &&
            !namesBefore_.contains(m.name)) {
            dead_.insert(m.name);
            continue;
        }
        const TimePoint heard = m.up() ? m.heardAt : since_;
        // Announced to be taken, and silent since: it is.
        if (m.recalledAt && now > *m.recalledAt + s.reportEvery &&
            now - m.heardAt > s.reportEvery * 2) {
            dead_.insert(m.name);
            continue;
        }
        // Waiting for its lease would leave its tasks down for longer than this takes.
        if (m.charges.empty() || m.leaseEnd - now <= worthDeleting || m.address.empty()) continue;
        const bool late = now - heard > overdue;
        if (!late && m.unanswered == 0) {
            if (now - heard > sweepAge) unheard.emplace_back(heard, i);
            continue;
        }
        ++silent;
        // One that is not even late is asked once more: it may only have hung for a moment.
        if (m.unanswered < askedInVain + (late ? 0 : 1))
            plan.ask.push_back(i);
        else
            lost.push_back(&m);
    }
    // Machines die together, and reports are seconds apart: once a few do not answer, the others
    // are asked before their reports are late, those heard of longest ago first.
    std::size_t dying = 0;
    for (const auto& m : cluster_.machines()) dying += m.up() && m.unanswered > 0 ? 1 : 0;
    if (dying >= fewDying && now - sweptAt_ >= s.reportEvery / 2) {
        sweptAt_ = now;
        std::sort(unheard.begin(), unheard.end());
        if (unheard.size() > sweepMost) unheard.resize(sweepMost);
        for (const auto& [heard, i] : unheard) plan.ask.push_back(i);
    }
    // Many at once is a cut of this node's own network, or its own starvation; the machines are
    // well and deleting them would be the damage.
    if (silent > std::max<std::size_t>(1, up / 5)) return;
    for (const auto* m : lost) {
        if (dead_.insert(m->name).second)
            spdlog::warn("machine {} is silent: giving it up to free its {} tasks", m->name,
                         m->charges.size());
    }
}

Plan Fleet::plan(TimePoint now) {
    Plan plan;
    replaceStuck(now);
    for (const auto& m : cluster_.machines())
        if (m.up() && m.sick && m.charges.empty()) dead_.insert(m.name);
    measure(now);
    // After a take-over machines first have to find the leader.
    if (everListed_ && now - since_ > 5s) grow(now, plan);
    if (everListed_ && now - since_ > 10s) {
        giveUpSilent(now, plan);
        shrink(now);
        emptyDraining(now);
    }
    plan.remove.assign(dead_.begin(), dead_.end());
    if (plan.remove.size() > maxPerDeletion) plan.remove.resize(maxPerDeletion);
    return plan;
}

void Fleet::grow(TimePoint now, Plan& plan) {
    for (const auto& [pool, rent] : unsettled_) plan.rent.push_back(rent);
    for (const auto& [name, t] : cluster_.catalogue()) {
        std::uint32_t n = ordinaryOf(name);
        for (const auto& zone : t.zones) {
            const Pool pool{name, zone, false};
            if (n >= heldOf(name) || unsettled_.contains(pool) || refusedUntil_[pool] > now)
                continue;
            plan.rent.push_back(
                {nextBooking(), name, zone, false, std::min(maxPerRequest, heldOf(name) - n)});
            n += plan.rent.back().count;
        }
    }
    const Have have = this->have(true);
    const double spare = std::max(0.0, have.ordinary - target_.ordinary);
    rentFor(target_.ordinary - have.ordinary, Kind::ordinary, now, plan);
    // Where starts matter more than the price, ordinary machines that are there count; where
    // they do not, spot machines replace them and the ordinary ones go back.
    const double lack = target_.spot - have.spot - (warm_ ? spare : 0);
    const double left = rentFor(lack, Kind::spot, now, plan);
    if (warm_)
        rentFor(left, Kind::ordinaryForSpotWork, now, plan);
    else if (left > 0)
        rentFor(target_.late - std::max(0.0, spare - target_.ordinaryUsed),
                Kind::ordinaryForSpotWork, now, plan);
}

std::string Fleet::nextBooking() {
    // Never used again: the token is this leader's alone.
    return "b-" + std::to_string(cluster_.token()) + '-' + std::to_string(++bookings_);
}

double Fleet::rentFor(double lack, Kind kind, TimePoint now, Plan& plan) {
    const bool spot = kind == Kind::spot;
    std::vector<const MachineType*> byPrice;
    for (const auto& [name, t] : cluster_.catalogue())
        if (kind == Kind::ordinary || servesSpot(name)) byPrice.push_back(&t);
    std::sort(byPrice.begin(), byPrice.end(), [&](const auto* a, const auto* b) {
        return pricePerCore(*a, spot) < pricePerCore(*b, spot);
    });
    for (const auto* t : byPrice) {
        const double each = std::max(t->capacity.cores, 1.0);
        std::vector<const std::string*> zones;
        for (const auto& zone : t->zones) {
            const Pool pool{t->name, zone, spot};
            if (!unsettled_.contains(pool) && refusedUntil_[pool] <= now) zones.push_back(&zone);
        }
        // The same from each zone: replicas are spread, and a zone may be lost.
        for (std::size_t left = zones.size(); left > 0; --left) {
            if (lack <= 0) return 0;
            const auto n =
                static_cast<unsigned>(std::clamp(std::ceil(lack / each / static_cast<double>(left)),
                                                 1.0, static_cast<double>(maxPerRequest)));
            plan.rent.push_back({nextBooking(), t->name, *zones[left - 1], spot, n});
            lack -= n * each;
        }
    }
    return std::max(0.0, lack);
}

void Fleet::rented(const Rent& r, const std::vector<std::string>& names, TimePoint now) {
    const Pool pool{r.type, r.zone, r.spot};
    unsettled_.erase(pool);
    for (const auto& n : names) coming_.try_emplace(n, Coming{pool, now});
    // Filled only in part: there is no more for the moment.
    if (names.size() < r.count) refusedUntil_[pool] = now + refusalPause;
}

void Fleet::rentFailed(const Rent& r, bool settled, TimePoint now) {
    const Pool pool{r.type, r.zone, r.spot};
    if (settled) {
        unsettled_.erase(pool);
        refusedUntil_[pool] = now + refusalPause;
    } else {
        unsettled_[pool] = r;
    }
}

void Fleet::removed(const std::vector<std::string>& names, TimePoint now) {
    for (const auto& n : names) {
        dead_.erase(n);
        coming_.erase(n);
        cluster_.machineGone(cluster_.indexOf(n), now);
    }
}

}  // namespace basaltchute::fleet
