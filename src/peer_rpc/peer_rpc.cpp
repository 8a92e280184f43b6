#include "peer_rpc/peer_rpc.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace basaltchute::peer_rpc {

using namespace std::chrono_literals;

namespace {

constexpr Duration helloInterval = 500ms;
constexpr Duration connectedWithin = 2s;  // of its last message; hellos are four times as frequent
constexpr Duration silenceTimeout = 3s;   // a peer that sends nothing for this long is not there
constexpr Duration connectTimeout = 1s;
constexpr Duration redialInterval = 300ms;

}  // namespace

PeerRpc::PeerRpc(EventLoop& loop, const settings::Settings& settings, PeerRequestHandler& handler)
    : loop_(loop), listen_(settings.meshListen), peers_(settings.peers), handler_(handler) {}

void PeerRpc::start(Scope& scope) {
    listener_ = std::make_unique<Listener>(loop_, listen_);
    scope.spawn(acceptAll(scope));
    for (const auto& peer : peers_) {
        lastMessageAt_[peer.name] = loop_.now();
        redial_.try_emplace(peer.name, loop_);
        scope.spawn(dial(peer, scope));
    }
}

std::set<std::string> PeerRpc::nodesSilentFor(Duration span) const {
    std::set<std::string> nodes;
    for (const auto& [node, before] : lastMessageAt_) {
        const auto link = links_.find(node);
        const TimePoint at =
            link == links_.end() ? before : std::max(before, link->second->lastMessageAt);
        if (loop_.now() - at > span) nodes.insert(node);
    }
    return nodes;
}

bool PeerRpc::connected(const std::string& node) const {
    // A suspended node accepts connections all the same: what counts is that it sends something.
    const auto it = links_.find(node);
    return it != links_.end() && !it->second->broken &&
           loop_.now() - it->second->lastMessageAt < connectedWithin;
}

void PeerRpc::announce() {
    for (auto& [node, link] : links_) sendHello(*link);
}

void PeerRpc::send(Link& link, const Message& message) {
    link.out += encode(message);
    link.wake.notify();
}

void PeerRpc::sendHello(Link& link) {
    send(link, handler_.makeHello());
}

Task<void> PeerRpc::flush(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        if (link->out.empty()) {
            co_await loop_.wait(link->wake, TimePoint::max(), scope);
            continue;
        }
        const std::string chunk = std::exchange(link->out, {});
        const bool ok = co_await link->socket->write(chunk, loop_.now() + silenceTimeout, scope);
        if (!ok) link->broken = true;
    }
}

Task<void> PeerRpc::sendHellos(std::shared_ptr<Link> link, Scope& scope) {
    while (!link->broken && !scope.cancelled()) {
        sendHello(*link);
        co_await loop_.sleep(helloInterval, scope);
    }
}

std::shared_ptr<PeerRpc::Link> PeerRpc::open(std::unique_ptr<Socket> socket) {
    auto link = std::make_shared<Link>(loop_);
    link->socket = std::move(socket);
    link->openedAt = loop_.now();
    return link;
}

Task<void> PeerRpc::dial(settings::Peer peer, Scope& scope) {
    const auto address = parseAddress(peer.address);
    while (!scope.cancelled()) {
        auto socket =
            co_await Socket::connect(loop_, *address, loop_.now() + connectTimeout, scope);
        if (!socket) {
            co_await loop_.wait(redial_.at(peer.name), loop_.now() + redialInterval, scope);
            continue;
        }
        auto link = open(std::move(socket));
        links_[peer.name] = link;
        scope.spawn(flush(link, scope));
        scope.spawn(sendHellos(link, scope));
        // The other side says hello as well, so silence means that it cannot be reached.
        std::string data;
        while (true) {
            auto message = co_await receive(*link, data, scope);
            if (!message) break;
            handleMessage(*link, std::move(*message));
        }
        close(peer.name, link);
    }
}

Task<std::optional<Message>> PeerRpc::receive(Link& link, std::string& data, Scope& scope) {
    while (!link.broken && !scope.cancelled()) {
        Message message;
        const DecodeStatus status = decode(data, message);
        if (status == DecodeStatus::broken) break;
        if (status == DecodeStatus::message) co_return std::optional<Message>(std::move(message));
        const long n = co_await link.socket->read(data, loop_.now() + silenceTimeout, scope);
        if (n <= 0) break;
    }
    co_return std::nullopt;
}

void PeerRpc::handleMessage(Link& link, Message message) {
    link.lastMessageAt = loop_.now();
    if (const auto* hello = std::get_if<Hello>(&message)) {
        link.hello = *hello;
        supportsTransfers_[hello->node] = hello->supportsTransfers;
        handler_.helloReceived(*hello);
    } else if (auto* reply = std::get_if<ReplyMessage>(&message)) {
        const auto pending = pending_.find(reply->id);
        if (pending == pending_.end()) return;
        pending->second->response = std::move(reply->response);
        pending->second->done.notify();
    } else if (const auto* delegation = std::get_if<DelegationMessage>(&message)) {
        const auto pending = pending_.find(delegation->id);
        if (pending == pending_.end()) return;
        pending->second->delegation = delegation->delegation;
        pending->second->done.notify();
    }
}

void PeerRpc::close(const std::string& node, const std::shared_ptr<Link>& link) {
    link->broken = true;
    link->wake.notify();
    if (links_[node] == link) links_.erase(node);
    lastMessageAt_[node] = std::max(lastMessageAt_[node], link->lastMessageAt);
    for (auto& [id, pending] : pending_)
        if (pending->node == node && !pending->answered()) abandon(*pending);
}

void PeerRpc::abandon(Pending& pending) {
    pending.abandoned = true;
    pending.done.notify();
}

Task<void> PeerRpc::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_->accept(scope);
        if (!socket) break;
        auto link = open(std::move(socket));
        scope.spawn(flush(link, scope));
        scope.spawn(sendHellos(link, scope));
        scope.spawn(serve(link, scope));
    }
}

void PeerRpc::onHello(const Link& link, const Hello& hello) {
    const auto dialled = links_.find(hello.node);
    if (dialled == links_.end()) {
        if (const auto waiting = redial_.find(hello.node); waiting != redial_.end())
            waiting->second.notify();
    } else if (Link& old = *dialled->second; old.hello &&
                                             old.hello->incarnation != hello.incarnation &&
                                             old.openedAt < link.openedAt) {
        // Restarted, and the end of its former process has not come through, as in a partition:
        // that connection would only be given up after a silence, and what waits on it with it.
        old.broken = true;
        old.socket->shutDown();
    }
    handler_.helloReceived(hello);
}

Task<void> PeerRpc::serve(std::shared_ptr<Link> link, Scope& scope) {
    std::string data;
    while (true) {
        auto message = co_await receive(*link, data, scope);
        if (!message) break;
        if (const auto* hello = std::get_if<Hello>(&*message))
            onHello(*link, *hello);
        else
            scope.spawn(answer(link, std::move(*message)));
    }
    link->broken = true;
    link->wake.notify();
}

Task<void> PeerRpc::answer(std::shared_ptr<Link> link, Message message) {
    const auto reply = co_await replyTo(std::move(message));
    if (reply && !link->broken) send(*link, *reply);
}

Task<std::optional<Message>> PeerRpc::replyTo(Message message) {
    if (auto* asked = std::get_if<RequestMessage>(&message)) {
        http::Response response = co_await handler_.handleRequest(
            asked->purpose, std::move(asked->request), std::move(asked->worker));
        co_return ReplyMessage{asked->id, std::move(response)};
    }
    if (const auto* pledge = std::get_if<PledgeMessage>(&message)) {
        const int status = handler_.handlePledge(pledge->pledge) ? 200 : 409;
        co_return ReplyMessage{pledge->id, {status, ""}};
    }
    if (const auto* asked = std::get_if<DelegationRequestMessage>(&message)) {
        const auto delegation = handler_.handleDelegationRequest(asked->request);
        if (delegation) co_return DelegationMessage{asked->id, *delegation};
    }
    co_return std::nullopt;
}

template <typename RequestType>
std::shared_ptr<PeerRpc::Pending> PeerRpc::enqueue(const std::string& node, RequestType message) {
    const auto it = links_.find(node);
    if (it == links_.end() || it->second->broken) return nullptr;
    auto pending = std::make_shared<Pending>(loop_);
    pending->node = node;
    pending->id = message.id = nextId_++;
    if constexpr (std::is_same_v<RequestType, RequestMessage>)
        pending->forLeader = message.purpose == Purpose::leader;
    pending_[pending->id] = pending;
    send(*it->second, std::move(message));
    return pending;
}

Task<http::RequestOutcome> PeerRpc::await(std::shared_ptr<Pending> pending, TimePoint until,
                                          Scope& scope) {
    http::RequestOutcome outcome;
    if (!pending) co_return outcome;
    outcome.sent = true;
    while (!pending->answered() && !pending->abandoned && loop_.now() < until && !scope.cancelled())
        co_await loop_.wait(pending->done, until, scope);
    pending_.erase(pending->id);
    if (pending->response) {
        outcome.answered = true;
        outcome.response = std::move(*pending->response);
    }
    co_return outcome;
}

Task<http::RequestOutcome> PeerRpc::forward(std::string node, http::Request request,
                                            Duration timeout, Scope& scope, Purpose purpose) {
    auto pending = enqueue(node, RequestMessage{0, std::move(request), purpose});
    auto outcome = co_await await(pending, loop_.now() + timeout, scope);
    co_return outcome;
}

Task<bool> PeerRpc::pledgeAll(Pledge pledge, std::set<std::string> absent, Duration timeout,
                              Scope& scope) {
    const TimePoint until = loop_.now() + timeout;
    std::vector<std::shared_ptr<Pending>> requests;
    for (const auto& peer : peers_)
        if (!absent.contains(peer.name))
            requests.push_back(enqueue(peer.name, PledgeMessage{0, pledge}));
    bool allPledge = true;
    for (auto& pending : requests) {
        const auto outcome = co_await await(pending, until, scope);
        allPledge = allPledge && outcome.answered && outcome.response.status == 200;
    }
    co_return allPledge;
}

Task<std::optional<lease_delegation::Delegation>> PeerRpc::requestDelegation(
    std::string node, lease_delegation::DelegationRequest request, Duration timeout, Scope& scope) {
    auto pending = enqueue(node, DelegationRequestMessage{0, std::move(request)});
    if (!pending) co_return std::nullopt;
    co_await await(pending, loop_.now() + timeout, scope);
    co_return pending->delegation;
}

std::string PeerRpc::peerConnectedTo(FencingToken leaderToken) const {
    for (const auto& [node, link] : links_)
        if (connected(node) && link->hello && link->hello->knownLeaderToken == leaderToken)
            return node;
    return "";
}

bool PeerRpc::supportsDelegations(const std::string& node) const {
    const auto it = links_.find(node);
    return it != links_.end() && it->second->hello && it->second->hello->supportsDelegations;
}

bool PeerRpc::allSupportFormat(unsigned format, Duration absentAfter) const {
    const auto silent = nodesSilentFor(absentAfter);
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        if (!connected(peer.name)) return silent.contains(peer.name);
        const auto& hello = links_.at(peer.name)->hello;
        return hello && hello->storedFormat >= format;
    });
}

bool PeerRpc::allSupportTransfers() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        const auto supports = supportsTransfers_.find(peer.name);
        return supports != supportsTransfers_.end() && supports->second;
    });
}

void PeerRpc::retryPendingAt(const std::string& node) {
    for (auto& [id, pending] : pending_)
        if (pending->forLeader && pending->node != node && !pending->answered()) abandon(*pending);
}

std::optional<std::string> PeerRpc::chooseRelay(const std::string& zone, bool& sameZone) const {
    std::vector<std::string> inZone, all;
    for (const auto& peer : peers_) {
        if (!connected(peer.name)) continue;
        all.push_back(peer.name);
        if (peer.zone == zone) inZone.push_back(peer.name);
    }
    sameZone = !inZone.empty();
    const auto& candidates = sameZone ? inZone : all;
    if (candidates.empty()) return std::nullopt;
    return candidates[nextId_ % candidates.size()];  // by turns: it is work for them
}

Task<PeerRpc::RelayedOutcome> PeerRpc::relayToAgent(std::string zone, std::string worker,
                                                    http::Request request, Duration timeout,
                                                    Scope& scope) {
    // One peer only: with a second one asked as well, the first one's copy might be executed late
    // although the response seems to settle it.
    RelayedOutcome relayed;
    const auto relay = chooseRelay(zone, relayed.sameZone);
    if (!relay) {
        relayed.failure = RelayFailure::noPeer;
        co_return relayed;
    }
    auto pending =
        enqueue(*relay, RequestMessage{0, std::move(request), Purpose::worker, std::move(worker)});
    relayed.outcome = co_await await(pending, loop_.now() + timeout, scope);
    if (!relayed.outcome.answered) co_return relayed;
    const auto failure = relayFailureOf(relayed.outcome.response.status);
    if (!failure || failure == RelayFailure::noPeer) co_return relayed;  // the worker's own
    relayed.failure = failure;
    relayed.outcome.sent = failure != RelayFailure::targetUnreachable;
    relayed.outcome.answered = false;
    co_return relayed;
}

Task<http::RequestOutcome> PeerRpc::relayToStore(http::Request request, Duration timeout,
                                                 Scope& scope) {
    http::RequestOutcome last;
    for (const auto& peer : peers_) {
        if (!connected(peer.name)) continue;
        http::Request copy = request;
        auto outcome =
            co_await forward(peer.name, std::move(copy), timeout, scope, Purpose::stateService);
        // That peer did not get a response from the state service either.
        const auto failure = relayFailureOf(outcome.response.status);
        const bool failed =
            failure == RelayFailure::targetUnreachable || failure == RelayFailure::noPeer;
        if (outcome.answered && !failed) co_return outcome;
        last.sent = last.sent || outcome.sent;
    }
    co_return last;
}

}  // namespace basaltchute::peer_rpc
