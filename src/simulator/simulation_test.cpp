#include <array>

#include "simulator/simulation_fixture.h"

namespace basaltchute::simulator {
namespace {

using namespace std::chrono_literals;

std::string wrongIn(const std::string& text) {
    const auto parsed = parseScenario(text);
    const auto* wrong = std::get_if<std::string>(&parsed);
    return wrong == nullptr ? "" : *wrong;
}

TEST_F(SimulationTest, OneSeedIsOneHistory) {
    const Scenario s = scenario("one-site");
    Simulation first(s, 7), again(s, 7), other(s, 8);
    first.run();
    again.run();
    other.run();
    EXPECT_EQ(first.history().digest(), again.history().digest());
    EXPECT_NE(first.history().digest(), other.history().digest());
    EXPECT_GT(first.history().events.size(), 1000U);
}

TEST_F(SimulationTest, OneSeedIsTheSameHistoryOnEveryProcessor) {
    // A change of behaviour changes these, and is recorded here with it.
    const std::map<std::string, std::uint64_t> digests{{"one-site", 0x1a01ff23297f1de5},
                                                       {"two-sites", 0xb6ea5595fc93659a}};
    for (const auto& [name, digest] : digests) {
        Simulation world(scenario(name), 1);
        world.run();
        EXPECT_EQ(world.history().digest(), digest) << name;
    }
}

TEST_F(SimulationTest, TwoSitesServeAndTheCheckerSeesBoth) {
    Simulation world(scenario("two-sites"), 3);
    world.run();
    std::map<std::string, int> started;
    for (const auto& f : world.history().events)
        if (f.kind == HistoryEvent::Kind::taskStarted) ++started[f.site];
    EXPECT_GT(started["east"], 20);
    EXPECT_GT(started["west"], 20);
    EXPECT_TRUE(world.checkResult().violations.empty());
    for (const auto& [name, share] : world.checkResult().classes)
        EXPECT_EQ(share.accepted, share.jobs) << name;
}

TEST_F(SimulationTest, ALeaderThatEndsIsReplacedAtOnceWhenItIsBackAtOnce) {
    Scenario s = scenario("one-site");
    s.swarm.toS = 0;
    Fault f;
    f.kind = "node_crash";
    f.leader = true;
    f.atS = 40;
    f.forS = 0.2;
    s.faults = {f};
    Simulation world(s, 1);
    world.run();
    std::vector<double> elected;
    for (const auto& e : world.history().events)
        if (e.kind == HistoryEvent::Kind::elected) elected.push_back(e.at);
    ASSERT_EQ(elected.size(), 2U);
    EXPECT_LT(elected[1], 40.4) << "not after the end of the former grant";
}

TEST_F(SimulationTest, ASessionKnownByAnAnswerOnlyKeepsItsWork) {
    // docs/incidents/lab-393.md: two of three controllers stand still for longer than a lease.
    Scenario s = scenario("one-site");
    s.swarm.toS = 0;
    Fault f;
    f.kind = "node_freeze";
    f.count = 2;
    f.atS = 27.5;
    f.forS = 42;
    s.faults = {f};
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Simulation world(s, seed);
        world.run();
        for (const auto& v : world.checkResult().violations)
            ADD_FAILURE() << seed << ": " << v.what;
    }
}

TEST_F(SimulationTest,
       WhatAnotherControllerCancelledIsGoneInTimeThoughEverybodyLosesTheStateService) {
    // The leader alone loses the state service, with or without the other controllers, or its zone
    // does together with its machines, which only the former leader reaches then; whoever
    // leads then confirms cancellations; then the service is down for all, for longer than a
    // cancellation has, while workers go on reporting to the former leader. Its lease delegation to
    // itself, and what it lent to others, must end in time for what its successor told.
    int told = 0, elsewhere = 0;
    for (const char* kind : {"node_refused", "node_isolated", "zone_cut"})
        for (const double alone : {2.5, 9.0})
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                Scenario s = scenario("fault-interactions");
                s.swarm.toS = 0;
                s.seconds = 130;
                const double outage = s.sites[0].cancelS + 12;
                for (auto& c : s.sites[0].classes)
                    if (!c.standing) c.cancelledShare = 0.9;
                // Direct commands come late, or their answers do: tasks stay on meanwhile.
                Fault held = fault("commands_held", 38, alone + outage);
                held.count = 100;
                Fault apart = fault(kind, 40, alone + outage);
                apart.zone = s.sites[0].zones[seed % s.sites[0].zones.size()];
                s.faults = {held, apart, fault("state_outage", 40 + alone, outage)};
                Simulation world(s, seed);
                world.run();
                for (const auto& v : world.checkResult().violations)
                    ADD_FAILURE() << kind << ' ' << alone << ' ' << seed << ": " << v.what;
                const auto seen = cancelledElsewhere(world.history(), 40, 40 + alone);
                told += seen.told;
                elsewhere += seen.elsewhere;
            }
    // Without these the meeting did not come about.
    EXPECT_GT(told, 30) << "cancelled after the leader was cut off, before the outage";
    EXPECT_GT(elsewhere, 3) << "of which by its successor, with tasks on machines";
}

TEST_F(SimulationTest, ChainsOfFourEndInOrderWhileNodesAreUpgradedAndAreCancelledAsAWhole) {
    // A user's way through: accepted by any node, one stage after another, one answer for all.
    Scenario s = scenario("dependencies");
    s.swarm.toS = 0;
    s.sites[0].pipelines.push_back(s.sites[0].pipelines[0]);
    s.sites[0].pipelines[1].cancelledShare = 1;
    Fault roll;
    roll.kind = "node_roll";
    roll.atS = 60;
    roll.forS = 0.3;
    roll.factor = 12;
    s.faults.push_back(roll);
    int together = 0;
    for (const std::uint64_t seed : {4, 5}) {
        Simulation world(s, seed);
        world.run();
        for (const auto& v : world.checkResult().violations)
            ADD_FAILURE() << v.rule << ": " << v.what;
        std::map<std::string, double> done, cancelled;
        std::set<std::string> withdrawn;
        for (const auto& f : world.history().events) {
            if (f.kind == HistoryEvent::Kind::cancelRequested) withdrawn.insert(f.job);
            if (f.kind != HistoryEvent::Kind::answered || f.status != 200) continue;
            if (f.text == "done") done.try_emplace(f.job, f.at);
            if (f.text == "cancelled") cancelled.try_emplace(f.job, f.at);
        }
        const auto& jobs = world.history().jobs;
        int inOrder = 0;
        for (const auto& [id, spec] : jobs) {
            if (spec.jobClass != "close") continue;
            // The first stage, and what needs it on the way to this job.
            const JobId tally = spec.dependencies.front(),
                        trim = jobs.at(tally).dependencies.front(),
                        gather = jobs.at(trim).dependencies.front();
            const std::array chain{gather, trim, tally, id};
            const auto all = [&](const std::map<std::string, double>& told) {
                return std::all_of(chain.begin(), chain.end(),
                                   [&](const auto& j) { return told.contains(j); });
            };
            // Users ask each 5 s or so: an order is sure only beyond that.
            if (all(done) && done[gather] < done[trim] + 6 && done[trim] < done[tally] + 6 &&
                done[tally] < done[id] + 6)
                ++inOrder;
            if (withdrawn.contains(gather) && all(cancelled)) ++together;
        }
        EXPECT_GT(inOrder, 8) << seed;
    }
    // Which of the four is withdrawn is drawn: the first one of a chain is by some seed.
    EXPECT_GT(together, 0);
}

TEST_F(SimulationTest, AScenarioIsRefusedWithItsFieldAndWhatWasExpected) {
    EXPECT_EQ(wrongIn("{"), "not JSON");
    EXPECT_EQ(wrongIn("{}"), "#: expected \"seconds\"");
    const std::string site =
        R"({"name":"east","nodes":1,"zones":["a"],"types":[{"name":"box","cores":2,"ramGb":4,)"
        R"("ordinary":1}],"teams":[{"name":"red"}],"classes":[{"name":"web","shape":"array",)"
        R"("priority":"low","cores":1,"ramGb":1,"tasks":[1,2],"runS":[1,2],"perMinute":1}]})";
    const auto with = [&](const std::string& rest) {
        return R"({"seconds":60,"sites":[)" + site + "]" + rest + "}";
    };
    EXPECT_EQ(wrongIn(with("")), "");
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":1,"kind":"flood"}])")),
              "#/faults/0/kind: expected a known kind of fault");
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":61,"kind":"node_crash"}])")),
              "#/faults/0/atS: expected a time within the run");
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":1,"kind":"zone_cut","site":"west"}])")),
              "#/faults/0/site: expected a known site");
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":1,"kind":"zone_cut","site":"east","zone":"b"}])")),
              "#/faults/0/zone: expected a zone of that site");
    const auto chained = [&](const std::string& stages, const std::string& state = "") {
        std::string text = with("");
        text.insert(text.find(R"("classes")"),
                    R"("pipelines":[{"name":"p","perMinute":1,"stages":)" + stages + "}]," + state);
        return wrongIn(text);
    };
    EXPECT_EQ(chained(R"([{"class":"web"},{"class":"web","needs":[0]}])"), "");
    EXPECT_EQ(chained(R"([{"class":"web","needs":[0]}])"),
              "#/sites/0/pipelines/0/stages/0/needs: expected numbers of stages before it");
    EXPECT_EQ(chained(R"([{"class":"wob"}])"),
              "#/sites/0/pipelines/0/stages/0/class: expected a class of arrays of that site");
    EXPECT_EQ(chained(R"([{"class":"web","jobs":[3,2]}])"),
              "#/sites/0/pipelines/0/stages/0/jobs: expected the lower bound first");
    EXPECT_EQ(chained("[]").substr(0, 30), "#/sites/0/pipelines/0/stages: ");
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":1,"kind":"state_limits"}])")),
              "#/faults/0/kind: expected a site with state/next");
    EXPECT_EQ(
        wrongIn(with(R"(,"faults":[{"atS":1,"kind":"machine_deaf","forS":-1}])")).substr(0, 16),
        "#/faults/0/forS:");
    for (const char* share : {"-0.1", "1.5", "\"half\""})
        EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":1,"kind":"answers_lost","share":)" +
                               std::string(share) + "}]"))
                      .substr(0, 17),
                  "#/faults/0/share:")
            << share;
    EXPECT_EQ(wrongIn(with(R"(,"faults":[{"atS":99,"kind":"close_looks"}])")),
              "#/faults/0/atS: expected a time within the run");
    EXPECT_EQ(wrongIn(with(R"(,"swarm":{"fromS":5,"toS":50,"thenLeaderEnds":true})")),
              "#/swarm/thenLeaderEnds: expected pairs beside it");
    EXPECT_EQ(wrongIn(with(R"(,"shown":{"beginS":"4 min"}})")).substr(0, 8), "not JSON");
    const auto pairs = [&](const std::string& list, const std::string& to = "50") {
        return wrongIn(with(R"(,"swarm":{"fromS":5,"toS":)" + to + R"(,"pairs":)" + list + "}"));
    };
    EXPECT_EQ(pairs(R"([["any","node_refused"]])"), "");
    EXPECT_EQ(pairs(R"([["any","flood"]])"),
              "#/swarm/pairs/0/1: expected a known kind of fault, or \"any\"");
    EXPECT_EQ(pairs(R"([["node_crash"]])").substr(0, 16), "#/swarm/pairs/0:");
    EXPECT_EQ(pairs(R"(["node_crash"])").substr(0, 16), "#/swarm/pairs/0:");
    EXPECT_EQ(pairs(R"([["any","any"]])", "61"), "#/swarm/toS: expected a time within the run");
    EXPECT_EQ(pairs(R"([["any","any"]])", "4"),
              "#/swarm/toS: expected a time after fromS, for its pairs");
    EXPECT_EQ(wrongIn(with(R"(,"shown":{"beginS":"4 min"})")).substr(0, 15), "#/shown/beginS:");
    std::string large = with("");
    large.replace(large.find(R"("cores":1,"ramGb":1)"), 9, R"("cores":3)");
    EXPECT_EQ(wrongIn(large), "#/sites/0/classes/0: expected a type that a task fits");
}

// The network itself

struct Echo {
    Timeline time{1};
    Network network{time};
    Machine here{network, "here", "10.9.0.1", "a", "x", 0, 0ms};
    Machine there{network, "there", "10.9.0.2", "b", "x", 0.0005, 0ms};
    Scope hereScope{here.startProcess()}, thereScope{there.startProcess()};
    std::unique_ptr<http::Server> server =
        std::make_unique<http::Server>(there.loop(), "10.9.0.2:80", http::ServerLimits{},
                                       [](http::Request r) -> Task<http::Response> {
                                           co_return http::Response{200, r.body};
                                       });
    http::Client client{here.loop(), "10.9.0.2:80"};
    http::RequestOutcome got;
    bool done = false;

    Echo() { server->start(thereScope); }
    Echo(const Echo&) = delete;
    Echo& operator=(const Echo&) = delete;
    ~Echo() {
        here.drainScope(hereScope);
        if (there.on()) there.drainScope(thereScope);
        server.reset();
    }
    void ask(Duration timeout) {
        done = false;
        hereScope.spawn([](Echo& e, Duration wait) -> Task<void> {
            http::Request r{"POST", "/", "hello"};
            e.got = co_await e.client.request(std::move(r), wait, e.hereScope);
            e.done = true;
        }(*this, timeout));
        here.wake();
    }
    void pass(Duration span) { network.run(time.now() + span); }
    std::uint64_t cut() {
        return network.cut([](const Machine& a, const Machine& b) { return a.zone != b.zone; });
    }
};

TEST(SimulatedNetwork, WhatIsSentArrivesAndARefusedConnectionIsToldAtOnce) {
    Echo echo;
    echo.ask(1s);
    echo.pass(500ms);
    EXPECT_EQ(echo.got.response.body, "hello");
    http::Client nobody(echo.here.loop(), "10.9.0.2:81");
    bool done = false;
    echo.hereScope.spawn([](http::Client& c, Scope& s, bool& flag) -> Task<void> {
        http::Request r{"GET", "/", ""};
        const auto o = co_await c.request(std::move(r), 10s, s);
        flag = !o.sent;
    }(nobody, echo.hereScope, done));
    echo.here.wake();
    echo.pass(300ms);
    EXPECT_TRUE(done);
}

TEST(SimulatedNetwork, ACutHoldsBackWhatWasSentAndEndsWithItOrWithAReset) {
    for (const bool reset : {false, true}) {
        Echo echo;
        echo.ask(1s);
        echo.pass(500ms);
        const auto cut = echo.cut();
        echo.ask(20s);
        echo.pass(5s);
        EXPECT_FALSE(echo.done);
        echo.network.heal(cut, reset);
        echo.pass(500ms);
        EXPECT_TRUE(echo.done);
        EXPECT_EQ(echo.got.answered, !reset);
        EXPECT_TRUE(echo.got.sent);
    }
}

TEST(SimulatedNetwork, AMachineThatStandsStillGoesOnLaterAndOneWithoutPowerIsSilent) {
    Echo echo;
    echo.there.freeze(3s);
    echo.ask(10s);
    echo.pass(2900ms);
    EXPECT_FALSE(echo.done);
    echo.pass(300ms);
    EXPECT_TRUE(echo.got.answered);
    echo.there.disconnect(false);
    echo.ask(2s);
    echo.pass(1900ms);
    EXPECT_FALSE(echo.done) << "no reset, no refusal";
    echo.pass(300ms);
    EXPECT_TRUE(echo.done);
    EXPECT_FALSE(echo.got.answered);
}

TEST(SimulatedNetwork, ClocksDriftApartWithinTheirBound) {
    Echo echo;
    echo.pass(1000s);
    const Duration apart = echo.there.clock().now() - echo.here.clock().now();
    EXPECT_GT(apart, 490ms);
    EXPECT_LE(apart, 501ms);
    EXPECT_NEAR(toSeconds(echo.there.clock().trueTime(echo.there.clock().now()) - echo.time.now()),
                0, 1e-6);
}

}  // namespace
}  // namespace basaltchute::simulator
