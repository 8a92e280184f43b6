#pragma once
// What teams are entitled to: limits, fair-share weights and reservations.
//
// A reservation guarantees its team a number of cells of a machine type. A cell is a slot, a
// machine or a group of machines in one zone. Tasks of other teams run in idle cells
// opportunistically and are preempted when the owner needs them (Zhao et al., "HiveD: Sharing a GPU
// Cluster for Deep Learning with Guarantees", OSDI 2020). A reservation in cores or GPUs names no
// machine type: slots of any type count towards it, up to its amount.
//
// State: what each team uses, in total and within its reservation, the cells of each machine type,
// and the machine cells that several tasks of one team share. The usage of a team is the sum over
// the allocations that were added and not removed. Every bound cell belongs to such an allocation,
// or is returned by the caller that bound it. Called by `Cluster` only, which reports every
// allocation and every machine.
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

/// See the top of this file.
class Quota {
  public:
    /// Whether cells on a machine may be bound.
    using MachineFilter = std::function<bool(MachineIndex)>;
    /// Cells on one machine that a task may be bound in.
    struct ReservedCells {
        std::vector<cells::CellIndex> cells;  // at least one
        bool sharedWithOthers = false;        // a cell that other tasks of the team use already
    };

    /// All arguments must outlive the quota. The operator's settings and the catalogue may change
    /// meanwhile.
    Quota(const settings::Settings& settings, const settings::OperatorSettings& operatorSettings,
          const autoscaler::Catalogue& catalogue)
        : settings_(settings), operator_(operatorSettings), catalogue_(catalogue) {}

    // Teams
    [[nodiscard]] bool knowsTeam(const std::string& team) const {
        return findTeam(team) != nullptr;
    }
    /// Whether the job exceeds its team's limit even if nothing else of the team runs. The tasks of
    /// an array need not run at the same time, so one of them has to fit; those of a gang or a
    /// service must all fit.
    [[nodiscard]] bool exceedsLimit(const JobSpec& spec) const;
    /// Whether one more task of the job stays within its team's limit.
    [[nodiscard]] bool withinLimit(const JobSpec& spec) const;
    /// Whether one more task of the job may use its team's reservation.
    [[nodiscard]] bool withinReservation(const JobSpec& spec) const;
    /// Cores in use by the team, divided by its fair-share weight. The team with the lowest value
    /// is served next.
    [[nodiscard]] double weightedUsage(const std::string& team) const;
    /// The resources of everything that may be running, by team.
    [[nodiscard]] const std::unordered_map<std::string, Resources>& usageByTeam() const {
        return usage_;
    }
    void addUsage(const JobSpec& spec) { usage_[spec.team] += spec.demand; }
    void removeUsage(const JobSpec& spec) { usage_[spec.team] -= spec.demand; }

    // Cells
    [[nodiscard]] const std::map<std::string, cells::CellPool>& pools() const { return pools_; }
    /// Creates the cells of a machine type and sets what is reserved of them. Returns false if they
    /// exist already.
    bool addPool(const autoscaler::MachineType& type);
    /// Adds the cells of a machine. Returns false if its type has none, as it is not in the
    /// catalogue.
    bool addMachine(MachineIndex index, const worker_api::Machine& machine);
    void removeMachine(MachineIndex index, const worker_api::Machine& machine);
    /// See `cells::CellPool::distanceToBoundCells`.
    [[nodiscard]] int reservationDistance(MachineIndex index,
                                          const worker_api::Machine& machine) const;
    /// How many slots a task of the job takes on a machine of the type. 0 if the type is unknown.
    [[nodiscard]] std::uint32_t slotsFor(const JobSpec& spec, const std::string& type) const;
    /// Binds slots of the team's reservation for a task of the job, all on one machine. Returns
    /// nothing if there are not enough.
    std::optional<std::vector<cells::CellIndex>> bindSlots(const JobSpec& spec,
                                                           const std::string& type,
                                                           const MachineFilter& usable);
    /// Binds cells of the type for a task of the job: preferably a machine cell that tasks of its
    /// team share already, else slots, else a whole machine cell, which later tasks may share.
    std::optional<ReservedCells> bindCells(const JobSpec& spec, const std::string& type,
                                           const MachineFilter& usable);
    /// Releases cells that were bound but not used for an allocation.
    void unbindCells(const std::string& type, const ReservedCells& bound);
    /// The machine that the cells are on.
    [[nodiscard]] MachineIndex machineOf(const std::string& type, const ReservedCells& bound) const;
    /// Counts a new allocation in its cells, or as opportunistic use of the machine if it has none.
    /// Returns the machines whose reservation distance may have changed.
    std::vector<MachineIndex> occupyCells(worker_api::Allocation& allocation, MachineIndex index,
                                          const worker_api::Machine& machine);
    /// Reverts `occupyCells`. A cell is released with the last of its tasks.
    std::vector<MachineIndex> vacateCells(const worker_api::Allocation& allocation,
                                          MachineIndex index, const worker_api::Machine& machine);

  private:
    /// A machine cell that tasks of one team share. Bound for the first, released with the last.
    struct SharedCell {
        std::string team;
        std::uint32_t usedSlots = 0, tasks = 0;
    };
    [[nodiscard]] const settings::Team* findTeam(const std::string& team) const;
    cells::CellPool* poolOf(const std::string& type);
    [[nodiscard]] std::optional<cells::CellIndex> findSharedCell(const std::string& team,
                                                                 const std::string& type,
                                                                 std::uint32_t slots,
                                                                 const MachineFilter& usable) const;

    const settings::Settings& settings_;
    const settings::OperatorSettings& operator_;
    const autoscaler::Catalogue& catalogue_;
    std::unordered_map<std::string, Resources> usage_, reservedUsage_;  // by team
    std::map<std::string, cells::CellPool> pools_;                      // by machine type
    std::map<std::pair<std::string, cells::CellIndex>, SharedCell>
        sharedCells_;  // by type and cell
};

}  // namespace basaltchute::scheduler
