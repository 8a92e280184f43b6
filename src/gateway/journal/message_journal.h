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

/// The ledger of one queue in its owner's memory: pages of entries, each page one record of the
/// state service. Entries that are busy at the same time share pages, so that one write stands for
/// the changes of many messages. Pure: it neither reads nor writes, nor knows the time.
class MessageJournal {
  public:
    /// `prefix`: of its records' keys. `pageBytes`: the most that a record may have.
    MessageJournal(std::string prefix, std::size_t pageBytes);

    /// Takes one record as it was read. One line that says what is wrong with it, or nothing.
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
    /// In no particular order; not to be changed meanwhile.
    void forEach(const std::function<void(const JournalEntry&)>& visit) const;
    /// In the order of their numbers: final ones whose result is to be sent.
    [[nodiscard]] const std::map<std::uint64_t, std::string>& unsent() const { return unsent_; }
    [[nodiscard]] std::uint64_t nextNumber() const { return nextNumber_; }

    /// Whether the entry would fit onto a page at all.
    [[nodiscard]] bool fits(const JournalEntry& entry) const;
    /// The key must be new, and the entry fit. Returns the record that must be written.
    std::string add(JournalEntry entry);
    /// Returns the record that must be written.
    std::string change(const std::string& key, const std::function<void(JournalEntry&)>& how);
    /// Whether what the entry says now is on record.
    [[nodiscard]] bool isDurable(const std::string& key) const;

    [[nodiscard]] kv_store::EncodedRecord encode(const std::string& recordKey) const;
    void committed(const std::string& recordKey, std::uint64_t version);

    struct Forgotten {
        std::vector<std::string> changed;  // records to write; see also `closing`
        std::vector<std::string> keys;     // of the entries that are gone
        std::size_t unsent = 0;
    };
    /// Drops entries that are over and whose time has come, at most `most` of them.
    Forgotten forget(WallMillis now, std::size_t most);
    /// Records that may be deleted: nothing is on their pages, nothing will be, and no earlier
    /// change of them is still to be written.
    [[nodiscard]] std::vector<std::string> closing() const;
    void deleted(const std::string& recordKey);

    /// What the indices say against a plain recount; empty if they agree. For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    using PageNumber = std::uint64_t;
    struct Page {
        std::set<std::string> keys;
        std::size_t bytes = 0;  // an upper bound of its record's size
        std::uint64_t version = 0, durable = 0;
        bool closing = false;
    };
    struct StoredEntry {
        JournalEntry entry;
        PageNumber page = 0;
        std::uint64_t version = 0;  // of its page, when it changed last
        std::size_t bytes = 0;
    };
    [[nodiscard]] static std::size_t sizeOf(const JournalEntry& entry);
    [[nodiscard]] std::string recordKey(PageNumber page) const;
    [[nodiscard]] std::optional<PageNumber> pageOf(const std::string& recordKey) const;
    void index(const JournalEntry& entry, bool in);
    void place(JournalEntry entry, PageNumber number, std::uint64_t version);
    PageNumber pageWithSpaceFor(std::size_t bytes);

    std::string prefix_;
    std::size_t pageBytes_;
    std::map<PageNumber, Page> pages_;
    std::unordered_map<std::string, StoredEntry> entries_;
    std::array<std::size_t, 5> counts_{};
    std::map<std::uint64_t, std::string> unsent_;
    std::set<std::pair<WallMillis, std::string>> byForget_;
    std::uint64_t nextNumber_ = 1;
    PageNumber nextPage_ = 1;
};

}  // namespace basaltchute::gateway
