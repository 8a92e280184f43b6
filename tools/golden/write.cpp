// Writes records and frames as the version in production wrote them. Built against that version:
//   git worktree add ../production $(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
//   cmake -S ../production -B ../production/target && cmake --build ../production/target -j8
//   g++ -std=c++20 -I../production/src -I../production/target/generated tools/golden/write.cpp \
//       ../production/target/libbasaltchute_core.a -lcapnp -lkj -lspdlog -lfmt -lhttp_parser -o
//       write
//   ./write > src/jobs/golden/production.json
#include <cstdio>
#include <string>

#include "jobs/codec.h"
#include "peer_rpc/peer_rpc.h"

using namespace basaltchute;

namespace {

constexpr std::size_t valueBytes = 16 * 1024;

JobSpec spec(const std::string& id, std::uint32_t tasks, const std::string& extra) {
    const std::string body =
        R"({"ref":")" + id +
        R"(","category":"c","crew":"red","shape":"array","rank":"normal","splits":)" +
        std::to_string(tasks) +
        R"(,"cores":0.5,"gpus":0.0,"ramGb":0.25,"build":"img","sizeGb":1.0,"rigs":null,"hall":null,)"
        R"("together":false,"spread":false,"loaners":true,"parS":10.0,"savepointS":5.0,)"
        R"("flushS":1.0,"cutoffS":)" +
        extra + "}";
    return std::get<JobSpec>(jobs::parseSubmission(body));
}

std::string hex(const std::string& bytes) {
    std::string out;
    char two[3];
    for (const unsigned char c : bytes) {
        std::snprintf(two, sizeof two, "%02x", c);
        out += two;
    }
    return out;
}

}  // namespace

int main() {
    json::Out o;
    o.open().key("records").open();
    const auto write = [&](const Job& job) {
        for (std::size_t r = 0; r < job.records.size(); ++r) {
            const auto name = [](MachineIndex i) -> const std::string& {
                static std::string out;
                out =
                    "n-" + std::string(i >= 1000 ? 34 : 0, 'x') + std::to_string(100000 + i % 1000);
                return out;
            };
            o.key(jobs::recordKey(job.spec.id, r)).raw(jobs::encodeRecord(job, r, name));
        }
    };
    const auto bind = [](Job& job, std::uint32_t from, std::uint32_t to, MachineIndex first,
                         bool guaranteed = false) {
        for (std::uint32_t t = from; t < to; ++t) {
            job.tasks[t].state = TaskState::bound;
            job.tasks[t].attempt = 1 + t % 3;
            job.tasks[t].machine = first + t / 4;
            job.tasks[t].guaranteed = guaranteed;
            ++job.boundCount;
        }
    };
    const auto make = [&](const std::string& id, std::uint32_t tasks,
                          const std::string& extra = "null") {
        auto job = jobs::makeJob(spec(id, tasks, extra), valueBytes);
        job->submitted = WallMillis(1'700'000'000'000);
        return job;
    };
    auto fresh = make("run-000001", 2);
    write(*fresh);
    auto large = make("run-000002", 300, "120.5");  // one block, with long names
    bind(*large, 0, 300, 1000);
    write(*large);
    auto blocks = make("run-000003", 700);  // three blocks, partly done
    bind(*blocks, 0, 650, 0);
    for (std::uint32_t t = 0; t < 400; ++t)
        if (t % 5 != 0)
            blocks->tasks[t].state = TaskState::done, ++blocks->doneCount, --blocks->boundCount;
    write(*blocks);
    auto withdrawing = make("run-000004", 300);
    bind(*withdrawing, 0, 290, 1000);
    withdrawing->cancelled = withdrawing->cancelRecorded = true;
    write(*withdrawing);
    auto cancelled = make("run-000005", 3);
    cancelled->cancelled = cancelled->cancelCommitted = true;
    write(*cancelled);
    auto reserved = make("run-000006", 4);
    bind(*reserved, 0, 3, 7, true);
    write(*reserved);
    auto done = make("run-000007", 5);
    for (auto& t : done->tasks) t.state = TaskState::done;
    done->doneCount = 5;
    write(*done);
    o.close().key("frames").open();
    const auto frame = [&](const char* name, const peer_rpc::Message& m) {
        o.field(name, hex(peer_rpc::encode(m)));
    };
    peer_rpc::Message m;
    m.hello = peer_rpc::Hello{"rig-1", true, 9, true, 9, true, true, "a-process"};
    frame("hello", m);
    m = {};
    m.id = 3;
    m.request = http::Request{"POST", "/v1/jobs", "{}"};
    m.purpose = peer_rpc::Purpose::worker;
    m.worker = "10.1.0.7:9000";
    frame("request", m);
    m = {};
    m.id = 3;
    m.reply = http::Response{503, "{}", 7};
    frame("reply", m);
    m = {};
    m.id = 4;
    m.pledge = peer_rpc::Pledge{9, std::chrono::milliseconds(3000)};
    frame("pledge", m);
    m = {};
    m.id = 5;
    m.borrow = loans::Question{"rig-1", 9, 2, std::chrono::seconds(3)};
    frame("borrow", m);
    m = {};
    m.id = 6;
    m.loan = loans::Loan{9, 3, std::chrono::seconds(20)};
    frame("loan", m);
    o.close().close();
    std::puts(o.text().c_str());
}
