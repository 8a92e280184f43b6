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

/// A received message that has not been settled yet.
struct IncomingMessage {
    std::weak_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
    amqp::DeliveryId delivery = 0;
    amqp::Message message;
    std::string decodeError;  // why the message could not be decoded; empty if it could
    TimePoint receivedAt{};
};

/// A link on which replies to one address can be sent.
struct ReplyLink {
    std::shared_ptr<amqp::Connection> connection;
    amqp::LinkId link = 0;
};

/// What a queue owner uses of its gateway instance.
struct Services {
    EventLoop& loop;
    const Settings& settings;
    kv_store::Client& kvClient;
    ControllerClient& controllers;
    JobIdAllocator& jobIds;
    Counters& counters;
    WriteLimiter& writeLimiter;
    std::function<bool(const QueueName&)>
        ownsQueue;  // whether the lease is valid now and covers the queue
    std::function<void(const QueueName&)>
        fenced;  // a write failed because another instance owns the queue
    std::function<std::optional<ReplyLink>(const std::string& origin, const std::string& replyTo)>
        findReplyLink;
    std::function<int()> maxCreditByMemory;  // credit per link that the memory limit allows
};

/// Serves one queue while the instance owns it: journals each message, submits its job, polls the
/// job and sends the result to the reply address, in the order in which the results became final.
/// Each step is committed to the journal before the next one begins, so that the next owner of the
/// queue repeats at most one step, and the repetition has no further effect. `docs/amqp.md` gives
/// the reasons. Created by Gateway when the instance gains the queue.
class QueueOwner : public std::enable_shared_from_this<QueueOwner>,
                   private kv_store::RecordSource,
                   private kv_store::WriteObserver,
                   private kv_store::SharedWriteBudget {
  public:
    QueueOwner(Services& services, const QueueSettings& queue, kv_store::Precondition fence,
               std::uint64_t serial);

    /// Loads the journal, then serves the queue until `end`. `ready` is called after loading.
    void start(std::function<void()> ready);
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool closing() const { return closing_; }
    /// Accepts no more messages and waits for those in progress and for replies in flight, for a
    /// limited time.
    Task<void> drain();
    /// Cancels all work at once.
    Task<void> end();

    /// Registers a link on which messages of this queue arrive and gives it credit.
    /// `origin`: name of the source broker; empty for a client.
    void addReceivingLink(const std::shared_ptr<amqp::Connection>& connection, amqp::LinkId link,
                          std::string origin);
    /// Counts the message as unsettled; a call of `processMessage` must follow.
    void trackArrival(const IncomingMessage& arrival);
    /// Takes the message through all steps up to its disposition and settles it.
    Task<void> processMessage(IncomingMessage arrival);

    /// Sends all replies that are due as far as the links have credit.
    void sendReplies();
    /// Handles the disposition of the reply with this delivery tag.
    void handleReplyDisposition(const std::string& tag, const amqp::Disposition& disposition);
    /// Forgets a link; its unsettled replies will be sent again.
    void linkClosed(const amqp::Connection& connection, amqp::LinkId link);
    [[nodiscard]] std::uint64_t serial() const { return serial_; }

    [[nodiscard]] const MessageJournal& journal() const { return journal_; }
    [[nodiscard]] const QueueSettings& queue() const { return queue_; }
    /// Number of received messages without a disposition.
    [[nodiscard]] std::size_t unsettledCount() const { return unsettled_.size(); }
    [[nodiscard]] Duration oldestUnsettledAge() const;
    [[nodiscard]] int creditWindow() const { return concurrency_.window(); }
    [[nodiscard]] std::size_t receivingLinks() const { return receivingLinks_.size(); }
    /// Sends a delivered result again, or clears a refusal so that the message can be sent again.
    /// Returns an error text if the entry allows neither.
    std::optional<std::string> replay(const std::string& key);

  private:
    using LinkKey = std::pair<const amqp::Connection*, amqp::LinkId>;
    struct ReceivingLink {
        std::weak_ptr<amqp::Connection> connection;
        std::string origin;
        int unsettled = 0;  // received messages without a disposition
    };
    struct SentReply {
        std::uint64_t number = 0;
        LinkKey linkKey;
    };
    struct ReplyChannel {  // replies to one address, in order
        std::set<std::uint64_t> pending;
        std::map<std::string, SentReply> inFlight;  // by delivery tag
        TimePoint notBefore{};
    };
    using ReplyChannelKey = std::pair<std::string, std::string>;  // origin, reply-to

    std::optional<kv_store::EncodedRecord> encode(const std::string& key) override;
    void onCommitted(const std::string& key, std::uint64_t version) override;
    void onFenced() override;
    double allowance(kv_store::WritePriority mostUrgent, double available) override;

    Task<void> loadAndServe(std::function<void()> ready);
    bool load(const std::vector<kv_store::KeyValue>& items);
    Task<amqp::Disposition> handleMessage(const IncomingMessage& arrival,
                                          const std::string& origin);
    Task<amqp::Disposition> journalAndSubmit(PreparedMessage prepared);
    [[nodiscard]] std::optional<std::string> anonymousKey(const PreparedMessage& prepared);
    Task<bool> waitUntilDurable(std::string key);
    void markDirty(const std::string& record, kv_store::WritePriority priority);
    void updateEntry(const std::string& key, kv_store::WritePriority priority,
                     const std::function<void(JournalEntry&)>& modify);
    void replenishCredit(const LinkKey& linkKey, ReceivingLink& inlet);
    void replenishAllCredit();
    Task<void> adjustCreditEverySecond();
    Task<void> runPolls();
    Task<void> poll(std::string key);
    void schedulePoll(const std::string& key, Duration in);
    void recordResult(const std::string& key, const std::string& status);
    void send(const ReplyChannelKey& to, ReplyChannel& channel, const ReplyLink& replyLink);
    void recordReplyOutcome(const std::string& key, const std::string& why);
    Task<void> removeExpiredEntries();
    [[nodiscard]] WallMillis expiryTime() const;

    Services& services_;
    EventLoop& loop_;
    const QueueSettings& queue_;
    kv_store::Precondition fence_;
    std::uint64_t serial_;
    Scope scope_;
    MessageJournal journal_;
    kv_store::TransactionWriter writer_;
    ConcurrencyLimiter concurrency_;
    Duration averageCommitTime_{};  // moving average of the time to commit an entry
    bool ready_ = false, closing_ = false;
    Event committed_, progress_, pollScheduled_;
    std::map<LinkKey, ReceivingLink> receivingLinks_;
    std::multiset<TimePoint> unsettled_;
    std::set<std::string> busyKeys_;  // keys of messages that are being processed
    std::unordered_map<std::string, std::uint32_t>
        lastRuns_;  // last run of a message without id, by its content hash
    std::map<ReplyChannelKey, ReplyChannel> replyChannels_;
    std::uint64_t nextTag_ = 1;
    std::set<std::pair<TimePoint, std::string>> pollSchedule_;
    std::unordered_set<std::string> polledKeys_;  // keys with a scheduled or active poll
    std::size_t activePolls_ = 0;
};

}  // namespace basaltchute::gateway
