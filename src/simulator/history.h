// The event log of a simulated run. The simulation writes it; the checker and the measures read it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::simulator {

/// One event as seen by a user, a worker, the cloud or a state service. The checker knows nothing
/// else about a run.
struct HistoryEvent {
    enum class Kind {
        submitted,        // a user submits a job for the first time
        asked,            // a user sends a request; `question` is its type
        answered,         // its response: HTTP `status`, and the job's status in `text`
        cancelRequested,  // a user decides to cancel a job
        taskStarted,      // a task with its image runs: `machine`, `job`, `task`
        taskStopped,      // a task no longer runs on its machine
        completed,        // a task has a result
        up,               // a machine reports to the controllers
        gone,             // a machine is deleted, has failed or was reclaimed
        elected,          // a leader key is written: node in `text`, fencing token in `number`
        fault,            // a fault begins or ends: `text`
    };
    /// The type of a user's request.
    enum class Question { submission, repetition, poll, cancellation };
    double at = 0;  // seconds of simulated true time, unaffected by clock offsets
    Kind kind = Kind::fault;
    std::string site{}, job{}, machine{}, text{};
    std::uint32_t task = 0;
    int status = 0;
    std::uint64_t number = 0;
    Question question = Question::poll;
    /// For an answer: the index in `History::events` of its request. Without a value, the request
    /// was sent immediately before.
    std::optional<std::size_t> asked{};
};

/// Fixed properties of a simulated machine.
struct MachineFacts {
    std::string type, zone, site;
    bool spot = false;
    Resources capacity{};
};

/// Everything observed in one run.
struct History {
    std::vector<HistoryEvent> events;               // in order of time
    std::unordered_map<std::string, JobSpec> jobs;  // by job id, as submitted
    /// Submissions that no controller may accept, by job id, with the reason.
    std::unordered_map<std::string, std::string> unfit;
    std::unordered_map<std::string, MachineFacts> machines;
    /// One line of the event log. Two builds are compared by these lines, so their form is fixed.
    [[nodiscard]] static std::string text(const HistoryEvent& event);
    /// A hash of the whole event log; two runs with the same seed give the same value.
    [[nodiscard]] std::uint64_t digest() const;
};

}  // namespace basaltchute::simulator
