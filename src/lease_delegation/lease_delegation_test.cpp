#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "testing/world.h"

// Every transition of a delegation, then a search through what can happen around one.

namespace basaltchute::lease_delegation {
namespace {

using namespace std::chrono_literals;
using scheduler::Cluster;
using testing::Worker;

class DelegationTest : public ::testing::Test {
  protected:
    FakeClock clock;
    DelegationLimits bounds{60s, 30s, 56s, 4s};
    Delegate holder{bounds, "b", clock.now() - 1h};
    Delegator delegator{bounds, 7, {"rig-0", "a"}, 1h, {{"rig-1", "b"}}, clock.now()};
    TimePoint cap = TimePoint::max();

    void renew() {
        const TimePoint asked = clock.now();
        const DelegationRequest q = holder.request("rig-1", asked);
        EXPECT_TRUE(
            holder.accept(delegator.handleRequest(q, cap, clock.now()), asked, clock.now()));
    }
    void talk(Duration span) {
        for (Duration d{}; d < span; d += 500ms) {
            renew();
            clock.advance(500ms);
        }
    }
    bool answers(FencingToken seen = 7, const std::string& zone = "b", FencingToken newest = 7) {
        return holder.mayAnswer(seen, zone, newest, clock.now());
    }
};

TEST_F(DelegationTest, IsUsedOnlyWhileTheLeaderIsSilentAndOnlyForItsOwnZone) {
    EXPECT_FALSE(answers()) << "nothing was lent yet";
    talk(5s);
    EXPECT_FALSE(answers()) << "the leader speaks";
    clock.advance(3s);
    EXPECT_FALSE(answers()) << "an election takes as long";
    clock.advance(1s);
    EXPECT_TRUE(answers());
    EXPECT_FALSE(answers(7, "a"));
    EXPECT_TRUE(answers(6)) << "that worker had not found the delegator yet";
    EXPECT_FALSE(answers(8)) << "that worker would drop the answer";
    holder.onLeaderHeard(7, clock.now());
    EXPECT_FALSE(answers()) << "the delegator is back";
}

TEST_F(DelegationTest, RunsOutByTheHoldersClockHoweverLongItStoodStill) {
    talk(5s);
    clock.advance(59s);
    EXPECT_TRUE(answers());
    clock.advance(1h);  // it stood still, and the next thing it does is to answer
    EXPECT_FALSE(answers());
}

TEST_F(DelegationTest, IsOverOnceANewerLeaderIsKnownAndReplacedByItsDelegation) {
    talk(5s);
    clock.advance(5s);
    ASSERT_TRUE(answers());
    EXPECT_FALSE(answers(7, "b", 8)) << "known by the state service";
    EXPECT_FALSE(holder.isValid(clock.now()));
    talk(5s);  // a late answer of the former leader delegates nothing again
    Delegator next{bounds, 8, {"rig-2", "a"}, 1h, {{"rig-1", "b"}}, clock.now()};
    ASSERT_TRUE(
        holder.accept(next.handleRequest(holder.request("rig-1", clock.now()), cap, clock.now()),
                      clock.now(), clock.now()));
    renew();
    EXPECT_EQ(holder.token(), 8U);
}

TEST_F(DelegationTest, ADelegationLongerThanAnyMayBeIsNotTaken) {
    EXPECT_FALSE(holder.accept({7, 1, 61s}, clock.now(), clock.now()));
    EXPECT_FALSE(holder.isValid(clock.now()));
    EXPECT_TRUE(holder.accept({7, 2, 0ms}, clock.now(), clock.now()));
    EXPECT_FALSE(holder.isValid(clock.now()));
}

TEST_F(DelegationTest, AHolderThatSaysItHasNotUsedItKeepsNoDeadMachineWaiting) {
    talk(70s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), clock.now());
    EXPECT_EQ(delegator.agentLeasesEnd("a", clock.now()),
              delegator.agentLeasesEnd("a", clock.now() + 1h));
    // Silent for as long as it keeps still itself: nothing can have been answered yet.
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now() + 2s), clock.now());
    // Longer: it may have been answering, up to the delegation's end and a lease after that.
    const TimePoint last = clock.now() - 500ms;
    clock.advance(10s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), last + 60s + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), last + 60s + 32s);
}

TEST_F(DelegationTest, AHolderThatUsedItSaysSoWhenItIsBack) {
    talk(70s);
    clock.advance(10s);
    ASSERT_TRUE(answers());
    const TimePoint used = clock.now();
    clock.advance(5s);
    talk(2s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), used + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), used + 32s);
}

TEST_F(DelegationTest, AQuestionThatWasHeldBackProvesNothing) {
    talk(70s);
    const TimePoint left = clock.now();
    const DelegationRequest held = holder.request("rig-1", left);
    clock.advance(10s);
    ASSERT_TRUE(answers());
    clock.advance(40s);
    delegator.handleRequest(held, cap, clock.now());  // delivered when the cut ends
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), left + 10s + 30s)
        << "it says nothing of later";
}

TEST_F(DelegationTest, AShorterDelegationCountsOnceItIsConfirmed) {
    talk(5s);
    cap = clock.now() + 10s;
    renew();
    EXPECT_GT(delegator.delegationsEnd("b"), clock.now() + 50s) << "the answer may be lost";
    clock.advance(500ms);
    renew();
    EXPECT_LE(delegator.delegationsEnd("b"), cap);
    clock.advance(10s);
    EXPECT_FALSE(answers());
}

TEST_F(DelegationTest, ARestartedHolderHoldsNoneAndItsFormerProcessMayHaveAnswered) {
    talk(70s);
    clock.advance(6s);
    holder = Delegate{bounds, "b", clock.now()};
    clock.advance(4s);
    EXPECT_FALSE(answers());
    talk(2s);
    EXPECT_GE(delegator.agentLeasesEnd("b", clock.now()), clock.now() - 6s + 30s);
    EXPECT_LE(delegator.agentLeasesEnd("b", clock.now()), clock.now() - 6s + 32s);
}

TEST_F(DelegationTest, ASuccessorAssumesTheLongestDelegationOfWhomItHasNotHeard) {
    talk(70s);
    clock.advance(3s);
    const TimePoint elected = clock.now();
    Delegator next{bounds, 8, {"rig-2", "a"}, 1h, {{"rig-0", "a"}, {"rig-1", "b"}}, elected};
    for (const char* zone : {"a", "b", ""}) {
        EXPECT_GE(next.agentLeasesEnd(zone, elected), elected + 60s + 30s) << zone;
        EXPECT_GE(next.delegationsEnd(zone), elected + 60s) << zone;
    }
    // The holder of the former one's says that it has not used it, and gives it back by taking
    // this.
    for (int i = 0; i < 2; ++i) {
        const DelegationRequest q = holder.request("rig-1", clock.now());
        holder.accept(next.handleRequest(q, TimePoint{}, clock.now()), clock.now(), clock.now());
    }
    EXPECT_LE(next.agentLeasesEnd("b", clock.now()), clock.now());
    EXPECT_LE(next.delegationsEnd("b"), clock.now());
    EXPECT_GE(next.delegationsEnd("a"), elected + 60s) << "the former leader lent to itself";
}

TEST_F(DelegationTest, AFormerLeaderAnswersByWhatItLentToItself) {
    cap = clock.now() + 20s;
    const TimePoint until = delegator.delegateSelf(cap, clock.now());
    Delegate self{bounds, "a", clock.now() - 1h};
    self.retainOwn(7, until, clock.now());
    EXPECT_FALSE(self.mayAnswer(7, "a", 7, clock.now() + 3s)) << "another may lead by now";
    EXPECT_TRUE(self.mayAnswer(7, "a", 0, clock.now() + 4s)) << "it knows of no leader at all";
    EXPECT_FALSE(self.mayAnswer(7, "a", 7, clock.now() + 20s));
    self.retainOwn(7, until + 40s, clock.now());
    EXPECT_FALSE(self.mayAnswer(7, "a", 8, clock.now() + 30s));
}

TEST_F(DelegationTest, AHolderHandsOnOnlyWhatItWouldAnswerBy) {
    Delegate other{bounds, "b", clock.now()};
    EXPECT_FALSE(holder.transfer(7, clock.now())) << "it holds nothing";
    talk(5s);
    EXPECT_FALSE(holder.transfer(7, clock.now())) << "the leader speaks";
    clock.advance(10s);
    EXPECT_FALSE(holder.transfer(8, clock.now())) << "another leads";
    const auto on = holder.transfer(7, clock.now());
    ASSERT_TRUE(on);
    ASSERT_TRUE(other.needsDelegation(clock.now()));
    other.acceptTransfer(*on, clock.now(), clock.now());
    EXPECT_TRUE(other.mayAnswer(7, "b", 7, clock.now()));
    clock.advance(on->duration);
    EXPECT_FALSE(other.mayAnswer(7, "b", 7, clock.now())) << "to the end of the first one's";
    // Not a longer one than any, and none instead of what a leader gave.
    other.acceptTransfer({7, 0, 61s}, clock.now(), clock.now());
    EXPECT_FALSE(other.isValid(clock.now()));
    clock.advance(60s);
    holder.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_FALSE(holder.isValid(clock.now()));
}

TEST_F(DelegationTest, ANodeThatWasJustStartedTakesNothingOnBeforeItsFormerProcessesWordIsOver) {
    // What that one told the leader last counts for as long as a holder keeps still.
    Delegate fresh{bounds, "b", clock.now()};
    fresh.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_FALSE(fresh.isValid(clock.now()));
    clock.advance(4s);
    fresh.acceptTransfer({7, 0, 20s}, clock.now(), clock.now());
    EXPECT_TRUE(fresh.isValid(clock.now()));
    fresh.onLeaderHeard(8, clock.now());
    EXPECT_FALSE(fresh.isValid(clock.now()));
    EXPECT_FALSE(fresh.needsDelegation(clock.now())) << "a leader speaks";
}

TEST_F(DelegationTest, WhoIsNotHeardMayAnswerByWhatAHolderThatIsBackHandedOn) {
    Delegator books{bounds, 7, {"rig-0", "a"}, 1h, {{"rig-1", "b"}, {"rig-2", "b"}}, clock.now()};
    Delegate other{bounds, "b", clock.now() - 1h};
    const auto ask = [&](Delegate& h, const std::string& name) {
        const TimePoint asked = clock.now();
        h.accept(books.handleRequest(h.request(name, asked), cap, asked), asked, asked);
    };
    for (int i = 0; i < 200; ++i) {
        ask(holder, "rig-1");
        if (i < 2) ask(other, "rig-2");  // and is gone for good after that
        clock.advance(500ms);
    }
    EXPECT_LE(books.agentLeasesEnd("b", clock.now()), clock.now()) << "what it held is over";
    const TimePoint last = clock.now() - 500ms;
    clock.advance(10s);
    ask(holder, "rig-1");
    clock.advance(500ms);
    ask(holder, "rig-1");
    EXPECT_GE(books.agentLeasesEnd("b", clock.now()), last + 60s + 30s)
        << "rig-2 may be back, unheard";
    EXPECT_GE(books.delegationsEnd("b"), last + 60s);
    // Heard, it gives that back by taking the leader's.
    Delegate back{bounds, "b", clock.now() - 1h};
    for (int i = 0; i < 2; ++i) ask(back, "rig-2");
    EXPECT_LE(books.agentLeasesEnd("b", clock.now()), clock.now() + 32s);
}

/// One machine in a zone that is cut off, one outside, a leader outside, and perhaps its successor.
struct Story {
    int cutFor = 0;                  // seconds, from the fifth on
    int cancelAt = -1;               // -1: never
    int takeOverAt = -1;             // the leader dies; its successor leads from then on
    int pauseAt = -1, pauseFor = 0;  // the holder stands still
    int restartAt = -1;              // the holder
    bool answerLost = false;         // the leader's last answer before the cut
    bool heeded = true;              // whether leaders reckon with delegations
    // A second holder in the zone, and whether the leaders know that it is in it.
    bool mate = false, mateKnown = true;
    int mateCutAt = 5, mateCutFor = 0, mateRestartAt = -1;

    [[nodiscard]] std::string text() const {
        std::string out;
        for (const int i : {cutFor, cancelAt, takeOverAt, pauseAt, pauseFor, restartAt, mateCutAt,
                            mateCutFor, mateRestartAt})
            out += std::to_string(i) + " ";
        return out + (answerLost ? "lost" : "") + (mate ? "mate" : "");
    }
};

class Play {
  public:
    explicit Play(const Story& story) : story_(story) {
        settings_.lease = 4s;
        settings_.reportEvery = 1s;
        settings_.cancelWithin = 11s;
        bounds_ = DelegationLimits{8s, 4s, 11s, 2s};
        lead(1);
    }
    /// What went wrong, or nothing.
    std::string run();
    /// Seconds that the machine in the zone has kept its first session for.
    [[nodiscard]] int kept() const { return kept_; }

  private:
    static constexpr int cutAt = 5, seconds = 34;
    void lead(FencingToken token) {
        auto next = std::make_unique<Cluster>(settings_, token);
        next->setCatalogue(testing::someCatalogue());
        for (const auto& [key, data] : records_) next->load(key, data, clock_.now(), clock_.wall());
        std::vector<Delegator::Node> others{{"rig-1", "b"}};
        if (story_.mate) others.push_back({"rig-2", story_.mateKnown ? "b" : "c"});
        delegator_ = std::make_unique<Delegator>(bounds_, token, Delegator::Node{"rig-0", "a"}, 1h,
                                                 others, clock_.now());
        if (story_.heeded) next->setDelegator(*delegator_);
        next->loaded(clock_.now());
        cluster_ = std::move(next);
        leaderToken_ = token;
    }
    void beat(Worker& w, TimePoint& renewed, bool reached) {
        if (!reached) return;
        w.execute(cluster_->onHeartbeat(w.next(), clock_.now()));
        w.report.token = leaderToken_;
        renewed = clock_.now();
    }
    void borrow(Delegate& holder, const std::string& name, bool answered) {
        const DelegationRequest q = holder.request(name, clock_.now());
        const Delegation delegation =
            delegator_->handleRequest(q, cluster_->delegationCap("b", clock_.now()), clock_.now());
        if (answered) holder.accept(delegation, clock_.now(), clock_.now());
    }
    void handOn(const Delegate& from, Delegate& to) {
        if (!to.needsDelegation(clock_.now())) return;
        if (const auto delegation = from.transfer(0, clock_.now()))
            to.acceptTransfer(*delegation, clock_.now(), clock_.now());
    }
    static bool runs(const Worker& w) {
        return std::any_of(w.report.tasks.begin(), w.report.tasks.end(), [](const auto& t) {
            return t.status != worker_api::TaskStatus::exited;
        });
    }
    Story story_;
    FakeClock clock_;
    settings::Settings settings_ = testing::someSettings();
    DelegationLimits bounds_;
    std::map<std::string, std::string> records_;
    std::unique_ptr<Cluster> cluster_;
    std::unique_ptr<Delegator> delegator_;
    FencingToken leaderToken_ = 0;
    Delegate holder_{DelegationLimits{8s, 4s, 11s, 2s}, "b", clock_.now() - 1h};
    Delegate mate_{DelegationLimits{8s, 4s, 11s, 2s}, "b", clock_.now() - 1h};
    int kept_ = 0;
};

std::string Play::run() {
    Worker inside("n-1", "b"), outside("n-2", "a");
    TimePoint renewedInside = clock_.now(), renewedOutside = clock_.now();
    std::optional<TimePoint> told;
    for (int s = 0; s < seconds; ++s) {
        const bool cut = s >= cutAt && s < cutAt + story_.cutFor;
        const bool paused = s >= story_.pauseAt && s < story_.pauseAt + story_.pauseFor;
        if (s == 1) {
            JobSpec spec = testing::spec("run-1", 1);
            spec.shape = Shape::service;
            spec.zone = story_.cancelAt < 0 ? std::nullopt : std::optional<std::string>("b");
            cluster_->submit(spec, clock_.now(), clock_.wall());
        }
        if (s == story_.takeOverAt) lead(2);
        if (s == story_.restartAt) holder_ = Delegate{bounds_, "b", clock_.now()};
        if (!paused && (!cut || (s == cutAt && story_.answerLost))) borrow(holder_, "rig-1", !cut);
        const bool mateCut = s >= story_.mateCutAt && s < story_.mateCutAt + story_.mateCutFor;
        if (story_.mate) {
            if (s == story_.mateRestartAt) mate_ = Delegate{bounds_, "b", clock_.now()};
            if (!mateCut) borrow(mate_, "rig-2", true);
            if (!paused) handOn(mate_, holder_), handOn(holder_, mate_);
        }
        // The worker first: it sends its report, and then perhaps kills what it runs.
        beat(inside, renewedInside, !cut);
        if (cut && !paused && holder_.mayAnswer(inside.report.token, "b", 0, clock_.now()))
            renewedInside = clock_.now();
        if (cut && story_.mate && mate_.mayAnswer(inside.report.token, "b", 0, clock_.now()))
            renewedInside = clock_.now();
        beat(outside, renewedOutside, s > 2);  // so that the job goes to the zone
        if (clock_.now() - renewedInside > settings_.lease) {
            inside.newSession();
            renewedInside = clock_.now();
        }
        if (inside.report.incarnation == 1) kept_ = s;
        if (story_.cancelAt >= 0 && s >= story_.cancelAt && !told)  // its user asks until told
            if (Job* job = cluster_->find("run-1")) cluster_->cancel(*job, clock_.now());
        cluster_->advanceTo(clock_.now());
        cluster_->place(clock_.now());
        testing::commitAll(*cluster_, records_);
        Job* job = cluster_->find("run-1");
        if (job != nullptr && job->cancelDurable()) {
            cluster_->acknowledgeCancellation(*job, clock_.now());
            if (!told) told = clock_.now();
        }
        if (runs(inside) && runs(outside)) return "ran twice";
        if (told && runs(inside) && clock_.now() - *told > settings_.cancelWithin)
            return "ran though cancelled";
        clock_.advance(1s);
    }
    if (story_.cancelAt >= 0 && !told) return "never told";
    return "";
}

std::vector<Story> stories(bool heeded) {
    std::vector<Story> out;
    for (const int cutFor : {0, 2, 4, 6, 9, 13, 18})
        for (const int cancelAt : {-1, 3, 4, 5, 6, 8, 10, 13, 16, 20})
            for (const int takeOverAt : {-1, 3, 5, 6, 8, 11, 15})
                for (const auto& [pauseAt, pauseFor] :
                     std::vector<std::pair<int, int>>{{-1, 0}, {5, 3}, {6, 8}, {8, 4}, {8, 12}})
                    for (const int restartAt : {-1, 5, 9})
                        for (const bool lost : {false, true})
                            out.push_back({cutFor, cancelAt, takeOverAt, pauseAt, pauseFor,
                                           restartAt, lost, heeded});
    return out;
}

/// Two holders in the zone, cut off and started again at different times.
std::vector<Story> storiesOfTwo(bool known) {
    std::vector<Story> out;
    for (const int cutFor : {0, 9, 13, 18})
        for (const auto& [mateCutAt, mateCutFor] : std::vector<std::pair<int, int>>{
                 {5, 0}, {5, 3}, {5, 9}, {5, 18}, {9, 3}, {9, 6}, {9, 14}})
            for (const int cancelAt : {-1, 4, 8, 13})
                for (const int takeOverAt : {-1, 6, 11})
                    for (const int pauseFor : {0, 4})
                        for (const int restartAt : {-1, 5, 8, 12})
                            for (const int mateRestartAt : {-1, 6, 9, 14}) {
                                Story s{cutFor, cancelAt, takeOverAt, 8, pauseFor, restartAt};
                                s.mate = true;
                                s.mateKnown = known;
                                s.mateCutAt = mateCutAt;
                                s.mateCutFor = mateCutFor;
                                s.mateRestartAt = mateRestartAt;
                                out.push_back(s);
                            }
    return out;
}

/// The log of some thousand plays helps nobody.
struct Quiet {
    spdlog::level::level_enum before = spdlog::get_level();
    Quiet() { spdlog::set_level(spdlog::level::off); }
    Quiet(const Quiet&) = delete;
    Quiet& operator=(const Quiet&) = delete;
    ~Quiet() { spdlog::set_level(before); }
};

/// Plays them all; how many were played before one went wrong.
std::size_t playAll(const std::vector<Story>& stories) {
    const Quiet quiet;
    std::size_t played = 0;
    for (const Story& story : stories) {
        const std::string wrong = Play(story).run();
        EXPECT_EQ(wrong, "") << story.text();
        if (!wrong.empty()) break;
        ++played;
    }
    return played;
}

TEST(DelegationSearch, NothingRunsTwiceOrOutlivesItsCancellationWhateverHappensAroundADelegation) {
    EXPECT_EQ(playAll(stories(true)), 14'700U);
}

TEST(DelegationSearch, NothingRunsTwiceOrOutlivesItsCancellationWhenHoldersHandOn) {
    EXPECT_EQ(playAll(storiesOfTwo(true)), 10'752U);
}

TEST(DelegationSearch, FindsTheFaultsOfALeaderThatDoesNotReckonWithWhatIsHandedOn) {
    const Quiet quiet;
    std::set<std::string> found;
    for (const Story& story : storiesOfTwo(false)) {
        found.insert(Play(story).run());
        if (found.contains("ran twice") && found.contains("ran though cancelled")) break;
    }
    EXPECT_TRUE(found.contains("ran twice"));
    EXPECT_TRUE(found.contains("ran though cancelled"));
}

TEST(DelegationSearch, AZoneKeepsItsTasksThoughItsNodesAreStartedAgainOneAfterTheOther) {
    // Holders that were started again during a cut held nothing: once the last one had been, every
    // lease of the zone ran out.
    const Quiet quiet;
    Story story;
    story.cutFor = story.mateCutFor = 9;
    story.mate = true;
    story.restartAt = 5;
    story.mateRestartAt = 9;
    Play together(story);
    EXPECT_EQ(together.run(), "");
    story.mate = false;
    Play alone(story);
    EXPECT_EQ(alone.run(), "");
    EXPECT_GT(together.kept(), 30) << "to the end";
    EXPECT_LT(alone.kept(), 14);
}

TEST(DelegationSearch, FindsBothFaultsOfALeaderThatForgetsWhatItLent) {
    const Quiet quiet;
    std::set<std::string> found;
    for (const Story& story : stories(false)) found.insert(Play(story).run());
    EXPECT_TRUE(found.contains("ran twice"));
    EXPECT_TRUE(found.contains("ran though cancelled"));
}

}  // namespace
}  // namespace basaltchute::lease_delegation
