#pragma once
// What teams are entitled to: limits, fair-share weights, and reservations in HiveD's cells.
//
// A reservation guarantees its team a number of cells (a slot, a machine or a group of machines of
// one zone) of a machine type; tasks of other teams run there opportunistically and give way (Zhao
// et al., "HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees", OSDI 2020). A team's
// reservation in cores or GPUs names no type: it may be met by slots of any, within its sum.
//
// Owns: what each team uses, in total and within its reservation, the cells of each machine type,
// and which machine cells several tasks of one team share.
// Guarantees: the use of a team is the sum over the allocations that were added and not removed;
// every bound cell belongs to such an allocation, or is returned by the caller that bound it.
// Called by: `Cluster` alone, which tells it every allocation and every machine.
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaler/catalogue.h"
#include "cells/cells.h"
#include "jobs/job.h"
#include "settings/operator_settings.h"
#include "settings/settings.h"
#include "worker_api/machine.h"

namespace basaltchute::scheduler {

class Quota {
  public:
    using UsableMachine = std::function<bool(MachineIndex)>;
    /// Cells on one machine that a task may be bound in.
    struct ReservedCells {
        std::vector<cells::CellIndex> cells;  // at least one
        bool sharedWithOthers = false;        // bound already, with other tasks of the team in it
    };

    /// All of them must live as long as the quota; the operator's settings and the catalogue may
    /// change meanwhile.
    Quota(const settings::Settings& settings, const settings::OperatorSettings& operatorSettings,
          const autoscaler::Catalogue& catalogue)
        : settings_(settings), operator_(operatorSettings), catalogue_(catalogue) {}

    // Teams
    [[nodiscard]] bool knowsTeam(const std::string& team) const { return find(team) != nullptr; }
    /// Whether the team's limit could not hold the job even if nothing else of the team ran. Tasks
    /// of an array need not run together, those of a gang or a service do.
    [[nodiscard]] bool exceedsLimit(const JobSpec& spec) const;
    /// Whether one more task of the job stays within its team's limit.
    [[nodiscard]] bool withinLimit(const JobSpec& spec) const;
    /// Whether one more task of the job may claim its team's reservation.
    [[nodiscard]] bool withinReservation(const JobSpec& spec) const;
    /// Cores in use by the team over its fair-share weight: the team with the least goes next.
    [[nodiscard]] double weightedUse(const std::string& team) const;
    /// Of everything that is possibly running, by team.
    [[nodiscard]] const std::unordered_map<std::string, Resources>& useByTeam() const {
        return use_;
    }
    void addUse(const JobSpec& spec) { use_[spec.team] += spec.demand; }
    void removeUse(const JobSpec& spec) { use_[spec.team] -= spec.demand; }

    // Cells
    [[nodiscard]] const std::map<std::string, cells::CellPool>& pools() const { return pools_; }
    /// Makes the cells of a machine type, with what is reserved of it; false if they exist already.
    bool addPool(const autoscaler::MachineType& type);
    /// False if its type has no cells: it is not in the catalogue.
    bool addMachine(MachineIndex index, const worker_api::Machine& machine);
    void removeMachine(MachineIndex index, const worker_api::Machine& machine);
    /// How far the machine is from cells that are bound: `cells::CellPool::distanceToBoundCells`.
    [[nodiscard]] int reservationDistance(MachineIndex index,
                                          const worker_api::Machine& machine) const;
    /// Slots that a task of the job takes on a machine of the type; 0 if the type is not known.
    [[nodiscard]] std::uint32_t slotsFor(const JobSpec& spec, const std::string& type) const;
    /// Binds slots of the team's reservation for a task of the job, all on one machine.
    std::optional<std::vector<cells::CellIndex>> bindSlots(const JobSpec& spec,
                                                           const std::string& type,
                                                           const UsableMachine& usable);
    /// Finds cells of the type for a task of the job: a machine cell that its team's tasks share
    /// already, else slots, else a whole machine cell that later tasks may share.
    std::optional<ReservedCells> bindCells(const JobSpec& spec, const std::string& type,
                                           const UsableMachine& usable);
    /// Returns cells in which nothing was allocated after all.
    void unbindCells(const std::string& type, const ReservedCells& bound);
    /// The machine that the cells lie on.
    [[nodiscard]] MachineIndex machineOf(const std::string& type, const ReservedCells& bound) const;
    /// Counts the allocation in its cells, or as opportunistic use of the machine. Returns the
    /// machines whose reservation distance may have changed.
    std::vector<MachineIndex> occupyCells(worker_api::Allocation& allocation, MachineIndex index,
                                          const worker_api::Machine& machine);
    /// Undoes that; a cell is returned with the last of its tasks.
    std::vector<MachineIndex> vacateCells(const worker_api::Allocation& allocation,
                                          MachineIndex index, const worker_api::Machine& machine);

  private:
    /// A machine cell that a team's tasks share: bound with the first, returned with the last.
    struct SharedCell {
        std::string team;
        std::uint32_t usedSlots = 0, tasks = 0;
    };
    [[nodiscard]] const settings::Team* find(const std::string& team) const;
    cells::CellPool* poolOf(const std::string& type);
    [[nodiscard]] std::optional<cells::CellIndex> findSharedCell(const std::string& team,
                                                                 const std::string& type,
                                                                 std::uint32_t slots,
                                                                 const UsableMachine& usable) const;

    const settings::Settings& settings_;
    const settings::OperatorSettings& operator_;
    const autoscaler::Catalogue& catalogue_;
    std::unordered_map<std::string, Resources> use_, reservedUse_;                // by team
    std::map<std::string, cells::CellPool> pools_;                                // by machine type
    std::map<std::pair<std::string, cells::CellIndex>, SharedCell> sharedCells_;  // by machine type
};

}  // namespace basaltchute::scheduler
