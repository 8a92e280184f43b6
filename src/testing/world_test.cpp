#include "testing/world.h"

#include <unistd.h>

#include <algorithm>

namespace basaltchute::testing {

using namespace std::chrono_literals;

bool World::until(const std::function<bool()>& done, Duration most) {
    const TimePoint end = clock.now() + most;
    int quiet = 0;
    while (!done()) {
        if (loop.turn(Duration::zero())) {
            quiet = 0;
            continue;
        }
        // Loopback delivers within the sending call; a second empty round means all is quiet.
        if (++quiet < 2) continue;
        if (clock.now() >= end) return false;
        clock.advance(5ms);
    }
    return true;
}
void World::run(Duration span) {
    const TimePoint end = clock.now() + span;
    until([&] { return clock.now() >= end; }, span + 1s);
}

void World::end(Scope& ending) {
    bool done = false;
    loop.spawn([](Scope& s, bool& flag) -> Task<void> {
        co_await s.end();
        flag = true;
    }(ending, done));
    until([&] { return done; });
}

std::string freeAddress() {
    const FakeClock clock;
    Loop loop(clock);
    const auto id = static_cast<unsigned>(::getpid());
    const auto part = [&](unsigned shift) { return std::to_string(id >> shift & 0xffU); };
    const std::string net = "127." + std::to_string(1 + (id >> 16 & 0x7fU)) + '.';
    return Listener(loop, net + part(8) + '.' + part(0) + ":0").address();
}

void commitAll(scheduler::Cluster& cluster, std::map<std::string, std::string>& records) {
    for (auto e = cluster.take(); !e.dirty.empty(); e = cluster.take())
        for (const auto& d : e.dirty) {
            const auto encoded = cluster.encode(d.first);
            records[d.first] = encoded.data;
            cluster.committed(d.first, encoded.version);
        }
}

namespace {
std::string param(const std::string& target, const std::string& name) {
    const auto at = target.find(name + '=');
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}
}  // namespace

StateService::StateService(Loop& loop, Scope& scope, const std::string& address)
    : loop_(loop),
      scope_(scope),
      server_(loop, address, {}, [this](http::Request r) { return handle(std::move(r)); }),
      changed_(loop) {
    server_.start(scope);
}

void StateService::erase(const std::string& key) {
    keys.erase(key);
    erasedAt_ = ++epoch_;
    changed_.notify();
}
http::Response StateService::forgetGrant(std::uint64_t id) {
    grants_.erase(id);
    std::vector<std::string> attached;
    for (const auto& [k, e] : keys)
        if (e.grant == id) attached.push_back(k);
    for (const auto& k : attached) erase(k);
    return {200, "{}"};
}
void StateService::endGrantOf(const std::string& key) {
    forgetGrant(keys.at(key).grant);
}
void StateService::expire() {
    std::vector<std::uint64_t> ended;
    for (auto& [id, g] : grants_) {
        if (down) g.end = loop_.now() + g.life;  // full time again after an outage
        if (g.end < loop_.now()) ended.push_back(id);
    }
    for (const auto id : ended) forgetGrant(id);
}

http::Response StateService::multi(const std::string& body) {
    const auto doc = json::parse(body);
    json::Out out;
    std::vector<std::string> failed;
    for (const auto& g : (*doc)["guards"].GetArray()) {
        const std::string key = g["key"].GetString();
        const auto it = keys.find(key);
        if ((it == keys.end() ? 0 : it->second.stamp) != g["stamp"].GetUint64())
            failed.push_back(key);
    }
    if (!failed.empty()) {
        out.open().key("failed").openArray();
        for (const auto& k : failed) out.value(k);
        out.closeArray().field("epoch", epoch_).close();
        return {409, out.text()};
    }
    for (const auto& p : (*doc)["then"].GetArray())
        if (p.HasMember("hold") && !grants_.contains(p["hold"].GetUint64()))
            return {400, R"({"error":"no such lease"})"};
    ++epoch_;
    for (const auto& p : (*doc)["then"].GetArray()) {
        if (p.HasMember("delete")) {
            if (keys.erase(p["delete"].GetString()) > 0) erasedAt_ = epoch_;
            ++writes;
            continue;
        }
        keys[p["put"].GetString()] = {json::text(p["data"]), epoch_,
                                      p.HasMember("hold") ? p["hold"].GetUint64() : 0};
        ++writes;
    }
    changed_.notify();
    out.open().field("epoch", epoch_).close();
    return {200, out.text()};
}

Task<http::Response> StateService::watch(std::string target) {
    const auto after = std::stoull(param(target, "after"));
    ++watches;
    if (after < oldest_) co_return http::Response{410, "{}"};
    const std::string prefix = param(target, "under");
    const TimePoint until =
        loop_.now() + std::chrono::milliseconds(std::stol(param(target, "waitMs")));
    const auto changed = [&] {
        return erasedAt_ > after || std::any_of(keys.begin(), keys.end(), [&](const auto& k) {
                   return k.first.starts_with(prefix) && k.second.stamp > after;
               });
    };
    while (loop_.now() < until && (down || !changed()) && !scope_.cancelled()) {
        co_await loop_.wait(changed_, std::min(until, loop_.now() + 50ms), scope_);
        expire();
    }
    co_return http::Response{200, R"({"epoch":1,"log":[]})"};
}

Task<http::Response> StateService::handle(http::Request r) {
    const Fault f = fault ? fault(r) : Fault{};
    if (f.kind == Fault::Kind::refused) co_return http::Response{503, R"({"error":"trouble"})"};
    if (f.kind == Fault::Kind::late) co_await loop_.sleep(f.late, scope_);
    auto response = co_await serve(std::move(r));
    if (f.kind == Fault::Kind::slow) {
        co_await loop_.sleep(f.late, scope_);
        co_return response;
    }
    // Whoever asked has given up long before.
    if (f.kind != Fault::Kind::none) co_await loop_.sleep(std::chrono::minutes(1), scope_);
    co_return response;
}

Task<http::Response> StateService::serve(http::Request r) {
    expire();
    if (r.target.starts_with("/watch")) {
        auto response = co_await watch(std::move(r.target));
        co_return response;
    }
    if (down) co_return http::Response{503, R"({"error":"trouble"})"};
    json::Out out;
    if (r.target == "/multi") co_return multi(r.body);
    if (r.target == "/grants") {
        const auto doc = json::parse(r.body);
        const Duration life = std::chrono::milliseconds((*doc)["lifeMs"].GetInt64());
        grants_[nextGrant_] = {life, loop_.now() + life};
        out.open().field("hold", nextGrant_++).close();
        co_return http::Response{200, out.text()};
    }
    if (r.target.starts_with("/grants/")) {
        const auto id = std::stoull(r.target.substr(8));
        if (!grants_.contains(id)) co_return http::Response{404, "{}"};
        if (r.method == "DELETE") co_return forgetGrant(id);
        grants_[id].end = loop_.now() + grants_[id].life;
        co_return http::Response{200, "{}"};
    }
    if (r.target.starts_with("/keys?")) {
        const std::string prefix = param(r.target, "under");
        out.open().key("pairs").openArray();
        for (const auto& [k, e] : keys)
            if (k.starts_with(prefix))
                out.open().field("key", k).key("data").raw(e.data).field("stamp", e.stamp).close();
        out.closeArray().field("truncated", false).field("epoch", epoch_).close();
        co_return http::Response{200, out.text()};
    }
    const std::string key = r.target.substr(6);
    const auto it = keys.find(key);
    if (it == keys.end()) {
        out.open().field("epoch", epoch_).close();
        co_return http::Response{404, out.text()};
    }
    out.open()
        .field("key", key)
        .key("data")
        .raw(it->second.data)
        .field("stamp", it->second.stamp)
        .close();
    co_return http::Response{200, out.text()};
}

CloudService::CloudService(World& world)
    : world_(world),
      server_(world.loop, "127.0.0.1:0", {}, [this](http::Request r) -> Task<http::Response> {
          if (r.target == "/catalog")
              co_return http::Response{
                  200,
                  R"({"rigs":[{"sku":"box","cores":8,"gpus":0,"ramGb":32,"localGb":50,"fetchGbPerS":1,
                      "rate":1,"marketPrice":0.3,"readyS":20,"halls":["a","b"]}]})"};
          if (r.target == "/hosts/delete") {
              const auto doc = json::parse(r.body);
              for (const auto& h : (*doc)["hosts"].GetArray()) deleted.insert(h.GetString());
              co_return http::Response{200, "{}"};
          }
          if (r.method == "POST") co_return http::Response{503, R"({"error":"no capacity"})"};
          co_return http::Response{200, R"({"hosts":[],"truncated":false})"};
      }) {
    server_.start(world.scope);
}

settings::Settings someSettings() {
    settings::Settings s;
    s.node = "rig-0";
    s.zone = "a";
    s.listen = s.meshListen = "127.0.0.1:0";
    s.cloud = s.state = "127.0.0.1:1";
    s.zones = {"a", "b"};
    s.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 16, 0, 0}};
    s.reportEvery = 2500ms;
    s.lease = 16s;
    s.cancelWithin = 41s;
    s.stateRps = 200;
    s.stateWriteRps = 100;
    s.valueBytes = 16 * 1024;
    s.txnOps = 20;
    s.cloudRps = 10;
    s.listLag = 8s;
    s.sockets = 500;
    return s;
}
fleet::Catalogue someCatalogue() {
    fleet::MachineType t;
    t.name = "box";
    t.capacity = {8, 0, 32};
    t.fetchGbPerS = 1;
    t.price = 1;
    t.spotPrice = 0.3;
    t.boot = 20s;
    t.zones = {"a", "b"};
    return {{"box", t}};
}
std::string submission(const std::string& id, const std::string& extra) {
    return R"({"ref":")" + id +
           R"(","category":"c","crew":"red","shape":"array","rank":"normal","splits":2,"cores":4.0,)"
           R"("gpus":0.0,"ramGb":4.0,"build":"img","sizeGb":1.0,"rigs":null,"hall":null,)"
           R"("together":false,"spread":false,"loaners":true,"parS":10.0,"savepointS":0.0,)"
           R"("flushS":0.0,"cutoffS":null)" +
           extra + "}";
}
JobSpec spec(const std::string& id, std::uint32_t tasks) {
    auto s = std::get<JobSpec>(jobs::parseSubmission(submission(id)));
    s.tasks = tasks;
    return s;
}

Worker::Worker(const std::string& name, const std::string& zone, bool spot) {
    report.machine = name;
    report.address = "127.0.0.1:1";
    report.type = "box";
    report.zone = zone;
    report.spot = spot;
    report.session = 1;
}
void Worker::execute(const std::vector<workers::Order>& orders) {
    for (const auto& o : orders) {
        const auto it = std::find_if(report.tasks.begin(), report.tasks.end(), [&](const auto& t) {
            return t.job == o.job && t.task == o.task && t.attempt == o.attempt;
        });
        const bool known = it != report.tasks.end();
        if (o.verb == workers::Verb::launch && !known)
            report.tasks.push_back({o.job, o.task, o.attempt, workers::TaskStatus::running,
                                    workers::ExitCause::other, false});
        if (o.verb == workers::Verb::stop && known && it->status != workers::TaskStatus::exited) {
            it->status = workers::TaskStatus::exited;
            it->cause = workers::ExitCause::stopped;
        }
        if (o.verb == workers::Verb::forget && known) report.tasks.erase(it);
    }
}

}  // namespace basaltchute::testing
