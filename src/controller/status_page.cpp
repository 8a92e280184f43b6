#include "controller/status_page.h"

#include "controller/responses.h"
#include "json/json.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBlockedJobsShown = 100;
constexpr std::size_t maxDependenciesShown = 5;
constexpr Duration leaderAbsenceTolerated = 4s;

std::uint64_t asCount(std::size_t count) {
    return count;
}

/// A job that waits for others: what for, and how much time that leaves.
void writeBlockedJob(json::Out& out, const scheduler::Cluster& cluster, const Job& job,
                     TimePoint now) {
    out.open().field("ref", job.spec.id).key("for").openArray();
    std::size_t dependencies = 0;
    for (const auto& id : cluster.dependencyGraph().unfinishedDependencies(job.spec.id))
        if (dependencies++ < maxDependenciesShown) out.value(id);
    out.closeArray().field("needs", asCount(dependencies));
    if (const auto slack = cluster.slack(job, now)) out.field("slackS", toSeconds(*slack));
    out.close();
}

void writeBlockedJobs(json::Out& out, const scheduler::Cluster& cluster, TimePoint now) {
    out.field("held", asCount(cluster.blockedJobs().size())).key("waiting").openArray();
    std::size_t shown = 0;
    for (const Job* job : cluster.blockedJobs()) {
        if (shown++ >= maxBlockedJobsShown) break;
        writeBlockedJob(out, cluster, *job, now);
    }
    out.closeArray();
}

void writeCells(json::Out& out, const scheduler::Cluster& cluster) {
    out.key("cells").open();
    for (const auto& [type, pool] : cluster.pools()) {
        out.key(type).open();
        out.field("freeZones", asCount(pool.freeCells(cells::Level::zone)));
        out.field("freeMachines", asCount(pool.freeCells(cells::Level::machine)));
        out.field("freeSlots", asCount(pool.freeCells(cells::Level::slot)));
        out.close();
    }
    out.close();
}

std::string machineText(const worker_api::Machine& machine) {
    json::Out out;
    out.open();
    out.field("name", machine.name).field("type", machine.type).field("zone", machine.zone);
    out.field("spot", machine.spot).field("up", machine.up()).field("sick", machine.quarantined);
    out.field("tasks", asCount(machine.allocations.size()));
    out.field("session", machine.incarnation);
    out.close();
    return out.text();
}

/// A JSON array with each machine on a line of its own: no line of a response may be longer than
/// 64 KiB, however many machines there are.
std::string machineList(const scheduler::Cluster& cluster) {
    std::string list;
    for (const auto& machine : cluster.machines()) {
        if (machine.presence == worker_api::Presence::gone) continue;
        if (!list.empty()) list += ",\n";
        list += machineText(machine);
    }
    return '[' + list + ']';
}

void writeCluster(json::Out& out, const StatusView& view) {
    const scheduler::Cluster& cluster = *view.cluster;
    out.field("jobs", asCount(cluster.jobCount()));
    out.field("open", asCount(cluster.openJobs().size()));
    out.field("unwritten", asCount(view.unwrittenRecords));
    writeBlockedJobs(out, cluster, view.now);
    writeCells(out, cluster);
    out.key("machines").raw(machineList(cluster));
}

}  // namespace

http::Response statusResponse(const StatusView& view) {
    json::Out out;
    out.open().field("node", view.node).field("leading", view.leading);
    if (view.leader) out.field("leader", view.leader->node).field("token", view.leader->token);
    out.field("connections", asCount(view.connections));
    if (view.cluster != nullptr) writeCluster(out, view);
    out.close();
    return {200, out.text()};
}

http::Response healthResponse(const HealthView& view) {
    // A moment without a leader must not cost this node its users: taking it back takes the
    // load balancer longer than an election. Without a leader anywhere, all nodes are alike.
    const bool othersServe = view.storeReachable && view.leaderKnown && !view.leaderReachable;
    // Partitioned from everything but its users: whoever keeps a connection to it would be refused
    // for as long as that lasts, and their jobs would be forgotten.
    const bool isolated =
        !view.leaderReachable && !view.storeReachable && view.hasPeers && !view.anyPeerConnected;
    const bool lasting = view.sinceLeaderSeen > leaderAbsenceTolerated;
    return jsonResponse((othersServe || isolated) && lasting ? 503 : 200, "{}");
}

}  // namespace basaltchute::controller
