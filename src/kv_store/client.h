#pragma once
// Client of the key-value service that holds all durable state.
//
// Speaks the service's published HTTP protocol: transactions with preconditions (compare-and-swap
// by revision), reads, leases and watches. It keeps within the service's request limits, follows
// the rate of writes that the service takes, and goes over a peer while this node cannot reach the
// service itself. The state it owns is that of the connection; it caches no values.
// Guarantees: a request reported as `refused` or `rateLimited` was surely not executed, and an
// answer that cannot be true (malformed, or of an older revision than one before) counts as none.
// Called by LeaderElection, TransactionWriter, LeaderTerm and the gateway's modules.
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "runtime/rate_limiter.h"
#include "settings/settings.h"

namespace basaltchute::kv_store {

/// Of a key: when it was last written. Of the store: of its last write. Rises with each write.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

/// How a request ended.
enum class Status {
    ok,
    notFound,        // no such key, or the lease has ended
    conflict,        // a precondition does not hold: nothing was written
    refused,         // surely not executed
    rateLimited,     // surely not executed, for its rate alone
    malformed,       // surely not executed, and never will be as it is: too large, perhaps
    outcomeUnknown,  // may have been executed, or may be yet
};

/// The key must have that revision when the transaction is executed.
struct Precondition {
    std::string key;
    Revision revision = 0;  // 0: the key does not exist
};
struct Put {  // write of one key
    std::string key;
    std::string data;              // JSON text
    std::optional<LeaseId> lease;  // with whose end the service deletes the key
};
/// Executed whole if all preconditions hold, and else not at all.
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};
struct CommitResult {  // of a transaction
    Status status = Status::outcomeUnknown;
    Revision revision = 0;                // of the store, and of every key that was written
    std::vector<std::string> failedKeys;  // on conflict: whose preconditions do not hold
};
struct KeyValue {  // a stored key
    std::string key;
    std::string data;  // JSON text
    Revision revision = 0;
};
struct GetResult {  // of a read of one key
    Status status = Status::outcomeUnknown;
    std::optional<KeyValue> entry;  // exactly if status is ok
    Revision revision = 0;          // the key's, or of the store if there is no such key
};
struct ListResult {  // of a listing
    Status status = Status::outcomeUnknown;
    std::vector<KeyValue> entries;  // by key; complete only if status is ok
    Revision revision = 0;          // of the store
};
struct LeaseResult {  // of a grant or a keep-alive
    Status status = Status::outcomeUnknown;
    LeaseId id = 0;
    TimePoint sentAt{};  // of the request: the lease lasts its TTL from then on at the least
};

/// Whether the service accepts such a key.
[[nodiscard]] bool isValidKey(const std::string& key);

/// Whether two values are equal as JSON. The service may return a value in another form than that
/// in which it was written. False if one of them is not JSON.
[[nodiscard]] bool equalAsJson(const std::string& one, const std::string& other);

/// See the top of this file. Every call ends early, with an unspecified result, if its scope is
/// cancelled.
class Client {
  public:
    Client(EventLoop& loop, const settings::Settings& settings);
    static constexpr Duration defaultTimeout = std::chrono::milliseconds(1500);

    /// Executes a transaction. `timeout` is for the service, and again for each peer that is asked
    /// instead; the same holds for the other calls.
    Task<CommitResult> commit(Transaction txn, Scope& scope, Duration timeout = defaultTimeout);
    Task<GetResult> get(std::string key, Scope& scope);
    /// All keys that begin with `prefix`, page by page: a key that is written meanwhile may be
    /// listed as before or after.
    Task<ListResult> list(std::string prefix, Scope& scope);
    Task<LeaseResult> grantLease(Duration ttl, Scope& scope);
    /// Renews a lease for its TTL; `notFound` if it has ended.
    Task<LeaseResult> keepAlive(LeaseId id, Duration timeout, Scope& scope);
    /// Ends a lease, and with it the keys that are bound to it. Not repeated if it fails: the lease
    /// ends by itself.
    Task<void> revokeLease(LeaseId id, Scope& scope);
    /// Ends when something under the prefix changes after `after`, or after `timeout`.
    Task<Status> watch(std::string prefix, Revision after, Duration timeout, Scope& scope);
    /// What may be written now. Callers of commit() take from it themselves.
    [[nodiscard]] RateLimiter& writeLimiter() { return writeLimiter_; }
    /// Sends a request to the service through a peer.
    using Relay = std::function<Task<http::RequestOutcome>(http::Request, Duration, Scope&)>;
    void setRelay(Relay relay) { relay_ = std::move(relay); }
    /// Sends a request of a peer that cannot reach the service: from this node only, never relayed.
    Task<http::RequestOutcome> sendDirectly(http::Request request, Duration timeout, Scope& scope);

  private:
    /// Sends directly or through a peer, whichever works.
    Task<http::RequestOutcome> send(http::Request request, Duration timeout, Scope& scope);
    /// Finds out whether the direct path works again.
    Task<void> probe(Scope& scope);
    /// Whether an answer to a request that was sent when the store was at `since` can be true: the
    /// store goes forward only. One that cannot be true is one line in the log, and no answer.
    bool isPlausible(Revision at, Revision since, const std::string& subject);
    /// Takes one page of a listing into `all`; whether there are more pages.
    bool addPage(const std::string& body, const std::string& prefix, Revision since,
                 ListResult& all);
    /// Follows the rate that the service takes, which may fall at any time.
    void adaptWriteRate(Status status);

    EventLoop& loop_;
    http::Client http_;
    RateLimiter requestLimiter_, writeLimiter_;
    double maxWriteRate_, nextWriteRate_;  // writes a second, by the settings: now, and announced
    Revision newestRevision_ = 0;          // of the store, as far as it has said
    TimePoint rateLimitedAt_{};
    Relay relay_;
    /// Requests go through a peer. What finds out whether the direct path works again is a request
    /// that nothing depends on: tried with writes, each third one of a leader that was cut off from
    /// the service alone hung for a second and a half, and the users behind it.
    bool directPathFailing_ = false, probing_ = false;
    TimePoint nextProbe_{};
};

}  // namespace basaltchute::kv_store
