#include "gateway/members/members.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;
using state::Verdict;

namespace {

constexpr Duration lookPause = 200ms;  // between two looks, however much changes
constexpr Duration watchPatience = 10s;
constexpr Duration blindPause = 1s;
constexpr double safety = 0.9;  // of a grant's life: clocks drift, and writes take time
constexpr Duration touchPatience = 1s;

std::uint64_t weight(const QueueName& queue, const std::string& instance) {
    const std::string both = queue + '\n' + instance;
    return XXH3_64bits(both.data(), both.size());
}

std::optional<Member> memberOf(const std::string& data) {
    const auto doc = json::parse(data);
    if (!doc || !doc->IsObject()) return std::nullopt;
    Member m;
    m.instance = json::string(*doc, "instance").value_or("");
    m.incarnation = json::string(*doc, "incarnation").value_or("");
    m.advertise = json::string(*doc, "advertise").value_or("");
    m.admin = json::string(*doc, "admin").value_or("");
    m.draining = json::boolean(*doc, "draining").value_or(false);
    if (const auto* queues = json::array(*doc, "queues"))
        for (const auto& q : queues->GetArray())
            if (q.IsString()) m.queues.insert(q.GetString());
    if (m.instance.empty() || m.incarnation.empty()) return std::nullopt;
    return m;
}

}  // namespace

const Member* ownerOf(const QueueName& queue, const std::map<std::string, Member>& members) {
    const Member* best = nullptr;
    std::uint64_t most = 0;
    for (const auto& [name, m] : members) {
        if (m.draining || !m.queues.contains(queue)) continue;
        const std::uint64_t w = weight(queue, name);
        if (best != nullptr && w <= most) continue;
        best = &m;
        most = w;
    }
    return best;
}

Members::Members(Loop& loop, state::Client& client, Turnstile& turnstile, const Settings& settings,
                 std::string incarnation, Hooks hooks)
    : loop_(loop),
      client_(client),
      turnstile_(turnstile),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      hooks_(std::move(hooks)),
      changed_(loop),
      drained_(loop) {}

void Members::start(Scope& scope) {
    scope.spawn(keepGrant(scope));
    scope.spawn(look(scope));
}

std::string Members::memberKey() const {
    return settings_.statePrefix + "own/member/" + settings_.instance;
}
std::string Members::queueKey(const QueueName& queue) const {
    return settings_.statePrefix + "own/queue/" + queue;
}
std::string Members::record() const {
    json::Out out;
    out.open().field("instance", settings_.instance).field("incarnation", incarnation_);
    out.field("advertise", settings_.advertise).field("admin", settings_.admin);
    out.field("draining", draining_).key("queues").openArray();
    for (const auto& [name, q] : settings_.queues) out.value(name);
    out.closeArray().close();
    return out.text();
}

bool Members::granted() const {
    return grant_ != 0 && loop_.now() < grantedUntil_;
}
bool Members::holds(const QueueName& queue) const {
    return granted() && held_.contains(queue);
}
const Member* Members::holder(const QueueName& queue) const {
    const auto it = owners_.find(queue);
    if (it == owners_.end()) return nullptr;
    for (const auto& [name, m] : members_)
        if (m.incarnation == it->second.first) return &m;
    return nullptr;
}

void Members::lose(const QueueName& queue) {
    const auto held = held_.find(queue);
    if (held == held_.end()) return;
    past_[queue] = held->second.revision;
    held_.erase(held);
    spdlog::warn("queue {}: no longer held by this instance", queue);
    hooks_.lost(queue);
}
void Members::loseAll() {
    grant_ = 0;
    memberRevision_ = 0;
    while (!held_.empty()) lose(QueueName(held_.begin()->first));
    hooks_.changed();
}
void Members::fenced(const QueueName& queue) {
    lose(queue);
    changed_.notify();
}

Task<bool> Members::enlist(Scope& scope) {
    const bool may = co_await turnstile_.take(1, scope);
    if (!may) co_return false;
    const bool said = draining_;
    state::Transaction txn;
    // An earlier run of this instance, or another of its name, may still be there: it ends first.
    txn.guards = {{memberKey(), memberRevision_}};
    txn.puts = {{memberKey(), record(), grant_}};
    const auto committed = co_await client_.commit(std::move(txn), scope);
    if (committed.verdict == Verdict::ok) {
        memberRevision_ = committed.revision;
        announced_ = said;
        co_return true;
    }
    if (committed.verdict == Verdict::conflict) {
        const auto found = co_await client_.get(memberKey(), scope);
        const auto other = found.item ? memberOf(found.item->data) : std::nullopt;
        if (other && other->incarnation == incarnation_) {
            // Our own, applied although its answer was lost.
            memberRevision_ = found.item->revision;
            announced_ = other->draining;
            co_return true;
        }
        if (other)
            spdlog::info("another run of instance {} is still on record", settings_.instance);
        else
            memberRevision_ = 0;
    }
    co_return false;
}

Task<void> Members::keepGrant(Scope& scope) {
    const Duration every = settings_.grant / 4;
    while (!scope.cancelled()) {
        if (grant_ == 0) {
            const auto g = co_await client_.grant(settings_.grant, scope);
            if (g.verdict == Verdict::ok) {
                grant_ = g.id;
                grantedUntil_ = g.sentAt + fromSeconds(toSeconds(settings_.grant) * safety);
            }
        } else {
            const auto g = co_await client_.touch(grant_, touchPatience, scope);
            if (scope.cancelled()) co_return;
            if (g.verdict == Verdict::ok)
                grantedUntil_ = g.sentAt + fromSeconds(toSeconds(settings_.grant) * safety);
            if (g.verdict == Verdict::notFound) {
                spdlog::warn("the grant has ended: all queues go back");
                loseAll();
                continue;
            }
        }
        if (grant_ != 0 && (memberRevision_ == 0 || announced_ != draining_)) {
            const bool listed = co_await enlist(scope);
            if (listed) changed_.notify();
        }
        const bool waiting = grant_ == 0 || memberRevision_ == 0;
        const Duration pause = waiting ? std::min(every, Duration(blindPause)) : every;
        co_await loop_.wait(drained_, loop_.now() + pause, scope);
    }
}

void Members::read(const std::vector<state::Item>& items) {
    const std::string members = settings_.statePrefix + "own/member/";
    const std::string queues = settings_.statePrefix + "own/queue/";
    members_.clear();
    owners_.clear();
    for (const auto& item : items) {
        if (item.key.starts_with(members)) {
            if (auto m = memberOf(item.data)) members_[m->instance] = std::move(*m);
        } else if (item.key.starts_with(queues)) {
            const auto doc = json::parse(item.data);
            const auto by =
                doc && doc->IsObject() ? json::string(*doc, "incarnation") : std::nullopt;
            if (by) owners_[item.key.substr(queues.size())] = {*by, item.revision};
        }
    }
}

Task<void> Members::look(Scope& scope) {
    while (!scope.cancelled()) {
        const auto listing = co_await client_.list(settings_.statePrefix + "own/", scope);
        if (scope.cancelled()) co_return;
        if (listing.verdict != Verdict::ok) {
            co_await loop_.sleep(blindPause, scope);
            continue;
        }
        read(listing.items);
        act(listing.at, scope);
        hooks_.changed();
        co_await loop_.sleep(lookPause, scope);
        const auto verdict = co_await client_.watch(settings_.statePrefix + "own/", listing.at,
                                                    watchPatience, scope);
        if (verdict != Verdict::ok) co_await loop_.wait(changed_, loop_.now() + blindPause, scope);
    }
}

void Members::act(state::Revision at, Scope& scope) {
    for (const auto& [queue, q] : settings_.queues) {
        const auto owner = owners_.find(queue);
        const bool mine = owner != owners_.end() && owner->second.first == incarnation_;
        const auto held = held_.find(queue);
        if (held != held_.end() && (!mine || owner->second.second != held->second.revision)) {
            // A listing may be older than a claim of ours that was answered meanwhile.
            if (at >= held->second.revision) lose(queue);
            continue;
        }
        const Member* wanted = ownerOf(queue, members_);
        const bool wantsMe = wanted != nullptr && wanted->incarnation == incarnation_;
        if (mine && held == held_.end() && !claiming_.contains(queue) &&
            owner->second.second > past_[queue]) {
            // A claim of ours whose answer was lost.
            held_[queue] = {owner->second.second, false};
            hooks_.gained(queue, {queueKey(queue), owner->second.second});
        } else if (owner == owners_.end() && wantsMe && !draining_ && granted() &&
                   claiming_.insert(queue).second) {
            scope.spawn(claim(queue, scope));
        } else if (held != held_.end() && !held->second.yielding &&
                   (draining_ || (wanted != nullptr && !wantsMe))) {
            held->second.yielding = true;
            scope.spawn(giveAway(queue, scope));
        }
    }
}

Task<void> Members::claim(QueueName queue, Scope& scope) {
    const bool may = co_await turnstile_.take(1, scope);
    json::Out out;
    out.open().field("incarnation", incarnation_).field("instance", settings_.instance).close();
    state::Transaction txn;
    // Guarded by the own record too: a member that was taken for dead claims nothing.
    txn.guards = {{queueKey(queue), 0}, {memberKey(), memberRevision_}};
    txn.puts = {{queueKey(queue), out.text(), grant_}};
    state::Committed committed;
    if (may && granted() && memberRevision_ != 0)
        committed = co_await client_.commit(std::move(txn), scope);
    claiming_.erase(queue);
    if (scope.cancelled()) co_return;
    if (committed.verdict == Verdict::ok && granted()) {
        owners_[queue] = {incarnation_, committed.revision};
        held_[queue] = {committed.revision, false};
        spdlog::info("queue {}: held by this instance now", queue);
        hooks_.gained(queue, {queueKey(queue), committed.revision});
        hooks_.changed();
    }
    changed_.notify();
}

Task<void> Members::giveAway(QueueName queue, Scope& scope) {
    const state::Revision revision = held_.at(queue).revision;
    co_await hooks_.yield(queue);
    while (!scope.cancelled()) {
        const auto held = held_.find(queue);
        if (held == held_.end() || held->second.revision != revision) co_return;
        const bool may = co_await turnstile_.take(1, scope);
        if (!may) co_return;
        state::Transaction txn;
        txn.guards = {{queueKey(queue), revision}};
        txn.deletes = {queueKey(queue)};
        const auto committed = co_await client_.commit(std::move(txn), scope);
        if (committed.verdict == Verdict::ok || committed.verdict == Verdict::conflict) break;
        co_await loop_.sleep(blindPause, scope);
    }
    if (scope.cancelled()) co_return;
    spdlog::info("queue {}: given away", queue);
    past_[queue] = revision;
    held_.erase(queue);
    owners_.erase(queue);
    hooks_.changed();
    changed_.notify();
}

void Members::drain() {
    draining_ = true;
    drained_.notify();
}

Task<void> Members::leave(Scope& scope) {
    if (grant_ != 0) co_await client_.drop(grant_, scope);
    grant_ = 0;
}

}  // namespace basaltchute::gateway
