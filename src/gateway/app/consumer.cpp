#include "gateway/app/consumer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {
constexpr Duration connectTimeout = 5s;
constexpr Duration leastPause = 250ms, mostPause = 30s;  // between two connections
constexpr Duration refusedPause = 5s;                    // of a link
constexpr std::size_t mostSenders = 200;                 // reply-to addresses kept open
}  // namespace

Consumer::Consumer(EventLoop& loop, const Settings& settings, const Source& source,
                   ClientListener::Hooks hooks, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      source_(source),
      hooks_(std::move(hooks)),
      random_(seed),
      wake_(loop),
      pause_(leastPause) {}

void Consumer::start(Scope& scope) {
    scope.spawn(run(scope));
}

bool Consumer::wanted() const {
    return std::any_of(source_.consume.begin(), source_.consume.end(),
                       [&](const auto& c) { return hooks_.route(c.first).here != nullptr; });
}

Task<void> Consumer::run(Scope& scope) {
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    while (!scope.cancelled()) {
        if (!wanted()) {
            co_await loop_.wait(wake_, TimePoint::max(), scope);
            continue;
        }
        co_await connect(scope);
        if (scope.cancelled()) co_return;
        co_await loop_.sleep(fromSeconds(toSeconds(pause_) * jitter(random_)), scope);
        pause_ = std::min(pause_ * 2, Duration(mostPause));
    }
}

Task<void> Consumer::connect(Scope& scope) {
    amqp::Connection::Options options;
    options.container = settings_.instance;
    options.limits.messageBytes = settings_.limits.messageBytes;
    options.identity.user = source_.user;
    options.identity.password = source_.password;
    options.identity.plainInClear = source_.passwordsInClear;
    if (source_.tls) {
        // Read at each connection: new certificates need no restart.
        auto loaded = amqp::loadTls(*source_.tls, false);
        if (const auto* wrong = std::get_if<std::string>(&loaded)) {
            spdlog::error("source {}: {}", source_.name, *wrong);
            co_return;
        }
        options.tls = std::get<amqp::TlsHandle>(std::move(loaded));
        options.host = source_.tls->host;
        options.identity.external = !source_.tls->certificate.empty();
    }
    const auto to = parseAddress(source_.address);
    auto socket = co_await Socket::connect(loop_, *to, loop_.now() + connectTimeout, scope);
    if (!socket) {
        spdlog::debug("source {}: no connection to {}", source_.name, source_.address);
        co_return;
    }
    connection_ =
        std::make_shared<amqp::Connection>(loop_, std::move(socket), std::move(options), *this);
    const auto held = connection_;
    co_await amqp::Connection::run(held, scope);
}

void Consumer::opened(amqp::Connection&) {
    open_ = true;
    pause_ = leastPause;
    spdlog::info("source {}: connected to {}", source_.name, source_.address);
    routesChanged();
}

void Consumer::ended(amqp::Connection&, const amqp::Condition& why) {
    if (open_ || !why.empty())
        spdlog::info("source {}: connection ended {} {}", source_.name, why.name, why.description);
    open_ = false;
    while (!receivers_.empty()) drop(receivers_.begin()->first);
    while (!senders_.empty()) drop(senders_.begin()->first);
    connection_.reset();
}

void Consumer::routesChanged() {
    wake_.notify();
    if (!open_ || !connection_ || connection_->over()) return;
    if (!wanted()) {
        const bool underWay = std::any_of(receivers_.begin(), receivers_.end(), [](const auto& r) {
            return r.second.tenure->untaken() > 0;
        });
        if (!underWay) connection_->close();
        return;
    }
    std::vector<amqp::LinkId> stale;
    std::set<QueueName> served;
    for (const auto& [id, r] : receivers_) {
        const auto here = hooks_.route(r.queue).here;
        if (here == r.tenure)
            served.insert(r.queue);
        else if (!(r.tenure->closing() && r.tenure->untaken() > 0))
            stale.push_back(id);
    }
    for (const auto id : stale) {
        drop(id);
        connection_->detach(id);
    }
    for (const auto& [queue, from] : source_.consume) {
        auto here = hooks_.route(queue).here;
        if (!here || served.contains(queue)) continue;
        if (const auto it = refused_.find(from); it != refused_.end() && it->second > loop_.now())
            continue;
        // Its own name for each tenure: a broker may remember a link by its name.
        const std::string link =
            settings_.instance + '/' + queue + '/' + std::to_string(here->serial());
        receivers_[connection_->receiveFrom(from, link)] = {queue, std::move(here)};
    }
}

std::optional<ReplyLink> Consumer::outlet(const std::string& replyTo) {
    if (!open_ || !connection_ || connection_->over()) return std::nullopt;
    for (const auto& [id, s] : senders_)
        if (s.address == replyTo)
            return s.confirmed ? std::optional<ReplyLink>({connection_, id}) : std::nullopt;
    if (const auto it = refused_.find(replyTo); it != refused_.end() && it->second > loop_.now())
        return std::nullopt;
    if (senders_.size() >= mostSenders) {
        const amqp::LinkId oldest = senders_.begin()->first;
        drop(oldest);
        connection_->detach(oldest);
    }
    senders_[connection_->sendTo(replyTo, settings_.instance + "/to/" + replyTo)] = {replyTo,
                                                                                     false};
    return std::nullopt;
}

void Consumer::confirmed(amqp::Connection& c, amqp::LinkId id) {
    if (const auto it = receivers_.find(id); it != receivers_.end()) {
        it->second.tenure->addInlet(c.shared_from_this(), id, source_.name);
    } else if (const auto to = senders_.find(id); to != senders_.end()) {
        to->second.confirmed = true;
    }
}

void Consumer::arrived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                       amqp::Message message, std::string broken) {
    const auto it = receivers_.find(id);
    if (it == receivers_.end()) {
        c.settle(delivery, {amqp::Outcome::released, {}, false});
        return;
    }
    hooks_.arrived(it->second.tenure, {c.weak_from_this(), id, delivery, std::move(message),
                                       std::move(broken), loop_.now()});
}

void Consumer::decided(amqp::Connection&, amqp::LinkId, const std::string& tag,
                       amqp::Disposition d) {
    hooks_.decided(tag, d);
}

void Consumer::credited(amqp::Connection&, amqp::LinkId id) {
    if (senders_.contains(id)) hooks_.credited("");
}

void Consumer::drop(amqp::LinkId id) {
    receivers_.erase(id);
    senders_.erase(id);
    if (connection_) hooks_.linkGone(*connection_, id);
}

void Consumer::detached(amqp::Connection&, amqp::LinkId id, const amqp::Condition& why) {
    std::string address;
    if (const auto r = receivers_.find(id); r != receivers_.end())
        address = source_.consume.at(r->second.queue);
    if (const auto s = senders_.find(id); s != senders_.end()) address = s->second.address;
    if (!address.empty()) {
        spdlog::warn("source {}: link to {} ended {} {}", source_.name, address, why.name,
                     why.description);
        refused_[address] = loop_.now() + refusedPause;
    }
    std::erase_if(refused_, [&](const auto& r) { return r.second <= loop_.now(); });
    drop(id);
}

}  // namespace basaltchute::gateway
