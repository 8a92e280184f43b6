#pragma once
// Messages between controllers, and the connections that carry them.
//
// Every controller connects to every other one. It sends its requests on the connection that it
// opened itself, and the responses come back on the same connection. Both sides send a Hello twice
// a second, which says who they are and whether they lead; a peer that sends nothing counts as not
// connected. Requests are those of users and agents that are forwarded to the leader, those relayed
// to the state service or to an agent, and those for leadership pledges and lease delegations.
//
// On the wire a message is a frame: its length in four bytes, lowest first, then a Cap'n Proto
// message (peer_rpc.capnp). Called by the Controller, on its event loop.
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/ids.h"
#include "http/client.h"
#include "lease_delegation/delegate.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace basaltchute::peer_rpc {

/// What a node says of itself. The fields from `knownLeaderToken` on have the default values if the
/// node runs a version that does not know them.
struct Hello {
    std::string node;
    bool leading = false;
    FencingToken token = 0;             // of the last election that the node won; 0: none
    bool ready = false;                 // it leads and has loaded all records
    FencingToken knownLeaderToken = 0;  // of the leader that it is connected to; 0: none
    bool supportsDelegations = false;   // a node that does not would close the connection on one
    bool supportsTransfers = false;  // takes into account that delegates may transfer delegations
    std::string incarnation{};       // random name of its process; empty: an older version
    unsigned storedFormat = 1;       // the newest format of the stored state that it can read
};
/// Whom a request is for: the leader, or whatever the receiver relays it to.
enum class Purpose { leader, stateService, agent };
/// Request not to campaign for `duration`, for the leader with that token.
struct Pledge {
    FencingToken token = 0;
    std::chrono::milliseconds duration{};
};
/// One frame. Exactly one of the optional members is set.
struct Message {
    std::optional<Hello> hello;
    std::optional<http::Request> request;
    std::optional<http::Response> reply;  // to a request or a pledge
    std::uint64_t id = 0;                 // the same in a request and its response; 0 in a Hello
    Purpose purpose = Purpose::leader;    // of `request`
    std::string agentAddress;             // of the agent, for Purpose::agent
    std::optional<Pledge> pledge;
    std::optional<lease_delegation::DelegationRequest> delegationRequest;
    std::optional<lease_delegation::Delegation> delegation;  // to a delegation request
};
/// The frame with its length.
std::string encode(const Message& message);
enum class DecodeStatus { needMore, message, malformed };
/// Moves the first frame of `data` into `into`. `needMore`: `data` does not hold a whole frame yet.
/// `malformed`: the connection has to be closed.
DecodeStatus decode(std::string& data, Message& into);

/// The connections of one controller to all others; see the top of this file. A request whose
/// connection ends is reported as sent but not answered. Every call ends early, without an answer,
/// if its scope is cancelled.
class PeerRpc {
  public:
    /// What the controller answers and learns. All are called on the event loop.
    struct Hooks {
        /// What this node says of itself now.
        std::function<Hello()> makeHello;
        std::function<void(const Hello&)> onHello;
        /// Answers a request of a peer. `agentAddress`: of the agent, for Purpose::agent.
        std::function<Task<http::Response>(Purpose, http::Request, std::string agentAddress)>
            handleRequest;
        /// Whether this node pledges not to campaign.
        std::function<bool(const Pledge&)> handlePledge;
        /// Nothing if this node has no delegation to give: it does not lead, or is not ready, and
        /// has none to transfer. Then the peer gets no response.
        std::function<std::optional<lease_delegation::Delegation>(
            const lease_delegation::DelegationRequest&)>
            handleDelegationRequest;
    };
    /// The loop must outlive it.
    PeerRpc(EventLoop& loop, const settings::Settings& settings, Hooks hooks);
    /// Listens and connects until the scope is cancelled. Throws std::system_error if the address
    /// cannot be bound.
    void start(Scope& scope);
    /// Sends a request to that node, to be answered by it as the leader or relayed by `purpose`.
    Task<http::RequestOutcome> forward(std::string node, http::Request request, Duration timeout,
                                       Scope& scope, Purpose purpose = Purpose::leader);
    /// Asks every other node but `absent` for a pledge; true only if all of them pledge in time.
    Task<bool> requestPledges(Pledge pledge, std::set<std::string> absent, Duration timeout,
                              Scope& scope);
    /// Asks a leader for a delegation, or a delegate for a transfer of its own; nothing if there is
    /// no response.
    Task<std::optional<lease_delegation::Delegation>> requestDelegation(
        std::string node, lease_delegation::DelegationRequest request, Duration timeout,
        Scope& scope);
    /// A connected node that says it is connected to the leader with that token; empty if there is
    /// none.
    [[nodiscard]] std::string peerConnectedToLeader(FencingToken token) const;
    /// Whether that node supports delegations, by its last Hello on the present connection; false
    /// if there is none.
    [[nodiscard]] bool supportsDelegations(const std::string& node) const;
    /// Whether every other node supports transfers of delegations, by the last Hello that each has
    /// sent since this process started: any of them may lead next.
    [[nodiscard]] bool allSupportTransfers() const;
    /// Whether every other node can read that format of the stored state, by its last Hello. Nodes
    /// that have been silent for `absentAfter` do not count.
    [[nodiscard]] bool allSupportFormat(unsigned format, Duration absentAfter) const;
    /// The other nodes that have sent nothing for longer than `span`.
    [[nodiscard]] std::set<std::string> nodesSilentFor(Duration span) const;
    /// Sends a request to the state service through another node: asks one after the other, until
    /// one has a response of the service. `timeout`: for each.
    Task<http::RequestOutcome> relayToStore(http::Request request, Duration timeout, Scope& scope);
    /// What became of a request that was sent to an agent through a peer. `outcome.sent`: the agent
    /// may have received it. If it was not answered, the response's status tells whether the agent
    /// was tried: 502 or 504 if it was, 503 if no peer is connected.
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        /// The peer is in the agent's zone, so a partition of that zone does not explain a failure.
        bool sameZone = false;
    };
    /// Sends a request to an agent through one peer: one in `zone`, the agent's, if any is
    /// connected, because that zone may be cut off.
    Task<RelayedOutcome> relayToAgent(std::string zone, std::string agentAddress,
                                      http::Request request, Duration timeout, Scope& scope);
    /// `leader` leads now and is ready: requests to any other node as the leader end without an
    /// answer, so that their callers can send them to the new leader.
    void failRequestsToFormerLeaders(const std::string& leader);
    /// Whether this node's connection to that node is up, and something came on it within the last
    /// two seconds.
    [[nodiscard]] bool connected(const std::string& node) const;
    /// Sends a Hello to every peer now, because something that it says has changed.
    void broadcastHello();

  private:
    /// A connection to a peer, opened by either side.
    struct Link {
        explicit Link(EventLoop& loop) : changed(loop) {}
        std::unique_ptr<Socket> socket;
        std::string outgoing;  // frames to be written
        Event changed;         // `outgoing` or `broken` has changed
        bool broken = false;   // to be closed: nothing is sent or read any more
        TimePoint connectedAt{}, lastHeardAt{};
        std::optional<Hello> hello;  // the peer's last one
    };
    /// A request that was sent and waits for its response.
    struct PendingRequest {
        explicit PendingRequest(EventLoop& loop) : done(loop) {}
        Event done;
        std::optional<http::Response> response;
        std::optional<lease_delegation::Delegation> delegation;
        bool abandoned = false;  // no response is expected any more
        [[nodiscard]] bool answered() const { return response || delegation; }
        std::uint64_t id = 0;
        std::string node;
        bool toLeader = false;
    };
    /// Connects to a peer again and again, and handles what it sends on that connection.
    Task<void> keepConnected(settings::Peer peer, Scope& scope);
    Task<void> acceptConnections(Scope& scope);
    /// Handles what a peer sends on a connection that it opened.
    Task<void> serveConnection(std::shared_ptr<Link> link, Scope& scope);
    Task<void> handleIncoming(std::shared_ptr<Link> link, Message message);
    /// Nullptr if there is no connection to that node.
    std::shared_ptr<PendingRequest> sendRequest(const std::string& node, Message message);
    Task<http::RequestOutcome> awaitResponse(std::shared_ptr<PendingRequest> pending,
                                             TimePoint until, Scope& scope);
    Task<void> writeOutgoing(std::shared_ptr<Link> link, Scope& scope);
    Task<void> sendHellos(std::shared_ptr<Link> link, Scope& scope);
    /// Handles a Hello on a connection that the peer opened. The peer can be reached, but perhaps
    /// it is a new process, and this node's own connection still belongs to the former one.
    void onAcceptedHello(const Link& link, const Hello& hello);
    void send(Link& link, const Message& message);
    void sendHello(Link& link);

    EventLoop& loop_;
    std::string listenAddress_;
    std::vector<settings::Peer> peers_;
    Hooks hooks_;
    std::unique_ptr<Listener> listener_;
    std::map<std::string, std::shared_ptr<Link>> links_;  // opened by this node, by peer
    std::map<std::string, TimePoint> lastHeardAt_;        // on connections that have ended, by peer
    std::map<std::string, bool> supportsTransfers_;       // by the last Hello of each peer
    std::map<std::string, Event> redialNow_;  // the peer was heard: try to connect without delay
    std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending_;
    std::uint64_t nextId_ = 1;
};

}  // namespace basaltchute::peer_rpc
