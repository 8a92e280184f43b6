#include "runtime_statistics/runtime_statistics.h"

namespace basaltchute::runtime_statistics {

namespace {
// By the cloud's protocol: 0.6 to 1.5 times what the catalogue says, now and then much more.
QuantileHistogram boot() {
    return {0.6, 1.5, 20};
}

QuantileHistogram& at(std::map<std::string, QuantileHistogram>& all, const std::string& name) {
    const auto it = all.find(name);
    return it != all.end() ? it->second : all.emplace(name, boot()).first->second;
}
}  // namespace

void RuntimeStatistics::came(const std::string& type, Duration took, Duration stated) {
    if (stated <= Duration::zero()) return;
    at(boots_, type).add(toSeconds(took) / toSeconds(stated));
    changed_.insert(type);
}

Duration RuntimeStatistics::coming(const std::string& type, Duration stated, double q) const {
    const auto it = boots_.find(type);
    const double factor = it == boots_.end() ? boot().quantile(q) : it->second.quantile(q);
    return fromSeconds(toSeconds(stated) * factor);
}

std::string RuntimeStatistics::encode(const std::string& type, std::size_t bytes) {
    const auto with = [&](std::size_t bins) {
        json::Out out;
        out.open().field("format", 1).key("boots").open().key(type);
        at(boots_, type).encode(out, bins);
        out.close().close();
        return out.text();
    };
    std::size_t bins = QuantileHistogram::bins;
    std::string text = with(bins);
    while (text.size() > bytes && bins > 0) text = with(bins /= 2);
    changed_.erase(type);
    return text;
}

bool RuntimeStatistics::decode(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc || !doc->IsObject() || json::count(*doc, "format") != 1) return false;
    const auto* boots = json::find(*doc, "boots");
    if (boots == nullptr || !boots->IsObject()) return false;
    std::map<std::string, QuantileHistogram> read;
    for (const auto& m : boots->GetObject())
        if (!at(read, m.name.GetString()).decode(m.value)) return false;
    for (auto& [type, spread] : read) boots_.insert_or_assign(type, std::move(spread));
    return true;
}

}  // namespace basaltchute::runtime_statistics
