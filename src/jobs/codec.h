#pragma once
// The forms of a job outside this process: submissions and status responses of the user API, and
// the stored records. The field names of both are mapped to this project's terms here and nowhere
// else. Pure functions without state. Called by the Controller and LeaderTerm for the user API, and
// by the scheduler's persistence for the records; record_layout.h explains what a record holds.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jobs/job.h"
#include "json/json.h"

namespace basaltchute::jobs {

/// Whether the id is safe in a stored key and in a path of the user API.
[[nodiscard]] bool validId(std::string_view id);

/// Why a submission is refused, for its user.
struct SubmissionError {
    std::string message;
};
/// Parses the body of a submission.
[[nodiscard]] std::variant<JobSpec, SubmissionError> parseSubmission(const std::string& body);

/// Body of a status response: `{"ref":...,"status":...}`; for a job with its counts of tasks.
[[nodiscard]] std::string encodeStatusResponse(const JobId& id, const char* status);
[[nodiscard]] std::string encodeStatusResponse(const Job& job, const char* status);
/// What a response says of a job, from oldest to newest.
enum class JobState {
    none,     // nothing, or that the service is unavailable
    unknown,  // no such job, or refused
    open,     // accepted
    ended,    // durably done or cancelled
};
/// Reads the state from a response of the user API. `httpStatus`: its status code.
[[nodiscard]] JobState parseJobState(int httpStatus, const std::string& body);

/// Maps machines to the names that records hold, and back.
using MachineNameLookup = std::function<const std::string&(MachineIndex)>;
using MachineIndexLookup = std::function<MachineIndex(const std::string&)>;

/// The record of a block: the job itself with its first tasks (block 0), or further tasks.
[[nodiscard]] std::string encodeBlock(const Job& job, std::uint32_t block,
                                      const MachineNameLookup& name);
[[nodiscard]] std::string encodePage(const Job& job, const TaskRange& page,
                                     const MachineNameLookup& name);
/// The head record: the changing state of a job whose first block must not be written again.
[[nodiscard]] std::string encodeHead(const Job& job);
/// The text records of the job's description: as many as values of that size need.
[[nodiscard]] std::vector<std::string> encodeSpecSections(const Job& job, std::size_t valueBytes);

/// How many text records hold the description; nothing if it is in the first block itself.
[[nodiscard]] std::optional<std::uint32_t> specSectionCount(const json::Value& block);
/// The section of the description that a text record holds; nothing if it is malformed.
[[nodiscard]] std::optional<std::string> decodeSpecSection(const json::Value& record);
/// The job of a first block, without its tasks; nullptr if it is malformed. `texts`: the sections
/// of its text records, joined.
[[nodiscard]] std::unique_ptr<Job> decodeJob(const json::Value& block, const std::string& texts,
                                             std::size_t valueBytes);
/// Takes the state of a head record into the job.
void decodeHead(const json::Value& record, Job& job);
/// Takes the tasks of a block or page into the job; to be called for records of more tasks first.
/// False if the record is malformed: then some tasks may have been taken.
[[nodiscard]] bool decodeTasks(const json::Value& record, const RecordName& name, Job& job,
                               const MachineIndexLookup& machine);

/// A job of that description with all tasks waiting, laid out in blocks that fit into a value.
[[nodiscard]] std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes);

}  // namespace basaltchute::jobs
