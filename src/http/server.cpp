#include "http/server.h"

#include <algorithm>

namespace basaltchute::http {

Server::Server(EventLoop& loop, const std::string& address, ServerLimits limits, Handler handler)
    : loop_(loop), listener_(loop, address), limits_(limits), handler_(std::move(handler)) {}

void Server::start(Scope& scope) {
    scope.spawn(acceptAll(scope));
}

Task<void> Server::acceptAll(Scope& scope) {
    while (!scope.cancelled()) {
        auto socket = co_await listener_.accept(scope);
        if (!socket) break;
        if (open_.size() >= limits_.connections) {
            const auto idle =
                std::find_if(open_.begin(), open_.end(), [](const auto& c) { return c->idle; });
            if (idle == open_.end()) continue;  // everyone is being served: refuse this one
            (*idle)->scope.cancel();
        }
        open_.push_back(std::make_unique<Connection>(loop_));
        open_.back()->socket = std::move(socket);
        scope.spawn(serve(std::prev(open_.end())));
    }
    for (auto& c : open_) c->scope.cancel();
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
            const bool keep = request.keepAlive;
            response = co_await handler_(std::move(request));
            response.keepAlive = response.keepAlive && keep;
        } else {
            response.status = state == Parser::State::bodyTooLarge ? 413 : 400;
            response.body = R"({"error":"not a request this server takes"})";
            response.keepAlive = false;
        }
        const std::string text = serialize(response);
        const bool sent = co_await c.socket->write(text, loop_.now() + limits_.message, c.scope);
        if (!sent || !response.keepAlive) break;
        until = loop_.now() + limits_.idle;
        open_.splice(open_.end(), open_, slot);  // the most recently used goes last
    }
    open_.erase(slot);
}

}  // namespace basaltchute::http
