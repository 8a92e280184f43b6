#include <algorithm>
#include <cmath>

#include "jobs/record_layout.h"
#include "json/json.h"
#include "simulator/simulation.h"

// The faults of a scenario: which ones a seed draws, and what each kind does.

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxHungMachines = 8;  // by one cancel_now fault

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
    const auto handler = faultHandlers().find(f.kind);
    if (handler != faultHandlers().end()) handler->second(*this, s, f);
}

const Simulation::FaultHandlers& Simulation::faultHandlers() {
    static const FaultHandlers all = [] {
        FaultHandlers handlers;
        addControllerFaults(handlers);
        addPartitions(handlers);
        addStateServiceFaults(handlers);
        addCloudFaults(handlers);
        addMachineFaults(handlers);
        addUserFaults(handlers);
        return handlers;
    }();
    return all;
}

void Simulation::addControllerFaults(FaultHandlers& handlers) {
    handlers["node_crash"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Node* n : w.pickNodes(s, f)) w.crash(s, *n, f.forS);
    };
    handlers["node_freeze"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Node* n : w.pickNodes(s, f)) n->machine->freeze(fromSeconds(f.forS));
    };
    handlers["node_stutter"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Node* n : w.pickNodes(s, f)) w.freezeRepeatedly(*n, w.endOf(f));
    };
    handlers["node_roll"] = [](Simulation& w, Site& s, const Fault& f) {
        w.rollingUpgrade(s, 0, f.factor, f.forS);
    };
    handlers["node_refused"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Node* n : w.pickNodes(s, f)) w.countWhileActive(n->stateRefusals, f.forS);
    };
}

void Simulation::partitionNode(const Site& s, const Node& node, const Fault& f) {
    const Machine* me = node.machine.get();
    const Machine* servicesMachine = s.servicesMachine.get();
    const auto isNode = [&s](const Machine& m) {
        return std::any_of(s.nodes.begin(), s.nodes.end(),
                           [&](const auto& n) { return n->machine.get() == &m; });
    };
    partitionFor(f, [=, kind = f.kind](const Machine& a, const Machine& b) {
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

void Simulation::addPartitions(FaultHandlers& handlers) {
    for (const char* kind :
         {"node_cut", "node_from_state", "node_isolated", "node_from_workers", "one_way"})
        handlers[kind] = [](Simulation& w, Site& s, const Fault& f) {
            for (const Node* n : w.pickNodes(s, f)) w.partitionNode(s, *n, f);
        };
    handlers["zone_cut"] = [](Simulation& w, Site& s, const Fault& f) {
        w.partitionFor(
            f, [zone = f.zone, site = s.options.name](const Machine& a, const Machine& b) {
                return a.site == site && b.site == site && (a.zone == zone) != (b.zone == zone);
            });
    };
    handlers["zones_apart"] = [](Simulation& w, Site& s, const Fault& f) {
        w.partitionFor(f, [site = s.options.name](const Machine& a, const Machine& b) {
            return a.site == site && b.site == site && !a.zone.empty() && !b.zone.empty() &&
                   a.zone != b.zone;
        });
    };
    handlers["peers_refuse"] = [](Simulation& w, Site& s, const Fault& f) {
        const auto isNode = [&s](const Machine& m) {
            return std::any_of(s.nodes.begin(), s.nodes.end(),
                               [&](const auto& n) { return n->machine.get() == &m; });
        };
        const auto id = w.network_.refuse(
            [isNode](const Machine& a, const Machine& b) { return isNode(a) && isNode(b); });
        w.time_.at(w.endOf(f), [&w, id] { w.network_.allow(id); });
    };
    handlers["peers_slow"] = [](Simulation& w, Site& s, const Fault& f) {
        w.countWhileActive(s.peersSlow, f.forS);
        w.delayPeerLinks(s);
    };
}

void Simulation::addStateServiceFaults(FaultHandlers& handlers) {
    handlers["state_limits"] = [](Simulation&, Site& s, const Fault&) {
        s.state->lowerLimits({s.options.state.rps, s.options.next.writeRps,
                              s.options.next.valueBytes, s.options.next.txnOps,
                              s.options.state.latency});
    };
    handlers["state_outage"] = [](Simulation& w, Site& s, const Fault& f) {
        ++s.outages;
        s.state->down = true;
        w.time_.at(w.endOf(f), [&s] { s.state->down = --s.outages > 0; });
    };
    handlers["state_late"] = [](Simulation& w, Site& s, const Fault& f) {
        w.countWhileActive(s.stateLate, f.forS);
    };
    handlers["state_slow"] = [](Simulation& w, Site& s, const Fault& f) {
        w.countWhileActive(s.stateSlow, f.forS);
    };
    handlers["late_writes"] = [](Simulation& w, Site& s, const Fault& f) {
        s.lateShare = f.share;
        w.countWhileActive(s.lateWrites, f.forS);
    };
    handlers["records_refused"] = [](Simulation& w, Site& s, const Fault& f) {
        s.refusedShare = f.share;
        w.countWhileActive(s.recordsRefused, f.forS);
    };
    handlers["answers_lost"] = [](Simulation& w, Site& s, const Fault& f) {
        s.lostShare = f.share;
        w.countWhileActive(s.answersLost, f.forS);
    };
}

void Simulation::addCloudFaults(FaultHandlers& handlers) {
    handlers["cloud_outage"] = [](Simulation& w, Site& s, const Fault& f) {
        s.cloud->down = true;
        w.time_.at(w.endOf(f), [&s] { s.cloud->down = false; });
    };
    handlers["boot_trouble"] = [](Simulation& w, Site& s, const Fault& f) {
        s.cloud->bootFactor = f.factor;
        s.cloud->bootFails = 0.2;
        w.time_.at(w.endOf(f), [&s] {
            s.cloud->bootFactor = 1;
            s.cloud->bootFails = 0;
        });
    };
    handlers["spot_taken"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, true)) {
            const double notice = w.time_.chance(0.5) ? w.time_.between(0, 20) : 0;
            if (notice > 0) agent->noticeInterruption(fromSeconds(notice));
            w.time_.after(fromSeconds(notice), [&s, agent] {
                if (agent->gone()) return;
                s.cloud->lose(agent->host().name, true);
                agent->kill(false);
            });
        }
    };
}

void Simulation::addMachineFaults(FaultHandlers& handlers) {
    handlers["machine_die"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false)) {
            s.cloud->lose(agent->host().name, false);
            agent->kill(false);
        }
    };
    handlers["machine_hang"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false)) agent->hang(fromSeconds(f.forS));
    };
    handlers["machine_deaf"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false))
            agent->blockInbound(fromSeconds(f.forS));
    };
    handlers["machine_mute"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false)) {
            w.recordEvent(s, "is mute", agent->host().name);
            agent->blockOutbound(fromSeconds(f.forS));
        }
    };
    handlers["machine_restart"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false))
            w.restart(s, *agent, std::min(f.forS, w.time_.between(0.1, 0.6)));
    };
    handlers["machine_sick"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false)) {
            agent->setFailing(true);
            w.time_.at(w.endOf(f), [agent] { agent->setFailing(false); });
        }
    };
    handlers["commands_held"] = [](Simulation& w, Site& s, const Fault& f) {
        for (Agent* agent : w.pickAgents(s, f.count, false))
            agent->delayCommands(fromSeconds(f.forS));
    };
    handlers["repeated_commands"] = [](Simulation& w, Site& s, const Fault& f) {
        s.commandRepeater->begin(f.share);
        w.time_.at(w.endOf(f), [&s] { s.commandRepeater->end(); });
    };
    handlers["late_copies"] = [](Simulation& w, Site& s, const Fault& f) {
        s.reportCopyMaxDelayS = 3 * s.options.leaseS;
        w.time_.at(w.endOf(f), [&s] { s.reportCopyMaxDelayS = 0; });
    };
    handlers["copies_for_next"] = [](Simulation& w, Site& s, const Fault& f) {
        s.copyShare = f.share;
        w.countWhileActive(s.copiesForNext, f.forS);
    };
}

void Simulation::addUserFaults(FaultHandlers& handlers) {
    handlers["cancel_at_end"] = [](Simulation& w, Site& s, const Fault& f) {
        s.endShare = f.share;
        w.countWhileActive(s.cancelAtEnd, f.forS);
    };
    handlers["cancel_now"] = [](Simulation& w, Site& s, const Fault& f) { w.cancelNow(s, f); };
    handlers["close_looks"] = [](Simulation& w, Site& s, const Fault& f) {
        w.countWhileActive(s.closeLooks, f.forS);
        s.users->pollClosely(true);
        w.time_.at(w.endOf(f) + 1ms, [&s] { s.users->pollClosely(s.closeLooks > 0); });
    };
    handlers["odd_requests"] = [](Simulation& w, Site& s, const Fault& f) {
        w.countWhileActive(s.oddRequests, f.forS);
        w.sendOddRequests(s);
    };
    handlers["job_burst"] = [](Simulation& w, Site& s, const Fault& f) {
        s.arrivalFactors[f.jobClass] = f.factor;
        w.time_.at(w.endOf(f), [&s, c = f.jobClass] { s.arrivalFactors.erase(c); });
    };
}

}  // namespace basaltchute::simulator
