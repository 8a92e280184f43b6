#include "worker_api/command_sender.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::worker_api {
namespace {

using namespace std::chrono_literals;

TEST(CommandSender, RelaysWhileTheDirectPathFailsAndSendsDirectlyAgainAfterwards) {
    // A leader that was cut off from the workers alone waited for each direct request to time out,
    // then for the worker's next report: with reports every 10 s, no replica started in time for
    // 65 s.
    testing::World world;
    bool reachable = false;
    int direct = 0, relayed = 0;
    http::Server worker(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        ++direct;
        co_return http::Response{200, "{}"};
    });
    worker.start(world.scope);
    CommandSender sender(
        world.loop, 10,
        [&](CommandSender::Target, http::Request, Duration,
            Scope&) -> Task<CommandSender::RelayedOutcome> {
            ++relayed;
            co_return CommandSender::RelayedOutcome{{true, true, {200, "{}"}}, true};
        });
    CommandSender::SendResult last;
    const auto sendTo = [&](MachineIndex machine, bool relayIfUnanswered) {
        bool done = false;
        const std::string address = reachable ? worker.address() : "127.0.0.1:1";
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, bool relay, Scope& scope,
                            CommandSender::SendResult& out, bool& flag) -> Task<void> {
            http::Request request{"POST", "/commands", "{}"};
            out = co_await r.send(std::move(t), std::move(request), 1s, relay, scope);
            flag = true;
        }(sender, {machine, "a", address}, relayIfUnanswered, world.scope, last, done));
        world.until([&] { return done; });
        return last.outcome.answered;
    };
    EXPECT_FALSE(sendTo(1, false)) << "if only one machine does not answer, it is at fault itself";
    EXPECT_FALSE(sendTo(1, false));
    EXPECT_EQ(relayed, 0);
    EXPECT_TRUE(sendTo(1, true)) << "but a probe is relayed before the machine is removed";
    EXPECT_TRUE(sendTo(2, false));
    EXPECT_EQ(relayed, 2);
    EXPECT_TRUE(sender.directPathFailing("a"));
    EXPECT_FALSE(sender.directPathFailing("b"));
    reachable = true;
    EXPECT_TRUE(sendTo(3, false));
    EXPECT_EQ(relayed, 3) << "commands are not used to test the direct path";
    world.run(3s);
    EXPECT_EQ(direct, 1) << "a separate probe does that";
    EXPECT_TRUE(sendTo(4, false));
    EXPECT_EQ(relayed, 3);
    world.end(world.scope);
}

TEST(CommandSender, MachinesThatFailTogetherAreNotTakenForAPathFailure) {
    // Many machines that failed at once looked like a path failure, and all commands to their zone
    // were relayed.
    testing::World world;
    int relayed = 0;
    http::Server worker(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        co_return http::Response{200, "{}"};
    });
    worker.start(world.scope);
    CommandSender sender(world.loop, 10,
                         [&](CommandSender::Target, http::Request, Duration,
                             Scope&) -> Task<CommandSender::RelayedOutcome> {
                             ++relayed;
                             co_return CommandSender::RelayedOutcome{};
                         });
    const auto probe = [&](MachineIndex machine, const std::string& address) {
        bool done = false, answered = false;
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, Scope& scope, bool& out,
                            bool& flag) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            const auto result = co_await r.send(std::move(t), std::move(request), 1s, false, scope);
            out = result.outcome.answered;
            flag = true;
        }(sender, {machine, "a", address}, world.scope, answered, done));
        world.until([&] { return done; });
        return answered;
    };
    EXPECT_TRUE(probe(0, worker.address()));
    for (MachineIndex m = 1; m < 5; ++m) EXPECT_FALSE(probe(m, "127.0.0.1:1"));
    EXPECT_EQ(relayed, 0);
    EXPECT_FALSE(sender.directPathFailing("a"));
    world.run(2s);  // no machine has answered for a while
    EXPECT_FALSE(probe(5, "127.0.0.1:1"));
    EXPECT_EQ(relayed, 1);
    world.end(world.scope);
}

TEST(CommandSender, PeerThatDoesNotAnswerProvesNothingAboutAMachine) {
    // A leader that was cut off from the workers probed them through a node that had stalled, and
    // deleted 386 healthy machines.
    testing::World world;
    CommandSender::RelayedOutcome relayedOutcome{{}, true};  // no answer at all
    CommandSender sender(
        world.loop, 10,
        [&](CommandSender::Target, http::Request, Duration,
            Scope&) -> Task<CommandSender::RelayedOutcome> { co_return relayedOutcome; });
    const auto isUnreachable = [&](MachineIndex machine) {
        bool done = false, out = false;
        world.loop.spawn([](CommandSender& r, MachineIndex m, Scope& scope, bool& flag,
                            bool& end) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            CommandSender::Target target{m, "a", "127.0.0.1:1"};
            const auto result =
                co_await r.send(std::move(target), std::move(request), 1s, true, scope);
            flag = result.machineUnreachable;
            end = true;
        }(sender, machine, world.scope, out, done));
        world.until([&] { return done; });
        return out;
    };
    EXPECT_FALSE(isUnreachable(1));
    EXPECT_FALSE(isUnreachable(2));
    relayedOutcome.outcome.response.status = 502;
    EXPECT_TRUE(isUnreachable(1)) << "a peer in its zone could not reach it";
    relayedOutcome.sameZone = false;
    EXPECT_FALSE(isUnreachable(1)) << "a partition of the zone would explain the failure as well";
    world.end(world.scope);
}

TEST(CommandSender, InAZoneWithoutNodesAMachineIsUnreachableOnlyWhileOthersThereAnswer) {
    // When a zone had been cut off, 106 healthy machines in it were removed within 8 s.
    testing::World world;
    bool partitioned = false;
    http::Server healthy(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        if (partitioned) co_await world.loop.sleep(30s, world.scope);
        co_return http::Response{200, "{}"};
    });
    healthy.start(world.scope);
    CommandSender sender(
        world.loop, 10,
        [&](CommandSender::Target, http::Request, Duration,
            Scope&) -> Task<CommandSender::RelayedOutcome> {
            co_return CommandSender::RelayedOutcome{{false, false, {502, ""}}, false};
        });
    const auto probe = [&](MachineIndex machine, const std::string& address) {
        bool done = false;
        CommandSender::SendResult out;
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, Scope& scope,
                            CommandSender::SendResult& result, bool& end) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            result = co_await r.send(std::move(t), std::move(request), 1s, true, scope);
            end = true;
        }(sender, {machine, "a", address}, world.scope, out, done));
        world.until([&] { return done; });
        return out;
    };
    EXPECT_TRUE(probe(1, healthy.address()).outcome.answered);
    EXPECT_TRUE(probe(2, "127.0.0.1:1").machineUnreachable);
    partitioned = true;
    world.run(2s);
    EXPECT_FALSE(probe(2, "127.0.0.1:1").machineUnreachable);
    EXPECT_FALSE(probe(3, "127.0.0.1:1").machineUnreachable);
    partitioned = false;
    world.run(30s);
    probe(1, healthy.address());  // the probe beside it finds that the direct path works again
    world.run(100ms);
    EXPECT_TRUE(probe(2, "127.0.0.1:1").machineUnreachable);
    world.end(world.scope);
}

TEST(CommandSender, ReportsAnUnansweredDirectCopyEvenIfTheRelayedOneIsAnswered) {
    // The direct copy of a launch may be executed minutes later, so its attempt must stay known.
    testing::World world;
    http::Server silent(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        co_await world.loop.sleep(30s, world.scope);
        co_return http::Response{200, "{}"};
    });
    silent.start(world.scope);
    CommandSender sender(
        world.loop, 10,
        [&](CommandSender::Target, http::Request, Duration,
            Scope&) -> Task<CommandSender::RelayedOutcome> {
            co_return CommandSender::RelayedOutcome{{true, true, {200, "{}"}}, true};
        });
    bool done = false;
    CommandSender::SendResult last;
    world.loop.spawn([](CommandSender& r, CommandSender::Target t, Scope& scope,
                        CommandSender::SendResult& out, bool& flag) -> Task<void> {
        http::Request request{"POST", "/commands", "{}"};
        out = co_await r.send(std::move(t), std::move(request), 1s, true, scope);
        flag = true;
    }(sender, {1, "a", silent.address()}, world.scope, last, done));
    world.until([&] { return done; });
    EXPECT_TRUE(last.outcome.answered);
    EXPECT_TRUE(last.mayExecuteLater);
    world.end(world.scope);
}

TEST(CommandSender, HoldsNoMoreSocketsThanAllowedAndALackOfThemProvesNothing) {
    // A leader with requests to thousands of machines at once took all sockets of its process, and
    // the failures that followed looked like a path failure.
    testing::World world;
    std::size_t served = 0;
    http::Server worker(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        co_await world.loop.sleep(1s, world.scope);
        ++served;
        co_return http::Response{200, "{}"};
    });
    worker.start(world.scope);
    int relayed = 0;
    CommandSender sender(
        world.loop, 20,
        [&](CommandSender::Target, http::Request, Duration,
            Scope&) -> Task<CommandSender::RelayedOutcome> {
            ++relayed;
            co_return CommandSender::RelayedOutcome{{false, false, {503, ""}}, true};
        });
    constexpr MachineIndex machines = 4000;
    std::size_t ended = 0, unsent = 0, unreachable = 0;
    const auto command = [&](MachineIndex machine) -> Task<void> {
        http::Request request{"POST", "/commands", "{}"};
        CommandSender::Target target{machine, "a", worker.address()};
        const auto result =
            co_await sender.send(std::move(target), std::move(request), 2s, false, world.scope);
        ++ended;
        unsent += !result.outcome.sent && !result.mayExecuteLater ? 1 : 0;
        unreachable += result.machineUnreachable ? 1 : 0;
    };
    for (MachineIndex m = 0; m < machines; ++m) world.loop.spawn(command(m));
    std::size_t most = 0;
    world.until([&] {
        most = std::max(most, worker.connections());
        return ended == machines;
    });
    EXPECT_LE(most, 20U);
    EXPECT_GT(served, 0U);
    EXPECT_GT(unsent, machines / 2)
        << "these commands go into the responses to the next heartbeats";
    EXPECT_EQ(unreachable, 0U);
    EXPECT_LE(relayed, static_cast<int>(machines - unsent));
    world.end(world.scope);
}

}  // namespace
}  // namespace basaltchute::worker_api
