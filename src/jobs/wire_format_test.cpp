// The exact bytes of job submissions, job status responses and stored job records.
#include <gtest/gtest.h>

#include "jobs/codec.h"

namespace basaltchute::jobs {
namespace {

constexpr std::size_t valueBytes = 16 * 1024;

const std::string fullSubmission =
    R"({"ref":"run-000017","category":"render","crew":"red","shape":"group","rank":"high",)"
    R"("splits":12,"cores":1.5,"gpus":2.0,"ramGb":3.25,"build":"img:4","sizeGb":0.5,)"
    R"("rigs":["c8","g4"],"hall":"north","together":true,"spread":false,"loaners":true,)"
    R"("parS":10.0,"savepointS":20.5,"flushS":1.0,"cutoffS":120.5,)"
    R"("waitsOn":["run-000001","run-000002"]})";
const std::string shortSubmission =
    R"({"ref":"run-000018","category":"web","crew":"blue","shape":"standing","rank":"low",)"
    R"("splits":1,"cores":1.0,"gpus":0.0,"ramGb":2.0,"build":"web","sizeGb":1.0,)"
    R"("together":false,"spread":true,"loaners":false,"parS":0.0,"savepointS":0.0,"flushS":0.0})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

std::unique_ptr<Job> jobOf(const std::string& submission) {
    auto job = makeJob(std::get<JobSpec>(parseSubmission(submission)), valueBytes);
    job->submittedWallTime = WallMillis(1700000000123);
    return job;
}

const std::string machineNames[] = {"n-0", "n-1"};
const std::string& machineName(MachineIndex machine) {
    return machineNames[machine];
}

void bind(Job& job, std::uint32_t task, Attempt attempt, MachineIndex machine, bool reserved) {
    job.tasks[task].state = TaskState::bound;
    job.tasks[task].attempt = attempt;
    job.tasks[task].machine = machine;
    job.tasks[task].reserved = reserved;
    ++job.boundCount;
}

/// Tasks 0 to 2 and 5 are done, 3 is bound, 4 is bound in reserved cells, 6 waits for its fourth
/// attempt, and the others wait for their first.
void setEveryTaskState(Job& job) {
    for (const std::uint32_t task : {0, 1, 2, 5}) job.tasks[task].state = TaskState::done;
    job.doneCount = 4;
    bind(job, 3, 2, 0, false);
    bind(job, 4, 1, 1, true);
    job.tasks[6].attempt = 3;
}

TEST(WireFormat, SubmissionWithAllFields) {
    const auto parsed = parseSubmission(fullSubmission);
    ASSERT_TRUE(std::holds_alternative<JobSpec>(parsed))
        << std::get<SubmissionError>(parsed).message;
    const auto& spec = std::get<JobSpec>(parsed);
    EXPECT_EQ(spec.id, "run-000017");
    EXPECT_EQ(spec.jobClass, "render");
    EXPECT_EQ(spec.team, "red");
    EXPECT_EQ(spec.shape, Shape::gang);
    EXPECT_EQ(spec.priority, Priority::high);
    EXPECT_EQ(spec.tasks, 12U);
    EXPECT_EQ(spec.demand, (Resources{1.5, 2, 3.25}));
    EXPECT_EQ(spec.image, "img:4");
    EXPECT_EQ(spec.imageGb, 0.5);
    EXPECT_EQ(spec.machineTypes, (std::vector<std::string>{"c8", "g4"}));
    EXPECT_EQ(spec.zone, "north");
    EXPECT_TRUE(spec.sameZone);
    EXPECT_FALSE(spec.spread);
    EXPECT_TRUE(spec.spotAllowed);
    EXPECT_EQ(spec.estimatedRuntimeS, 10);
    EXPECT_EQ(spec.checkpointIntervalS, 20.5);
    EXPECT_EQ(spec.checkpointDurationS, 1);
    EXPECT_EQ(spec.deadlineS, 120.5);
    EXPECT_EQ(spec.dependencies, (std::vector<JobId>{"run-000001", "run-000002"}));
}

TEST(WireFormat, SubmissionWithoutOptionalFields) {
    const auto spec = std::get<JobSpec>(parseSubmission(shortSubmission));
    EXPECT_EQ(spec.shape, Shape::service);
    EXPECT_EQ(spec.priority, Priority::low);
    EXPECT_FALSE(spec.machineTypes);
    EXPECT_FALSE(spec.zone);
    EXPECT_FALSE(spec.sameZone);
    EXPECT_TRUE(spec.spread);
    EXPECT_FALSE(spec.spotAllowed);
    EXPECT_FALSE(spec.deadlineS);
    EXPECT_TRUE(spec.dependencies.empty());
}

TEST(WireFormat, SubmissionShapesAndPriorities) {
    const auto shape = [](const std::string& name) {
        return std::get<JobSpec>(parseSubmission(replaced(fullSubmission, "group", name))).shape;
    };
    EXPECT_EQ(shape("array"), Shape::array);
    EXPECT_EQ(shape("standing"), Shape::service);
    EXPECT_EQ(shape("group"), Shape::gang);
    const auto priority = [](const std::string& name) {
        const auto text = replaced(fullSubmission, "high", name);
        return std::get<JobSpec>(parseSubmission(text)).priority;
    };
    EXPECT_EQ(priority("production"), Priority::production);
    EXPECT_EQ(priority("high"), Priority::high);
    EXPECT_EQ(priority("normal"), Priority::normal);
    EXPECT_EQ(priority("low"), Priority::low);
}

TEST(WireFormat, SubmissionErrorTexts) {
    const auto error = [](const std::string& body) {
        return std::get<SubmissionError>(parseSubmission(body)).message;
    };
    EXPECT_EQ(error("{"), "not JSON");
    EXPECT_EQ(error("[]"), "not an object");
    for (const std::string field :
         {"ref", "category", "crew", "shape", "rank", "splits", "cores", "gpus", "ramGb", "build",
          "sizeGb", "together", "spread", "loaners", "parS", "savepointS", "flushS"}) {
        const auto text = replaced(fullSubmission, '"' + field + '"', R"("unknown")");
        EXPECT_EQ(error(text), "missing or invalid: " + field);
    }
    EXPECT_EQ(error(replaced(fullSubmission, R"(["c8","g4"])", "7")), "missing or invalid: rigs");
    EXPECT_EQ(error(replaced(fullSubmission, R"("north")", "7")), "missing or invalid: hall");
    EXPECT_EQ(error(replaced(fullSubmission, "120.5", "-1")), "missing or invalid: cutoffS");
    EXPECT_EQ(error(replaced(fullSubmission, R"("run-000001")", "7")),
              "missing or invalid: waitsOn");
}

TEST(WireFormat, StatusResponseBytes) {
    EXPECT_EQ(encodeStatusResponse(JobId("run-000017"), "pending"),
              R"({"ref":"run-000017","status":"pending"})");
    const auto job = jobOf(fullSubmission);
    job->doneCount = 4;
    job->runningCount = 2;
    for (const std::string status : {"pending", "running", "done", "cancelled"})
        EXPECT_EQ(encodeStatusResponse(*job, status.c_str()),
                  R"({"ref":"run-000017","status":")" + status + R"(","done":4,"running":2})");
    job->cancelledDependency = "run-000001";
    EXPECT_EQ(encodeStatusResponse(*job, "cancelled"),
              R"({"ref":"run-000017","status":"cancelled","done":4,"running":2,)"
              R"("because":"run-000001"})");
}

TEST(WireFormat, StatusResponseParsing) {
    const auto parsed = [](const std::string& status) {
        return parseJobState(200, R"({"ref":"run-000017","status":")" + status + R"("})");
    };
    EXPECT_EQ(parsed("done"), JobState::ended);
    EXPECT_EQ(parsed("cancelled"), JobState::ended);
    EXPECT_EQ(parsed("running"), JobState::open);
    EXPECT_EQ(parsed("pending"), JobState::open);
    EXPECT_EQ(parseJobState(404, R"({"error":"no such job"})"), JobState::unknown);
    EXPECT_EQ(parseJobState(422, R"({"error":"unknown team"})"), JobState::unknown);
    EXPECT_EQ(parseJobState(503, R"({"error":"not now"})"), JobState::none);
}

TEST(WireFormat, StoredRecordKeys) {
    using Kind = RecordName::Kind;
    const std::pair<RecordName, std::string> all[] = {
        {{"run-000017", Kind::block, 0, 0}, "jobs/run-000017"},
        {{"run-000017", Kind::block, 3, 0}, "jobs/run-000017/3"},
        {{"run-000017", Kind::head, 0, 0}, "parts/run-000017"},
        {{"run-000017", Kind::page, 50, 25}, "parts/run-000017/50-25"},
        {{"run-000017", Kind::specSection, 2, 0}, "parts/run-000017/s2"}};
    for (const auto& [name, key] : all) {
        EXPECT_EQ(name.key(), key);
        EXPECT_EQ(RecordName::parse(key), name) << key;
    }
    EXPECT_EQ(jobKeyPrefix, "jobs/");
    EXPECT_EQ(partKeyPrefix, "parts/");
}

TEST(WireFormat, JobRecordBytes) {
    const auto job = jobOf(fullSubmission);
    setEveryTaskState(*job);
    const std::string record = R"({"spec":)" + fullSubmission +
                               R"(,"at":1700000000123,"per":611,"done":[0,2,5,5],)"
                               R"("bound":[[3,2,"n-0"],[4,1,"n-1",true],[6,3]]})";
    EXPECT_EQ(encodeBlock(*job, 0, machineName), record);
    const auto doc = json::parse(record);
    const auto read = decodeJob(*doc, "", valueBytes);
    ASSERT_NE(read, nullptr);
    ASSERT_TRUE(decodeTasks(*doc, *RecordName::parse("jobs/run-000017"), *read,
                            [](const std::string& name) { return name == "n-0" ? 0U : 1U; }));
    EXPECT_EQ(read->submittedWallTime, WallMillis(1700000000123));
    EXPECT_EQ(read->layout.tasksPerBlock(), 611U);
    for (std::uint32_t task = 0; task < 12; ++task) {
        EXPECT_EQ(read->tasks[task].state, job->tasks[task].state) << task;
        if (job->tasks[task].state == TaskState::done) continue;
        EXPECT_EQ(read->tasks[task].attempt, job->tasks[task].attempt) << task;
        EXPECT_EQ(read->tasks[task].machine, job->tasks[task].machine) << task;
        EXPECT_EQ(read->tasks[task].reserved, job->tasks[task].reserved) << task;
    }
}

TEST(WireFormat, JobRecordWithoutOptionalFieldsBytes) {
    const auto job = jobOf(shortSubmission);
    EXPECT_EQ(
        encodeBlock(*job, 0, machineName),
        R"({"spec":)" + shortSubmission + R"(,"at":1700000000123,"per":614,"done":[],"bound":[]})");
}

TEST(WireFormat, JobRecordStateFields) {
    const auto job = jobOf(shortSubmission);
    const auto stateOf = [&] {
        const std::string text = encodeBlock(*job, 0, machineName);
        const std::string from = R"("per":614,)";
        return text.substr(text.find(from) + from.size());
    };
    job->releasedWallTime = WallMillis(1700000005000);
    EXPECT_EQ(stateOf(), R"("released":1700000005000,"done":[],"bound":[]})");
    job->cancelled = true;
    EXPECT_EQ(stateOf(), R"("withdrawing":true,"released":1700000005000,"done":[],"bound":[]})");
    job->cancelCommitted = true;
    EXPECT_EQ(stateOf(), R"("cancelled":true,"released":1700000005000,"done":[],"bound":[]})");
    job->cancelledDependency = "run-000001";
    EXPECT_EQ(stateOf(), R"("released":1700000005000,"done":[],"bound":[]})");
}

TEST(WireFormat, FurtherBlockBytes) {
    auto job = jobOf(fullSubmission);
    job->layout = RecordLayout(12, 4);
    setEveryTaskState(*job);
    EXPECT_EQ(encodeBlock(*job, 1, machineName),
              R"({"done":[5,5],"bound":[[4,1,"n-1",true],[6,3]]})");
    EXPECT_EQ(encodeBlock(*job, 2, machineName), R"({"done":[],"bound":[]})");
}

TEST(WireFormat, PageRecordBytes) {
    auto job = jobOf(fullSubmission);
    setEveryTaskState(*job);
    EXPECT_EQ(encodePage(*job, TaskRange{3, 3, 1, 0, true}, machineName),
              R"({"done":[5,5],"bound":[[3,2,"n-0"],[4,1,"n-1",true]]})");
}

TEST(WireFormat, HeadRecordBytes) {
    auto job = jobOf(fullSubmission);
    EXPECT_EQ(encodeHead(*job), "{}");
    job->cancelled = true;
    EXPECT_EQ(encodeHead(*job), R"({"withdrawing":true})");
    job->cancelCommitted = true;
    job->releasedWallTime = WallMillis(1700000005000);
    EXPECT_EQ(encodeHead(*job), R"({"cancelled":true,"released":1700000005000})");

    const auto read = jobOf(fullSubmission);
    decodeHead(*json::parse(R"({"withdrawing":true})"), *read);
    EXPECT_TRUE(read->cancelled && read->cancelRecorded && !read->cancelCommitted);
    decodeHead(*json::parse(R"({"cancelled":true,"released":1700000005000})"), *read);
    EXPECT_TRUE(read->cancelCommitted);
    EXPECT_EQ(read->releasedWallTime, WallMillis(1700000005000));
}

TEST(WireFormat, DescriptionSectionRecordsBytes) {
    auto job = jobOf(shortSubmission);
    const auto sections = encodeSpecSections(*job, 432);
    ASSERT_EQ(sections.size(), 2U);
    EXPECT_EQ(
        sections[0],
        R"({"text":"{\"ref\":\"run-000018\",\"category\":\"web\",\"crew\":\"blue\",)"
        R"(\"shape\":\"standing\",\"rank\":\"low\",\"splits\":1,\"cores\":1.0,\"gpus\":0.0,)"
        R"(\"ramGb\":2.0,\"build\":\"web\",\"sizeGb\":1.0,\"together\":false,\"spread\":true,)"
        R"(\"loaners\":fal"})");
    EXPECT_EQ(sections[1], R"({"text":"se,\"parS\":0.0,\"savepointS\":0.0,\"flushS\":0.0}"})");
    std::string description;
    for (const auto& section : sections)
        description += decodeSpecSection(*json::parse(section)).value();
    EXPECT_EQ(description, shortSubmission);

    job->layout.specSections = 2;
    job->layout.moveTasksOutOfFirstBlock();
    const std::string record = R"({"texts":2,"at":1700000000123,"per":614,"bare":true})";
    EXPECT_EQ(encodeBlock(*job, 0, machineName), record);
    const auto doc = json::parse(record);
    EXPECT_EQ(specSectionCount(*doc), 2U);
    const auto read = decodeJob(*doc, description, valueBytes);
    ASSERT_NE(read, nullptr);
    EXPECT_EQ(read->spec.id, "run-000018");
    EXPECT_TRUE(read->layout.firstBlockHasNoTasks());
}

}  // namespace
}  // namespace basaltchute::jobs
