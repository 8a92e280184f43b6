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
std::uint32_t copies(const Demand& each, const Demand& have);

/// What placement has to know of a machine that may be given work: made anew whenever something
/// on that machine changes.
struct Offer {
    std::string type, zone;
    bool spot = false;
    bool lasting = false;  // has replicas on it
    bool mute = false;     // what is put there ends with a lease that nothing may renew
    int distance = 2;      // from guaranteed cells
    Demand free;           // beside all that is possibly on it
    /// By rank: what would be free if all gave way that may be stopped for work of that rank.
    static constexpr std::size_t preempting = 3;
    std::array<Demand, preempting> reclaimable;
    std::vector<std::string> images, fetching;  // sorted

    bool operator==(const Offer&) const = default;
};

/// Machines by their room.
class RoomSet {
  public:
    void insert(const Demand& room, MachineIndex machine) {
        byRoom_.emplace(room.cores, room.ramGb, room.gpus, machine);
    }
    void erase(const Demand& room, MachineIndex machine) {
        byRoom_.erase({room.cores, room.ramGb, room.gpus, machine});
    }
    [[nodiscard]] bool empty() const { return byRoom_.empty(); }

    /// Calls `visit` for machines on which `need` fits, the fullest first, until it returns
    /// true. What has the cores but not the memory is jumped over as a group, so that the search
    /// costs what it finds and not what there is.
    template <typename Visit>
    bool ascend(const Demand& need, Visit visit) const {
        const double ram = need.ramGb - epsilon;
        auto it = byRoom_.lower_bound({need.cores - epsilon, ram, 0, 0});
        while (it != byRoom_.end()) {
            const auto& [cores, ramHere, gpus, machine] = *it;
            if (ramHere < ram) {
                it = byRoom_.lower_bound({cores, ram, 0, 0});
                continue;
            }
            if (need.gpus <= gpus + epsilon && visit(machine)) return true;
            ++it;
        }
        return false;
    }
    bool operator==(const RoomSet&) const = default;

  private:
    std::set<std::tuple<double, double, double, MachineIndex>> byRoom_;
};

/// Which machines have how much room, by pool and image: the index that placement looks into
/// instead of at every machine. It follows offers, and is the only owner of what it counts.
class Room {
  public:
    /// Machines that are alike to a job that looks for room.
    struct Pool {
        RoomSet all;
        std::map<std::string, RoomSet> cached, fetching;  // by image
        std::array<RoomSet, Offer::preempting> reclaimable;
        bool operator==(const Pool&) const = default;
    };
    /// Type, zone, spot, lasting, mute, distance.
    using PoolKey = std::tuple<std::string, std::string, bool, bool, bool, int>;

    void offer(MachineIndex machine, const Offer& offer);
    void withdraw(MachineIndex machine);
    [[nodiscard]] const Offer* of(MachineIndex machine) const {
        const auto it = offers_.find(machine);
        return it == offers_.end() ? nullptr : &it->second;
    }
    [[nodiscard]] const std::map<PoolKey, Pool>& pools() const { return pools_; }
    /// Rises whenever some machine offers more than before: what did not fit may fit now.
    [[nodiscard]] std::uint64_t gains() const { return gains_; }

    // Warm room: on ordinary machines that have the images of a class whose tasks must start at
    // once. A class counts what the largest of its jobs asked for, images while a job is open.
    void wantWarm(const std::string& jobClass, Priority rank, const Demand& each,
                  const std::string& image, std::uint32_t tasks);
    void unwantWarm(const std::string& jobClass, const std::string& image);
    /// Whether work of this rank may take that much there and leave enough places warm.
    [[nodiscard]] bool staysWarm(MachineIndex machine, const Demand& taken, Priority rank) const;

    /// What share of the images that have to stay warm the machine has.
    [[nodiscard]] double warmth(MachineIndex machine) const;

    /// The same counted plainly, from the offers alone.
    [[nodiscard]] Room recount() const;
    [[nodiscard]] bool agrees(const Room& other) const {
        return pools_ == other.pools_ && warm_ == other.warm_;
    }

  private:
    struct Warm {
        Priority rank = Priority::production;
        Demand each;
        std::uint32_t keep = 3;  // places per image: for all tasks of the largest job
        std::map<std::string, std::uint32_t> jobs, room;  // by image
        bool operator==(const Warm&) const = default;
    };
    void list(MachineIndex machine, const Offer& offer);
    void unlist(MachineIndex machine, const Offer& offer);
    static void count(Warm& warm, const Offer& offer, bool add);

    std::unordered_map<MachineIndex, Offer> offers_;
    std::map<PoolKey, Pool> pools_;
    std::map<std::string, Warm> warm_;
    std::uint64_t gains_ = 0;
};

}  // namespace basaltchute::scheduler
