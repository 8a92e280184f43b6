#include "simulator/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {
constexpr double settleTimeS = 60;  // after the last fault
constexpr double arrivalStepS = 0.25;
constexpr std::size_t maxKeptReports = 100;  // for the next leader
/// Share of elapsed time by which the steady clocks of two machines drift apart at most.
constexpr double maxClockDrift = 0.0005;
}  // namespace

Simulation::Simulation(Scenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)), time_(seed), network_(time_) {
    for (const auto& options : scenario_.sites) {
        sites_.push_back(std::make_unique<Site>());
        sites_.back()->options = options;
        sites_.back()->number = sites_.size();
        rules_.cancelS = std::max(rules_.cancelS, options.cancelS);
        for (const auto& t : options.teams) {
            // Quotas are enforced per site, so a team of several sites may use their sum.
            auto& sum =
                rules_.teams.try_emplace(t.name, settings::Team{t.name, 0, 0, 0, 0}).first->second;
            sum.cores += t.cores;
            sum.coresMax += t.coresMax;
        }
    }
    faults_ = scenario_.faults;
    if (scenario_.swarm.toS > scenario_.swarm.fromS) drawSwarmFaults(scenario_.swarm);
    double last = 0;
    for (const auto& f : faults_) last = std::max(last, f.atS + f.forS);
    rules_.calmS = last;
    rules_.settledS = last + settleTimeS;
    rules_.untilS = scenario_.seconds - 20;
    rules_.knownS = scenario_.shown.knownS;
    rules_.beginS = scenario_.shown.beginS;
    for (auto& s : sites_) build(*s);
}

// NOLINTNEXTLINE(bugprone-exception-escape): see the header.
Simulation::~Simulation() {
    for (auto& s : sites_) {
        for (auto& n : s->nodes) stop(*n);
        for (auto& [name, w] : s->agents) w->kill(true);
        s->users->end();
        s->servicesMachine->disconnect();
        s->servicesMachine->drainScope(*s->scope);
    }
}

std::unique_ptr<Machine> Simulation::makeMachine(const std::string& name,
                                                 const std::string& address,
                                                 const std::string& zone, const Site& site) {
    // Drawn one by one: the compiler chooses the order in which it evaluates arguments.
    const Duration wallClockOffset = fromSeconds(time_.between(0, site.options.clockOffMs) / 1000);
    const double clockDrift = time_.between(0, maxClockDrift);
    return std::make_unique<Machine>(network_, name, address, zone, site.options.name, clockDrift,
                                     wallClockOffset);
}

void Simulation::build(Site& s) {
    const std::string net = fmt::format("10.{}.", s.number);
    const std::string state = net + "1.1:2379", cloud = net + "1.1:8443";
    s.servicesMachine = makeMachine("services", net + "1.1", "", s);
    EventLoop& loop = s.servicesMachine->startProcess();
    s.scope = std::make_unique<Scope>(loop);
    s.state = std::make_unique<StateService>(loop, *s.scope, state, s.options.state);
    s.state->onPut = [this, &s](const std::string& key, const std::string& data) {
        ++changes_[key.substr(0, key.find('/'))];
        if (key != "lead/holder") return;
        deliverKeptReports(s);
        const auto doc = json::parse(data);
        HistoryEvent e;
        e.at = time_.seconds();
        e.kind = HistoryEvent::Kind::elected;
        e.site = s.options.name;
        e.text = json::string(*doc, "node").value_or("?");
        e.number = json::count(*doc, "token").value_or(0);
        history_.events.push_back(std::move(e));
    };
    s.state->fault = [this, &s](const http::Request& r) { return stateFault(s, r); };
    s.agentEnvironment.onJobCompleted = [this, &s](const std::string& job) {
        if (s.cancelAtEnd > 0 && time_.chance(s.endShare))
            time_.after(fromSeconds(time_.between(0, 0.1)), [&s, job] { s.users->cancelNow(job); });
    };
    s.agentEnvironment.onReport = [this, &s](const std::string& report) {
        if (s.copiesForNext > 0 && s.keptReports.size() < maxKeptReports &&
            time_.chance(s.copyShare))
            s.keptReports.push_back(report);
        if (s.reportCopyMaxDelayS <= 0 || !time_.chance(0.3)) return;
        for (int n = time_.chance(0.3) ? 2 : 1; n > 0; --n) {
            const double late = std::exp(time_.between(0, std::log(1 + s.reportCopyMaxDelayS)));
            time_.after(fromSeconds(late),
                        [&s, report] { s.users->deliver("/agent/beat", report); });
        }
    };
    s.agentEnvironment.reportInterval = fromSeconds(s.options.reportS);
    s.agentEnvironment.lease = fromSeconds(s.options.leaseS);
    s.commandRepeater = std::make_unique<CommandRepeater>(
        time_, s.agentEnvironment.lease,
        [this, &s](const std::string& machine, const std::string& body) {
            recordEvent(s, "a copy of direct commands arrives", machine);
            s.agents.at(machine)->receiveCopy(body);
        });
    s.agentEnvironment.onCommandsExecuted = [&s](const std::string& machine,
                                                 const std::string& body) {
        s.commandRepeater->onAnswered(machine, body);
    };
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < s.options.nodes; ++i) {
        auto n = std::make_unique<Node>();
        settings::Settings& x = n->settings;
        const std::string ip = fmt::format("{}0.{}", net, 10 + i);
        x.node = fmt::format("{}-{}", s.options.name, i);
        x.zone = s.options.zones[i % s.options.zones.size()];
        x.listenAddress = ip + ":8080";
        x.peerListenAddress = ip + ":8081";
        x.stateAddress = fmt::format("{}1.1:{}", net, 2380 + i);
        s.state->addListener(x.stateAddress, [node = n.get()] { return node->stateRefusals > 0; });
        x.cloudAddress = cloud;
        x.zones = s.options.zones;
        x.teams = s.options.teams;
        for (const auto& c : s.options.classes) {
            if (c.waitS) x.objectives.push_back({"wait", c.name, fromSeconds(*c.waitS), 0.9, 1});
            if (c.deadlineFactor > 0) x.objectives.push_back({"deadline", c.name, {}, 0.98, 1});
        }
        x.heartbeatInterval = s.agentEnvironment.reportInterval;
        x.lease = s.agentEnvironment.lease;
        x.cancelWithin = fromSeconds(s.options.cancelS);
        x.stateRps = s.options.state.rps;
        x.stateWriteRps = s.options.state.writeRps;
        x.valueBytes = x.valueBytesNow = s.options.state.valueBytes;
        x.txnOps = s.options.state.txnOps;
        x.cloudRps = s.options.cloudRps;
        x.cloudListLag = fromSeconds(s.options.listLagS);
        x.maxSockets = s.options.sockets;
        if (s.options.heldBack)
            n->operatorSettings.maxStoredFormat = 1;
        else
            upgrade(s, *n);
        n->machine = makeMachine(x.node, ip, x.zone, s);
        s.agentEnvironment.nodes.emplace_back(x.node, x.listenAddress);
        addresses.push_back(x.listenAddress);
        s.nodes.push_back(std::move(n));
    }
    for (auto& n : s.nodes)
        for (auto& other : s.nodes)
            if (n != other)
                n->settings.peers.push_back({other->settings.node, other->settings.zone,
                                             other->settings.peerListenAddress});
    s.usersMachine = makeMachine("users", net + "1.2", "", s);
    s.users = std::make_unique<Users>(time_, *s.usersMachine, addresses, history_);

    Cloud::Config cloudConfig{s.options.cloudRps, fromSeconds(s.options.listLagS), s.options.zones,
                              s.options.types};
    s.cloud = std::make_unique<Cloud>(
        time_, loop, *s.scope, cloud, cloudConfig,
        Cloud::Hooks{[&s] { return fmt::format("{}-n-{:06}", s.options.name, ++s.machinesNamed); },
                     [&s, net] {
                         return fmt::format("{}{}.{}:9000", net, 16 + s.machinesNamed / 250,
                                            1 + s.machinesNamed % 250);
                     },
                     [this, &s](const Cloud::Host& h) {
                         const auto type =
                             std::find_if(s.options.types.begin(), s.options.types.end(),
                                          [&](const auto& t) { return t.name == h.type; });
                         s.machines.push_back(makeMachine(
                             h.name, h.address.substr(0, h.address.rfind(':')), h.zone, s));
                         s.agents[h.name] = std::make_unique<Agent>(
                             time_, *s.machines.back(), h, *type, s.agentEnvironment, history_);
                     },
                     [&s](const Cloud::Host& h) {
                         if (const auto w = s.agents.find(h.name); w != s.agents.end())
                             w->second->kill(true);
                     }});
    for (const auto& t : s.options.types)
        for (const auto& z : s.options.zones)
            for (std::uint32_t i = 0; i < t.up; ++i) s.cloud->addRunning(t.name, z);
    for (auto& n : s.nodes) start(*n);
    for (const auto& c : s.options.classes)
        for (std::uint32_t i = 0; i < c.initial; ++i)
            time_.after(fromSeconds(time_.between(2, 4)), [this, &s, &c] { submit(s, c); });
    generateLoad(s);
}

void Simulation::start(Node& n) {
    EventLoop& loop = n.machine->startProcess(n.settings.maxSockets);
    n.controller = std::make_unique<controller::Controller>(loop, n.settings, n.operatorSettings,
                                                            std::to_string(time_.random()()));
    n.controller->start();
}

void Simulation::stop(Node& n) {
    if (!n.controller) return;
    n.machine->disconnect();
    EventLoop& loop = n.machine->loop();
    bool ended = false;
    loop.spawn([](controller::Controller& c, bool& flag) -> Task<void> {
        co_await c.abandon();
        flag = true;
    }(*n.controller, ended));
    for (int rounds = 0; !ended; ++rounds) {
        if (rounds > 100'000) throw std::runtime_error(n.settings.node + " does not end");
        loop.runOnce(Duration::zero());
    }
    n.controller.reset();
    n.machine->endProcess();
}

void Simulation::crash(Site& s, Node& n, double backS) {
    if (!n.controller) return;
    stop(n);
    time_.after(fromSeconds(backS), [this, &s, &n, backS] {
        if (n.controller) return;
        start(n);
        s.commandRepeater->onRestart(fromSeconds(backS));
    });
}

void Simulation::upgrade(Site& s, Node& n) {
    settings::Settings& x = n.settings;
    const NextLimits& next = s.options.next;
    if (next.valueBytes > 0) x.valueBytes = std::min(x.valueBytes, next.valueBytes);
    if (next.txnOps > 0) x.txnOps = std::min(x.txnOps, next.txnOps);
    x.stateWriteRpsNext = next.writeRps;
    n.operatorSettings.maxStoredFormat = 2;
}

void Simulation::rollingUpgrade(Site& s, std::size_t next, double everyS, double backS) {
    if (next >= s.nodes.size()) return;
    upgrade(s, *s.nodes[next]);
    crash(s, *s.nodes[next], backS);
    time_.after(fromSeconds(everyS),
                [this, &s, next, everyS, backS] { rollingUpgrade(s, next + 1, everyS, backS); });
}

// Load

void Simulation::generateLoad(Site& s) {
    for (const auto& c : s.options.classes) {
        const auto times = s.arrivalFactors.find(c.name);
        const double rate =
            c.perMinute / 60 * arrivalStepS * (times == s.arrivalFactors.end() ? 1 : times->second);
        auto n = rate > 0 ? std::poisson_distribution<int>(rate)(time_.random()) : 0;
        for (; n > 0; --n)
            time_.after(fromSeconds(time_.between(0, arrivalStepS)),
                        [this, &s, &c] { submit(s, c); });
    }
    for (const auto& p : s.options.pipelines) {
        const double rate = time_.seconds() < p.fromS ? 0 : p.perMinute / 60 * arrivalStepS;
        auto n = rate > 0 ? std::poisson_distribution<int>(rate)(time_.random()) : 0;
        for (; n > 0; --n) submit(s, p);
    }
    if (time_.chance(0.02)) s.users->pollUnknownJob();
    time_.after(fromSeconds(arrivalStepS), [this, &s] { generateLoad(s); });
}

void Simulation::submit(Site& s, const JobClassOptions& c) {
    s.users->submit(plannedJob(s, c));
}

void Simulation::submit(Site& s, const PipelineOptions& p) {
    Users::Pipeline out;
    std::vector<std::vector<std::size_t>> ofStage;
    double together = 0;
    for (const auto& stage : p.stages) {
        const auto c = std::find_if(s.options.classes.begin(), s.options.classes.end(),
                                    [&](const auto& k) { return k.name == stage.jobClass; });
        ofStage.emplace_back();
        const std::uint32_t many = stage.jobs[0] + static_cast<std::uint32_t>(time_.between(
                                                       0, stage.jobs[1] - stage.jobs[0] + 0.999));
        for (std::uint32_t i = 0; i < many; ++i) {
            ofStage.back().push_back(out.jobs.size());
            out.jobs.push_back(plannedJob(s, *c));
            Users::PlannedJob& w = out.jobs.back();
            w.cancelAfterS.reset();
            w.spec.deadlineS.reset();
            if (i == 0) together += w.spec.estimatedRuntimeS;
            for (const std::size_t need : stage.needs)
                for (const std::size_t job : ofStage[need])
                    w.spec.dependencies.push_back(out.jobs[job].spec.id);
        }
    }
    out.jobs.back().spec.deadlineS = together + p.deadlinePlusS;
    if (time_.chance(p.onEarlier))
        if (auto earlier = s.users->anyAcceptedJob(); !earlier.empty())
            out.jobs.front().spec.dependencies.push_back(std::move(earlier));
    out.lastLate = time_.chance(p.late);
    if (time_.chance(p.cancelledShare)) {
        const auto which =
            static_cast<std::size_t>(time_.between(0, static_cast<double>(out.jobs.size())));
        out.jobs[which].cancelAfterS = time_.between(0, together + 10);
    }
    s.users->submit(std::move(out));
}

Users::PlannedJob Simulation::plannedJob(Site& s, const JobClassOptions& c) {
    Users::PlannedJob wish;
    JobSpec& j = wish.spec;
    j.id = fmt::format("run-{:06}", ++jobs_);
    j.jobClass = c.name;
    const auto pick = [&](std::size_t n) {
        return std::min(n - 1, static_cast<std::size_t>(time_.between(0, static_cast<double>(n))));
    };
    j.team = s.options.teams[pick(s.options.teams.size())].name;
    j.shape = c.standing ? Shape::service : Shape::array;
    j.priority = c.priority;
    j.tasks = c.tasks[0] + static_cast<std::uint32_t>(pick(c.tasks[1] - c.tasks[0] + 1));
    j.demand = {c.cores, 0, c.ramGb};
    const std::size_t image = pick(c.images);
    j.image = fmt::format("{}-{}", c.name, image);
    j.imageGb = c.imageGb;
    j.spread = c.spread;
    j.sameZone = c.together;
    if (c.bound > 0 && time_.chance(c.bound))
        j.zone = s.options.zones[pick(s.options.zones.size())];
    j.spotAllowed = c.spot;
    const double run = time_.between(c.runS[0], c.runS[1]);
    s.agentEnvironment.trueRuntimeS[j.id] = run;
    s.agentEnvironment.lastTaskExtraRuntime[j.id] = c.apart;
    if (c.standing) {
        wish.cancelAfterS = run;
    } else {
        j.estimatedRuntimeS = run * time_.between(0.6, 1.6);
        j.checkpointIntervalS = c.checkpointS;
        j.checkpointDurationS = c.saveS;
        if (c.deadlineFactor > 0) j.deadlineS = j.estimatedRuntimeS * c.deadlineFactor + 10;
        if (time_.chance(c.cancelledShare)) wish.cancelAfterS = time_.between(0, run * 2);
    }
    if (time_.chance(0.1)) wish.repeatAfterS = time_.between(1, run * 2);
    return wish;
}

void Simulation::run() {
    for (std::size_t i = 0; i < faults_.size(); ++i) {
        if (appliedFaults_ && !appliedFaults_->contains(i)) continue;
        time_.at(Timeline::start() + fromSeconds(faults_[i].atS),
                 [this, f = faults_[i]] { apply(f); });
    }
    network_.run(Timeline::start() + fromSeconds(scenario_.seconds));
}

}  // namespace basaltchute::simulator
