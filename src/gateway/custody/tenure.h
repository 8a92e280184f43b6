#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "gateway/amqp/connection.h"
#include "gateway/custody/controllers.h"
#include "gateway/custody/counters.h"
#include "gateway/custody/pace.h"
#include "gateway/custody/prepare.h"
#include "gateway/custody/turnstile.h"
#include "gateway/ledger/book.h"
#include "gateway/ledger/refs.h"

namespace basaltchute::gateway {

/// A message that came on some link and has no disposition yet.
struct Arrival {
    std::weak_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
    amqp::DeliveryId delivery = 0;
    amqp::Message message;
    std::string broken;  // why there is no message
    TimePoint since{};
};

/// A link on which replies to one address can be sent.
struct Outlet {
    std::shared_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
};

/// What a queue's owner needs of the instance.
struct Services {
    Loop& loop;
    const Settings& settings;
    state::Client& state;
    Controllers& controllers;
    Refs& refs;
    Counters& counters;
    Turnstile& turnstile;
    std::function<bool(const QueueName&)> holds;   // by the clock, now
    std::function<void(const QueueName&)> fenced;  // a write met another owner's fence
    std::function<std::optional<Outlet>(const std::string& origin, const std::string& replyTo)>
        outlet;
    std::function<int()> memoryWindow;  // credit that the memory allows a link
};

/// What an instance does for a queue while it owns it: takes messages into custody step by step,
/// follows their jobs, and sends results in the order in which they became final. Each step stands
/// in the ledger before the next one begins, so that whoever owns the queue next repeats at most
/// one step, which has no further effect. `docs/amqp.md` has the reasoning.
class Tenure : public std::enable_shared_from_this<Tenure> {
  public:
    Tenure(Services& services, const QueueSettings& queue, state::Guard fence,
           std::uint64_t serial);

    /// Reads the ledger, then serves until `end`.
    void start(std::function<void()> ready);
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool closing() const { return closing_; }
    /// Takes nothing new and ends what is under way; nothing of it is unsettled afterwards.
    Task<void> windDown();
    /// Ends at once.
    Task<void> end();

    void addInlet(const std::shared_ptr<amqp::Connection>& connection, amqp::LinkId link,
                  std::string origin);
    /// Counts the message as under way; `take` must follow.
    void arrived(const Arrival& arrival);
    Task<void> take(Arrival arrival);

    /// Sends what can be sent.
    void pump();
    void decided(const std::string& tag, const amqp::Disposition& disposition);
    void linkGone(const amqp::Connection& connection, amqp::LinkId link);
    [[nodiscard]] std::uint64_t serial() const { return serial_; }

    [[nodiscard]] const Book& book() const { return book_; }
    [[nodiscard]] const QueueSettings& queue() const { return queue_; }
    [[nodiscard]] std::size_t untaken() const { return untaken_.size(); }
    [[nodiscard]] Duration oldest() const;
    [[nodiscard]] int window() const { return pace_.window(); }
    [[nodiscard]] std::size_t links() const { return inlets_.size(); }
    /// Sends a result once more, or forgets a refusal. One line if that cannot be.
    std::optional<std::string> replay(const std::string& key);

  private:
    using Place = std::pair<const amqp::Connection*, amqp::LinkId>;
    struct Inlet {
        std::weak_ptr<amqp::Connection> connection;
        std::string origin;
        int inHand = 0;  // arrived, without disposition
    };
    struct Flight {
        std::uint64_t number = 0;
        Place place;
    };
    struct Lane {  // replies to one address, in order
        std::set<std::uint64_t> waiting;
        std::map<std::string, Flight> flying;  // by tag
        TimePoint notBefore{};
    };
    using LaneKey = std::pair<std::string, std::string>;  // origin, reply-to

    Task<void> open(std::function<void()> ready);
    bool load(const std::vector<state::Item>& items);
    Task<amqp::Disposition> decide(const Arrival& arrival, const std::string& origin);
    Task<amqp::Disposition> enter(Prepared prepared);
    [[nodiscard]] std::optional<std::string> runKey(const Prepared& prepared);
    Task<bool> standing(std::string key);
    void changed(const std::string& record, state::Urgency urgency);
    void change(const std::string& key, state::Urgency urgency,
                const std::function<void(Entry&)>& how);
    void refill(const Place& place, Inlet& inlet);
    void refillAll();
    Task<void> everySecond();
    Task<void> pollAll();
    Task<void> poll(std::string key);
    void pollLater(const std::string& key, Duration in);
    void finish(const std::string& key, const std::string& status);
    void send(const LaneKey& key, Lane& lane, const Outlet& outlet);
    void answered(const std::string& key, const std::string& why);
    Task<void> forget();
    [[nodiscard]] WallMillis forgetAt() const;

    Services& services_;
    Loop& loop_;
    const QueueSettings& queue_;
    state::Guard fence_;
    std::uint64_t serial_;
    Scope scope_;
    Book book_;
    state::Writer writer_;
    Pace pace_;
    Duration round_{};  // that an entry lately took to stand
    bool ready_ = false, closing_ = false;
    Event committed_, freed_, polled_;
    std::map<Place, Inlet> inlets_;
    std::multiset<TimePoint> untaken_;
    std::set<std::string> busy_;  // keys that a delivery is taken through its steps for
    std::unordered_map<std::string, std::uint32_t> runs_;  // of messages without id, by content
    std::map<LaneKey, Lane> lanes_;
    std::uint64_t nextTag_ = 1;
    std::set<std::pair<TimePoint, std::string>> polls_;
    std::unordered_set<std::string> followed_;  // keys that are to be polled, or just being
    std::size_t pollsUnderWay_ = 0;
};

}  // namespace basaltchute::gateway
