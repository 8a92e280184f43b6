#pragma once
// Distribution of a ratio (observed over expected), learnt from observations that lose weight as
// newer ones come; while there are few it relies on a prior. Boost.Histogram holds the counts.
#include <boost/histogram.hpp>
#include <string>
#include <vector>

#include "json/json.h"

namespace basaltchute::runtime_statistics {

/// See the top of this file. Ratios from 0.05 to 20 are told apart; others count as these.
class QuantileHistogram {
  public:
    /// The prior: ratios from `low` to `high`, evenly over the logarithm, with the weight of
    /// `priorWeight` observations; and a twentieth of that weight from `high` to twice as far.
    QuantileHistogram(double low, double high, double priorWeight);
    /// Adds an observation. Ratios that are not positive and finite are ignored.
    void add(double ratio);
    /// The ratio that a share `q` (0 to 1) of the observations stays below.
    [[nodiscard]] double quantile(double q) const;
    /// Sum of the observations' weights.
    [[nodiscard]] double weight() const { return observedWeight_; }

    static constexpr std::size_t bins = 96;
    /// Writes the observations as an array of bins and weights: the heaviest bins, `maxBins` at
    /// most.
    void encode(json::Writer& out, std::size_t maxBins = bins) const;
    /// Replaces the observations. False if the value is not what encode() wrote; then nothing has
    /// changed.
    bool decode(const json::Value& value);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
    Histogram prior_, observed_;
    double observedWeight_ = 0;
};

}  // namespace basaltchute::runtime_statistics
