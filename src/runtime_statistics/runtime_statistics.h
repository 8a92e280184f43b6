#pragma once
#include <map>
#include <set>
#include <string>

#include "runtime/clock.h"
#include "runtime_statistics/quantile_histogram.h"

namespace basaltchute::runtime_statistics {

/// What a leader has seen of the deployment that no settings tell, and the next one goes on with.
class RuntimeStatistics {
  public:
    /// A machine of the type came `took` after it was rented, where the catalogue says `stated`.
    void came(const std::string& type, Duration took, Duration stated);
    /// By when a share `q` of the machines of a type is there, measured from the request.
    [[nodiscard]] Duration coming(const std::string& type, Duration stated, double q) const;

    /// Types of which something was learnt since their record was last encoded.
    [[nodiscard]] const std::set<std::string>& changed() const { return changed_; }
    /// What is known of one type, in so many bytes at most: what was rarely seen is left out first.
    std::string encode(const std::string& type, std::size_t bytes);
    /// Takes over what a record says of the types that it names. False if the text is no record;
    /// then nothing has changed.
    bool decode(const std::string& text);

  private:
    std::map<std::string, QuantileHistogram> boots_;
    std::set<std::string> changed_;
};

}  // namespace basaltchute::runtime_statistics
