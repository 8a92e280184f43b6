#pragma once
// An index of machines by their free capacity, which placement searches instead of every machine.
//
// State: the free capacity of each machine that accepts work, the sets of machines ordered by it,
// and for how many service replicas of each job class there is warm capacity: free capacity on a
// machine that has the image already. The index agrees with one computed from the machines'
// capacities alone (`recount`), and the cost of an update depends on what has changed on the one
// machine. Called by `Cluster`, which updates the index when something on a machine changes, and
// searches it.
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

/// Tolerance for comparing amounts of resources, which are decimal fractions.
inline constexpr double resourceEpsilon = 1e-6;

/// Whether there is enough of every resource.
inline bool fits(const Resources& need, const Resources& have) {
    return need.cores <= have.cores + resourceEpsilon && need.gpus <= have.gpus + resourceEpsilon &&
           need.ramGb <= have.ramGb + resourceEpsilon;
}
/// How many replicas that need `each` fit into `have`, at most a million.
std::uint32_t maxReplicasThatFit(const Resources& each, const Resources& have);

/// What placement needs to know of a machine that accepts work. Recomputed whenever something on
/// the machine changes.
struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    bool hasServices = false;          // replicas of services are on it
    bool outboundPartitioned = false;  // nothing renews its lease, so tasks on it end with that
    int reservationDistance = 2;       // see `cells::CellPool::distanceToBoundCells`
    Resources free;                    // capacity less everything that is possibly on the machine
    /// How many priorities may preempt others: all but the lowest.
    static constexpr std::size_t preemptingPriorities = 3;
    /// By priority: what would be free if everything that work of the priority may preempt were
    /// stopped.
    std::array<Resources, preemptingPriorities> reclaimable;
    std::vector<std::string> cachedImages;    // sorted
    std::vector<std::string> fetchingImages;  // being fetched for tasks on the machine; sorted

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

    /// Calls `visit` for machines on which `need` fits, those with the fewest free cores first,
    /// until it returns true. Returns whether it did. Machines that have the cores but not the
    /// memory are skipped together, so that the cost depends on the machines that fit and not on
    /// the number of machines.
    template <typename Visit>
    bool visitFitting(const Resources& need, Visit visit) const {
        const double ram = need.ramGb - resourceEpsilon;
        auto it = byCapacity_.lower_bound({need.cores - resourceEpsilon, ram, 0, 0});
        while (it != byCapacity_.end()) {
            const auto& [cores, ramFree, gpus, machine] = *it;
            if (ramFree < ram) {
                it = byCapacity_.lower_bound({cores, ram, 0, 0});
                continue;
            }
            if (need.gpus <= gpus + resourceEpsilon && visit(machine)) return true;
            ++it;
        }
        return false;
    }
    bool operator==(const CapacitySet&) const = default;

  private:
    std::set<std::tuple<double, double, double, MachineIndex>> byCapacity_;
};

/// See the top of this file.
class CapacityIndex {
  public:
    /// Machines that do not differ in anything but their free capacity and their images.
    struct MachineGroup {
        CapacitySet all;
        std::map<std::string, CapacitySet> cached, fetching;  // by image
        std::array<CapacitySet, FreeCapacity::preemptingPriorities> reclaimable;
        bool operator==(const MachineGroup&) const = default;
    };
    /// The properties that the machines of a group share. Groups are iterated in the order of these
    /// members.
    struct MachineGroupKey {
        std::string type, zone;
        bool spot = false, hasServices = false, outboundPartitioned = false;
        int reservationDistance = 0;
        auto operator<=>(const MachineGroupKey&) const = default;
    };

    /// Adds a machine that accepts work, or replaces its capacity.
    void update(MachineIndex machine, const FreeCapacity& capacity);
    /// The machine does not accept work any more.
    void remove(MachineIndex machine);
    /// Returns nullptr if the machine does not accept work.
    [[nodiscard]] const FreeCapacity* find(MachineIndex machine) const {
        const auto it = capacities_.find(machine);
        return it == capacities_.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const std::map<MachineGroupKey, MachineGroup>& machineGroups() const {
        return machineGroups_;
    }
    /// Rises whenever a machine gains capacity, so that a task that did not fit may fit now.
    [[nodiscard]] std::uint64_t increaseCount() const { return increaseCount_; }

    // Warm capacity: free capacity on on-demand machines that have the images of a job class whose
    // tasks must start at once. A class wants as much as the largest of its jobs, and an image
    // counts while a job that uses it is open.

    /// A job of the class has been opened, with `tasks` tasks that need `each`.
    void addWarmDemand(const std::string& jobClass, Priority priority, const Resources& each,
                       const std::string& image, std::uint32_t tasks);
    /// A job of the class has been closed.
    void removeWarmDemand(const std::string& jobClass, const std::string& image);
    /// Whether work of this priority may take `taken` on the machine and still leave enough warm
    /// capacity to higher priorities.
    [[nodiscard]] bool leavesEnoughWarmCapacity(MachineIndex machine, const Resources& taken,
                                                Priority priority) const;

    /// The share of the images of all warm classes that the machine has, from 0 to 1.
    [[nodiscard]] double imageLocality(MachineIndex machine) const;

    /// The same index computed from the machines' capacities alone. For tests, like `equals`.
    [[nodiscard]] CapacityIndex recount() const;
    [[nodiscard]] bool equals(const CapacityIndex& other) const {
        return machineGroups_ == other.machineGroups_ && warmClasses_ == other.warmClasses_;
    }

  private:
    struct WarmClass {
        Priority priority = Priority::production;
        Resources perTask;                   // the maximum over its jobs, in each resource
        std::uint32_t replicasPerImage = 3;  // to keep free, at least as many as any job has tasks
        std::map<std::string, std::uint32_t> jobs;          // open ones, by image
        std::map<std::string, std::uint32_t> freeReplicas;  // that fit on machines, by image
        bool operator==(const WarmClass&) const = default;
    };
    void addToIndex(MachineIndex machine, const FreeCapacity& capacity);
    void removeFromIndex(MachineIndex machine, const FreeCapacity& capacity);
    /// Adds the replicas that fit on a machine of that capacity, or subtracts them.
    static void updateFreeReplicas(WarmClass& warm, const FreeCapacity& capacity, bool add);

    std::unordered_map<MachineIndex, FreeCapacity> capacities_;
    std::map<MachineGroupKey, MachineGroup> machineGroups_;
    std::map<std::string, WarmClass> warmClasses_;  // by job class
    std::uint64_t increaseCount_ = 0;
};

}  // namespace basaltchute::scheduler
