#pragma once
// The settings that the platform passes to each controller as a JSON file. parse() maps its field
// names to the names used in the code. Read once at the start by the controller's main program; the
// gateway fills in the fields of the state service for its key-value store client.
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runtime/clock.h"

namespace basaltchute::settings {

/// Another controller of the deployment.
struct Peer {
    std::string name, zone, address;
};
/// A team of users, what it is guaranteed and what it may use at most. 0: not set.
struct Team {
    std::string name;
    double cores = 0, coresMax = 0, gpus = 0, gpusMax = 0;
};
/// A service level objective for the jobs of a class.
struct Objective {
    std::string kind, jobClass;
    Duration within{};          // time limit of the kinds that have one
    double share = 0;           // of the jobs that have to meet it, 0 to 1
    double deadlineFactor = 1;  // for kind "deadline": multiplies the job's own deadline
};

/// What the platform passes to a controller.
struct Settings {
    std::string node, zone, listenAddress, peerListenAddress, cloudAddress, stateAddress;
    std::vector<Peer> peers;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    Duration heartbeatInterval{};  // of the workers
    Duration lease{};              // how long a worker may run its tasks after a heartbeat
    Duration cancelWithin{};  // from acknowledging a cancellation until its tasks must have ended
    double stateRps = 0, stateWriteRps = 0;  // request limits of the state service, per second
    /// Limits of the state service on the size of a value and on the operations of a transaction.
    /// The smaller of the present limit and an announced one: what is written before the change
    /// must still be writable after it.
    std::size_t valueBytes = 0, txnOps = 0;
    std::size_t valueBytesNow = 0;  // the present limit
    double stateWriteRpsNext = 0;   // the announced limit; 0: no change
    double cloudRps = 0;            // request limit of the cloud, per second
    Duration cloudListLag{};        // how far the cloud's list of machines may be behind
    std::size_t maxSockets = 0;     // that the process may have open
    /// The process's sockets are divided: a third is for commands that the leader sends directly to
    /// workers. What users and workers open may take the rest, less a twelfth of all for the
    /// connections to peers, the state service and the cloud.
    [[nodiscard]] std::size_t directCommandSockets() const { return maxSockets / 3; }
    [[nodiscard]] std::size_t inboundSockets() const {
        return maxSockets - maxSockets / 3 - maxSockets / 12;
    }
};

/// One line that names the invalid field and says what was expected there.
using Error = std::string;
std::variant<Settings, Error> parse(const std::string& text);
/// The content of a file; nothing if it cannot be read.
std::optional<std::string> readFile(const std::string& path);
std::variant<Settings, Error> load(const std::string& path);

}  // namespace basaltchute::settings
