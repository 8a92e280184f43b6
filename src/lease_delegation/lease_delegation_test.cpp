#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "testing/world.h"

// Tests each state change of a delegation, and then searches systematically through combinations of
// faults around one.

namespace basaltchute::lease_delegation {
namespace {

using namespace std::chrono_literals;
using scheduler::Cluster;
using testing::Worker;

class DelegationTest : public ::testing::Test {
  protected:
    FakeClock clock;
    DelegationLimits limits{60s, 30s, 56s, 4s};
    Delegate delegate{limits, "b", clock.now() - 1h};
    Delegator delegator{limits, 7, {"rig-0", "a"}, 1h, {{"rig-1", "b"}}, clock.now()};
    TimePoint cap = TimePoint::max();

    void renewDelegation() {
        const TimePoint requestedAt = clock.now();
        const DelegationRequest request = delegate.request("rig-1", requestedAt);
        EXPECT_TRUE(delegate.accept(delegator.handleRequest(request, cap, clock.now()), requestedAt,
                                    clock.now()));
    }
    void renewDelegationFor(Duration span) {
        for (Duration d{}; d < span; d += 500ms) {
            renewDelegation();
            clock.advance(500ms);
        }
    }
    bool tryAnswer(FencingToken seen = 7, const std::string& zone = "b", FencingToken newest = 7) {
        return delegate.tryUse(seen, zone, newest, clock.now());
    }
};

TEST_F(DelegationTest, UsedOnlyWhileTheLeaderIsSilentAndOnlyForItsOwnZone) {
    EXPECT_FALSE(tryAnswer()) << "nothing has been delegated yet";
    renewDelegationFor(5s);
    EXPECT_FALSE(tryAnswer()) << "the leader is in contact";
    clock.advance(3s);
    EXPECT_FALSE(tryAnswer()) << "an election may take this long";
    clock.advance(1s);
    EXPECT_TRUE(tryAnswer());
    EXPECT_FALSE(tryAnswer(7, "a"));
    EXPECT_TRUE(tryAnswer(6)) << "that agent had not found the delegating leader yet";
    EXPECT_FALSE(tryAnswer(lastTokenOfTerm(7) + 1)) << "that agent would drop the answer";
    delegate.onLeaderContact(7, clock.now());
    EXPECT_FALSE(tryAnswer()) << "the leader is back";
}

TEST_F(DelegationTest, AnAgentIsAnsweredWithTheTokenThatTheLeaderHasRaisedForIt) {
    renewDelegationFor(5s);
    clock.advance(5s);
    EXPECT_TRUE(tryAnswer(7 + 3));
    EXPECT_EQ(delegate.responseToken(7 + 3), 7U + 3U);
    EXPECT_TRUE(tryAnswer(lastTokenOfTerm(7)));
    EXPECT_EQ(delegate.responseToken(6), 7U) << "that agent had seen a former leader only";
    const auto transferred = delegate.transfer(7, clock.now());
    ASSERT_TRUE(transferred);
    EXPECT_EQ(transferred->lastToken, lastTokenOfTerm(7));
    Delegate self{limits, "b", clock.now() - 1h};
    self.adoptSelfDelegation(7, clock.now() + 20s, clock.now());
    EXPECT_TRUE(self.tryUse(7 + 3, "b", 7, clock.now() + 5s));
}

TEST_F(DelegationTest, TheDelegationOfAnOlderVersionsLeaderCoversItsOneTokenOnly) {
    ASSERT_TRUE(delegate.accept(Delegation{7, 1, 30s}, clock.now(), clock.now()));
    clock.advance(5s);
    EXPECT_TRUE(tryAnswer(7));
    EXPECT_FALSE(tryAnswer(8)) << "the next leader's";
}

TEST_F(DelegationTest, ExpiresByTheDelegatesClockEvenAfterALongPause) {
    renewDelegationFor(5s);
    clock.advance(59s);
    EXPECT_TRUE(tryAnswer());
    clock.advance(1h);  // the process is paused, and right afterwards it is to answer
    EXPECT_FALSE(tryAnswer());
}

TEST_F(DelegationTest, EndsWhenANewerLeaderIsKnownAndIsReplacedByItsDelegation) {
    renewDelegationFor(5s);
    clock.advance(5s);
    ASSERT_TRUE(tryAnswer());
    EXPECT_FALSE(tryAnswer(7, "b", 8)) << "known from the state service";
    EXPECT_FALSE(delegate.isValid(clock.now()));
    renewDelegationFor(5s);  // late answers of the former leader delegate nothing
    Delegator next{limits, 8, {"rig-2", "a"}, 1h, {{"rig-1", "b"}}, clock.now()};
    ASSERT_TRUE(delegate.accept(
        next.handleRequest(delegate.request("rig-1", clock.now()), cap, clock.now()), clock.now(),
        clock.now()));
    renewDelegation();
    EXPECT_EQ(delegate.token(), 8U);
}

TEST_F(DelegationTest, DelegationBeyondTheMaximumDurationIsRejected) {
    EXPECT_FALSE(delegate.accept({7, 1, 61s}, clock.now(), clock.now()));
    EXPECT_FALSE(delegate.isValid(clock.now()));
    EXPECT_TRUE(delegate.accept({7, 2, 0ms}, clock.now(), clock.now()));
    EXPECT_FALSE(delegate.isValid(clock.now()));
}

TEST_F(DelegationTest, UnusedDelegationDoesNotDelayDeclaringAMachineDead) {
    renewDelegationFor(70s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), clock.now());
    EXPECT_EQ(delegator.agentLeasesEnd("a", clock.now()),
              delegator.agentLeasesEnd("a", clock.now() + 1h));
    // Silent for less than the time that a delegate waits: it cannot have answered yet.
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now() + 2s), clock.now());
    // Silent for longer: it may answer until the delegation ends, and the agents' leases last for
    // one more lease duration.
    const TimePoint last = clock.now() - 500ms;
    clock.advance(10s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), last + 60s + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), last + 60s + 32s);
}

TEST_F(DelegationTest, UsedDelegationIsReportedAfterThePartition) {
    renewDelegationFor(70s);
    clock.advance(10s);
    ASSERT_TRUE(tryAnswer());
    const TimePoint used = clock.now();
    clock.advance(5s);
    renewDelegationFor(2s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), used + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), used + 32s);
}

TEST_F(DelegationTest, DelayedRequestProvesNothingAboutLaterUse) {
    renewDelegationFor(70s);
    const TimePoint sentAt = clock.now();
    const DelegationRequest delayed = delegate.request("rig-1", sentAt);
    clock.advance(10s);
    ASSERT_TRUE(tryAnswer());
    clock.advance(40s);
    delegator.handleRequest(delayed, cap, clock.now());  // delivered when the partition ends
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), sentAt + 10s + 30s)
        << "the delayed request proves nothing about the time after it was sent";
}

TEST_F(DelegationTest, ShorterDelegationCountsOnceItIsConfirmed) {
    renewDelegationFor(5s);
    cap = clock.now() + 10s;
    renewDelegation();
    EXPECT_GT(delegator.delegationsEnd("b"), clock.now() + 50s)
        << "the answer with the cap may be lost";
    clock.advance(500ms);
    renewDelegation();
    EXPECT_LE(delegator.delegationsEnd("b"), cap);
    clock.advance(10s);
    EXPECT_FALSE(tryAnswer());
}

TEST_F(DelegationTest, RestartedDelegateHasNoneAndItsFormerProcessMayHaveAnswered) {
    renewDelegationFor(70s);
    clock.advance(6s);
    delegate = Delegate{limits, "b", clock.now()};
    clock.advance(4s);
    EXPECT_FALSE(tryAnswer());
    renewDelegationFor(2s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), clock.now() - 6s + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), clock.now() - 6s + 32s);
}

TEST_F(DelegationTest, SuccessorAssumesTheLongestDelegationForSilentNodes) {
    renewDelegationFor(70s);
    clock.advance(3s);
    const TimePoint elected = clock.now();
    Delegator next{limits, 8, {"rig-2", "a"}, 1h, {{"rig-0", "a"}, {"rig-1", "b"}}, elected};
    for (const char* zone : {"a", "b", ""}) {
        EXPECT_GE(next.agentLeasesEnd(zone, elected), elected + 60s + 30s) << zone;
        EXPECT_GE(next.delegationsEnd(zone), elected + 60s) << zone;
    }
    // The former leader's delegate reports that it has not used its delegation. It gives that
    // delegation up when it accepts the new one.
    for (int i = 0; i < 2; ++i) {
        const DelegationRequest request = delegate.request("rig-1", clock.now());
        delegate.accept(next.handleRequest(request, TimePoint{}, clock.now()), clock.now(),
                        clock.now());
    }
    EXPECT_LE(next.agentLeasesEnd("b", clock.now()), clock.now());
    EXPECT_LE(next.delegationsEnd("b"), clock.now());
    EXPECT_GE(next.delegationsEnd("a"), elected + 60s) << "the former leader delegated to itself";
}

TEST_F(DelegationTest, FormerLeaderAnswersUnderItsDelegationToItself) {
    cap = clock.now() + 20s;
    const TimePoint until = delegator.delegateToSelf(cap, clock.now());
    Delegate self{limits, "a", clock.now() - 1h};
    self.adoptSelfDelegation(7, until, clock.now());
    EXPECT_FALSE(self.tryUse(7, "a", 7, clock.now() + 3s)) << "another node may lead by now";
    EXPECT_TRUE(self.tryUse(7, "a", 0, clock.now() + 4s)) << "it knows of no leader at all";
    EXPECT_FALSE(self.tryUse(7, "a", 7, clock.now() + 20s));
    self.adoptSelfDelegation(7, until + 40s, clock.now());
    EXPECT_FALSE(self.tryUse(7, "a", 8, clock.now() + 30s));
}

TEST_F(DelegationTest, DelegateTransfersOnlyADelegationThatItWouldUseItself) {
    Delegate other{limits, "b", clock.now()};
    EXPECT_FALSE(delegate.transfer(7, clock.now())) << "it has no delegation";
    renewDelegationFor(5s);
    EXPECT_FALSE(delegate.transfer(7, clock.now())) << "the leader is in contact";
    clock.advance(10s);
    EXPECT_FALSE(delegate.transfer(8, clock.now())) << "another node leads";
    const auto transferred = delegate.transfer(7, clock.now());
    ASSERT_TRUE(transferred);
    ASSERT_TRUE(other.needsDelegation(clock.now()));
    other.acceptTransfer(*transferred, clock.now(), clock.now());
    EXPECT_TRUE(other.tryUse(7, "b", 7, clock.now()));
    clock.advance(transferred->duration);
    EXPECT_FALSE(other.tryUse(7, "b", 7, clock.now()))
        << "the transferred delegation ends with the original one";
    // Accepts no transfer beyond the maximum duration, nor one in place of a leader's delegation.
    other.acceptTransfer({7, 0, 61s}, clock.now(), clock.now());
    EXPECT_FALSE(other.isValid(clock.now()));
    clock.advance(60s);
    delegate.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_FALSE(delegate.isValid(clock.now()));
}

TEST_F(DelegationTest, RestartedNodeAcceptsNoTransferBeforeItsFormerProcessesReportsExpire) {
    // The leader relies on the last report of the former process for as long as a delegate waits
    // before it answers.
    Delegate fresh{limits, "b", clock.now()};
    fresh.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_FALSE(fresh.isValid(clock.now()));
    clock.advance(4s);
    fresh.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_TRUE(fresh.isValid(clock.now()));
    fresh.onLeaderContact(8, clock.now());
    EXPECT_FALSE(fresh.isValid(clock.now()));
    EXPECT_FALSE(fresh.needsDelegation(clock.now())) << "a leader is in contact";
}

TEST_F(DelegationTest, SilentNodeMayAnswerUnderATransferFromAReturningDelegate) {
    Delegator leader{limits, 7, {"rig-0", "a"}, 1h, {{"rig-1", "b"}, {"rig-2", "b"}}, clock.now()};
    Delegate other{limits, "b", clock.now() - 1h};
    const auto requestDelegation = [&](Delegate& requester, const std::string& name) {
        const TimePoint requestedAt = clock.now();
        requester.accept(
            leader.handleRequest(requester.request(name, requestedAt), cap, requestedAt),
            requestedAt, requestedAt);
    };
    for (int i = 0; i < 200; ++i) {
        requestDelegation(delegate, "rig-1");
        if (i < 2) requestDelegation(other, "rig-2");  // after that, rig-2 is down
        clock.advance(500ms);
    }
    EXPECT_LE(leader.agentLeasesEnd("b", clock.now()), clock.now()) << "its delegation has expired";
    const TimePoint last = clock.now() - 500ms;
    clock.advance(10s);
    requestDelegation(delegate, "rig-1");
    clock.advance(500ms);
    requestDelegation(delegate, "rig-1");
    EXPECT_GE(leader.agentLeasesEnd("b", clock.now()), last + 60s + 30s)
        << "rig-2 may be running again, without contact to the leader";
    EXPECT_GE(leader.delegationsEnd("b"), last + 60s);
    // Once in contact with the leader, rig-2 replaces the transferred delegation by the leader's.
    Delegate returned{limits, "b", clock.now() - 1h};
    for (int i = 0; i < 2; ++i) requestDelegation(returned, "rig-2");
    EXPECT_LE(leader.agentLeasesEnd("b", clock.now()), clock.now() + 32s);
}

/// A zone that is partitioned, with one machine and one delegate (or two). Another machine, the
/// leader and perhaps its successor are outside that zone. Times are in seconds.
struct Scenario {
    int partitionedFor = 0;          // from second 5 on
    int cancelAt = -1;               // -1: never
    int takeOverAt = -1;             // the leader dies; its successor leads from then on
    int pauseAt = -1, pauseFor = 0;  // of the delegate's process
    int restartAt = -1;              // of the delegate
    bool answerLost = false;         // the leader's last answer before the partition is lost
    bool delegationsTracked = true;  // whether leaders take delegations into account
    // Whether the zone has a second delegate, and whether the leaders know that it is in the zone.
    bool second = false, secondKnown = true;
    int secondPartitionedAt = 5, secondPartitionedFor = 0, secondRestartAt = -1;

    [[nodiscard]] std::string description() const {
        std::string out;
        for (const int i : {partitionedFor, cancelAt, takeOverAt, pauseAt, pauseFor, restartAt,
                            secondPartitionedAt, secondPartitionedFor, secondRestartAt})
            out += std::to_string(i) + " ";
        return out + (answerLost ? "lost" : "") + (second ? "second" : "");
    }
};

class ScenarioRun {
  public:
    explicit ScenarioRun(const Scenario& scenario) : scenario_(scenario) {
        settings_.lease = 4s;
        settings_.heartbeatInterval = 1s;
        settings_.cancelWithin = 11s;
        limits_ = DelegationLimits{8s, 4s, 11s, 2s};
        startLeader(1);
    }
    /// Runs the scenario. Returns which guarantee was violated; empty if none was.
    std::string run();
    /// The last second in which the agent in the zone still had its first incarnation.
    [[nodiscard]] int uninterruptedFor() const { return uninterruptedFor_; }

  private:
    static constexpr int partitionedAt = 5, seconds = 34;
    void startLeader(FencingToken token) {
        auto next = std::make_unique<Cluster>(settings_, token);
        next->setCatalogue(testing::someCatalogue());
        for (const auto& [key, data] : records_)
            next->loadRecord(key, data, clock_.now(), clock_.wall());
        std::vector<Delegator::Node> others{{"rig-1", "b"}};
        if (scenario_.second) others.push_back({"rig-2", scenario_.secondKnown ? "b" : "c"});
        delegator_ = std::make_unique<Delegator>(limits_, token, Delegator::Node{"rig-0", "a"}, 1h,
                                                 others, clock_.now());
        if (scenario_.delegationsTracked) next->setDelegator(*delegator_);
        next->finishLoading(clock_.now());
        cluster_ = std::move(next);
        leaderToken_ = token;
    }
    void heartbeat(Worker& w, TimePoint& renewed, bool reached) {
        if (!reached) return;
        w.execute(cluster_->onHeartbeat(w.next(), clock_.now()));
        w.report.token = cluster_->commandToken(w.report.machine);
        renewed = clock_.now();
    }
    void requestDelegation(Delegate& delegate, const std::string& name, bool answered) {
        const DelegationRequest request = delegate.request(name, clock_.now());
        const Delegation delegation = delegator_->handleRequest(
            request, cluster_->latestDelegationEnd("b", clock_.now()), clock_.now());
        if (answered) delegate.accept(delegation, clock_.now(), clock_.now());
    }
    void transfer(const Delegate& from, Delegate& to) {
        if (!to.needsDelegation(clock_.now())) return;
        if (const auto delegation = from.transfer(0, clock_.now()))
            to.acceptTransfer(*delegation, clock_.now(), clock_.now());
    }
    static bool runsTasks(const Worker& w) {
        return std::any_of(w.report.tasks.begin(), w.report.tasks.end(), [](const auto& t) {
            return t.status != worker_api::TaskStatus::exited;
        });
    }
    Scenario scenario_;
    FakeClock clock_;
    settings::Settings settings_ = testing::someSettings();
    DelegationLimits limits_;
    std::map<std::string, std::string> records_;
    std::unique_ptr<Cluster> cluster_;
    std::unique_ptr<Delegator> delegator_;
    FencingToken leaderToken_ = 0;
    Delegate delegate_{DelegationLimits{8s, 4s, 11s, 2s}, "b", clock_.now() - 1h};
    Delegate secondDelegate_{DelegationLimits{8s, 4s, 11s, 2s}, "b", clock_.now() - 1h};
    int uninterruptedFor_ = 0;
};

std::string ScenarioRun::run() {
    Worker inside("n-1", "b"), outside("n-2", "a");
    TimePoint renewedInside = clock_.now(), renewedOutside = clock_.now();
    std::optional<TimePoint> acknowledged;
    for (int s = 0; s < seconds; ++s) {
        const bool partitioned = s >= partitionedAt && s < partitionedAt + scenario_.partitionedFor;
        const bool paused = s >= scenario_.pauseAt && s < scenario_.pauseAt + scenario_.pauseFor;
        if (s == 1) {
            JobSpec spec = testing::spec("run-1", 1);
            spec.shape = Shape::service;
            spec.zone = scenario_.cancelAt < 0 ? std::nullopt : std::optional<std::string>("b");
            cluster_->submit(spec, clock_.now(), clock_.wall());
        }
        if (s == scenario_.takeOverAt) startLeader(lastTokenOfTerm(1) + 1);
        if (s == scenario_.restartAt) delegate_ = Delegate{limits_, "b", clock_.now()};
        if (!paused && (!partitioned || (s == partitionedAt && scenario_.answerLost)))
            requestDelegation(delegate_, "rig-1", !partitioned);
        const bool secondPartitioned =
            s >= scenario_.secondPartitionedAt &&
            s < scenario_.secondPartitionedAt + scenario_.secondPartitionedFor;
        if (scenario_.second) {
            if (s == scenario_.secondRestartAt)
                secondDelegate_ = Delegate{limits_, "b", clock_.now()};
            if (!secondPartitioned) requestDelegation(secondDelegate_, "rig-2", true);
            if (!paused) transfer(secondDelegate_, delegate_), transfer(delegate_, secondDelegate_);
        }
        // The agent acts first: it sends its heartbeat, and stops its tasks if its lease has ended.
        heartbeat(inside, renewedInside, !partitioned);
        if (partitioned && !paused && delegate_.tryUse(inside.report.token, "b", 0, clock_.now()))
            renewedInside = clock_.now();
        if (partitioned && scenario_.second &&
            secondDelegate_.tryUse(inside.report.token, "b", 0, clock_.now()))
            renewedInside = clock_.now();
        heartbeat(outside, renewedOutside, s > 2);  // later, so that the job is placed in the zone
        if (clock_.now() - renewedInside > settings_.lease) {
            inside.startIncarnation();
            renewedInside = clock_.now();
        }
        if (inside.report.incarnation == 1) uninterruptedFor_ = s;
        if (scenario_.cancelAt >= 0 && s >= scenario_.cancelAt &&
            !acknowledged)  // repeated until it is acknowledged
            if (Job* job = cluster_->find("run-1")) cluster_->cancel(*job, clock_.now());
        cluster_->advanceTo(clock_.now());
        cluster_->place(clock_.now());
        testing::commitAll(*cluster_, records_);
        Job* job = cluster_->find("run-1");
        if (job != nullptr && job->cancelDurable()) {
            cluster_->acknowledgeCancellation(*job, clock_.now());
            if (!acknowledged) acknowledged = clock_.now();
        }
        if (runsTasks(inside) && runsTasks(outside)) return "ran twice";
        if (acknowledged && runsTasks(inside) &&
            clock_.now() - *acknowledged > settings_.cancelWithin)
            return "ran though cancelled";
        clock_.advance(1s);
    }
    if (scenario_.cancelAt >= 0 && !acknowledged) return "never acknowledged";
    return "";
}

std::vector<Scenario> scenarios(bool delegationsTracked) {
    std::vector<Scenario> out;
    for (const int partitionedFor : {0, 2, 4, 6, 9, 13, 18})
        for (const int cancelAt : {-1, 3, 4, 5, 6, 8, 10, 13, 16, 20})
            for (const int takeOverAt : {-1, 3, 5, 6, 8, 11, 15})
                for (const auto& [pauseAt, pauseFor] :
                     std::vector<std::pair<int, int>>{{-1, 0}, {5, 3}, {6, 8}, {8, 4}, {8, 12}})
                    for (const int restartAt : {-1, 5, 9})
                        for (const bool answerLost : {false, true})
                            out.push_back({partitionedFor, cancelAt, takeOverAt, pauseAt, pauseFor,
                                           restartAt, answerLost, delegationsTracked});
    return out;
}

/// Two delegates in the zone, partitioned and restarted at different times.
std::vector<Scenario> scenariosWithTwoDelegates(bool secondKnown) {
    std::vector<Scenario> out;
    for (const int partitionedFor : {0, 9, 13, 18})
        for (const auto& [secondPartitionedAt, secondPartitionedFor] :
             std::vector<std::pair<int, int>>{
                 {5, 0}, {5, 3}, {5, 9}, {5, 18}, {9, 3}, {9, 6}, {9, 14}})
            for (const int cancelAt : {-1, 4, 8, 13})
                for (const int takeOverAt : {-1, 6, 11})
                    for (const int pauseFor : {0, 4})
                        for (const int restartAt : {-1, 5, 8, 12})
                            for (const int secondRestartAt : {-1, 6, 9, 14}) {
                                Scenario scenario{partitionedFor, cancelAt, takeOverAt, 8,
                                                  pauseFor,       restartAt};
                                scenario.second = true;
                                scenario.secondKnown = secondKnown;
                                scenario.secondPartitionedAt = secondPartitionedAt;
                                scenario.secondPartitionedFor = secondPartitionedFor;
                                scenario.secondRestartAt = secondRestartAt;
                                out.push_back(scenario);
                            }
    return out;
}

/// Turns logging off while it exists, for tests that run thousands of scenarios.
struct LogSilencer {
    spdlog::level::level_enum before = spdlog::get_level();
    LogSilencer() { spdlog::set_level(spdlog::level::off); }
    LogSilencer(const LogSilencer&) = delete;
    LogSilencer& operator=(const LogSilencer&) = delete;
    ~LogSilencer() { spdlog::set_level(before); }
};

/// Runs the scenarios until one fails; returns how many passed.
std::size_t runAll(const std::vector<Scenario>& scenarios) {
    const LogSilencer silencer;
    std::size_t passed = 0;
    for (const Scenario& scenario : scenarios) {
        const std::string violation = ScenarioRun(scenario).run();
        EXPECT_EQ(violation, "") << scenario.description();
        if (!violation.empty()) break;
        ++passed;
    }
    return passed;
}

TEST(DelegationScenarios, NoTaskRunsTwiceOrOutlivesItsCancellationAroundADelegation) {
    EXPECT_EQ(runAll(scenarios(true)), 14'700U);
}

TEST(DelegationScenarios, NoTaskRunsTwiceOrOutlivesItsCancellationWithTransfers) {
    EXPECT_EQ(runAll(scenariosWithTwoDelegates(true)), 10'752U);
}

TEST(DelegationScenarios, BothViolationsAreFoundIfLeadersIgnoreTransfers) {
    const LogSilencer silencer;
    std::set<std::string> found;
    for (const Scenario& scenario : scenariosWithTwoDelegates(false)) {
        found.insert(ScenarioRun(scenario).run());
        if (found.contains("ran twice") && found.contains("ran though cancelled")) break;
    }
    EXPECT_TRUE(found.contains("ran twice"));
    EXPECT_TRUE(found.contains("ran though cancelled"));
}

TEST(DelegationScenarios, ZoneKeepsItsTasksWhileItsNodesRestartOneAfterTheOther) {
    // Guards against all leases of a zone expiring during a partition once each of its delegates
    // has been restarted: a restarted delegate has no delegation unless another one transfers its
    // own.
    const LogSilencer silencer;
    Scenario scenario;
    scenario.partitionedFor = scenario.secondPartitionedFor = 9;
    scenario.second = true;
    scenario.restartAt = 5;
    scenario.secondRestartAt = 9;
    ScenarioRun withTransfers(scenario);
    EXPECT_EQ(withTransfers.run(), "");
    scenario.second = false;
    ScenarioRun withoutTransfers(scenario);
    EXPECT_EQ(withoutTransfers.run(), "");
    EXPECT_GT(withTransfers.uninterruptedFor(), 30)
        << "the tasks run until the end of the scenario";
    EXPECT_LT(withoutTransfers.uninterruptedFor(), 14);
}

TEST(DelegationScenarios, BothViolationsAreFoundIfLeadersIgnoreDelegations) {
    const LogSilencer silencer;
    std::set<std::string> found;
    for (const Scenario& scenario : scenarios(false)) found.insert(ScenarioRun(scenario).run());
    EXPECT_TRUE(found.contains("ran twice"));
    EXPECT_TRUE(found.contains("ran though cancelled"));
}

}  // namespace
}  // namespace basaltchute::lease_delegation
