#pragma once
// Connections to the machines' agents. Used by `worker_api::CommandSender`.
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/client.h"
#include "jobs/job.h"

namespace basaltchute::worker_api {

/// Keeps connections to agents open for direct requests. Their number is limited, since there may
/// be more machines than sockets: beyond the limit the least recently used connection is closed,
/// but never one with a request in flight, since that request would count as unanswered.
class AgentConnections {
  public:
    /// The loop must live as long as the connections.
    AgentConnections(EventLoop& loop, std::size_t maxConnections)
        : loop_(loop), maxConnections_(maxConnections) {}
    /// The connection to the machine, made if there is none. The caller holds the pointer for as
    /// long as its request is in flight; that keeps the connection from being closed.
    std::shared_ptr<http::Client> clientFor(MachineIndex machine, const std::string& address);
    /// Closes the connection to the machine, if there is one.
    void drop(MachineIndex machine);
    [[nodiscard]] std::size_t size() const { return byMachine_.size(); }

  private:
    struct Connection {
        MachineIndex machine;
        std::shared_ptr<http::Client> client;
    };
    EventLoop& loop_;
    std::size_t maxConnections_;
    std::list<Connection> connections_;  // least recently used first
    std::unordered_map<MachineIndex, std::list<Connection>::iterator> byMachine_;
};

}  // namespace basaltchute::worker_api
