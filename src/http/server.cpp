#include "http/server.h"

#include <algorithm>

namespace basaltchute::http {

using namespace std::chrono_literals;

namespace {
/// How long a new connection waits for another one to be closed before it is refused. Load
/// balancers wait for 500 ms.
constexpr Duration admissionTimeout = 250ms;
/// The server reads requests that have arrived within this time. A connection that has sent none by
/// then may be closed to make room for another one.
constexpr Duration firstRequestTimeout = 50ms;
/// How long a first request waits for others of its class to be answered when the share of its
/// class is used up. Longer than a heartbeat takes: otherwise many agents would be refused and
/// retry all at once. Not much longer: no new connections are accepted while many wait.
constexpr Duration shareTimeout = 10ms;

Response shareExhausted() {
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
      budget_(ConnectionShares::undivided(limits.maxConnections)),
      changed_(loop) {}

Server::Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler,
               Classifier classifier)
    : loop_(loop),
      listener_(loop, address),
      limits_(limits),
      handler_(std::move(handler)),
      classifier_(std::move(classifier)),
      budget_(ConnectionShares::divided(limits.maxConnections)),
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
        for (auto& connection : connections) connection->scope.cancel();
}

Task<bool> Server::reserveConnection(Scope& scope) {
    const TimePoint since = loop_.now();
    while (!budget_.admits()) {
        const Duration waited = loop_.now() - since;
        if (scope.cancelled() || waited >= admissionTimeout) co_return false;
        // A connection that is being closed holds its socket until its coroutine has ended. Only
        // one is closed at a time: otherwise a burst of new ones would exceed the limit.
        if (closing_ == 0) closeOneIdle(waited >= firstRequestTimeout);
        const bool unclassifiedSpared = waited < firstRequestTimeout;
        const TimePoint until =
            since + (unclassifiedSpared ? firstRequestTimeout : admissionTimeout);
        co_await loop_.wait(changed_, until, scope);
    }
    co_return !scope.cancelled();
}

void Server::closeOneIdle(bool mayCloseUnclassified) {
    using enum ConnectionClass;
    if (budget_.awaitsRequests()) {
        if (mayCloseUnclassified) closeLongestIdle(unclassified);
        return;
    }
    if (closeLongestIdle(agent) || closeLongestIdle(client)) return;
    if (mayCloseUnclassified) closeLongestIdle(unclassified);
}

bool Server::closeLongestIdle(ConnectionClass kind) {
    auto& connections = connectionsOf(kind);
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [](const auto& c) { return c->idle && !c->closing; });
    if (found == connections.end()) return false;
    ++closing_;
    (*found)->closing = true;
    (*found)->scope.cancel();
    return true;
}

void Server::open(std::unique_ptr<Socket> socket, Scope& scope) {
    auto connection = std::make_unique<Connection>(loop_);
    connection->socket = std::move(socket);
    if (!classifier_) connection->kind = ConnectionClass::client;
    budget_.opened(connection->kind);
    auto& connections = connectionsOf(connection->kind);
    connections.push_back(std::move(connection));
    scope.spawn(serve(std::prev(connections.end())));
}

Task<void> Server::serve(Slot slot) {
    Connection& c = **slot;
    Parser parser(Parser::Kind::requests, limits_.maxBodyBytes);
    std::string data;
    TimePoint until = loop_.now() + limits_.messageTimeout;
    while (!c.scope.cancelled()) {
        auto state = Parser::State::needMore;
        if (!data.empty()) state = parser.feed(data);
        if (state == Parser::State::needMore) {
            c.idle = parser.idle();
            const long n = co_await c.socket->read(data, until, c.scope);
            if (n <= 0) break;
            if (c.idle) until = loop_.now() + limits_.messageTimeout;
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
        const bool sent =
            co_await c.socket->write(text, loop_.now() + limits_.messageTimeout, c.scope);
        if (!sent || !response.keepAlive) break;
        until = loop_.now() + limits_.idleTimeout;
        auto& connections = connectionsOf(c.kind);
        connections.splice(connections.end(), connections, slot);  // ordered by last use
        c.idle = true;
        changed_.notify();
    }
    close(slot);
}

Task<Response> Server::respond(Slot slot, Request request) {
    Connection& c = **slot;
    if (c.kind == ConnectionClass::unclassified) {
        const ConnectionClass kind = classifier_(request);
        const bool available = co_await reserveInShare(kind, c.scope);
        if (!available) co_return shareExhausted();
        classify(slot, kind);
    }
    const bool clientKeepsAlive = request.keepAlive;
    Response response = co_await handler_(std::move(request));
    response.keepAlive = response.keepAlive && clientKeepsAlive && keeps(c);
    co_return response;
}

Task<bool> Server::reserveInShare(ConnectionClass kind, Scope& scope) {
    const TimePoint until = loop_.now() + shareTimeout;
    while (!budget_.hasCapacity(kind) && !closeLongestIdle(kind)) {
        if (loop_.now() >= until || scope.cancelled()) co_return false;
        co_await loop_.wait(changed_, until, scope);
    }
    co_return true;
}

void Server::classify(Slot slot, ConnectionClass kind) {
    auto& from = connectionsOf(ConnectionClass::unclassified);
    auto& to = connectionsOf(kind);
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
    if (c.closing) --closing_;
    if (c.keptAgent) budget_.droppedKeptAgent();
    connectionsOf(kind).erase(slot);
    budget_.closed(kind);
    changed_.notify();
}

}  // namespace basaltchute::http
