#include "worker_api/agent_connections.h"

namespace basaltchute::worker_api {

std::shared_ptr<http::Client> AgentConnections::clientFor(MachineIndex machine,
                                                          const std::string& address) {
    if (const auto it = byMachine_.find(machine); it != byMachine_.end()) {
        kept_.splice(kept_.end(), kept_, it->second);
        return it->second->client;
    }
    for (auto k = kept_.begin(); byMachine_.size() >= maxConnections_ && k != kept_.end();) {
        const auto next = std::next(k);
        // Whoever has an order under way holds the client as well.
        if (k->client.use_count() == 1) drop(k->machine);
        k = next;
    }
    kept_.push_back({machine, std::make_shared<http::Client>(loop_, address, 1)});
    byMachine_[machine] = std::prev(kept_.end());
    return kept_.back().client;
}

void AgentConnections::drop(MachineIndex machine) {
    const auto it = byMachine_.find(machine);
    if (it == byMachine_.end()) return;
    kept_.erase(it->second);
    byMachine_.erase(it);
}

}  // namespace basaltchute::worker_api
