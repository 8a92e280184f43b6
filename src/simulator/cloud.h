#pragma once
#include <functional>
#include <map>
#include <string>

#include "http/server.h"
#include "runtime/rate_limiter.h"
#include "simulator/network.h"

// The simulated cloud provider. Simulation runs one for each site.

namespace basaltchute::simulator {

/// A machine type that the simulated cloud offers. `neverBoots` is the share of rented machines
/// that never start.

struct SimulatedMachineType {
    std::string name;
    double cores = 0, gpus = 0, ramGb = 0, fetchGbPerS = 1, price = 1, spotPrice = 0.3;
    double bootS = 20, neverBoots = 0;
    std::uint32_t ordinary = 0, spot = 0;  // available machines per zone
    std::uint32_t up = 0;                  // running machines per zone at the start
};

/// Serves the published HTTP protocol of the cloud. Lists lag behind and may show an older state
/// than an earlier list did; machines may boot late or never.
class Cloud {
  public:
    struct Config {
        double rps = 1e9;
        Duration listLag{};
        std::vector<std::string> zones;
        std::vector<SimulatedMachineType> types;
    };
    /// A rented machine.
    struct Host {
        std::string name, address, type, zone;
        bool spot = false, running = false, failed = false;
        TimePoint since{};
    };
    /// Callbacks that name machines and start or remove their simulation.
    struct Hooks {
        std::function<std::string()> name, address;  // for the next machine
        std::function<void(const Host&)> boot, remove;
    };
    Cloud(Timeline& time, EventLoop& loop, Scope& scope, const std::string& address, Config config,
          Hooks hooks);
    bool down = false;                     // every request gets 503
    double bootFactor = 1, bootFails = 0;  // injected faults, on top of the configuration
    /// Adds a machine that runs from the start.
    void addRunning(const std::string& type, const std::string& zone);
    /// Loses a machine. If `taken` (a reclaimed spot machine), lists omit it at once; otherwise it
    /// has died, and lists show it as running for 30 s and as failed afterwards.
    void lose(const std::string& name, bool taken);
    [[nodiscard]] const std::map<std::string, Host>& hosts() const { return hosts_; }

  private:
    http::Response serve(const http::Request& request);
    http::Response rent(const std::string& body);
    http::Response list(const std::string& target);
    Host& add(const std::string& type, const std::string& zone, bool spot);
    void recordSnapshot();
    [[nodiscard]] const SimulatedMachineType* findType(const std::string& name) const;

    Timeline& time_;
    EventLoop& loop_;
    Config config_;
    Hooks hooks_;
    RateLimiter requests_;
    http::Server server_;
    std::map<std::string, Host> hosts_;
    std::map<std::string, std::string>
        rentResponses_;  // by request id, so that a repeated request gets the same response
    // The machines at past times, from which lists are answered.
    std::map<TimePoint, std::map<std::string, Host>> snapshots_;
};

}  // namespace basaltchute::simulator
