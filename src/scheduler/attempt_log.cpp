#include "scheduler/attempt_log.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace basaltchute::scheduler {

using worker_api::CommandChannel;
using worker_api::ExitCause;
using worker_api::LaunchRecord;
using worker_api::Machine;
using worker_api::StopReason;
using worker_api::TaskAttempt;

namespace {

std::string describe(const Machine& machine, const TaskAttempt& attempt) {
    return fmt::format("task={}/{} attempt={} machine={} session={}", attempt.job, attempt.task,
                       attempt.attempt, machine.name, machine.incarnation);
}

std::string describe(const LaunchRecord& launch, TimePoint now) {
    std::string out = fmt::format("launch={}", toText(launch.channel));
    if (launch.channel)
        out += fmt::format(" token={} launched_s_ago={:.2f}", launch.token,
                           toSeconds(now - launch.sentAt));
    if (launch.confirmedAt)
        out += fmt::format(" confirmed_s_ago={:.2f}", toSeconds(now - *launch.confirmedAt));
    return out + fmt::format(" stop={}", toText(launch.stopReason));
}

}  // namespace

std::string_view toText(StopReason reason) {
    switch (reason) {
        case StopReason::none:
            return "none";
        case StopReason::preempted:
            return "preempted";
        case StopReason::moved:
            return "moved";
        case StopReason::interrupted:
            return "interrupted";
        case StopReason::jobClosed:
            return "job_closed";
        case StopReason::superseded:
            return "superseded";
        case StopReason::orphaned:
            return "orphaned";
    }
    return "unknown";
}

std::string_view toText(ExitCause cause) {
    switch (cause) {
        case ExitCause::done:
            return "done";
        case ExitCause::stopped:
            return "stopped";
        case ExitCause::error:
            return "error";
        case ExitCause::full:
            return "full";
        case ExitCause::busy:
            return "busy";
        case ExitCause::noSuch:
            return "no_such";
        case ExitCause::other:
            return "other";
    }
    return "unknown";
}

std::string_view toText(const std::optional<CommandChannel>& launchChannel) {
    if (!launchChannel) return "former_leader";
    return *launchChannel == CommandChannel::direct ? "direct" : "heartbeat_response";
}

void logLaunch(const Machine& machine, const TaskAttempt& attempt, const LaunchRecord& launch) {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    spdlog::debug("attempt launched: {} launch={} token={}", describe(machine, attempt),
                  toText(launch.channel), launch.token);
}

void logForgottenAttempt(const Machine& machine, const TaskAttempt& attempt,
                         const worker_api::TerminalStatus& status, ForgetReason reason,
                         TimePoint now) {
    if (!spdlog::should_log(spdlog::level::info)) return;
    spdlog::info("attempt ended: {} {} cause={} reported_s_ago={:.2f} forget={}",
                 describe(machine, attempt), describe(status.launch, now), toText(status.cause),
                 toSeconds(now - status.reportedAt),
                 reason == ForgetReason::tokenRaised ? "token_raised" : "older_token");
}

void logLostAttempt(const Machine& machine, const worker_api::Allocation& allocation,
                    const char* reason, TimePoint now) {
    if (!spdlog::should_log(spdlog::level::info)) return;
    const TaskAttempt attempt{allocation.job->spec.id, allocation.task, allocation.attempt};
    spdlog::info("attempt ended: {} {} cause={}", describe(machine, attempt),
                 describe(allocation.launch, now), reason);
}

void logRestartedAttempt(const Machine& machine, const TaskAttempt& attempt) {
    spdlog::warn("attempt runs again after its end: {}", describe(machine, attempt));
}

}  // namespace basaltchute::scheduler
