#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "runtime/loop.h"

// A world of machines that a seed decides: its clock moves from one thing that happens to the next.

namespace basaltchute::simulator {

class Network;
class Machine;

/// True time, what is to happen in it, and the only source of chance.
class Timeline {
  public:
    explicit Timeline(std::uint64_t seed) : random_(seed) {}
    [[nodiscard]] TimePoint now() const { return now_; }
    /// Seconds since the run began.
    [[nodiscard]] double seconds() const { return toSeconds(now_ - start()); }
    [[nodiscard]] static TimePoint start() { return TimePoint(std::chrono::hours(1000)); }
    void at(TimePoint when, std::function<void()> what);
    void after(Duration span, std::function<void()> what) { at(now_ + span, std::move(what)); }
    /// Does the next thing; false if there is none before `until`, which is then the time.
    bool step(TimePoint until);
    std::mt19937_64& random() { return random_; }
    /// Evenly between the two.
    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    bool chance(double share) { return between(0, 1) < share; }

  private:
    TimePoint now_ = start();
    std::uint64_t next_ = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> queue_;
    std::mt19937_64 random_;
};

/// A machine's clocks: the steady one drifts, the time of day moves around inside its bound.
class DriftingClock final : public Clock {
  public:
    DriftingClock(const Timeline& time, double rate, Duration off)
        : time_(time), rate_(rate), off_(off) {}
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallMillis wall() const override;
    /// True time at which this clock shows that.
    [[nodiscard]] TimePoint trueTime(TimePoint shown) const;

  private:
    const Timeline& time_;
    double rate_;
    Duration off_;
};

/// One end of a connection, or a listener, or an attempt to connect.
struct Endpoint {
    enum class Kind { listener, connecting, open } kind = Kind::open;
    Machine* machine = nullptr;
    int fd = -1;
    sockaddr_in local{}, remote{};
    std::weak_ptr<Endpoint> peer;
    std::string inbox;
    bool ended = false;   // the other side has closed, and all it sent has arrived
    bool reset = false;   // and not in order
    bool closed = false;  // this side
    int error = 0;
    std::deque<std::shared_ptr<Endpoint>> backlog;
    bool watched = false, readable = false, writable = false;
    // What travels to this end arrives in order; held back while a cut lasts.
    TimePoint arrivesAfter{};
    std::deque<std::function<void()>> held;
};

/// The descriptors of one process. They end with it.
class SimulatedSocketBackend final : public SocketBackend {
  public:
    SimulatedSocketBackend(Network& network, Machine& machine, std::size_t descriptors)
        : network_(network), machine_(machine), most_(descriptors) {}
    ~SimulatedSocketBackend() override;
    SimulatedSocketBackend(const SimulatedSocketBackend&) = delete;
    SimulatedSocketBackend& operator=(const SimulatedSocketBackend&) = delete;
    int connect(const sockaddr_in& to) override;
    int listen(const sockaddr_in& at) override;
    int accept(int fd) override;
    ssize_t receive(int fd, std::span<char> into) override;
    [[nodiscard]] bool stale(int fd) const override;
    ssize_t send(int fd, std::span<const char> data) override;
    void shutDown(int fd) override;
    void close(int fd) override;
    [[nodiscard]] int error(int fd) const override;
    [[nodiscard]] sockaddr_in local(int fd) const override;
    [[nodiscard]] sockaddr_in remote(int fd) const override;
    void watch(int fd) override;
    void unwatch(int fd) override;
    std::size_t wait(std::span<Ready> into, Duration most) override;
    /// Nothing goes out or comes in from now on.
    void die(bool power);
    /// Something about the endpoint has changed: its process is to look.
    void changed(Endpoint& end, bool readable, bool writable);

  private:
    friend class Network;
    friend class Machine;
    int add(std::shared_ptr<Endpoint> end);
    void resetBacklog(Endpoint& listener);
    Network& network_;
    Machine& machine_;
    std::size_t most_;
    bool dead_ = false;
    std::map<int, std::shared_ptr<Endpoint>> open_;
    int next_ = 3;          // the lowest descriptor that was never open
    std::set<int> closed_;  // below it, and free again
    std::set<int> ready_;
};

/// Something with an address, a clock, and at most one process at a time.
class Machine {
  public:
    Machine(Network& network, std::string name, std::string address, std::string zone,
            std::string site, double rate, Duration off);
    ~Machine();
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;
    /// Starts a process: a loop of its own on this machine.
    EventLoop& startProcess(std::size_t descriptors = 100'000);
    /// The process is about to end: nothing of what it still does is seen. Its connections are
    /// reset, unless the machine loses its power: then they are silent.
    void disconnect(bool power = true);
    /// Ends the routines of a scope of a process that was cut off.
    void drainScope(Scope& scope);
    /// Ends the process.
    void endProcess();
    [[nodiscard]] bool on() const { return loop_ != nullptr; }
    [[nodiscard]] EventLoop& loop() { return *loop_; }
    /// Stands still until then, while its clocks run on.
    void freeze(Duration span);
    /// Lets its routines run as long as they have something to do.
    void run();
    void wake();

    const std::string name, address, zone, site;
    [[nodiscard]] const DriftingClock& clock() const { return clock_; }

  private:
    friend class SimulatedSocketBackend;
    friend class Network;
    void sleepUntilNextTimer();
    Network& network_;
    DriftingClock clock_;
    std::unique_ptr<EventLoop> loop_;
    SimulatedSocketBackend* host_ = nullptr;  // the loop's
    std::uint64_t boots_ = 0;
    TimePoint frozenUntil_{}, wakesAt_ = TimePoint::max();
    bool queued_ = false, powered_ = true;
};

/// What lies between the machines.
class Network {
  public:
    struct Config {
        Duration near = std::chrono::microseconds(300), far = std::chrono::milliseconds(1);
        Duration betweenSites = std::chrono::milliseconds(20);
        double jitter = 0.25;
        double slow = 0.001;  // of what is sent: late by a retransmission
    };
    explicit Network(Timeline& time) : time_(time) {}
    [[nodiscard]] Timeline& time() { return time_; }
    Config config;
    /// Everything between two machines for which it says so is held back, one way or both; ended,
    /// it arrives, or the connections are reset.
    using LinkPredicate = std::function<bool(const Machine& from, const Machine& to)>;
    std::uint64_t cut(LinkPredicate between);
    void heal(std::uint64_t which, bool reset);
    /// From now on connections between such machines are refused; open ones go on.
    std::uint64_t refuse(LinkPredicate between);
    void allow(std::uint64_t refusal) { refusals_.erase(refusal); }
    void run(TimePoint until);

  private:
    friend class SimulatedSocketBackend;
    friend class Machine;
    [[nodiscard]] bool isCut(const Machine& from, const Machine& to) const;
    Duration latency(const Machine& from, const Machine& to);
    /// Carries something to an end of a connection, behind what was sent to it before.
    void carry(const Machine& from, const std::shared_ptr<Endpoint>& to,
               std::function<void()> what);
    void knock(const std::shared_ptr<Endpoint>& from);
    Machine* at(const sockaddr_in& address);

    Timeline& time_;
    std::map<std::uint32_t, Machine*> machines_;  // by address
    std::map<std::uint64_t, LinkPredicate> cuts_, refusals_;
    std::uint64_t next_ = 1;
    std::uint16_t port_ = 20'000;
    std::vector<std::weak_ptr<Endpoint>> holding_;
    std::vector<std::weak_ptr<Endpoint>> knocking_;  // waiting for a cut to end
    std::deque<Machine*> runnable_;
};

}  // namespace basaltchute::simulator
