#pragma once
// How the state of a job is laid out in records of the key-value store (format version 2).
//
// A job has blocks of a fixed number of tasks each; the first block also holds the job itself. A
// block that does not fit into a value any more is split into pages, by halves, and is not written
// again from then on: a page is newer than every record that holds more of its tasks. Whoever reads
// larger records first and smaller ones after them has what was written last. A description that is
// too large for one value is in text records of its own.
//
// State of RecordLayout: which records a job has, the version of each, and which version is
// durable. It holds no task and does no I/O. Called by the scheduler's persistence.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basaltchute::jobs {

/// Consecutive tasks that share one record, a block or a page, and the versions of that record.
struct TaskRange {
    std::uint32_t from = 0, count = 0;
    std::uint64_t version = 0,
                  durableVersion = 0;  // rises with each change; the one that is stored
    bool page = false;                 // of a block that grew too large to be written whole
    [[nodiscard]] std::uint32_t end() const { return from + count; }
};

/// Identifies a record; key() and of() map it to its stored key and back.
struct RecordName {
    enum class Kind {  // of a record
        block,  // the job itself with its first tasks, or further ones: `from`, counted in blocks
        page,   // some tasks of a block: `from` and `count`; newer than what holds more of them
        head,   // the changing state of a job whose first block is split
        specSection,  // a section of a description that is too large for one value: `from`, from 0
    };
    std::string job;
    Kind kind = Kind::block;
    std::uint32_t from = 0, count = 0;

    [[nodiscard]] std::string key() const;
    /// Nothing if no record has such a key.
    static std::optional<RecordName> parse(const std::string& key);
    bool operator==(const RecordName&) const = default;
};

/// Stored keys of blocks, and of all other records, begin with these.
inline const std::string jobKeyPrefix = "jobs/", partKeyPrefix = "parts/";

/// See the top of this file.
class RecordLayout {
  public:
    RecordLayout() : RecordLayout(1, 1) {}
    /// A job that is not stored yet; `tasksPerBlock` tasks in each block.
    RecordLayout(std::uint32_t tasks, std::uint32_t tasksPerBlock);

    [[nodiscard]] std::uint32_t tasksPerBlock() const { return tasksPerBlock_; }
    /// The record that holds the task.
    [[nodiscard]] const TaskRange& rangeOf(std::uint32_t task) const;
    /// The task has changed: raises the version of its record and returns it.
    const TaskRange& markTaskChanged(std::uint32_t task);
    /// The job itself has changed.
    void markHeadChanged() { ++mutableHead().version; }
    /// Versions of the job's own state (acceptance, cancellation): those of the first block, or of
    /// a record of its own if the first block is split.
    [[nodiscard]] const TaskRange& head() const { return split_ ? head_ : ranges_.front(); }
    /// No change of the job's own state is to be written any more.
    void discardHeadChange() { mutableHead().version = mutableHead().durableVersion; }
    /// The record that holds the job's own state.
    [[nodiscard]] RecordName headName(const std::string& job) const;
    /// The record of a range of this layout.
    [[nodiscard]] RecordName nameOf(const std::string& job, const TaskRange& range) const;

    /// Whether the job itself is durable, so that its acceptance may be reported.
    [[nodiscard]] bool accepted() const { return head().durableVersion > 0; }
    /// Whether every change is durable.
    [[nodiscard]] bool durable() const;

    /// The range that the record holds as a whole; nullptr if it was split since, or the record
    /// holds no tasks.
    [[nodiscard]] const TaskRange* find(const RecordName& name) const;
    /// The record is durable as it was in that version. Returns the tasks that it holds: the first,
    /// and the one after the last.
    std::pair<std::uint32_t, std::uint32_t> markDurable(const RecordName& name,
                                                        std::uint64_t version);
    /// The record was read back, so it is durable; splits blocks as its existence implies.
    void markRestored(const RecordName& name);
    /// Replaces a range of this layout by two halves, as pages. Both have to be written if there is
    /// anything in the range. False if it is of one task only.
    bool split(const TaskRange& range);

    /// Whether the first block holds no tasks: they are in pages from the start.
    [[nodiscard]] bool firstBlockHasNoTasks() const { return firstBlockHasNoTasks_; }
    void moveTasksOutOfFirstBlock();
    /// How many text records hold the description (0: it is in the first block), and how many of
    /// them are durable.
    std::uint32_t specSections = 0, durableSpecSections = 0;
    std::size_t sectionValueBytes = 0;  // limit of a value when the text records were made

    /// All ranges, by `from`, without gaps.
    [[nodiscard]] const std::vector<TaskRange>& ranges() const { return ranges_; }

  private:
    [[nodiscard]] std::size_t indexOf(std::uint32_t task) const;
    [[nodiscard]] TaskRange& mutableHead() { return split_ ? head_ : ranges_.front(); }
    /// Whether the record holds the job's own state apart from any tasks.
    [[nodiscard]] bool holdsHeadOnly(const RecordName& name) const;
    /// The first task of a block or page; beyond the last task if there is no such record.
    [[nodiscard]] std::uint64_t firstTask(const RecordName& name) const;
    void splitAt(std::size_t index);
    /// Splits down to the page; false if no halves lead to it, so that nobody can have written it.
    bool splitDownTo(const RecordName& page);

    std::uint32_t tasksPerBlock_ = 1;
    bool paged_ = false;  // some block is split
    bool split_ = false;  // the first block is
    bool firstBlockHasNoTasks_ = false;
    TaskRange head_;
    std::vector<TaskRange> ranges_;
};

}  // namespace basaltchute::jobs
