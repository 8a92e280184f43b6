#include <gtest/gtest.h>

#include "scheduler/cluster.h"
#include "testing/world.h"

namespace basaltchute::scheduler {
namespace {

using namespace std::chrono_literals;
using testing::Worker;

class ReservationsTest : public ::testing::Test {
  protected:
    FakeClock clock;
    settings::Settings settings = testing::someSettings();
    std::unique_ptr<Cluster> cluster;
    std::map<std::string, std::string> records;

    void startCluster(const settings::OperatorSettings& operatorSettings, FencingToken token = 1) {
        cluster = std::make_unique<Cluster>(settings, token);
        cluster->setOperatorSettings(operatorSettings);
        cluster->setCatalogue(testing::someCatalogue());
    }
    void commit() { testing::commitAll(*cluster, records); }
    void exchange(Worker& w) {
        w.execute(cluster->onHeartbeat(w.next(), clock.now()));
        w.report.token = cluster->token();
    }
    Job& submit(const std::string& id, const std::string& team, std::uint32_t tasks) {
        JobSpec s = testing::spec(id, tasks);
        s.team = team;
        cluster->submit(s, clock.now(), clock.wall());
        commit();
        return *cluster->find(id);
    }
    void runUntilSettled(std::initializer_list<Worker*> workers) {
        for (int i = 0; i < 8; ++i) {  // each round reclaims capacity for one task
            cluster->place(clock.now());
            commit();
            for (Worker* w : workers) exchange(*w);
        }
    }
    static settings::OperatorSettings reserveOneMachineFor(const std::string& team) {
        settings::OperatorSettings operatorSettings;
        operatorSettings.reservations = {{team, "box", cells::Level::machine, 1}};
        operatorSettings.pooledMachines = {{"box", 2}};
        return operatorSettings;
    }
};

TEST_F(ReservationsTest, AReservationPreemptsOpportunisticWork) {
    startCluster(reserveOneMachineFor("red"));
    Worker w("n-1"), v("n-2");
    runUntilSettled({&w, &v});
    Job& opportunistic = submit("run-1", "blue", 4);
    runUntilSettled({&w, &v});
    EXPECT_EQ(opportunistic.runningCount, 4U) << "idle cells are used opportunistically";
    Job& owner = submit("run-2", "red", 2);
    runUntilSettled({&w, &v});
    EXPECT_EQ(owner.runningCount, 2U);
    EXPECT_EQ(opportunistic.runningCount, 2U) << "only one machine was reclaimed";
    EXPECT_EQ(owner.tasks[0].machine, owner.tasks[1].machine) << "tasks share the bound cell";
}

TEST_F(ReservationsTest, BeyondTheReservationNothingIsPreempted) {
    startCluster(reserveOneMachineFor("red"));
    Worker w("n-1"), v("n-2");
    runUntilSettled({&w, &v});
    Job& opportunistic = submit("run-1", "blue", 4);
    runUntilSettled({&w, &v});
    Job& owner = submit("run-2", "red", 4);
    runUntilSettled({&w, &v});
    EXPECT_EQ(owner.runningCount, 2U);
    EXPECT_EQ(opportunistic.runningCount, 2U);
}

TEST_F(ReservationsTest, AReservationInCoresIsMetByAnyType) {
    settings.teams = {{"red", 4, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
    startCluster({});
    Worker w("n-1");
    runUntilSettled({&w});
    Job& opportunistic = submit("run-1", "blue", 2);
    runUntilSettled({&w});
    Job& owner = submit("run-2", "red", 2);
    runUntilSettled({&w});
    EXPECT_EQ(owner.runningCount, 1U);
    EXPECT_EQ(opportunistic.runningCount, 1U);
}

TEST_F(ReservationsTest, CellsAreReleasedWithTheLastTaskAndRestoredByANewLeader) {
    startCluster(reserveOneMachineFor("red"));
    Worker w("n-1"), v("n-2");
    runUntilSettled({&w, &v});
    submit("run-1", "red", 2);
    runUntilSettled({&w, &v});
    EXPECT_EQ(cluster->pools().at("box").boundCells("red", cells::Level::machine), 1U);
    startCluster(reserveOneMachineFor("red"), 2);
    for (const auto& [k, data] : records)
        ASSERT_TRUE(cluster->loadRecord(k, data, clock.now(), clock.wall()));
    cluster->finishLoading(clock.now());
    runUntilSettled({&w, &v});
    Job& job = *cluster->find("run-1");
    EXPECT_EQ(job.runningCount, 2U);
    cluster->cancel(job, clock.now());
    commit();
    runUntilSettled({&w, &v});
    EXPECT_EQ(cluster->pools().at("box").boundCells("red", cells::Level::machine), 0U);
    EXPECT_EQ(cluster->pools().at("box").findInconsistency(), "");
}

TEST_F(ReservationsTest, UnreservedCapacityIsSharedByWeight) {
    settings::OperatorSettings operatorSettings;
    operatorSettings.weights = {{"blue", 3.0}};
    settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
    startCluster(operatorSettings);
    Worker w("n-1"), v("n-2"), x("n-3"), y("n-4");
    runUntilSettled({&w, &v, &x, &y});
    Job& red = submit("run-1", "red", 20);
    Job& blue = submit("run-2", "blue", 20);
    runUntilSettled({&w, &v, &x, &y});
    EXPECT_EQ(red.boundCount, 2U);
    EXPECT_EQ(blue.boundCount, 6U);
}

}  // namespace
}  // namespace basaltchute::scheduler
