#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/codec.h"
#include "scheduler/cluster.h"

// The records of jobs in the key-value store: restoring the state from them, and encoding them.

namespace basaltchute::scheduler {

using jobs::RecordName;
using jobs::TaskRange;
using kv_store::EncodedRecord;
using kv_store::WritePriority;
using worker_api::Allocation;
using Kind = jobs::RecordName::Kind;

// ---------------------------------------------------------------- reading

Job& Cluster::addJob(std::unique_ptr<Job> job) {
    job->submittedAt = now_ - std::max(WallMillis(0), loadWallTime_ - job->submittedWallTime);
    job->releasedAt = job->submittedAt;
    Job& ref = *job;
    jobs_[ref.spec.id] = std::move(job);
    return ref;
}

bool Cluster::loadRecord(const std::string& key, const std::string& data, TimePoint now,
                         WallMillis wall) {
    now_ = now;
    loadWallTime_ = wall;
    const auto name = RecordName::parse(key);
    if (!name) return false;
    const auto doc = json::parse(data);
    const auto reject = [&] {
        unreadableJobs_.insert(name->job);
        return false;
    };
    if (!doc || !doc->IsObject()) return reject();
    const bool isFirstBlock = name->kind == Kind::block && name->from == 0;
    Job* job = isFirstBlock ? nullptr : find(name->job);
    if (isFirstBlock && !jobs::specSectionCount(*doc)) {
        auto decoded = jobs::decodeJob(*doc, "", maxValueBytes_);
        if (decoded == nullptr || decoded->spec.id != name->job) return reject();
        job = &addJob(std::move(decoded));
    }
    // Pages must be applied after the blocks that they were split from, and all other records of a
    // job after its first block.
    if (job == nullptr || name->kind != Kind::block) {
        deferredRecords_[key] = data;
        return true;
    }
    const bool valid = jobs::decodeTasks(
        *doc, *name, *job, [&](const std::string& n) { return machines_.indexOf(n); });
    return valid || reject();
}

void Cluster::markUnreadable(const RecordName& name) {
    spdlog::error("record is malformed: key={}", name.key());
    unreadableJobs_.insert(name.job);
}

bool Cluster::addJobFromTextRecords(const RecordName& name, const json::Document& doc,
                                    const std::map<std::string, std::string>& records) {
    std::string description;
    for (std::uint32_t i = 0; i < *jobs::specSectionCount(doc); ++i) {
        const auto text = records.find(RecordName{name.job, Kind::specSection, i, 0}.key());
        if (text != records.end())
            description += jobs::decodeSpecSection(*json::parse(text->second)).value_or("");
    }
    auto decoded = jobs::decodeJob(doc, description, maxValueBytes_);
    if (decoded == nullptr || decoded->spec.id != name.job) {
        markUnreadable(name);
        return false;
    }
    addJob(std::move(decoded));
    return true;
}

void Cluster::applyRecord(const RecordName& name, const json::Document& doc) {
    // A job without a first block was never accepted, so its other records are ignored.
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
    std::vector<Deferred> blocks, pages;
    const auto records = std::exchange(deferredRecords_, {});
    for (const auto& [key, data] : records) {
        const auto name = *RecordName::parse(key);
        if (name.kind == Kind::specSection) continue;
        auto doc = *json::parse(data);
        const bool isFirstBlock = name.kind == Kind::block && name.from == 0;
        if (isFirstBlock && !addJobFromTextRecords(name, doc, records)) continue;
        (name.kind == Kind::block ? blocks : pages).push_back({name, std::move(doc)});
    }
    // A page is newer than any larger page that contains its tasks.
    std::stable_sort(pages.begin(), pages.end(), [](const Deferred& a, const Deferred& b) {
        return a.name.count > b.name.count;
    });
    for (const auto& [name, doc] : blocks) applyRecord(name, doc);
    for (const auto& [name, doc] : pages) applyRecord(name, doc);
    // A job whose records are incomplete is not restored: its tasks could start a second time.
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
        addAllocation(task.machine, std::move(allocation));
    }
}

void Cluster::finishLoading(TimePoint now) {
    restoreDeferredRecords();
    restoreCounts();
    restoreDependencies();
    for (auto& [id, job] : jobs_) {
        if (job->open() && !job->blocked) onJobOpened(*job);
        if (job->cancelled) pendingCancellations_.insert(job.get());
        restoreAllocations(*job);
    }
    // The former leader's lease ended before this leader's began, so it has renewed no machine's
    // lease since.
    for (MachineIndex i = 0; i < machines_.size(); ++i) {
        machines_[i].leaseEnd = leaseEnd(now);
        // The machine existed before, so its heartbeats are due from now on.
        machines_[i].lastHeartbeatAt = now;
        scheduleTimer(i, machines_[i].leaseEnd);
    }
}

// ---------------------------------------------------------------- writing

void Cluster::markTaskDirty(Job& job, std::uint32_t task, WritePriority priority) {
    const TaskRange& range = job.layout.markTaskChanged(task);
    // Pages are not written before the job is accepted: without its first block they are ignored.
    if (range.page && !job.accepted()) return;
    effects_.dirtyRecords.emplace_back(job.layout.nameOf(job.spec.id, range).key(), priority);
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
    Job* const found = name ? find(name->job) : nullptr;
    if (found == nullptr) return std::nullopt;  // its submission was dropped
    Job& job = *found;
    const jobs::RecordLayout& l = job.layout;
    if (name->kind == Kind::specSection) {
        if (job.accepted() || name->from >= l.specSections) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), l.sectionVersion()};
    }
    const bool head = *name == l.headName(job.spec.id);
    if (name->kind == Kind::head || (head && l.firstBlockHasNoTasks())) {
        if (!head || !l.descriptionDurable()) return std::nullopt;
        return EncodedRecord{encodeRecord(job, *name), l.head().version};
    }
    return encodeTasks(job, *name);
}

std::optional<EncodedRecord> Cluster::encodeTasks(Job& job, const RecordName& name) {
    jobs::RecordLayout& l = job.layout;
    const TaskRange* range = l.find(name);
    if (range == nullptr) return std::nullopt;  // split into pages by now
    std::string data = encodeRecord(job, name);
    const std::string key = name.key();
    const std::size_t maxBytes = maxValueBytesOf(job);
    if (data.size() <= maxBytes) return EncodedRecord{std::move(data), range->version};
    if (!recordPagesEnabled_) {
        // Keeps the format that every version reads for as long as the state service accepts the
        // value.
        oversizedKeys_.insert(key);
        if (data.size() > settings_.valueBytesNow) return std::nullopt;
        return EncodedRecord{std::move(data), range->version};
    }
    const bool isFirstBlock = name.kind == Kind::block && name.from == 0;
    if (isFirstBlock && !job.accepted()) {
        l.moveTasksOutOfFirstBlock();
        data = encodeRecord(job, name);
        if (data.size() <= maxBytes) return EncodedRecord{std::move(data), l.head().version};
        splitDescription(job, WritePriority::userRequest);
        return std::nullopt;
    }
    const TaskRange whole = *range;
    // A record of one task cannot be divided. The service decides whether it takes it.
    if (!l.split(whole)) return EncodedRecord{std::move(data), whole.version};
    for (const std::uint32_t task : {whole.from, whole.from + whole.count / 2})
        effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, l.rangeOf(task)).key(),
                                           WritePriority::immediate);
    if (isFirstBlock) {
        const bool headDurable = !job.cancelled || job.cancelDurable();
        if (headDurable)
            l.discardHeadChange();
        else
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(),
                                               WritePriority::userRequest);
    }
    return std::nullopt;
}

void Cluster::splitDescription(Job& job, WritePriority priority) {
    jobs::RecordLayout& l = job.layout;
    const std::size_t maxBytes = maxValueBytesOf(job);
    const std::size_t sections = jobs::encodeSpecSections(job, maxBytes).size();
    l.divideDescription(static_cast<std::uint32_t>(sections), maxBytes, ++lastDivision_);
    for (std::uint32_t i = 0; i < l.specSections; ++i)
        effects_.dirtyRecords.emplace_back(RecordName{job.spec.id, Kind::specSection, i, 0}.key(),
                                           priority);
}

void Cluster::enableRecordPages() {
    if (std::exchange(recordPagesEnabled_, true)) return;
    for (const auto& key : std::exchange(oversizedKeys_, {}))
        effects_.dirtyRecords.emplace_back(key, WritePriority::immediate);
}

void Cluster::onRecordCommitted(const std::string& key, std::uint64_t version) {
    const auto name = RecordName::parse(key);
    Job* const found = name ? find(name->job) : nullptr;
    if (found == nullptr) return;  // its submission was dropped
    Job& job = *found;
    jobs::RecordLayout& l = job.layout;
    const bool wasAccepted = job.accepted();
    auto [from, to] = l.markDurable(*name, version);
    if (name->kind == Kind::specSection) {
        if (!wasAccepted && l.descriptionDurable())
            effects_.dirtyRecords.emplace_back(l.headName(job.spec.id).key(),
                                               WritePriority::userRequest);
        return;
    }
    const bool justAccepted = !wasAccepted && job.accepted();
    if (justAccepted && l.firstBlockHasNoTasks())
        for (const TaskRange& range : l.ranges())
            if (range.page && range.durableVersion < range.version)
                effects_.dirtyRecords.emplace_back(l.nameOf(job.spec.id, range).key(),
                                                   WritePriority::immediate);
    if (dependencies_.contains(job.spec.id)) {
        if (job.cancelDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::cancelled);
        else if (!job.cancelled && job.doneDurable())
            dependencies_.setOutcome(job.spec.id, dependencies::JobOutcome::done);
        // Applied at once, so that the next request sees the consequences.
        applyDependencyChanges(now_);
    }
    if (!job.open() && !job.cancelled) return;
    // No task is launched before its job is accepted, even if its own record was durable earlier.
    // So the acceptance makes all tasks launchable.
    if (justAccepted) std::tie(from, to) = std::pair(0U, job.spec.tasks);
    for (std::uint32_t t = from; t < to; ++t)
        if (job.tasks[t].state == TaskState::bound &&
            (job.cancelled || job.tasks[t].phase == TaskPhase::pendingBind))
            effects_.machinesToCommand.insert(job.tasks[t].machine);
}

}  // namespace basaltchute::scheduler
