#include "peer_rpc/peer_rpc.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstring>
#include <vector>

#include "peer_rpc/peer_rpc.capnp.h"

namespace basaltchute::peer_rpc {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxFrameBytes = 1024 * 1024;
constexpr Duration connectTimeout = 1s, reconnectDelay = 300ms;
constexpr Duration helloInterval = 500ms;
/// Silence after which a peer counts as not connected: four Hellos are missing.
constexpr Duration helloTimeout = 2s;
/// Silence, or a write without progress, after which a connection is closed.
constexpr Duration ioTimeout = 3s;

capnp::Data::Reader toData(const std::string& s) {
    return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}
std::string toString(capnp::Data::Reader d) {
    return {reinterpret_cast<const char*>(d.begin()), d.size()};
}
std::string toString(capnp::Text::Reader t) {
    return {t.cStr(), t.size()};
}

}  // namespace

std::string encode(const Message& message) {
    capnp::MallocMessageBuilder builder;
    auto frame = builder.initRoot<wire::Frame>();
    if (message.hello) {
        auto h = frame.initHello();
        h.setNode(message.hello->node.c_str());
        h.setLeading(message.hello->leading);
        h.setToken(message.hello->token);
        h.setReady(message.hello->ready);
        h.setHears(message.hello->knownLeaderToken);
        h.setLoans(message.hello->supportsDelegations);
        h.setHandsOn(message.hello->supportsTransfers);
        h.setProcess(message.hello->incarnation.c_str());
        h.setFormat(static_cast<std::uint16_t>(message.hello->storedFormat));
    } else if (message.request) {
        auto r = frame.initRequest();
        r.setId(message.id);
        r.setMethod(message.request->method.c_str());
        r.setTarget(message.request->target.c_str());
        r.setBody(toData(message.request->body));
        r.setPurpose(message.purpose == Purpose::stateService
                         ? wire::Request::Purpose::STATE_SERVICE
                     : message.purpose == Purpose::agent ? wire::Request::Purpose::WORKER
                                                         : wire::Request::Purpose::LEADER);
        if (message.purpose == Purpose::agent) r.setWorker(message.agentAddress.c_str());
    } else if (message.pledge) {
        auto p = frame.initPledge();
        p.setId(message.id);
        p.setToken(message.pledge->token);
        p.setHoldMs(static_cast<std::uint32_t>(message.pledge->duration.count()));
    } else if (message.delegationRequest) {
        auto b = frame.initBorrow();
        b.setId(message.id);
        b.setNode(message.delegationRequest->node.c_str());
        b.setToken(message.delegationRequest->token);
        b.setNumber(message.delegationRequest->number);
        b.setSinceUseMs(
            static_cast<std::uint64_t>(message.delegationRequest->timeSinceUse.count()));
    } else if (message.delegation) {
        auto l = frame.initLoan();
        l.setId(message.id);
        l.setToken(message.delegation->token);
        l.setNumber(message.delegation->number);
        l.setSpanMs(static_cast<std::uint32_t>(message.delegation->duration.count()));
        l.setLastToken(message.delegation->lastToken);
    } else if (message.reply) {
        auto r = frame.initReply();
        r.setId(message.id);
        r.setStatus(static_cast<std::uint16_t>(message.reply->status));
        r.setRetryAfterS(static_cast<std::uint32_t>(message.reply->retryAfterS));
        r.setBody(toData(message.reply->body));
    }
    const auto words = capnp::messageToFlatArray(builder);
    const auto payload = words.asBytes();
    const auto size = static_cast<std::uint32_t>(payload.size());
    std::string out(sizeof size, '\0');
    for (std::size_t i = 0; i < sizeof size; ++i)
        out[i] = static_cast<char>((size >> (8 * i)) & 0xff);
    out.append(reinterpret_cast<const char*>(payload.begin()), payload.size());
    return out;
}

DecodeStatus decode(std::string& data, Message& into) {
    std::uint32_t size = 0;
    if (data.size() < sizeof size) return DecodeStatus::needMore;
    for (std::size_t i = 0; i < sizeof size; ++i)
        size |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[i])) << (8 * i);
    if (size > maxFrameBytes || size == 0 || size % sizeof(capnp::word) != 0)
        return DecodeStatus::malformed;
    if (data.size() < sizeof size + size) return DecodeStatus::needMore;
    auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
    std::memcpy(words.begin(), data.data() + sizeof size, size);
    data.erase(0, sizeof size + size);
    into = {};
    try {
        capnp::FlatArrayMessageReader reader(words);
        const auto frame = reader.getRoot<wire::Frame>();
        if (frame.isHello()) {
            const auto h = frame.getHello();
            into.hello = Hello{
                toString(h.getNode()), h.getLeading(), h.getToken(),   h.getReady(),
                h.getHears(),          h.getLoans(),   h.getHandsOn(), toString(h.getProcess()),
                h.getFormat()};
        } else if (frame.isRequest()) {
            const auto r = frame.getRequest();
            into.id = r.getId();
            into.request = http::Request{toString(r.getMethod()), toString(r.getTarget()),
                                         toString(r.getBody())};
            if (r.getPurpose() == wire::Request::Purpose::STATE_SERVICE)
                into.purpose = Purpose::stateService;
            if (r.getPurpose() == wire::Request::Purpose::WORKER) {
                into.purpose = Purpose::agent;
                into.agentAddress = toString(r.getWorker());
            }
        } else if (frame.isPledge()) {
            const auto p = frame.getPledge();
            into.id = p.getId();
            into.pledge = Pledge{p.getToken(), std::chrono::milliseconds(p.getHoldMs())};
        } else if (frame.isBorrow()) {
            const auto b = frame.getBorrow();
            // Any time longer than a lease means the same, so the value is capped at a day.
            constexpr std::uint64_t maxSinceUseMs = 24 * 3600 * 1000;
            into.id = b.getId();
            into.delegationRequest = lease_delegation::DelegationRequest{
                toString(b.getNode()), b.getToken(), b.getNumber(),
                std::chrono::milliseconds(
                    std::min<std::uint64_t>(b.getSinceUseMs(), maxSinceUseMs))};
        } else if (frame.isLoan()) {
            const auto l = frame.getLoan();
            into.id = l.getId();
            into.delegation = lease_delegation::Delegation{l.getToken(), l.getNumber(),
                                                           std::chrono::milliseconds(l.getSpanMs()),
                                                           l.getLastToken()};
        } else if (frame.isReply()) {
            const auto r = frame.getReply();
            into.id = r.getId();
            into.reply = http::Response{r.getStatus(), toString(r.getBody()),
                                        static_cast<int>(r.getRetryAfterS())};
        } else {
            return DecodeStatus::malformed;
        }
    } catch (const kj::Exception& e) {
        spdlog::warn("malformed frame from a peer: error={}", e.getDescription().cStr());
        return DecodeStatus::malformed;
    }
    return DecodeStatus::message;
}

PeerRpc::PeerRpc(EventLoop& loop, const settings::Settings& settings, Hooks hooks)
    : loop_(loop),
      listenAddress_(settings.peerListenAddress),
      peers_(settings.peers),
      hooks_(std::move(hooks)) {}

void PeerRpc::start(Scope& scope) {
    listener_ = std::make_unique<Listener>(loop_, listenAddress_);
    scope.spawn(acceptConnections(scope));
    for (const auto& p : peers_) {
        lastHeardAt_[p.name] = loop_.now();
        redialNow_.try_emplace(p.name, loop_);
        scope.spawn(keepConnected(p, scope));
    }
}

std::set<std::string> PeerRpc::nodesSilentFor(Duration span) const {
    std::set<std::string> out;
    for (const auto& [node, formerAt] : lastHeardAt_) {
        const auto link = links_.find(node);
        const TimePoint heardAt =
            link == links_.end() ? formerAt : std::max(formerAt, link->second->lastHeardAt);
        if (loop_.now() - heardAt > span) out.insert(node);
    }
    return out;
}

bool PeerRpc::connected(const std::string& node) const {
    // The kernel accepts connections for a suspended process too, so only received messages count.
    const auto it = links_.find(node);
    return it != links_.end() && !it->second->broken &&
           loop_.now() - it->second->lastHeardAt < helloTimeout;
}

void PeerRpc::broadcastHello() {
    for (auto& [node, link] : links_) sendHello(*link);
}

void PeerRpc::send(Link& link, const Message& message) {
    link.outgoing += encode(message);
    link.changed.notify();
}

void PeerRpc::sendHello(Link& link) {
    Message message;
    message.hello = hooks_.makeHello();
    send(link, message);
}

Task<void> PeerRpc::writeOutgoing(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        if (link->outgoing.empty()) {
            co_await loop_.wait(link->changed, TimePoint::max(), scope);
            continue;
        }
        const std::string chunk = std::exchange(link->outgoing, {});
        const bool ok = co_await link->socket->write(chunk, loop_.now() + ioTimeout, scope);
        if (!ok) link->broken = true;
    }
}

Task<void> PeerRpc::sendHellos(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        sendHello(*link);
        co_await loop_.sleep(helloInterval, scope);
    }
}

Task<void> PeerRpc::keepConnected(settings::Peer peer, Scope& scope) {
    const auto to = parseAddress(peer.address);
    while (!scope.cancelled()) {
        auto socket = co_await Socket::connect(loop_, *to, loop_.now() + connectTimeout, scope);
        if (!socket) {
            co_await loop_.wait(redialNow_.at(peer.name), loop_.now() + reconnectDelay, scope);
            continue;
        }
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        link->connectedAt = loop_.now();
        links_[peer.name] = link;
        scope.spawn(writeOutgoing(link, scope));
        scope.spawn(sendHellos(link, scope));
        std::string data;
        while (!link->broken && !scope.cancelled()) {
            Message message;
            const DecodeStatus status = decode(data, message);
            if (status == DecodeStatus::malformed) break;
            if (status == DecodeStatus::message) {
                link->lastHeardAt = loop_.now();
                if (const auto it = pending_.find(message.id);
                    message.reply && it != pending_.end()) {
                    it->second->response = std::move(*message.reply);
                    it->second->done.notify();
                } else if (message.delegation && it != pending_.end()) {
                    it->second->delegation = *message.delegation;
                    it->second->done.notify();
                }
                if (message.hello) {
                    link->hello = *message.hello;
                    supportsTransfers_[message.hello->node] = message.hello->supportsTransfers;
                    hooks_.onHello(*message.hello);
                }
                continue;
            }
            // The other side sends Hellos too, so silence means that it cannot be reached.
            const long n = co_await link->socket->read(data, loop_.now() + ioTimeout, scope);
            if (n <= 0) break;
        }
        link->broken = true;
        link->changed.notify();
        if (links_[peer.name] == link) links_.erase(peer.name);
        lastHeardAt_[peer.name] = std::max(lastHeardAt_[peer.name], link->lastHeardAt);
        for (auto& [id, p] : pending_) {
            if (p->node != peer.name || p->answered()) continue;
            p->abandoned = true;
            p->done.notify();
        }
    }
}

Task<void> PeerRpc::acceptConnections(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_->accept(scope);
        if (!socket) break;
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        link->connectedAt = loop_.now();
        scope.spawn(writeOutgoing(link, scope));
        scope.spawn(sendHellos(link, scope));
        scope.spawn(serveConnection(link, scope));
    }
}

void PeerRpc::onAcceptedHello(const Link& link, const Hello& hello) {
    const auto own = links_.find(hello.node);
    if (own == links_.end()) {
        if (const auto redial = redialNow_.find(hello.node); redial != redialNow_.end())
            redial->second.notify();
    } else if (Link& ownLink = *own->second; ownLink.hello &&
                                             ownLink.hello->incarnation != hello.incarnation &&
                                             ownLink.connectedAt < link.connectedAt) {
        // The peer was restarted, and the connection to its former process has not been closed, as
        // happens in a network partition. Without this, requests that wait on that connection would
        // only fail after `ioTimeout`.
        ownLink.broken = true;
        ownLink.socket->shutDown();
    }
    hooks_.onHello(hello);
}

Task<void> PeerRpc::serveConnection(std::shared_ptr<Link> link, Scope& scope) {
    std::string data;
    while (!link->broken && !scope.cancelled()) {
        Message message;
        const DecodeStatus status = decode(data, message);
        if (status == DecodeStatus::malformed) break;
        if (status == DecodeStatus::message) {
            if (message.hello) onAcceptedHello(*link, *message.hello);
            if (message.request || message.pledge || message.delegationRequest)
                scope.spawn(handleIncoming(link, std::move(message)));
            continue;
        }
        const long n = co_await link->socket->read(data, loop_.now() + ioTimeout, scope);
        if (n <= 0) break;
    }
    link->broken = true;
    link->changed.notify();
}

Task<void> PeerRpc::handleIncoming(std::shared_ptr<Link> link, Message incoming) {
    Message message;
    message.id = incoming.id;
    if (incoming.delegationRequest) {
        message.delegation = hooks_.handleDelegationRequest(*incoming.delegationRequest);
        if (!message.delegation) co_return;
    } else if (incoming.pledge) {
        message.reply = http::Response{hooks_.handlePledge(*incoming.pledge) ? 200 : 409, ""};
    } else {
        http::Response response = co_await hooks_.handleRequest(
            incoming.purpose, std::move(*incoming.request), std::move(incoming.agentAddress));
        message.reply = std::move(response);
    }
    if (!link->broken) send(*link, message);
}

std::shared_ptr<PeerRpc::PendingRequest> PeerRpc::sendRequest(const std::string& node,
                                                              Message message) {
    const auto it = links_.find(node);
    if (it == links_.end() || it->second->broken) return nullptr;
    auto pending = std::make_shared<PendingRequest>(loop_);
    pending->node = node;
    pending->id = message.id = nextId_++;
    pending->toLeader = message.request && message.purpose == Purpose::leader;
    pending_[pending->id] = pending;
    send(*it->second, message);
    return pending;
}

Task<http::RequestOutcome> PeerRpc::awaitResponse(std::shared_ptr<PendingRequest> pending,
                                                  TimePoint until, Scope& scope) {
    http::RequestOutcome out;
    if (!pending) co_return out;
    out.sent = true;
    while (!pending->answered() && !pending->abandoned && loop_.now() < until && !scope.cancelled())
        co_await loop_.wait(pending->done, until, scope);
    pending_.erase(pending->id);
    if (pending->response) {
        out.answered = true;
        out.response = std::move(*pending->response);
    }
    co_return out;
}

Task<http::RequestOutcome> PeerRpc::forward(std::string node, http::Request request,
                                            Duration timeout, Scope& scope, Purpose purpose) {
    Message message;
    message.request = std::move(request);
    message.purpose = purpose;
    auto pending = sendRequest(node, std::move(message));
    auto out = co_await awaitResponse(pending, loop_.now() + timeout, scope);
    co_return out;
}

Task<bool> PeerRpc::requestPledges(Pledge pledge, std::set<std::string> absent, Duration timeout,
                                   Scope& scope) {
    const TimePoint until = loop_.now() + timeout;
    std::vector<std::shared_ptr<PendingRequest>> requests;
    for (const auto& p : peers_) {
        if (absent.contains(p.name)) continue;
        Message message;
        message.pledge = pledge;
        requests.push_back(sendRequest(p.name, std::move(message)));
    }
    bool all = true;
    for (auto& pending : requests) {
        const auto outcome = co_await awaitResponse(pending, until, scope);
        all = all && outcome.answered && outcome.response.status == 200;
    }
    co_return all;
}

Task<std::optional<lease_delegation::Delegation>> PeerRpc::requestDelegation(
    std::string node, lease_delegation::DelegationRequest request, Duration timeout, Scope& scope) {
    Message message;
    message.delegationRequest = std::move(request);
    auto pending = sendRequest(node, std::move(message));
    if (!pending) co_return std::nullopt;
    co_await awaitResponse(pending, loop_.now() + timeout, scope);
    co_return pending->delegation;
}

std::string PeerRpc::peerConnectedToLeader(FencingToken token) const {
    for (const auto& [node, link] : links_)
        if (connected(node) && link->hello && link->hello->knownLeaderToken == token) return node;
    return "";
}

bool PeerRpc::supportsDelegations(const std::string& node) const {
    const auto it = links_.find(node);
    return it != links_.end() && it->second->hello && it->second->hello->supportsDelegations;
}

bool PeerRpc::allSupportFormat(unsigned format, Duration absentAfter) const {
    const auto silent = nodesSilentFor(absentAfter);
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        const auto it = links_.find(p.name);
        const bool present = connected(p.name);
        return present ? it->second->hello && it->second->hello->storedFormat >= format
                       : silent.contains(p.name);
    });
}

bool PeerRpc::allSupportTransfers() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        const auto supports = supportsTransfers_.find(p.name);
        return supports != supportsTransfers_.end() && supports->second;
    });
}

void PeerRpc::failRequestsToFormerLeaders(const std::string& leader) {
    for (auto& [id, p] : pending_) {
        if (!p->toLeader || p->node == leader || p->answered()) continue;
        p->abandoned = true;
        p->done.notify();
    }
}

Task<PeerRpc::RelayedOutcome> PeerRpc::relayToAgent(std::string zone, std::string agentAddress,
                                                    http::Request request, Duration timeout,
                                                    Scope& scope) {
    // Through one peer only: if a second one were asked as well, the first one's copy of the
    // request could be executed after the second one's answer.
    std::vector<std::string> inZone, all;
    for (const auto& p : peers_) {
        if (!connected(p.name)) continue;
        all.push_back(p.name);
        if (p.zone == zone) inZone.push_back(p.name);
    }
    if (all.empty()) co_return RelayedOutcome{{false, false, {503, ""}}, false};
    const auto& candidates = inZone.empty() ? all : inZone;
    const std::string relay = candidates[nextId_ % candidates.size()];  // spreads the load
    Message message;
    message.request = std::move(request);
    message.purpose = Purpose::agent;
    message.agentAddress = std::move(agentAddress);
    auto pending = sendRequest(relay, std::move(message));
    auto outcome = co_await awaitResponse(pending, loop_.now() + timeout, scope);
    if (outcome.answered) {
        // 502: the peer did not reach the agent; 504: the agent may have received the request.
        outcome.sent = outcome.response.status != 502;
        outcome.answered = outcome.sent && outcome.response.status != 504;
    }
    co_return RelayedOutcome{std::move(outcome), !inZone.empty()};
}

Task<http::RequestOutcome> PeerRpc::relayToStore(http::Request request, Duration timeout,
                                                 Scope& scope) {
    http::RequestOutcome last;
    for (const auto& p : peers_) {
        if (!connected(p.name)) continue;
        http::Request copy = request;
        auto outcome =
            co_await forward(p.name, std::move(copy), timeout, scope, Purpose::stateService);
        // 502: that node did not get a response either.
        if (outcome.answered && outcome.response.status != 503 && outcome.response.status != 502)
            co_return outcome;
        last.sent = last.sent || outcome.sent;
    }
    co_return last;
}

}  // namespace basaltchute::peer_rpc
