#include "jobs/codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>
#include <unordered_set>
#include <utility>

namespace basaltchute::jobs {

namespace {

constexpr std::uint64_t maxTasks = 100'000;
constexpr std::size_t maxTextBytes = 200;  // of a text field of a submission
constexpr std::size_t maxIdBytes = 120;
// Space of a task in a record: its index, its attempt and a machine name of usual length. Longer
// names can make a block too large; it is split then.
constexpr std::size_t bytesPerTask = 26;
constexpr std::size_t jobOverheadBytes = 160;  // of a first block, beside description and tasks
constexpr std::size_t minTasksPerBlock = 8;
constexpr std::size_t sectionOverheadBytes = 32;  // of a section record, beside the section itself
constexpr std::size_t minSectionBytes = 16;

constexpr std::array<std::pair<const char*, Priority>, 4> priorities{
    {{"production", Priority::production},
     {"high", Priority::high},
     {"normal", Priority::normal},
     {"low", Priority::low}}};

constexpr std::array<std::pair<const char*, Shape>, 3> shapes{
    {{"array", Shape::array}, {"standing", Shape::service}, {"group", Shape::gang}}};

template <typename Names, typename Value>
const char* nameOf(const Names& names, Value value) {
    return std::find_if(names.begin(), names.end(),
                        [&](const auto& entry) { return entry.second == value; })
        ->first;
}

/// Reads the fields of a submission and remembers the first one that is missing or invalid.
class SubmissionReader {
  public:
    explicit SubmissionReader(const json::Value& submission) : submission_(submission) {}

    std::string text(const char* name) {
        auto value = json::string(submission_, name);
        if (!value || value->empty() || value->size() > maxTextBytes) fail(name);
        return value.value_or("");
    }
    double amount(const char* name) {
        const auto value = json::number(submission_, name);
        if (!value || *value < 0) fail(name);
        return value.value_or(0);
    }
    bool flag(const char* name) {
        const auto value = json::boolean(submission_, name);
        if (!value) fail(name);
        return value.value_or(false);
    }
    JobId id(const char* name) {
        JobId value = text(name);
        if (!validId(value)) fail(name);
        return value;
    }
    std::uint32_t taskCount(const char* name) {
        const auto value = json::count(submission_, name);
        if (value && *value > 0 && *value <= maxTasks) return static_cast<std::uint32_t>(*value);
        fail(name);
        return 1;
    }
    /// The value that `names` maps the text of the field to.
    template <typename Names>
    auto choice(const char* name, const Names& names) {
        const std::string value = text(name);
        const auto it = std::find_if(names.begin(), names.end(),
                                     [&](const auto& entry) { return value == entry.first; });
        if (it != names.end()) return it->second;
        fail(name);
        return names.front().second;
    }
    std::optional<double> optionalAmount(const char* name) {
        return has(name) ? std::optional(amount(name)) : std::nullopt;
    }
    std::optional<std::string> optionalText(const char* name) {
        return has(name) ? std::optional(text(name)) : std::nullopt;
    }
    std::optional<std::vector<std::string>> optionalTexts(const char* name) {
        if (!has(name)) return std::nullopt;
        std::vector<std::string> values;
        for (const auto& element : elements(name))
            if (element->IsString())
                values.emplace_back(element->GetString());
            else
                fail(name);
        return values;
    }
    /// Job ids without duplicates.
    std::vector<JobId> ids(const char* name) {
        if (!has(name)) return {};
        std::vector<JobId> values;
        std::unordered_set<JobId> seen;
        for (const auto& element : elements(name)) {
            if (!element->IsString() ||
                !validId({element->GetString(), element->GetStringLength()})) {
                fail(name);
                return {};
            }
            if (seen.insert(element->GetString()).second) values.emplace_back(element->GetString());
        }
        return values;
    }
    /// The first field that is missing or invalid; empty if there is none.
    [[nodiscard]] const std::string& invalidField() const { return invalidField_; }

  private:
    [[nodiscard]] bool has(const char* name) const {
        return json::find(submission_, name) != nullptr;
    }
    /// The elements of an array; none if the field is not an array.
    std::vector<const json::Value*> elements(const char* name) {
        std::vector<const json::Value*> out;
        const auto* array = json::array(submission_, name);
        if (array == nullptr) {
            fail(name);
            return out;
        }
        for (const auto& element : array->GetArray()) out.push_back(&element);
        return out;
    }
    void fail(const char* name) {
        if (invalidField_.empty()) invalidField_ = name;
    }

    const json::Value& submission_;
    std::string invalidField_;
};

std::variant<JobSpec, SubmissionError> readSpec(const json::Value& value) {
    if (!value.IsObject()) return SubmissionError{"not an object"};
    SubmissionReader reader(value);
    JobSpec spec;
    spec.id = reader.id("ref");
    spec.jobClass = reader.text("category");
    spec.team = reader.text("crew");
    spec.shape = reader.choice("shape", shapes);
    spec.priority = reader.choice("rank", priorities);
    spec.tasks = reader.taskCount("splits");
    spec.demand = {reader.amount("cores"), reader.amount("gpus"), reader.amount("ramGb")};
    spec.image = reader.text("build");
    spec.imageGb = reader.amount("sizeGb");
    spec.machineTypes = reader.optionalTexts("rigs");
    spec.zone = reader.optionalText("hall");
    spec.sameZone = reader.flag("together");
    spec.spread = reader.flag("spread");
    spec.spotAllowed = reader.flag("loaners");
    spec.estimatedRuntimeS = reader.amount("parS");
    spec.checkpointIntervalS = reader.amount("savepointS");
    spec.checkpointDurationS = reader.amount("flushS");
    spec.deadlineS = reader.optionalAmount("cutoffS");
    spec.dependencies = reader.ids("waitsOn");
    if (!reader.invalidField().empty())
        return SubmissionError{"missing or invalid: " + reader.invalidField()};
    return spec;
}

void writeStrings(json::Writer& out, const char* name, const std::vector<std::string>& values) {
    out.key(name).openArray();
    for (const auto& value : values) out.value(value);
    out.closeArray();
}

std::string specText(const JobSpec& spec) {
    json::Writer out;
    out.open().field("ref", spec.id).field("category", spec.jobClass).field("crew", spec.team);
    out.field("shape", nameOf(shapes, spec.shape)).field("rank", nameOf(priorities, spec.priority));
    out.field("splits", spec.tasks);
    out.field("cores", spec.demand.cores).field("gpus", spec.demand.gpus);
    out.field("ramGb", spec.demand.ramGb).field("build", spec.image).field("sizeGb", spec.imageGb);
    if (spec.machineTypes) writeStrings(out, "rigs", *spec.machineTypes);
    if (spec.zone) out.field("hall", *spec.zone);
    out.field("together", spec.sameZone).field("spread", spec.spread);
    out.field("loaners", spec.spotAllowed);
    out.field("parS", spec.estimatedRuntimeS).field("savepointS", spec.checkpointIntervalS);
    out.field("flushS", spec.checkpointDurationS);
    if (spec.deadlineS) out.field("cutoffS", *spec.deadlineS);
    if (!spec.dependencies.empty()) writeStrings(out, "waitsOn", spec.dependencies);
    out.close();
    return out.text();
}

/// Writes the state of the job itself that changes after its submission.
void writeState(json::Writer& out, const Job& job) {
    if (job.cancelled && job.cancelledDependency.empty())
        out.field(job.cancelCommitted ? "cancelled" : "withdrawing", true);
    if (job.releasedWallTime)
        out.field("released", static_cast<std::int64_t>(job.releasedWallTime->count()));
}

void readState(const json::Value& record, Job& job) {
    job.cancelCommitted = job.cancelCommitted || json::boolean(record, "cancelled").value_or(false);
    job.cancelRecorded = job.cancelRecorded || json::boolean(record, "withdrawing").value_or(false);
    job.cancelled = job.cancelCommitted || job.cancelRecorded;
    job.cancelVersion = job.cancelCommitted ? 1 : 0;
    // A former leader may have acknowledged the cancellation at any time.
    if (job.cancelCommitted) job.acknowledgedAt = TimePoint{};
    if (const auto at = json::number(record, "released"))
        job.releasedWallTime = WallMillis(static_cast<std::int64_t>(*at));
}

/// Writes the tasks from `from` up to, but not including, `to`. Done tasks are pairs of the first
/// and last index of each run. Other tasks that have had an attempt are [index, attempt]; bound
/// ones add the name of their machine, and `true` if they are reserved.
void writeTasks(json::Writer& out, const Job& job, std::uint32_t from, std::uint32_t to,
                const MachineNameLookup& name) {
    out.key("done").openArray();
    for (std::uint32_t i = from; i < to; ++i) {
        if (job.tasks[i].state != TaskState::done) continue;
        const std::uint32_t first = i;
        while (i + 1 < to && job.tasks[i + 1].state == TaskState::done) ++i;
        out.value(first).value(i);
    }
    out.closeArray().key("bound").openArray();
    if (!job.cancelled || job.boundCount > 0) {
        for (std::uint32_t i = from; i < to; ++i) {
            const JobTask& t = job.tasks[i];
            if (t.state == TaskState::done || t.attempt == 0) continue;
            out.openArray().value(i).value(t.attempt);
            if (t.state == TaskState::bound) out.value(name(t.machine));
            if (t.state == TaskState::bound && t.reserved) out.value(true);
            out.closeArray();
        }
    }
    out.closeArray();
}

/// Reads pairs of the first and last index of each run of done tasks.
bool readDoneTasks(const json::Value& done, Job& job) {
    for (unsigned i = 0; i + 1 < done.Size(); i += 2) {
        if (!done[i].IsUint() || !done[i + 1].IsUint()) return false;
        const std::uint32_t last = done[i + 1].GetUint();
        for (std::uint32_t task = done[i].GetUint(); task <= last && task < job.spec.tasks; ++task)
            job.tasks[task].state = TaskState::done;
    }
    return true;
}

/// Reads arrays of a task's index, its attempt, and for a bound task its machine and whether it is
/// reserved.
bool readBoundTasks(const json::Value& bound, Job& job, const MachineIndexLookup& machine) {
    for (const auto& entry : bound.GetArray()) {
        if (!entry.IsArray() || entry.Size() < 2 || !entry[0].IsUint() || !entry[1].IsUint64())
            return false;
        if (entry[0].GetUint() >= job.spec.tasks) return false;
        JobTask& task = job.tasks[entry[0].GetUint()];
        task.attempt = entry[1].GetUint64();
        if (entry.Size() < 3 || !entry[2].IsString()) continue;
        task.state = TaskState::bound;
        task.machine = machine(entry[2].GetString());
        task.reserved = entry.Size() > 3 && entry[3].IsTrue();
    }
    return true;
}

}  // namespace

bool validId(std::string_view id) {
    // Documented ids are a word, a dash and a number. Only characters that would be unsafe in a key
    // or a path are rejected, so that a longer number or another word still works.
    return !id.empty() && id.size() <= maxIdBytes && std::all_of(id.begin(), id.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
    });
}

std::variant<JobSpec, SubmissionError> parseSubmission(const std::string& body) {
    const auto doc = json::parse(body);
    if (!doc) return SubmissionError{"not JSON"};
    return readSpec(*doc);
}

std::string encodeStatusResponse(const JobId& id, const char* status) {
    json::Writer out;
    out.open().field("ref", id).field("status", status).close();
    return out.text();
}
std::string encodeStatusResponse(const Job& job, const char* status) {
    json::Writer out;
    out.open().field("ref", job.spec.id).field("status", status);
    out.field("done", job.doneCount).field("running", job.runningCount);
    if (!job.cancelledDependency.empty()) out.field("because", job.cancelledDependency);
    out.close();
    return out.text();
}

JobState parseJobState(int httpStatus, const std::string& body) {
    if (httpStatus == 404 || httpStatus == 422) return JobState::unknown;
    if (httpStatus != 200 && httpStatus != 201) return JobState::none;
    const auto doc = json::parse(body);
    const auto status = doc ? json::string(*doc, "status") : std::nullopt;
    return status == "done" || status == "cancelled" ? JobState::ended : JobState::open;
}

std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes) {
    auto job = std::make_unique<Job>();
    const std::size_t jobBytes = jobOverheadBytes + specText(spec).size();
    const std::size_t taskBytes = valueBytes > jobBytes ? valueBytes - jobBytes : 0;
    const std::size_t tasksPerBlock = std::max(minTasksPerBlock, taskBytes / bytesPerTask);
    job->layout = RecordLayout(spec.tasks, static_cast<std::uint32_t>(tasksPerBlock));
    job->tasks.resize(spec.tasks);
    job->placementQueue.resize(spec.tasks);
    std::iota(job->placementQueue.rbegin(), job->placementQueue.rend(), 0U);
    job->effectivePriority = spec.priority;
    job->spec = std::move(spec);
    return job;
}

std::string encodeBlock(const Job& job, std::uint32_t block, const MachineNameLookup& name) {
    json::Writer out;
    out.open();
    const std::uint32_t tasksPerBlock = job.layout.tasksPerBlock();
    if (block == 0) {
        if (job.layout.specSections > 0)
            out.field("texts", job.layout.specSections);
        else
            out.key("spec").raw(specText(job.spec));
        out.field("at", static_cast<std::int64_t>(job.submittedWallTime.count()))
            .field("per", tasksPerBlock);
        writeState(out, job);
        if (job.layout.firstBlockHasNoTasks()) {
            out.field("bare", true).close();
            return out.text();
        }
    }
    const std::uint32_t from = block * tasksPerBlock;
    writeTasks(out, job, from, std::min(from + tasksPerBlock, job.spec.tasks), name);
    out.close();
    return out.text();
}

std::string encodePage(const Job& job, const TaskRange& page, const MachineNameLookup& name) {
    json::Writer out;
    out.open();
    writeTasks(out, job, page.from, page.end(), name);
    out.close();
    return out.text();
}

std::string encodeHead(const Job& job) {
    json::Writer out;
    out.open();
    writeState(out, job);
    out.close();
    return out.text();
}

std::vector<std::string> encodeSpecSections(const Job& job, std::size_t valueBytes) {
    const std::string description = specText(job.spec);
    // In a JSON string each byte takes at most two, as the description has no control characters.
    const std::size_t sectionBytes =
        std::max(minSectionBytes, (valueBytes - std::min(valueBytes, sectionOverheadBytes)) / 2);
    std::vector<std::string> records;
    for (std::size_t from = 0; from < description.size();) {
        std::size_t to = std::min(description.size(), from + sectionBytes);
        // Move back to the start of a UTF-8 character: a section must be valid text by itself.
        while (to < description.size() &&
               (static_cast<unsigned char>(description[to]) & 0xC0U) == 0x80U)
            --to;
        json::Writer out;
        out.open().field("text", std::string_view(description).substr(from, to - from)).close();
        records.push_back(out.text());
        from = to;
    }
    return records;
}

std::optional<std::string> decodeSpecSection(const json::Value& record) {
    return json::string(record, "text");
}

std::optional<std::uint32_t> specSectionCount(const json::Value& block) {
    const auto n = json::count(block, "texts");
    return n ? std::optional(static_cast<std::uint32_t>(*n)) : std::nullopt;
}

std::unique_ptr<Job> decodeJob(const json::Value& block, const std::string& sections,
                               std::size_t valueBytes) {
    std::optional<json::Document> joinedSections;
    const json::Value* spec = json::find(block, "spec");
    if (specSectionCount(block)) {
        joinedSections = json::parse(sections);
        spec = joinedSections ? &*joinedSections : nullptr;
    }
    const auto submittedAt = json::number(block, "at");
    const auto tasksPerBlock = json::count(block, "per");
    if (spec == nullptr || !submittedAt || !tasksPerBlock || *tasksPerBlock == 0 ||
        *tasksPerBlock > maxTasks)
        return nullptr;
    auto parsed = readSpec(*spec);
    if (!std::holds_alternative<JobSpec>(parsed)) return nullptr;
    auto job = makeJob(std::get<JobSpec>(std::move(parsed)), valueBytes);
    job->layout = RecordLayout(job->spec.tasks, static_cast<std::uint32_t>(*tasksPerBlock));
    job->layout.specSections = specSectionCount(block).value_or(0);
    job->submittedWallTime = WallMillis(static_cast<std::int64_t>(*submittedAt));
    if (json::boolean(block, "bare").value_or(false)) job->layout.moveTasksOutOfFirstBlock();
    readState(block, *job);
    return job;
}

void decodeHead(const json::Value& record, Job& job) {
    readState(record, job);
}

bool decodeTasks(const json::Value& record, const RecordName& name, Job& job,
                 const MachineIndexLookup& machine) {
    job.layout.markRestored(name);
    if (name.kind == RecordName::Kind::page) {
        // A page is newer than any other record of these tasks that has been applied.
        const std::uint32_t end =
            std::min<std::uint64_t>(std::uint64_t{name.from} + name.count, job.spec.tasks);
        for (std::uint32_t task = name.from; task < end; ++task) job.tasks[task] = JobTask{};
    }
    const auto* done = json::array(record, "done");
    if (done != nullptr && !readDoneTasks(*done, job)) return false;
    const auto* bound = json::array(record, "bound");
    return bound == nullptr || readBoundTasks(*bound, job, machine);
}

}  // namespace basaltchute::jobs
