// The program `basaltchute`: reads its command line and settings, and runs one controller until
// SIGTERM or SIGINT. Ends with 0 after a shutdown or a successful check of settings, with 1 if the
// controller cannot run, and with 2 if the command line or the settings are wrong.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "controller/controller.h"
#include "runtime/log.h"

namespace settings = basaltchute::settings;

namespace {

constexpr int runFailed = 1;
constexpr int badUsage = 2;

volatile std::sig_atomic_t endRequested = 0;

void requestEnd(int) {
    endRequested = 1;
}

basaltchute::Task<void> waitForEnd(basaltchute::EventLoop& loop, basaltchute::Scope& scope,
                                   basaltchute::controller::Controller& controller) {
    while (endRequested == 0) {
        // The signal itself ends the wait in epoll; this looks at the flag now and then.
        co_await loop.sleep(std::chrono::milliseconds(500), scope);
    }
    spdlog::info("shutting down reason=signal");
    co_await controller.shutDown();
}

struct Options {
    std::string configPath, checkPath, operatorPath;
};

void declareOptions(CLI::App& cli, Options& options) {
    cli.add_option("--config", options.configPath, "Run with this settings file (JSON)")
        ->type_name("FILE");
    cli.add_option("--check-config", options.checkPath, "Check a settings file and exit")
        ->type_name("FILE");
    cli.add_option("--operator", options.operatorPath,
                   "The operators' own settings (JSON, by deploy/operator.schema.json)")
        ->type_name("FILE");
    cli.set_version_flag("--version", "basaltchute " BASALTCHUTE_VERSION);
}

/// The settings of that file; what is wrong with it goes to standard error.
std::optional<settings::Settings> loadSettings(const std::string& path) {
    auto loaded = settings::load(path);
    if (const auto* error = std::get_if<settings::Error>(&loaded)) {
        std::cerr << path << ": " << *error << '\n';
        return std::nullopt;
    }
    return std::get<settings::Settings>(std::move(loaded));
}

/// Likewise the operators' own settings; the defaults without a file.
std::optional<settings::Operator> loadOperatorSettings(const std::string& path,
                                                       const settings::Settings& platform) {
    if (path.empty()) return settings::Operator{};
    auto loaded = settings::loadOperator(path, platform);
    if (const auto* error = std::get_if<settings::Error>(&loaded)) {
        std::cerr << path << ": " << *error << '\n';
        return std::nullopt;
    }
    return std::get<settings::Operator>(std::move(loaded));
}

void handleSignals() {
    std::signal(SIGTERM, requestEnd);
    std::signal(SIGINT, requestEnd);
    std::signal(SIGPIPE, SIG_IGN);
}

void run(settings::Settings platform, settings::Operator operatorSettings) {
    handleSignals();
    const basaltchute::SystemClock clock;
    basaltchute::EventLoop loop(clock);
    basaltchute::Scope scope(loop);
    std::random_device random;
    const std::string incarnation = std::to_string(random()) + std::to_string(random());
    basaltchute::controller::Controller controller(loop, std::move(platform),
                                                   std::move(operatorSettings), incarnation);
    controller.start();
    loop.spawn(waitForEnd(loop, scope, controller));
    loop.run();
}

/// The whole program; its exit status.
int runProgram(int argc, char** argv) {
    CLI::App cli{"basaltchute: a cluster scheduler. Runs one controller."};
    Options options;
    declareOptions(cli, options);
    CLI11_PARSE(cli, argc, argv);
    const bool checkOnly = options.configPath.empty();
    if (checkOnly && options.checkPath.empty()) {
        std::cerr << cli.help();
        return badUsage;
    }
    basaltchute::configureLogging("basaltchute");
    auto platform = loadSettings(checkOnly ? options.checkPath : options.configPath);
    if (!platform) return badUsage;
    auto operatorSettings = loadOperatorSettings(options.operatorPath, *platform);
    if (!operatorSettings) return badUsage;
    if (checkOnly) return 0;
    run(std::move(*platform), std::move(*operatorSettings));
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& e) {
        spdlog::critical("controller failed error={}", e.what());
    } catch (...) {
        spdlog::critical("controller failed error=unknown");
    }
    return runFailed;
}
