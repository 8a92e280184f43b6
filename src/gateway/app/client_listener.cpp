#include "gateway/app/client_listener.h"

#include <spdlog/spdlog.h>

namespace basaltchute::gateway {

namespace {

const std::string queuePrefix = "queue/";
const std::string replyStart = "reply/";

/// `<team>/<class>` at the start of the rest of an address; empty if there is none.
QueueName queueOf(const std::string& address, const std::string& prefix) {
    if (!address.starts_with(prefix)) return "";
    const auto slash = address.find('/', prefix.size());
    if (slash == std::string::npos) return "";
    const auto end = address.find('/', slash + 1);
    return address.substr(prefix.size(),
                          (end == std::string::npos ? address.size() : end) - prefix.size());
}

}  // namespace

/// One client's connection and its links.
class ClientListener::Session final : public amqp::Handler {
  public:
    explicit Session(ClientListener& clientListener) : clientListener_(clientListener) {}
    std::shared_ptr<amqp::Connection> connection;

    void attached(amqp::Connection& c, amqp::LinkId id, const amqp::Attach& a) override {
        Link link;
        link.peerSends = a.peerSends;
        link.address = a.peerSends ? a.target : a.source;
        link.queue = queueOf(link.address, a.peerSends ? queuePrefix : replyStart);
        const auto queue = clientListener_.settings_.queues.find(link.queue);
        const bool whole = a.peerSends
                               ? link.address == queuePrefix + link.queue
                               : link.address.size() > replyAddressPrefix(link.queue).size();
        if (queue == clientListener_.settings_.queues.end() || !whole)
            return c.refuse(id, {"amqp:not-found",
                                 "expected queue/<team>/<class> to send to, or "
                                 "reply/<team>/<class>/<name> to read from",
                                 {}});
        if (!mayUse(queue->second.team))
            return c.refuse(id, {"amqp:unauthorized-access",
                                 "this user may not use queues of team " + queue->second.team,
                                 {}});
        links_[id] = std::move(link);
        settle(id, links_[id]);
    }
    void messageReceived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                         amqp::Message message, std::string broken) override {
        const auto it = links_.find(id);
        if (it == links_.end() || !it->second.queueOwner) {
            c.settle(delivery, {amqp::Outcome::released, {}, false});
            return;
        }
        clientListener_.hooks_.arrived(
            it->second.queueOwner, {connection, id, delivery, std::move(message), std::move(broken),
                                    clientListener_.loop_.now()});
    }
    void dispositionReceived(amqp::Connection&, amqp::LinkId, const std::string& tag,
                             amqp::Disposition d) override {
        clientListener_.hooks_.decided(tag, d);
    }
    void creditUpdated(amqp::Connection&, amqp::LinkId id) override {
        if (const auto it = links_.find(id); it != links_.end())
            clientListener_.hooks_.credited(it->second.queue);
    }
    void detached(amqp::Connection&, amqp::LinkId id, const amqp::Condition&) override { drop(id); }
    void ended(amqp::Connection&, const amqp::Condition& why) override {
        if (!why.empty())
            spdlog::debug("client connection ended: condition={} description={}", why.name,
                          why.description);
        while (!links_.empty()) drop(links_.begin()->first);
    }
    void routesChanged() {
        // settle() may remove a link, so iterate over a copy of the ids.
        std::vector<amqp::LinkId> ids;
        for (const auto& [id, link] : links_) ids.push_back(id);
        for (const auto id : ids)
            if (const auto it = links_.find(id); it != links_.end()) settle(id, it->second);
    }

  private:
    struct Link {
        bool peerSends = false;
        std::string address;
        QueueName queue;
        std::shared_ptr<QueueOwner> queueOwner;  // none while nobody is known to hold the queue
    };

    [[nodiscard]] bool mayUse(const std::string& team) const {
        if (clientListener_.settings_.anonymous) return true;
        const auto user = clientListener_.settings_.users.find(connection->user());
        return user != clientListener_.settings_.users.end() && user->second.teams.contains(team);
    }

    void settle(amqp::LinkId id, Link& link) {
        const Route route = clientListener_.hooks_.route(link.queue);
        if (link.queueOwner && route.localOwner == link.queueOwner) return;
        if (link.queueOwner) {
            // The queue is being handed over: keep the link until the messages in progress are
            // settled.
            if (link.queueOwner->closing() && link.queueOwner->unsettledCount() > 0 &&
                !route.localOwner && route.remoteAddress.empty())
                return;
            const amqp::Condition why =
                route.remoteAddress.empty()
                    ? amqp::Condition{"amqp:link:detach-forced", "the queue moves", {}}
                    : redirection(route.remoteAddress);
            drop(id);
            connection->detach(id, why);
            return;
        }
        if (route.localOwner) {
            link.queueOwner = route.localOwner;
            connection->confirm(id);
            if (link.peerSends) {
                link.queueOwner->addReceivingLink(connection, id, "");
            } else {
                clientListener_.readers_[link.address].emplace_back(this, id);
                clientListener_.hooks_.credited(link.queue);
            }
        } else if (!route.remoteAddress.empty()) {
            const amqp::Condition why = redirection(route.remoteAddress);
            drop(id);
            connection->refuse(id, why);
        }
    }
    static amqp::Condition redirection(const std::string& address) {
        const auto colon = address.rfind(':');
        return {"amqp:link:redirect",
                "the queue is served at " + address,
                {{"network-host", address.substr(0, colon)},
                 {"hostname", address.substr(0, colon)},
                 {"port", address.substr(colon + 1)}}};
    }
    void drop(amqp::LinkId id) {
        const auto it = links_.find(id);
        if (it == links_.end()) return;
        const Link link = std::move(it->second);
        links_.erase(it);
        if (!link.queueOwner) return;
        if (!link.peerSends) {
            auto& all = clientListener_.readers_[link.address];
            std::erase(all, std::pair<Session*, amqp::LinkId>(this, id));
            if (all.empty()) clientListener_.readers_.erase(link.address);
        }
        clientListener_.hooks_.linkGone(*connection, id);
    }

    ClientListener& clientListener_;
    std::map<amqp::LinkId, Link> links_;
};

ClientListener::ClientListener(EventLoop& loop, const Settings& settings, Counters& counters,
                               amqp::TlsHandle tls, Hooks hooks)
    : loop_(loop),
      settings_(settings),
      counters_(counters),
      tls_(std::move(tls)),
      hooks_(std::move(hooks)),
      listener_(loop, settings.listen) {}
ClientListener::~ClientListener() = default;

void ClientListener::start(Scope& scope) {
    scope.spawn(acceptAll(scope));
}

Task<void> ClientListener::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_.accept(scope);
        if (!socket) co_return;
        const std::string peer = socket->peerIp();
        if (sessions_.size() >= settings_.limits.connections ||
            !settings_.networks.contains(peer)) {
            ++counters_.connectionsRefused;
            spdlog::debug("client connection refused: peer={}", peer);
            continue;
        }
        ++counters_.connections;
        scope.spawn(serve(std::move(socket), scope));
    }
}

Task<void> ClientListener::serve(std::unique_ptr<Socket> socket, Scope& scope) {
    auto session = std::make_shared<Session>(*this);
    amqp::Connection::Options options;
    options.container = settings_.instance;
    options.server = true;
    options.limits.messageBytes = settings_.limits.messageBytes;
    options.limits.links = settings_.limits.links;
    options.tls = tls_;
    options.identity.allowAnonymous = settings_.anonymous;
    options.identity.allowPlainWithoutTls = settings_.passwordsInClear;
    if (!settings_.users.empty())
        options.identity.checkPassword = [this](const std::string& name,
                                                const std::string& password) {
            const auto user = settings_.users.find(name);
            return user != settings_.users.end() && !user->second.password.empty() &&
                   user->second.password == password;
        };
    session->connection =
        std::make_shared<amqp::Connection>(loop_, std::move(socket), std::move(options), *session);
    const auto at = sessions_.insert(sessions_.end(), session);
    co_await amqp::Connection::run(session->connection, scope);
    // Without the goodbye of an ended connection when the instance itself ends.
    if (scope.cancelled()) co_return;
    sessions_.erase(at);
}

void ClientListener::routesChanged() {
    for (const auto& s : std::list<std::shared_ptr<Session>>(sessions_)) s->routesChanged();
}

std::optional<ReplyLink> ClientListener::replyLinkFor(const std::string& replyTo) const {
    const auto it = readers_.find(replyTo);
    if (it == readers_.end()) return std::nullopt;
    // Only the first reader gets results, so that they keep their order.
    const auto& [session, link] = it->second.front();
    return ReplyLink{session->connection, link};
}

}  // namespace basaltchute::gateway
