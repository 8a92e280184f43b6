#pragma once
// Identifiers that several modules share. They have no behaviour of their own, so that a module
// can name a job, a machine or a term of leadership without depending on the one that manages it.
#include <cstdint>
#include <string>

namespace basaltchute {

/// The user's name of a job; unique for ever.
using JobId = std::string;

/// Counts the starts of a task, from 1; a higher attempt replaces a lower one.
using Attempt = std::uint64_t;

/// Position of a machine in the registry; machines are never removed from it.
using MachineIndex = std::uint32_t;
inline constexpr MachineIndex noMachine = UINT32_MAX;

/// Number of an election, higher with each one. Whatever a leader sends carries it, so that agents
/// and nodes can reject what a former leader sent. 0: no leader yet.
using FencingToken = std::uint64_t;

}  // namespace basaltchute
