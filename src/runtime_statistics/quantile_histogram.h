#pragma once
#include <boost/histogram.hpp>
#include <string>
#include <vector>

#include "json/json.h"

namespace basaltchute::runtime_statistics {

/// How a ratio (seen over expected) is spread, learnt from observations that fade as newer ones
/// come; before there are many it leans on what is known beforehand. Boost.Histogram keeps it.
class QuantileHistogram {
  public:
    /// `low` to `high`: where ratios are expected before anything was seen, spread evenly over the
    /// logarithm, with the weight of `prior` observations; half of that is how much more to the
    /// upper side there is of the stretch twice as far out.
    QuantileHistogram(double low, double high, double prior);
    void add(double ratio);
    /// The ratio that a share `q` (0 to 1) of what comes stays below.
    [[nodiscard]] double quantile(double q) const;
    /// Observations so far, faded.
    [[nodiscard]] double weight() const { return seen_; }

    static constexpr std::size_t bins = 96;
    /// Those bins that hold most, so many at most.
    void encode(json::Out& out, std::size_t most = bins) const;
    /// False if it is not what encode() wrote; then nothing has changed.
    bool decode(const json::Value& value);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
    Histogram prior_, observed_;
    double seen_ = 0;
};

}  // namespace basaltchute::runtime_statistics
