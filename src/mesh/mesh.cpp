#include "mesh/mesh.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <spdlog/spdlog.h>

#include <cstring>

#include "mesh/mesh.capnp.h"

namespace basaltchute::mesh {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxFrame = 1024 * 1024;
constexpr Duration helloEvery = 500ms;
constexpr Duration silence = 3s;  // a peer that says nothing for this long is not there

capnp::Data::Reader bytes(const std::string& s) {
    return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
std::string text(capnp::Data::Reader d) {
    return {reinterpret_cast<const char*>(d.begin()), d.size()};
}
std::string text(capnp::Text::Reader t) {
    return {t.cStr(), t.size()};
}

}  // namespace

std::string encode(const Message& m) {
    capnp::MallocMessageBuilder builder;
    auto frame = builder.initRoot<wire::Frame>();
    if (m.hello) {
        auto h = frame.initHello();
        h.setNode(m.hello->node.c_str());
        h.setLeading(m.hello->leading);
        h.setToken(m.hello->token);
    } else if (m.request) {
        auto r = frame.initRequest();
        r.setId(m.id);
        r.setMethod(m.request->method.c_str());
        r.setTarget(m.request->target.c_str());
        r.setBody(bytes(m.request->body));
    } else if (m.reply) {
        auto r = frame.initReply();
        r.setId(m.id);
        r.setStatus(static_cast<std::uint16_t>(m.reply->status));
        r.setRetryAfterS(static_cast<std::uint32_t>(m.reply->retryAfterS));
        r.setBody(bytes(m.reply->body));
    }
    const auto words = capnp::messageToFlatArray(builder);
    const auto payload = words.asBytes();
    const auto n = static_cast<std::uint32_t>(payload.size());
    std::string out(sizeof n, '\0');
    for (std::size_t i = 0; i < sizeof n; ++i) out[i] = static_cast<char>((n >> (8 * i)) & 0xff);
    out.append(reinterpret_cast<const char*>(payload.begin()), payload.size());
    return out;
}

Decoded decode(std::string& data, Message& into) {
    std::uint32_t n = 0;
    if (data.size() < sizeof n) return Decoded::needMore;
    for (std::size_t i = 0; i < sizeof n; ++i)
        n |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[i])) << (8 * i);
    if (n > maxFrame || n == 0 || n % sizeof(capnp::word) != 0) return Decoded::broken;
    if (data.size() < sizeof n + n) return Decoded::needMore;
    auto words = kj::heapArray<capnp::word>(n / sizeof(capnp::word));
    std::memcpy(words.begin(), data.data() + sizeof n, n);
    data.erase(0, sizeof n + n);
    into = {};
    try {
        capnp::FlatArrayMessageReader reader(words);
        const auto frame = reader.getRoot<wire::Frame>();
        if (frame.isHello()) {
            const auto h = frame.getHello();
            into.hello = Hello{text(h.getNode()), h.getLeading(), h.getToken()};
        } else if (frame.isRequest()) {
            const auto r = frame.getRequest();
            into.id = r.getId();
            into.request = http::Request{text(r.getMethod()), text(r.getTarget()), text(r.getBody())};
        } else if (frame.isReply()) {
            const auto r = frame.getReply();
            into.id = r.getId();
            into.reply = http::Response{r.getStatus(), text(r.getBody()),
                                        static_cast<int>(r.getRetryAfterS())};
        } else {
            return Decoded::broken;
        }
    } catch (const kj::Exception& e) {
        spdlog::warn("mesh: a frame that does not decode: {}", e.getDescription().cStr());
        return Decoded::broken;
    }
    return Decoded::message;
}

Mesh::Mesh(Loop& loop, const settings::Settings& s, Hooks hooks)
    : loop_(loop), listen_(s.meshListen), peers_(s.peers), hooks_(std::move(hooks)), changed_(loop) {}

void Mesh::start(Scope& scope) {
    listener_ = std::make_unique<Listener>(loop_, listen_);
    scope.spawn(acceptAll(scope));
    for (const auto& p : peers_) scope.spawn(dial(p, scope));
}

bool Mesh::connected(const std::string& node) const {
    const auto it = links_.find(node);
    return it != links_.end() && !it->second->broken;
}

void Mesh::announce() {
    for (auto& [node, link] : links_) say(*link, Message{hooks_.hello(), {}, {}, 0});
}

void Mesh::say(Link& link, const Message& message) {
    link.out += encode(message);
    link.wake.notify();
}

Task<void> Mesh::flush(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        if (link->out.empty()) {
            co_await loop_.wait(link->wake, TimePoint::max(), scope);
            continue;
        }
        const std::string chunk = std::exchange(link->out, {});
        const bool ok = co_await link->socket->write(chunk, loop_.now() + silence, scope);
        if (!ok) link->broken = true;
    }
}

Task<void> Mesh::greet(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        say(*link, Message{hooks_.hello(), {}, {}, 0});
        co_await loop_.sleep(helloEvery, scope);
    }
}

Task<void> Mesh::dial(settings::Peer peer, Scope& scope) {
    const auto to = parseAddress(peer.address);
    while (!scope.cancelled()) {
        auto socket = co_await Socket::connect(loop_, *to, loop_.now() + 1s, scope);
        if (!socket) {
            co_await loop_.sleep(300ms, scope);
            continue;
        }
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        links_[peer.name] = link;
        scope.spawn(flush(link, scope));
        scope.spawn(greet(link, scope));
        std::string data;
        while (!link->broken && !scope.cancelled()) {
            Message m;
            const Decoded d = decode(data, m);
            if (d == Decoded::broken) break;
            if (d == Decoded::message) {
                if (const auto it = pending_.find(m.id); m.reply && it != pending_.end()) {
                    it->second->response = std::move(*m.reply);
                    it->second->done.notify();
                }
                if (m.hello && m.hello->leading) hooks_.heard({m.hello->node, m.hello->token});
                continue;
            }
            // The other side greets back, so silence means that it cannot be reached.
            const long n = co_await link->socket->read(data, loop_.now() + silence, scope);
            if (n <= 0) break;
        }
        link->broken = true;
        link->wake.notify();
        if (links_[peer.name] == link) links_.erase(peer.name);
        for (auto& [id, p] : pending_) {
            if (p->node != peer.name || p->response) continue;
            p->lost = true;
            p->done.notify();
        }
    }
}

Task<void> Mesh::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_->accept(scope);
        if (!socket) break;
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        scope.spawn(flush(link, scope));
        scope.spawn(greet(link, scope));
        scope.spawn(serve(link, scope));
    }
}

Task<void> Mesh::serve(std::shared_ptr<Link> link, Scope& scope) {
    std::string data;
    while (!link->broken && !scope.cancelled()) {
        Message m;
        const Decoded d = decode(data, m);
        if (d == Decoded::broken) break;
        if (d == Decoded::message) {
            if (m.hello && m.hello->leading) hooks_.heard({m.hello->node, m.hello->token});
            if (m.request) scope.spawn(answer(link, m.id, std::move(*m.request)));
            continue;
        }
        const long n = co_await link->socket->read(data, loop_.now() + silence, scope);
        if (n <= 0) break;
    }
    link->broken = true;
    link->wake.notify();
}

Task<void> Mesh::answer(std::shared_ptr<Link> link, std::uint64_t id, http::Request request) {
    http::Response response = co_await hooks_.serve(std::move(request));
    Message m;
    m.id = id;
    m.reply = std::move(response);
    if (!link->broken) say(*link, m);
}

Task<http::Outcome> Mesh::forward(std::string node, http::Request request, Duration patience,
                                  Scope& scope) {
    http::Outcome out;
    const auto it = links_.find(node);
    if (it == links_.end() || it->second->broken) co_return out;
    auto pending = std::make_shared<Pending>(loop_);
    pending->node = node;
    const std::uint64_t id = nextId_++;
    pending_[id] = pending;
    Message m;
    m.id = id;
    m.request = std::move(request);
    say(*it->second, m);
    out.sent = true;
    const TimePoint until = loop_.now() + patience;
    while (!pending->response && !pending->lost && loop_.now() < until && !scope.cancelled())
        co_await loop_.wait(pending->done, until, scope);
    pending_.erase(id);
    if (pending->response) {
        out.answered = true;
        out.response = std::move(*pending->response);
    }
    co_return out;
}

}  // namespace basaltchute::mesh
