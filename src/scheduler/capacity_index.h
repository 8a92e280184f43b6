#pragma once
// Which machines have how much free capacity: what placement searches instead of every machine.
//
// Owns: the free capacity of each machine that is open to work, the sets of machines ordered by it,
// and for how many replicas of each class there is warm capacity.
// Guarantees: agrees with a recount from the machines' capacities alone (`recount`); an update
// costs what has changed on one machine. Called by: `Cluster`, which updates it when something on a
// machine changes, and searches it.
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::scheduler {

inline constexpr double epsilon = 1e-6;  // amounts are decimal fractions

/// In every resource.
inline bool fits(const Resources& need, const Resources& have) {
    return need.cores <= have.cores + epsilon && need.gpus <= have.gpus + epsilon &&
           need.ramGb <= have.ramGb + epsilon;
}
/// How many of them fit at once; a million at most.
std::uint32_t maxReplicasThatFit(const Resources& each, const Resources& have);

/// What placement has to know of a machine that is open to work: computed anew whenever something
/// on that machine changes.
struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    bool hasServices = false;          // replicas of services are on it
    bool outboundPartitioned = false;  // what is placed there ends with a lease that nothing renews
    int reservationDistance = 2;       // from bound cells: `cells::CellPool::distanceToBoundCells`
    Resources free;                    // beside everything that is possibly on it
    /// By rank: what would be free if everything gave way that work of that rank may preempt.
    static constexpr std::size_t preempting = 3;
    std::array<Resources, preempting> reclaimable;
    std::vector<std::string> images, fetching;  // in its cache, and on their way there; sorted

    bool operator==(const FreeCapacity&) const = default;
};

/// Machines ordered by their free capacity.
class CapacitySet {
  public:
    void insert(const Resources& free, MachineIndex machine) {
        byCapacity_.emplace(free.cores, free.ramGb, free.gpus, machine);
    }
    void erase(const Resources& free, MachineIndex machine) {
        byCapacity_.erase({free.cores, free.ramGb, free.gpus, machine});
    }
    [[nodiscard]] bool empty() const { return byCapacity_.empty(); }

    /// Calls `visit` for machines on which `need` fits, the fullest first, until it returns
    /// true. Machines that have the cores but not the memory are skipped as a group, so that the
    /// search costs what it finds and not what there is.
    template <typename Visit>
    bool visitFitting(const Resources& need, Visit visit) const {
        const double ram = need.ramGb - epsilon;
        auto it = byCapacity_.lower_bound({need.cores - epsilon, ram, 0, 0});
        while (it != byCapacity_.end()) {
            const auto& [cores, ramFree, gpus, machine] = *it;
            if (ramFree < ram) {
                it = byCapacity_.lower_bound({cores, ram, 0, 0});
                continue;
            }
            if (need.gpus <= gpus + epsilon && visit(machine)) return true;
            ++it;
        }
        return false;
    }
    bool operator==(const CapacitySet&) const = default;

  private:
    std::set<std::tuple<double, double, double, MachineIndex>> byCapacity_;
};

class CapacityIndex {
  public:
    /// Machines that are alike to a job that looks for capacity.
    struct Pool {
        CapacitySet all;
        std::map<std::string, CapacitySet> cached, fetching;  // by image
        std::array<CapacitySet, FreeCapacity::preempting> reclaimable;
        bool operator==(const Pool&) const = default;
    };
    /// What makes machines alike; pools are iterated in the order of these members.
    struct PoolKey {
        std::string type, zone;
        bool spot = false, hasServices = false, outboundPartitioned = false;
        int reservationDistance = 0;
        auto operator<=>(const PoolKey&) const = default;
    };

    /// The machine is open to work, with that capacity.
    void update(MachineIndex machine, const FreeCapacity& capacity);
    /// The machine is closed to work.
    void remove(MachineIndex machine);
    /// Nullptr if the machine is closed to work.
    [[nodiscard]] const FreeCapacity* find(MachineIndex machine) const {
        const auto it = capacities_.find(machine);
        return it == capacities_.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const std::map<PoolKey, Pool>& pools() const { return pools_; }
    /// Rises whenever some machine has more than before: what did not fit may fit now.
    [[nodiscard]] std::uint64_t increaseCount() const { return increaseCount_; }

    // Warm capacity: on ordinary machines that have the images of a class whose tasks must start at
    // once. A class counts what the largest of its jobs asked for, and images while a job with
    // them is open.
    void addWarmDemand(const std::string& jobClass, Priority rank, const Resources& each,
                       const std::string& image, std::uint32_t tasks);
    void removeWarmDemand(const std::string& jobClass, const std::string& image);
    /// Whether work of this rank may take that much there and leave enough warm capacity to the
    /// ranks above it.
    [[nodiscard]] bool keepsWarmCapacity(MachineIndex machine, const Resources& taken,
                                         Priority rank) const;

    /// Which share of the images that have to stay warm the machine has, from 0 to 1.
    [[nodiscard]] double imageLocality(MachineIndex machine) const;

    /// The same computed from the machines' capacities alone.
    [[nodiscard]] CapacityIndex recount() const;
    [[nodiscard]] bool equals(const CapacityIndex& other) const {
        return pools_ == other.pools_ && warm_ == other.warm_;
    }

  private:
    struct Warm {
        Priority rank = Priority::production;
        Resources perTask;
        std::uint32_t replicasPerImage = 3;  // to keep free: for all tasks of the largest job
        std::map<std::string, std::uint32_t> jobs, freeReplicas;  // by image
        bool operator==(const Warm&) const = default;
    };
    void addToIndex(MachineIndex machine, const FreeCapacity& capacity);
    void removeFromIndex(MachineIndex machine, const FreeCapacity& capacity);
    static void count(Warm& warm, const FreeCapacity& capacity, bool add);

    std::unordered_map<MachineIndex, FreeCapacity> capacities_;
    std::map<PoolKey, Pool> pools_;
    std::map<std::string, Warm> warm_;
    std::uint64_t increaseCount_ = 0;
};

}  // namespace basaltchute::scheduler
