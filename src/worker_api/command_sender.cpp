#include "worker_api/command_sender.h"

#include <spdlog/spdlog.h>

namespace basaltchute::worker_api {

using namespace std::chrono_literals;

namespace {
/// A single machine that does not answer is dead itself.
constexpr std::size_t unansweredMachinesOfAFailingPath = 2;
/// After an answer the path works: when many machines die at once, others answer yet.
constexpr Duration answerValidity = 1500ms;
constexpr Duration pathProbeInterval = 2s;
constexpr Duration probeTimeout = 500ms;
/// A probe is answered within milliseconds, and repeated if it is not.
constexpr Duration maxOwnPathTimeoutOfProbes = 500ms;
constexpr std::size_t maxWitnesses = 8;
constexpr std::size_t maxWitnessesProbed = 3;
}  // namespace

bool CommandSender::recentlyWorked(const ZonePath& path) const {
    return loop_.now() - path.lastAnswerAt < answerValidity;
}

bool CommandSender::directPathFailing(const std::string& zone) const {
    const auto path = paths_.find(zone);
    return path != paths_.end() &&
           path->second.unansweredMachines.size() >= unansweredMachinesOfAFailingPath &&
           !recentlyWorked(path->second);
}

Task<CommandSender::DirectAttempt> CommandSender::sendDirect(const Target& target,
                                                             http::Request request,
                                                             Duration timeout, Scope& scope) {
    DirectAttempt attempt;
    // Without a bound, a leader that has to speak to thousands of machines at once takes every
    // socket of its process, and what then fails looks like the machines' fault.
    const auto permit = co_await requestsInFlight_.acquire(loop_.now() + timeout, scope);
    if (!permit) co_return attempt;
    attempt.made = true;
    attempt.startedAt = loop_.now();
    const auto client = connections_.clientFor(target.machine, target.address);
    attempt.outcome = co_await client->request(std::move(request), timeout, scope);
    if (!scope.cancelled()) recordOutcome(target, attempt.outcome.answered);
    co_return attempt;
}

void CommandSender::recordOutcome(const Target& target, bool answered) {
    ZonePath& path = paths_[target.zone];
    if (answered) {
        path.lastAnswerAt = loop_.now();
        path.unansweredMachines.clear();
        recordAnswer(path, target);
    } else {
        path.unansweredMachines.insert(target.machine);
    }
    const bool failing = directPathFailing(target.zone);
    if (failing == path.failureLogged) return;
    path.failureLogged = failing;
    if (failing)
        spdlog::info("agents unreachable directly zone={} relay=true", target.zone);
    else
        spdlog::info("agents reachable directly zone={} relay=false", target.zone);
}

void CommandSender::recordAnswer(ZonePath& path, const Target& target) {
    std::erase_if(path.recentlyAnswered,
                  [&](const Target& other) { return other.machine == target.machine; });
    path.recentlyAnswered.push_front(target);
    if (path.recentlyAnswered.size() > maxWitnesses) path.recentlyAnswered.pop_back();
}

Task<bool> CommandSender::otherMachinesAnswer(Target target, Scope& scope) {
    std::vector<Target> witnesses;
    for (const Target& other : paths_[target.zone].recentlyAnswered)
        if (other.machine != target.machine && witnesses.size() < maxWitnessesProbed)
            witnesses.push_back(other);
    for (const Target& witness : witnesses) {
        Target copy = witness;
        const bool answered = co_await answersProbe(std::move(copy), scope);
        if (answered) co_return true;
        if (scope.cancelled()) co_return false;
    }
    co_return false;
}

Task<bool> CommandSender::answersProbe(Target target, Scope& scope) {
    http::Request probe{"GET", "/inspect", ""};
    if (!directPathFailing(target.zone)) {
        const auto attempt = co_await sendDirect(target, std::move(probe), probeTimeout, scope);
        co_return attempt.outcome.answered;
    }
    const auto relayed = co_await relay_(std::move(target), std::move(probe), probeTimeout, scope);
    co_return relayed.outcome.answered;
}

void CommandSender::probePathIfDue(const Target& target, Scope& scope) {
    ZonePath& path = paths_[target.zone];
    if (loop_.now() < path.nextProbe) return;
    path.nextProbe = loop_.now() + pathProbeInterval;
    scope.spawn(probePath(target, scope));
}

Task<void> CommandSender::probePath(Target target, Scope& scope) {
    http::Request probe{"GET", "/inspect", ""};
    co_await sendDirect(target, std::move(probe), probeTimeout, scope);
}

Task<CommandSender::DirectResult> CommandSender::tryOwnPath(Target target, http::Request request,
                                                            Duration timeout, RelayPolicy policy,
                                                            Scope& scope) {
    DirectResult out;
    const bool isProbe = policy == RelayPolicy::whenUnanswered;
    const Duration ownTimeout = isProbe ? std::min(timeout, maxOwnPathTimeoutOfProbes) : timeout;
    auto attempt = co_await sendDirect(target, std::move(request), ownTimeout, scope);
    out.result.outcome = std::move(attempt.outcome);
    out.settled = !attempt.made || out.result.outcome.answered || scope.cancelled();
    if (out.settled) co_return out;
    out.result.mayExecuteLater = out.result.outcome.sent;
    // Where others answer, the fault is the machine's; a relay would only find it out later. An
    // answer from before proves nothing: the path may have failed since. And a node that was itself
    // delayed cannot tell whether the machine was.
    const bool delayed = loop_.now() - attempt.startedAt > ownTimeout + ownTimeout / 4;
    const bool othersAnswered = paths_[target.zone].lastAnswerAt > attempt.startedAt;
    out.result.machineUnreachable = othersAnswered && !delayed;
    const bool relayAllowed = isProbe || directPathFailing(target.zone);
    out.settled = out.result.machineUnreachable || delayed || !relayAllowed;
    co_return out;
}

Task<CommandSender::SendResult> CommandSender::sendThroughPeer(Target target, http::Request request,
                                                               Duration timeout, Scope& scope) {
    SendResult result;
    auto relayed = co_await relay_(target, std::move(request), timeout, scope);
    result.outcome = std::move(relayed.outcome);
    result.mayExecuteLater = result.outcome.sent && !result.outcome.answered;
    if (scope.cancelled()) co_return result;
    if (result.outcome.answered) recordAnswer(paths_[target.zone], target);
    // A peer that does not reply proves nothing: a leader cut off from the workers once deleted 386
    // sound machines, because it had probed them through a node that was suspended.
    result.machineUnreachable = !result.outcome.answered && relayed.failure.has_value();
    // Nor does one outside the zone: 2 to 8 s after a zone had been cut off, 106 sound machines in
    // it were given up by the replies of nodes that could not reach them either.
    if (result.machineUnreachable && !relayed.sameZone)
        result.machineUnreachable = co_await otherMachinesAnswer(std::move(target), scope);
    co_return result;
}

Task<CommandSender::SendResult> CommandSender::send(Target target, http::Request request,
                                                    Duration timeout, RelayPolicy policy,
                                                    Scope& scope) {
    bool copyMayExecute = false;
    if (directPathFailing(target.zone)) {
        probePathIfDue(target, scope);
    } else {
        http::Request copy = request;
        Target to = target;
        auto direct = co_await tryOwnPath(std::move(to), std::move(copy), timeout, policy, scope);
        if (direct.settled) co_return std::move(direct.result);
        copyMayExecute = direct.result.mayExecuteLater;
    }
    auto result = co_await sendThroughPeer(std::move(target), std::move(request), timeout, scope);
    result.mayExecuteLater = result.mayExecuteLater || copyMayExecute;
    co_return result;
}

}  // namespace basaltchute::worker_api
