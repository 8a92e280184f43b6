#include "worker_api/command_sender.h"

#include <spdlog/spdlog.h>

namespace basaltchute::worker_api {

using namespace std::chrono_literals;

namespace {
/// Machines without an answer at which the path counts as failing. If only one does not answer,
/// that machine has failed itself.
constexpr std::size_t failingPathThreshold = 2;
/// For so long after an answer the path counts as working: when many machines fail at once, others
/// still answer.
constexpr Duration recentAnswerWindow = 1500ms;
/// Between two probes of a direct path that is failing.
constexpr Duration probeInterval = 2s;
constexpr Duration probeTimeout = 500ms;
/// For the direct copy of a request that is relayed if it is not answered.
constexpr Duration directTimeoutBeforeRelay = 500ms;
/// Machines in a zone that are remembered because they answered recently, and how many of them are
/// probed to find out whether the zone can be reached.
constexpr std::size_t maxRememberedMachines = 8, maxProbedMachines = 3;
}  // namespace

bool CommandSender::recentlyWorked(const ZonePath& path) const {
    return loop_.now() - path.lastAnswerAt < recentAnswerWindow;
}

bool CommandSender::directPathFailing(const std::string& zone) const {
    const auto path = paths_.find(zone);
    return path != paths_.end() && path->second.unansweredMachines.size() >= failingPathThreshold &&
           !recentlyWorked(path->second);
}

Task<CommandSender::DirectAttempt> CommandSender::sendDirect(const Target& target,
                                                             http::Request request,
                                                             Duration timeout, Scope& scope) {
    DirectAttempt attempt;
    // Without a limit, a leader with requests to thousands of machines at once takes every socket
    // of its process, and the failures that follow look like the machines' fault.
    const auto permit = co_await requestsInFlight_.acquire(loop_.now() + timeout, scope);
    if (!permit) co_return attempt;
    attempt.made = true;
    attempt.startedAt = loop_.now();
    const auto client = connections_.clientFor(target.machine, target.address);
    attempt.outcome = co_await client->request(std::move(request), timeout, scope);
    if (scope.cancelled()) co_return attempt;
    const http::RequestOutcome& outcome = attempt.outcome;
    ZonePath& path = paths_[target.zone];
    if (outcome.answered) {
        path.lastAnswerAt = loop_.now();
        path.unansweredMachines.clear();
        rememberAnswer(path, target);
    } else {
        path.unansweredMachines.insert(target.machine);
    }
    if (const bool failing = directPathFailing(target.zone); failing != path.failureLogged) {
        path.failureLogged = failing;
        spdlog::info("path to workers changed: zone={} path={}", target.zone,
                     failing ? "through_peers" : "direct");
    }
    co_return attempt;
}

void CommandSender::rememberAnswer(ZonePath& path, const Target& target) {
    std::erase_if(path.recentlyAnswered,
                  [&](const Target& t) { return t.machine == target.machine; });
    path.recentlyAnswered.push_front(target);
    if (path.recentlyAnswered.size() > maxRememberedMachines) path.recentlyAnswered.pop_back();
}

Task<bool> CommandSender::otherMachinesAnswer(Target target, Scope& scope) {
    std::vector<Target> candidates;
    for (const Target& t : paths_[target.zone].recentlyAnswered)
        if (t.machine != target.machine && candidates.size() < maxProbedMachines)
            candidates.push_back(t);
    for (const Target& t : candidates) {
        http::Request probeRequest{"GET", "/inspect", ""};
        if (!directPathFailing(t.zone)) {
            const auto attempt =
                co_await sendDirect(t, std::move(probeRequest), probeTimeout, scope);
            if (attempt.outcome.answered) co_return true;
        } else {
            Target copy = t;
            const auto relayed =
                co_await relay_(std::move(copy), std::move(probeRequest), probeTimeout, scope);
            if (relayed.outcome.answered) co_return true;
        }
        if (scope.cancelled()) co_return false;
    }
    co_return false;
}

Task<void> CommandSender::probe(Target target, Scope& scope) {
    http::Request probeRequest{"GET", "/inspect", ""};
    co_await sendDirect(target, std::move(probeRequest), probeTimeout, scope);
}

Task<CommandSender::SendResult> CommandSender::send(Target target, http::Request request,
                                                    Duration timeout, bool relayIfUnanswered,
                                                    Scope& scope) {
    SendResult out;
    if (!directPathFailing(target.zone)) {
        http::Request copy = request;
        // A probe is answered within milliseconds, and is sent again if it is not.
        const Duration directTimeout =
            relayIfUnanswered ? std::min(timeout, directTimeoutBeforeRelay) : timeout;
        auto attempt = co_await sendDirect(target, std::move(copy), directTimeout, scope);
        const TimePoint sentAt = attempt.startedAt;
        out.outcome = std::move(attempt.outcome);
        if (!attempt.made || out.outcome.answered || scope.cancelled()) co_return out;
        out.mayExecuteLater = out.outcome.sent;
        // If other machines have answered since this request was sent, this machine is at fault,
        // and a relayed copy would only show that later. Earlier answers prove nothing, since the
        // path may have failed after them. And if this node itself was delayed, it cannot tell
        // whether the machine was.
        const ZonePath& path = paths_[target.zone];
        const bool delayed = loop_.now() - sentAt > directTimeout + directTimeout / 4;
        out.machineUnreachable = path.lastAnswerAt > sentAt && !delayed;
        if (out.machineUnreachable || delayed ||
            (!relayIfUnanswered && !directPathFailing(target.zone)))
            co_return out;
    } else if (ZonePath& path = paths_[target.zone]; loop_.now() >= path.nextProbe) {
        path.nextProbe = loop_.now() + probeInterval;
        scope.spawn(probe(target, scope));
    }
    auto relayed = co_await relay_(target, std::move(request), timeout, scope);
    out.outcome = std::move(relayed.outcome);
    out.mayExecuteLater = out.mayExecuteLater || (out.outcome.sent && !out.outcome.answered);
    if (scope.cancelled()) co_return out;
    if (out.outcome.answered) rememberAnswer(paths_[target.zone], target);
    // If the peer itself does not answer, that proves nothing about the machine: a leader that was
    // cut off from the workers deleted 386 healthy machines because it had probed them through a
    // node that had stalled.
    const int status = out.outcome.response.status;
    out.machineUnreachable =
        !out.outcome.answered && (status == 502 || status == 503 || status == 504);
    // Nor does a failure at a peer outside the zone: 2 to 8 s after a zone had been cut off, 106
    // healthy machines in it were removed because nodes outside could not reach them either.
    if (out.machineUnreachable && !relayed.sameZone)
        out.machineUnreachable = co_await otherMachinesAnswer(std::move(target), scope);
    co_return out;
}

}  // namespace basaltchute::worker_api
