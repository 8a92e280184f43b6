#include "simulator/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "jobs/record_layout.h"
#include "json/json.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {
constexpr double settleTimeS = 60;  // after the last fault
constexpr double arrivalStepS = 0.25;
constexpr std::size_t maxKeptReports = 100;  // for the next leader
constexpr std::size_t maxHungMachines = 8;   // by one cancel_now fault
/// Share of elapsed time by which the steady clocks of two machines drift apart at most.
constexpr double maxClockDrift = 0.0005;

/// Whether a transaction writes a record of a job that belongs to that share of all jobs. The share
/// is drawn by the job's id, so that each record of a job meets the same fate.
bool writesRefusedRecord(const http::Request& r, double share) {
    constexpr std::size_t shareSteps = 1000;
    const auto transaction = r.target == "/multi" ? json::parse(r.body) : std::nullopt;
    const auto* writes = transaction ? json::array(*transaction, "then") : nullptr;
    if (writes == nullptr) return false;
    return std::any_of(writes->Begin(), writes->End(), [&](const json::Value& write) {
        const auto name = jobs::RecordName::parse(json::string(write, "put").value_or(""));
        if (!name) return false;
        const std::size_t step = std::hash<std::string>{}(name->job) % shareSteps;
        return static_cast<double>(step) < share * static_cast<double>(shareSteps);
    });
}
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

// Faults

void Simulation::restart(Site& s, Agent& w, double backS) {
    // A new agent process with the same name and address, and none of the former tasks.
    const Cloud::Host host = w.host();
    w.kill(true);
    time_.after(fromSeconds(backS), [this, &s, host, backS] {
        if (!s.cloud->hosts().contains(host.name)) return;
        const auto type = std::find_if(s.options.types.begin(), s.options.types.end(),
                                       [&](const auto& t) { return t.name == host.type; });
        const auto old = std::find_if(s.machines.begin(), s.machines.end(),
                                      [&](const auto& m) { return m->name == host.name; });
        auto& here = s.agents[host.name];
        s.replacedAgents.push_back(std::move(here));
        here = std::make_unique<Agent>(time_, **old, host, *type, s.agentEnvironment, history_,
                                       s.replacedAgents.back().get());
        s.commandRepeater->onRestart(fromSeconds(backS));
    });
}

void Simulation::drawSwarmFaults(const Swarm& swarm) {
    // Each seed uses a random subset of kinds, so that rare combinations occur.
    std::vector<std::string> on;
    for (const auto& k : swarm.kinds)
        if (time_.chance(0.4)) on.push_back(k);
    if (on.empty()) on = swarm.kinds;
    const auto oneOf = [&](const auto& list) {
        return list[static_cast<std::size_t>(time_.between(0, static_cast<double>(list.size())))];
    };
    const auto n = 1 + static_cast<std::uint32_t>(time_.between(0, swarm.most));
    for (std::uint32_t i = 0; i < n; ++i) {
        if (swarm.pairs.empty()) {
            faults_.push_back(drawFault(oneOf(on)));
            faults_.back().atS = time_.between(swarm.fromS, swarm.toS);
            continue;
        }
        const auto kinds = oneOf(swarm.pairs);
        const auto kindOf = [&](const std::string& k) {
            return k == Swarm::anyKind ? oneOf(on) : k;
        };
        Fault first = drawFault(kindOf(kinds[0])), second = drawFault(kindOf(kinds[1]));
        first.atS = time_.between(swarm.fromS, swarm.toS);
        second.site = first.site;
        // A crash is over at once, but its effects last a few seconds.
        const double open = std::max(first.forS, 3.0);
        second.atS = std::min(swarm.toS, first.atS + time_.between(0, std::min(open, 10.0)));
        if (swarm.thenLeaderEnds) {
            Fault third = drawFault("node_crash");
            third.site = first.site;
            third.leader = true;
            third.count = 1;
            third.atS = std::min(swarm.toS, second.atS + time_.between(0, 6));
            faults_.push_back(std::move(third));
        }
        faults_.push_back(std::move(first));
        faults_.push_back(std::move(second));
    }
}

Fault Simulation::drawFault(const std::string& kind) {
    Fault f;
    f.kind = kind;
    const bool ends = kind == "node_crash" || kind == "node_roll";
    f.forS = ends ? std::exp(time_.between(std::log(0.1), std::log(10.0)))
                  : std::exp(time_.between(std::log(0.5), std::log(45.0)));
    f.count = 1 + static_cast<std::uint32_t>(std::exp(time_.between(0, 2.5)));
    f.factor = time_.between(2, 8);
    // Sometimes machines boot within a second or two.
    if (kind == "boot_trouble" && time_.chance(0.3)) f.factor = 0.1;
    f.leader = time_.chance(0.5);
    f.reset = time_.chance(0.5);
    const auto oneOf = [&](const auto& list) -> const auto& {
        return list[static_cast<std::size_t>(time_.between(0, static_cast<double>(list.size())))];
    };
    const Site& site = *oneOf(sites_);
    f.site = site.options.name;
    f.zone = oneOf(site.options.zones);
    f.jobClass = oneOf(site.options.classes).name;
    return f;
}

void Simulation::run() {
    for (std::size_t i = 0; i < faults_.size(); ++i) {
        if (appliedFaults_ && !appliedFaults_->contains(i)) continue;
        time_.at(Timeline::start() + fromSeconds(faults_[i].atS),
                 [this, f = faults_[i]] { apply(f); });
    }
    network_.run(Timeline::start() + fromSeconds(scenario_.seconds));
}

void Simulation::apply(const Fault& f) {
    HistoryEvent e;
    e.at = time_.seconds();
    e.site = f.site;
    e.text = f.text();
    history_.events.push_back(std::move(e));
    if (f.kind == "site_apart")
        return partitionFor(f, [](const Machine& a, const Machine& b) { return a.site != b.site; });
    for (auto& s : sites_)
        if (f.site.empty() || s->options.name == f.site) applyTo(*s, f);
}

void Simulation::partitionFor(const Fault& f, Network::LinkPredicate between) {
    const std::uint64_t cut = network_.cut(std::move(between));
    time_.after(fromSeconds(f.forS), [this, cut, reset = f.reset] { network_.heal(cut, reset); });
}

std::vector<Simulation::Node*> Simulation::pickNodes(Site& s, const Fault& f) {
    std::vector<Node*> up;
    for (auto& n : s.nodes)
        if (n->controller) up.push_back(n.get());
    std::shuffle(up.begin(), up.end(), time_.random());
    if (const auto held = s.state->keys.find("lead/holder");
        f.leader && held != s.state->keys.end())
        std::stable_partition(up.begin(), up.end(), [&](const Node* n) {
            return held->second.data.find('"' + n->settings.node + '"') != std::string::npos;
        });
    if (up.size() > f.count) up.resize(f.count);
    return up;
}

std::vector<Agent*> Simulation::pickAgents(Site& s, std::uint32_t count, bool spotOnly) {
    std::vector<Agent*> up;
    for (auto& [name, w] : s.agents)
        if (!w->gone() && (!spotOnly || w->host().spot)) up.push_back(w.get());
    std::shuffle(up.begin(), up.end(), time_.random());
    if (up.size() > count) up.resize(count);
    return up;
}

void Simulation::countWhileActive(int& count, double forS) {
    ++count;
    time_.after(fromSeconds(forS), [&count] { --count; });
}

StateService::Fault Simulation::stateFault(const Site& s, const http::Request& r) {
    using Kind = StateService::Fault::Kind;
    if (r.target.starts_with("/watch")) return {};
    if (s.recordsRefused > 0 && writesRefusedRecord(r, s.refusedShare))
        return {Kind::malformed, {}};
    if (s.lateWrites > 0 && r.target == "/multi" && time_.chance(s.lateShare))
        return {Kind::executedLate, fromSeconds(time_.between(2, 12))};
    if (s.answersLost > 0 && r.target == "/multi" && time_.chance(s.lostShare))
        return {Kind::responseLost, {}};
    if (s.stateLate > 0 && time_.chance(0.2)) {
        const auto kind =
            std::array{Kind::refused, Kind::responseLost, Kind::executedLate, Kind::respondedLate};
        return {kind.at(static_cast<std::size_t>(time_.between(0, 4))),
                fromSeconds(time_.between(0.05, 4))};
    }
    if (s.stateSlow > 0)
        return {Kind::respondedLate, fromSeconds(std::exp(time_.between(-4, 0.5)))};
    return {};
}

void Simulation::freezeRepeatedly(Node& n, TimePoint until) {
    if (time_.now() >= until) return;
    if (n.controller) n.machine->freeze(fromSeconds(std::exp(time_.between(-6, 1))));
    time_.after(fromSeconds(time_.between(0.01, 2)),
                [this, &n, until] { freezeRepeatedly(n, until); });
}

void Simulation::delayPeerLinks(Site& s) {
    if (s.peersSlow == 0 || s.nodes.size() < 2) return;
    const auto pick = [&] {
        return s
            .nodes[static_cast<std::size_t>(time_.between(0, static_cast<double>(s.nodes.size())))]
            ->machine.get();
    };
    const Machine *from = pick(), *to = pick();
    const std::uint64_t cut = network_.cut(
        [=](const Machine& a, const Machine& b) { return from != to && &a == from && &b == to; });
    time_.after(fromSeconds(time_.between(0.1, 1.5)), [this, cut] { network_.heal(cut, false); });
    time_.after(fromSeconds(time_.between(0.02, 0.2)), [this, &s] { delayPeerLinks(s); });
}

void Simulation::cancelNow(Site& s, const Fault& f) {
    std::set<std::string> running;
    for (const auto& [name, w] : s.agents)
        if (!w->gone()) running.merge(w->jobsOn());
    std::vector<std::string> jobs(running.begin(), running.end());
    std::shuffle(jobs.begin(), jobs.end(), time_.random());
    if (jobs.size() > f.count) jobs.resize(f.count);
    std::size_t hung = 0;
    for (const auto& job : jobs) {
        time_.after(fromSeconds(time_.between(0, 0.2)), [&s, job] { s.users->cancelNow(job); });
        for (const auto& [name, w] : s.agents) {
            if (f.forS <= 0 || hung >= maxHungMachines || w->gone() || !w->jobsOn().contains(job))
                continue;
            ++hung;
            w->hang(fromSeconds(f.forS));
        }
    }
}

void Simulation::sendOddRequests(Site& s) {
    if (s.oddRequests == 0) return;
    s.users->sendOddRequest();
    time_.after(fromSeconds(time_.between(0.1, 0.6)), [this, &s] { sendOddRequests(s); });
}

void Simulation::recordEvent(const Site& s, std::string what, std::string machine) {
    HistoryEvent e;
    e.at = time_.seconds();
    e.site = s.options.name;
    e.text = std::move(what);
    e.machine = std::move(machine);
    history_.events.push_back(std::move(e));
}

void Simulation::deliverKeptReports(Site& s) {
    if (!s.keptReports.empty()) recordEvent(s, "old reports reach every controller", "");
    for (const auto& report : std::exchange(s.keptReports, {}))
        for (std::size_t node = 0; node < s.nodes.size(); ++node)
            time_.after(fromSeconds(std::exp(time_.between(-6, 1))),
                        [&s, node, report] { s.users->deliverTo(node, "/agent/beat", report); });
}

void Simulation::applyTo(Site& s, const Fault& f) {
    const TimePoint until = time_.now() + fromSeconds(f.forS);
    const auto isNode = [&s](const Machine& m) {
        return std::any_of(s.nodes.begin(), s.nodes.end(),
                           [&](const auto& n) { return n->machine.get() == &m; });
    };
    if (f.kind == "node_crash") {
        for (Node* n : pickNodes(s, f)) crash(s, *n, f.forS);
    } else if (f.kind == "node_freeze") {
        for (Node* n : pickNodes(s, f)) n->machine->freeze(fromSeconds(f.forS));
    } else if (f.kind == "node_stutter") {
        for (Node* n : pickNodes(s, f)) freezeRepeatedly(*n, until);
    } else if (f.kind == "node_roll") {
        rollingUpgrade(s, 0, f.factor, f.forS);
    } else if (f.kind == "node_cut" || f.kind == "node_from_state" || f.kind == "node_isolated" ||
               f.kind == "node_from_workers" || f.kind == "one_way") {
        for (Node* n : pickNodes(s, f)) {
            const Machine* me = n->machine.get();
            const Machine* servicesMachine = s.servicesMachine.get();
            const std::string kind = f.kind;
            partitionFor(f, [=](const Machine& a, const Machine& b) {
                const Machine& other = &a == me ? b : a;
                if (&a != me && &b != me) return false;
                if (kind == "one_way") return &a == me;
                if (kind == "node_from_state") return &other == servicesMachine;
                if (kind == "node_isolated") return &other == servicesMachine || isNode(other);
                if (kind == "node_from_workers")
                    return &other != servicesMachine && !isNode(other) && other.name != "users";
                return true;
            });
        }
    } else if (f.kind == "zone_cut") {
        partitionFor(f, [zone = f.zone, site = s.options.name](const Machine& a, const Machine& b) {
            return a.site == site && b.site == site && (a.zone == zone) != (b.zone == zone);
        });
    } else if (f.kind == "zones_apart") {
        partitionFor(f, [site = s.options.name](const Machine& a, const Machine& b) {
            return a.site == site && b.site == site && !a.zone.empty() && !b.zone.empty() &&
                   a.zone != b.zone;
        });
    } else if (f.kind == "peers_refuse") {
        const auto id = network_.refuse(
            [isNode](const Machine& a, const Machine& b) { return isNode(a) && isNode(b); });
        time_.at(until, [this, id] { network_.allow(id); });
    } else if (f.kind == "state_limits") {
        s.state->lowerLimits({s.options.state.rps, s.options.next.writeRps,
                              s.options.next.valueBytes, s.options.next.txnOps,
                              s.options.state.latency});
    } else if (f.kind == "state_outage") {
        ++s.outages;
        s.state->down = true;
        time_.at(until, [&s] { s.state->down = --s.outages > 0; });
    } else if (f.kind == "state_late") {
        countWhileActive(s.stateLate, f.forS);
    } else if (f.kind == "state_slow") {
        countWhileActive(s.stateSlow, f.forS);
    } else if (f.kind == "late_writes") {
        s.lateShare = f.share;
        countWhileActive(s.lateWrites, f.forS);
    } else if (f.kind == "records_refused") {
        s.refusedShare = f.share;
        countWhileActive(s.recordsRefused, f.forS);
    } else if (f.kind == "repeated_commands") {
        s.commandRepeater->begin(f.share);
        time_.at(until, [&s] { s.commandRepeater->end(); });
    } else if (f.kind == "answers_lost") {
        s.lostShare = f.share;
        countWhileActive(s.answersLost, f.forS);
    } else if (f.kind == "copies_for_next") {
        s.copyShare = f.share;
        countWhileActive(s.copiesForNext, f.forS);
    } else if (f.kind == "cancel_at_end") {
        s.endShare = f.share;
        countWhileActive(s.cancelAtEnd, f.forS);
    } else if (f.kind == "cancel_now") {
        cancelNow(s, f);
    } else if (f.kind == "close_looks") {
        countWhileActive(s.closeLooks, f.forS);
        s.users->pollClosely(true);
        time_.at(until + 1ms, [&s] { s.users->pollClosely(s.closeLooks > 0); });
    } else if (f.kind == "odd_requests") {
        countWhileActive(s.oddRequests, f.forS);
        sendOddRequests(s);
    } else if (f.kind == "peers_slow") {
        countWhileActive(s.peersSlow, f.forS);
        delayPeerLinks(s);
    } else if (f.kind == "machine_mute") {
        for (Agent* w : pickAgents(s, f.count, false)) {
            recordEvent(s, "is mute", w->host().name);
            w->blockOutbound(fromSeconds(f.forS));
        }
    } else if (f.kind == "node_refused") {
        for (Node* n : pickNodes(s, f)) countWhileActive(n->stateRefusals, f.forS);
    } else if (f.kind == "cloud_outage") {
        s.cloud->down = true;
        time_.at(until, [&s] { s.cloud->down = false; });
    } else if (f.kind == "boot_trouble") {
        s.cloud->bootFactor = f.factor;
        s.cloud->bootFails = 0.2;
        time_.at(until, [&s] {
            s.cloud->bootFactor = 1;
            s.cloud->bootFails = 0;
        });
    } else if (f.kind == "machine_die") {
        for (Agent* w : pickAgents(s, f.count, false)) {
            s.cloud->lose(w->host().name, false);
            w->kill(false);
        }
    } else if (f.kind == "machine_hang") {
        for (Agent* w : pickAgents(s, f.count, false)) w->hang(fromSeconds(f.forS));
    } else if (f.kind == "machine_deaf") {
        for (Agent* w : pickAgents(s, f.count, false)) w->blockInbound(fromSeconds(f.forS));
    } else if (f.kind == "commands_held") {
        for (Agent* w : pickAgents(s, f.count, false)) w->delayCommands(fromSeconds(f.forS));
    } else if (f.kind == "machine_restart") {
        for (Agent* w : pickAgents(s, f.count, false))
            restart(s, *w, std::min(f.forS, time_.between(0.1, 0.6)));
    } else if (f.kind == "late_copies") {
        s.reportCopyMaxDelayS = 3 * s.options.leaseS;
        time_.at(until, [&s] { s.reportCopyMaxDelayS = 0; });
    } else if (f.kind == "machine_sick") {
        for (Agent* w : pickAgents(s, f.count, false)) {
            w->setFailing(true);
            time_.at(until, [w] { w->setFailing(false); });
        }
    } else if (f.kind == "spot_taken") {
        for (Agent* w : pickAgents(s, f.count, true)) {
            const double notice = time_.chance(0.5) ? time_.between(0, 20) : 0;
            if (notice > 0) w->noticeInterruption(fromSeconds(notice));
            time_.after(fromSeconds(notice), [&s, w] {
                if (w->gone()) return;
                s.cloud->lose(w->host().name, true);
                w->kill(false);
            });
        }
    } else if (f.kind == "job_burst") {
        s.arrivalFactors[f.jobClass] = f.factor;
        time_.at(until, [&s, c = f.jobClass] { s.arrivalFactors.erase(c); });
    }
}

}  // namespace basaltchute::simulator
