#pragma once
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/client.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

/// Kept connections to workers, for direct orders: at most so many, since there may be more
/// machines than sockets. Beyond that the one unused for longest is closed, never one with an
/// order under way: that launch would count as unanswered.
class AgentConnections {
  public:
    AgentConnections(EventLoop& loop, std::size_t most) : loop_(loop), maxConnections_(most) {}
    std::shared_ptr<http::Client> clientFor(MachineIndex machine, const std::string& address);
    void drop(MachineIndex machine);
    [[nodiscard]] std::size_t size() const { return byMachine_.size(); }

  private:
    struct Kept {
        MachineIndex machine;
        std::shared_ptr<http::Client> client;
    };
    EventLoop& loop_;
    std::size_t maxConnections_;
    std::list<Kept> kept_;  // longest unused first
    std::unordered_map<MachineIndex, std::list<Kept>::iterator> byMachine_;
};

}  // namespace basaltchute::worker_api
