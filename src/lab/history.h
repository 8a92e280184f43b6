#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::lab {

/// What users, workers, the cloud and the state services saw: all that a checker may know.
struct Fact {
    enum class Kind {
        submitted,  // the first attempt of a user; with the job
        asked,      // a poll, repetition or withdrawal left
        told,       // and its answer: `status` and `word`
        withdrew,   // a user asks to cancel
        on,         // a task has its image on a machine: `machine`, `job`, `task`
        off,        // and is gone from it
        completed,  // and has a result
        up,         // a machine reports
        gone,       // a machine is deleted, dead or taken
        elected,    // a key of a leader stands: `word` is the node, `number` the token
        trouble,    // begins or ends: `word`
    };
    enum class Question { submission, repetition, poll, withdrawal };
    double at = 0;  // seconds of true time
    Kind kind = Kind::trouble;
    std::string site{}, job{}, machine{}, word{};
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
    Demand capacity{};
};

struct History {
    std::vector<Fact> facts;
    std::unordered_map<std::string, JobSpec> jobs;  // by id, as submitted
    /// Submissions that no controller may accept, and why.
    std::unordered_map<std::string, std::string> unfit;
    std::unordered_map<std::string, MachineFacts> machines;
    [[nodiscard]] static std::string text(const Fact& event);
    /// The whole log as one number: two runs of one seed give the same.
    [[nodiscard]] std::uint64_t digest() const;
};

}  // namespace basaltchute::lab
