#pragma once
// Estimates quantiles of a ratio, such as observed over expected time. Observations lose weight as
// newer ones are added; while there are few, a prior distribution dominates. Boost.Histogram holds
// the weights. Used by RuntimeStatistics.
#include <boost/histogram.hpp>
#include <string>
#include <vector>

#include "json/json.h"

namespace basaltchute::runtime_statistics {

/// A histogram of ratios in logarithmic bins from 0.05 to 20. Ratios outside count in the first or
/// the last bin.
class QuantileHistogram {
  public:
    /// Creates a histogram without observations. The prior spreads the weight of `priorWeight`
    /// observations evenly over the logarithm of the ratios from `low` to `high`, and a twentieth
    /// of that weight over those from `high` to twice `high`.
    QuantileHistogram(double low, double high, double priorWeight);
    /// Adds an observation. Ratios that are not positive and finite are ignored.
    void add(double ratio);
    /// The ratio below which a share `q` (0 to 1) of prior and observations lies.
    [[nodiscard]] double quantile(double q) const;
    /// The sum of the weights of all observations, without the prior.
    [[nodiscard]] double weight() const { return observedWeight_; }

    static constexpr std::size_t bins = 96;
    /// Writes the observations as an array of alternating bin indices and weights. Only the
    /// `maxBins` bins of the largest weight are written.
    void encode(json::Writer& out, std::size_t maxBins = bins) const;
    /// Replaces the observations by those that encode() wrote. Returns false and changes nothing if
    /// the value is malformed.
    bool decode(const json::Value& value);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;
    Histogram prior_, observed_;
    double observedWeight_ = 0;
};

}  // namespace basaltchute::runtime_statistics
