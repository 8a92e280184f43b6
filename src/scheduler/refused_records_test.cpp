#include <functional>

#include "scheduler/cluster_fixture.h"

namespace basaltchute::scheduler {
namespace {

using kv_store::RefusedRecordAction;

/// A cluster whose state service refuses some records.
class RefusedRecordsTest : public ClusterTest {
  protected:
    /// Whether the state service refuses a value.
    std::function<bool(const std::string& value)> refuses = [](const auto&) { return false; };
    std::size_t largestAccepted = 0;                     // since the last refusal
    std::map<std::string, RefusedRecordAction> actions;  // after the last refusal of each key
    int refusals = 0;

    /// Plays the state service until the cluster has nothing to write, without retries.
    void writeAll() {
        for (auto e = cluster->takeEffects(); !e.dirtyRecords.empty(); e = cluster->takeEffects())
            for (const auto& [key, priority] : e.dirtyRecords) writeRecord(key);
    }
    void writeRecord(const std::string& key) {
        const auto encoded = cluster->encode(key);
        if (!encoded) return;
        const std::size_t bytes = encoded->data.size();
        if (refuses(encoded->data)) {
            ASSERT_LT(++refusals, 100) << "refused again and again: " << key;
            const bool sizeWasAccepted = bytes <= std::exchange(largestAccepted, 0);
            actions[key] = cluster->onRecordRefused({key, bytes, sizeWasAccepted});
            return;
        }
        largestAccepted = std::max(largestAccepted, bytes);
        records[key] = encoded->data;
        cluster->onRecordCommitted(key, encoded->version);
    }
    /// Sends the records again that are to be retried.
    void retryRefused() {
        for (const auto& [key, action] : actions)
            if (action == RefusedRecordAction::retry) writeRecord(key);
    }
    void refuseText(const std::string& text) {
        refuses = [text](const std::string& value) {
            return value.find(text) != std::string::npos;
        };
    }
    SubmitResult trySubmit(const JobSpec& spec) {
        const SubmitResult result = cluster->submit(spec, clock.now(), clock.wall());
        place();
        writeAll();
        return result;
    }
    static JobSpec spec(const JobId& id, std::uint32_t tasks, const std::string& image = "img") {
        JobSpec s = testing::spec(id, tasks);
        s.demand = {1, 0, 1};
        s.image = image;
        return s;
    }
    [[nodiscard]] std::size_t blockBytes(const JobId& id) const {
        return records.at("jobs/" + id).size();
    }
};

TEST_F(RefusedRecordsTest, RefusedSubmissionIsDroppedAndHoldsNoCapacity) {
    // Guards against a job that can never be stored: it kept machines, was demand for more of them,
    // and its parts were written for ever.
    Worker w("n-1");
    exchangeHeartbeat(w);
    cluster->enableRecordPages();
    refuseText("odd");
    ASSERT_EQ(trySubmit(spec("run-1", 8, "odd")), SubmitResult::accepted);
    EXPECT_EQ(cluster->find("run-1"), nullptr) << "its submitter is told that it is not accepted";
    EXPECT_LT(refusals, 10);
    EXPECT_TRUE(cluster->machines()[0].allocations.empty());
    EXPECT_TRUE(cluster->openJobs().empty());
    EXPECT_EQ(cluster->findInconsistency(), "");
    trySubmit(spec("run-2", 8));
    EXPECT_EQ(cluster->find("run-2")->boundCount, 8U) << "the whole machine is free";
    EXPECT_TRUE(cluster->find("run-2")->accepted());
    // The same id can be submitted again, once the state service takes it.
    refuseText("nothing");
    EXPECT_EQ(trySubmit(spec("run-1", 1, "odd")), SubmitResult::accepted);
    EXPECT_TRUE(cluster->find("run-1")->accepted());
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->spec.image, "odd");
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(RefusedRecordsTest, DroppedSubmissionLeavesItsDependenciesAsTheyWere) {
    cluster->enableRecordPages();
    submit(spec("run-1", 1));
    JobSpec dependent = spec("run-2", 1, "odd");
    dependent.dependencies = {"run-1"};
    dependent.priority = Priority::production;
    refuseText("odd");
    for (int round = 0; round < 2; ++round) {
        ASSERT_EQ(trySubmit(dependent), SubmitResult::accepted);
        EXPECT_EQ(cluster->find("run-2"), nullptr);
        EXPECT_EQ(cluster->find("run-1")->effectivePriority, Priority::normal);
        EXPECT_TRUE(cluster->blockedJobs().empty());
    }
    EXPECT_EQ(cluster->findInconsistency(), "");
    EXPECT_EQ(cluster->dependencyGraph().findInconsistency(), "");
}

TEST_F(RefusedRecordsTest, RecordThatIsNoLargerThanAcceptedOnesIsNotDivided) {
    // Guards against one refused record raising the stored format for good: the records of all jobs
    // were divided then, down to the smallest size.
    submit(spec("run-1", 1, std::string(150, 'x')));
    refuseText("odd");
    largestAccepted = blockBytes("run-1");
    trySubmit(spec("run-2", 1, "odd"));
    EXPECT_EQ(cluster->find("run-2"), nullptr);
    EXPECT_EQ(refusals, 1);
    EXPECT_FALSE(cluster->needsRecordPages());
}

TEST_F(RefusedRecordsTest, RefusedRecordOfAnAcceptedJobIsRetriedAndOtherJobsAreNotDivided) {
    cluster->enableRecordPages();
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(spec("run-1", 1, "odd"));
    refuseText("odd");
    place();
    writeAll();
    EXPECT_EQ(actions.at("jobs/run-1"), RefusedRecordAction::retry)
        << "a block of one task cannot be divided";
    trySubmit(spec("run-2", 1, std::string(150, 'x')));
    EXPECT_TRUE(records.contains("jobs/run-2"));
    EXPECT_GT(blockBytes("run-2"), 300U) << "in one record, as if nothing had been refused";
    EXPECT_TRUE(cluster->find("run-2")->accepted());
    refuseText("nothing");
    writeRecord("jobs/run-1");
    EXPECT_TRUE(cluster->find("run-1")->layout.durable());
}

TEST_F(RefusedRecordsTest, RefusalsOfOneJobNeverKeepTheRecordsOfOthersFromBeingWritten) {
    // Guards against a size limit that was lowered for all jobs, by refusals that soon ended:
    // blocks of one task cannot be divided, and were never written again.
    cluster->enableRecordPages();
    Worker w("n-1");
    exchangeHeartbeat(w);
    submit(spec("run-1", 1));
    ASSERT_GT(blockBytes("run-1"), 256U);
    refuses = [](const std::string& value) { return value.size() > 260; };
    ASSERT_EQ(trySubmit(spec("run-2", 4, std::string(190, 'x'))), SubmitResult::accepted);
    EXPECT_GT(refusals, 0);
    EXPECT_TRUE(cluster->find("run-2")->accepted()) << "in parts";
    refuseText("nothing");
    place();
    writeAll();
    retryRefused();
    EXPECT_TRUE(cluster->find("run-1")->layout.durable()) << "the binding of its task is stored";
    EXPECT_EQ(cluster->find("run-1")->boundCount, 1U);
    const int before = refusals;
    trySubmit(spec("run-3", 4, std::string(190, 'x')));
    EXPECT_GT(blockBytes("run-3"), 300U) << "in one record";
    EXPECT_EQ(refusals, before);
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->boundCount, 1U);
    EXPECT_EQ(cluster->find("run-2")->spec.image, std::string(190, 'x'));
}

TEST_F(RefusedRecordsTest, EachDivisionMakesRecordsSmallerUntilTheSubmissionIsDropped) {
    // Guards against a refused record that is written again unchanged: a first block that has given
    // its tasks away already, and a later block of a job whose description is divided.
    cluster->enableRecordPages();
    Worker first("n-1"), second("n-2");
    exchangeHeartbeat(first);
    exchangeHeartbeat(second);
    JobSpec many = spec("run-1", 1300, "odd");
    many.demand = {0.01, 0, 0.01};
    for (const std::size_t machineTypes : {0U, 100U}) {
        refusals = 0;
        if (machineTypes > 0) many.machineTypes = std::vector<std::string>(machineTypes, "box");
        refuses = [](const std::string&) { return true; };
        ASSERT_EQ(trySubmit(many), SubmitResult::accepted);
        EXPECT_EQ(cluster->find("run-1"), nullptr);
        EXPECT_GT(refusals, 2);
        EXPECT_EQ(cluster->findInconsistency(), "");
    }
    constexpr std::size_t limit = 500;
    refuses = [](const std::string& value) { return value.size() > limit; };
    refusals = 0;
    ASSERT_EQ(trySubmit(many), SubmitResult::accepted);
    EXPECT_TRUE(cluster->find("run-1")->accepted());
    EXPECT_TRUE(cluster->find("run-1")->layout.durable());
    const std::uint32_t bound = cluster->find("run-1")->boundCount;
    EXPECT_GT(bound, 600U);
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->boundCount, bound);
}

TEST_F(RefusedRecordsTest, RecordThatCannotBeDividedYetIsRetriedAndItsSubmissionDroppedAfterThat) {
    // Not every node can read divided records, so they may not be written yet.
    refuses = [](const std::string& value) { return value.size() > 260; };
    cluster->submit(spec("run-1", 4), clock.now(), clock.wall());
    writeAll();
    EXPECT_EQ(actions.at("jobs/run-1"), RefusedRecordAction::retry);
    EXPECT_TRUE(cluster->needsRecordPages());
    cluster->submit(spec("run-2", 4), clock.now(), clock.wall());
    writeAll();
    cluster->enableRecordPages();
    writeAll();
    EXPECT_TRUE(cluster->find("run-1")->accepted()) << "in parts, as soon as they may be written";
    takeOver();
    cluster->submit(spec("run-3", 4), clock.now(), clock.wall());
    writeAll();
    writeRecord("jobs/run-3");
    EXPECT_EQ(cluster->find("run-3"), nullptr) << "refused again while it cannot be divided";
    EXPECT_EQ(cluster->findInconsistency(), "");
}

TEST_F(RefusedRecordsTest, JobIsNotAcceptedBeforeEverySectionOfItsDescriptionIsStored) {
    // Guards against sections that are counted twice: the job was accepted without one of them, and
    // no later leader could read it.
    cluster->enableRecordPages();
    JobSpec large = spec("run-1", 1);
    large.machineTypes = {"box", std::string(150, 'x'), std::string(150, 'y'), "last"};
    cluster->submit(large, clock.now(), clock.wall());
    const Job& job = *cluster->find("run-1");
    refuses = [](const std::string& value) { return value.size() > 600; };
    writeRecord("jobs/run-1");
    writeRecord("jobs/run-1");
    ASSERT_GT(job.layout.specSections, 1U);
    refuses = [](const std::string& value) { return value.size() > 300; };
    // A section of the first division is stored only after the description was divided anew.
    const auto late = cluster->encode("parts/run-1/s0");
    ASSERT_TRUE(late);
    cluster->onRecordRefused({"parts/run-1/s1", 400, false});
    cluster->onRecordCommitted("parts/run-1/s0", late->version);
    for (std::uint32_t i = 0; i + 1 < job.layout.specSections; ++i) {
        writeRecord("parts/run-1/s" + std::to_string(i));
        writeRecord("parts/run-1/s" + std::to_string(i));  // it was marked as dirty once more
    }
    EXPECT_FALSE(cluster->encode("jobs/run-1")) << "the last section is not stored";
    writeAll();
    EXPECT_TRUE(job.accepted());
    takeOver();
    EXPECT_EQ(cluster->find("run-1")->spec.machineTypes, large.machineTypes);
}

}  // namespace
}  // namespace basaltchute::scheduler
