#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::simulator {

/// What users, workers, the cloud and the state services saw: all that a checker may know.
struct HistoryEvent {
    enum class Kind {
        submitted,        // the first attempt of a user; with the job
        asked,            // a poll, repetition or withdrawal left
        answered,         // and its answer: `status` and `word`
        cancelRequested,  // a user asks to cancel
        taskStarted,      // a task has its image on a machine: `machine`, `job`, `task`
        taskStopped,      // and is gone from it
        completed,        // and has a result
        up,               // a machine reports
        gone,             // a machine is deleted, dead or taken
        elected,          // a key of a leader stands: `word` is the node, `number` the token
        fault,            // begins or ends: `word`
    };
    enum class Question { submission, repetition, poll, cancellation };
    double at = 0;  // seconds of true time
    Kind kind = Kind::fault;
    std::string site{}, job{}, machine{}, text{};
    std::uint32_t task = 0;
    int status = 0;
    std::uint64_t number = 0;
    Question question = Question::poll;
    /// Of an answer: which fact its question is. Without, it was asked just before.
    std::optional<std::size_t> asked{};
};

struct MachineFacts {
    std::string type, zone, site;
    bool spot = false;
    Resources capacity{};
};

struct History {
    std::vector<HistoryEvent> events;
    std::unordered_map<std::string, JobSpec> jobs;  // by id, as submitted
    /// Submissions that no controller may accept, and why.
    std::unordered_map<std::string, std::string> unfit;
    std::unordered_map<std::string, MachineFacts> machines;
    [[nodiscard]] static std::string text(const HistoryEvent& event);
    /// The whole log as one number: two runs of one seed give the same.
    [[nodiscard]] std::uint64_t digest() const;
};

}  // namespace basaltchute::simulator
