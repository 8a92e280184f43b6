#include "http/server.h"

#include <gtest/gtest.h>

#include "http/client.h"
#include "simulator/network.h"

// A server with few sockets and many agents, on a simulated network: the tests use no descriptors
// of the operating system, and the server's process gets no more of the simulated ones than its
// limit.

namespace basaltchute::http {
namespace {

using namespace std::chrono_literals;
using simulator::Machine;
using simulator::Network;
using simulator::Timeline;

const std::string serverAddress = "10.9.0.1:80";
const std::string heartbeatPath = "/heartbeat";
constexpr std::size_t processSockets = 1000;
constexpr std::size_t servedConnections = 584;
constexpr Duration heartbeatInterval = 6s, lease = 31s, agentTimeout = 4s, userTimeout = 5s;

/// What agents and users observed.
struct Outcomes {
    std::size_t heartbeats = 0, missedHeartbeats = 0, lostLeases = 0;
    std::size_t answered = 0, failed = 0, late = 0;
};

/// A server, `agents` that send heartbeats to it alone, users, and a load balancer's probe.
class CrowdedServer {
  public:
    CrowdedServer(std::size_t agents, std::size_t users) {
        server_ = std::make_unique<Server>(serverHost_.loop(), serverAddress,
                                           ServerLimits{servedConnections}, handler(), classify);
        server_->start(serverScope_);
        for (std::size_t i = 0; i < clientMachines; ++i) {
            clientHosts_.push_back(std::make_unique<Machine>(
                network_, "clients", "10.9.1." + std::to_string(i + 1), "a", "x", 0, 0ms));
            clientScopes_.push_back(std::make_unique<Scope>(clientHosts_.back()->startProcess()));
        }
        for (std::size_t i = 0; i < agents; ++i) spawn(i, agent(i % clientMachines));
        for (std::size_t i = 0; i < users; ++i) spawn(i, user(i % clientMachines, i % 2 == 0));
        spawn(0, user(0, false));
    }
    ~CrowdedServer() {
        for (std::size_t i = 0; i < clientMachines; ++i)
            clientHosts_[i]->drainScope(*clientScopes_[i]);
        serverHost_.drainScope(serverScope_);
        server_.reset();
    }
    CrowdedServer(const CrowdedServer&) = delete;
    CrowdedServer& operator=(const CrowdedServer&) = delete;

    /// Runs the simulation for a time.
    void pass(Duration span) {
        const TimePoint until = time_.now() + span;
        while (time_.now() < until) {
            network_.run(std::min(until, time_.now() + 10ms));
            mostConnections = std::max(mostConnections, server_->connections());
        }
    }
    /// Stops the server's process for a time, as if it got no CPU.
    void freeze(Duration span) { serverHost_.freeze(span); }

    Outcomes outcomes;
    Duration heartbeatTakes = 2ms;  // time that the handler needs to answer a heartbeat
    std::size_t mostConnections = 0;

  private:
    static constexpr std::size_t clientMachines = 20;

    static ConnectionClass classify(const Request& request) {
        return request.target == heartbeatPath ? ConnectionClass::agent : ConnectionClass::client;
    }

    Server::Handler handler() {
        return [this](Request request) -> Task<Response> {
            const bool heartbeat = request.target == heartbeatPath;
            co_await serverHost_.loop().sleep(heartbeat ? heartbeatTakes : Duration(1ms),
                                              serverScope_);
            co_return Response{200, "{}"};
        };
    }
    void spawn(std::size_t i, Task<void> task) {
        clientScopes_[i % clientMachines]->spawn(std::move(task));
    }
    Task<void> agent(std::size_t at) {
        EventLoop& loop = clientHosts_[at]->loop();
        Scope& scope = *clientScopes_[at];
        co_await loop.sleep(fromSeconds(time_.between(0, toSeconds(heartbeatInterval))), scope);
        Client client(loop, serverAddress, 1);
        TimePoint leaseEnd = loop.now() + lease;
        while (!scope.cancelled()) {
            const TimePoint sentAt = loop.now();
            Request request{"POST", heartbeatPath, "{}"};
            const auto outcome = co_await client.request(std::move(request), agentTimeout, scope);
            if (scope.cancelled()) co_return;
            const bool renewed = outcome.answered && outcome.response.status == 200;
            ++(renewed ? outcomes.heartbeats : outcomes.missedHeartbeats);
            if (loop.now() > leaseEnd) {
                ++outcomes.lostLeases;
                leaseEnd = loop.now() + lease;
            }
            if (renewed) leaseEnd = std::max(leaseEnd, sentAt + lease);
            const Duration next =
                std::chrono::duration_cast<Duration>(heartbeatInterval * time_.between(0.75, 1.25));
            co_await loop.sleep(renewed ? next - (loop.now() - sentAt) : Duration(1s), scope);
        }
    }
    /// Sends a request each second, over a kept connection or a new one each time.
    Task<void> user(std::size_t at, bool keepsConnection) {
        EventLoop& loop = clientHosts_[at]->loop();
        Scope& scope = *clientScopes_[at];
        co_await loop.sleep(fromSeconds(time_.between(0, 1)), scope);
        Client client(loop, serverAddress, keepsConnection ? 1 : 0);
        while (!scope.cancelled()) {
            const TimePoint sentAt = loop.now();
            Request request{"GET", "/up", ""};
            const auto outcome = co_await client.request(std::move(request), userTimeout, scope);
            if (scope.cancelled()) co_return;
            const bool answered = outcome.answered && outcome.response.status == 200;
            ++(answered ? outcomes.answered : outcomes.failed);
            if (loop.now() - sentAt > 1s) ++outcomes.late;
            co_await loop.sleep(1s, scope);
        }
    }

    Timeline time_{7};
    Network network_{time_};
    Machine serverHost_{network_, "server", "10.9.0.1", "a", "x", 0, 0ms};
    Scope serverScope_{serverHost_.startProcess(processSockets)};
    std::unique_ptr<Server> server_;
    std::vector<std::unique_ptr<Machine>> clientHosts_;
    std::vector<std::unique_ptr<Scope>> clientScopes_;
};

class ServerWithAgents : public ::testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Agents, ServerWithAgents, ::testing::Values(4000, 10'000));

TEST_P(ServerWithAgents, ServesUsersAndLosesNoLeaseOnAThousandSockets) {
    // One controller received the heartbeats of 4,113 machines. Their kept connections took all of
    // its 3,897 sockets, and neither users nor the load balancer's probes got one.
    CrowdedServer crowd(GetParam(), 60);
    crowd.pass(20s);
    crowd.outcomes = {};
    crowd.pass(40s);
    EXPECT_EQ(crowd.outcomes.failed, 0U);
    EXPECT_EQ(crowd.outcomes.late, 0U);
    EXPECT_GT(crowd.outcomes.answered, 2000U);
    EXPECT_EQ(crowd.outcomes.lostLeases, 0U);
    EXPECT_GT(crowd.outcomes.heartbeats, GetParam() * 6);
    EXPECT_LT(crowd.outcomes.missedHeartbeats, crowd.outcomes.heartbeats / 1000);
    EXPECT_LE(crowd.mostConnections, servedConnections);
}

TEST_P(ServerWithAgents, ServesUsersWhileEveryHeartbeatTakesSeconds) {
    // As on a follower that forwards heartbeats to a leader that does not respond.
    CrowdedServer crowd(GetParam(), 60);
    crowd.pass(10s);
    crowd.outcomes = {};
    crowd.heartbeatTakes = 3s;
    crowd.pass(10s);
    EXPECT_EQ(crowd.outcomes.failed, 0U);
    EXPECT_EQ(crowd.outcomes.late, 0U);
    EXPECT_GT(crowd.outcomes.answered, 400U);
    crowd.heartbeatTakes = 2ms;
    crowd.pass(31s);
    EXPECT_EQ(crowd.outcomes.lostLeases, 0U);
    EXPECT_LE(crowd.mostConnections, servedConnections);
}

TEST_P(ServerWithAgents, RecoversFromTheBacklogOfRequestsAfterAFreeze) {
    CrowdedServer crowd(GetParam(), 60);
    crowd.pass(10s);
    crowd.freeze(15s);
    crowd.pass(18s);
    crowd.outcomes = {};
    crowd.pass(20s);
    EXPECT_EQ(crowd.outcomes.failed, 0U);
    EXPECT_EQ(crowd.outcomes.late, 0U);
    EXPECT_EQ(crowd.outcomes.lostLeases, 0U);
    EXPECT_GT(crowd.outcomes.heartbeats, GetParam() * 3);
    EXPECT_LE(crowd.mostConnections, servedConnections);
}

}  // namespace
}  // namespace basaltchute::http
