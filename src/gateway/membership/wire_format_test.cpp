// The exact keys and bytes of the gateway's membership, of the ownership of queues, and of the
// range of job references.
#include <gtest/gtest.h>

#include "gateway/journal/job_id_allocator.h"
#include "gateway/membership/membership.h"
#include "testing/scripted_service.h"

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;
using basaltchute::testing::finish;

class GatewayWireFormat : public ::testing::Test {
  protected:
    basaltchute::testing::World world;
    basaltchute::testing::StateService state{world};
    Settings settings = settingsFor(state.address());
    kv_store::Client client{world.loop, settings.state};
    WriteLimiter writeLimiter{world.loop, client.writeLimiter()};
    Membership members{world.loop, client, writeLimiter, settings, "process-1", hooks()};

    static Settings settingsFor(const std::string& address) {
        Settings s;
        s.instance = "gw-1";
        s.advertise = "10.0.0.1:5672";
        s.admin = "10.0.0.1:5680";
        s.state = basaltchute::testing::someSettings();
        s.state.stateAddress = address;
        s.refsFrom = 17;
        s.refsTo = 5000;
        s.queues["red/render"].name = "red/render";
        return s;
    }
    static Membership::Hooks hooks() {
        return {[](const QueueName&, const kv_store::Precondition& fence) {
                    EXPECT_EQ(fence.key, "gw/own/queue/red/render");
                },
                [](QueueName) -> Task<void> { co_return; }, [](const QueueName&) {}, [] {}};
    }
    /// All records, each as its key and its value on a line.
    std::string stored() {
        std::string out;
        for (const auto& [key, record] : state.keys) out += key + ' ' + record.data + '\n';
        return out;
    }
    void TearDown() override { world.end(world.scope); }
};

TEST_F(GatewayWireFormat, MemberAndQueueOwnerRecords) {
    members.start(world.scope);
    world.run(4s);
    EXPECT_EQ(stored(), R"(gw/own/member/gw-1 {"instance":"gw-1","incarnation":"process-1",)"
                        R"("advertise":"10.0.0.1:5672","admin":"10.0.0.1:5680","draining":false,)"
                        R"("queues":["red/render"]})"
                        "\n"
                        R"(gw/own/queue/red/render {"incarnation":"process-1","instance":"gw-1"})"
                        "\n");
    ASSERT_EQ(members.all().size(), 1U);
    const Member& member = members.all().at("gw-1");
    EXPECT_EQ(member.incarnation, "process-1");
    EXPECT_EQ(member.advertise, "10.0.0.1:5672");
    EXPECT_EQ(member.admin, "10.0.0.1:5680");
    EXPECT_FALSE(member.draining);
    EXPECT_EQ(member.queues, std::set<QueueName>{"red/render"});
    ASSERT_NE(members.holder("red/render"), nullptr);
    EXPECT_EQ(members.holder("red/render")->instance, "gw-1");
    members.drain();
    world.run(4s);
    EXPECT_EQ(stored(), R"(gw/own/member/gw-1 {"instance":"gw-1","incarnation":"process-1",)"
                        R"("advertise":"10.0.0.1:5672","admin":"10.0.0.1:5680","draining":true,)"
                        R"("queues":["red/render"]})"
                        "\n");
}

TEST_F(GatewayWireFormat, JobReferenceRangeRecord) {
    JobIdAllocator references(world.loop, client, writeLimiter, settings);
    EXPECT_EQ(finish(world, references.next(world.scope)), "run-000017");
    EXPECT_EQ(stored(), "gw/refs {\"next\":1017}\n");
}

}  // namespace
}  // namespace basaltchute::gateway
