#include "worker_api/command_sender.h"

#include <gtest/gtest.h>

#include "testing/world.h"

namespace basaltchute::worker_api {
namespace {

using namespace std::chrono_literals;
using RelayPolicy = CommandSender::RelayPolicy;

TEST(CommandSender, RelaysWhileItsOwnPathFailsAndReturnsToIt) {
    // A leader that had lost the workers alone waited for each direct order, then for the worker's
    // next report: with reports every 10 s no replica started in time for 65 s.
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
    const auto sendCommand = [&](MachineIndex machine, RelayPolicy policy) {
        bool done = false;
        const std::string address = reachable ? worker.address() : "127.0.0.1:1";
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, RelayPolicy p, Scope& scope,
                            CommandSender::SendResult& out, bool& flag) -> Task<void> {
            http::Request request{"POST", "/commands", "{}"};
            out = co_await r.send(std::move(t), std::move(request), 1s, p, scope);
            flag = true;
        }(sender, {machine, "a", address}, policy, world.scope, last, done));
        world.until([&] { return done; });
        return last.outcome.answered;
    };
    EXPECT_FALSE(sendCommand(1, RelayPolicy::whenPathFails))
        << "one machine alone is its own fault";
    EXPECT_FALSE(sendCommand(1, RelayPolicy::whenPathFails));
    EXPECT_EQ(relayed, 0);
    EXPECT_TRUE(sendCommand(1, RelayPolicy::whenUnanswered)) << "unless it is about to be given up";
    EXPECT_TRUE(sendCommand(2, RelayPolicy::whenPathFails));
    EXPECT_EQ(relayed, 2);
    EXPECT_TRUE(sender.directPathFailing("a"));
    EXPECT_FALSE(sender.directPathFailing("b"));
    reachable = true;
    EXPECT_TRUE(sendCommand(3, RelayPolicy::whenPathFails));
    EXPECT_EQ(relayed, 3) << "orders do not try out the way";
    world.run(3s);
    EXPECT_EQ(direct, 1) << "but a question beside them does";
    EXPECT_TRUE(sendCommand(4, RelayPolicy::whenPathFails));
    EXPECT_EQ(relayed, 3);
    world.end(world.scope);
}

TEST(CommandSender, MachinesThatDieTogetherAreNoFailingPath) {
    // A wave of dead machines once looked like a cut, and all orders to their zone took a detour.
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
    const auto ask = [&](MachineIndex machine, const std::string& address) {
        bool done = false, answered = false;
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, Scope& scope, bool& out,
                            bool& flag) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            const auto result = co_await r.send(std::move(t), std::move(request), 1s,
                                                RelayPolicy::whenPathFails, scope);
            out = result.outcome.answered;
            flag = true;
        }(sender, {machine, "a", address}, world.scope, answered, done));
        world.until([&] { return done; });
        return answered;
    };
    EXPECT_TRUE(ask(0, worker.address()));
    for (MachineIndex m = 1; m < 5; ++m) EXPECT_FALSE(ask(m, "127.0.0.1:1"));
    EXPECT_EQ(relayed, 0);
    EXPECT_FALSE(sender.directPathFailing("a"));
    world.run(2s);  // nobody has answered for a while
    EXPECT_FALSE(ask(5, "127.0.0.1:1"));
    EXPECT_EQ(relayed, 1);
    world.end(world.scope);
}

TEST(CommandSender, SilentPeerProvesNothingAgainstAMachine) {
    // A leader cut off from the workers asked for them over a node that stood still, and deleted
    // 386 sound machines.
    testing::World world;
    CommandSender::RelayedOutcome relayed{{}, true};  // no answer at all
    CommandSender sender(world.loop, 10,
                         [&](CommandSender::Target, http::Request, Duration,
                             Scope&) -> Task<CommandSender::RelayedOutcome> { co_return relayed; });
    const auto proof = [&](MachineIndex machine) {
        bool done = false, out = false;
        world.loop.spawn([](CommandSender& r, MachineIndex m, Scope& scope, bool& flag,
                            bool& end) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            CommandSender::Target target{m, "a", "127.0.0.1:1"};
            const auto result = co_await r.send(std::move(target), std::move(request), 1s,
                                                RelayPolicy::whenUnanswered, scope);
            flag = result.machineUnreachable;
            end = true;
        }(sender, machine, world.scope, out, done));
        world.until([&] { return done; });
        return out;
    };
    EXPECT_FALSE(proof(1));
    EXPECT_FALSE(proof(2));
    relayed.failure = peer_rpc::RelayFailure::targetUnreachable;
    EXPECT_TRUE(proof(1)) << "a peer in its zone has tried";
    relayed.sameZone = false;
    EXPECT_FALSE(proof(1)) << "a cut of the zone explains as well that one outside fails";
    world.end(world.scope);
}

TEST(CommandSender, MachineInAZoneWithoutNodesIsUnreachableOnlyWhileOthersThereAnswer) {
    // 106 sound machines of a zone that had been cut off were given up within 8 s.
    testing::World world;
    bool cut = false;
    http::Server sound(world.loop, "127.0.0.1:0", {}, [&](http::Request) -> Task<http::Response> {
        if (cut) co_await world.loop.sleep(30s, world.scope);
        co_return http::Response{200, "{}"};
    });
    sound.start(world.scope);
    CommandSender sender(world.loop, 10,
                         [&](CommandSender::Target, http::Request, Duration,
                             Scope&) -> Task<CommandSender::RelayedOutcome> {
                             co_return CommandSender::RelayedOutcome{
                                 {}, false, peer_rpc::RelayFailure::targetUnreachable};
                         });
    const auto ask = [&](MachineIndex machine, const std::string& address) {
        bool done = false;
        CommandSender::SendResult out;
        world.loop.spawn([](CommandSender& r, CommandSender::Target t, Scope& scope,
                            CommandSender::SendResult& result, bool& end) -> Task<void> {
            http::Request request{"GET", "/inspect", ""};
            result = co_await r.send(std::move(t), std::move(request), 1s,
                                     RelayPolicy::whenUnanswered, scope);
            end = true;
        }(sender, {machine, "a", address}, world.scope, out, done));
        world.until([&] { return done; });
        return out;
    };
    EXPECT_TRUE(ask(1, sound.address()).outcome.answered);
    EXPECT_TRUE(ask(2, "127.0.0.1:1").machineUnreachable);
    cut = true;
    world.run(2s);
    EXPECT_FALSE(ask(2, "127.0.0.1:1").machineUnreachable);
    EXPECT_FALSE(ask(3, "127.0.0.1:1").machineUnreachable);
    cut = false;
    world.run(30s);
    ask(1, sound.address());  // a question beside it finds that the way works again
    world.run(100ms);
    EXPECT_TRUE(ask(2, "127.0.0.1:1").machineUnreachable);
    world.end(world.scope);
}

TEST(CommandSender, UnansweredCopyMayExecuteLaterWhateverTheRelayReturns) {
    // The first copy of a launch may be executed minutes later: its attempt must stay known.
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
        out = co_await r.send(std::move(t), std::move(request), 1s, RelayPolicy::whenUnanswered,
                              scope);
        flag = true;
    }(sender, {1, "a", silent.address()}, world.scope, last, done));
    world.until([&] { return done; });
    EXPECT_TRUE(last.outcome.answered);
    EXPECT_TRUE(last.mayExecuteLater);
    world.end(world.scope);
}

TEST(CommandSender, HoldsNoMoreSocketsThanItsShareAndALackOfThemProvesNothing) {
    // A leader that spoke to thousands of machines at once took all sockets of its process, and
    // what then failed looked like a cut.
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
            co_return CommandSender::RelayedOutcome{{}, true, peer_rpc::RelayFailure::noPeer};
        });
    constexpr MachineIndex machines = 4000;
    std::size_t ended = 0, unsent = 0, proofs = 0;
    const auto command = [&](MachineIndex machine) -> Task<void> {
        http::Request request{"POST", "/commands", "{}"};
        CommandSender::Target target{machine, "a", worker.address()};
        const auto result = co_await sender.send(std::move(target), std::move(request), 2s,
                                                 RelayPolicy::whenPathFails, world.scope);
        ++ended;
        unsent += !result.outcome.sent && !result.mayExecuteLater ? 1 : 0;
        proofs += result.machineUnreachable ? 1 : 0;
    };
    for (MachineIndex m = 0; m < machines; ++m) world.loop.spawn(command(m));
    std::size_t most = 0;
    world.until([&] {
        most = std::max(most, worker.connections());
        return ended == machines;
    });
    EXPECT_LE(most, 20U);
    EXPECT_GT(served, 0U);
    EXPECT_GT(unsent, machines / 2) << "these go with the next heartbeat's response";
    EXPECT_EQ(proofs, 0U);
    EXPECT_LE(relayed, static_cast<int>(machines - unsent));
    world.end(world.scope);
}

}  // namespace
}  // namespace basaltchute::worker_api
