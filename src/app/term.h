#pragma once
#include <memory>

#include "fleet/cloud.h"
#include "fleet/fleet.h"
#include "leadership/leadership.h"
#include "scheduler/cluster.h"
#include "state/writer.h"
#include "workers/reach.h"

namespace basaltchute::app {

/// Everything that exists only while this node leads: made on election, ended on step-down.
/// Requests that wait on it hold it, so it outlives its duties but never acts after them.
class Term {
  public:
    struct Hooks {
        workers::Reach::Detour detour;
        std::function<void()> loaded;                    // from now on requests can be answered
        std::function<bool(const std::string&)> speaks;  // whether that node does
        Duration sinceUse{};                             // of a delegation that this node held
        /// No node that might lead next is known not to read that format of the stored state.
        std::function<bool(unsigned format)> allKnow;
    };
    Term(Loop& loop, const settings::Settings& settings, const settings::Operator& operatorSettings,
         state::Client& state, Leadership& leadership, state::Guard guard, Hooks hooks);
    void start();
    Task<void> end() { return scope_.end(); }
    /// This process leads, and it is still by this election: elected again within a moment it has
    /// the right to act, and what an earlier leadership of it knew is old.
    [[nodiscard]] bool acts() const {
        return leadership_.mayAct() && leadership_.token() == cluster_.token();
    }
    [[nodiscard]] bool ready() const { return loaded_ && acts(); }
    [[nodiscard]] bool loaded() const { return loaded_; }

    Task<http::Response> submit(std::string body);
    Task<http::Response> query(JobId id);
    Task<http::Response> withdraw(JobId id);
    http::Response beat(const workers::Report& report);
    /// The right to answer for this leader while it is silent; nothing as long as the records are
    /// not loaded. `delegates`: every node understands what that means.
    std::optional<delegation::Delegation> delegate(const delegation::Question& question,
                                                   bool delegates);
    /// What this node lent to itself: how late it may answer its zone's workers without the right.
    [[nodiscard]] TimePoint delegatedToSelf() const {
        return delegator_.answersEndOf(settings_.node);
    }
    [[nodiscard]] const scheduler::Cluster& cluster() const { return cluster_; }
    [[nodiscard]] std::size_t backlog() const { return writer_.backlog(); }
    [[nodiscard]] http::Response later() const;

  private:
    Task<void> load();
    Task<void> schedule();
    [[nodiscard]] workers::Reach::Target target(MachineIndex machine) const;
    Task<void> direct(MachineIndex machine);
    /// Takes in a report that came as an answer; false if it made this node step down.
    bool heed(const std::string& body);
    /// Asks a silent machine for a report, several times in a row: dead ones are told from late
    /// ones within a second or two.
    Task<void> ask(MachineIndex machine);
    /// Asks a machine that reports without hearing; its silence is no evidence that it is dead.
    Task<void> hears(MachineIndex machine);
    Task<void> manageFleet();
    /// Zones whose machines and controllers are silent alike.
    void findAway();
    /// What stands under that key, of jobs or of what was learnt.
    std::optional<state::Encoded> encode(const std::string& key);
    /// What was learnt goes on record now and then, for the next leader.
    Task<void> keepExperience();
    Task<void> recallExperience();
    Task<void> rent(fleet::Rent wanted);
    /// Keeps up with the cloud's catalogue and list of machines.
    Task<void> readCloud();
    /// Waits for a fact to stand in the state service; false if it cannot soon.
    template <typename Fact>
    Task<bool> stands(Fact fact);
    void kick();
    void flush();
    /// May be written by now what only version 2 of the stored state holds.
    Task<bool> parted();
    Task<void> raiseFormat();
    Task<std::optional<http::Response>> refuseNeeds(const JobSpec& spec);

    Loop& loop_;
    const settings::Settings& settings_;
    state::Client& state_;
    Leadership& leadership_;
    Scope scope_;
    Event written_, kicked_, dying_;
    delegation::Delegator delegator_;
    scheduler::Cluster cluster_;
    state::Writer writer_;
    fleet::Cloud cloud_;
    fleet::Fleet fleet_;
    workers::Reach reach_;
    std::set<MachineIndex> asking_;
    std::function<void()> onLoaded_;
    std::function<bool(const std::string&)> speaks_;
    std::function<bool(unsigned)> allKnow_;
    bool loaded_ = false, dirty_ = false, raising_ = false;
};

}  // namespace basaltchute::app
