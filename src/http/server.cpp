#include "http/server.h"

#include <algorithm>

namespace basaltchute::http {

using namespace std::chrono_literals;

namespace {
/// A new connection waits so long for room before it is refused; load balancers wait for 500 ms.
constexpr Duration admissionTimeout = 250ms;
/// Requests that have arrived are read within that: a connection without one is shed after it.
constexpr Duration firstRequestTimeout = 50ms;
/// A first request waits so long for others of its class to be answered. Longer than a heartbeat
/// takes, or a crowd of agents would be refused and come again all at once; no longer, since new
/// connections are not taken while many wait.
constexpr Duration shareTimeout = 10ms;

Response overShare() {
    Response response{503, R"({"error":"no connection to spare"})"};
    response.retryAfterS = 1;
    response.keepAlive = false;
    return response;
}
}  // namespace

Server::Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler)
    : loop_(loop),
      listener_(loop, address),
      limits_(limits),
      handler_(std::move(handler)),
      budget_(ConnectionShares::undivided(limits.connections)),
      changed_(loop) {}

Server::Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler,
               Classifier classifier)
    : loop_(loop),
      listener_(loop, address),
      limits_(limits),
      handler_(std::move(handler)),
      classifier_(std::move(classifier)),
      budget_(ConnectionShares::divided(limits.connections)),
      changed_(loop) {}

void Server::start(Scope& scope) {
    scope.spawn(acceptAll(scope));
}

Task<void> Server::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_.accept(scope);
        if (!socket) break;
        const bool available = co_await reserveConnection(scope);
        if (available) open(std::move(socket), scope);
    }
    for (auto& connections : open_)
        for (auto& c : connections) c->scope.cancel();
}

Task<bool> Server::reserveConnection(Scope& scope) {
    const TimePoint since = loop_.now();
    while (!budget_.admits()) {
        const Duration waited = loop_.now() - since;
        if (scope.cancelled() || waited >= admissionTimeout) co_return false;
        // A shed connection holds its socket until its routine has ended: one at a time, or a burst
        // of new ones would be taken beyond the limit.
        if (shedding_ == 0) closeOneIdle(waited >= firstRequestTimeout);
        const bool early = waited < firstRequestTimeout;
        const TimePoint until = since + (early ? firstRequestTimeout : admissionTimeout);
        co_await loop_.wait(changed_, until, scope);
    }
    co_return !scope.cancelled();
}

void Server::closeOneIdle(bool mayShedUnclassified) {
    using enum ConnectionClass;
    if (budget_.awaitsRequests()) {
        if (mayShedUnclassified) closeLongestIdle(unclassified);
        return;
    }
    if (closeLongestIdle(agent) || closeLongestIdle(client)) return;
    if (mayShedUnclassified) closeLongestIdle(unclassified);
}

bool Server::closeLongestIdle(ConnectionClass of) {
    auto& connections = all(of);
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [](const auto& c) { return c->idle && !c->shed; });
    if (found == connections.end()) return false;
    ++shedding_;
    (*found)->shed = true;
    (*found)->scope.cancel();
    return true;
}

void Server::open(std::unique_ptr<Socket> socket, Scope& scope) {
    auto connection = std::make_unique<Connection>(loop_);
    connection->socket = std::move(socket);
    if (!classifier_) connection->kind = ConnectionClass::client;
    budget_.opened(connection->kind);
    auto& connections = all(connection->kind);
    connections.push_back(std::move(connection));
    scope.spawn(serve(std::prev(connections.end())));
}

Task<void> Server::serve(Slot slot) {
    Connection& c = **slot;
    Parser parser(Parser::Kind::requests, limits_.bodyBytes);
    std::string data;
    TimePoint until = loop_.now() + limits_.message;
    while (!c.scope.cancelled()) {
        auto state = Parser::State::needMore;
        if (!data.empty()) state = parser.feed(data);
        if (state == Parser::State::needMore) {
            c.idle = parser.idle();
            const long n = co_await c.socket->read(data, until, c.scope);
            if (n <= 0) break;
            if (c.idle) until = loop_.now() + limits_.message;
            continue;
        }
        Response response;
        if (state == Parser::State::complete) {
            c.idle = false;
            Request request = parser.takeRequest();
            response = co_await respond(slot, std::move(request));
        } else {
            response.status = state == Parser::State::bodyTooLarge ? 413 : 400;
            response.body = R"({"error":"not a request this server takes"})";
            response.keepAlive = false;
        }
        const std::string text = serialize(response);
        const bool sent = co_await c.socket->write(text, loop_.now() + limits_.message, c.scope);
        if (!sent || !response.keepAlive) break;
        until = loop_.now() + limits_.idle;
        auto& connections = all(c.kind);
        connections.splice(connections.end(), connections, slot);  // the most recently used: last
        c.idle = true;
        changed_.notify();
    }
    close(slot);
}

Task<Response> Server::respond(Slot slot, Request request) {
    Connection& c = **slot;
    if (c.kind == ConnectionClass::unclassified) {
        const ConnectionClass kind = classifier_(request);
        const bool available = co_await shareAllows(kind, c.scope);
        if (!available) co_return overShare();
        classify(slot, kind);
    }
    const bool keep = request.keepAlive;
    Response response = co_await handler_(std::move(request));
    response.keepAlive = response.keepAlive && keep && keeps(c);
    co_return response;
}

Task<bool> Server::shareAllows(ConnectionClass kind, Scope& scope) {
    const TimePoint until = loop_.now() + shareTimeout;
    while (!budget_.hasCapacity(kind) && !closeLongestIdle(kind)) {
        if (loop_.now() >= until || scope.cancelled()) co_return false;
        co_await loop_.wait(changed_, until, scope);
    }
    co_return true;
}

void Server::classify(Slot slot, ConnectionClass kind) {
    auto& from = all(ConnectionClass::unclassified);
    auto& to = all(kind);
    to.splice(to.end(), from, slot);
    (*slot)->kind = kind;
    budget_.classified(kind);
    changed_.notify();
}

bool Server::keeps(Connection& connection) {
    if (connection.kind != ConnectionClass::agent) return true;
    const bool keep = budget_.keepsAgent(connection.keptAgent);
    if (keep && !std::exchange(connection.keptAgent, true)) budget_.keptAgent();
    return keep;
}

void Server::close(Slot slot) {
    Connection& c = **slot;
    const ConnectionClass kind = c.kind;
    if (c.shed) --shedding_;
    if (c.keptAgent) budget_.droppedKeptAgent();
    all(kind).erase(slot);
    budget_.closed(kind);
    changed_.notify();
}

}  // namespace basaltchute::http
