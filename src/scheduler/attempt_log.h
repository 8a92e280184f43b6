#pragma once
// Log lines about single attempts, for operators who trace what became of a task. Called by
// `scheduler::Cluster`.
#include <string_view>

#include "worker_api/machine.h"

namespace basaltchute::scheduler {

/// Names as they stand in log lines and on the status page.
std::string_view toText(worker_api::StopReason reason);
std::string_view toText(worker_api::ExitCause cause);
std::string_view toText(const std::optional<worker_api::CommandChannel>& launchChannel);

/// Why a machine may be told to forget an attempt: no direct launch of it can start it again.
/// `olderToken`: all were sent under lower tokens. `tokenRaised`: the same, as the token is raised
/// by the message that tells it.
enum class ForgetReason { olderToken, tokenRaised };

/// Logs, at level debug, the first launch of an attempt.
void logLaunch(const worker_api::Machine& machine, const worker_api::TaskAttempt& attempt,
               const worker_api::LaunchRecord& launch);
/// Logs the end of an attempt that its machine has reported, as the machine is told to forget it.
void logForgottenAttempt(const worker_api::Machine& machine, const worker_api::TaskAttempt& attempt,
                         const worker_api::TerminalStatus& status, ForgetReason reason,
                         TimePoint now);
/// Logs the end of an attempt whose machine will not report it. `reason`: why it is not there.
void logLostAttempt(const worker_api::Machine& machine, const worker_api::Allocation& allocation,
                    const char* reason, TimePoint now);
/// Warns of an attempt that runs again although it had ended.
void logRestartedAttempt(const worker_api::Machine& machine,
                         const worker_api::TaskAttempt& attempt);

}  // namespace basaltchute::scheduler
