#pragma once
#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

enum class TaskStatus { pulling, running, checkpointing, exited, other };
enum class ExitCause { done, stopped, error, full, busy, noSuch, other };

struct ReportedTask {
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    TaskStatus status = TaskStatus::other;
    ExitCause cause = ExitCause::other;
    bool checkpointed = false;
};

/// What a worker reports of itself and its tasks: as a heartbeat, or in its response to direct
/// commands.
struct StatusReport {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0, sequence = 0;
    FencingToken token = 0;
    std::optional<Duration> interruptionNotice;
    std::vector<ReportedTask> tasks;
    std::size_t bytes = 0;  // of the message body
};

/// One attempt at running one task of a job. A worker never runs the same attempt twice.
struct TaskAttempt {
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    auto operator<=>(const TaskAttempt&) const = default;
};

/// Fetch the image and run the task. A worker that knows the attempt already does nothing.
struct LaunchTask {
    TaskAttempt attempt;
};
/// End the task; it is killed after the grace period, in which it may write a checkpoint.
struct StopTask {
    TaskAttempt attempt;
    Duration gracePeriod{};
};
/// Its terminal status is on record, so that the worker need not report it any more.
struct ForgetTask {
    TaskAttempt attempt;
};
/// What a worker is told to do, in a heartbeat response or by a direct request.
using Command = std::variant<LaunchTask, StopTask, ForgetTask>;

/// The attempt that the command is about.
inline const TaskAttempt& attemptOf(const Command& command) {
    return std::visit([](const auto& c) -> const TaskAttempt& { return c.attempt; }, command);
}

/// Nothing if the body is not a report.
std::optional<StatusReport> parseStatusReport(const std::string& body);
/// The body of a heartbeat response.
std::string encodeHeartbeatResponse(FencingToken token, const std::vector<Command>& commands);
/// The body of a direct request, to the given incarnation of the agent only.
std::string encodeCommands(FencingToken token, std::uint64_t incarnation,
                           const std::vector<Command>& commands);

}  // namespace basaltchute::worker_api
