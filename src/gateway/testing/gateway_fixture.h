#pragma once
#include <memory>
#include <random>
#include <string>

#include "gateway/app/gateway.h"
#include "gateway/testing/broker.h"
#include "testing/world.h"

namespace basaltchute::gateway::testing {

/// Fakes of the services around the gateway on a fake clock, and gateway instances that tests start
/// and kill.
struct GatewayFixture {
    explicit GatewayFixture(std::uint64_t seed = 1);
    // An instance that does not end has to end the test run.
    // NOLINTNEXTLINE(bugprone-exception-escape)
    ~GatewayFixture();
    GatewayFixture(const GatewayFixture&) = delete;
    GatewayFixture& operator=(const GatewayFixture&) = delete;
    basaltchute::testing::World world;
    basaltchute::testing::StateService state;
    JobService jobs;
    Broker broker;
    Settings settings;  // of every instance, but for its name
    std::map<std::string, std::unique_ptr<Gateway>> instances;
    std::mt19937_64 random;

    Gateway& start(const std::string& name);
    /// Stops the instance at once, like kill -9, and destroys it.
    void kill(const std::string& name);
    /// The instance that serves the queue now, if one does.
    [[nodiscard]] Gateway* holder(const QueueName& queue);
    void addQueue(const QueueName& name, const std::function<void(QueueSettings&)>& how = {});
    /// A message whose job can be told from others by `marker`.
    static amqp::Message message(const std::string& marker, const std::string& id,
                                 const std::string& replyTo = "");
    bool until(const std::function<bool()>& done, Duration most = std::chrono::seconds(30)) {
        return world.until(done, most);
    }
    int runs = 0;
};

}  // namespace basaltchute::gateway::testing
