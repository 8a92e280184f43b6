#include "gateway/journal/message_journal.h"

#include <algorithm>
#include <charconv>

#include "json/json.h"

namespace basaltchute::gateway {

namespace {

constexpr std::array<const char*, 5> stageNames{"entered", "refused", "accepted", "final",
                                                "replied"};
// Bytes of an entry besides its texts, including what later changes may add after the entry was
// assigned to a page: stage, status or reason of a refusal, number, attempts, expiry and member
// names.
constexpr std::size_t entryOverheadBytes = 270;
constexpr std::size_t maxReasonLength = 60;
constexpr std::size_t pageOverheadBytes = 32;  // JSON of a page around its entries
constexpr std::size_t maxOpenPages = 2;        // only the newest pages accept new entries

/// Limits a reason to one line of printable characters without quotes, which bounds its encoded
/// size.
void sanitizeReason(std::string& reason) {
    if (reason.size() > maxReasonLength) reason.resize(maxReasonLength);
    for (char& c : reason)
        if (c < ' ' || c > '~' || c == '"' || c == '\\') c = '\'';
}

/// Encoded size of a JSON string: up to six bytes per byte, usually one.
std::size_t encodedSize(const std::string& s) {
    std::size_t n = 2;
    for (const char c : s) {
        const auto b = static_cast<unsigned char>(c);
        n += b < 0x20 ? 6U : (c == '"' || c == '\\') ? 2U : 1U;
    }
    return n;
}

}  // namespace

const char* nameOf(Stage stage) {
    return stageNames[static_cast<std::size_t>(stage)];
}
std::optional<Stage> stageOf(const std::string& name) {
    for (std::size_t i = 0; i < stageNames.size(); ++i)
        if (name == stageNames[i]) return static_cast<Stage>(i);
    return std::nullopt;
}

MessageJournal::MessageJournal(std::string prefix, std::size_t pageBytes)
    : prefix_(std::move(prefix)), pageBytes_(pageBytes) {}

std::size_t MessageJournal::maxEncodedSize(const JournalEntry& e) {
    return encodedSize(e.key) + encodedSize(e.ref) + encodedSize(e.origin) +
           encodedSize(e.replyTo) + encodedSize(e.correlation) + entryOverheadBytes;
}
std::string MessageJournal::recordKey(PageNumber page) const {
    return prefix_ + std::to_string(page);
}
std::optional<MessageJournal::PageNumber> MessageJournal::pageOf(const std::string& key) const {
    if (!key.starts_with(prefix_)) return std::nullopt;
    PageNumber n = 0;
    const char* end = key.data() + key.size();
    const auto [p, ec] = std::from_chars(key.data() + prefix_.size(), end, n);
    if (ec != std::errc{} || p != end) return std::nullopt;
    return n;
}

void MessageJournal::updateIndices(const JournalEntry& e, bool added) {
    auto& count = counts_[static_cast<std::size_t>(e.stage)];
    count += added ? 1 : std::size_t(-1);
    if (e.stage == Stage::final) {
        if (added)
            unsent_[e.number] = e.key;
        else
            unsent_.erase(e.number);
    }
    if (e.expiresAt.count() != 0) {
        if (added)
            byExpiry_.emplace(e.expiresAt, e.key);
        else
            byExpiry_.erase({e.expiresAt, e.key});
    }
    if (added) nextNumber_ = std::max(nextNumber_, e.number + 1);
}

void MessageJournal::insertEntry(JournalEntry entry, PageNumber number, std::uint64_t version) {
    auto& page = pages_[number];
    const std::size_t bytes = maxEncodedSize(entry);
    page.keys.insert(entry.key);
    page.bytes += bytes;
    updateIndices(entry, true);
    const std::string key = entry.key;
    entries_[key] = {std::move(entry), number, version, bytes};
}

std::optional<std::string> MessageJournal::load(const std::string& recordKey,
                                                const std::string& data) {
    const auto number = pageOf(recordKey);
    const auto doc = json::parse(data);
    const auto* list = doc ? json::array(*doc, "entries") : nullptr;
    if (!number || list == nullptr) return recordKey + ": expected a page of entries";
    auto& page = pages_[*number];
    page.version = page.durable = 1;
    page.closing = list->Empty();
    nextPage_ = std::max(nextPage_, *number + 1);
    for (const auto& v : list->GetArray()) {
        JournalEntry e;
        const auto stage = stageOf(json::string(v, "stage").value_or(""));
        e.key = json::string(v, "key").value_or("");
        e.ref = json::string(v, "ref").value_or("");
        if (!stage || e.key.empty() || e.ref.empty() || entries_.contains(e.key))
            return recordKey + ": expected entries with a stage, a ref and a key of their own";
        e.stage = *stage;
        e.digest = json::count(v, "digest").value_or(0);
        e.origin = json::string(v, "origin").value_or("");
        e.replyTo = json::string(v, "replyTo").value_or("");
        e.correlation = json::string(v, "correlation").value_or("");
        e.reason = json::string(v, "why").value_or("");
        e.status = json::string(v, "status").value_or("");
        e.number = json::count(v, "number").value_or(0);
        e.attempts = static_cast<std::uint32_t>(json::count(v, "attempts").value_or(1));
        e.expiresAt = WallMillis(json::count(v, "forgetMs").value_or(0));
        insertEntry(std::move(e), *number, 0);
    }
    return std::nullopt;
}

const JournalEntry* MessageJournal::find(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second.entry;
}
void MessageJournal::forEach(const std::function<void(const JournalEntry&)>& visit) const {
    for (const auto& [key, stored] : entries_) visit(stored.entry);
}
bool MessageJournal::fits(const JournalEntry& e) const {
    return maxEncodedSize(e) + pageOverheadBytes <= pageBytes_;
}

MessageJournal::PageNumber MessageJournal::pageWithSpaceFor(std::size_t bytes) {
    // Only the newest pages accept entries: active entries stay together and old pages become
    // empty.
    std::size_t examined = 0;
    for (auto it = pages_.rbegin(); it != pages_.rend() && examined < maxOpenPages;
         ++it, ++examined)
        if (!it->second.closing && it->second.bytes + bytes + pageOverheadBytes <= pageBytes_)
            return it->first;
    return nextPage_++;
}

std::string MessageJournal::add(JournalEntry e) {
    const PageNumber number = pageWithSpaceFor(maxEncodedSize(e));
    const std::uint64_t version = ++pages_[number].version;
    insertEntry(std::move(e), number, version);
    return recordKey(number);
}

std::string MessageJournal::update(const std::string& key,
                                   const std::function<void(JournalEntry&)>& modify) {
    auto& stored = entries_.at(key);
    updateIndices(stored.entry, false);
    modify(stored.entry);
    sanitizeReason(stored.entry.reason);
    updateIndices(stored.entry, true);
    stored.version = ++pages_[stored.page].version;
    return recordKey(stored.page);
}

bool MessageJournal::isDurable(const std::string& key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() && pages_.at(it->second.page).durable >= it->second.version;
}

kv_store::EncodedRecord MessageJournal::encode(const std::string& recordKey) const {
    const auto number = pageOf(recordKey);
    json::Writer out;
    out.open().key("entries").openArray();
    const auto it = number ? pages_.find(*number) : pages_.end();
    if (it == pages_.end()) {
        out.closeArray().close();
        return {out.text(), 0};
    }
    for (const auto& key : it->second.keys) {
        const JournalEntry& e = entries_.at(key).entry;
        out.open().field("key", e.key).field("ref", e.ref).field("stage", nameOf(e.stage));
        out.field("digest", e.digest);
        const auto text = [&](const char* name, const std::string& value) {
            if (!value.empty()) out.field(name, value);
        };
        text("origin", e.origin);
        text("replyTo", e.replyTo);
        text("correlation", e.correlation);
        text("why", e.reason);
        text("status", e.status);
        if (e.number != 0) out.field("number", e.number);
        if (e.attempts != 1) out.field("attempts", e.attempts);
        if (e.expiresAt.count() != 0)
            out.field("forgetMs", static_cast<std::uint64_t>(e.expiresAt.count()));
        out.close();
    }
    out.closeArray().close();
    return {out.text(), it->second.version};
}

void MessageJournal::committed(const std::string& recordKey, std::uint64_t version) {
    const auto number = pageOf(recordKey);
    const auto it = number ? pages_.find(*number) : pages_.end();
    if (it != pages_.end()) it->second.durable = std::max(it->second.durable, version);
}

MessageJournal::Removed MessageJournal::removeExpired(WallMillis now, std::size_t most) {
    Removed out;
    std::set<PageNumber> touched;
    while (!byExpiry_.empty() && byExpiry_.begin()->first <= now && out.keys.size() < most) {
        const auto it = entries_.find(byExpiry_.begin()->second);
        auto& page = pages_.at(it->second.page);
        page.keys.erase(it->first);
        page.bytes -= it->second.bytes;
        touched.insert(it->second.page);
        if (it->second.entry.stage == Stage::final) ++out.unsent;
        updateIndices(it->second.entry, false);
        out.keys.push_back(it->first);
        entries_.erase(it);
    }
    for (const auto number : touched) {
        auto& page = pages_.at(number);
        // An empty page is never used again: a deletion that is applied late must not hit new
        // entries.
        page.closing = page.keys.empty();
        if (page.closing) continue;
        ++page.version;
        out.changed.push_back(recordKey(number));
    }
    return out;
}

std::vector<std::string> MessageJournal::deletableRecords() const {
    std::vector<std::string> out;
    for (const auto& [number, page] : pages_)
        if (page.closing && page.durable == page.version) out.push_back(recordKey(number));
    return out;
}
void MessageJournal::deleted(const std::string& recordKey) {
    const auto number = pageOf(recordKey);
    const auto it = number ? pages_.find(*number) : pages_.end();
    if (it != pages_.end() && it->second.closing) pages_.erase(it);
}

std::string MessageJournal::findInconsistency() const {
    std::array<std::size_t, 5> counts{};
    std::map<std::uint64_t, std::string> unsent;
    std::map<PageNumber, std::size_t> bytes, keys;
    std::size_t due = 0;
    std::string wrong;
    for (const auto& [key, stored] : entries_) {
        ++counts[static_cast<std::size_t>(stored.entry.stage)];
        if (stored.entry.stage == Stage::final) unsent[stored.entry.number] = key;
        if (stored.entry.expiresAt.count() != 0) ++due;
        bytes[stored.page] += stored.bytes;
        ++keys[stored.page];
        if (!pages_.contains(stored.page) || !pages_.at(stored.page).keys.contains(key))
            wrong += key + " is not on its page; ";
        if (stored.entry.number >= nextNumber_) wrong += key + " has a number to come; ";
    }
    if (counts != counts_) wrong += "counts of stages; ";
    if (unsent != unsent_) wrong += "what is to be sent; ";
    if (due != byExpiry_.size()) wrong += "what is to be forgotten; ";
    for (const auto& [number, page] : pages_) {
        if (page.bytes != bytes[number]) wrong += "bytes of a page; ";
        if (page.keys.size() != keys[number]) wrong += "keys of a page; ";
        if (encode(recordKey(number)).data.size() > pageBytes_) wrong += "a page too large; ";
    }
    return wrong;
}

}  // namespace basaltchute::gateway
