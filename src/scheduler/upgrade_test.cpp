#include <gtest/gtest.h>

#include <random>

#include "peer_rpc/peer_rpc.h"
#include "scheduler/cluster.h"
#include "testing/world.h"

// Tests that this version reads the records of the version in production, and the other way round.
// src/jobs/golden/production.json was written by a build of that version (tools/golden/write.cpp).

namespace basaltchute::scheduler {
namespace {

using namespace std::chrono_literals;
using testing::Worker;
using worker_api::ExitCause;
using worker_api::TaskStatus;

json::Document golden() {
    const auto text = settings::readFile(GOLDEN);
    auto doc = json::parse(text.value_or(""));
    EXPECT_TRUE(doc) << GOLDEN;
    return std::move(*doc);
}

std::map<std::string, std::string> goldenRecords() {
    std::map<std::string, std::string> out;
    const auto doc = golden();
    for (const auto& r : doc["records"].GetObject()) out[r.name.GetString()] = json::text(r.value);
    return out;
}

/// What the version in production reads from a job's records, by a second implementation of its
/// rules.
struct ProductionJob {
    std::string description;  // without the fields that it does not know
    std::uint64_t tasks = 0, tasksPerRecord = 0;
    std::int64_t submittedAt = 0;
    bool cancelled = false, cancelling = false;
    struct Task {
        bool done = false, reserved = false;
        std::uint64_t attempt = 0;
        std::string machine;
        bool operator==(const Task&) const = default;
    };
    std::vector<Task> state;
};
/// Reads the jobs as the version in production does. Returns nothing if that version would reject
/// one of the records as malformed.
std::optional<std::map<std::string, ProductionJob>> readAsProduction(
    const std::map<std::string, std::string>& records) {
    std::map<std::string, ProductionJob> jobs;
    for (const auto& [key, data] : records) {
        if (!key.starts_with("jobs/")) continue;
        const auto doc = json::parse(data);
        if (!doc || !doc->IsObject()) return std::nullopt;
        const std::string rest = key.substr(5);
        const auto slash = rest.find('/');
        std::uint64_t record = 0;
        if (slash == std::string::npos) {
            const auto* spec = json::find(*doc, "spec");
            const auto at = json::number(*doc, "at");
            const auto per = json::count(*doc, "per");
            if (spec == nullptr || !at || !per || *per == 0) return std::nullopt;
            auto parsed = jobs::parseSubmission(json::text(*spec));
            if (!std::holds_alternative<JobSpec>(parsed)) return std::nullopt;
            ProductionJob j;
            j.tasks = std::get<JobSpec>(parsed).tasks;
            json::Document known;
            known.CopyFrom(*spec, known.GetAllocator());
            known.RemoveMember("waitsOn");
            j.description = json::text(known);
            j.tasksPerRecord = *per;
            j.submittedAt = static_cast<std::int64_t>(*at);
            j.cancelled = json::boolean(*doc, "cancelled").value_or(false);
            j.cancelling = json::boolean(*doc, "withdrawing").value_or(false);
            j.state.resize(j.tasks);
            jobs[rest] = std::move(j);
        } else {
            record = std::strtoul(rest.c_str() + slash + 1, nullptr, 10);
        }
        const auto found = jobs.find(rest.substr(0, slash));
        if (found == jobs.end()) return std::nullopt;
        ProductionJob& j = found->second;
        if (record >= (j.tasks + j.tasksPerRecord - 1) / j.tasksPerRecord) return std::nullopt;
        const auto* done = json::array(*doc, "done");
        const auto* bound = json::array(*doc, "bound");
        if (done == nullptr || bound == nullptr) return std::nullopt;
        for (unsigned i = 0; i + 1 < done->Size(); i += 2)
            for (std::uint64_t t = (*done)[i].GetUint();
                 t <= (*done)[i + 1].GetUint() && t < j.tasks; ++t)
                j.state[t].done = true;
        for (const auto& b : bound->GetArray()) {
            if (!b.IsArray() || b.Size() < 2 || b[0].GetUint() >= j.tasks) return std::nullopt;
            ProductionJob::Task& t = j.state[b[0].GetUint()];
            t.attempt = b[1].GetUint64();
            if (b.Size() < 3) continue;
            t.machine = b[2].GetString();
            t.reserved = b.Size() > 3 && b[3].IsTrue();
        }
    }
    return jobs;
}

class UpgradeTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = settingsWithSmallValues();
    std::unique_ptr<Cluster> cluster;
    std::map<std::string, std::string> records = goldenRecords();
    std::map<std::string, Worker> workers;
    FencingToken token = 7;

    static settings::Settings settingsWithSmallValues() {
        auto s = testing::someSettings();
        s.valueBytes = 2048;
        return s;
    }
    void takeOver(bool withRecordPages) {
        cluster = std::make_unique<Cluster>(settings, ++token);
        cluster->setCatalogue(testing::someCatalogue());
        for (const auto& [k, data] : records)
            ASSERT_TRUE(cluster->loadRecord(k, data, clock.now(), clock.wall())) << k;
        cluster->finishLoading(clock.now());
        if (withRecordPages) cluster->enableRecordPages();
    }
    /// Each machine sends a heartbeat that reports the tasks which the cluster has allocated to it
    /// as running, and executes the commands in the response.
    void exchangeHeartbeats() {
        for (MachineIndex i = 0; i < cluster->machines().size(); ++i) {
            const auto& m = cluster->machines()[i];
            Worker& w = workers.try_emplace(m.name, m.name).first->second;
            for (const auto& c : m.allocations) {
                const bool known =
                    std::any_of(w.report.tasks.begin(), w.report.tasks.end(), [&](const auto& t) {
                        return t.job == c.job->spec.id && t.task == c.task &&
                               t.attempt == c.attempt;
                    });
                if (!known)
                    w.report.tasks.push_back({c.job->spec.id, c.task, c.attempt,
                                              TaskStatus::running, ExitCause::other, false});
            }
        }
        for (auto& [name, w] : workers) {
            w.execute(cluster->onHeartbeat(w.next(), clock.now()));
            w.report.token = token;
        }
    }
    /// Commits the changed records, at most `maxWrites` of them, as if the process ended after
    /// that.
    void commitAtMost(std::size_t maxWrites) {
        while (true) {
            const auto dirty = cluster->takeEffects().dirtyRecords;
            if (dirty.empty()) return;
            for (const auto& [key, urgency] : dirty) {
                const auto e = cluster->encode(key);
                if (!e) continue;
                if (maxWrites-- == 0) return;
                EXPECT_TRUE(e->data.size() <= settings.valueBytes) << key << ' ' << e->data.size();
                records[key] = e->data;
                cluster->onRecordCommitted(key, e->version);
            }
        }
    }
    void finishSome(std::mt19937& random, double share) {
        for (auto& [name, w] : workers)
            for (std::size_t t = 0; t < w.report.tasks.size(); ++t)
                if (static_cast<double>(random() % 1000) < share * 1000)
                    w.set(t, TaskStatus::exited, ExitCause::done);
    }
    /// Expects that the new leader has restored everything that was durable under the previous one.
    void expectDurableStateRestored(Cluster& before) {
        for (const char* id : {"run-000001", "run-000002", "run-000003", "run-000004", "run-000005",
                               "run-000006", "run-000007"}) {
            const Job& was = *before.find(id);
            const Job& is = *cluster->find(id);
            if (was.cancelDurable()) {
                EXPECT_TRUE(is.cancelCommitted) << id;
            }
            if (was.doneDurable()) {
                EXPECT_TRUE(is.allDone()) << id;
            }
            for (std::uint32_t t = 0; t < was.spec.tasks; ++t) {
                const auto& s = was.layout.rangeOf(t);
                if (s.durableVersion < s.version) continue;
                const JobTask &a = was.tasks[t], &b = is.tasks[t];
                ASSERT_EQ(a.state, b.state) << id << '/' << t;
                // A cancelled job never makes another attempt.
                if (a.state == TaskState::done || was.cancelled) continue;
                ASSERT_EQ(a.attempt, b.attempt) << id << '/' << t;
                if (a.state != TaskState::bound) continue;
                ASSERT_EQ(before.machines()[a.machine].name, cluster->machines()[b.machine].name);
                ASSERT_EQ(a.reserved, b.reserved) << id << '/' << t;
            }
        }
    }
};

TEST_F(UpgradeTest, RecordsAndFramesWrittenByProductionAreReadCorrectly) {
    takeOver(false);
    EXPECT_EQ(cluster->jobCount(), 7U);
    EXPECT_EQ(cluster->find("run-000001")->waitingCount(), 2U);
    EXPECT_EQ(cluster->find("run-000002")->boundCount, 300U);
    EXPECT_EQ(*cluster->find("run-000002")->spec.deadlineS, 120.5);
    EXPECT_TRUE(cluster->find("run-000002")->spec.dependencies.empty());
    EXPECT_EQ(cluster->find("run-000003")->doneCount, 320U);
    EXPECT_EQ(cluster->find("run-000003")->boundCount, 330U);
    EXPECT_EQ(cluster->find("run-000003")->tasks[401].attempt, 1U + 401 % 3);
    EXPECT_TRUE(cluster->find("run-000004")->cancelled);
    EXPECT_FALSE(cluster->find("run-000004")->cancelCommitted);
    EXPECT_TRUE(cluster->find("run-000005")->cancelDurable());
    EXPECT_TRUE(cluster->find("run-000006")->tasks[2].reserved);
    EXPECT_TRUE(cluster->find("run-000007")->doneDurable());
    const auto doc = golden();
    for (const auto& f : doc["frames"].GetObject()) {
        std::string data;
        const std::string hex = f.value.GetString();
        for (std::size_t i = 0; i < hex.size(); i += 2)
            data += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
        peer_rpc::Message m;
        ASSERT_EQ(peer_rpc::decode(data, m), peer_rpc::DecodeStatus::message) << f.name.GetString();
        if (!m.hello) continue;
        EXPECT_EQ(m.hello->node, "rig-1");
        EXPECT_EQ(m.hello->incarnation, "a-process");
        EXPECT_TRUE(m.hello->supportsTransfers);
        EXPECT_EQ(m.hello->storedFormat, 1U)
            << "records of a newer format must not be written while it serves";
    }
}

TEST_F(UpgradeTest, RecordsWrittenBeforeRecordPagesAreEnabledAreReadableByProduction) {
    // Existing blocks keep their size, new jobs get small ones, and no kind of key is used that the
    // version in production does not know.
    settings.valueBytesNow = 16 * 1024;
    takeOver(false);
    std::mt19937 random(5);
    JobSpec newJob = testing::spec("run-000009", 120);
    newJob.demand = {0.1, 0, 0.1};
    cluster->submit(newJob, clock.now(), clock.wall());
    for (int round = 0; round < 12; ++round) {
        exchangeHeartbeats();
        finishSome(random, 0.1);
        if (round == 6) cluster->cancel(*cluster->find("run-000003"), clock.now());
        clock.advance(1s);
        cluster->place(clock.now());
        testing::commitAll(*cluster, records);
    }
    for (const auto& [key, data] : records) EXPECT_TRUE(key.starts_with("jobs/")) << key;
    for (const char* key : {"jobs/run-000009", "jobs/run-000009/1"})
        EXPECT_LE(records.at(key).size(), 2048U);
    const auto old = readAsProduction(records);
    ASSERT_TRUE(old);
    for (const auto& [id, j] : *old) {
        const Job& job = *cluster->find(id);
        EXPECT_EQ(j.tasks, job.spec.tasks);
        EXPECT_EQ(j.submittedAt, job.submittedWallTime.count());
        EXPECT_EQ(j.cancelled, job.cancelCommitted) << id;
        EXPECT_EQ(j.cancelling, job.cancelled && !job.cancelCommitted) << id;
        for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
            const JobTask& task = job.tasks[t];
            ASSERT_EQ(j.state[t].done, task.state == TaskState::done) << id << '/' << t;
            if (task.state == TaskState::done || (job.cancelled && job.boundCount == 0)) continue;
            ASSERT_EQ(j.state[t].attempt, task.attempt) << id << '/' << t;
            const bool bound = task.state == TaskState::bound;
            ASSERT_EQ(j.state[t].machine, bound ? cluster->machines()[task.machine].name : "");
            ASSERT_EQ(j.state[t].reserved, bound && task.reserved);
        }
    }
    EXPECT_EQ(old->size(), 8U);
    // The records that production itself wrote are valid by these rules, too.
    EXPECT_TRUE(readAsProduction(goldenRecords()));
}

TEST_F(UpgradeTest, LargeRecordsCanStillChangeAfterTheSizeLimitIsLowered) {
    takeOver(true);
    std::mt19937 random(7);
    for (int round = 0; round < 10; ++round) {
        exchangeHeartbeats();
        finishSome(random, 0.2);
        clock.advance(1s);
        cluster->place(clock.now());
        commitAtMost(SIZE_MAX);
    }
    cluster->cancel(*cluster->find("run-000002"), clock.now());
    clock.advance(1s);
    cluster->advanceTo(clock.now());
    commitAtMost(SIZE_MAX);
    EXPECT_TRUE(cluster->find("run-000002")->cancelDurable());
    EXPECT_TRUE(cluster->find("run-000004")->cancelDurable())
        << "its cancellation had begun under production";
    EXPECT_GT(records.at("jobs/run-000002").size(), 16'000U)
        << "the record is still the one that production wrote";
    EXPECT_LT(records.at("parts/run-000002").size(), 30U);
    for (int round = 0; round < 60 && !cluster->find("run-000003")->doneDurable(); ++round) {
        exchangeHeartbeats();
        finishSome(random, 0.5);
        clock.advance(1s);
        cluster->place(clock.now());
        commitAtMost(SIZE_MAX);
    }
    EXPECT_TRUE(cluster->find("run-000003")->doneDurable());
    const auto before = std::move(cluster);
    takeOver(true);
    expectDurableStateRestored(*before);
    EXPECT_TRUE(cluster->find("run-000002")->cancelDurable());
    EXPECT_TRUE(cluster->find("run-000003")->doneDurable());
}

TEST_F(UpgradeTest, ATakeOverAfterAnyWriteFindsAllRecords) {
    // While a block is split into pages, the leader may end after any of the writes.
    for (unsigned seed = 1; seed <= 60; ++seed) {
        records = goldenRecords();
        workers.clear();
        std::mt19937 random(seed);
        takeOver(true);
        for (int leaderIndex = 0; leaderIndex < 6; ++leaderIndex) {
            for (int round = 0; round < 3; ++round) {
                exchangeHeartbeats();
                finishSome(random, 0.05);
                if (random() % 4 == 0)
                    cluster->cancel(*cluster->find(random() % 2 == 0 ? "run-000002" : "run-000003"),
                                    clock.now());
                clock.advance(1s);
                cluster->place(clock.now());
                if (round < 2) commitAtMost(SIZE_MAX);
            }
            commitAtMost(random() % 12);
            const auto before = std::move(cluster);
            takeOver(true);
            expectDurableStateRestored(*before);
            if (HasFatalFailure()) FAIL() << "seed " << seed << ", leader " << leaderIndex;
        }
    }
}

TEST_F(UpgradeTest, OldBlocksOfAHundredThousandTasksAreSplitIntoPages) {
    records.clear();
    auto before = settings;
    before.valueBytes = before.valueBytesNow = 16 * 1024;
    Cluster old(before, 1);
    old.setCatalogue(testing::someCatalogue());
    JobSpec s = testing::spec("run-000001", 100'000);
    s.demand = {0.001, 0, 0.001};
    old.submit(s, clock.now(), clock.wall());
    std::vector<Worker> machines;
    for (int i = 0; i < 12; ++i)
        machines.emplace_back("n-" + std::string(60, 'x') + std::to_string(i));
    for (int i = 0; i < 80; ++i) {
        for (auto& w : machines) {
            w.execute(old.onHeartbeat(w.next(), clock.now()));
            w.report.token = 1;
        }
        old.place(clock.now(), 64);
        testing::commitAll(old, records);
    }
    const std::size_t blockCount = records.size();
    ASSERT_GT(blockCount, 5U);
    takeOver(true);
    std::mt19937 random(3);
    for (int round = 0; round < 4; ++round) {
        exchangeHeartbeats();
        finishSome(random, 0.5);
        commitAtMost(SIZE_MAX);
    }
    EXPECT_GT(records.size(), blockCount);
    const auto was = std::move(cluster);
    takeOver(true);
    EXPECT_EQ(cluster->find("run-000001")->doneCount, was->find("run-000001")->doneCount);
    EXPECT_GT(cluster->find("run-000001")->doneCount, 1000U);
}

TEST_F(UpgradeTest, ADescriptionLargerThanOneValueIsStoredInSeveralRecordsBeforeTheJobIsAccepted) {
    records.clear();
    takeOver(true);
    std::vector<JobId> needs;
    for (int i = 0; i < 4000; ++i) {
        const JobId id = "run-" + std::to_string(100'000 + i);
        JobSpec s = testing::spec(id);
        cluster->submit(s, clock.now(), clock.wall());
        needs.push_back(id);
    }
    testing::commitAll(*cluster, records);
    records.clear();  // the dependencies themselves do not matter from here on
    JobSpec s = testing::spec("run-9", 40);
    s.dependencies = needs;
    s.image = "caf\xC3\xA9 \"quoted\" \n";
    ASSERT_EQ(cluster->submit(s, clock.now(), clock.wall()), SubmitResult::accepted);
    const Job& job = *cluster->find("run-9");
    std::size_t writes = 0;
    for (auto e = cluster->takeEffects(); !e.dirtyRecords.empty(); e = cluster->takeEffects())
        for (const auto& [key, urgency] : e.dirtyRecords) {
            const auto encoded = cluster->encode(key);
            if (!encoded) continue;
            EXPECT_LE(encoded->data.size(), settings.valueBytes) << key;
            const bool isDescriptionPart = key.find("/s") != std::string::npos;
            EXPECT_TRUE(!isDescriptionPart || !job.accepted())
                << "the job's own record must be committed after " << key;
            records[key] = encoded->data;
            cluster->onRecordCommitted(key, encoded->version);
            ++writes;
        }
    EXPECT_TRUE(job.accepted());
    EXPECT_GT(writes, 30U);
    takeOver(true);
    const Job& read = *cluster->find("run-9");
    EXPECT_EQ(read.spec.dependencies, needs);
    EXPECT_EQ(read.spec.image, s.image);
    EXPECT_TRUE(read.blocked) << "none of its dependencies is on record here, so none is done";
}

TEST_F(UpgradeTest, AValueRefusedAsTooLargeIsNeverWrittenAgainUnchanged) {
    // The state service's limit is below the one in the settings.
    records.clear();
    takeOver(true);
    Worker w("n-1");
    w.execute(cluster->onHeartbeat(w.next(), clock.now()));
    JobSpec s = testing::spec("run-000001", 200);
    s.demand = {0.02, 0, 0.02};
    cluster->submit(s, clock.now(), clock.wall());
    cluster->place(clock.now());
    constexpr std::size_t limit = 900;
    std::set<std::pair<std::string, std::string>> refused;
    for (auto e = cluster->takeEffects(); !e.dirtyRecords.empty(); e = cluster->takeEffects())
        for (const auto& [key, urgency] : e.dirtyRecords) {
            const auto encoded = cluster->encode(key);
            if (!encoded) continue;
            if (encoded->data.size() > limit) {
                EXPECT_TRUE(refused.insert({key, encoded->data}).second)
                    << "a refused value was encoded again unchanged: " << key;
                EXPECT_EQ(cluster->onRecordRefused({key, encoded->data.size(), false}),
                          kv_store::RefusedRecordAction::drop);
                continue;
            }
            records[key] = encoded->data;
            cluster->onRecordCommitted(key, encoded->version);
        }
    EXPECT_FALSE(refused.empty());
    const Job& job = *cluster->find("run-000001");
    EXPECT_TRUE(job.accepted());
    EXPECT_TRUE(job.layout.durable());
    takeOver(true);
    EXPECT_EQ(cluster->find("run-000001")->boundCount, 200U);
}

}  // namespace
}  // namespace basaltchute::scheduler
