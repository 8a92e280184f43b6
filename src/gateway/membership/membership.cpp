#include "gateway/membership/membership.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;
using kv_store::Status;

namespace {

constexpr Duration lookPause = 200ms;  // between two looks, however much changes
constexpr Duration watchTimeout = 10s;
constexpr Duration blindPause = 1s;
constexpr double safety = 0.9;  // of a grant's life: clocks drift, and writes take time
constexpr Duration touchTimeout = 1s;

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

const Member* preferredOwner(const QueueName& queue, const std::map<std::string, Member>& members) {
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

Membership::Membership(EventLoop& loop, kv_store::Client& client, WriteLimiter& writeLimiter,
                       const Settings& settings, std::string incarnation, Hooks hooks)
    : loop_(loop),
      client_(client),
      writeLimiter_(writeLimiter),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      hooks_(std::move(hooks)),
      changed_(loop),
      drained_(loop) {}

void Membership::start(Scope& scope) {
    scope.spawn(keepLease(scope));
    scope.spawn(refresh(scope));
}

std::string Membership::memberKey() const {
    return settings_.statePrefix + "own/member/" + settings_.instance;
}
std::string Membership::queueKey(const QueueName& queue) const {
    return settings_.statePrefix + "own/queue/" + queue;
}
std::string Membership::record() const {
    json::Writer out;
    out.open().field("instance", settings_.instance).field("incarnation", incarnation_);
    out.field("advertise", settings_.advertise).field("admin", settings_.admin);
    out.field("draining", draining_).key("queues").openArray();
    for (const auto& [name, q] : settings_.queues) out.value(name);
    out.closeArray().close();
    return out.text();
}

bool Membership::leaseValid() const {
    return leaseId_ != 0 && loop_.now() < leaseValidUntil_;
}
bool Membership::holds(const QueueName& queue) const {
    return leaseValid() && ownedQueues_.contains(queue);
}
const Member* Membership::holder(const QueueName& queue) const {
    const auto it = owners_.find(queue);
    if (it == owners_.end()) return nullptr;
    for (const auto& [name, m] : members_)
        if (m.incarnation == it->second.first) return &m;
    return nullptr;
}

void Membership::lose(const QueueName& queue) {
    const auto held = ownedQueues_.find(queue);
    if (held == ownedQueues_.end()) return;
    past_[queue] = held->second.revision;
    ownedQueues_.erase(held);
    spdlog::warn("queue {}: no longer held by this instance", queue);
    hooks_.lost(queue);
}
void Membership::loseAll() {
    leaseId_ = 0;
    memberRevision_ = 0;
    while (!ownedQueues_.empty()) lose(QueueName(ownedQueues_.begin()->first));
    hooks_.changed();
}
void Membership::fenced(const QueueName& queue) {
    lose(queue);
    changed_.notify();
}

Task<bool> Membership::register_(Scope& scope) {
    const bool may = co_await writeLimiter_.acquire(1, scope);
    if (!may) co_return false;
    const bool said = draining_;
    kv_store::Transaction txn;
    // An earlier run of this instance, or another of its name, may still be there: it ends first.
    txn.preconditions = {{memberKey(), memberRevision_}};
    txn.puts = {{memberKey(), record(), leaseId_}};
    const auto committed = co_await client_.commit(std::move(txn), scope);
    if (committed.status == Status::ok) {
        memberRevision_ = committed.revision;
        announced_ = said;
        co_return true;
    }
    if (committed.status == Status::conflict) {
        const auto found = co_await client_.get(memberKey(), scope);
        const auto other = found.entry ? memberOf(found.entry->data) : std::nullopt;
        if (other && other->incarnation == incarnation_) {
            // Our own, applied although its answer was lost.
            memberRevision_ = found.entry->revision;
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

Task<void> Membership::keepLease(Scope& scope) {
    const Duration every = settings_.leaseTtl / 4;
    while (!scope.cancelled()) {
        if (leaseId_ == 0) {
            const auto g = co_await client_.grantLease(settings_.leaseTtl, scope);
            if (g.status == Status::ok) {
                leaseId_ = g.id;
                leaseValidUntil_ = g.sentAt + fromSeconds(toSeconds(settings_.leaseTtl) * safety);
            }
        } else {
            const auto g = co_await client_.keepAlive(leaseId_, touchTimeout, scope);
            if (scope.cancelled()) co_return;
            if (g.status == Status::ok)
                leaseValidUntil_ = g.sentAt + fromSeconds(toSeconds(settings_.leaseTtl) * safety);
            if (g.status == Status::notFound) {
                spdlog::warn("the grant has ended: all queues go back");
                loseAll();
                continue;
            }
        }
        if (leaseId_ != 0 && (memberRevision_ == 0 || announced_ != draining_)) {
            const bool listed = co_await register_(scope);
            if (listed) changed_.notify();
        }
        const bool waiting = leaseId_ == 0 || memberRevision_ == 0;
        const Duration pause = waiting ? std::min(every, Duration(blindPause)) : every;
        co_await loop_.wait(drained_, loop_.now() + pause, scope);
    }
}

void Membership::read(const std::vector<kv_store::KeyValue>& items) {
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

Task<void> Membership::refresh(Scope& scope) {
    while (!scope.cancelled()) {
        const auto listing = co_await client_.list(settings_.statePrefix + "own/", scope);
        if (scope.cancelled()) co_return;
        if (listing.status != Status::ok) {
            co_await loop_.sleep(blindPause, scope);
            continue;
        }
        read(listing.entries);
        act(listing.revision, scope);
        hooks_.changed();
        co_await loop_.sleep(lookPause, scope);
        const auto status = co_await client_.watch(settings_.statePrefix + "own/", listing.revision,
                                                   watchTimeout, scope);
        if (status != Status::ok) co_await loop_.wait(changed_, loop_.now() + blindPause, scope);
    }
}

void Membership::act(kv_store::Revision at, Scope& scope) {
    for (const auto& [queue, q] : settings_.queues) {
        const auto owner = owners_.find(queue);
        const bool mine = owner != owners_.end() && owner->second.first == incarnation_;
        const auto held = ownedQueues_.find(queue);
        if (held != ownedQueues_.end() &&
            (!mine || owner->second.second != held->second.revision)) {
            // A listing may be older than a claim of ours that was answered meanwhile.
            if (at >= held->second.revision) lose(queue);
            continue;
        }
        const Member* wanted = preferredOwner(queue, members_);
        const bool wantsMe = wanted != nullptr && wanted->incarnation == incarnation_;
        if (mine && held == ownedQueues_.end() && !claiming_.contains(queue) &&
            owner->second.second > past_[queue]) {
            // A claim of ours whose answer was lost.
            ownedQueues_[queue] = {owner->second.second, false};
            hooks_.gained(queue, {queueKey(queue), owner->second.second});
        } else if (owner == owners_.end() && wantsMe && !draining_ && leaseValid() &&
                   claiming_.insert(queue).second) {
            scope.spawn(claim(queue, scope));
        } else if (held != ownedQueues_.end() && !held->second.yielding &&
                   (draining_ || (wanted != nullptr && !wantsMe))) {
            held->second.yielding = true;
            scope.spawn(giveAway(queue, scope));
        }
    }
}

Task<void> Membership::claim(QueueName queue, Scope& scope) {
    const bool may = co_await writeLimiter_.acquire(1, scope);
    json::Writer out;
    out.open().field("incarnation", incarnation_).field("instance", settings_.instance).close();
    kv_store::Transaction txn;
    // Guarded by the own record too: a member that was taken for dead claims nothing.
    txn.preconditions = {{queueKey(queue), 0}, {memberKey(), memberRevision_}};
    txn.puts = {{queueKey(queue), out.text(), leaseId_}};
    kv_store::CommitResult committed;
    if (may && leaseValid() && memberRevision_ != 0)
        committed = co_await client_.commit(std::move(txn), scope);
    claiming_.erase(queue);
    if (scope.cancelled()) co_return;
    if (committed.status == Status::ok && leaseValid()) {
        owners_[queue] = {incarnation_, committed.revision};
        ownedQueues_[queue] = {committed.revision, false};
        spdlog::info("queue {}: held by this instance now", queue);
        hooks_.gained(queue, {queueKey(queue), committed.revision});
        hooks_.changed();
    }
    changed_.notify();
}

Task<void> Membership::giveAway(QueueName queue, Scope& scope) {
    const kv_store::Revision revision = ownedQueues_.at(queue).revision;
    co_await hooks_.yield(queue);
    while (!scope.cancelled()) {
        const auto held = ownedQueues_.find(queue);
        if (held == ownedQueues_.end() || held->second.revision != revision) co_return;
        const bool may = co_await writeLimiter_.acquire(1, scope);
        if (!may) co_return;
        kv_store::Transaction txn;
        txn.preconditions = {{queueKey(queue), revision}};
        txn.deletes = {queueKey(queue)};
        const auto committed = co_await client_.commit(std::move(txn), scope);
        if (committed.status == Status::ok || committed.status == Status::conflict) break;
        co_await loop_.sleep(blindPause, scope);
    }
    if (scope.cancelled()) co_return;
    spdlog::info("queue {}: given away", queue);
    past_[queue] = revision;
    ownedQueues_.erase(queue);
    owners_.erase(queue);
    hooks_.changed();
    changed_.notify();
}

void Membership::drain() {
    draining_ = true;
    drained_.notify();
}

Task<void> Membership::leave(Scope& scope) {
    if (leaseId_ != 0) co_await client_.revokeLease(leaseId_, scope);
    leaseId_ = 0;
}

}  // namespace basaltchute::gateway
