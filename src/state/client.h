#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"
#include "runtime/budget.h"
#include "settings/settings.h"

namespace basaltchute::state {

using Revision = std::uint64_t;
using GrantId = std::uint64_t;

/// How a request ended. `refused`: surely not executed. `limited`: neither, for its rate alone.
/// `malformed`: neither, and it never will be as it is: too large, perhaps. `unknown`: may have
/// been executed, or may be yet.
enum class Verdict { ok, notFound, conflict, refused, limited, malformed, unknown };

struct Guard {
    std::string key;
    Revision revision = 0;  // 0: the key does not exist
};
struct Put {
    std::string key;
    std::string data;  // JSON text
    std::optional<GrantId> grant;
};
struct Transaction {
    std::vector<Guard> guards;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};
struct Committed {
    Verdict verdict = Verdict::unknown;
    Revision revision = 0;
    std::vector<std::string> failed;
};
struct Item {
    std::string key;
    std::string data;
    Revision revision = 0;
};
struct Found {
    Verdict verdict = Verdict::unknown;
    std::optional<Item> item;
    Revision at = 0;
};
struct Listing {
    Verdict verdict = Verdict::unknown;
    std::vector<Item> items;
    Revision at = 0;
};
struct Granted {
    Verdict verdict = Verdict::unknown;
    GrantId id = 0;
    TimePoint sentAt{};
};

/// What the service takes as a key.
[[nodiscard]] bool validKey(const std::string& key);

/// The state service by its published protocol. Malformed answers count as no answer.
class Client {
  public:
    Client(Loop& loop, const settings::Settings& settings);
    static constexpr Duration usualPatience = std::chrono::milliseconds(1500);
    Task<Committed> commit(Transaction txn, Scope& scope, Duration patience = usualPatience);
    Task<Found> get(std::string key, Scope& scope);
    Task<Listing> list(std::string prefix, Scope& scope);
    Task<Granted> grant(Duration life, Scope& scope);
    /// `patience`: for the service, and again for each peer that is asked instead.
    Task<Granted> touch(GrantId id, Duration patience, Scope& scope);
    Task<void> drop(GrantId id, Scope& scope);
    /// Ends when something under the prefix changes after `after`, or after `patience`.
    Task<Verdict> watch(std::string prefix, Revision after, Duration patience, Scope& scope);
    [[nodiscard]] Budget& writes() { return writes_; }
    /// How to reach the service when this node cannot: through a peer.
    using Relay = std::function<Task<http::Outcome>(http::Request, Duration, Scope&)>;
    void setRelay(Relay relay) { relay_ = std::move(relay); }
    /// For a peer that cannot reach the service: this node's own way only.
    Task<http::Outcome> direct(http::Request request, Duration patience, Scope& scope);

  private:
    Task<http::Outcome> send(http::Request request, Duration patience, Scope& scope);
    Task<void> probe(Scope& scope);
    /// Whether an answer to what was asked when the store was at `since` can be true: the store
    /// goes forward only. What cannot is one line in the log, and no answer.
    bool plausible(Revision at, Revision since, const std::string& about);
    /// Follows the rate that the service takes, which may fall at any time.
    void adapt(Verdict verdict);
    Loop& loop_;
    http::Client http_;
    Budget requests_, writes_;
    double mostWrites_, nextWrites_;  // a second: by the settings, now and some day
    Revision newest_ = 0;             // of the store, as far as it has said
    TimePoint limitedAt_{};
    Relay relay_;
    /// Requests go over a peer. What finds out whether the own way works again is a question that
    /// nothing depends on: tried with writes, each third one of a leader that was cut off from the
    /// service alone hung for a second and a half, and the users behind it.
    bool directBad_ = false, probing_ = false;
    TimePoint nextProbe_{};
};

}  // namespace basaltchute::state
