#pragma once
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cells/cells.h"
#include "worker_api/status_report.h"

namespace basaltchute::worker_api {

/// An attempt that is possibly on a machine. It keeps its resources until there is proof that
/// it is not: an exit reported, a newer session, a lease that has surely run out, or the
/// cloud's answer that the machine is deleted.
struct Allocation {
    Job* job = nullptr;
    std::uint32_t task = 0;
    Attempt attempt = 0;
    std::uint64_t recordVersion = 0;    // of the job's record that holds the binding
    bool confirmed = false;             // reported in this session
    bool launchSent = false;            // a launch has left
    bool directLaunchInFlight = false;  // a direct launch is in flight
    bool directLaunchUnresolved =
        false;              // a direct launch went unanswered: it may arrive minutes later
    bool adopted = false;   // bound by a former leader
    bool orphaned = false;  // on the machine, but not where its task belongs
    bool stopSent = false;
    bool launchInLastResponse = false;     // its launch was in the answer to the last beat
    std::uint64_t lastReportedIn = 0;      // the last report that mentioned it running
    std::vector<cells::CellIndex> cells;   // of its team's reservation; none: low priority
    std::uint32_t opportunisticSlots = 0;  // counted in the low-priority view
};

enum class Presence { expected, up, gone };

struct Machine {
    std::string name, address, type, zone;
    std::string listedZone;  // by the cloud's list, for one that has not reported yet
    bool spot = false;
    Presence presence = Presence::expected;
    std::uint64_t incarnation = 0, heartbeatSequence = 0;
    std::uint64_t endedIncarnation = 0;  // sessions up to this one are surely over
    TimePoint lastHeardAt{};             // when its last news came
    TimePoint lastHeartbeatAt{};         // when the last that it sent by itself came
    TimePoint sequenceSeenAt{};          // when `session` and `sequence` came, whatever they told
    TimePoint leaseEnd{};  // when its lease has surely run out, whoever answered it last
    std::optional<TimePoint> interruptionAt;
    std::vector<Allocation> allocations;
    using TaskAttempt = std::tuple<JobId, std::uint32_t, Attempt>;
    /// As last reported, and the version of the job's record that holds what the exit proves. A
    /// later change of the same record is no reason to wait: a large array's changes all the time.
    std::map<TaskAttempt, std::uint64_t> terminalStatuses;
    std::size_t reportBytes = 0;             // of the last report
    std::vector<ReportedTask> unknownTasks;  // on it, but of no job on record
    /// Attempts that must stay known to the worker: a late direct launch would start them again.
    std::set<TaskAttempt> tombstones;
    std::map<std::string, TimePoint> images;  // seen here, and when last used
    std::set<JobId> failedJobs;               // since its last success
    std::uint32_t failures = 0;
    TimePoint backOffUntil{};
    bool quarantined = false;
    bool draining = false;  // to be returned: it gets no more work
    TimePoint upSince{};
    bool commandInFlight = false;
    /// It may report without hearing: answered beats of this session, the last one's time, and how
    /// many in a row came without what the answer before had asked for. No more work goes there
    /// until `deafUntil`, and others are rented for it.
    std::uint32_t answeredHeartbeats = 0, ignoredResponses = 0;
    TimePoint answeredAt{}, inboundPartitionedUntil{};
    bool inboundPartitioned = false;
    /// It answers, but its reports do not come: nothing renews its lease. Work goes there only
    /// where there is no other room, and what can be saved or moved is, until it reports again.
    bool outboundPartitioned = false;
    std::uint32_t unansweredProbes = 0;    // times it was asked in vain since its last news
    TimePoint timerAt = TimePoint::max();  // when the passing of time next changes something here
    bool capacityDirty = false;            // its offer of room has to be made anew

    [[nodiscard]] bool up() const { return presence == Presence::up; }
    /// The charge for this attempt, or nullptr if there is none.
    Allocation* findAllocation(const Job& job, std::uint32_t task, Attempt attempt) {
        // Reports list tasks in much the order in which they were charged: the search goes on
        // where the last one ended, or a machine with hundreds of tasks costs their square.
        for (std::size_t n = 0; n < allocations.size(); ++n, ++searchCursor) {
            if (searchCursor >= allocations.size()) searchCursor = 0;
            Allocation& c = allocations[searchCursor];
            if (c.job == &job && c.task == task && c.attempt == attempt) return &c;
        }
        return nullptr;
    }
    std::size_t searchCursor = 0;
};

/// Every machine this leader has heard of. Indices stay valid for good.
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
