#include "gateway/membership/membership.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;
using kv_store::Status;

namespace {

constexpr Duration refreshInterval = 200ms;  // minimum time between two listings
constexpr Duration watchTimeout = 10s;
constexpr Duration retryDelay = 1s;
constexpr double leaseSafetyFactor =
    0.9;  // share of the lease that is relied on, because clocks drift and writes take time
constexpr Duration keepAliveTimeout = 1s;

std::uint64_t rendezvousWeight(const QueueName& queue, const std::string& instance) {
    const std::string both = queue + '\n' + instance;
    return XXH3_64bits(both.data(), both.size());
}

std::optional<Member> parseMember(const std::string& data) {
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
        const std::uint64_t w = rendezvousWeight(queue, name);
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
std::string Membership::memberRecord() const {
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

void Membership::loseQueue(const QueueName& queue) {
    const auto owned = ownedQueues_.find(queue);
    if (owned == ownedQueues_.end()) return;
    lastOwnedRevisions_[queue] = owned->second.revision;
    ownedQueues_.erase(owned);
    spdlog::warn("queue ownership lost: queue={}", queue);
    hooks_.lost(queue);
}
void Membership::loseAllQueues() {
    leaseId_ = 0;
    memberRevision_ = 0;
    while (!ownedQueues_.empty()) loseQueue(QueueName(ownedQueues_.begin()->first));
    hooks_.changed();
}
void Membership::fenced(const QueueName& queue) {
    loseQueue(queue);
    changed_.notify();
}

Task<bool> Membership::registerMember(Scope& scope) {
    const bool acquired = co_await writeLimiter_.acquire(1, scope);
    if (!acquired) co_return false;
    const bool drainingAtWrite = draining_;
    kv_store::Transaction txn;
    // The record of an earlier run, or of another instance of the same name, may still exist:
    // it must expire first.
    txn.preconditions = {{memberKey(), memberRevision_}};
    txn.puts = {{memberKey(), memberRecord(), leaseId_}};
    const auto committed = co_await client_.commit(std::move(txn), scope);
    if (committed.status == Status::ok) {
        memberRevision_ = committed.revision;
        announcedDraining_ = drainingAtWrite;
        co_return true;
    }
    if (committed.status == Status::conflict) {
        const auto found = co_await client_.get(memberKey(), scope);
        const auto other = found.entry ? parseMember(found.entry->data) : std::nullopt;
        if (other && other->incarnation == incarnation_) {
            // Our own write was applied although its answer was lost.
            memberRevision_ = found.entry->revision;
            announcedDraining_ = other->draining;
            co_return true;
        }
        if (other)
            spdlog::info("member record of another incarnation still exists: instance={}",
                         settings_.instance);
        else
            memberRevision_ = 0;
    }
    co_return false;
}

Task<void> Membership::keepLease(Scope& scope) {
    const Duration every = settings_.leaseTtl / 4;
    while (!scope.cancelled()) {
        if (leaseId_ == 0) {
            const auto lease = co_await client_.grantLease(settings_.leaseTtl, scope);
            if (lease.status == Status::ok) {
                leaseId_ = lease.id;
                leaseValidUntil_ =
                    lease.sentAt + fromSeconds(toSeconds(settings_.leaseTtl) * leaseSafetyFactor);
            }
        } else {
            const auto lease = co_await client_.keepAlive(leaseId_, keepAliveTimeout, scope);
            if (scope.cancelled()) co_return;
            if (lease.status == Status::ok)
                leaseValidUntil_ =
                    lease.sentAt + fromSeconds(toSeconds(settings_.leaseTtl) * leaseSafetyFactor);
            if (lease.status == Status::notFound) {
                spdlog::warn("lease expired, all queues are lost: instance={}", settings_.instance);
                loseAllQueues();
                continue;
            }
        }
        if (leaseId_ != 0 && (memberRevision_ == 0 || announcedDraining_ != draining_)) {
            const bool registered = co_await registerMember(scope);
            if (registered) changed_.notify();
        }
        const bool waiting = leaseId_ == 0 || memberRevision_ == 0;
        const Duration pause = waiting ? std::min(every, Duration(retryDelay)) : every;
        co_await loop_.wait(drained_, loop_.now() + pause, scope);
    }
}

void Membership::parseRecords(const std::vector<kv_store::KeyValue>& items) {
    const std::string members = settings_.statePrefix + "own/member/";
    const std::string queues = settings_.statePrefix + "own/queue/";
    members_.clear();
    owners_.clear();
    for (const auto& item : items) {
        if (item.key.starts_with(members)) {
            if (auto m = parseMember(item.data)) members_[m->instance] = std::move(*m);
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
            co_await loop_.sleep(retryDelay, scope);
            continue;
        }
        parseRecords(listing.entries);
        reconcileOwnership(listing.revision, scope);
        hooks_.changed();
        co_await loop_.sleep(refreshInterval, scope);
        const auto status = co_await client_.watch(settings_.statePrefix + "own/", listing.revision,
                                                   watchTimeout, scope);
        if (status != Status::ok) co_await loop_.wait(changed_, loop_.now() + retryDelay, scope);
    }
}

void Membership::reconcileOwnership(kv_store::Revision at, Scope& scope) {
    for (const auto& [queue, q] : settings_.queues) {
        const auto owner = owners_.find(queue);
        const bool ownedByRecord = owner != owners_.end() && owner->second.first == incarnation_;
        const auto owned = ownedQueues_.find(queue);
        if (owned != ownedQueues_.end() &&
            (!ownedByRecord || owner->second.second != owned->second.revision)) {
            // The listing may be older than a claim that was committed in the meantime.
            if (at >= owned->second.revision) loseQueue(queue);
            continue;
        }
        const Member* wanted = preferredOwner(queue, members_);
        const bool wantsMe = wanted != nullptr && wanted->incarnation == incarnation_;
        if (ownedByRecord && owned == ownedQueues_.end() && !claiming_.contains(queue) &&
            owner->second.second > lastOwnedRevisions_[queue]) {
            // Our claim was committed although its answer was lost.
            ownedQueues_[queue] = {owner->second.second, false};
            hooks_.gained(queue, {queueKey(queue), owner->second.second});
        } else if (owner == owners_.end() && wantsMe && !draining_ && leaseValid() &&
                   claiming_.insert(queue).second) {
            scope.spawn(claimQueue(queue, scope));
        } else if (owned != ownedQueues_.end() && !owned->second.releasing &&
                   (draining_ || (wanted != nullptr && !wantsMe))) {
            owned->second.releasing = true;
            scope.spawn(releaseQueue(queue, scope));
        }
    }
}

Task<void> Membership::claimQueue(QueueName queue, Scope& scope) {
    const bool acquired = co_await writeLimiter_.acquire(1, scope);
    json::Writer out;
    out.open().field("incarnation", incarnation_).field("instance", settings_.instance).close();
    kv_store::Transaction txn;
    // Also requires our member record: a member that is considered dead must not claim queues.
    txn.preconditions = {{queueKey(queue), 0}, {memberKey(), memberRevision_}};
    txn.puts = {{queueKey(queue), out.text(), leaseId_}};
    kv_store::CommitResult committed;
    if (acquired && leaseValid() && memberRevision_ != 0)
        committed = co_await client_.commit(std::move(txn), scope);
    claiming_.erase(queue);
    if (scope.cancelled()) co_return;
    if (committed.status == Status::ok && leaseValid()) {
        owners_[queue] = {incarnation_, committed.revision};
        ownedQueues_[queue] = {committed.revision, false};
        spdlog::info("queue ownership gained: queue={}", queue);
        hooks_.gained(queue, {queueKey(queue), committed.revision});
        hooks_.changed();
    }
    changed_.notify();
}

Task<void> Membership::releaseQueue(QueueName queue, Scope& scope) {
    const kv_store::Revision revision = ownedQueues_.at(queue).revision;
    co_await hooks_.drainQueue(queue);
    while (!scope.cancelled()) {
        const auto owned = ownedQueues_.find(queue);
        if (owned == ownedQueues_.end() || owned->second.revision != revision) co_return;
        const bool acquired = co_await writeLimiter_.acquire(1, scope);
        if (!acquired) co_return;
        kv_store::Transaction txn;
        txn.preconditions = {{queueKey(queue), revision}};
        txn.deletes = {queueKey(queue)};
        const auto committed = co_await client_.commit(std::move(txn), scope);
        if (committed.status == Status::ok || committed.status == Status::conflict) break;
        co_await loop_.sleep(retryDelay, scope);
    }
    if (scope.cancelled()) co_return;
    spdlog::info("queue ownership released: queue={}", queue);
    lastOwnedRevisions_[queue] = revision;
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
