#include "runtime_statistics/quantile_histogram.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace basaltchute::runtime_statistics {

namespace bh = boost::histogram;

namespace {
/// The prior's weight above `high` is its weight up to `high` divided by this.
constexpr double priorTailDivisor = 20;
constexpr double minRatio = 0.05, maxRatio = 20;
/// Each new observation multiplies all earlier weights by this: old observations say little about
/// today's machines and users. The sum of weights stays below 1 / (1 - decay) = 200, so that a
/// changed distribution is learnt within some hundred observations.
constexpr double decay = 0.995;
/// Weights are stored as integers in units of 1/100, which keeps the record small: it is written
/// every minute.
constexpr double storedUnitsPerWeight = 100;
}  // namespace

QuantileHistogram::QuantileHistogram(double low, double high, double priorWeight)
    : prior_(bh::make_histogram_with(bh::dense_storage<double>(), Axis(bins, minRatio, maxRatio))),
      observed_(prior_) {
    const Axis& axis = prior_.axis();
    const int from = axis.index(low), to = axis.index(high);
    for (int i = from; i <= to; ++i) prior_.at(i) = priorWeight / (to - from + 1);
    const int tailEnd = std::min(axis.index(high * 2), axis.size() - 1);
    for (int i = to + 1; i <= tailEnd; ++i)
        prior_.at(i) = priorWeight / priorTailDivisor / (tailEnd - to);
}

void QuantileHistogram::add(double ratio) {
    if (!std::isfinite(ratio) || ratio <= 0) return;
    observed_ *= decay;
    observedWeight_ = observedWeight_ * decay + 1;
    observed_(std::clamp(ratio, minRatio, maxRatio * 0.999));
}

double QuantileHistogram::quantile(double q) const {
    double total = 0;
    for (int i = 0; i < static_cast<int>(bins); ++i) total += prior_.at(i) + observed_.at(i);
    const Axis& axis = prior_.axis();
    double below = 0;
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        const double here = prior_.at(i) + observed_.at(i);
        if (here <= 0 || below + here < q * total) {
            below += here;
            continue;
        }
        // Interpolate within the bin as if its weight were spread evenly over the logarithm.
        return axis.value(i + (q * total - below) / here);
    }
    return axis.value(static_cast<double>(bins));
}

void QuantileHistogram::encode(json::Writer& out, std::size_t maxBins) const {
    std::vector<double> weights;
    weights.reserve(bins);
    for (int i = 0; i < static_cast<int>(bins); ++i) weights.push_back(observed_.at(i));
    std::sort(weights.begin(), weights.end(), std::greater<>());
    const double minWeight =
        maxBins == 0 ? HUGE_VAL : weights.at(std::min<std::size_t>(maxBins, bins) - 1);
    out.openArray();
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        if (observed_.at(i) < minWeight) continue;
        const auto units =
            static_cast<std::uint64_t>(std::llround(observed_.at(i) * storedUnitsPerWeight));
        if (units > 0) out.value(static_cast<std::uint64_t>(i)).value(units);
    }
    out.closeArray();
}

bool QuantileHistogram::decode(const json::Value& value) {
    if (!value.IsArray() || value.Size() % 2 != 0) return false;
    for (unsigned i = 0; i < value.Size(); i += 2)
        if (!value[i].IsUint() || value[i].GetUint() >= bins || !value[i + 1].IsUint64())
            return false;
    observed_.reset();
    observedWeight_ = 0;
    for (unsigned i = 0; i < value.Size(); i += 2) {
        const double weight = static_cast<double>(value[i + 1].GetUint64()) / storedUnitsPerWeight;
        observed_.at(static_cast<int>(value[i].GetUint())) = weight;
        observedWeight_ += weight;
    }
    return true;
}

}  // namespace basaltchute::runtime_statistics
