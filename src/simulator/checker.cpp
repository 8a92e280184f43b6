#include "simulator/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace basaltchute::simulator {

namespace {

using Kind = HistoryEvent::Kind;
constexpr double roundingTolerance = 1e-6;
// No job's polls may all stay unanswered for this long while most polls of others are answered.
constexpr double unansweredPollsLimitS = 90;
constexpr double largestShare = 0.1;  // the part of a class's jobs with the most tasks
constexpr double minStartedShare = 0.5;
constexpr double clockToleranceS = 0.01;  // tolerance for the clock of the user who was told
// How often waiting jobs are compared with free capacity.
constexpr double idleCapacityCheckIntervalS = 1;

bool isAnswer(const HistoryEvent& e) {
    return e.kind == Kind::answered && (e.status == 200 || e.status == 201);
}

class HistoryChecker {
  public:
    HistoryChecker(const History& history, const CheckerOptions& options)
        : history_(history), options_(options) {}
    CheckResult run();

  private:
    /// A task that runs on a machine; `event` is the index of its start.
    struct RunningTask {
        std::size_t event;
        std::string machine, site;
    };
    /// What the history so far says about a job; indexes refer to events.
    struct JobState {
        std::optional<std::size_t> submitted, accepted, done, cancelled, cancelRequested;
        std::optional<double> unansweredSince, firstCancelRequestAt, idleCapacitySince;
        std::set<std::uint32_t> completed;
        std::multimap<std::uint32_t, RunningTask> running;  // by task number
        std::optional<double> started;
    };
    void addViolation(const std::string& rule, const std::string& what,
                      const std::vector<std::size_t>& events) {
        if (!reported_.insert(rule + what).second) return;
        Violation v{rule, what, {}};
        for (const auto i : events) v.proof.push_back(history_.events[i]);
        result_.violations.push_back(std::move(v));
    }
    void onTaskStarted(std::size_t i);
    void onTaskStopped(const HistoryEvent& e);
    void onAnswer(std::size_t i);
    void checkPlacement(std::size_t i, const JobSpec& spec, const JobState& job);
    void checkQuota(const JobSpec& spec);
    void checkCancelledTasks(double now);
    void onRequest(std::size_t i);
    /// Whether the request of `answer` was sent after the event `knownEvent`. If not, the two
    /// overlap, and the answer is counted as overtaken.
    bool requestedAfter(const HistoryEvent& answer, std::size_t knownEvent);
    void checkUnfitSubmission(std::size_t i);
    void checkIdleCapacity(double now);
    [[nodiscard]] bool waitsDespiteCapacity(const JobSpec& spec, const JobState& job) const;
    void checkDependenciesDone(std::size_t i, const JobSpec& spec);
    void checkDependencyCancelled(std::size_t i);
    void checkJobsServed();
    void countJobs();
    /// Calls `visit` for each direct and indirect dependency of a job until it returns true;
    /// returns whether it did.
    template <typename Visit>
    bool anyDependency(const std::string& id, Visit visit) const;
    [[nodiscard]] bool dependencyCancelRequested(const std::string& id) const;

    const History& history_;
    const CheckerOptions& options_;
    std::map<std::string, JobState> jobs_;
    // Cores and GPUs in use, by team, over all sites.
    std::map<std::string, std::pair<double, double>> teamUse_;
    std::set<std::string> reported_, cancelledRunning_, upMachines_;
    std::map<std::string, Resources> machineUse_;
    double lastIdleCapacityCheck_ = 0;
    std::uint64_t polls_ = 0, answered_ = 0, taskStarts_ = 0;
    // Times of polls (false) and of answered polls (true).
    std::deque<std::pair<double, bool>> recentPolls_;
    CheckResult result_;
};

void HistoryChecker::checkQuota(const JobSpec& spec) {
    const auto team = options_.teams.find(spec.team);
    if (team == options_.teams.end()) return;
    const auto& [cores, gpus] = teamUse_[spec.team];
    const settings::Team& t = team->second;
    if ((t.coresMax <= 0 || cores <= t.coresMax + roundingTolerance) &&
        (t.gpusMax <= 0 || gpus <= t.gpusMax + roundingTolerance))
        return;
    std::vector<std::size_t> proof;
    for (const auto& [id, job] : jobs_)
        if (history_.jobs.at(id).team == spec.team)
            for (const auto& [task, p] : job.running) proof.push_back(p.event);
    std::sort(proof.begin(), proof.end());
    addViolation("quota", "team " + spec.team + " exceeds its quota", proof);
}

void HistoryChecker::checkPlacement(std::size_t i, const JobSpec& spec, const JobState& job) {
    const HistoryEvent& e = history_.events[i];
    const MachineFacts& m = history_.machines.at(e.machine);
    const auto misplaced = [&](const std::string& why, std::vector<std::size_t> proof = {}) {
        proof.push_back(i);
        addViolation("wrong_place", spec.id + ' ' + why, proof);
    };
    if (spec.machineTypes && std::find(spec.machineTypes->begin(), spec.machineTypes->end(),
                                       m.type) == spec.machineTypes->end())
        misplaced("runs on a machine type that it does not allow");
    if (spec.zone && *spec.zone != m.zone) misplaced("runs in a zone that it does not allow");
    if (m.spot && !spec.spotAllowed) misplaced("runs on a spot machine but does not allow it");
    std::size_t here = 0;
    std::vector<std::size_t> others;
    for (const auto& [task, p] : job.running) {
        const MachineFacts& at = history_.machines.at(p.machine);
        if (at.zone == m.zone && at.site == m.site) {
            ++here;
            others.push_back(p.event);
        } else if (spec.sameZone) {
            misplaced("must run in one zone but runs in two", {p.event});
        }
    }
    if (spec.spread && here > (spec.tasks + 1) / 2)
        misplaced("must be spread but has more than half of its tasks in one zone", others);
}

void HistoryChecker::onTaskStarted(std::size_t i) {
    const HistoryEvent& e = history_.events[i];
    ++taskStarts_;
    const auto spec = history_.jobs.find(e.job);
    if (spec == history_.jobs.end()) return;
    JobState& job = jobs_[e.job];
    for (auto [p, end] = job.running.equal_range(e.task); p != end; ++p) {
        const std::string id = e.job + '/' + std::to_string(e.task);
        addViolation(
            "ran_twice",
            id + " starts on " + e.machine + " while it still runs on " + p->second.machine,
            {p->second.event, i});
        if (p->second.site != e.site)
            addViolation("two_sites", id + " runs on two sites at once", {p->second.event, i});
    }
    job.running.emplace(e.task, RunningTask{i, e.machine, e.site});
    if (!job.started) job.started = e.at;
    machineUse_[e.machine] += spec->second.demand;
    checkDependenciesDone(i, spec->second);
    auto& [cores, gpus] = teamUse_[spec->second.team];
    cores += spec->second.demand.cores;
    gpus += spec->second.demand.gpus;
    checkQuota(spec->second);
    checkPlacement(i, spec->second, job);
    if (job.cancelled) {
        cancelledRunning_.insert(e.job);
        ++result_.startedCancelled;
    }
}

template <typename Visit>
bool HistoryChecker::anyDependency(const std::string& id, Visit visit) const {
    std::vector<std::string> next{id};
    std::set<std::string> seen;
    while (!next.empty()) {
        const auto spec = history_.jobs.find(next.back());
        next.pop_back();
        if (spec == history_.jobs.end()) continue;
        for (const auto& need : spec->second.dependencies) {
            if (!seen.insert(need).second) continue;
            const auto job = jobs_.find(need);
            if (job != jobs_.end() && visit(need, job->second)) return true;
            next.push_back(need);
        }
    }
    return false;
}

void HistoryChecker::checkDependenciesDone(std::size_t i, const JobSpec& spec) {
    for (const auto& need : spec.dependencies) {
        const auto job = jobs_.find(need);
        const std::size_t done = job == jobs_.end() ? 0 : job->second.completed.size();
        if (done < history_.jobs.at(need).tasks)
            addViolation("too_early",
                         spec.id + " starts while " + need + " has " + std::to_string(done) +
                             " of " + std::to_string(history_.jobs.at(need).tasks) + " tasks done",
                         {i});
    }
}

void HistoryChecker::checkDependencyCancelled(std::size_t i) {
    const HistoryEvent& e = history_.events[i];
    anyDependency(e.job, [&](const std::string& id, const JobState& job) {
        const bool late = job.cancelled && e.at > history_.events[*job.cancelled].at +
                                                      options_.cancelS + clockToleranceS;
        if (late)
            addViolation("orphaned",
                         e.job + " is still " + e.text + " too long after its dependency " + id +
                             " was cancelled",
                         {*job.cancelled, i});
        return late;
    });
}

bool HistoryChecker::dependencyCancelRequested(const std::string& id) const {
    return anyDependency(id, [](const std::string&, const JobState& job) {
        return job.cancelRequested && !job.done;
    });
}

void HistoryChecker::onTaskStopped(const HistoryEvent& e) {
    const auto job = jobs_.find(e.job);
    if (job == jobs_.end()) return;
    for (auto [p, end] = job->second.running.equal_range(e.task); p != end; ++p) {
        if (p->second.machine != e.machine) continue;
        job->second.running.erase(p);
        auto& [cores, gpus] = teamUse_[history_.jobs.at(e.job).team];
        cores -= history_.jobs.at(e.job).demand.cores;
        gpus -= history_.jobs.at(e.job).demand.gpus;
        machineUse_[e.machine] -= history_.jobs.at(e.job).demand;
        break;
    }
    if (job->second.running.empty()) cancelledRunning_.erase(e.job);
}

void HistoryChecker::checkCancelledTasks(double now) {
    // Only jobs that were reported as cancelled and still have running tasks can be overdue.
    for (auto id = cancelledRunning_.begin(); id != cancelledRunning_.end();) {
        const JobState& job = jobs_.at(*id);
        const std::size_t at = *job.cancelled;
        if (now <= history_.events[at].at + options_.cancelS + clockToleranceS) {
            ++id;
            continue;
        }
        addViolation("ran_cancelled",
                     *id + " still runs too long after its cancellation was confirmed",
                     {at, job.running.begin()->second.event});
        id = cancelledRunning_.erase(id);
    }
}

bool HistoryChecker::requestedAfter(const HistoryEvent& answer, std::size_t knownEvent) {
    if (!answer.asked || *answer.asked > knownEvent) return true;
    ++result_.overtaken;
    result_.longestOvertakenS =
        std::max(result_.longestOvertakenS, answer.at - history_.events[*answer.asked].at);
    return false;
}

void HistoryChecker::checkUnfitSubmission(std::size_t i) {
    const HistoryEvent& e = history_.events[i];
    if (isAnswer(e))
        addViolation("accepted_unfit", e.job + " was accepted although " + history_.unfit.at(e.job),
                     {i});
}

void HistoryChecker::onAnswer(std::size_t i) {
    const HistoryEvent& e = history_.events[i];
    if (history_.unfit.contains(e.job)) return checkUnfitSubmission(i);
    const bool submitted = history_.jobs.contains(e.job);
    if (!submitted) {
        if (isAnswer(e))
            addViolation("invented", e.job + " is known although it was never submitted", {i});
        return;
    }
    JobState& job = jobs_[e.job];
    if (e.question == HistoryEvent::Question::poll && (e.status == 200 || e.status == 404))
        job.unansweredSince.reset();
    if (job.accepted) {
        const bool repeats = e.question == HistoryEvent::Question::submission ||
                             e.question == HistoryEvent::Question::repetition;
        if ((e.status == 404 || (repeats && (e.status == 400 || e.status == 422))) &&
            requestedAfter(e, *job.accepted))
            addViolation("forgotten", e.job + " was accepted before, but is now unknown or refused",
                         {*job.accepted, i});
    } else if (e.status == 400 || e.status == 422) {
        // Simulated users submit only jobs that can run (unfit ones are handled above), with
        // accepted jobs as their dependencies.
        addViolation("refused", e.job + " was refused although it can run", {i});
    }
    if (!isAnswer(e)) return;
    if (!job.accepted) job.accepted = i;
    const std::string& word = e.text;
    if (word == "done") {
        if (job.cancelled)
            addViolation("went_back", e.job + " is done after it was cancelled",
                         {*job.cancelled, i});
        const JobSpec& spec = history_.jobs.at(e.job);
        if (spec.shape == Shape::service || job.completed.size() < spec.tasks)
            addViolation("not_done",
                         e.job + " is reported done with " + std::to_string(job.completed.size()) +
                             " of " + std::to_string(spec.tasks) + " tasks completed",
                         {i});
        if (!job.done) job.done = i;
    } else if (word == "cancelled") {
        if (job.done)
            addViolation("went_back", e.job + " is cancelled after it was done", {*job.done, i});
        if (!job.cancelRequested && !dependencyCancelRequested(e.job))
            addViolation(
                "went_back",
                e.job +
                    " is cancelled although neither it nor a dependency was cancelled by its user",
                {i});
        if (!job.cancelled) {
            job.cancelled = i;
            if (!job.running.empty()) cancelledRunning_.insert(e.job);
        }
    } else {
        const auto& ended = job.done ? job.done : job.cancelled;
        if (ended && requestedAfter(e, *ended))
            addViolation("went_back", e.job + " left its final status", {*ended, i});
        checkDependencyCancelled(i);
    }
}

void HistoryChecker::onRequest(std::size_t i) {
    const HistoryEvent& e = history_.events[i];
    if (!history_.jobs.contains(e.job)) return;
    JobState& job = jobs_[e.job];
    if (e.question == HistoryEvent::Question::cancellation) {
        if (!job.firstCancelRequestAt) job.firstCancelRequestAt = e.at;
        if (e.at - std::max(*job.firstCancelRequestAt, options_.calmS) > options_.knownS)
            addViolation("stuck",
                         e.job + " has unanswered cancellations although all faults are over", {i});
    }
    if (e.question != HistoryEvent::Question::poll) return;
    if (!job.unansweredSince) job.unansweredSince = e.at;
    recentPolls_.emplace_back(e.at, false);
    while (!recentPolls_.empty() && recentPolls_.front().first < e.at - unansweredPollsLimitS)
        recentPolls_.pop_front();
    if (!job.accepted) return;
    const auto good = std::count_if(recentPolls_.begin(), recentPolls_.end(),
                                    [](const auto& r) { return r.second; });
    if (e.at - *job.unansweredSince > unansweredPollsLimitS &&
        static_cast<std::size_t>(good) * 2 > recentPolls_.size())
        addViolation("forgotten", e.job + " had no poll answered for too long", {*job.accepted, i});
    if (e.at - std::max(*job.unansweredSince, options_.calmS) > options_.knownS)
        addViolation("forgotten", e.job + " has unanswered polls although all faults are over",
                     {*job.accepted, i});
}

bool HistoryChecker::waitsDespiteCapacity(const JobSpec& spec, const JobState& job) const {
    if (!job.accepted || job.cancelRequested || job.cancelled || job.done) return false;
    const std::size_t over = spec.shape == Shape::service ? 0 : job.completed.size();
    if (over + job.running.size() >= spec.tasks || dependencyCancelRequested(spec.id)) return false;
    for (const auto& need : spec.dependencies) {
        const auto other = jobs_.find(need);
        if (other == jobs_.end() || other->second.completed.size() < history_.jobs.at(need).tasks)
            return false;
    }
    if (const auto team = options_.teams.find(spec.team); team != options_.teams.end()) {
        const auto used = teamUse_.find(spec.team);
        const double cores = used == teamUse_.end() ? 0 : used->second.first;
        if (team->second.coresMax > 0 &&
            cores + spec.demand.cores > team->second.coresMax + roundingTolerance)
            return false;
    }
    std::map<std::string, std::size_t> zones;
    for (const auto& [task, p] : job.running) ++zones[history_.machines.at(p.machine).zone];
    return std::any_of(upMachines_.begin(), upMachines_.end(), [&](const std::string& name) {
        const MachineFacts& m = history_.machines.at(name);
        if (m.spot && !spec.spotAllowed) return false;
        if (spec.machineTypes && std::find(spec.machineTypes->begin(), spec.machineTypes->end(),
                                           m.type) == spec.machineTypes->end())
            return false;
        if (spec.zone && *spec.zone != m.zone) return false;
        const auto here = zones.find(m.zone);
        if (spec.spread && here != zones.end() && here->second >= (spec.tasks + 1) / 2)
            return false;
        if (spec.sameZone && !zones.empty() && here == zones.end()) return false;
        Resources free = m.capacity;
        if (const auto used = machineUse_.find(name); used != machineUse_.end())
            free -= used->second;
        return spec.demand.cores <= free.cores + roundingTolerance &&
               spec.demand.ramGb <= free.ramGb + roundingTolerance &&
               spec.demand.gpus <= free.gpus + roundingTolerance;
    });
}

void HistoryChecker::checkIdleCapacity(double now) {
    if (now < options_.calmS || now < lastIdleCapacityCheck_ + idleCapacityCheckIntervalS) return;
    lastIdleCapacityCheck_ = now;
    for (auto& [id, job] : jobs_) {
        const auto spec = history_.jobs.find(id);
        if (spec == history_.jobs.end()) continue;
        if (!waitsDespiteCapacity(spec->second, job)) {
            job.idleCapacitySince.reset();
            continue;
        }
        if (!job.idleCapacitySince) job.idleCapacitySince = now;
        if (now - *job.idleCapacitySince > options_.idleCapacityWaitS)
            addViolation("left_waiting",
                         id + " waits although a suitable machine has free capacity",
                         {*job.accepted});
    }
}

void HistoryChecker::checkJobsServed() {
    // Only jobs that had enough time to start and were not cancelled before they did.
    std::map<std::string, std::vector<std::pair<std::uint32_t, std::string>>> classes;
    const double end = history_.events.empty() ? 0 : history_.events.back().at;
    const auto late = [&](const JobState& job) {
        return job.started.value_or(end) - history_.events[*job.submitted].at > options_.beginS;
    };
    for (const auto& [id, job] : jobs_) {
        const auto spec = history_.jobs.find(id);
        if (spec == history_.jobs.end() || !job.submitted || !job.accepted) continue;
        if (!job.started && (job.cancelRequested || dependencyCancelRequested(id))) continue;
        if (!spec->second.dependencies.empty()) continue;  // may start only when others are done
        if (history_.events[*job.submitted].at + options_.beginS > end) continue;
        classes[spec->second.jobClass].emplace_back(spec->second.tasks, id);
    }
    for (auto& [name, jobs] : classes) {
        std::sort(jobs.rbegin(), jobs.rend());
        const auto n = std::max<std::size_t>(
            1, static_cast<std::size_t>(largestShare * static_cast<double>(jobs.size())));
        jobs.resize(std::min(n, jobs.size()));
        JobCounts& s = result_.largest[name];
        for (const auto& [tasks, id] : jobs) {
            const JobState& job = jobs_.at(id);
            ++s.jobs;
            ++s.accepted;
            s.started += job.started ? 1 : 0;
            s.ended += job.done || job.cancelled ? 1 : 0;
            if (options_.beginS > 0 && late(job))
                addViolation("begins_late",
                             fmt::format("{}, one of the largest jobs of {}, did not start in time",
                                         id, name),
                             {*job.submitted});
        }
    }
    if (options_.beginS <= 0) return;
    for (const auto& [kind, rows] :
         {std::pair("class ", &result_.classes), std::pair("team ", &result_.teams),
          std::pair("the largest of ", &result_.largest)})
        for (const auto& [name, s] : *rows)
            if (static_cast<double>(s.started) < minStartedShare * static_cast<double>(s.jobs))
                addViolation("not_served", kind + name + " has fewer than half of its jobs started",
                             {});
}

void HistoryChecker::countJobs() {
    for (const auto& [id, job] : jobs_) {
        const auto spec = history_.jobs.find(id);
        if (spec == history_.jobs.end() || !job.submitted) continue;
        const double at = history_.events[*job.submitted].at;
        if (!job.accepted && at >= options_.settledS && at <= options_.untilS)
            addViolation("stuck",
                         id + " was never accepted although it was submitted after all faults",
                         {*job.submitted});
        // A job may be cancelled without its own request only because a dependency is.
        if (job.cancelled && !job.cancelRequested && !dependencyCancelRequested(id))
            addViolation("went_back", id + " is cancelled although no dependency of it is",
                         {*job.cancelled});
        for (JobCounts* s :
             {&result_.classes[spec->second.jobClass], &result_.teams[spec->second.team]}) {
            ++s->jobs;
            s->accepted += job.accepted ? 1 : 0;
            s->started += job.started || job.cancelled ? 1 : 0;
            s->ended += job.done || job.cancelled ? 1 : 0;
        }
    }
}

CheckResult HistoryChecker::run() {
    for (std::size_t i = 0; i < history_.events.size(); ++i) {
        const HistoryEvent& e = history_.events[i];
        checkCancelledTasks(e.at);
        checkIdleCapacity(e.at);
        switch (e.kind) {
            case Kind::submitted:
                jobs_[e.job].submitted = i;
                break;
            case Kind::cancelRequested:
                jobs_[e.job].cancelRequested = i;
                break;
            case Kind::taskStarted:
                onTaskStarted(i);
                break;
            case Kind::taskStopped:
                onTaskStopped(e);
                break;
            case Kind::completed:
                jobs_[e.job].completed.insert(e.task);
                break;
            case Kind::answered:
                onAnswer(i);
                if (e.question == HistoryEvent::Question::poll && e.status == 200)
                    recentPolls_.emplace_back(e.at, true);
                break;
            case Kind::asked:
                onRequest(i);
                break;
            case Kind::up:
                // Tests add `up` events without a machine to let time pass.
                if (history_.machines.contains(e.machine)) upMachines_.insert(e.machine);
                break;
            case Kind::gone:
                upMachines_.erase(e.machine);
                break;
            default:
                break;
        }
    }
    if (taskStarts_ == 0) addViolation("nothing_ran", "no task was started", {});
    countJobs();
    checkJobsServed();
    return std::move(result_);
}

}  // namespace

CheckResult check(const History& history, const CheckerOptions& options) {
    return HistoryChecker(history, options).run();
}

}  // namespace basaltchute::simulator
