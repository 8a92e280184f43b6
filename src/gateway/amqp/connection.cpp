#include "gateway/amqp/connection.h"

#include <proton/condition.h>
#include <proton/connection.h>
#include <proton/connection_driver.h>
#include <proton/delivery.h>
#include <proton/link.h>
#include <proton/session.h>
#include <proton/terminus.h>
#include <proton/transport.h>

#include <algorithm>
#include <cstring>

namespace basaltchute::amqp {

namespace {

std::string textOf(const char* s) {
    return s == nullptr ? "" : s;
}

void set(pn_condition_t* to, const Condition& from) {
    if (from.empty()) return;
    pn_condition_set_name(to, from.name.c_str());
    pn_condition_set_description(to, from.description.c_str());
    if (from.info.empty()) return;
    pn_data_t* info = pn_condition_info(to);
    pn_data_put_map(info);
    pn_data_enter(info);
    for (const auto& [k, v] : from.info) {
        pn_data_put_symbol(info, pn_bytes(k.size(), k.data()));
        // The port of a redirection is a number (part 2, 2.8.16 and 2.8.18).
        if (k == "port")
            pn_data_put_ushort(info, static_cast<std::uint16_t>(std::stoul(v)));
        else
            pn_data_put_string(info, pn_bytes(v.size(), v.data()));
    }
    pn_data_exit(info);
}

Condition conditionOf(pn_condition_t* from) {
    Condition out;
    if (from == nullptr || !pn_condition_is_set(from)) return out;
    out.name = textOf(pn_condition_get_name(from));
    out.description = textOf(pn_condition_get_description(from));
    pn_data_t* info = pn_condition_info(from);
    pn_data_rewind(info);
    if (!pn_data_next(info) || pn_data_type(info) != PN_MAP) return out;
    pn_data_enter(info);
    while (pn_data_next(info)) {
        const pn_bytes_t k = pn_data_type(info) == PN_SYMBOL   ? pn_data_get_symbol(info)
                             : pn_data_type(info) == PN_STRING ? pn_data_get_string(info)
                                                               : pn_bytes_t{};
        if (!pn_data_next(info)) break;
        std::string value;
        if (pn_data_type(info) == PN_STRING) {
            const pn_bytes_t v = pn_data_get_string(info);
            value.assign(v.start, v.size);
        } else if (pn_data_type(info) == PN_USHORT) {
            value = std::to_string(pn_data_get_ushort(info));
        } else {
            continue;
        }
        if (k.size > 0) out.info[std::string(k.start, k.size)] = value;
    }
    return out;
}

std::uint64_t codeOf(Outcome o) {
    switch (o) {
        case Outcome::accepted:
            return PN_ACCEPTED;
        case Outcome::rejected:
            return PN_REJECTED;
        case Outcome::released:
            return PN_RELEASED;
        case Outcome::modified:
            return PN_MODIFIED;
        case Outcome::none:
            break;
    }
    return 0;
}
Disposition dispositionOf(pn_delivery_t* d) {
    Disposition out;
    switch (pn_delivery_remote_state(d)) {
        case PN_ACCEPTED:
            out.outcome = Outcome::accepted;
            break;
        case PN_REJECTED:
            out.outcome = Outcome::rejected;
            out.condition = conditionOf(pn_disposition_condition(pn_delivery_remote(d)));
            break;
        case PN_RELEASED:
            out.outcome = Outcome::released;
            break;
        case PN_MODIFIED:
            out.outcome = Outcome::modified;
            out.deliveryFailed = pn_disposition_is_failed(pn_delivery_remote(d));
            break;
        default:
            break;
    }
    return out;
}

template <typename T>
void* contextOf(T id) {
    // Proton's contexts are pointers; they carry ids here and are never dereferenced.
    return reinterpret_cast<void*>(static_cast<std::uintptr_t>(id));
}
std::uint64_t idOfContext(void* context) {
    return static_cast<std::uint64_t>(reinterpret_cast<std::uintptr_t>(context));
}

}  // namespace

struct Connection::Engine {
    pn_connection_driver_t driver{};
    pn_session_t* session = nullptr;
    Engine() { pn_connection_driver_init(&driver, nullptr, nullptr); }
    ~Engine() { pn_connection_driver_destroy(&driver); }
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;
};

Connection::Connection(EventLoop& loop, std::unique_ptr<Socket> socket, Options options,
                       Handler& handler)
    : loop_(loop),
      socket_(std::move(socket)),
      options_(std::move(options)),
      handler_(handler),
      engine_(std::make_unique<Engine>()),
      wake_(loop),
      writerEnded_(loop) {
    auto& d = engine_->driver;
    if (options_.tls) {
        tls_ = std::make_unique<Tls>(options_.tls);
        options_.identity.certificateName = [this] { return tls_->peerName(); };
        options_.identity.allowPlainWithoutTls = true;  // TLS encrypts the password
    }
    if (options_.server) pn_transport_set_server(d.transport);
    configureSasl(d.transport, options_.identity);
    pn_transport_set_max_frame(d.transport, static_cast<std::uint32_t>(options_.limits.frameBytes));
    pn_transport_set_idle_timeout(
        d.transport, static_cast<pn_millis_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  options_.limits.idleTimeout)
                                                  .count()));
    pn_connection_set_container(d.connection, options_.container.c_str());
    if (!options_.host.empty()) pn_connection_set_hostname(d.connection, options_.host.c_str());
    if (!options_.identity.user.empty()) {
        pn_connection_set_user(d.connection, options_.identity.user.c_str());
        pn_connection_set_password(d.connection, options_.identity.password.c_str());
    }
    pn_connection_driver_bind(&d);
    if (options_.server) return;
    pn_connection_open(d.connection);
    engine_->session = pn_session(d.connection);
    pn_session_open(engine_->session);
}

Connection::~Connection() = default;

std::string Connection::user() const {
    return options_.identity.authenticatedUser;
}

pn_link_t* Connection::link(LinkId id) const {
    const auto it = links_.find(id);
    return it == links_.end() ? nullptr : it->second;
}
LinkId Connection::idOf(pn_link_t* l) {
    if (const auto known = idOfContext(pn_link_get_context(l)); known != 0) return known;
    const LinkId id = nextLink_++;
    pn_link_set_context(l, contextOf(id));
    links_[id] = l;
    return id;
}

LinkId Connection::receiveFrom(const std::string& source, const std::string& name) {
    pn_link_t* l = pn_receiver(engine_->session, name.c_str());
    pn_terminus_set_address(pn_link_source(l), source.c_str());
    pn_link_open(l);
    wake_.notify();
    return idOf(l);
}
LinkId Connection::sendTo(const std::string& target, const std::string& name) {
    pn_link_t* l = pn_sender(engine_->session, name.c_str());
    pn_terminus_set_address(pn_link_target(l), target.c_str());
    pn_link_open(l);
    wake_.notify();
    return idOf(l);
}
void Connection::confirm(LinkId id) {
    pn_link_t* l = link(id);
    if (l == nullptr) return;
    pn_terminus_copy(pn_link_source(l), pn_link_remote_source(l));
    pn_terminus_copy(pn_link_target(l), pn_link_remote_target(l));
    if (pn_link_is_receiver(l)) pn_link_set_max_message_size(l, options_.limits.messageBytes);
    pn_link_open(l);
    wake_.notify();
}
void Connection::refuse(LinkId id, const Condition& why) {
    pn_link_t* l = link(id);
    if (l == nullptr) return;
    // Attach without a terminus, then detach with the reason (part 2, 2.6.3).
    pn_link_open(l);
    set(pn_link_condition(l), why);
    pn_link_close(l);
    wake_.notify();
}
void Connection::detach(LinkId id, const Condition& why) {
    pn_link_t* l = link(id);
    if (l == nullptr) return;
    for (auto it = deliveries_.begin(); it != deliveries_.end();) {
        const auto now = it++;
        if (now->second.link == id) settle(now->first, {Outcome::released, {}, false});
    }
    set(pn_link_condition(l), why);
    pn_link_close(l);
    wake_.notify();
}
void Connection::addCredit(LinkId id, int credit) {
    pn_link_t* l = link(id);
    if (l == nullptr || credit <= 0) return;
    pn_link_flow(l, credit);
    wake_.notify();
}
int Connection::credit(LinkId id) const {
    pn_link_t* l = link(id);
    return l == nullptr ? 0 : pn_link_credit(l);
}
void Connection::drain(LinkId id) {
    pn_link_t* l = link(id);
    if (l == nullptr || pn_link_credit(l) == 0) return;
    pn_link_drain(l, 0);
    wake_.notify();
}

bool Connection::send(LinkId id, const std::string& bytes, const std::string& tag) {
    pn_link_t* l = link(id);
    if (closed_ || l == nullptr || pn_link_credit(l) <= 0) return false;
    pn_delivery_t* d = pn_delivery(l, pn_dtag(tag.data(), tag.size()));
    if (d == nullptr) return false;
    pn_link_send(l, bytes.data(), bytes.size());
    pn_link_advance(l);
    wake_.notify();
    return true;
}

void Connection::settle(DeliveryId id, const Disposition& disposition) {
    const auto it = deliveries_.find(id);
    if (it == deliveries_.end()) return;
    pn_delivery_t* d = it->second.delivery;
    deliveries_.erase(it);
    if (disposition.outcome == Outcome::rejected)
        set(pn_disposition_condition(pn_delivery_local(d)), disposition.condition);
    if (disposition.outcome == Outcome::modified)
        pn_disposition_set_failed(pn_delivery_local(d), disposition.deliveryFailed);
    if (disposition.outcome != Outcome::none) pn_delivery_update(d, codeOf(disposition.outcome));
    pn_delivery_settle(d);
    wake_.notify();
}

void Connection::close(const Condition& why) {
    if (closed_) return;
    set(pn_connection_condition(engine_->driver.connection), why);
    pn_connection_close(engine_->driver.connection);
    wake_.notify();
}
void Connection::abort() {
    aborted_ = true;
    socket_->shutDown();
    wake_.notify();
}

void Connection::dispatch() {
    // Operations of a handler only add events, which the running loop picks up.
    if (dispatching_) return;
    dispatching_ = true;
    while (pn_event_t* event = pn_connection_driver_next_event(&engine_->driver)) handle(event);
    dispatching_ = false;
}

void Connection::handle(pn_event_t* event) {
    switch (pn_event_type(event)) {
        case PN_CONNECTION_REMOTE_OPEN: {
            pn_connection_t* c = engine_->driver.connection;
            if ((pn_connection_state(c) & PN_LOCAL_UNINIT) != 0) pn_connection_open(c);
            handler_.opened(*this);
            break;
        }
        case PN_CONNECTION_REMOTE_CLOSE:
            pn_connection_close(engine_->driver.connection);
            break;
        case PN_SESSION_REMOTE_OPEN: {
            pn_session_t* s = pn_event_session(event);
            if ((pn_session_state(s) & PN_LOCAL_UNINIT) != 0) pn_session_open(s);
            break;
        }
        case PN_SESSION_REMOTE_CLOSE:
            pn_session_close(pn_event_session(event));
            break;
        case PN_LINK_REMOTE_OPEN: {
            pn_link_t* l = pn_event_link(event);
            if ((pn_link_state(l) & PN_LOCAL_UNINIT) == 0) {
                handler_.linkOpened(*this, idOf(l));
                break;
            }
            const LinkId id = idOf(l);
            if (links_.size() > options_.limits.links) {
                refuse(id,
                       {"amqp:resource-limit-exceeded", "too many links on this connection", {}});
                break;
            }
            handler_.attached(*this, id,
                              {pn_link_is_receiver(l), textOf(pn_link_name(l)),
                               textOf(pn_terminus_get_address(pn_link_remote_source(l))),
                               textOf(pn_terminus_get_address(pn_link_remote_target(l)))});
            break;
        }
        case PN_LINK_REMOTE_CLOSE:
        case PN_LINK_REMOTE_DETACH: {
            pn_link_t* l = pn_event_link(event);
            const Condition why = conditionOf(pn_link_remote_condition(l));
            const LinkId id = idOf(l);
            if ((pn_link_state(l) & PN_LOCAL_CLOSED) == 0) pn_link_close(l);
            handler_.detached(*this, id, why);
            removeLink(l);
            break;
        }
        case PN_LINK_FLOW: {
            pn_link_t* l = pn_event_link(event);
            if (!pn_link_is_sender(l)) break;
            handler_.creditUpdated(*this, idOf(l));
            if (pn_link_get_drain(l)) pn_link_drained(l);
            break;
        }
        case PN_DELIVERY:
            onDelivery(pn_event_delivery(event));
            break;
        default:
            break;
    }
}

void Connection::removeLink(pn_link_t* l) {
    const LinkId id = idOf(l);
    links_.erase(id);
    std::erase_if(deliveries_, [&](const auto& d) { return d.second.link == id; });
    pn_link_free(l);
}

void Connection::onDelivery(pn_delivery_t* d) {
    pn_link_t* l = pn_delivery_link(d);
    if (pn_link_is_receiver(l)) {
        onIncoming(d);
        return;
    }
    if (!pn_delivery_updated(d)) return;
    const bool final = pn_delivery_settled(d) || pn_delivery_remote_state(d) >= PN_ACCEPTED;
    if (!final) {
        pn_delivery_clear(d);
        return;
    }
    const pn_delivery_tag_t tag = pn_delivery_tag(d);
    const std::string name(tag.start, tag.size);
    const Disposition disposition = dispositionOf(d);
    pn_delivery_settle(d);
    handler_.dispositionReceived(*this, idOf(l), name, disposition);
}

void Connection::onIncoming(pn_delivery_t* d) {
    pn_link_t* l = pn_delivery_link(d);
    auto id = idOfContext(pn_delivery_get_context(d));
    if (id == 0) {
        id = nextDelivery_++;
        pn_delivery_set_context(d, contextOf(id));
        deliveries_[id] = {d, idOf(l), {}, false, false};
    }
    const auto it = deliveries_.find(id);
    if (it == deliveries_.end()) return;
    auto& in = it->second;
    if (pn_delivery_aborted(d)) {
        deliveries_.erase(it);
        pn_delivery_settle(d);
        return;
    }
    if (in.complete) return;  // the peer settled or changed its state: our disposition stands
    while (const std::size_t pending = pn_delivery_pending(d)) {
        const std::size_t before = in.bytes.size();
        in.bytes.resize(before + pending);
        const ssize_t n = pn_link_recv(l, in.bytes.data() + before, pending);
        in.bytes.resize(before + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (n <= 0) break;
        // Bytes of an oversized message are discarded as they arrive, which bounds the memory that
        // it needs.
        in.tooLarge = in.tooLarge || in.bytes.size() > options_.limits.messageBytes;
        if (in.tooLarge) in.bytes.clear();
    }
    if (pn_delivery_partial(d)) return;
    in.complete = true;
    pn_link_advance(l);
    const std::string bytes = std::move(in.bytes);
    const LinkId on = in.link;
    std::string broken;
    Message message;
    if (in.tooLarge) {
        broken = "larger than " + std::to_string(options_.limits.messageBytes) + " bytes";
    } else {
        auto decoded = decode(bytes);
        if (auto* m = std::get_if<Message>(&decoded))
            message = std::move(*m);
        else
            broken = std::get<std::string>(decoded);
    }
    handler_.messageReceived(*this, on, id, std::move(message), std::move(broken));
}

bool Connection::feedEngine(std::string& plain) {
    auto& d = engine_->driver;
    std::string_view rest = plain;
    while (!rest.empty()) {
        const pn_rwbytes_t space = pn_connection_driver_read_buffer(&d);
        if (space.size == 0) return false;
        const std::size_t n = std::min(space.size, rest.size());
        std::memcpy(space.start, rest.data(), n);
        rest.remove_prefix(n);
        pn_connection_driver_read_done(&d, n);
        dispatch();
    }
    return true;
}

TimePoint Connection::updateTimer() {
    const auto ms = [](TimePoint t) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch());
    };
    const auto next = pn_transport_tick(engine_->driver.transport, ms(loop_.now()).count());
    return next == 0 ? TimePoint::max() : TimePoint(std::chrono::milliseconds(next));
}

std::string Connection::takeOutput() {
    auto& d = engine_->driver;
    std::string out;
    // Take a few frames at a time: what the peer does not read stays in the engine.
    const pn_bytes_t ready = pn_connection_driver_write_buffer(&d);
    if (ready.size > 0) {
        if (tls_)
            tls_->encrypt({ready.start, ready.size});
        else
            out.assign(ready.start, ready.size);
        pn_connection_driver_write_done(&d, ready.size);
    }
    if (tls_) out = tls_->takeOutput();
    return out;
}

Task<void> Connection::writeLoop(Scope& scope) {
    auto& d = engine_->driver;
    while (!closed_ && !scope.cancelled()) {
        const TimePoint next = updateTimer();
        dispatch();
        const std::string bytes = takeOutput();
        if (!bytes.empty()) {
            // A peer that does not read is disconnected; until then at most this buffer waits for
            // it.
            const TimePoint until = loop_.now() + options_.limits.writeTimeout;
            const bool written = co_await socket_->write(bytes, until, scope);
            if (!written) break;
            continue;
        }
        if (pn_connection_driver_write_closed(&d)) break;
        co_await loop_.wait(wake_, next, scope);
    }
    pn_connection_driver_write_close(&d);
    socket_->shutDown();
    writing_ = false;
    writerEnded_.notify();
}

Task<void> Connection::readLoop(Scope& scope) {
    auto& d = engine_->driver;
    std::string data, plain;
    while (!aborted_ && !pn_connection_driver_read_closed(&d)) {
        data.clear();
        const long n = co_await socket_->read(data, TimePoint::max(), scope);
        if (n <= 0 || aborted_) break;
        plain.clear();
        const bool complete = !tls_ || tls_->decrypt(data, plain);
        const bool fed = feedEngine(tls_ ? plain : data);
        wake_.notify();
        if (!complete || !fed) break;
    }
    pn_connection_driver_read_close(&d);
}

Task<void> Connection::run(std::shared_ptr<Connection> self, Scope& scope) {
    self->writing_ = true;
    scope.spawn([](std::shared_ptr<Connection> c, Scope& s) -> Task<void> {
        co_await c->writeLoop(s);
    }(self, scope));
    co_await self->readLoop(scope);
    self->dispatch();
    self->wake_.notify();
    while (self->writing_ && !scope.cancelled())
        co_await self->loop_.wait(self->writerEnded_, TimePoint::max(), scope);
    self->closed_ = true;
    self->dispatch();
    if (scope.cancelled()) co_return;
    auto& d = self->engine_->driver;
    Condition why = conditionOf(pn_connection_remote_condition(d.connection));
    if (why.empty()) why = conditionOf(pn_transport_condition(d.transport));
    self->deliveries_.clear();
    self->links_.clear();
    self->handler_.ended(*self, why);
}

}  // namespace basaltchute::amqp
