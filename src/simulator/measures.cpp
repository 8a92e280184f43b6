#include "simulator/measures.h"

#include <boost/histogram.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>

#include "json/json.h"

namespace basaltchute::simulator {

namespace {

namespace bh = boost::histogram;

/// An empty histogram of times from 1 ms to 1000 s, with 300 bins on a logarithmic scale (each
/// about 5% wide).
auto emptyHistogram() {
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(300, 1e-3, 1e3));
}
using TimeHistogram = decltype(emptyHistogram());

double quantile(const TimeHistogram& times, double share) {
    const double all = bh::algorithm::sum(times);
    double below = 0;
    for (const auto& bin : bh::indexed(times, bh::coverage::all)) {
        below += *bin;
        if (below >= share * all)
            return std::isfinite(bin.bin(0).upper()) ? bin.bin(0).upper() : 1e3;
    }
    return 0;
}

}  // namespace

Measures measure(const History& history, const CheckResult& result) {
    Measures out;
    out["violations"] = static_cast<double>(result.violations.size());
    for (const auto& [name, s] : result.classes) {
        const auto jobs = static_cast<double>(s.jobs);
        out[name + " accepted"] = static_cast<double>(s.accepted) / jobs;
        out[name + " started"] = static_cast<double>(s.started) / jobs;
        out[name + " ended"] = static_cast<double>(s.ended) / jobs;
    }
    std::map<std::string, double> submitted;
    std::set<std::string> accepted, started;
    std::map<std::string, TimeHistogram> times;
    const auto addTime = [&](const HistoryEvent& event, const char* what) {
        const std::string name = history.jobs.at(event.job).jobClass + ' ' + what;
        times.try_emplace(name, emptyHistogram())
            .first->second(std::max(event.at - submitted.at(event.job), 1e-3));
    };
    for (const auto& event : history.events) {
        if (event.kind == HistoryEvent::Kind::submitted) submitted[event.job] = event.at;
        if (!submitted.contains(event.job)) continue;
        const bool acceptedAnswer = event.kind == HistoryEvent::Kind::answered &&
                                    (event.status == 200 || event.status == 201);
        if (acceptedAnswer && accepted.insert(event.job).second) addTime(event, "acceptance");
        if (event.kind == HistoryEvent::Kind::taskStarted && started.insert(event.job).second)
            addTime(event, "first start");
    }
    for (const auto& [name, h] : times) {
        out[name + " p50 s"] = quantile(h, 0.5);
        out[name + " p95 s"] = quantile(h, 0.95);
    }
    return out;
}

std::string measuresText(std::uint64_t seed, const Measures& measures) {
    json::Writer o;
    o.open().field("seed", seed).key("measures").open();
    for (const auto& [name, value] : measures) o.field(name, value);
    o.close().close();
    return o.text();
}

std::map<std::uint64_t, Measures> parseMeasures(const std::string& text) {
    std::map<std::uint64_t, Measures> out;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with('{')) continue;
        const auto doc = json::parse(line);
        const auto seed = doc && doc->IsObject() ? json::count(*doc, "seed") : std::nullopt;
        const auto* values = seed ? json::find(*doc, "measures") : nullptr;
        if (values == nullptr || !values->IsObject()) continue;
        for (const auto& m : values->GetObject())
            if (m.value.IsNumber()) out[*seed][m.name.GetString()] = m.value.GetDouble();
    }
    return out;
}

std::vector<Difference> compare(const std::map<std::uint64_t, Measures>& a,
                                const std::map<std::uint64_t, Measures>& b) {
    std::map<std::string, std::vector<std::pair<double, double>>> pairs;
    for (const auto& [seed, measures] : a) {
        const auto other = b.find(seed);
        if (other == b.end()) continue;
        for (const auto& [name, value] : measures)
            if (const auto same = other->second.find(name); same != other->second.end())
                pairs[name].emplace_back(value, same->second);
    }
    std::vector<Difference> out;
    for (const auto& [name, values] : pairs) {
        Difference d;
        d.name = name;
        d.pairs = values.size();
        const auto n = static_cast<double>(values.size());
        for (const auto& [x, y] : values) {
            d.meanA += x / n;
            d.meanB += y / n;
        }
        d.difference = d.meanB - d.meanA;
        double squares = 0;
        for (const auto& [x, y] : values) squares += std::pow(y - x - d.difference, 2);
        double halfWidth =
            std::numeric_limits<double>::infinity();  // one pair gives no estimate of the spread
        if (values.size() > 1) {
            const boost::math::students_t t(n - 1);
            halfWidth = boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
        }
        d.low = d.difference - halfWidth;
        d.high = d.difference + halfWidth;
        out.push_back(d);
    }
    return out;
}

}  // namespace basaltchute::simulator
