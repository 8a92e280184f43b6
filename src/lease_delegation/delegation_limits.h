#pragma once
// Time limits of lease delegation. Used by the delegating leader, the delegates and the scheduler.
#include <algorithm>

#include "settings/settings.h"

namespace basaltchute::lease_delegation {

/// Time limits that every node derives in the same way from the platform's settings, so that a new
/// leader knows the longest delegation that a leader it never heard from can have given.
struct DelegationLimits {
    Duration maxDuration{};   // of a delegation, counted from when it was requested
    Duration agentLease{};    // how long an agent's lease lasts
    Duration cancelWithin{};  // from acknowledging a cancellation until its tasks must have ended
    /// How long a delegate must not have heard from its leader before it answers in its name.
    Duration leaderSilenceTimeout{};

    static DelegationLimits from(const settings::Settings& s) {
        // Network partitions of zones have lasted one to two leases. A longer delegation has a
        // cost: if machines fail together with the controllers of their zone, their tasks start
        // elsewhere later.
        return {
            s.lease * 2, s.lease, s.cancelWithin,
            // Longer than an election and the loading of the state, or delegates would answer at
            // every change of leader; short enough for an agent to find the delegate within its
            // lease.
            std::clamp<Duration>(s.lease / 8, std::chrono::seconds(3), std::chrono::seconds(5))};
    }
    /// Allowance for clock drift within `span`: 0.1% of it. The steady clocks of two machines drift
    /// apart by 0.05% at most.
    [[nodiscard]] static Duration maxClockDrift(Duration span) { return span / 1000; }
    /// The longest time, by this node's clock, that an agent's lease can last if it is renewed now.
    [[nodiscard]] Duration leaseUpperBound() const {
        return agentLease + maxClockDrift(agentLease) + safetyMargin;
    }
    /// How long after a cancellation is acknowledged a delegate may still answer, so that the lease
    /// renewed by its last answer ends within `cancelWithin`.
    [[nodiscard]] Duration maxDelegationAfterCancellation() const {
        return cancelWithin - maxClockDrift(cancelWithin) - leaseUpperBound() - safetyMargin;
    }
    /// Added to, or subtracted from, a time limit beside the allowance for clock drift.
    static constexpr Duration safetyMargin = std::chrono::milliseconds(500);
};

}  // namespace basaltchute::lease_delegation
