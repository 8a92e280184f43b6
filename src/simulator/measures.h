// Measures of simulated runs and the paired comparison of two sets of runs. Used by the simulator's
// command line.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "simulator/checker.h"

namespace basaltchute::simulator {

/// Measures of one run by name: the shares of jobs that were accepted, started and ended, and
/// quantiles of the time until acceptance and until the first start.
using Measures = std::map<std::string, double>;
/// Computes the measures of a run from its history and the result of its check.
Measures measure(const History& history, const CheckResult& result);
/// The measures of one seed as one line of JSON, without a line break.
std::string measuresText(std::uint64_t seed, const Measures& measures);
/// Parses lines written by `measuresText` into measures by seed; ignores all other lines.
std::map<std::uint64_t, Measures> parseMeasures(const std::string& text);

/// The difference of one measure between two sets of runs, A and B, over the same seeds.
struct Difference {
    std::string name;
    std::size_t pairs = 0;
    double meanA = 0, meanB = 0, difference = 0;  // B minus A
    double low = 0, high = 0;  // 95% confidence interval of the difference (Student's t)
    /// Whether the confidence interval excludes 0.
    [[nodiscard]] bool clear() const { return low > 0 || high < 0; }
};
/// Compares each measure over the seeds that have it in both sets; other seeds are ignored.
std::vector<Difference> compare(const std::map<std::uint64_t, Measures>& a,
                                const std::map<std::uint64_t, Measures>& b);

}  // namespace basaltchute::simulator
