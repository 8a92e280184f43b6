#include "worker_api/command_sender.h"

#include <spdlog/spdlog.h>

namespace basaltchute::worker_api {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t cutAfter = 2;  // machines: a single one that does not answer is dead itself
constexpr Duration proven = 1500ms;  // since an answer: when many die at once, others answer yet
constexpr Duration probeEvery = 2s;
constexpr Duration probeTimeout = 500ms;
constexpr Duration questionTimeout = 500ms;
constexpr std::size_t witnesses = 8, witnessesAsked = 3;
}  // namespace

bool CommandSender::recentlyWorked(const ZonePath& way) const {
    return loop_.now() - way.lastAnswerAt < proven;
}

bool CommandSender::directPathFailing(const std::string& zone) const {
    const auto way = paths_.find(zone);
    return way != paths_.end() && way->second.unansweredMachines.size() >= cutAfter &&
           !recentlyWorked(way->second);
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
    if (scope.cancelled()) co_return attempt;
    const http::RequestOutcome& outcome = attempt.outcome;
    ZonePath& way = paths_[target.zone];
    if (outcome.answered) {
        way.lastAnswerAt = loop_.now();
        way.unansweredMachines.clear();
        rememberAnswer(way, target);
    } else {
        way.unansweredMachines.insert(target.machine);
    }
    if (const bool now = directPathFailing(target.zone); now != way.failureLogged) {
        way.failureLogged = now;
        spdlog::info("workers in {} are reached {}", target.zone,
                     now ? "through other nodes: they do not answer this one" : "directly again");
    }
    co_return attempt;
}

void CommandSender::rememberAnswer(ZonePath& way, const Target& target) {
    std::erase_if(way.recentlyAnswered,
                  [&](const Target& t) { return t.machine == target.machine; });
    way.recentlyAnswered.push_front(target);
    if (way.recentlyAnswered.size() > witnesses) way.recentlyAnswered.pop_back();
}

Task<bool> CommandSender::otherMachinesAnswer(Target target, Scope& scope) {
    std::vector<Target> some;
    for (const Target& t : paths_[target.zone].recentlyAnswered)
        if (t.machine != target.machine && some.size() < witnessesAsked) some.push_back(t);
    for (const Target& t : some) {
        http::Request question{"GET", "/inspect", ""};
        if (!directPathFailing(t.zone)) {
            const auto attempt = co_await sendDirect(t, std::move(question), probeTimeout, scope);
            if (attempt.outcome.answered) co_return true;
        } else {
            Target copy = t;
            const auto over =
                co_await relay_(std::move(copy), std::move(question), probeTimeout, scope);
            if (over.outcome.answered) co_return true;
        }
        if (scope.cancelled()) co_return false;
    }
    co_return false;
}

Task<void> CommandSender::probe(Target target, Scope& scope) {
    http::Request question{"GET", "/inspect", ""};
    co_await sendDirect(target, std::move(question), probeTimeout, scope);
}

Task<CommandSender::SendResult> CommandSender::send(Target target, http::Request request,
                                                    Duration timeout, bool insist, Scope& scope) {
    SendResult out;
    if (!directPathFailing(target.zone)) {
        http::Request copy = request;
        // A question is answered within milliseconds, and asked again if it is not.
        const Duration own = insist ? std::min(timeout, questionTimeout) : timeout;
        auto attempt = co_await sendDirect(target, std::move(copy), own, scope);
        const TimePoint sent = attempt.startedAt;
        out.outcome = std::move(attempt.outcome);
        if (!attempt.made || out.outcome.answered || scope.cancelled()) co_return out;
        out.mayExecuteLater = out.outcome.sent;
        // Where others answer, the fault is the machine's; a detour would only find it out later.
        const ZonePath& way = paths_[target.zone];
        // Before that, the way may have been cut since; and a node that was itself held up cannot
        // tell whether the machine was.
        const bool heldUp = loop_.now() - sent > own + own / 4;
        out.machineUnreachable = way.lastAnswerAt > sent && !heldUp;
        if (out.machineUnreachable || heldUp || (!insist && !directPathFailing(target.zone)))
            co_return out;
    } else if (ZonePath& way = paths_[target.zone]; loop_.now() >= way.nextProbe) {
        way.nextProbe = loop_.now() + probeEvery;
        scope.spawn(probe(target, scope));
    }
    auto over = co_await relay_(target, std::move(request), timeout, scope);
    out.outcome = std::move(over.outcome);
    out.mayExecuteLater = out.mayExecuteLater || (out.outcome.sent && !out.outcome.answered);
    if (scope.cancelled()) co_return out;
    if (out.outcome.answered) rememberAnswer(paths_[target.zone], target);
    // A peer that says nothing proves nothing: a leader cut off from the workers once deleted 386
    // sound machines, because it had asked them over a node that stood still.
    const int status = out.outcome.response.status;
    out.machineUnreachable =
        !out.outcome.answered && (status == 502 || status == 503 || status == 504);
    // Nor does one outside the zone: 2 to 8 s after a zone had been cut off, 106 sound machines in
    // it were given up by the word of nodes that could not reach them either.
    if (out.machineUnreachable && !over.sameZone)
        out.machineUnreachable = co_await otherMachinesAnswer(std::move(target), scope);
    co_return out;
}

}  // namespace basaltchute::worker_api
