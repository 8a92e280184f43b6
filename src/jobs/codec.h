#pragma once
#include <functional>
#include <string>
#include <variant>

#include "jobs/job.h"
#include "json/json.h"

namespace basaltchute::jobs {

bool validId(std::string_view id);
/// A submission as users write it, or what is wrong with it.
std::variant<JobSpec, std::string> parseSubmission(const std::string& body);

/// `{"ref":…,"status":…}` with the counts where asked for.
std::string statusText(const JobId& id, const char* status);
std::string statusText(const Job& job, const char* status);
/// What an answer tells its user of a job, each newer than the ones before: not there or refused,
/// accepted, and done or cancelled for good; none: nothing at all.
enum class JobState { none, unknown, open, ended };
JobState parseJobState(int status, const std::string& body);

using MachineName = std::function<const std::string&(MachineIndex)>;
using MachineOf = std::function<MachineIndex(const std::string&)>;

/// The job itself with its first tasks, or a further block of them.
std::string encodeBlock(const Job& job, std::uint32_t block, const MachineName& name);
std::string encodePart(const Job& job, const TaskRange& part, const MachineName& name);
/// What changes of the job itself, where its first block must not be written again.
std::string encodeHead(const Job& job);
/// The description in as many records as values of that size need.
std::vector<std::string> encodeTexts(const Job& job, std::size_t valueBytes);

/// How many records beside it hold the description of the job that the block is the first of.
std::optional<std::uint32_t> textsOf(const json::Value& block);
std::optional<std::string> decodeText(const json::Value& record);
/// The job whose first block it is, without its tasks; nullptr if it is malformed. `texts`: its
/// description, if that is beside it.
std::unique_ptr<Job> decodeJob(const json::Value& block, const std::string& texts,
                               std::size_t valueBytes);
void decodeHead(const json::Value& record, Job& job);
/// The tasks of a block or part; larger records come first. False if it is malformed.
bool decodeTasks(const json::Value& record, const RecordName& name, Job& job,
                 const MachineOf& machine);

std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes);

}  // namespace basaltchute::jobs
