#pragma once
// The messages between controllers and their codec: length-prefixed Cap'n Proto frames, by
// `peer_rpc.capnp`. Pure; owns no state. The schema's names are mapped to these types here alone:
// Borrow is a delegation request, Loan a delegation, `hears` the token of the known leader.
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "http/message.h"
#include "leader_election/leader_election.h"
#include "lease_delegation/delegate.h"

namespace basaltchute::peer_rpc {

/// What a node says of itself, on connecting and every half second after.
struct Hello {
    std::string node;
    bool leading = false;
    FencingToken token = 0;             // the newest that this node led by
    bool ready = false;                 // leads and has loaded all records
    FencingToken knownLeaderToken = 0;  // of the leader that it is connected to; 0: none
    /// Understands delegations; a node of an older version would end the connection over one.
    bool supportsDelegations = false;
    bool supportsTransfers = false;  // reckons with delegations that delegates transfer
    std::string incarnation{};       // drawn at its start; empty: an older version
    unsigned storedFormat = 1;       // of the stored state, the newest that it knows
};

/// Whom a request is for.
enum class Purpose { leader, stateService, worker };

/// A leader's request not to campaign for so long.
struct Pledge {
    FencingToken token = 0;  // of that leader
    std::chrono::milliseconds hold{};
};

// Requests, and replies that carry the id of their request. Ids are unique for each sender.

/// An HTTP request that is forwarded to the leader, or that the receiver is to relay.
struct RequestMessage {
    std::uint64_t id = 0;
    http::Request request;
    Purpose purpose = Purpose::leader;
    std::string worker{};  // its address, for the purpose of that name
};
/// Answers a request, or a pledge: 200 if it is given, else 409.
struct ReplyMessage {
    std::uint64_t id = 0;
    http::Response response;
};
/// Answered by a reply.
struct PledgeMessage {
    std::uint64_t id = 0;
    Pledge pledge;
};
/// Answered by a delegation, or not at all.
struct DelegationRequestMessage {
    std::uint64_t id = 0;
    lease_delegation::DelegationRequest request;
};
/// Answers a delegation request.
struct DelegationMessage {
    std::uint64_t id = 0;
    lease_delegation::Delegation delegation;
};

using Message = std::variant<Hello, RequestMessage, ReplyMessage, PledgeMessage,
                             DelegationRequestMessage, DelegationMessage>;

/// The frame of a message.
std::string encode(const Message& message);

enum class DecodeStatus {
    needMore,  // no whole frame has arrived yet
    message,
    broken,  // the connection is to be ended
};
/// Takes the first frame off `data`, if it is whole, and its message into `message`; changes
/// neither otherwise.
DecodeStatus decode(std::string& data, Message& message);

}  // namespace basaltchute::peer_rpc
