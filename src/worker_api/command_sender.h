#pragma once
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "runtime/semaphore.h"
#include "worker_api/agent_connections.h"

namespace basaltchute::worker_api {

/// How workers are reached for direct orders and questions: by this node's own way, and over a
/// peer while that is cut. A leader that loses the workers alone hears them through followers all
/// the same; its orders would wait for their next reports.
class CommandSender {
  public:
    struct Target {
        MachineIndex machine = noMachine;
        std::string zone, address;
    };
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        bool sameZone = false;  // a node in that zone passed it on
    };
    /// Asks a peer, one in that zone if there is one, to pass the request on.
    using Relay = std::function<Task<RelayedOutcome>(Target, http::Request, Duration, Scope&)>;
    /// `sockets`: the most that direct commands and probes hold at once, whether or not they stay
    /// open. A request beyond that waits for a free one.
    CommandSender(EventLoop& loop, std::size_t sockets, Relay relay)
        : loop_(loop),
          connections_(loop, sockets),
          requestsInFlight_(loop, sockets),
          relay_(std::move(relay)) {}

    struct SendResult {
        http::RequestOutcome outcome;
        /// A copy left and was not answered: it may be executed yet, whatever the outcome is.
        bool mayExecuteLater = false;
        /// Not reached by a way that works: the fault is the machine's. A cut of its zone explains
        /// silence as well, so somebody in that zone must have spoken.
        bool machineUnreachable = false;
    };
    /// `insist`: over a peer too, even if only this machine is not reached, unless others in its
    /// zone have just been. If no socket becomes free within `timeout`, nothing was sent and
    /// nothing is said about the machine: its commands go with the response to its next heartbeat.
    Task<SendResult> send(Target target, http::Request request, Duration timeout, bool insist,
                          Scope& scope);
    /// Whether this node's own way to the zone's workers seems to be cut.
    [[nodiscard]] bool directPathFailing(const std::string& zone) const;

  private:
    /// Machines that could not be reached since one in the zone last was.
    struct ZonePath {
        std::set<MachineIndex> unansweredMachines;
        TimePoint lastAnswerAt{}, nextProbe{};
        bool failureLogged = false;           // that it is cut
        std::deque<Target> recentlyAnswered;  // machines that did of late, the last one first
    };
    [[nodiscard]] bool recentlyWorked(const ZonePath& way) const;
    /// Whether some other machine in the zone answers, by this node's own way or over a peer.
    Task<bool> otherMachinesAnswer(Target target, Scope& scope);
    void rememberAnswer(ZonePath& way, const Target& target);
    /// One request over this node's own path.
    struct DirectAttempt {
        bool made = false;  // false: no socket became free in time
        TimePoint startedAt{};
        http::RequestOutcome outcome;
    };
    Task<DirectAttempt> sendDirect(const Target& target, http::Request request, Duration timeout,
                                   Scope& scope);
    /// Finds out whether the own way works again, with a question that no order depends on.
    Task<void> probe(Target target, Scope& scope);

    EventLoop& loop_;
    AgentConnections connections_;
    Semaphore requestsInFlight_;
    Relay relay_;
    std::map<std::string, ZonePath> paths_;
};

}  // namespace basaltchute::worker_api
