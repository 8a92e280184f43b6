#pragma once
#include <algorithm>

#include "settings/settings.h"

namespace basaltchute::lease_delegation {

/// What every node derives alike from the platform's settings, so that a successor knows the
/// longest delegation that a leader it never heard of can have given.
struct DelegationLimits {
    Duration maxDuration{};    // a delegation lasts at most so long from when it was asked for
    Duration lease{};          // of the workers
    Duration cancelWithin{};   // by when a cancelled task must be gone after its user was told
    Duration leaderSilence{};  // a holder answers once it has not heard its leader for so long

    static DelegationLimits from(const settings::Settings& s) {
        // Zones were away for one to two leases. The price of a longer delegation is that tasks on
        // machines that died together with their zone's controllers start elsewhere later.
        return {
            s.lease * 2, s.lease, s.cancelWithin,
            // Longer than an election and its loading, or every take-over would be answered by
            // delegations; and short enough for a worker to find the holder within its lease.
            std::clamp<Duration>(s.lease / 8, std::chrono::seconds(3), std::chrono::seconds(5))};
    }
    /// Steady clocks of two machines drift apart by 0.05% at most.
    [[nodiscard]] static Duration maxDrift(Duration span) { return span / 1000; }
    /// The longest that a lease renewed by a report sent now may last, by our clock.
    [[nodiscard]] Duration leaseUpperBound() const { return lease + maxDrift(lease) + margin; }
    /// How far a holder's answers may reach after a cancellation was told, so that the lease they
    /// renew ends in time.
    [[nodiscard]] Duration afterAcknowledgedCancellation() const {
        return cancelWithin - maxDrift(cancelWithin) - leaseUpperBound() - margin;
    }
    static constexpr Duration margin = std::chrono::milliseconds(500);
};

}  // namespace basaltchute::lease_delegation
