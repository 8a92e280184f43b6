#pragma once
// One controller: the process that takes part in the election and serves users and agents.
//
// Every controller answers HTTP requests. The leader answers through its `LeaderTerm`; the others
// forward requests to the leader over `PeerRpc`, and may answer heartbeats for a silent leader by a
// delegation (`lease_delegation::Delegate`). Controllers also relay requests for peers that cannot
// reach the state service or an agent themselves. Created by main() and by the simulator; all of it
// runs on one event loop.
#include <memory>
#include <set>
#include <unordered_map>

#include "controller/leader_term.h"
#include "http/server.h"
#include "jobs/codec.h"
#include "peer_rpc/peer_rpc.h"
#include "runtime/semaphore.h"

namespace basaltchute::controller {

/// Serves users and agents, as the leader or as a follower. See the top of this file.
class Controller : private LeaderElectionListener, private ElectionPeers {
  public:
    /// `incarnation`: a random name of this process, which distinguishes it from earlier processes
    /// on the same node. The loop must outlive the controller.
    Controller(EventLoop& loop, settings::Settings settings,
               settings::OperatorSettings operatorSettings, const std::string& incarnation);
    /// Starts listening, connecting to peers, and the election. Throws std::system_error if an
    /// address cannot be bound.
    void start();
    /// Resigns the leadership, ends every duty and stops the event loop.
    Task<void> shutDown();
    /// Ends every duty without resigning, as if the process had been killed: a leader's lease stays
    /// valid until it runs out.
    Task<void> abandon() { return scope_.cancelAndWait(); }

  private:
    void onElected(FencingToken token, kv_store::Precondition fence) override;
    Task<void> onLeadershipLost() override;
    Task<bool> requestPledges(FencingToken token, Duration duration,
                              const std::set<std::string>& absent) override;
    [[nodiscard]] bool isKnownFollower(const std::string& node) const override {
        return followerPeers_.contains(node);
    }
    [[nodiscard]] std::set<std::string> nodesSilentFor(Duration span) const override {
        return peers_.nodesSilentFor(span);
    }
    Task<http::Response> handleRequest(http::Request request);
    /// Requests to the heartbeat path come from agents; all others count as users' requests.
    static http::ConnectionClass classify(const http::Request& request);
    Task<http::Response> handleUserRequest(http::Request request);
    /// Sends a peer's request to the state service, for a peer that cannot reach it.
    Task<http::Response> relayPeerRequestToStore(http::Request request);
    /// Sends a peer's request to an agent, for a peer that cannot reach it. The status tells the
    /// peer whether the agent was tried: 502 if it was not reached, 504 if it may have received
    /// the request, 500 if that is not known or nothing was sent.
    Task<http::Response> relayPeerRequestToAgent(http::Request request, std::string agentAddress);
    struct ForwardResult {
        std::optional<http::Response> response;  // nothing if none came in time
        bool relayed = false;  // came from another node: may be as old as the request
    };
    /// Passes a request to the leader, which may be this node. If another node is elected
    /// meanwhile, the request is sent again, to the new leader.
    Task<ForwardResult> forwardToLeader(http::Request request, Duration timeout);
    /// Forwards a user's request about a job. Sends it again if users may have been told a newer
    /// state of the job in the meantime than the response shows.
    Task<http::Response> forwardUserRequest(http::Request request, JobId job);
    /// Answers a user's request or a heartbeat as the leader; 503 if this node does not lead.
    Task<http::Response> serveAsLeader(http::Request request);
    /// Nothing if this node may not act, or if the report shows that another leader was elected.
    std::optional<http::Response> answerHeartbeatAsLeader(LeaderTerm& term,
                                                          const worker_api::StatusReport& report);
    Task<http::Response> handleHeartbeat(http::Request request);
    /// Requests a delegation from the leader at intervals, while it can be reached.
    Task<void> refreshDelegation();
    /// Asks the other nodes of this node's zone to transfer their delegation to it. For a node that
    /// was restarted during a partition and so has no delegation.
    Task<void> requestTransfer();
    /// Transfers this node's delegation to a node of its zone that has none; nothing if it has no
    /// delegation itself, hears its leader, or may not transfer it.
    std::optional<lease_delegation::Delegation> transferDelegation(
        const lease_delegation::DelegationRequest& request);
    /// Answers a heartbeat on behalf of a silent leader, without commands; nothing if no delegation
    /// allows it.
    std::optional<http::Response> answerAsDelegate(const worker_api::StatusReport& report);
    /// For the load balancer: 503 while this node cannot serve users.
    http::Response healthResponse();
    /// The state of this node as JSON and, if it leads, of the cluster.
    http::Response statusResponse();
    /// The status page of one machine: 503 if this node does not lead, 404 for an unknown machine.
    http::Response machineStatusResponse(const std::string& machine);

    EventLoop& loop_;
    settings::Settings settings_;
    settings::OperatorSettings operatorSettings_;
    Scope scope_;
    kv_store::Client store_;
    LeaderElection election_;
    peer_rpc::PeerRpc peers_;
    http::Server server_;
    std::shared_ptr<LeaderTerm> term_;
    lease_delegation::Delegate delegate_;
    Semaphore relayPermits_;            // one for each request relayed to an agent for a peer
    bool answeringAsDelegate_ = false;  // as stated by the latest log line
    /// Peers that have said since this process started that they do not lead.
    std::set<std::string> followerPeers_;
    /// Users' requests that the leader has not answered yet, by job. Each entry points to the most
    /// advanced state of the job that any response through this node has shown since that request
    /// was sent.
    std::unordered_multimap<JobId, jobs::JobState*> pendingUserRequests_;
    TimePoint leaderLastReachableAt_;
};

}  // namespace basaltchute::controller
