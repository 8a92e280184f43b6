#pragma once
// The simulated fault `repeated_commands`: direct commands that an agent has executed and answered
// arrive at it once more. Owned by Simulation, one for each site.
#include <deque>
#include <functional>
#include <string>

#include "simulator/network.h"

namespace basaltchute::simulator {

/// Remembers the direct commands that agents have answered, and delivers copies of them, each whole
/// and in order: a share of them after a drawn delay of up to three leases, and all that were
/// answered within that time when a controller or a machine is back within a second. Copies are
/// made only while the fault is active; they may arrive after its end.
class CommandRepeater {
  public:
    /// Delivers the body of a direct request to the agent on that machine.
    using Deliver = std::function<void(const std::string& machine, const std::string& body)>;
    /// The timeline must outlive the repeater.
    CommandRepeater(Timeline& time, Duration lease, Deliver deliver)
        : time_(time), maxDelay_(lease * leasesRemembered), deliver_(std::move(deliver)) {}
    /// Starts the fault, or one more that overlaps with it; the newest share counts.
    void begin(double share);
    /// Ends what one call of begin() started.
    void end() { --active_; }
    /// An agent has executed the commands in that body and has answered.
    void onAnswered(const std::string& machine, const std::string& body);
    /// A controller or a machine that had ended is back, after `downtime`.
    void onRestart(Duration downtime);

  private:
    /// A direct request that an agent has executed and answered.
    struct AnsweredRequest {
        TimePoint at;
        std::string machine, body;
    };
    static constexpr int leasesRemembered = 3;
    void dropOldRequests();

    Timeline& time_;
    Duration maxDelay_;
    Deliver deliver_;
    int active_ = 0;  // faults that overlap
    double share_ = 0;
    std::deque<AnsweredRequest> answered_;  // the oldest first
};

}  // namespace basaltchute::simulator
