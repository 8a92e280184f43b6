#include "jobs/record_layout.h"

#include <algorithm>
#include <charconv>

namespace basaltchute::jobs {

namespace {

std::optional<std::uint32_t> numberIn(std::string_view text) {
    std::uint32_t n = 0;
    const auto [p, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || p != text.data() + text.size()) return std::nullopt;
    return n;
}

}  // namespace

std::string RecordName::key() const {
    switch (kind) {
        case Kind::block:
            return blockPrefix + job + (from == 0 ? "" : "/" + std::to_string(from));
        case Kind::head:
            return partPrefix + job;
        case Kind::part:
            return partPrefix + job + '/' + std::to_string(from) + '-' + std::to_string(count);
        case Kind::text:
            break;
    }
    return partPrefix + job + "/s" + std::to_string(from);
}

std::optional<RecordName> RecordName::of(const std::string& key) {
    const bool block = key.starts_with(blockPrefix);
    if (!block && !key.starts_with(partPrefix)) return std::nullopt;
    std::string_view rest(key);
    rest.remove_prefix(block ? blockPrefix.size() : partPrefix.size());
    const auto slash = rest.find('/');
    RecordName n;
    n.job = rest.substr(0, slash);
    n.kind = block ? Kind::block : Kind::head;
    if (n.job.empty()) return std::nullopt;
    if (slash == std::string_view::npos) return n;
    rest.remove_prefix(slash + 1);
    const auto dash = rest.find('-');
    if (!block) n.kind = rest.starts_with('s') ? Kind::text : Kind::part;
    if (n.kind == Kind::text) rest.remove_prefix(1);
    const auto from = numberIn(rest.substr(0, n.kind == Kind::part ? dash : rest.npos));
    if (!from) return std::nullopt;
    n.from = *from;
    if (n.kind != Kind::part) return n;
    const auto count =
        dash == std::string_view::npos ? std::nullopt : numberIn(rest.substr(dash + 1));
    if (!count || *count == 0) return std::nullopt;
    n.count = *count;
    return n;
}

RecordLayout::RecordLayout(std::uint32_t tasks, std::uint32_t perBlock) : perBlock_(perBlock) {
    // Only the first record says that the job exists; the others appear with their first change.
    for (std::uint32_t from = 0; from < tasks; from += perBlock)
        stretches_.push_back({from, std::min(perBlock, tasks - from), 0, 0, false});
}

std::size_t RecordLayout::place(std::uint32_t task) const {
    if (!parted_) return task / perBlock_;
    const auto after = std::upper_bound(stretches_.begin(), stretches_.end(), task,
                                        [](auto t, const TaskRange& s) { return t < s.from; });
    return static_cast<std::size_t>(after - stretches_.begin()) - 1;
}

const TaskRange& RecordLayout::of(std::uint32_t task) const {
    return stretches_[place(task)];
}

const TaskRange& RecordLayout::touch(std::uint32_t task) {
    TaskRange& s = stretches_[place(task)];
    ++s.version;
    return s;
}

RecordName RecordLayout::nameOf(const std::string& job, const TaskRange& s) const {
    if (s.part) return {job, RecordName::Kind::part, s.from, s.count};
    return {job, RecordName::Kind::block, s.from / perBlock_, 0};
}

RecordName RecordLayout::headName(const std::string& job) const {
    // A first block that holds no tasks can be written again; one that does must not be, since
    // its parts are newer.
    return {job, split_ && !bare_ ? RecordName::Kind::head : RecordName::Kind::block, 0, 0};
}

bool RecordLayout::durable() const {
    return head().durable >= head().version &&
           std::all_of(stretches_.begin(), stretches_.end(),
                       [](const TaskRange& s) { return s.durable >= s.version; });
}

const TaskRange* RecordLayout::find(const RecordName& name) const {
    const bool part = name.kind == RecordName::Kind::part;
    if (!part && name.kind != RecordName::Kind::block) return nullptr;
    const std::uint64_t from = part ? name.from : std::uint64_t{name.from} * perBlock_;
    if (from >= stretches_.back().end()) return nullptr;
    const TaskRange& s = stretches_[place(static_cast<std::uint32_t>(from))];
    if (s.from != from || s.part != part || (part && s.count != name.count)) return nullptr;
    return &s;
}

std::pair<std::uint32_t, std::uint32_t> RecordLayout::committed(const RecordName& name,
                                                                std::uint64_t version) {
    if (name.kind == RecordName::Kind::text) {
        ++textsDurable;
        return {0, 0};
    }
    const bool ofHead =
        split_ && (name.kind == RecordName::Kind::head ||
                   (bare_ && name.from == 0 && name.kind == RecordName::Kind::block));
    if (ofHead) {
        head_.durable = std::max(head_.durable, version);
        return {0, 0};
    }
    const bool part = name.kind == RecordName::Kind::part;
    if (split_ && !part && name.from == 0) head_.durable = std::max(head_.durable, version);
    const std::uint32_t from = part ? name.from : name.from * perBlock_;
    const std::uint32_t end =
        std::min(from + (part ? name.count : perBlock_), stretches_.back().end());
    // It may have been split since it was encoded: what stood in it stands for both halves.
    for (std::size_t i = place(from); i < stretches_.size() && stretches_[i].from < end; ++i)
        stretches_[i].durable = std::max(stretches_[i].durable, version);
    return {from, end};
}

void RecordLayout::splitAt(std::size_t at) {
    const TaskRange whole = stretches_[at];
    parted_ = true;
    if (whole.from == 0 && !split_) {
        split_ = true;
        head_ = whole;
    }
    TaskRange first = whole, second = whole;
    first.part = second.part = true;
    first.count = whole.count / 2;
    second.from = whole.from + first.count;
    second.count = whole.count - first.count;
    stretches_[at] = first;
    stretches_.insert(stretches_.begin() + static_cast<std::ptrdiff_t>(at) + 1, second);
}

bool RecordLayout::split(const TaskRange& s) {
    if (s.count < 2) return false;
    splitAt(place(s.from));
    return true;
}

void RecordLayout::setBare() {
    if (bare_) return;
    bare_ = parted_ = split_ = true;
    head_ = stretches_.front();
    stretches_.front().part = true;
}

void RecordLayout::restored(const RecordName& name) {
    if (name.kind == RecordName::Kind::part) {
        // Down to the stretch that the record holds, by the halves that led there.
        while (true) {
            const std::size_t at = place(name.from);
            const TaskRange& s = stretches_[at];
            if (s.part && s.from == name.from && s.count == name.count) break;
            if (s.count <= name.count || s.count < 2) return;  // no such half: written by nobody
            splitAt(at);
        }
    }
    if (name.kind == RecordName::Kind::block &&
        name.from * std::uint64_t{perBlock_} >= stretches_.back().end())
        return;
    if (name.kind == RecordName::Kind::head) {
        TaskRange& h = headHere();
        h.version = h.durable = std::max<std::uint64_t>(h.durable, 1);
        return;
    }
    TaskRange& s =
        name.kind == RecordName::Kind::block && name.from == 0
            ? headHere()
            : stretches_[place(name.kind == RecordName::Kind::part ? name.from
                                                                   : name.from * perBlock_)];
    s.version = s.durable = 1;
}

}  // namespace basaltchute::jobs
