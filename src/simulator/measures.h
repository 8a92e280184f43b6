#pragma once
#include <map>
#include <string>
#include <vector>

#include "simulator/checker.h"

namespace basaltchute::simulator {

/// Named numbers of one run: shares served, and how long acceptance and the first start took.
using Measures = std::map<std::string, double>;
Measures measure(const History& history, const CheckResult& verdict);
/// One line of JSON for one seed.
std::string measuresText(std::uint64_t seed, const Measures& measures);
/// By seed, from such lines; other lines are passed over.
std::map<std::uint64_t, Measures> parseMeasures(const std::string& text);

/// What two ways of running the same seeds differ by.
struct Difference {
    std::string name;
    std::size_t pairs = 0;
    double meanA = 0, meanB = 0, difference = 0;  // B less A
    double low = 0, high = 0;                     // of the difference, 95% by Student's t
    [[nodiscard]] bool clear() const { return low > 0 || high < 0; }
};
std::vector<Difference> compare(const std::map<std::uint64_t, Measures>& a,
                                const std::map<std::uint64_t, Measures>& b);

}  // namespace basaltchute::simulator
