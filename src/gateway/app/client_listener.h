#pragma once
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/queue_owner/queue_owner.h"

namespace basaltchute::gateway {

/// Where a queue is served; both fields are empty while no instance is known to serve it.
struct Route {
    std::shared_ptr<QueueOwner> localOwner;  // set if this instance serves the queue
    std::string remoteAddress;  // advertised AMQP address of the instance that holds it
};

/// Accepts AMQP connections of clients. Clients send to `queue/<team>/<class>` and read from
/// `reply/<team>/<class>/<name>`. A link for a queue that another instance holds is detached with
/// a redirect to that instance (AMQP 1.0 part 2, 2.8.18). While no instance is known to hold the
/// queue, the attach is left unanswered.
class ClientListener {
  public:
    /// Callbacks into the gateway, shared with Consumer. An empty queue name passed to `credited`
    /// means every queue.
    struct Hooks {
        std::function<Route(const QueueName&)> route;
        std::function<void(const std::shared_ptr<QueueOwner>&, IncomingMessage)> arrived;
        std::function<void(const std::string& tag, const amqp::Disposition&)> decided;
        std::function<void(const amqp::Connection&, amqp::LinkId)> linkGone;
        std::function<void(const QueueName&)> credited;
    };
    /// Throws if the address cannot be listened on. `tls` may be null.
    ClientListener(EventLoop& loop, const Settings& settings, Counters& counters,
                   amqp::TlsHandle tls, Hooks hooks);
    ~ClientListener();
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;
    void start(Scope& scope);
    /// Sets the TLS context for new connections; open connections keep theirs.
    void setTls(amqp::TlsHandle tls) { tls_ = std::move(tls); }
    /// Confirms, redirects or detaches links after this or another instance gained or lost a queue.
    void routesChanged();
    /// The link of the client that reads replies from this address, if there is one.
    [[nodiscard]] std::optional<ReplyLink> replyLinkFor(const std::string& replyTo) const;
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    [[nodiscard]] std::string address() const { return listener_.address(); }

  private:
    class Session;
    Task<void> acceptAll(Scope& scope);
    Task<void> serve(std::unique_ptr<Socket> socket, Scope& scope);

    EventLoop& loop_;
    const Settings& settings_;
    Counters& counters_;
    amqp::TlsHandle tls_;
    Hooks hooks_;
    Listener listener_;
    std::list<std::shared_ptr<Session>> sessions_;
    std::map<std::string, std::vector<std::pair<Session*, amqp::LinkId>>> readers_;  // by address
};

}  // namespace basaltchute::gateway
