#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "lab/world.h"

// Plays scenarios from seeds: real controllers, simulated machines, network, users and services.

namespace lab = basaltchute::lab;

namespace {

struct Played {
    lab::Verdict verdict;
    std::string failure;  // a crash or a hang of a controller
    std::vector<lab::Fault> faults;
    lab::History history;
};

Played play(const lab::Scenario& scenario, std::uint64_t seed,
            const std::optional<std::set<std::size_t>>& kept = {}) {
    Played out;
    try {
        lab::World world(scenario, seed);
        if (kept) world.keep(*kept);
        out.faults = world.faults();
        world.run();
        out.verdict = world.verdict();
        out.history = world.history();
    } catch (const std::exception& e) {
        out.failure = e.what();
    }
    return out;
}

std::string firstRule(const Played& p) {
    if (!p.failure.empty()) return "controller: " + p.failure;
    return p.verdict.violations.empty() ? "" : p.verdict.violations.front().rule;
}

void print(const lab::Verdict& v) {
    for (const auto& x : v.violations) {
        std::cout << "  " << x.rule << ": " << x.what << '\n';
        for (const auto& e : x.proof) std::cout << "    " << lab::History::text(e) << '\n';
    }
}

void printShares(const lab::Verdict& v) {
    for (const auto* rows : {&v.classes, &v.teams})
        for (const auto& [name, s] : *rows)
            std::cout << fmt::format(
                "  {:<16} {:>5} jobs, accepted {:.3f}, started {:.3f}, ended {:.3f}\n", name,
                s.jobs, static_cast<double>(s.accepted) / static_cast<double>(s.jobs),
                static_cast<double>(s.started) / static_cast<double>(s.jobs),
                static_cast<double>(s.ended) / static_cast<double>(s.jobs));
}

/// One seed; 0 if nothing was wrong.
int one(const lab::Scenario& scenario, std::uint64_t seed, bool log, bool shares) {
    const Played p = play(scenario, seed);
    if (log)
        for (const auto& e : p.history.facts) std::cout << lab::History::text(e) << '\n';
    const std::string rule = firstRule(p);
    std::cout << fmt::format("seed {}: {} {} events {:016x}\n", seed,
                             rule.empty() ? "kept" : "BROKEN " + rule, p.history.facts.size(),
                             p.history.digest());
    print(p.verdict);
    if (shares) printShares(p.verdict);
    std::cout.flush();
    return rule.empty() ? 0 : 1;
}

/// Seeds in processes of their own, so that a crash is a finding with its seed.
int simulate(const lab::Scenario& scenario, std::uint64_t from, std::uint64_t to, unsigned jobs,
             bool log, bool shares) {
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
        if (pid == 0) ::_exit(one(scenario, seed, log, shares));
        running[pid] = seed;
    }
    while (!running.empty()) reap();
    std::cout << fmt::format("{} passed, {} failed\n", to - from + 1 - broken, broken);
    return broken == 0 ? 0 : 1;
}

/// The fewest faults with which the same rule breaks.
int shrink(const lab::Scenario& scenario, std::uint64_t seed) {
    const Played all = play(scenario, seed);
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
        if (firstRule(play(scenario, seed, fewer)) == rule) kept = fewer;
    }
    std::cout << rule << " with " << kept.size() << " of " << all.faults.size() << " faults:\n";
    for (const std::size_t i : kept) std::cout << "  " << all.faults[i].text() << '\n';
    print(play(scenario, seed, kept).verdict);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{"basaltchute-lab: controllers under any fault, from a seed."};
    cli.require_subcommand(1);
    std::string path, seeds = "1", level = "off";
    unsigned jobs = 1;
    bool log = false, shares = false;
    std::uint64_t seed = 1;
    auto* sim = cli.add_subcommand("simulate", "play a scenario and check every rule");
    sim->add_option("scenario", path, "scenario (JSON)")->required()->check(CLI::ExistingFile);
    sim->add_option("--seeds", seeds, "A or A-B");
    sim->add_option("--jobs", jobs, "seeds at once")->check(CLI::Range(1, 64));
    sim->add_flag("--log", log, "print every event");
    sim->add_flag("--shares", shares, "print what was accepted, started and ended");
    sim->add_option("--controllers", level, "log level of the controllers");
    auto* small = cli.add_subcommand("shrink", "the fewest faults with which a seed fails");
    small->add_option("scenario", path, "scenario (JSON)")->required()->check(CLI::ExistingFile);
    small->add_option("--seed", seed, "the seed")->required();
    CLI11_PARSE(cli, argc, argv);
    spdlog::set_default_logger(spdlog::stderr_logger_st("controllers"));
    spdlog::set_level(spdlog::level::from_str(level));

    const auto text = basaltchute::settings::readFile(path);
    const auto parsed = lab::parseScenario(text.value_or(""));
    if (const auto* wrong = std::get_if<std::string>(&parsed)) {
        std::cerr << path << ": " << *wrong << '\n';
        return 2;
    }
    const auto& scenario = std::get<lab::Scenario>(parsed);
    if (*small) return shrink(scenario, seed);
    const auto dash = seeds.find('-');
    std::uint64_t from = 0, to = 0;
    try {
        from = std::stoull(seeds.substr(0, dash));
        to = dash == std::string::npos ? from : std::stoull(seeds.substr(dash + 1));
    } catch (const std::exception&) {
        std::cerr << "--seeds: expected A or A-B, two numbers\n";
        return 2;
    }
    return simulate(scenario, from, to, jobs, log, shares);
}
