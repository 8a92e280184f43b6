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

constexpr std::size_t maxFrame = 1024 * 1024;
constexpr Duration helloEvery = 500ms;
constexpr Duration speaksWithin = 2s;  // greetings are four times as frequent
constexpr Duration silence = 3s;       // a peer that says nothing for this long is not there

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
        h.setReady(m.hello->ready);
        h.setHears(m.hello->knownLeaderToken);
        h.setLoans(m.hello->supportsDelegations);
        h.setHandsOn(m.hello->supportsTransfers);
        h.setProcess(m.hello->incarnation.c_str());
        h.setFormat(static_cast<std::uint16_t>(m.hello->storedFormat));
    } else if (m.request) {
        auto r = frame.initRequest();
        r.setId(m.id);
        r.setMethod(m.request->method.c_str());
        r.setTarget(m.request->target.c_str());
        r.setBody(bytes(m.request->body));
        r.setPurpose(m.purpose == Purpose::stateService ? wire::Request::Purpose::STATE_SERVICE
                     : m.purpose == Purpose::worker     ? wire::Request::Purpose::WORKER
                                                        : wire::Request::Purpose::LEADER);
        if (m.purpose == Purpose::worker) r.setWorker(m.worker.c_str());
    } else if (m.pledge) {
        auto p = frame.initPledge();
        p.setId(m.id);
        p.setToken(m.pledge->token);
        p.setHoldMs(static_cast<std::uint32_t>(m.pledge->hold.count()));
    } else if (m.delegationRequest) {
        auto b = frame.initBorrow();
        b.setId(m.id);
        b.setNode(m.delegationRequest->node.c_str());
        b.setToken(m.delegationRequest->token);
        b.setNumber(m.delegationRequest->number);
        b.setSinceUseMs(static_cast<std::uint64_t>(m.delegationRequest->timeSinceUse.count()));
    } else if (m.delegation) {
        auto l = frame.initLoan();
        l.setId(m.id);
        l.setToken(m.delegation->token);
        l.setNumber(m.delegation->number);
        l.setSpanMs(static_cast<std::uint32_t>(m.delegation->duration.count()));
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

DecodeStatus decode(std::string& data, Message& into) {
    std::uint32_t n = 0;
    if (data.size() < sizeof n) return DecodeStatus::needMore;
    for (std::size_t i = 0; i < sizeof n; ++i)
        n |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[i])) << (8 * i);
    if (n > maxFrame || n == 0 || n % sizeof(capnp::word) != 0) return DecodeStatus::broken;
    if (data.size() < sizeof n + n) return DecodeStatus::needMore;
    auto words = kj::heapArray<capnp::word>(n / sizeof(capnp::word));
    std::memcpy(words.begin(), data.data() + sizeof n, n);
    data.erase(0, sizeof n + n);
    into = {};
    try {
        capnp::FlatArrayMessageReader reader(words);
        const auto frame = reader.getRoot<wire::Frame>();
        if (frame.isHello()) {
            const auto h = frame.getHello();
            into.hello = Hello{text(h.getNode()), h.getLeading(),       h.getToken(),
                               h.getReady(),      h.getHears(),         h.getLoans(),
                               h.getHandsOn(),    text(h.getProcess()), h.getFormat()};
        } else if (frame.isRequest()) {
            const auto r = frame.getRequest();
            into.id = r.getId();
            into.request =
                http::Request{text(r.getMethod()), text(r.getTarget()), text(r.getBody())};
            if (r.getPurpose() == wire::Request::Purpose::STATE_SERVICE)
                into.purpose = Purpose::stateService;
            if (r.getPurpose() == wire::Request::Purpose::WORKER) {
                into.purpose = Purpose::worker;
                into.worker = text(r.getWorker());
            }
        } else if (frame.isPledge()) {
            const auto p = frame.getPledge();
            into.id = p.getId();
            into.pledge = Pledge{p.getToken(), std::chrono::milliseconds(p.getHoldMs())};
        } else if (frame.isBorrow()) {
            const auto b = frame.getBorrow();
            // A use that was longer ago than any lease lasts says no more than that.
            constexpr std::uint64_t longAgo = 24 * 3600 * 1000;
            into.id = b.getId();
            into.delegationRequest = lease_delegation::DelegationRequest{
                text(b.getNode()), b.getToken(), b.getNumber(),
                std::chrono::milliseconds(std::min<std::uint64_t>(b.getSinceUseMs(), longAgo))};
        } else if (frame.isLoan()) {
            const auto l = frame.getLoan();
            into.id = l.getId();
            into.delegation = lease_delegation::Delegation{
                l.getToken(), l.getNumber(), std::chrono::milliseconds(l.getSpanMs())};
        } else if (frame.isReply()) {
            const auto r = frame.getReply();
            into.id = r.getId();
            into.reply = http::Response{r.getStatus(), text(r.getBody()),
                                        static_cast<int>(r.getRetryAfterS())};
        } else {
            return DecodeStatus::broken;
        }
    } catch (const kj::Exception& e) {
        spdlog::warn("mesh: a frame that does not decode: {}", e.getDescription().cStr());
        return DecodeStatus::broken;
    }
    return DecodeStatus::message;
}

PeerRpc::PeerRpc(EventLoop& loop, const settings::Settings& s, Hooks hooks)
    : loop_(loop), listen_(s.peerListenAddress), peers_(s.peers), hooks_(std::move(hooks)) {}

void PeerRpc::start(Scope& scope) {
    listener_ = std::make_unique<Listener>(loop_, listen_);
    scope.spawn(acceptAll(scope));
    for (const auto& p : peers_) {
        lastHeardAt_[p.name] = loop_.now();
        redial_.try_emplace(p.name, loop_);
        scope.spawn(dial(p, scope));
    }
}

std::set<std::string> PeerRpc::nodesSilentFor(Duration span) const {
    std::set<std::string> out;
    for (const auto& [node, before] : lastHeardAt_) {
        const auto link = links_.find(node);
        const TimePoint at =
            link == links_.end() ? before : std::max(before, link->second->heardAt);
        if (loop_.now() - at > span) out.insert(node);
    }
    return out;
}

bool PeerRpc::connected(const std::string& node) const {
    // A node that stands still accepts connections all the same: what counts is that it speaks.
    const auto it = links_.find(node);
    return it != links_.end() && !it->second->broken &&
           loop_.now() - it->second->heardAt < speaksWithin;
}

void PeerRpc::announce() {
    for (auto& [node, link] : links_) sendHello(*link);
}

void PeerRpc::send(Link& link, const Message& message) {
    link.out += encode(message);
    link.wake.notify();
}

void PeerRpc::sendHello(Link& link) {
    Message m;
    m.hello = hooks_.hello();
    send(link, m);
}

Task<void> PeerRpc::flush(std::shared_ptr<Link> link, Scope& scope) {
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

Task<void> PeerRpc::sendHellos(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        sendHello(*link);
        co_await loop_.sleep(helloEvery, scope);
    }
}

Task<void> PeerRpc::dial(settings::Peer peer, Scope& scope) {
    const auto to = parseAddress(peer.address);
    while (!scope.cancelled()) {
        auto socket = co_await Socket::connect(loop_, *to, loop_.now() + 1s, scope);
        if (!socket) {
            co_await loop_.wait(redial_.at(peer.name), loop_.now() + 300ms, scope);
            continue;
        }
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        link->since = loop_.now();
        links_[peer.name] = link;
        scope.spawn(flush(link, scope));
        scope.spawn(sendHellos(link, scope));
        std::string data;
        while (!link->broken && !scope.cancelled()) {
            Message m;
            const DecodeStatus d = decode(data, m);
            if (d == DecodeStatus::broken) break;
            if (d == DecodeStatus::message) {
                link->heardAt = loop_.now();
                if (const auto it = pending_.find(m.id); m.reply && it != pending_.end()) {
                    it->second->response = std::move(*m.reply);
                    it->second->done.notify();
                } else if (m.delegation && it != pending_.end()) {
                    it->second->delegation = *m.delegation;
                    it->second->done.notify();
                }
                if (m.hello) {
                    link->hello = *m.hello;
                    supportsTransfers_[m.hello->node] = m.hello->supportsTransfers;
                    hooks_.helloReceived(*m.hello);
                }
                continue;
            }
            // The other side greets back, so silence means that it cannot be reached.
            const long n = co_await link->socket->read(data, loop_.now() + silence, scope);
            if (n <= 0) break;
        }
        link->broken = true;
        link->wake.notify();
        if (links_[peer.name] == link) links_.erase(peer.name);
        lastHeardAt_[peer.name] = std::max(lastHeardAt_[peer.name], link->heardAt);
        for (auto& [id, p] : pending_) {
            if (p->node != peer.name || p->answered()) continue;
            p->lost = true;
            p->done.notify();
        }
    }
}

Task<void> PeerRpc::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_->accept(scope);
        if (!socket) break;
        auto link = std::make_shared<Link>(loop_);
        link->socket = std::move(socket);
        link->since = loop_.now();
        scope.spawn(flush(link, scope));
        scope.spawn(sendHellos(link, scope));
        scope.spawn(serve(link, scope));
    }
}

void PeerRpc::onHello(const Link& link, const Hello& hello) {
    const auto mine = links_.find(hello.node);
    if (mine == links_.end()) {
        if (const auto waits = redial_.find(hello.node); waits != redial_.end())
            waits->second.notify();
    } else if (Link& old = *mine->second;
               old.hello && old.hello->incarnation != hello.incarnation && old.since < link.since) {
        // Started again, and the end of its former process has not come through, as after a cut:
        // that connection would only be given up after a silence, and what waits on it with it.
        old.broken = true;
        old.socket->shutDown();
    }
    hooks_.helloReceived(hello);
}

Task<void> PeerRpc::serve(std::shared_ptr<Link> link, Scope& scope) {
    std::string data;
    while (!link->broken && !scope.cancelled()) {
        Message m;
        const DecodeStatus d = decode(data, m);
        if (d == DecodeStatus::broken) break;
        if (d == DecodeStatus::message) {
            if (m.hello) onHello(*link, *m.hello);
            if (m.request || m.pledge || m.delegationRequest)
                scope.spawn(answer(link, std::move(m)));
            continue;
        }
        const long n = co_await link->socket->read(data, loop_.now() + silence, scope);
        if (n <= 0) break;
    }
    link->broken = true;
    link->wake.notify();
}

Task<void> PeerRpc::answer(std::shared_ptr<Link> link, Message asked) {
    Message m;
    m.id = asked.id;
    if (asked.delegationRequest) {
        m.delegation = hooks_.handleDelegationRequest(*asked.delegationRequest);
        if (!m.delegation) co_return;
    } else if (asked.pledge) {
        m.reply = http::Response{hooks_.handlePledge(*asked.pledge) ? 200 : 409, ""};
    } else {
        http::Response response = co_await hooks_.handleRequest(
            asked.purpose, std::move(*asked.request), std::move(asked.worker));
        m.reply = std::move(response);
    }
    if (!link->broken) send(*link, m);
}

std::shared_ptr<PeerRpc::Pending> PeerRpc::enqueueRequest(const std::string& node,
                                                          Message message) {
    const auto it = links_.find(node);
    if (it == links_.end() || it->second->broken) return nullptr;
    auto pending = std::make_shared<Pending>(loop_);
    pending->node = node;
    pending->id = message.id = nextId_++;
    pending->forLeader = message.request && message.purpose == Purpose::leader;
    pending_[pending->id] = pending;
    send(*it->second, message);
    return pending;
}

Task<http::RequestOutcome> PeerRpc::await(std::shared_ptr<Pending> pending, TimePoint until,
                                          Scope& scope) {
    http::RequestOutcome out;
    if (!pending) co_return out;
    out.sent = true;
    while (!pending->answered() && !pending->lost && loop_.now() < until && !scope.cancelled())
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
    Message m;
    m.request = std::move(request);
    m.purpose = purpose;
    auto pending = enqueueRequest(node, std::move(m));
    auto out = co_await await(pending, loop_.now() + timeout, scope);
    co_return out;
}

Task<bool> PeerRpc::pledgeAll(Pledge pledge, std::set<std::string> absent, Duration timeout,
                              Scope& scope) {
    const TimePoint until = loop_.now() + timeout;
    std::vector<std::shared_ptr<Pending>> asked;
    for (const auto& p : peers_) {
        if (absent.contains(p.name)) continue;
        Message m;
        m.pledge = pledge;
        asked.push_back(enqueueRequest(p.name, std::move(m)));
    }
    bool all = true;
    for (auto& pending : asked) {
        const auto o = co_await await(pending, until, scope);
        all = all && o.answered && o.response.status == 200;
    }
    co_return all;
}

Task<std::optional<lease_delegation::Delegation>> PeerRpc::requestDelegation(
    std::string node, lease_delegation::DelegationRequest question, Duration timeout,
    Scope& scope) {
    Message m;
    m.delegationRequest = std::move(question);
    auto pending = enqueueRequest(node, std::move(m));
    if (!pending) co_return std::nullopt;
    co_await await(pending, loop_.now() + timeout, scope);
    co_return pending->delegation;
}

std::string PeerRpc::peersHearingLeader(FencingToken token) const {
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
        const bool there = connected(p.name);
        return there ? it->second->hello && it->second->hello->storedFormat >= format
                     : silent.contains(p.name);
    });
}

bool PeerRpc::allHandOn() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& p) {
        const auto said = supportsTransfers_.find(p.name);
        return said != supportsTransfers_.end() && said->second;
    });
}

void PeerRpc::retryPendingAt(const std::string& node) {
    for (auto& [id, p] : pending_) {
        if (!p->forLeader || p->node == node || p->answered()) continue;
        p->lost = true;
        p->done.notify();
    }
}

Task<PeerRpc::Detoured> PeerRpc::relayToAgent(std::string zone, std::string worker,
                                              http::Request request, Duration timeout,
                                              Scope& scope) {
    // One peer only: with a second one asked as well, the first one's copy might be executed late
    // although the answer seems to settle it.
    std::vector<std::string> near, all;
    for (const auto& p : peers_) {
        if (!connected(p.name)) continue;
        all.push_back(p.name);
        if (p.zone == zone) near.push_back(p.name);
    }
    if (all.empty()) co_return Detoured{{false, false, {503, ""}}, false};
    const auto& some = near.empty() ? all : near;
    const std::string by = some[nextId_ % some.size()];  // by turns: it is work for them
    Message m;
    m.request = std::move(request);
    m.purpose = Purpose::worker;
    m.worker = std::move(worker);
    auto pending = enqueueRequest(by, std::move(m));
    auto o = co_await await(pending, loop_.now() + timeout, scope);
    if (o.answered) {
        // 502: it did not reach the worker at all; 504: the worker may have got it.
        o.sent = o.response.status != 502;
        o.answered = o.sent && o.response.status != 504;
    }
    co_return Detoured{std::move(o), !near.empty()};
}

Task<http::RequestOutcome> PeerRpc::relayToStore(http::Request request, Duration timeout,
                                                 Scope& scope) {
    http::RequestOutcome last;
    for (const auto& p : peers_) {
        if (!connected(p.name)) continue;
        http::Request copy = request;
        auto o = co_await forward(p.name, std::move(copy), timeout, scope, Purpose::stateService);
        // 502: that node did not get an answer either.
        if (o.answered && o.response.status != 503 && o.response.status != 502) co_return o;
        last.sent = last.sent || o.sent;
    }
    co_return last;
}

}  // namespace basaltchute::peer_rpc
