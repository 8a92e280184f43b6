#include "scheduler/runtime_estimates.h"

#include <gtest/gtest.h>

#include <cmath>

namespace basaltchute::scheduler {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

JobSpec specOf(const std::string& jobClass, double estimatedRuntimeS = 10) {
    JobSpec spec;
    spec.id = "run-1";
    spec.jobClass = jobClass;
    spec.estimatedRuntimeS = estimatedRuntimeS;
    return spec;
}

TEST(RuntimeEstimates, UsesTheOwnersEstimateUntilARunIsRecorded) {
    const RuntimeEstimates estimates;
    EXPECT_DOUBLE_EQ(estimates.bias("etl"), 1.0);
    EXPECT_EQ(estimates.estimatedRunTime(specOf("etl")), Duration(10s));
}

TEST(RuntimeEstimates, BiasMovesTowardsTheObservedRatioOfItsClassOnly) {
    RuntimeEstimates estimates;
    estimates.recordRun("etl", 10, 20);
    EXPECT_NEAR(estimates.bias("etl"), std::pow(2.0, 0.1), 1e-9);
    for (int i = 0; i < 200; ++i) estimates.recordRun("etl", 10, 20);
    EXPECT_NEAR(estimates.bias("etl"), 2.0, 1e-6);
    EXPECT_DOUBLE_EQ(estimates.bias("other"), 1.0);
}

TEST(RuntimeEstimates, TheRatioOfOneRunIsLimitedToESquared) {
    RuntimeEstimates estimates;
    estimates.recordRun("long", 1, 1e9);
    estimates.recordRun("short", 1e9, 1);
    EXPECT_NEAR(estimates.bias("long"), std::exp(0.2), 1e-9);
    EXPECT_NEAR(estimates.bias("short"), std::exp(-0.2), 1e-9);
}

TEST(RuntimeEstimates, JobDurationAddsImageFetchHandoverAndTheLastOfManyTasks) {
    const RuntimeEstimates estimates;
    JobSpec spec = specOf("etl");
    EXPECT_EQ(estimates.jobDuration(spec, 3), Duration(15s));
    spec.tasks = 100;
    EXPECT_NEAR(toSeconds(estimates.jobDuration(spec, 3)),
                3 + 10 * (1 + 0.25 * std::log(100.0)) + 2, 1e-6);
}

TEST(RuntimeEstimates, ShiftedClassesAreReturnedOnceAndAtIntervals) {
    RuntimeEstimates estimates;
    estimates.recordRun("moved", 10, 100);
    estimates.recordRun("steady", 10, 11);
    EXPECT_EQ(estimates.takeShiftedClasses(start), std::set<std::string>{"moved"});
    estimates.recordRun("moved", 10, 100);
    EXPECT_TRUE(estimates.takeShiftedClasses(start + 4s).empty()) << "checked a moment ago";
    EXPECT_EQ(estimates.takeShiftedClasses(start + 5s), std::set<std::string>{"moved"});
    EXPECT_TRUE(estimates.takeShiftedClasses(start + 10s).empty()) << "nothing has changed since";
}

TEST(RuntimeEstimates, LeadTimeIsReachedByFourOfFiveRecentJobs) {
    RuntimeEstimates estimates;
    JobSpec dependent = specOf("etl");
    dependent.dependencies = {"run-0"};
    for (const auto lead : {50s, 20s, 40s, 10s, 30s}) estimates.recordLeadTime(dependent, lead);
    EXPECT_EQ(estimates.arrivalLeadTime("etl"), Duration(20s));
    for (int i = 0; i < 20; ++i) estimates.recordLeadTime(dependent, 7s);
    EXPECT_EQ(estimates.arrivalLeadTime("etl"), Duration(7s)) << "older ones are forgotten";
}

TEST(RuntimeEstimates, JobsWithoutDependenciesCountOnlyInClassesThatHaveSome) {
    RuntimeEstimates estimates;
    JobSpec dependent = specOf("etl");
    dependent.dependencies = {"run-0"};
    estimates.recordLeadTime(specOf("web"), Duration::zero());
    EXPECT_EQ(estimates.arrivalLeadTime("web"), Duration::zero());
    estimates.recordLeadTime(specOf("etl"), Duration::zero());
    estimates.recordLeadTime(dependent, 9s);
    EXPECT_EQ(estimates.arrivalLeadTime("etl"), Duration(9s))
        << "the first job came before any with dependencies";
    estimates.recordLeadTime(specOf("etl"), Duration::zero());
    EXPECT_EQ(estimates.arrivalLeadTime("etl"), Duration::zero());
}

TEST(RuntimeEstimates, DrainRateIsCoresOverMeanRunTimeByPriorityWithoutServices) {
    RuntimeEstimates estimates;
    Job batch, service;
    batch.spec = specOf("etl", 10);
    batch.spec.demand.cores = 4;
    batch.boundCount = 5;
    batch.effectivePriority = Priority::high;
    service.spec = specOf("web", 10);
    service.spec.shape = Shape::service;
    service.spec.demand.cores = 4;
    service.boundCount = 1;
    const std::vector<Job*> open{&batch, &service};
    estimates.measureDrainRate(open, start);
    EXPECT_DOUBLE_EQ(estimates.drainRate(Priority::high), 2.0);
    EXPECT_DOUBLE_EQ(estimates.drainRate(Priority::normal), 0.0);
    batch.boundCount = 10;
    estimates.measureDrainRate(open, start + 999ms);
    EXPECT_DOUBLE_EQ(estimates.drainRate(Priority::high), 2.0) << "measured a moment ago";
    estimates.measureDrainRate(open, start + 1s);
    EXPECT_DOUBLE_EQ(estimates.drainRate(Priority::high), 4.0);
}

}  // namespace
}  // namespace basaltchute::scheduler
