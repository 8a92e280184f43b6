#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gateway/amqp/tls.h"
#include "gateway/settings/networks.h"
#include "settings/settings.h"

namespace basaltchute::gateway {

/// `<team>/<class>`.
using QueueName = std::string;

/// What happens to a message without an id that duplicates could be recognized by.
enum class WithoutId { reject, atMostOnce, atLeastOnce };

/// Settings of one queue.
struct QueueSettings {
    QueueName name;
    std::string team, jobClass;
    std::string job;          // JSON object: defaults for job fields that a message leaves out
    std::string keyProperty;  // property that identifies a message; empty: its message-id
    WithoutId withoutId = WithoutId::reject;
    std::uint32_t attempts = 3;     // runs of a redelivered message without id
    std::size_t unfinished = 1000;  // jobs of this queue that may be unfinished at a time
    /// How long the key of a message is remembered after its job has ended.
    std::chrono::milliseconds retain = std::chrono::hours(24);
};

/// A user who may connect, and the teams whose queues the user may use.
struct User {
    std::string password;  // empty: authenticated by certificate only
    std::set<std::string> teams;
};

/// An external broker to consume from.
struct Source {
    std::string name, address, user, password;
    bool passwordsInClear = false;
    std::optional<amqp::TlsFiles> tls;
    std::map<QueueName, std::string> consume;  // queue -> the broker's address for it
};

/// Limits on connections, memory and requests of one instance.
struct Limits {
    std::size_t connections = 500, links = 256;
    int credit = 64;
    std::size_t messageBytes = std::size_t{60} * 1024, memoryBytes = std::size_t{64} << 20U;
    std::size_t maxMessagesInProgress = 256;
    double pollsPerSecond = 50;
    /// `poll`: interval between status requests for a job. `timeout`: how long a submission is
    /// tried before its message is released. `age`: age of the oldest message without a disposition
    /// above which link credit shrinks.
    Duration poll = std::chrono::seconds(3), timeout = std::chrono::seconds(20),
             age = std::chrono::seconds(2);
};

/// All settings of one gateway instance. `advertise` is the address that clients are redirected to.
struct Settings {
    std::string instance, listen, advertise, admin;
    std::vector<std::string> controllers;
    std::string statePrefix = "gw/";
    /// For the state client: the address and this instance's share of the request limits.
    settings::Settings state;
    Duration leaseTtl = std::chrono::seconds(8);
    /// Job refs are `<refWord>-<number>`, numbers from `refsFrom` up to `refsTo`.
    std::string refWord = "run";
    std::uint64_t refsFrom = 0, refsTo = 0;
    Networks networks;
    bool anonymous = false, passwordsInClear = false;
    std::map<std::string, User> users;
    std::optional<amqp::TlsFiles> tls;
    std::map<QueueName, QueueSettings> queues;
    std::vector<Source> sources;
    Limits limits;
};

/// Parses settings and checks them against deploy/gateway.schema.json. `readFile` reads the files
/// that the settings name.
using ReadFile = std::optional<std::string> (*)(const std::string& path);
std::variant<Settings, settings::Error> parse(const std::string& text,
                                              ReadFile readFile = settings::readFile);
/// Reads and parses the settings file.
std::variant<Settings, settings::Error> load(const std::string& path);

}  // namespace basaltchute::gateway
