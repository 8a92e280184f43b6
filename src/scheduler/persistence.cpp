#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"
#include "scheduler/cluster.h"

// What stands in the state service about jobs: how it is read back, and how it is written.

namespace basaltchute::scheduler {

using jobs::RecordName;
using jobs::TaskRange;
using kv_store::EncodedRecord;
using kv_store::WritePriority;
using worker_api::Allocation;
using Kind = jobs::RecordName::Kind;

namespace {
constexpr std::size_t leastValue = 256;  // no service takes less
}  // namespace

// ---------------------------------------------------------------- read

Job& Cluster::add(std::unique_ptr<Job> job) {
    job->submittedAt = now_ - std::max(WallMillis(0), wall_ - job->submitted);
    job->releasedAt = job->submittedAt;
    Job& ref = *job;
    jobs_[ref.spec.id] = std::move(job);
    return ref;
}

bool Cluster::load(const std::string& key, const std::string& data, TimePoint now,
                   WallMillis wall) {
    now_ = now;
    wall_ = wall;
    const auto name = RecordName::of(key);
    if (!name) return false;
    const auto doc = json::parse(data);
    const auto bad = [&] {
        unreadableJobs_.insert(name->job);
        return false;
    };
    if (!doc || !doc->IsObject()) return bad();
    const bool first = name->kind == Kind::block && name->from == 0;
    Job* job = first ? nullptr : find(name->job);
    if (first && !jobs::textsOf(*doc)) {
        auto made = jobs::decodeJob(*doc, "", valueBytes_);
        if (made == nullptr || made->spec.id != name->job) return bad();
        job = &add(std::move(made));
    }
    // What is in parts comes after all that is whole; the rest of a job after the job itself.
    if (job == nullptr || name->kind != Kind::block) {
        unappliedRecords_[key] = data;
        return true;
    }
    const bool well = jobs::decodeTasks(*doc, *name, *job,
                                        [&](const std::string& n) { return machines_.indexOf(n); });
    return well || bad();
}

void Cluster::restore() {
    struct Later {
        RecordName name;
        json::Document doc;
    };
    std::vector<Later> whole, parts;
    const auto all = std::exchange(unappliedRecords_, {});
    for (const auto& [key, data] : all) {
        const auto name = *RecordName::of(key);
        if (name.kind == Kind::text) continue;
        auto doc = *json::parse(data);
        if (name.kind == Kind::block && name.from == 0) {
            std::string description;
            for (std::uint32_t i = 0; i < *jobs::textsOf(doc); ++i) {
                const auto text = all.find(RecordName{name.job, Kind::text, i, 0}.key());
                if (text != all.end())
                    description += jobs::decodeText(*json::parse(text->second)).value_or("");
            }
            auto made = jobs::decodeJob(doc, description, valueBytes_);
            if (made == nullptr || made->spec.id != name.job) {
                spdlog::error("record {} is malformed", key);
                unreadableJobs_.insert(name.job);
                continue;
            }
            add(std::move(made));
        }
        (name.kind == Kind::block ? whole : parts).push_back({name, std::move(doc)});
    }
    // Smaller ones are newer.
    std::stable_sort(parts.begin(), parts.end(),
                     [](const Later& a, const Later& b) { return a.name.count > b.name.count; });
    for (auto* records : {&whole, &parts}) {
        for (const auto& [name, doc] : *records) {
            // Of a job that was never accepted nothing counts.
            Job* job = find(name.job);
            if (job == nullptr) continue;
            if (name.kind == Kind::head) {
                jobs::decodeHead(doc, *job);
                job->layout.restored(name);
            } else if (!jobs::decodeTasks(doc, name, *job, [&](const std::string& n) {
                           return machines_.indexOf(n);
                       })) {
                spdlog::error("record {} is malformed", name.key());
                unreadableJobs_.insert(name.job);
            }
        }
    }
    // Half of what stands about a job could start its tasks a second time.
    for (const auto& id : unreadableJobs_) jobs_.erase(id);
}

void Cluster::loaded(TimePoint now) {
    restore();
    for (auto& [id, job] : jobs_)
        for (const auto& t : job->tasks) {
            job->doneCount += t.state == TaskState::done ? 1 : 0;
            job->boundCount += t.state == TaskState::bound ? 1 : 0;
        }
    restoreChains();
    for (auto& [id, job] : jobs_) {
        if (job->open() && !job->blocked) onJobOpened(*job);
        if (job->cancelled) cancellations_.insert(job.get());
        for (std::uint32_t t = 0; t < job->spec.tasks; ++t) {
            const JobTask& task = job->tasks[t];
            if (task.state != TaskState::bound) continue;
            Allocation c;
            c.job = job.get();
            c.task = t;
            c.attempt = task.attempt;
            c.launchSent = c.adopted = true;
            allocate(task.machine, std::move(c));
        }
    }
    // The former leader's right had ended before this one's began.
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        machines_[i].leaseEnd = leaseEnd(now);
        machines_[i].lastHeartbeatAt = now;  // it has been there: its reports are due from now on
        scheduleTimer(i, machines_[i].leaseEnd);
    }
}

// ---------------------------------------------------------------- written

void Cluster::markTaskDirty(Job& job, std::uint32_t task, kv_store::WritePriority urgency) {
    const TaskRange& s = job.layout.touch(task);
    // Nothing in parts stands before the job does: nobody would find it.
    if (s.page && !job.accepted()) return;
    effects_.dirtyRecords.emplace_back(job.layout.nameOf(job.spec.id, s).key(), urgency);
}

void Cluster::markHeadDirty(Job& job, kv_store::WritePriority urgency) {
    job.layout.touchHead();
    effects_.dirtyRecords.emplace_back(job.layout.headName(job.spec.id).key(), urgency);
}

std::string Cluster::encodeRecord(const Job& job, const RecordName& name) const {
    const auto machine = [&](MachineIndex i) -> const std::string& { return machines_[i].name; };
    switch (name.kind) {
        case Kind::block:
            return jobs::encodeBlock(job, name.from, machine);
        case Kind::page:
            return jobs::encodePage(job, *job.layout.find(name), machine);
        case Kind::head:
            return jobs::encodeHead(job);
        case Kind::text:
            break;
    }
    const auto texts = jobs::encodeTexts(job, job.layout.textBytes);
    return name.from < texts.size() ? texts[name.from] : "{}";
}

std::optional<EncodedRecord> Cluster::encode(const std::string& key) {
    const auto name = RecordName::of(key);
    if (!name) return std::nullopt;
    Job& job = *jobs_.at(name->job);
    const jobs::RecordLayout& l = job.layout;
    if (name->kind == Kind::text) {
        if (job.accepted() || name->from >= l.texts) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), 1};
    }
    const bool head = *name == l.headName(job.spec.id);
    if (name->kind == Kind::head || (head && l.bare())) {
        if (!head || l.textsDurable < l.texts) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), l.head().version};
    }
    return encodeTasks(job, *name);
}

std::optional<EncodedRecord> Cluster::encodeTasks(Job& job, const RecordName& name) {
    jobs::RecordLayout& l = job.layout;
    const TaskRange* s = l.find(name);
    if (s == nullptr) return std::nullopt;  // in parts by now
    std::string data = encodeRecord(job, name);
    const std::string key = name.key();
    if (data.size() <= valueBytes_) return EncodedRecord{std::move(data), s->version};
    if (!supportsPages_) {
        // What everyone reads goes on, as long as the service takes it.
        oversizedKeys_.insert(key);
        if (data.size() > settings_.valueBytesNow) return std::nullopt;
        return EncodedRecord{std::move(data), s->version};
    }
    const bool first = name.kind == Kind::block && name.from == 0;
    if (first && !job.accepted()) {
        l.setBare();
        data = encodeRecord(job, name);
        if (data.size() <= valueBytes_) return EncodedRecord{std::move(data), l.head().version};
        splitHead(job);
        return std::nullopt;
    }
    const TaskRange whole = *s;
    if (!l.split(whole)) {
        spdlog::error("{} does not fit into a value of {} bytes", key, valueBytes_);
        return std::nullopt;
    }
    for (const std::uint32_t task : {whole.from, whole.from + whole.count / 2})
        effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, l.of(task)).key(),
                                           WritePriority::bindings);
    if (first) {
        const bool told = !job.cancelled || job.cancelDurable();
        if (told)
            l.settleHead();
        else
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(), WritePriority::users);
    }
    return std::nullopt;
}

void Cluster::splitHead(Job& job) {
    jobs::RecordLayout& l = job.layout;
    l.textBytes = valueBytes_;
    l.texts = static_cast<std::uint32_t>(jobs::encodeTexts(job, valueBytes_).size());
    l.textsDurable = 0;
    for (std::uint32_t i = 0; i < l.texts; ++i)
        effects_.dirtyRecords.emplace_back(RecordName{job.spec.id, Kind::text, i, 0}.key(),
                                           WritePriority::users);
}

void Cluster::tooLarge(const std::string& key, std::size_t bytes) {
    // The limit has fallen below what was known: by half, and again if that is too much still.
    valueBytes_ = std::max<std::size_t>(std::min(valueBytes_, bytes / 2), leastValue);
    const auto name = RecordName::of(key);
    if (!name) return;
    Job& job = *jobs_.at(name->job);
    if (!job.accepted() && job.layout.texts > 0) return splitHead(job);
    if (supportsPages_)
        effects_.dirtyRecords.emplace_back(key, WritePriority::bindings);
    else
        oversizedKeys_.insert(key);
}

void Cluster::enablePages() {
    if (std::exchange(supportsPages_, true)) return;
    for (const auto& key : std::exchange(oversizedKeys_, {}))
        effects_.dirtyRecords.emplace_back(key, WritePriority::bindings);
}

void Cluster::committed(const std::string& key, std::uint64_t version) {
    const auto name = RecordName::of(key);
    if (!name) return;
    Job& job = *jobs_.at(name->job);
    jobs::RecordLayout& l = job.layout;
    const bool before = job.accepted();
    auto [from, to] = l.committed(*name, version);
    if (name->kind == Kind::text) {
        if (!before && l.textsDurable == l.texts)
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(), WritePriority::users);
        return;
    }
    const bool justAccepted = !before && job.accepted();
    if (justAccepted && l.bare())
        for (const TaskRange& s : l.ranges())
            if (s.page && s.durable < s.version)
                effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, s).key(),
                                                   WritePriority::bindings);
    if (dependencies_.contains(job.spec.id)) {
        if (job.cancelDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::cancelled);
        else if (!job.cancelled && job.doneDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::done);
        // At once: whoever asks next is told what follows from it.
        applyDependencyChanges(now_);
    }
    if (!job.open() && !job.cancelled) return;
    // Nothing is launched before its job stands, whichever record came first.
    if (justAccepted) std::tie(from, to) = std::pair(0U, job.spec.tasks);
    for (std::uint32_t t = from; t < to; ++t)
        if (job.tasks[t].state == TaskState::bound &&
            (job.cancelled || job.tasks[t].phase == Phase::pendingBind))
            effects_.sendCommands.insert(job.tasks[t].machine);
}

}  // namespace basaltchute::scheduler
