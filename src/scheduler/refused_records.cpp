#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduler/cluster.h"

// Records that the state service refuses. It does not tell why: a value may be too large, or may
// hold something that the service does not take. A record that may be too large is divided; a
// record that cannot be the cause by its size must neither be divided further nor delay others.

namespace basaltchute::scheduler {

using jobs::RecordName;
using kv_store::RefusedRecord;
using kv_store::RefusedRecordAction;
using kv_store::WritePriority;

namespace {
constexpr std::size_t minValueBytes = 256;  // every key-value store accepts at least this
}  // namespace

std::size_t Cluster::maxValueBytesOf(const Job& job) const {
    return std::min(maxValueBytes_, job.layout.reducedValueBytes);
}

RefusedRecordAction Cluster::onRecordRefused(const RefusedRecord& record) {
    const auto name = RecordName::parse(record.key);
    Job* const job = name ? find(name->job) : nullptr;
    if (job == nullptr) return RefusedRecordAction::drop;
    const bool maybeTooLarge = record.bytes > minValueBytes && !record.sizeWasAccepted;
    if (maybeTooLarge && isDivisible(*job, *name)) {
        if (recordPagesEnabled_) {
            divideRecord(*job, *name, record);
            return RefusedRecordAction::drop;
        }
        const bool firstRefusal = oversizedKeys_.insert(record.key).second;
        if (firstRefusal) return RefusedRecordAction::retry;
    }
    if (job->accepted() || isPossiblyLaunched(*job)) return RefusedRecordAction::retry;
    dropSubmission(*job);
    return RefusedRecordAction::drop;
}

bool Cluster::isDivisible(const Job& job, const RecordName& name) const {
    switch (name.kind) {
        case RecordName::Kind::head:
            return false;
        case RecordName::Kind::specSection:
            return !job.accepted();
        case RecordName::Kind::block:
            // Until the job is accepted, its first block can do without tasks and description.
            if (name.from == 0 && !job.accepted()) return true;
            break;
        case RecordName::Kind::page:
            break;
    }
    const jobs::TaskRange* range = job.layout.find(name);
    return range != nullptr && range->count > 1;
}

void Cluster::divideRecord(Job& job, const RecordName& name, const RefusedRecord& record) {
    spdlog::warn("record is too large for the state service: key={} bytes={}", record.key,
                 record.bytes);
    std::size_t& limit = job.layout.reducedValueBytes;
    limit = std::max(std::min(limit, record.bytes / 2), minValueBytes);
    const bool firstBlock = name.kind == RecordName::Kind::block && name.from == 0;
    if (name.kind == RecordName::Kind::specSection ||
        (firstBlock && job.layout.firstBlockHasNoTasks()))
        // Less urgent than at first, as it may be in vain: the sections must not delay bindings.
        return splitDescription(job, WritePriority::background);
    effects_.dirtyRecords.emplace_back(record.key, WritePriority::immediate);
}

bool Cluster::isPossiblyLaunched(const Job& job) {
    std::uint32_t allocations = 0, notLaunched = 0;
    for (const auto& [zone, tasks] : job.tasksPerZone) allocations += tasks;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
        const JobTask& task = job.tasks[i];
        if (task.state != TaskState::bound) continue;
        const auto* allocation = machines_[task.machine].findAllocation(job, i, task.attempt);
        if (allocation != nullptr && !allocation->state.launchSent()) ++notLaunched;
    }
    return job.doneCount > 0 || allocations != notLaunched;
}

void Cluster::dropSubmission(Job& job) {
    const JobId id = job.spec.id;
    spdlog::error("submission is dropped: job={} reason=record_refused_by_the_state_service", id);
    cancel(job, now_);  // releases its machines and closes it
    pendingCancellations_.erase(&job);
    std::erase_if(reclaimedFor_, [&](const auto& entry) { return entry.second == &job; });
    std::erase_if(oversizedKeys_, [&](const std::string& key) {
        const auto name = RecordName::parse(key);
        return name && name->job == id;
    });
    dependencies_.removeJob(id);
    jobs_.erase(id);
    applyDependencyChanges(now_);
}

}  // namespace basaltchute::scheduler
