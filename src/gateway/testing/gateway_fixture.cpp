#include "gateway/testing/gateway_fixture.h"

#include <stdexcept>

namespace basaltchute::gateway::testing {

using namespace std::chrono_literals;

GatewayFixture::GatewayFixture(std::uint64_t seed)
    : state(world), jobs(world.loop, world.scope), broker(world.loop, world.scope), random(seed) {
    settings.listen = settings.admin = "127.0.0.1:0";
    settings.controllers = {jobs.address()};
    settings.state = basaltchute::testing::someSettings();
    settings.state.stateAddress = state.address();
    settings.leaseTtl = 3s;
    settings.refsFrom = 900'000'000;
    settings.refsTo = 900'999'999;
    settings.anonymous = true;
    settings.limits.poll = 1s;
    Source source;
    source.name = "partner";
    source.address = broker.address();
    settings.sources.push_back(std::move(source));
}

// NOLINTNEXTLINE(bugprone-exception-escape): see the header.
GatewayFixture::~GatewayFixture() {
    while (!instances.empty()) kill(std::string(instances.begin()->first));
    world.end(world.scope);
}

void GatewayFixture::addQueue(const QueueName& name,
                              const std::function<void(QueueSettings&)>& how) {
    QueueSettings q;
    q.name = name;
    q.team = name.substr(0, name.find('/'));
    q.jobClass = name.substr(name.find('/') + 1);
    q.job = R"({"shape":"array","rank":"normal","splits":1})";
    if (how) how(q);
    settings.queues[name] = std::move(q);
    settings.sources[0].consume[name] = "work/" + name;
}

Gateway& GatewayFixture::start(const std::string& name) {
    Settings own = settings;
    own.instance = name;
    auto& slot = instances[name];
    slot = std::make_unique<Gateway>(world.loop, std::move(own),
                                     name + '#' + std::to_string(++runs), random());
    slot->start();
    return *slot;
}

void GatewayFixture::kill(const std::string& name) {
    Gateway& instance = *instances.at(name);
    bool gone = false;
    world.loop.spawn([](Gateway& g, bool& flag) -> Task<void> {
        co_await g.end();
        flag = true;
    }(instance, gone));
    if (!world.until([&] { return gone; })) throw std::logic_error(name + " does not end");
    instances.erase(name);
}

Gateway* GatewayFixture::holder(const QueueName& queue) {
    for (const auto& [name, g] : instances)
        if (const auto t = g->queueOwner(queue); t && t->ready() && g->members().holds(queue))
            return g.get();
    return nullptr;
}

amqp::Message GatewayFixture::message(const std::string& marker, const std::string& id,
                                      const std::string& replyTo) {
    amqp::Message m;
    if (!id.empty()) m.id = {amqp::Id::Kind::text, id};
    m.replyTo = replyTo;
    json::Writer out;
    out.open().field("build", marker).close();
    m.body = out.text();
    return m;
}

}  // namespace basaltchute::gateway::testing
