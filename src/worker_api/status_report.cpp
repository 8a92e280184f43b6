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
    return TaskStatus::other;  // unknown, but the task is still on the machine
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

void writeCommands(json::Writer& out, const std::vector<Command>& commands) {
    out.key("orders").openArray();
    for (const Command& command : commands) {
        const TaskAttempt& target = attemptOf(command);
        out.open().field("verb", std::visit([](const auto& c) { return verbOf(c); }, command));
        out.field("split", target.job + '/' + std::to_string(target.task));
        out.field("try", target.attempt);
        if (const auto* stop = std::get_if<StopTask>(&command))
            out.field("windDownS", toSeconds(stop->gracePeriod));
        out.close();
    }
    out.closeArray();
}

}  // namespace

std::optional<StatusReport> parseStatusReport(const std::string& body) {
    const auto doc = json::parse(body);
    if (!doc || !doc->IsObject()) return std::nullopt;
    auto machine = json::string(*doc, "host");
    auto address = json::string(*doc, "addr");
    auto type = json::string(*doc, "rigKind");
    auto zone = json::string(*doc, "hall");
    const auto incarnation = json::count(*doc, "stint");
    const auto sequence = json::count(*doc, "tick");
    const auto* tasks = json::array(*doc, "splits");
    if (!machine || machine->empty() || !address || !type || !zone || !incarnation || !sequence ||
        tasks == nullptr)
        return std::nullopt;
    StatusReport report;
    report.bytes = body.size();
    report.machine = std::move(*machine);
    report.address = std::move(*address);
    report.type = std::move(*type);
    report.zone = std::move(*zone);
    report.spot = json::boolean(*doc, "loaners").value_or(false);
    report.incarnation = *incarnation;
    report.sequence = *sequence;
    report.token = json::count(*doc, "baton").value_or(0);
    if (const auto seconds = json::number(*doc, "recallS"))
        report.interruptionNotice = fromSeconds(*seconds);
    for (const auto& entry : tasks->GetArray()) {
        const auto name = json::string(entry, "split");
        const auto attempt = json::count(entry, "try");
        const auto slash = name ? name->rfind('/') : std::string::npos;
        if (!attempt || slash == std::string::npos) return std::nullopt;
        ReportedTask task;
        task.job = name->substr(0, slash);
        const char* end = name->data() + name->size();
        const auto [parsedTo, error] = std::from_chars(name->data() + slash + 1, end, task.task);
        if (error != std::errc{} || parsedTo != end) return std::nullopt;
        task.attempt = *attempt;
        task.status = statusOf(json::string(entry, "status").value_or(""));
        task.cause = causeOf(json::string(entry, "cause").value_or(""));
        task.checkpointed = json::boolean(entry, "stored").value_or(false);
        report.tasks.push_back(std::move(task));
    }
    return report;
}

std::string encodeHeartbeatResponse(FencingToken token, const std::vector<Command>& commands) {
    json::Writer out;
    out.open().field("baton", token);
    writeCommands(out, commands);
    out.close();
    return out.text();
}
std::string encodeCommands(FencingToken token, std::uint64_t incarnation,
                           const std::vector<Command>& commands) {
    json::Writer out;
    out.open().field("baton", token).field("stint", incarnation);
    writeCommands(out, commands);
    out.close();
    return out.text();
}

}  // namespace basaltchute::worker_api
