#pragma once
#include <string>

namespace basaltchute::gateway {

/// What the command line asks of a running instance.
struct Question {
    enum class What { queues, ledger, drain, replay } what = What::queues;
    std::string admin;  // address
    std::string queue, key, stage;
    unsigned limit = 100;
    bool json = false;
};

/// Asks, follows a queue to the instance that holds it, and prints a table or JSON. Returns the
/// process's exit code: 0, or 1 with one line on standard error.
int ask(const Question& question);

}  // namespace basaltchute::gateway
