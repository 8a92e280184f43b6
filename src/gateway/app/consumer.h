#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "gateway/app/client_listener.h"

namespace basaltchute::gateway {

/// The connecting side: consumes one broker's queues while this instance holds queues that they
/// feed, and sends results to reply-to addresses there.
class Consumer final : public amqp::Handler {
  public:
    Consumer(EventLoop& loop, const Settings& settings, const Source& source,
             ClientListener::Hooks hooks, std::uint64_t seed);
    void start(Scope& scope);
    void routesChanged();
    /// A confirmed sender to the address, opened if there is none yet.
    [[nodiscard]] std::optional<ReplyLink> outlet(const std::string& replyTo);
    [[nodiscard]] const std::string& name() const { return source_.name; }
    [[nodiscard]] bool connected() const { return open_; }

    void opened(amqp::Connection& c) override;
    void confirmed(amqp::Connection& c, amqp::LinkId id) override;
    void arrived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                 amqp::Message message, std::string broken) override;
    void decided(amqp::Connection& c, amqp::LinkId id, const std::string& tag,
                 amqp::Disposition d) override;
    void credited(amqp::Connection& c, amqp::LinkId id) override;
    void detached(amqp::Connection& c, amqp::LinkId id, const amqp::Condition& why) override;
    void ended(amqp::Connection& c, const amqp::Condition& why) override;

  private:
    struct Receiver {
        QueueName queue;
        std::shared_ptr<QueueOwner> tenure;
    };
    struct Sender {
        std::string address;
        bool confirmed = false;
    };
    [[nodiscard]] bool wanted() const;
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
    Duration pause_{};
    std::map<amqp::LinkId, Receiver> receivers_;
    std::map<amqp::LinkId, Sender> senders_;
    std::map<std::string, TimePoint> refused_;  // by address: not tried again before
};

}  // namespace basaltchute::gateway
