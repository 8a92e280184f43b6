#include "runtime_statistics/runtime_statistics.h"

namespace basaltchute::runtime_statistics {

namespace {
constexpr std::uint64_t recordFormat = 1;

/// The cloud's protocol documents 0.6 to 1.5 times the time that its catalogue states, and
/// occasionally much more.
QuantileHistogram bootTimePrior() {
    return {0.6, 1.5, 20};
}

QuantileHistogram& bootTimesOf(std::map<std::string, QuantileHistogram>& all,
                               const std::string& type) {
    const auto it = all.find(type);
    return it != all.end() ? it->second : all.emplace(type, bootTimePrior()).first->second;
}
}  // namespace

void RuntimeStatistics::recordBoot(const std::string& type, Duration actual, Duration stated) {
    if (stated <= Duration::zero()) return;
    bootTimesOf(bootTimes_, type).add(toSeconds(actual) / toSeconds(stated));
    changed_.insert(type);
}

Duration RuntimeStatistics::bootTime(const std::string& type, Duration stated, double q) const {
    const auto it = bootTimes_.find(type);
    const double factor =
        it == bootTimes_.end() ? bootTimePrior().quantile(q) : it->second.quantile(q);
    return fromSeconds(toSeconds(stated) * factor);
}

std::string RuntimeStatistics::encode(const std::string& type, std::size_t maxBytes) {
    const auto withBins = [&](std::size_t bins) {
        json::Writer out;
        out.open().field("format", recordFormat).key("boots").open().key(type);
        bootTimesOf(bootTimes_, type).encode(out, bins);
        out.close().close();
        return out.text();
    };
    std::size_t bins = QuantileHistogram::bins;
    std::string text = withBins(bins);
    while (text.size() > maxBytes && bins > 0) text = withBins(bins /= 2);
    changed_.erase(type);
    return text;
}

bool RuntimeStatistics::decode(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc || !doc->IsObject() || json::count(*doc, "format") != recordFormat) return false;
    const auto* histograms = json::find(*doc, "boots");
    if (histograms == nullptr || !histograms->IsObject()) return false;
    std::map<std::string, QuantileHistogram> read;
    for (const auto& member : histograms->GetObject())
        if (!bootTimesOf(read, member.name.GetString()).decode(member.value)) return false;
    for (auto& [type, histogram] : read) bootTimes_.insert_or_assign(type, std::move(histogram));
    return true;
}

}  // namespace basaltchute::runtime_statistics
