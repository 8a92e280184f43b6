#include "gateway/testing/broker.h"

#include <algorithm>

#include "json/json.h"

namespace basaltchute::gateway::testing {

using namespace std::chrono_literals;

class Broker::Session final : public amqp::Handler {
  public:
    explicit Session(Broker& broker) : broker_(broker) {}
    std::shared_ptr<amqp::Connection> connection;

    void attached(amqp::Connection& c, amqp::LinkId id, const amqp::Attach& a) override {
        c.confirm(id);
        if (a.peerSends) {
            targets_[id] = a.target;
            c.addCredit(id, 100);
        } else {
            sources_[id] = a.source;
            broker_.queues[a.source];
        }
    }
    void creditUpdated(amqp::Connection&, amqp::LinkId id) override {
        if (const auto it = sources_.find(id); it != sources_.end()) broker_.feed(it->second);
    }
    void messageReceived(amqp::Connection& c, amqp::LinkId id, amqp::DeliveryId delivery,
                         amqp::Message message, std::string) override {
        const std::string& to = targets_[id];
        const auto d = broker_.dispositionFor
                           ? broker_.dispositionFor(to)
                           : amqp::Disposition{amqp::Outcome::accepted, {}, false};
        if (d.outcome == amqp::Outcome::accepted) {
            if (broker_.queues.contains(to))
                broker_.publish(to, std::move(message));
            else
                broker_.received[to].push_back(std::move(message));
        }
        c.settle(delivery, d);
        c.addCredit(id, 1);
    }
    void dispositionReceived(amqp::Connection&, amqp::LinkId, const std::string& tag,
                             amqp::Disposition d) override {
        const auto it = unsettled_.find(tag);
        if (it == unsettled_.end()) return;
        auto [link, queue, message] = std::move(it->second);
        unsettled_.erase(it);
        auto& q = broker_.queues[queue];
        --q.unsettled;
        if (d.outcome == amqp::Outcome::accepted) {
            ++q.accepted;
        } else if (d.outcome == amqp::Outcome::rejected) {
            q.dead.emplace_back(std::move(message), d.condition);
        } else {
            if (d.outcome == amqp::Outcome::modified && d.deliveryFailed) ++message.deliveryCount;
            q.waiting.push_front(std::move(message));
            broker_.feed(queue);
        }
    }
    void detached(amqp::Connection&, amqp::LinkId id, const amqp::Condition&) override {
        sources_.erase(id);
        targets_.erase(id);
        giveBack([&](const Unsettled& u) { return u.link == id; });
    }
    void ended(amqp::Connection&, const amqp::Condition&) override {
        sources_.clear();
        targets_.clear();
        giveBack([](const Unsettled&) { return true; });
    }
    /// Sends waiting messages while there is link credit.
    void feed(const std::string& queue) {
        auto& q = broker_.queues[queue];
        for (const auto& [id, source] : sources_) {
            while (source == queue && !q.waiting.empty() && connection->credit(id) > 0) {
                amqp::Message m = std::move(q.waiting.front());
                q.waiting.pop_front();
                const std::string tag = std::to_string(++nextTag_);
                if (!connection->send(id, amqp::encode(m).value(), tag)) {
                    q.waiting.push_front(std::move(m));
                    return;
                }
                ++q.unsettled;
                unsettled_[tag] = {id, queue, std::move(m)};
            }
        }
    }

  private:
    struct Unsettled {
        amqp::LinkId link = 0;
        std::string queue;
        amqp::Message message;
    };
    template <typename Which>
    void giveBack(const Which& which) {
        std::set<std::string> touched;
        // Requeues the newest first, so that the oldest ends up at the front.
        for (auto it = unsettled_.end(); it != unsettled_.begin();) {
            --it;
            if (!which(it->second)) continue;
            auto& q = broker_.queues[it->second.queue];
            --q.unsettled;
            ++it->second.message.deliveryCount;
            q.waiting.push_front(std::move(it->second.message));
            touched.insert(it->second.queue);
            it = unsettled_.erase(it);
        }
        for (const auto& queue : touched) broker_.feed(queue);
    }

    Broker& broker_;
    std::map<amqp::LinkId, std::string> sources_, targets_;
    std::map<std::string, Unsettled> unsettled_;
    std::uint64_t nextTag_ = 0;
};

Broker::Broker(EventLoop& loop, Scope& scope)
    : loop_(loop), scope_(scope), listener_(loop, "127.0.0.1:0") {
    scope.spawn(acceptAll());
}
Broker::~Broker() = default;

Task<void> Broker::acceptAll() {
    while (!scope_.cancelled()) {
        auto socket = co_await listener_.accept(scope_);
        if (!socket) co_return;
        if (!refusing) scope_.spawn(serve(std::move(socket)));
    }
}

Task<void> Broker::serve(std::unique_ptr<Socket> socket) {
    auto session = std::make_shared<Session>(*this);
    amqp::Connection::Options options;
    options.container = "broker";
    options.server = true;
    options.limits.messageBytes = std::size_t{4} << 20U;
    options.identity.allowAnonymous = true;
    session->connection =
        std::make_shared<amqp::Connection>(loop_, std::move(socket), std::move(options), *session);
    const auto at = sessions_.insert(sessions_.end(), session);
    co_await amqp::Connection::run(session->connection, scope_);
    if (!scope_.cancelled()) sessions_.erase(at);
}

void Broker::publish(const std::string& queue, amqp::Message message) {
    queues[queue].waiting.push_back(std::move(message));
    feed(queue);
}
void Broker::feed(const std::string& queue) {
    for (const auto& s : std::list<std::shared_ptr<Session>>(sessions_)) s->feed(queue);
}
void Broker::cutAll() {
    for (const auto& s : sessions_) s->connection->abort();
}

JobService::JobService(EventLoop& loop, Scope& scope, const std::string& address)
    : loop_(loop),
      scope_(scope),
      server_(loop, address, http::ServerLimits{5000},
              [this](http::Request r) { return handle(std::move(r)); }) {
    server_.start(scope);
}

void JobService::alsoAt(const std::string& address) {
    others_.push_back(
        std::make_unique<http::Server>(loop_, address, http::ServerLimits{5000},
                                       [this](http::Request r) { return handle(std::move(r)); }));
    others_.back()->start(scope_);
}

Task<http::Response> JobService::handle(http::Request r) {
    const Fault f = fault ? fault(r) : Fault::none;
    if (f == Fault::refused) co_return http::Response{503, "{}", 1};
    http::Response response;
    if (f != Fault::lost) response = serve(r);
    if (f != Fault::none) co_await loop_.sleep(1min, scope_);
    co_return response;
}

http::Response JobService::serve(const http::Request& r) {
    const std::string path = "/v1/jobs";
    json::Writer out;
    if (r.target == "/jobs") {  // for test scripts: the number of jobs per message marker
        out.open();
        for (const auto& [marker, refs] : refsOf)
            out.field(marker, static_cast<std::uint64_t>(refs.size()));
        out.close();
        return {200, out.text()};
    }
    if (r.method == "POST" && r.target == path) {
        const auto doc = json::parse(r.body);
        const auto ref = doc ? json::string(*doc, "ref") : std::nullopt;
        const auto marker = doc ? json::string(*doc, "build") : std::nullopt;
        if (!ref || !marker) return {400, R"({"error":"ref or build is missing"})"};
        if (impossible.contains(*marker)) return {422, R"({"error":"fits no machine type"})"};
        const bool known = jobs.contains(*ref);
        auto& job = jobs[*ref];
        ++job.submissions;
        if (!known) {
            job.marker = *marker;
            job.body = r.body;
            job.ends = loop_.now() + runTime();
            refsOf[*marker].insert(*ref);
        }
        out.open().field("ref", *ref).field("status", "pending").close();
        return {known ? 200 : 201, out.text()};
    }
    const std::string ref = r.target.size() > path.size() ? r.target.substr(path.size() + 1) : "";
    const auto it = jobs.find(ref);
    if (it == jobs.end()) return {404, "{}"};
    out.open().field("ref", ref);
    out.field("status", it->second.ends <= loop_.now() ? "done" : "running").close();
    return {200, out.text()};
}

}  // namespace basaltchute::gateway::testing
