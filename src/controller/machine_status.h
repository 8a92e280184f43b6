#pragma once
// The machines' part of the status pages: all machines in brief (`/status`), and one machine with
// the attempts that are possibly on it (`/status/NAME`). Called by the Controller while it leads.
#include <optional>
#include <string>

#include "scheduler/cluster.h"

namespace basaltchute::controller {

/// A JSON array with each machine on a line of its own: no line of a response may be longer than
/// 64 KiB, however many machines there are.
std::string machineListJson(const scheduler::Cluster& cluster);

/// A JSON object with the machine's token and its attempts, each on a line of its own: how each was
/// launched, when its machine confirmed it and why it was told to stop, and which ended ones the
/// machine still remembers. Empty if there is no such machine.
std::optional<std::string> machineStatusJson(const scheduler::Cluster& cluster,
                                             const std::string& machine, TimePoint now);

}  // namespace basaltchute::controller
