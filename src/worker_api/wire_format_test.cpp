// The exact bytes exchanged with workers: heartbeat reports, heartbeat responses and direct
// commands.
#include <gtest/gtest.h>

#include "worker_api/status_report.h"

namespace basaltchute::worker_api {
namespace {

using namespace std::chrono_literals;

const std::vector<Command> everyCommand = {
    LaunchTask{{"run-000017", 3, 2}}, StopTask{{"run-000018", 0, 1}, 30s},
    StopTask{{"run-000018", 1, 4}, 2500ms}, ForgetTask{{"run-000019", 12, 7}}};

TEST(WireFormat, HeartbeatRequestWithAllFields) {
    const std::string body =
        R"({"host":"n-12","addr":"10.1.0.12:7000","rigKind":"c8","hall":"north","loaners":true,)"
        R"("stint":4,"tick":118,"baton":9,"recallS":42.5,"splits":[)"
        R"({"split":"run-000017/3","try":2,"status":"running","cause":null,"stored":true}]})";
    const auto report = parseStatusReport(body);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->machine, "n-12");
    EXPECT_EQ(report->address, "10.1.0.12:7000");
    EXPECT_EQ(report->type, "c8");
    EXPECT_EQ(report->zone, "north");
    EXPECT_TRUE(report->spot);
    EXPECT_EQ(report->incarnation, 4U);
    EXPECT_EQ(report->sequence, 118U);
    EXPECT_EQ(report->token, 9U);
    EXPECT_EQ(report->interruptionNotice, Duration(42500ms));
    EXPECT_EQ(report->bytes, body.size());
    ASSERT_EQ(report->tasks.size(), 1U);
    EXPECT_EQ(report->tasks[0].job, "run-000017");
    EXPECT_EQ(report->tasks[0].task, 3U);
    EXPECT_EQ(report->tasks[0].attempt, 2U);
    EXPECT_EQ(report->tasks[0].status, TaskStatus::running);
    EXPECT_EQ(report->tasks[0].cause, ExitCause::other);
    EXPECT_TRUE(report->tasks[0].checkpointed);
}

TEST(WireFormat, HeartbeatRequestWithoutOptionalFields) {
    const auto report =
        parseStatusReport(R"({"host":"n-12","addr":"10.1.0.12:7000","rigKind":"c8","hall":"north",)"
                          R"("stint":1,"tick":1,"splits":[]})");
    ASSERT_TRUE(report);
    EXPECT_FALSE(report->spot);
    EXPECT_EQ(report->token, 0U);
    EXPECT_FALSE(report->interruptionNotice);
    EXPECT_TRUE(report->tasks.empty());
}

TEST(WireFormat, HeartbeatTaskStatusesAndExitCauses) {
    const auto taskOf = [](const std::string& status, const std::string& cause) {
        const auto report = parseStatusReport(
            R"({"host":"n-1","addr":"10.1.0.1:7000","rigKind":"c8","hall":"north","stint":1,)"
            R"("tick":1,"splits":[{"split":"run-000001/0","try":1,"status":")" +
            status + R"(","cause":")" + cause + R"("}]})");
        return report.value().tasks.at(0);
    };
    EXPECT_EQ(taskOf("pulling", "").status, TaskStatus::pulling);
    EXPECT_EQ(taskOf("running", "").status, TaskStatus::running);
    EXPECT_EQ(taskOf("saving", "").status, TaskStatus::checkpointing);
    EXPECT_EQ(taskOf("exited", "").status, TaskStatus::exited);
    EXPECT_EQ(taskOf("paused", "").status, TaskStatus::other);
    EXPECT_EQ(taskOf("exited", "done").cause, ExitCause::done);
    EXPECT_EQ(taskOf("exited", "stopped").cause, ExitCause::stopped);
    EXPECT_EQ(taskOf("exited", "error").cause, ExitCause::error);
    EXPECT_EQ(taskOf("exited", "full").cause, ExitCause::full);
    EXPECT_EQ(taskOf("exited", "busy").cause, ExitCause::busy);
    EXPECT_EQ(taskOf("exited", "no_such").cause, ExitCause::noSuch);
    EXPECT_EQ(taskOf("exited", "noSuch").cause, ExitCause::other);
    EXPECT_FALSE(taskOf("exited", "done").checkpointed);
}

TEST(WireFormat, HeartbeatRequestRequiredFields) {
    const std::string complete =
        R"({"host":"n-1","addr":"10.1.0.1:7000","rigKind":"c8","hall":"north","stint":1,)"
        R"("tick":1,"splits":[{"split":"run-000001/0","try":1,"status":"running"}]})";
    ASSERT_TRUE(parseStatusReport(complete));
    for (const std::string field :
         {"host", "addr", "rigKind", "hall", "stint", "tick", "splits", "split", "try"}) {
        std::string renamed = complete;
        renamed.replace(renamed.find('"' + field + '"'), field.size() + 2, "\"unknown\"");
        EXPECT_FALSE(parseStatusReport(renamed)) << field;
    }
}

TEST(WireFormat, HeartbeatResponseBytes) {
    EXPECT_EQ(encodeHeartbeatResponse(9, {}), R"({"baton":9,"orders":[]})");
    EXPECT_EQ(encodeHeartbeatResponse(9, everyCommand),
              R"({"baton":9,"orders":[)"
              R"({"verb":"launch","split":"run-000017/3","try":2},)"
              R"({"verb":"stop","split":"run-000018/0","try":1,"windDownS":30.0},)"
              R"({"verb":"stop","split":"run-000018/1","try":4,"windDownS":2.5},)"
              R"({"verb":"forget","split":"run-000019/12","try":7}]})");
}

TEST(WireFormat, DirectCommandRequestBytes) {
    EXPECT_EQ(encodeCommands(9, 4, {}), R"({"baton":9,"stint":4,"orders":[]})");
    EXPECT_EQ(encodeCommands(9, 4, everyCommand),
              R"({"baton":9,"stint":4,"orders":[)"
              R"({"verb":"launch","split":"run-000017/3","try":2},)"
              R"({"verb":"stop","split":"run-000018/0","try":1,"windDownS":30.0},)"
              R"({"verb":"stop","split":"run-000018/1","try":4,"windDownS":2.5},)"
              R"({"verb":"forget","split":"run-000019/12","try":7}]})");
}

}  // namespace
}  // namespace basaltchute::worker_api
