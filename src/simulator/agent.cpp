#include "simulator/agent.h"

#include <algorithm>

namespace basaltchute::simulator {

using namespace std::chrono_literals;
using worker_api::ExitCause;
using worker_api::TaskStatus;

namespace {
constexpr Duration timeout = 4s, pause = 1s, soonest = 500ms;
constexpr double heldAtMostS = 8;  // a command that is held up

const char* wordOf(TaskStatus s) {
    switch (s) {
        case TaskStatus::pulling:
            return "pulling";
        case TaskStatus::checkpointing:
            return "saving";
        case TaskStatus::exited:
            return "exited";
        default:
            return "running";
    }
}
const char* wordOf(ExitCause c) {
    switch (c) {
        case ExitCause::done:
            return "done";
        case ExitCause::error:
            return "error";
        case ExitCause::full:
            return "full";
        case ExitCause::busy:
            return "busy";
        case ExitCause::noSuch:
            return "no_such";
        default:
            return "stopped";
    }
}
}  // namespace

Agent::Agent(Timeline& time, Machine& machine, Cloud::Host host, SimulatedMachineType type,
             AgentEnvironment& terms, History& history, const Agent* former)
    : time_(time),
      machine_(machine),
      host_(std::move(host)),
      type_(std::move(type)),
      terms_(terms),
      history_(history),
      loop_(machine.startProcess()),
      scope_(loop_),
      wake_(loop_) {
    server_ =
        std::make_unique<http::Server>(loop_, host_.address, http::ServerLimits{},
                                       [this](http::Request r) { return serve(std::move(r)); });
    server_->start(scope_);
    node_ = static_cast<std::size_t>(time_.between(0, static_cast<double>(terms_.nodes.size())));
    if (former != nullptr) {
        incarnation_ = former->incarnation_ + 1;
        sequence_ = former->sequence_;
        token_ = former->token_;
    }
    history_.machines[host_.name] = {
        host_.type, host_.zone, machine.site, host_.spot, {type_.cores, type_.gpus, type_.ramGb}};
    history_.events.push_back(
        {time_.seconds(), HistoryEvent::Kind::up, machine_.site, "", host_.name});
    renew(now());
    scope_.spawn(sendHeartbeats());
}

void Agent::kill(bool power) {
    if (gone_) return;
    gone_ = true;
    for (auto& [key, h] : tasks_)
        if (h.on) say(HistoryEvent::Kind::taskStopped, h);
    history_.events.push_back(
        {time_.seconds(), HistoryEvent::Kind::gone, machine_.site, "", host_.name});
    machine_.disconnect(power);
    machine_.drainScope(scope_);
    server_.reset();
    tasks_.clear();
    machine_.endProcess();
}

void Agent::blockInbound(Duration span) {
    inboundBlockedUntil_ = std::max(inboundBlockedUntil_, now() + span);
}

std::set<std::string> Agent::jobsOn() const {
    std::set<std::string> out;
    for (const auto& [key, h] : tasks_)
        if (h.on) out.insert(h.job);
    return out;
}

void Agent::noticeInterruption(Duration notice) {
    notice_ = now() + notice;
    change();
}

void Agent::say(HistoryEvent::Kind kind, const RunningTask& h) {
    HistoryEvent e;
    e.at = time_.seconds();
    e.kind = kind;
    e.site = machine_.site;
    e.job = h.job;
    e.task = h.task;
    e.machine = host_.name;
    e.number = h.attempt;
    history_.events.push_back(std::move(e));
}

void Agent::renew(TimePoint sentAt) {
    leaseEnd_ = std::max(leaseEnd_, sentAt + terms_.lease);
    // By the worker's clock, and also while it hangs: what is on it counts no longer then.
    time_.at(machine_.clock().trueTime(leaseEnd_) + 1us, [this, until = leaseEnd_] {
        if (!gone_ && leaseEnd_ == until) endIncarnation();
    });
}
void Agent::endIncarnation() {
    for (auto& [key, h] : tasks_)
        if (h.on) say(HistoryEvent::Kind::taskStopped, h);
    tasks_.clear();
    ++incarnation_;
    leaseEnd_ = TimePoint{};
    renew(now());
    change();
}

std::string Agent::report() {
    json::Writer o;
    o.open().field("host", host_.name).field("addr", host_.address).field("rigKind", host_.type);
    o.field("hall", host_.zone).field("loaners", host_.spot).field("stint", incarnation_);
    o.field("tick", ++sequence_).field("baton", token_).key("recallS");
    if (notice_)
        o.value(std::max(0.0, toSeconds(*notice_ - now())));
    else
        o.null();
    o.key("splits").openArray();
    for (const auto& [key, h] : tasks_) {
        o.open().field("split", h.id()).field("try", h.attempt).field("status", wordOf(h.status));
        if (h.status == TaskStatus::exited) o.field("cause", wordOf(h.cause));
        if (h.stored) o.field("stored", true);
        o.close();
    }
    o.closeArray().close();
    return o.text();
}

Task<void> Agent::sendHeartbeats() {
    std::map<std::size_t, std::unique_ptr<http::Client>> clients;
    while (!scope_.cancelled()) {
        changed_ = false;
        if (now() < outboundBlockedUntil_) {
            // No connection comes about.
            node_ = (node_ + 1) % terms_.nodes.size();
            co_await loop_.sleep(pause, scope_);
            continue;
        }
        const TimePoint sentAt = now();
        const std::uint64_t session = incarnation_;
        auto& client = clients[node_];
        if (!client) client = std::make_unique<http::Client>(loop_, terms_.nodes[node_].second, 1);
        http::Request request{"POST", "/agent/beat", report()};
        if (terms_.reported) terms_.reported(request.body);
        auto o = co_await client->request(std::move(request), timeout, scope_);
        if (scope_.cancelled()) co_return;
        if (inboundBlocked()) {
            // The answer does not arrive; the connection is given up.
            const TimePoint until = sentAt + timeout;
            while (now() < until && !scope_.cancelled())
                co_await loop_.sleep(until - now(), scope_);
            if (scope_.cancelled()) co_return;
            o = http::RequestOutcome{};
        }
        const auto doc = o.answered ? json::parse(o.response.body) : std::nullopt;
        if (o.answered && o.response.status == 200 && doc && now() - sentAt <= timeout) {
            const auto token = json::count(*doc, "baton");
            if (token && *token >= token_ && session == incarnation_) {
                if (*token > token_ && now() >= tokenSeenAt_ + terms_.lease / 2) {
                    tokenSeenAt_ = now();
                    changed_ = true;
                }
                token_ = *token;
                renew(sentAt);
                execute(*doc);
            }
        } else {
            const auto to =
                doc && o.response.status == 421 ? json::string(*doc, "steward") : std::nullopt;
            const auto known = std::find_if(terms_.nodes.begin(), terms_.nodes.end(),
                                            [&](const auto& n) { return to && n.first == *to; });
            const auto place = static_cast<std::size_t>(known - terms_.nodes.begin());
            clients.erase(node_);
            if (known != terms_.nodes.end() && place != node_) {
                node_ = place;
                co_await loop_.sleep(fromSeconds(time_.between(0, 0.5)), scope_);
            } else {
                node_ = (node_ + 1) % terms_.nodes.size();
                co_await loop_.sleep(pause, scope_);
            }
            continue;
        }
        const TimePoint next = sentAt + std::chrono::duration_cast<Duration>(
                                            terms_.report * time_.between(0.75, 1.25));
        while (!scope_.cancelled() && now() < next && !(changed_ && now() >= sentAt + soonest))
            co_await loop_.wait(wake_, changed_ ? std::min(next, sentAt + soonest) : next, scope_);
    }
}

Task<http::Response> Agent::serve(http::Request r) {
    // Held back, and delivered when it ends.
    while (inboundBlocked() && !scope_.cancelled())
        co_await loop_.sleep(inboundBlockedUntil_ - now(), scope_);
    const bool held = now() < holdUntil_, answer = held && time_.chance(0.5);
    const auto pause = fromSeconds(held ? time_.between(0.2, heldAtMostS) : 0);
    if (held && !answer) co_await loop_.sleep(pause, scope_);
    auto response = command(r);
    if (answer) co_await loop_.sleep(pause, scope_);
    co_return response;
}

http::Response Agent::command(const http::Request& r) {
    if (r.target == "/inspect") return {200, report()};
    if (r.target != "/commands") return {404, "{}"};
    const auto doc = json::parse(r.body);
    const auto token = doc ? json::count(*doc, "baton") : std::nullopt;
    const auto session = doc ? json::count(*doc, "stint") : std::nullopt;
    if (!token || !session) return {400, "{}"};
    if (*token < token_ || *session != incarnation_) return {409, report()};
    token_ = *token;
    execute(*doc);
    return {200, report()};
}

void Agent::execute(const json::Value& answer) {
    const auto* orders = json::array(answer, "orders");
    if (orders == nullptr) return;
    for (const auto& o : orders->GetArray()) {
        const auto verb = json::string(o, "verb"), split = json::string(o, "split");
        const auto attempt = json::count(o, "try");
        if (!verb || !split || !attempt) continue;
        const Key key{*split, *attempt};
        if (*verb == "launch") {
            const auto slash = split->rfind('/');
            launch(split->substr(0, slash),
                   static_cast<std::uint32_t>(std::stoul(split->substr(slash + 1))), *attempt);
        } else if (*verb == "stop") {
            stop(key, fromSeconds(json::number(o, "windDownS").value_or(0)));
        } else if (const auto h = tasks_.find(key);
                   h != tasks_.end() && h->second.status == TaskStatus::exited) {
            tasks_.erase(h);
        }
    }
}

void Agent::launch(const std::string& job, std::uint32_t task, Attempt attempt) {
    RunningTask h;
    h.job = job;
    h.task = task;
    h.attempt = attempt;
    const Key key{h.id(), attempt};
    if (tasks_.contains(key)) return;
    const auto known = history_.jobs.find(job);
    const auto refuse = [&](ExitCause why) {
        h.status = TaskStatus::exited;
        h.cause = why;
        tasks_[key] = h;
        change();
    };
    if (known == history_.jobs.end() || task >= known->second.tasks)
        return refuse(ExitCause::noSuch);
    const JobSpec& spec = known->second;
    double cores = spec.demand.cores, ram = spec.demand.ramGb, gpus = spec.demand.gpus;
    for (const auto& [k, other] : tasks_) {
        if (other.status == TaskStatus::exited) continue;
        if (k.first == key.first) return refuse(ExitCause::busy);
        const Resources& d = history_.jobs.at(other.job).demand;
        cores += d.cores;
        ram += d.ramGb;
        gpus += d.gpus;
    }
    constexpr double tiny = 1e-6;
    if (cores > type_.cores + tiny || ram > type_.ramGb + tiny || gpus > type_.gpus + tiny)
        return refuse(ExitCause::full);
    h.serial = ++serials_;
    tasks_[key] = h;
    change();
    scope_.spawn(run(key, h.serial));
}

Agent::RunningTask* Agent::find(const Key& key, std::uint64_t serial) {
    const auto it = tasks_.find(key);
    return it != tasks_.end() && it->second.serial == serial ? &it->second : nullptr;
}

Task<void> Agent::run(Key key, std::uint64_t serial) {
    const JobSpec spec = history_.jobs.at(find(key, serial)->job);
    auto [image, fresh] = images_.try_emplace(spec.image, now());
    if (fresh)
        image->second += fromSeconds(spec.imageGb / type_.fetchGbPerS * time_.between(0.67, 1.33));
    const TimePoint there = image->second;
    while (now() < there && !scope_.cancelled()) co_await loop_.sleep(there - now(), scope_);
    RunningTask* h = find(key, serial);
    if (h == nullptr || scope_.cancelled()) co_return;
    h->status = TaskStatus::running;
    h->on = true;
    h->since = now();
    say(HistoryEvent::Kind::taskStarted, *h);
    change();
    const std::string id = h->id();
    const double place = spec.tasks > 1 ? static_cast<double>(h->task) / (spec.tasks - 1) : 0;
    const double whole = terms_.runS.at(spec.id) * (1 + terms_.apart[spec.id] * place);
    double left = failing_ ? 1.0 : whole - terms_.progress[id];
    if (terms_.results.contains(id)) left = 0;
    if (spec.shape == Shape::service && !failing_) co_return;  // until it is stopped
    const TimePoint until = now() + fromSeconds(std::max(left, 0.05));
    while (now() < until && !scope_.cancelled()) co_await loop_.sleep(until - now(), scope_);
    h = find(key, serial);
    if (h == nullptr || scope_.cancelled()) co_return;
    const bool failed = failing_ && !terms_.results.contains(id);
    if (!failed && terms_.results.insert(id).second) {
        say(HistoryEvent::Kind::completed, *h);
        if (++terms_.resultsOf[spec.id] == spec.tasks && terms_.ended) terms_.ended(spec.id);
    }
    end(*h, failed ? ExitCause::error : ExitCause::done, false);
}

void Agent::stop(const Key& key, Duration grace) {
    const auto it = tasks_.find(key);
    if (it == tasks_.end() || it->second.status == TaskStatus::exited) return;
    RunningTask& h = it->second;
    const JobSpec& spec = history_.jobs.at(h.job);
    const bool saves = h.status == TaskStatus::running && spec.checkpointIntervalS > 0 &&
                       grace >= fromSeconds(spec.checkpointDurationS);
    if (h.status == TaskStatus::checkpointing && grace > Duration::zero()) return;
    h.serial = ++serials_;
    if (!saves) return end(h, ExitCause::stopped, false);
    h.status = TaskStatus::checkpointing;
    change();
    scope_.spawn(save(key, h.serial, fromSeconds(spec.checkpointDurationS)));
}
Task<void> Agent::save(Key key, std::uint64_t serial, Duration span) {
    const TimePoint until = now() + span;
    while (now() < until && !scope_.cancelled()) co_await loop_.sleep(until - now(), scope_);
    RunningTask* h = find(key, serial);
    if (h == nullptr || scope_.cancelled()) co_return;
    terms_.progress[h->id()] += toSeconds(now() - h->since);
    end(*h, ExitCause::stopped, true);
}

void Agent::end(RunningTask& h, ExitCause cause, bool stored) {
    if (h.on) say(HistoryEvent::Kind::taskStopped, h);
    h.on = false;
    h.status = TaskStatus::exited;
    h.cause = cause;
    h.stored = stored;
    h.serial = ++serials_;
    change();
}

}  // namespace basaltchute::simulator
