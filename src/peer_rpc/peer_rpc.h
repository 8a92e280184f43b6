#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/client.h"
#include "leader_election/leader_election.h"
#include "lease_delegation/delegate.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace basaltchute::peer_rpc {

/// Length-prefixed Cap'n Proto frames. Encoding and decoding are pure; a frame that does not
/// decode ends its connection.
struct Hello {
    std::string node;
    bool leading = false;
    FencingToken token = 0;
    bool ready = false;                 // has loaded all records as well
    FencingToken knownLeaderToken = 0;  // of the leader that it hears; 0: none
    bool supportsDelegations =
        false;                       // understands delegations: an older version would end the link
    bool supportsTransfers = false;  // reckons with delegations that are handed on
    std::string incarnation{};       // drawn at its start; empty: an older version
    unsigned storedFormat = 1;       // of the stored state, the newest that it knows
};
enum class Purpose { leader, stateService, worker };
struct Pledge {
    FencingToken token = 0;
    std::chrono::milliseconds hold{};
};
struct Message {
    std::optional<Hello> hello;
    std::optional<http::Request> request;
    std::optional<http::Response> reply;
    std::uint64_t id = 0;
    Purpose purpose = Purpose::leader;
    std::string worker;  // its address, for the purpose of that name
    std::optional<Pledge> pledge;
    std::optional<lease_delegation::DelegationRequest> delegationRequest;
    std::optional<lease_delegation::Delegation> delegation;
};
std::string encode(const Message& message);
enum class DecodeStatus { needMore, message, broken };
DecodeStatus decode(std::string& data, Message& into);

/// Why a peer's reply to a relayed request is not the target's. Each is one HTTP status on the
/// wire, and a target that gives such a status itself is taken for one of them.
enum class RelayFailure {
    targetUnreachable,  // 502: the target did not get the request, or the relay got no response
    noPeer,             // 503: no peer was connected to relay it; never sent by a peer
    outcomeUnknown,     // 504: the target may have got the request, and did not respond
};
/// The status that stands for the failure.
int relayFailureStatus(RelayFailure failure);
/// The peer's reply that says so.
http::Response relayFailureResponse(RelayFailure failure);
/// The failure that a status stands for; empty for every other status.
std::optional<RelayFailure> relayFailureOf(int status);

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

/// Connections between the controllers: each node dials every other and speaks on the
/// connection it dialled; answers come back on the same one.
class PeerRpc {
  public:
    PeerRpc(EventLoop& loop, const settings::Settings& settings, PeerRequestHandler& handler);
    void start(Scope& scope);
    Task<http::RequestOutcome> forward(std::string node, http::Request request, Duration timeout,
                                       Scope& scope, Purpose purpose = Purpose::leader);
    /// True only if every other node but `absent` pledges in time.
    Task<bool> pledgeAll(Pledge pledge, std::set<std::string> absent, Duration timeout,
                         Scope& scope);
    /// Asks a leader, or another holder, for a delegation; nothing if it gives no answer.
    Task<std::optional<lease_delegation::Delegation>> requestDelegation(
        std::string node, lease_delegation::DelegationRequest question, Duration timeout,
        Scope& scope);
    /// A connected node that said it hears the leader with that token; empty if there is none.
    [[nodiscard]] std::string peerConnectedTo(FencingToken token) const;
    /// Whether that node understands delegations, as it last said.
    [[nodiscard]] bool supportsDelegations(const std::string& node) const;
    /// Whether every other node has said, the last time that it was heard, that it reckons with
    /// delegations that are handed on: any of them may lead next.
    [[nodiscard]] bool allSupportTransfers() const;
    /// Whether every other node has said that it knows that format of the stored state, but for
    /// those that have not been reached for so long.
    [[nodiscard]] bool allSupportFormat(unsigned format, Duration absentAfter) const;
    /// Nodes that have said nothing for so long.
    [[nodiscard]] std::set<std::string> nodesSilentFor(Duration span) const;
    /// Through whichever other node reaches the state service.
    Task<http::RequestOutcome> relayToStore(http::Request request, Duration timeout, Scope& scope);
    /// Through a peer to a worker: one in that zone if there is one, since it may be cut off.
    /// `sent` if the peer may have relayed it without a response. The status of what is not
    /// answered tells whether the worker was tried (`RelayFailure`).
    struct RelayedOutcome {
        http::RequestOutcome outcome;
        bool sameZone = false;  // by a node in the worker's zone: a partition of it is no excuse
    };
    Task<RelayedOutcome> relayToAgent(std::string zone, std::string worker, http::Request request,
                                      Duration timeout, Scope& scope);
    /// Another node leads and is ready: what was passed on to a former leader is not waited for any
    /// longer.
    void retryPendingAt(const std::string& node);
    [[nodiscard]] bool connected(const std::string& node) const;
    /// Tells every peer at once that something about this node has changed.
    void announce();

  private:
    struct Link {
        explicit Link(EventLoop& loop) : wake(loop) {}
        std::unique_ptr<Socket> socket;
        std::string out;
        Event wake;
        bool broken = false;
        TimePoint since{}, heardAt{};
        std::optional<Hello> hello;  // as last heard
    };
    struct Pending {
        explicit Pending(EventLoop& loop) : done(loop) {}
        Event done;
        std::optional<http::Response> response;
        std::optional<lease_delegation::Delegation> delegation;
        bool lost = false;
        [[nodiscard]] bool answered() const { return response || delegation; }
        std::uint64_t id = 0;
        std::string node;
        bool forLeader = false;
    };
    Task<void> dial(settings::Peer peer, Scope& scope);
    Task<void> acceptAll(Scope& scope);
    Task<void> serve(std::shared_ptr<Link> link, Scope& scope);
    Task<void> answer(std::shared_ptr<Link> link, Message message);
    std::shared_ptr<Pending> enqueueRequest(const std::string& node, Message message);
    Task<http::RequestOutcome> await(std::shared_ptr<Pending> pending, TimePoint until,
                                     Scope& scope);
    Task<void> flush(std::shared_ptr<Link> link, Scope& scope);
    Task<void> sendHellos(std::shared_ptr<Link> link, Scope& scope);
    /// A greeting on a connection that the other side dialled: it is there, perhaps as a process
    /// that the connection dialled from here does not lead to.
    void onHello(const Link& link, const Hello& hello);
    void send(Link& link, const Message& message);
    void sendHello(Link& link);

    EventLoop& loop_;
    std::string listen_;
    std::vector<settings::Peer> peers_;
    PeerRequestHandler& handler_;
    std::unique_ptr<Listener> listener_;
    std::map<std::string, std::shared_ptr<Link>> links_;
    std::map<std::string, TimePoint> lastHeardAt_;   // on connections that have ended
    std::map<std::string, bool> supportsTransfers_;  // as last said
    std::map<std::string, Event> redial_;            // it has been heard: no need to wait
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::uint64_t nextId_ = 1;
};

}  // namespace basaltchute::peer_rpc
