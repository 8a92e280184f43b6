#pragma once
#include <memory>
#include <set>
#include <unordered_map>

#include "controller/leader_term.h"
#include "http/server.h"
#include "jobs/codec.h"
#include "peer_rpc/peer_rpc.h"
#include "runtime/semaphore.h"

namespace basaltchute::controller {

/// One controller: serves users and workers, follows or leads, and speaks to its peers.
class Controller : private LeaderElectionListener, private ElectionPeers {
  public:
    Controller(EventLoop& loop, settings::Settings settings,
               settings::OperatorSettings operatorSettings, const std::string& incarnation);
    void start();
    Task<void> shutDown();
    /// Ends every duty as it stands, as a process that is killed would: nothing is given back.
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
    /// Agents send heartbeats; whoever asks for anything else counts with the users.
    static http::ConnectionClass classify(const http::Request& request);
    Task<http::Response> handleUserRequest(http::Request request);
    Task<http::Response> relayToStoreFor(http::Request request);
    Task<http::Response> relayToAgentFor(http::Request request, std::string worker);
    struct ForwardResult {
        std::optional<http::Response> response;
        bool relayed = false;  // by another node: as old as the question may be
    };
    /// Passes a request on to whoever leads, once more if another node does meanwhile. No response
    /// if none came in time.
    Task<ForwardResult> forwardToLeader(http::Request request, Duration timeout);
    /// Asks for a user, and again if what came back may be older than what users were told since.
    Task<http::Response> askLeader(http::Request request, JobId job);
    Task<http::Response> serveAsLeader(http::Request request);
    /// Nothing if this node must not act, or finds out by the report that it must not.
    std::optional<http::Response> answerHeartbeatAsLeader(LeaderTerm& term,
                                                          const worker_api::StatusReport& report);
    Task<http::Response> handleHeartbeat(http::Request request);
    /// Asks whoever leads for the right to answer for it, as long as it is heard.
    Task<void> refreshDelegation();
    /// Asks the other nodes of the zone for theirs: this one was started again in a cut.
    Task<void> requestTransfer();
    /// A delegation for a node of this zone that holds none, as long as its leader is silent.
    std::optional<lease_delegation::Delegation> transferDelegation(
        const lease_delegation::DelegationRequest& question);
    /// An answer in the name of a leader that is silent; nothing if this node may not.
    std::optional<http::Response> answerAsDelegate(const worker_api::StatusReport& report);
    http::Response healthResponse();
    http::Response statusResponse();

    EventLoop& loop_;
    settings::Settings settings_;
    settings::OperatorSettings operator_;
    Scope scope_;
    kv_store::Client store_;
    LeaderElection election_;
    peer_rpc::PeerRpc peers_;
    http::Server server_;
    std::shared_ptr<LeaderTerm> term_;
    lease_delegation::Delegate delegate_;
    Semaphore relays_;                     // commands to workers that peers have this node pass on
    bool answeringAsDelegate_ = false;     // answering by a delegation, as last logged
    std::set<std::string> followerPeers_;  // said since this node started that they do not lead
    /// Questions of users that other nodes are to answer, by job, and the newest word about it that
    /// went through this node since each left.
    std::unordered_multimap<JobId, jobs::JobState*> openQuestions_;
    TimePoint leaderSeenAt_;
};

}  // namespace basaltchute::controller
