#pragma once
// Allocations: which attempts are possibly on a machine, and what is known about each. Used by
// `scheduler::Cluster`, which keeps them in `worker_api::Machine`.
#include <cstdint>
#include <optional>
#include <vector>

#include "cells/cells.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

/// How commands reach an agent.
enum class CommandChannel : std::uint8_t { heartbeatResponse, direct };

/// Why this leader told an attempt to stop. `moved`: off a machine that is to be terminated.
/// `interrupted`: just before its machine is lost, to write a checkpoint. `jobClosed`: its job is
/// cancelled or done. `superseded`: its task has another attempt or a result. `orphaned`: it was
/// found where its task does not belong.
enum class StopReason : std::uint8_t {
    none,
    preempted,
    moved,
    interrupted,
    jobClosed,
    superseded,
    orphaned
};

/// How this leader launched an attempt, for the log and the status page. Decides nothing.
struct LaunchRecord {
    std::optional<CommandChannel> channel;  // of the first launch; empty: by a former leader
    FencingToken token = 0;                 // of that launch
    std::uint64_t incarnation = 0;          // of the agent
    TimePoint sentAt{};                     // if there is a channel
    std::optional<TimePoint> confirmedAt;   // first reported by its machine
    StopReason stopReason = StopReason::none;
};

/// What is known about an allocation's attempt: whether a launch command for it has been sent, and
/// whether the machine has reported it. Every change is one of these transitions:
///
///     bound:   notSent --launch in a heartbeat response--> sent
///              notSent --direct launch--> directInFlight --response--> sent
///                                                        --no response--> directUnresolved
///     loaded from a former leader's record: sent, adopted until its machine reports it
///     reported by its machine: confirmed, whatever became of the launch
///
/// The state ends when the allocation is released (`Cluster::releaseAllocation`): the attempt was
/// never launched and is not needed any more, was reported as exited, or is proven to be absent.
class AllocationState {
  public:
    /// The state of an attempt that this leader has bound to the machine.
    static AllocationState bound() { return {}; }
    /// A former leader has bound the attempt, and may have launched it.
    static AllocationState adoptedFromRecord() { return {Launch::sent, Evidence::adopted}; }
    /// The machine reported the attempt, but there was no allocation for it.
    static AllocationState foundOnMachine() { return {Launch::sent, Evidence::none}; }

    /// A launch is in a heartbeat response.
    void onLaunchInResponse() {
        if (launch_ == Launch::notSent) launch_ = Launch::sent;
    }
    /// A launch is in a direct request.
    void onDirectLaunchSent() { launch_ = Launch::directInFlight; }
    /// A direct request to the machine has ended. No effect if it held no launch of this attempt.
    /// `unanswered`: a copy of the request was sent and may still be executed.
    void onDirectLaunchEnded(bool unanswered) {
        if (launch_ == Launch::directInFlight)
            launch_ = unanswered ? Launch::directUnresolved : Launch::sent;
    }
    /// The machine has reported the attempt.
    void onReported() { evidence_ = Evidence::confirmed; }

    /// This leader has sent a launch, or a former one may have.
    [[nodiscard]] bool launchSent() const { return launch_ != Launch::notSent; }
    /// A direct request with a launch is open.
    [[nodiscard]] bool directLaunchInFlight() const { return launch_ == Launch::directInFlight; }
    /// A direct launch was not answered: it may still arrive, even minutes later.
    [[nodiscard]] bool directLaunchUnresolved() const {
        return launch_ == Launch::directUnresolved;
    }
    /// A direct launch may still arrive.
    [[nodiscard]] bool directLaunchMayArrive() const {
        return directLaunchInFlight() || directLaunchUnresolved();
    }
    /// Bound by a former leader, and not yet reported to this one.
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
/// not there: a reported exit, a newer incarnation of the agent, an agent lease that has certainly
/// expired, or the cloud's confirmation that the machine is deleted.
struct Allocation {
    Job* job = nullptr;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    std::uint64_t recordVersion = 0;  // version of the job's record with the binding
    AllocationState state = AllocationState::bound();
    LaunchRecord launch;
    bool orphaned = false;  // found on the machine, where its task does not belong: it is stopped
    bool stopSent = false;
    bool launchInLastResponse = false;  // the last heartbeat response held its launch
    std::uint64_t lastReportedIn = 0;   // sequence of the last report that lists it, not as exited
    std::vector<cells::CellIndex> cells;   // of the team's reservation; none if opportunistic
    std::uint32_t opportunisticSlots = 0;  // counted in the low-priority view of `cells::CellPool`
};

}  // namespace basaltchute::worker_api
