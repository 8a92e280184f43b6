#pragma once
#include <functional>
#include <map>
#include <string>

#include "http/server.h"
#include "runtime/rate_limiter.h"
#include "simulator/network.h"

namespace basaltchute::simulator {

struct SimulatedMachineType {
    std::string name;
    double cores = 0, gpus = 0, ramGb = 0, fetchGbPerS = 1, price = 1, spotPrice = 0.3;
    double bootS = 20, neverBoots = 0;
    std::uint32_t ordinary = 0, spot = 0;  // a zone
    std::uint32_t up = 0;                  // a zone, when the run begins
};

/// The cloud by its published protocol: lists that lag and go back, boots that are late or never.
class Cloud {
  public:
    struct Config {
        double rps = 1e9;
        Duration listLag{};
        std::vector<std::string> zones;
        std::vector<SimulatedMachineType> types;
    };
    struct Host {
        std::string name, address, type, zone;
        bool spot = false, running = false, failed = false;
        TimePoint since{};
    };
    struct Hooks {
        std::function<std::string()> name, address;  // of the next machine
        std::function<void(const Host&)> boot, remove;
    };
    Cloud(Timeline& time, EventLoop& loop, Scope& scope, const std::string& address, Config config,
          Hooks hooks);
    bool down = false;
    double bootFactor = 1, bootFails = 0;  // troubles, on top of the config
    /// A machine that is there from the start.
    void addRunning(const std::string& type, const std::string& zone);
    /// Stopped on its own, or was taken back: then it is not listed any more.
    void lose(const std::string& name, bool taken);
    [[nodiscard]] const std::map<std::string, Host>& hosts() const { return hosts_; }

  private:
    http::Response serve(const http::Request& request);
    http::Response rent(const std::string& body);
    http::Response list(const std::string& target);
    Host& add(const std::string& type, const std::string& zone, bool spot);
    void changed();
    [[nodiscard]] const SimulatedMachineType* typeOf(const std::string& name) const;

    Timeline& time_;
    EventLoop& loop_;
    Config config_;
    Hooks hooks_;
    RateLimiter requests_;
    http::Server server_;
    std::map<std::string, Host> hosts_;
    std::map<std::string, std::string> rented_;  // answers by the name of the request
    // What lists show: the machines as they were at some time.
    std::map<TimePoint, std::map<std::string, Host>> past_;
};

}  // namespace basaltchute::simulator
