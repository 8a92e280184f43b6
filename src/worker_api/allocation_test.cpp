#include "worker_api/allocation.h"

#include <gtest/gtest.h>

namespace basaltchute::worker_api {
namespace {

TEST(AllocationState, NewBindingIsNotLaunchedUntilItsLaunchIsSent) {
    AllocationState state = AllocationState::bound();
    EXPECT_FALSE(state.launchSent());
    EXPECT_FALSE(state.adopted());
    EXPECT_FALSE(state.confirmed());
    state.onDirectLaunchEnded(true);
    EXPECT_FALSE(state.launchSent()) << "the request held no launch of it";
    state.onLaunchInResponse();
    EXPECT_TRUE(state.launchSent());
    EXPECT_FALSE(state.directLaunchMayArrive());
}

TEST(AllocationState, DirectLaunchMayArriveUntilItIsAnswered) {
    AllocationState state = AllocationState::bound();
    state.onDirectLaunchSent();
    EXPECT_TRUE(state.launchSent());
    EXPECT_TRUE(state.directLaunchInFlight());
    state.onLaunchInResponse();
    EXPECT_TRUE(state.directLaunchInFlight()) << "the direct one is still in flight";
    state.onDirectLaunchEnded(false);
    EXPECT_TRUE(state.launchSent());
    EXPECT_FALSE(state.directLaunchMayArrive());
}

TEST(AllocationState, UnansweredDirectLaunchMayArriveAtAnyLaterTime) {
    AllocationState state = AllocationState::bound();
    state.onDirectLaunchSent();
    state.onDirectLaunchEnded(true);
    EXPECT_TRUE(state.directLaunchUnresolved());
    EXPECT_FALSE(state.directLaunchInFlight());
    state.onLaunchInResponse();
    state.onDirectLaunchEnded(false);
    state.onReported();
    EXPECT_TRUE(state.directLaunchUnresolved())
        << "the response to another request proves nothing about this one";
    EXPECT_TRUE(state.confirmed());
}

TEST(AllocationState, AttemptBoundByAFormerLeaderIsAdoptedUntilItIsReported) {
    AllocationState state = AllocationState::adoptedFromRecord();
    EXPECT_TRUE(state.launchSent());
    EXPECT_TRUE(state.adopted());
    EXPECT_FALSE(state.confirmed());
    state.onReported();
    EXPECT_FALSE(state.adopted());
    EXPECT_TRUE(state.confirmed());
}

TEST(AllocationState, AttemptFoundOnAMachineCountsAsLaunched) {
    AllocationState state = AllocationState::foundOnMachine();
    EXPECT_TRUE(state.launchSent());
    EXPECT_FALSE(state.confirmed());
    state.onReported();
    EXPECT_TRUE(state.confirmed());
}

}  // namespace
}  // namespace basaltchute::worker_api
