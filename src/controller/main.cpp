// The controller program: reads the settings, then runs one controller until SIGTERM or SIGINT.
// Exit codes: 0 after a shutdown or a successful check, 1 if the controller cannot run, 2 for wrong
// arguments or settings.
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "controller/controller.h"
#include "runtime/log.h"

namespace {

volatile std::sig_atomic_t shutdownRequested = 0;

void requestShutdown(int) {
    shutdownRequested = 1;
}

basaltchute::Task<void> shutDownOnSignal(basaltchute::EventLoop& loop, basaltchute::Scope& scope,
                                         basaltchute::controller::Controller& controller) {
    while (shutdownRequested == 0) {
        // The handler only sets the flag, which is polled here. The signal itself also interrupts
        // the wait in epoll.
        co_await loop.sleep(std::chrono::milliseconds(500), scope);
    }
    spdlog::info("shutting down on a signal");
    co_await controller.shutDown();
}

}  // namespace

namespace settings = basaltchute::settings;

int main(int argc, char** argv) {
    CLI::App cli{"basaltchute: a cluster scheduler. Runs one controller."};
    std::string runPath, checkPath, operatorPath;
    cli.add_option("--config", runPath, "Run a controller with this settings file (JSON)")
        ->type_name("FILE");
    cli.add_option("--check-config", checkPath, "Check a settings file and exit")
        ->type_name("FILE");
    cli.add_option("--operator", operatorPath,
                   "Settings of the operators (JSON, schema: deploy/operator.schema.json)")
        ->type_name("FILE");
    cli.set_version_flag("--version", "basaltchute " BASALTCHUTE_VERSION);
    CLI11_PARSE(cli, argc, argv);
    if (runPath.empty() && checkPath.empty()) {
        std::cerr << cli.help();
        return 2;
    }
    basaltchute::configureLogging("basaltchute");
    const std::string path = runPath.empty() ? checkPath : runPath;
    auto loaded = settings::load(path);
    if (const auto* error = std::get_if<settings::Error>(&loaded)) {
        std::cerr << path << ": " << *error << '\n';
        return 2;
    }
    const auto& platformSettings = std::get<settings::Settings>(loaded);
    settings::OperatorSettings operatorSettings;  // defaults unless a file is given
    if (!operatorPath.empty()) {
        auto loadedOperator = settings::loadOperatorSettings(operatorPath, platformSettings);
        if (const auto* error = std::get_if<settings::Error>(&loadedOperator)) {
            std::cerr << operatorPath << ": " << *error << '\n';
            return 2;
        }
        operatorSettings = std::get<settings::OperatorSettings>(std::move(loadedOperator));
    }
    if (runPath.empty()) return 0;

    std::signal(SIGTERM, requestShutdown);
    std::signal(SIGINT, requestShutdown);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const basaltchute::SystemClock clock;
        basaltchute::EventLoop loop(clock);
        basaltchute::Scope scope(loop);
        std::random_device random;
        const std::string incarnation = std::to_string(random()) + std::to_string(random());
        basaltchute::controller::Controller controller(loop, platformSettings,
                                                       std::move(operatorSettings), incarnation);
        controller.start();
        loop.spawn(shutDownOnSignal(loop, scope, controller));
        loop.run();
    } catch (const std::exception& e) {
        spdlog::critical("controller cannot run: error={}", e.what());
        return 1;
    }
    return 0;
}
