#pragma once
// An attempt that is possibly on a machine, and what is known of that.
#include <cstdint>
#include <vector>

#include "cells/cells.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

/// What is known of an allocation's attempt: whether a launch of it has left, and whether the
/// machine has it. Every change is one of the transitions below.
///
///     bound:   notSent --launch in a heartbeat response--> sent
///              notSent --direct launch--> directInFlight --response--> sent
///                                                        --no response--> directUnresolved
///     on record from a former leader: sent, adopted until the machine reports the attempt
///     reported by its machine: confirmed, whatever became of the launch
///
/// It ends when the allocation is released (`Cluster::release`): never launched and not needed any
/// more, reported as exited, or proven absent.
class AllocationState {
  public:
    /// Bound by this leader.
    static AllocationState bound() { return {}; }
    /// Bound by a former leader, which may have launched it.
    static AllocationState adoptedFromRecord() { return {Launch::sent, Evidence::adopted}; }
    /// Found on the machine without an allocation of its own.
    static AllocationState foundOnMachine() { return {Launch::sent, Evidence::none}; }

    void onLaunchInResponse() {
        if (launch_ == Launch::notSent) launch_ = Launch::sent;
    }
    void onDirectLaunchSent() { launch_ = Launch::directInFlight; }
    void onDirectLaunchEnded(bool unanswered) {
        if (launch_ == Launch::directInFlight)
            launch_ = unanswered ? Launch::directUnresolved : Launch::sent;
    }
    void onReported() { evidence_ = Evidence::confirmed; }

    /// A launch has left, by this leader or a former one.
    [[nodiscard]] bool launchSent() const { return launch_ != Launch::notSent; }
    [[nodiscard]] bool directLaunchInFlight() const { return launch_ == Launch::directInFlight; }
    /// A direct launch went unanswered: it may arrive minutes later.
    [[nodiscard]] bool directLaunchUnresolved() const {
        return launch_ == Launch::directUnresolved;
    }
    /// A direct launch may arrive yet.
    [[nodiscard]] bool directLaunchMayArrive() const {
        return directLaunchInFlight() || directLaunchUnresolved();
    }
    /// Bound by a former leader, and not reported to this one.
    [[nodiscard]] bool adopted() const { return evidence_ == Evidence::adopted; }
    /// Reported by the current incarnation of the agent.
    [[nodiscard]] bool confirmed() const { return evidence_ == Evidence::confirmed; }

  private:
    enum class Launch : std::uint8_t { notSent, sent, directInFlight, directUnresolved };
    enum class Evidence : std::uint8_t { none, adopted, confirmed };
    AllocationState() = default;
    AllocationState(Launch launch, Evidence evidence) : launch_(launch), evidence_(evidence) {}

    Launch launch_ = Launch::notSent;
    Evidence evidence_ = Evidence::none;
};

/// An attempt that is possibly on a machine. It keeps its resources until there is proof that it is
/// not there: an exit reported, a newer incarnation of the agent, an agent lease that has surely
/// run out, or the cloud's answer that the machine is deleted.
struct Allocation {
    Job* job = nullptr;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    std::uint64_t recordVersion = 0;  // of the job's record that holds the binding
    AllocationState state = AllocationState::bound();
    bool orphaned = false;  // on the machine, but not where its task belongs
    bool stopSent = false;
    bool launchInLastResponse = false;     // its launch was in the last heartbeat response
    std::uint64_t lastReportedIn = 0;      // sequence of the last report with it among the running
    std::vector<cells::CellIndex> cells;   // of its team's reservation; none: opportunistic
    std::uint32_t opportunisticSlots = 0;  // as counted in `cells::CellPool`'s low-priority view
};

}  // namespace basaltchute::worker_api
