#pragma once
// Time limits of lease delegation that every node derives alike from the platform's settings.
#include <algorithm>

#include "settings/settings.h"

namespace basaltchute::lease_delegation {

/// Derived alike by every node, so that a new leader knows the longest delegation that a leader it
/// never heard of can have given.
struct DelegationLimits {
    Duration maxDuration{};   // of a delegation, from when it was requested
    Duration lease{};         // of the agents
    Duration cancelWithin{};  // from acknowledging a cancellation until its tasks must be gone
    Duration
        leaderSilenceTimeout{};  // of its leader, until a delegate answers in the leader's name

    static DelegationLimits from(const settings::Settings& s) {
        // Zones were partitioned for one to two leases. The price of a longer delegation is that
        // tasks on machines that died together with their zone's controllers start elsewhere later.
        return {
            s.lease * 2, s.lease, s.cancelWithin,
            // Longer than an election and the loading of its state, or delegates would answer at
            // every take-over; and short enough for an agent to find the delegate within its lease.
            std::clamp<Duration>(s.lease / 8, std::chrono::seconds(3), std::chrono::seconds(5))};
    }
    /// Allowance for drift: the steady clocks of two machines drift apart by 0.05% at most.
    [[nodiscard]] static Duration maxClockDrift(Duration span) { return span / 1000; }
    /// The longest that an agent's lease that is renewed now may last, by this node's clock.
    [[nodiscard]] Duration leaseUpperBound() const { return lease + maxClockDrift(lease) + margin; }
    /// How long after a cancellation is acknowledged a delegate may still answer, so that the lease
    /// which its last answer renews ends in time.
    [[nodiscard]] Duration maxDelegationAfterCancellation() const {
        return cancelWithin - maxClockDrift(cancelWithin) - leaseUpperBound() - margin;
    }
    static constexpr Duration margin = std::chrono::milliseconds(500);
};

}  // namespace basaltchute::lease_delegation
