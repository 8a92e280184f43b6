#include "simulator/history.h"

#include <fmt/format.h>

#include <array>
#include <functional>

namespace basaltchute::simulator {

std::string History::text(const HistoryEvent& e) {
    static constexpr std::array kinds{"submitted", "asked", "told", "withdrew", "on",     "off",
                                      "completed", "up",    "gone", "elected",  "trouble"};
    static constexpr std::array questions{"submission", "repetition", "poll", "withdrawal"};
    std::string out =
        fmt::format("{:10.4f} {} {}", e.at, e.site, kinds.at(static_cast<std::size_t>(e.kind)));
    if (e.kind == HistoryEvent::Kind::asked || e.kind == HistoryEvent::Kind::answered)
        out += fmt::format(" {}", questions.at(static_cast<std::size_t>(e.question)));
    if (!e.job.empty()) out += ' ' + e.job;
    if (e.kind == HistoryEvent::Kind::taskStarted || e.kind == HistoryEvent::Kind::taskStopped ||
        e.kind == HistoryEvent::Kind::completed)
        out += fmt::format("/{}", e.task);
    if (!e.machine.empty()) out += " on " + e.machine;
    if (e.status != 0) out += fmt::format(" {}", e.status);
    if (!e.text.empty()) out += ' ' + e.text;
    if (e.number != 0) out += fmt::format(" {}", e.number);
    return out;
}

std::uint64_t History::digest() const {
    // The steps of 64-bit FNV-1a over the lines of the log, from another start value.
    std::uint64_t hash = 1469598103934665603U;
    for (const auto& e : events)
        for (const char c : text(e)) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    return hash;
}

}  // namespace basaltchute::simulator
