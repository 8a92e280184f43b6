#pragma once
// One controller process: it assembles the election, the connections to its peers, the leader's
// term and the APIs, and serves their HTTP requests. Owns all of them; each has one job and a file
// of its own (`user_api`, `heartbeat_api`, `peer_api`, `status_page`, `leader_term`). Started by
// `main` and by the simulator.
#include "controller/heartbeat_api.h"
#include "controller/peer_api.h"
#include "controller/user_api.h"
#include "http/server.h"

namespace basaltchute::controller {

/// Serves users and workers, follows or leads, and answers its peers.
class Controller final : private LeaderTermEnvironment {
  public:
    /// `incarnation`: tells this process from every former one of the same node.
    Controller(EventLoop& loop, settings::Settings settings, settings::Operator operatorSettings,
               const std::string& incarnation);
    /// Listens, connects to the peers and takes part in elections. Throws if it cannot listen.
    void start();
    /// Resigns, ends every routine and stops the event loop.
    Task<void> shutDown();
    /// Ends every routine where it is, as the end of a killed process would: nothing is resigned.
    Task<void> abandon() { return scope_.cancelAndWait(); }

  private:
    // The leader's term sees the other nodes through these.
    Task<worker_api::CommandSender::RelayedOutcome> relayToAgent(
        worker_api::CommandSender::Target target, http::Request request, Duration timeout,
        Scope& scope) override;
    void recordsLoaded() override;
    [[nodiscard]] bool peerConnected(const std::string& node) const override;
    [[nodiscard]] bool allSupportFormat(unsigned format) const override;

    void startTerm(kv_store::Precondition guard);
    Task<void> endTerm();
    Task<bool> pledgeAll(FencingToken token, Duration hold, const std::set<std::string>& absent);
    Task<http::Response> handleRequest(http::Request request);
    /// Agents send heartbeats; whoever sends anything else counts with the users.
    static http::ConnectionClass classify(const http::Request& request);
    [[nodiscard]] http::Response status() const;
    /// Notes that the leader is reachable if it is.
    http::Response health();

    EventLoop& loop_;
    settings::Settings settings_;
    settings::Operator operator_;
    Scope scope_;
    kv_store::Client store_;
    ControllerContext context_;
    LeaderRouter router_;
    DelegateService delegate_;
    PeerApi peerApi_;
    UserApi userApi_;
    HeartbeatApi heartbeatApi_;
    LeaderElection election_;
    peer_rpc::PeerRpc peers_;
    http::Server server_;
};

}  // namespace basaltchute::controller
