#include "settings/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "json/json.h"
#include "runtime/socket.h"

namespace basaltchute::settings {

namespace {

/// Reads the fields of one JSON object and remembers the first invalid one, with its path.
class Reader {
  public:
    /// `object`: nullptr if it is missing; then every field is. `error` is set once, and is shared
    /// by the readers of all objects of a document.
    Reader(const json::Value* object, std::string path, Error& error)
        : object_(object), path_(std::move(path)), error_(error) {}

    std::string text(const char* name) {
        const auto s = object_ != nullptr ? json::string(*object_, name) : std::nullopt;
        if (!s || s->empty()) fail(name, "a non-empty string");
        return s.value_or("");
    }
    std::string address(const char* name) {
        auto s = text(name);
        if (!parseAddress(s)) fail(name, "an IPv4 address with a port");
        return s;
    }
    /// A number that is greater than `above`.
    double number(const char* name, double above) {
        const auto n = object_ != nullptr ? json::number(*object_, name) : std::nullopt;
        if (!n || *n <= above)
            fail(name, above < 0 ? "a number of at least 0" : "a number above 0");
        return n.value_or(0);
    }
    double positive(const char* name) { return number(name, 0); }
    double amount(const char* name) { return number(name, -1e-9); }
    [[nodiscard]] bool has(const char* name) const {
        return object_ != nullptr && json::find(*object_, name) != nullptr;
    }
    double amountOr(const char* name, double fallback) {
        return has(name) ? amount(name) : fallback;
    }
    Reader object(const char* name) {
        const json::Value* o = object_ != nullptr ? json::find(*object_, name) : nullptr;
        if (o == nullptr || !o->IsObject()) {
            fail(name, "an object");
            o = nullptr;
        }
        return {o, path_ + name + '.', error_};
    }
    template <typename F>
    void each(const char* name, F f) {
        const json::Value* a = object_ != nullptr ? json::array(*object_, name) : nullptr;
        if (a == nullptr) return fail(name, "an array");
        unsigned i = 0;
        for (const auto& item : a->GetArray())
            f(item, Reader(&item, path_ + name + '[' + std::to_string(i++) + "].", error_));
    }
    void fail(const char* name, const char* expected) {
        if (error_.empty()) error_ = path_ + name + ": expected " + expected;
    }

  private:
    const json::Value* object_;
    std::string path_;
    Error& error_;
};

constexpr std::size_t minValueBytes = 1024, minTransactionOps = 2;

/// Reads a limit of the state service in multiples of `unit`.
std::size_t limit(Reader& reader, const char* name, double unit, std::size_t minimum,
                  const char* expected) {
    const double value = reader.positive(name) * unit;
    if (value > 0 && value < static_cast<double>(minimum)) reader.fail(name, expected);
    return static_cast<std::size_t>(value);
}

/// Reads the present limits of the state service and the announced ones (`next`), if there are any.
void readLimits(Reader& state, Settings& s) {
    const auto value = [](Reader& r) {
        return limit(r, "value_kb", 1024, minValueBytes, "at least 1");
    };
    const auto ops = [](Reader& r) {
        return limit(r, "txn_ops", 1, minTransactionOps, "at least 2");
    };
    s.valueBytes = s.valueBytesNow = value(state);
    s.txnOps = ops(state);
    if (!state.has("next")) return;
    Reader next = state.object("next");
    if (next.has("value_kb")) s.valueBytes = std::min(s.valueBytes, value(next));
    if (next.has("txn_ops")) s.txnOps = std::min(s.txnOps, ops(next));
    if (next.has("write_rps")) s.stateWriteRpsNext = next.positive("write_rps");
}

}  // namespace

std::variant<Settings, Error> parse(const std::string& text) {
    const auto doc = json::parse(text);
    if (!doc) return Error("not JSON");
    if (!doc->IsObject()) return Error("expected a JSON object");
    Error error;
    Settings s;
    Reader root(&*doc, "", error);
    s.node = root.text("node_name");
    s.zone = root.text("area");
    s.listenAddress = root.address("client_listen");
    s.peerListenAddress = root.address("mesh_addr");
    root.each("seeds", [&](const json::Value&, Reader r) {
        s.peers.push_back({r.text("node_name"), r.text("area"), r.address("address")});
    });
    Reader endpoints = root.object("endpoints");
    s.cloudAddress = endpoints.address("cloud");
    s.stateAddress = endpoints.address("state");
    Reader params = root.object("params");
    params.each("zones", [&](const json::Value& v, Reader r) {
        if (!v.IsString()) return r.fail("", "a string");
        s.zones.emplace_back(v.GetString());
    });
    params.each("teams", [&](const json::Value&, Reader r) {
        s.teams.push_back({r.text("name"), r.amountOr("cpus", 0), r.amountOr("cpus_max", 0),
                           r.amountOr("gpus", 0), r.amountOr("gpus_max", 0)});
    });
    params.each("objectives", [&](const json::Value&, Reader r) {
        s.objectives.push_back({r.text("kind"), r.text("class"),
                                fromSeconds(r.amountOr("within_s", 0)), r.amountOr("share", 0),
                                r.amountOr("times", 1)});
    });
    Reader workers = params.object("workers");
    s.heartbeatInterval = fromSeconds(workers.positive("report_s"));
    s.lease = fromSeconds(workers.positive("lease_s"));
    s.cancelWithin = fromSeconds(workers.positive("cancel_s"));
    Reader state = params.object("state");
    s.stateRps = state.positive("rps");
    s.stateWriteRps = state.positive("write_rps");
    readLimits(state, s);
    Reader cloud = params.object("cloud");
    s.cloudRps = cloud.positive("rps");
    s.cloudListLag = fromSeconds(cloud.amount("list_lag_s"));
    s.maxSockets = static_cast<std::size_t>(params.object("machine_limits").positive("fd_limit"));
    if (!error.empty()) return error;
    return s;
}

std::optional<std::string> readFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::variant<Settings, Error> load(const std::string& path) {
    const auto text = readFile(path);
    if (!text) return Error("cannot be read");
    return parse(*text);
}

}  // namespace basaltchute::settings
