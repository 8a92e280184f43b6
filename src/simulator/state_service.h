#pragma once
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "http/server.h"
#include "runtime/rate_limiter.h"

// The simulated state service. The simulator runs one for each site, and tests of other modules run
// it on the event loop of the test (testing/world.h).

namespace basaltchute::simulator {

/// An in-memory key-value store that speaks the published HTTP protocol of the state service:
/// transactions, leases, lists and watches. It enforces request limits and can inject faults.
class StateService {
  public:
    /// Limits that requests must keep, and the latency that is added to each.
    struct Limits {
        double rps = 1e9, writeRps = 1e9;  // requests and changed keys a second; bursts of 1 s
        std::size_t valueBytes = SIZE_MAX, txnOps = SIZE_MAX;
        Duration latency{};
    };
    /// Listens on `address`. Runs on `loop`; its coroutines belong to `scope`. Both must outlive
    /// it.
    StateService(EventLoop& loop, Scope& scope, const std::string& address = "127.0.0.1:0");
    StateService(EventLoop& loop, Scope& scope, const std::string& address, Limits limits);
    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Listens on one more address, which is meant for a single node. While `refuses` returns true,
    /// requests to it get 503, which that node cannot tell from an outage.
    void addListener(const std::string& address, std::function<bool()> refuses);
    /// A stored value. `stamp` is the revision that wrote it; `grant` is its lease, 0 for none.
    struct Entry {
        std::string data;
        std::uint64_t stamp = 0, grant = 0;
    };
    std::map<std::string, Entry> keys;
    bool down = false;
    int writes = 0, watches = 0;
    /// The fault of one request: refused with 503, refused as malformed with 400, executed but
    /// never answered in time, executed after `delay` and not answered in time, or answered after
    /// `delay`.
    struct Fault {
        enum class Kind {
            none,
            refused,
            malformed,
            responseLost,
            executedLate,
            respondedLate
        } kind = Kind::none;
        Duration delay{};
    };
    /// Decides the fault of each request, if set.
    std::function<Fault(const http::Request&)> fault;
    /// Called after each put, if set.
    std::function<void(const std::string& key, const std::string& data)> onPut;
    /// Replaces the value size, transaction size and write rate where the new limit is not 0.
    /// Stored values stay, even if they exceed the new limits.
    void lowerLimits(const Limits& limits);
    /// Advances the revision as `times` changes by other clients would, and compacts the log:
    /// watches from an older revision get 410.
    void advanceRevisionAndCompact(std::uint64_t times) {
        revision_ += times;
        compactedBelow_ = revision_ - 1;
    }
    /// Ends the lease of a key as if it had expired, which deletes all keys of that lease.
    void expireLeaseOf(const std::string& key);

  private:
    using Refuses = std::function<bool()>;
    Task<http::Response> handle(http::Request request, const Refuses& refuses);
    Task<http::Response> serve(http::Request request, const Refuses& refuses);
    http::Response executeTransaction(const std::string& body);
    http::Response list(const std::string& target);
    Task<http::Response> watch(std::string target, const Refuses& refuses);
    void expireLeases();
    void erase(const std::string& key);
    http::Response endLease(std::uint64_t id);

    EventLoop& loop_;
    Scope& scope_;
    Limits limits_;
    RateLimiter requests_, changes_;
    Refuses neverRefuse_ = [] { return false; };
    http::Server server_;
    struct Listener {
        Refuses refuses;
        std::unique_ptr<http::Server> server;
    };
    std::list<Listener> listeners_;  // a list, since request handlers refer to its elements
    Event changed_;
    std::uint64_t revision_ = 1, nextLeaseId_ = 1, lastErasedAt_ = 0, compactedBelow_ = 0;
    struct Lease {
        Duration life{};
        TimePoint end{};
    };
    std::map<std::uint64_t, Lease> leases_;
};

}  // namespace basaltchute::simulator
