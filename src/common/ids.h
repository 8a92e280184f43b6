#pragma once
// Identifiers that several modules share. They are plain types, so that a module can refer to a
// job, a machine or a leader term without depending on the module that manages it.
#include <cstdint>
#include <string>

namespace basaltchute {

/// The id that the user gave a job. Never used for a second job.
using JobId = std::string;

/// The number of a task's attempt, from 1; 0 if it has had none. A higher attempt replaces a lower
/// one.
using Attempt = std::uint64_t;

/// The position of a machine in the leader's machine registry. No machine is ever removed from it,
/// so an index stays valid for the whole leader term.
using MachineIndex = std::uint32_t;
inline constexpr MachineIndex noMachine = UINT32_MAX;

/// The number of an election; each one has a higher number. Everything that a leader sends carries
/// it, so that agents and nodes can reject what a former leader sent. 0: no leader yet.
using FencingToken = std::uint64_t;

}  // namespace basaltchute
