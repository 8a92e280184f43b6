#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basaltchute::jobs {

/// Consecutive tasks whose truth is one record, and how much of it stands.
struct TaskRange {
    std::uint32_t from = 0, count = 0;
    std::uint64_t version = 0, durable = 0;
    bool part = false;  // of a block that grew too large to be written whole
    [[nodiscard]] std::uint32_t end() const { return from + count; }
};

/// Which record a key names.
struct RecordName {
    enum class Kind {
        block,  // the job itself with its first tasks, or further ones: `from`
        part,   // some tasks of a block: `from` and `count`; newer than what holds more of them
        head,   // of a job whose first block is in parts: what changes of the job itself
        text,   // a part of a description that is too large for one value: `from`, from 0
    };
    std::string job;
    Kind kind = Kind::block;
    std::uint32_t from = 0, count = 0;

    [[nodiscard]] std::string key() const;
    /// Nothing if no record has such a key.
    static std::optional<RecordName> of(const std::string& key);
    bool operator==(const RecordName&) const = default;
};

inline const std::string blockPrefix = "jobs/", partPrefix = "parts/";

/// How the truth about a job is laid out in the state service: in blocks of as many tasks each, and
/// a block that does not fit into a value any more in parts, by halves. A part is newer than every
/// record that holds more tasks; once there are parts of a block the block is not written again,
/// so whoever reads larger records first and smaller ones after them has what was written last.
class RecordLayout {
  public:
    RecordLayout() : RecordLayout(1, 1) {}
    RecordLayout(std::uint32_t tasks, std::uint32_t perBlock);

    [[nodiscard]] std::uint32_t perBlock() const { return perBlock_; }
    [[nodiscard]] const TaskRange& of(std::uint32_t task) const;
    /// Something about the task has changed.
    const TaskRange& touch(std::uint32_t task);
    /// Something about the job itself has changed.
    void touchHead() { ++headHere().version; }
    /// Acceptance and cancellation: the first block's, or a record of its own beside its parts.
    [[nodiscard]] const TaskRange& head() const { return split_ ? head_ : stretches_.front(); }
    /// Nothing of the job itself waits to be written.
    void settleHead() { headHere().version = headHere().durable; }
    [[nodiscard]] RecordName headName(const std::string& job) const;
    [[nodiscard]] RecordName nameOf(const std::string& job, const TaskRange& s) const;

    [[nodiscard]] bool accepted() const { return head().durable > 0; }
    [[nodiscard]] bool durable() const;

    /// The stretch that the record holds as a whole; nullptr if it was split since.
    [[nodiscard]] const TaskRange* find(const RecordName& name) const;
    /// The record stands as it was in that version. The tasks that it is about: from and end.
    std::pair<std::uint32_t, std::uint32_t> committed(const RecordName& name,
                                                      std::uint64_t version);
    /// Read back: it stands.
    void restored(const RecordName& name);
    /// Puts two halves in the place of a stretch. Both have to be written if there is anything in
    /// the stretch. False if it is of one task only.
    bool split(const TaskRange& s);

    /// The first block holds no tasks: they are in parts from the start.
    [[nodiscard]] bool bare() const { return bare_; }
    void setBare();
    /// How many records beside the first block hold the description; none: it is in the block.
    std::uint32_t texts = 0, textsDurable = 0;
    std::size_t textBytes = 0;  // of a value, as they were made

    [[nodiscard]] const std::vector<TaskRange>& stretches() const { return stretches_; }

  private:
    [[nodiscard]] std::size_t place(std::uint32_t task) const;
    [[nodiscard]] TaskRange& headHere() { return split_ ? head_ : stretches_.front(); }
    void splitAt(std::size_t place);

    std::uint32_t perBlock_ = 1;
    bool parted_ = false;  // some block is in parts
    bool split_ = false;   // the first block is
    bool bare_ = false;
    TaskRange head_;
    std::vector<TaskRange> stretches_;  // by `from`, without gaps
};

}  // namespace basaltchute::jobs
