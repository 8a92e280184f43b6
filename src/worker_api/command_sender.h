#pragma once
// Sends a leader's commands and probes to worker machines: over this node's own connections, and
// through a peer while those fail. A leader that loses the workers alone receives their heartbeats
// through followers all the same; its commands would wait for the responses to these. Owns the
// connections to machines and, for each zone, what is known of the path there. Called by the
// leader's term.
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "peer_rpc/relay_failure.h"
#include "runtime/semaphore.h"
#include "worker_api/agent_connections.h"

namespace basaltchute::worker_api {

/// Sends requests to machines and judges from the outcomes whether a machine or a path has failed.
class CommandSender {
  public:
    /// A machine as it is to be reached.
    struct Target {
        MachineIndex machine = noMachine;
        std::string zone, address;
    };
    /// What came of a request that a peer was to relay.
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        bool sameZone = false;  // a node in the machine's zone relayed it
        /// Why there is no response; empty if there is one, or if the peer itself gave no reply.
        std::optional<peer_rpc::RelayFailure> failure{};
    };
    /// Has a peer relay the request, one in the machine's zone if there is one.
    using Relay = std::function<Task<RelayedOutcome>(Target, http::Request, Duration, Scope&)>;
    /// When a request is relayed.
    enum class RelayPolicy {
        whenPathFails,  // only if this node's own path to the zone fails
        /// Also if only this machine does not answer, unless others in its zone have just answered.
        whenUnanswered,
    };
    /// `sockets`: the most that direct commands and probes hold at once, whether or not they stay
    /// open. A request beyond that waits for a free one.
    CommandSender(EventLoop& loop, std::size_t sockets, Relay relay)
        : loop_(loop),
          connections_(loop, sockets),
          requestsInFlight_(loop, sockets),
          relay_(std::move(relay)) {}

    /// What came of a request.
    struct SendResult {
        http::RequestOutcome outcome;
        /// A copy was sent and not answered: it may be executed yet, whatever the outcome is.
        bool mayExecuteLater = false;
        /// Not reached by a path that works: the fault is the machine's. A partition of its zone
        /// explains silence as well, so somebody in that zone must have answered.
        bool machineUnreachable = false;
    };
    /// Sends a request to a machine. `timeout` holds for each path. If no socket becomes free
    /// within it, nothing was sent and nothing is concluded about the machine: its commands go with
    /// the response to its next heartbeat.
    Task<SendResult> send(Target target, http::Request request, Duration timeout,
                          RelayPolicy policy, Scope& scope);
    /// Whether this node's own path to the zone's machines seems to fail.
    [[nodiscard]] bool directPathFailing(const std::string& zone) const;

  private:
    /// This node's own path to a zone.
    struct ZonePath {
        std::set<MachineIndex> unansweredMachines;  // since the last answer from the zone
        TimePoint lastAnswerAt{}, nextProbe{};
        bool failureLogged = false;
        std::deque<Target> recentlyAnswered;  // the latest first
    };
    /// One request over this node's own path.
    struct DirectAttempt {
        bool made = false;  // false: no socket became free in time
        TimePoint startedAt{};
        http::RequestOutcome outcome;
    };
    struct DirectResult {
        SendResult result;
        bool settled = false;  // the request is not to be relayed
    };
    [[nodiscard]] bool recentlyWorked(const ZonePath& path) const;
    /// Whether some other machine in the zone answers, by this node's own path or through a peer.
    Task<bool> otherMachinesAnswer(Target target, Scope& scope);
    /// Whether this machine answers a probe.
    Task<bool> answersProbe(Target target, Scope& scope);
    static void recordAnswer(ZonePath& path, const Target& target);
    /// Records the outcome of a direct attempt, and logs when the path starts or ceases to fail.
    void recordOutcome(const Target& target, bool answered);
    Task<DirectAttempt> sendDirect(const Target& target, http::Request request, Duration timeout,
                                   Scope& scope);
    Task<DirectResult> tryOwnPath(Target target, http::Request request, Duration timeout,
                                  RelayPolicy policy, Scope& scope);
    Task<SendResult> sendThroughPeer(Target target, http::Request request, Duration timeout,
                                     Scope& scope);
    /// Finds out now and then whether the own path works again, by a probe that no command depends
    /// on.
    void probePathIfDue(const Target& target, Scope& scope);
    Task<void> probePath(Target target, Scope& scope);

    EventLoop& loop_;
    AgentConnections connections_;
    Semaphore requestsInFlight_;
    Relay relay_;
    std::map<std::string, ZonePath> paths_;
};

}  // namespace basaltchute::worker_api
