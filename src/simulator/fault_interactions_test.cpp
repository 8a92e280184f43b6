#include "simulator/simulation_fixture.h"

// Two and more troubles that meet, brought about among real controllers:
// docs/fault-interactions.md. Each test says how often its meeting came about; without that it
// would show nothing.

namespace basaltchute::simulator {
namespace {

using Kind = HistoryEvent::Kind;
using Question = HistoryEvent::Question;

class MeetingTest : public SimulationTest {
  protected:
    Scenario s = scenario("more-fault-interactions");
    std::unique_ptr<Simulation> world;

    MeetingTest() { s.swarm.toS = 0; }
    /// Plays it; whatever breaks a rule fails the test.
    const History& play(std::uint64_t seed) {
        world = std::make_unique<Simulation>(s, seed);
        world->run();
        for (const auto& v : world->checkResult().violations)
            ADD_FAILURE() << "seed " << seed << ": " << v.rule << ": " << v.what;
        return world->history();
    }
    static std::size_t count(const History& h,
                             const std::function<bool(const HistoryEvent&)>& which) {
        return static_cast<std::size_t>(std::count_if(h.events.begin(), h.events.end(), which));
    }
    static std::size_t elections(const History& h, double fromS, double toS) {
        return count(h, [=](const HistoryEvent& f) {
            return f.kind == Kind::elected && f.at >= fromS && f.at <= toS;
        });
    }
    static Fault many(const std::string& kind, double atS, double forS, std::uint32_t count) {
        Fault f = fault(kind, atS, forS);
        f.count = count;
        f.leader = false;
        return f;
    }
    static Fault share(const std::string& kind, double atS, double forS, double of) {
        Fault f = fault(kind, atS, forS);
        f.share = of;
        return f;
    }
    static Fault burst(const std::string& jobClass, double atS, double forS, double factor) {
        Fault f = fault("job_burst", atS, forS);
        f.jobClass = jobClass;
        f.factor = factor;
        return f;
    }
    JobClassOptions& classOf(const std::string& name) {
        return *std::find_if(s.sites[0].classes.begin(), s.sites[0].classes.end(),
                             [&](const auto& c) { return c.name == name; });
    }
    /// Questions that left within `within` after some node had told that their job has ended.
    static std::size_t looksAfterTheEnd(const History& h, double within) {
        std::map<std::string, double> ended;
        std::size_t n = 0;
        for (const auto& f : h.events) {
            const bool ends =
                f.kind == Kind::answered && (f.text == "done" || f.text == "cancelled");
            if (ends) ended.try_emplace(f.job, f.at);
            const auto at = ended.find(f.job);
            n += f.kind == Kind::asked && at != ended.end() && f.at - at->second < within ? 1 : 0;
        }
        return n;
    }
    /// Jobs that were being called off and had tasks on machines when a leader was elected.
    static std::size_t leftToSuccessors(const History& h, double fromS, double toS) {
        std::map<std::string, int> on;
        std::set<std::string> withdrawn;
        std::size_t n = 0;
        for (const auto& f : h.events) {
            if (f.at > toS) break;
            if (f.kind == Kind::taskStarted) ++on[f.job];
            if (f.kind == Kind::taskStopped) --on[f.job];
            if (f.kind == Kind::cancelRequested && f.at >= fromS) withdrawn.insert(f.job);
            if (f.kind == Kind::elected)
                n += static_cast<std::size_t>(std::count_if(
                    withdrawn.begin(), withdrawn.end(), [&](const auto& j) { return on[j] > 0; }));
        }
        return n;
    }
    /// Cores on machines by team at some moment.
    static std::map<std::string, double> used(const History& h, double atS) {
        std::map<std::string, double> out;
        for (const auto& f : h.events) {
            if (f.at > atS) break;
            if (f.kind != Kind::taskStarted && f.kind != Kind::taskStopped) continue;
            const JobSpec& spec = h.jobs.at(f.job);
            out[spec.team] += f.kind == Kind::taskStarted ? spec.demand.cores : -spec.demand.cores;
        }
        return out;
    }
};

TEST_F(MeetingTest, WhoeverLooksCloselyIsToldNothingOlder) {
    // Everybody asks all nodes within milliseconds, and repeats the submission, whenever a job was
    // accepted, ended or cancelled, some cancel at once, and some jobs wait for others. With links
    // between controllers that hold up what is said for as long as 1.5 s, and with ends of the
    // leader, whose last words may come after its successor's.
    std::size_t looks = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        s.faults = {fault("close_looks", 15, 70), fault("peers_slow", 20, 60),
                    fault("node_crash", 35, 0.3), fault("node_crash", 60, 0.2)};
        const History& h = play(seed);
        looks += looksAfterTheEnd(h, 0.2);
        EXPECT_GE(elections(h, 35, 90), 2U);
        // Of two that overlap the older may be told last, by as much as an answer may be old.
        EXPECT_LE(world->checkResult().longestOvertakenS, 1.2);
    }
    EXPECT_GT(looks, 500U);
}

TEST_F(MeetingTest, AtTheEndOfAJobsLastTaskExactlyOneAnswerStands) {
    // With no other trouble: each job that ends is called off at that moment, and looked at.
    s.faults = {share("cancel_at_end", 10, 120, 1), fault("close_looks", 10, 120)};
    std::map<std::string, std::string> words;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const History& h = play(seed);
        std::set<std::string> withdrawn;
        for (const auto& f : h.events) {
            if (f.kind == Kind::cancelRequested) withdrawn.insert(f.job);
            if (f.kind == Kind::answered && f.question == Question::cancellation && f.status == 200)
                words[std::to_string(seed) + f.job] = f.text;
        }
        EXPECT_GT(looksAfterTheEnd(h, 0.2), 200U);
    }
    const auto said = [&](const std::string& word) {
        return std::count_if(words.begin(), words.end(),
                             [&](const auto& w) { return w.second == word; });
    };
    EXPECT_GT(said("done"), 10);
    EXPECT_GT(said("cancelled"), 10);
}

TEST_F(MeetingTest, WhatIsCarriedOutThoughItsAnswerIsLostIsFoundWhileOthersReadIt) {
    // Half of all transactions: campaigns, acceptances, bindings, results, cancellations, absent
    // nodes, format. The leader ends meanwhile, once at the moment of an outage's end.
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        s.faults = {share("answers_lost", 12, 60, 0.5), fault("close_looks", 12, 70),
                    fault("node_crash", 25, 0.3),       fault("node_crash", 40, 4),
                    fault("state_outage", 50, 4),       fault("node_crash", 54, 0.2)};
        const History& h = play(seed);
        EXPECT_GE(elections(h, 25, 80), 3U);
        accepted += count(h, [](const HistoryEvent& f) {
            return f.kind == Kind::answered && f.status == 201 && f.at > 12 && f.at < 72;
        });
    }
    EXPECT_GT(accepted, 45U);
}

TEST_F(MeetingTest, AtEveryTeamsLimitCancelledTasksOnHungOrCutOffMachinesKeepTheirRoom) {
    // Their room is free when they are proven to be gone, under whichever leader.
    std::size_t full = 0, left = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (auto& team : s.sites[0].teams) team.coresMax = 12;
        classOf("batch").perMinute = 40;
        const auto zone = [&] {
            Fault f = fault("zone_cut", 41, 17);
            f.zone = s.sites[0].zones[seed % 3];
            return f;
        };
        s.faults = {many("machine_deaf", 38, 20, 3),
                    many("cancel_now", 42, 9, 14),
                    zone(),
                    fault("node_crash", 42.3, 0.3),
                    many("commands_held", 43, 10, 4),
                    fault("node_crash", 45, 0.2),
                    many("cancel_now", 46, 14, 8),
                    fault("node_crash", 49, 3)};
        const History& h = play(seed);
        for (const auto& [team, cores] : used(h, 42)) full += cores >= 10 ? 1 : 0;
        left += leftToSuccessors(h, 42, 70);
        EXPECT_GE(elections(h, 42, 70), 2U);
    }
    EXPECT_GE(full, 6U) << "teams at their limit, of nine";
    EXPECT_GT(left, 15U) << "cancellations that a new leader found with tasks on machines";
}

TEST_F(MeetingTest, CancellationsAtEachStepOfAChangeOfLeader) {
    // Asked, noted, final on record, told: the leader ends in steps from before the request until
    // after the answer, or hands over because the state service refuses it.
    int told = 0, elsewhere = 0;
    for (const double step : {-0.05, 0.0, 0.02, 0.05, 0.1, 0.2, 0.35, 0.6, 1.0}) {
        const bool refused = step > 0.05 && step < 0.2;
        s.faults = {many("cancel_now", 40, 0, 14),
                    fault(refused ? "node_isolated" : "node_crash", 40 + step, refused ? 6 : 0.3)};
        const History& h = play(7);
        const auto seen = cancelledElsewhere(h, 40, 60);
        told += seen.told;
        elsewhere += seen.elsewhere;
    }
    EXPECT_GT(told, 60);
    EXPECT_GT(elsewhere, 20);
}

TEST_F(MeetingTest, MachinesThatAreUpAtOnceAndGetWorkAtOnceWhileWritesLag) {
    // They are in no list yet when the leader ends, and its last bindings may stand or not.
    std::size_t early = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Fault quick = fault("boot_trouble", 15, 50);
        quick.factor = 0.1;
        s.faults = {quick,
                    share("late_writes", 22, 40, 0.4),
                    burst("batch", 20, 25, 8),
                    burst("pair", 20, 25, 6),
                    fault("node_crash", 27, 0.3),
                    fault("node_crash", 34, 0.2),
                    fault("node_crash", 42, 5)};
        const History& h = play(seed);
        std::map<std::string, double> up;
        std::set<std::string> with;
        for (const auto& f : h.events) {
            if (f.kind == Kind::up) up[f.machine] = f.at;
            // A list is as old as 6 s, and at times twice that.
            if (f.kind == Kind::taskStarted && f.at > 20 && f.at - up[f.machine] < 6)
                with.insert(f.machine);
        }
        early += with.size();
        EXPECT_GE(elections(h, 27, 60), 3U);
    }
    EXPECT_GE(early, 8U) << "machines that ran something before a list can have shown them";
}

TEST_F(MeetingTest, OldReportsReachEveryControllerAsANewLeaderBegins) {
    // Before, while and after it loads, over all nodes; of machines that have died meanwhile, of
    // sessions that are over, and of tasks that were cancelled or have ended.
    std::size_t meetings = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        s.faults = {share("copies_for_next", 20, 60, 0.7), many("machine_die", 32, 0, 3),
                    many("machine_deaf", 25, 14, 2),       many("cancel_now", 33, 0, 8),
                    fault("node_crash", 34, 0.3),          fault("node_crash", 55, 0.2),
                    many("node_crash", 75, 0.2, 5)};
        const History& h = play(seed);
        meetings +=
            count(h, [](const HistoryEvent& f) { return f.text.starts_with("old reports"); });
    }
    EXPECT_GE(meetings, 9U);
}

TEST_F(MeetingTest, OneTaskJobsFourASecondForMinutes) {
    // A quarter of them is cancelled; the state service has the rate of the smaller site, and the
    // leader ends twice.
    JobClassOptions& ping = classOf("pair");
    ping.tasks = {1, 1};
    ping.cores = 0.25;
    ping.ramGb = 0.5;
    ping.runS = {3, 9};
    ping.apart = 0;
    ping.perMinute = 240;
    ping.cancelledShare = 0.25;
    s.sites[0].pipelines.clear();
    s.sites[0].state.writeRps = 25;
    s.sites[0].state.rps = 100;
    s.seconds = 200;
    s.faults = {fault("node_crash", 80, 0.3), fault("node_crash", 130, 6)};
    const History& h = play(1);
    std::map<std::string, double> submitted, answered;
    for (const auto& f : h.events) {
        if (f.job.empty() || !h.jobs.contains(f.job) || h.jobs.at(f.job).jobClass != "pair")
            continue;
        if (f.kind == Kind::submitted) submitted[f.job] = f.at;
        if (f.kind == Kind::answered && f.status / 100 == 2) answered.try_emplace(f.job, f.at);
    }
    std::size_t quick = 0;
    for (const auto& [job, at] : answered) quick += at - submitted[job] < 1 ? 1 : 0;
    EXPECT_GT(submitted.size(), 600U);
    EXPECT_GE(answered.size() + 8, submitted.size()) << "but for the last seconds";
    EXPECT_GT(static_cast<double>(quick) / static_cast<double>(submitted.size()), 0.95);
    const auto& of = world->writesByKeyPrefix();
    const double each = static_cast<double>(of.at("jobs")) / static_cast<double>(h.jobs.size());
    EXPECT_LT(each, 3.0) << "accepted and bound in one, and its end or its cancellation";
    EXPECT_LT(of.at("lead"), 30U);
}

TEST_F(MeetingTest, TheLeaderChangesTenTimesInTwoMinutesAndInAnOutage) {
    s.faults = {fault("state_outage", 68, 14), many("cancel_now", 50, 0, 6),
                many("cancel_now", 90, 0, 6), fault("close_looks", 20, 110)};
    for (int i = 0; i < 11; ++i) s.faults.push_back(fault("node_crash", 20 + 10.5 * i, 0.3));
    for (std::uint64_t seed = 1; seed <= 2; ++seed) EXPECT_GE(elections(play(seed), 20, 145), 10U);
}

TEST_F(MeetingTest, AllControllersAreAwayForLongerThanALease) {
    const double away = s.sites[0].leaseS + 5;
    s.faults = {many("cancel_now", 39.7, 0, 10), many("node_crash", 40, away, 5)};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const History& h = play(seed);
        EXPECT_EQ(elections(h, 40, 40 + away), 0U);
        EXPECT_GE(elections(h, 40 + away, 48 + away), 1U);
        EXPECT_GT(count(h,
                        [&](const HistoryEvent& f) {
                            return f.kind == Kind::taskStarted && f.at > 40 + away;
                        }),
                  50U);
    }
}

TEST_F(MeetingTest, MachinesThatReachNoControllerGetNothingNewAndAreReplaced) {
    // Direct commands reach them. What they hold ends with its lease at the latest; no work is
    // started there once their reports are overdue, and replicas are elsewhere soon.
    // A launch may be on its way by then, and its image takes as much as 1.4 s.
    const double muteS = 40, overdueS = s.sites[0].reportS * 2 + 0.5 + 1.5;
    std::size_t held = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        s.faults = {many("machine_mute", 40, muteS, 5), many("cancel_now", 44, 0, 8),
                    fault("node_crash", 60, 0.3)};
        const History& h = play(seed);
        std::set<std::string> mute;
        std::map<std::string, int> on;
        for (const auto& f : h.events) {
            if (f.text == "is mute") mute.insert(f.machine);
            if (f.kind == Kind::taskStarted) ++on[f.machine];
            if (f.kind == Kind::taskStopped) --on[f.machine];
            if (f.text == "is mute") held += static_cast<std::size_t>(on[f.machine]);
            // A new leader needs as long again to see it.
            const bool known =
                (f.at > 40 + overdueS && f.at < 60) || (f.at > 62 + overdueS && f.at < 40 + muteS);
            if (f.kind == Kind::taskStarted && mute.contains(f.machine) && known)
                ADD_FAILURE() << seed << ": " << History::text(f);
        }
    }
    EXPECT_GT(held, 10U);
}

TEST_F(MeetingTest, AZoneWithWorkersAndAControllerIsCutOffForLongerThanALease) {
    int told = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fault cut = fault("zone_cut", 40, s.sites[0].leaseS * 1.7);
        cut.zone = s.sites[0].zones[seed - 1];
        s.faults = {cut, many("cancel_now", 42, 0, 10), many("cancel_now", 50, 0, 10),
                    fault("close_looks", 40, 40)};
        told += cancelledElsewhere(play(seed), 40, 75).told;
    }
    EXPECT_GT(told, 30);
}

TEST_F(MeetingTest, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
    std::size_t waiting = 0;
    s.faults = {burst("batch", 20, 25, 8),   burst("pair", 25, 20, 8),
                burst("web", 25, 20, 4),     fault("peers_slow", 20, 45),
                fault("state_slow", 25, 30), fault("node_crash", 40, 0.3)};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const History& h = play(seed);
        std::set<std::string> begun;
        for (const auto& f : h.events) {
            if (f.at > 45) break;
            if (f.kind == Kind::taskStarted) begun.insert(f.job);
            waiting += f.kind == Kind::submitted ? 1 : 0;
        }
        waiting -= begun.size();
    }
    EXPECT_GT(waiting, 40U);
}

TEST_F(MeetingTest, JobsThatAreBoundToOneZoneLoseTheirMachines) {
    classOf("batch").bound = 1;
    classOf("pair").together = true;
    s.faults = {many("machine_die", 40, 0, 5), fault("node_crash", 41, 0.3),
                many("machine_hang", 44, 8, 4), many("machine_die", 50, 0, 3),
                many("late_copies", 35, 30, 1)};
    std::size_t again = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        std::set<std::string> had;
        for (const auto& f : play(seed).events)
            if (f.kind == Kind::taskStarted &&
                !had.insert(f.job + '/' + std::to_string(f.task)).second && f.at > 40)
                ++again;
    }
    EXPECT_GT(again, 15U) << "tasks that started once more";
}

TEST_F(MeetingTest, CancelledInTheMomentInWhichTheLeaderAloneIsRefusedAndThenAllAre) {
    int told = 0;
    const double outage = s.sites[0].cancelS + 6;
    for (const double after : {0.0, 0.1, 0.4})
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            Fault refused = fault("node_refused", 40, 8);
            s.faults = {many("cancel_now", 40 - after, 3, 14), refused,
                        fault("state_outage", 41, outage)};
            told += cancelledElsewhere(play(seed), 39, 41).told;
        }
    EXPECT_GT(told, 20);
}

TEST_F(MeetingTest, OddRequestsAreRefusedOrAnsweredUnderAnyTrouble) {
    std::size_t refused = 0, repeated = 0;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        s.faults = {fault("odd_requests", 10, 100), fault("node_crash", 30, 0.3),
                    fault("state_outage", 45, 8), fault("node_isolated", 60, 10)};
        const History& h = play(seed);
        std::set<std::string> answered;
        for (const auto& f : h.events) {
            if (f.kind != Kind::answered) continue;
            if (h.unfit.contains(f.job) && (f.status == 400 || f.status == 422))
                answered.insert(f.job);
            repeated += f.question == Question::repetition && f.status == 200 ? 1 : 0;
        }
        refused += answered.size();
        EXPECT_GE(answered.size() + 3, h.unfit.size()) << "all but those in an outage at the end";
    }
    EXPECT_GT(refused, 60U);
    EXPECT_GT(repeated, 100U);
}

TEST_F(MeetingTest, CopiesOfAnsweredCommandsStartNoAttemptAgain) {
    // Tasks fail, move and are cancelled, and controllers are back at once, before their copies.
    std::size_t copies = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        s.faults = {share("repeated_commands", 12, 75, 1), many("machine_sick", 15, 60, 3),
                    many("cancel_now", 30, 2, 10),         many("cancel_now", 55, 0, 10),
                    fault("node_crash", 34, 0.2),          many("node_crash", 60, 0.2, 5),
                    many("machine_restart", 66, 0.4, 2)};
        std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> started;
        for (const auto& f : play(seed).events) {
            copies += f.text.starts_with("a copy of direct commands") ? 1 : 0;
            if (f.kind != Kind::taskStarted) continue;
            EXPECT_TRUE(started.emplace(f.job, f.task, f.number).second)
                << seed << ": " << History::text(f);
        }
    }
    EXPECT_GT(copies, 300U);
}

TEST_F(MeetingTest, RecordsThatAreRefusedWhileLeadersEndDelayNoOtherJobAndAreStoredAfterwards) {
    // A third of all jobs cannot be written for a while: submissions, bindings, results and
    // cancellations, some of them in transactions that are executed late or whose answer is lost.
    std::size_t storedLater = 0, acceptedMeanwhile = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        s.faults = {share("records_refused", 15, 20, 0.3), share("records_refused", 45, 25, 0.3),
                    fault("node_crash", 20, 0.3),          fault("node_crash", 55, 0.2),
                    share("answers_lost", 48, 10, 0.3),    share("late_writes", 58, 10, 0.3),
                    many("cancel_now", 60, 5, 3)};
        const History& h = play(seed);
        std::set<std::string> unavailable;
        for (const auto& f : h.events) {
            if (f.kind != Kind::answered || f.question != Question::submission) continue;
            if (f.status == 503) unavailable.insert(f.job);
            const bool accepted = f.status == 200 || f.status == 201;
            storedLater += accepted && f.at > 35 && unavailable.contains(f.job) ? 1 : 0;
            acceptedMeanwhile += accepted && f.at > 15 && f.at < 35 ? 1 : 0;
        }
    }
    EXPECT_GT(storedLater, 10U);
    EXPECT_GT(acceptedMeanwhile, 20U);
}

}  // namespace
}  // namespace basaltchute::simulator
