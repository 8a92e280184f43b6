#include "simulator/checker.h"

#include <gtest/gtest.h>

#include "testing/world.h"

// One history for each rule that breaks it, and the same one mended.

namespace basaltchute::simulator {
namespace {

using Kind = HistoryEvent::Kind;
using Question = HistoryEvent::Question;

class CheckerTest : public ::testing::Test {
  protected:
    History history;
    CheckerOptions terms;

    CheckerTest() {
        terms.cancelS = 10;
        terms.calmS = 1e9;
        terms.teams["red"] = {"red", 0, 8, 0, 0};
        for (const char* zone : {"a", "b"})
            for (const char* kind : {"ordinary", "spot"})
                history.machines[std::string(zone) + '-' + kind] = {"box", zone, "east",
                                                                    kind == std::string("spot")};
        history.machines["far"] = {"box", "c", "west", false};
        history.machines["rack"] = {"rack", "a", "east", false};
        job("run-1").tasks = 2;
        add(0, Kind::submitted, "run-1");
        on(1, "run-1", 0, "a-ordinary");  // something runs in every history
    }
    JobSpec& job(const std::string& id) {
        JobSpec& s = history.jobs[id];
        s = testing::spec(id, 1);
        s.spotAllowed = false;
        return s;
    }
    HistoryEvent& add(double at, Kind kind, const std::string& id) {
        HistoryEvent f;
        f.at = at;
        f.kind = kind;
        f.job = id;
        f.site = "east";
        history.events.push_back(f);
        return history.events.back();
    }
    void on(double at, const std::string& id, std::uint32_t task, const std::string& machine) {
        HistoryEvent& f = add(at, Kind::taskStarted, id);
        f.task = task;
        f.machine = machine;
        f.site = history.machines.at(machine).site;
    }
    void off(double at, const std::string& id, std::uint32_t task, const std::string& machine) {
        HistoryEvent& f = add(at, Kind::taskStopped, id);
        f.task = task;
        f.machine = machine;
    }
    void told(double at, const std::string& id, int status, const std::string& word,
              Question question = Question::poll) {
        HistoryEvent& f = add(at, Kind::answered, id);
        f.status = status;
        f.text = word;
        f.question = question;
    }
    void asked(double at, const std::string& id) { add(at, Kind::asked, id); }
    std::set<std::string> broken() {
        std::set<std::string> out;
        for (const auto& v : check(history, terms).violations) out.insert(v.rule);
        return out;
    }
    using Rules = std::set<std::string>;
};

TEST_F(CheckerTest, ATaskRunsOnOneMachineOfOneSite) {
    off(2, "run-1", 0, "a-ordinary");
    on(2, "run-1", 0, "b-ordinary");
    EXPECT_EQ(broken(), Rules{});
    on(3, "run-1", 0, "a-ordinary");
    EXPECT_EQ(broken(), Rules{"ran_twice"});
    const auto result = check(history, terms);
    ASSERT_EQ(result.violations.size(), 1U);
    ASSERT_EQ(result.violations[0].proof.size(), 2U) << "the two starts, and nothing else";
    EXPECT_EQ(result.violations[0].proof[0].machine, "b-ordinary");
    on(4, "run-1", 0, "far");
    EXPECT_TRUE(broken().contains("two_sites"));
}

TEST_F(CheckerTest, ATeamsUseIsItsTasksOnAllSitesTogether) {
    job("run-2").demand.cores = 4;
    on(2, "run-2", 0, "far");
    EXPECT_EQ(broken(), Rules{}) << "4 and 4 of 8";
    job("run-3").demand.cores = 0.5;
    on(3, "run-3", 0, "b-ordinary");
    EXPECT_EQ(broken(), Rules{"quota"});
}

TEST_F(CheckerTest, WhereAJobDoesNotAllowItNothingStarts) {
    off(2, "run-1", 0, "a-ordinary");
    on(3, "run-1", 0, "a-spot");
    EXPECT_EQ(broken(), Rules{"wrong_place"});
    history.jobs["run-1"].spotAllowed = true;
    EXPECT_EQ(broken(), Rules{});
    history.jobs["run-1"].zone = "b";
    EXPECT_EQ(broken(), Rules{"wrong_place"});
    history.jobs["run-1"].zone.reset();
    history.jobs["run-1"].machineTypes = {{"rack"}};
    EXPECT_EQ(broken(), Rules{"wrong_place"});
}

TEST_F(CheckerTest, HalfOfASpreadJobIsInOneZoneAtMost) {
    history.jobs["run-1"].spread = true;
    on(2, "run-1", 1, "b-ordinary");
    EXPECT_EQ(broken(), Rules{});
    off(3, "run-1", 1, "b-ordinary");
    on(3, "run-1", 1, "rack");
    EXPECT_EQ(broken(), Rules{"wrong_place"});
}

TEST_F(CheckerTest, ACancelledJobIsGoneInTime) {
    add(2, Kind::cancelRequested, "run-1");
    told(3, "run-1", 200, "cancelled", Question::cancellation);
    off(12.9, "run-1", 0, "a-ordinary");
    add(60, Kind::up, "");
    EXPECT_EQ(broken(), Rules{});
    on(61, "run-1", 1, "b-ordinary");
    add(62, Kind::up, "");
    EXPECT_EQ(broken(), Rules{"ran_cancelled"});
}

TEST_F(CheckerTest, AnAcceptedJobIsKnownEverAfter) {
    told(2, "run-1", 201, "pending", Question::submission);
    told(3, "run-1", 200, "running");
    EXPECT_EQ(broken(), Rules{});
    told(4, "run-1", 422, "", Question::repetition);
    EXPECT_EQ(broken(), Rules{"forgotten"});
    history.events.pop_back();
    told(4, "run-1", 404, "");
    EXPECT_EQ(broken(), Rules{"forgotten"});
}

TEST_F(CheckerTest, PollsInVainAreForgottenOnlyWhileOthersAreAnswered) {
    told(2, "run-1", 201, "pending", Question::submission);
    job("run-2");
    told(2, "run-2", 201, "pending", Question::submission);
    for (int s = 0; s < 100; s += 5) {
        asked(5 + s, "run-1");
        asked(5 + s, "run-2");
    }
    EXPECT_EQ(broken(), Rules{}) << "an outage for everyone";
    for (int s = 0; s < 100; s += 2) told(105, "run-2", 200, "running");
    asked(106, "run-1");
    EXPECT_EQ(broken(), Rules{"forgotten"});
}

TEST_F(CheckerTest, NobodyIsToldOfWhatNobodySubmitted) {
    told(2, "stray-1", 404, "");
    EXPECT_EQ(broken(), Rules{});
    told(3, "stray-1", 200, "pending");
    EXPECT_EQ(broken(), Rules{"invented"});
}

TEST_F(CheckerTest, DoneIsSaidOnceEveryTaskIs) {
    HistoryEvent& one = add(2, Kind::completed, "run-1");
    one.task = 0;
    told(3, "run-1", 200, "done");
    EXPECT_EQ(broken(), Rules{"not_done"});
    history.events.pop_back();
    add(3, Kind::completed, "run-1").task = 1;
    told(4, "run-1", 200, "done");
    EXPECT_EQ(broken(), Rules{});
    told(5, "run-1", 200, "running");
    EXPECT_EQ(broken(), Rules{"went_back"});
}

TEST_F(CheckerTest, NobodyElseCancels) {
    off(2, "run-1", 0, "a-ordinary");
    told(3, "run-1", 200, "cancelled");
    EXPECT_EQ(broken(), Rules{"went_back"});
}

TEST_F(CheckerTest, NothingStartsBeforeAllThatItNeedsIsDone) {
    history.jobs["run-1"].demand.cores = 1;
    job("run-2").dependencies = {"run-1"};
    add(2, Kind::completed, "run-1").task = 0;
    add(3, Kind::completed, "run-1").task = 1;
    on(4, "run-2", 0, "b-ordinary");
    EXPECT_EQ(broken(), Rules{});
    job("run-3").dependencies = {"run-2", "run-1"};
    history.jobs["run-3"].demand.cores = 1;
    on(5, "run-3", 0, "rack");
    EXPECT_EQ(broken(), Rules{"too_early"});
}

TEST_F(CheckerTest, WhatComesAfterACancelledJobIsCalledCancelledInTime) {
    job("run-2").dependencies = {"run-1"};
    job("run-3").dependencies = {"run-2"};
    told(2, "run-3", 201, "pending", Question::submission);
    add(2, Kind::cancelRequested, "run-1");
    told(3, "run-1", 200, "cancelled", Question::cancellation);
    off(4, "run-1", 0, "a-ordinary");
    told(12, "run-3", 200, "pending");
    EXPECT_EQ(broken(), Rules{}) << "cancel_s is 10";
    told(13.5, "run-3", 200, "cancelled");
    EXPECT_EQ(broken(), Rules{}) << "its own user did not withdraw it, and it is right";
    history.events.pop_back();
    told(13.5, "run-3", 200, "pending");
    EXPECT_EQ(broken(), Rules{"orphaned"});
}

TEST_F(CheckerTest, CancelledWithANeedOnlyIfThatOneIs) {
    job("run-2").dependencies = {"run-1"};
    add(1, Kind::submitted, "run-2");
    add(2, Kind::cancelRequested, "run-1");
    told(3, "run-2", 200, "cancelled");
    EXPECT_EQ(broken(), Rules{}) << "run-1 may be cancelled by now";
    for (std::uint32_t t = 0; t < 2; ++t) add(4, Kind::completed, "run-1").task = t;
    told(5, "run-1", 200, "done", Question::cancellation);
    EXPECT_EQ(broken(), Rules{"went_back"}) << "done won";
}

TEST_F(CheckerTest, WhatCouldRunIsNotRefused) {
    told(2, "run-1", 422, "", Question::submission);
    EXPECT_EQ(broken(), Rules{"refused"});
}

TEST_F(CheckerTest, OnceAllTroublesAreOverEachJobIsAnsweredForItself) {
    terms.calmS = 100;
    told(2, "run-1", 201, "pending", Question::submission);
    job("run-2");
    told(2, "run-2", 201, "pending", Question::submission);
    // Most polls of run-2 are in vain as well, so that no share of others tells.
    for (int s = 0; s < 170; s += 5) {
        asked(5 + s, "run-1");
        asked(5 + s, "run-2");
    }
    EXPECT_EQ(broken(), Rules{}) << "75 s from the end of the troubles on";
    asked(176, "run-1");
    EXPECT_EQ(broken(), Rules{"forgotten"});
    history.events.pop_back();
    told(174, "run-1", 200, "running");
    asked(176, "run-1");
    EXPECT_EQ(broken(), Rules{});
    // And so is a withdrawal.
    for (int s = 0; s < 90; s += 5)
        add(176 + s, Kind::asked, "run-1").question = Question::cancellation;
    EXPECT_EQ(broken(), Rules{"stuck"});
}

TEST_F(CheckerTest, TheLargestOfEachClassBeginAndHalfOfEverythingIsServed) {
    terms.beginS = 100;
    history.jobs["run-1"].tasks = 50;
    add(0, Kind::submitted, "run-1");
    told(1, "run-1", 201, "pending", Question::submission);
    for (int i = 2; i < 9; ++i) {
        const std::string id = "run-" + std::to_string(i);
        job(id);
        add(0, Kind::submitted, id);
        told(1, id, 201, "pending", Question::submission);
        if (i < 6) on(2, id, 0, "far");
        if (i < 6) off(3, id, 0, "far");
    }
    add(200, Kind::up, "");
    EXPECT_EQ(broken(), Rules{}) << "run-1 began, and half of the others";
    auto facts = history.events;
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-5";
    });
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-4";
    });
    EXPECT_EQ(broken(), Rules{"not_served"});
    history.events = facts;
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-1";
    });
    EXPECT_TRUE(broken().contains("begins_late"));
    terms.beginS = 0;
    EXPECT_EQ(broken(), Rules{}) << "only where a scenario asks for it";
}

TEST_F(CheckerTest, AnAnswerIsNotOlderThanWhatWasToldBeforeItsQuestionLeft) {
    const auto ask = [&](double at) {
        asked(at, "run-1");
        return history.events.size() - 1;
    };
    told(2, "run-1", 201, "pending", Question::submission);
    for (std::uint32_t t = 0; t < 2; ++t) add(3, Kind::completed, "run-1").task = t;
    const std::size_t before = ask(4);
    told(5, "run-1", 200, "done");
    const std::size_t since = ask(5.01);
    told(5.8, "run-1", 200, "running");
    history.events.back().asked = before;
    EXPECT_EQ(broken(), Rules{}) << "the two overlap, and may be ordered either way";
    EXPECT_EQ(check(history, terms).overtaken, 1U);
    EXPECT_NEAR(check(history, terms).longestOvertakenS, 1.8, 1e-9);
    told(5.9, "run-1", 200, "running");
    history.events.back().asked = since;
    EXPECT_EQ(broken(), Rules{"went_back"});
    history.events.back().status = 404;
    history.events.back().text = "";
    EXPECT_EQ(broken(), Rules{"forgotten"});
}

TEST_F(CheckerTest, WhatCanNeverRunOrLacksAFieldIsNotAccepted) {
    history.unfit["odd-1"] = "it lacks splits";
    told(2, "odd-1", 400, "", Question::submission);
    told(3, "odd-1", 404, "");
    EXPECT_EQ(broken(), Rules{});
    told(4, "odd-1", 201, "pending", Question::submission);
    EXPECT_EQ(broken(), Rules{"accepted_unfit"});
}

TEST_F(CheckerTest, AStartOfACancelledJobIsCountedAndOneTooLateIsWrong) {
    off(1.5, "run-1", 0, "a-ordinary");
    add(2, Kind::cancelRequested, "run-1");
    told(3, "run-1", 200, "cancelled", Question::cancellation);
    on(4, "run-1", 1, "b-ordinary");
    off(5, "run-1", 1, "b-ordinary");
    EXPECT_EQ(broken(), Rules{}) << "its launch was on its way";
    EXPECT_EQ(check(history, terms).startedCancelled, 1U);
    // A machine that hung goes on with it.
    on(6, "run-1", 0, "rack");
    add(13.5, Kind::up, "");
    EXPECT_EQ(broken(), Rules{"ran_cancelled"});
}

TEST_F(CheckerTest, NobodyWaitsLongBesideAMachineThatFits) {
    terms.calmS = 10;
    for (const char* name : {"b-ordinary", "b-spot"}) {
        history.machines[name].capacity = {8, 0, 64};
        add(5, Kind::up, "").machine = name;
    }
    job("run-2").demand = {4, 0, 8};
    history.jobs["run-2"].zone = "b";
    told(20, "run-2", 201, "pending", Question::submission);
    const auto pass = [&](double until) {
        for (double at = history.events.back().at + 1; at < until; at += 1) add(at, Kind::up, "");
    };
    pass(109);
    EXPECT_EQ(broken(), Rules{});
    pass(113);
    EXPECT_EQ(broken(), Rules{"left_waiting"});
    const auto without = [&](auto change) {
        const auto jobs = history.jobs;
        const auto limits = terms.teams;
        change();
        auto out = broken();
        history.jobs = jobs;
        terms.teams = limits;
        return out;
    };
    EXPECT_EQ(without([&] { terms.teams["red"].coresMax = 5; }), Rules{}) << "at its limit";
    EXPECT_EQ(without([&] { history.jobs["run-2"].demand.cores = 9; }), Rules{}) << "too large";
    EXPECT_EQ(without([&] { history.jobs["run-2"].zone = "a"; }), Rules{}) << "elsewhere";
    EXPECT_EQ(without([&] { history.jobs["run-2"].dependencies = {"run-1"}; }), Rules{})
        << "it waits";
}

TEST_F(CheckerTest, SomethingRunsAndWhatComesAfterTheTroublesIsAccepted) {
    terms.settledS = 50;
    terms.untilS = 100;
    job("run-2");
    add(40, Kind::submitted, "run-2");
    EXPECT_EQ(broken(), Rules{});
    job("run-3");
    add(60, Kind::submitted, "run-3");
    EXPECT_EQ(broken(), Rules{"stuck"});
    history.events.clear();
    EXPECT_EQ(broken(), Rules{"nothing_ran"});
}

}  // namespace
}  // namespace basaltchute::simulator
