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
constexpr std::size_t maxComing = 24;
constexpr Duration smoothing = 40s;    // for classes whose starts may wait
constexpr double warmMargin = 4;       // of a warm class's peak: jobs come in bursts
constexpr Duration spareHold = 30s;    // how long an idle machine beyond the target is kept
}  // namespace

void Fleet::listed(const std::vector<Listed>& all, TimePoint now) {
    everListed_ = true;
    for (const auto& l : all) {
        const auto index = cluster_.machines().find(l.name);
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
        ClassDemand& c = classes_[job->spec.jobClass];
        c.spotAllowed = job->spec.spotAllowed;
        const double each = job->spec.demand.cores;
        c.now += each * (job->spec.tasks - job->doneCount);
        c.largestJob = std::max(c.largestJob, each * job->spec.tasks);
    }
    const double weight =
        measuredAt_ == TimePoint{} ? 1 : 1 - std::exp(-toSeconds(now - measuredAt_) / toSeconds(smoothing));
    measuredAt_ = now;
    target_ = {};
    for (auto& [name, c] : classes_) {
        c.warm = std::any_of(cluster_.settings().objectives.begin(),
                             cluster_.settings().objectives.end(), [&](const auto& o) {
                                 return o.jobClass == name && o.kind != "deadline";
                             });
        c.smooth += (c.now - c.smooth) * weight;
        c.peak = std::max(c.peak, c.now);
        double want = std::max(c.smooth, std::min(c.now, c.smooth * 2));
        if (c.warm && c.spotAllowed) want = cluster_.openJobs().empty() ? 0 : c.peak * warmMargin + c.largestJob;
        // Services: what runs, and room for a few more at once.
        if (c.warm && !c.spotAllowed) want = c.now * 1.1 + 4 * c.largestJob;
        (c.spotAllowed ? target_.spot : target_.ordinary) += want;
    }
}

void Fleet::shrink(TimePoint now) {
    double ordinary = 0, spot = 0;
    const auto cores = [&](const Machine& m) {
        const auto t = cluster_.catalogue().find(m.type);
        return t == cluster_.catalogue().end() ? 0.0 : t->second.capacity.cores;
    };
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.sick && !m.recalledAt) (m.spot ? spot : ordinary) += cores(m);
    // Work that may use spot machines also uses what ordinary ones have left.
    const double spotTarget = target_.spot;
    std::vector<MachineIndex> idle;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (cluster_.fresh(m, now) && m.charges.empty() && now - m.idleSince > spareHold)
            idle.push_back(i);
    }
    // The dearest per core first.
    std::sort(idle.begin(), idle.end(), [&](MachineIndex a, MachineIndex b) {
        const auto per = [&](MachineIndex i) {
            const Machine& m = cluster_.machines()[i];
            const auto& t = cluster_.catalogue().at(m.type);
            return (m.spot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
        };
        return per(a) > per(b);
    });
    for (const MachineIndex i : idle) {
        Machine& m = cluster_.machines()[i];
        const double c = cores(m);
        const double spare = ordinary - target_.ordinary;
        const bool surplus = m.spot ? spot + std::max(0.0, spare) - c >= spotTarget
                                    : spare - c >= std::max(0.0, spotTarget - spot);
        if (!surplus) continue;
        spdlog::info("machine {} is idle beyond the target: returning it", m.name);
        m.draining = true;
        dead_.insert(m.name);
        (m.spot ? spot : ordinary) -= c;
    }
}

Plan Fleet::plan(TimePoint now) {
    Plan plan;
    replaceStuck(now);
    for (const auto& m : cluster_.machines())
        if (m.up() && m.sick && m.charges.empty()) dead_.insert(m.name);
    const bool settled = now - since_ > 10s;  // after a take-over: machines still find the leader
    measure(now);
    if (everListed_ && settled) {
        shrink(now);
        grow(now, plan);
    }
    plan.remove.assign(dead_.begin(), dead_.end());
    if (plan.remove.size() > 100) plan.remove.resize(100);
    return plan;
}

void Fleet::grow(TimePoint now, Plan& plan) {
    for (const auto& [pool, rent] : unsettled_) plan.rent.push_back(rent);
    double ordinary = 0, spot = 0;
    const auto count = [&](const std::string& type, bool isSpot) {
        const auto t = cluster_.catalogue().find(type);
        if (t != cluster_.catalogue().end()) (isSpot ? spot : ordinary) += t->second.capacity.cores;
    };
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.sick && !m.draining && !m.recalledAt) count(m.type, m.spot);
    for (const auto& [name, c] : coming_) count(std::get<0>(c.pool), std::get<2>(c.pool));
    if (coming_.size() >= maxComing) return;
    const double spare = std::max(0.0, ordinary - target_.ordinary);
    rentFor(target_.ordinary - ordinary, false, now, plan);
    rentFor(target_.spot - spot - spare, true, now, plan);
}

void Fleet::rentFor(double lack, bool spot, TimePoint now, Plan& plan) {
    std::vector<const MachineType*> byPrice;
    for (const auto& [name, t] : cluster_.catalogue()) byPrice.push_back(&t);
    const auto sortFor = [&](bool asSpot) {
        std::sort(byPrice.begin(), byPrice.end(), [&](const auto* a, const auto* b) {
            const auto per = [&](const MachineType& t) {
                return (asSpot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
            };
            return per(*a) < per(*b);
        });
    };
    // Work that may use spot machines takes ordinary ones where no spot machine is to be had.
    for (const bool asSpot : spot ? std::vector<bool>{true, false} : std::vector<bool>{false}) {
        sortFor(asSpot);
        for (const auto* t : byPrice) {
            for (const auto& zone : t->zones) {
                const Pool pool{t->name, zone, asSpot};
                if (lack <= 0 || unsettled_.contains(pool) || refusedUntil_[pool] > now) continue;
                const auto n = static_cast<unsigned>(
                    std::clamp(std::ceil(lack / std::max(t->capacity.cores, 1.0)), 1.0, 4.0));
                plan.rent.push_back({"b-" + std::to_string(cluster_.token()) + '-' +
                                         std::to_string(++bookings_),
                                     t->name, zone, asSpot, n});
                lack -= n * t->capacity.cores;
            }
        }
    }
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
        cluster_.machineGone(cluster_.machines().indexOf(n), now);
    }
}

}  // namespace basaltchute::fleet
