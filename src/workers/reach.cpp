#include "workers/reach.h"

#include <spdlog/spdlog.h>

namespace basaltchute::workers {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t cutAfter = 2;  // machines: a single one that does not answer is dead itself
constexpr Duration proven = 1500ms;  // since an answer: when many die at once, others answer yet
constexpr Duration probeEvery = 2s;
constexpr Duration probePatience = 500ms;
constexpr Duration questionPatience = 500ms;
constexpr std::size_t witnesses = 8, witnessesAsked = 3;
}  // namespace

bool Reach::works(const Way& way) const {
    return loop_.now() - way.workedAt < proven;
}

bool Reach::cut(const std::string& zone) const {
    const auto way = ways_.find(zone);
    return way != ways_.end() && way->second.failed.size() >= cutAfter && !works(way->second);
}

Task<Reach::Attempt> Reach::direct(const Target& target, http::Request request, Duration patience,
                                   Scope& scope) {
    Attempt out;
    // Without a bound, a leader that has to speak to thousands of machines at once takes every
    // socket of its process, and what then fails looks like the machines' fault.
    const auto permit = co_await underWay_.acquire(loop_.now() + patience, scope);
    if (!permit) co_return out;
    out.made = true;
    out.since = loop_.now();
    const auto client = direct_.to(target.machine, target.address);
    out.outcome = co_await client->request(std::move(request), patience, scope);
    if (scope.cancelled()) co_return out;
    const http::Outcome& outcome = out.outcome;
    Way& way = ways_[target.zone];
    if (outcome.answered) {
        way.workedAt = loop_.now();
        way.failed.clear();
        heardOf(way, target);
    } else {
        way.failed.insert(target.machine);
    }
    if (const bool now = cut(target.zone); now != way.told) {
        way.told = now;
        spdlog::info("workers in {} are reached {}", target.zone,
                     now ? "through other nodes: they do not answer this one" : "directly again");
    }
    co_return out;
}

void Reach::heardOf(Way& way, const Target& target) {
    std::erase_if(way.answered, [&](const Target& t) { return t.machine == target.machine; });
    way.answered.push_front(target);
    if (way.answered.size() > witnesses) way.answered.pop_back();
}

Task<bool> Reach::othersAnswer(Target target, Scope& scope) {
    std::vector<Target> some;
    for (const Target& t : ways_[target.zone].answered)
        if (t.machine != target.machine && some.size() < witnessesAsked) some.push_back(t);
    for (const Target& t : some) {
        http::Request question{"GET", "/inspect", ""};
        if (!cut(t.zone)) {
            const auto tried = co_await direct(t, std::move(question), probePatience, scope);
            if (tried.outcome.answered) co_return true;
        } else {
            Target copy = t;
            const auto over =
                co_await detour_(std::move(copy), std::move(question), probePatience, scope);
            if (over.outcome.answered) co_return true;
        }
        if (scope.cancelled()) co_return false;
    }
    co_return false;
}

Task<void> Reach::probe(Target target, Scope& scope) {
    http::Request question{"GET", "/inspect", ""};
    co_await direct(target, std::move(question), probePatience, scope);
}

Task<Reach::Reached> Reach::request(Target target, http::Request request, Duration patience,
                                    bool insist, Scope& scope) {
    Reached out;
    if (!cut(target.zone)) {
        http::Request copy = request;
        // A question is answered within milliseconds, and asked again if it is not.
        const Duration own = insist ? std::min(patience, questionPatience) : patience;
        auto tried = co_await direct(target, std::move(copy), own, scope);
        const TimePoint sent = tried.since;
        out.outcome = std::move(tried.outcome);
        if (!tried.made || out.outcome.answered || scope.cancelled()) co_return out;
        out.stray = out.outcome.sent;
        // Where others answer, the fault is the machine's; a detour would only find it out later.
        const Way& way = ways_[target.zone];
        // Before that, the way may have been cut since; and a node that was itself held up cannot
        // tell whether the machine was.
        const bool heldUp = loop_.now() - sent > own + own / 4;
        out.proof = way.workedAt > sent && !heldUp;
        if (out.proof || heldUp || (!insist && !cut(target.zone))) co_return out;
    } else if (Way& way = ways_[target.zone]; loop_.now() >= way.nextProbe) {
        way.nextProbe = loop_.now() + probeEvery;
        scope.spawn(probe(target, scope));
    }
    auto over = co_await detour_(target, std::move(request), patience, scope);
    out.outcome = std::move(over.outcome);
    out.stray = out.stray || (out.outcome.sent && !out.outcome.answered);
    if (scope.cancelled()) co_return out;
    if (out.outcome.answered) heardOf(ways_[target.zone], target);
    // A peer that says nothing proves nothing: a leader cut off from the workers once deleted 386
    // sound machines, because it had asked them over a node that stood still.
    const int status = out.outcome.response.status;
    out.proof = !out.outcome.answered && (status == 502 || status == 503 || status == 504);
    // Nor does one outside the zone: 2 to 8 s after a zone had been cut off, 106 sound machines in
    // it were given up by the word of nodes that could not reach them either.
    if (out.proof && !over.near) out.proof = co_await othersAnswer(std::move(target), scope);
    co_return out;
}

}  // namespace basaltchute::workers
