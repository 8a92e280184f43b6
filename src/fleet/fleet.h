#pragma once
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "experience/experience.h"
#include "scheduler/cluster.h"

namespace basaltchute::fleet {

struct Listed {
    std::string name, address, type, zone, status;
    bool spot = false;
    double ageS = 0;
};
struct Rent {
    std::string booking, type, zone;
    bool spot = false;
    unsigned count = 1;
};
struct Plan {
    std::vector<Rent> rent;
    std::vector<std::string> remove;
    std::vector<MachineIndex> ask;    // silent ones: whether they can be reached
    std::vector<MachineIndex> sweep;  // not late yet: a sample, or others are dying
};

/// Cores that the fleet should have, by the kind of machine that may serve them.
struct Target {
    double ordinary = 0;      // for work that must not run on spot machines
    double spot = 0;          // for work that may
    double ordinaryUsed = 0;  // ordinary ones that such work uses for want of spot ones
    double late = 0;          // more, for such work that would miss its deadline otherwise
    double lentOrdinary = 0;  // more, for borrowers that no spot machines are to be had for
};

/// Decides which machines to rent and to return. Pure: the cloud's answers come in as values.
class Fleet {
  public:
    explicit Fleet(scheduler::Cluster& cluster, TimePoint now) : cluster_(cluster), since_(now) {}
    void listed(const std::vector<Listed>& all, TimePoint now);
    /// Every rental of it must be ended by rented() or rentFailed().
    Plan plan(TimePoint now);
    void rented(const Rent& rent, const std::vector<std::string>& names, TimePoint now);
    /// `settled`: the cloud refused, so nothing was or will be rented under this booking.
    void rentFailed(const Rent& rent, bool settled, TimePoint now);
    void removed(const std::vector<std::string>& names, TimePoint now);
    experience::Experience& experience() { return experience_; }

  private:
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    struct Coming {
        Pool pool;
        TimePoint since;
        bool starting = true;
    };
    struct ClassDemand {
        /// An objective wants its tasks to start sooner than machines come, so that idle room is
        /// worth its price.
        bool warm = false;
        bool borrows = false;  // runs on what the others leave idle
        bool spotAllowed = false;
        Demand each;
        double imageGb = 0;  // the largest of late
        double now = 0, smooth = 0, peak = 0, largestJob = 0;
    };
    void measure(TimePoint now);
    /// How much of what a team's jobs of each rank want its limit lets run, the highest first.
    void measureLimits();
    [[nodiscard]] double withinLimit(const Job& job) const;
    /// From when a machine is asked for until a share `q` of the class's tasks that wait for it
    /// run there, on the type that comes soonest of those that serve the class.
    [[nodiscard]] Duration comesWithin(const ClassDemand& c, double q) const;
    /// An objective cannot be met by machines that are asked for when the work is there.
    [[nodiscard]] bool mustBeWarm(const std::string& jobClass, const ClassDemand& c) const;
    /// Cores that must be added for waiting work with deadlines to start in time.
    [[nodiscard]] double lackForDeadlines(TimePoint now) const;
    /// Cores that borrowing work lacks, beyond what others leave idle, to be done in time; of work
    /// that may use spot machines, or of work that may not. `spotScarce`: what runs on ordinary
    /// ones for want of others counts as well.
    [[nodiscard]] double lackForBorrowers(bool spotAllowed, bool spotScarce, TimePoint now) const;
    /// All that would serve was refused lately.
    [[nodiscard]] bool spotScarce(TimePoint now) const;
    void replaceStuck(TimePoint now);
    void shrink(TimePoint now);
    void giveUpSilent(TimePoint now, Plan& plan);
    void emptyDraining(TimePoint now);
    void grow(TimePoint now, Plan& plan);
    std::string nextBooking();
    [[nodiscard]] bool mayAsk(const Pool& pool, TimePoint now) const;
    [[nodiscard]] std::uint32_t heldOf(const std::string& type) const;
    [[nodiscard]] std::uint32_t ordinaryOf(const std::string& type) const;
    enum class Kind { ordinary, spot, ordinaryForSpotWork };
    double rentFor(double lack, Kind kind, TimePoint now, Plan& plan);
    struct Have {
        double ordinary = 0, spot = 0;  // cores that can be given work
    };
    [[nodiscard]] Have have(bool withComing) const;
    [[nodiscard]] bool servesSpot(const std::string& type) const;
    [[nodiscard]] double coresOf(const std::string& type) const;
    [[nodiscard]] double pricePerCore(const MachineType& type, bool spot) const;

    scheduler::Cluster& cluster_;
    experience::Experience experience_;
    TimePoint since_;
    TimePoint measuredAt_{}, sweptAt_{}, sampledAt_{};
    std::deque<std::pair<TimePoint, std::string>> givenUpAt_;  // within a lease, with the zone
    std::map<std::string, ClassDemand> classes_;
    std::map<std::string, std::map<Priority, double>> withinLimit_;  // shares, of teams with limits
    Target target_;
    bool warm_ = false;  // some class that may use spot machines should start soon
    std::map<MachineIndex, TimePoint> surplusSince_;
    std::map<std::string, Coming> coming_;  // rented, not up yet
    std::map<Pool, TimePoint> refusedUntil_;
    std::map<Pool, Rent> unsettled_;  // answers lost: asked again under the same name
    std::map<Pool, Rent> asking_;     // on their way to the cloud; one for each pool
    std::set<std::string> dead_;      // to be deleted
    std::uint64_t bookings_ = 0;
    bool everListed_ = false;
    std::set<std::string> names_, namesBefore_;  // as last listed, and in the list before
};

}  // namespace basaltchute::fleet
