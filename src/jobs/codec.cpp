#include "jobs/codec.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>
#include <unordered_set>
#include <utility>

namespace basaltchute::jobs {

namespace {

constexpr std::uint64_t maxTasks = 100'000;
// Of a record: index, attempt and a machine's name of usual length. With longer ones a block is
// split once it does not fit.
constexpr std::size_t bytesPerTask = 26;
constexpr std::size_t headBytes = 160;  // of a first block, beside description and tasks
constexpr std::size_t fewestPerBlock = 8;
constexpr std::size_t textBytes = 32;  // around a part of a description

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
    /// Ids of jobs, each once.
    std::vector<JobId> ids(const char* name) {
        std::vector<JobId> out;
        if (!given(name)) return out;
        const auto* all = json::array(v_, name);
        if (all == nullptr) {
            fail(name);
            return out;
        }
        std::unordered_set<JobId> seen;
        for (const auto& id : all->GetArray()) {
            if (!id.IsString() || !validId({id.GetString(), id.GetStringLength()})) {
                fail(name);
                return {};
            }
            if (seen.insert(id.GetString()).second) out.emplace_back(id.GetString());
        }
        return out;
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
    s.sameZone = f.flag("together");
    s.spread = f.flag("spread");
    s.spotAllowed = f.flag("loaners");
    s.estimateS = f.amount("parS");
    s.checkpointS = f.amount("savepointS");
    s.saveS = f.amount("flushS");
    if (f.given("cutoffS")) s.deadlineS = f.amount("cutoffS");
    s.dependencies = f.ids("waitsOn");
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
    o.field("together", s.sameZone).field("spread", s.spread).field("loaners", s.spotAllowed);
    o.field("parS", s.estimateS).field("savepointS", s.checkpointS).field("flushS", s.saveS);
    if (s.deadlineS) o.field("cutoffS", *s.deadlineS);
    if (!s.dependencies.empty()) {
        o.key("waitsOn").openArray();
        for (const auto& id : s.dependencies) o.value(id);
        o.closeArray();
    }
    o.close();
}

std::string specText(const JobSpec& s) {
    json::Out o;
    writeSpec(o, s);
    return o.text();
}

/// What may change of the job itself.
void writeState(json::Out& o, const Job& job) {
    if (job.cancelled && job.cancelledWith.empty())
        o.field(job.cancelCommitted ? "cancelled" : "withdrawing", true);
    if (job.released) o.field("released", static_cast<std::int64_t>(job.released->count()));
}

void readState(const json::Value& v, Job& job) {
    job.cancelCommitted = job.cancelCommitted || json::boolean(v, "cancelled").value_or(false);
    job.cancelRecorded = job.cancelRecorded || json::boolean(v, "withdrawing").value_or(false);
    job.cancelled = job.cancelCommitted || job.cancelRecorded;
    job.cancelVersion = job.cancelCommitted ? 1 : 0;
    // A former leader may have told it at any time.
    if (job.cancelCommitted) job.acknowledgedAt = TimePoint{};
    if (const auto at = json::number(v, "released"))
        job.released = WallMillis(static_cast<std::int64_t>(*at));
}

/// Done tasks as pairs of first and last, the rest as [task, attempt] or with its machine.
void writeTasks(json::Out& o, const Job& job, std::uint32_t from, std::uint32_t to,
                const MachineName& name) {
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
            if (t.state == TaskState::bound && t.reserved) o.value(true);
            o.closeArray();
        }
    }
    o.closeArray();
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
    o.field("done", job.doneCount).field("running", job.runningCount);
    if (!job.cancelledWith.empty()) o.field("because", job.cancelledWith);
    o.close();
    return o.text();
}

JobState parseJobState(int status, const std::string& body) {
    if (status == 404 || status == 422) return JobState::unknown;
    if (status != 200 && status != 201) return JobState::none;
    const auto doc = json::parse(body);
    const auto said = doc ? json::string(*doc, "status") : std::nullopt;
    return said == "done" || said == "cancelled" ? JobState::ended : JobState::open;
}

std::unique_ptr<Job> makeJob(JobSpec spec, std::size_t valueBytes) {
    auto job = std::make_unique<Job>();
    const std::size_t taken = headBytes + specText(spec).size();
    const std::size_t room = valueBytes > taken ? valueBytes - taken : 0;
    job->layout = RecordLayout(
        spec.tasks, static_cast<std::uint32_t>(std::max(fewestPerBlock, room / bytesPerTask)));
    job->tasks.resize(spec.tasks);
    job->queue.resize(spec.tasks);
    std::iota(job->queue.rbegin(), job->queue.rend(), 0U);
    job->rank = spec.priority;
    job->spec = std::move(spec);
    return job;
}

std::string encodeBlock(const Job& job, std::uint32_t block, const MachineName& name) {
    json::Out o;
    o.open();
    const std::uint32_t per = job.layout.perBlock();
    if (block == 0) {
        if (job.layout.texts > 0)
            o.field("texts", job.layout.texts);
        else
            o.key("spec").raw(specText(job.spec));
        o.field("at", static_cast<std::int64_t>(job.submitted.count())).field("per", per);
        writeState(o, job);
        if (job.layout.bare()) {
            o.field("bare", true).close();
            return o.text();
        }
    }
    const std::uint32_t from = block * per;
    writeTasks(o, job, from, std::min(from + per, job.spec.tasks), name);
    o.close();
    return o.text();
}

std::string encodePart(const Job& job, const TaskRange& part, const MachineName& name) {
    json::Out o;
    o.open();
    writeTasks(o, job, part.from, part.end(), name);
    o.close();
    return o.text();
}

std::string encodeHead(const Job& job) {
    json::Out o;
    o.open();
    writeState(o, job);
    o.close();
    return o.text();
}

std::vector<std::string> encodeTexts(const Job& job, std::size_t valueBytes) {
    const std::string all = specText(job.spec);
    // Quoted, each byte takes two at most, as the text has no control characters.
    const std::size_t each =
        std::max<std::size_t>(16, (valueBytes - std::min(valueBytes, textBytes)) / 2);
    std::vector<std::string> out;
    for (std::size_t from = 0; from < all.size();) {
        std::size_t to = std::min(all.size(), from + each);
        while (to < all.size() && (static_cast<unsigned char>(all[to]) & 0xC0U) == 0x80U) --to;
        json::Out o;
        o.open().field("text", std::string_view(all).substr(from, to - from)).close();
        out.push_back(o.text());
        from = to;
    }
    return out;
}

std::optional<std::string> decodeText(const json::Value& record) {
    return json::string(record, "text");
}

std::optional<std::uint32_t> textsOf(const json::Value& block) {
    const auto n = json::count(block, "texts");
    return n ? std::optional(static_cast<std::uint32_t>(*n)) : std::nullopt;
}

std::unique_ptr<Job> decodeJob(const json::Value& block, const std::string& texts,
                               std::size_t valueBytes) {
    std::optional<json::Document> apart;
    const json::Value* spec = json::find(block, "spec");
    if (textsOf(block)) {
        apart = json::parse(texts);
        spec = apart ? &*apart : nullptr;
    }
    const auto at = json::number(block, "at");
    const auto per = json::count(block, "per");
    if (spec == nullptr || !at || !per || *per == 0 || *per > maxTasks) return nullptr;
    auto parsed = specOf(*spec);
    if (!std::holds_alternative<JobSpec>(parsed)) return nullptr;
    auto job = makeJob(std::get<JobSpec>(std::move(parsed)), valueBytes);
    job->layout = RecordLayout(job->spec.tasks, static_cast<std::uint32_t>(*per));
    job->layout.texts = job->layout.textsDurable = textsOf(block).value_or(0);
    job->submitted = WallMillis(static_cast<std::int64_t>(*at));
    if (json::boolean(block, "bare").value_or(false)) job->layout.setBare();
    readState(block, *job);
    return job;
}

void decodeHead(const json::Value& record, Job& job) {
    readState(record, job);
}

bool decodeTasks(const json::Value& record, const RecordName& name, Job& job,
                 const MachineOf& machine) {
    const bool part = name.kind == RecordName::Kind::part;
    job.layout.restored(name);
    if (part) {
        // Newer than what other records say of these.
        const std::uint32_t end =
            std::min<std::uint64_t>(std::uint64_t{name.from} + name.count, job.spec.tasks);
        for (std::uint32_t t = name.from; t < end; ++t) job.tasks[t] = JobTask{};
    }
    if (const auto* done = json::array(record, "done")) {
        for (unsigned i = 0; i + 1 < done->Size(); i += 2) {
            if (!(*done)[i].IsUint() || !(*done)[i + 1].IsUint()) return false;
            for (std::uint32_t t = (*done)[i].GetUint();
                 t <= (*done)[i + 1].GetUint() && t < job.spec.tasks; ++t)
                job.tasks[t].state = TaskState::done;
        }
    }
    if (const auto* bound = json::array(record, "bound")) {
        for (const auto& b : bound->GetArray()) {
            if (!b.IsArray() || b.Size() < 2 || !b[0].IsUint() || !b[1].IsUint64()) return false;
            if (b[0].GetUint() >= job.spec.tasks) return false;
            JobTask& t = job.tasks[b[0].GetUint()];
            t.attempt = b[1].GetUint64();
            if (b.Size() < 3 || !b[2].IsString()) continue;
            t.state = TaskState::bound;
            t.machine = machine(b[2].GetString());
            t.reserved = b.Size() > 3 && b[3].IsTrue();
        }
    }
    return true;
}

}  // namespace basaltchute::jobs
