#include "simulator/agent.h"

#include <algorithm>

namespace basaltchute::simulator {

using namespace std::chrono_literals;
using worker_api::ExitCause;
using worker_api::TaskStatus;

namespace {
constexpr Duration requestTimeout = 4s, retryDelay = 1s, minReportInterval = 500ms;
constexpr double maxCommandDelayS = 8;  // of a command

const char* toText(TaskStatus s) {
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
const char* toText(ExitCause c) {
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
             AgentEnvironment& environment, History& history, const Agent* former)
    : time_(time),
      machine_(machine),
      host_(std::move(host)),
      type_(std::move(type)),
      environment_(environment),
      history_(history),
      loop_(machine.startProcess()),
      scope_(loop_),
      wake_(loop_) {
    server_ =
        std::make_unique<http::Server>(loop_, host_.address, http::ServerLimits{},
                                       [this](http::Request r) { return serve(std::move(r)); });
    server_->start(scope_);
    node_ =
        static_cast<std::size_t>(time_.between(0, static_cast<double>(environment_.nodes.size())));
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
    for (auto& [key, running] : tasks_)
        if (running.executing) recordEvent(HistoryEvent::Kind::taskStopped, running);
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
    for (const auto& [key, running] : tasks_)
        if (running.executing) out.insert(running.job);
    return out;
}

void Agent::noticeInterruption(Duration notice) {
    notice_ = now() + notice;
    reportSoon();
}

void Agent::recordEvent(HistoryEvent::Kind kind, const RunningTask& running) {
    HistoryEvent e;
    e.at = time_.seconds();
    e.kind = kind;
    e.site = machine_.site;
    e.job = running.job;
    e.task = running.task;
    e.machine = host_.name;
    e.number = running.attempt;
    history_.events.push_back(std::move(e));
}

void Agent::renew(TimePoint sentAt) {
    leaseEnd_ = std::max(leaseEnd_, sentAt + environment_.lease);
    // By the worker's own clock, also while it hangs: its tasks no longer count after the lease.
    time_.at(machine_.clock().trueTime(leaseEnd_) + 1us, [this, until = leaseEnd_] {
        if (!gone_ && leaseEnd_ == until) endIncarnation();
    });
}
void Agent::endIncarnation() {
    for (auto& [key, running] : tasks_)
        if (running.executing) recordEvent(HistoryEvent::Kind::taskStopped, running);
    tasks_.clear();
    ++incarnation_;
    leaseEnd_ = TimePoint{};
    renew(now());
    reportSoon();
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
    for (const auto& [key, running] : tasks_) {
        o.open()
            .field("split", running.id())
            .field("try", running.attempt)
            .field("status", toText(running.status));
        if (running.status == TaskStatus::exited) o.field("cause", toText(running.cause));
        if (running.checkpointed) o.field("stored", true);
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
            // Connection attempts fail.
            node_ = (node_ + 1) % environment_.nodes.size();
            co_await loop_.sleep(retryDelay, scope_);
            continue;
        }
        const TimePoint sentAt = now();
        const std::uint64_t session = incarnation_;
        auto& client = clients[node_];
        if (!client)
            client = std::make_unique<http::Client>(loop_, environment_.nodes[node_].second, 1);
        http::Request request{"POST", "/agent/beat", report()};
        if (environment_.onReport) environment_.onReport(request.body);
        auto o = co_await client->request(std::move(request), requestTimeout, scope_);
        if (scope_.cancelled()) co_return;
        if (inboundBlocked()) {
            // The response does not arrive; the request times out.
            const TimePoint until = sentAt + requestTimeout;
            while (now() < until && !scope_.cancelled())
                co_await loop_.sleep(until - now(), scope_);
            if (scope_.cancelled()) co_return;
            o = http::RequestOutcome{};
        }
        const auto doc = o.answered ? json::parse(o.response.body) : std::nullopt;
        if (o.answered && o.response.status == 200 && doc && now() - sentAt <= requestTimeout) {
            const auto token = json::count(*doc, "baton");
            if (token && *token >= token_ && session == incarnation_) {
                if (*token > token_ && now() >= tokenSeenAt_ + environment_.lease / 2) {
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
            const auto known = std::find_if(environment_.nodes.begin(), environment_.nodes.end(),
                                            [&](const auto& n) { return to && n.first == *to; });
            const auto place = static_cast<std::size_t>(known - environment_.nodes.begin());
            clients.erase(node_);
            if (known != environment_.nodes.end() && place != node_) {
                node_ = place;
                co_await loop_.sleep(fromSeconds(time_.between(0, 0.5)), scope_);
            } else {
                node_ = (node_ + 1) % environment_.nodes.size();
                co_await loop_.sleep(retryDelay, scope_);
            }
            continue;
        }
        const TimePoint next =
            sentAt + std::chrono::duration_cast<Duration>(environment_.reportInterval *
                                                          time_.between(0.75, 1.25));
        while (!scope_.cancelled() && now() < next &&
               !(changed_ && now() >= sentAt + minReportInterval))
            co_await loop_.wait(wake_, changed_ ? std::min(next, sentAt + minReportInterval) : next,
                                scope_);
    }
}

Task<http::Response> Agent::serve(http::Request r) {
    // Commands are held back and delivered when the blockage ends.
    while (inboundBlocked() && !scope_.cancelled())
        co_await loop_.sleep(inboundBlockedUntil_ - now(), scope_);
    const bool held = now() < commandsDelayedUntil_, answer = held && time_.chance(0.5);
    const auto pause = fromSeconds(held ? time_.between(0.2, maxCommandDelayS) : 0);
    if (held && !answer) co_await loop_.sleep(pause, scope_);
    auto response = command(r);
    if (answer) co_await loop_.sleep(pause, scope_);
    co_return response;
}

void Agent::receiveCopy(const std::string& body) {
    if (gone_) return;
    scope_.spawn(executeCopy(body));
    machine_.wake();
}

Task<void> Agent::executeCopy(std::string body) {
    // By the machine's own loop, so that a machine that hangs executes it once it goes on.
    do co_await loop_.sleep(std::max(inboundBlockedUntil_ - now(), Duration::zero()), scope_);
    while (inboundBlocked() && !scope_.cancelled());
    if (!scope_.cancelled()) executeCommands(body);
}

http::Response Agent::command(const http::Request& r) {
    if (r.target == "/inspect") return {200, report()};
    if (r.target != "/commands") return {404, "{}"};
    auto response = executeCommands(r.body);
    if (response.status == 200 && environment_.onCommandsExecuted)
        environment_.onCommandsExecuted(host_.name, r.body);
    return response;
}

http::Response Agent::executeCommands(const std::string& body) {
    const auto doc = json::parse(body);
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
        } else if (const auto running = tasks_.find(key);
                   running != tasks_.end() && running->second.status == TaskStatus::exited) {
            tasks_.erase(running);
        }
    }
}

void Agent::launch(const std::string& job, std::uint32_t task, Attempt attempt) {
    RunningTask running;
    running.job = job;
    running.task = task;
    running.attempt = attempt;
    const Key key{running.id(), attempt};
    if (tasks_.contains(key)) return;
    const auto known = history_.jobs.find(job);
    const auto refuse = [&](ExitCause why) {
        running.status = TaskStatus::exited;
        running.cause = why;
        tasks_[key] = running;
        reportSoon();
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
    running.generation = ++lastGeneration_;
    tasks_[key] = running;
    reportSoon();
    scope_.spawn(run(key, running.generation));
}

Agent::RunningTask* Agent::find(const Key& key, std::uint64_t generation) {
    const auto it = tasks_.find(key);
    return it != tasks_.end() && it->second.generation == generation ? &it->second : nullptr;
}

Task<void> Agent::run(Key key, std::uint64_t generation) {
    const JobSpec spec = history_.jobs.at(find(key, generation)->job);
    auto [image, fresh] = images_.try_emplace(spec.image, now());
    if (fresh)
        image->second += fromSeconds(spec.imageGb / type_.fetchGbPerS * time_.between(0.67, 1.33));
    const TimePoint there = image->second;
    while (now() < there && !scope_.cancelled()) co_await loop_.sleep(there - now(), scope_);
    RunningTask* running = find(key, generation);
    if (running == nullptr || scope_.cancelled()) co_return;
    running->status = TaskStatus::running;
    running->executing = true;
    running->startedAt = now();
    recordEvent(HistoryEvent::Kind::taskStarted, *running);
    reportSoon();
    const std::string id = running->id();
    const double place = spec.tasks > 1 ? static_cast<double>(running->task) / (spec.tasks - 1) : 0;
    const double whole = environment_.trueRuntimeS.at(spec.id) *
                         (1 + environment_.lastTaskExtraRuntime[spec.id] * place);
    double left = failing_ ? 1.0 : whole - environment_.savedProgressS[id];
    if (environment_.completedTasks.contains(id)) left = 0;
    if (spec.shape == Shape::service && !failing_)
        co_return;  // services run until they are stopped
    const TimePoint until = now() + fromSeconds(std::max(left, 0.05));
    while (now() < until && !scope_.cancelled()) co_await loop_.sleep(until - now(), scope_);
    running = find(key, generation);
    if (running == nullptr || scope_.cancelled()) co_return;
    const bool failed = failing_ && !environment_.completedTasks.contains(id);
    if (!failed && environment_.completedTasks.insert(id).second) {
        recordEvent(HistoryEvent::Kind::completed, *running);
        if (++environment_.completedTaskCounts[spec.id] == spec.tasks &&
            environment_.onJobCompleted)
            environment_.onJobCompleted(spec.id);
    }
    end(*running, failed ? ExitCause::error : ExitCause::done, false);
}

void Agent::stop(const Key& key, Duration grace) {
    const auto it = tasks_.find(key);
    if (it == tasks_.end() || it->second.status == TaskStatus::exited) return;
    RunningTask& running = it->second;
    const JobSpec& spec = history_.jobs.at(running.job);
    const bool saves = running.status == TaskStatus::running && spec.checkpointIntervalS > 0 &&
                       grace >= fromSeconds(spec.checkpointDurationS);
    if (running.status == TaskStatus::checkpointing && grace > Duration::zero()) return;
    running.generation = ++lastGeneration_;
    if (!saves) return end(running, ExitCause::stopped, false);
    running.status = TaskStatus::checkpointing;
    reportSoon();
    scope_.spawn(save(key, running.generation, fromSeconds(spec.checkpointDurationS)));
}
Task<void> Agent::save(Key key, std::uint64_t generation, Duration span) {
    const TimePoint until = now() + span;
    while (now() < until && !scope_.cancelled()) co_await loop_.sleep(until - now(), scope_);
    RunningTask* running = find(key, generation);
    if (running == nullptr || scope_.cancelled()) co_return;
    environment_.savedProgressS[running->id()] += toSeconds(now() - running->startedAt);
    end(*running, ExitCause::stopped, true);
}

void Agent::end(RunningTask& running, ExitCause cause, bool checkpointed) {
    if (running.executing) recordEvent(HistoryEvent::Kind::taskStopped, running);
    running.executing = false;
    running.status = TaskStatus::exited;
    running.cause = cause;
    running.checkpointed = checkpointed;
    running.generation = ++lastGeneration_;
    reportSoon();
}

}  // namespace basaltchute::simulator
