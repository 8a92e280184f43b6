#include "leader_election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute {

using namespace std::chrono_literals;
using kv_store::Status;

namespace {
const std::string prefix = "lead/";
const std::string holderKey = "lead/holder";
const std::string tokenKey = "lead/token";
const std::string absentKey = "lead/absent";
constexpr Duration margin = 120ms;
constexpr Duration pledgeHold = 3s;
/// Of a node, until a leader goes on without its pledge; and of one that is about to be elected:
/// whoever led before is silent then, and an outage might come before the next write.
constexpr Duration absentAfter = 2s, absentAtElection = 1s;

const kv_store::KeyValue* itemAt(const kv_store::ListResult& all, const std::string& key) {
    const auto it = std::find_if(all.entries.begin(), all.entries.end(),
                                 [&](const auto& i) { return i.key == key; });
    return it == all.entries.end() ? nullptr : &*it;
}

/// Who took the last token, `self` if nobody ever did; nothing if an older version took it, which
/// does not say so.
std::optional<std::string> electedBy(const kv_store::KeyValue* counter, const std::string& self) {
    if (counter == nullptr) return self;
    const auto doc = json::parse(counter->data);
    return doc ? json::string(*doc, "node") : std::nullopt;
}

struct Counter {
    FencingToken token = 0;
    unsigned format = 1;
};
/// From format 2 on the last token has another name, so that versions that would lose what is
/// stored call the counter malformed, and do not campaign.
std::optional<Counter> counterIn(const kv_store::KeyValue& item) {
    const auto doc = json::parse(item.data);
    if (!doc || !doc->IsObject()) return std::nullopt;
    const auto format = json::count(*doc, "format").value_or(1);
    const auto token = json::count(*doc, format > 1 ? "last" : "token");
    if (!token) return std::nullopt;
    return Counter{*token, static_cast<unsigned>(format)};
}
std::string counterText(const Counter& c, const std::string& node) {
    json::Out out;
    out.open().field(c.format > 1 ? "last" : "token", c.token).field("node", node);
    if (c.format > 1) out.field("format", c.format);
    out.close();
    return out.text();
}

std::string absentText(const std::set<std::string>& nodes) {
    json::Out out;
    out.open().key("nodes").openArray();
    for (const auto& n : nodes) out.value(n);
    out.closeArray().close();
    return out.text();
}
/// Nothing if it cannot be read: then nobody may rely on what it says.
std::optional<std::set<std::string>> absentIn(const kv_store::KeyValue* item) {
    if (item == nullptr) return std::set<std::string>{};
    const auto doc = json::parse(item->data);
    const auto* nodes = doc && doc->IsObject() ? json::array(*doc, "nodes") : nullptr;
    if (nodes == nullptr) {
        spdlog::error("the record of absent nodes is malformed: {}", item->data);
        return std::nullopt;
    }
    std::set<std::string> out;
    for (const auto& n : nodes->GetArray())
        if (n.IsString()) out.insert(n.GetString());
    return out;
}
}  // namespace

LeaderElection::LeaderElection(EventLoop& loop, kv_store::Client& client,
                               const settings::Settings& s, std::string incarnation, Hooks hooks)
    : loop_(loop),
      client_(client),
      node_(s.node),
      incarnation_(std::move(incarnation)),
      leaseTtl_(leaseTtlFor(s)),
      hooks_(std::move(hooks)),
      changed_(loop),
      startedAt_(loop.now()) {
    for (const auto& p : s.peers) otherNodes_.push_back(p.name);
}

Duration LeaderElection::leaseTtlFor(const settings::Settings& s) {
    // Short for quick take-over, long enough for a touch that is not answered, by the service and
    // then by a peer, and for another peer after that; and a displaced leader's last answer plus a
    // whole lease must end before a cancellation's time is up.
    const Duration byLease = s.lease / 6;
    const Duration byCancel = (s.cancelWithin - s.lease) / 4;
    return std::clamp(std::min(byLease, byCancel), Duration(1s), Duration(1200ms));
}

void LeaderElection::extendLease(TimePoint sentAt, Duration life) {
    if (resign_) return;
    leaseValidUntil_ = std::max(leaseValidUntil_, sentAt + life - life / 1000 - margin);
}

bool LeaderElection::acceptPledge(FencingToken token, Duration hold) {
    // Not while a campaign of this node may already be on its way, and only for the newest leader.
    if (leading_ || campaigning_ || hold > pledgeHold ||
        (knownLeader_ && knownLeader_->token > token))
        return false;
    pledgedUntil_ = std::max(pledgedUntil_, loop_.now() + hold + hold / 1000);
    return true;
}

bool LeaderElection::noEarlierPledgeOutstanding() const {
    // A node that has just started remembers no pledge, so it waits as long as one could last.
    // Ended again each second it would wait for ever, and with it everyone: so it goes by evidence
    // where there is some. Only who was elected last can act by pledges, since whoever was elected
    // after that proves an earlier right to be over. If that was a former process of this node,
    // nobody does; another one that says that it does not lead never goes on by the pledges of
    // before.
    if (loop_.now() >= startedAt_ + pledgeHold + pledgeHold / 1000) return true;
    if (lastElected_) return *lastElected_ == node_ || hooks_.isKnownFollower(*lastElected_);
    return std::all_of(otherNodes_.begin(), otherNodes_.end(),
                       hooks_.isKnownFollower);  // by an older version
}

bool LeaderElection::mayCampaign() const {
    return loop_.now() >= pledgedUntil_ && noEarlierPledgeOutstanding();
}

void LeaderElection::onLeaderHeard(const LeaderHint& hint) {
    if (!knownLeader_ || hint.token > knownLeader_->token) knownLeader_ = hint;
    if (leading_ && hint.token > token_) stepDown("a peer leads with a higher token");
}

void LeaderElection::stepDown(const std::string& why) {
    if (!leading_ || resign_) return;
    spdlog::warn("stepping down from token {}: {}", token_, why);
    leaseValidUntil_ = TimePoint{};
    resign_ = true;
    changed_.notify();
}

void LeaderElection::resignForGood() {
    retired_ = true;
    stepDown("this node is ending");
}

Task<void> LeaderElection::run(Scope& scope) {
    while (!scope.cancelled() && !retired_) {
        co_await follow(scope);
        if (scope.cancelled() || retired_) break;
        const bool won = co_await campaign(scope);
        if (won) co_await lead(scope);
    }
}

Task<void> LeaderElection::follow(Scope& scope) {
    while (!scope.cancelled()) {
        // Read as a list, which tells the revision of the whole store. A watch that begins at the
        // key's own is refused once the service has forgotten that far back: after 10,000 changes
        // every follower asked without a pause, and the service refused the leader's writes.
        const kv_store::ListResult found = co_await client_.list(prefix, scope);
        storeReachable_ = found.status == Status::ok;
        if (found.status != Status::ok) {
            co_await loop_.sleep(200ms, scope);
            continue;
        }
        const kv_store::KeyValue* held = itemAt(found, holderKey);
        if (held == nullptr) {
            lastElected_ = electedBy(itemAt(found, tokenKey), node_);
            co_return;
        }
        const auto doc = json::parse(held->data);
        const auto node = doc ? json::string(*doc, "node") : std::nullopt;
        const auto token = doc ? json::count(*doc, "token") : std::nullopt;
        if (!node || !token) {
            spdlog::error("the leader's key is malformed: {}", held->data);
            co_await loop_.sleep(1s, scope);
            continue;
        }
        knownLeader_ = LeaderHint{*node, *token};
        if (*node == node_) {
            // Held by this node's former process, which is surely gone, or by a campaign whose
            // answer was lost. Either way nobody acts by it: give it back at once.
            const auto grant = json::count(*doc, "grant");
            if (grant) co_await client_.revokeLease(*grant, scope);
            knownLeader_.reset();
            continue;
        }
        const Status watched = co_await client_.watch(prefix, found.at, 10s, scope);
        if (watched != Status::ok) co_await loop_.sleep(200ms, scope);
    }
}

Task<bool> LeaderElection::campaign(Scope& scope) {
    if (!mayCampaign()) {
        co_await loop_.sleep(50ms, scope);
        co_return false;
    }
    campaigning_ = true;
    const bool won = co_await tryCampaign(scope);
    campaigning_ = false;
    co_return won;
}

Task<bool> LeaderElection::tryCampaign(Scope& scope) {
    const kv_store::ListResult all = co_await client_.list(prefix, scope);
    if (all.status != Status::ok || itemAt(all, holderKey) != nullptr) co_return false;
    const kv_store::KeyValue* absent = itemAt(all, absentKey);
    const auto listed = absentIn(absent);
    if (!listed || listed->contains(node_)) {
        // A leader went on without this node's pledge and may act still. It, or the next one,
        // strikes this node off once it hears it.
        co_await loop_.sleep(200ms, scope);
        co_return false;
    }
    const kv_store::KeyValue* last = itemAt(all, tokenKey);
    lastElected_ = electedBy(last, node_);
    if (!mayCampaign()) co_return false;  // somebody else was elected, and is gone, meanwhile
    Counter counter;
    if (last != nullptr) {
        const auto used = counterIn(*last);
        if (!used || used->format > knownFormat) {
            if (!used)
                spdlog::error("the token counter is malformed: {}", last->data);
            else
                spdlog::error(
                    "the stored state is of format {}, and this version knows {}: it follows only",
                    used->format, knownFormat);
            co_await loop_.sleep(1s, scope);
            co_return false;
        }
        counter = *used;
    }
    ++counter.token;
    const kv_store::LeaseResult grant = co_await client_.grantLease(leaseTtl_, scope);
    if (grant.status != Status::ok) co_return false;
    json::Out holder;
    holder.open().field("node", node_).field("incarnation", incarnation_);
    holder.field("token", counter.token).field("grant", grant.id).close();
    kv_store::Transaction txn;
    // Guarded by what was read: a leader that has listed this node since is not displaced.
    txn.preconditions = {{holderKey, 0},
                         {tokenKey, last != nullptr ? last->revision : 0},
                         {absentKey, absent != nullptr ? absent->revision : 0}};
    txn.puts = {{holderKey, holder.text(), grant.id},
                {tokenKey, counterText(counter, node_), std::nullopt}};
    const auto silent = silentMinority(absentAtElection);
    const bool relist = silent != *listed;
    if (relist) txn.puts.push_back({absentKey, absentText(silent), std::nullopt});
    // Not longer than leaves time to find out what became of it.
    kv_store::CommitResult won = co_await client_.commit(std::move(txn), scope, leaseTtl_ / 2);
    if (won.status == Status::conflict || won.status == Status::outcomeUnknown) {
        // Perhaps it was carried out and only its answer was lost: then the others know this node
        // as the leader already, and would be refused by it until its grant has ended.
        const auto stands = co_await findOwnLeaderKey(holder.text(), scope);
        if (stands) won = {Status::ok, *stands, {}};
    }
    if (won.status != Status::ok) {
        // If it is carried out yet the key is ours; without the grant it cannot stay.
        co_await client_.revokeLease(grant.id, scope);
        co_return false;
    }
    token_ = counter.token;
    format_ = counter.format;
    leaseId_ = grant.id;
    leaderKeyRevision_ = tokenCounterRevision_ = won.revision;
    absentNodes_ = silent;
    writtenAbsent_ = silent;
    absentNodesRevision_ = relist ? won.revision : absent != nullptr ? absent->revision : 0;
    recordingAbsent_ = false;
    leaseValidUntil_ = TimePoint{};
    resign_ = false;
    extendLease(grant.sentAt, leaseTtl_);
    co_return true;
}

Task<std::optional<kv_store::Revision>> LeaderElection::findOwnLeaderKey(std::string holder,
                                                                         Scope& scope) {
    const kv_store::GetResult found = co_await client_.get(holderKey, scope);
    if (found.status != Status::ok || scope.cancelled()) co_return std::nullopt;
    // Token, grant and process are in it: nobody else's election, and no other one of this node's.
    const auto mine = json::parse(holder), there = json::parse(found.entry->data);
    if (!mine || !there || *mine != *there) co_return std::nullopt;
    co_return found.entry->revision;
}

std::set<std::string> LeaderElection::silentMinority(Duration span) const {
    // Most must stay able to campaign; and where most are silent, the silent one is this node.
    std::set<std::string> silent = hooks_.silentNodes(span);
    // Who is listed already stays so until it speaks.
    for (const auto& n : hooks_.silentNodes(absentAtElection))
        if (absentNodes_.contains(n)) silent.insert(n);
    if (silent.size() * 2 >= otherNodes_.size() + 1) silent.clear();
    return silent;
}

Task<void> LeaderElection::recordAbsent(std::set<std::string> silent, Scope& scope) {
    const FencingToken mine = token_;
    recordingAbsent_ = true;
    // Whoever is struck off is relied on from now on; whoever is added, once that stands.
    std::erase_if(absentNodes_, [&](const auto& n) { return !silent.contains(n); });
    kv_store::Transaction txn;
    txn.preconditions = {{holderKey, leaderKeyRevision_}, {absentKey, absentNodesRevision_}};
    txn.puts = {{absentKey, absentText(silent), std::nullopt}};
    const kv_store::CommitResult done = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult now;
    if (done.status != Status::ok && !scope.cancelled())
        now = co_await client_.get(absentKey, scope);
    if (token_ != mine) co_return;  // another term of this node: it has read for itself
    recordingAbsent_ = false;
    if (done.status == Status::ok) {
        spdlog::info("absent nodes on record: {}", silent.size());
        absentNodes_ = silent;
        writtenAbsent_ = std::move(silent);
        absentNodesRevision_ = done.revision;
        co_return;
    }
    // Whether it stands is not known: written again, by the revision that is there now.
    writtenAbsent_.reset();
    if (now.status == Status::ok) absentNodesRevision_ = now.entry->revision;
    if (now.status == Status::notFound) absentNodesRevision_ = 0;
}

Task<bool> LeaderElection::raiseFormat(unsigned format, Scope& scope) {
    if (format_ >= format) co_return true;
    const FencingToken mine = token_;
    kv_store::Transaction txn;
    txn.preconditions = {{holderKey, leaderKeyRevision_}, {tokenKey, tokenCounterRevision_}};
    txn.puts = {{tokenKey, counterText({mine, format}, node_), std::nullopt}};
    const kv_store::CommitResult done = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult now;
    if (done.status == Status::conflict && !scope.cancelled())
        now = co_await client_.get(tokenKey, scope);
    if (token_ != mine || scope.cancelled()) co_return false;
    if (done.status == Status::ok) {
        tokenCounterRevision_ = done.revision;
        format_ = format;
        spdlog::info("the stored state is of format {} from now on", format);
    } else if (now.status == Status::ok) {
        // An earlier try of this leader's stood after all, if it is this one's.
        const auto counter = counterIn(*now.entry);
        if (counter && counter->token == mine) {
            tokenCounterRevision_ = now.entry->revision;
            format_ = counter->format;
        }
    }
    co_return format_ >= format;
}

Task<void> LeaderElection::lead(Scope& scope) {
    leading_ = true;
    knownLeader_ = LeaderHint{node_, token_};
    spdlog::info("leading with token {}", token_);
    hooks_.elected(token_, kv_store::Precondition{holderKey, leaderKeyRevision_});
    Duration pause = leaseTtl_ / 6;
    while (!scope.cancelled() && !resign_ && loop_.now() < leaseValidUntil_) {
        co_await loop_.wait(changed_, std::min(loop_.now() + pause, leaseValidUntil_), scope);
        if (resign_ || scope.cancelled() || loop_.now() >= leaseValidUntil_) break;
        const kv_store::LeaseResult touched =
            co_await client_.keepAlive(leaseId_, leaseTtl_ / 4, scope);
        storeReachable_ = touched.status == Status::ok;
        if (touched.status == Status::ok) {
            extendLease(touched.sentAt, leaseTtl_);
            auto silent = silentMinority(absentAfter);
            if (!recordingAbsent_ && writtenAbsent_ != silent)
                scope.spawn(recordAbsent(std::move(silent), scope));
        } else if (touched.status != Status::notFound) {
            // No node reaches the state service. While every other one pledges not to campaign,
            // nobody can lead but this one: the workers' leases live on through the outage.
            const TimePoint askedAt = loop_.now();
            const bool all = co_await hooks_.pledgeAll(token_, pledgeHold, absentNodes_);
            // A right that has lapsed stays lapsed: others may have been told so meanwhile.
            if (all && loop_.now() < leaseValidUntil_) extendLease(askedAt, pledgeHold);
        }
        if (touched.status == Status::notFound) stepDown("the grant has ended");
        pause = touched.status == Status::ok ? leaseTtl_ / 6 : Duration(100ms);
    }
    if (!resign_) spdlog::warn("the right to act ended: the grant could not be renewed");
    leaseValidUntil_ = TimePoint{};
    leading_ = false;
    knownLeader_.reset();
    co_await hooks_.deposed();
    co_await client_.revokeLease(leaseId_, scope);
}

}  // namespace basaltchute
