#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/amqp/message.h"
#include "gateway/amqp/sasl.h"
#include "gateway/amqp/tls.h"
#include "runtime/socket.h"

struct pn_link_t;
struct pn_delivery_t;
struct pn_event_t;

namespace basaltchute::amqp {

/// Identifiers within one connection; never reused.
using LinkId = std::uint64_t;
using DeliveryId = std::uint64_t;

/// An AMQP error condition (AMQP 1.0 part 2, 2.8.14): symbol, description and details.
struct Condition {
    std::string name, description;
    std::map<std::string, std::string> info;
    [[nodiscard]] bool empty() const { return name.empty(); }
};

/// Terminal states of a delivery (part 3, 3.4). `none`: settled without one.
enum class Outcome { none, accepted, rejected, released, modified };
struct Disposition {
    Outcome outcome = Outcome::none;
    Condition condition;          // reason of a rejection
    bool deliveryFailed = false;  // of `modified`: counts as a failed delivery
};

/// A link that the peer requested.
struct Attach {
    bool peerSends = false;
    std::string name, source, target;
};

struct Limits {
    Duration idleTimeout =
        std::chrono::seconds(30);  // the connection ends after this time without traffic
    Duration writeTimeout =
        std::chrono::seconds(20);  // the connection ends if the peer reads nothing for this long
    std::size_t frameBytes = std::size_t{64} * 1024;
    std::size_t messageBytes =
        std::size_t{64} * 1024;  // larger messages are dropped as they come, then reported
    std::size_t links = 256;     // maximum number of links per connection
};

class Connection;

/// Receives the events of a connection, on its event loop and never after `ended`.
class Handler {
  public:
    virtual ~Handler() = default;
    virtual void opened(Connection&) {}
    /// The peer requests a link: answer with `confirm` or `refuse`, now or later.
    virtual void attached(Connection&, LinkId, const Attach&) {}
    /// The peer has attached a link that this side requested.
    virtual void linkOpened(Connection&, LinkId) {}
    /// A complete message was received. `broken` is the error if it was too large or not an AMQP
    /// message.
    virtual void messageReceived(Connection&, LinkId, DeliveryId, Message, std::string broken) {
        static_cast<void>(broken);
    }
    /// The peer settled the message that was sent with delivery tag `tag`.
    virtual void dispositionReceived(Connection&, LinkId, const std::string& tag, Disposition) {
        static_cast<void>(tag);
    }
    /// The credit for sending on the link may have changed.
    virtual void creditUpdated(Connection&, LinkId) {}
    virtual void detached(Connection&, LinkId, const Condition&) {}
    virtual void ended(Connection&, const Condition&) {}
};

/// One AMQP connection, as client or server: connects a socket, optionally with TLS, Proton's
/// protocol engine and a handler. Links and deliveries are identified by ids, and operations on an
/// id that no longer exists have no effect, so that a late disposition does no harm. Used by the
/// gateway's client listener and by its broker consumers.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    struct Options {
        std::string container, host;  // own container id; host name of the peer
        bool server = false;
        Limits limits;
        Identity identity;
        TlsHandle tls;  // null: no encryption
    };
    Connection(EventLoop& loop, std::unique_ptr<Socket> socket, Options options, Handler& handler);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Runs the connection until it ends; `ended` has been called by then.
    static Task<void> run(std::shared_ptr<Connection> self, Scope& scope);
    /// Closes the connection in order; `run` returns once the close frame is written.
    void close(const Condition& why = {});
    /// Drops the connection without a close frame, as a network failure does.
    void abort();
    [[nodiscard]] bool closed() const { return closed_; }
    /// The authenticated user of the peer; on the server side, once opened.
    [[nodiscard]] std::string user() const;

    /// Requests a link for receiving from an address; `Handler::linkOpened` follows.
    LinkId receiveFrom(const std::string& source, const std::string& name);
    /// Requests a link for sending to an address; `Handler::linkOpened` follows.
    LinkId sendTo(const std::string& target, const std::string& name);
    /// Accepts or refuses a link that the peer requested.
    void confirm(LinkId id);
    void refuse(LinkId id, const Condition& why);
    /// Detaches a link; its unsettled incoming deliveries are released.
    void detach(LinkId id, const Condition& why = {});
    /// Grants the peer further credit on a link for receiving.
    void addCredit(LinkId id, int credit);
    /// Credit that the peer has not used yet, or, on a link for sending, credit that this side may
    /// use.
    [[nodiscard]] int credit(LinkId id) const;
    /// Drains the unused credit of the link.
    void drain(LinkId id);
    /// Sends an encoded message. Returns false if the link does not exist or has no credit. `tag`:
    /// at most 32 bytes (part 2, 2.6.12).
    bool send(LinkId id, const std::string& bytes, const std::string& tag);
    /// Settles a received message.
    void settle(DeliveryId id, const Disposition& disposition);

  private:
    struct Engine;
    struct IncomingDelivery {
        pn_delivery_t* delivery = nullptr;
        LinkId link = 0;
        std::string bytes;
        bool tooLarge = false, complete = false;
    };
    [[nodiscard]] pn_link_t* link(LinkId id) const;
    LinkId idOf(pn_link_t* link);
    void dispatch();
    void handle(pn_event_t* event);
    void onDelivery(pn_delivery_t* delivery);
    void onIncoming(pn_delivery_t* delivery);
    void removeLink(pn_link_t* link);
    bool feedEngine(std::string& plain);
    Task<void> writeLoop(Scope& scope);
    Task<void> readLoop(Scope& scope);
    [[nodiscard]] TimePoint updateTimer();
    std::string takeOutput();

    EventLoop& loop_;
    std::unique_ptr<Socket> socket_;
    Options options_;
    Handler& handler_;
    std::unique_ptr<Tls> tls_;
    std::unique_ptr<Engine> engine_;
    Event wake_, writerEnded_;
    bool closed_ = false, writing_ = false, dispatching_ = false, aborted_ = false;
    std::map<LinkId, pn_link_t*> links_;
    std::unordered_map<DeliveryId, IncomingDelivery> deliveries_;
    LinkId nextLink_ = 1;
    DeliveryId nextDelivery_ = 1;
};

}  // namespace basaltchute::amqp
