#pragma once
// Autoscaler: decides which machines to create and which to delete, so that the fleet has the
// capacity that the jobs and the service level objectives need at a low price.
//
// Owns: the target capacity, the machines that are still booting, the requests to the cloud whose
// outcome is open, and the machines to be deleted. Does no input or output and reads no clock: the
// cloud's answers come in as values, and a `ScalingPlan` goes out. Called by the leader's term
// (`controller::LeaderTerm`), which carries out a plan about once a second; reads and changes the
// machines through `scheduler::Cluster`.
//
// The implementation is split by task: demand (the target capacity), autoscaler (creating and
// draining machines), failure_detection (machines that never came up or do not answer any more).
//
// Terms: a spot machine may be taken back by the cloud on short notice; an ordinary machine is not.
// Spot work may run on spot machines as well as on ordinary ones. Opportunistic work runs on
// capacity that other work leaves idle (`Cluster::isOpportunistic`).
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runtime_statistics/runtime_statistics.h"
#include "scheduler/cluster.h"

namespace basaltchute::autoscaler {

/// A machine as the cloud lists it. The list lags behind by up to `Settings::cloudListLag`.
struct ListedMachine {
    std::string name, address, type, zone, status;
    bool spot = false;
    double ageSeconds = 0;
};

/// A request to the cloud to create `count` machines of one type in one zone.
struct ScaleOutRequest {
    /// Makes the request idempotent: the cloud creates machines for an identifier only once.
    std::string requestId;
    std::string type, zone;
    bool spot = false;
    unsigned count = 1;
};

/// What the caller has to do next.
struct ScalingPlan {
    std::vector<ScaleOutRequest> scaleOut;
    std::vector<std::string> terminate;  // names of machines to delete
    /// Machines that may be unresponsive: to be probed over any path.
    std::vector<MachineIndex> probe;
    /// Machines whose reports are not overdue, to be probed as a sample, or because others are
    /// unresponsive.
    std::vector<MachineIndex> probeSample;
};

/// The capacity that the fleet should have, in cores.
struct CapacityTarget {
    double ordinary = 0;  // for work that must not run on spot machines
    double spot = 0;      // for spot work
    /// Ordinary cores that spot work uses because there are not enough spot machines.
    double ordinaryUsedBySpotWork = 0;
    /// Additional cores for spot work that would otherwise miss its deadline.
    double extraForDeadlines = 0;
    /// Additional ordinary cores for opportunistic work while no spot machines are available.
    double ordinaryForOpportunistic = 0;
};

/// Plans which machines to create, probe and delete. See the top of this file.
class Autoscaler {
  public:
    /// `now`: the beginning of the leader's term. The cluster must live as long as the autoscaler.
    explicit Autoscaler(scheduler::Cluster& cluster, TimePoint now)
        : cluster_(cluster), startedAt_(now) {}
    /// Takes in a complete list of the machines in the cloud.
    void onMachineList(const std::vector<ListedMachine>& all, TimePoint now);
    /// Decides what to do next. Each of the plan's scale-out requests must be followed by
    /// onScaledOut() or onScaleOutFailed(); until then its machines count as being created.
    ScalingPlan plan(TimePoint now);
    /// Records the machines that the cloud has created for a request, perhaps fewer than requested.
    void onScaledOut(const ScaleOutRequest& request, const std::vector<std::string>& names,
                     TimePoint now);
    /// Records that a scale-out request failed. `refused`: the cloud has created nothing under this
    /// request ID and will not do so. Otherwise the outcome is unknown, and the request is sent
    /// again under the same ID.
    void onScaleOutFailed(const ScaleOutRequest& request, bool refused, TimePoint now);
    /// Records that the cloud has deleted the machines.
    void onTerminated(const std::vector<std::string>& names, TimePoint now);
    /// The observed boot times, which the caller keeps in the state service.
    runtime_statistics::RuntimeStatistics& statistics() { return statistics_; }

  private:
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    struct BootingMachine {
        Pool pool;
        TimePoint requestedAt;
        bool starting = true;  // according to the cloud's list
    };
    /// The work of one job class and what it needs.
    struct ClassDemand {
        /// Whether an objective requires tasks of this class to start sooner than a new machine is
        /// ready, so that idle capacity is worth its price.
        bool wantsWarmCapacity = false;
        bool opportunistic = false;
        bool spotAllowed = false;
        Resources perTask;
        double largestImageGb = 0;
        /// Cores wanted now, the same smoothed over time, the most ever wanted, and those wanted by
        /// the largest job.
        double currentCores = 0, smoothedCores = 0, peakCores = 0, largestJobCores = 0;
    };

    // Demand
    void measureDemand(TimePoint now);
    /// Computes, for each team with a limit and each priority, which share of the cores that its
    /// jobs of that priority want fits within the limit. Higher priorities are served first.
    void measureTeamLimits();
    /// The share of the job's cores that its team's limit lets run, from 0 to 1.
    [[nodiscard]] double shareWithinLimit(const Job& job) const;
    /// The quantile `q` (0 to 1) of the time from the request for a machine until a task of the
    /// class that waits for it runs there, for the machine type that is ready soonest among those
    /// on which the task fits.
    [[nodiscard]] Duration startupTimeQuantile(const ClassDemand& c, double q) const;
    /// Whether the class has an objective that cannot be met by machines that are requested only
    /// when the work arrives.
    [[nodiscard]] bool needsWarmCapacity(const std::string& jobClass, const ClassDemand& c) const;
    /// Cores that must be added for waiting work with deadlines to start in time.
    [[nodiscard]] double missingCoresForDeadlines(TimePoint now) const;
    /// Cores that opportunistic work needs to be done in time, in addition to those that other work
    /// leaves idle. `spotAllowed`: whether to count only the work that may use spot machines, or
    /// only the work that may not. `spotUnavailable`: also counts work that runs on ordinary
    /// machines for lack of spot machines.
    [[nodiscard]] double missingCoresForOpportunistic(bool spotAllowed, bool spotUnavailable,
                                                      TimePoint now) const;
    /// Whether the cloud has recently refused every pool of spot machines that spot work could use.
    [[nodiscard]] bool spotUnavailable(TimePoint now) const;

    // Failure detection
    /// Records the boot times of machines that are up, and deletes those that never came up.
    void replaceFailedBoots(TimePoint now);
    /// Plans probes, and deletes machines that do not answer them.
    void removeUnresponsive(TimePoint now, ScalingPlan& plan);

    // Scaling
    /// Adds the requests for the machines that are missing from the target.
    void scaleOut(TimePoint now, ScalingPlan& plan);
    /// Drains machines that have exceeded the target capacity for a while.
    void scaleIn(TimePoint now);
    /// Moves work off draining machines, and deletes those that are empty.
    void evacuateDraining(TimePoint now);
    enum class MachineKind { ordinary, spot, ordinaryForSpotWork };
    /// Requests machines with `cores` cores in total, the cheapest types first. Returns the cores
    /// that could not be requested.
    double requestCores(double cores, MachineKind kind, TimePoint now, ScalingPlan& plan);
    std::string nextRequestId();
    /// Whether no request for the pool is open and none has been refused recently.
    [[nodiscard]] bool mayScaleOut(const Pool& pool, TimePoint now) const;
    /// How many ordinary machines of the type the operators want to be kept ready.
    [[nodiscard]] std::uint32_t machinesKeptReady(const std::string& type) const;
    /// Ordinary machines of the type that can be given work, are booting or have been requested.
    [[nodiscard]] std::uint32_t ordinaryMachineCount(const std::string& type) const;
    /// Cores that can be given work.
    struct Capacity {
        double ordinary = 0, spot = 0;
    };
    /// The cores that can be given work. `includePending`: also counts machines that are booting or
    /// have been requested.
    [[nodiscard]] Capacity capacity(bool includePending) const;
    /// Whether a machine of the type is large enough for the spot work there is. Opportunistic work
    /// counts only if there is no other spot work.
    [[nodiscard]] bool suitsSpotWork(const std::string& type) const;
    [[nodiscard]] double coresOf(const std::string& type) const;
    [[nodiscard]] double pricePerCore(const MachineType& type, bool spot) const;

    scheduler::Cluster& cluster_;
    runtime_statistics::RuntimeStatistics statistics_;
    TimePoint startedAt_;  // of the leader's term
    TimePoint demandMeasuredAt_{}, lastFullProbeAt_{}, lastSampleProbeAt_{};
    /// Unresponsive machines that were removed within the last lease: when, and in which zone.
    std::deque<std::pair<TimePoint, std::string>> recentlyRemoved_;
    std::map<std::string, ClassDemand> classes_;
    std::map<std::string, std::map<Priority, double>> shareWithinLimit_;  // by team and priority
    CapacityTarget target_;
    bool wantsWarmSpot_ = false;  // some class of spot work wants warm capacity
    std::map<MachineIndex, TimePoint> surplusSince_;
    std::map<std::string, BootingMachine> booting_;  // requested or listed, not up yet
    std::map<Pool, TimePoint> backOffUntil_;         // after the cloud refused a request
    /// Requests whose answers were lost; they are sent again under the same request ID.
    std::map<Pool, ScaleOutRequest> unresolvedRequests_;
    std::map<Pool, ScaleOutRequest> requestsInFlight_;  // at most one for each pool
    std::set<std::string> toTerminate_;                 // names of machines to be deleted
    std::uint64_t requestCount_ = 0;
    bool listReceived_ = false;
    /// The names in the latest list of the cloud, and in the one before.
    std::set<std::string> listedNames_, previouslyListedNames_;
};

}  // namespace basaltchute::autoscaler
