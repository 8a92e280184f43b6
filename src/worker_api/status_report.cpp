#include "worker_api/status_report.h"

#include <charconv>

#include "json/json.h"

namespace basaltchute::worker_api {

namespace {

TaskStatus statusOf(const std::string& s) {
    if (s == "pulling") return TaskStatus::pulling;
    if (s == "running") return TaskStatus::running;
    if (s == "saving") return TaskStatus::checkpointing;
    if (s == "exited") return TaskStatus::exited;
    return TaskStatus::other;  // still on the machine, whatever it is called
}
ExitCause causeOf(const std::string& s) {
    if (s == "done") return ExitCause::done;
    if (s == "stopped") return ExitCause::stopped;
    if (s == "error") return ExitCause::error;
    if (s == "full") return ExitCause::full;
    if (s == "busy") return ExitCause::busy;
    if (s == "no_such") return ExitCause::noSuch;
    return ExitCause::other;
}

const char* verbOf(const LaunchTask& /*command*/) {
    return "launch";
}
const char* verbOf(const StopTask& /*command*/) {
    return "stop";
}
const char* verbOf(const ForgetTask& /*command*/) {
    return "forget";
}

void write(json::Writer& o, const std::vector<Command>& commands) {
    o.key("orders").openArray();
    for (const Command& command : commands) {
        const TaskAttempt& target = attemptOf(command);
        o.open().field("verb", std::visit([](const auto& c) { return verbOf(c); }, command));
        o.field("split", target.job + '/' + std::to_string(target.task));
        o.field("try", target.attempt);
        if (const auto* stop = std::get_if<StopTask>(&command))
            o.field("windDownS", toSeconds(stop->gracePeriod));
        o.close();
    }
    o.closeArray();
}

}  // namespace

std::optional<StatusReport> parseStatusReport(const std::string& body) {
    const auto doc = json::parse(body);
    if (!doc || !doc->IsObject()) return std::nullopt;
    auto host = json::string(*doc, "host");
    auto addr = json::string(*doc, "addr");
    auto type = json::string(*doc, "rigKind");
    auto zone = json::string(*doc, "hall");
    const auto session = json::count(*doc, "stint");
    const auto sequence = json::count(*doc, "tick");
    const auto* tasks = json::array(*doc, "splits");
    if (!host || host->empty() || !addr || !type || !zone || !session || !sequence ||
        tasks == nullptr)
        return std::nullopt;
    StatusReport r;
    r.bytes = body.size();
    r.machine = std::move(*host);
    r.address = std::move(*addr);
    r.type = std::move(*type);
    r.zone = std::move(*zone);
    r.spot = json::boolean(*doc, "loaners").value_or(false);
    r.incarnation = *session;
    r.sequence = *sequence;
    r.token = json::count(*doc, "baton").value_or(0);
    if (const auto n = json::number(*doc, "recallS")) r.interruptionNotice = fromSeconds(*n);
    for (const auto& t : tasks->GetArray()) {
        const auto name = json::string(t, "split");
        const auto attempt = json::count(t, "try");
        const auto slash = name ? name->rfind('/') : std::string::npos;
        if (!attempt || slash == std::string::npos) return std::nullopt;
        ReportedTask out;
        out.job = name->substr(0, slash);
        const char* end = name->data() + name->size();
        const auto [p, ec] = std::from_chars(name->data() + slash + 1, end, out.task);
        if (ec != std::errc{} || p != end) return std::nullopt;
        out.attempt = *attempt;
        out.status = statusOf(json::string(t, "status").value_or(""));
        out.cause = causeOf(json::string(t, "cause").value_or(""));
        out.checkpointed = json::boolean(t, "stored").value_or(false);
        r.tasks.push_back(std::move(out));
    }
    return r;
}

std::string encodeHeartbeatResponse(FencingToken token, const std::vector<Command>& commands) {
    json::Writer o;
    o.open().field("baton", token);
    write(o, commands);
    o.close();
    return o.text();
}
std::string encodeCommands(FencingToken token, std::uint64_t incarnation,
                           const std::vector<Command>& commands) {
    json::Writer o;
    o.open().field("baton", token).field("stint", incarnation);
    write(o, commands);
    o.close();
    return o.text();
}

}  // namespace basaltchute::worker_api
