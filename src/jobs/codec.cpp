#include "jobs/codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>
#include <utility>

namespace basaltchute::jobs {

namespace {

constexpr std::uint64_t maxTasks = 100'000;
constexpr std::size_t bytesPerTask = 40;  // of a record: index, attempt and machine name

constexpr std::array<std::pair<const char*, Priority>, 4> priorities{
    {{"production", Priority::production},
     {"high", Priority::high},
     {"normal", Priority::normal},
     {"low", Priority::low}}};

constexpr std::array<std::pair<const char*, Shape>, 3> shapes{
    {{"array", Shape::array}, {"standing", Shape::service}, {"group", Shape::gang}}};

/// Reads the fields of a submission and remembers the first that is wrong.
class Fields {
  public:
    explicit Fields(const json::Value& v) : v_(v) {}
    std::string text(const char* name) {
        auto s = json::string(v_, name);
        if (!s || s->empty() || s->size() > 200) fail(name);
        return s.value_or("");
    }
    double amount(const char* name) {
        const auto n = json::number(v_, name);
        if (!n || *n < 0) fail(name);
        return n.value_or(0);
    }
    bool flag(const char* name) {
        const auto b = json::boolean(v_, name);
        if (!b) fail(name);
        return b.value_or(false);
    }
    [[nodiscard]] bool given(const char* name) const { return json::find(v_, name) != nullptr; }
    void fail(const char* name) {
        if (wrong.empty()) wrong = name;
    }
    std::string wrong;

  private:
    const json::Value& v_;
};

std::variant<JobSpec, std::string> specOf(const json::Value& v) {
    if (!v.IsObject()) return std::string("not an object");
    Fields f(v);
    JobSpec s;
    s.id = f.text("ref");
    if (!validId(s.id)) f.fail("ref");
    s.jobClass = f.text("category");
    s.team = f.text("crew");
    const std::string shape = f.text("shape");
    const auto named =
        std::find_if(shapes.begin(), shapes.end(), [&](const auto& e) { return shape == e.first; });
    if (named == shapes.end())
        f.fail("shape");
    else
        s.shape = named->second;
    const std::string rank = f.text("rank");
    const auto p = std::find_if(priorities.begin(), priorities.end(),
                                [&](const auto& e) { return rank == e.first; });
    if (p == priorities.end())
        f.fail("rank");
    else
        s.priority = p->second;
    const auto tasks = json::count(v, "splits");
    if (!tasks || *tasks == 0 || *tasks > maxTasks)
        f.fail("splits");
    else
        s.tasks = static_cast<std::uint32_t>(*tasks);
    s.demand = {f.amount("cores"), f.amount("gpus"), f.amount("ramGb")};
    s.image = f.text("build");
    s.imageGb = f.amount("sizeGb");
    if (f.given("rigs")) {
        const auto* rigs = json::array(v, "rigs");
        if (rigs == nullptr) {
            f.fail("rigs");
        } else {
            s.types.emplace();
            for (const auto& r : rigs->GetArray()) {
                if (!r.IsString())
                    f.fail("rigs");
                else
                    s.types->emplace_back(r.GetString());
            }
        }
    }
    if (f.given("hall")) s.zone = f.text("hall");
    s.oneZone = f.flag("together");
    s.spread = f.flag("spread");
    s.spotAllowed = f.flag("loaners");
    s.estimateS = f.amount("parS");
    s.checkpointS = f.amount("savepointS");
    s.saveS = f.amount("flushS");
    if (f.given("cutoffS")) s.deadlineS = f.amount("cutoffS");
    if (!f.wrong.empty()) return "missing or invalid: " + f.wrong;
    return s;
}

void writeSpec(json::Out& o, const JobSpec& s) {
    const auto p = std::find_if(priorities.begin(), priorities.end(),
                                [&](const auto& e) { return s.priority == e.second; });
    const auto shape = std::find_if(shapes.begin(), shapes.end(),
                                    [&](const auto& e) { return s.shape == e.second; });
    o.open().field("ref", s.id).field("category", s.jobClass).field("crew", s.team);
    o.field("shape", shape->first).field("rank", p->first);
    o.field("splits", s.tasks).field("cores", s.demand.cores).field("gpus", s.demand.gpus);
    o.field("ramGb", s.demand.ramGb).field("build", s.image).field("sizeGb", s.imageGb);
    if (s.types) {
        o.key("rigs").openArray();
        for (const auto& t : *s.types) o.value(t);
        o.closeArray();
    }
    if (s.zone) o.field("hall", *s.zone);
    o.field("together", s.oneZone).field("spread", s.spread).field("loaners", s.spotAllowed);
    o.field("parS", s.estimateS).field("savepointS", s.checkpointS).field("flushS", s.saveS);
    if (s.deadlineS) o.field("cutoffS", *s.deadlineS);
    o.close();
}

}  // namespace

bool validId(std::string_view id) {
    // The published form is a word, a dash and a number. Only what would be unsafe in a key or
    // a path is refused, so that a longer number or another word still works.
    return !id.empty() && id.size() <= 120 && std::all_of(id.begin(), id.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
    });
}

std::variant<JobSpec, std::string> parseSubmission(const std::string& body) {
    const auto doc = json::parse(body);
    if (!doc) return std::string("not JSON");
    return specOf(*doc);
}

std::string statusText(const JobId& id, const char* status) {
    json::Out o;
    o.open().field("ref", id).field("status", status).close();
    return o.text();
}
std::string statusText(const Job& job, const char* status) {
    json::Out o;
    o.open().field("ref", job.spec.id).field("status", status);
    o.field("done", job.doneCount).field("running", job.runningCount).close();
    return o.text();
}

std::string recordKey(const JobId& id, std::size_t record) {
    return recordPrefix + id + (record == 0 ? "" : "/" + std::to_string(record));
}

std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes) {
    auto job = std::make_unique<Job>();
    // A quarter of the first record is left for the job's description.
    job->tasksPerRecord =
        static_cast<std::uint32_t>(std::max<std::size_t>(16, valueBytes * 3 / 4 / bytesPerTask));
    job->tasks.resize(spec.tasks);
    job->queue.resize(spec.tasks);
    std::iota(job->queue.rbegin(), job->queue.rend(), 0U);
    job->records.resize((spec.tasks + job->tasksPerRecord - 1) / job->tasksPerRecord);
    job->spec = std::move(spec);
    // Only the first record says that the job exists; the others appear with their first change.
    for (std::size_t r = 1; r < job->records.size(); ++r) job->records[r] = {0, 0};
    return job;
}

std::string encodeRecord(const Job& job, std::size_t record, const MachineName& name) {
    json::Out o;
    o.open();
    if (record == 0) {
        o.key("spec");
        writeSpec(o, job.spec);
        o.field("at", static_cast<std::int64_t>(job.submitted.count()));
        o.field("per", job.tasksPerRecord);
        if (job.cancelled) o.field(job.cancelFinal ? "cancelled" : "withdrawing", true);
    }
    const auto from = static_cast<std::uint32_t>(record * job.tasksPerRecord);
    const auto to = std::min(from + job.tasksPerRecord, job.spec.tasks);
    // Done tasks as pairs of first and last, the rest as [task, attempt] or with its machine.
    o.key("done").openArray();
    for (std::uint32_t i = from; i < to; ++i) {
        if (job.tasks[i].state != TaskState::done) continue;
        const std::uint32_t first = i;
        while (i + 1 < to && job.tasks[i + 1].state == TaskState::done) ++i;
        o.value(first).value(i);
    }
    o.closeArray().key("bound").openArray();
    if (!job.cancelled || job.boundCount > 0) {
        for (std::uint32_t i = from; i < to; ++i) {
            const JobTask& t = job.tasks[i];
            if (t.state == TaskState::done || t.attempt == 0) continue;
            o.openArray().value(i).value(t.attempt);
            if (t.state == TaskState::bound) o.value(name(t.machine));
            if (t.state == TaskState::bound && t.guaranteed) o.value(true);
            o.closeArray();
        }
    }
    o.closeArray().close();
    return o.text();
}

bool decodeRecord(const std::string& key, const std::string& data, std::size_t valueBytes,
                  const std::function<Job*(const JobId&)>& find,
                  const std::function<Job*(std::unique_ptr<Job>)>& add, const MachineOf& machine) {
    const auto doc = json::parse(data);
    if (!doc || !doc->IsObject()) return false;
    const std::string rest = key.substr(recordPrefix.size());
    const auto slash = rest.find('/');
    Job* job = nullptr;
    std::size_t record = 0;
    if (slash == std::string::npos) {
        const auto* spec = json::find(*doc, "spec");
        const auto at = json::number(*doc, "at");
        const auto per = json::count(*doc, "per");
        if (spec == nullptr || !at || !per || *per == 0) return false;
        auto parsed = specOf(*spec);
        if (!std::holds_alternative<JobSpec>(parsed)) return false;
        auto made = makeJob(std::get<JobSpec>(std::move(parsed)), valueBytes);
        made->tasksPerRecord = static_cast<std::uint32_t>(*per);
        made->records.assign((made->spec.tasks + *per - 1) / *per, Job::Record{0, 0});
        made->submitted = WallMillis(static_cast<std::int64_t>(*at));
        made->cancelFinal = json::boolean(*doc, "cancelled").value_or(false);
        made->cancelNoted = json::boolean(*doc, "withdrawing").value_or(false);
        made->cancelled = made->cancelFinal || made->cancelNoted;
        made->cancelVersion = made->cancelFinal ? 1 : 0;
        // A former leader may have told it at any time.
        if (made->cancelFinal) made->toldAt = TimePoint{};
        job = add(std::move(made));
    } else {
        job = find(rest.substr(0, slash));
        record = static_cast<std::size_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
    }
    if (job == nullptr || record >= job->records.size()) return false;
    job->records[record] = {1, 1};
    if (const auto* done = json::array(*doc, "done")) {
        for (unsigned i = 0; i + 1 < done->Size(); i += 2) {
            if (!(*done)[i].IsUint() || !(*done)[i + 1].IsUint()) return false;
            for (std::uint32_t t = (*done)[i].GetUint();
                 t <= (*done)[i + 1].GetUint() && t < job->spec.tasks; ++t) {
                job->tasks[t].state = TaskState::done;
                ++job->doneCount;
            }
        }
    }
    if (const auto* bound = json::array(*doc, "bound")) {
        for (const auto& b : bound->GetArray()) {
            if (!b.IsArray() || b.Size() < 2 || !b[0].IsUint() || !b[1].IsUint64()) return false;
            if (b[0].GetUint() >= job->spec.tasks) return false;
            JobTask& t = job->tasks[b[0].GetUint()];
            t.attempt = b[1].GetUint64();
            if (b.Size() < 3 || !b[2].IsString()) continue;
            t.state = TaskState::bound;
            t.machine = machine(b[2].GetString());
            t.guaranteed = b.Size() > 3 && b[3].IsTrue();
            ++job->boundCount;
        }
    }
    return true;
}

}  // namespace basaltchute::jobs
