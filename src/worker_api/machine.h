#pragma once
// What a leader knows of each machine: its agent, its lease, its tasks and the state of its network
// path. Plain data; `scheduler::Cluster` alone changes it.
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

/// `expected`: on record or in the cloud's list, but no report has come. `gone`: deleted for good.
enum class Presence { expected, up, gone };

struct Machine {
    std::string name, address, type, zone;
    std::string listedZone;  // by the cloud's list, for one that has not reported yet
    bool spot = false;
    Presence presence = Presence::expected;

    // The agent and its lease
    std::uint64_t incarnation = 0, heartbeatSequence = 0;
    std::uint64_t endedIncarnation = 0;  // incarnations up to this one are surely over
    TimePoint lastHeardAt{};             // of its last new report, whatever it came by
    TimePoint lastHeartbeatAt{};         // of the last new report that it sent by itself
    TimePoint sequenceSeenAt{};  // of `incarnation` and `heartbeatSequence`, whatever was in them
    TimePoint leaseEnd{};        // when its lease has surely run out, whoever renewed it last
    TimePoint upSince{};
    std::optional<TimePoint> interruptionAt;  // spot: the cloud takes it back then

    // Its tasks
    std::vector<Allocation> allocations;
    /// As last reported, and the version of the job's record that holds what the exit proves. A
    /// later change of the same record is no reason to wait: a large array's changes all the time.
    std::map<TaskAttempt, std::uint64_t> terminalStatuses;
    std::size_t lastReportBytes = 0;         // of the last report
    std::vector<ReportedTask> unknownTasks;  // on it, but of no job on record
    /// Attempts that the worker must not forget: a late direct launch would start them again.
    std::set<TaskAttempt> tombstones;
    std::map<std::string, TimePoint> cachedImages;  // in its cache, and when last used
    bool commandInFlight = false;                   // a direct request has not ended yet

    // Its health
    std::set<JobId> failedJobs;  // since its last success
    std::uint32_t failures = 0;
    TimePoint backOffUntil{};
    bool quarantined = false;  // tasks fail here that succeed elsewhere: it gets no more work
    bool draining = false;     // to be terminated: it gets no more work

    // Its network path
    /// Inbound-partitioned: its reports arrive, but responses do not reach it. Heartbeats of this
    /// incarnation that were answered, when the last one was, and how many responses in a row the
    /// machine did not act on. It gets no more work until `inboundPartitionedUntil`, and the
    /// autoscaler replaces its capacity.
    std::uint32_t answeredHeartbeats = 0, ignoredResponses = 0;
    TimePoint lastAnsweredAt{}, inboundPartitionedUntil{};
    bool inboundPartitioned = false;
    /// Outbound-partitioned: it answers direct requests, but its heartbeats do not arrive, so that
    /// nothing renews its lease. Only services are placed there, and only where there is no other
    /// capacity; what can write a checkpoint or be moved is, until it reports again.
    bool outboundPartitioned = false;
    std::uint32_t unansweredProbes = 0;  // since its last new report

    // Bookkeeping of the scheduler
    TimePoint nextTimerAt =
        TimePoint::max();        // when the passing of time next changes something here
    bool capacityDirty = false;  // its entry in the capacity index is out of date

    [[nodiscard]] bool up() const { return presence == Presence::up; }
    /// The allocation of this attempt, or nullptr if there is none.
    Allocation* findAllocation(const Job& job, std::uint32_t task, Attempt attempt) {
        // Reports list tasks in much the order in which they were allocated: the search goes on
        // where the last one ended, or a machine with hundreds of tasks costs their square.
        for (std::size_t n = 0; n < allocations.size(); ++n, ++searchCursor) {
            if (searchCursor >= allocations.size()) searchCursor = 0;
            Allocation& found = allocations[searchCursor];
            if (found.job == &job && found.task == task && found.attempt == attempt) return &found;
        }
        return nullptr;
    }
    std::size_t searchCursor = 0;
};

/// Every machine this leader knows of. Indices and references stay valid: none is ever removed.
class MachineRegistry {
  public:
    MachineIndex indexOf(const std::string& name) {
        const auto [it, fresh] = byName_.try_emplace(name, static_cast<MachineIndex>(all_.size()));
        if (fresh) {
            all_.emplace_back();
            all_.back().name = name;
        }
        return it->second;
    }
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
