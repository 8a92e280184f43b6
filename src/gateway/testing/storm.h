#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basaltchute::gateway::testing {

/// How often each fault happened in a storm.
struct Faults {
    std::uint64_t cuts = 0, kills = 0, drains = 0, grantsEnded = 0, outages = 0, stateRefused = 0,
                  stateMute = 0, stateLate = 0, jobsRefused = 0, jobsMute = 0, jobsLost = 0,
                  brokerAway = 0, repliesReleased = 0;
    [[nodiscard]] std::array<std::pair<const char*, std::uint64_t>, 13> all() const;
    Faults& operator+=(const Faults& f);
};

struct StormResult {
    std::vector<std::string> wrong;  // empty: every message's job ended once, every reply came once
    Faults faults;
    std::uint64_t messages = 0, duplicatesSent = 0, jobs = 0, deadLetters = 0;
    std::uint64_t replies = 0, repliesTwice = 0;  // what a receiver without deduplication saw twice
    std::uint64_t releasedThenLater = 0;          // order broken by a receiver that gave one back
};

/// `messages` messages through two gateway instances, while connections are cut, instances are
/// killed, drained and overtaken by the end of their grants, and the state service and the
/// controllers refuse, fall silent, or act late. The same seed gives the same storm, but for the
/// order in which the kernel reports sockets.
StormResult storm(std::uint64_t seed, unsigned messages);

}  // namespace basaltchute::gateway::testing
