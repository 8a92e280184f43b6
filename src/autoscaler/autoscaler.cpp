#include "autoscaler/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;
using worker_api::Machine;
using worker_api::Presence;

namespace {
constexpr Duration scaleOutBackOff = 15s;  // for a pool, after a refusal
// Limits of the cloud's API.
constexpr unsigned maxMachinesPerRequest = 50;
constexpr unsigned maxMachinesPerDeletion = 100;
/// A surplus machine is not drained if services use more than this share of its cores.
constexpr double maxDrainedServiceShare = 0.6;
/// How long before the end of a lease that nothing renews any more replicas are moved.
constexpr Duration moveReplicasBeforeLeaseEnd = 8s;
/// How long a machine stays in service after it came up, and after it became surplus.
constexpr Duration surplusGracePeriod = 30s;
// After a change of leader the machines first have to find the new leader: until then the fleet
// seems smaller than it is, and its machines unresponsive.
constexpr Duration scaleOutDelayAfterElection = 5s;
constexpr Duration removalDelayAfterElection = 10s;
}  // namespace

void Autoscaler::onMachineList(const std::vector<ListedMachine>& all, TimePoint now) {
    listReceived_ = true;
    previouslyListedNames_ = std::exchange(listedNames_, {});
    for (const auto& listed : all) {
        const auto index = cluster_.machines().find(listed.name);
        listedNames_.insert(listed.name);
        if (index) cluster_.setAddress(*index, listed.address, listed.zone);
        if (index && cluster_.machines()[*index].presence == Presence::gone) continue;
        if (listed.status == "failed") {
            toTerminate_.insert(listed.name);
            continue;
        }
        if (index && cluster_.machines()[*index].up()) continue;
        const TimePoint requestedAt = now - fromSeconds(listed.ageSeconds);
        auto [it, inserted] = booting_.try_emplace(
            listed.name, BootingMachine{{listed.type, listed.zone, listed.spot}, requestedAt});
        it->second.starting = listed.status == "starting";
    }
}

double Autoscaler::coresOf(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    return t == cluster_.catalogue().end() ? 0.0 : t->second.capacity.cores;
}

double Autoscaler::pricePerCore(const MachineType& t, bool spot) const {
    return (spot ? t.spotPrice : t.price) / std::max(t.capacity.cores, 1.0);
}

Autoscaler::Capacity Autoscaler::capacity(bool includePending) const {
    Capacity out;
    const auto count = [&](const std::string& type, bool spot) {
        // A machine that is too small for all spot work is of no use to it.
        if (spot && !suitsSpotWork(type)) return;
        (spot ? out.spot : out.ordinary) += coresOf(type);
    };
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.quarantined && !m.inboundPartitioned && !m.interruptionAt && !m.draining)
            count(m.type, m.spot);
    if (includePending) {
        for (const auto& [name, machine] : booting_)
            count(std::get<0>(machine.pool), std::get<2>(machine.pool));
        for (const auto& [pool, request] : requestsInFlight_)
            for (unsigned n = 0; n < request.count; ++n) count(request.type, request.spot);
    }
    return out;
}

bool Autoscaler::suitsSpotWork(const std::string& type) const {
    const auto t = cluster_.catalogue().find(type);
    if (t == cluster_.catalogue().end()) return false;
    // Spot machines are chosen for the classes that are not opportunistic. Opportunistic classes
    // count only if there are no others.
    const bool onlyOpportunistic = std::none_of(
        classes_.begin(), classes_.end(),
        [](const auto& entry) { return entry.second.spotAllowed && !entry.second.opportunistic; });
    return std::any_of(classes_.begin(), classes_.end(), [&](const auto& entry) {
        const ClassDemand& c = entry.second;
        return c.spotAllowed && c.opportunistic == onlyOpportunistic &&
               c.perTask.cores <= t->second.capacity.cores &&
               c.perTask.ramGb <= t->second.capacity.ramGb &&
               c.perTask.gpus <= t->second.capacity.gpus;
    });
}

std::uint32_t Autoscaler::machinesKeptReady(const std::string& type) const {
    const auto it = cluster_.operatorSettings().pooledMachines.find(type);
    return it == cluster_.operatorSettings().pooledMachines.end() ? 0 : it->second;
}
std::uint32_t Autoscaler::ordinaryMachineCount(const std::string& type) const {
    std::uint32_t n = 0;
    for (const auto& m : cluster_.machines())
        if (m.up() && !m.spot && !m.quarantined && !m.inboundPartitioned && !m.draining &&
            m.type == type)
            ++n;
    for (const auto& [name, machine] : booting_)
        if (std::get<0>(machine.pool) == type && !std::get<2>(machine.pool)) ++n;
    for (const auto& [pool, request] : requestsInFlight_)
        if (request.type == type && !request.spot) n += request.count;
    return n;
}

void Autoscaler::scaleIn(TimePoint now) {
    Capacity have = this->capacity(false);
    const double ordinaryForSpotWork = wantsWarmSpot_ ? std::max(0.0, target_.spot - have.spot)
                                                      : target_.ordinaryUsedBySpotWork +
                                                            target_.extraForDeadlines +
                                                            target_.ordinaryForOpportunistic;
    const auto isSurplus = [&](const Machine& m) {
        const double cores = coresOf(m.type);
        if (m.spot && !suitsSpotWork(m.type)) return true;
        if (m.spot) return have.spot - cores >= target_.spot;
        if (machinesKeptReady(m.type) > 0 &&
            ordinaryMachineCount(m.type) <= machinesKeptReady(m.type))
            return false;
        // Spot work uses ordinary machines where it finds no spot machines.
        return have.ordinary - cores >= target_.ordinary + ordinaryForSpotWork;
    };
    // The machines with the fewest cores in use first, and among those the most expensive.
    std::vector<std::tuple<double, double, MachineIndex>> candidates;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (!cluster_.isResponsive(m, now) || m.quarantined || m.draining ||
            now - m.upSince <= surplusGracePeriod)
            continue;
        double usedCores = 0;
        double usedByServices = 0;
        for (const auto& allocation : m.allocations) {
            usedCores += allocation.job->spec.demand.cores;
            if (allocation.job->spec.shape == Shape::service)
                usedByServices += allocation.job->spec.demand.cores;
        }
        // Draining the machine would move its replicas, each of which is then down for a moment. A
        // machine with many of them is left alone.
        if (usedByServices > coresOf(m.type) * maxDrainedServiceShare) continue;
        candidates.emplace_back(usedCores, -pricePerCore(cluster_.catalogue().at(m.type), m.spot),
                                i);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [usedCores, price, i] : candidates) {
        const Machine& m = cluster_.machines()[i];
        if (!isSurplus(m)) {
            surplusSince_.erase(i);
            continue;
        }
        const auto since = surplusSince_.try_emplace(i, now).first->second;
        if (now - since < surplusGracePeriod) continue;
        spdlog::info("machine exceeds the target capacity, draining it: machine={}", m.name);
        cluster_.setDraining(i, true);
        (m.spot ? have.spot : have.ordinary) -= coresOf(m.type);
    }
}

void Autoscaler::evacuateDraining(TimePoint now) {
    Capacity have = this->capacity(true);
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        // The tasks of a machine whose heartbeats do not arrive end with its lease, so its replicas
        // are moved away shortly before that. Moving them at the first missing heartbeat kept
        // replicas down for longer in total than expiring leases did, because most such machines
        // report again in time.
        if (m.outboundPartitioned && m.up() &&
            cluster_.leaseEndWithoutRenewal(m, now) - now < moveReplicasBeforeLeaseEnd)
            cluster_.migrateReplica(i, now);
        if (!m.draining || !m.up()) continue;
        if (m.allocations.empty()) {
            toTerminate_.insert(m.name);
            continue;
        }
        // If its capacity is needed again before it is empty, it is kept: no new machine is cheaper
        // than one that is up already.
        const bool wanted = m.spot ? have.spot < target_.spot && suitsSpotWork(m.type)
                                   : have.ordinary < target_.ordinary;
        if (wanted && !toTerminate_.contains(m.name)) {
            cluster_.setDraining(i, false);
            surplusSince_.erase(i);
            (m.spot ? have.spot : have.ordinary) += coresOf(m.type);
            continue;
        }
        // No machine is kept for opportunistic work.
        cluster_.stopOpportunisticTasks(i);
        cluster_.migrateReplica(i, now);
    }
}

ScalingPlan Autoscaler::plan(TimePoint now) {
    ScalingPlan plan;
    replaceFailedBoots(now);
    for (const auto& m : cluster_.machines())
        if (m.up() && m.quarantined && m.allocations.empty()) toTerminate_.insert(m.name);
    measureDemand(now);
    if (listReceived_ && now - startedAt_ > scaleOutDelayAfterElection) scaleOut(now, plan);
    if (listReceived_ && now - startedAt_ > removalDelayAfterElection) {
        removeUnresponsive(now, plan);
        scaleIn(now);
        evacuateDraining(now);
    }
    for (const ScaleOutRequest& r : plan.scaleOut) requestsInFlight_[{r.type, r.zone, r.spot}] = r;
    plan.terminate.assign(toTerminate_.begin(), toTerminate_.end());
    if (plan.terminate.size() > maxMachinesPerDeletion)
        plan.terminate.resize(maxMachinesPerDeletion);
    return plan;
}

void Autoscaler::scaleOut(TimePoint now, ScalingPlan& plan) {
    for (const auto& [pool, request] : unresolvedRequests_)
        if (!requestsInFlight_.contains(pool)) plan.scaleOut.push_back(request);
    for (const auto& [name, t] : cluster_.catalogue()) {
        std::uint32_t n = ordinaryMachineCount(name);
        for (const auto& zone : t.zones) {
            const Pool pool{name, zone, false};
            if (n >= machinesKeptReady(name) || !mayScaleOut(pool, now)) continue;
            plan.scaleOut.push_back({nextRequestId(), name, zone, false,
                                     std::min(maxMachinesPerRequest, machinesKeptReady(name) - n)});
            n += plan.scaleOut.back().count;
        }
    }
    const Capacity have = this->capacity(true);
    const double surplusOrdinary = std::max(0.0, have.ordinary - target_.ordinary);
    requestCores(target_.ordinary - have.ordinary, MachineKind::ordinary, now, plan);
    // If spot work has to start soon, the surplus of ordinary machines counts for it. If not, spot
    // machines, which are cheaper, are created in their place, and the ordinary ones are deleted.
    const double missing = target_.spot - have.spot - (wantsWarmSpot_ ? surplusOrdinary : 0);
    const double stillMissing = requestCores(missing, MachineKind::spot, now, plan);
    if (wantsWarmSpot_)
        requestCores(stillMissing, MachineKind::ordinaryForSpotWork, now, plan);
    else if (stillMissing > 0 || target_.ordinaryForOpportunistic > 0)
        requestCores(target_.extraForDeadlines + target_.ordinaryForOpportunistic -
                         std::max(0.0, surplusOrdinary - target_.ordinaryUsedBySpotWork),
                     MachineKind::ordinaryForSpotWork, now, plan);
}

bool Autoscaler::mayScaleOut(const Pool& pool, TimePoint now) const {
    const auto refused = backOffUntil_.find(pool);
    return !unresolvedRequests_.contains(pool) && !requestsInFlight_.contains(pool) &&
           (refused == backOffUntil_.end() || refused->second <= now);
}

std::string Autoscaler::nextRequestId() {
    // Unique: no other leader has the same fencing token.
    return "b-" + std::to_string(cluster_.token()) + '-' + std::to_string(++requestCount_);
}

double Autoscaler::requestCores(double cores, MachineKind kind, TimePoint now, ScalingPlan& plan) {
    const bool spot = kind == MachineKind::spot;
    std::vector<const MachineType*> byPrice;
    for (const auto& [name, t] : cluster_.catalogue())
        if (kind == MachineKind::ordinary || suitsSpotWork(name)) byPrice.push_back(&t);
    std::sort(byPrice.begin(), byPrice.end(), [&](const auto* a, const auto* b) {
        return pricePerCore(*a, spot) < pricePerCore(*b, spot);
    });
    for (const auto* t : byPrice) {
        const double coresEach = std::max(t->capacity.cores, 1.0);
        std::vector<const std::string*> zones;
        for (const auto& zone : t->zones) {
            const Pool pool{t->name, zone, spot};
            // A plan may need the same pool for two reasons: the second request waits for the next
            // plan.
            const bool alreadyPlanned = std::any_of(
                plan.scaleOut.begin(), plan.scaleOut.end(), [&](const ScaleOutRequest& r) {
                    return r.type == t->name && r.zone == zone && r.spot == spot;
                });
            if (!alreadyPlanned && mayScaleOut(pool, now)) zones.push_back(&zone);
        }
        // The same number from each zone: replicas are spread over zones, and a zone may be lost.
        for (std::size_t zonesLeft = zones.size(); zonesLeft > 0; --zonesLeft) {
            if (cores <= 0) return 0;
            const auto n = static_cast<unsigned>(
                std::clamp(std::ceil(cores / coresEach / static_cast<double>(zonesLeft)), 1.0,
                           static_cast<double>(maxMachinesPerRequest)));
            plan.scaleOut.push_back({nextRequestId(), t->name, *zones[zonesLeft - 1], spot, n});
            cores -= n * coresEach;
        }
    }
    return std::max(0.0, cores);
}

void Autoscaler::onScaledOut(const ScaleOutRequest& request, const std::vector<std::string>& names,
                             TimePoint now) {
    const Pool pool{request.type, request.zone, request.spot};
    unresolvedRequests_.erase(pool);
    requestsInFlight_.erase(pool);
    spdlog::debug("machines created: created={} requested={} kind={} type={} zone={}", names.size(),
                  request.count, request.spot ? "spot" : "ordinary", request.type, request.zone);
    for (const auto& n : names) booting_.try_emplace(n, BootingMachine{pool, now});
    // Fewer machines than requested: the pool is exhausted for the moment.
    if (names.size() < request.count) backOffUntil_[pool] = now + scaleOutBackOff;
}

void Autoscaler::onScaleOutFailed(const ScaleOutRequest& request, bool refused, TimePoint now) {
    const Pool pool{request.type, request.zone, request.spot};
    requestsInFlight_.erase(pool);
    if (refused) {
        spdlog::debug("scale-out refused: kind={} type={} zone={}",
                      request.spot ? "spot" : "ordinary", request.type, request.zone);
        unresolvedRequests_.erase(pool);
        backOffUntil_[pool] = now + scaleOutBackOff;
    } else {
        unresolvedRequests_[pool] = request;
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
