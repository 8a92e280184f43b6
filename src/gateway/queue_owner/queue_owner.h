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
#include "gateway/journal/job_id_allocator.h"
#include "gateway/journal/message_journal.h"
#include "gateway/queue_owner/concurrency_limiter.h"
#include "gateway/queue_owner/controllers.h"
#include "gateway/queue_owner/counters.h"
#include "gateway/queue_owner/prepare.h"
#include "gateway/queue_owner/write_limiter.h"

namespace basaltchute::gateway {

/// A message that came on some link and has no disposition yet.
struct IncomingMessage {
    std::weak_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
    amqp::DeliveryId delivery = 0;
    amqp::Message message;
    std::string broken;  // why there is no message
    TimePoint since{};
};

/// A link on which replies to one address can be sent.
struct ReplyLink {
    std::shared_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
};

/// What a queue's owner needs of the instance.
struct Services {
    EventLoop& loop;
    const Settings& settings;
    kv_store::Client& state;
    ControllerClient& controllers;
    JobIdAllocator& refs;
    Counters& counters;
    WriteLimiter& writeLimiter;
    std::function<bool(const QueueName&)> holds;   // by the clock, now
    std::function<void(const QueueName&)> fenced;  // a write met another owner's fence
    std::function<std::optional<ReplyLink>(const std::string& origin, const std::string& replyTo)>
        outlet;
    std::function<int()> memoryWindow;  // credit that the memory allows a link
};

/// What an instance does for a queue while it owns it: takes messages into custody step by step,
/// follows their jobs, and sends results in the order in which they became final. Each step stands
/// in the ledger before the next one begins, so that whoever owns the queue next repeats at most
/// one step, which has no further effect. `docs/amqp.md` has the reasoning.
class QueueOwner : public std::enable_shared_from_this<QueueOwner>,
                   private kv_store::RecordSource,
                   private kv_store::WriteObserver,
                   private kv_store::SharedWriteBudget {
  public:
    QueueOwner(Services& services, const QueueSettings& queue, kv_store::Precondition fence,
               std::uint64_t serial);

    /// Reads the ledger, then serves until `end`.
    void start(std::function<void()> ready);
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool closing() const { return closing_; }
    /// Takes nothing new and ends what is under way; nothing of it is unsettled afterwards.
    Task<void> drain();
    /// Ends at once.
    Task<void> end();

    void addReceivingLink(const std::shared_ptr<amqp::Connection>& connection, amqp::LinkId link,
                          std::string origin);
    /// Counts the message as under way; `take` must follow.
    void trackArrival(const IncomingMessage& arrival);
    Task<void> processMessage(IncomingMessage arrival);

    /// Sends what can be sent.
    void sendReplies();
    void handleReplyDisposition(const std::string& tag, const amqp::Disposition& disposition);
    void linkClosed(const amqp::Connection& connection, amqp::LinkId link);
    [[nodiscard]] std::uint64_t serial() const { return serial_; }

    [[nodiscard]] const MessageJournal& journal() const { return journal_; }
    [[nodiscard]] const QueueSettings& queue() const { return queue_; }
    [[nodiscard]] std::size_t unsettledCount() const { return unsettled_.size(); }
    [[nodiscard]] Duration oldestUnsettledAge() const;
    [[nodiscard]] int creditWindow() const { return pace_.window(); }
    [[nodiscard]] std::size_t receivingLinks() const { return inlets_.size(); }
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

    std::optional<kv_store::EncodedRecord> encode(const std::string& key) override;
    void onCommitted(const std::string& key, std::uint64_t version) override;
    void onFenced() override;
    double allowance(kv_store::WritePriority mostUrgent, double available) override;

    Task<void> open(std::function<void()> ready);
    bool load(const std::vector<kv_store::KeyValue>& items);
    Task<amqp::Disposition> decide(const IncomingMessage& arrival, const std::string& origin);
    Task<amqp::Disposition> enter(PreparedMessage prepared);
    [[nodiscard]] std::optional<std::string> runKey(const PreparedMessage& prepared);
    Task<bool> standing(std::string key);
    void changed(const std::string& record, kv_store::WritePriority urgency);
    void change(const std::string& key, kv_store::WritePriority urgency,
                const std::function<void(JournalEntry&)>& how);
    void refill(const Place& place, Inlet& inlet);
    void refillAll();
    Task<void> everySecond();
    Task<void> pollAll();
    Task<void> poll(std::string key);
    void pollLater(const std::string& key, Duration in);
    void finish(const std::string& key, const std::string& status);
    void send(const LaneKey& to, Lane& lane, const ReplyLink& outlet);
    void answered(const std::string& key, const std::string& why);
    Task<void> forget();
    [[nodiscard]] WallMillis forgetAt() const;

    Services& services_;
    EventLoop& loop_;
    const QueueSettings& queue_;
    kv_store::Precondition fence_;
    std::uint64_t serial_;
    Scope scope_;
    MessageJournal journal_;
    kv_store::TransactionWriter writer_;
    ConcurrencyLimiter pace_;
    Duration round_{};  // that an entry lately took to stand
    bool ready_ = false, closing_ = false;
    Event committed_, freed_, polled_;
    std::map<Place, Inlet> inlets_;
    std::multiset<TimePoint> unsettled_;
    std::set<std::string> busy_;  // keys that a delivery is taken through its steps for
    std::unordered_map<std::string, std::uint32_t> runs_;  // of messages without id, by content
    std::map<LaneKey, Lane> lanes_;
    std::uint64_t nextTag_ = 1;
    std::set<std::pair<TimePoint, std::string>> polls_;
    std::unordered_set<std::string> followed_;  // keys that are to be polled, or just being
    std::size_t pollsUnderWay_ = 0;
};

}  // namespace basaltchute::gateway
