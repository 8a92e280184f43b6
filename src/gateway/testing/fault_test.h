#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basaltchute::gateway::testing {

/// How often each fault happened in a run, by the name of the fault.
using Faults = std::map<std::string, std::uint64_t>;

struct FaultTestResult {
    std::vector<std::string>
        violations;  // empty: every message's job ended once, every reply came once
    Faults faults;
    std::uint64_t messages = 0, duplicatesSent = 0, jobs = 0, deadLetters = 0;
    std::uint64_t replies = 0,
                  duplicateReplies = 0;   // what a receiver without deduplication saw twice
    std::uint64_t outOfOrderReplies = 0;  // out of order after a receiver released one
};

/// `messages` messages through two gateway instances, while connections are cut, instances are
/// killed, drained and lose their leases, and the state service and the
/// controllers refuse requests, leave them unanswered, or execute them late. The same seed gives
/// the same faults, except for the order in which the kernel reports sockets.
FaultTestResult runFaultTest(std::uint64_t seed, unsigned messages);

}  // namespace basaltchute::gateway::testing
