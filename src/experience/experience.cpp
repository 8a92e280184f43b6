#include "experience/experience.h"

namespace basaltchute::experience {

namespace {
// By the cloud's protocol: 0.6 to 1.5 times what the catalogue says, now and then much more.
Spread boot() {
    return {0.6, 1.5, 20};
}

Spread& at(std::map<std::string, Spread>& all, const std::string& name) {
    const auto it = all.find(name);
    return it != all.end() ? it->second : all.emplace(name, boot()).first->second;
}
}  // namespace

void Experience::came(const std::string& type, Duration took, Duration stated) {
    if (stated <= Duration::zero()) return;
    at(boots_, type).add(toSeconds(took) / toSeconds(stated));
    changed_ = true;
}

Duration Experience::coming(const std::string& type, Duration stated, double q) const {
    const auto it = boots_.find(type);
    const double factor = it == boots_.end() ? boot().quantile(q) : it->second.quantile(q);
    return fromSeconds(toSeconds(stated) * factor);
}

std::string Experience::encode() {
    json::Out out;
    out.open().field("format", 1);
    out.key("boots").open();
    for (const auto& [type, spread] : boots_) {
        out.key(type);
        spread.encode(out);
    }
    out.close().close();
    changed_ = false;
    return out.text();
}

bool Experience::decode(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc || !doc->IsObject() || json::count(*doc, "format") != 1) return false;
    const auto* boots = json::find(*doc, "boots");
    if (boots == nullptr || !boots->IsObject()) return false;
    std::map<std::string, Spread> read;
    for (const auto& m : boots->GetObject())
        if (!at(read, m.name.GetString()).decode(m.value)) return false;
    boots_ = std::move(read);
    return true;
}

}  // namespace basaltchute::experience
