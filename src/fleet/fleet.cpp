#include "fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::fleet {

using namespace std::chrono_literals;
using workers::Machine;
using workers::Presence;

namespace {
constexpr Duration refusalPause = 15s;
constexpr std::size_t maxComing = 20;
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
        const bool up = index && cluster_.machines()[*index].up();
        if (up) {
            coming_.erase(l.name);
        } else {
            const TimePoint since = now - fromSeconds(l.ageS);
            coming_.try_emplace(l.name, Coming{{l.type, l.zone, l.spot}, since});
        }
    }
}

Plan Fleet::plan(TimePoint now) {
    Plan plan;
    for (auto it = coming_.begin(); it != coming_.end();) {
        const auto index = cluster_.machines().find(it->first);
        if (index && cluster_.machines()[*index].presence != Presence::expected) {
            it = coming_.erase(it);
            continue;
        }
        const auto type = cluster_.catalogue().find(std::get<0>(it->second.pool));
        const Duration boot = type == cluster_.catalogue().end() ? 60s : type->second.boot;
        // Some boots never end, and are charged until the machine is deleted.
        if (now - it->second.since > boot * 4 + 10s) {
            spdlog::warn("machine {} never came up: replacing it", it->first);
            dead_.insert(it->first);
            it = coming_.erase(it);
            continue;
        }
        ++it;
    }
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        Machine& m = cluster_.machines()[i];
        if (m.up() && m.sick && m.charges.empty()) dead_.insert(m.name);
    }
    plan.remove.assign(dead_.begin(), dead_.end());
    if (plan.remove.size() > 100) plan.remove.resize(100);
    if (everListed_) wanted(now, plan);
    return plan;
}

void Fleet::wanted(TimePoint now, Plan& plan) {
    for (const auto& [pool, rent] : unsettled_) plan.rent.push_back(rent);
    // Work that cannot be placed now, in cores, split by whether spot machines may take it.
    double shortSpot = 0, shortOrdinary = 0;
    std::set<std::string> types;
    for (const Job* job : cluster_.openJobs()) {
        const double waiting = job->spec.tasks - job->doneCount - job->boundCount;
        (job->spec.spotAllowed ? shortSpot : shortOrdinary) += waiting * job->spec.demand.cores;
    }
    for (const auto& [name, c] : coming_) {
        const auto type = cluster_.catalogue().find(std::get<0>(c.pool));
        if (type == cluster_.catalogue().end()) continue;
        (std::get<2>(c.pool) ? shortSpot : shortOrdinary) -= type->second.capacity.cores;
    }
    if (coming_.size() >= maxComing) return;
    for (const bool spot : {false, true}) {
        double& lack = spot ? shortSpot : shortOrdinary;
        if (lack <= 0) continue;
        std::vector<const MachineType*> byPrice;
        for (const auto& [name, t] : cluster_.catalogue()) byPrice.push_back(&t);
        std::sort(byPrice.begin(), byPrice.end(), [&](const auto* a, const auto* b) {
            const auto per = [&](const MachineType& t) {
                return (spot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
            };
            return per(*a) < per(*b);
        });
        for (const auto* t : byPrice) {
            for (const auto& zone : t->zones) {
                const Pool pool{t->name, zone, spot};
                if (lack <= 0 || unsettled_.contains(pool) || refusedUntil_[pool] > now) continue;
                const auto n = static_cast<unsigned>(std::clamp(std::ceil(lack / t->capacity.cores), 1.0, 4.0));
                plan.rent.push_back({"b-" + std::to_string(cluster_.token()) + '-' +
                                         std::to_string(++bookings_),
                                     t->name, zone, spot, n});
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
