#pragma once
// Encodes and decodes jobs: submissions and status responses of the user API, and stored records.
// This is the only place that maps the field names of both to the names used in the code. Pure
// functions without state. Called by the Controller and LeaderTerm for the user API, and by the
// scheduler's persistence for the records; record_layout.h explains what each record holds.
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

/// Why a submission is rejected. The message is returned to the user.
struct SubmissionError {
    std::string message;
};
/// Parses the JSON body of a submission and checks each field.
[[nodiscard]] std::variant<JobSpec, SubmissionError> parseSubmission(const std::string& body);

/// The body of a status response, `{"ref":...,"status":...}`. The second form adds the numbers of
/// tasks done and running, and the dependency whose cancellation cancelled the job.
[[nodiscard]] std::string encodeStatusResponse(const JobId& id, const char* status);
[[nodiscard]] std::string encodeStatusResponse(const Job& job, const char* status);
/// What a response of the user API tells about a job. A job only moves towards later values.
enum class JobState {
    none,     // the response does not tell, for instance because the service is unavailable
    unknown,  // there is no such job, or its submission was rejected
    open,     // accepted, and neither done nor cancelled
    ended,    // done or cancelled, and that is stored
};
/// Reads the state of a job from the HTTP status code and the body of a response.
[[nodiscard]] JobState parseJobState(int httpStatus, const std::string& body);

/// Maps a machine's index to its name, which is what records hold, and back.
using MachineNameLookup = std::function<const std::string&(MachineIndex)>;
using MachineIndexLookup = std::function<MachineIndex(const std::string&)>;

/// Encodes a block record: block 0 holds the job itself and its first tasks, any other block only
/// tasks.
[[nodiscard]] std::string encodeBlock(const Job& job, std::uint32_t block,
                                      const MachineNameLookup& name);
/// Encodes a page record: the tasks of the range.
[[nodiscard]] std::string encodePage(const Job& job, const TaskRange& page,
                                     const MachineNameLookup& name);
/// Encodes the head record: the state of the job itself that changes after its submission. Needed
/// for a job whose first block must not be written again.
[[nodiscard]] std::string encodeHead(const Job& job);
/// Encodes the job's description as sections, one record each, sized for values of `valueBytes`.
[[nodiscard]] std::vector<std::string> encodeSpecSections(const Job& job, std::size_t valueBytes);

/// The number of section records that hold the description of the job; nothing if the first block
/// holds it itself.
[[nodiscard]] std::optional<std::uint32_t> specSectionCount(const json::Value& block);
/// The part of the description that a section record holds; nothing if the record is malformed.
[[nodiscard]] std::optional<std::string> decodeSpecSection(const json::Value& record);
/// Decodes the job itself from its first block; all its tasks are waiting. Returns nullptr if the
/// record is malformed. `sections`: the joined sections of the description, if it has any.
[[nodiscard]] std::unique_ptr<Job> decodeJob(const json::Value& block, const std::string& sections,
                                             std::size_t valueBytes);
/// Applies the state that a head record holds to the job.
void decodeHead(const json::Value& record, Job& job);
/// Applies the tasks of a block or page to the job. Records of more tasks must be applied before
/// those of fewer tasks, which are newer. Returns false if the record is malformed; some of its
/// tasks may have been applied then.
[[nodiscard]] bool decodeTasks(const json::Value& record, const RecordName& name, Job& job,
                               const MachineIndexLookup& machine);

/// Creates a job with all tasks waiting. Its blocks are sized to fit into `valueBytes`.
[[nodiscard]] std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes);

}  // namespace basaltchute::jobs
