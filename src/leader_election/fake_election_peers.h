#pragma once
// Fake listener and peers of a LeaderElection, for tests only.
#include "leader_election/leader_election.h"

namespace basaltchute::testing {

/// Records whether the node was elected, and answers for the other nodes as the test sets it.
class FakeElectionPeers : public LeaderElectionListener, public ElectionPeers {
  public:
    bool elected = false;
    bool othersAreKnownFollowers = false;
    std::set<std::string> silentNodes;

    void onElected(FencingToken /*token*/, kv_store::Precondition /*fence*/) override {
        elected = true;
    }
    Task<void> onLeadershipLost() override { co_return; }
    /// No node gives a pledge.
    Task<bool> requestPledges(FencingToken /*token*/, Duration /*duration*/,
                              const std::set<std::string>& /*absent*/) override {
        co_return false;
    }
    [[nodiscard]] bool isKnownFollower(const std::string& /*node*/) const override {
        return othersAreKnownFollowers;
    }
    [[nodiscard]] std::set<std::string> nodesSilentFor(Duration /*span*/) const override {
        return silentNodes;
    }
};

}  // namespace basaltchute::testing
