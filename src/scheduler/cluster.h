#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chains/chains.h"
#include "delegation/delegator.h"
#include "fleet/catalogue.h"
#include "jobs/job.h"
#include "scheduler/room.h"
#include "settings/operator.h"
#include "settings/settings.h"
#include "state/writer.h"
#include "workers/machine.h"

namespace basaltchute::scheduler {

/// What the outside has to do after an input: values, so that tests can look at them.
struct Effects {
    std::vector<std::pair<std::string, state::Urgency>> dirty;
    std::set<MachineIndex> push;  // machines with orders worth sending at once
    std::set<MachineIndex> ask;   // that may not hear: whether they answer a question
};

enum class Submitted { fresh, known, unknownTeam, fitsNowhere, overLimit, contradicts };

/// All that a leader knows: jobs, machines, and what is possibly where. Pure: inputs are
/// reports, requests and the passing of time, outputs are Effects and orders.
class Cluster {
  public:
    Cluster(const settings::Settings& settings, FencingToken token);
    void setOperator(const settings::Operator& settings) { operator_ = settings; }
    [[nodiscard]] const settings::Operator& operatorSettings() const { return operator_; }
    [[nodiscard]] const std::map<std::string, cells::Pool>& pools() const { return pools_; }

    // Records
    /// All records under both prefixes of jobs, in any order; false if this one is malformed.
    bool load(const std::string& key, const std::string& data, TimePoint now, WallMillis wall);
    void loaded(TimePoint now);
    /// Something stands about that job that cannot be read: it is known, and no more than that. No
    /// task of it starts, and nobody is told that it is not there.
    [[nodiscard]] bool unreadable(const JobId& id) const { return unreadable_.contains(id); }
    /// Nothing if what it held is to be written under other keys, or cannot be written now.
    [[nodiscard]] std::optional<state::Encoded> encode(const std::string& key);
    void committed(const std::string& key, std::uint64_t version);
    /// The state service does not take a value of that size.
    void tooLarge(const std::string& key, std::size_t bytes);
    /// Records that a version without chains and parts cannot read may be written from now on.
    void setParted();
    /// Something waits for that.
    [[nodiscard]] bool wantsParted() const { return !oversized_.empty(); }

    // Users
    [[nodiscard]] Job* find(const JobId& id);
    Submitted submit(const JobSpec& spec, TimePoint now, WallMillis wall);
    /// What is wrong with a job that a submission says it needs.
    struct Need {
        enum class Wrong { nothing, itself, unknown, service, unsure } wrong = Wrong::nothing;
        JobId id;
    };
    [[nodiscard]] Need wrongNeed(const JobSpec& spec) const;
    [[nodiscard]] const chains::Graph& chains() const { return chains_; }
    /// Jobs that wait for others.
    struct ById {
        bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
    };
    using JobSet = std::set<Job*, ById>;
    [[nodiscard]] const JobSet& heldJobs() const { return held_; }
    /// From its release until its last task is done, as estimated.
    [[nodiscard]] Duration takes(const JobSpec& spec) const;
    /// When a job that waits for others will be released, by the same estimates; far off if that
    /// takes many stages.
    [[nodiscard]] TimePoint releaseExpected(const Job& job, TimePoint now) const;
    /// What is left until a job that waits could not be over in time any more, by the estimates;
    /// nothing if neither it nor what comes after it has a deadline.
    [[nodiscard]] std::optional<Duration> slack(const Job& job, TimePoint now) const;
    /// How long before their release four of five jobs of the class are known, of late; nothing if
    /// none of them waited for others.
    [[nodiscard]] Duration foreseen(const std::string& jobClass) const;
    /// No task of it starts any more, and all are stopped. It is final, and may be told, once
    /// whatever may still run ends within the time that users are promised.
    void cancel(Job& job, TimePoint now);
    /// A user is being told that the job is cancelled: what may still run must end from then on
    /// within `cancelWithin`.
    void told(Job& job, TimePoint now) {
        if (!job.toldAt) job.toldAt = now;
    }
    /// How long until a withdrawal that cannot be told yet can be, unless it is proven earlier.
    [[nodiscard]] Duration tellableIn(const Job& job, TimePoint now) const;

    // Delegations
    /// What was lent to zones; it must live as long as the cluster.
    void setDelegator(delegation::Delegator& delegator) { delegator_ = &delegator; }
    /// How late a holder in the zone may answer workers for the leader: not so late that a task
    /// whose job was told to be cancelled, and that is not proven gone, could outlive its time.
    [[nodiscard]] TimePoint delegationCap(const std::string& zone, TimePoint now) const;
    /// When what is on the machine has surely been killed with its lease, if nothing is heard.
    [[nodiscard]] TimePoint possiblyUntil(const workers::Machine& m, TimePoint now) const;
    /// How long a lease lasts that nothing renews any more: from the last report that was answered;
    /// perhaps no longer, if that was by a former leader.
    [[nodiscard]] TimePoint renewedUntil(const workers::Machine& m, TimePoint now) const;
    /// A zone that is cut off with its controllers gets no more work until it is back.
    void setAway(const std::string& zone, bool away);
    [[nodiscard]] bool away(const std::string& zone) const { return away_.contains(zone); }

    // Machines
    /// The orders that answer the report; to be called before anything is answered.
    std::vector<workers::Order> beat(const workers::Report& report, TimePoint now);
    enum class Source { beat, direct };
    void report(const workers::Report& report, Source source, TimePoint now);
    std::vector<workers::Order> directOrders(MachineIndex machine, TimePoint now);
    /// `unanswered`: some copy of the orders left and may be executed yet.
    void directEnded(MachineIndex machine, bool unanswered);
    /// It was silent and has not answered when asked either.
    void unanswered(MachineIndex machine) { ++machines_[machine].unanswered; }
    /// Where a machine that has not reported yet can be asked, as the cloud lists it.
    void setAddress(MachineIndex machine, const std::string& address, const std::string& zone) {
        workers::Machine& m = machines_[machine];
        m.listedZone = zone;
        if (!m.up()) m.address = address;
    }
    void machineGone(MachineIndex machine, TimePoint now);
    /// The machine is to be returned, or is wanted again after all.
    void setDraining(MachineIndex machine, bool draining);
    /// Does what the passing of time asks for: leases that ran out, recalls, pauses that end.
    void expire(TimePoint now);

    /// Decides what runs where, for `most` tasks at a time; true if there is more to decide.
    /// Safe to call at any time.
    bool place(TimePoint now, std::size_t most = SIZE_MAX);
    /// Whether placing could achieve anything that the last time could not.
    [[nodiscard]] bool worthPlacing();
    /// Moves a replica off a machine that is to be returned, if another one that has its image
    /// has room: stopped and started again it is away for a moment only.
    void moveReplicas(MachineIndex machine, TimePoint now);
    /// Stops borrowing work on a machine that is to be returned, if it saves what it has done.
    void stopBorrowers(MachineIndex machine);

    /// How many of its objectives a waiting job does not meet any more, and by when it must start
    /// to meet the next one, if there is one.
    struct Turn {
        std::size_t missed = 0;
        TimePoint by{};
        bool hopes = false;
        auto operator<=>(const Turn&) const = default;
    };
    /// `given`: objectives that are given up although they could be met.
    [[nodiscard]] Turn turn(const Job& job, TimePoint now, std::size_t given = 0) const;
    /// Runs on what others leave idle: low priority, beyond its team's guarantee, and it ends.
    [[nodiscard]] bool borrows(const Job& job) const {
        return job.rank == Priority::low && job.spec.shape != Shape::service &&
               !withinGuarantee(job);
    }
    /// How long a task of it runs, by its owner's estimate and what such estimates were worth.
    [[nodiscard]] Duration runTime(const JobSpec& s) const {
        return fromSeconds(s.estimateS * biasOf(s.jobClass));
    }

    void setCatalogue(fleet::Catalogue catalogue);
    [[nodiscard]] const fleet::Catalogue& catalogue() const { return catalogue_; }
    /// Where a machine stands, known from now on if it was not.
    MachineIndex indexOf(const std::string& machine) { return machines_.indexOf(machine); }
    [[nodiscard]] const workers::Registry& machines() const { return machines_; }
    [[nodiscard]] const std::vector<Job*>& openJobs() const { return open_; }
    [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }
    /// Heard from recently enough to be worth placing work on.
    [[nodiscard]] bool fresh(const workers::Machine& m, TimePoint now) const;
    [[nodiscard]] Demand freeOn(const workers::Machine& m) const;
    Effects take() { return std::exchange(effects_, {}); }
    /// Machines looked at so far by placement and its indices: it follows what changes.
    [[nodiscard]] std::uint64_t looks() const { return looks_; }
    /// Empty if every index agrees with a plain recount; else what does not. For tests.
    [[nodiscard]] std::string check();

  private:
    /// The longest a worker may still hold a lease that was renewed then, by our clock.
    [[nodiscard]] TimePoint leaseEnd(TimePoint renewed) const;
    void touch(Job& job, std::uint32_t task, state::Urgency urgency);
    void touchHead(Job& job, state::Urgency urgency);
    [[nodiscard]] std::string encoded(const Job& job, const jobs::RecordName& name) const;
    [[nodiscard]] std::optional<state::Encoded> encodeTasks(Job& job, const jobs::RecordName& name);
    void restore();
    /// Writes the description in records beside the job, which come before it.
    void spread(Job& job);
    Job& add(std::unique_ptr<Job> job);

    // Chains
    void restoreChains();
    void joinChain(const Job& job);
    /// A job that was submitted waits, may start, or is cancelled with another, as its needs stand.
    void enterChain(Job& job);
    /// Carries out what follows from what stands by now.
    void followChains(TimePoint now);
    void unhold(Job& job);
    void release(Job& job, TimePoint now);
    void cancelWith(Job& job, const JobId& with);
    void heed(Job& job);
    [[nodiscard]] TimePoint releaseAfter(const Job& job, TimePoint now, unsigned stages) const;
    [[nodiscard]] TimePoint doneExpected(const Job& job, TimePoint now, unsigned stages) const;
    void foresee(const Job& job, Duration lead);
    [[nodiscard]] Ends endsOf(const Job& job) const;
    void learnTakes(TimePoint now);
    void bind(Job& job, std::uint32_t task, MachineIndex machine,
              std::vector<cells::CellIndex> cells = {});
    void finish(Job& job, std::uint32_t task);
    void unbind(Job& job, std::uint32_t task);
    /// Makes withdrawals final that can be told now; those that have to wait are put on record.
    void settleWithdrawn(TimePoint now);
    [[nodiscard]] bool tellable(const Job& job, TimePoint now) const;
    void opened(Job& job);
    void closed(Job& job);
    /// Lists the job among those with tasks to place, or strikes it off.
    void listWaiting(Job& job);
    workers::Charge& charge(MachineIndex machine, workers::Charge charge);
    /// Tells a task to stop, and the rest of its gang with it: without one member it does no work.
    void stop(Job& job, std::uint32_t task);
    /// Stops what saves its progress before the machine is lost at `until`.
    void saveBefore(MachineIndex machine, TimePoint until, TimePoint now);
    void attend(MachineIndex machine, TimePoint now);
    void attendAt(MachineIndex machine, TimePoint at);
    void changed(MachineIndex machine);
    /// Makes the offers of changed machines anew.
    void settle();
    [[nodiscard]] bool open(const workers::Machine& m) const;
    [[nodiscard]] bool reportsFit(const workers::Machine& m) const;
    [[nodiscard]] Offer offerOf(MachineIndex machine) const;
    bool owns(const workers::Charge& c, MachineIndex machine) const;
    void release(MachineIndex machine, std::size_t charge);
    void releaseAll(MachineIndex machine);
    void setPhase(Job& job, JobTask& task, Phase phase, TimePoint now);
    void seen(MachineIndex machine, const workers::ReportedTask& t, TimePoint now);
    void exited(MachineIndex machine, const workers::ReportedTask& t, TimePoint now);
    /// Whether the machine hears what it is answered, by a newer beat of its.
    void heeds(MachineIndex machine, TimePoint now);
    void calledDeaf(MachineIndex machine, const char* why, TimePoint now);
    /// Whether its reports should have come by now.
    void answeredInsteadOfReporting(MachineIndex machine, TimePoint now);
    void failed(workers::Machine& m, MachineIndex index, Job& job, TimePoint now);
    /// A gang starts once all of its bindings stand.
    bool allBound(const Job& job) const;
    bool mustStop(const workers::Charge& c) const;
    std::vector<workers::Order> orders(MachineIndex machine, bool direct);

    // Cells
    cells::Pool* poolOf(const workers::Machine& m);
    [[nodiscard]] std::uint32_t slotsFor(const JobSpec& s, const std::string& type) const;
    void enterPool(MachineIndex machine);
    void chargeCells(workers::Charge& c, MachineIndex machine);
    void freeCells(const workers::Charge& c, MachineIndex machine);
    std::optional<std::vector<cells::CellIndex>> cellsOn(
        cells::Pool& pool, const std::string& team, std::uint32_t slots,
        const std::function<bool(MachineIndex)>& usable);
    [[nodiscard]] bool withinGuarantee(const Job& job) const;
    bool placeGuaranteed(Job& job, std::uint32_t task, TimePoint now);
    [[nodiscard]] double weightOf(const std::string& team) const;

    // Placement
    [[nodiscard]] double biasOf(const std::string& jobClass) const;
    [[nodiscard]] bool typeAllowed(const JobSpec& s, const std::string& type) const;
    struct Share {
        Demand demand;
        std::uint32_t tasks = 0;
    };
    using Planned = std::unordered_map<MachineIndex, Share>;  // chosen in this pass, not bound yet
    [[nodiscard]] bool allowed(const Job& job, const std::string& type, const std::string& zone,
                               bool spot, const Planned& planned) const;
    [[nodiscard]] bool allowed(const Job& job, const workers::Machine& m) const {
        return allowed(job, m.type, m.zone, m.spot, {});
    }
    [[nodiscard]] double fetchTime(const JobSpec& s, const std::string& type) const;
    [[nodiscard]] double startDelay(const JobSpec& s, const workers::Machine& m) const;
    /// Room is kept on machines that have such a class's images: its next tasks start at once.
    [[nodiscard]] bool wantsWarm(const JobSpec& s) const;
    MachineIndex pick(const Job& job, const Planned& planned, TimePoint now) const;
    struct Entry {
        Turn turn;
        Job* job;
    };
    /// Jobs of one rank in the order in which they are to be placed.
    [[nodiscard]] std::vector<Entry> inOrder(const std::vector<Job*>& jobs, TimePoint now) const;
    /// Cores that tasks of a rank give back each second, by their run times.
    void measurePace(TimePoint now);
    bool placeGang(Job& job, TimePoint now);
    [[nodiscard]] bool placeable(const Job& job, MachineIndex machine, TimePoint now) const;
    /// What is free on it when all that has been told to stop has gone.
    [[nodiscard]] Demand roomOnceStopped(const workers::Machine& m) const;
    /// Stops work on the machine until the job's task fits; false if that is not enough.
    bool makeRoom(const Job& job, MachineIndex machine,
                  const std::function<bool(const workers::Charge&)>& victim);
    /// Stops lower-ranking work until there will be room for `tasks` of the job.
    void preemptFor(const Job& job, std::uint32_t tasks, TimePoint now);
    [[nodiscard]] bool mayPreempt(Priority rank, const workers::Charge& c) const;
    [[nodiscard]] bool withinLimit(const Job& job) const;

    const settings::Settings& settings_;
    settings::Operator operator_;
    FencingToken token_;
    fleet::Catalogue catalogue_;
    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> open_;  // but for those that wait for others
    chains::Graph chains_;
    JobSet held_;
    std::map<std::string, double> takesAt_;  // bias by class, as the chains reckon with it
    TimePoint learntAt_{};
    std::map<std::string, std::deque<Duration>> leads_;  // by class, of the last few jobs
    /// Records by key that were read before what they belong to; they are applied in the end.
    std::map<std::string, std::string> read_;
    std::set<JobId> unreadable_;
    std::size_t valueBytes_;           // what a value is to fit into
    bool parted_ = false;              // every reader knows parts
    std::set<std::string> oversized_;  // keys that wait for that
    WallMillis wall_{};                // when records were read
    std::set<Job*> withdrawn_;         // that are not final, or may still run somewhere
    delegation::Delegator* delegator_ = nullptr;
    std::set<std::string> away_;
    workers::Registry machines_;
    std::map<std::string, cells::Pool> pools_;  // by machine type
    /// Machine cells that a team's tasks share: bound with the first, returned with the last.
    struct Shared {
        std::string team;
        std::uint32_t used = 0, tasks = 0;
    };
    std::map<std::pair<std::string, cells::CellIndex>, Shared> shared_;
    std::unordered_map<std::string, Demand> guaranteedUse_;
    std::unordered_map<std::string, Demand> teamUse_;  // of everything possibly running
    std::vector<Job*> waiting_;                        // jobs with tasks to place
    Room room_;
    std::vector<MachineIndex> changed_;
    std::set<std::pair<TimePoint, MachineIndex>> agenda_;  // by Machine::attendAt
    TimePoint now_{};
    /// Room that is being made, and for whom: dropped when nothing on the machine is stopping.
    std::multimap<MachineIndex, const Job*> promises_;
    bool newWork_ = false;  // something waits that no pass has seen yet
    std::uint64_t gainsSeen_ = 0;
    std::array<double, 4> pace_{};  // by rank
    TimePoint pacedAt_{};
    TimePoint lastPass_{};
    mutable std::uint64_t looks_ = 0;
    std::unordered_map<std::string, double> bias_;  // log of run time over estimate, by class
    Effects effects_;
};

}  // namespace basaltchute::scheduler
