#include "simulator/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace basaltchute::simulator {

namespace {

using Kind = HistoryEvent::Kind;
constexpr double tiny = 1e-6;
constexpr double silentS = 90;  // every poll in vain for so long, while most others are answered
constexpr double largestShare = 0.1;  // of a class's jobs, by their number of tasks
constexpr double half = 0.5;
constexpr double cancelSlackS = 0.01;  // the clock of whoever was told
constexpr double besideEveryS = 1;     // how often it is looked who waits beside room

bool isAnswer(const HistoryEvent& e) {
    return e.kind == Kind::answered && (e.status == 200 || e.status == 201);
}

class Check {
  public:
    Check(const History& history, const CheckerOptions& terms) : h_(history), terms_(terms) {}
    CheckResult run();

  private:
    struct Place {
        std::size_t event;
        std::string machine, site;
    };
    struct Known {
        std::optional<std::size_t> submitted, accepted, done, cancelled, withdrew;
        std::optional<double> silentSince, withdrawnInVainSince, besideSince;
        std::set<std::uint32_t> completed;
        std::multimap<std::uint32_t, Place> on;  // by task
        std::optional<double> started;
    };
    void wrong(const std::string& rule, const std::string& what,
               const std::vector<std::size_t>& events) {
        if (!seen_.insert(rule + what).second) return;
        Violation v{rule, what, {}};
        for (const auto i : events) v.proof.push_back(h_.events[i]);
        out_.violations.push_back(std::move(v));
    }
    void on(std::size_t i);
    void off(const HistoryEvent& e);
    void told(std::size_t i);
    void place(std::size_t i, const JobSpec& spec, const Known& job);
    void quota(const JobSpec& spec);
    void overdue(double now);
    void asked(std::size_t i);
    /// Whether the question left after that was told; else the two overlap, which is counted.
    bool after(const HistoryEvent& answer, std::size_t told);
    void unfit(std::size_t i);
    void beside(double now);
    [[nodiscard]] bool waitsBesideRoom(const JobSpec& spec, const Known& job) const;
    void tooEarly(std::size_t i, const JobSpec& spec);
    void orphaned(std::size_t i);
    void served();
    void count();
    /// Calls `visit` for all jobs that it needs, directly or through others, until it returns true.
    template <typename Visit>
    bool before(const std::string& id, Visit visit) const;
    [[nodiscard]] bool withdrawnBefore(const std::string& id) const;

    const History& h_;
    const CheckerOptions& terms_;
    std::map<std::string, Known> jobs_;
    std::map<std::string, std::pair<double, double>> use_;  // cores and GPUs by team, all sites
    std::set<std::string> seen_, cancelledOn_, up_;
    std::map<std::string, Resources> onMachine_;
    double lookedBesideAt_ = 0;
    std::uint64_t polls_ = 0, answered_ = 0, launches_ = 0;
    std::deque<std::pair<double, bool>> recent_;  // polls and whether they were answered
    CheckResult out_;
};

void Check::quota(const JobSpec& spec) {
    const auto team = terms_.teams.find(spec.team);
    if (team == terms_.teams.end()) return;
    const auto& [cores, gpus] = use_[spec.team];
    const settings::Team& t = team->second;
    if ((t.coresMax <= 0 || cores <= t.coresMax + tiny) &&
        (t.gpusMax <= 0 || gpus <= t.gpusMax + tiny))
        return;
    std::vector<std::size_t> proof;
    for (const auto& [id, job] : jobs_)
        if (h_.jobs.at(id).team == spec.team)
            for (const auto& [task, p] : job.on) proof.push_back(p.event);
    std::sort(proof.begin(), proof.end());
    wrong("quota", "team " + spec.team + " is above its limit", proof);
}

void Check::place(std::size_t i, const JobSpec& spec, const Known& job) {
    const HistoryEvent& e = h_.events[i];
    const MachineFacts& m = h_.machines.at(e.machine);
    const auto bad = [&](const std::string& why, std::vector<std::size_t> proof = {}) {
        proof.push_back(i);
        wrong("wrong_place", spec.id + ' ' + why, proof);
    };
    if (spec.machineTypes && std::find(spec.machineTypes->begin(), spec.machineTypes->end(),
                                       m.type) == spec.machineTypes->end())
        bad("is on a type that it does not allow");
    if (spec.zone && *spec.zone != m.zone) bad("is in a zone that it does not allow");
    if (m.spot && !spec.spotAllowed) bad("is on a spot machine");
    std::size_t here = 0;
    std::vector<std::size_t> others;
    for (const auto& [task, p] : job.on) {
        const MachineFacts& at = h_.machines.at(p.machine);
        if (at.zone == m.zone && at.site == m.site) {
            ++here;
            others.push_back(p.event);
        } else if (spec.sameZone) {
            bad("is in two zones", {p.event});
        }
    }
    if (spec.spread && here > (spec.tasks + 1) / 2) bad("is not spread", others);
}

void Check::on(std::size_t i) {
    const HistoryEvent& e = h_.events[i];
    ++launches_;
    const auto spec = h_.jobs.find(e.job);
    if (spec == h_.jobs.end()) return;
    Known& job = jobs_[e.job];
    for (auto [p, end] = job.on.equal_range(e.task); p != end; ++p) {
        const std::string id = e.job + '/' + std::to_string(e.task);
        wrong("ran_twice", id + " starts on " + e.machine + " while it is on " + p->second.machine,
              {p->second.event, i});
        if (p->second.site != e.site)
            wrong("two_sites", id + " is on two sites at once", {p->second.event, i});
    }
    job.on.emplace(e.task, Place{i, e.machine, e.site});
    if (!job.started) job.started = e.at;
    onMachine_[e.machine] += spec->second.demand;
    tooEarly(i, spec->second);
    auto& [cores, gpus] = use_[spec->second.team];
    cores += spec->second.demand.cores;
    gpus += spec->second.demand.gpus;
    quota(spec->second);
    place(i, spec->second, job);
    if (job.cancelled) {
        cancelledOn_.insert(e.job);
        ++out_.startedCancelled;
    }
}

template <typename Visit>
bool Check::before(const std::string& id, Visit visit) const {
    std::vector<std::string> next{id};
    std::set<std::string> seen;
    while (!next.empty()) {
        const auto spec = h_.jobs.find(next.back());
        next.pop_back();
        if (spec == h_.jobs.end()) continue;
        for (const auto& need : spec->second.dependencies) {
            if (!seen.insert(need).second) continue;
            const auto job = jobs_.find(need);
            if (job != jobs_.end() && visit(need, job->second)) return true;
            next.push_back(need);
        }
    }
    return false;
}

void Check::tooEarly(std::size_t i, const JobSpec& spec) {
    for (const auto& need : spec.dependencies) {
        const auto job = jobs_.find(need);
        const std::size_t done = job == jobs_.end() ? 0 : job->second.completed.size();
        if (done < h_.jobs.at(need).tasks)
            wrong("too_early",
                  spec.id + " starts while " + need + " has " + std::to_string(done) + " of " +
                      std::to_string(h_.jobs.at(need).tasks) + " tasks done",
                  {i});
    }
}

void Check::orphaned(std::size_t i) {
    const HistoryEvent& e = h_.events[i];
    before(e.job, [&](const std::string& id, const Known& job) {
        const bool late =
            job.cancelled && e.at > h_.events[*job.cancelled].at + terms_.cancelS + cancelSlackS;
        if (late)
            wrong("orphaned", e.job + " is " + e.text + " long after " + id + " was cancelled",
                  {*job.cancelled, i});
        return late;
    });
}

bool Check::withdrawnBefore(const std::string& id) const {
    return before(id,
                  [](const std::string&, const Known& job) { return job.withdrew && !job.done; });
}

void Check::off(const HistoryEvent& e) {
    const auto job = jobs_.find(e.job);
    if (job == jobs_.end()) return;
    for (auto [p, end] = job->second.on.equal_range(e.task); p != end; ++p) {
        if (p->second.machine != e.machine) continue;
        job->second.on.erase(p);
        auto& [cores, gpus] = use_[h_.jobs.at(e.job).team];
        cores -= h_.jobs.at(e.job).demand.cores;
        gpus -= h_.jobs.at(e.job).demand.gpus;
        onMachine_[e.machine] -= h_.jobs.at(e.job).demand;
        break;
    }
    if (job->second.on.empty()) cancelledOn_.erase(e.job);
}

void Check::overdue(double now) {
    // Only what was told to be cancelled and is on machines is looked at.
    for (auto id = cancelledOn_.begin(); id != cancelledOn_.end();) {
        const Known& job = jobs_.at(*id);
        const std::size_t at = *job.cancelled;
        if (now <= h_.events[at].at + terms_.cancelS + cancelSlackS) {
            ++id;
            continue;
        }
        wrong("ran_cancelled", *id + " is on a machine too long after its user was told",
              {at, job.on.begin()->second.event});
        id = cancelledOn_.erase(id);
    }
}

bool Check::after(const HistoryEvent& answer, std::size_t told) {
    if (!answer.asked || *answer.asked > told) return true;
    ++out_.overtaken;
    out_.longestOvertakenS =
        std::max(out_.longestOvertakenS, answer.at - h_.events[*answer.asked].at);
    return false;
}

void Check::unfit(std::size_t i) {
    const HistoryEvent& e = h_.events[i];
    if (isAnswer(e))
        wrong("accepted_unfit", e.job + " is accepted though " + h_.unfit.at(e.job), {i});
}

void Check::told(std::size_t i) {
    const HistoryEvent& e = h_.events[i];
    if (h_.unfit.contains(e.job)) return unfit(i);
    const bool submitted = h_.jobs.contains(e.job);
    if (!submitted) {
        if (isAnswer(e)) wrong("invented", e.job + " was never submitted", {i});
        return;
    }
    Known& job = jobs_[e.job];
    if (e.question == HistoryEvent::Question::poll && (e.status == 200 || e.status == 404))
        job.silentSince.reset();
    if (job.accepted) {
        const bool repeats = e.question == HistoryEvent::Question::submission ||
                             e.question == HistoryEvent::Question::repetition;
        if ((e.status == 404 || (repeats && (e.status == 400 || e.status == 422))) &&
            after(e, *job.accepted))
            wrong("forgotten", e.job + " was accepted", {*job.accepted, i});
    } else if (e.status == 400 || e.status == 422) {
        // Users of the lab send nothing that could never run, and name accepted jobs only.
        wrong("refused", e.job + " could run", {i});
    }
    if (!isAnswer(e)) return;
    if (!job.accepted) job.accepted = i;
    const std::string& word = e.text;
    if (word == "done") {
        if (job.cancelled) wrong("went_back", e.job + " was cancelled", {*job.cancelled, i});
        const JobSpec& spec = h_.jobs.at(e.job);
        if (spec.shape == Shape::service || job.completed.size() < spec.tasks)
            wrong("not_done",
                  e.job + " has " + std::to_string(job.completed.size()) + " of " +
                      std::to_string(spec.tasks) + " tasks done",
                  {i});
        if (!job.done) job.done = i;
    } else if (word == "cancelled") {
        if (job.done) wrong("went_back", e.job + " was done", {*job.done, i});
        if (!job.withdrew && !withdrawnBefore(e.job))
            wrong("went_back", e.job + " was not withdrawn by its user", {i});
        if (!job.cancelled) {
            job.cancelled = i;
            if (!job.on.empty()) cancelledOn_.insert(e.job);
        }
    } else {
        const auto& ended = job.done ? job.done : job.cancelled;
        if (ended && after(e, *ended)) wrong("went_back", e.job + " was final", {*ended, i});
        orphaned(i);
    }
}

void Check::asked(std::size_t i) {
    const HistoryEvent& e = h_.events[i];
    if (!h_.jobs.contains(e.job)) return;
    Known& job = jobs_[e.job];
    if (e.question == HistoryEvent::Question::cancellation) {
        if (!job.withdrawnInVainSince) job.withdrawnInVainSince = e.at;
        if (e.at - std::max(*job.withdrawnInVainSince, terms_.calmS) > terms_.knownS)
            wrong("stuck", e.job + " is withdrawn in vain, though all troubles are over", {i});
    }
    if (e.question != HistoryEvent::Question::poll) return;
    if (!job.silentSince) job.silentSince = e.at;
    recent_.emplace_back(e.at, false);
    while (!recent_.empty() && recent_.front().first < e.at - silentS) recent_.pop_front();
    if (!job.accepted) return;
    const auto good =
        std::count_if(recent_.begin(), recent_.end(), [](const auto& r) { return r.second; });
    if (e.at - *job.silentSince > silentS && static_cast<std::size_t>(good) * 2 > recent_.size())
        wrong("forgotten", e.job + " has polled in vain for too long", {*job.accepted, i});
    if (e.at - std::max(*job.silentSince, terms_.calmS) > terms_.knownS)
        wrong("forgotten", e.job + " is asked about in vain, though all troubles are over",
              {*job.accepted, i});
}

bool Check::waitsBesideRoom(const JobSpec& spec, const Known& job) const {
    if (!job.accepted || job.withdrew || job.cancelled || job.done) return false;
    const std::size_t over = spec.shape == Shape::service ? 0 : job.completed.size();
    if (over + job.on.size() >= spec.tasks || withdrawnBefore(spec.id)) return false;
    for (const auto& need : spec.dependencies) {
        const auto other = jobs_.find(need);
        if (other == jobs_.end() || other->second.completed.size() < h_.jobs.at(need).tasks)
            return false;
    }
    if (const auto team = terms_.teams.find(spec.team); team != terms_.teams.end()) {
        const auto used = use_.find(spec.team);
        const double cores = used == use_.end() ? 0 : used->second.first;
        if (team->second.coresMax > 0 && cores + spec.demand.cores > team->second.coresMax + tiny)
            return false;
    }
    std::map<std::string, std::size_t> zones;
    for (const auto& [task, p] : job.on) ++zones[h_.machines.at(p.machine).zone];
    return std::any_of(up_.begin(), up_.end(), [&](const std::string& name) {
        const MachineFacts& m = h_.machines.at(name);
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
        if (const auto used = onMachine_.find(name); used != onMachine_.end()) free -= used->second;
        return spec.demand.cores <= free.cores + tiny && spec.demand.ramGb <= free.ramGb + tiny &&
               spec.demand.gpus <= free.gpus + tiny;
    });
}

void Check::beside(double now) {
    if (now < terms_.calmS || now < lookedBesideAt_ + besideEveryS) return;
    lookedBesideAt_ = now;
    for (auto& [id, job] : jobs_) {
        const auto spec = h_.jobs.find(id);
        if (spec == h_.jobs.end()) continue;
        if (!waitsBesideRoom(spec->second, job)) {
            job.besideSince.reset();
            continue;
        }
        if (!job.besideSince) job.besideSince = now;
        if (now - *job.besideSince > terms_.idleCapacityWaitS)
            wrong("left_waiting", id + " waits beside a machine that fits and has room",
                  {*job.accepted});
    }
}

void Check::served() {
    // Only what had the time to begin, and what nobody took back before.
    std::map<std::string, std::vector<std::pair<std::uint32_t, std::string>>> classes;
    const double end = h_.events.empty() ? 0 : h_.events.back().at;
    const auto late = [&](const Known& job) {
        return job.started.value_or(end) - h_.events[*job.submitted].at > terms_.beginS;
    };
    for (const auto& [id, job] : jobs_) {
        const auto spec = h_.jobs.find(id);
        if (spec == h_.jobs.end() || !job.submitted || !job.accepted) continue;
        if (!job.started && (job.withdrew || withdrawnBefore(id))) continue;
        if (!spec->second.dependencies.empty()) continue;  // their time begins when others are done
        if (h_.events[*job.submitted].at + terms_.beginS > end) continue;
        classes[spec->second.jobClass].emplace_back(spec->second.tasks, id);
    }
    for (auto& [name, jobs] : classes) {
        std::sort(jobs.rbegin(), jobs.rend());
        const auto n = std::max<std::size_t>(
            1, static_cast<std::size_t>(largestShare * static_cast<double>(jobs.size())));
        jobs.resize(std::min(n, jobs.size()));
        JobCounts& s = out_.largest[name];
        for (const auto& [tasks, id] : jobs) {
            const Known& job = jobs_.at(id);
            ++s.jobs;
            ++s.accepted;
            s.started += job.started ? 1 : 0;
            s.ended += job.done || job.cancelled ? 1 : 0;
            if (terms_.beginS > 0 && late(job))
                wrong("begins_late",
                      fmt::format("{}, one of the largest of {}, does not begin", id, name),
                      {*job.submitted});
        }
    }
    if (terms_.beginS <= 0) return;
    for (const auto& [kind, rows] :
         {std::pair("class ", &out_.classes), std::pair("team ", &out_.teams),
          std::pair("the largest of ", &out_.largest)})
        for (const auto& [name, s] : *rows)
            if (static_cast<double>(s.started) < half * static_cast<double>(s.jobs))
                wrong("not_served", kind + name + " has less than half of its jobs started", {});
}

void Check::count() {
    for (const auto& [id, job] : jobs_) {
        const auto spec = h_.jobs.find(id);
        if (spec == h_.jobs.end() || !job.submitted) continue;
        const double at = h_.events[*job.submitted].at;
        if (!job.accepted && at >= terms_.settledS && at <= terms_.untilS)
            wrong("stuck", id + " was never accepted, long after the last trouble",
                  {*job.submitted});
        // What was cancelled with another was so because that one is.
        if (job.cancelled && !job.withdrew && !withdrawnBefore(id))
            wrong("went_back", id + " is cancelled, and nothing before it is", {*job.cancelled});
        for (JobCounts* s :
             {&out_.classes[spec->second.jobClass], &out_.teams[spec->second.team]}) {
            ++s->jobs;
            s->accepted += job.accepted ? 1 : 0;
            s->started += job.started || job.cancelled ? 1 : 0;
            s->ended += job.done || job.cancelled ? 1 : 0;
        }
    }
}

CheckResult Check::run() {
    for (std::size_t i = 0; i < h_.events.size(); ++i) {
        const HistoryEvent& e = h_.events[i];
        overdue(e.at);
        beside(e.at);
        switch (e.kind) {
            case Kind::submitted:
                jobs_[e.job].submitted = i;
                break;
            case Kind::cancelRequested:
                jobs_[e.job].withdrew = i;
                break;
            case Kind::taskStarted:
                on(i);
                break;
            case Kind::taskStopped:
                off(e);
                break;
            case Kind::completed:
                jobs_[e.job].completed.insert(e.task);
                break;
            case Kind::answered:
                told(i);
                if (e.question == HistoryEvent::Question::poll && e.status == 200)
                    recent_.emplace_back(e.at, true);
                break;
            case Kind::asked:
                asked(i);
                break;
            case Kind::up:
                // Some histories say only that time passes.
                if (h_.machines.contains(e.machine)) up_.insert(e.machine);
                break;
            case Kind::gone:
                up_.erase(e.machine);
                break;
            default:
                break;
        }
    }
    if (launches_ == 0) wrong("nothing_ran", "no task was started", {});
    count();
    served();
    return std::move(out_);
}

}  // namespace

CheckResult check(const History& history, const CheckerOptions& terms) {
    return Check(history, terms).run();
}

}  // namespace basaltchute::simulator
