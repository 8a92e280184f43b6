#pragma once
// Speaks to worker machines on a leader's behalf: sends the commands that cannot wait for a
// heartbeat, and probes machines that have become silent. Owns the connections to them. Called by
// the term's effects and its autoscaling.
#include <set>

#include "controller/leader_term_context.h"

namespace basaltchute::controller {

/// Direct commands to machines, and probes of them.
class MachineCommands {
  public:
    explicit MachineCommands(LeaderTermContext& context);
    /// Sends the direct commands of a machine until there are none or one is not answered.
    Task<void> sendDirectCommands(MachineIndex machine);
    /// Probes a silent machine for a report, several times in a row: a dead one is told from one
    /// that is late within a second or two. No more than one such series runs for a machine.
    Task<void> probe(MachineIndex machine);
    /// Probes a machine that reports but seems not to receive its responses (inbound-partitioned);
    /// its silence is no evidence that it is dead.
    Task<void> probeInbound(MachineIndex machine);
    /// Whether this node's own connections to the zone's machines fail.
    [[nodiscard]] bool directPathFailing(const std::string& zone) const {
        return sender_.directPathFailing(zone);
    }
    /// Notified when a probed machine has not answered.
    [[nodiscard]] Event& machineUnresponsive() { return machineUnresponsive_; }

  private:
    using SendResult = worker_api::CommandSender::SendResult;
    using RelayPolicy = worker_api::CommandSender::RelayPolicy;
    [[nodiscard]] worker_api::CommandSender::Target target(MachineIndex machine) const;
    Task<SendResult> sendCommands(MachineIndex machine, std::vector<worker_api::Command> commands);
    Task<SendResult> requestReport(MachineIndex machine);
    /// Takes in the report of a probe that was answered, and wakes the scheduler for it.
    void applyProbeResponse(const http::RequestOutcome& outcome);
    /// Takes in a report that came as a response; false if it made this node step down.
    bool applyReport(const std::string& body);

    LeaderTermContext& context_;
    worker_api::CommandSender sender_;
    Event machineUnresponsive_;
    std::set<MachineIndex> probing_;
};

}  // namespace basaltchute::controller
