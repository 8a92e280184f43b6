#include "gateway/settings/settings.h"

#include "gateway_schema.h"
#include "json/schema.h"
#include "runtime/socket.h"

namespace basaltchute::gateway {

namespace {

using json::Value;

/// Fills Settings from the JSON document; keeps the first error.
class SettingsReader {
  public:
    SettingsReader(Settings& out, ReadFile readFile) : out_(out), readFile_(readFile) {}
    std::string error;

    void all(const json::Document& d) {
        out_.instance = *json::string(d, "instance");
        address(d, "listen", out_.listen);
        out_.advertise = out_.listen;
        address(d, "advertise", out_.advertise);
        address(d, "admin", out_.admin);
        unsigned i = 0;
        for (const auto& c : d["controllers"].GetArray())
            checked("#/controllers/" + std::to_string(i++), c.GetString(),
                    out_.controllers.emplace_back());
        state(d["state"]);
        out_.leaseTtl = seconds(d, "grantSeconds", out_.leaseTtl);
        const auto& refs = d["refs"];
        out_.refWord = json::string(refs, "word").value_or(out_.refWord);
        out_.refsFrom = *json::count(refs, "from");
        out_.refsTo = *json::count(refs, "to");
        if (out_.refsTo <= out_.refsFrom) fail("#/refs/to", "a number greater than \"from\"");
        people(d);
        queues(d);
        sources(d);
        limits(d);
    }

  private:
    void fail(const std::string& at, const std::string& expected) {
        if (error.empty()) error = at + ": expected " + expected;
    }
    static Duration seconds(const Value& v, const char* name, Duration otherwise) {
        const auto s = json::number(v, name);
        return s ? fromSeconds(*s) : otherwise;
    }
    void checked(const std::string& at, const std::string& text, std::string& into) {
        if (!parseAddress(text)) return fail(at, "an IPv4 address with a port");
        into = text;
    }
    void address(const Value& v, const char* name, std::string& into) {
        if (const auto text = json::string(v, name)) checked(std::string("#/") + name, *text, into);
    }
    std::string secret(const Value& v, const std::string& at) {
        const auto path = json::string(v, "passwordFile");
        if (!path) return "";
        auto text = readFile_(*path);
        while (text && !text->empty() && (text->back() == '\n' || text->back() == '\r'))
            text->pop_back();
        if (!text || text->empty()) fail(at + "/passwordFile", "a file with a password");
        return text.value_or("");
    }
    static amqp::TlsFiles tls(const Value& v) {
        amqp::TlsFiles t;
        t.certificate = json::string(v, "certificate").value_or("");
        t.key = json::string(v, "key").value_or("");
        t.trust = json::string(v, "trust").value_or("");
        t.host = json::string(v, "host").value_or("");
        t.required = json::string(v, "clientCertificates") == "required";
        return t;
    }
    void state(const Value& s) {
        checked("#/state/address", *json::string(s, "address"), out_.state.stateAddress);
        out_.statePrefix = json::string(s, "prefix").value_or(out_.statePrefix);
        const double share = json::number(s, "share").value_or(0.1);
        out_.state.stateRps = *json::number(s, "requestsPerSecond") * share;
        out_.state.stateWriteRps = *json::number(s, "writesPerSecond") * share;
        // A burst must have room for one whole write besides the part reserved for urgent writes;
        // otherwise the least urgent writes never run. Keeping the lease alive takes requests.
        if (out_.state.stateWriteRps < 2) fail("#/state/share", "at least 2 writes a second");
        if (out_.state.stateRps < 4) fail("#/state/share", "at least 4 requests a second");
        out_.state.valueBytes =
            static_cast<std::size_t>(json::number(s, "valueKb").value_or(16) * 1024);
        out_.state.txnOps = json::count(s, "operations").value_or(20);
    }
    void people(const json::Document& d) {
        unsigned i = 0;
        if (const auto* list = json::array(d, "networks"))
            for (const auto& n : list->GetArray()) {
                const std::string at = "#/networks/" + std::to_string(i++);
                if (!out_.networks.add(n.GetString())) fail(at, "a network such as 10.0.0.0/8");
            }
        out_.anonymous = json::boolean(d, "anonymous").value_or(false);
        out_.passwordsInClear = json::boolean(d, "passwordsInClear").value_or(false);
        i = 0;
        if (const auto* users = json::array(d, "users"))
            for (const auto& u : users->GetArray()) {
                User user;
                user.password = secret(u, "#/users/" + std::to_string(i++));
                for (const auto& t : u["teams"].GetArray()) user.teams.insert(t.GetString());
                out_.users[*json::string(u, "name")] = std::move(user);
            }
        if (const auto* t = json::find(d, "tls")) out_.tls = tls(*t);
        if (!out_.listen.empty() && out_.users.empty() && !out_.anonymous)
            fail("#/users", "somebody who may connect, or \"anonymous\"");
    }
    void queues(const json::Document& d) {
        unsigned i = 0;
        for (const auto& q : d["queues"].GetArray()) {
            const std::string at = "#/queues/" + std::to_string(i++);
            QueueSettings s;
            s.team = *json::string(q, "team");
            s.jobClass = *json::string(q, "class");
            s.name = s.team + '/' + s.jobClass;
            const auto* job = json::find(q, "job");
            s.job = job == nullptr ? "{}" : json::text(*job);
            if (job != nullptr)
                for (const char* own : {"ref", "crew", "category"})
                    if (job->HasMember(own)) fail(at + "/job/" + own, "no such field");
            s.keyProperty = json::string(q, "key").value_or("");
            const auto without = json::string(q, "withoutId").value_or("reject");
            s.withoutId = without == "atMostOnce"    ? WithoutId::atMostOnce
                          : without == "atLeastOnce" ? WithoutId::atLeastOnce
                                                     : WithoutId::reject;
            s.attempts =
                static_cast<std::uint32_t>(json::count(q, "attempts").value_or(s.attempts));
            s.unfinished = json::count(q, "unfinished").value_or(s.unfinished);
            s.retain = std::chrono::duration_cast<std::chrono::milliseconds>(
                seconds(q, "retainSeconds", s.retain));
            const QueueName name = s.name;
            if (!out_.queues.emplace(name, std::move(s)).second)
                fail(at, "a queue that is not named twice");
        }
    }
    void sources(const json::Document& d) {
        const auto* list = json::array(d, "sources");
        if (list == nullptr) return;
        unsigned i = 0;
        std::set<std::string> names;
        for (const auto& v : list->GetArray()) {
            const std::string at = "#/sources/" + std::to_string(i++);
            Source s;
            s.name = *json::string(v, "name");
            if (!names.insert(s.name).second) fail(at + "/name", "a name that is not used twice");
            checked(at + "/address", *json::string(v, "address"), s.address);
            s.user = json::string(v, "user").value_or("");
            s.password = secret(v, at);
            s.passwordsInClear = json::boolean(v, "passwordsInClear").value_or(false);
            if (const auto* t = json::find(v, "tls")) s.tls = tls(*t);
            unsigned j = 0;
            for (const auto& c : v["consume"].GetArray()) {
                const auto queue = *json::string(c, "queue");
                if (!out_.queues.contains(queue))
                    fail(at + "/consume/" + std::to_string(j) + "/queue",
                         "a queue named in queues");
                if (!s.consume.emplace(queue, *json::string(c, "from")).second)
                    fail(at + "/consume/" + std::to_string(j) + "/queue", "a queue named once");
                ++j;
            }
            out_.sources.push_back(std::move(s));
        }
    }
    void limits(const json::Document& d) {
        const auto* v = json::find(d, "limits");
        if (v == nullptr) return;
        auto& l = out_.limits;
        l.connections = json::count(*v, "connections").value_or(l.connections);
        l.links = json::count(*v, "links").value_or(l.links);
        l.credit = static_cast<int>(
            json::count(*v, "credit").value_or(static_cast<std::uint64_t>(l.credit)));
        if (const auto kb = json::number(*v, "messageKb"))
            l.messageBytes = static_cast<std::size_t>(*kb * 1024);
        if (const auto mb = json::number(*v, "memoryMb"))
            l.memoryBytes = static_cast<std::size_t>(*mb * 1024 * 1024);
        l.maxMessagesInProgress = json::count(*v, "underWay").value_or(l.maxMessagesInProgress);
        l.pollsPerSecond = json::number(*v, "pollsPerSecond").value_or(l.pollsPerSecond);
        l.poll = seconds(*v, "pollSeconds", l.poll);
        l.timeout = seconds(*v, "patienceSeconds", l.timeout);
        l.age = seconds(*v, "ageSeconds", l.age);
    }

    Settings& out_;
    ReadFile readFile_;
};

}  // namespace

std::variant<Settings, settings::Error> parse(const std::string& text, ReadFile readFile) {
    const auto doc = json::parse(text);
    if (!doc) return settings::Error("not JSON");
    if (auto error = json::schemaError(*doc, gatewaySchema)) return std::move(*error);
    Settings out;
    SettingsReader reader(out, readFile);
    reader.all(*doc);
    if (!reader.error.empty()) return settings::Error(reader.error);
    return out;
}

std::variant<Settings, settings::Error> load(const std::string& path) {
    const auto text = settings::readFile(path);
    if (!text) return settings::Error("cannot be read");
    return parse(*text);
}

}  // namespace basaltchute::gateway
