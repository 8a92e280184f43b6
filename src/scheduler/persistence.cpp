#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"
#include "scheduler/cluster.h"

// The records of jobs in the key-value store: how they are read back, and what is written when.

namespace basaltchute::scheduler {

using jobs::RecordName;
using jobs::TaskRange;
using kv_store::EncodedRecord;
using kv_store::WritePriority;
using worker_api::Allocation;
using Kind = jobs::RecordName::Kind;

namespace {
constexpr std::size_t minValueBytes = 256;  // no key-value store takes less
}  // namespace

// ---------------------------------------------------------------- reading

Job& Cluster::add(std::unique_ptr<Job> job) {
    job->submittedAt = now_ - std::max(WallMillis(0), wall_ - job->submittedWallTime);
    job->releasedAt = job->submittedAt;
    Job& ref = *job;
    jobs_[ref.spec.id] = std::move(job);
    return ref;
}

bool Cluster::loadRecord(const std::string& key, const std::string& data, TimePoint now,
                         WallMillis wall) {
    now_ = now;
    wall_ = wall;
    const auto name = RecordName::parse(key);
    if (!name) return false;
    const auto doc = json::parse(data);
    const auto unreadable = [&] {
        unreadableJobs_.insert(name->job);
        return false;
    };
    if (!doc || !doc->IsObject()) return unreadable();
    const bool first = name->kind == Kind::block && name->from == 0;
    Job* job = first ? nullptr : find(name->job);
    if (first && !jobs::specSectionCount(*doc)) {
        auto decoded = jobs::decodeJob(*doc, "", valueBytes_);
        if (decoded == nullptr || decoded->spec.id != name->job) return unreadable();
        job = &add(std::move(decoded));
    }
    // Pages are applied after the records that they split; other records of a job after the first.
    if (job == nullptr || name->kind != Kind::block) {
        deferredRecords_[key] = data;
        return true;
    }
    const bool valid = jobs::decodeTasks(
        *doc, *name, *job, [&](const std::string& n) { return machines_.indexOf(n); });
    return valid || unreadable();
}

void Cluster::markUnreadable(const RecordName& name) {
    spdlog::error("record is malformed: key={}", name.key());
    unreadableJobs_.insert(name.job);
}

bool Cluster::addFromTexts(const RecordName& name, const json::Document& doc,
                           const std::map<std::string, std::string>& records) {
    std::string description;
    for (std::uint32_t i = 0; i < *jobs::specSectionCount(doc); ++i) {
        const auto text = records.find(RecordName{name.job, Kind::specSection, i, 0}.key());
        if (text != records.end())
            description += jobs::decodeSpecSection(*json::parse(text->second)).value_or("");
    }
    auto decoded = jobs::decodeJob(doc, description, valueBytes_);
    if (decoded == nullptr || decoded->spec.id != name.job) {
        markUnreadable(name);
        return false;
    }
    add(std::move(decoded));
    return true;
}

void Cluster::applyRecord(const RecordName& name, const json::Document& doc) {
    // A job that was never accepted has no first record: nothing else of it counts.
    Job* job = find(name.job);
    if (job == nullptr) return;
    if (name.kind == Kind::head) {
        jobs::decodeHead(doc, *job);
        job->layout.markRestored(name);
        return;
    }
    const auto indexOf = [&](const std::string& machine) { return machines_.indexOf(machine); };
    if (!jobs::decodeTasks(doc, name, *job, indexOf)) markUnreadable(name);
}

void Cluster::restoreDeferredRecords() {
    struct Deferred {
        RecordName name;
        json::Document doc;
    };
    std::vector<Deferred> whole, pages;
    const auto records = std::exchange(deferredRecords_, {});
    for (const auto& [key, data] : records) {
        const auto name = *RecordName::parse(key);
        if (name.kind == Kind::specSection) continue;
        auto doc = *json::parse(data);
        const bool first = name.kind == Kind::block && name.from == 0;
        if (first && !addFromTexts(name, doc, records)) continue;
        (name.kind == Kind::block ? whole : pages).push_back({name, std::move(doc)});
    }
    // Smaller ones are newer.
    std::stable_sort(pages.begin(), pages.end(), [](const Deferred& a, const Deferred& b) {
        return a.name.count > b.name.count;
    });
    for (const auto& [name, doc] : whole) applyRecord(name, doc);
    for (const auto& [name, doc] : pages) applyRecord(name, doc);
    // Half of a job's records could start its tasks a second time.
    for (const auto& id : unreadableJobs_) jobs_.erase(id);
}

void Cluster::restoreCounts() {
    for (auto& [id, job] : jobs_)
        for (const JobTask& t : job->tasks) {
            job->doneCount += t.state == TaskState::done ? 1 : 0;
            job->boundCount += t.state == TaskState::bound ? 1 : 0;
        }
}

void Cluster::restoreAllocations(Job& job) {
    for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
        const JobTask& task = job.tasks[t];
        if (task.state != TaskState::bound) continue;
        Allocation allocation;
        allocation.job = &job;
        allocation.task = t;
        allocation.attempt = task.attempt;
        allocation.state = worker_api::AllocationState::adoptedFromRecord();
        allocate(task.machine, std::move(allocation));
    }
}

void Cluster::finishLoading(TimePoint now) {
    restoreDeferredRecords();
    restoreCounts();
    restoreDependencies();
    for (auto& [id, job] : jobs_) {
        if (job->open() && !job->blocked) onJobOpened(*job);
        if (job->cancelled) cancellations_.insert(job.get());
        restoreAllocations(*job);
    }
    // The former leader's lease had ended before this one's began.
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        machines_[i].leaseEnd = leaseEnd(now);
        machines_[i].lastHeartbeatAt =
            now;  // it has been there: its heartbeats are due from now on
        scheduleTimer(i, machines_[i].leaseEnd);
    }
}

// ---------------------------------------------------------------- writing

void Cluster::markTaskDirty(Job& job, std::uint32_t task, WritePriority priority) {
    const TaskRange& s = job.layout.markTaskChanged(task);
    // No page is written before the job is accepted: nobody would find it.
    if (s.page && !job.accepted()) return;
    effects_.dirtyRecords.emplace_back(job.layout.nameOf(job.spec.id, s).key(), priority);
}

void Cluster::markHeadDirty(Job& job, WritePriority priority) {
    job.layout.markHeadChanged();
    effects_.dirtyRecords.emplace_back(job.layout.headName(job.spec.id).key(), priority);
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
        case Kind::specSection:
            break;
    }
    const auto texts = jobs::encodeSpecSections(job, job.layout.sectionValueBytes);
    return name.from < texts.size() ? texts[name.from] : "{}";
}

std::optional<EncodedRecord> Cluster::encode(const std::string& key) {
    const auto name = RecordName::parse(key);
    if (!name) return std::nullopt;
    Job& job = *jobs_.at(name->job);
    const jobs::RecordLayout& l = job.layout;
    if (name->kind == Kind::specSection) {
        if (job.accepted() || name->from >= l.specSections) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), 1};
    }
    const bool head = *name == l.headName(job.spec.id);
    if (name->kind == Kind::head || (head && l.firstBlockHasNoTasks())) {
        if (!head || l.durableSpecSections < l.specSections) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), l.head().version};
    }
    return encodeTasks(job, *name);
}

std::optional<EncodedRecord> Cluster::encodeTasks(Job& job, const RecordName& name) {
    jobs::RecordLayout& l = job.layout;
    const TaskRange* s = l.find(name);
    if (s == nullptr) return std::nullopt;  // split into pages by now
    std::string data = encodeRecord(job, name);
    const std::string key = name.key();
    if (data.size() <= valueBytes_) return EncodedRecord{std::move(data), s->version};
    if (!supportsPages_) {
        // The form that every version reads is kept, as long as the service takes the value.
        oversizedKeys_.insert(key);
        if (data.size() > settings_.valueBytesNow) return std::nullopt;
        return EncodedRecord{std::move(data), s->version};
    }
    const bool first = name.kind == Kind::block && name.from == 0;
    if (first && !job.accepted()) {
        l.moveTasksOutOfFirstBlock();
        data = encodeRecord(job, name);
        if (data.size() <= valueBytes_) return EncodedRecord{std::move(data), l.head().version};
        splitHead(job);
        return std::nullopt;
    }
    const TaskRange whole = *s;
    if (!l.split(whole)) {
        spdlog::error("record is too large: key={} limit_bytes={}", key, valueBytes_);
        return std::nullopt;
    }
    for (const std::uint32_t task : {whole.from, whole.from + whole.count / 2})
        effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, l.rangeOf(task)).key(),
                                           WritePriority::immediate);
    if (first) {
        const bool headDurable = !job.cancelled || job.cancelDurable();
        if (headDurable)
            l.discardHeadChange();
        else
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(),
                                               WritePriority::userRequest);
    }
    return std::nullopt;
}

void Cluster::splitHead(Job& job) {
    jobs::RecordLayout& l = job.layout;
    l.sectionValueBytes = valueBytes_;
    l.specSections = static_cast<std::uint32_t>(jobs::encodeSpecSections(job, valueBytes_).size());
    l.durableSpecSections = 0;
    for (std::uint32_t i = 0; i < l.specSections; ++i)
        effects_.dirtyRecords.emplace_back(RecordName{job.spec.id, Kind::specSection, i, 0}.key(),
                                           WritePriority::userRequest);
}

void Cluster::onRecordTooLarge(const std::string& key, std::size_t bytes) {
    // The limit has fallen below the known one: try half, and half again if that is still too
    // large.
    valueBytes_ = std::max<std::size_t>(std::min(valueBytes_, bytes / 2), minValueBytes);
    const auto name = RecordName::parse(key);
    if (!name) return;
    Job& job = *jobs_.at(name->job);
    if (!job.accepted() && job.layout.specSections > 0) return splitHead(job);
    if (supportsPages_)
        effects_.dirtyRecords.emplace_back(key, WritePriority::immediate);
    else
        oversizedKeys_.insert(key);
}

void Cluster::enableRecordPages() {
    if (std::exchange(supportsPages_, true)) return;
    for (const auto& key : std::exchange(oversizedKeys_, {}))
        effects_.dirtyRecords.emplace_back(key, WritePriority::immediate);
}

void Cluster::onRecordCommitted(const std::string& key, std::uint64_t version) {
    const auto name = RecordName::parse(key);
    if (!name) return;
    Job& job = *jobs_.at(name->job);
    jobs::RecordLayout& l = job.layout;
    const bool before = job.accepted();
    auto [from, to] = l.markDurable(*name, version);
    if (name->kind == Kind::specSection) {
        if (!before && l.durableSpecSections == l.specSections)
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(),
                                               WritePriority::userRequest);
        return;
    }
    const bool justAccepted = !before && job.accepted();
    if (justAccepted && l.firstBlockHasNoTasks())
        for (const TaskRange& s : l.ranges())
            if (s.page && s.durableVersion < s.version)
                effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, s).key(),
                                                   WritePriority::immediate);
    if (dependencies_.contains(job.spec.id)) {
        if (job.cancelDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::cancelled);
        else if (!job.cancelled && job.doneDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::done);
        // At once: the next request has to see what follows from it.
        applyDependencyChanges(now_);
    }
    if (!job.open() && !job.cancelled) return;
    // Nothing is launched before its job is accepted, whichever record came first.
    if (justAccepted) std::tie(from, to) = std::pair(0U, job.spec.tasks);
    for (std::uint32_t t = from; t < to; ++t)
        if (job.tasks[t].state == TaskState::bound &&
            (job.cancelled || job.tasks[t].phase == TaskPhase::pendingBind))
            effects_.machinesToCommand.insert(job.tasks[t].machine);
}

}  // namespace basaltchute::scheduler
