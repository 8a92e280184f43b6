#pragma once
// What the routines of one leader's term share: the services of the node, the cluster's state and
// the writer of its records. Owned by `LeaderTerm`, which outlives every routine of its scope.
#include "controller/leader_term_environment.h"
#include "kv_store/transaction_writer.h"
#include "leader_election/leader_election.h"
#include "scheduler/cluster.h"

namespace basaltchute::controller {

/// Tasks that are placed before other routines get their turn.
inline constexpr std::size_t placementBatch = 64;

/// The format of the stored state with dependencies and record pages.
inline constexpr unsigned pagedFormat = 2;

/// The shared state of one term.
struct LeaderTermContext {
    EventLoop& loop;
    const settings::Settings& settings;
    kv_store::Client& store;
    LeaderElection& election;
    LeaderTermEnvironment& environment;
    Scope& scope;  // of everything that the term runs
    scheduler::Cluster& cluster;
    kv_store::TransactionWriter& writer;
    Event& recordWritten;   // a record was written, or the health of the writer has changed
    Event& schedulerWoken;  // `schedulePending` was set
    bool schedulePending = false;
    bool loaded = false;  // all records are in `cluster`

    /// This process leads, and still by this election: elected again within a moment it may act,
    /// and what an earlier term of it knew is old.
    [[nodiscard]] bool mayAct() const {
        return election.leaseValid() && election.token() == cluster.token();
    }
    /// Requests can be answered.
    [[nodiscard]] bool ready() const { return loaded && mayAct(); }
    /// Something has changed that a pass of the scheduler may act on.
    void wakeScheduler() {
        schedulePending = true;
        schedulerWoken.notify();
    }
};

}  // namespace basaltchute::controller
