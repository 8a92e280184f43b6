#include "workers/reach.h"

#include <spdlog/spdlog.h>

namespace basaltchute::workers {

using namespace std::chrono_literals;

namespace {
constexpr std::size_t cutAfter = 2;  // machines: a single one that does not answer is dead itself
constexpr Duration proven = 1500ms;  // since an answer: when many die at once, others answer yet
constexpr Duration probeEvery = 2s;
constexpr Duration probePatience = 500ms;
}  // namespace

bool Reach::works(const Way& way) const {
    return loop_.now() - way.workedAt < proven;
}

bool Reach::cut(const std::string& zone) const {
    const auto way = ways_.find(zone);
    return way != ways_.end() && way->second.failed.size() >= cutAfter && !works(way->second);
}

Task<http::Outcome> Reach::direct(const Target& target, http::Request request, Duration patience,
                                  Scope& scope) {
    const auto client = direct_.to(target.machine, target.address);
    auto outcome = co_await client->request(std::move(request), patience, scope);
    if (scope.cancelled()) co_return outcome;
    Way& way = ways_[target.zone];
    if (outcome.answered) {
        way.workedAt = loop_.now();
        way.failed.clear();
    } else {
        way.failed.insert(target.machine);
    }
    if (const bool now = cut(target.zone); now != way.told) {
        way.told = now;
        spdlog::info("workers in {} are reached {}", target.zone,
                     now ? "through other nodes: they do not answer this one" : "directly again");
    }
    co_return outcome;
}

Task<void> Reach::probe(Target target, Scope& scope) {
    http::Request question{"GET", "/inspect", ""};
    co_await direct(target, std::move(question), probePatience, scope);
}

Task<Reach::Reached> Reach::request(Target target, http::Request request, Duration patience,
                                    bool insist, Scope& scope) {
    Reached out;
    if (!cut(target.zone)) {
        const TimePoint sent = loop_.now();
        http::Request copy = request;
        out.outcome = co_await direct(target, std::move(copy), patience, scope);
        if (out.outcome.answered || scope.cancelled()) co_return out;
        out.stray = out.outcome.sent;
        // Where others answer, the fault is the machine's; a detour would only find it out later.
        const Way& way = ways_[target.zone];
        out.proof = way.workedAt > sent;  // before that, the way may have been cut since
        if (out.proof || (!insist && !cut(target.zone))) co_return out;
    } else if (Way& way = ways_[target.zone]; loop_.now() >= way.nextProbe) {
        way.nextProbe = loop_.now() + probeEvery;
        scope.spawn(probe(target, scope));
    }
    out.outcome = co_await detour_(target, std::move(request), patience, scope);
    out.stray = out.stray || (out.outcome.sent && !out.outcome.answered);
    // A peer that says nothing proves nothing: a leader cut off from the workers once deleted 386
    // sound machines, because it had asked them over a node that stood still.
    const int status = out.outcome.response.status;
    out.proof = !out.outcome.answered && (status == 502 || status == 503 || status == 504);
    co_return out;
}

}  // namespace basaltchute::workers
