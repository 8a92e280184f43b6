// Measures the AMQP gateway as real processes on loopback, against fakes of the state service
// and the controllers in this process. `serve` only runs the fakes, for tools/gateway_real.py.
// The results depend on the machine; docs/amqp.md explains what limits each.
#include <spawn.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/histogram.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "gateway/testing/broker.h"
#include "gateway/testing/client.h"
#include "testing/world.h"

namespace {

using namespace std::chrono_literals;
// NOLINTNEXTLINE(google-build-using-namespace): a program of its own that nothing includes.
using namespace basaltchute;
using gateway::testing::Client;
using gateway::testing::JobService;
namespace bh = boost::histogram;

struct LoadOptions {
    std::string program, directory;
    unsigned queues = 1, instances = 2, clients = 1;
    double writesPerSecond = 2.5, seconds = 10;
    unsigned window = 64;  // messages of a client without disposition
};

std::string queueName(unsigned i) {
    return "team" + std::to_string(i % 8) + "/q" + std::to_string(i);
}

/// One gateway process.
class Instance {
  public:
    Instance(const LoadOptions& s, unsigned number, const std::string& state,
             const std::string& jobs)
        : address_(testing::freeAddress()) {
        const std::string path = s.directory + "/gw-" + std::to_string(number) + ".json";
        json::Writer o;
        o.open().field("instance", "gw-" + std::to_string(number));
        o.field("listen", address_).field("admin", testing::freeAddress());
        o.key("controllers").openArray().value(jobs).closeArray().key("state").open();
        o.field("address", state).field("requestsPerSecond", 1000.0).field("share", 1.0);
        o.field("writesPerSecond", s.writesPerSecond)
            .field("valueKb", 16.0)
            .field("operations", 20);
        o.close().key("refs").open().field("from", 900'000'000).field("to", 999'999'999).close();
        o.field("anonymous", true).key("queues").openArray();
        for (unsigned i = 0; i < s.queues; ++i) {
            const std::string name = queueName(i);
            const auto slash = name.find('/');
            o.open().field("team", name.substr(0, slash)).field("class", name.substr(slash + 1));
            o.field("unfinished", 1'000'000).close();
        }
        o.closeArray().key("limits").open().field("connections", 5000).field("credit", 256);
        o.field("underWay", 1024).field("pollsPerSecond", 200.0).close().close();
        std::ofstream(path) << o.text();
        std::string argument = "--config";
        std::vector<char*> arguments{const_cast<char*>(s.program.c_str()), argument.data(),
                                     const_cast<char*>(path.c_str()), nullptr};
        if (posix_spawn(&pid_, s.program.c_str(), nullptr, nullptr, arguments.data(), environ) != 0)
            throw std::runtime_error("cannot start " + s.program);
    }
    ~Instance() { kill(); }
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;
    void kill() {
        if (pid_ == 0) return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    [[nodiscard]] const std::string& address() const { return address_; }
    /// Whether the process still runs. Results with fewer instances than requested would be wrong.
    [[nodiscard]] bool isRunning() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }
    /// Resident memory in KiB.
    [[nodiscard]] long memory() const {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
        long total = 0, resident = 0;
        in >> total >> resident;
        return resident * 4;
    }

  private:
    std::string address_;
    pid_t pid_ = 0;
};

/// Sends to one queue through whichever instance serves it, with at most `window` messages that
/// have no disposition yet.
class Sender {
  public:
    Sender(EventLoop& loop, std::string queue, unsigned window, std::string address)
        : loop_(loop),
          queue_("queue/" + std::move(queue)),
          window_(window),
          to_(std::move(address)) {}
    std::size_t done = 0, rejected = 0;
    std::vector<double> seconds;  // from send to disposition
    TimePoint lastDone{};
    bool sending = true;

    /// Called repeatedly: follows redirects, reconnects, and sends until the window is full.
    void step(const std::vector<std::string>& addresses) {
        if (!client_ || client_->over) {
            if (client_) to_ = addresses[++tries_ % addresses.size()];
            connect();
            return;
        }
        if (!client_->open) return;
        if (!linked_) {
            client_->sendTo(queue_);
            linked_ = true;
        }
        if (const auto end = client_->ends.find(queue_); end != client_->ends.end()) {
            const auto& info = end->second.info;
            if (info.contains("network-host"))
                to_ = info.at("network-host") + ':' + info.at("port");
            connect();
            return;
        }
        for (auto& [tag, d] : client_->decisions) {
            const auto it = sent_.find(tag);
            if (it == sent_.end()) continue;
            if (d.outcome == amqp::Outcome::accepted) {
                ++done;
                lastDone = loop_.now();
                seconds.push_back(toSeconds(loop_.now() - it->second));
            } else if (d.outcome == amqp::Outcome::rejected) {
                ++rejected;
            }
            sent_.erase(it);
        }
        client_->decisions.clear();
        while (sending && sent_.size() < window_) {
            const std::string id = queue_ + std::to_string(next_);
            amqp::Message m;
            m.id = {amqp::Id::Kind::text, id};
            m.body = R"({"build":")" + id + R"("})";
            if (!client_->send(queue_, m, std::to_string(next_))) break;
            sent_[std::to_string(next_++)] = loop_.now();
        }
    }

  private:
    void connect() {
        client_ = std::make_unique<Client>(loop_, to_);
        client_->start();
        linked_ = false;
        sent_.clear();
    }
    EventLoop& loop_;
    std::string queue_;
    unsigned window_;
    std::string to_;
    std::unique_ptr<Client> client_;
    bool linked_ = false;
    std::size_t next_ = 0, tries_ = 0;
    std::map<std::string, TimePoint> sent_;
};

/// Quantiles by a histogram on a logarithmic axis, 1 ms to 100 s, 2% wide.
struct Latency {
    bh::histogram<std::tuple<bh::axis::regular<double, bh::axis::transform::log>>> h =
        bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(580, 0.001, 100.0));
    [[nodiscard]] double quantile(double q) const {
        double all = 0, below = 0;
        for (auto&& cell : bh::indexed(h, bh::coverage::all)) all += *cell;
        for (auto&& cell : bh::indexed(h, bh::coverage::all)) {
            below += *cell;
            if (below >= q * all) return cell.bin().upper();
        }
        return 0;
    }
};

struct Bench {
    explicit Bench(const LoadOptions& s) : setting(s), state(loop, scope), jobs(loop, scope) {
        jobs.runTime = [] { return 2s; };
        for (unsigned i = 0; i < s.instances; ++i) {
            instances.push_back(std::make_unique<Instance>(s, i, state.address(), jobs.address()));
            addresses.push_back(instances.back()->address());
        }
        runFor(4s);
        for (const auto& i : instances)
            if (!i->isRunning()) throw std::runtime_error("an instance has not started");
    }
    const LoadOptions& setting;
    SystemClock clock;
    EventLoop loop{clock};
    Scope scope{loop};
    testing::StateService state;
    JobService jobs;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<Sender>> senders;
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;
    ~Bench() {
        bool gone = false;
        loop.spawn([](Scope& s, bool& flag) -> Task<void> {
            co_await s.cancelAndWait();
            flag = true;
        }(scope, gone));
        // NOLINTNEXTLINE(bugprone-infinite-loop): the spawned routine sets the flag.
        while (!gone) loop.runOnce(1ms);
    }

    void runFor(Duration span) {
        const TimePoint until = loop.now() + span;
        while (loop.now() < until) {
            for (const auto& s : senders) s->step(addresses);
            loop.runOnce(2ms);
        }
    }
    [[nodiscard]] std::size_t done() const {
        std::size_t n = 0;
        for (const auto& s : senders) n += s->done;
        return n;
    }
    void startSenders() {
        for (unsigned i = 0; i < setting.queues * setting.clients; ++i)
            senders.push_back(std::make_unique<Sender>(loop, queueName(i % setting.queues),
                                                       setting.window,
                                                       addresses[i % addresses.size()]));
    }
};

void throughput(const LoadOptions& s) {
    Bench b(s);
    b.startSenders();
    b.runFor(3s);
    const std::size_t before = b.done();
    const int writes = b.state.writes;
    for (const auto& x : b.senders) x->seconds.clear();
    b.runFor(fromSeconds(s.seconds));
    const auto n = static_cast<double>(b.done() - before);
    Latency latency;
    for (const auto& x : b.senders)
        for (const double t : x->seconds) latency.h(t);
    std::cout << fmt::format(
        "{} queues, {} instances, {} writes/s each: {:.0f} messages/s, p50 {:.3f} s, p99 {:.3f} s, "
        "{:.2f} writes/message, {} jobs for {} messages\n",
        s.queues, s.instances, s.writesPerSecond, n / s.seconds, latency.quantile(0.5),
        latency.quantile(0.99), (b.state.writes - writes) / std::max(1.0, n), b.jobs.jobs.size(),
        b.done());
}

void idleLinks(LoadOptions s) {
    s.instances = 1;
    Bench b(s);
    const long before = b.instances[0]->memory();
    constexpr unsigned links = 1000;
    s.window = 0;
    for (unsigned i = 0; i < links; ++i)
        b.senders.push_back(
            std::make_unique<Sender>(b.loop, queueName(i % s.queues), 0, b.addresses[0]));
    b.runFor(8s);
    std::cout << fmt::format("{} idle connections with a link each: {:.1f} KiB each\n", links,
                             static_cast<double>(b.instances[0]->memory() - before) / links);
}

void takeover(const LoadOptions& s) {
    Bench b(s);
    b.startSenders();
    b.runFor(5s);
    // The queues of the first instance are those whose last disposition is older than the kill.
    const TimePoint killed = b.loop.now();
    b.instances[0]->kill();
    b.runFor(500ms);
    std::vector<TimePoint> last;
    for (const auto& x : b.senders) last.push_back(x->lastDone);
    std::vector<double> gaps(b.senders.size(), 0);
    while (b.loop.now() < killed + 40s) {
        b.runFor(20ms);
        for (std::size_t i = 0; i < gaps.size(); ++i)
            if (gaps[i] == 0 && b.senders[i]->lastDone > killed + 500ms)
                gaps[i] = toSeconds(b.senders[i]->lastDone - last[i]);
        if (std::find(gaps.begin(), gaps.end(), 0.0) == gaps.end()) break;
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << fmt::format(
        "after kill -9 of one of {}: longest pause of a queue {:.1f} s, median {:.1f} s\n",
        s.instances, gaps.back(), gaps[gaps.size() / 2]);
}

/// Runs only the fakes; GET /jobs lists the jobs for test scripts.
void serve(const std::string& state, const std::vector<std::string>& jobs) {
    const SystemClock clock;
    EventLoop loop(clock);
    Scope scope(loop);
    const testing::StateService stateService(loop, scope, state);
    JobService service(loop, scope, jobs.at(0));
    for (std::size_t i = 1; i < jobs.size(); ++i) service.alsoAt(jobs[i]);
    std::cout << "serving" << std::endl;
    loop.run();
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an exception ends the measurement with its message.
int main(int argc, char** argv) {
    CLI::App cli{"Load on basaltchute-gateway: real gateway processes against fake services."};
    LoadOptions s;
    s.program = (std::filesystem::path(argv[0]).parent_path() / "basaltchute-gateway").string();
    cli.add_option("--gateway", s.program, "Gateway program to measure")->capture_default_str();
    cli.add_option("--writes", s.writesPerSecond, "State writes a second of each instance")
        ->capture_default_str();
    cli.add_option("--seconds", s.seconds, "Length of a measurement")->capture_default_str();
    cli.add_option("--instances", s.instances, "Number of gateway processes")
        ->capture_default_str();
    cli.add_option("--window", s.window, "Messages of a client without disposition")
        ->capture_default_str();
    auto* load =
        cli.add_subcommand("throughput", "Messages a second and the time to a disposition");
    load->add_option("--queues", s.queues, "Queues, each with a client of its own")
        ->capture_default_str();
    auto* idle = cli.add_subcommand("idle", "Memory of an idle link");
    auto* takeoverCommand =
        cli.add_subcommand("takeover", "Time until another instance takes over after kill -9");
    takeoverCommand->add_option("--queues", s.queues, "Queues, each with a client of its own")
        ->capture_default_str();
    auto* fakes = cli.add_subcommand("serve", "Run only the fake services");
    std::string state;
    std::vector<std::string> jobs;
    fakes->add_option("--state", state, "Address of the state service")->required();
    fakes->add_option("--jobs", jobs, "Addresses of the controllers")->required();
    cli.require_subcommand(1);
    CLI11_PARSE(cli, argc, argv);
    spdlog::set_level(spdlog::level::off);
    std::signal(SIGPIPE, SIG_IGN);
    setenv("LOG_LEVEL", "error", 0);
    s.directory = (std::filesystem::temp_directory_path() /
                   ("basaltchute-load-" + std::to_string(::getpid())))
                      .string();
    std::filesystem::create_directories(s.directory);
    if (load->parsed()) throughput(s);
    if (idle->parsed()) idleLinks(s);
    if (takeoverCommand->parsed()) takeover(s);
    if (fakes->parsed()) serve(state, jobs);
    std::filesystem::remove_all(s.directory);
    return 0;
}
