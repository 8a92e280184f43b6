#include "worker_api/agent_connections.h"

namespace basaltchute::worker_api {

std::shared_ptr<http::Client> AgentConnections::clientFor(MachineIndex machine,
                                                          const std::string& address) {
    if (const auto it = byMachine_.find(machine); it != byMachine_.end()) {
        connections_.splice(connections_.end(), connections_, it->second);
        return it->second->client;
    }
    for (auto connection = connections_.begin();
         byMachine_.size() >= maxConnections_ && connection != connections_.end();) {
        const auto next = std::next(connection);
        // Whoever has a request in flight holds a pointer to the client as well.
        if (connection->client.use_count() == 1) drop(connection->machine);
        connection = next;
    }
    connections_.push_back({machine, std::make_shared<http::Client>(loop_, address, 1)});
    byMachine_[machine] = std::prev(connections_.end());
    return connections_.back().client;
}

void AgentConnections::drop(MachineIndex machine) {
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return;
    connections_.erase(it->second);
    byMachine_.erase(it);
}

}  // namespace basaltchute::worker_api
