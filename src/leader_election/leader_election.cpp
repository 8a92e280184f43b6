#include "leader_election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute {

using namespace std::chrono_literals;
using kv_store::Status;

namespace {
/// Subtracted from the lease's TTL, beside the drift of clocks.
constexpr Duration leaseMargin = 120ms;
constexpr Duration pledgeDuration = 3s;
/// Silence of a node until a leader goes on without its pledge.
constexpr Duration absentAfter = 2s;
/// The same for a node that is about to be elected: whoever led before is silent then, and an
/// outage of the store might come before the next write.
constexpr Duration absentAtElection = 1s;
constexpr Duration campaignRetryDelay = 50ms;
constexpr Duration retryDelay = 200ms;
/// After a record that this version cannot use: only an operator or another node changes that.
constexpr Duration unusableRecordDelay = 1s;
constexpr Duration renewalRetryDelay = 100ms;
constexpr Duration watchTimeout = 10s;

/// The most that two steady clocks drift apart within `span`.
Duration maxClockDrift(Duration span) {
    return span / 1000;
}

const kv_store::KeyValue* findEntry(const kv_store::ListResult& listing, const std::string& key) {
    const auto it = std::find_if(listing.entries.begin(), listing.entries.end(),
                                 [&](const auto& entry) { return entry.key == key; });
    return it == listing.entries.end() ? nullptr : &*it;
}

/// A precondition needs 0 where there is no record.
kv_store::Revision revisionOf(const kv_store::KeyValue* entry) {
    return entry != nullptr ? entry->revision : 0;
}

/// Who took the last token, `self` if nobody ever did; nothing if an older version took it, which
/// does not record who did.
std::optional<std::string> lastElectedNode(const kv_store::KeyValue* counter,
                                           const std::string& self) {
    if (counter == nullptr) return self;
    return election_records::decodeLastElected(counter->data);
}

/// Nothing if the record cannot be read: then nobody may rely on what it says.
std::optional<std::set<std::string>> readAbsentNodes(const kv_store::KeyValue* entry) {
    if (entry == nullptr) return std::set<std::string>{};
    auto nodes = election_records::decodeAbsentNodes(entry->data);
    if (!nodes) spdlog::error("malformed record key={} value={}", entry->key, entry->data);
    return nodes;
}
}  // namespace

LeaderElection::LeaderElection(EventLoop& loop, kv_store::Client& client,
                               const settings::Settings& s, std::string incarnation,
                               LeaderElectionListener& listener, ElectionPeers& peers)
    : loop_(loop),
      client_(client),
      node_(s.node),
      incarnation_(std::move(incarnation)),
      leaseTtl_(leaseTtlFor(s)),
      listener_(listener),
      peers_(peers),
      steppedDown_(loop),
      startedAt_(loop.now()) {
    for (const auto& peer : s.peers) otherNodes_.push_back(peer.name);
}

Duration LeaderElection::leaseTtlFor(const settings::Settings& s) {
    // Short for quick take-over, long enough for a keep-alive that is not answered, by the service
    // and then by a peer, and for another peer after that; and a displaced leader's last answer
    // plus a whole lease of an agent must end before a cancellation's time is up.
    const Duration byLease = s.lease / 6;
    const Duration byCancel = (s.cancelWithin - s.lease) / 4;
    return std::clamp(std::min(byLease, byCancel), Duration(1s), Duration(1200ms));
}

void LeaderElection::extendLease(TimePoint sentAt, Duration ttl) {
    if (resign_) return;
    leaseValidUntil_ = std::max(leaseValidUntil_, sentAt + ttl - maxClockDrift(ttl) - leaseMargin);
}

bool LeaderElection::grantPledge(FencingToken token, Duration duration) {
    // Not while a campaign of this node may already be on its way, and only for the newest leader.
    if (leading_ || campaigning_ || duration > pledgeDuration ||
        (knownLeader_ && knownLeader_->token > token))
        return false;
    pledgedUntil_ = std::max(pledgedUntil_, loop_.now() + duration + maxClockDrift(duration));
    return true;
}

bool LeaderElection::noEarlierPledgeOutstanding() const {
    // A node that has just started remembers no pledge, so it waits as long as one could last.
    // Restarted every second it would wait for ever, and every other node with it: so it goes by
    // evidence where there is some. Only who was elected last can act by pledges, since whoever was
    // elected after that proves an earlier lease to be over. If that was a former process of this
    // node, nobody acts by pledges; another node that says that it does not lead never goes on by
    // the pledges of before.
    if (loop_.now() >= startedAt_ + pledgeDuration + maxClockDrift(pledgeDuration)) return true;
    if (lastElected_) return *lastElected_ == node_ || peers_.isKnownFollower(*lastElected_);
    // An older version was elected, which does not record its node.
    return std::all_of(otherNodes_.begin(), otherNodes_.end(),
                       [&](const auto& node) { return peers_.isKnownFollower(node); });
}

bool LeaderElection::mayCampaign() const {
    return loop_.now() >= pledgedUntil_ && noEarlierPledgeOutstanding();
}

void LeaderElection::observeLeader(const LeaderHint& hint) {
    if (!knownLeader_ || hint.token > knownLeader_->token) knownLeader_ = hint;
    if (leading_ && hint.token > token_) stepDown("a peer leads with a higher token");
}

void LeaderElection::stepDown(const std::string& reason) {
    if (!leading_ || resign_) return;
    spdlog::warn("stepping down token={} reason=\"{}\"", token_, reason);
    leaseValidUntil_ = TimePoint{};
    resign_ = true;
    steppedDown_.notify();
}

void LeaderElection::resignPermanently() {
    retired_ = true;
    stepDown("this node is shutting down");
}

Task<void> LeaderElection::run(Scope& scope) {
    while (!scope.cancelled() && !retired_) {
        co_await follow(scope);
        if (scope.cancelled() || retired_) break;
        const bool elected = co_await campaign(scope);
        if (elected) co_await lead(scope);
    }
}

Task<void> LeaderElection::follow(Scope& scope) {
    while (!scope.cancelled()) {
        // Read as a list, which tells the revision of the whole store. A watch that begins at the
        // key's own revision is refused once the service has forgotten that far back: after 10,000
        // changes every follower asked without a pause, and the service refused the leader's
        // writes.
        const kv_store::ListResult listing = co_await client_.list(election_records::prefix, scope);
        storeReachable_ = listing.status == Status::ok;
        if (listing.status != Status::ok) {
            co_await loop_.sleep(retryDelay, scope);
            continue;
        }
        const auto* leader = findEntry(listing, election_records::leaderKey);
        if (leader == nullptr) {
            lastElected_ =
                lastElectedNode(findEntry(listing, election_records::tokenCounterKey), node_);
            co_return;
        }
        co_await followLeader(*leader, listing.revision, scope);
    }
}

Task<void> LeaderElection::followLeader(const kv_store::KeyValue& leader,
                                        kv_store::Revision listedAt, Scope& scope) {
    const auto record = election_records::decodeLeader(leader.data);
    if (!record) {
        spdlog::error("malformed record key={} value={}", leader.key, leader.data);
        co_await loop_.sleep(unusableRecordDelay, scope);
        co_return;
    }
    knownLeader_ = LeaderHint{record->node, record->token};
    if (record->node == node_) {
        // Held by this node's former process, which is surely gone, or by a campaign whose
        // answer was lost. Either way nobody acts by it: it is given back at once.
        if (record->lease) co_await client_.revokeLease(*record->lease, scope);
        knownLeader_.reset();
        co_return;
    }
    const Status watched =
        co_await client_.watch(election_records::prefix, listedAt, watchTimeout, scope);
    if (watched != Status::ok) co_await loop_.sleep(retryDelay, scope);
}

Task<bool> LeaderElection::campaign(Scope& scope) {
    if (!mayCampaign()) {
        co_await loop_.sleep(campaignRetryDelay, scope);
        co_return false;
    }
    campaigning_ = true;
    const bool elected = co_await tryCampaign(scope);
    campaigning_ = false;
    co_return elected;
}

Task<bool> LeaderElection::tryCampaign(Scope& scope) {
    const std::optional<StoredState> stored = co_await readStoredState(scope);
    if (!stored) co_return false;
    const kv_store::LeaseResult lease = co_await client_.grantLease(leaseTtl_, scope);
    if (lease.status != Status::ok) co_return false;
    const Candidacy candidacy = prepareCandidacy(*stored, lease);
    const kv_store::CommitResult elected = co_await commitCandidacy(candidacy, *stored, scope);
    if (elected.status != Status::ok) {
        // If it is executed yet the key is ours; without the lease it cannot stay.
        co_await client_.revokeLease(lease.id, scope);
        co_return false;
    }
    beginTerm(candidacy, *stored, elected.revision);
    co_return true;
}

Task<std::optional<LeaderElection::StoredState>> LeaderElection::readStoredState(Scope& scope) {
    const kv_store::ListResult listing = co_await client_.list(election_records::prefix, scope);
    if (listing.status != Status::ok || findEntry(listing, election_records::leaderKey) != nullptr)
        co_return std::nullopt;
    const auto* absent = findEntry(listing, election_records::absentNodesKey);
    auto absentNodes = readAbsentNodes(absent);
    if (!absentNodes || absentNodes->contains(node_)) {
        // A leader went on without this node's pledge and may act still. It, or the next one,
        // removes this node from the record once it hears from it.
        co_await loop_.sleep(retryDelay, scope);
        co_return std::nullopt;
    }
    const auto* counterEntry = findEntry(listing, election_records::tokenCounterKey);
    lastElected_ = lastElectedNode(counterEntry, node_);
    // Somebody else may have been elected, and be gone, meanwhile.
    if (!mayCampaign()) co_return std::nullopt;
    const auto counter = readCounter(counterEntry);
    if (!counter) {
        co_await loop_.sleep(unusableRecordDelay, scope);
        co_return std::nullopt;
    }
    co_return StoredState{*counter, std::move(*absentNodes), revisionOf(counterEntry),
                          revisionOf(absent)};
}

std::optional<election_records::TokenCounter> LeaderElection::readCounter(
    const kv_store::KeyValue* entry) {
    if (entry == nullptr) return election_records::TokenCounter{};
    const auto counter = election_records::decodeTokenCounter(entry->data);
    if (!counter) {
        spdlog::error("malformed record key={} value={}", entry->key, entry->data);
        return std::nullopt;
    }
    if (counter->format > newestSupportedFormat) {
        spdlog::error("not campaigning reason=\"unknown stored format\" format={} known={}",
                      counter->format, newestSupportedFormat);
        return std::nullopt;
    }
    return counter;
}

LeaderElection::Candidacy LeaderElection::prepareCandidacy(
    const StoredState& stored, const kv_store::LeaseResult& lease) const {
    Candidacy candidacy;
    candidacy.counter = {stored.counter.token + 1, stored.counter.format};
    candidacy.leader = {node_, incarnation_, candidacy.counter.token, lease.id};
    candidacy.absentNodes = silentMinority(absentAtElection);
    candidacy.absentNodesChanged = candidacy.absentNodes != stored.absentNodes;
    candidacy.leaseRequestedAt = lease.sentAt;
    return candidacy;
}

Task<kv_store::CommitResult> LeaderElection::commitCandidacy(const Candidacy& candidacy,
                                                             const StoredState& stored,
                                                             Scope& scope) {
    const std::string leaderText = encode(candidacy.leader);
    kv_store::Transaction txn;
    // Preconditions on all that was read: a leader that has recorded this node as absent since is
    // not displaced.
    txn.preconditions = {{election_records::leaderKey, 0},
                         {election_records::tokenCounterKey, stored.counterRevision},
                         {election_records::absentNodesKey, stored.absentNodesRevision}};
    txn.puts = {
        {election_records::leaderKey, leaderText, candidacy.leader.lease},
        {election_records::tokenCounterKey, encode(candidacy.counter, node_), std::nullopt}};
    if (candidacy.absentNodesChanged)
        txn.puts.push_back({election_records::absentNodesKey,
                            election_records::encodeAbsentNodes(candidacy.absentNodes),
                            std::nullopt});
    // Not longer than leaves time to find out what became of it.
    kv_store::CommitResult result = co_await client_.commit(std::move(txn), scope, leaseTtl_ / 2);
    if (result.status == Status::conflict || result.status == Status::outcomeUnknown) {
        // Perhaps it was executed and only its answer was lost: then the others know this node
        // as the leader already, and would be refused by it until its lease has ended.
        const auto revision = co_await findOwnLeaderKey(leaderText, scope);
        if (revision) result = {Status::ok, *revision, {}};
    }
    co_return result;
}

Task<std::optional<kv_store::Revision>> LeaderElection::findOwnLeaderKey(std::string record,
                                                                         Scope& scope) {
    const kv_store::GetResult found = co_await client_.get(election_records::leaderKey, scope);
    if (found.status != Status::ok || scope.cancelled()) co_return std::nullopt;
    // Token, lease and process are in it: nobody else's election, and no other one of this node's.
    if (!kv_store::equalAsJson(record, found.entry->data)) co_return std::nullopt;
    co_return found.entry->revision;
}

void LeaderElection::beginTerm(const Candidacy& candidacy, const StoredState& stored,
                               kv_store::Revision revision) {
    token_ = candidacy.counter.token;
    format_ = candidacy.counter.format;
    leaseId_ = candidacy.leader.lease.value_or(0);
    leaderKeyRevision_ = tokenCounterRevision_ = revision;
    absentNodes_ = candidacy.absentNodes;
    writtenAbsentNodes_ = candidacy.absentNodes;
    absentNodesRevision_ = candidacy.absentNodesChanged ? revision : stored.absentNodesRevision;
    recordingAbsentNodes_ = false;
    leaseValidUntil_ = TimePoint{};
    resign_ = false;
    extendLease(candidacy.leaseRequestedAt, leaseTtl_);
}

std::set<std::string> LeaderElection::silentMinority(Duration span) const {
    std::set<std::string> silent = peers_.nodesSilentFor(span);
    // A node that is recorded already stays so until something comes from it.
    for (const auto& node : peers_.nodesSilentFor(absentAtElection))
        if (absentNodes_.contains(node)) silent.insert(node);
    // Most must stay able to campaign; and where most are silent, the silent one is this node.
    if (silent.size() * 2 >= otherNodes_.size() + 1) silent.clear();
    return silent;
}

Task<void> LeaderElection::recordAbsentNodes(std::set<std::string> silent, Scope& scope) {
    const FencingToken term = token_;
    recordingAbsentNodes_ = true;
    // The pledge of a node that leaves the record is needed from now on; that of a node that
    // enters it is needed until the record is durable.
    std::erase_if(absentNodes_, [&](const auto& node) { return !silent.contains(node); });
    kv_store::Transaction txn;
    txn.preconditions = {{election_records::leaderKey, leaderKeyRevision_},
                         {election_records::absentNodesKey, absentNodesRevision_}};
    txn.puts = {{election_records::absentNodesKey, election_records::encodeAbsentNodes(silent),
                 std::nullopt}};
    const kv_store::CommitResult committed = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult present;
    if (committed.status != Status::ok && !scope.cancelled())
        present = co_await client_.get(election_records::absentNodesKey, scope);
    if (token_ != term) co_return;  // another term of this node: it has read for itself
    recordingAbsentNodes_ = false;
    if (committed.status == Status::ok) {
        spdlog::info("absent nodes recorded count={}", silent.size());
        absentNodes_ = silent;
        writtenAbsentNodes_ = std::move(silent);
        absentNodesRevision_ = committed.revision;
        co_return;
    }
    // Whether it was written is not known: written again, with the present revision.
    writtenAbsentNodes_.reset();
    if (present.status == Status::ok) absentNodesRevision_ = present.entry->revision;
    if (present.status == Status::notFound) absentNodesRevision_ = 0;
}

Task<bool> LeaderElection::raiseStoredFormat(unsigned format, Scope& scope) {
    if (format_ >= format) co_return true;
    const FencingToken term = token_;
    kv_store::Transaction txn;
    txn.preconditions = {{election_records::leaderKey, leaderKeyRevision_},
                         {election_records::tokenCounterKey, tokenCounterRevision_}};
    txn.puts = {{election_records::tokenCounterKey,
                 encode(election_records::TokenCounter{term, format}, node_), std::nullopt}};
    const kv_store::CommitResult committed = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult present;
    if (committed.status == Status::conflict && !scope.cancelled())
        present = co_await client_.get(election_records::tokenCounterKey, scope);
    if (token_ != term || scope.cancelled()) co_return false;
    if (committed.status == Status::ok) {
        tokenCounterRevision_ = committed.revision;
        format_ = format;
        spdlog::info("stored format raised format={}", format);
    } else if (present.status == Status::ok) {
        // An earlier try was executed after all, if the record is of this term.
        const auto counter = election_records::decodeTokenCounter(present.entry->data);
        if (counter && counter->token == term) {
            tokenCounterRevision_ = present.entry->revision;
            format_ = counter->format;
        }
    }
    co_return format_ >= format;
}

Task<void> LeaderElection::lead(Scope& scope) {
    leading_ = true;
    knownLeader_ = LeaderHint{node_, token_};
    spdlog::info("leader elected token={}", token_);
    listener_.onElected(token_,
                        kv_store::Precondition{election_records::leaderKey, leaderKeyRevision_});
    co_await keepLeading(scope);
    if (!resign_)
        spdlog::warn("leadership lost token={} reason=\"lease could not be renewed\"", token_);
    leaseValidUntil_ = TimePoint{};
    leading_ = false;
    knownLeader_.reset();
    co_await listener_.onLeadershipLost();
    co_await client_.revokeLease(leaseId_, scope);
}

Task<void> LeaderElection::keepLeading(Scope& scope) {
    const auto ended = [&] {
        return scope.cancelled() || resign_ || loop_.now() >= leaseValidUntil_;
    };
    Duration pause = leaseTtl_ / 6;
    while (!ended()) {
        co_await loop_.wait(steppedDown_, std::min(loop_.now() + pause, leaseValidUntil_), scope);
        if (ended()) break;
        const Status renewed = co_await renewLease(scope);
        pause = renewed == Status::ok ? leaseTtl_ / 6 : renewalRetryDelay;
    }
}

Task<Status> LeaderElection::renewLease(Scope& scope) {
    const kv_store::LeaseResult renewed =
        co_await client_.keepAlive(leaseId_, leaseTtl_ / 4, scope);
    storeReachable_ = renewed.status == Status::ok;
    if (renewed.status == Status::ok) {
        extendLease(renewed.sentAt, leaseTtl_);
        auto silent = silentMinority(absentAfter);
        if (!recordingAbsentNodes_ && writtenAbsentNodes_ != silent)
            scope.spawn(recordAbsentNodes(std::move(silent), scope));
    } else if (renewed.status == Status::notFound) {
        stepDown("the lease has ended in the store");
    } else {
        co_await extendLeaseByPledges();
    }
    co_return renewed.status;
}

Task<void> LeaderElection::extendLeaseByPledges() {
    // No node reaches the store. While every other one pledges not to campaign, nobody can lead
    // but this one: the agents' leases live on through the outage.
    const TimePoint askedAt = loop_.now();
    const bool unanimous = co_await peers_.requestPledges(token_, pledgeDuration, absentNodes_);
    // A lease that has lapsed stays lapsed: others may have been told so meanwhile.
    if (unanimous && loop_.now() < leaseValidUntil_) extendLease(askedAt, pledgeDuration);
}

}  // namespace basaltchute
