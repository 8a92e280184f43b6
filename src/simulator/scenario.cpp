#include "simulator/scenario.h"

#include <fmt/format.h>

#include <algorithm>

#include "json/json.h"
#include "json/schema.h"
#include "scenario_schema.h"

namespace basaltchute::simulator {

namespace {

const json::Value& emptyObject() {
    static const json::Document empty = [] {
        json::Document d;
        d.SetObject();
        return d;
    }();
    return empty;
}
const json::Value& objectOrEmpty(const json::Value& v, const char* name) {
    const auto* p = json::find(v, name);
    return p == nullptr ? emptyObject() : *p;
}
double numberOr(const json::Value& v, const char* name, double fallback) {
    return json::number(v, name).value_or(fallback);
}
std::uint32_t countOr(const json::Value& v, const char* name, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(json::count(v, name).value_or(fallback));
}
std::string textOr(const json::Value& v, const char* name) {
    return json::string(v, name).value_or("");
}
std::vector<std::string> texts(const json::Value* array) {
    std::vector<std::string> out;
    if (array != nullptr)
        for (const auto& v : array->GetArray()) out.emplace_back(v.GetString());
    return out;
}
Priority parsePriority(const std::string& s) {
    return s == "production" ? Priority::production
           : s == "high"     ? Priority::high
           : s == "normal"   ? Priority::normal
                             : Priority::low;
}

SimulatedMachineType parseMachineType(const json::Value& v) {
    SimulatedMachineType t;
    t.name = textOr(v, "name");
    t.cores = numberOr(v, "cores", 1);
    t.gpus = numberOr(v, "gpus", 0);
    t.ramGb = numberOr(v, "ramGb", 1);
    t.fetchGbPerS = numberOr(v, "fetchGbPerS", t.fetchGbPerS);
    t.price = numberOr(v, "price", t.price);
    t.spotPrice = numberOr(v, "spotPrice", t.spotPrice);
    t.bootS = numberOr(v, "bootS", t.bootS);
    t.neverBoots = numberOr(v, "neverBoots", 0);
    t.ordinary = countOr(v, "ordinary", 0);
    t.spot = countOr(v, "spot", 0);
    t.up = countOr(v, "up", 0);
    return t;
}

JobClassOptions parseJobClass(const json::Value& v) {
    JobClassOptions c;
    c.name = textOr(v, "name");
    c.standing = textOr(v, "shape") == "standing";
    c.priority = parsePriority(textOr(v, "priority"));
    c.cores = numberOr(v, "cores", 1);
    c.ramGb = numberOr(v, "ramGb", 1);
    c.perMinute = numberOr(v, "perMinute", 0);
    c.imageGb = numberOr(v, "imageGb", 0.5);
    c.checkpointS = numberOr(v, "checkpointS", 0);
    c.saveS = numberOr(v, "saveS", 0);
    c.deadlineFactor = numberOr(v, "deadlineFactor", 0);
    c.cancelledShare = numberOr(v, "withdrawn", 0);
    c.apart = numberOr(v, "apart", 0);
    for (unsigned i = 0; i < 2; ++i) {
        c.tasks.at(i) = v["tasks"][i].GetUint();
        c.runS.at(i) = v["runS"][i].GetDouble();
    }
    c.initial = countOr(v, "initial", 0);
    c.images = countOr(v, "images", 3);
    c.spot = json::boolean(v, "spot").value_or(false);
    c.spread = json::boolean(v, "spread").value_or(false);
    c.together = json::boolean(v, "together").value_or(false);
    c.bound = numberOr(v, "bound", 0);
    c.waitS = json::number(v, "waitS");
    return c;
}

PipelineOptions parsePipeline(const json::Value& v) {
    PipelineOptions p;
    p.name = textOr(v, "name");
    p.perMinute = numberOr(v, "perMinute", 0);
    p.fromS = numberOr(v, "fromS", 0);
    p.deadlinePlusS = numberOr(v, "deadlinePlusS", p.deadlinePlusS);
    p.onEarlier = numberOr(v, "onEarlier", 0);
    p.late = numberOr(v, "late", 0);
    p.cancelledShare = numberOr(v, "withdrawn", 0);
    for (const auto& s : v["stages"].GetArray()) {
        PipelineOptions::Stage stage;
        stage.jobClass = textOr(s, "class");
        if (const auto* jobs = json::array(s, "jobs"))
            stage.jobs = {(*jobs)[0].GetUint(), (*jobs)[1].GetUint()};
        if (const auto* needs = json::array(s, "needs"))
            for (const auto& n : needs->GetArray()) stage.needs.push_back(n.GetUint());
        p.stages.push_back(std::move(stage));
    }
    return p;
}

SiteOptions parseSite(const json::Value& v) {
    SiteOptions s;
    s.name = textOr(v, "name");
    s.nodes = countOr(v, "nodes", 3);
    s.sockets = countOr(v, "sockets", 2000);
    s.zones = texts(json::array(v, "zones"));
    for (const auto& t : v["types"].GetArray()) s.types.push_back(parseMachineType(t));
    for (const auto& t : v["teams"].GetArray())
        s.teams.push_back(
            {textOr(t, "name"), numberOr(t, "cores", 0), numberOr(t, "coresMax", 0), 0, 0});
    for (const auto& c : v["classes"].GetArray()) s.classes.push_back(parseJobClass(c));
    if (const auto* pipelines = json::array(v, "pipelines"))
        for (const auto& p : pipelines->GetArray()) s.pipelines.push_back(parsePipeline(p));
    s.heldBack = json::boolean(v, "heldBack").value_or(false);
    const auto& state = objectOrEmpty(v, "state");
    const auto& next = objectOrEmpty(state, "next");
    s.next.valueBytes = static_cast<std::size_t>(numberOr(next, "valueKb", 0) * 1024);
    s.next.txnOps = countOr(next, "txnOps", 0);
    s.next.writeRps = numberOr(next, "writeRps", 0);
    s.state.rps = numberOr(state, "rps", s.state.rps);
    s.state.writeRps = numberOr(state, "writeRps", s.state.writeRps);
    s.state.valueBytes = static_cast<std::size_t>(numberOr(state, "valueKb", 16) * 1024);
    s.state.txnOps = countOr(state, "txnOps", static_cast<std::uint32_t>(s.state.txnOps));
    s.state.latency = fromSeconds(numberOr(state, "latencyMs", 4) / 1000);
    const auto& cloud = objectOrEmpty(v, "cloud");
    s.cloudRps = numberOr(cloud, "rps", s.cloudRps);
    s.listLagS = numberOr(cloud, "listLagS", s.listLagS);
    const auto& workers = objectOrEmpty(v, "workers");
    s.reportS = numberOr(workers, "reportS", s.reportS);
    s.leaseS = numberOr(workers, "leaseS", s.leaseS);
    s.cancelS = numberOr(workers, "cancelS", s.cancelS);
    s.restartS = numberOr(v, "restartS", s.restartS);
    s.clockOffMs = numberOr(v, "clockOffMs", s.clockOffMs);
    return s;
}

bool isFaultKind(const std::string& kind) {
    const auto& all = faultKinds();
    return std::find(all.begin(), all.end(), kind) != all.end();
}

std::string validationError(const PipelineOptions& p, const SiteOptions& site) {
    for (std::size_t i = 0; i < p.stages.size(); ++i) {
        const auto& stage = p.stages[i];
        const std::string at = fmt::format("/stages/{}", i);
        const auto c = std::find_if(site.classes.begin(), site.classes.end(),
                                    [&](const auto& k) { return k.name == stage.jobClass; });
        if (c == site.classes.end() || c->standing)
            return at + "/class: expected a class of arrays of that site";
        if (stage.jobs[0] > stage.jobs[1]) return at + "/jobs: expected the lower bound first";
        for (const std::size_t need : stage.needs)
            if (need >= i) return at + "/needs: expected numbers of stages before it";
    }
    return "";
}

std::string validationError(const Scenario& s) {
    for (std::size_t i = 0; i < s.sites.size(); ++i) {
        const SiteOptions& site = s.sites[i];
        const std::string at = fmt::format("#/sites/{}", i);
        for (std::size_t other = 0; other < i; ++other)
            if (s.sites[other].name == site.name) return at + "/name: expected a name of its own";
        for (std::size_t c = 0; c < site.classes.size(); ++c) {
            const JobClassOptions& k = site.classes[c];
            const bool fits = std::any_of(site.types.begin(), site.types.end(), [&](const auto& t) {
                return t.cores >= k.cores && t.ramGb >= k.ramGb;
            });
            if (!fits) return fmt::format("{}/classes/{}: expected a type that a task fits", at, c);
            if (k.spread && (k.together || k.bound > 0))
                return fmt::format("{}/classes/{}/spread: expected neither together nor bound", at,
                                   c);
            if (k.tasks[0] > k.tasks[1] || k.runS[0] > k.runS[1])
                return fmt::format("{}/classes/{}: expected the lower bound first", at, c);
        }
        for (std::size_t t = 0; t < site.types.size(); ++t)
            if (site.types[t].up > site.types[t].ordinary)
                return fmt::format("{}/types/{}/up: expected no more than ordinary", at, t);
        for (std::size_t p = 0; p < site.pipelines.size(); ++p)
            if (auto error = validationError(site.pipelines[p], site); !error.empty())
                return fmt::format("{}/pipelines/{}{}", at, p, error);
        if (site.cancelS <= site.leaseS) return at + "/workers/cancelS: expected more than leaseS";
    }
    const auto siteOf = [&](const std::string& name) {
        return std::find_if(s.sites.begin(), s.sites.end(),
                            [&](const auto& x) { return x.name == name; });
    };
    for (std::size_t i = 0; i < s.faults.size(); ++i) {
        const Fault& f = s.faults[i];
        const std::string at = fmt::format("#/faults/{}", i);
        if (!isFaultKind(f.kind)) return at + "/kind: expected a known kind of fault";
        if (f.atS > s.seconds) return at + "/atS: expected a time within the run";
        if (f.kind == "state_limits" &&
            std::any_of(s.sites.begin(), s.sites.end(), [&](const SiteOptions& x) {
                return (f.site.empty() || f.site == x.name) && x.next.valueBytes == 0 &&
                       x.next.txnOps == 0 && x.next.writeRps == 0;
            }))
            return at + "/kind: expected a site with state/next";
        if (f.site.empty()) continue;
        const auto site = siteOf(f.site);
        if (site == s.sites.end()) return at + "/site: expected a known site";
        if (!f.zone.empty() &&
            std::find(site->zones.begin(), site->zones.end(), f.zone) == site->zones.end())
            return at + "/zone: expected a zone of that site";
        if (!f.jobClass.empty() &&
            std::none_of(site->classes.begin(), site->classes.end(),
                         [&](const auto& c) { return c.name == f.jobClass; }))
            return at + "/class: expected a class of that site";
    }
    for (std::size_t i = 0; i < s.swarm.kinds.size(); ++i)
        if (!isFaultKind(s.swarm.kinds[i]))
            return fmt::format("#/swarm/kinds/{}: expected a known kind of fault", i);
    for (std::size_t i = 0; i < s.swarm.pairs.size(); ++i)
        for (std::size_t k = 0; k < 2; ++k)
            if (s.swarm.pairs[i].at(k) != Swarm::anyKind && !isFaultKind(s.swarm.pairs[i].at(k)))
                return fmt::format("#/swarm/pairs/{}/{}: expected a known kind of fault, or \"{}\"",
                                   i, k, Swarm::anyKind);
    if (s.swarm.thenLeaderEnds && s.swarm.pairs.empty())
        return "#/swarm/thenLeaderEnds: expected pairs beside it";
    if (!s.swarm.pairs.empty() && s.swarm.toS <= s.swarm.fromS)
        return "#/swarm/toS: expected a time after fromS, for its pairs";
    if (s.swarm.toS > s.seconds) return "#/swarm/toS: expected a time within the run";
    return "";
}

}  // namespace

const std::vector<std::string>& faultKinds() {
    static const std::vector<std::string> all{
        "node_crash",    "node_freeze",     "node_cut",     "node_from_state", "node_from_workers",
        "node_stutter",  "zone_cut",        "zones_apart",  "one_way",         "peers_refuse",
        "state_outage",  "state_late",      "cloud_outage", "boot_trouble",    "machine_die",
        "machine_hang",  "machine_sick",    "spot_taken",   "job_burst",       "site_apart",
        "node_isolated", "node_roll",       "state_limits", "machine_deaf",    "machine_restart",
        "late_copies",   "node_refused",    "late_writes",  "state_slow",      "commands_held",
        "cancel_now",    "cancel_at_end",   "machine_mute", "odd_requests",    "close_looks",
        "answers_lost",  "copies_for_next", "peers_slow",   "records_refused", "repeated_commands"};
    return all;
}

std::string Fault::text() const {
    std::string out = fmt::format(R"({{"atS":{:.3f},"kind":"{}","forS":{:.3f},"count":{})", atS,
                                  kind, forS, count);
    if (!site.empty()) out += fmt::format(R"(,"site":"{}")", site);
    if (!zone.empty()) out += fmt::format(R"(,"zone":"{}")", zone);
    if (!jobClass.empty()) out += fmt::format(R"(,"class":"{}")", jobClass);
    if (factor != 1) out += fmt::format(R"(,"factor":{:.2f})", factor);
    if (share != Fault{}.share) out += fmt::format(R"(,"share":{:.2f})", share);
    if (leader) out += R"(,"leader":true)";
    if (reset) out += R"(,"reset":true)";
    return out + '}';
}

std::variant<Scenario, std::string> parseScenario(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc) return std::string("not JSON");
    if (auto error = json::schemaError(*doc, scenarioSchema)) return std::move(*error);
    Scenario s;
    s.seconds = numberOr(*doc, "seconds", 60);
    const auto& shown = objectOrEmpty(*doc, "shown");
    s.shown.knownS = numberOr(shown, "knownS", s.shown.knownS);
    s.shown.beginS = numberOr(shown, "beginS", 0);
    for (const auto& v : (*doc)["sites"].GetArray()) s.sites.push_back(parseSite(v));
    if (const auto* faults = json::array(*doc, "faults"))
        for (const auto& v : faults->GetArray()) {
            Fault f;
            f.atS = numberOr(v, "atS", 0);
            f.forS = numberOr(v, "forS", 10);
            f.factor = numberOr(v, "factor", 1);
            f.share = numberOr(v, "share", f.share);
            f.kind = textOr(v, "kind");
            f.site = textOr(v, "site");
            f.zone = textOr(v, "zone");
            f.jobClass = textOr(v, "class");
            f.count = countOr(v, "count", 1);
            f.leader = json::boolean(v, "leader").value_or(false);
            f.reset = json::boolean(v, "reset").value_or(false);
            s.faults.push_back(std::move(f));
        }
    const auto& swarm = objectOrEmpty(*doc, "swarm");
    s.swarm.fromS = numberOr(swarm, "fromS", 10);
    s.swarm.toS = numberOr(swarm, "toS", 0);
    s.swarm.kinds = texts(json::array(swarm, "kinds"));
    s.swarm.most = countOr(swarm, "most", 6);
    s.swarm.thenLeaderEnds = json::boolean(swarm, "thenLeaderEnds").value_or(false);
    if (const auto* pairs = json::array(swarm, "pairs"))
        for (const auto& p : pairs->GetArray())
            s.swarm.pairs.push_back({p[0].GetString(), p[1].GetString()});
    if (s.swarm.kinds.empty()) {
        // Without next limits on every site, the fault `state_limits` would change nothing.
        const bool limitsChange =
            std::all_of(s.sites.begin(), s.sites.end(), [](const SiteOptions& x) {
                return x.next.valueBytes > 0 || x.next.txnOps > 0 || x.next.writeRps > 0;
            });
        for (const auto& k : faultKinds())
            if (k != "state_limits" || limitsChange) s.swarm.kinds.push_back(k);
    }
    if (auto error = validationError(s); !error.empty()) return error;
    return s;
}

}  // namespace basaltchute::simulator
