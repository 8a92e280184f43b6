#pragma once
#include <memory>
#include <set>
#include <unordered_map>

#include "app/term.h"
#include "http/server.h"
#include "jobs/codec.h"
#include "mesh/mesh.h"
#include "runtime/semaphore.h"

namespace basaltchute::app {

/// One controller: serves users and workers, follows or leads, and speaks to its peers.
class Controller {
  public:
    Controller(Loop& loop, settings::Settings settings, settings::Operator operatorSettings,
               const std::string& incarnation);
    void start();
    Task<void> shutDown();
    /// Ends every duty as it stands, as a process that is killed would: nothing is given back.
    Task<void> abandon() { return scope_.end(); }

  private:
    Task<http::Response> handle(http::Request request);
    /// Workers send heartbeats; whoever asks for anything else counts with the users.
    static http::ConnectionClass classify(const http::Request& request);
    Task<http::Response> users(http::Request request);
    Task<http::Response> stateFor(http::Request request);
    Task<http::Response> workerFor(http::Request request, std::string worker);
    struct Passed {
        std::optional<http::Response> response;
        bool relayed = false;  // by another node: as old as the question may be
    };
    /// Passes a request on to whoever leads, once more if another node does meanwhile. No response
    /// if none came in time.
    Task<Passed> passOn(http::Request request, Duration patience);
    /// Asks for a user, and again if what came back may be older than what users were told since.
    Task<http::Response> askLeader(http::Request request, JobId job);
    Task<http::Response> lead(http::Request request);
    /// Nothing if this node must not act, or finds out by the report that it must not.
    std::optional<http::Response> leaderBeat(Term& term, const workers::Report& report);
    Task<http::Response> beat(http::Request request);
    /// Asks whoever leads for the right to answer for it, as long as it is heard.
    Task<void> borrow();
    /// Asks the other nodes of the zone for theirs: this one was started again in a cut.
    Task<void> borrowFromHolders();
    /// A delegation for a node of this zone that holds none, as long as its leader is silent.
    std::optional<delegation::Delegation> handOn(const delegation::Question& question);
    /// An answer in the name of a leader that is silent; nothing if this node may not.
    std::optional<http::Response> inItsName(const workers::Report& report);
    http::Response up();
    http::Response status();

    Loop& loop_;
    settings::Settings settings_;
    settings::Operator operator_;
    Scope scope_;
    state::Client state_;
    Leadership leadership_;
    mesh::Mesh mesh_;
    http::Server server_;
    std::shared_ptr<Term> term_;
    delegation::Holder holder_;
    Semaphore relays_;                 // commands to workers that peers have this node pass on
    bool lentOut_ = false;             // answering by a delegation, as last logged
    std::set<std::string> idlePeers_;  // said since this node started that they do not lead
    /// Questions of users that other nodes are to answer, by job, and the newest word about it that
    /// went through this node since each left.
    std::unordered_multimap<JobId, jobs::Word*> looking_;
    TimePoint leaderSeen_;
};

}  // namespace basaltchute::app
