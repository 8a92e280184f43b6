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

// Simulated time, machines and TCP network. The simulator and network tests use them. A run is
// determined by its seed: the clock jumps from one event to the next.

namespace basaltchute::simulator {

class Network;
class Machine;

/// The true time, the queue of future events and the only random number generator of a run.
class Timeline {
  public:
    explicit Timeline(std::uint64_t seed) : random_(seed) {}
    [[nodiscard]] TimePoint now() const { return now_; }
    /// Seconds since the run began.
    [[nodiscard]] double seconds() const { return toSeconds(now_ - start()); }
    [[nodiscard]] static TimePoint start() { return TimePoint(std::chrono::hours(1000)); }
    /// Runs `what` at a time, in order of calls where times are equal.
    void at(TimePoint when, std::function<void()> what);
    void after(Duration span, std::function<void()> what) { at(now_ + span, std::move(what)); }
    /// Runs the next event. If none is due by `until`, sets the time to `until` and returns false.
    bool step(TimePoint until);
    std::mt19937_64& random() { return random_; }
    /// A uniformly distributed random number.
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

/// The clocks of a machine: the monotonic clock runs fast by `rate`; the wall clock oscillates
/// around the true time by at most `off`.
class DriftingClock final : public Clock {
  public:
    DriftingClock(const Timeline& time, double rate, Duration off)
        : time_(time), rate_(rate), off_(off) {}
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] WallMillis wall() const override;
    /// The true time at which the monotonic clock shows `shown`.
    [[nodiscard]] TimePoint trueTime(TimePoint shown) const;

  private:
    const Timeline& time_;
    double rate_;
    Duration off_;
};

/// A socket: a listener, a connection attempt, or one end of a connection.
struct Endpoint {
    enum class Kind { listener, connecting, open } kind = Kind::open;
    Machine* machine = nullptr;
    int fd = -1;
    sockaddr_in local{}, remote{};
    std::weak_ptr<Endpoint> peer;
    std::string inbox;
    bool ended = false;   // the peer has closed, and all its data has arrived
    bool reset = false;   // the connection was reset
    bool closed = false;  // closed by this side
    int error = 0;
    std::deque<std::shared_ptr<Endpoint>> backlog;
    bool watched = false, readable = false, writable = false;
    // Data for this end arrives in order; `held` keeps it while the network is partitioned.
    TimePoint arrivesAfter{};
    std::deque<std::function<void()>> held;
};

/// The sockets of one process. All are closed when the process ends.
class SimulatedSocketBackend final : public SocketBackend {
  public:
    SimulatedSocketBackend(Network& network, Machine& machine, std::size_t descriptors)
        : network_(network), machine_(machine), maxDescriptors_(descriptors) {}
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
    /// Stops all traffic. With `power` the connections are closed; without, peers notice nothing.
    void die(bool power);
    /// Marks the socket readable or writable and wakes its process.
    void changed(Endpoint& end, bool readable, bool writable);

  private:
    friend class Network;
    friend class Machine;
    int add(std::shared_ptr<Endpoint> end);
    void resetBacklog(Endpoint& listener);
    Network& network_;
    Machine& machine_;
    std::size_t maxDescriptors_;
    bool dead_ = false;
    std::map<int, std::shared_ptr<Endpoint>> open_;
    int next_ = 3;          // the lowest descriptor that was never open
    std::set<int> closed_;  // below next_, free for reuse
    std::set<int> ready_;
};

/// A simulated machine: an address, a clock and at most one process at a time.
class Machine {
  public:
    Machine(Network& network, std::string name, std::string address, std::string zone,
            std::string site, double rate, Duration off);
    ~Machine();
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;
    /// Starts a process with its own event loop, which the machine owns.
    EventLoop& startProcess(std::size_t descriptors = 100'000);
    /// Cuts the process off from the network before it ends. `power`: the machine stays powered and
    /// its connections are closed; otherwise they fall silent.
    void disconnect(bool power = true);
    /// Cancels the coroutines of a scope of a disconnected process and runs them to their end.
    void drainScope(Scope& scope);
    /// Ends the process.
    void endProcess();
    [[nodiscard]] bool on() const { return loop_ != nullptr; }
    [[nodiscard]] EventLoop& loop() { return *loop_; }
    /// Suspends the process for `span`, while its clocks run on.
    void freeze(Duration span);
    /// Runs the event loop until it is idle. Throws std::runtime_error after 100,000 rounds.
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
    SimulatedSocketBackend* host_ = nullptr;  // owned by loop_
    std::uint64_t processCount_ = 0;
    TimePoint frozenUntil_{}, nextWakeAt_ = TimePoint::max();
    bool queued_ = false, powered_ = true;
};

/// The network between the machines: latency, partitions and refused connections.
class Network {
  public:
    struct Config {
        Duration near = std::chrono::microseconds(300), far = std::chrono::milliseconds(1);
        Duration betweenSites = std::chrono::milliseconds(20);
        double jitter = 0.25;
        double slow = 0.001;  // share of messages that are retransmitted, 200 ms late
    };
    explicit Network(Timeline& time) : time_(time) {}
    [[nodiscard]] Timeline& time() { return time_; }
    Config config;
    /// Starts a partition: messages on links for which the predicate holds are held back, in that
    /// direction only. When heal() ends it they arrive, or the connections are reset if `reset`.
    using LinkPredicate = std::function<bool(const Machine& from, const Machine& to)>;
    std::uint64_t cut(LinkPredicate between);
    void heal(std::uint64_t which, bool reset);
    /// Refuses new connections on these links until allow(); open connections go on.
    std::uint64_t refuse(LinkPredicate between);
    void allow(std::uint64_t refusal) { refusals_.erase(refusal); }
    void run(TimePoint until);

  private:
    friend class SimulatedSocketBackend;
    friend class Machine;
    [[nodiscard]] bool isPartitioned(const Machine& from, const Machine& to) const;
    Duration latency(const Machine& from, const Machine& to);
    /// Delivers something to a socket, after everything that was sent to it before.
    void deliver(const Machine& from, const std::shared_ptr<Endpoint>& to,
                 std::function<void()> what);
    void startConnect(const std::shared_ptr<Endpoint>& from);
    Machine* at(const sockaddr_in& address);

    Timeline& time_;
    std::map<std::uint32_t, Machine*> machines_;  // by address
    std::map<std::uint64_t, LinkPredicate> partitions_, refusals_;
    std::uint64_t next_ = 1;
    std::uint16_t port_ = 20'000;
    std::vector<std::weak_ptr<Endpoint>> endpointsWithHeldData_;
    std::vector<std::weak_ptr<Endpoint>> blockedConnects_;  // wait for a partition to end
    std::deque<Machine*> runnable_;
};

}  // namespace basaltchute::simulator
