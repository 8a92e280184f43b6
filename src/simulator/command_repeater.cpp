#include "simulator/command_repeater.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {
constexpr Duration maxQuickDowntime = 1s;
/// All copies of one restart arrive within this time of it: before, during or after an election.
constexpr double maxDelayAfterRestartS = 2;
}  // namespace

void CommandRepeater::begin(double share) {
    share_ = share;
    ++active_;
}

void CommandRepeater::dropOldRequests() {
    while (!answered_.empty() && answered_.front().at < time_.now() - maxDelay_)
        answered_.pop_front();
}

void CommandRepeater::onAnswered(const std::string& machine, const std::string& body) {
    if (active_ == 0) return;
    dropOldRequests();
    answered_.push_back({time_.now(), machine, body});
    if (!time_.chance(share_)) return;
    const Duration delay = fromSeconds(time_.between(0, toSeconds(maxDelay_)));
    time_.after(delay,
                [this, request = answered_.back()] { deliver_(request.machine, request.body); });
}

void CommandRepeater::onRestart(Duration downtime) {
    if (active_ == 0 || downtime > maxQuickDowntime) return;
    dropOldRequests();
    const Duration delay = fromSeconds(time_.between(0, maxDelayAfterRestartS));
    time_.after(delay, [this, requests = answered_] {
        for (const auto& request : requests) deliver_(request.machine, request.body);
    });
}

}  // namespace basaltchute::simulator
