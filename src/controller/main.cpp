#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "controller/controller.h"
#include "runtime/log.h"

namespace {

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
    spdlog::info("ending on a signal");
    co_await controller.shutDown();
}

}  // namespace

namespace settings = basaltchute::settings;

int main(int argc, char** argv) {
    CLI::App cli{"basaltchute: a cluster scheduler. Runs one controller."};
    std::string config, check, operatorPath;
    cli.add_option("--config", config, "Run with this settings file (JSON)")->type_name("FILE");
    cli.add_option("--check-config", check, "Check a settings file and exit")->type_name("FILE");
    cli.add_option("--operator", operatorPath,
                   "The operators' own settings (JSON, by deploy/operator.schema.json)")
        ->type_name("FILE");
    cli.set_version_flag("--version", "basaltchute " BASALTCHUTE_VERSION);
    CLI11_PARSE(cli, argc, argv);
    if (config.empty() && check.empty()) {
        std::cerr << cli.help();
        return 2;
    }
    basaltchute::configureLogging("basaltchute");
    const std::string path = config.empty() ? check : config;
    auto loaded = settings::load(path);
    if (const auto* error = std::get_if<settings::Error>(&loaded)) {
        std::cerr << path << ": " << *error << '\n';
        return 2;
    }
    const auto& platform = std::get<settings::Settings>(loaded);
    settings::OperatorSettings operatorSettings;
    if (!operatorPath.empty()) {
        auto own = settings::loadOperatorSettings(operatorPath, platform);
        if (const auto* error = std::get_if<settings::Error>(&own)) {
            std::cerr << operatorPath << ": " << *error << '\n';
            return 2;
        }
        operatorSettings = std::get<settings::OperatorSettings>(std::move(own));
    }
    if (config.empty()) return 0;

    std::signal(SIGTERM, requestEnd);
    std::signal(SIGINT, requestEnd);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const basaltchute::SystemClock clock;
        basaltchute::EventLoop loop(clock);
        basaltchute::Scope scope(loop);
        std::random_device random;
        const std::string incarnation = std::to_string(random()) + std::to_string(random());
        basaltchute::controller::Controller controller(loop, platform, std::move(operatorSettings),
                                                       incarnation);
        controller.start();
        loop.spawn(waitForEnd(loop, scope, controller));
        loop.run();
    } catch (const std::exception& e) {
        spdlog::critical("cannot run: {}", e.what());
        return 1;
    }
    return 0;
}
