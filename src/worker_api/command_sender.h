#pragma once
// Sends direct requests (commands and probes) to the machines' agents. Called by the leader's term
// (`controller::LeaderTerm`).
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "runtime/semaphore.h"
#include "worker_api/agent_connections.h"

namespace basaltchute::worker_api {

/// Sends each request over this node's own network path, or through a peer while that path fails. A
/// leader that is cut off from the workers alone still receives their reports through followers;
/// without relays, its commands would have to wait for the workers' next heartbeats.
class CommandSender {
  public:
    /// Where a request goes.
    struct Target {
        MachineIndex machine = noMachine;
        std::string zone, address;
    };
    /// What became of a request that was sent through a peer. If it is not answered, a status of
    /// 502, 503 or 504 says that no peer could reach the machine; any other, that the peer itself
    /// did not answer or could not tell.
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        bool sameZone = false;  // the peer is in the machine's zone
    };
    /// Sends a request through a peer, in the machine's zone if there is one.
    using Relay = std::function<Task<RelayedOutcome>(Target, http::Request, Duration, Scope&)>;
    /// `sockets`: how many sockets direct requests may hold at once, including connections that are
    /// kept open. A request beyond that waits for a free one. The loop must live as long as the
    /// sender.
    CommandSender(EventLoop& loop, std::size_t sockets, Relay relay)
        : loop_(loop),
          connections_(loop, sockets),
          requestsInFlight_(loop, sockets),
          relay_(std::move(relay)) {}

    struct SendResult {
        http::RequestOutcome outcome;
        /// A copy of the request was sent and not answered: it may still be executed, whatever the
        /// outcome of another copy.
        bool mayExecuteLater = false;
        /// The machine did not answer although the path to it works, so the machine is at fault.
        /// Since a partition of its zone would explain the silence as well, this is true only if
        /// another machine or a node in the zone has answered.
        bool machineUnreachable = false;
    };
    /// Sends a request, through a peer if the direct path to the machine's zone fails.
    /// `relayIfUnanswered`: through a peer also if only this machine does not answer, unless other
    /// machines in its zone have just answered. If no socket becomes free within `timeout`, nothing
    /// is sent, and the result says nothing about the machine: it gets its commands in the response
    /// to its next heartbeat.
    Task<SendResult> send(Target target, http::Request request, Duration timeout,
                          bool relayIfUnanswered, Scope& scope);
    /// Whether this node's own path to the workers of the zone seems to fail.
    [[nodiscard]] bool directPathFailing(const std::string& zone) const;

  private:
    /// This node's own path to the workers of one zone.
    struct ZonePath {
        /// Machines that have not answered since any machine in the zone last did.
        std::set<MachineIndex> unansweredMachines;
        TimePoint lastAnswerAt{}, nextProbe{};
        bool failureLogged = false;
        std::deque<Target> recentlyAnswered;  // the latest first
    };
    [[nodiscard]] bool recentlyWorked(const ZonePath& path) const;
    /// Whether another machine in the zone answers, directly or through a peer.
    Task<bool> otherMachinesAnswer(Target target, Scope& scope);
    void rememberAnswer(ZonePath& path, const Target& target);
    /// What became of one request over this node's own path.
    struct DirectAttempt {
        bool made = false;  // false: no socket became free in time
        TimePoint startedAt{};
        http::RequestOutcome outcome;
    };
    Task<DirectAttempt> sendDirect(const Target& target, http::Request request, Duration timeout,
                                   Scope& scope);
    /// Finds out whether the direct path works again, by a request that no command depends on.
    Task<void> probe(Target target, Scope& scope);

    EventLoop& loop_;
    AgentConnections connections_;
    Semaphore requestsInFlight_;
    Relay relay_;
    std::map<std::string, ZonePath> paths_;
};

}  // namespace basaltchute::worker_api
