#pragma once
// Runs the autoscaler within a leader's term: polls the cloud, scales out and in, has silent
// machines probed, finds partitioned zones, and keeps the run-time statistics across terms. Owns
// the autoscaler and the cloud client. Called by `LeaderTerm`.
#include "autoscaler/autoscaler.h"
#include "autoscaler/cloud_client.h"
#include "controller/machine_commands.h"

namespace basaltchute::controller {

/// The autoscaling routines of one term.
class TermAutoscaling {
  public:
    TermAutoscaling(LeaderTermContext& context, MachineCommands& commands);
    /// Spawns its routines in the term's scope, once all records are loaded.
    void start();
    /// Whether the record of that key holds statistics of this type.
    [[nodiscard]] static bool ownsRecord(const std::string& key);
    /// The record of such a key as it is to be written.
    [[nodiscard]] kv_store::EncodedRecord encode(const std::string& key);

  private:
    Task<void> run();
    /// Keeps up with the cloud's catalogue and list of machines.
    Task<void> pollCloud();
    Task<void> pollCatalogue();
    Task<void> pollMachineList();
    Task<void> scaleOut(autoscaler::ScaleOutRequest request);
    Task<void> scaleIn(std::vector<std::string> machines);
    void startProbes(const autoscaler::ScalingPlan& plan);
    /// Finds zones whose machines and controllers are silent alike.
    void detectPartitionedZones();
    [[nodiscard]] bool isPartitioned(const std::string& zone) const;
    Task<void> loadStatistics();
    /// Writes the statistics now and then, for the next leader.
    Task<void> persistStatistics();

    LeaderTermContext& context_;
    MachineCommands& commands_;
    autoscaler::CloudClient cloud_;
    autoscaler::Autoscaler autoscaler_;
    TimePoint nextCataloguePoll_{}, nextMachineListPoll_{};
};

}  // namespace basaltchute::controller
