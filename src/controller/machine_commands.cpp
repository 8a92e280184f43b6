#include "controller/machine_commands.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration commandTimeout = 2s;
constexpr Duration probeTimeout = 900ms;
constexpr std::size_t maxProbes = 3;  // a machine is given up after so many

/// The response holds a report: the commands were carried out, or were for another incarnation.
bool holdsReport(const http::RequestOutcome& outcome) {
    return outcome.answered && (outcome.response.status == 200 || outcome.response.status == 409);
}
}  // namespace

MachineCommands::MachineCommands(LeaderTermContext& context)
    : context_(context),
      sender_(context.loop, context.settings.directSockets(),
              [&context](auto target, auto request, Duration timeout, Scope& scope) {
                  return context.environment.relayToAgent(std::move(target), std::move(request),
                                                          timeout, scope);
              }),
      machineUnresponsive_(context.loop) {}

worker_api::CommandSender::Target MachineCommands::target(MachineIndex machine) const {
    const worker_api::Machine& m = context_.cluster.machines()[machine];
    return {machine, m.zone.empty() ? m.listedZone : m.zone, m.address};
}

Task<void> MachineCommands::sendDirectCommands(MachineIndex machine) {
    scheduler::Cluster& cluster = context_.cluster;
    while (!context_.scope.cancelled()) {
        auto commands = cluster.takeDirectCommands(machine, context_.loop.now());
        if (commands.empty()) co_return;
        SendResult result;
        if (context_.mayAct()) result = co_await sendCommands(machine, std::move(commands));
        if (context_.scope.cancelled()) co_return;
        const http::RequestOutcome& outcome = result.outcome;
        const bool answered = holdsReport(outcome);
        if (answered && !applyReport(outcome.response.body)) co_return;
        cluster.onDirectCommandEnded(machine,
                                     result.mayExecuteLater || (outcome.sent && !answered));
        context_.wakeScheduler();
        if (answered) continue;
        // The first sign that a machine is dead, often seconds before its report is late.
        if (result.machineUnreachable) cluster.onProbeUnanswered(machine);
        co_return;
    }
}

Task<MachineCommands::SendResult> MachineCommands::sendCommands(
    MachineIndex machine, std::vector<worker_api::Command> commands) {
    const std::uint64_t incarnation = context_.cluster.machines()[machine].incarnation;
    http::Request request{
        "POST", "/commands",
        worker_api::encodeCommands(context_.cluster.token(), incarnation, commands)};
    auto to = target(machine);
    auto result = co_await sender_.send(std::move(to), std::move(request), commandTimeout,
                                        RelayPolicy::whenPathFails, context_.scope);
    co_return result;
}

Task<MachineCommands::SendResult> MachineCommands::requestReport(MachineIndex machine) {
    http::Request request{"GET", "/inspect", ""};
    auto to = target(machine);
    auto result = co_await sender_.send(std::move(to), std::move(request), probeTimeout,
                                        RelayPolicy::whenUnanswered, context_.scope);
    co_return result;
}

bool MachineCommands::applyReport(const std::string& body) {
    const auto report = worker_api::parseStatusReport(body);
    if (!report) return true;
    if (report->token > context_.cluster.token()) {
        context_.election.stepDown("a worker has seen a higher token");
        return false;
    }
    context_.cluster.onStatusReport(*report, scheduler::Cluster::Source::commandResponse,
                                    context_.loop.now());
    return true;
}

void MachineCommands::applyProbeResponse(const http::RequestOutcome& outcome) {
    if (!outcome.answered || outcome.response.status != 200) return;
    if (applyReport(outcome.response.body)) context_.wakeScheduler();
}

Task<void> MachineCommands::probe(MachineIndex machine) {
    if (!probing_.insert(machine).second) co_return;
    for (std::size_t probes = 0; probes < maxProbes && !context_.scope.cancelled(); ++probes) {
        const auto result = co_await requestReport(machine);
        if (context_.scope.cancelled()) co_return;
        applyProbeResponse(result.outcome);
        // Given up only if others in its zone answer.
        if (!result.machineUnreachable) break;
        context_.cluster.onProbeUnanswered(machine);
        machineUnresponsive_.notify();
    }
    probing_.erase(machine);
}

Task<void> MachineCommands::probeInbound(MachineIndex machine) {
    const auto result = co_await requestReport(machine);
    if (!context_.scope.cancelled()) applyProbeResponse(result.outcome);
}

}  // namespace basaltchute::controller
