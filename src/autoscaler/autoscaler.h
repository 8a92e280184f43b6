#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "runtime_statistics/runtime_statistics.h"
#include "scheduler/cluster.h"

namespace basaltchute::autoscaler {

struct ListedMachine {
    std::string name, address, type, zone, status;
    bool spot = false;
    double ageS = 0;
};
struct ScaleOutRequest {
    std::string booking, type, zone;
    bool spot = false;
    unsigned count = 1;
};
struct ScalingPlan {
    std::vector<ScaleOutRequest> scaleOut;
    std::vector<std::string> terminate;
    std::vector<MachineIndex> probe;        // silent ones: whether they can be reached
    std::vector<MachineIndex> probeSample;  // not late yet: a sample, or others are dying
};

/// Cores that the fleet should have, by the kind of machine that may serve them.
struct CapacityTarget {
    double ordinary = 0;      // for work that must not run on spot machines
    double spot = 0;          // for work that may
    double ordinaryUsed = 0;  // ordinary ones that such work uses for want of spot ones
    double forDeadlines = 0;  // more, for such work that would miss its deadline otherwise
    double ordinaryForOpportunistic =
        0;  // more, for borrowers that no spot machines are to be had for
};

/// Decides which machines to rent and to return. Pure: the cloud's answers come in as values.
class Autoscaler {
  public:
    explicit Autoscaler(scheduler::Cluster& cluster, TimePoint now)
        : cluster_(cluster), since_(now) {}
    void onMachineList(const std::vector<ListedMachine>& all, TimePoint now);
    /// Every rental of it must be ended by rented() or rentFailed().
    ScalingPlan plan(TimePoint now);
    void onScaledOut(const ScaleOutRequest& rent, const std::vector<std::string>& names,
                     TimePoint now);
    /// `settled`: the cloud refused, so nothing was or will be rented under this booking.
    void onScaleOutFailed(const ScaleOutRequest& rent, bool settled, TimePoint now);
    void onTerminated(const std::vector<std::string>& names, TimePoint now);
    runtime_statistics::RuntimeStatistics& statistics() { return statistics_; }

  private:
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    struct BootingMachine {
        Pool pool;
        TimePoint since;
        bool starting = true;
    };
    struct ClassDemand {
        /// An objective wants its tasks to start sooner than machines come, so that idle room is
        /// worth its price.
        bool wantsWarmCapacity = false;
        bool opportunistic = false;  // runs on what the others leave idle
        bool spotAllowed = false;
        Resources perTask;
        double imageGb = 0;  // the largest of late
        double now = 0, smooth = 0, peak = 0, largestJob = 0;
    };
    void measureDemand(TimePoint now);
    /// How much of what a team's jobs of each rank want its limit lets run, the highest first.
    void measureLimits();
    [[nodiscard]] double withinLimit(const Job& job) const;
    /// From when a machine is asked for until a share `q` of the class's tasks that wait for it
    /// run there, on the type that comes soonest of those that serve the class.
    [[nodiscard]] Duration startupTimeQuantile(const ClassDemand& c, double q) const;
    /// An objective cannot be met by machines that are asked for when the work is there.
    [[nodiscard]] bool needsWarmCapacity(const std::string& jobClass, const ClassDemand& c) const;
    /// Cores that must be added for waiting work with deadlines to start in time.
    [[nodiscard]] double missingCoresForDeadlines(TimePoint now) const;
    /// Cores that borrowing work lacks, beyond what others leave idle, to be done in time; of work
    /// that may use spot machines, or of work that may not. `spotScarce`: what runs on ordinary
    /// ones for want of others counts as well.
    [[nodiscard]] double missingCoresForOpportunistic(bool spotAllowed, bool spotScarce,
                                                      TimePoint now) const;
    /// All that would serve was refused lately.
    [[nodiscard]] bool spotScarce(TimePoint now) const;
    void replaceStuck(TimePoint now);
    void scaleIn(TimePoint now);
    void removeUnresponsive(TimePoint now, ScalingPlan& plan);
    void evacuateDraining(TimePoint now);
    void scaleOut(TimePoint now, ScalingPlan& plan);
    std::string nextBooking();
    [[nodiscard]] bool mayScaleOut(const Pool& pool, TimePoint now) const;
    [[nodiscard]] std::uint32_t machinesOf(const std::string& type) const;
    [[nodiscard]] std::uint32_t ordinaryOf(const std::string& type) const;
    enum class Kind { ordinary, spot, ordinaryForSpotWork };
    double scaleOutBy(double lack, Kind kind, TimePoint now, ScalingPlan& plan);
    struct Capacity {
        double ordinary = 0, spot = 0;  // cores that can be given work
    };
    [[nodiscard]] Capacity capacity(bool withComing) const;
    [[nodiscard]] bool servesSpot(const std::string& type) const;
    [[nodiscard]] double coresOf(const std::string& type) const;
    [[nodiscard]] double pricePerCore(const MachineType& type, bool spot) const;

    scheduler::Cluster& cluster_;
    runtime_statistics::RuntimeStatistics statistics_;
    TimePoint since_;
    TimePoint measuredAt_{}, lastFullProbeAt_{}, lastSampleProbeAt_{};
    std::deque<std::pair<TimePoint, std::string>> recentlyLost_;  // within a lease, with the zone
    std::map<std::string, ClassDemand> classes_;
    std::map<std::string, std::map<Priority, double>> withinLimit_;  // shares, of teams with limits
    CapacityTarget target_;
    bool wantsWarmSpot_ = false;  // some class that may use spot machines should start soon
    std::map<MachineIndex, TimePoint> surplusSince_;
    std::map<std::string, BootingMachine> booting_;  // rented, not up yet
    std::map<Pool, TimePoint> backOffUntil_;
    std::map<Pool, ScaleOutRequest>
        unresolvedRequests_;  // answers lost: asked again under the same name
    std::map<Pool, ScaleOutRequest>
        requestsInFlight_;               // on their way to the cloud; one for each pool
    std::set<std::string> toTerminate_;  // to be deleted
    std::uint64_t bookings_ = 0;
    bool everListed_ = false;
    std::set<std::string> names_, namesBefore_;  // as last listed, and in the list before
};

}  // namespace basaltchute::autoscaler
