#pragma once
// Client of the key-value service ("state service") that holds all durable state.
//
// Speaks the service's published HTTP protocol: transactions with preconditions (compare-and-swap
// by revision), reads, leases and watches. It keeps within the service's request limits, adapts to
// the rate of writes that the service accepts, and relays requests through a peer while this node
// cannot reach the service itself. It holds the state of the connection and caches no values.
// Guarantees: a request reported as `refused` or `rateLimited` was not executed; a response that
// cannot be true (malformed, or with an older revision than an earlier one) is treated as no
// response. Called by LeaderElection, TransactionWriter, LeaderTerm and the gateway's modules.
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "runtime/rate_limiter.h"
#include "settings/settings.h"

namespace basaltchute::kv_store {

/// Rises with each write to the store. A key's revision is that of its last write, the store's
/// revision that of its last write to any key.
using Revision = std::uint64_t;
/// Identifies a lease within the store.
using LeaseId = std::uint64_t;

/// How a request ended.
enum class Status {
    ok,
    notFound,        // the key does not exist, or the lease has ended
    conflict,        // a precondition does not hold; nothing was written
    refused,         // not executed
    rateLimited,     // not executed, only because the rate limit was exceeded
    malformed,       // not executed, and never will be in this form; it may be too large
    outcomeUnknown,  // may have been executed, or may still be
};

/// The key must have that revision when the transaction is executed.
struct Precondition {
    std::string key;
    Revision revision = 0;  // 0: the key does not exist
};
/// Write of one key.
struct Put {
    std::string key;
    std::string data;              // JSON text
    std::optional<LeaseId> lease;  // the service deletes the key when this lease ends
};
/// Executed as a whole if all preconditions hold, otherwise not at all.
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};
/// Result of a transaction.
struct CommitResult {
    Status status = Status::outcomeUnknown;
    Revision revision = 0;                // of the store, and of every key that was written
    std::vector<std::string> failedKeys;  // on conflict: keys whose preconditions do not hold
};
/// A stored key with its value.
struct KeyValue {
    std::string key;
    std::string data;  // JSON text
    Revision revision = 0;
};
/// Result of reading one key.
struct GetResult {
    Status status = Status::outcomeUnknown;
    std::optional<KeyValue> entry;  // present exactly if status is ok
    Revision revision = 0;          // of the key, or of the store if the key does not exist
};
/// Result of listing the keys under a prefix.
struct ListResult {
    Status status = Status::outcomeUnknown;
    std::vector<KeyValue> entries;  // sorted by key; complete only if status is ok
    Revision revision = 0;          // of the store
};
/// Result of a lease grant or a keep-alive.
struct LeaseResult {
    Status status = Status::outcomeUnknown;
    LeaseId id = 0;
    TimePoint sentAt{};  // when the request was sent; the lease lasts at least its TTL from then on
};

/// Whether the service accepts the key.
[[nodiscard]] bool isValidKey(const std::string& key);

/// Whether two values are equal as JSON; the service may return a value in another form than that
/// in which it was written. False if one of them is not JSON.
[[nodiscard]] bool equalAsJson(const std::string& one, const std::string& other);

/// See the top of this file. If its scope is cancelled, a call ends early with an unspecified
/// result.
class Client {
  public:
    Client(EventLoop& loop, const settings::Settings& settings);
    static constexpr Duration defaultTimeout = std::chrono::milliseconds(1500);

    /// Executes a transaction. As in the other calls, `timeout` applies to the request to the
    /// service, and again to a request that is relayed through a peer.
    Task<CommitResult> commit(Transaction txn, Scope& scope, Duration timeout = defaultTimeout);
    /// Reads one key.
    Task<GetResult> get(std::string key, Scope& scope);
    /// Reads all keys that begin with `prefix`, page by page. A key that is written meanwhile may
    /// be listed with its value from before or after.
    Task<ListResult> list(std::string prefix, Scope& scope);
    /// Creates a lease.
    Task<LeaseResult> grantLease(Duration ttl, Scope& scope);
    /// Renews a lease for its TTL; `notFound` if it has ended.
    Task<LeaseResult> keepAlive(LeaseId id, Duration timeout, Scope& scope);
    /// Ends a lease, and with it the keys that are bound to it. Not retried on failure, because the
    /// lease also ends by itself.
    Task<void> revokeLease(LeaseId id, Scope& scope);
    /// Waits until a key under the prefix changes after revision `after`, or until `timeout`.
    Task<Status> watch(std::string prefix, Revision after, Duration timeout, Scope& scope);
    /// Limits the rate of writes. commit() does not take from it; its callers do.
    [[nodiscard]] RateLimiter& writeLimiter() { return writeLimiter_; }
    /// Sends a request to the service through a peer.
    using Relay = std::function<Task<http::RequestOutcome>(http::Request, Duration, Scope&)>;
    void setRelay(Relay relay) { relay_ = std::move(relay); }
    /// Sends a request to the service from this node, never through a peer. Also used to relay a
    /// request of a peer that cannot reach the service.
    Task<http::RequestOutcome> sendDirectly(http::Request request, Duration timeout, Scope& scope);

  private:
    /// Sends a request directly, or through a peer while the direct path fails.
    Task<http::RequestOutcome> send(http::Request request, Duration timeout, Scope& scope);
    /// Checks whether the direct path works again.
    Task<void> probeDirectPath(Scope& scope);
    /// Whether a response with that revision of the store can be true. It must be at least
    /// `expectedAtLeast`, which derives from the newest revision known when the request was sent:
    /// the store's revision never goes back. If not, logs an error, and the caller treats the
    /// response as lost.
    bool isPlausible(Revision revision, Revision expectedAtLeast, const std::string& subject);
    /// Appends one page of a listing to `all`; returns whether there are more pages.
    bool appendPage(const std::string& body, const std::string& prefix, Revision knownAtSend,
                    ListResult& all);
    /// Adapts to the rate of writes that the service accepts, which may fall at any time.
    void adaptWriteRate(Status status);

    EventLoop& loop_;
    http::Client http_;
    RateLimiter requestLimiter_, writeLimiter_;
    /// Writes per second by the settings: the present maximum, and the one announced for later (0
    /// if none is announced).
    double maxWriteRate_, announcedWriteRate_;
    Revision newestRevision_ = 0;  // newest revision of the store that was seen
    /// When the service last limited the write rate; an increase of the rate moves it, so that the
    /// next increase is not due at once.
    TimePoint rateLimitedAt_{};
    Relay relay_;
    /// While the direct path fails, requests go through a peer. Whether the direct path works again
    /// is checked by a probe on which nothing depends. When writes were used to check it, every
    /// third write of a leader that alone was cut off from the service waited for 1.5 s, and users
    /// with it.
    bool directPathFailing_ = false, probing_ = false;
    TimePoint nextProbeAt_{};
};

}  // namespace basaltchute::kv_store
