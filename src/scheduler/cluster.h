#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaler/catalogue.h"
#include "dependencies/dependency_graph.h"
#include "jobs/job.h"
#include "kv_store/transaction_writer.h"
#include "lease_delegation/delegator.h"
#include "scheduler/capacity_index.h"
#include "scheduler/queue_order.h"
#include "scheduler/quota.h"
#include "scheduler/runtime_estimates.h"
#include "settings/operator.h"
#include "settings/settings.h"
#include "worker_api/machine.h"

namespace basaltchute::scheduler {

/// What the outside has to do after an input: values, so that tests can look at them.
struct Effects {
    std::vector<std::pair<std::string, kv_store::WritePriority>> dirtyRecords;
    std::set<MachineIndex> sendCommands;  // machines with orders worth sending at once
    std::set<MachineIndex> probe;         // that may not hear: whether they answer a question
};

enum class SubmitResult {
    accepted,
    alreadyKnown,
    unknownTeam,
    fitsNoMachine,
    overTeamLimit,
    contradictoryPlacement
};

/// All that a leader knows: jobs, machines, and what is possibly where. Pure: inputs are
/// reports, requests and the passing of time, outputs are Effects and orders.
class Cluster {
  public:
    Cluster(const settings::Settings& settings, FencingToken token);
    Cluster(const Cluster&) = delete;  // its parts refer to each other
    Cluster& operator=(const Cluster&) = delete;
    ~Cluster() = default;
    void setOperator(const settings::Operator& settings) { operator_ = settings; }
    [[nodiscard]] const settings::Operator& operatorSettings() const { return operator_; }
    [[nodiscard]] const std::map<std::string, cells::Pool>& pools() const { return quota_.pools(); }

    // Records
    /// All records under both prefixes of jobs, in any order; false if this one is malformed.
    bool load(const std::string& key, const std::string& data, TimePoint now, WallMillis wall);
    void loaded(TimePoint now);
    /// Something stands about that job that cannot be read: it is known, and no more than that. No
    /// task of it starts, and nobody is told that it is not there.
    [[nodiscard]] bool unreadable(const JobId& id) const { return unreadableJobs_.contains(id); }
    /// Nothing if what it held is to be written under other keys, or cannot be written now.
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encode(const std::string& key);
    void committed(const std::string& key, std::uint64_t version);
    /// The state service does not take a value of that size.
    void tooLarge(const std::string& key, std::size_t bytes);
    /// Records that a version without chains and parts cannot read may be written from now on.
    void enablePages();
    /// Something waits for that.
    [[nodiscard]] bool needsPages() const { return !oversizedKeys_.empty(); }

    // Users
    [[nodiscard]] Job* find(const JobId& id);
    SubmitResult submit(const JobSpec& spec, TimePoint now, WallMillis wall);
    /// What is wrong with a job that a submission says it needs.
    struct DependencyError {
        enum class Kind { none, self, unknown, isService, undecided } kind = Kind::none;
        JobId job;
    };
    [[nodiscard]] DependencyError checkDependencies(const JobSpec& spec) const;
    [[nodiscard]] const dependencies::DependencyGraph& dependencyGraph() const {
        return dependencies_;
    }
    /// Jobs that wait for others.
    struct JobIdLess {
        bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
    };
    using JobSet = std::set<Job*, JobIdLess>;
    [[nodiscard]] const JobSet& blockedJobs() const { return blocked_; }
    /// From its release until its last task is done, as estimated.
    [[nodiscard]] Duration estimatedDuration(const JobSpec& spec) const;
    /// When a job that waits for others will be released, by the same estimates; far off if that
    /// takes many stages.
    [[nodiscard]] TimePoint expectedRelease(const Job& job, TimePoint now) const;
    /// What is left until a job that waits could not be over in time any more, by the estimates;
    /// nothing if neither it nor what comes after it has a deadline.
    [[nodiscard]] std::optional<Duration> slack(const Job& job, TimePoint now) const;
    /// How long before their release four of five recent jobs of the class were known; zero if
    /// none of them had dependencies.
    [[nodiscard]] Duration arrivalLeadTime(const std::string& jobClass) const {
        return estimates_.arrivalLeadTime(jobClass);
    }
    /// How long one task of the job runs, by its owner's estimate and the bias of its class.
    [[nodiscard]] Duration runTime(const JobSpec& spec) const { return estimates_.runTime(spec); }
    /// No task of it starts any more, and all are stopped. It is final, and may be told, once
    /// whatever may still run ends within the time that users are promised.
    void cancel(Job& job, TimePoint now);
    /// A user is being told that the job is cancelled: what may still run must end from then on
    /// within `cancelWithin`.
    void acknowledgeCancellation(Job& job, TimePoint now) {
        if (!job.acknowledgedAt) job.acknowledgedAt = now;
    }
    /// How long until a withdrawal that cannot be told yet can be, unless it is proven earlier.
    [[nodiscard]] Duration timeUntilAcknowledgeable(const Job& job, TimePoint now) const;

    // Delegations
    /// What was lent to zones; it must live as long as the cluster.
    void setDelegator(lease_delegation::Delegator& delegator) { delegator_ = &delegator; }
    /// How late a holder in the zone may answer workers for the leader: not so late that a task
    /// whose job was told to be cancelled, and that is not proven gone, could outlive its time.
    [[nodiscard]] TimePoint delegationCap(const std::string& zone, TimePoint now) const;
    /// When what is on the machine has surely been killed with its lease, if nothing is heard.
    [[nodiscard]] TimePoint possiblyRunningUntil(const worker_api::Machine& m, TimePoint now) const;
    /// How long a lease lasts that nothing renews any more: from the last report that was answered;
    /// perhaps no longer, if that was by a former leader.
    [[nodiscard]] TimePoint leaseRenewedUntil(const worker_api::Machine& m, TimePoint now) const;
    /// A zone that is cut off with its controllers gets no more work until it is back.
    void setZoneAway(const std::string& zone, bool away);
    [[nodiscard]] bool isZoneAway(const std::string& zone) const {
        return awayZones_.contains(zone);
    }

    // Machines
    /// The orders that answer the report; to be called before anything is answered.
    std::vector<worker_api::Command> onHeartbeat(const worker_api::StatusReport& report,
                                                 TimePoint now);
    enum class Source { heartbeat, commandResponse };
    void onStatusReport(const worker_api::StatusReport& report, Source source, TimePoint now);
    std::vector<worker_api::Command> takeDirectCommands(MachineIndex machine, TimePoint now);
    /// `unanswered`: some copy of the orders left and may be executed yet.
    void onDirectCommandEnded(MachineIndex machine, bool unanswered);
    /// It was silent and has not answered when asked either.
    void onProbeUnanswered(MachineIndex machine) { ++machines_[machine].unansweredProbes; }
    /// Where a machine that has not reported yet can be asked, as the cloud lists it.
    void setAddress(MachineIndex machine, const std::string& address, const std::string& zone) {
        worker_api::Machine& m = machines_[machine];
        m.listedZone = zone;
        if (!m.up()) m.address = address;
    }
    void machineGone(MachineIndex machine, TimePoint now);
    /// The machine is to be returned, or is wanted again after all.
    void setDraining(MachineIndex machine, bool draining);
    /// Does what the passing of time asks for: leases that ran out, recalls, pauses that end.
    void advanceTo(TimePoint now);

    /// Decides what runs where, for `most` tasks at a time; true if there is more to decide.
    /// Safe to call at any time.
    bool place(TimePoint now, std::size_t most = SIZE_MAX);
    /// Whether placing could achieve anything that the last time could not.
    [[nodiscard]] bool hasPlaceableWork();
    /// Moves a replica off a machine that is to be returned, if another one that has its image
    /// has room: stopped and started again it is away for a moment only.
    void moveReplicas(MachineIndex machine, TimePoint now);
    /// Stops borrowing work on a machine that is to be returned, if it saves what it has done.
    void stopOpportunistic(MachineIndex machine);

    /// How urgently a waiting job has to start.
    [[nodiscard]] SchedulingPriority schedulingPriority(const Job& job, TimePoint now) const {
        return scheduler::schedulingPriority(job, settings_.objectives, runTime(job.spec), now);
    }
    /// Runs on what others leave idle: low priority, beyond its team's guarantee, and it ends.
    [[nodiscard]] bool isOpportunistic(const Job& job) const {
        return job.rank == Priority::low && job.spec.shape != Shape::service &&
               !quota_.withinReservation(job.spec);
    }

    void setCatalogue(autoscaler::Catalogue catalogue);
    [[nodiscard]] const autoscaler::Catalogue& catalogue() const { return catalogue_; }
    /// Where a machine stands, known from now on if it was not.
    MachineIndex indexOf(const std::string& machine) { return machines_.indexOf(machine); }
    [[nodiscard]] const worker_api::MachineRegistry& machines() const { return machines_; }
    [[nodiscard]] const std::vector<Job*>& openJobs() const { return openJobs_; }
    [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }
    /// Heard from recently enough to be worth placing work on.
    [[nodiscard]] bool isResponsive(const worker_api::Machine& m, TimePoint now) const;
    [[nodiscard]] Demand freeCapacityOn(const worker_api::Machine& m) const;
    Effects takeEffects() { return std::exchange(effects_, {}); }
    /// Machines looked at so far by placement and its indices: it follows what changes.
    [[nodiscard]] std::uint64_t visitedMachines() const { return visitedMachines_; }
    /// Empty if every index agrees with a plain recount; else what does not. For tests.
    [[nodiscard]] std::string findInconsistency();

  private:
    /// The longest a worker may still hold a lease that was renewed then, by our clock.
    [[nodiscard]] TimePoint leaseEnd(TimePoint renewed) const;
    void markTaskDirty(Job& job, std::uint32_t task, kv_store::WritePriority urgency);
    void markHeadDirty(Job& job, kv_store::WritePriority urgency);
    [[nodiscard]] std::string encodeRecord(const Job& job, const jobs::RecordName& name) const;
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encodeTasks(Job& job,
                                                                     const jobs::RecordName& name);
    void restore();
    /// Writes the description in records beside the job, which come before it.
    void splitHead(Job& job);
    Job& add(std::unique_ptr<Job> job);

    // Chains
    void restoreChains();
    void addToDependencyGraph(const Job& job);
    /// A job that was submitted waits, may start, or is cancelled with another, as its needs stand.
    void resolveDependencies(Job& job);
    /// Carries out what follows from what stands by now.
    void applyDependencyChanges(TimePoint now);
    void unblock(Job& job);
    void release(Job& job, TimePoint now);
    void cancelWithDependency(Job& job, const JobId& with);
    void applyInheritedUrgency(Job& job);
    [[nodiscard]] TimePoint expectedReleaseAfter(const Job& job, TimePoint now,
                                                 unsigned stages) const;
    [[nodiscard]] TimePoint expectedEnd(const Job& job, TimePoint now, unsigned stages) const;
    [[nodiscard]] Deadlines deadlinesOf(const Job& job) const;
    /// Hands the dependency graph new durations where the estimates have moved far enough.
    void refreshBlockedDurations(TimePoint now);
    void bind(Job& job, std::uint32_t task, MachineIndex machine,
              std::vector<cells::CellIndex> cells = {});
    void finish(Job& job, std::uint32_t task);
    void unbind(Job& job, std::uint32_t task);
    /// Makes withdrawals final that can be told now; those that have to wait are put on record.
    void settleCancellations(TimePoint now);
    [[nodiscard]] bool cancellationAcknowledgeable(const Job& job, TimePoint now) const;
    void onJobOpened(Job& job);
    void onJobClosed(Job& job);
    /// Lists the job among those with tasks to place, or strikes it off.
    void listWaiting(Job& job);
    worker_api::Allocation& allocate(MachineIndex machine, worker_api::Allocation charge);
    /// Tells a task to stop, and the rest of its gang with it: without one member it does no work.
    void stop(Job& job, std::uint32_t task);
    /// Stops what saves its progress before the machine is lost at `until`.
    void saveBefore(MachineIndex machine, TimePoint until, TimePoint now);
    void runTimers(MachineIndex machine, TimePoint now);
    void scheduleTimer(MachineIndex machine, TimePoint at);
    void markCapacityDirty(MachineIndex machine);
    /// Makes the offers of changed machines anew.
    void refreshCapacities();
    [[nodiscard]] bool acceptsWork(const worker_api::Machine& m) const;
    [[nodiscard]] bool reportFitsOneMore(const worker_api::Machine& m) const;
    [[nodiscard]] FreeCapacity freeCapacityFor(MachineIndex machine) const;
    bool ownsAllocation(const worker_api::Allocation& c, MachineIndex machine) const;
    void release(MachineIndex machine, std::size_t charge);
    void releaseAll(MachineIndex machine);
    void setPhase(Job& job, JobTask& task, Phase phase, TimePoint now);
    // Reconciliation, a step each
    void onFirstReport(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// The agent began anew: whatever the former incarnation ran is gone.
    void onNewIncarnation(MachineIndex machine, TimePoint now);
    void takeLateResults(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    void noteContact(MachineIndex machine, Source source, TimePoint now);
    void noteInterruption(MachineIndex machine, Duration notice, TimePoint now);
    void reconcileTasks(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// Releases allocations that the report proves absent by not listing them.
    void releaseUnreported(MachineIndex machine, const worker_api::StatusReport& r, Source source);
    void onTaskReported(MachineIndex machine, const worker_api::ReportedTask& t, TimePoint now);
    /// Allocates a reported attempt that is not known on this machine: the task's own from now on
    /// if it is waiting, else orphaned.
    worker_api::Allocation& adoptReported(MachineIndex machine, Job& job,
                                          const worker_api::ReportedTask& t);
    void onTaskExited(MachineIndex machine, const worker_api::ReportedTask& t, TimePoint now);
    /// A task ended with its result.
    void recordResult(Job& job, const worker_api::ReportedTask& t, TimePoint now);
    /// What an exit says of the machine and of the job.
    void applyExitCause(MachineIndex machine, const worker_api::Allocation& allocation,
                        worker_api::ExitCause cause, TimePoint now);
    /// Decides whether the job or the machine is at fault, and keeps it back.
    void onTaskFailed(MachineIndex machine, Job& job, TimePoint now);
    [[nodiscard]] bool hasHealthyTask(const Job& job, TimePoint now) const;
    /// Whether the machine acts on the responses to its heartbeats, by a newer heartbeat.
    void checkResponsesArrive(MachineIndex machine, TimePoint now);
    void noteLaunchesInResponse(MachineIndex machine,
                                const std::vector<worker_api::Command>& commands);
    void markInboundPartitioned(MachineIndex machine, const char* reason, TimePoint now);
    /// Whether its heartbeats should have arrived by now.
    void checkHeartbeatsArrive(MachineIndex machine, TimePoint now);

    // Commands
    enum class CommandChannel { heartbeatResponse, direct };
    /// Whether all tasks of a gang are bound or done, on record.
    [[nodiscard]] bool allTasksBound(const Job& job) const;
    /// Whether what has to be on record before the launch is.
    [[nodiscard]] bool mayLaunch(const worker_api::Allocation& allocation) const;
    [[nodiscard]] bool mustStop(const worker_api::Allocation& allocation) const;
    std::vector<worker_api::Command> commandsFor(MachineIndex machine, CommandChannel channel);
    void addForgets(const worker_api::Machine& m, std::vector<worker_api::Command>& out) const;
    void addStop(worker_api::Allocation& allocation, CommandChannel channel,
                 std::vector<worker_api::Command>& out);
    void addLaunch(worker_api::Allocation& allocation, CommandChannel channel,
                   std::vector<worker_api::Command>& out);

    // Cells
    /// Lists a machine that has come up in the cells of its type, with what is bound on it.
    void enterPool(MachineIndex machine);
    void markCapacityDirty(const std::vector<MachineIndex>& machines);
    bool placeInReservation(Job& job, std::uint32_t task, TimePoint now);

    // Placement
    struct PlannedShare {
        Demand demand;
        std::uint32_t tasks = 0;
    };
    using Planned =
        std::unordered_map<MachineIndex, PlannedShare>;  // chosen in this pass, not bound yet
    [[nodiscard]] bool allowed(const Job& job, const std::string& type, const std::string& zone,
                               bool spot, const Planned& planned) const;
    [[nodiscard]] bool allowed(const Job& job, const worker_api::Machine& m) const {
        return allowed(job, m.type, m.zone, m.spot, {});
    }
    [[nodiscard]] double imageFetchTime(const JobSpec& s, const std::string& type) const;
    [[nodiscard]] double startDelay(const JobSpec& s, const worker_api::Machine& m) const;
    /// Room is kept on machines that have such a class's images: its next tasks start at once.
    [[nodiscard]] bool wantsWarmCapacity(const JobSpec& s) const;
    MachineIndex chooseMachine(const Job& job, const Planned& planned, TimePoint now) const;
    bool placeGang(Job& job, TimePoint now);
    [[nodiscard]] bool placeable(const Job& job, MachineIndex machine, TimePoint now) const;
    /// What is free on it when all that has been told to stop has gone.
    [[nodiscard]] Demand capacityOnceStopped(const worker_api::Machine& m) const;
    /// Stops work on the machine until the job's task fits; false if that is not enough.
    bool reclaimCapacity(const Job& job, MachineIndex machine,
                         const std::function<bool(const worker_api::Allocation&)>& victim);
    /// Stops lower-ranking work until there will be room for `tasks` of the job.
    void preemptFor(const Job& job, std::uint32_t tasks, TimePoint now);
    [[nodiscard]] bool mayPreempt(Priority rank, const worker_api::Allocation& c) const;

    const settings::Settings& settings_;
    settings::Operator operator_;
    FencingToken token_;
    autoscaler::Catalogue catalogue_;
    Quota quota_{settings_, operator_, catalogue_};
    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> openJobs_;  // but for those that wait for others
    dependencies::DependencyGraph dependencies_;
    JobSet blocked_;
    RuntimeEstimates estimates_;
    /// Records by key that were read before what they belong to; they are applied in the end.
    std::map<std::string, std::string> unappliedRecords_;
    std::set<JobId> unreadableJobs_;
    std::size_t valueBytes_;               // what a value is to fit into
    bool supportsPages_ = false;           // every reader knows parts
    std::set<std::string> oversizedKeys_;  // keys that wait for that
    WallMillis wall_{};                    // when records were read
    std::set<Job*> cancellations_;         // that are not final, or may still run somewhere
    lease_delegation::Delegator* delegator_ = nullptr;
    std::set<std::string> awayZones_;
    worker_api::MachineRegistry machines_;
    std::vector<Job*> waiting_;  // jobs with tasks to place
    CapacityIndex capacityIndex_;
    std::vector<MachineIndex> capacityDirty_;
    std::set<std::pair<TimePoint, MachineIndex>> timers_;  // by Machine::attendAt
    TimePoint now_{};
    /// Room that is being made, and for whom: dropped when nothing on the machine is stopping.
    std::multimap<MachineIndex, const Job*> reclaimedFor_;
    bool hasNewWork_ = false;  // something waits that no pass has seen yet
    std::uint64_t increasesSeen_ = 0;
    TimePoint lastPass_{};
    mutable std::uint64_t visitedMachines_ = 0;
    Effects effects_;
};

}  // namespace basaltchute::scheduler
