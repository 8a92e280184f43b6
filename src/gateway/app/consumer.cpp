#include "gateway/app/consumer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace basaltchute::gateway {

using namespace std::chrono_literals;

namespace {
constexpr Duration connectTimeout = 5s;
constexpr Duration minReconnectDelay = 250ms,
                   maxReconnectDelay = 30s;  // between connection attempts
constexpr Duration linkRetryDelay = 5s;      // after a link was refused
constexpr std::size_t maxSenders = 200;      // reply-to addresses kept open
}  // namespace

Consumer::Consumer(EventLoop& loop, const Settings& settings, const Source& source,
                   ClientListener::Hooks hooks, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      source_(source),
      hooks_(std::move(hooks)),
      random_(seed),
      wake_(loop),
      reconnectDelay_(minReconnectDelay) {}

void Consumer::start(Scope& scope) {
    scope.spawn(run(scope));
}

bool Consumer::feedsLocalQueue() const {
    return std::any_of(source_.consume.begin(), source_.consume.end(),
                       [&](const auto& c) { return hooks_.route(c.first).localOwner != nullptr; });
}

Task<void> Consumer::run(Scope& scope) {
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    while (!scope.cancelled()) {
        if (!feedsLocalQueue()) {
            co_await loop_.wait(wake_, TimePoint::max(), scope);
            continue;
        }
        co_await connect(scope);
        if (scope.cancelled()) co_return;
        co_await loop_.sleep(fromSeconds(toSeconds(reconnectDelay_) * jitter(random_)), scope);
        reconnectDelay_ = std::min(reconnectDelay_ * 2, Duration(maxReconnectDelay));
    }
}

Task<void> Consumer::connect(Scope& scope) {
    amqp::Connection::Options options;
    options.container = settings_.instance;
    options.limits.messageBytes = settings_.limits.messageBytes;
    options.identity.user = source_.user;
    options.identity.password = source_.password;
    options.identity.allowPlainWithoutTls = source_.passwordsInClear;
    if (source_.tls) {
        // Loaded for each connection, so that new certificates need no restart.
        auto loaded = amqp::loadTls(*source_.tls, false);
        if (const auto* wrong = std::get_if<std::string>(&loaded)) {
            spdlog::error("source certificates cannot be loaded: source={} error={}", source_.name,
                          *wrong);
            co_return;
        }
        options.tls = std::get<amqp::TlsHandle>(std::move(loaded));
        options.host = source_.tls->host;
        options.identity.useCertificate = !source_.tls->certificate.empty();
    }
    const auto to = parseAddress(source_.address);
    auto socket = co_await Socket::connect(loop_, *to, loop_.now() + connectTimeout, scope);
    if (!socket) {
        spdlog::debug("source connection failed: source={} address={}", source_.name,
                      source_.address);
        co_return;
    }
    connection_ =
        std::make_shared<amqp::Connection>(loop_, std::move(socket), std::move(options), *this);
    const auto held = connection_;
    co_await amqp::Connection::run(held, scope);
}

void Consumer::opened(amqp::Connection&) {
    open_ = true;
    reconnectDelay_ = minReconnectDelay;
    spdlog::info("source connected: source={} address={}", source_.name, source_.address);
    routesChanged();
}

void Consumer::ended(amqp::Connection&, const amqp::Condition& why) {
    if (open_ || !why.empty())
        spdlog::info("source connection ended: source={} condition={} description={}", source_.name,
                     why.name, why.description);
    open_ = false;
    while (!receivers_.empty()) drop(receivers_.begin()->first);
    while (!senders_.empty()) drop(senders_.begin()->first);
    connection_.reset();
}

void Consumer::routesChanged() {
    wake_.notify();
    if (!open_ || !connection_ || connection_->closed()) return;
    if (!feedsLocalQueue()) {
        const bool inProgress =
            std::any_of(receivers_.begin(), receivers_.end(),
                        [](const auto& r) { return r.second.queueOwner->unsettledCount() > 0; });
        if (!inProgress) connection_->close();
        return;
    }
    std::vector<amqp::LinkId> stale;
    std::set<QueueName> served;
    for (const auto& [id, r] : receivers_) {
        const auto here = hooks_.route(r.queue).localOwner;
        if (here == r.queueOwner)
            served.insert(r.queue);
        else if (!(r.queueOwner->closing() && r.queueOwner->unsettledCount() > 0))
            stale.push_back(id);
    }
    for (const auto id : stale) {
        drop(id);
        connection_->detach(id);
    }
    for (const auto& [queue, from] : source_.consume) {
        auto here = hooks_.route(queue).localOwner;
        if (!here || served.contains(queue)) continue;
        if (const auto it = retryLinkAt_.find(from);
            it != retryLinkAt_.end() && it->second > loop_.now())
            continue;
        // A different link name for each queue owner: a broker may keep state by link name.
        const std::string link =
            settings_.instance + '/' + queue + '/' + std::to_string(here->serial());
        receivers_[connection_->receiveFrom(from, link)] = {queue, std::move(here)};
    }
}

std::optional<ReplyLink> Consumer::replyLinkFor(const std::string& replyTo) {
    if (!open_ || !connection_ || connection_->closed()) return std::nullopt;
    for (const auto& [id, s] : senders_)
        if (s.address == replyTo)
            return s.confirmed ? std::optional<ReplyLink>({connection_, id}) : std::nullopt;
    if (const auto it = retryLinkAt_.find(replyTo);
        it != retryLinkAt_.end() && it->second > loop_.now())
        return std::nullopt;
    if (senders_.size() >= maxSenders) {
        const amqp::LinkId oldest = senders_.begin()->first;
        drop(oldest);
        connection_->detach(oldest);
    }
    senders_[connection_->sendTo(replyTo, settings_.instance + "/to/" + replyTo)] = {replyTo,
                                                                                     false};
    return std::nullopt;
}

void Consumer::linkOpened(amqp::Connection& c, amqp::LinkId id) {
    if (const auto it = receivers_.find(id); it != receivers_.end()) {
        it->second.queueOwner->addReceivingLink(c.shared_from_this(), id, source_.name);
    } else if (const auto to = senders_.find(id); to != senders_.end()) {
        to->second.confirmed = true;
    }
}

void Consumer::messageReceived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                               amqp::Message message, std::string broken) {
    const auto it = receivers_.find(id);
    if (it == receivers_.end()) {
        c.settle(delivery, {amqp::Outcome::released, {}, false});
        return;
    }
    hooks_.arrived(it->second.queueOwner, {c.weak_from_this(), id, delivery, std::move(message),
                                           std::move(broken), loop_.now()});
}

void Consumer::dispositionReceived(amqp::Connection&, amqp::LinkId, const std::string& tag,
                                   amqp::Disposition d) {
    hooks_.decided(tag, d);
}

void Consumer::creditUpdated(amqp::Connection&, amqp::LinkId id) {
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
        spdlog::warn("source link detached: source={} address={} condition={} description={}",
                     source_.name, address, why.name, why.description);
        retryLinkAt_[address] = loop_.now() + linkRetryDelay;
    }
    std::erase_if(retryLinkAt_, [&](const auto& r) { return r.second <= loop_.now(); });
    drop(id);
}

}  // namespace basaltchute::gateway
