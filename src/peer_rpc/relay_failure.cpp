#include "peer_rpc/relay_failure.h"

namespace basaltchute::peer_rpc {

int relayFailureStatus(RelayFailure failure) {
    switch (failure) {
        case RelayFailure::targetUnreachable:
            return 502;
        case RelayFailure::noPeer:
            return 503;
        case RelayFailure::outcomeUnknown:
            break;
    }
    return 504;
}

http::Response relayFailureResponse(RelayFailure failure) {
    return {relayFailureStatus(failure), "{}"};
}

std::optional<RelayFailure> relayFailureOf(int status) {
    for (const RelayFailure failure :
         {RelayFailure::targetUnreachable, RelayFailure::noPeer, RelayFailure::outcomeUnknown})
        if (relayFailureStatus(failure) == status) return failure;
    return std::nullopt;
}

}  // namespace basaltchute::peer_rpc
