#pragma once
#include <optional>
#include <string>
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

/// A worker's report: from a beat, or as the body of an answer to direct orders.
struct StatusReport {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0, sequence = 0;
    FencingToken token = 0;
    std::optional<Duration> interruptionNotice;
    std::vector<ReportedTask> tasks;
    std::size_t bytes = 0;  // of the message
};

enum class CommandKind { launch, stop, forget };
struct Command {
    CommandKind kind;
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    Duration gracePeriod{};
};

std::optional<StatusReport> parseStatusReport(const std::string& body);
std::string encodeHeartbeatResponse(FencingToken token, const std::vector<Command>& orders);
std::string encodeCommands(FencingToken token, std::uint64_t session,
                           const std::vector<Command>& orders);

}  // namespace basaltchute::worker_api
