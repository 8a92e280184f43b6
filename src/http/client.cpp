#include "http/client.h"

#include "http/parser.h"

namespace basaltchute::http {

namespace {
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;  // of a body
}

Client::Client(EventLoop& loop, std::string address, std::size_t maxIdle)
    : loop_(loop), address_(std::move(address)), to_(parseAddress(address_)), maxIdle_(maxIdle) {}

Task<RequestOutcome> Client::request(Request request, Duration timeout, Scope& scope) {
    RequestOutcome outcome;
    const TimePoint until = loop_.now() + timeout;
    std::unique_ptr<Socket> socket;
    while (!idle_.empty() && !socket) {
        socket = std::move(idle_.back());
        idle_.pop_back();
        // An idle connection that the server has closed is dropped before anything is sent on it.
        if (socket->stale()) socket.reset();
    }
    if (!socket && to_) socket = co_await Socket::connect(loop_, *to_, until, scope);
    if (!socket) co_return outcome;
    const std::string text = serialize(request, address_);
    outcome.sent = true;
    const bool written = co_await socket->write(text, until, scope);
    if (!written) co_return outcome;

    Parser parser(Parser::Kind::responses, maxResponseBytes);
    std::string data;
    while (true) {
        const long n = co_await socket->read(data, until, scope);
        if (n < 0) co_return outcome;
        const auto state = n == 0 ? parser.finish() : parser.feed(data);
        if (state == Parser::State::needMore) continue;
        if (state != Parser::State::complete) co_return outcome;
        outcome.answered = true;
        outcome.response = parser.takeResponse();
        if (outcome.response.keepAlive && n > 0 && data.empty() && idle_.size() < maxIdle_)
            idle_.push_back(std::move(socket));
        co_return outcome;
    }
}

}  // namespace basaltchute::http
