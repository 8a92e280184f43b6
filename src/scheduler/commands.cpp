#include <algorithm>

#include "scheduler/attempt_log.h"
#include "scheduler/cluster.h"

// The commands for a machine, sent in the response to its heartbeat or in a direct request.

namespace basaltchute::scheduler {

using namespace std::chrono_literals;
using worker_api::Allocation;
using worker_api::Command;
using worker_api::CommandChannel;
using worker_api::ForgetTask;
using worker_api::LaunchTask;
using worker_api::Machine;
using worker_api::StopReason;
using worker_api::StopTask;
using worker_api::TaskAttempt;

namespace {

constexpr std::size_t maxCommands = 300;             // a message is one line of at most 64 KiB
constexpr std::size_t maxForgets = maxCommands / 2;  // leaves half for launches and stops
constexpr double checkpointMarginS = 0.5;  // added to the checkpoint time that the owner states

TaskAttempt attemptIn(const Allocation& allocation) {
    return {allocation.job->spec.id, allocation.task, allocation.attempt};
}

}  // namespace

bool Cluster::mustStop(const Allocation& allocation) const {
    const JobTask& task = allocation.job->tasks[allocation.task];
    return allocation.orphaned || !allocation.job->open() || task.state != TaskState::bound ||
           task.attempt != allocation.attempt || task.stopping;
}

bool Cluster::allTasksBound(const Job& job) const {
    return job.boundCount + job.doneCount >= job.spec.tasks && job.layout.durable();
}

bool Cluster::mayLaunch(const Allocation& allocation) const {
    const Job& job = *allocation.job;
    // If the task were launched before its binding is durable, the next leader would not know of
    // it and could start it a second time.
    if (job.layout.rangeOf(allocation.task).durableVersion < allocation.recordVersion ||
        !job.accepted())
        return false;
    // A gang starts once all of its bindings are durable.
    return job.spec.shape != Shape::gang || allTasksBound(job);
}

FencingToken Cluster::commandToken(MachineIndex machine) const {
    return std::max(token_, machines_[machine].raisedToken);
}

FencingToken Cluster::commandToken(const std::string& machine) const {
    const auto index = machines_.find(machine);
    return index ? commandToken(*index) : token_;
}

void Cluster::addForgetCommands(MachineIndex machine, bool mayRaiseToken,
                                std::vector<Command>& out) {
    Machine& m = machines_[machine];
    // A direct request may be delivered again at any later time, also after it was answered. Once
    // the worker has forgotten an attempt, only a higher token keeps a copy of its launch from
    // starting it again. The worker takes the token of this message before it executes it.
    const bool fenced = commandToken(machine) > m.directLaunchToken;
    if (!fenced && !mayRaiseToken) return;
    const auto reason = fenced ? ForgetReason::olderToken : ForgetReason::tokenRaised;
    for (auto& [ended, status] : m.terminalStatuses) {
        if (out.size() >= maxForgets) break;
        const auto job = jobs_.find(ended.job);
        // The result of the exit must be durable first: once the worker forgets it, it is lost.
        if (job != jobs_.end() && ended.task < job->second->spec.tasks &&
            job->second->layout.rangeOf(ended.task).durableVersion < status.recordVersion)
            continue;
        out.emplace_back(ForgetTask{ended});
        if (!std::exchange(status.forgetSent, true))
            logForgottenAttempt(m, ended, status, reason, now_);
    }
    if (!out.empty() && !fenced) m.raisedToken = commandToken(machine) + 1;
}

void Cluster::addStopCommand(MachineIndex machine, Allocation& allocation, CommandChannel channel,
                             std::vector<Command>& out) {
    if (!allocation.state.launchSent()) return;
    if (channel == CommandChannel::direct && allocation.stopSent) return;
    if (allocation.launch.stopReason == StopReason::none)
        allocation.launch.stopReason = allocation.orphaned       ? StopReason::orphaned
                                       : !allocation.job->open() ? StopReason::jobClosed
                                                                 : StopReason::superseded;
    const JobSpec& spec = allocation.job->spec;
    const JobTask& task = allocation.job->tasks[allocation.task];
    const bool checkpoints =
        task.stopping && allocation.job->open() && spec.checkpointIntervalS > 0;
    if (!allocation.state.confirmed() && allocation.state.directLaunchUnresolved() &&
        (channel == CommandChannel::heartbeatResponse || mayLaunchDirectly(machine)))
        // An unanswered direct launch may still arrive. A launch followed by a stop makes the
        // attempt known to the worker and ends it, so that the late launch is a duplicate, which
        // does nothing.
        out.emplace_back(LaunchTask{attemptIn(allocation)});
    out.emplace_back(StopTask{attemptIn(allocation),
                              checkpoints
                                  ? fromSeconds(spec.checkpointDurationS + checkpointMarginS)
                                  : Duration::zero()});
    allocation.stopSent = true;
}

void Cluster::addLaunchCommand(MachineIndex machine, Allocation& allocation, CommandChannel channel,
                               std::vector<Command>& out) {
    if (allocation.state.confirmed() || allocation.state.adopted()) return;
    if (!mayLaunch(allocation)) return;
    if (channel == CommandChannel::direct &&
        (allocation.state.launchSent() || !mayLaunchDirectly(machine)))
        return;
    out.emplace_back(LaunchTask{attemptIn(allocation)});
    if (!allocation.launch.channel) {
        allocation.launch.channel = channel;
        allocation.launch.token = commandToken(machine);
        allocation.launch.incarnation = machines_[machine].incarnation;
        allocation.launch.sentAt = now_;
        logLaunch(machines_[machine], attemptIn(allocation), allocation.launch);
    }
    if (channel == CommandChannel::direct)
        allocation.state.onDirectLaunchSent();
    else
        allocation.state.onLaunchInResponse();
    allocation.job->tasks[allocation.task].phase = TaskPhase::launchSent;
}

void Cluster::addLaunchesAndStops(MachineIndex machine, CommandChannel channel,
                                  std::vector<Command>& out) {
    Machine& m = machines_[machine];
    for (const auto& t : m.unknownTasks) {
        if (out.size() >= maxCommands) break;
        out.emplace_back(StopTask{{t.job, t.task, t.attempt}, Duration::zero()});
    }
    for (Allocation& allocation : m.allocations) {
        if (out.size() >= maxCommands) break;
        if (mustStop(allocation))
            addStopCommand(machine, allocation, channel, out);
        else
            addLaunchCommand(machine, allocation, channel, out);
    }
}

std::vector<Command> Cluster::takeDirectCommands(MachineIndex machine, TimePoint now) {
    Machine& m = machines_[machine];
    if (m.commandInFlight || !m.up() || !isResponsive(m, now)) return {};
    now_ = now;
    std::vector<Command> out;
    addLaunchesAndStops(machine, CommandChannel::direct, out);
    m.commandInFlight = !out.empty();
    if (std::any_of(out.begin(), out.end(),
                    [](const Command& c) { return std::holds_alternative<LaunchTask>(c); }))
        m.directLaunchToken = commandToken(machine);
    return out;
}

void Cluster::onDirectCommandEnded(MachineIndex machine, bool unanswered) {
    Machine& m = machines_[machine];
    m.commandInFlight = false;
    for (Allocation& allocation : m.allocations) {
        if (unanswered) allocation.stopSent = false;  // it may not have arrived
        allocation.state.onDirectLaunchEnded(unanswered);
    }
}

}  // namespace basaltchute::scheduler
