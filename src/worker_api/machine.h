#pragma once
// What a leader knows of each machine: its agent, its lease, its tasks and the state of its network
// path. Plain data, which only `scheduler::Cluster` changes. The autoscaler reads it, and so does
// the leader's term (`controller::LeaderTerm`).
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "worker_api/allocation.h"
#include "worker_api/status_report.h"

namespace basaltchute::worker_api {

/// `expected`: named in the records or listed by the cloud, but not yet heard from. `gone`: deleted
/// by the cloud for good.
enum class Presence { expected, up, gone };

/// An attempt that its worker reports as exited.
struct TerminalStatus {
    /// The version of the job's record that holds the result: once it is durable, the worker may
    /// forget the attempt. Kept so that later changes of the record need not be waited for: that of
    /// a large array changes all the time.
    std::uint64_t recordVersion = 0;
    ExitCause cause = ExitCause::other;
    TimePoint reportedAt{};
    LaunchRecord launch;
    bool forgetSent = false;
};

/// One machine, as far as this leader knows.
struct Machine {
    std::string name, address, type, zone;
    std::string listedZone;  // by the cloud's list, while the machine has not reported yet
    bool spot = false;
    Presence presence = Presence::expected;

    // The agent and its lease
    std::uint64_t incarnation = 0, heartbeatSequence = 0;  // of the newest report
    std::uint64_t endedIncarnation = 0;  // up to this one, incarnations have certainly ended
    TimePoint lastHeardAt{};      // last new report, as a heartbeat or in a response to a request
    TimePoint lastHeartbeatAt{};  // last new report in a heartbeat
    /// When `incarnation` and `heartbeatSequence` were first seen, also if the rest of that report
    /// was ignored.
    TimePoint sequenceSeenAt{};
    TimePoint leaseEnd{};  // when the lease has certainly expired, whoever renewed it last
    TimePoint upSince{};
    std::optional<TimePoint> interruptionAt;  // when the cloud takes this spot machine back

    // Its tasks
    std::vector<Allocation> allocations;
    std::map<TaskAttempt, TerminalStatus> terminalStatuses;  // as of the last report
    std::size_t lastReportBytes = 0;                         // size of the last report
    std::vector<ReportedTask> unknownTasks;                  // running there, but of no known job
    /// The token of commands to this machine once it has been raised; 0: the term's first token.
    FencingToken raisedToken = 0;
    /// The highest token under which this leader sent a direct launch to this machine; 0: none. A
    /// copy of it may arrive until the worker has seen a higher token.
    FencingToken directLaunchToken = 0;
    /// A report of this incarnation shows that the worker has seen this leader's token: from then
    /// on no attempt starts there but by this leader's commands.
    bool formerLeadersFenced = false;
    std::map<std::string, TimePoint> cachedImages;  // with the time of last use
    bool commandInFlight = false;                   // a direct request is open

    // Its health
    std::set<JobId> failedJobs;  // jobs with failures here since the last success
    std::uint32_t failures = 0;
    TimePoint backOffUntil{};
    bool quarantined = false;  // gets no more work: tasks fail here that succeed elsewhere
    bool draining = false;     // gets no more work: to be terminated

    // Its network path
    /// Inbound-partitioned: the machine's reports arrive, but responses do not reach it. It gets no
    /// more work until `inboundPartitionedUntil`, and the autoscaler replaces its capacity. To
    /// detect it: the answered heartbeats of this incarnation, the number of responses in a row
    /// that the machine did not act on, and when a heartbeat was last answered.
    std::uint32_t answeredHeartbeats = 0, ignoredResponses = 0;
    TimePoint lastAnsweredAt{}, inboundPartitionedUntil{};
    bool inboundPartitioned = false;
    /// Outbound-partitioned: the machine answers direct requests, but its heartbeats do not arrive,
    /// so nothing renews its lease. Only services are placed there, and only for lack of other
    /// capacity. Until heartbeats arrive again, tasks that can write a checkpoint do so, and tasks
    /// that can be moved are moved.
    bool outboundPartitioned = false;
    std::uint32_t unansweredProbes = 0;  // since its last new report

    // Bookkeeping of the scheduler
    TimePoint nextTimerAt = TimePoint::max();  // when time alone next changes something here
    bool capacityDirty = false;                // its entry in the capacity index is out of date

    [[nodiscard]] bool up() const { return presence == Presence::up; }
    /// The allocation of this attempt, or nullptr if there is none.
    Allocation* findAllocation(const Job& job, std::uint32_t task, Attempt attempt) {
        // Reports list tasks in about the order in which they were allocated. So the search starts
        // where the last one ended; else a report of hundreds of tasks would take quadratic time.
        for (std::size_t n = 0; n < allocations.size(); ++n, ++searchCursor) {
            if (searchCursor >= allocations.size()) searchCursor = 0;
            Allocation& found = allocations[searchCursor];
            if (found.job == &job && found.task == task && found.attempt == attempt) return &found;
        }
        return nullptr;
    }
    std::size_t searchCursor = 0;  // where findAllocation() goes on
};

/// Every machine that this leader knows of. Indices and references stay valid, since no machine is
/// ever removed.
class MachineRegistry {
  public:
    /// The index of the machine, which is added if it was not known.
    MachineIndex indexOf(const std::string& name) {
        const auto [it, fresh] = byName_.try_emplace(name, static_cast<MachineIndex>(all_.size()));
        if (fresh) {
            all_.emplace_back();
            all_.back().name = name;
        }
        return it->second;
    }
    /// Nothing if the machine is not known.
    [[nodiscard]] std::optional<MachineIndex> find(const std::string& name) const {
        const auto it = byName_.find(name);
        return it == byName_.end() ? std::nullopt : std::optional(it->second);
    }
    Machine& operator[](MachineIndex i) { return all_[i]; }
    const Machine& operator[](MachineIndex i) const { return all_[i]; }
    [[nodiscard]] MachineIndex size() const { return static_cast<MachineIndex>(all_.size()); }
    auto begin() { return all_.begin(); }
    auto end() { return all_.end(); }
    [[nodiscard]] auto begin() const { return all_.begin(); }
    [[nodiscard]] auto end() const { return all_.end(); }

  private:
    std::deque<Machine> all_;  // references stay valid as it grows
    std::unordered_map<std::string, MachineIndex> byName_;
};

}  // namespace basaltchute::worker_api
