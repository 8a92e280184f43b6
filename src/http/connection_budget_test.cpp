#include "http/connection_budget.h"

#include <gtest/gtest.h>

namespace basaltchute::http {
namespace {

/// Opens connections of a class until the budget admits no more. Returns how many there are then.
std::size_t fill(ConnectionBudget& budget, ConnectionClass kind) {
    while (budget.admits() && budget.hasCapacity(kind)) {
        budget.opened(ConnectionClass::unclassified);
        budget.classified(kind);
    }
    return budget.count(kind);
}

TEST(ConnectionBudget, NoClassTakesWhatIsReservedForAnother) {
    for (const std::size_t total : {24U, 100U, 584U, 2274U, 20'000U}) {
        ConnectionBudget agentsFirst(ConnectionShares::divided(total));
        fill(agentsFirst, ConnectionClass::agent);
        EXPECT_TRUE(agentsFirst.admits()) << total;
        EXPECT_GE(fill(agentsFirst, ConnectionClass::client), total / 5) << total;

        ConnectionBudget clientsFirst(ConnectionShares::divided(total));
        fill(clientsFirst, ConnectionClass::client);
        EXPECT_TRUE(clientsFirst.admits()) << total;
        EXPECT_GE(fill(clientsFirst, ConnectionClass::agent), total / 8) << total;
    }
}

TEST(ConnectionBudget, UnclassifiedConnectionsAreLimited) {
    ConnectionBudget budget(ConnectionShares::divided(800));
    std::size_t opened = 0;
    for (; budget.admits(); ++opened) budget.opened(ConnectionClass::unclassified);
    EXPECT_EQ(opened, 100U);
    EXPECT_TRUE(budget.awaitsRequests());
    budget.classified(ConnectionClass::client);
    EXPECT_TRUE(budget.admits());
}

TEST(ConnectionBudget, KeepsFewerAgentConnectionsTheMoreClientsThereAre) {
    const auto shares = ConnectionShares::divided(800);
    ConnectionBudget budget(shares);
    const auto keepAll = [&] {
        std::size_t kept = 0;
        while (budget.hasCapacity(ConnectionClass::agent) && budget.keepsAgent(false)) {
            budget.opened(ConnectionClass::agent);
            budget.keptAgent();
            ++kept;
        }
        return kept;
    };
    EXPECT_EQ(keepAll(), shares.keptAgents);
    EXPECT_LT(shares.keptAgents, shares.agents)
        << "the other agents use the rest of the share in turn";
    EXPECT_TRUE(budget.keepsAgent(true));
    for (int i = 0; i < 400; ++i) budget.opened(ConnectionClass::client);
    EXPECT_FALSE(budget.keepsAgent(true)) << "it is closed after its response";
    for (int i = 0; i < 400; ++i) budget.closed(ConnectionClass::client);
    EXPECT_TRUE(budget.keepsAgent(true));
}

TEST(ConnectionBudget, UndividedBudgetIsForClientsOnly) {
    ConnectionBudget budget(ConnectionShares::undivided(3));
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(budget.admits());
        budget.opened(ConnectionClass::client);
    }
    EXPECT_FALSE(budget.admits());
}

TEST(ConnectionBudget, SmallestServersAdmitEachClass) {
    for (const std::size_t total : {1U, 2U, 3U, 4U}) {
        for (const auto kind : {ConnectionClass::client, ConnectionClass::agent}) {
            ConnectionBudget budget(ConnectionShares::divided(total));
            EXPECT_GE(fill(budget, kind), 1U) << total;
        }
    }
}

}  // namespace
}  // namespace basaltchute::http
