#include "experience/experience.h"

namespace basaltchute::experience {

namespace {
// By the cloud's protocol: 0.6 to 1.5 times what the catalogue says, now and then much more.
Spread boot() {
    return {0.6, 1.5, 20};
}
// By the users' protocol: often wrong by half, sometimes by more.
Spread run() {
    return {0.5, 2.0, 10};
}

Spread& at(std::map<std::string, Spread>& all, const std::string& name, Spread (*fresh)()) {
    const auto it = all.find(name);
    return it != all.end() ? it->second : all.emplace(name, fresh()).first->second;
}

void write(json::Out& out, const char* name, const std::map<std::string, Spread>& all) {
    out.key(name).open();
    for (const auto& [key, spread] : all) {
        out.key(key);
        spread.encode(out);
    }
    out.close();
}

bool read(const json::Value& doc, const char* name, std::map<std::string, Spread>& into,
          Spread (*fresh)()) {
    const auto* all = json::find(doc, name);
    if (all == nullptr || !all->IsObject()) return false;
    for (const auto& m : all->GetObject())
        if (!at(into, m.name.GetString(), fresh).decode(m.value)) return false;
    return true;
}
}  // namespace

void Experience::came(const std::string& type, Duration took, Duration stated) {
    if (stated <= Duration::zero()) return;
    at(boots_, type, boot).add(toSeconds(took) / toSeconds(stated));
    changed_ = true;
}

void Experience::ran(const std::string& jobClass, Duration ran, Duration estimated) {
    if (estimated <= Duration::zero()) return;
    at(runs_, jobClass, run).add(toSeconds(ran) / toSeconds(estimated));
    changed_ = true;
}

Duration Experience::coming(const std::string& type, Duration stated, double q) const {
    const auto it = boots_.find(type);
    const double factor = it == boots_.end() ? boot().quantile(q) : it->second.quantile(q);
    return fromSeconds(toSeconds(stated) * factor);
}

double Experience::runFactor(const std::string& jobClass, double q) const {
    const auto it = runs_.find(jobClass);
    return it == runs_.end() ? run().quantile(q) : it->second.quantile(q);
}

std::string Experience::encode() {
    json::Out out;
    out.open().field("format", 1);
    write(out, "boots", boots_);
    write(out, "runs", runs_);
    out.close();
    changed_ = false;
    return out.text();
}

bool Experience::decode(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc || !doc->IsObject() || json::count(*doc, "format") != 1) return false;
    Experience read;
    if (!experience::read(*doc, "boots", read.boots_, boot) ||
        !experience::read(*doc, "runs", read.runs_, run))
        return false;
    boots_ = std::move(read.boots_);
    runs_ = std::move(read.runs_);
    return true;
}

}  // namespace basaltchute::experience
