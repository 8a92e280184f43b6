#include "gateway/app/gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "json/json.h"

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {

constexpr Duration drainTimeout = 40s;
constexpr Duration finalWriteDelay = 500ms;  // lets the last writes reach the clients
constexpr std::size_t maxLedgerLines = 1000, defaultLedgerLines = 100;  // in one response

amqp::TlsHandle tlsOf(const Settings& settings) {
    if (!settings.tls) return nullptr;
    auto loaded = amqp::loadTls(*settings.tls, true);
    if (const auto* wrong = std::get_if<std::string>(&loaded)) throw std::runtime_error(*wrong);
    return std::get<amqp::TlsHandle>(std::move(loaded));
}

http::Response text(int status, const std::string& error) {
    json::Writer out;
    out.open().field("error", error).close();
    return {status, out.text()};
}

std::string decoded(const std::string& s) {
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i) {
        unsigned code = 0;
        if (s[i] == '%' && i + 2 < s.size() &&
            std::from_chars(s.data() + i + 1, s.data() + i + 3, code, 16).ptr == s.data() + i + 3) {
            out += static_cast<char>(code);
            i += 2;
        } else {
            out += s[i];
        }
    }
    return out;
}
std::map<std::string, std::string> parameters(const std::string& target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const std::string part =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto is = part.find('=');
        if (is != std::string::npos) out[part.substr(0, is)] = decoded(part.substr(is + 1));
        at = end;
    }
    return out;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, Settings settings, std::string incarnation, std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      scope_(loop),
      state_(loop, settings_.state),
      writeLimiter_(loop, state_.writeLimiter()),
      controllers_(loop, settings_, seed),
      refs_(loop, state_, writeLimiter_, settings_),
      members_(loop, state_, writeLimiter_, settings_, std::move(incarnation),
               {[this](const QueueName& q, kv_store::Precondition fence) {
                    gained(q, std::move(fence));
                },
                [this](QueueName q) { return yield(std::move(q)); },
                [this](const QueueName& q) { lost(q); }, [this] { routesChanged(); }}),
      services_{
          loop,
          settings_,
          state_,
          controllers_,
          refs_,
          counters_,
          writeLimiter_,
          [this](const QueueName& q) { return members_.holds(q); },
          [this](const QueueName& q) { members_.fenced(q); },
          [this](const std::string& origin, const std::string& to) -> std::optional<ReplyLink> {
              if (origin.empty())
                  return clientListener_ ? clientListener_->replyLinkFor(to) : std::nullopt;
              for (const auto& c : consumers_)
                  if (c->name() == origin) return c->replyLinkFor(to);
              return std::nullopt;
          },
          [this] {
              std::size_t links = 1;
              for (const auto& [q, t] : queueOwners_) links += t->receivingLinks();
              const auto& l = settings_.limits;
              const auto each = l.memoryBytes / l.messageBytes / links;
              return static_cast<int>(
                  std::clamp<std::size_t>(each, 1, static_cast<std::size_t>(l.credit)));
          }},
      admin_(loop, settings_.admin, {}, [this](http::Request r) { return answer(std::move(r)); }) {
    if (!settings_.listen.empty())
        clientListener_ = std::make_unique<ClientListener>(loop_, settings_, counters_,
                                                           tlsOf(settings_), linkHooks());
    for (const auto& source : settings_.sources)
        consumers_.push_back(
            std::make_unique<Consumer>(loop_, settings_, source, linkHooks(), ++seed));
}
Gateway::~Gateway() = default;

ClientListener::Hooks Gateway::linkHooks() {
    return {[this](const QueueName& q) { return route(q); },
            [this](const std::shared_ptr<QueueOwner>& t, IncomingMessage a) {
                arrived(t, std::move(a));
            },
            [this](const std::string& tag, const amqp::Disposition& d) {
                std::uint64_t serial = 0;
                std::from_chars(tag.data(), tag.data() + tag.size(), serial);
                const auto it = bySerial_.find(serial);
                if (it == bySerial_.end()) return;
                if (const auto t = it->second.lock()) t->handleReplyDisposition(tag, d);
            },
            [this](const amqp::Connection& c, amqp::LinkId id) {
                for (const auto& [serial, weak] : bySerial_)
                    if (const auto t = weak.lock()) t->linkClosed(c, id);
            },
            [this](const QueueName& q) {
                for (const auto& [name, t] : queueOwners_)
                    if (q.empty() || q == name) t->sendReplies();
            }};
}

void Gateway::start() {
    members_.start(scope_);
    if (clientListener_) clientListener_->start(scope_);
    for (const auto& c : consumers_) c->start(scope_);
    admin_.start(scope_);
}

std::optional<std::string> Gateway::reload() {
    if (!clientListener_ || !settings_.tls) return std::nullopt;
    auto loaded = amqp::loadTls(*settings_.tls, true);
    if (auto* wrong = std::get_if<std::string>(&loaded)) return std::move(*wrong);
    clientListener_->setTls(std::get<amqp::TlsHandle>(std::move(loaded)));
    return std::nullopt;
}

std::shared_ptr<QueueOwner> Gateway::queueOwner(const QueueName& queue) const {
    const auto it = queueOwners_.find(queue);
    return it == queueOwners_.end() ? nullptr : it->second;
}

// Queues gained and lost.

Route Gateway::route(const QueueName& queue) const {
    const auto t = queueOwner(queue);
    if (t && t->ready() && !t->closing()) return {t, ""};
    if (t) return {};
    const Member* holder = members_.holder(queue);
    // A draining holder is about to release the queue: wait for the next holder.
    if (holder == nullptr || holder->draining || holder->instance == settings_.instance) return {};
    return {nullptr, holder->advertise};
}

void Gateway::gained(const QueueName& queue, kv_store::Precondition fence) {
    ++counters_.queuesGained;
    std::erase_if(bySerial_, [](const auto& s) { return s.second.expired(); });
    const auto t = std::make_shared<QueueOwner>(services_, settings_.queues.at(queue),
                                                std::move(fence), nextSerial_++);
    queueOwners_[queue] = t;
    bySerial_[t->serial()] = t;
    t->start([this] { routesChanged(); });
}

Task<void> Gateway::yield(QueueName queue) {
    const auto t = queueOwner(queue);
    if (!t) co_return;
    co_await t->drain();
    if (scope_.cancelled()) co_return;
    if (queueOwner(queue) == t) queueOwners_.erase(queue);
    routesChanged();
    co_await t->end();
}

void Gateway::lost(const QueueName& queue) {
    const auto t = queueOwner(queue);
    if (!t) return;
    ++counters_.queuesLost;
    queueOwners_.erase(queue);
    scope_.spawn([](std::shared_ptr<QueueOwner> queueOwner) -> Task<void> {
        co_await queueOwner->end();
    }(t));
    routesChanged();
}

void Gateway::routesChanged() {
    if (scope_.cancelled()) return;
    if (clientListener_) clientListener_->routesChanged();
    for (const auto& c : consumers_) c->routesChanged();
}

// Incoming messages, round robin by team.

void Gateway::arrived(const std::shared_ptr<QueueOwner>& t, IncomingMessage arrival) {
    t->trackArrival(arrival);
    incoming_.push(t->queue().team, {t, std::move(arrival)});
    startWaiting();
}
void Gateway::startWaiting() {
    while (inProgress_ < settings_.limits.maxMessagesInProgress && !scope_.cancelled()) {
        auto next = incoming_.next();
        if (!next) return;
        ++inProgress_;
        scope_.spawn(take(std::move(*next)));
    }
}
Task<void> Gateway::take(Waiting w) {
    const auto t = w.queueOwner;
    co_await t->processMessage(std::move(w.arrival));
    --inProgress_;
    startWaiting();
}

// Drain and shutdown.

void Gateway::drain() {
    if (std::exchange(draining_, true)) return;
    spdlog::info("drain started");
    scope_.spawn(drainAndEnd());
}

Task<void> Gateway::drainAndEnd() {
    members_.drain();
    const TimePoint until = loop_.now() + drainTimeout;
    while (!members_.idle() && loop_.now() < until && !scope_.cancelled())
        co_await loop_.sleep(50ms, scope_);
    co_await loop_.sleep(finalWriteDelay, scope_);
    co_await members_.leave(scope_);
    spdlog::info(members_.idle() ? "drain finished"
                                 : "drain timed out; other instances take the remaining queues "
                                   "when the lease expires");
    ended_ = true;
}

Task<void> Gateway::end() {
    ended_ = true;
    std::vector<std::shared_ptr<QueueOwner>> all;
    for (const auto& [serial, weak] : bySerial_)
        if (auto t = weak.lock()) all.push_back(std::move(t));
    for (const auto& t : all) co_await t->end();
    co_await scope_.cancelAndWait();
}

// The admin interface.

Task<http::Response> Gateway::answer(http::Request r) {
    const std::string path = r.target.substr(0, r.target.find('?'));
    auto given = parameters(r.target);
    const bool get = r.method == "GET", post = r.method == "POST";
    if (path == "/queues" && get) co_return queues();
    if (path == "/ledger" && get) {
        std::size_t most = defaultLedgerLines;
        const std::string& limit = given["limit"];
        std::from_chars(limit.data(), limit.data() + limit.size(), most);
        co_return ledger(given["queue"], given["key"], given["stage"],
                         std::min(most, maxLedgerLines));
    }
    if (path == "/replay" && post) co_return replay(given["queue"], given["key"]);
    if (path == "/drain" && post) {
        drain();
        co_return http::Response{200, R"({"draining":true})"};
    }
    co_return text(404, "no such path");
}

http::Response Gateway::queues() const {
    json::Writer out;
    out.open().field("instance", settings_.instance).field("draining", draining_);
    out.key("members").openArray();
    for (const auto& [name, m] : members_.all())
        out.open().field("instance", name).field("draining", m.draining).close();
    out.closeArray().key("queues").openArray();
    for (const auto& [name, q] : settings_.queues) {
        const Member* holder = members_.holder(name);
        out.open().field("queue", name);
        out.field("holder", holder == nullptr ? "" : holder->instance);
        if (const auto t = queueOwner(name)) {
            const MessageJournal& b = t->journal();
            out.field("ready", t->ready());
            for (const Stage s :
                 {Stage::entered, Stage::refused, Stage::accepted, Stage::final, Stage::replied})
                out.field(nameOf(s), static_cast<std::uint64_t>(b.count(s)));
            out.field("links", static_cast<std::uint64_t>(t->receivingLinks()));
            out.field("untaken", static_cast<std::uint64_t>(t->unsettledCount()));
            out.field("oldestS", toSeconds(t->oldestUnsettledAge()))
                .field("window", t->creditWindow());
            out.field("pages", static_cast<std::uint64_t>(b.pages()));
        }
        out.close();
    }
    out.closeArray().key("sources").openArray();
    for (const auto& c : consumers_)
        out.open().field("source", c->name()).field("connected", c->connected()).close();
    out.closeArray().key("counters").open();
    for (const auto& [name, n] : counters_.all()) out.field(name, n);
    out.field("submissionRetries", controllers_.retries());
    out.field("clients",
              static_cast<std::uint64_t>(clientListener_ ? clientListener_->connections() : 0));
    out.field("waiting", static_cast<std::uint64_t>(incoming_.size()));
    out.close().close();
    return {200, out.text()};
}

std::optional<http::Response> Gateway::notHeldHere(const std::string& queue) const {
    if (!settings_.queues.contains(queue))
        return text(404, "no such queue: expected <team>/<class> of the settings");
    const auto t = queueOwner(queue);
    if (t && t->ready()) return std::nullopt;
    json::Writer out;
    out.open().field("error", "this instance does not hold the queue");
    if (const Member* holder = members_.holder(queue))
        out.field("instance", holder->instance).field("admin", holder->admin);
    out.close();
    return http::Response{421, out.text()};
}

http::Response Gateway::ledger(const std::string& queue, const std::string& key,
                               const std::string& stage, std::size_t most) const {
    if (auto refusal = notHeldHere(queue)) return std::move(*refusal);
    const auto wanted = stageOf(stage);
    if (!stage.empty() && !wanted) return text(400, "stage: expected a stage of the ledger");
    const MessageJournal& journal = queueOwner(queue)->journal();
    std::map<std::string, const JournalEntry*> lines;
    if (!key.empty()) {
        if (const JournalEntry* e = journal.find(key)) lines[e->ref] = e;
    } else {
        journal.forEach([&](const JournalEntry& e) {
            if (wanted && e.stage != *wanted) return;
            lines[e.ref] = &e;
            if (lines.size() > most) lines.erase(lines.begin());  // keeps the newest
        });
    }
    json::Writer out;
    out.open().field("queue", queue).field("entries", static_cast<std::uint64_t>(journal.size()));
    out.key("lines").openArray();
    for (const auto& [ref, e] : lines) {
        out.open().field("ref", ref).field("key", e->key).field("stage", nameOf(e->stage));
        out.field("status", e->status).field("number", e->number);
        out.field("attempts", e->attempts).field("origin", e->origin).field("replyTo", e->replyTo);
        out.field("why", e->reason).field("stands", journal.isDurable(e->key));
        out.field("forgetMs", static_cast<std::int64_t>(e->expiresAt.count())).close();
    }
    out.closeArray().close();
    return {200, out.text()};
}

http::Response Gateway::replay(const std::string& queue, const std::string& key) {
    if (auto refusal = notHeldHere(queue)) return std::move(*refusal);
    if (const auto wrong = queueOwner(queue)->replay(key)) return text(409, *wrong);
    return {200, R"({"replayed":true})"};
}

}  // namespace basaltchute::gateway
