#pragma once
// What a leader's term needs from the node that it runs on. Implemented by `Controller`; tests of a
// term alone can give their own.
#include <string>

#include "worker_api/command_sender.h"

namespace basaltchute::controller {

/// The other nodes, as a leader's term uses them. It outlives the term.
class LeaderTermEnvironment {
  public:
    virtual ~LeaderTermEnvironment() = default;
    /// Has a peer send a request to a worker, as `CommandSender::Relay`.
    virtual Task<worker_api::CommandSender::RelayedOutcome> relayToAgent(
        worker_api::CommandSender::Target target, http::Request request, Duration timeout,
        Scope& scope) = 0;
    /// All records are loaded: from now on the term answers requests. Called once.
    virtual void recordsLoaded() = 0;
    /// Whether that node is connected to this one.
    [[nodiscard]] virtual bool peerConnected(const std::string& node) const = 0;
    /// Whether no node that might lead next is known not to read that format of the stored state.
    [[nodiscard]] virtual bool allSupportFormat(unsigned format) const = 0;
};

}  // namespace basaltchute::controller
