#pragma once
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/journal/journal_entry.h"
#include "kv_store/transaction_writer.h"

namespace basaltchute::gateway {

/// The in-memory journal of one queue, used by its owner: the state of each message, grouped into
/// pages. Each page is one record in the state service. Entries that are active at the same time
/// share pages, so that one write covers the changes of many messages. The class does no input or
/// output and has no clock; the caller writes the records that it names.
class MessageJournal {
  public:
    /// `prefix`: key prefix of the records. `pageBytes`: maximum size of a record.
    MessageJournal(std::string prefix, std::size_t pageBytes);

    /// Adds the entries of a stored record. Returns an error text if the record is invalid.
    std::optional<std::string> load(const std::string& recordKey, const std::string& data);

    [[nodiscard]] const JournalEntry* find(const std::string& key) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t count(Stage stage) const {
        return counts_[static_cast<std::size_t>(stage)];
    }
    [[nodiscard]] std::size_t unfinished() const {
        return count(Stage::entered) + count(Stage::accepted);
    }
    [[nodiscard]] std::size_t pages() const { return pages_.size(); }
    /// Visits all entries in no particular order; the visitor must not modify the journal.
    void forEach(const std::function<void(const JournalEntry&)>& visit) const;
    /// Keys of the entries in stage `final`, whose result has not been delivered, by result number.
    [[nodiscard]] const std::map<std::uint64_t, std::string>& unsent() const { return unsent_; }
    [[nodiscard]] std::uint64_t nextNumber() const { return nextNumber_; }

    /// Whether the entry fits on a page at all.
    [[nodiscard]] bool fits(const JournalEntry& entry) const;
    /// Adds an entry, whose key must be new and which must fit. Returns the key of the record to
    /// write.
    std::string add(JournalEntry entry);
    /// Modifies an existing entry. Returns the key of the record to write.
    std::string update(const std::string& key, const std::function<void(JournalEntry&)>& modify);
    /// Whether the current version of the entry has been committed.
    [[nodiscard]] bool isDurable(const std::string& key) const;

    /// The current content of a record, with the version to pass to `committed`.
    [[nodiscard]] kv_store::EncodedRecord encode(const std::string& recordKey) const;
    /// Marks the given version of a record as committed.
    void committed(const std::string& recordKey, std::uint64_t version);

    struct Removed {
        std::vector<std::string> changed;  // records to write; see also `deletableRecords`
        std::vector<std::string> keys;     // removed entries
        std::size_t unsent = 0;
    };
    /// Removes finished entries that have expired at `now`, at most `most` of them.
    Removed removeExpired(WallMillis now, std::size_t most);
    /// Records that may be deleted: their page is empty, will not be used again, and has no earlier
    /// change left to write.
    [[nodiscard]] std::vector<std::string> deletableRecords() const;
    /// Drops the page of a deleted record.
    void deleted(const std::string& recordKey);

    /// Compares the indices with a full recount and describes differences; empty if they agree. For
    /// tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    using PageNumber = std::uint64_t;
    struct Page {
        std::set<std::string> keys;
        std::size_t bytes = 0;  // upper bound of the size of its record
        std::uint64_t version = 0, durable = 0;
        bool closing = false;
    };
    struct StoredEntry {
        JournalEntry entry;
        PageNumber page = 0;
        std::uint64_t version = 0;  // version of the page at the last change
        std::size_t bytes = 0;
    };
    [[nodiscard]] static std::size_t maxEncodedSize(const JournalEntry& entry);
    [[nodiscard]] std::string recordKey(PageNumber page) const;
    [[nodiscard]] std::optional<PageNumber> pageOf(const std::string& recordKey) const;
    void updateIndices(const JournalEntry& entry, bool added);
    void insertEntry(JournalEntry entry, PageNumber number, std::uint64_t version);
    PageNumber pageWithSpaceFor(std::size_t bytes);

    std::string prefix_;
    std::size_t pageBytes_;
    std::map<PageNumber, Page> pages_;
    std::unordered_map<std::string, StoredEntry> entries_;
    std::array<std::size_t, 5> counts_{};
    std::map<std::uint64_t, std::string> unsent_;
    std::set<std::pair<WallMillis, std::string>> byExpiry_;
    std::uint64_t nextNumber_ = 1;
    PageNumber nextPage_ = 1;
};

}  // namespace basaltchute::gateway
