#pragma once
#include <array>
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

inline bool fits(const Demand& need, const Demand& have) {
    return need.cores <= have.cores + epsilon && need.gpus <= have.gpus + epsilon &&
           need.ramGb <= have.ramGb + epsilon;
}
/// How many of them fit at once.
std::uint32_t maxReplicasThatFit(const Demand& each, const Demand& have);

/// What placement has to know of a machine that may be given work: made anew whenever something
/// on that machine changes.
struct FreeCapacity {
    std::string type, zone;
    bool spot = false;
    bool hasServices = false;          // has replicas on it
    bool outboundPartitioned = false;  // what is put there ends with a lease that nothing may renew
    int reservationDistance = 2;       // from guaranteed cells
    Demand free;                       // beside all that is possibly on it
    /// By rank: what would be free if all gave way that may be stopped for work of that rank.
    static constexpr std::size_t preempting = 3;
    std::array<Demand, preempting> reclaimable;
    std::vector<std::string> images, fetching;  // sorted

    bool operator==(const FreeCapacity&) const = default;
};

/// Machines by their room.
class CapacitySet {
  public:
    void insert(const Demand& room, MachineIndex machine) {
        byCapacity_.emplace(room.cores, room.ramGb, room.gpus, machine);
    }
    void erase(const Demand& room, MachineIndex machine) {
        byCapacity_.erase({room.cores, room.ramGb, room.gpus, machine});
    }
    [[nodiscard]] bool empty() const { return byCapacity_.empty(); }

    /// Calls `visit` for machines on which `need` fits, the fullest first, until it returns
    /// true. What has the cores but not the memory is jumped over as a group, so that the search
    /// costs what it finds and not what there is.
    template <typename Visit>
    bool visitFitting(const Demand& need, Visit visit) const {
        const double ram = need.ramGb - epsilon;
        auto it = byCapacity_.lower_bound({need.cores - epsilon, ram, 0, 0});
        while (it != byCapacity_.end()) {
            const auto& [cores, ramHere, gpus, machine] = *it;
            if (ramHere < ram) {
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

/// Which machines have how much room, by pool and image: the index that placement looks into
/// instead of at every machine. It follows offers, and is the only owner of what it counts.
class CapacityIndex {
  public:
    /// Machines that are alike to a job that looks for room.
    struct Pool {
        CapacitySet all;
        std::map<std::string, CapacitySet> cached, fetching;  // by image
        std::array<CapacitySet, FreeCapacity::preempting> reclaimable;
        bool operator==(const Pool&) const = default;
    };
    /// Type, zone, spot, lasting, mute, distance.
    using PoolKey = std::tuple<std::string, std::string, bool, bool, bool, int>;

    void update(MachineIndex machine, const FreeCapacity& offer);
    void remove(MachineIndex machine);
    [[nodiscard]] const FreeCapacity* find(MachineIndex machine) const {
        const auto it = capacities_.find(machine);
        return it == capacities_.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const std::map<PoolKey, Pool>& pools() const { return pools_; }
    /// Rises whenever some machine offers more than before: what did not fit may fit now.
    [[nodiscard]] std::uint64_t increaseCount() const { return increaseCount_; }

    // Warm room: on ordinary machines that have the images of a class whose tasks must start at
    // once. A class counts what the largest of its jobs asked for, images while a job is open.
    void addWarmDemand(const std::string& jobClass, Priority rank, const Demand& each,
                       const std::string& image, std::uint32_t tasks);
    void removeWarmDemand(const std::string& jobClass, const std::string& image);
    /// Whether work of this rank may take that much there and leave enough places warm.
    [[nodiscard]] bool keepsWarmCapacity(MachineIndex machine, const Demand& taken,
                                         Priority rank) const;

    /// What share of the images that have to stay warm the machine has.
    [[nodiscard]] double imageLocality(MachineIndex machine) const;

    /// The same counted plainly, from the offers alone.
    [[nodiscard]] CapacityIndex recount() const;
    [[nodiscard]] bool equals(const CapacityIndex& other) const {
        return pools_ == other.pools_ && warm_ == other.warm_;
    }

  private:
    struct Warm {
        Priority rank = Priority::production;
        Demand perTask;
        std::uint32_t replicasPerImage = 3;  // places per image: for all tasks of the largest job
        std::map<std::string, std::uint32_t> jobs, freeReplicas;  // by image
        bool operator==(const Warm&) const = default;
    };
    void addToIndex(MachineIndex machine, const FreeCapacity& offer);
    void removeFromIndex(MachineIndex machine, const FreeCapacity& offer);
    static void count(Warm& warm, const FreeCapacity& offer, bool add);

    std::unordered_map<MachineIndex, FreeCapacity> capacities_;
    std::map<PoolKey, Pool> pools_;
    std::map<std::string, Warm> warm_;
    std::uint64_t increaseCount_ = 0;
};

}  // namespace basaltchute::scheduler
