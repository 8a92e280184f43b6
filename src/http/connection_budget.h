#pragma once
// Divides the connections of an HTTP server between clients and agents. Used by Server.
#include <array>
#include <cstddef>

namespace basaltchute::http {

/// The kind of peer at the other end of a connection. Its first request determines it.
enum class ConnectionClass {
    unclassified,  // no request has arrived yet
    client,        // users, health probes, and whatever else is not an agent
    agent,         // a worker machine that sends heartbeats
};
inline constexpr std::size_t connectionClasses = 3;

/// The most connections that a server holds: in total, and of each class.
struct ConnectionShares {
    std::size_t total = 0;
    std::size_t unclassified = 0;
    std::size_t clients = 0;
    std::size_t agents = 0;
    /// Of the agents' connections, those that may stay open between two heartbeats. The others are
    /// closed after one heartbeat, so that any number of agents can send theirs.
    std::size_t keptAgents = 0;

    /// For a server that does not classify its peers: all of them are clients.
    static ConnectionShares undivided(std::size_t total);
    /// Agents leave a third of the connections to clients and new connections. Clients leave a
    /// quarter to agents and new connections.
    static ConnectionShares divided(std::size_t total);
};

/// Counts a server's connections by class and decides which may be opened and kept. No class takes
/// what is reserved for another one, however many peers it has. It owns no connection: `Server`
/// reports each one that it opens, classifies and closes.
class ConnectionBudget {
  public:
    explicit ConnectionBudget(ConnectionShares shares) : shares_(shares) {}

    void opened(ConnectionClass kind) { ++counter(kind); }
    void closed(ConnectionClass kind) { --counter(kind); }
    /// An unclassified connection turned out to be of this class.
    void classified(ConnectionClass kind);
    /// An agent's connection stays open after its heartbeat is answered.
    void keptAgent() { ++keptAgents_; }
    /// Such a connection was closed.
    void droppedKeptAgent() { --keptAgents_; }

    /// Whether one more unclassified connection may be opened.
    [[nodiscard]] bool admits() const { return total() < shares_.total && !awaitsRequests(); }
    /// Whether so many connections are unclassified that none is accepted before one of them has
    /// sent a request.
    [[nodiscard]] bool awaitsRequests() const;
    /// Whether the class has fewer connections than its share.
    [[nodiscard]] bool hasCapacity(ConnectionClass kind) const { return count(kind) < share(kind); }
    /// Whether an agent's connection may stay open once its heartbeat is answered. `alreadyKept`:
    /// it is counted as kept, because it stayed open before. The more clients there are, the fewer
    /// agents' connections are kept.
    [[nodiscard]] bool keepsAgent(bool alreadyKept) const;

    [[nodiscard]] std::size_t total() const;
    [[nodiscard]] std::size_t count(ConnectionClass kind) const {
        return counts_[static_cast<std::size_t>(kind)];
    }

  private:
    std::size_t& counter(ConnectionClass kind) { return counts_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] std::size_t share(ConnectionClass kind) const;

    ConnectionShares shares_;
    std::array<std::size_t, connectionClasses> counts_{};
    std::size_t keptAgents_ = 0;
};

}  // namespace basaltchute::http
