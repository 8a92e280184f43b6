#pragma once
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "leadership/leadership.h"

namespace basaltchute::workers {

enum class TaskStatus { pulling, running, saving, exited, other };
enum class ExitCause { done, stopped, error, full, busy, noSuch, other };

struct ReportedTask {
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    TaskStatus status = TaskStatus::other;
    ExitCause cause = ExitCause::other;
    bool saved = false;
};

/// A worker's report: from a beat, or as the body of an answer to direct orders.
struct Report {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t session = 0, sequence = 0;
    FencingToken token = 0;
    std::optional<Duration> notice;
    std::vector<ReportedTask> tasks;
    std::size_t bytes = 0;  // of the message
};

enum class Verb { launch, stop, forget };
struct Order {
    Verb verb;
    JobId job;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    Duration grace{};
};

std::optional<Report> parseReport(const std::string& body);
std::string beatAnswer(FencingToken token, const std::vector<Order>& orders);
std::string directOrders(FencingToken token, std::uint64_t session,
                         const std::vector<Order>& orders);

}  // namespace basaltchute::workers
