#pragma once
// Why a relayed request has no response of its target. One type for the nodes that relay and for
// those that ask for it; mapped to HTTP statuses here alone.
#include <optional>

#include "http/message.h"

namespace basaltchute::peer_rpc {

/// Why a relayed request failed. Each is one HTTP status in the relay's reply; a target that
/// responds with 502 or 504 itself is taken for unreachable.
enum class RelayFailure {
    targetUnreachable,  // 502: the target did not get the request, or a store did not respond
    noPeer,             // 503: no peer is connected that could relay it; no reply of a relay
    outcomeUnknown,     // 504: the target may have got the request, and did not respond in time
};

/// The HTTP status that stands for the failure.
int relayFailureStatus(RelayFailure failure);
/// A relay's reply that reports the failure.
http::Response relayFailureResponse(RelayFailure failure);
/// The failure that an HTTP status stands for; empty for every other status.
std::optional<RelayFailure> relayFailureOf(int status);

}  // namespace basaltchute::peer_rpc
