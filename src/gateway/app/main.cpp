#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>

#include "gateway/app/cli.h"
#include "gateway/app/gateway.h"
#include "runtime/log.h"

namespace {

namespace gateway = basaltchute::gateway;
using namespace std::chrono_literals;

volatile std::sig_atomic_t stopSignals = 0, reloadRequested = 0;

void onSignal(int signal) {
    if (signal == SIGHUP)
        reloadRequested = 1;
    else
        stopSignals = stopSignals + 1;
}

/// Drains on the first SIGTERM or SIGINT, stops at once on the second; SIGHUP reloads certificates.
basaltchute::Task<void> watchSignals(basaltchute::EventLoop& loop, basaltchute::Scope& scope,
                                     gateway::Gateway& instance) {
    while (!instance.ended() && stopSignals < 2) {
        // A signal interrupts epoll_wait, but the flags are only read here.
        co_await loop.sleep(200ms, scope);
        if (reloadRequested != 0) {
            reloadRequested = 0;
            if (const auto wrong = instance.reload())
                spdlog::error("certificate reload failed: error={}", *wrong);
            else
                spdlog::info("certificates reloaded for new connections");
        }
        if (stopSignals > 0) instance.drain();
    }
    co_await instance.end();
    loop.stop();
}

int run(const std::string& path, bool checkOnly) {
    auto loaded = gateway::load(path);
    if (const auto* error = std::get_if<basaltchute::settings::Error>(&loaded)) {
        std::cerr << path << ": " << *error << '\n';
        return 2;
    }
    if (checkOnly) return 0;
    basaltchute::configureLogging("basaltchute-gateway");
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const basaltchute::SystemClock clock;
        basaltchute::EventLoop loop(clock);
        basaltchute::Scope scope(loop);
        std::random_device random;
        const std::string incarnation = std::to_string(random()) + std::to_string(random());
        gateway::Gateway instance(loop, std::get<gateway::Settings>(std::move(loaded)), incarnation,
                                  random());
        instance.start();
        spdlog::info("gateway started: amqp={} admin={}", instance.address(), instance.admin());
        loop.spawn(watchSignals(loop, scope, instance));
        loop.run();
    } catch (const std::exception& e) {
        spdlog::critical("gateway failed: error={}", e.what());
        return 1;
    }
    return 0;
}

}  // namespace

// CLI11 throws only while options are defined; a mistake there fails every start.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    CLI::App cli{"basaltchute-gateway: runs messages from AMQP queues as basaltchute jobs."};
    std::string config, check;
    cli.add_option("--config", config,
                   "Run with these settings (JSON, by deploy/gateway.schema.json)")
        ->type_name("FILE");
    cli.add_option("--check-config", check, "Check a settings file and exit")->type_name("FILE");
    cli.set_version_flag("--version", "basaltchute-gateway " BASALTCHUTE_VERSION);

    gateway::AdminCommand adminCommand;
    adminCommand.admin = "127.0.0.1:7071";
    using Action = gateway::AdminCommand::Action;
    const auto command = [&](const char* name, const char* help, Action what) {
        auto* sub = cli.add_subcommand(name, help);
        sub->add_option("--admin", adminCommand.admin, "Address of a running instance")
            ->type_name("ADDRESS")
            ->capture_default_str();
        sub->add_flag("--json", adminCommand.json, "Print the response as JSON");
        sub->callback([&adminCommand, what] { adminCommand.what = what; });
        return sub;
    };
    command("queues", "Show each queue: its holder and its messages by stage", Action::queues);
    auto* ledger = command("ledger", "Show the newest entries of a queue's ledger", Action::ledger);
    ledger->add_option("queue", adminCommand.queue, "<team>/<class>")->required();
    ledger->add_option("--key", adminCommand.key, "Only the message with this key");
    ledger->add_option("--stage", adminCommand.stage, "Only messages in this stage");
    ledger->add_option("--limit", adminCommand.limit, "Number of entries, at most 1000");
    command("drain", "Hand the queues to other instances and stop", Action::drain);
    auto* replay =
        command("replay", "Send a result again, or allow a refused message again", Action::replay);
    replay->add_option("queue", adminCommand.queue, "<team>/<class>")->required();
    replay->add_option("key", adminCommand.key, "Key of the message as shown in the ledger")
        ->required();
    cli.require_subcommand(0, 1);
    CLI11_PARSE(cli, argc, argv);

    if (!cli.get_subcommands().empty()) return gateway::runAdminCommand(adminCommand);
    if (config.empty() && check.empty()) {
        std::cerr << cli.help();
        return 2;
    }
    return run(config.empty() ? check : config, config.empty());
}
