#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaler/autoscaler.h"

// Failure detection: replaces machines that never finish booting, and removes machines that have
// stopped responding, so that their tasks can start elsewhere before the agents' leases run out.

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;
using worker_api::Machine;
using worker_api::Presence;

namespace {
/// An unresponsive machine whose lease runs out sooner than this is not deleted: its tasks are
/// released about as soon by the end of the lease.
constexpr Duration minLeaseLeftForRemoval = 10s;
/// How much later than scheduled a report may arrive.
constexpr Duration reportDelayAllowance = 1500ms;
/// Unanswered probes after which a machine with an overdue report is removed.
constexpr std::uint32_t probesBeforeRemoval = 2;
/// Once this many machines have unanswered probes, the other machines are probed as well.
constexpr std::size_t fullProbeThreshold = 3;
/// The most probes in one plan to machines in unreachable zones.
constexpr std::size_t maxUnreachableZoneProbes = 5;
constexpr std::size_t minSampleSize = 4;

/// The most machines that are probed at once when others are unresponsive. It grows with the
/// fleet, so that a large fleet is also probed within one lease.
std::size_t maxFullProbeSize(std::size_t machineCount) {
    return std::max<std::size_t>(300, machineCount / 4);
}
/// The most machines in a sample. It grows with the fleet, so that a large fleet is also probed
/// within one lease.
std::size_t maxSampleSize(std::size_t machineCount) {
    return std::max<std::size_t>(24, machineCount / 80);
}

/// Slightly less than the 1 s between two regular plans: each regular plan probes a sample, but the
/// additional plans that are made when machines are found unresponsive do not.
constexpr Duration minSampleInterval = 900ms;
/// A machine heard from within this time is almost certainly alive and is not probed. Also the
/// least time between two full probes.
constexpr Duration recentContact = 1500ms;

struct ZoneCount {
    std::size_t machines = 0, unresponsive = 0;
};
}  // namespace

void Autoscaler::replaceFailedBoots(TimePoint now) {
    const auto& settings = cluster_.settings();
    for (auto it = booting_.begin(); it != booting_.end();) {
        const auto index = cluster_.machines().find(it->first);
        const auto type = cluster_.catalogue().find(std::get<0>(it->second.pool));
        const Duration bootTime = type == cluster_.catalogue().end() ? 60s : type->second.bootTime;
        if (index && cluster_.machines()[*index].presence != Presence::expected) {
            const Machine& m = cluster_.machines()[*index];
            // A machine requested before this leader's term may have been ready long before it
            // found the new leader: its first report says nothing about its boot time.
            if (m.up() && it->second.requestedAt > startedAt_)
                statistics_.recordBoot(m.type, m.upSince - it->second.requestedAt, bootTime);
            it = booting_.erase(it);
            continue;
        }
        // Some machines never finish booting, and cost money until they are deleted. But the
        // cloud's list lags, so a machine that is up may still be listed as starting; and just
        // after a change of leader, a machine may not have reported because it has not found the
        // new leader yet. Deleting such machines once removed a whole fleet.
        const bool overdue =
            now - it->second.requestedAt > bootTime * 3 + settings.cloudListLag * 2;
        const bool wouldHaveReported =
            now - startedAt_ > settings.lease + settings.heartbeatInterval * 2;
        if (it->second.starting && overdue && wouldHaveReported) {
            spdlog::warn("machine did not finish booting, replacing it: machine={}", it->first);
            toTerminate_.insert(it->first);
            it = booting_.erase(it);
            continue;
        }
        ++it;
    }
}

void Autoscaler::removeUnresponsive(TimePoint now, ScalingPlan& plan) {
    const auto& settings = cluster_.settings();
    // A report may come late by a quarter of the report interval.
    const Duration overdue = settings.heartbeatInterval * 5 / 4 + reportDelayAllowance;
    std::map<std::string, ZoneCount> zones;
    std::size_t machineCount = 0, unreachableZoneProbes = 0;
    std::vector<const Machine*> unresponsive;
    std::vector<std::pair<TimePoint, MachineIndex>> sampleCandidates;  // by when last heard from
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (m.presence == Presence::gone || (!m.up() && m.allocations.empty())) continue;
        ZoneCount& zone = zones[m.up() ? m.zone : m.listedZone];
        ++zone.machines;
        ++machineCount;
        // The records say that a former leader placed tasks on this machine, and it has not
        // reported to this leader. The cloud lists a machine until it is gone: two lists without it
        // show that it no longer exists.
        if (!m.up() && now - startedAt_ > settings.cloudListLag * 2 + reportDelayAllowance &&
            !listedNames_.contains(m.name) && !previouslyListedNames_.contains(m.name)) {
            toTerminate_.insert(m.name);
            continue;
        }
        const TimePoint lastHeardAt = m.up() ? m.lastHeardAt : startedAt_;
        // The cloud announced when it would take this spot machine back. That time has passed and
        // the machine has been silent since, so it has been taken back.
        if (m.interruptionAt && now > *m.interruptionAt + settings.heartbeatInterval &&
            now - m.lastHeardAt > settings.heartbeatInterval * 2) {
            toTerminate_.insert(m.name);
            continue;
        }
        // Removing a machine is worthwhile only if its tasks would otherwise stay down for longer,
        // until its lease runs out. A machine without a known address cannot be probed.
        if (m.allocations.empty() || m.address.empty() ||
            cluster_.possiblyRunningUntil(m, now) - now <= minLeaseLeftForRemoval)
            continue;
        const bool reportOverdue = now - lastHeardAt > overdue;
        // A machine that answers probes but whose heartbeats do not arrive is probed about as often
        // as it would send heartbeats.
        const bool heartbeatsMissing = m.up() && !reportOverdue &&
                                       now - m.lastHeartbeatAt > overdue &&
                                       !cluster_.isZoneUnreachable(m.zone);
        if (heartbeatsMissing && now - m.lastHeardAt > settings.heartbeatInterval / 2)
            plan.probe.push_back(i);
        if (!reportOverdue && m.unansweredProbes == 0) {
            if (now - lastHeardAt > recentContact) sampleCandidates.emplace_back(lastHeardAt, i);
            continue;
        }
        // If a zone is unreachable together with its controllers, that explains why its machines
        // are silent, and none of them is removed. A few are probed to notice when the zone is
        // back. Unresponsive machines in other zones are still removed.
        if (cluster_.isZoneUnreachable(m.zone)) {
            if (++unreachableZoneProbes <= maxUnreachableZoneProbes) plan.probe.push_back(i);
            continue;
        }
        ++zone.unresponsive;
        // A machine whose report is not overdue gets one more probe: it may only have hung for a
        // moment.
        if (m.unansweredProbes < probesBeforeRemoval + (reportOverdue ? 0 : 1))
            plan.probe.push_back(i);
        else
            unresponsive.push_back(&m);
    }
    // Machines often fail together, but their reports are seconds apart. Once a few machines do not
    // answer, the others are probed before their reports are overdue, those not heard from for
    // longest first. A sample is probed all the time, so that the first few failures are found
    // within a second or two.
    std::size_t unanswered = 0;
    for (const auto& m : cluster_.machines())
        unanswered +=
            m.up() && m.unansweredProbes > 0 && !cluster_.isZoneUnreachable(m.zone) ? 1 : 0;
    std::sort(sampleCandidates.begin(), sampleCandidates.end());
    std::size_t sampleSize = 0;
    if (unanswered >= fullProbeThreshold && now - lastFullProbeAt_ >= recentContact) {
        lastFullProbeAt_ = now;
        sampleSize = std::min(sampleCandidates.size(), maxFullProbeSize(machineCount));
    } else if (now - lastSampleProbeAt_ >= minSampleInterval) {
        lastSampleProbeAt_ = now;
        sampleSize = std::min(sampleCandidates.size(), std::clamp(machineCount / 20, minSampleSize,
                                                                  maxSampleSize(machineCount)));
    }
    for (std::size_t i = 0; i < sampleSize; ++i)
        plan.probeSample.push_back(sampleCandidates[i].second);
    // If more than half of a zone's machines seem to fail at once, a network partition or a lack of
    // CPU time on this node is the likelier cause, whatever the probes say: the machines are
    // healthy, and deleting them would do the damage. Machines removed within the last lease count
    // as well; otherwise a long partition would have the zone's machines removed a few at a time.
    while (!recentlyRemoved_.empty() && now - recentlyRemoved_.front().first > settings.lease)
        recentlyRemoved_.pop_front();
    for (const auto& [at, zone] : recentlyRemoved_) ++zones[zone].unresponsive;
    for (const auto* m : unresponsive) {
        const std::string& zone = m->up() ? m->zone : m->listedZone;
        if (zones[zone].unresponsive > std::max<std::size_t>(1, zones[zone].machines / 2)) continue;
        if (!toTerminate_.insert(m->name).second) continue;
        recentlyRemoved_.emplace_back(now, zone);
        spdlog::warn("machine is unresponsive, removing it: machine={} tasks={}", m->name,
                     m->allocations.size());
    }
}

}  // namespace basaltchute::autoscaler
