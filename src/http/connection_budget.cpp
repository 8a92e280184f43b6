#include "http/connection_budget.h"

#include <algorithm>
#include <numeric>

namespace basaltchute::http {

ConnectionShares ConnectionShares::undivided(std::size_t total) {
    return {total, total, total, 0, 0};
}

ConnectionShares ConnectionShares::divided(std::size_t total) {
    ConnectionShares shares;
    shares.total = total;
    shares.unclassified = std::max<std::size_t>(1, total / 8);
    shares.clients = std::max<std::size_t>(1, total - total / 4);
    shares.agents = std::max<std::size_t>(1, total - total / 3);
    shares.keptAgents = shares.agents - shares.agents / 8;
    return shares;
}

void ConnectionBudget::classified(ConnectionClass kind) {
    closed(ConnectionClass::unclassified);
    opened(kind);
}

bool ConnectionBudget::awaitsRequests() const {
    return count(ConnectionClass::unclassified) >= shares_.unclassified;
}

bool ConnectionBudget::keepsAgent(bool alreadyKept) const {
    const std::size_t notKept = shares_.agents - shares_.keptAgents;
    const std::size_t reservedForOthers =
        count(ConnectionClass::client) + shares_.unclassified + std::max<std::size_t>(1, notKept);
    const std::size_t available =
        shares_.total > reservedForOthers ? shares_.total - reservedForOthers : 0;
    const std::size_t maxKept = std::min(shares_.keptAgents, available);
    return alreadyKept ? keptAgents_ <= maxKept : keptAgents_ < maxKept;
}

std::size_t ConnectionBudget::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::size_t{0});
}

std::size_t ConnectionBudget::share(ConnectionClass kind) const {
    switch (kind) {
        case ConnectionClass::client:
            return shares_.clients;
        case ConnectionClass::agent:
            return shares_.agents;
        case ConnectionClass::unclassified:
            break;
    }
    return shares_.unclassified;
}

}  // namespace basaltchute::http
