#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runtime/clock.h"

namespace basaltchute::settings {

struct Peer {
    std::string name, zone, address;
};
struct Team {
    std::string name;
    double cores = 0, coresMax = 0, gpus = 0, gpusMax = 0;  // 0: none set
};
struct Objective {
    std::string kind, jobClass;
    Duration within{};
    double share = 0;
    double deadlineFactor = 1;  // of the job's own deadline, where that is what counts
};

/// What the platform hands to each controller.
struct Settings {
    std::string node, zone, listenAddress, peerListenAddress, cloudAddress, stateAddress;
    std::vector<Peer> peers;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    Duration heartbeatInterval{}, lease{}, cancelWithin{};
    double stateRps = 0, stateWriteRps = 0;
    /// The smaller of the limits that the state service has now and those that it will have from
    /// some moment on: what is written first must take a change after it.
    std::size_t valueBytes = 0, txnOps = 0;
    std::size_t valueBytesNow = 0;
    double stateWriteRpsNext = 0;  // 0: as now
    double cloudRps = 0;
    Duration cloudListLag{};
    std::size_t maxSockets = 0;
    /// Of the sockets, a third is for direct orders to workers; what users and workers open may
    /// take the rest, less a few for the peers, the state service and the cloud.
    [[nodiscard]] std::size_t directCommandSockets() const { return maxSockets / 3; }
    [[nodiscard]] std::size_t inboundSockets() const {
        return maxSockets - maxSockets / 3 - maxSockets / 12;
    }
};

/// One line: which field is wrong and what was expected there.
using Error = std::string;
std::variant<Settings, Error> parse(const std::string& text);
std::optional<std::string> readFile(const std::string& path);
std::variant<Settings, Error> load(const std::string& path);

}  // namespace basaltchute::settings
