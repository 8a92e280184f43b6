// Failure cases of docs/amqp.md, each provoked by a fault in a fake service.
#include "gateway/app/gateway.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "gateway/testing/client.h"
#include "gateway/testing/gateway_fixture.h"
#include "simulator/query.h"

namespace basaltchute::gateway {
namespace {

using namespace std::chrono_literals;
using amqp::Outcome;
using testing::Client;
using testing::GatewayFixture;
using testing::JobService;

const QueueName checks = "north/replay-verify";
const std::string atBroker = "work/" + checks;
const std::string toQueue = "queue/" + checks;

class GatewayTest : public ::testing::Test {
  protected:
    GatewayTest() {
        spdlog::set_level(spdlog::level::off);
        s.addQueue(checks);
    }
    [[nodiscard]] std::size_t jobsOf(const std::string& marker) const {
        const auto it = s.jobs.refsOf.find(marker);
        return it == s.jobs.refsOf.end() ? 0 : it->second.size();
    }
    testing::Broker::Queue& queue() { return s.broker.queues[atBroker]; }
    bool taken(std::size_t n) {
        return s.until([&] { return queue().accepted == n && queue().unsettled == 0; }, 60s);
    }
    const JournalEntry* entry(const std::string& key) {
        Gateway* g = s.holder(checks);
        return g == nullptr ? nullptr : g->queueOwner(checks)->journal().find(key);
    }
    /// A client with a link to the queue that has credit.
    std::unique_ptr<Client> client(Gateway& g, amqp::Connection::Options options = {}) {
        auto c = std::make_unique<Client>(s.world.loop, g.address(), std::move(options));
        c->start();
        s.until([&] { return c->open || c->over; });
        if (!c->open) return c;
        c->sendTo(toQueue);
        s.until([&] { return c->linked(toQueue) || c->ends.contains(toQueue); });
        return c;
    }
    GatewayFixture s;
};

TEST_F(GatewayTest, MessageRunsOneJobAndGetsOneReply) {
    s.start("gw-1");
    s.broker.publish(atBroker, GatewayFixture::message("m", "id-1", "answers"));
    ASSERT_TRUE(s.until([&] { return s.broker.received["answers"].size() == 1; }));
    EXPECT_EQ(queue().accepted, 1U);
    ASSERT_EQ(jobsOf("m"), 1U);
    const auto& reply = s.broker.received["answers"][0];
    EXPECT_EQ(reply.correlation.toText(), "t:id-1");
    EXPECT_EQ(reply.id.toText(), "t:result/" + *s.jobs.refsOf["m"].begin());
    EXPECT_NE(reply.body.find("\"done\""), std::string::npos);
    s.world.run(20s);
    EXPECT_EQ(s.broker.received["answers"].size(), 1U);
}

TEST_F(GatewayTest, ConnectionLossBeforeTheDispositionRunsNoJobTwice) {
    s.start("gw-1");
    // The connection is lost during the submission: the job runs, the message is not accepted yet.
    s.jobs.fault = [&](const http::Request& r) {
        if (r.method == "POST" && s.jobs.jobs.empty()) s.broker.cutAll();
        return JobService::Fault::none;
    };
    s.broker.publish(atBroker, GatewayFixture::message("before", "1"));
    ASSERT_TRUE(taken(1));
    EXPECT_EQ(jobsOf("before"), 1U);
    // The connection is lost after the acceptance is recorded, before the broker gets the
    // disposition.
    s.jobs.fault = nullptr;
    s.state.fault = [&](const http::Request& r) {
        if (r.target == "/multi" && r.body.find("accepted") != std::string::npos) {
            s.broker.cutAll();
            s.state.fault = nullptr;
        }
        return basaltchute::testing::StateService::Fault{};
    };
    s.broker.publish(atBroker, GatewayFixture::message("after", "2"));
    ASSERT_TRUE(taken(2));
    EXPECT_EQ(jobsOf("after"), 1U);
    EXPECT_EQ(s.holder(checks)->counters().duplicates, 2U)
        << "redelivered messages are answered from the ledger";
}

TEST_F(GatewayTest, AnotherInstanceContinuesAfterAKillDuringSubmission) {
    s.start("gw-1");
    s.start("gw-2");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    const std::string first = s.holder(checks) == s.instances["gw-1"].get() ? "gw-1" : "gw-2";
    const std::string second = first == "gw-1" ? "gw-2" : "gw-1";
    bool die = false;
    s.jobs.fault = [&](const http::Request& r) {
        if (r.method == "POST" && !die) {
            die = true;
            return JobService::Fault::mute;  // the job exists, but the gateway got no answer
        }
        return JobService::Fault::none;
    };
    s.broker.publish(atBroker, GatewayFixture::message("m", "1", "answers"));
    ASSERT_TRUE(s.until([&] { return die; }));
    s.kill(first);
    ASSERT_TRUE(s.until([&] { return s.broker.received["answers"].size() == 1; }, 60s));
    EXPECT_EQ(s.holder(checks), s.instances[second].get());
    EXPECT_EQ(jobsOf("m"), 1U);
    EXPECT_GE(s.jobs.jobs.begin()->second.submissions, 1);
}

TEST_F(GatewayTest, OwnerWithAnExpiredLeaseWritesNothing) {
    auto& frozen = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    const auto queueOwner = frozen.queueOwner(checks);
    s.broker.publish(atBroker, GatewayFixture::message("m", "1", "a"));
    ASSERT_TRUE(s.until([&] { return entry("t:1") && entry("t:1")->stage == Stage::replied; }));
    s.world.run(1s);
    const auto records = s.state.keys;
    // The lease expires, and the owner writes before it notices.
    s.state.expireLeaseOf("gw/own/member/gw-1");
    EXPECT_EQ(queueOwner->replay("t:1"), std::nullopt);
    auto& other = s.start("gw-2");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    s.world.run(5s);
    for (const auto& [key, e] : records)
        if (key.starts_with("gw/q/")) {
            EXPECT_EQ(s.state.keys.at(key).data, e.data) << key;
        }
    EXPECT_EQ(s.broker.received["a"].size(), 1U) << "no reply without a durable entry";
    EXPECT_GE(frozen.counters().queuesLost + other.counters().queuesGained, 1U);
    s.broker.publish(atBroker, GatewayFixture::message("n", "2"));
    ASSERT_TRUE(taken(2));
    EXPECT_EQ(jobsOf("n"), 1U);
}

TEST_F(GatewayTest, OwnerWithAStaleFencingTokenCannotWrite) {
    auto& one = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    const auto staleOwner = one.queueOwner(checks);
    // The ownership record is replaced while the instance still holds its lease.
    s.state.keys["gw/own/queue/" + checks].stamp += 1000;
    s.state.advanceRevisionAndCompact(2000);
    const auto before = s.state.keys;
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    s.world.run(500ms);
    for (const auto& [key, e] : s.state.keys) {
        EXPECT_FALSE(key.starts_with("gw/q/")) << "an owner without the fence wrote " << key;
    }
    EXPECT_EQ(queue().accepted, 0U);
    EXPECT_EQ(jobsOf("m"), 0U);
}

TEST_F(GatewayTest, RefusedOrLateStateWritesNeitherLoseNorRepeatMessages) {
    using Fault = basaltchute::testing::StateService::Fault;
    s.start("gw-1");
    std::mt19937_64 random(3);
    s.state.fault = [&](const http::Request& r) -> Fault {
        if (r.target != "/multi" || r.body.find("gw/q/") == std::string::npos) return {};
        switch (random() % 6) {
            case 0:
                return {Fault::Kind::refused, {}};
            case 1:
                return {Fault::Kind::responseLost, {}};
            case 2:
                return {Fault::Kind::executedLate, 4s};
            default:
                return {};
        }
    };
    for (int i = 0; i < 6; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("m" + std::to_string(i), std::to_string(i), "a"));
    ASSERT_TRUE(s.until([&] { return s.broker.received["a"].size() >= 6; }, 120s));
    s.state.fault = nullptr;
    s.world.run(10s);
    for (int i = 0; i < 6; ++i) EXPECT_EQ(jobsOf("m" + std::to_string(i)), 1U) << i;
    EXPECT_EQ(s.broker.received["a"].size(), 6U);
    // The ledger is the same after a restart.
    s.kill("gw-1");
    s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    EXPECT_EQ(s.holder(checks)->queueOwner(checks)->journal().count(Stage::replied), 6U);
}

TEST_F(GatewayTest, SubmissionIsRetriedAfterALeaderChangeAndRejectionsAreReported) {
    s.start("gw-1");
    int posts = 0;
    s.jobs.fault = [&](const http::Request& r) {
        if (r.method != "POST") return JobService::Fault::none;
        ++posts;
        return posts == 1   ? JobService::Fault::lost
               : posts == 2 ? JobService::Fault::refused
                            : JobService::Fault::none;
    };
    s.jobs.impossible.insert("never");
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(1));
    EXPECT_EQ(jobsOf("m"), 1U);
    EXPECT_EQ(posts, 3);
    s.broker.publish(atBroker, GatewayFixture::message("never", "2"));
    ASSERT_TRUE(s.until([&] { return queue().dead.size() == 1; }));
    EXPECT_EQ(queue().dead[0].second.description, "fits no machine type");
    // Sent again from the dead letters, it is refused by the ledger until an operator replays it.
    s.broker.publish(atBroker, GatewayFixture::message("never", "2"));
    ASSERT_TRUE(s.until([&] { return queue().dead.size() == 2; }));
    s.jobs.impossible.clear();
    EXPECT_EQ(s.holder(checks)->queueOwner(checks)->replay("t:2"), std::nullopt);
    s.broker.publish(atBroker, GatewayFixture::message("never", "2"));
    ASSERT_TRUE(taken(2));
    EXPECT_EQ(jobsOf("never"), 1U);
}

TEST_F(GatewayTest, MessageIsReleasedWhenSubmissionTimesOut) {
    s.settings.limits.timeout = 4s;
    auto& g = s.start("gw-1");
    s.jobs.fault = [](const http::Request&) { return JobService::Fault::refused; };
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(s.until([&] { return g.counters().released >= 2; }, 60s));
    s.jobs.fault = nullptr;
    ASSERT_TRUE(taken(1));
    EXPECT_EQ(jobsOf("m"), 1U);
    EXPECT_GE(entry("t:1")->attempts, 3U) << "each attempt is recorded";
}

TEST_F(GatewayTest, TenThousandMessagesWithTheSameIdRunOneJob) {
    s.start("gw-1");
    for (int i = 0; i < 10'000; ++i)
        s.broker.publish(atBroker, GatewayFixture::message("m", "1", "a"));
    ASSERT_TRUE(taken(10'000));
    EXPECT_EQ(jobsOf("m"), 1U);
    ASSERT_TRUE(s.until([&] { return !s.broker.received["a"].empty(); }));
    s.world.run(10s);
    EXPECT_EQ(s.broker.received["a"].size(), 1U);
    EXPECT_EQ(s.holder(checks)->queueOwner(checks)->journal().size(), 1U);
}

TEST_F(GatewayTest, DifferentMessageWithTheSameIdIsRejected) {
    s.start("gw-1");
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    s.broker.publish(atBroker, GatewayFixture::message("other", "1"));
    ASSERT_TRUE(s.until([&] { return queue().dead.size() == 1; }));
    EXPECT_EQ(queue().dead[0].second.name, "amqp:precondition-failed");
    EXPECT_EQ(jobsOf("m") + jobsOf("other"), 1U);
}

TEST_F(GatewayTest, InvalidMessagesAreRejectedWithAReasonAndOthersStillRun) {
    s.start("gw-1");
    auto none = GatewayFixture::message("m", "1");
    none.body = "no JSON";
    auto foreign = GatewayFixture::message("m", "2");
    foreign.body = R"({"build":"m","crew":"south"})";
    auto huge = GatewayFixture::message("m", "3");
    huge.body.assign(std::size_t{1} << 20U, ' ');
    for (const auto& m : {none, foreign, huge, GatewayFixture::message("m", "")})
        s.broker.publish(atBroker, m);
    s.broker.publish(atBroker, GatewayFixture::message("good", "5"));
    ASSERT_TRUE(s.until([&] { return queue().dead.size() == 4 && jobsOf("good") == 1; }));
    EXPECT_EQ(jobsOf("m"), 0U);
    std::set<std::string> reasons;
    for (const auto& [m, why] : queue().dead) reasons.insert(why.description);
    EXPECT_EQ(reasons, (std::set<std::string>{
                           "body: expected a JSON object", "body: \"crew\" expected to be north",
                           "larger than 61440 bytes",
                           "message-id: this queue takes no message without one"}));
}

TEST_F(GatewayTest, MessagesWithTextThatIsNotUtf8AreRejectedAndOthersStillRun) {
    // Guards against a journal page that the state service refuses for good: no message of the
    // queue was accepted any more.
    const std::string odd = "\xED\xB0\x80";
    s.addQueue("south/keyed", [](QueueSettings& q) { q.keyProperty = "order"; });
    s.start("gw-1");
    auto correlated = GatewayFixture::message("m", "1");
    correlated.correlation = {amqp::Id::Kind::text, odd};
    for (const auto& m :
         {correlated, GatewayFixture::message("m", odd), GatewayFixture::message("m", "2", odd)})
        s.broker.publish(atBroker, m);
    auto keyed = GatewayFixture::message("m", "3");
    keyed.properties["order"] = odd;
    s.broker.publish("work/south/keyed", keyed);
    s.broker.publish(atBroker, GatewayFixture::message("good", "5"));
    auto& other = s.broker.queues["work/south/keyed"];
    ASSERT_TRUE(s.until(
        [&] { return queue().dead.size() == 3 && other.dead.size() == 1 && jobsOf("good") == 1; }));
    EXPECT_EQ(jobsOf("m"), 0U);
    std::set<std::string> reasons{other.dead.front().second.description};
    for (const auto& [m, why] : queue().dead) reasons.insert(why.description);
    EXPECT_EQ(reasons,
              (std::set<std::string>{
                  "correlation-id: expected UTF-8 text", "message-id: expected UTF-8 text",
                  "property order: expected UTF-8 text", "reply-to: expected UTF-8 text"}));
    // Any bytes are an id if their sender calls them binary.
    auto binary = GatewayFixture::message("binary", "");
    binary.id = {amqp::Id::Kind::binary, odd};
    s.broker.publish(atBroker, binary);
    EXPECT_TRUE(s.until([&] { return jobsOf("binary") == 1; }));
}

TEST_F(GatewayTest, MessageWithoutIdRunsAsOftenAsItsQueueAllows) {
    s.settings.queues[checks].withoutId = WithoutId::atMostOnce;
    s.addQueue("south/again", [](QueueSettings& q) {
        q.withoutId = WithoutId::atLeastOnce;
        q.attempts = 2;
    });
    s.start("gw-1");
    s.broker.publish(atBroker, GatewayFixture::message("once", ""));
    s.broker.publish(atBroker, GatewayFixture::message("once", ""));
    ASSERT_TRUE(taken(2));
    EXPECT_EQ(jobsOf("once"), 1U);
    auto& again = s.broker.queues["work/south/again"];
    s.broker.publish("work/south/again", GatewayFixture::message("again", ""));
    ASSERT_TRUE(s.until([&] { return again.accepted == 1; }));
    for (std::uint32_t count = 1; count <= 3; ++count) {
        auto m = GatewayFixture::message("again", "");
        m.deliveryCount = count;
        s.broker.publish("work/south/again", m);
        ASSERT_TRUE(s.until([&] { return again.accepted + again.dead.size() == 1 + count; }));
    }
    EXPECT_EQ(jobsOf("again"), 2U);
    EXPECT_EQ(again.dead.size(), 2U);
}

TEST_F(GatewayTest, AttemptsExpireWithTheRetention) {
    s.addQueue("south/again", [](QueueSettings& q) {
        q.withoutId = WithoutId::atLeastOnce;
        q.attempts = 1;
        q.retain = 5s;
    });
    s.start("gw-1");
    auto& again = s.broker.queues["work/south/again"];
    auto m = GatewayFixture::message("again", "");
    m.deliveryCount = 1;
    s.broker.publish("work/south/again", m);
    ASSERT_TRUE(s.until([&] { return again.accepted == 1; }));
    s.broker.publish("work/south/again", m);
    ASSERT_TRUE(s.until([&] { return again.dead.size() == 1; }));
    s.world.run(20s);
    s.broker.publish("work/south/again", m);
    ASSERT_TRUE(s.until([&] { return again.accepted == 2; })) << "the attempts did not expire";
}

TEST_F(GatewayTest, DrainFinishesMessagesInProgressAndAnotherInstanceTakesNewOnes) {
    s.settings.state.stateWriteRps = 20;  // makes acceptance slow
    auto& one = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) == &one; }));
    for (int i = 0; i < 40; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("a" + std::to_string(i), "a" + std::to_string(i)));
    ASSERT_TRUE(s.until([&] { return one.queueOwner(checks)->unsettledCount() > 0; }));
    one.drain();
    s.start("gw-2");
    for (int i = 0; i < 40; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("b" + std::to_string(i), "b" + std::to_string(i)));
    ASSERT_TRUE(s.until([&] { return one.ended(); }, 60s));
    EXPECT_EQ(s.holder(checks), s.instances["gw-2"].get());
    ASSERT_TRUE(taken(80));
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(jobsOf("a" + std::to_string(i)), 1U) << i;
        EXPECT_EQ(jobsOf("b" + std::to_string(i)), 1U) << i;
    }
    EXPECT_FALSE(s.state.keys.contains("gw/own/member/gw-1")) << "its membership record remains";
}

TEST_F(GatewayTest, DuplicateAfterTheRetentionIsANewMessage) {
    s.settings.queues[checks].retain = 10s;
    s.start("gw-1");
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(1));
    s.world.run(5s);
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(2));
    EXPECT_EQ(jobsOf("m"), 1U) << "within the time it is remembered";
    s.world.run(20s);
    EXPECT_EQ(s.holder(checks)->queueOwner(checks)->journal().size(), 0U);
    for (const auto& [key, e] : s.state.keys) {
        EXPECT_FALSE(key.starts_with("gw/q/")) << "records of forgotten entries go: " << key;
    }
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(3));
    EXPECT_EQ(jobsOf("m"), 2U) << "the retention has expired";
}

TEST_F(GatewayTest, StaleListingDoesNotReturnAQueueThatWasHandedOver) {
    auto& one = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) == &one; }));
    // A message in progress delays the handover, so that it may end at any time between listings.
    s.jobs.fault = [&](const http::Request& r) {
        const bool first = r.method == "POST" && s.jobs.jobs.empty();
        return first ? JobService::Fault::mute : JobService::Fault::none;
    };
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(s.until([&] { return !s.jobs.jobs.empty(); }));
    // Listings run all the time and are stale by the delay of their response.
    using Fault = basaltchute::testing::StateService::Fault;
    s.state.fault = [&](const http::Request& r) {
        if (r.target.starts_with("/watch?under=gw/own/")) {
            // Each watch request reports a change.
            const auto after = std::stoull(simulator::queryParameter(r.target, "after"));
            s.state.advanceRevisionAndCompact(1);
            s.state.keys["gw/own/noise"] = {"{}", after + 1, 0};
        }
        const bool listing = r.target.starts_with("/keys?under=gw/own/");
        return listing ? Fault{Fault::Kind::respondedLate, 3s} : Fault{};
    };
    std::string better = "gw-2";
    const auto member = [](const std::string& name) {
        return Member{name, name, "", "", false, {checks}};
    };
    while (preferredOwner(checks, {{"gw-1", member("gw-1")}, {better, member(better)}})->instance !=
           better)
        better += 'x';
    auto& two = s.start(better);
    ASSERT_TRUE(s.until([&] { return s.holder(checks) == &two; }, 60s));
    s.world.run(10s);
    EXPECT_EQ(one.counters().queuesGained, 1U);
    EXPECT_EQ(two.counters().queuesGained, 1U);
}

TEST_F(GatewayTest, JobIsPolledOncePerIntervalDespiteDuplicateMessages) {
    s.jobs.runTime = [] { return 1h; };
    s.start("gw-1");
    int polls = 0;
    bool silent = true;
    s.jobs.fault = [&](const http::Request& r) {
        if (r.method == "POST") return JobService::Fault::none;
        ++polls;
        return silent ? JobService::Fault::refused : JobService::Fault::none;
    };
    // The instance is killed before the acceptance is recorded. The next instance polls the job of
    // the journal entry, and then the message is delivered again.
    s.state.fault = [](const http::Request& r) {
        using Fault = basaltchute::testing::StateService::Fault;
        const bool note = r.body.find("\"accepted\"") != std::string::npos;
        return note ? Fault{Fault::Kind::refused, {}} : Fault{};
    };
    s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(1));
    s.kill("gw-1");
    s.state.fault = nullptr;
    s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    ASSERT_EQ(entry("t:1")->stage, Stage::entered);
    s.world.run(300ms);
    for (int i = 0; i < 5; ++i) s.broker.publish(atBroker, GatewayFixture::message("m", "1"));
    ASSERT_TRUE(taken(6));
    silent = false;
    s.world.run(2s);
    polls = 0;
    s.world.run(10s);
    EXPECT_LE(polls, 11) << "one job, each second";
    EXPECT_GE(polls, 9);
}

TEST_F(GatewayTest, UnacceptedMessagesStayWithinTheMemoryLimit) {
    s.settings.limits.memoryBytes = 4 * s.settings.limits.messageBytes;
    s.start("gw-1");
    s.jobs.fault = [](const http::Request&) { return JobService::Fault::refused; };
    for (int i = 0; i < 50; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("m" + std::to_string(i), std::to_string(i)));
    s.world.run(3s);
    const std::size_t untaken = s.holder(checks)->queueOwner(checks)->unsettledCount();
    EXPECT_GT(untaken, 0U);
    EXPECT_LE(untaken, 4U);
    s.jobs.fault = nullptr;
    ASSERT_TRUE(taken(50));
}

TEST_F(GatewayTest, AdminRequestsAreAnsweredOrRedirectedToTheHolder) {
    auto& one = s.start("gw-1");
    auto& two = s.start("gw-2");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) && one.members().all().size() == 2; }));
    s.world.run(2s);
    Gateway& holder = *s.holder(checks);
    s.broker.publish(atBroker, GatewayFixture::message("m", "1", "a"));
    ASSERT_TRUE(s.until([&] { return s.broker.received["a"].size() == 1; }));
    s.world.run(1s);
    const auto ask = [&](Gateway& g, const std::string& method, const std::string& target) {
        http::Response answer;
        bool done = false;
        s.world.scope.spawn([](GatewayFixture& fixture, std::string to, http::Request r,
                               http::Response& out, bool& flag) -> Task<void> {
            http::Client client(fixture.world.loop, std::move(to), 0);
            auto o = co_await client.request(std::move(r), 5s, fixture.world.scope);
            out = std::move(o.response);
            flag = true;
        }(s, g.admin(), http::Request{method, target, ""}, answer, done));
        s.until([&] { return done; });
        return answer;
    };
    const std::string which = "?queue=north/replay-verify&key=t%3a1";
    EXPECT_NE(ask(holder, "GET", "/ledger" + which).body.find("\"stage\":\"replied\""),
              std::string::npos);
    EXPECT_NE(ask(holder, "GET", "/queues").body.find("\"replies\":1"), std::string::npos);
    const auto elsewhere = ask(&holder == &one ? two : one, "GET", "/ledger" + which);
    EXPECT_EQ(elsewhere.status, 421);
    EXPECT_NE(elsewhere.body.find("\"admin\""), std::string::npos);
    EXPECT_EQ(ask(holder, "POST", "/replay?queue=north/replay-verify&key=t%3a9").status, 409);
    EXPECT_EQ(ask(holder, "GET", "/ledger?queue=no/such").status, 404);
    EXPECT_EQ(ask(holder, "POST", "/replay" + which).status, 200);
    ASSERT_TRUE(s.until([&] { return s.broker.received["a"].size() == 2; }));
    EXPECT_EQ(s.broker.received["a"][0].id, s.broker.received["a"][1].id);
    EXPECT_EQ(ask(holder, "POST", "/drain").status, 200);
    EXPECT_TRUE(s.until([&] { return holder.ended(); }, 60s));
}

TEST_F(GatewayTest, RepliesKeepTheirOrderAndReleasedOnesAreSentAgain) {
    auto& g = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    auto c = client(g);
    const std::string answers = "reply/" + checks + "/me";
    for (int i = 0; i < 30; ++i)
        ASSERT_TRUE(c->send(
            toQueue, GatewayFixture::message("m" + std::to_string(i), std::to_string(i), answers),
            std::to_string(i)));
    ASSERT_TRUE(s.until([&] { return c->decisions.size() == 30; }));
    s.world.run(5s);
    // No client reads yet; the first reader gets the replies in the order in which jobs finished.
    c->mute = true;
    c->readFrom(answers, 4);
    ASSERT_TRUE(s.until([&] { return c->replies.size() == 4; }));
    c->connection->abort();
    ASSERT_TRUE(s.until([&] { return c->over; }));
    auto d = client(g);
    d->readFrom(answers);
    ASSERT_TRUE(s.until([&] { return d->replies.size() == 30; }));
    for (std::size_t i = 0; i < 30; ++i)
        EXPECT_EQ(d->replies[i].properties.at("result-number"), std::to_string(i + 1));
    EXPECT_EQ(d->replies[0].id, c->replies[0].id) << "the receiver's key is the same";
    s.world.run(5s);
    EXPECT_EQ(d->replies.size(), 30U);
}

TEST_F(GatewayTest, ClientIsRedirectedToTheInstanceThatHoldsTheQueue) {
    s.settings.advertise = "127.0.0.1:1";
    auto& one = s.start("gw-1");
    s.start("gw-2");
    ASSERT_TRUE(
        s.until([&] { return s.holder(checks) != nullptr && one.members().all().size() == 2; }));
    s.world.run(2s);
    Gateway* holder = s.holder(checks);
    Gateway* other = holder == &one ? s.instances["gw-2"].get() : &one;
    auto c = client(*other);
    ASSERT_TRUE(c->ends.contains(toQueue));
    EXPECT_EQ(c->ends[toQueue].name, "amqp:link:redirect");
    EXPECT_EQ(c->ends[toQueue].info["network-host"], "127.0.0.1");
    EXPECT_EQ(c->ends[toQueue].info["port"], "1");
    auto wrong = client(*holder);
    wrong->sendTo("queue/nobody/nothing");
    ASSERT_TRUE(s.until([&] { return wrong->ends.contains("queue/nobody/nothing"); }));
    EXPECT_EQ(wrong->ends["queue/nobody/nothing"].name, "amqp:not-found");
}

TEST_F(GatewayTest, ManyMessagesOfOneTeamDoNotDelayOtherTeams) {
    s.addQueue("south/split");
    s.settings.limits.maxMessagesInProgress = 16;
    s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder("south/split") != nullptr; }));
    for (int i = 0; i < 3000; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("f" + std::to_string(i), "f" + std::to_string(i)));
    s.world.run(1s);
    const TimePoint since = s.world.clock.now();
    s.broker.publish("work/south/split", GatewayFixture::message("other", "1"));
    ASSERT_TRUE(s.until([&] { return jobsOf("other") == 1; }));
    EXPECT_LT(s.world.clock.now() - since, 1s);
    EXPECT_LT(s.jobs.jobs.size(), 2900U) << "the flood was still under way";
}

TEST_F(GatewayTest, MessagesBeyondTheUnfinishedJobLimitWaitAtTheBroker) {
    s.settings.queues[checks].unfinished = 10;
    s.jobs.runTime = [] { return 8s; };
    s.start("gw-1");
    for (int i = 0; i < 50; ++i)
        s.broker.publish(atBroker,
                         GatewayFixture::message("m" + std::to_string(i), std::to_string(i)));
    s.world.run(6s);
    EXPECT_EQ(s.jobs.jobs.size(), 10U);
    EXPECT_EQ(queue().waiting.size(), 40U);
    ASSERT_TRUE(taken(50)) << "waiting messages run as jobs finish";
}

TEST_F(GatewayTest, ConnectionThatIsNotAmqpDoesNotAffectOthers) {
    auto& g = s.start("gw-1");
    ASSERT_TRUE(s.until([&] { return s.holder(checks) != nullptr; }));
    auto good = client(g);
    const auto to = parseAddress(g.address());
    bool closed = false;
    s.world.loop.spawn([](GatewayFixture& fixture, sockaddr_in a, bool& flag) -> Task<void> {
        auto socket =
            co_await Socket::connect(fixture.world.loop, a, TimePoint::max(), fixture.world.scope);
        const std::string noise = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        co_await socket->write(noise, TimePoint::max(), fixture.world.scope);
        std::string answer;
        long n = 1;
        while (n > 0) n = co_await socket->read(answer, TimePoint::max(), fixture.world.scope);
        flag = true;
    }(s, *to, closed));
    EXPECT_TRUE(s.until([&] { return closed; }));
    ASSERT_TRUE(good->send(toQueue, GatewayFixture::message("m", "1"), "1"));
    ASSERT_TRUE(s.until([&] { return good->decisions.contains("1"); }));
    EXPECT_EQ(good->decisions["1"].outcome, Outcome::accepted);
}

}  // namespace
}  // namespace basaltchute::gateway
