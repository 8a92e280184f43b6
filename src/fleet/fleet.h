#pragma once
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

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
};

/// Decides which machines to rent and to return. Pure: the cloud's answers come in as values.
class Fleet {
  public:
    explicit Fleet(scheduler::Cluster& cluster) : cluster_(cluster) {}
    void listed(const std::vector<Listed>& all, TimePoint now);
    Plan plan(TimePoint now);
    void rented(const Rent& rent, const std::vector<std::string>& names, TimePoint now);
    /// `settled`: the cloud refused, so nothing was or will be rented under this booking.
    void rentFailed(const Rent& rent, bool settled, TimePoint now);
    void removed(const std::vector<std::string>& names, TimePoint now);

  private:
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    struct Coming {
        Pool pool;
        TimePoint since;
    };
    void wanted(TimePoint now, Plan& plan);

    scheduler::Cluster& cluster_;
    std::map<std::string, Coming> coming_;  // rented, not up yet
    std::map<Pool, TimePoint> refusedUntil_;
    std::map<Pool, Rent> unsettled_;  // answers lost: asked again under the same name
    std::set<std::string> dead_;      // to be deleted: failed, stuck, or given up
    std::uint64_t bookings_ = 0;
    bool everListed_ = false;
};

}  // namespace basaltchute::fleet
