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

std::string recordKey(const JobId& id, std::size_t record);
inline const std::string recordPrefix = "jobs/";

using MachineName = std::function<const std::string&(MachineIndex)>;
using MachineOf = std::function<MachineIndex(const std::string&)>;
std::string encodeRecord(const Job& job, std::size_t record, const MachineName& name);
/// Applies one record, read back in key order; false if it is malformed.
bool decodeRecord(const std::string& key, const std::string& data, std::size_t valueBytes,
                  const std::function<Job*(const JobId&)>& find,
                  const std::function<Job*(std::unique_ptr<Job>)>& add, const MachineOf& machine);

std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes);

}  // namespace basaltchute::jobs
