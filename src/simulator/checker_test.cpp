#include "simulator/checker.h"

#include <gtest/gtest.h>

#include "testing/world.h"

// For each rule: a history that breaks it and a similar one that keeps it.

namespace basaltchute::simulator {
namespace {

using Kind = HistoryEvent::Kind;
using Question = HistoryEvent::Question;

class CheckerTest : public ::testing::Test {
  protected:
    History history;
    CheckerOptions options;

    CheckerTest() {
        options.cancelS = 10;
        options.calmS = 1e9;
        options.teams["red"] = {"red", 0, 8, 0, 0};
        for (const char* zone : {"a", "b"})
            for (const char* kind : {"ordinary", "spot"})
                history.machines[std::string(zone) + '-' + kind] = {"box", zone, "east",
                                                                    kind == std::string("spot")};
        history.machines["far"] = {"box", "c", "west", false};
        history.machines["rack"] = {"rack", "a", "east", false};
        job("run-1").tasks = 2;
        add(0, Kind::submitted, "run-1");
        startTask(1, "run-1", 0, "a-ordinary");  // avoids nothing_ran in every history
    }
    JobSpec& job(const std::string& id) {
        JobSpec& s = history.jobs[id];
        s = testing::spec(id, 1);
        s.spotAllowed = false;
        return s;
    }
    HistoryEvent& add(double at, Kind kind, const std::string& id) {
        HistoryEvent event;
        event.at = at;
        event.kind = kind;
        event.job = id;
        event.site = "east";
        history.events.push_back(event);
        return history.events.back();
    }
    void startTask(double at, const std::string& id, std::uint32_t task,
                   const std::string& machine) {
        HistoryEvent& event = add(at, Kind::taskStarted, id);
        event.task = task;
        event.machine = machine;
        event.site = history.machines.at(machine).site;
    }
    void stopTask(double at, const std::string& id, std::uint32_t task,
                  const std::string& machine) {
        HistoryEvent& event = add(at, Kind::taskStopped, id);
        event.task = task;
        event.machine = machine;
    }
    void answer(double at, const std::string& id, int status, const std::string& word,
                Question question = Question::poll) {
        HistoryEvent& event = add(at, Kind::answered, id);
        event.status = status;
        event.text = word;
        event.question = question;
    }
    void poll(double at, const std::string& id) { add(at, Kind::asked, id); }
    std::set<std::string> violatedRules() {
        std::set<std::string> out;
        for (const auto& v : check(history, options).violations) out.insert(v.rule);
        return out;
    }
    using Rules = std::set<std::string>;
};

TEST_F(CheckerTest, TaskRunsOnOneMachineOfOneSite) {
    stopTask(2, "run-1", 0, "a-ordinary");
    startTask(2, "run-1", 0, "b-ordinary");
    EXPECT_EQ(violatedRules(), Rules{});
    startTask(3, "run-1", 0, "a-ordinary");
    EXPECT_EQ(violatedRules(), Rules{"ran_twice"});
    const auto result = check(history, options);
    ASSERT_EQ(result.violations.size(), 1U);
    ASSERT_EQ(result.violations[0].proof.size(), 2U) << "the two starts, and nothing else";
    EXPECT_EQ(result.violations[0].proof[0].machine, "b-ordinary");
    startTask(4, "run-1", 0, "far");
    EXPECT_TRUE(violatedRules().contains("two_sites"));
}

TEST_F(CheckerTest, TeamQuotaCountsTasksOfAllSites) {
    job("run-2").demand.cores = 4;
    startTask(2, "run-2", 0, "far");
    EXPECT_EQ(violatedRules(), Rules{}) << "4 and 4 of 8";
    job("run-3").demand.cores = 0.5;
    startTask(3, "run-3", 0, "b-ordinary");
    EXPECT_EQ(violatedRules(), Rules{"quota"});
}

TEST_F(CheckerTest, TaskRunsOnlyOnMachinesThatItsJobAllows) {
    stopTask(2, "run-1", 0, "a-ordinary");
    startTask(3, "run-1", 0, "a-spot");
    EXPECT_EQ(violatedRules(), Rules{"wrong_place"});
    history.jobs["run-1"].spotAllowed = true;
    EXPECT_EQ(violatedRules(), Rules{});
    history.jobs["run-1"].zone = "b";
    EXPECT_EQ(violatedRules(), Rules{"wrong_place"});
    history.jobs["run-1"].zone.reset();
    history.jobs["run-1"].machineTypes = {{"rack"}};
    EXPECT_EQ(violatedRules(), Rules{"wrong_place"});
}

TEST_F(CheckerTest, SpreadJobHasAtMostHalfOfItsTasksInOneZone) {
    history.jobs["run-1"].spread = true;
    startTask(2, "run-1", 1, "b-ordinary");
    EXPECT_EQ(violatedRules(), Rules{});
    stopTask(3, "run-1", 1, "b-ordinary");
    startTask(3, "run-1", 1, "rack");
    EXPECT_EQ(violatedRules(), Rules{"wrong_place"});
}

TEST_F(CheckerTest, CancelledJobStopsWithinCancelTime) {
    add(2, Kind::cancelRequested, "run-1");
    answer(3, "run-1", 200, "cancelled", Question::cancellation);
    stopTask(12.9, "run-1", 0, "a-ordinary");
    add(60, Kind::up, "");
    EXPECT_EQ(violatedRules(), Rules{});
    startTask(61, "run-1", 1, "b-ordinary");
    add(62, Kind::up, "");
    EXPECT_EQ(violatedRules(), Rules{"ran_cancelled"});
}

TEST_F(CheckerTest, AcceptedJobStaysKnown) {
    answer(2, "run-1", 201, "pending", Question::submission);
    answer(3, "run-1", 200, "running");
    EXPECT_EQ(violatedRules(), Rules{});
    answer(4, "run-1", 422, "", Question::repetition);
    EXPECT_EQ(violatedRules(), Rules{"forgotten"});
    history.events.pop_back();
    answer(4, "run-1", 404, "");
    EXPECT_EQ(violatedRules(), Rules{"forgotten"});
}

TEST_F(CheckerTest, UnansweredPollsAreAViolationOnlyWhileOthersAreAnswered) {
    answer(2, "run-1", 201, "pending", Question::submission);
    job("run-2");
    answer(2, "run-2", 201, "pending", Question::submission);
    for (int s = 0; s < 100; s += 5) {
        poll(5 + s, "run-1");
        poll(5 + s, "run-2");
    }
    EXPECT_EQ(violatedRules(), Rules{}) << "no job's polls are answered";
    for (int s = 0; s < 100; s += 2) answer(105, "run-2", 200, "running");
    poll(106, "run-1");
    EXPECT_EQ(violatedRules(), Rules{"forgotten"});
}

TEST_F(CheckerTest, JobThatWasNeverSubmittedIsUnknown) {
    answer(2, "stray-1", 404, "");
    EXPECT_EQ(violatedRules(), Rules{});
    answer(3, "stray-1", 200, "pending");
    EXPECT_EQ(violatedRules(), Rules{"invented"});
}

TEST_F(CheckerTest, JobIsDoneOnlyWhenAllTasksAreCompleted) {
    HistoryEvent& one = add(2, Kind::completed, "run-1");
    one.task = 0;
    answer(3, "run-1", 200, "done");
    EXPECT_EQ(violatedRules(), Rules{"not_done"});
    history.events.pop_back();
    add(3, Kind::completed, "run-1").task = 1;
    answer(4, "run-1", 200, "done");
    EXPECT_EQ(violatedRules(), Rules{});
    answer(5, "run-1", 200, "running");
    EXPECT_EQ(violatedRules(), Rules{"went_back"});
}

TEST_F(CheckerTest, JobIsCancelledOnlyByItsUser) {
    stopTask(2, "run-1", 0, "a-ordinary");
    answer(3, "run-1", 200, "cancelled");
    EXPECT_EQ(violatedRules(), Rules{"went_back"});
}

TEST_F(CheckerTest, JobStartsOnlyWhenAllDependenciesAreDone) {
    history.jobs["run-1"].demand.cores = 1;
    job("run-2").dependencies = {"run-1"};
    add(2, Kind::completed, "run-1").task = 0;
    add(3, Kind::completed, "run-1").task = 1;
    startTask(4, "run-2", 0, "b-ordinary");
    EXPECT_EQ(violatedRules(), Rules{});
    job("run-3").dependencies = {"run-2", "run-1"};
    history.jobs["run-3"].demand.cores = 1;
    startTask(5, "run-3", 0, "rack");
    EXPECT_EQ(violatedRules(), Rules{"too_early"});
}

TEST_F(CheckerTest, DependentsOfCancelledJobAreCancelledWithinCancelTime) {
    job("run-2").dependencies = {"run-1"};
    job("run-3").dependencies = {"run-2"};
    answer(2, "run-3", 201, "pending", Question::submission);
    add(2, Kind::cancelRequested, "run-1");
    answer(3, "run-1", 200, "cancelled", Question::cancellation);
    stopTask(4, "run-1", 0, "a-ordinary");
    answer(12, "run-3", 200, "pending");
    EXPECT_EQ(violatedRules(), Rules{}) << "cancel_s is 10";
    answer(13.5, "run-3", 200, "cancelled");
    EXPECT_EQ(violatedRules(), Rules{})
        << "cancelled because of its dependency, without a request of its user";
    history.events.pop_back();
    answer(13.5, "run-3", 200, "pending");
    EXPECT_EQ(violatedRules(), Rules{"orphaned"});
}

TEST_F(CheckerTest, DependentIsCancelledOnlyIfDependencyIs) {
    job("run-2").dependencies = {"run-1"};
    add(1, Kind::submitted, "run-2");
    add(2, Kind::cancelRequested, "run-1");
    answer(3, "run-2", 200, "cancelled");
    EXPECT_EQ(violatedRules(), Rules{}) << "run-1 may be cancelled by now";
    for (std::uint32_t t = 0; t < 2; ++t) add(4, Kind::completed, "run-1").task = t;
    answer(5, "run-1", 200, "done", Question::cancellation);
    EXPECT_EQ(violatedRules(), Rules{"went_back"})
        << "the dependency completed before it was cancelled";
}

TEST_F(CheckerTest, JobThatCanRunIsNotRefused) {
    answer(2, "run-1", 422, "", Question::submission);
    EXPECT_EQ(violatedRules(), Rules{"refused"});
}

TEST_F(CheckerTest, AfterAllFaultsPollsAndCancellationsOfEachJobAreAnswered) {
    options.calmS = 100;
    answer(2, "run-1", 201, "pending", Question::submission);
    job("run-2");
    answer(2, "run-2", 201, "pending", Question::submission);
    // Most polls of run-2 are unanswered as well, so the rule about most other polls cannot apply.
    for (int s = 0; s < 170; s += 5) {
        poll(5 + s, "run-1");
        poll(5 + s, "run-2");
    }
    EXPECT_EQ(violatedRules(), Rules{}) << "75 s have not passed since the end of the faults";
    poll(176, "run-1");
    EXPECT_EQ(violatedRules(), Rules{"forgotten"});
    history.events.pop_back();
    answer(174, "run-1", 200, "running");
    poll(176, "run-1");
    EXPECT_EQ(violatedRules(), Rules{});
    // Cancellations must be answered as well.
    for (int s = 0; s < 90; s += 5)
        add(176 + s, Kind::asked, "run-1").question = Question::cancellation;
    EXPECT_EQ(violatedRules(), Rules{"stuck"});
}

TEST_F(CheckerTest, LargestJobsStartInTimeAndHalfOfAllJobsStart) {
    options.beginS = 100;
    history.jobs["run-1"].tasks = 50;
    add(0, Kind::submitted, "run-1");
    answer(1, "run-1", 201, "pending", Question::submission);
    for (int i = 2; i < 9; ++i) {
        const std::string id = "run-" + std::to_string(i);
        job(id);
        add(0, Kind::submitted, id);
        answer(1, id, 201, "pending", Question::submission);
        if (i < 6) startTask(2, id, 0, "far");
        if (i < 6) stopTask(3, id, 0, "far");
    }
    add(200, Kind::up, "");
    EXPECT_EQ(violatedRules(), Rules{}) << "run-1 began, and half of the others";
    const auto allEvents = history.events;
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-5";
    });
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-4";
    });
    EXPECT_EQ(violatedRules(), Rules{"not_served"});
    history.events = allEvents;
    std::erase_if(history.events, [](const HistoryEvent& f) {
        return f.kind == Kind::taskStarted && f.job == "run-1";
    });
    EXPECT_TRUE(violatedRules().contains("begins_late"));
    options.beginS = 0;
    EXPECT_EQ(violatedRules(), Rules{}) << "only where a scenario asks for it";
}

TEST_F(CheckerTest, AnswerIsNotOlderThanAnswersReceivedBeforeItsRequest) {
    const auto ask = [&](double at) {
        poll(at, "run-1");
        return history.events.size() - 1;
    };
    answer(2, "run-1", 201, "pending", Question::submission);
    for (std::uint32_t t = 0; t < 2; ++t) add(3, Kind::completed, "run-1").task = t;
    const std::size_t before = ask(4);
    answer(5, "run-1", 200, "done");
    const std::size_t since = ask(5.01);
    answer(5.8, "run-1", 200, "running");
    history.events.back().asked = before;
    EXPECT_EQ(violatedRules(), Rules{}) << "the two overlap, and may be ordered either way";
    EXPECT_EQ(check(history, options).overtaken, 1U);
    EXPECT_NEAR(check(history, options).longestOvertakenS, 1.8, 1e-9);
    answer(5.9, "run-1", 200, "running");
    history.events.back().asked = since;
    EXPECT_EQ(violatedRules(), Rules{"went_back"});
    history.events.back().status = 404;
    history.events.back().text = "";
    EXPECT_EQ(violatedRules(), Rules{"forgotten"});
}

TEST_F(CheckerTest, UnfitSubmissionIsNotAccepted) {
    history.unfit["odd-1"] = "it lacks splits";
    answer(2, "odd-1", 400, "", Question::submission);
    answer(3, "odd-1", 404, "");
    EXPECT_EQ(violatedRules(), Rules{});
    answer(4, "odd-1", 201, "pending", Question::submission);
    EXPECT_EQ(violatedRules(), Rules{"accepted_unfit"});
}

TEST_F(CheckerTest, StartAfterCancellationIsCountedAndLateOneIsAViolation) {
    stopTask(1.5, "run-1", 0, "a-ordinary");
    add(2, Kind::cancelRequested, "run-1");
    answer(3, "run-1", 200, "cancelled", Question::cancellation);
    startTask(4, "run-1", 1, "b-ordinary");
    stopTask(5, "run-1", 1, "b-ordinary");
    EXPECT_EQ(violatedRules(), Rules{}) << "the launch command was already in flight";
    EXPECT_EQ(check(history, options).startedCancelled, 1U);
    // A machine that hung resumes a task of the job.
    startTask(6, "run-1", 0, "rack");
    add(13.5, Kind::up, "");
    EXPECT_EQ(violatedRules(), Rules{"ran_cancelled"});
}

TEST_F(CheckerTest, JobDoesNotWaitLongWhileSuitableMachineHasCapacity) {
    options.calmS = 10;
    for (const char* name : {"b-ordinary", "b-spot"}) {
        history.machines[name].capacity = {8, 0, 64};
        add(5, Kind::up, "").machine = name;
    }
    job("run-2").demand = {4, 0, 8};
    history.jobs["run-2"].zone = "b";
    answer(20, "run-2", 201, "pending", Question::submission);
    const auto pass = [&](double until) {
        for (double at = history.events.back().at + 1; at < until; at += 1) add(at, Kind::up, "");
    };
    pass(109);
    EXPECT_EQ(violatedRules(), Rules{});
    pass(113);
    EXPECT_EQ(violatedRules(), Rules{"left_waiting"});
    const auto without = [&](auto change) {
        const auto jobs = history.jobs;
        const auto limits = options.teams;
        change();
        auto out = violatedRules();
        history.jobs = jobs;
        options.teams = limits;
        return out;
    };
    EXPECT_EQ(without([&] { options.teams["red"].coresMax = 5; }), Rules{}) << "team at its limit";
    EXPECT_EQ(without([&] { history.jobs["run-2"].demand.cores = 9; }), Rules{})
        << "larger than the machine";
    EXPECT_EQ(without([&] { history.jobs["run-2"].zone = "a"; }), Rules{})
        << "no capacity in its zone";
    EXPECT_EQ(without([&] { history.jobs["run-2"].dependencies = {"run-1"}; }), Rules{})
        << "its dependency is not done";
}

TEST_F(CheckerTest, SomeTaskRunsAndJobsSubmittedAfterAllFaultsAreAccepted) {
    options.settledS = 50;
    options.untilS = 100;
    job("run-2");
    add(40, Kind::submitted, "run-2");
    EXPECT_EQ(violatedRules(), Rules{});
    job("run-3");
    add(60, Kind::submitted, "run-3");
    EXPECT_EQ(violatedRules(), Rules{"stuck"});
    history.events.clear();
    EXPECT_EQ(violatedRules(), Rules{"nothing_ran"});
}

}  // namespace
}  // namespace basaltchute::simulator
