#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "runtime/budget.h"
#include "settings/settings.h"

namespace basaltchute::kv_store {

using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

/// How a request ended. `refused`: surely not executed. `limited`: neither, for its rate alone.
/// `malformed`: neither, and it never will be as it is: too large, perhaps. `unknown`: may have
/// been executed, or may be yet.
enum class Status { ok, notFound, conflict, refused, rateLimited, malformed, outcomeUnknown };

struct Precondition {
    std::string key;
    Revision revision = 0;  // 0: the key does not exist
};
struct Put {
    std::string key;
    std::string data;  // JSON text
    std::optional<LeaseId> lease;
};
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};
struct CommitResult {
    Status status = Status::outcomeUnknown;
    Revision revision = 0;
    std::vector<std::string> failedKeys;
};
struct KeyValue {
    std::string key;
    std::string data;
    Revision revision = 0;
};
struct GetResult {
    Status status = Status::outcomeUnknown;
    std::optional<KeyValue> entry;
    Revision at = 0;
};
struct ListResult {
    Status status = Status::outcomeUnknown;
    std::vector<KeyValue> entries;
    Revision at = 0;
};
struct LeaseResult {
    Status status = Status::outcomeUnknown;
    LeaseId id = 0;
    TimePoint sentAt{};
};

/// What the service takes as a key.
[[nodiscard]] bool validKey(const std::string& key);

/// The state service by its published protocol. Malformed answers count as no answer.
class Client {
  public:
    Client(EventLoop& loop, const settings::Settings& settings);
    static constexpr Duration defaultTimeout = std::chrono::milliseconds(1500);
    Task<CommitResult> commit(Transaction txn, Scope& scope, Duration timeout = defaultTimeout);
    Task<GetResult> get(std::string key, Scope& scope);
    Task<ListResult> list(std::string prefix, Scope& scope);
    Task<LeaseResult> grantLease(Duration life, Scope& scope);
    /// `patience`: for the service, and again for each peer that is asked instead.
    Task<LeaseResult> keepAlive(LeaseId id, Duration timeout, Scope& scope);
    Task<void> revokeLease(LeaseId id, Scope& scope);
    /// Ends when something under the prefix changes after `after`, or after `patience`.
    Task<Status> watch(std::string prefix, Revision after, Duration timeout, Scope& scope);
    [[nodiscard]] RateLimiter& writeLimiter() { return writeLimiter_; }
    /// How to reach the service when this node cannot: through a peer.
    using Relay = std::function<Task<http::RequestOutcome>(http::Request, Duration, Scope&)>;
    void setRelay(Relay relay) { relay_ = std::move(relay); }
    /// For a peer that cannot reach the service: this node's own way only.
    Task<http::RequestOutcome> direct(http::Request request, Duration timeout, Scope& scope);

  private:
    Task<http::RequestOutcome> send(http::Request request, Duration timeout, Scope& scope);
    Task<void> probe(Scope& scope);
    /// Whether an answer to what was asked when the store was at `since` can be true: the store
    /// goes forward only. What cannot is one line in the log, and no answer.
    bool isPlausible(Revision at, Revision since, const std::string& about);
    /// Follows the rate that the service takes, which may fall at any time.
    void adaptWriteRate(Status status);
    EventLoop& loop_;
    http::Client http_;
    RateLimiter requestLimiter_, writeLimiter_;
    double maxWriteRate_, nextWriteRate_;  // a second: by the settings, now and some day
    Revision newestRevision_ = 0;          // of the store, as far as it has said
    TimePoint rateLimitedAt_{};
    Relay relay_;
    /// Requests go over a peer. What finds out whether the own way works again is a question that
    /// nothing depends on: tried with writes, each third one of a leader that was cut off from the
    /// service alone hung for a second and a half, and the users behind it.
    bool directPathFailing_ = false, probing_ = false;
    TimePoint nextProbe_{};
};

}  // namespace basaltchute::kv_store
