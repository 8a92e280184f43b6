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

/// Of one connection; never used again.
using LinkId = std::uint64_t;
using DeliveryId = std::uint64_t;

/// An error condition (AMQP 1.0 part 2, 2.8.14): a symbol, words for people, and details.
struct Condition {
    std::string name, description;
    std::map<std::string, std::string> info;
    [[nodiscard]] bool empty() const { return name.empty(); }
};

/// Terminal states of a delivery (part 3, 3.4). `none`: settled without one.
enum class Outcome { none, accepted, rejected, released, modified };
struct Disposition {
    Outcome outcome = Outcome::none;
    Condition condition;          // of a rejection
    bool deliveryFailed = false;  // of `modified`: counts as a failed delivery
};

/// What the other side has asked for.
struct Attach {
    bool peerSends = false;
    std::string name, source, target;
};

struct Limits {
    Duration idleTimeout = std::chrono::seconds(30);   // silence after which a connection ends
    Duration writeTimeout = std::chrono::seconds(20);  // that a peer may leave our bytes unread
    std::size_t frameBytes = std::size_t{64} * 1024;
    std::size_t messageBytes =
        std::size_t{64} * 1024;  // larger messages are dropped as they come, then reported
    std::size_t links = 256;     // of one connection
};

class Connection;

/// What happens on a connection; called on the loop, and never after `ended`.
class Handler {
  public:
    virtual ~Handler() = default;
    virtual void opened(Connection&) {}
    /// The other side wants a link: answer with `confirm` or `refuse`, at once or later.
    virtual void attached(Connection&, LinkId, const Attach&) {}
    /// A link that this side wanted exists now.
    virtual void linkOpened(Connection&, LinkId) {}
    /// A whole message came. `broken` says why there is none: too large, or no AMQP message.
    virtual void messageReceived(Connection&, LinkId, DeliveryId, Message, std::string broken) {
        static_cast<void>(broken);
    }
    /// The other side decided on what this side sent under `tag`.
    virtual void dispositionReceived(Connection&, LinkId, const std::string& tag, Disposition) {
        static_cast<void>(tag);
    }
    /// There may be more credit to send.
    virtual void creditUpdated(Connection&, LinkId) {}
    virtual void detached(Connection&, LinkId, const Condition&) {}
    virtual void ended(Connection&, const Condition&) {}
};

/// One AMQP connection, of either role, on a loop of ours: Proton's engine between a socket, with
/// TLS or without, and a handler. Links and deliveries are named by ids: what is asked for one
/// that is gone has no effect, so that a decision that took its time does no harm.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    struct Options {
        std::string container, host;  // our name; the name of the host that is asked for
        bool server = false;
        Limits limits;
        Identity identity;
        TlsHandle tls;  // none: in the clear
    };
    Connection(EventLoop& loop, std::unique_ptr<Socket> socket, Options options, Handler& handler);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Serves the connection until it ends; `ended` has been called by then.
    static Task<void> run(std::shared_ptr<Connection> self, Scope& scope);
    /// Says goodbye; the routine ends once that is written.
    void close(const Condition& why = {});
    /// Ends at once, without a word, as a broken wire does.
    void abort();
    [[nodiscard]] bool closed() const { return closed_; }
    /// Who the other side has proved to be, on the listening side, once opened.
    [[nodiscard]] std::string user() const;

    LinkId receiveFrom(const std::string& source, const std::string& name);
    LinkId sendTo(const std::string& target, const std::string& name);
    void confirm(LinkId id);
    void refuse(LinkId id, const Condition& why);
    /// Ends a link; what it holds unsettled is released.
    void detach(LinkId id, const Condition& why = {});
    void addCredit(LinkId id, int credit);
    /// Credit given and not used yet; of a link that this side sends on, credit it may use.
    [[nodiscard]] int credit(LinkId id) const;
    /// Takes back credit that is not used yet.
    void drain(LinkId id);
    /// False without credit or link. `tag`: at most 32 bytes (part 2, 2.6.12).
    bool send(LinkId id, const std::string& bytes, const std::string& tag);
    void settle(DeliveryId id, const Disposition& disposition);

  private:
    struct Engine;
    struct Incoming {
        pn_delivery_t* delivery = nullptr;
        LinkId link = 0;
        std::string bytes;
        bool tooLarge = false, whole = false;
    };
    [[nodiscard]] pn_link_t* link(LinkId id) const;
    LinkId idOf(pn_link_t* link);
    void dispatch();
    void handle(pn_event_t* event);
    void onDelivery(pn_delivery_t* delivery);
    void onIncoming(pn_delivery_t* delivery);
    void forgetLink(pn_link_t* link);
    bool feed(std::string& plain);
    Task<void> write(Scope& scope);
    Task<void> read(Scope& scope);
    [[nodiscard]] TimePoint tick();
    std::string wire();

    EventLoop& loop_;
    std::unique_ptr<Socket> socket_;
    Options options_;
    Handler& handler_;
    std::unique_ptr<Tls> tls_;
    std::unique_ptr<Engine> engine_;
    Event wake_, writerEnded_;
    bool closed_ = false, writing_ = false, dispatching_ = false, aborted_ = false;
    std::map<LinkId, pn_link_t*> links_;
    std::unordered_map<DeliveryId, Incoming> deliveries_;
    LinkId nextLink_ = 1;
    DeliveryId nextDelivery_ = 1;
};

}  // namespace basaltchute::amqp
