#pragma once
// What a leader has observed of the deployment that no settings state: how long machines take to
// boot. State: one histogram for each machine type; the leader's term writes them as one record
// for each type, and the next leader reads them. Called by the autoscaler and by LeaderTerm.
#include <map>
#include <set>
#include <string>

#include "runtime/clock.h"
#include "runtime_statistics/quantile_histogram.h"

namespace basaltchute::runtime_statistics {

/// See the top of this file.
class RuntimeStatistics {
  public:
    /// A machine of the type was ready `actual` after it was requested, where the cloud's
    /// catalogue states `stated`.
    void recordBoot(const std::string& type, Duration actual, Duration stated);
    /// The time from the request within which a share `q` of the machines of the type is ready.
    [[nodiscard]] Duration bootTime(const std::string& type, Duration stated, double q) const;

    /// Types that were observed since their record was last encoded.
    [[nodiscard]] const std::set<std::string>& changed() const { return changed_; }
    /// The record of one type, in `maxBytes` at most: rare observations are left out first.
    std::string encode(const std::string& type, std::size_t maxBytes);
    /// Replaces the statistics of the types that the record names. False if the text is not such a
    /// record; then nothing has changed.
    bool decode(const std::string& text);

  private:
    std::map<std::string, QuantileHistogram> bootTimes_;
    std::set<std::string> changed_;
};

}  // namespace basaltchute::runtime_statistics
