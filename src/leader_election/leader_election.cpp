#include "leader_election/leader_election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace basaltchute {

using namespace std::chrono_literals;
using kv_store::Status;

namespace {
/// Subtracted from the lease's TTL in addition to the allowance for clock drift.
constexpr Duration leaseSafetyMargin = 120ms;
constexpr Duration pledgeDuration = 3s;
/// After this long without a message from a node, the leader records it as absent.
constexpr Duration absentAfter = 2s;
/// The same at an election. Shorter, because the former leader is usually silent then, and the
/// store may become unreachable before the next write.
constexpr Duration absentAtElection = 1s;
constexpr Duration campaignRetryDelay = 50ms;
constexpr Duration retryDelay = 200ms;
/// Delay after reading a record that this version cannot use; only an operator or another node can
/// change that.
constexpr Duration unusableRecordDelay = 1s;
constexpr Duration renewalRetryDelay = 100ms;
constexpr Duration watchTimeout = 10s;

/// The most that the steady clocks of two nodes drift apart within `span`.
Duration maxClockDrift(Duration span) {
    return span / 1000;
}

const kv_store::KeyValue* findEntry(const kv_store::ListResult& listing, const std::string& key) {
    const auto it = std::find_if(listing.entries.begin(), listing.entries.end(),
                                 [&](const auto& entry) { return entry.key == key; });
    return it == listing.entries.end() ? nullptr : &*it;
}

/// The revision for a precondition: 0 if there is no record.
kv_store::Revision revisionOf(const kv_store::KeyValue* entry) {
    return entry != nullptr ? entry->revision : 0;
}

/// The node that took the last token; `self` if no token was ever taken; empty if an older version
/// took it, which does not record the node.
std::optional<std::string> lastElectedNode(const kv_store::KeyValue* counter,
                                           const std::string& self) {
    if (counter == nullptr) return self;
    return election_records::decodeLastElected(counter->data);
}

/// Empty, with an error in the log, if the record is malformed: then nobody may rely on it.
std::optional<std::set<std::string>> readAbsentNodes(const kv_store::KeyValue* entry) {
    if (entry == nullptr) return std::set<std::string>{};
    auto nodes = election_records::decodeAbsentNodes(entry->data);
    if (!nodes) spdlog::error("malformed record: key={} value={}", entry->key, entry->data);
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
      stepDownEvent_(loop),
      startedAt_(loop.now()) {
    for (const auto& peer : s.peers) otherNodes_.push_back(peer.name);
}

Duration LeaderElection::leaseTtlFor(const settings::Settings& s) {
    // Short, so that another node takes over quickly. Long enough for one keep-alive to remain
    // unanswered by the service and then by a peer, and for a second peer to be tried. And an
    // agent's whole lease, renewed by the last answer of a displaced leader, must end within
    // `cancelWithin`.
    const Duration byAgentLease = s.lease / 6;
    const Duration byCancellation = (s.cancelWithin - s.lease) / 4;
    return std::clamp(std::min(byAgentLease, byCancellation), Duration(1s), Duration(1200ms));
}

void LeaderElection::extendLease(TimePoint sentAt, Duration ttl) {
    if (stepDownRequested_) return;
    leaseValidUntil_ =
        std::max(leaseValidUntil_, sentAt + ttl - maxClockDrift(ttl) - leaseSafetyMargin);
}

bool LeaderElection::grantPledge(FencingToken token, Duration duration) {
    // No pledge while a campaign of this node may already be under way, nor for a leader that is
    // not the newest known one.
    if (leading_ || campaigning_ || duration > pledgeDuration ||
        (knownLeader_ && knownLeader_->token > token))
        return false;
    pledgedUntil_ = std::max(pledgedUntil_, loop_.now() + duration + maxClockDrift(duration));
    return true;
}

bool LeaderElection::noEarlierPledgeOutstanding() const {
    // A node that has just started does not know the pledges of its former process, so it waits for
    // as long as a pledge can last. But a node that restarted every second would wait forever, and
    // all other nodes with it, so this node does not wait if there is evidence that no pledge is
    // relied on. Only the node that was elected last can rely on pledges, since a later election
    // proves that every earlier lease is over. If a former process of this node was elected last,
    // no node relies on pledges. If another node was, and it has said that it does not lead, it
    // never again relies on the earlier pledges.
    if (loop_.now() >= startedAt_ + pledgeDuration + maxClockDrift(pledgeDuration)) return true;
    if (lastElected_) return *lastElected_ == node_ || peers_.isKnownFollower(*lastElected_);
    // A node of an older version was elected, and that version does not record the node.
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
    if (!leading_ || stepDownRequested_) return;
    spdlog::warn("stepping down: token={} reason=\"{}\"", token_, reason);
    leaseValidUntil_ = TimePoint{};
    stepDownRequested_ = true;
    stepDownEvent_.notify();
}

void LeaderElection::resignPermanently() {
    resignedPermanently_ = true;
    stepDown("this node is shutting down");
}

Task<void> LeaderElection::run(Scope& scope) {
    while (!scope.cancelled() && !resignedPermanently_) {
        co_await follow(scope);
        if (scope.cancelled() || resignedPermanently_) break;
        const bool elected = co_await campaign(scope);
        if (elected) co_await lead(scope);
    }
}

Task<void> LeaderElection::follow(Scope& scope) {
    while (!scope.cancelled()) {
        // Read as a list, because a list has the revision of the whole store. The service refuses a
        // watch that begins at a revision it no longer keeps: when watches began at the leader
        // key's own revision, after 10,000 changes every follower repeated them without a pause,
        // and the service refused the leader's writes.
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
                                        kv_store::Revision listRevision, Scope& scope) {
    const auto record = election_records::decodeLeader(leader.data);
    if (!record) {
        spdlog::error("malformed record: key={} value={}", leader.key, leader.data);
        co_await loop_.sleep(unusableRecordDelay, scope);
        co_return;
    }
    knownLeader_ = LeaderHint{record->node, record->token};
    if (record->node == node_) {
        // The key was written by a former process of this node, which no longer exists, or by a
        // campaign whose response was lost. Either way no process leads by it, so its lease is
        // revoked at once.
        if (record->lease) co_await client_.revokeLease(*record->lease, scope);
        knownLeader_.reset();
        co_return;
    }
    const Status watched =
        co_await client_.watch(election_records::prefix, listRevision, watchTimeout, scope);
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
    const std::optional<StoredRecords> stored = co_await readStoredRecords(scope);
    if (!stored) co_return false;
    const kv_store::LeaseResult lease = co_await client_.grantLease(leaseTtl_, scope);
    if (lease.status != Status::ok) co_return false;
    const Candidacy candidacy = prepareCandidacy(*stored, lease);
    const kv_store::CommitResult elected = co_await commitCandidacy(candidacy, *stored, scope);
    if (elected.status != Status::ok) {
        // The transaction may still be executed; the leader key is then deleted with the lease.
        co_await client_.revokeLease(lease.id, scope);
        co_return false;
    }
    beginTerm(candidacy, *stored, elected.revision);
    co_return true;
}

Task<std::optional<LeaderElection::StoredRecords>> LeaderElection::readStoredRecords(Scope& scope) {
    const kv_store::ListResult listing = co_await client_.list(election_records::prefix, scope);
    if (listing.status != Status::ok || findEntry(listing, election_records::leaderKey) != nullptr)
        co_return std::nullopt;
    const auto* absentEntry = findEntry(listing, election_records::absentNodesKey);
    auto absentNodes = readAbsentNodes(absentEntry);
    if (!absentNodes || absentNodes->contains(node_)) {
        // A leader needed no pledge of this node and may still be leading. That leader, or a later
        // one, removes this node from the record once it has heard from it.
        co_await loop_.sleep(retryDelay, scope);
        co_return std::nullopt;
    }
    const auto* counterEntry = findEntry(listing, election_records::tokenCounterKey);
    lastElected_ = lastElectedNode(counterEntry, node_);
    // Another node may have been elected, and have lost the leadership, since the last check.
    if (!mayCampaign()) co_return std::nullopt;
    const auto counter = readCounter(counterEntry);
    if (!counter) {
        co_await loop_.sleep(unusableRecordDelay, scope);
        co_return std::nullopt;
    }
    co_return StoredRecords{*counter, std::move(*absentNodes), revisionOf(counterEntry),
                            revisionOf(absentEntry)};
}

std::optional<election_records::TokenCounter> LeaderElection::readCounter(
    const kv_store::KeyValue* entry) {
    if (entry == nullptr) return election_records::TokenCounter{};
    const auto counter = election_records::decodeTokenCounter(entry->data);
    if (!counter) {
        spdlog::error("malformed record: key={} value={}", entry->key, entry->data);
        return std::nullopt;
    }
    if (counter->format > newestSupportedFormat) {
        spdlog::error("not campaigning, stored format is too new: format={} newest_supported={}",
                      counter->format, newestSupportedFormat);
        return std::nullopt;
    }
    return counter;
}

LeaderElection::Candidacy LeaderElection::prepareCandidacy(
    const StoredRecords& stored, const kv_store::LeaseResult& lease) const {
    Candidacy candidacy;
    const FencingToken firstToken = stored.counter.token + 1;
    candidacy.counter = {lastTokenOfTerm(firstToken), stored.counter.format};
    candidacy.leader = {node_, incarnation_, firstToken, lease.id};
    candidacy.absentNodes = silentMinority(absentAtElection);
    candidacy.absentNodesChanged = candidacy.absentNodes != stored.absentNodes;
    candidacy.leaseRequestedAt = lease.sentAt;
    return candidacy;
}

Task<kv_store::CommitResult> LeaderElection::commitCandidacy(const Candidacy& candidacy,
                                                             const StoredRecords& stored,
                                                             Scope& scope) {
    const std::string leaderText = encode(candidacy.leader);
    kv_store::Transaction txn;
    // All records that were read are preconditions. So the campaign fails if a leader has recorded
    // this node as absent since.
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
    // The timeout leaves time to find out whether the transaction was executed.
    kv_store::CommitResult result = co_await client_.commit(std::move(txn), scope, leaseTtl_ / 2);
    if (result.status == Status::conflict || result.status == Status::outcomeUnknown) {
        // Perhaps the transaction was executed and only its response was lost. The other nodes then
        // already take this node for the leader, but it would refuse their requests until its lease
        // ends.
        const auto revision = co_await findOwnLeaderKey(leaderText, scope);
        if (revision) result = {Status::ok, *revision, {}};
    }
    co_return result;
}

Task<std::optional<kv_store::Revision>> LeaderElection::findOwnLeaderKey(std::string record,
                                                                         Scope& scope) {
    const kv_store::GetResult found = co_await client_.get(election_records::leaderKey, scope);
    if (found.status != Status::ok || scope.cancelled()) co_return std::nullopt;
    // The record contains the token, the lease and the incarnation, so an equal record belongs to
    // this very election.
    if (!kv_store::equalAsJson(record, found.entry->data)) co_return std::nullopt;
    co_return found.entry->revision;
}

void LeaderElection::beginTerm(const Candidacy& candidacy, const StoredRecords& stored,
                               kv_store::Revision revision) {
    token_ = candidacy.leader.token;
    storedFormat_ = candidacy.counter.format;
    leaseId_ = candidacy.leader.lease.value_or(0);
    leaderKeyRevision_ = tokenCounterRevision_ = revision;
    absentNodes_ = candidacy.absentNodes;
    writtenAbsentNodes_ = candidacy.absentNodes;
    absentNodesRevision_ = candidacy.absentNodesChanged ? revision : stored.absentNodesRevision;
    recordingAbsentNodes_ = false;
    leaseValidUntil_ = TimePoint{};
    stepDownRequested_ = false;
    extendLease(candidacy.leaseRequestedAt, leaseTtl_);
}

std::set<std::string> LeaderElection::silentMinority(Duration span) const {
    std::set<std::string> silent = peers_.nodesSilentFor(span);
    // A node that is already recorded as absent stays so until a message arrives from it.
    for (const auto& node : peers_.nodesSilentFor(absentAtElection))
        if (absentNodes_.contains(node)) silent.insert(node);
    // A majority must remain able to campaign. And if half of the nodes or more are silent, it is
    // more likely that this node is cut off.
    if (silent.size() * 2 >= otherNodes_.size() + 1) silent.clear();
    return silent;
}

Task<void> LeaderElection::recordAbsentNodes(std::set<std::string> silent, Scope& scope) {
    const FencingToken termToken = token_;
    recordingAbsentNodes_ = true;
    // From now on the pledges of nodes that are removed from the record are needed again. The
    // pledges of nodes that are added to it are needed until the record is durable.
    std::erase_if(absentNodes_, [&](const auto& node) { return !silent.contains(node); });
    kv_store::Transaction txn;
    txn.preconditions = {{election_records::leaderKey, leaderKeyRevision_},
                         {election_records::absentNodesKey, absentNodesRevision_}};
    txn.puts = {{election_records::absentNodesKey, election_records::encodeAbsentNodes(silent),
                 std::nullopt}};
    const kv_store::CommitResult committed = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult current;
    if (committed.status != Status::ok && !scope.cancelled())
        current = co_await client_.get(election_records::absentNodesKey, scope);
    if (token_ != termToken) co_return;  // a later term of this node, which has read the record
    recordingAbsentNodes_ = false;
    if (committed.status == Status::ok) {
        spdlog::info("absent nodes recorded: count={}", silent.size());
        absentNodes_ = silent;
        writtenAbsentNodes_ = std::move(silent);
        absentNodesRevision_ = committed.revision;
        co_return;
    }
    // It is unknown whether the record was written: write it again, with its current revision.
    writtenAbsentNodes_.reset();
    if (current.status == Status::ok) absentNodesRevision_ = current.entry->revision;
    if (current.status == Status::notFound) absentNodesRevision_ = 0;
}

Task<bool> LeaderElection::raiseStoredFormat(unsigned format, Scope& scope) {
    if (storedFormat_ >= format) co_return true;
    const FencingToken termToken = token_;
    kv_store::Transaction txn;
    txn.preconditions = {{election_records::leaderKey, leaderKeyRevision_},
                         {election_records::tokenCounterKey, tokenCounterRevision_}};
    txn.puts = {{election_records::tokenCounterKey,
                 encode(election_records::TokenCounter{lastTokenOfTerm(termToken), format}, node_),
                 std::nullopt}};
    const kv_store::CommitResult committed = co_await client_.commit(std::move(txn), scope);
    kv_store::GetResult current;
    if (committed.status == Status::conflict && !scope.cancelled())
        current = co_await client_.get(election_records::tokenCounterKey, scope);
    if (token_ != termToken || scope.cancelled()) co_return false;
    if (committed.status == Status::ok) {
        tokenCounterRevision_ = committed.revision;
        storedFormat_ = format;
        spdlog::info("stored format raised: format={}", format);
    } else if (current.status == Status::ok) {
        // If the record is of this term, an earlier attempt was executed after all.
        const auto counter = election_records::decodeTokenCounter(current.entry->data);
        if (counter && counter->token == lastTokenOfTerm(termToken)) {
            tokenCounterRevision_ = current.entry->revision;
            storedFormat_ = counter->format;
        }
    }
    co_return storedFormat_ >= format;
}

Task<void> LeaderElection::lead(Scope& scope) {
    leading_ = true;
    knownLeader_ = LeaderHint{node_, token_};
    spdlog::info("this node was elected as leader: token={}", token_);
    listener_.onElected(token_,
                        kv_store::Precondition{election_records::leaderKey, leaderKeyRevision_});
    co_await keepLeading(scope);
    if (!stepDownRequested_)
        spdlog::warn("leadership lost: token={} reason=\"lease could not be renewed\"", token_);
    leaseValidUntil_ = TimePoint{};
    leading_ = false;
    knownLeader_.reset();
    co_await listener_.onLeadershipLost();
    co_await client_.revokeLease(leaseId_, scope);
}

Task<void> LeaderElection::keepLeading(Scope& scope) {
    const auto leadershipEnded = [&] {
        return scope.cancelled() || stepDownRequested_ || loop_.now() >= leaseValidUntil_;
    };
    Duration pause = leaseTtl_ / 6;
    while (!leadershipEnded()) {
        co_await loop_.wait(stepDownEvent_, std::min(loop_.now() + pause, leaseValidUntil_), scope);
        if (leadershipEnded()) break;
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
    // This node cannot reach the store, and perhaps no node can. While every other node pledges not
    // to campaign, no other node can be elected. So this one may go on leading, and the agents'
    // leases are renewed throughout the outage.
    const TimePoint requestedAt = loop_.now();
    const bool unanimous = co_await peers_.requestPledges(token_, pledgeDuration, absentNodes_);
    // A lease that has run out is never extended: other nodes may already have been told that this
    // node no longer leads.
    if (unanimous && loop_.now() < leaseValidUntil_) extendLease(requestedAt, pledgeDuration);
}

}  // namespace basaltchute
