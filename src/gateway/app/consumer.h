#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "gateway/app/client_listener.h"

namespace basaltchute::gateway {

/// Connects to one external broker. While this instance holds a queue that the broker feeds, it
/// consumes messages from there, and it sends results to the reply-to addresses on that broker.
class Consumer final : public amqp::Handler {
  public:
    Consumer(EventLoop& loop, const Settings& settings, const Source& source,
             ClientListener::Hooks hooks, std::uint64_t seed);
    void start(Scope& scope);
    /// Connects, or opens links, after this instance gained or lost a queue.
    void routesChanged();
    /// A confirmed sender link to the address. Opens one and returns nothing if there is none yet.
    [[nodiscard]] std::optional<ReplyLink> replyLinkFor(const std::string& replyTo);
    [[nodiscard]] const std::string& name() const { return source_.name; }
    [[nodiscard]] bool connected() const { return open_; }

    void opened(amqp::Connection& c) override;
    void linkOpened(amqp::Connection& c, amqp::LinkId id) override;
    void messageReceived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                         amqp::Message message, std::string broken) override;
    void dispositionReceived(amqp::Connection& c, amqp::LinkId id, const std::string& tag,
                             amqp::Disposition d) override;
    void creditUpdated(amqp::Connection& c, amqp::LinkId id) override;
    void detached(amqp::Connection& c, amqp::LinkId id, const amqp::Condition& why) override;
    void ended(amqp::Connection& c, const amqp::Condition& why) override;

  private:
    struct Receiver {
        QueueName queue;
        std::shared_ptr<QueueOwner> queueOwner;
    };
    struct Sender {
        std::string address;
        bool confirmed = false;
    };
    [[nodiscard]] bool feedsLocalQueue() const;
    Task<void> run(Scope& scope);
    Task<void> connect(Scope& scope);
    void drop(amqp::LinkId id);

    EventLoop& loop_;
    const Settings& settings_;
    const Source& source_;
    ClientListener::Hooks hooks_;
    std::mt19937_64 random_;
    Event wake_;
    std::shared_ptr<amqp::Connection> connection_;
    bool open_ = false;
    Duration reconnectDelay_{};
    std::map<amqp::LinkId, Receiver> receivers_;
    std::map<amqp::LinkId, Sender> senders_;
    std::map<std::string, TimePoint> retryLinkAt_;  // by address: earliest time of the next attach
};

}  // namespace basaltchute::gateway
