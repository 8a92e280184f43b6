#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/amqp/connection.h"
#include "runtime/loop.h"

namespace basaltchute::gateway::testing {

/// An AMQP client of a gateway that records dispositions, replies and detached links.
class Client final : public amqp::Handler {
  public:
    Client(EventLoop& loop, std::string address, amqp::Connection::Options options = {});
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() override;
    /// Connects; `over` becomes true when the connection failed or ended.
    void start();
    bool open = false, over = false;
    amqp::Condition ending;

    /// Opens a link to send on. Links are identified by the address they were opened for.
    void sendTo(const std::string& target);
    void readFrom(const std::string& source, int credit = 100);
    [[nodiscard]] int credit(const std::string& address) const;
    [[nodiscard]] bool linked(const std::string& address) const;
    bool send(const std::string& target, const amqp::Message& message, const std::string& tag);
    bool sendRaw(const std::string& target, const std::string& bytes, const std::string& tag);
    /// If true, replies are not settled.
    bool mute = false;

    std::map<std::string, amqp::Disposition> decisions;  // by tag
    std::vector<amqp::Message> replies;
    std::map<std::string, amqp::Condition> ends;  // of links, by address
    std::shared_ptr<amqp::Connection> connection;

    void opened(amqp::Connection& c) override;
    void linkOpened(amqp::Connection& c, amqp::LinkId id) override;
    void messageReceived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                         amqp::Message message, std::string broken) override;
    void dispositionReceived(amqp::Connection& c, amqp::LinkId id, const std::string& tag,
                             amqp::Disposition d) override;
    void detached(amqp::Connection& c, amqp::LinkId id, const amqp::Condition& why) override;
    void ended(amqp::Connection& c, const amqp::Condition& why) override;

  private:
    Task<void> run();
    EventLoop& loop_;
    std::string address_;
    amqp::Connection::Options options_;
    Scope scope_;
    std::map<amqp::LinkId, std::string> links_;
    std::map<std::string, int> reading_;
};

}  // namespace basaltchute::gateway::testing
