#pragma once
// Connections between the controllers of a cluster, and the calls that go over them. Each node
// dials every other and sends its requests on the connection that it dialled; replies come back on
// the same one, and hellos go both ways. Owns the connections and the requests that wait for a
// reply. Guarantees that a request is sent to one peer at most once; it may be executed although no
// reply came. Called by the controller and its leader's term.
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "peer_rpc/message.h"
#include "peer_rpc/relay_failure.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace basaltchute::peer_rpc {

/// Answers what other controllers send to this one. Implemented by the controller; it outlives the
/// connections, and none of its functions is called before `PeerRpc::start`.
class PeerRequestHandler {
  public:
    virtual ~PeerRequestHandler() = default;
    /// What this node says of itself at this moment; called for each hello that is sent.
    virtual Hello makeHello() = 0;
    /// A peer has said hello, on a connection that either side dialled.
    virtual void helloReceived(const Hello& hello) = 0;
    /// A request that a peer forwards or has this node relay. `worker`: the address of the worker
    /// that it is for, empty for the other purposes.
    virtual Task<http::Response> handleRequest(Purpose purpose, http::Request request,
                                               std::string worker) = 0;
    /// True if this node pledges not to campaign for that long.
    virtual bool handlePledge(const Pledge& pledge) = 0;
    /// A delegation for the node that asks. Empty, and then not answered, if this node does not
    /// lead, or not yet, and has none to transfer.
    virtual std::optional<lease_delegation::Delegation> handleDelegationRequest(
        const lease_delegation::DelegationRequest& request) = 0;
};

/// This node's connections to its peers. Of every outcome, `sent` says that the peer may have got
/// the request, and `answered` that its response is in it.
class PeerRpc {
  public:
    PeerRpc(EventLoop& loop, const settings::Settings& settings, PeerRequestHandler& handler);
    /// Listens and dials every peer for as long as the scope lives. Throws if it cannot listen.
    void start(Scope& scope);

    /// Sends a request to that peer, by default as the leader that it may be.
    Task<http::RequestOutcome> forward(std::string node, http::Request request, Duration timeout,
                                       Scope& scope, Purpose purpose = Purpose::leader);
    /// True only if every peer but `absent` pledges in time.
    Task<bool> pledgeAll(Pledge pledge, std::set<std::string> absent, Duration timeout,
                         Scope& scope);
    /// Asks a leader, or another delegate, for a delegation; empty if it gives none in time.
    Task<std::optional<lease_delegation::Delegation>> requestDelegation(
        std::string node, lease_delegation::DelegationRequest request, Duration timeout,
        Scope& scope);
    /// Sends a request to the state service through whichever peer reaches it.
    Task<http::RequestOutcome> relayToStore(http::Request request, Duration timeout, Scope& scope);
    /// What came of a request that a peer was to relay to a worker.
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        bool sameZone = false;  // by a node in the worker's zone: a partition of it is no excuse
        /// Why there is no response, if the peer said so or no peer is connected.
        std::optional<RelayFailure> failure{};
    };
    /// Sends a request to a worker through a peer: one in that zone if there is one, since the zone
    /// may be partitioned. `worker`: its address.
    Task<RelayedOutcome> relayToAgent(std::string zone, std::string worker, http::Request request,
                                      Duration timeout, Scope& scope);
    /// Another node leads and is ready: requests that were forwarded to a former leader are not
    /// waited for any longer, so that their callers send them to this one.
    void retryPendingAt(const std::string& node);
    /// Says hello to every peer at once: something about this node has changed.
    void announce();

    /// Whether the connection to that peer is open and it has said something of late.
    [[nodiscard]] bool connected(const std::string& node) const;
    /// A connected peer that said it is connected to the leader with that token; empty if there is
    /// none.
    [[nodiscard]] std::string peerConnectedTo(FencingToken leaderToken) const;
    /// Whether that peer understands delegations, as it last said.
    [[nodiscard]] bool supportsDelegations(const std::string& node) const;
    /// Whether every peer has said, the last time that it said hello, that it reckons with
    /// delegations that are transferred: any of them may lead next.
    [[nodiscard]] bool allSupportTransfers() const;
    /// Whether every peer has said that it knows that format of the stored state, but for those
    /// that have not been reached for so long.
    [[nodiscard]] bool allSupportFormat(unsigned format, Duration absentAfter) const;
    /// Peers that have said nothing for so long.
    [[nodiscard]] std::set<std::string> nodesSilentFor(Duration span) const;

  private:
    /// One connection, dialled by either side.
    struct Link {
        explicit Link(EventLoop& loop) : wake(loop) {}
        std::unique_ptr<Socket> socket;
        std::string out;  // not yet written
        Event wake;       // there is more in `out`, or the connection is broken
        bool broken = false;
        TimePoint openedAt{}, lastMessageAt{};
        std::optional<Hello> hello;  // the last one received
    };
    /// A request that waits for its reply.
    struct Pending {
        explicit Pending(EventLoop& loop) : done(loop) {}
        Event done;
        std::optional<http::Response> response;
        std::optional<lease_delegation::Delegation> delegation;
        bool abandoned = false;  // no reply is waited for any longer
        [[nodiscard]] bool answered() const { return response || delegation; }
        std::uint64_t id = 0;
        std::string node;
        bool forLeader = false;
    };
    Task<void> dial(settings::Peer peer, Scope& scope);
    Task<void> acceptAll(Scope& scope);
    std::shared_ptr<Link> open(std::unique_ptr<Socket> socket);
    /// Reads a connection that a peer dialled, until it breaks.
    Task<void> serve(std::shared_ptr<Link> link, Scope& scope);
    /// The next message of a connection; empty once it has broken. `data`: what was read beyond the
    /// last message.
    Task<std::optional<Message>> receive(Link& link, std::string& data, Scope& scope);
    /// Takes in what came on a connection that this node dialled.
    void handleMessage(Link& link, Message message);
    /// Answers what came on a connection that a peer dialled, if it is a request.
    Task<void> answer(std::shared_ptr<Link> link, Message message);
    /// The reply; empty if there is none.
    Task<std::optional<Message>> replyTo(Message message);
    /// Ends what belongs to a connection that this node dialled.
    void close(const std::string& node, const std::shared_ptr<Link>& link);
    /// Sends a request that a reply is waited for; null if the peer is not connected. Gives the
    /// message its id.
    template <typename RequestType>
    std::shared_ptr<Pending> enqueue(const std::string& node, RequestType message);
    Task<http::RequestOutcome> await(std::shared_ptr<Pending> pending, TimePoint until,
                                     Scope& scope);
    static void abandon(Pending& pending);
    /// The peer that is to relay a request to a worker in that zone, and whether it is in it; empty
    /// if none is connected.
    [[nodiscard]] std::optional<std::string> chooseRelay(const std::string& zone,
                                                         bool& sameZone) const;
    Task<void> flush(std::shared_ptr<Link> link, Scope& scope);
    Task<void> sendHellos(std::shared_ptr<Link> link, Scope& scope);
    /// A hello on a connection that the other side dialled: that node is there, perhaps as a
    /// process that the connection dialled from here does not lead to.
    void onHello(const Link& link, const Hello& hello);
    void send(Link& link, const Message& message);
    void sendHello(Link& link);

    EventLoop& loop_;
    std::string listen_;
    std::vector<settings::Peer> peers_;
    PeerRequestHandler& handler_;
    std::unique_ptr<Listener> listener_;
    std::map<std::string, std::shared_ptr<Link>> links_;  // dialled by this node
    std::map<std::string, TimePoint> lastMessageAt_;      // on connections that have ended
    std::map<std::string, bool> supportsTransfers_;       // as last said
    std::map<std::string, Event> redial_;  // that peer has said hello: no need to wait
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

}  // namespace basaltchute::peer_rpc
