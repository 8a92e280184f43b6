#include "autoscaler/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;
using worker_api::Machine;
using worker_api::Presence;

namespace {
constexpr Duration refusalPause = 15s;
constexpr unsigned maxPerRequest = 50, maxPerDeletion = 100;  // the cloud takes no more
constexpr double movedShare = 0.6;    // of a machine that replicas may use when it is returned
constexpr Duration movedBefore = 8s;  // the end of a lease that is not renewed any more
constexpr Duration spareHold = 30s;   // how long an idle machine beyond the target is kept
}  // namespace

void Autoscaler::onMachineList(const std::vector<ListedMachine>& all, TimePoint now) {
    everListed_ = true;
    namesBefore_ = std::exchange(names_, {});
    for (const auto& l : all) {
        const auto index = cluster_.machines().find(l.name);
        names_.insert(l.name);
        if (index) cluster_.setAddress(*index, l.address, l.zone);
        if (index && cluster_.machines()[*index].presence == Presence::gone) continue;
        if (l.status == "failed") {
            toTerminate_.insert(l.name);
            continue;
        }
        if (index && cluster_.machines()[*index].up()) continue;
        const TimePoint since = now - fromSeconds(l.ageS);
        auto [it, fresh] =
            booting_.try_emplace(l.name, BootingMachine{{l.type, l.zone, l.spot}, since});
        it->second.starting = l.status == "starting";
    }
}

double Autoscaler::coresOf(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    return t == cluster_.catalogue().end() ? 0.0 : t->second.capacity.cores;
}

double Autoscaler::pricePerCore(const MachineType& t, bool spot) const {
    return (spot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
}

Autoscaler::Capacity Autoscaler::capacity(bool withComing) const {
    Capacity out;
    const auto count = [&](const std::string& type, bool spot) {
        // A machine too small for any task that may run on it serves nobody.
        if (spot && !servesSpot(type)) return;
        (spot ? out.spot : out.ordinary) += coresOf(type);
    };
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.quarantined && !m.inboundPartitioned && !m.interruptionAt && !m.draining)
            count(m.type, m.spot);
    if (withComing) {
        for (const auto& [name, c] : booting_) count(std::get<0>(c.pool), std::get<2>(c.pool));
        for (const auto& [pool, rent] : requestsInFlight_)
            for (unsigned n = 0; n < rent.count; ++n) count(rent.type, rent.spot);
    }
    return out;
}

bool Autoscaler::servesSpot(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    if (t == cluster_.catalogue().end()) return false;
    // Machines are chosen for the work that they are rented for, unless there are only borrowers.
    const bool onlyBorrowers = std::none_of(
        classes_.begin(), classes_.end(),
        [](const auto& entry) { return entry.second.spotAllowed && !entry.second.opportunistic; });
    return std::any_of(classes_.begin(), classes_.end(), [&](const auto& entry) {
        const ClassDemand& c = entry.second;
        return c.spotAllowed && c.opportunistic == onlyBorrowers &&
               c.perTask.cores <= t->second.capacity.cores &&
               c.perTask.ramGb <= t->second.capacity.ramGb &&
               c.perTask.gpus <= t->second.capacity.gpus;
    });
}

std::uint32_t Autoscaler::machinesOf(const std::string& type) const {
    const auto it = cluster_.operatorSettings().pooledMachines.find(type);
    return it == cluster_.operatorSettings().pooledMachines.end() ? 0 : it->second;
}
std::uint32_t Autoscaler::ordinaryOf(const std::string& type) const {
    std::uint32_t n = 0;
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.spot && !m.quarantined && !m.inboundPartitioned && !m.draining &&
            m.type == type)
            ++n;
    for (const auto& [name, c] : booting_)
        if (std::get<0>(c.pool) == type && !std::get<2>(c.pool)) ++n;
    for (const auto& [pool, rent] : requestsInFlight_)
        if (rent.type == type && !rent.spot) n += rent.count;
    return n;
}

void Autoscaler::scaleIn(TimePoint now) {
    Capacity have = this->capacity(false);
    const double forSpot = wantsWarmSpot_ ? std::max(0.0, target_.spot - have.spot)
                                          : target_.ordinaryUsed + target_.forDeadlines +
                                                target_.ordinaryForOpportunistic;
    const auto surplus = [&](const Machine& m) {
        const double c = coresOf(m.type);
        if (m.spot && !servesSpot(m.type)) return true;
        if (m.spot) return have.spot - c >= target_.spot;
        if (machinesOf(m.type) > 0 && ordinaryOf(m.type) <= machinesOf(m.type)) return false;
        // Work that may use spot machines uses ordinary ones where it finds no others.
        return have.ordinary - c >= target_.ordinary + forSpot;
    };
    // Those with least on them first, and of those the dearest.
    std::vector<std::tuple<double, double, MachineIndex>> candidates;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (!cluster_.isResponsive(m, now) || m.quarantined || m.draining ||
            now - m.upSince <= spareHold)
            continue;
        double used = 0;
        double lasting = 0;
        for (const auto& c : m.allocations) {
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

void Autoscaler::evacuateDraining(TimePoint now) {
    Capacity have = this->capacity(true);
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        // What a machine that does not report runs ends with its lease. Moved at the first sign
        // replicas were away more than by the leases: most such machines report again in time.
        if (m.outboundPartitioned && m.up() &&
            cluster_.leaseEndWithoutRenewal(m, now) - now < movedBefore)
            cluster_.migrateReplica(i, now);
        if (!m.draining || !m.up()) continue;
        if (m.allocations.empty()) {
            toTerminate_.insert(m.name);
            continue;
        }
        // Wanted again before it was empty: nothing is cheaper than a machine that is up.
        const bool wanted = m.spot ? have.spot < target_.spot && servesSpot(m.type)
                                   : have.ordinary < target_.ordinary;
        if (wanted && !toTerminate_.contains(m.name)) {
            cluster_.setDraining(i, false);
            surplusSince_.erase(i);
            (m.spot ? have.spot : have.ordinary) += coresOf(m.type);
            continue;
        }
        // A machine is not kept for those who run on what is idle.
        cluster_.stopOpportunisticTasks(i);
        cluster_.migrateReplica(i, now);
    }
}

ScalingPlan Autoscaler::plan(TimePoint now) {
    ScalingPlan plan;
    replaceStuck(now);
    for (const auto& m : cluster_.machines())
        if (m.up() && m.quarantined && m.allocations.empty()) toTerminate_.insert(m.name);
    measureDemand(now);
    // After a take-over machines first have to find the leader.
    if (everListed_ && now - since_ > 5s) scaleOut(now, plan);
    if (everListed_ && now - since_ > 10s) {
        removeUnresponsive(now, plan);
        scaleIn(now);
        evacuateDraining(now);
    }
    for (const ScaleOutRequest& r : plan.scaleOut) requestsInFlight_[{r.type, r.zone, r.spot}] = r;
    plan.terminate.assign(toTerminate_.begin(), toTerminate_.end());
    if (plan.terminate.size() > maxPerDeletion) plan.terminate.resize(maxPerDeletion);
    return plan;
}

void Autoscaler::scaleOut(TimePoint now, ScalingPlan& plan) {
    for (const auto& [pool, rent] : unresolvedRequests_)
        if (!requestsInFlight_.contains(pool)) plan.scaleOut.push_back(rent);
    for (const auto& [name, t] : cluster_.catalogue()) {
        std::uint32_t n = ordinaryOf(name);
        for (const auto& zone : t.zones) {
            const Pool pool{name, zone, false};
            if (n >= machinesOf(name) || !mayScaleOut(pool, now)) continue;
            plan.scaleOut.push_back(
                {nextBooking(), name, zone, false, std::min(maxPerRequest, machinesOf(name) - n)});
            n += plan.scaleOut.back().count;
        }
    }
    const Capacity have = this->capacity(true);
    const double spare = std::max(0.0, have.ordinary - target_.ordinary);
    scaleOutBy(target_.ordinary - have.ordinary, Kind::ordinary, now, plan);
    // Where starts matter more than the price, ordinary machines that are there count; where
    // they do not, spot machines replace them and the ordinary ones go back.
    const double lack = target_.spot - have.spot - (wantsWarmSpot_ ? spare : 0);
    const double left = scaleOutBy(lack, Kind::spot, now, plan);
    if (wantsWarmSpot_)
        scaleOutBy(left, Kind::ordinaryForSpotWork, now, plan);
    else if (left > 0 || target_.ordinaryForOpportunistic > 0)
        scaleOutBy(target_.forDeadlines + target_.ordinaryForOpportunistic -
                       std::max(0.0, spare - target_.ordinaryUsed),
                   Kind::ordinaryForSpotWork, now, plan);
}

bool Autoscaler::mayScaleOut(const Pool& pool, TimePoint now) const {
    const auto refused = backOffUntil_.find(pool);
    return !unresolvedRequests_.contains(pool) && !requestsInFlight_.contains(pool) &&
           (refused == backOffUntil_.end() || refused->second <= now);
}

std::string Autoscaler::nextBooking() {
    // Never used again: the token is this leader's alone.
    return "b-" + std::to_string(cluster_.token()) + '-' + std::to_string(++bookings_);
}

double Autoscaler::scaleOutBy(double lack, Kind kind, TimePoint now, ScalingPlan& plan) {
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
            // A plan may ask for the same pool for two reasons: the second one waits.
            const bool planned = std::any_of(
                plan.scaleOut.begin(), plan.scaleOut.end(), [&](const ScaleOutRequest& r) {
                    return r.type == t->name && r.zone == zone && r.spot == spot;
                });
            if (!planned && mayScaleOut(pool, now)) zones.push_back(&zone);
        }
        // The same from each zone: replicas are spread, and a zone may be lost.
        for (std::size_t left = zones.size(); left > 0; --left) {
            if (lack <= 0) return 0;
            const auto n =
                static_cast<unsigned>(std::clamp(std::ceil(lack / each / static_cast<double>(left)),
                                                 1.0, static_cast<double>(maxPerRequest)));
            plan.scaleOut.push_back({nextBooking(), t->name, *zones[left - 1], spot, n});
            lack -= n * each;
        }
    }
    return std::max(0.0, lack);
}

void Autoscaler::onScaledOut(const ScaleOutRequest& r, const std::vector<std::string>& names,
                             TimePoint now) {
    const Pool pool{r.type, r.zone, r.spot};
    unresolvedRequests_.erase(pool);
    requestsInFlight_.erase(pool);
    spdlog::debug("{} of {} {} machines of type {} in {}", names.size(), r.count,
                  r.spot ? "spot" : "ordinary", r.type, r.zone);
    for (const auto& n : names) booting_.try_emplace(n, BootingMachine{pool, now});
    // Filled only in part: there is no more for the moment.
    if (names.size() < r.count) backOffUntil_[pool] = now + refusalPause;
}

void Autoscaler::onScaleOutFailed(const ScaleOutRequest& r, bool settled, TimePoint now) {
    const Pool pool{r.type, r.zone, r.spot};
    requestsInFlight_.erase(pool);
    if (settled) {
        spdlog::debug("no {} machines of type {} in {}", r.spot ? "spot" : "ordinary", r.type,
                      r.zone);
        unresolvedRequests_.erase(pool);
        backOffUntil_[pool] = now + refusalPause;
    } else {
        unresolvedRequests_[pool] = r;
    }
}

void Autoscaler::onTerminated(const std::vector<std::string>& names, TimePoint now) {
    for (const auto& n : names) {
        toTerminate_.erase(n);
        booting_.erase(n);
        cluster_.onMachineDeleted(cluster_.indexOf(n), now);
    }
}

}  // namespace basaltchute::autoscaler
