#include "gateway/testing/client.h"

namespace basaltchute::gateway::testing {

using namespace std::chrono_literals;

Client::Client(EventLoop& loop, std::string address, amqp::Connection::Options options)
    : loop_(loop), address_(std::move(address)), options_(std::move(options)), scope_(loop) {
    options_.container = "client";
    options_.limits.idleTimeout = 10min;
    options_.limits.writeTimeout = 10min;
}

Client::~Client() {
    bool gone = false;
    loop_.spawn([](Scope& s, bool& flag) -> Task<void> {
        co_await s.cancelAndWait();
        flag = true;
    }(scope_, gone));
    // NOLINTNEXTLINE(bugprone-infinite-loop): the spawned routine sets the flag.
    while (!gone) loop_.runOnce(Duration::zero());
}

void Client::start() {
    scope_.spawn(run());
}

Task<void> Client::run() {
    const auto to = parseAddress(address_);
    auto socket = co_await Socket::connect(loop_, *to, loop_.now() + 5s, scope_);
    if (!socket) {
        over = true;
        co_return;
    }
    connection =
        std::make_shared<amqp::Connection>(loop_, std::move(socket), std::move(options_), *this);
    const auto held = connection;
    co_await amqp::Connection::run(held, scope_);
}

void Client::opened(amqp::Connection&) {
    open = true;
}
void Client::sendTo(const std::string& target) {
    links_[connection->sendTo(target, "to " + target)] = target;
}
void Client::readFrom(const std::string& source, int credit) {
    reading_[source] = credit;
    links_[connection->receiveFrom(source, "from " + source)] = source;
}
void Client::linkOpened(amqp::Connection& c, amqp::LinkId id) {
    if (const auto it = reading_.find(links_[id]); it != reading_.end())
        c.addCredit(id, it->second);
}
int Client::credit(const std::string& address) const {
    for (const auto& [id, a] : links_)
        if (a == address) return connection->credit(id);
    return 0;
}
bool Client::linked(const std::string& address) const {
    return credit(address) > 0;
}
bool Client::send(const std::string& target, const amqp::Message& message, const std::string& tag) {
    return sendRaw(target, amqp::encode(message).value(), tag);
}
bool Client::sendRaw(const std::string& target, const std::string& bytes, const std::string& tag) {
    for (const auto& [id, a] : links_)
        if (a == target) return connection->send(id, bytes, tag);
    return false;
}
void Client::messageReceived(amqp::Connection& c, amqp::LinkId, amqp::DeliveryId delivery,
                             amqp::Message message, std::string) {
    replies.push_back(std::move(message));
    if (!mute) c.settle(delivery, {amqp::Outcome::accepted, {}, false});
}
void Client::dispositionReceived(amqp::Connection&, amqp::LinkId, const std::string& tag,
                                 amqp::Disposition d) {
    decisions[tag] = std::move(d);
}
void Client::detached(amqp::Connection&, amqp::LinkId id, const amqp::Condition& why) {
    ends[links_[id]] = why;
    links_.erase(id);
}
void Client::ended(amqp::Connection&, const amqp::Condition& why) {
    ending = why;
    over = true;
    open = false;
}

}  // namespace basaltchute::gateway::testing
