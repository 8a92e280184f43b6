#pragma once
#include <array>
#include <cstddef>

namespace basaltchute::http {

/// Who is at the other end of a served connection, as its first request tells.
enum class ConnectionClass {
    unclassified,  // no request has arrived yet
    client,        // users, probes, and whatever is not an agent
    agent,         // a worker machine that sends heartbeats
};
inline constexpr std::size_t connectionClasses = 3;

/// The most connections that a server holds, over all and of each class.
struct ConnectionShares {
    std::size_t total = 0;
    std::size_t unclassified = 0;
    std::size_t clients = 0;
    std::size_t agents = 0;
    /// Of the agents' connections, those that stay open between two heartbeats. The rest of their
    /// share serves one heartbeat each and is closed with its response, so that any number of
    /// agents gets through.
    std::size_t keptAgents = 0;

    /// For a server that does not tell its peers apart: all of them are clients.
    static ConnectionShares undivided(std::size_t total);
    /// Agents leave a third to clients and new connections; clients leave a quarter to agents and
    /// new connections.
    static ConnectionShares divided(std::size_t total);
};

/// Counts a server's connections by class and decides which may be opened and kept: one class
/// never takes what is reserved for another, however many peers it has. It owns no connection;
/// `Server` reports each that it opens, classifies and closes.
class ConnectionBudget {
  public:
    explicit ConnectionBudget(ConnectionShares shares) : shares_(shares) {}

    void opened(ConnectionClass of) { ++counter(of); }
    void closed(ConnectionClass of) { --counter(of); }
    void classified(ConnectionClass as);
    void keptAgent() { ++keptAgents_; }
    void droppedKeptAgent() { --keptAgents_; }

    /// Whether one more connection, of which nothing is known yet, fits in.
    [[nodiscard]] bool admits() const { return total() < shares_.total && !awaitsRequests(); }
    /// Whether so many connections have sent no request yet that no other is taken before one does.
    [[nodiscard]] bool awaitsRequests() const;
    /// Whether the class holds less than its share.
    [[nodiscard]] bool hasCapacity(ConnectionClass of) const { return count(of) < share(of); }
    /// Whether an agent's connection stays open once its heartbeat is answered. `kept`: it is one
    /// that did so before. The more clients there are, the fewer stay.
    [[nodiscard]] bool keepsAgent(bool kept) const;

    [[nodiscard]] std::size_t total() const;
    [[nodiscard]] std::size_t count(ConnectionClass of) const {
        return counts_[static_cast<std::size_t>(of)];
    }

  private:
    std::size_t& counter(ConnectionClass of) { return counts_[static_cast<std::size_t>(of)]; }
    [[nodiscard]] std::size_t share(ConnectionClass of) const;

    ConnectionShares shares_;
    std::array<std::size_t, connectionClasses> counts_{};
    std::size_t keptAgents_ = 0;
};

}  // namespace basaltchute::http
