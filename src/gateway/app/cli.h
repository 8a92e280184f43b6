#pragma once
// The command line of a running gateway instance: sends one request to its admin address and prints
// the answer. Called by main.cpp.
#include <string>

namespace basaltchute::gateway {

/// One command for a running instance, with its arguments.
struct AdminCommand {
    enum class Action { queues, ledger, drain, replay } what = Action::queues;
    std::string admin;  // address (IPv4:port) of the instance's admin interface
    std::string queue, key, stage;
    unsigned limit = 100;
    bool json = false;
};

/// Sends the command, follows redirections to the instance that holds the queue, and prints the
/// answer as a table or as JSON. Returns the exit code of the process: 0, or 1 after one line on
/// standard error.
int runAdminCommand(const AdminCommand& adminCommand);

}  // namespace basaltchute::gateway
