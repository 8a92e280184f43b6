#include "scheduler/runtime_estimates.h"

#include <algorithm>
#include <cmath>

namespace basaltchute::scheduler {

using namespace std::chrono_literals;

namespace {
constexpr double learningRate = 0.1;         // of the moving average of the logarithmic bias
constexpr double maxLogBias = 2.0;           // one run counts at most as e^2 times its estimate
constexpr Duration shiftCheckInterval = 5s;  // between two checks for biases that have changed
constexpr double significantShift = 0.1;     // of the logarithmic bias
constexpr double lastTaskFactor = 0.25;      // the last of n tasks takes longer by this times ln n
constexpr Duration handoverDelay = 2s;       // to report and write a result, and to send a command
constexpr std::size_t maxLeadTimesPerClass = 20;  // the most recent ones
constexpr Duration drainRateInterval = 1s;        // between two measurements
constexpr double minRunTimeS = 1.0;               // shorter run times count as this long
}  // namespace

void RuntimeEstimates::recordRun(const std::string& jobClass, double estimatedRuntimeS,
                                 double observedS) {
    double& logBias = logBias_[jobClass];
    const double observed =
        std::clamp(std::log(observedS / estimatedRuntimeS), -maxLogBias, maxLogBias);
    logBias += learningRate * (observed - logBias);
}

double RuntimeEstimates::bias(const std::string& jobClass) const {
    const auto it = logBias_.find(jobClass);
    return it == logBias_.end() ? 1.0 : std::exp(it->second);
}

Duration RuntimeEstimates::estimatedRunTime(const JobSpec& spec) const {
    return fromSeconds(spec.estimatedRuntimeS * bias(spec.jobClass));
}

Duration RuntimeEstimates::jobDuration(const JobSpec& spec, double imageFetchS) const {
    const double tasks = std::max(1.0, static_cast<double>(spec.tasks));
    const double lastTask = 1 + lastTaskFactor * std::log(tasks);
    return fromSeconds(imageFetchS + toSeconds(estimatedRunTime(spec)) * lastTask) + handoverDelay;
}

std::set<std::string> RuntimeEstimates::takeShiftedClasses(TimePoint now) {
    std::set<std::string> shifted;
    if (now - lastShiftCheckAt_ < shiftCheckInterval) return shifted;
    lastShiftCheckAt_ = now;
    for (const auto& [jobClass, logBias] : logBias_) {
        double& applied = appliedLogBias_[jobClass];
        if (std::abs(logBias - applied) < significantShift) continue;
        applied = logBias;
        shifted.insert(jobClass);
    }
    return shifted;
}

void RuntimeEstimates::recordLeadTime(const JobSpec& spec, Duration lead) {
    // Nothing is stored for classes in which no job has dependencies.
    if (spec.dependencies.empty() && !leadTimes_.contains(spec.jobClass)) return;
    auto& leads = leadTimes_[spec.jobClass];
    leads.push_back(lead);
    if (leads.size() > maxLeadTimesPerClass) leads.pop_front();
}

Duration RuntimeEstimates::arrivalLeadTime(const std::string& jobClass) const {
    const auto it = leadTimes_.find(jobClass);
    if (it == leadTimes_.end()) return Duration::zero();
    std::vector<Duration> sorted(it->second.begin(), it->second.end());
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 5];
}

void RuntimeEstimates::measureDrainRate(const std::vector<Job*>& openJobs, TimePoint now) {
    if (now - drainRateMeasuredAt_ < drainRateInterval) return;
    drainRateMeasuredAt_ = now;
    std::array<double, 4> cores{}, coreSeconds{};
    for (const Job* job : openJobs) {
        if (job->spec.shape == Shape::service || job->boundCount == 0) continue;
        const auto priority = static_cast<std::size_t>(job->effectivePriority);
        const double bound = job->spec.demand.cores * job->boundCount;
        cores[priority] += bound;
        coreSeconds[priority] +=
            bound * std::max(minRunTimeS, toSeconds(estimatedRunTime(job->spec)));
    }
    for (std::size_t priority = 0; priority < drainRate_.size(); ++priority)
        drainRate_[priority] =
            cores[priority] > 0 ? cores[priority] * cores[priority] / coreSeconds[priority] : 0;
}

}  // namespace basaltchute::scheduler
