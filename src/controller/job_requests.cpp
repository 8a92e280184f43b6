#include "controller/job_requests.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/responses.h"
#include "jobs/codec.h"

namespace basaltchute::controller {

using namespace std::chrono_literals;

namespace {
constexpr Duration durabilityTimeout = 3s;
constexpr int maxRetryAfterS = 30;

/// Why the job can never run; empty if it was taken.
std::optional<std::string> refusalReason(scheduler::SubmitResult result) {
    switch (result) {
        case scheduler::SubmitResult::unknownTeam:
            return "unknown team";
        case scheduler::SubmitResult::fitsNoMachine:
            return "a task fits no allowed machine type";
        case scheduler::SubmitResult::overTeamLimit:
            return "the job needs more than its team's limit";
        case scheduler::SubmitResult::contradictoryPlacement:
            return "together and spread: its tasks have no place";
        case scheduler::SubmitResult::alreadyKnown:
        case scheduler::SubmitResult::accepted:
            break;
    }
    return std::nullopt;
}
}  // namespace

http::Response JobRequests::serviceUnavailable() const {
    http::Response response = errorResponse(503, "not now");
    const double drainSeconds =
        static_cast<double>(context_.writer.backlog()) / context_.settings.stateWriteRps;
    response.retryAfterS = static_cast<int>(std::clamp<double>(drainSeconds, 1, maxRetryAfterS));
    return response;
}

template <typename Fact>
Task<bool> JobRequests::waitUntilDurable(Fact fact) {
    const TimePoint until = context_.loop.now() + durabilityTimeout;
    while (!fact()) {
        // What the state service does not take now is refused now: the user learns when to
        // come back, and finds the job waiting for its turn.
        if (!context_.writer.healthy() || context_.loop.now() >= until || !context_.mayAct())
            co_return false;
        const Wake woke =
            co_await context_.loop.wait(context_.recordWritten, until, context_.scope);
        if (woke == Wake::cancelled) co_return false;
    }
    co_return context_.mayAct();
}

Task<std::optional<http::Response>> JobRequests::checkDependencies(const JobSpec& spec) {
    using Kind = scheduler::Cluster::DependencyError::Kind;
    if (spec.dependencies.empty()) co_return std::nullopt;
    const auto error = context_.cluster.checkDependencies(spec);
    const auto refuse = [&](const char* reason) {
        return errorResponse(422, "waitsOn: " + error.job + ' ' + reason);
    };
    switch (error.kind) {
        case Kind::self:
            co_return refuse("is the job itself");
        case Kind::unknown:
            co_return refuse("was never accepted");
        case Kind::isService:
            co_return refuse("is a service, which is never done");
        case Kind::undecided:
            co_return serviceUnavailable();  // its acceptance may be durable or not
        case Kind::none:
            break;
    }
    const bool enabled = co_await effects_.enablePages();
    if (!enabled) co_return serviceUnavailable();
    co_return std::nullopt;
}

Task<std::optional<http::Response>> JobRequests::admit(const JobSpec& spec) {
    scheduler::Cluster& cluster = context_.cluster;
    if (cluster.catalogue().empty()) co_return serviceUnavailable();
    auto refused = co_await checkDependencies(spec);
    if (!context_.mayAct()) co_return serviceUnavailable();
    if (refused) co_return std::move(*refused);
    if (!context_.ready()) co_return serviceUnavailable();
    const auto result = cluster.submit(spec, context_.loop.now(), context_.loop.clock().wall());
    if (const auto reason = refusalReason(result)) co_return errorResponse(422, *reason);
    // Placed first, so that one write holds both acceptance and bindings.
    if (cluster.hasPlaceableWork() && cluster.place(context_.loop.now(), placementBatch))
        context_.wakeScheduler();
    effects_.flush();
    co_return std::nullopt;
}

Task<http::Response> JobRequests::submit(std::string body) {
    auto parsed = jobs::parseSubmission(body);
    if (const auto* reason = std::get_if<std::string>(&parsed))
        co_return errorResponse(400, *reason);
    if (!context_.ready()) co_return serviceUnavailable();
    const JobSpec& spec = std::get<JobSpec>(parsed);
    if (context_.cluster.unreadable(spec.id)) co_return serviceUnavailable();
    Job* job = context_.cluster.find(spec.id);
    const bool isNew = job == nullptr;
    if (isNew) {
        auto refused = co_await admit(spec);
        if (refused) co_return std::move(*refused);
        job = context_.cluster.find(spec.id);
    }
    const bool accepted = co_await waitUntilDurable([job] { return job->accepted(); });
    if (!accepted) co_return serviceUnavailable();
    spdlog::debug("job accepted job={}", job->spec.id);
    // What depends on a cancelled job is cancelled with it from the start, and must not be called
    // pending long after that one's user has read that it is cancelled.
    auto response = co_await query(job->spec.id);
    if (isNew && response.status == 200) response.status = 201;
    co_return response;
}

Task<http::Response> JobRequests::query(JobId id) {
    scheduler::Cluster& cluster = context_.cluster;
    if (!context_.ready() || cluster.unreadable(id)) co_return serviceUnavailable();
    Job* job = cluster.find(id);
    if (job == nullptr) co_return errorResponse(404, "no such job");
    if (!job->accepted()) co_return serviceUnavailable();
    if (job->cancelDurable()) {
        cluster.acknowledgeCancellation(*job, context_.loop.now());
        co_return http::Response{200, jobs::statusText(*job, "cancelled")};
    }
    if (!job->cancelled && job->doneDurable())
        co_return http::Response{200, jobs::statusText(*job, "done")};
    const char* status = job->runningCount > 0 ? "running" : "pending";
    co_return http::Response{200, jobs::statusText(*job, status)};
}

Task<http::Response> JobRequests::cancel(JobId id) {
    scheduler::Cluster& cluster = context_.cluster;
    if (!context_.ready() || cluster.unreadable(id)) co_return serviceUnavailable();
    Job* job = cluster.find(id);
    if (job == nullptr) co_return errorResponse(404, "no such job");
    cluster.cancel(*job, context_.loop.now());
    effects_.flush();
    const bool durable = co_await waitUntilDurable([job] {
        return job->accepted() && (job->cancelled ? job->cancelDurable() : job->doneDurable());
    });
    if (!durable) {
        // On record, and carried out as far as its machines can be reached. Where a partitioned
        // zone still runs tasks of it, its user learns when those must be gone.
        http::Response later = serviceUnavailable();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(
            cluster.timeUntilAcknowledgeable(*job, context_.loop.now()));
        later.retryAfterS =
            std::clamp(static_cast<int>(seconds.count()), later.retryAfterS, maxRetryAfterS);
        co_return later;
    }
    if (job->cancelled) cluster.acknowledgeCancellation(*job, context_.loop.now());
    co_return http::Response{200, jobs::statusText(id, job->cancelled ? "cancelled" : "done")};
}

}  // namespace basaltchute::controller
