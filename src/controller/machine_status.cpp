#include "controller/machine_status.h"

#include "json/json.h"
#include "scheduler/attempt_log.h"

namespace basaltchute::controller {

using worker_api::Allocation;
using worker_api::LaunchRecord;
using worker_api::Machine;
using worker_api::TaskAttempt;
using worker_api::TerminalStatus;

namespace {

void append(std::string& list, const json::Writer& entry) {
    list += (list.empty() ? "" : ",\n") + entry.text();
}

void writeAttempt(json::Writer& out, const TaskAttempt& attempt, const LaunchRecord& launch,
                  TimePoint now) {
    out.field("task", attempt.job + '/' + std::to_string(attempt.task))
        .field("attempt", attempt.attempt)
        .field("launch", std::string(scheduler::toText(launch.channel)));
    if (launch.channel)
        out.field("token", launch.token)
            .field("session", launch.incarnation)
            .field("launchedSAgo", toSeconds(now - launch.sentAt));
    if (launch.confirmedAt) out.field("confirmedSAgo", toSeconds(now - *launch.confirmedAt));
    out.field("stop", std::string(scheduler::toText(launch.stopReason)));
}

std::string attemptListJson(const Machine& m, TimePoint now) {
    std::string list;
    for (const Allocation& allocation : m.allocations) {
        json::Writer out;
        out.open();
        writeAttempt(out, {allocation.job->spec.id, allocation.task, allocation.attempt},
                     allocation.launch, now);
        append(list, out.close());
    }
    return '[' + list + ']';
}

std::string endedListJson(const Machine& m, TimePoint now) {
    std::string list;
    for (const auto& [attempt, status] : m.terminalStatuses) {
        json::Writer out;
        out.open();
        writeAttempt(out, attempt, status.launch, now);
        out.field("cause", std::string(scheduler::toText(status.cause)))
            .field("reportedSAgo", toSeconds(now - status.reportedAt))
            .field("forgetSent", status.forgetSent);
        append(list, out.close());
    }
    return '[' + list + ']';
}

}  // namespace

std::string machineListJson(const scheduler::Cluster& cluster) {
    std::string list;
    for (const auto& m : cluster.machines()) {
        if (m.presence == worker_api::Presence::gone) continue;
        json::Writer out;
        out.open().field("name", m.name).field("type", m.type).field("zone", m.zone);
        out.field("spot", m.spot).field("up", m.up()).field("sick", m.quarantined);
        out.field("tasks", static_cast<std::uint64_t>(m.allocations.size()));
        out.field("session", m.incarnation);
        append(list, out.close());
    }
    return '[' + list + ']';
}

std::optional<std::string> machineStatusJson(const scheduler::Cluster& cluster,
                                             const std::string& machine, TimePoint now) {
    const auto index = cluster.machines().find(machine);
    if (!index) return std::nullopt;
    const Machine& m = cluster.machines()[*index];
    json::Writer out;
    out.open().field("name", m.name).field("session", m.incarnation);
    out.field("token", cluster.commandToken(*index));
    out.key("attempts").raw(attemptListJson(m, now));
    out.key("ended").raw(endedListJson(m, now)).close();
    return out.text();
}

}  // namespace basaltchute::controller
