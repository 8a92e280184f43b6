#include "runtime_statistics/quantile_histogram.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace basaltchute::runtime_statistics {

namespace bh = boost::histogram;

namespace {
constexpr double least = 0.05, most = 20;
// What came long ago says little about today's machines and owners; the sum of weights stays below
// 1 / (1 - fade), so that a day of another kind is learnt after some hundred observations.
constexpr double fade = 0.995;
}  // namespace

QuantileHistogram::QuantileHistogram(double low, double high, double prior)
    : prior_(bh::make_histogram_with(bh::dense_storage<double>(), Axis(bins, least, most))),
      observed_(prior_) {
    const Axis& axis = prior_.axis();
    const int from = axis.index(low), to = axis.index(high);
    for (int i = from; i <= to; ++i) prior_.at(i) = prior / (to - from + 1);
    const int far = std::min(axis.index(high * 2), axis.size() - 1);
    for (int i = to + 1; i <= far; ++i) prior_.at(i) = prior / 20 / (far - to);
}

void QuantileHistogram::add(double ratio) {
    if (!std::isfinite(ratio) || ratio <= 0) return;
    observed_ *= fade;
    seen_ = seen_ * fade + 1;
    observed_(std::clamp(ratio, least, most * 0.999));
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
        // Inside the bin as if it were spread evenly over the logarithm.
        return axis.value(i + (q * total - below) / here);
    }
    return axis.value(static_cast<double>(bins));
}

void QuantileHistogram::encode(json::Out& out, std::size_t most) const {
    std::vector<double> weights;
    for (int i = 0; i < static_cast<int>(bins); ++i) weights.push_back(observed_.at(i));
    std::sort(weights.begin(), weights.end(), std::greater<>());
    const double least = most == 0 ? HUGE_VAL : weights.at(std::min<std::size_t>(most, bins) - 1);
    out.openArray();
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        if (observed_.at(i) < least) continue;
        // Two places: the record is written every minute, and small.
        const auto hundredths = static_cast<std::uint64_t>(std::llround(observed_.at(i) * 100));
        if (hundredths > 0) out.value(static_cast<std::uint64_t>(i)).value(hundredths);
    }
    out.closeArray();
}

bool QuantileHistogram::decode(const json::Value& value) {
    if (!value.IsArray() || value.Size() % 2 != 0) return false;
    for (unsigned i = 0; i < value.Size(); i += 2)
        if (!value[i].IsUint() || value[i].GetUint() >= bins || !value[i + 1].IsUint64())
            return false;
    observed_.reset();
    seen_ = 0;
    for (unsigned i = 0; i < value.Size(); i += 2) {
        const double weight = static_cast<double>(value[i + 1].GetUint64()) / 100;
        observed_.at(static_cast<int>(value[i].GetUint())) = weight;
        seen_ += weight;
    }
    return true;
}

}  // namespace basaltchute::runtime_statistics
