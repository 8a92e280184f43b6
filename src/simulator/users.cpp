#include "simulator/users.h"

#include <algorithm>

#include "json/json.h"

namespace basaltchute::simulator {

using namespace std::chrono_literals;

namespace {
constexpr Duration connectTimeout = 500ms;  // of the load balancer, to a node
constexpr double submitRetryLimitS = 60;    // users then give up a submission
constexpr std::size_t closePollRounds = 3;  // at every node, while `pollClosely` is on
const char* priorityText(Priority p) {
    switch (p) {
        case Priority::production:
            return "production";
        case Priority::high:
            return "high";
        case Priority::normal:
            return "normal";
        default:
            return "low";
    }
}
}  // namespace

std::string submissionBody(const JobSpec& s) {
    json::Writer o;
    o.open().field("ref", s.id).field("category", s.jobClass).field("crew", s.team);
    o.field("shape", s.shape == Shape::service ? "standing" : "array");
    o.field("rank", priorityText(s.priority))
        .field("splits", s.tasks)
        .field("cores", s.demand.cores);
    o.field("gpus", s.demand.gpus).field("ramGb", s.demand.ramGb).field("build", s.image);
    o.field("sizeGb", s.imageGb).key("rigs");
    if (!s.machineTypes) {
        o.null();
    } else {
        o.openArray();
        for (const auto& t : *s.machineTypes) o.value(t);
        o.closeArray();
    }
    o.key("hall");
    if (s.zone)
        o.value(*s.zone);
    else
        o.null();
    o.field("together", s.sameZone).field("spread", s.spread).field("loaners", s.spotAllowed);
    o.field("parS", s.estimatedRuntimeS)
        .field("savepointS", s.checkpointIntervalS)
        .field("flushS", s.checkpointDurationS);
    o.key("cutoffS");
    if (s.deadlineS)
        o.value(*s.deadlineS);
    else
        o.null();
    if (!s.dependencies.empty()) {
        o.key("waitsOn").openArray();
        for (const auto& id : s.dependencies) o.value(id);
        o.closeArray();
    }
    o.close();
    return o.text();
}

Balancer::Balancer(Timeline& time, EventLoop& loop, Scope& scope, std::vector<std::string> nodes)
    : time_(time), loop_(loop), scope_(scope) {
    for (auto& a : nodes) {
        nodes_.emplace_back();
        nodes_.back().address = std::move(a);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) scope_.spawn(probe(i));
}

void Balancer::recordProbe(Node& n, bool succeeded) {
    n.probes.push_back(succeeded);
    if (n.probes.size() > 6) n.probes.pop_front();
    n.successesInRow = succeeded ? n.successesInRow + 1 : 0;
    n.failuresInRow = succeeded ? 0 : n.failuresInRow + 1;
    const auto bad = std::count(n.probes.begin(), n.probes.end(), false);
    if (n.healthy && (n.failuresInRow >= 2 || bad >= 3)) {
        n.healthy = false;
        n.backoff = loop_.now() - n.removedAt < 2min ? std::min<Duration>(n.backoff * 2, 60s) : 3s;
        n.removedAt = loop_.now();
        n.unhealthyUntil = loop_.now() + n.backoff;
    } else if (!n.healthy && loop_.now() >= n.unhealthyUntil &&
               n.successesInRow >= (n.everHealthy ? 2 : 1)) {
        n.healthy = n.everHealthy = true;
        n.probes.clear();
    }
}

Task<void> Balancer::probe(std::size_t node) {
    http::Client client(loop_, nodes_[node].address, 0);
    while (!scope_.cancelled()) {
        http::Request request{"GET", "/up", ""};
        const auto o = co_await client.request(std::move(request), 1s, scope_);
        if (scope_.cancelled()) co_return;
        recordProbe(nodes_[node], o.answered && o.response.status == 200);
        co_await loop_.sleep(fromSeconds(time_.between(0.9, 1.1)), scope_);
    }
}

std::vector<std::size_t> Balancer::choose() {
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].healthy && loop_.now() >= nodes_[i].skipUntil)
            order.emplace_back(nodes_[i].open + time_.between(0, 3), i);
    std::sort(order.begin(), order.end());
    std::vector<std::size_t> out;
    for (const auto& [load, i] : order)
        if (out.size() < 3) out.push_back(i);
    return out;
}

void Balancer::connectFailed(std::size_t node) {
    Node& n = nodes_[node];
    if (++n.failures < 3) return;
    n.failures = 0;
    n.skipUntil = loop_.now() + 3s;
}

Users::Users(Timeline& time, Machine& machine, const std::vector<std::string>& nodes,
             History& history)
    : time_(time),
      machine_(machine),
      loop_(machine.startProcess()),
      scope_(loop_),
      balancer_(time, loop_, scope_, nodes),
      history_(history),
      stageChanged_(loop_),
      nodeCount_(nodes.size()) {}

void Users::end() {
    machine_.disconnect();
    machine_.drainScope(scope_);
}

std::size_t Users::record(HistoryEvent::Kind kind, const std::string& job,
                          HistoryEvent::Question question, int status, std::string word,
                          std::optional<std::size_t> asked) {
    HistoryEvent e;
    e.at = time_.seconds();
    e.kind = kind;
    e.site = machine_.site;
    e.job = job;
    e.question = question;
    e.status = status;
    e.text = std::move(word);
    e.asked = asked;
    history_.events.push_back(std::move(e));
    return history_.events.size() - 1;
}

http::Request Users::request(const std::string& job, HistoryEvent::Question question) const {
    switch (question) {
        case HistoryEvent::Question::poll:
            return {"GET", "/v1/jobs/" + job, ""};
        case HistoryEvent::Question::cancellation:
            return {"POST", "/v1/jobs/" + job + "/withdraw", ""};
        default:
            if (const auto odd = unfitBodies_.find(job); odd != unfitBodies_.end())
                return {"POST", "/v1/jobs", odd->second};
            return {"POST", "/v1/jobs", submissionBody(history_.jobs.at(job))};
    }
}

Task<std::optional<http::Response>> Users::askNode(std::size_t node, std::string job,
                                                   HistoryEvent::Question question, TimePoint until,
                                                   std::size_t asked) {
    http::Client client(loop_, balancer_.address(node), 0);
    balancer_.connectionOpened(node);
    http::Request r = request(job, question);
    auto o = co_await client.request(std::move(r), until - loop_.now(), scope_);
    balancer_.connectionClosed(node);
    if (!o.answered) co_return std::nullopt;
    const auto doc = json::parse(o.response.body);
    const bool known = o.response.status == 200 || o.response.status == 201;
    const std::string word = known && doc ? json::string(*doc, "status").value_or("?") : "";
    record(HistoryEvent::Kind::answered, job, question, o.response.status, word, asked);
    noteAnswer(job, o.response.status, word);
    co_return std::move(o.response);
}

Task<std::optional<http::Response>> Users::ask(std::string job, HistoryEvent::Question question,
                                               Duration timeout) {
    const TimePoint until = loop_.now() + timeout;
    const std::size_t asked = record(HistoryEvent::Kind::asked, job, question);
    for (const std::size_t node : balancer_.choose()) {
        const auto to = parseAddress(balancer_.address(node));
        auto socket = co_await Socket::connect(
            loop_, *to, std::min(until, loop_.now() + connectTimeout), scope_);
        if (!socket) {
            balancer_.connectFailed(node);
            continue;
        }
        socket.reset();
        auto response = co_await askNode(node, job, question, until, asked);
        co_return response;
    }
    co_return std::nullopt;
}

void Users::noteAnswer(const std::string& job, int status, const std::string& word) {
    if (status != 200 && status != 201) return;
    std::string& known = newestAnswers_[job];
    const bool ends = word == "done" || word == "cancelled";
    const bool news = known.empty() || (ends && known != word);
    const bool first = known.empty() && !ends;
    if (news) known = ends ? word : "accepted";
    if (news && pollClosely_) scope_.spawn(pollAllNodes(job, first));
}

Task<void> Users::pollAllNodes(std::string job, bool mayCancel) {
    using Question = HistoryEvent::Question;
    for (std::size_t round = 0; round < closePollRounds && !scope_.cancelled(); ++round) {
        for (std::size_t node = 0; node < nodeCount_; ++node)
            scope_.spawn(
                askNodeOnce(node, job, time_.chance(0.3) ? Question::repetition : Question::poll));
        co_await loop_.sleep(fromSeconds(time_.between(0.001, 0.05)), scope_);
    }
    if (mayCancel && time_.chance(0.15) && !scope_.cancelled()) co_await requestCancel(job);
}

Task<void> Users::askNodeOnce(std::size_t node, std::string job, HistoryEvent::Question question) {
    const std::size_t asked = record(HistoryEvent::Kind::asked, job, question);
    co_await askNode(node, std::move(job), question, loop_.now() + 2s, asked);
}

void Users::cancelNow(const std::string& job) {
    if (newestAnswers_.contains(job)) scope_.spawn(cancel(job));
}
Task<void> Users::cancel(std::string job) {
    co_await requestCancel(std::move(job));
}
Task<void> Users::repeat(std::string job) {
    co_await ask(std::move(job), HistoryEvent::Question::repetition, 5s);
}

void Users::sendOddRequest() {
    if (!newestAnswers_.empty() && time_.chance(0.6)) {
        auto job = newestAnswers_.begin();
        std::advance(job, static_cast<std::ptrdiff_t>(
                              time_.between(0, static_cast<double>(newestAnswers_.size()))));
        const bool ended = job->second != "accepted";
        scope_.spawn(ended ? cancel(job->first) : repeat(job->first));
        return;
    }
    if (history_.jobs.empty()) return;
    JobSpec spec = history_.jobs.begin()->second;
    spec.id = "odd-" + std::to_string(++unfitCount_);
    spec.dependencies.clear();
    std::string& why = history_.unfit[spec.id];
    std::string body;
    const auto without = [&](const std::string& field) {
        why = "it lacks " + field;
        auto doc = *json::parse(submissionBody(spec));
        doc.RemoveMember(field.c_str());
        body = json::text(doc);
    };
    switch (static_cast<int>(time_.between(0, 8))) {
        case 0:
            why = "no type is as large";
            spec.demand.cores = 1e5;
            break;
        case 1:
            why = "there is no such team";
            spec.team = "nobody";
            break;
        case 2:
            why = "there is no such zone";
            spec.zone = "nowhere";
            break;
        case 3:
            why = "its tasks may neither be in one zone nor in two";
            spec.tasks = 4;
            spec.sameZone = spec.spread = true;
            break;
        case 4:
            without("splits");
            break;
        case 5:
            without("build");
            break;
        case 6:
            without("build");
            why = "its image is an unpaired surrogate";
            body.insert(1, R"("build":"\udc00",)");
            break;
        default:
            without("together");
            break;
    }
    if (body.empty()) body = submissionBody(spec);
    unfitBodies_[spec.id] = std::move(body);
    scope_.spawn(submitUnfit(spec.id));
}

Task<void> Users::submitUnfit(std::string id) {
    const TimePoint since = loop_.now();
    while (!scope_.cancelled() && toSeconds(loop_.now() - since) < submitRetryLimitS) {
        const auto r = co_await ask(id, HistoryEvent::Question::submission, 5s);
        if (r && r->status < 429) break;
        co_await loop_.sleep(1s, scope_);
    }
    if (!scope_.cancelled()) co_await ask(std::move(id), HistoryEvent::Question::poll, 2s);
}

void Users::submit(PlannedJob planned) {
    const std::string id = planned.spec.id;
    history_.jobs[id] = planned.spec;
    record(HistoryEvent::Kind::submitted, id, HistoryEvent::Question::submission);
    setStage(id, Stage::submitted);
    scope_.spawn(follow(std::move(planned)));
}

void Users::submit(Pipeline pipeline) {
    scope_.spawn(follow(std::move(pipeline)));
}

Task<void> Users::follow(Pipeline p) {
    for (std::size_t i = 0; i < p.jobs.size(); ++i) {
        const bool last = i + 1 == p.jobs.size();
        const bool late = p.lastLate && last && i > 0;
        const auto ready = [&](const std::string& id) {
            const Stage s = stages_.at(id);
            return s == Stage::over || (!late && s == Stage::accepted);
        };
        for (const auto& id : p.jobs[i].spec.dependencies) {
            if (!stages_.contains(id)) co_return;  // the dependency was never submitted
            while (!ready(id) && !scope_.cancelled()) {
                if (stages_.at(id) == Stage::refused) co_return;
                co_await loop_.wait(stageChanged_, TimePoint::max(), scope_);
            }
        }
        if (scope_.cancelled()) co_return;
        submit(p.jobs[i]);
    }
}

std::string Users::anyAcceptedJob() {
    if (accepted_.empty()) return "";
    return accepted_[static_cast<std::size_t>(
        time_.between(0, static_cast<double>(accepted_.size())))];
}

void Users::deliver(std::string target, std::string body) {
    const auto nodes = balancer_.choose();
    if (!nodes.empty()) deliverTo(nodes.front(), std::move(target), std::move(body));
}
void Users::deliverTo(std::size_t node, std::string target, std::string body) {
    scope_.spawn(post(node, std::move(target), std::move(body)));
}
Task<void> Users::post(std::size_t node, std::string target, std::string body) {
    http::Client client(loop_, balancer_.address(node), 0);
    http::Request request{"POST", std::move(target), std::move(body)};
    co_await client.request(std::move(request), 4s, scope_);
}

Task<bool> Users::requestCancel(std::string job) {
    record(HistoryEvent::Kind::cancelRequested, job, HistoryEvent::Question::cancellation);
    while (!scope_.cancelled()) {
        const auto r = co_await ask(job, HistoryEvent::Question::cancellation, 5s);
        if (r && r->status == 200) co_return true;
        if (r && r->status == 404) co_return false;
        co_await loop_.sleep(std::max<Duration>(1s, std::chrono::seconds(r ? r->retryAfterS : 0)),
                             scope_);
    }
    co_return false;
}

Task<void> Users::follow(PlannedJob planned) {
    const std::string id = planned.spec.id;
    const TimePoint since = loop_.now();
    bool accepted = false;
    while (!accepted && !scope_.cancelled()) {
        const auto r = co_await ask(id, HistoryEvent::Question::submission, 5s);
        if (r && (r->status == 200 || r->status == 201)) accepted = true;
        const Duration later = std::max<Duration>(1s, std::chrono::seconds(r ? r->retryAfterS : 0));
        const bool refused = r && (r->status == 400 || r->status == 422);
        if (!accepted && (refused || toSeconds(loop_.now() + later - since) > submitRetryLimitS)) {
            setStage(id, Stage::refused);
            co_return;
        }
        if (accepted) break;
        co_await loop_.sleep(later, scope_);
    }
    setStage(id, Stage::accepted);
    if (planned.spec.dependencies.empty() && planned.spec.shape != Shape::service)
        accepted_.push_back(id);
    const TimePoint at = loop_.now();
    bool final = false, repeated = false;
    while (!final && !scope_.cancelled() && toSeconds(loop_.now() - at) < planned.pollTimeoutS) {
        co_await loop_.sleep(fromSeconds(time_.between(4.5, 5.5)), scope_);
        if (scope_.cancelled()) co_return;
        if (planned.cancelAfterS && toSeconds(loop_.now() - at) > *planned.cancelAfterS) {
            planned.cancelAfterS.reset();
            co_await requestCancel(id);
        }
        if (planned.repeatAfterS && !repeated &&
            toSeconds(loop_.now() - at) > *planned.repeatAfterS) {
            repeated = true;
            co_await ask(id, HistoryEvent::Question::repetition, 5s);
        }
        const auto r = co_await ask(id, HistoryEvent::Question::poll, 2s);
        const auto doc = r && r->status == 200 ? json::parse(r->body) : std::nullopt;
        const auto status = doc ? json::string(*doc, "status") : std::nullopt;
        final = status && (*status == "done" || *status == "cancelled");
    }
    if (final) setStage(id, Stage::over);
    // Poll once more later, so that the checker sees whether a final status stays final.
    co_await loop_.sleep(fromSeconds(time_.between(5, 40)), scope_);
    if (!scope_.cancelled() && final) co_await ask(id, HistoryEvent::Question::poll, 2s);
}

void Users::pollUnknownJob() {
    scope_.spawn(pollOnce("stray-" + std::to_string(++unknownJobCount_)));
}
Task<void> Users::pollOnce(std::string id) {
    co_await ask(std::move(id), HistoryEvent::Question::poll, 2s);
}

}  // namespace basaltchute::simulator
