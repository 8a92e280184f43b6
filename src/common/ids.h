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

/// A number that rises with each election. Everything that a leader sends carries one of its
/// tokens, so that agents and nodes can reject what a former leader sent. 0: no leader yet.
///
/// An election reserves `tokensPerTerm` tokens. The first one identifies the term: it stands in
/// records and in messages between controllers. The leader raises the token of its messages to a
/// single machine up to the last one, so that the machine rejects late copies of earlier commands.
using FencingToken = std::uint64_t;

/// Enough to raise a machine's token twice a second for three months, while tokens stay below 2^53
/// for half a billion elections.
inline constexpr FencingToken tokensPerTerm = FencingToken{1} << 24U;

/// The last token of the term whose first token that is.
constexpr FencingToken lastTokenOfTerm(FencingToken first) {
    return first + tokensPerTerm - 1;
}

}  // namespace basaltchute
