#pragma once
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "runtime/semaphore.h"
#include "workers/connections.h"

namespace basaltchute::workers {

/// How workers are reached for direct orders and questions: by this node's own way, and over a
/// peer while that is cut. A leader that loses the workers alone hears them through followers all
/// the same; its orders would wait for their next reports.
class Reach {
  public:
    struct Target {
        MachineIndex machine = noMachine;
        std::string zone, address;
    };
    struct Detoured {
        http::Outcome outcome;
        bool near = false;  // a node in that zone passed it on
    };
    /// Asks a peer, one in that zone if there is one, to pass the request on.
    using Detour = std::function<Task<Detoured>(Target, http::Request, Duration, Scope&)>;
    /// `sockets`: the most that direct commands and questions hold at once, open between them or
    /// not. Those beyond wait for one.
    Reach(Loop& loop, std::size_t sockets, Detour detour)
        : loop_(loop),
          direct_(loop, sockets),
          underWay_(loop, sockets),
          detour_(std::move(detour)) {}

    struct Reached {
        http::Outcome outcome;
        /// A copy left and was not answered: it may be executed yet, whatever the outcome is.
        bool stray = false;
        /// Not reached by a way that works: the fault is the machine's. A cut of its zone explains
        /// silence as well, so somebody in that zone must have spoken.
        bool proof = false;
    };
    /// `insist`: over a peer too, even if only this machine is not reached, unless others in its
    /// zone have just been. If no socket becomes free within `patience`, nothing was sent and
    /// nothing is said about the machine: what it is to do goes with its next heartbeat's response.
    Task<Reached> request(Target target, http::Request request, Duration patience, bool insist,
                          Scope& scope);
    /// Whether this node's own way to the zone's workers seems to be cut.
    [[nodiscard]] bool cut(const std::string& zone) const;

  private:
    /// Machines that could not be reached since one in the zone last was.
    struct Way {
        std::set<MachineIndex> failed;
        TimePoint workedAt{}, nextProbe{};
        bool told = false;            // that it is cut
        std::deque<Target> answered;  // machines that did of late, the last one first
    };
    [[nodiscard]] bool works(const Way& way) const;
    /// Whether some other machine in the zone answers, by this node's own way or over a peer.
    Task<bool> othersAnswer(Target target, Scope& scope);
    void heardOf(Way& way, const Target& target);
    /// One request by this node's own way.
    struct Attempt {
        bool made = false;  // not for lack of a socket
        TimePoint since{};  // when it had one
        http::Outcome outcome;
    };
    Task<Attempt> direct(const Target& target, http::Request request, Duration patience,
                         Scope& scope);
    /// Finds out whether the own way works again, with a question that no order depends on.
    Task<void> probe(Target target, Scope& scope);

    Loop& loop_;
    Connections direct_;
    Semaphore underWay_;
    Detour detour_;
    std::map<std::string, Way> ways_;
};

}  // namespace basaltchute::workers
