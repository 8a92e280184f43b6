#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaler/autoscaler.h"

// Machines that never came up, or that do not answer any more.

namespace basaltchute::autoscaler {

using namespace std::chrono_literals;
using worker_api::Machine;
using worker_api::Presence;

namespace {
constexpr Duration worthDeleting = 10s;  // of a silent machine's lease still to run
constexpr Duration reportDelay = 1500ms;
constexpr std::uint32_t askedInVain = 2;
constexpr std::size_t fewDying = 3, fewAsked = 5;
constexpr std::size_t sampleLeast = 4;
/// The most machines of a sweep and of a sample. Where a share of the fleet is more, it is the
/// share: a large fleet is swept within a lease as well.
std::size_t sweepMost(std::size_t up) {
    return std::max<std::size_t>(300, up / 4);
}
std::size_t sampleMost(std::size_t up) {
    return std::max<std::size_t>(24, up / 80);
}
constexpr Duration sampleEvery = 900ms;  // a plan is made each second, or when machines die
struct ZoneCount {
    std::size_t up = 0, silent = 0;
};
constexpr Duration sweepAge = 1500ms;  // a machine heard of since then is hardly dead
}  // namespace

void Autoscaler::replaceStuck(TimePoint now) {
    const auto& s = cluster_.settings();
    for (auto it = booting_.begin(); it != booting_.end();) {
        const auto index = cluster_.machines().find(it->first);
        const auto type = cluster_.catalogue().find(std::get<0>(it->second.pool));
        const Duration boot = type == cluster_.catalogue().end() ? 60s : type->second.bootTime;
        if (index && cluster_.machines()[*index].presence != Presence::expected) {
            const Machine& m = cluster_.machines()[*index];
            // Those of a former leader's days only had to find this one.
            if (m.up() && it->second.since > since_)
                statistics_.recordBoot(m.type, m.upSince - it->second.since, boot);
            it = booting_.erase(it);
            continue;
        }
        // Some boots never end, and are charged until the machine is deleted. The list lags, so
        // one that is up may still be listed as starting; and just after a take-over a machine
        // that has not reported yet only has not found the new leader. Deleting those cost a
        // whole fleet once.
        const bool overdue = now - it->second.since > boot * 3 + s.cloudListLag * 2;
        const bool wouldHaveReported = now - since_ > s.lease + s.heartbeatInterval * 2;
        if (it->second.starting && overdue && wouldHaveReported) {
            spdlog::warn("machine {} never came up: replacing it", it->first);
            toTerminate_.insert(it->first);
            it = booting_.erase(it);
            continue;
        }
        ++it;
    }
}

void Autoscaler::removeUnresponsive(TimePoint now, ScalingPlan& plan) {
    const auto& s = cluster_.settings();
    // Reports come as much as a quarter late.
    const Duration overdue = s.heartbeatInterval * 5 / 4 + reportDelay;
    std::map<std::string, ZoneCount> zones;
    std::size_t up = 0, askedAway = 0;
    std::vector<const Machine*> lost;
    std::vector<std::pair<TimePoint, MachineIndex>> unheard;
    for (MachineIndex i = 0; i < cluster_.machines().size(); ++i) {
        const Machine& m = cluster_.machines()[i];
        if (m.presence == Presence::gone || (!m.up() && m.allocations.empty())) continue;
        ZoneCount& zone = zones[m.up() ? m.zone : m.listedZone];
        ++zone.up;
        ++up;
        // What runs on it is on record, and it has not found this leader; a machine is listed
        // until it is gone.
        if (!m.up() && now - since_ > s.cloudListLag * 2 + reportDelay &&
            !names_.contains(m.name) && !namesBefore_.contains(m.name)) {
            toTerminate_.insert(m.name);
            continue;
        }
        const TimePoint heard = m.up() ? m.lastHeardAt : since_;
        // Announced to be taken, and silent since: it is.
        if (m.interruptionAt && now > *m.interruptionAt + s.heartbeatInterval &&
            now - m.lastHeardAt > s.heartbeatInterval * 2) {
            toTerminate_.insert(m.name);
            continue;
        }
        // Waiting for its lease would leave its tasks down for longer than this takes.
        if (m.allocations.empty() || m.address.empty() ||
            cluster_.possiblyRunningUntil(m, now) - now <= worthDeleting)
            continue;
        const bool late = now - heard > overdue;
        // One that answers but does not report is asked as often as it would report.
        const bool quiet = m.up() && !late && now - m.lastHeartbeatAt > overdue &&
                           !cluster_.isZoneUnreachable(m.zone);
        if (quiet && now - m.lastHeardAt > s.heartbeatInterval / 2) plan.probe.push_back(i);
        if (!late && m.unansweredProbes == 0) {
            if (now - heard > sweepAge) unheard.emplace_back(heard, i);
            continue;
        }
        // A zone that is away with its controllers explains the silence of its machines. A few
        // are asked, to see when it is back; it is no reason to keep the dead of other zones.
        if (cluster_.isZoneUnreachable(m.zone)) {
            if (++askedAway <= fewAsked) plan.probe.push_back(i);
            continue;
        }
        ++zone.silent;
        // One that is not even late is asked once more: it may only have hung for a moment.
        if (m.unansweredProbes < askedInVain + (late ? 0 : 1))
            plan.probe.push_back(i);
        else
            lost.push_back(&m);
    }
    // Machines die together, and reports are seconds apart: once a few do not answer, the others
    // are asked before their reports are late, those heard of longest ago first. So that the first
    // few are found within a second or two, a sample is always asked.
    std::size_t dying = 0;
    for (const auto& m : cluster_.machines())
        dying += m.up() && m.unansweredProbes > 0 && !cluster_.isZoneUnreachable(m.zone) ? 1 : 0;
    std::sort(unheard.begin(), unheard.end());
    std::size_t asked = 0;
    if (dying >= fewDying && now - lastFullProbeAt_ >= sweepAge) {
        lastFullProbeAt_ = now;
        asked = std::min(unheard.size(), sweepMost(up));
    } else if (now - lastSampleProbeAt_ >= sampleEvery) {
        lastSampleProbeAt_ = now;
        asked = std::min(unheard.size(), std::clamp(up / 20, sampleLeast, sampleMost(up)));
    }
    for (std::size_t i = 0; i < asked; ++i) plan.probeSample.push_back(unheard[i].second);
    // Most of a zone at once is rather a cut or this node's own starvation, whatever the evidence;
    // the machines are well and deleting them would be the damage. Those given up within a lease
    // count with them, or a long cut would take a part at a time.
    while (!recentlyLost_.empty() && now - recentlyLost_.front().first > s.lease)
        recentlyLost_.pop_front();
    for (const auto& [at, zone] : recentlyLost_) ++zones[zone].silent;
    for (const auto* m : lost) {
        const std::string& zone = m->up() ? m->zone : m->listedZone;
        if (zones[zone].silent > std::max<std::size_t>(1, zones[zone].up / 2)) continue;
        if (!toTerminate_.insert(m->name).second) continue;
        recentlyLost_.emplace_back(now, zone);
        spdlog::warn("machine {} is silent: giving it up to free its {} tasks", m->name,
                     m->allocations.size());
    }
}

}  // namespace basaltchute::autoscaler
