#include "jobs/record_layout.h"

#include <algorithm>
#include <charconv>

namespace basaltchute::jobs {

namespace {

std::optional<std::uint32_t> parseNumber(std::string_view text) {
    std::uint32_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || parsedTo != end) return std::nullopt;
    return number;
}

/// Parses what follows "parts/<job>/" in a key: "s<from>" names a section of the description,
/// "<from>-<count>" a page.
std::optional<RecordName> parsePageOrSection(std::string job, std::string_view text) {
    if (text.starts_with('s')) {
        const auto from = parseNumber(text.substr(1));
        if (!from) return std::nullopt;
        return RecordName{std::move(job), RecordName::Kind::specSection, *from, 0};
    }
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) return std::nullopt;
    const auto from = parseNumber(text.substr(0, dash));
    const auto count = parseNumber(text.substr(dash + 1));
    if (!from || !count || *count == 0) return std::nullopt;
    return RecordName{std::move(job), RecordName::Kind::page, *from, *count};
}

}  // namespace

std::string RecordName::key() const {
    switch (kind) {
        case Kind::block:
            return jobKeyPrefix + job + (from == 0 ? "" : "/" + std::to_string(from));
        case Kind::head:
            return partKeyPrefix + job;
        case Kind::page:
            return partKeyPrefix + job + '/' + std::to_string(from) + '-' + std::to_string(count);
        case Kind::specSection:
            break;
    }
    return partKeyPrefix + job + "/s" + std::to_string(from);
}

std::optional<RecordName> RecordName::parse(const std::string& key) {
    const bool block = key.starts_with(jobKeyPrefix);
    if (!block && !key.starts_with(partKeyPrefix)) return std::nullopt;
    std::string_view rest(key);
    rest.remove_prefix(block ? jobKeyPrefix.size() : partKeyPrefix.size());
    const auto slash = rest.find('/');
    std::string job(rest.substr(0, slash));
    if (job.empty()) return std::nullopt;
    if (slash == std::string_view::npos)
        return RecordName{std::move(job), block ? Kind::block : Kind::head, 0, 0};
    rest.remove_prefix(slash + 1);
    if (!block) return parsePageOrSection(std::move(job), rest);
    const auto from = parseNumber(rest);
    if (!from) return std::nullopt;
    return RecordName{std::move(job), Kind::block, *from, 0};
}

RecordLayout::RecordLayout(std::uint32_t tasks, std::uint32_t tasksPerBlock)
    : tasksPerBlock_(tasksPerBlock) {
    // Only the first block is written for a new job. The others are written once a task of theirs
    // changes.
    for (std::uint32_t from = 0; from < tasks; from += tasksPerBlock)
        ranges_.push_back({from, std::min(tasksPerBlock, tasks - from), 0, 0, false});
}

std::size_t RecordLayout::indexOf(std::uint32_t task) const {
    if (!paged_) return task / tasksPerBlock_;
    const auto after =
        std::upper_bound(ranges_.begin(), ranges_.end(), task,
                         [](auto wanted, const TaskRange& range) { return wanted < range.from; });
    return static_cast<std::size_t>(after - ranges_.begin()) - 1;
}

const TaskRange& RecordLayout::rangeOf(std::uint32_t task) const {
    return ranges_[indexOf(task)];
}

const TaskRange& RecordLayout::markTaskChanged(std::uint32_t task) {
    TaskRange& range = ranges_[indexOf(task)];
    ++range.version;
    return range;
}

RecordName RecordLayout::nameOf(const std::string& job, const TaskRange& range) const {
    if (range.page) return {job, RecordName::Kind::page, range.from, range.count};
    return {job, RecordName::Kind::block, range.from / tasksPerBlock_, 0};
}

RecordName RecordLayout::headName(const std::string& job) const {
    // A split first block must not be written again, since its pages are newer, unless it holds no
    // tasks.
    return {job,
            split_ && !firstBlockHasNoTasks_ ? RecordName::Kind::head : RecordName::Kind::block, 0,
            0};
}

bool RecordLayout::durable() const {
    return head().durableVersion >= head().version &&
           std::all_of(ranges_.begin(), ranges_.end(), [](const TaskRange& range) {
               return range.durableVersion >= range.version;
           });
}

std::uint64_t RecordLayout::firstTask(const RecordName& name) const {
    return name.kind == RecordName::Kind::page ? name.from
                                               : std::uint64_t{name.from} * tasksPerBlock_;
}

const TaskRange* RecordLayout::find(const RecordName& name) const {
    const bool page = name.kind == RecordName::Kind::page;
    if (!page && name.kind != RecordName::Kind::block) return nullptr;
    const std::uint64_t from = firstTask(name);
    if (from >= ranges_.back().end()) return nullptr;
    const TaskRange& range = ranges_[indexOf(static_cast<std::uint32_t>(from))];
    if (range.from != from || range.page != page || (page && range.count != name.count))
        return nullptr;
    return &range;
}

bool RecordLayout::holdsHeadOnly(const RecordName& name) const {
    if (!split_) return false;
    const bool firstBlock = name.kind == RecordName::Kind::block && name.from == 0;
    return name.kind == RecordName::Kind::head || (firstBlockHasNoTasks_ && firstBlock);
}

std::pair<std::uint32_t, std::uint32_t> RecordLayout::markDurable(const RecordName& name,
                                                                  std::uint64_t version) {
    if (name.kind == RecordName::Kind::specSection) {
        if (version == division_) durableSections_.insert(name.from);
        return {0, 0};
    }
    if (holdsHeadOnly(name)) {
        head_.durableVersion = std::max(head_.durableVersion, version);
        return {0, 0};
    }
    const bool page = name.kind == RecordName::Kind::page;
    if (split_ && !page && name.from == 0)
        head_.durableVersion = std::max(head_.durableVersion, version);
    const std::uint32_t from = page ? name.from : name.from * tasksPerBlock_;
    const std::uint32_t end =
        std::min(from + (page ? name.count : tasksPerBlock_), ranges_.back().end());
    // The record may have been split since it was encoded: its tasks are durable in all parts then.
    for (std::size_t i = indexOf(from); i < ranges_.size() && ranges_[i].from < end; ++i)
        ranges_[i].durableVersion = std::max(ranges_[i].durableVersion, version);
    return {from, end};
}

void RecordLayout::splitAt(std::size_t index) {
    const TaskRange whole = ranges_[index];
    paged_ = true;
    if (whole.from == 0 && !split_) {
        split_ = true;
        head_ = whole;
    }
    TaskRange first = whole, second = whole;
    first.page = second.page = true;
    first.count = whole.count / 2;
    second.from = whole.from + first.count;
    second.count = whole.count - first.count;
    ranges_[index] = first;
    ranges_.insert(ranges_.begin() + static_cast<std::ptrdiff_t>(index) + 1, second);
}

bool RecordLayout::split(const TaskRange& range) {
    if (range.count < 2) return false;
    splitAt(indexOf(range.from));
    return true;
}

void RecordLayout::divideDescription(std::uint32_t sections, std::size_t valueBytes,
                                     std::uint64_t division) {
    specSections = sections;
    sectionValueBytes = valueBytes;
    division_ = division;
    durableSections_.clear();
}

void RecordLayout::moveTasksOutOfFirstBlock() {
    if (firstBlockHasNoTasks_) return;
    firstBlockHasNoTasks_ = paged_ = split_ = true;
    head_ = ranges_.front();
    ranges_.front().page = true;
}

bool RecordLayout::splitDownTo(const RecordName& page) {
    while (true) {
        const std::size_t index = indexOf(page.from);
        const TaskRange& range = ranges_[index];
        if (range.page && range.from == page.from && range.count == page.count) return true;
        if (range.count <= page.count || range.count < 2) return false;
        splitAt(index);
    }
}

void RecordLayout::markRestored(const RecordName& name) {
    const bool page = name.kind == RecordName::Kind::page;
    const bool block = name.kind == RecordName::Kind::block;
    if (page && !splitDownTo(name)) return;
    if (block && firstTask(name) >= ranges_.back().end()) return;
    if (name.kind == RecordName::Kind::head) {
        TaskRange& head = mutableHead();
        head.version = head.durableVersion = std::max<std::uint64_t>(head.durableVersion, 1);
        return;
    }
    const bool firstBlock = block && name.from == 0;
    TaskRange& range =
        firstBlock ? mutableHead() : ranges_[indexOf(static_cast<std::uint32_t>(firstTask(name)))];
    range.version = range.durableVersion = 1;
}

}  // namespace basaltchute::jobs
