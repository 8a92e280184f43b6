#include "gateway/testing/fault_test.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

namespace basaltchute::gateway::testing {
namespace {

std::uint64_t number(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

/// Runs four seeds by default; STORM_SEEDS, STORM_FIRST and STORM_MESSAGES change the number of
/// seeds, the first seed and the number of messages. STORM_LOG enables debug logs.
TEST(GatewayFaults, EachMessageRunsOneJobAndGetsOneReply) {
    const auto level = spdlog::get_level();
    spdlog::set_level(std::getenv("STORM_LOG") != nullptr ? spdlog::level::debug
                                                          : spdlog::level::off);
    const auto seeds = number("STORM_SEEDS", 4), first = number("STORM_FIRST", 1);
    const auto messages = static_cast<unsigned>(number("STORM_MESSAGES", 200));
    FaultTestResult sum;
    for (auto seed = first; seed < first + seeds; ++seed) {
        const FaultTestResult r = runFaultTest(seed, messages);
        for (const auto& w : r.violations) ADD_FAILURE() << "seed " << seed << ": " << w;
        for (const auto& [name, n] : r.faults) sum.faults[name] += n;
        sum.messages += r.messages;
        sum.duplicatesSent += r.duplicatesSent;
        sum.jobs += r.jobs;
        sum.deadLetters += r.deadLetters;
        sum.replies += r.replies;
        sum.duplicateReplies += r.duplicateReplies;
        sum.outOfOrderReplies += r.outOfOrderReplies;
    }
    spdlog::set_level(level);
    std::cout << "seeds " << first << " to " << first + seeds - 1 << ": messages " << sum.messages
              << ", sent twice by clients " << sum.duplicatesSent << ", jobs " << sum.jobs
              << ", dead letters " << sum.deadLetters << ", replies " << sum.replies
              << ", seen twice without deduplication " << sum.duplicateReplies
              << ", out of order after the receiver released one " << sum.outOfOrderReplies << '\n';
    for (const auto& [name, n] : sum.faults) std::cout << "  " << name << ": " << n << '\n';
    for (const char* fault :
         {"all broker connections cut", "instances killed", "leases expired under a running owner"})
        EXPECT_GT(sum.faults[fault], 0U) << fault;
}

}  // namespace
}  // namespace basaltchute::gateway::testing
