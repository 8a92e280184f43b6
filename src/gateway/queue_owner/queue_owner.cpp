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

constexpr std::size_t flightWindow = 16;  // replies without disposition, to one address
// Custody goes before results by so much: where writes are scarce, one of them then stands for
// more results.
constexpr Duration resultSlack = 3s;
constexpr std::size_t pollsAtOnce = 16;
constexpr Duration laneRest = 1s;  // after a receiver has given a reply back
constexpr Duration windDownTimeout = 12s;
constexpr Duration reloadPause = 1s;
constexpr std::size_t forgetAtOnce = 500;
constexpr double pageShare = 0.75;  // of the largest value

Disposition released() {
    return {Outcome::released, {}, false};
}
Disposition rejected(std::string name, std::string words) {
    return {Outcome::rejected, {std::move(name), std::move(words), {}}, false};
}
constexpr const char* invalidField = "amqp:invalid-field";
constexpr const char* failedBefore = "amqp:precondition-failed";

/// The key of a run of a message without id, and back.
std::string runOf(const std::string& content, std::uint32_t run) {
    return content + '/' + std::to_string(run);
}
std::optional<std::pair<std::string, std::uint32_t>> contentOf(const std::string& key) {
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
      writer_(loop_, services.state, services.settings.state.txnOps, fence_, *this, *this, this),
      pace_(services.settings.limits.credit),
      committed_(loop_),
      freed_(loop_),
      polled_(loop_) {}

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
    scope_.spawn(open(std::move(ready)));
}

Task<void> QueueOwner::open(std::function<void()> ready) {
    const auto self = shared_from_this();
    const std::string prefix = services_.settings.statePrefix + "q/" + queue_.name + '/';
    while (!scope_.cancelled()) {
        const auto listing = co_await services_.state.list(prefix, scope_);
        if (scope_.cancelled()) co_return;
        if (listing.status == kv_store::Status::ok) {
            // A record that cannot be read is not guessed at: what it held might run twice.
            if (!load(listing.entries)) co_return;
            break;
        }
        co_await loop_.sleep(reloadPause, scope_);
    }
    if (scope_.cancelled()) co_return;
    ready_ = true;
    scope_.spawn(writer_.run(scope_));
    scope_.spawn(everySecond());
    scope_.spawn(pollAll());
    scope_.spawn(forget());
    ready();
}

bool QueueOwner::load(const std::vector<kv_store::KeyValue>& items) {
    for (const auto& item : items) {
        if (const auto wrong = journal_.load(item.key, item.data)) {
            spdlog::error("queue {} is not served: {}", queue_.name, *wrong);
            return false;
        }
        writer_.setKnownRevision(item.key, item.revision);
    }
    journal_.forEach([&](const JournalEntry& e) {
        if (e.stage == Stage::entered || e.stage == Stage::accepted)
            pollLater(e.key, Duration::zero());
        if (e.stage == Stage::final) lanes_[{e.origin, e.replyTo}].waiting.insert(e.number);
        if (const auto run = contentOf(e.key)) {
            auto& runs = runs_[run->first];
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
    for (const auto& [place, inlet] : inlets_)
        if (const auto c = inlet.connection.lock()) c->drain(place.second);
    const TimePoint until = loop_.now() + windDownTimeout;
    const auto flying = [&] {
        return std::any_of(lanes_.begin(), lanes_.end(),
                           [](const auto& l) { return !l.second.flying.empty(); });
    };
    while ((!unsettled_.empty() || flying()) && loop_.now() < until && !scope_.cancelled())
        co_await loop_.wait(freed_, loop_.now() + 100ms, scope_);
}

// Inlets and credit.

void QueueOwner::addReceivingLink(const std::shared_ptr<amqp::Connection>& connection,
                                  amqp::LinkId link, std::string origin) {
    const Place place{connection.get(), link};
    inlets_[place] = {connection, std::move(origin), 0};
    refill(place, inlets_[place]);
}
void QueueOwner::refill(const Place& place, Inlet& inlet) {
    const auto c = inlet.connection.lock();
    if (!c || closing_ || !ready_) return;
    // The team's room, as far as the gateway knows it: jobs of this queue that are not over.
    const std::size_t used = journal_.unfinished() + unsettled_.size();
    const std::size_t room = queue_.unfinished > used ? queue_.unfinished - used : 0;
    const auto each =
        static_cast<std::size_t>(pace_.window()) / std::max<std::size_t>(1, inlets_.size());
    const auto fair = std::min<std::size_t>(std::max<std::size_t>(1, each), room);
    const int aim = std::min(static_cast<int>(fair), services_.memoryWindow());
    c->addCredit(place.second, aim - c->credit(place.second) - inlet.inHand);
}
void QueueOwner::refillAll() {
    for (auto& [place, inlet] : inlets_) refill(place, inlet);
}

Duration QueueOwner::oldestUnsettledAge() const {
    return unsettled_.empty() ? Duration::zero() : loop_.now() - *unsettled_.begin();
}

Task<void> QueueOwner::everySecond() {
    while (!scope_.cancelled()) {
        co_await loop_.sleep(1s, scope_);
        if (scope_.cancelled()) co_return;
        // A message waits for a write at least, however few there are: one write carries them all.
        pace_.observe(oldestUnsettledAge(), services_.settings.limits.age + 2 * round_);
        refillAll();
        sendReplies();
    }
}

// From arrival to custody.

void QueueOwner::trackArrival(const IncomingMessage& a) {
    unsettled_.insert(a.since);
    ++services_.counters.arrived;
    const auto c = a.connection.lock();
    const auto inlet = inlets_.find({c.get(), a.link});
    if (inlet != inlets_.end()) ++inlet->second.inHand;
}

Task<void> QueueOwner::processMessage(IncomingMessage a) {
    const auto self = shared_from_this();
    std::string origin;
    const auto before = a.connection.lock();
    if (const auto it = inlets_.find({before.get(), a.link}); it != inlets_.end())
        origin = it->second.origin;
    Disposition d;
    if (scope_.cancelled())
        d = released();
    else
        d = co_await decide(a, origin);
    auto& n = services_.counters;
    if (d.outcome == Outcome::accepted) ++n.accepted;
    if (d.outcome == Outcome::rejected) ++n.rejected;
    if (d.outcome == Outcome::released) ++n.released;
    if (before) before->settle(a.delivery, d);
    unsettled_.erase(unsettled_.find(a.since));
    const Place place{before.get(), a.link};
    if (const auto it = inlets_.find(place); it != inlets_.end()) {
        --it->second.inHand;
        refill(place, it->second);
    }
    freed_.notify();
}

std::optional<std::string> QueueOwner::runKey(const PreparedMessage& p) {
    const std::string& content = p.entry.key;
    const std::uint32_t last = runs_.contains(content) ? runs_.at(content) : 0;
    if (p.redelivered && last > 0) {
        // A delivery of it failed before. What was not taken then goes on; what was may be the
        // same message or an equal one, so it runs again as often as its class allows.
        const JournalEntry* e = journal_.find(runOf(content, last));
        if (e != nullptr && e->stage == Stage::entered) return e->key;
        if (last >= queue_.attempts) return std::nullopt;
    }
    return runOf(content, ++runs_[content]);
}

Task<Disposition> QueueOwner::decide(const IncomingMessage& a, const std::string& origin) {
    if (!a.broken.empty()) co_return rejected("amqp:decode-error", a.broken);
    auto read = prepare(queue_, origin, a.message);
    if (const auto* why = std::get_if<std::string>(&read)) co_return rejected(invalidField, *why);
    auto& p = std::get<PreparedMessage>(read);
    if (!journal_.fits(p.entry)) co_return rejected(invalidField, "its addresses are too long");
    if (p.anonymous && queue_.withoutId == WithoutId::atLeastOnce) {
        auto key = runKey(p);
        if (!key)
            co_return rejected(failedBefore,
                               "ran " + std::to_string(queue_.attempts) + " times before");
        p.entry.key = std::move(*key);
    }
    auto d = co_await enter(std::move(p));
    co_return d;
}

Task<Disposition> QueueOwner::enter(PreparedMessage p) {
    const std::string key = p.entry.key;
    while (busy_.contains(key)) {
        const WakeReason woke = co_await loop_.wait(freed_, TimePoint::max(), scope_);
        if (woke == WakeReason::cancelled) co_return released();
    }
    const JournalEntry* known = journal_.find(key);
    if (known != nullptr && known->digest != p.entry.digest)
        co_return rejected(failedBefore, "its id stands for a message with another body");
    if (known != nullptr && known->stage != Stage::entered) {
        ++services_.counters.duplicates;
        if (known->stage != Stage::refused) co_return Disposition{Outcome::accepted, {}, false};
        const std::string why = known->reason;
        const bool stands = co_await standing(key);
        if (!stands) co_return released();
        co_return rejected(invalidField, why);
    }
    if (closing_) co_return released();

    struct Busy {
        QueueOwner& queueOwner;
        const std::string& key;
        Busy(QueueOwner& t, const std::string& k) : queueOwner(t), key(k) {
            queueOwner.busy_.insert(key);
        }
        Busy(const Busy&) = delete;
        Busy& operator=(const Busy&) = delete;
        ~Busy() {
            queueOwner.busy_.erase(key);
            queueOwner.freed_.notify();
        }
    };
    const Busy busy(*this, key);
    if (known == nullptr) {
        const auto ref = co_await services_.refs.next(scope_);
        if (!ref || scope_.cancelled()) co_return released();
        p.entry.ref = *ref;
        // Until its job is known to exist, the entry is worth no more than a repetition.
        p.entry.expiresAt = forgetAt();
        changed(journal_.add(p.entry), kv_store::WritePriority::userRequest);
    } else {
        p.entry.ref = known->ref;
        change(key, kv_store::WritePriority::userRequest, [&](JournalEntry& e) {
            ++e.attempts;
            e.expiresAt = forgetAt();
        });
    }
    const TimePoint asked = loop_.now();
    const bool entered = co_await standing(key);
    round_ += (loop_.now() - asked - round_) / 8;
    if (!entered || !services_.holds(queue_.name)) co_return released();

    std::string text = submission(p, p.entry.ref);
    const auto answer = co_await services_.controllers.submit(std::move(text), scope_);
    if (scope_.cancelled()) co_return released();
    using Kind = ControllerClient::Answer::Kind;
    // A poll may have found the job meanwhile.
    const bool open = journal_.find(key) != nullptr && journal_.find(key)->stage == Stage::entered;
    if (answer.kind == Kind::undecided && open) {
        // It may have been taken nevertheless, and the message may never come again.
        pollLater(key, services_.settings.limits.poll);
        co_return released();
    }
    const bool refuse = answer.kind == Kind::refused && open;
    if (refuse) {
        change(key, kv_store::WritePriority::userRequest, [&](JournalEntry& e) {
            e.stage = Stage::refused;
            e.reason = answer.text;
            e.expiresAt = forgetAt();
        });
    } else if (open) {
        // Custody has passed already: the ref stands here and the job with the controllers, so
        // that whoever owns the queue next finds it by a poll. This note of it takes its time.
        change(key, kv_store::WritePriority::background, [](JournalEntry& e) {
            e.stage = Stage::accepted;
            e.expiresAt = WallMillis(0);
        });
        pollLater(key, services_.settings.limits.poll);
    }
    if (!refuse) co_return Disposition{Outcome::accepted, {}, false};
    const bool stands = co_await standing(key);
    if (!stands) co_return released();
    co_return rejected(invalidField, answer.text);
}

Task<bool> QueueOwner::standing(std::string key) {
    while (!journal_.isDurable(key)) {
        if (journal_.find(key) == nullptr) co_return false;
        const WakeReason woke = co_await loop_.wait(committed_, TimePoint::max(), scope_);
        if (woke == WakeReason::cancelled) co_return false;
    }
    co_return !scope_.cancelled();
}

void QueueOwner::changed(const std::string& record, kv_store::WritePriority urgency) {
    writer_.markDirty(record, urgency);
}
void QueueOwner::change(const std::string& key, kv_store::WritePriority urgency,
                        const std::function<void(JournalEntry&)>& how) {
    changed(journal_.change(key, how), urgency);
}
WallMillis QueueOwner::forgetAt() const {
    return loop_.clock().wall() + queue_.retain;
}

// From custody to the result.

void QueueOwner::pollLater(const std::string& key, Duration in) {
    // One poll at a time: a message that comes again must not have its job asked for twice as
    // often.
    if (!followed_.insert(key).second) return;
    polls_.emplace(loop_.now() + in, key);
    polled_.notify();
}

Task<void> QueueOwner::pollAll() {
    while (!scope_.cancelled()) {
        if (polls_.empty() || polls_.begin()->first > loop_.now()) {
            const TimePoint until = polls_.empty() ? TimePoint::max() : polls_.begin()->first;
            co_await loop_.wait(polled_, until, scope_);
            continue;
        }
        if (pollsUnderWay_ >= pollsAtOnce || !services_.controllers.polls().tryTake(loop_.now())) {
            const Duration pause = services_.controllers.polls().timeUntil(loop_.now());
            co_await loop_.sleep(std::max(pause, Duration(20ms)), scope_);
            continue;
        }
        std::string key = polls_.begin()->second;
        polls_.erase(polls_.begin());
        ++pollsUnderWay_;
        scope_.spawn(poll(std::move(key)));
    }
}

Task<void> QueueOwner::poll(std::string key) {
    const JournalEntry* e = journal_.find(key);
    ControllerClient::State state;
    const bool asked = e != nullptr && !busy_.contains(key);
    if (asked) state = co_await services_.controllers.query(e->ref, scope_);
    --pollsUnderWay_;
    if (scope_.cancelled()) co_return;
    followed_.erase(key);
    e = journal_.find(key);
    if (e == nullptr || (e->stage != Stage::entered && e->stage != Stage::accepted)) co_return;
    using Kind = ControllerClient::State::Kind;
    if (state.kind == Kind::known && !busy_.contains(key)) {
        if (state.status == "done" || state.status == "cancelled") {
            finish(key, state.status);
            co_return;
        }
        if (e->stage == Stage::entered)
            change(key, kv_store::WritePriority::background, [](JournalEntry& entry) {
                entry.stage = Stage::accepted;
                entry.expiresAt = WallMillis(0);
            });
    }
    if (state.kind == Kind::unknown && e->stage == Stage::accepted)
        spdlog::error("queue {}: accepted job {} is not known any more", queue_.name, e->ref);
    pollLater(key, services_.settings.limits.poll);
}

void QueueOwner::finish(const std::string& key, const std::string& status) {
    ++services_.counters.finals;
    const std::uint64_t number = journal_.nextNumber();
    change(key, kv_store::WritePriority::immediate, [&](JournalEntry& e) {
        e.status = status;
        e.number = number;
        e.stage = e.replyTo.empty() ? Stage::replied : Stage::final;
        e.expiresAt = forgetAt();
    });
    const JournalEntry& e = *journal_.find(key);
    if (e.stage == Stage::final) lanes_[{e.origin, e.replyTo}].waiting.insert(number);
}

// Replies.

void QueueOwner::sendReplies() {
    if (!ready_ || closing_ || !services_.holds(queue_.name)) return;
    for (auto it = lanes_.begin(); it != lanes_.end();) {
        auto& [key, lane] = *it;
        if (lane.waiting.empty()) {
            it = lane.flying.empty() ? lanes_.erase(it) : std::next(it);
            continue;
        }
        const auto outlet =
            lane.notBefore > loop_.now() ? std::nullopt : services_.outlet(key.first, key.second);
        if (outlet) send(key, lane, *outlet);
        ++it;
    }
}

void QueueOwner::send(const LaneKey& to, Lane& lane, const ReplyLink& outlet) {
    while (!lane.waiting.empty() && lane.flying.size() < flightWindow &&
           outlet.connection->credit(outlet.link) > 0) {
        const std::uint64_t number = *lane.waiting.begin();
        const auto unsent = journal_.unsent().find(number);
        if (unsent == journal_.unsent().end()) {
            lane.waiting.erase(number);  // forgotten
            continue;
        }
        // Only what stands is told, and nothing overtakes it.
        if (!journal_.isDurable(unsent->second)) return;
        const JournalEntry& e = *journal_.find(unsent->second);
        amqp::Message m;
        // The receiver's key: the same however often this reply has to be sent.
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
        if (!bytes || !outlet.connection->send(outlet.link, *bytes, tag)) return;
        lane.waiting.erase(number);
        lane.flying[tag] = {number, {outlet.connection.get(), outlet.link}};
        ++services_.counters.replies;
    }
}

void QueueOwner::answered(const std::string& key, const std::string& why) {
    change(key, kv_store::WritePriority::immediate, [&](JournalEntry& e) {
        e.stage = Stage::replied;
        e.reason = why;
        e.expiresAt = forgetAt();
    });
}

void QueueOwner::handleReplyDisposition(const std::string& tag, const Disposition& d) {
    for (auto& [key, lane] : lanes_) {
        const auto flight = lane.flying.find(tag);
        if (flight == lane.flying.end()) continue;
        const std::uint64_t number = flight->second.number;
        lane.flying.erase(flight);
        const auto unsent = journal_.unsent().find(number);
        if (unsent == journal_.unsent().end()) break;
        const std::string entry = unsent->second;  // leaves the index when it is answered
        if (d.outcome == Outcome::released || d.outcome == Outcome::modified) {
            lane.waiting.insert(number);
            lane.notBefore = loop_.now() + laneRest;
            ++services_.counters.repliesAgain;
        } else if (d.outcome == Outcome::rejected) {
            ++services_.counters.repliesRefused;
            spdlog::warn("queue {}: a reply to {} was refused: {} {}", queue_.name, key.second,
                         d.condition.name, d.condition.description);
            answered(entry, "refused: " + d.condition.description);
        } else {
            answered(entry, "");
        }
        break;
    }
    freed_.notify();
    sendReplies();
}

void QueueOwner::linkClosed(const amqp::Connection& connection, amqp::LinkId link) {
    const Place place{&connection, link};
    inlets_.erase(place);
    for (auto& [key, lane] : lanes_)
        for (auto it = lane.flying.begin(); it != lane.flying.end();) {
            if (it->second.place != place) {
                ++it;
                continue;
            }
            // It may have arrived or not: sent again under the same id.
            lane.waiting.insert(it->second.number);
            ++services_.counters.repliesAgain;
            it = lane.flying.erase(it);
        }
    freed_.notify();
}

std::optional<std::string> QueueOwner::replay(const std::string& key) {
    const JournalEntry* e = journal_.find(key);
    if (e == nullptr) return "no such key in " + queue_.name;
    if (e->stage == Stage::refused) {
        // The message may be sent again, from the dead letters or anew, and goes on from here.
        change(key, kv_store::WritePriority::userRequest, [&](JournalEntry& entry) {
            entry.stage = Stage::entered;
            entry.reason.clear();
            entry.expiresAt = forgetAt();
        });
        return std::nullopt;
    }
    if (e->stage != Stage::replied || e->replyTo.empty())
        return key + " is " + nameOf(e->stage) +
               (e->replyTo.empty() ? " and has no reply-to" : ": there is nothing to send again");
    change(key, kv_store::WritePriority::userRequest, [&](JournalEntry& entry) {
        entry.stage = Stage::final;
        entry.reason.clear();
        entry.expiresAt = forgetAt();
    });
    lanes_[{e->origin, e->replyTo}].waiting.insert(e->number);
    return std::nullopt;
}

// The end of an entry.

Task<void> QueueOwner::forget() {
    const Duration every = std::clamp<Duration>(queue_.retain / 100, 1s, 60s);
    while (!scope_.cancelled()) {
        co_await loop_.sleep(every, scope_);
        if (scope_.cancelled()) co_return;
        if (!services_.holds(queue_.name)) continue;
        const auto gone = journal_.forget(loop_.clock().wall(), forgetAtOnce);
        for (const auto& record : gone.changed)
            changed(record, kv_store::WritePriority::background);
        for (const auto& key : gone.keys)
            if (const auto run = contentOf(key)) {
                const auto last = runs_.find(run->first);
                if (last != runs_.end() && last->second == run->second) runs_.erase(last);
            }
        if (gone.unsent > 0) {
            services_.counters.repliesLost += gone.unsent;
            spdlog::error("queue {}: {} results were never fetched and are forgotten", queue_.name,
                          gone.unsent);
        }
        auto records = journal_.closing();
        if (records.empty()) continue;
        const auto most = std::min(static_cast<double>(services_.settings.state.txnOps),
                                   std::floor(services_.state.writeLimiter().burst()));
        records.resize(std::min(records.size(), static_cast<std::size_t>(most)));
        const bool may =
            co_await services_.writeLimiter.acquire(static_cast<double>(records.size()), scope_);
        if (!may) co_return;
        kv_store::Transaction txn;
        txn.preconditions = {fence_};
        txn.deletes = records;
        const auto committed = co_await services_.state.commit(std::move(txn), scope_);
        if (committed.status != kv_store::Status::ok) continue;
        for (const auto& record : records) {
            journal_.deleted(record);
            writer_.forget(record);
        }
    }
}

}  // namespace basaltchute::gateway
