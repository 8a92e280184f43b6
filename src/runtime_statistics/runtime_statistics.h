#pragma once
// What leaders have learnt about the deployment while running: how long machines take to boot.
// Holds one histogram for each machine type. LeaderTerm stores them, one record for each type, and
// loads what former leaders stored. The autoscaler adds observations and asks for estimates.
#include <map>
#include <set>
#include <string>

#include "runtime/clock.h"
#include "runtime_statistics/quantile_histogram.h"

namespace basaltchute::runtime_statistics {

/// Boot times of each machine type, relative to the time that the cloud's catalogue states.
class RuntimeStatistics {
  public:
    /// Adds an observation: a machine of the type was ready `actual` after it was requested, and
    /// the cloud's catalogue states `stated` for its type.
    void recordBoot(const std::string& type, Duration actual, Duration stated);
    /// Estimates within which time after the request a share `q` (0 to 1) of the machines of the
    /// type is ready. `stated`: the time that the cloud's catalogue states.
    [[nodiscard]] Duration bootTime(const std::string& type, Duration stated, double q) const;

    /// Types with observations that are not in an encoded record yet.
    [[nodiscard]] const std::set<std::string>& changed() const { return changed_; }
    /// Encodes the record of one type in at most `maxBytes`. If the observations take more, the
    /// bins of the smallest weight are left out.
    std::string encode(const std::string& type, std::size_t maxBytes);
    /// Replaces the statistics of the types that the record names. Returns false and changes
    /// nothing if the record is malformed.
    bool decode(const std::string& text);

  private:
    std::map<std::string, QuantileHistogram> bootTimes_;
    std::set<std::string> changed_;
};

}  // namespace basaltchute::runtime_statistics
