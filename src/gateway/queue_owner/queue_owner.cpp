#include "gateway/queue_owner/queue_owner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;
using amqp::Disposition;
using amqp::Outcome;

namespace {

constexpr std::size_t maxRepliesInFlight = 16;  // unsettled replies per address
// Journaling of new messages is written before results by this much, so that one write covers more
// results when the write budget is scarce.
constexpr Duration resultSlack = 3s;
constexpr std::size_t maxActivePolls = 16;
constexpr Duration channelRetryDelay = 1s;  // delay after a receiver released a reply
constexpr Duration drainTimeout = 12s;
constexpr Duration loadRetryDelay = 1s;
constexpr std::size_t maxRemovedAtOnce = 500;
constexpr double pageShare = 0.75;  // share of the maximum value size

Disposition released() {
    return {Outcome::released, {}, false};
}
Disposition rejected(std::string name, std::string words) {
    return {Outcome::rejected, {std::move(name), std::move(words), {}}, false};
}
constexpr const char* invalidField = "amqp:invalid-field";
constexpr const char* failedBefore = "amqp:precondition-failed";

/// Key of one run of a message without id: content hash and run number.
std::string runKeyOf(const std::string& content, std::uint32_t run) {
    return content + '/' + std::to_string(run);
}
std::optional<std::pair<std::string, std::uint32_t>> parseRunKey(const std::string& key) {
    const auto slash = key.rfind('/');
    if (!key.starts_with("c:") || slash == std::string::npos) return std::nullopt;
    return std::pair(key.substr(0, slash),
                     static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1))));
}

}  // namespace

QueueOwner::QueueOwner(Services& services, const QueueSettings& queue, kv_store::Precondition fence,
                       std::uint64_t serial)
    : services_(services),
      loop_(services.loop),
      queue_(queue),
      fence_(std::move(fence)),
      serial_(serial),
      scope_(services.loop),
      journal_(services.settings.statePrefix + "q/" + queue.name + '/',
               static_cast<std::size_t>(static_cast<double>(services.settings.state.valueBytes) *
                                        pageShare)),
      writer_(loop_, services.kvClient, services.settings.state.txnOps, fence_, *this, *this, this),
      concurrency_(services.settings.limits.credit),
      committed_(loop_),
      progress_(loop_),
      pollScheduled_(loop_) {}

std::optional<kv_store::EncodedRecord> QueueOwner::encode(const std::string& key) {
    return journal_.encode(key);
}

void QueueOwner::onCommitted(const std::string& key, std::uint64_t version) {
    journal_.committed(key, version);
    committed_.notify();
    sendReplies();
}

void QueueOwner::onFenced() {
    services_.fenced(queue_.name);
}

double QueueOwner::allowance(kv_store::WritePriority mostUrgent, double available) {
    const Duration slack =
        mostUrgent == kv_store::WritePriority::userRequest ? Duration::zero() : resultSlack;
    return services_.writeLimiter.tryAcquire(serial_, slack, available);
}

void QueueOwner::start(std::function<void()> ready) {
    scope_.spawn(loadAndServe(std::move(ready)));
}

Task<void> QueueOwner::loadAndServe(std::function<void()> ready) {
    const auto self = shared_from_this();
    const std::string prefix = services_.settings.statePrefix + "q/" + queue_.name + '/';
    while (!scope_.cancelled()) {
        const auto listing = co_await services_.kvClient.list(prefix, scope_);
        if (scope_.cancelled()) co_return;
        if (listing.status == kv_store::Status::ok) {
            // The queue is not served with an unreadable record: its messages might run twice.
            if (!load(listing.entries)) co_return;
            break;
        }
        co_await loop_.sleep(loadRetryDelay, scope_);
    }
    if (scope_.cancelled()) co_return;
    ready_ = true;
    scope_.spawn(writer_.run(scope_));
    scope_.spawn(adjustCreditEverySecond());
    scope_.spawn(runPolls());
    scope_.spawn(removeExpiredEntries());
    ready();
}

bool QueueOwner::load(const std::vector<kv_store::KeyValue>& items) {
    for (const auto& item : items) {
        if (const auto wrong = journal_.load(item.key, item.data)) {
            spdlog::error("queue is not served, its journal is invalid: queue={} error={}",
                          queue_.name, *wrong);
            return false;
        }
        writer_.setKnownRevision(item.key, item.revision);
    }
    journal_.forEach([&](const JournalEntry& e) {
        if (e.stage == Stage::entered || e.stage == Stage::accepted)
            schedulePoll(e.key, Duration::zero());
        if (e.stage == Stage::final) replyChannels_[{e.origin, e.replyTo}].pending.insert(e.number);
        if (const auto run = parseRunKey(e.key)) {
            auto& runs = lastRuns_[run->first];
            runs = std::max(runs, run->second);
        }
    });
    return true;
}

Task<void> QueueOwner::end() {
    closing_ = true;
    const auto self = shared_from_this();
    co_await scope_.cancelAndWait();
}

Task<void> QueueOwner::drain() {
    const auto self = shared_from_this();
    closing_ = true;
    for (const auto& [linkKey, receivingLink] : receivingLinks_)
        if (const auto c = receivingLink.connection.lock()) c->drain(linkKey.second);
    const TimePoint until = loop_.now() + drainTimeout;
    const auto inFlight = [&] {
        return std::any_of(replyChannels_.begin(), replyChannels_.end(),
                           [](const auto& l) { return !l.second.inFlight.empty(); });
    };
    while ((!unsettled_.empty() || inFlight()) && loop_.now() < until && !scope_.cancelled())
        co_await loop_.wait(progress_, loop_.now() + 100ms, scope_);
}

// Receiving links and credit.

void QueueOwner::addReceivingLink(const std::shared_ptr<amqp::Connection>& connection,
                                  amqp::LinkId link, std::string origin) {
    const LinkKey linkKey{connection.get(), link};
    receivingLinks_[linkKey] = {connection, std::move(origin), 0};
    replenishCredit(linkKey, receivingLinks_[linkKey]);
}
void QueueOwner::replenishCredit(const LinkKey& linkKey, ReceivingLink& receivingLink) {
    const auto c = receivingLink.connection.lock();
    if (!c || closing_ || !ready_) return;
    // Limit of the team's unfinished jobs, as far as the gateway knows them.
    const std::size_t used = journal_.unfinished() + unsettled_.size();
    const std::size_t remainingJobs = queue_.unfinished > used ? queue_.unfinished - used : 0;
    const auto each = static_cast<std::size_t>(concurrency_.window()) /
                      std::max<std::size_t>(1, receivingLinks_.size());
    const auto creditShare = std::min<std::size_t>(std::max<std::size_t>(1, each), remainingJobs);
    const int targetCredit = std::min(static_cast<int>(creditShare), services_.maxCreditByMemory());
    c->addCredit(linkKey.second,
                 targetCredit - c->credit(linkKey.second) - receivingLink.unsettled);
}
void QueueOwner::replenishAllCredit() {
    for (auto& [linkKey, receivingLink] : receivingLinks_) replenishCredit(linkKey, receivingLink);
}

Duration QueueOwner::oldestUnsettledAge() const {
    return unsettled_.empty() ? Duration::zero() : loop_.now() - *unsettled_.begin();
}

Task<void> QueueOwner::adjustCreditEverySecond() {
    while (!scope_.cancelled()) {
        co_await loop_.sleep(1s, scope_);
        if (scope_.cancelled()) co_return;
        // Each message waits for at least one write, which all waiting messages share.
        concurrency_.observe(oldestUnsettledAge(),
                             services_.settings.limits.age + 2 * averageCommitTime_);
        replenishAllCredit();
        sendReplies();
    }
}

// From arrival to acceptance by the controllers.

void QueueOwner::trackArrival(const IncomingMessage& a) {
    unsettled_.insert(a.receivedAt);
    ++services_.counters.arrived;
    const auto c = a.connection.lock();
    const auto receivingLink = receivingLinks_.find({c.get(), a.link});
    if (receivingLink != receivingLinks_.end()) ++receivingLink->second.unsettled;
}

Task<void> QueueOwner::processMessage(IncomingMessage a) {
    const auto self = shared_from_this();
    std::string origin;
    const auto connection = a.connection.lock();
    if (const auto it = receivingLinks_.find({connection.get(), a.link});
        it != receivingLinks_.end())
        origin = it->second.origin;
    Disposition d;
    if (scope_.cancelled())
        d = released();
    else
        d = co_await handleMessage(a, origin);
    auto& n = services_.counters;
    if (d.outcome == Outcome::accepted) ++n.accepted;
    if (d.outcome == Outcome::rejected) ++n.rejected;
    if (d.outcome == Outcome::released) ++n.released;
    if (connection) connection->settle(a.delivery, d);
    unsettled_.erase(unsettled_.find(a.receivedAt));
    const LinkKey linkKey{connection.get(), a.link};
    if (const auto it = receivingLinks_.find(linkKey); it != receivingLinks_.end()) {
        --it->second.unsettled;
        replenishCredit(linkKey, it->second);
    }
    progress_.notify();
}

std::optional<std::string> QueueOwner::anonymousKey(const PreparedMessage& p) {
    const std::string& content = p.entry.key;
    const std::uint32_t last = lastRuns_.contains(content) ? lastRuns_.at(content) : 0;
    if (p.redelivered && last > 0) {
        // An earlier delivery failed. If that run was not submitted for certain, continue it.
        // Otherwise this may be the same message or an equal one: it runs again as often as the job
        // class allows.
        const JournalEntry* e = journal_.find(runKeyOf(content, last));
        if (e != nullptr && e->stage == Stage::entered) return e->key;
        if (last >= queue_.attempts) return std::nullopt;
    }
    return runKeyOf(content, ++lastRuns_[content]);
}

Task<Disposition> QueueOwner::handleMessage(const IncomingMessage& a, const std::string& origin) {
    if (!a.decodeError.empty()) co_return rejected("amqp:decode-error", a.decodeError);
    auto read = prepareMessage(queue_, origin, a.message);
    if (const auto* why = std::get_if<std::string>(&read)) co_return rejected(invalidField, *why);
    auto& p = std::get<PreparedMessage>(read);
    if (!journal_.fits(p.entry)) co_return rejected(invalidField, "its addresses are too long");
    if (p.anonymous && queue_.withoutId == WithoutId::atLeastOnce) {
        auto key = anonymousKey(p);
        if (!key)
            co_return rejected(failedBefore,
                               "ran " + std::to_string(queue_.attempts) + " times before");
        p.entry.key = std::move(*key);
    }
    auto d = co_await journalAndSubmit(std::move(p));
    co_return d;
}

Task<Disposition> QueueOwner::journalAndSubmit(PreparedMessage p) {
    const std::string key = p.entry.key;
    while (busyKeys_.contains(key)) {
        const WakeReason woke = co_await loop_.wait(progress_, TimePoint::max(), scope_);
        if (woke == WakeReason::cancelled) co_return released();
    }
    const JournalEntry* known = journal_.find(key);
    if (known != nullptr && known->digest != p.entry.digest)
        co_return rejected(failedBefore, "its id stands for a message with another body");
    if (known != nullptr && known->stage != Stage::entered) {
        ++services_.counters.duplicates;
        if (known->stage != Stage::refused) co_return Disposition{Outcome::accepted, {}, false};
        const std::string why = known->reason;
        const bool durable = co_await waitUntilDurable(key);
        if (!durable) co_return released();
        co_return rejected(invalidField, why);
    }
    if (closing_) co_return released();

    struct Busy {
        QueueOwner& queueOwner;
        const std::string& key;
        Busy(QueueOwner& t, const std::string& k) : queueOwner(t), key(k) {
            queueOwner.busyKeys_.insert(key);
        }
        Busy(const Busy&) = delete;
        Busy& operator=(const Busy&) = delete;
        ~Busy() {
            queueOwner.busyKeys_.erase(key);
            queueOwner.progress_.notify();
        }
    };
    const Busy busy(*this, key);
    if (known == nullptr) {
        const auto ref = co_await services_.jobIds.next(scope_);
        if (!ref || scope_.cancelled()) co_return released();
        p.entry.ref = *ref;
        // Until the job is known to exist, losing the entry only leads to a redelivery, so it may
        // expire.
        p.entry.expiresAt = expiryTime();
        markDirty(journal_.add(p.entry), kv_store::WritePriority::userRequest);
    } else {
        p.entry.ref = known->ref;
        updateEntry(key, kv_store::WritePriority::userRequest, [&](JournalEntry& e) {
            ++e.attempts;
            e.expiresAt = expiryTime();
        });
    }
    const TimePoint asked = loop_.now();
    const bool entered = co_await waitUntilDurable(key);
    averageCommitTime_ += (loop_.now() - asked - averageCommitTime_) / 8;
    if (!entered || !services_.ownsQueue(queue_.name)) co_return released();

    std::string text = submissionBody(p, p.entry.ref);
    const auto answer = co_await services_.controllers.submit(std::move(text), scope_);
    if (scope_.cancelled()) co_return released();
    using Kind = ControllerClient::SubmitResult::Kind;
    // A poll may have found the job in the meantime.
    const bool open = journal_.find(key) != nullptr && journal_.find(key)->stage == Stage::entered;
    if (answer.kind == Kind::undecided && open) {
        // A controller may have accepted it anyway, and the message may never be redelivered.
        schedulePoll(key, services_.settings.limits.poll);
        co_return released();
    }
    const bool refuse = answer.kind == Kind::refused && open;
    if (refuse) {
        updateEntry(key, kv_store::WritePriority::userRequest, [&](JournalEntry& e) {
            e.stage = Stage::refused;
            e.reason = answer.text;
            e.expiresAt = expiryTime();
        });
    } else if (open) {
        // The ref is committed and the controllers have the job, so that a later owner of the queue
        // finds the job by polling. This change can be written with low priority.
        updateEntry(key, kv_store::WritePriority::background, [](JournalEntry& e) {
            e.stage = Stage::accepted;
            e.expiresAt = WallMillis(0);
        });
        schedulePoll(key, services_.settings.limits.poll);
    }
    if (!refuse) co_return Disposition{Outcome::accepted, {}, false};
    const bool durable = co_await waitUntilDurable(key);
    if (!durable) co_return released();
    co_return rejected(invalidField, answer.text);
}

Task<bool> QueueOwner::waitUntilDurable(std::string key) {
    while (!journal_.isDurable(key)) {
        if (journal_.find(key) == nullptr) co_return false;
        const WakeReason woke = co_await loop_.wait(committed_, TimePoint::max(), scope_);
        if (woke == WakeReason::cancelled) co_return false;
    }
    co_return !scope_.cancelled();
}

void QueueOwner::markDirty(const std::string& record, kv_store::WritePriority priority) {
    writer_.markDirty(record, priority);
}
void QueueOwner::updateEntry(const std::string& key, kv_store::WritePriority priority,
                             const std::function<void(JournalEntry&)>& modify) {
    markDirty(journal_.update(key, modify), priority);
}
WallMillis QueueOwner::expiryTime() const {
    return loop_.clock().wall() + queue_.retain;
}

// From acceptance to the result.

void QueueOwner::schedulePoll(const std::string& key, Duration in) {
    // One poll per key: a redelivered message must not double the polling of its job.
    if (!polledKeys_.insert(key).second) return;
    pollSchedule_.emplace(loop_.now() + in, key);
    pollScheduled_.notify();
}

Task<void> QueueOwner::runPolls() {
    while (!scope_.cancelled()) {
        if (pollSchedule_.empty() || pollSchedule_.begin()->first > loop_.now()) {
            const TimePoint until =
                pollSchedule_.empty() ? TimePoint::max() : pollSchedule_.begin()->first;
            co_await loop_.wait(pollScheduled_, until, scope_);
            continue;
        }
        if (activePolls_ >= maxActivePolls ||
            !services_.controllers.pollLimiter().tryTake(loop_.now())) {
            const Duration pause = services_.controllers.pollLimiter().timeUntil(loop_.now());
            co_await loop_.sleep(std::max(pause, Duration(20ms)), scope_);
            continue;
        }
        std::string key = pollSchedule_.begin()->second;
        pollSchedule_.erase(pollSchedule_.begin());
        ++activePolls_;
        scope_.spawn(poll(std::move(key)));
    }
}

Task<void> QueueOwner::poll(std::string key) {
    const JournalEntry* e = journal_.find(key);
    ControllerClient::JobState state;
    const bool asked = e != nullptr && !busyKeys_.contains(key);
    if (asked) state = co_await services_.controllers.query(e->ref, scope_);
    --activePolls_;
    if (scope_.cancelled()) co_return;
    polledKeys_.erase(key);
    e = journal_.find(key);
    if (e == nullptr || (e->stage != Stage::entered && e->stage != Stage::accepted)) co_return;
    using Kind = ControllerClient::JobState::Kind;
    if (state.kind == Kind::known && !busyKeys_.contains(key)) {
        if (state.status == "done" || state.status == "cancelled") {
            recordResult(key, state.status);
            co_return;
        }
        if (e->stage == Stage::entered)
            updateEntry(key, kv_store::WritePriority::background, [](JournalEntry& entry) {
                entry.stage = Stage::accepted;
                entry.expiresAt = WallMillis(0);
            });
    }
    if (state.kind == Kind::unknown && e->stage == Stage::accepted)
        spdlog::error("controllers no longer know an accepted job: queue={} job={}", queue_.name,
                      e->ref);
    schedulePoll(key, services_.settings.limits.poll);
}

void QueueOwner::recordResult(const std::string& key, const std::string& status) {
    ++services_.counters.finals;
    const std::uint64_t number = journal_.nextNumber();
    updateEntry(key, kv_store::WritePriority::immediate, [&](JournalEntry& e) {
        e.status = status;
        e.number = number;
        e.stage = e.replyTo.empty() ? Stage::replied : Stage::final;
        e.expiresAt = expiryTime();
    });
    const JournalEntry& e = *journal_.find(key);
    if (e.stage == Stage::final) replyChannels_[{e.origin, e.replyTo}].pending.insert(number);
}

// Replies.

void QueueOwner::sendReplies() {
    if (!ready_ || closing_ || !services_.ownsQueue(queue_.name)) return;
    for (auto it = replyChannels_.begin(); it != replyChannels_.end();) {
        auto& [key, channel] = *it;
        if (channel.pending.empty()) {
            it = channel.inFlight.empty() ? replyChannels_.erase(it) : std::next(it);
            continue;
        }
        const auto replyLink = channel.notBefore > loop_.now()
                                   ? std::nullopt
                                   : services_.findReplyLink(key.first, key.second);
        if (replyLink) send(key, channel, *replyLink);
        ++it;
    }
}

void QueueOwner::send(const ReplyChannelKey& to, ReplyChannel& channel,
                      const ReplyLink& replyLink) {
    while (!channel.pending.empty() && channel.inFlight.size() < maxRepliesInFlight &&
           replyLink.connection->credit(replyLink.link) > 0) {
        const std::uint64_t number = *channel.pending.begin();
        const auto unsent = journal_.unsent().find(number);
        if (unsent == journal_.unsent().end()) {
            channel.pending.erase(number);  // the entry has expired
            continue;
        }
        // Only committed results are sent, and no later result overtakes them.
        if (!journal_.isDurable(unsent->second)) return;
        const JournalEntry& e = *journal_.find(unsent->second);
        amqp::Message m;
        // Lets the receiver detect duplicates: the same id each time this reply is sent.
        m.id = {amqp::Id::Kind::text, "result/" + e.ref};
        m.correlation = amqp::Id::fromText(e.correlation).value_or(amqp::Id{});
        m.to = to.second;
        m.subject = "result";
        m.contentType = "application/json";
        m.properties = {{"queue", queue_.name}, {"result-number", std::to_string(number)}};
        json::Writer body;
        body.open().field("ref", e.ref).field("status", e.status).field("number", number).close();
        m.body = body.text();
        const auto bytes = amqp::encode(m);
        const std::string tag = std::to_string(serial_) + '.' + std::to_string(nextTag_++);
        if (!bytes || !replyLink.connection->send(replyLink.link, *bytes, tag)) return;
        channel.pending.erase(number);
        channel.inFlight[tag] = {number, {replyLink.connection.get(), replyLink.link}};
        ++services_.counters.replies;
    }
}

void QueueOwner::recordReplyOutcome(const std::string& key, const std::string& why) {
    updateEntry(key, kv_store::WritePriority::immediate, [&](JournalEntry& e) {
        e.stage = Stage::replied;
        e.reason = why;
        e.expiresAt = expiryTime();
    });
}

void QueueOwner::handleReplyDisposition(const std::string& tag, const Disposition& d) {
    for (auto& [key, channel] : replyChannels_) {
        const auto flight = channel.inFlight.find(tag);
        if (flight == channel.inFlight.end()) continue;
        const std::uint64_t number = flight->second.number;
        channel.inFlight.erase(flight);
        const auto unsent = journal_.unsent().find(number);
        if (unsent == journal_.unsent().end()) break;
        const std::string entry =
            unsent->second;  // copied: the entry leaves the index when its outcome is recorded
        if (d.outcome == Outcome::released || d.outcome == Outcome::modified) {
            channel.pending.insert(number);
            channel.notBefore = loop_.now() + channelRetryDelay;
            ++services_.counters.repliesAgain;
        } else if (d.outcome == Outcome::rejected) {
            ++services_.counters.repliesRefused;
            spdlog::warn("reply was rejected: queue={} address={} condition={} description={}",
                         queue_.name, key.second, d.condition.name, d.condition.description);
            recordReplyOutcome(entry, "refused: " + d.condition.description);
        } else {
            recordReplyOutcome(entry, "");
        }
        break;
    }
    progress_.notify();
    sendReplies();
}

void QueueOwner::linkClosed(const amqp::Connection& connection, amqp::LinkId link) {
    const LinkKey linkKey{&connection, link};
    receivingLinks_.erase(linkKey);
    for (auto& [key, channel] : replyChannels_)
        for (auto it = channel.inFlight.begin(); it != channel.inFlight.end();) {
            if (it->second.linkKey != linkKey) {
                ++it;
                continue;
            }
            // It may have arrived or not: it is sent again with the same id.
            channel.pending.insert(it->second.number);
            ++services_.counters.repliesAgain;
            it = channel.inFlight.erase(it);
        }
    progress_.notify();
}

std::optional<std::string> QueueOwner::replay(const std::string& key) {
    const JournalEntry* e = journal_.find(key);
    if (e == nullptr) return "no such key in " + queue_.name;
    if (e->stage == Stage::refused) {
        // The message may be sent again, from the dead letters or as a new one, and continues from
        // here.
        updateEntry(key, kv_store::WritePriority::userRequest, [&](JournalEntry& entry) {
            entry.stage = Stage::entered;
            entry.reason.clear();
            entry.expiresAt = expiryTime();
        });
        return std::nullopt;
    }
    if (e->stage != Stage::replied || e->replyTo.empty())
        return key + " is " + nameOf(e->stage) +
               (e->replyTo.empty() ? " and has no reply-to" : ": there is nothing to send again");
    updateEntry(key, kv_store::WritePriority::userRequest, [&](JournalEntry& entry) {
        entry.stage = Stage::final;
        entry.reason.clear();
        entry.expiresAt = expiryTime();
    });
    replyChannels_[{e->origin, e->replyTo}].pending.insert(e->number);
    return std::nullopt;
}

// Expiry of entries.

Task<void> QueueOwner::removeExpiredEntries() {
    const Duration every = std::clamp<Duration>(queue_.retain / 100, 1s, 60s);
    while (!scope_.cancelled()) {
        co_await loop_.sleep(every, scope_);
        if (scope_.cancelled()) co_return;
        if (!services_.ownsQueue(queue_.name)) continue;
        const auto gone = journal_.removeExpired(loop_.clock().wall(), maxRemovedAtOnce);
        for (const auto& record : gone.changed)
            markDirty(record, kv_store::WritePriority::background);
        for (const auto& key : gone.keys)
            if (const auto run = parseRunKey(key)) {
                const auto last = lastRuns_.find(run->first);
                if (last != lastRuns_.end() && last->second == run->second) lastRuns_.erase(last);
            }
        if (gone.unsent > 0) {
            services_.counters.repliesLost += gone.unsent;
            spdlog::error("undelivered results expired: queue={} count={}", queue_.name,
                          gone.unsent);
        }
        auto records = journal_.deletableRecords();
        if (records.empty()) continue;
        const auto most = std::min(static_cast<double>(services_.settings.state.txnOps),
                                   std::floor(services_.kvClient.writeLimiter().burst()));
        records.resize(std::min(records.size(), static_cast<std::size_t>(most)));
        const bool acquired =
            co_await services_.writeLimiter.acquire(static_cast<double>(records.size()), scope_);
        if (!acquired) co_return;
        kv_store::Transaction txn;
        txn.preconditions = {fence_};
        txn.deletes = records;
        const auto committed = co_await services_.kvClient.commit(std::move(txn), scope_);
        if (committed.status != kv_store::Status::ok) continue;
        for (const auto& record : records) {
            journal_.deleted(record);
            writer_.forget(record);
        }
    }
}

}  // namespace basaltchute::gateway
