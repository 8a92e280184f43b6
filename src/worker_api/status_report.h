#pragma once
// The messages between workers and controllers: status reports from the workers' agents, and
// commands to them in heartbeat responses and direct requests. Called by the controller and the
// leader's term, which receive and send them, and by the scheduler, which acts on the reports.
#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

/// `other`: a status that this version does not know; the task is still on the machine.
enum class TaskStatus { pulling, running, checkpointing, exited, other };
/// Why a task has exited, by its worker. Causes for which the launch was refused: `full`, the
/// machine has not enough free resources; `busy`, another attempt at the task is still there;
/// `noSuch`, the worker does not know the task. `other`: a cause that this version does not know.
enum class ExitCause { done, stopped, error, full, busy, noSuch, other };

/// One attempt at a task, as a worker reports it.
struct ReportedTask {
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    TaskStatus status = TaskStatus::other;
    ExitCause cause = ExitCause::other;  // of an exited task
    bool checkpointed = false;
};

/// What a worker reports about itself and its tasks, in a heartbeat or in a response to a direct
/// request.
struct StatusReport {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0, sequence = 0;
    FencingToken token = 0;                      // the highest that the worker has seen
    std::optional<Duration> interruptionNotice;  // until the cloud takes the spot machine back
    std::vector<ReportedTask> tasks;
    std::size_t bytes = 0;  // size of the message body
};

/// One attempt at running one task of a job. A worker never runs the same attempt twice.
struct TaskAttempt {
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    auto operator<=>(const TaskAttempt&) const = default;
};

/// Fetch the image and run the task. No effect if the worker already knows the attempt.
struct LaunchTask {
    TaskAttempt attempt;
};
/// End the task. It may write a checkpoint within the grace period, and is killed after it.
struct StopTask {
    TaskAttempt attempt;
    Duration gracePeriod{};
};
/// Stop reporting the exited attempt: its terminal status is durable.
struct ForgetTask {
    TaskAttempt attempt;
};
/// A command to a worker, in a heartbeat response or a direct request.
using Command = std::variant<LaunchTask, StopTask, ForgetTask>;

/// The attempt that the command is about.
inline const TaskAttempt& attemptOf(const Command& command) {
    return std::visit([](const auto& c) -> const TaskAttempt& { return c.attempt; }, command);
}

/// Nothing if the body is not a valid report.
std::optional<StatusReport> parseStatusReport(const std::string& body);
/// The body of a heartbeat response.
std::string encodeHeartbeatResponse(FencingToken token, const std::vector<Command>& commands);
/// The body of a direct request. Only the given incarnation of the agent executes it.
std::string encodeCommands(FencingToken token, std::uint64_t incarnation,
                           const std::vector<Command>& commands);

}  // namespace basaltchute::worker_api
