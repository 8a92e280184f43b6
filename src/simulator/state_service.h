#pragma once
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "http/server.h"
#include "runtime/rate_limiter.h"

namespace basaltchute::simulator {

/// The state service by its published protocol, with its limits and with what goes wrong.
class StateService {
  public:
    struct Limits {
        double rps = 1e9, writeRps = 1e9;  // a second; bursts of one second's worth
        std::size_t valueBytes = SIZE_MAX, txnOps = SIZE_MAX;
        Duration latency{};
    };
    /// On any loop; routines belong to `scope`.
    StateService(EventLoop& loop, Scope& scope, const std::string& address = "127.0.0.1:0");
    StateService(EventLoop& loop, Scope& scope, const std::string& address, Limits limits);
    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Another address of it, for one node alone, which it refuses for as long as `refuses`: that
    /// node cannot tell this from an outage.
    void addListener(const std::string& address, std::function<bool()> refuses);
    struct Entry {
        std::string data;
        std::uint64_t stamp = 0, grant = 0;
    };
    std::map<std::string, Entry> keys;
    bool down = false;
    int writes = 0, watches = 0;
    /// What goes wrong with a request: refused, executed without an answer, executed late, or
    /// answered late.
    struct Fault {
        enum class Kind {
            none,
            refused,
            responseLost,
            executedLate,
            respondedLate
        } kind = Kind::none;
        Duration delay{};
    };
    std::function<Fault(const http::Request&)> fault;
    /// A key was put.
    std::function<void(const std::string& key, const std::string& data)> onPut;
    /// Its limits are others from now on, where they are not 0; what is stored stays.
    void lowerLimits(const Limits& limits);
    /// Other changes, after which the service no longer knows what came before them.
    void advanceRevisionAndCompact(std::uint64_t times) {
        epoch_ += times;
        oldest_ = epoch_ - 1;
    }
    /// Ends the grant that holds a key, as if its time had run out.
    void expireLeaseOf(const std::string& key);

  private:
    using Refuses = std::function<bool()>;
    Task<http::Response> handle(http::Request request, const Refuses& refuses);
    Task<http::Response> serve(http::Request request, const Refuses& refuses);
    http::Response multi(const std::string& body);
    http::Response list(const std::string& target);
    Task<http::Response> watch(std::string target, const Refuses& refuses);
    void expire();
    void erase(const std::string& key);
    http::Response forgetGrant(std::uint64_t id);

    EventLoop& loop_;
    Scope& scope_;
    Limits limits_;
    RateLimiter requests_, changes_;
    Refuses nobody_ = [] { return false; };
    http::Server server_;
    struct Door {
        Refuses refuses;
        std::unique_ptr<http::Server> server;
    };
    std::list<Door> doors_;  // references stay valid
    Event changed_;
    std::uint64_t epoch_ = 1, nextGrant_ = 1, erasedAt_ = 0, oldest_ = 0;
    struct Grant {
        Duration life{};
        TimePoint end{};
    };
    std::map<std::uint64_t, Grant> grants_;
};

}  // namespace basaltchute::simulator
