#pragma once
// How the state of a job is divided into records of the key-value store (format version 2).
//
// - A block holds a fixed number of consecutive tasks. The first block also holds the job itself:
//   its description and its head, which is the state of the job that is not a task's (acceptance,
//   cancellation, release).
// - A page holds some of a block's tasks. A block that has grown too large for one value is split
//   into two pages, and a page that has grown too large into two smaller ones. What was split is
//   never written again, so a page is newer than every record that holds more of its tasks. Whoever
//   applies records of more tasks first ends up with the latest state of each task.
// - The head record holds the head once the first block is split.
// - Section records hold a description that is too large for one value.
//
// RecordLayout tracks which records a job has, the version of each, and which version is durable.
// It holds no tasks and does no I/O. Called by the scheduler's persistence.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basaltchute::jobs {

/// Consecutive tasks that share one record, a block or a page, and the versions of that record.
struct TaskRange {
    std::uint32_t from = 0, count = 0;
    std::uint64_t version = 0;         // rises with each change
    std::uint64_t durableVersion = 0;  // the latest version that is stored
    bool page = false;                 // the record is a page, not a block
    [[nodiscard]] std::uint32_t end() const { return from + count; }
};

/// Identifies a record of a job. key() and parse() map it to its stored key and back.
struct RecordName {
    enum class Kind {
        block,  // `from`: number of the block, from 0
        page,   // `from` and `count`: its tasks
        head,
        specSection,  // `from`: number of the section of the description, from 0
    };
    std::string job;
    Kind kind = Kind::block;
    std::uint32_t from = 0, count = 0;

    [[nodiscard]] std::string key() const;
    /// Returns nothing if no record can have the key.
    static std::optional<RecordName> parse(const std::string& key);
    bool operator==(const RecordName&) const = default;
};

/// Prefixes of stored keys: of blocks, and of all other records of jobs.
inline const std::string jobKeyPrefix = "jobs/", partKeyPrefix = "parts/";

/// The records of one job and their versions, as described at the top of this file.
class RecordLayout {
  public:
    RecordLayout() : RecordLayout(1, 1) {}
    /// The layout of a job that is not stored yet.
    RecordLayout(std::uint32_t tasks, std::uint32_t tasksPerBlock);

    [[nodiscard]] std::uint32_t tasksPerBlock() const { return tasksPerBlock_; }
    /// The block or page that holds the task.
    [[nodiscard]] const TaskRange& rangeOf(std::uint32_t task) const;
    /// Raises the version of the record that holds the task, and returns its range.
    const TaskRange& markTaskChanged(std::uint32_t task);
    /// Raises the version of the record that holds the head.
    void markHeadChanged() { ++mutableHead().version; }
    /// The versions of the head: those of the first block, or of a record of its own once the first
    /// block is split.
    [[nodiscard]] const TaskRange& head() const { return split_ ? head_ : ranges_.front(); }
    /// Drops a pending change of the head: nothing of it needs to be written.
    void discardHeadChange() { mutableHead().version = mutableHead().durableVersion; }
    /// The record that holds the head.
    [[nodiscard]] RecordName headName(const std::string& job) const;
    /// The record that holds a range of this layout.
    [[nodiscard]] RecordName nameOf(const std::string& job, const TaskRange& range) const;

    /// Whether the job itself is durable, so that its user may be told that it is accepted.
    [[nodiscard]] bool accepted() const { return head().durableVersion > 0; }
    /// Whether every change is durable.
    [[nodiscard]] bool durable() const;

    /// The range that the record holds; nullptr if the record was split in the meantime or holds no
    /// tasks.
    [[nodiscard]] const TaskRange* find(const RecordName& name) const;
    /// Notes that the version of the record is stored. Returns the tasks that the record holds: the
    /// first, and the one after the last.
    std::pair<std::uint32_t, std::uint32_t> markDurable(const RecordName& name,
                                                        std::uint64_t version);
    /// Notes that the record was read from the store, so that it is durable. For a page, splits the
    /// block as the former leader must have split it.
    void markRestored(const RecordName& name);
    /// Replaces a range of this layout by two pages with half of its tasks each. Both must be
    /// written if the range holds anything. Returns false for a range of a single task.
    bool split(const TaskRange& range);

    /// Whether the first block holds no tasks, because the description leaves no space for them.
    /// Its tasks are in pages from the start, and the block can be written again.
    [[nodiscard]] bool firstBlockHasNoTasks() const { return firstBlockHasNoTasks_; }
    void moveTasksOutOfFirstBlock();
    /// Divides the description anew into `sections` records, none of which is stored. `division`
    /// tells their versions from those of all former divisions.
    void divideDescription(std::uint32_t sections, std::size_t valueBytes, std::uint64_t division);
    /// Whether all sections of the present division are stored. True if there are none.
    [[nodiscard]] bool descriptionDurable() const {
        return accepted() || durableSections_.size() == specSections;
    }
    /// The version of every section record.
    [[nodiscard]] std::uint64_t sectionVersion() const { return division_; }
    /// The number of section records that hold the description. 0: the first block holds it.
    std::uint32_t specSections = 0;
    /// The size limit of a value for the records of this job, where the service refused larger
    /// ones.
    std::size_t reducedValueBytes = SIZE_MAX;
    /// The size limit of a value for which the description was divided into sections.
    std::size_t sectionValueBytes = 0;

    /// All ranges in the order of their tasks, without gaps.
    [[nodiscard]] const std::vector<TaskRange>& ranges() const { return ranges_; }

  private:
    [[nodiscard]] std::size_t indexOf(std::uint32_t task) const;
    [[nodiscard]] TaskRange& mutableHead() { return split_ ? head_ : ranges_.front(); }
    /// Whether the record holds the head but no tasks.
    [[nodiscard]] bool holdsHeadOnly(const RecordName& name) const;
    /// The first task of a block or page. Beyond the last task if the job has no such record.
    [[nodiscard]] std::uint64_t firstTask(const RecordName& name) const;
    void splitAt(std::size_t index);
    /// Splits ranges until the page exists. Returns false if halving never yields it, so that no
    /// leader can have written it.
    bool splitDownTo(const RecordName& page);

    std::set<std::uint32_t> durableSections_;  // of the present division
    std::uint64_t division_ = 0;
    std::uint32_t tasksPerBlock_ = 1;
    bool paged_ = false;  // some block is split
    bool split_ = false;  // the first block is split
    bool firstBlockHasNoTasks_ = false;
    TaskRange head_;
    std::vector<TaskRange> ranges_;
};

}  // namespace basaltchute::jobs
