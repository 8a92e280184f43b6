#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <iostream>

#include "json/json.h"
#include "simulator/measures.h"
#include "simulator/simulation.h"

// The simulator's command line. It runs scenarios from seeds, with real controllers and simulated
// machines, network, users and services.

namespace simulator = basaltchute::simulator;

namespace {

/// The outcome of one run.
struct RunResult {
    simulator::CheckResult result;
    std::string failure;  // a crash or a hang of a controller
    std::vector<simulator::Fault> faults;
    simulator::History history;
};

RunResult runScenario(const simulator::Scenario& scenario, std::uint64_t seed,
                      const std::optional<std::set<std::size_t>>& kept = {}) {
    RunResult out;
    try {
        simulator::Simulation simulation(scenario, seed);
        if (kept) simulation.applyOnlyFaults(*kept);
        out.faults = simulation.faults();
        simulation.run();
        out.result = simulation.checkResult();
        out.history = simulation.history();
    } catch (const std::exception& e) {
        out.failure = e.what();
    }
    return out;
}

std::string firstRule(const RunResult& p) {
    if (!p.failure.empty()) return "controller: " + p.failure;
    return p.result.violations.empty() ? "" : p.result.violations.front().rule;
}

void print(const simulator::CheckResult& v) {
    for (const auto& x : v.violations) {
        std::cout << "  " << x.rule << ": " << x.what << '\n';
        for (const auto& e : x.proof) std::cout << "    " << simulator::History::text(e) << '\n';
    }
}

void printShares(const simulator::CheckResult& v) {
    for (const auto& [kind, rows] : {std::pair("", &v.classes), std::pair("team ", &v.teams),
                                     std::pair("largest of ", &v.largest)})
        for (const auto& [name, s] : *rows)
            std::cout << fmt::format(
                "  {:<28} {:>5} jobs, accepted {:.3f}, started {:.3f}, ended {:.3f}\n", kind + name,
                s.jobs, static_cast<double>(s.accepted) / static_cast<double>(s.jobs),
                static_cast<double>(s.started) / static_cast<double>(s.jobs),
                static_cast<double>(s.ended) / static_cast<double>(s.jobs));
    std::cout << fmt::format(
        "  {} answers overtaken by newer ones, {} starts on their way when their job was "
        "cancelled\n",
        v.overtaken, v.startedCancelled);
}

/// What to print about each run beside its result.
struct OutputOptions {
    bool log = false, shares = false, json = false;
};

/// Runs one seed and prints its result; returns 0 if no rule was broken.
int runSeed(const simulator::Scenario& scenario, std::uint64_t seed, OutputOptions show) {
    const RunResult p = runScenario(scenario, seed);
    if (show.log)
        for (const auto& e : p.history.events) std::cout << simulator::History::text(e) << '\n';
    const std::string rule = firstRule(p);
    std::cout << fmt::format("seed {}: {} {} events {:016x}\n", seed,
                             rule.empty() ? "kept" : "BROKEN " + rule, p.history.events.size(),
                             p.history.digest());
    print(p.result);
    if (show.shares) printShares(p.result);
    if (show.json)
        std::cout << simulator::measuresText(seed, simulator::measure(p.history, p.result)) << '\n';
    std::cout.flush();
    return rule.empty() ? 0 : 1;
}

/// Runs each seed in a process of its own, so that a crash is reported with its seed.
int simulate(const simulator::Scenario& scenario, std::uint64_t from, std::uint64_t to,
             unsigned jobs, OutputOptions show) {
    std::map<pid_t, std::uint64_t> running;
    std::uint64_t broken = 0;
    const auto reap = [&] {
        int status = 0;
        const pid_t done = ::wait(&status);
        if (!WIFEXITED(status))
            std::cout << "seed " << running[done] << ": BROKEN the run crashed\n";
        if (status != 0) ++broken;
        running.erase(done);
    };
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        if (running.size() >= jobs) reap();
        std::cout.flush();
        const pid_t pid = ::fork();
        if (pid == 0) ::_exit(runSeed(scenario, seed, show));
        running[pid] = seed;
    }
    while (!running.empty()) reap();
    std::cout << fmt::format("{} passed, {} failed\n", to - from + 1 - broken, broken);
    return broken == 0 ? 0 : 1;
}

/// Removes faults one by one as long as the same rule still breaks, and prints those that remain.
int shrink(const simulator::Scenario& scenario, std::uint64_t seed) {
    const RunResult all = runScenario(scenario, seed);
    const std::string rule = firstRule(all);
    if (rule.empty()) {
        std::cout << "seed " << seed << " breaks nothing\n";
        return 1;
    }
    std::set<std::size_t> kept;
    for (std::size_t i = 0; i < all.faults.size(); ++i) kept.insert(i);
    for (std::size_t i = 0; i < all.faults.size(); ++i) {
        auto fewer = kept;
        fewer.erase(i);
        if (firstRule(runScenario(scenario, seed, fewer)) == rule) kept = fewer;
    }
    std::cout << rule << " with " << kept.size() << " of " << all.faults.size() << " faults:\n";
    for (const std::size_t i : kept) std::cout << "  " << all.faults[i].text() << '\n';
    print(runScenario(scenario, seed, kept).result);
    return 0;
}

/// One side of an experiment: a build of this program and a scenario.
struct ExperimentSide {
    std::string program, scenario;
};

/// Runs one side and returns what it prints; no value if it could not be run or refused its
/// scenario.
std::optional<std::string> runSide(const ExperimentSide& side, const std::string& seeds,
                                   unsigned jobs) {
    const auto quoted = [](const std::string& s) {
        std::string out = "'";
        for (const char c : s) out += c == '\'' ? std::string("'\\''") : std::string(1, c);
        return out + '\'';
    };
    const std::string command = quoted(side.program) + " simulate " + quoted(side.scenario) +
                                " --json --seeds " + quoted(seeds) + " --jobs " +
                                std::to_string(jobs);
    FILE* pipe = ::popen(command.c_str(), "r");
    if (pipe == nullptr) return std::nullopt;
    std::string out;
    std::array<char, 65536> buffer{};
    for (std::size_t n = 0; (n = ::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
        out.append(buffer.data(), n);
    const int status = ::pclose(pipe);
    // Status 1 means broken rules, which are a measure like the others; other statuses are
    // failures.
    if (!WIFEXITED(status) || WEXITSTATUS(status) > 1) return std::nullopt;
    return out;
}

int experiment(const ExperimentSide& a, const ExperimentSide& b, const std::string& seeds,
               unsigned jobs, bool json) {
    std::array<std::map<std::uint64_t, simulator::Measures>, 2> runs;
    for (unsigned i = 0; i < 2; ++i) {
        const auto text = runSide(i == 0 ? a : b, seeds, jobs);
        if (!text) {
            std::cerr << (i == 0 ? a : b).program << ": could not be run\n";
            return 2;
        }
        runs.at(i) = simulator::parseMeasures(*text);
    }
    const auto found = simulator::compare(runs[0], runs[1]);
    if (json) {
        basaltchute::json::Writer o;
        o.open().field("seeds", seeds).key("measures").openArray();
        for (const auto& d : found) {
            o.open().field("name", d.name).field("pairs", static_cast<std::uint64_t>(d.pairs));
            o.field("a", d.meanA).field("b", d.meanB).field("difference", d.difference);
            if (d.pairs > 1) o.field("low", d.low).field("high", d.high);
            o.field("clear", d.clear()).close();
        }
        o.closeArray().close();
        std::cout << o.text() << '\n';
        return 0;
    }
    std::cout << fmt::format("{:<36} {:>6} {:>10} {:>10} {:>10}   95%\n", "", "pairs", "a", "b",
                             "b - a");
    for (const auto& d : found)
        std::cout << fmt::format(
            "{:<36} {:>6} {:>10.4f} {:>10.4f} {:>10.4f}   {:.4f} to {:.4f}{}\n", d.name, d.pairs,
            d.meanA, d.meanB, d.difference, d.low, d.high, d.clear() ? " *" : "");
    return 0;
}

}  // namespace

// CLI11 throws only while options are defined, so a mistake there shows at every start.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    CLI::App cli{
        "basaltchute-simulator: simulates controllers under faults, reproducibly from a seed."};
    cli.require_subcommand(1);
    std::string path, seeds = "1", level = "off";
    unsigned jobs = 1;
    OutputOptions show;
    std::uint64_t seed = 1;
    auto* sim = cli.add_subcommand("simulate", "run a scenario and check every rule");
    sim->add_option("scenario", path, "scenario (JSON)")->required()->check(CLI::ExistingFile);
    sim->add_option("--seeds", seeds, "A or A-B");
    sim->add_option("--jobs", jobs, "number of seeds to run in parallel")->check(CLI::Range(1, 64));
    sim->add_flag("--log", show.log, "print every event");
    sim->add_flag("--shares", show.shares, "print the shares of jobs accepted, started and ended");
    sim->add_flag("--json", show.json, "print measures, one line of JSON per seed");
    sim->add_option("--controllers", level, "log level of the controllers");
    auto* shrinkCommand = cli.add_subcommand("shrink", "reduce the faults of a failing seed");
    shrinkCommand->add_option("scenario", path, "scenario (JSON)")
        ->required()
        ->check(CLI::ExistingFile);
    shrinkCommand->add_option("--seed", seed, "the seed")->required();
    std::string a, b, pathB;
    bool asJson = false;
    auto* experimentCommand =
        cli.add_subcommand("experiment", "compare two builds or scenarios over the same seeds");
    experimentCommand->add_option("scenario", path, "scenario (JSON)")
        ->required()
        ->check(CLI::ExistingFile);
    experimentCommand
        ->add_option("--b-scenario", pathB, "scenario of side B; the same one by default")
        ->check(CLI::ExistingFile);
    experimentCommand->add_option("--a", a, "program of side A; this one by default")
        ->check(CLI::ExistingFile);
    experimentCommand->add_option("--b", b, "program of side B; this one by default")
        ->check(CLI::ExistingFile);
    experimentCommand->add_option("--seeds", seeds, "A or A-B");
    experimentCommand->add_option("--jobs", jobs, "number of seeds to run in parallel")
        ->check(CLI::Range(1, 64));
    experimentCommand->add_flag("--json", asJson, "print JSON");
    CLI11_PARSE(cli, argc, argv);
    spdlog::set_default_logger(spdlog::stderr_logger_st("controllers"));
    spdlog::set_level(spdlog::level::from_str(level));

    if (*experimentCommand) {
        if (b.empty() && pathB.empty()) {
            std::cerr << "experiment: expected --b or --b-scenario\n";
            return 2;
        }
        const std::string self = argv[0];
        return experiment({a.empty() ? self : a, path},
                          {b.empty() ? self : b, pathB.empty() ? path : pathB}, seeds, jobs,
                          asJson);
    }
    const auto text = basaltchute::settings::readFile(path);
    const auto parsed = simulator::parseScenario(text.value_or(""));
    if (const auto* error = std::get_if<std::string>(&parsed)) {
        std::cerr << path << ": " << *error << '\n';
        return 2;
    }
    const auto& scenario = std::get<simulator::Scenario>(parsed);
    if (*shrinkCommand) return shrink(scenario, seed);
    const auto dash = seeds.find('-');
    std::uint64_t from = 0, to = 0;
    try {
        from = std::stoull(seeds.substr(0, dash));
        to = dash == std::string::npos ? from : std::stoull(seeds.substr(dash + 1));
    } catch (const std::exception&) {
        std::cerr << "--seeds: expected A or A-B, two numbers\n";
        return 2;
    }
    return simulate(scenario, from, to, jobs, show);
}
