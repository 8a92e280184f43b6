#pragma once
// The leader's view of the cluster, and every scheduling decision.
//
// Owns: the jobs, the machines with their allocations, the dependency graph, and the indices over
// them (open, blocked and waiting jobs; timers; capacity), together with the parts that have a
// state of their own: `Quota`, `RuntimeEstimates`, `CapacityIndex`. Guarantees: does no input or
// output and reads no clock. Inputs are records, requests, status reports and the passing of time;
// outputs are `Effects` and commands. An allocation keeps its resources until there is proof that
// its attempt is not on the machine; a task is launched only once its binding is on record; every
// index agrees with a recount (`findInconsistency`). Called by: the leader's term
// (`controller::LeaderTerm`) and, mostly reading, the autoscaler.
//
// The implementation is split by task: job_lifecycle (submit, cancel, finish), allocations
// (bind, stop, release, timers), reconciliation (status reports), commands (what a machine is
// told), dependency_tracking, placement, preemption, reservations, free_capacity, persistence
// (records).
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaler/catalogue.h"
#include "dependencies/dependency_graph.h"
#include "jobs/job.h"
#include "json/json.h"
#include "kv_store/transaction_writer.h"
#include "lease_delegation/delegator.h"
#include "scheduler/capacity_index.h"
#include "scheduler/queue_order.h"
#include "scheduler/quota.h"
#include "scheduler/runtime_estimates.h"
#include "settings/operator_settings.h"
#include "settings/settings.h"
#include "worker_api/machine.h"

namespace basaltchute::scheduler {

/// What the caller has to do after an input: values, so that tests can look at them.
struct Effects {
    std::vector<std::pair<std::string, kv_store::WritePriority>> dirtyRecords;  // by key, to write
    std::set<MachineIndex> machinesToCommand;  // machines with commands worth sending at once
    std::set<MachineIndex>
        machinesToProbe;  // possibly inbound-partitioned: whether they answer a request
};

/// Anything but `accepted` and `alreadyKnown` is the submitter's error.
enum class SubmitResult {
    accepted,
    alreadyKnown,
    unknownTeam,
    fitsNoMachine,
    overTeamLimit,
    contradictoryPlacement
};

class Cluster {
  public:
    /// `token`: of this leader; commands of leaders with lower ones are fenced by workers that have
    /// seen it. The settings must live as long as the cluster.
    Cluster(const settings::Settings& settings, FencingToken token);
    Cluster(const Cluster&) = delete;  // its parts refer to each other
    Cluster& operator=(const Cluster&) = delete;
    ~Cluster() = default;
    void setOperatorSettings(const settings::OperatorSettings& settings) { operator_ = settings; }
    [[nodiscard]] const settings::OperatorSettings& operatorSettings() const { return operator_; }
    [[nodiscard]] const std::map<std::string, cells::CellPool>& pools() const {
        return quota_.pools();
    }

    // Records
    /// To be called with each record under both prefixes of jobs, in any order; false if the record
    /// is malformed.
    bool loadRecord(const std::string& key, const std::string& data, TimePoint now,
                    WallMillis wall);
    /// All records have been loaded.
    void finishLoading(TimePoint now);
    /// A record of that job cannot be read: the job is known to exist, and no more than that. No
    /// task of it starts, and nobody is told that it does not exist.
    [[nodiscard]] bool isUnreadable(const JobId& id) const { return unreadableJobs_.contains(id); }
    /// The record to write under the key now. Nothing if what it held is to be written under other
    /// keys, or cannot be written now.
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encode(const std::string& key);
    /// That version of the record is durable.
    void onRecordCommitted(const std::string& key, std::uint64_t version);
    /// The state service does not take a value of that size.
    void onRecordTooLarge(const std::string& key, std::size_t bytes);
    /// Records that a version without dependencies and record pages cannot read may be written from
    /// now on.
    void enableRecordPages();
    /// Some record waits for that.
    [[nodiscard]] bool needsRecordPages() const { return !oversizedKeys_.empty(); }

    // Jobs
    /// Nullptr if there is no such job.
    [[nodiscard]] Job* find(const JobId& id);
    SubmitResult submit(const JobSpec& spec, TimePoint now, WallMillis wall);
    /// What is wrong with a dependency that a submission names.
    struct DependencyError {
        enum class Kind { none, self, unknown, isService, notYetAccepted } kind = Kind::none;
        JobId job;
    };
    [[nodiscard]] DependencyError checkDependencies(const JobSpec& spec) const;
    [[nodiscard]] const dependencies::DependencyGraph& dependencyGraph() const {
        return dependencies_;
    }
    struct JobIdLess {
        bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
    };
    using JobSet = std::set<Job*, JobIdLess>;
    /// Jobs that wait for their dependencies.
    [[nodiscard]] const JobSet& blockedJobs() const { return blocked_; }
    /// No task of it starts any more, and all are stopped. The cancellation is committed, and may
    /// be acknowledged, once whatever may still run ends within the time that users are promised.
    void cancel(Job& job, TimePoint now);
    /// A user is being told that the job is cancelled: what may still run must end from then on
    /// within `cancelWithin`.
    void acknowledgeCancellation(Job& job, TimePoint now) {
        if (!job.acknowledgedAt) job.acknowledgedAt = now;
    }
    /// How long until a cancellation that cannot be acknowledged yet can be, unless it is proven
    /// earlier that nothing runs.
    [[nodiscard]] Duration timeUntilAcknowledgeable(const Job& job, TimePoint now) const;

    // Estimates
    /// From the job's release until its last task is done.
    [[nodiscard]] Duration estimatedDuration(const JobSpec& spec) const;
    /// When a blocked job will be released, by the same estimates; far off if that takes many
    /// stages.
    [[nodiscard]] TimePoint expectedRelease(const Job& job, TimePoint now) const;
    /// What is left until a blocked job could not be over in time any more, by the estimates;
    /// nothing if neither it nor its dependents have a deadline.
    [[nodiscard]] std::optional<Duration> slack(const Job& job, TimePoint now) const;
    /// How long before their release four of five recent jobs of the class were known; zero if
    /// none of them had dependencies.
    [[nodiscard]] Duration arrivalLeadTime(const std::string& jobClass) const {
        return estimates_.arrivalLeadTime(jobClass);
    }
    /// How long one task of the job runs, by its owner's estimate and the bias of its class.
    [[nodiscard]] Duration estimatedRunTime(const JobSpec& spec) const {
        return estimates_.estimatedRunTime(spec);
    }

    // Lease delegation
    /// What was delegated to zones; it must live as long as the cluster.
    void setDelegator(lease_delegation::Delegator& delegator) { delegator_ = &delegator; }
    /// How late a delegate in the zone may answer workers for the leader: not so late that a task
    /// whose job's cancellation was acknowledged, and that is not proven gone, could outlive its
    /// time.
    [[nodiscard]] TimePoint latestDelegationEnd(const std::string& zone, TimePoint now) const;
    /// When everything on the machine has surely been killed with its lease, if no report comes.
    [[nodiscard]] TimePoint possiblyRunningUntil(const worker_api::Machine& m, TimePoint now) const;
    /// How long a lease lasts that nothing renews any more: from the last report that was answered;
    /// perhaps no longer, if that was by a former leader.
    [[nodiscard]] TimePoint leaseEndWithoutRenewal(const worker_api::Machine& m,
                                                   TimePoint now) const;
    /// A zone that is cut off together with its controllers gets no more work until it is back.
    void setZoneUnreachable(const std::string& zone, bool away);
    [[nodiscard]] bool isZoneUnreachable(const std::string& zone) const {
        return unreachableZones_.contains(zone);
    }

    // Machines
    /// The commands for the heartbeat's response; to be called before anything is answered.
    std::vector<worker_api::Command> onHeartbeat(const worker_api::StatusReport& report,
                                                 TimePoint now);
    enum class ReportSource { heartbeat, commandResponse };
    void onStatusReport(const worker_api::StatusReport& report, ReportSource source, TimePoint now);
    /// The commands to send to the machine now, if no direct request to it is in flight.
    std::vector<worker_api::Command> takeDirectCommands(MachineIndex machine, TimePoint now);
    /// `unanswered`: some copy of the request left and may be executed yet.
    void onDirectCommandEnded(MachineIndex machine, bool unanswered);
    /// The machine was unresponsive and has not answered a probe either.
    void onProbeUnanswered(MachineIndex machine) { ++machines_[machine].unansweredProbes; }
    /// Where a machine that has not reported yet can be probed, by the cloud's list.
    void setAddress(MachineIndex machine, const std::string& address, const std::string& zone) {
        worker_api::Machine& m = machines_[machine];
        m.listedZone = zone;
        if (!m.up()) m.address = address;
    }
    /// The cloud has deleted the machine.
    void onMachineDeleted(MachineIndex machine, TimePoint now);
    /// The machine is to be terminated, or is wanted again after all.
    void setDraining(MachineIndex machine, bool draining);
    /// Does what the passing of time asks for: leases that ran out, spot interruptions, back-offs
    /// that end.
    void advanceTo(TimePoint now);
    /// The index of the machine, known from now on if it was not.
    MachineIndex indexOf(const std::string& machine) { return machines_.indexOf(machine); }
    [[nodiscard]] const worker_api::MachineRegistry& machines() const { return machines_; }
    /// Reported recently enough to be worth placing work on.
    [[nodiscard]] bool isResponsive(const worker_api::Machine& m, TimePoint now) const;
    /// Beside everything that is possibly on it.
    [[nodiscard]] Resources freeCapacityOn(const worker_api::Machine& m) const;
    void setCatalogue(autoscaler::Catalogue catalogue);
    [[nodiscard]] const autoscaler::Catalogue& catalogue() const { return catalogue_; }

    // Placement
    /// Decides what runs where, for `most` tasks at a time; true if there is more to decide. Safe
    /// to call at any time.
    bool place(TimePoint now, std::size_t most = SIZE_MAX);
    /// Whether placing could achieve anything that the last time could not.
    [[nodiscard]] bool hasPlaceableWork();
    /// Moves a replica off a machine that is to be terminated, if another one that has its image
    /// has the capacity: stopped and started again it is away for a moment only.
    void migrateReplica(MachineIndex machine, TimePoint now);
    /// Stops opportunistic work on a machine that is to be terminated, if it writes checkpoints.
    void stopOpportunisticTasks(MachineIndex machine);
    /// How urgently a waiting job has to start.
    [[nodiscard]] SchedulingPriority schedulingPriority(const Job& job, TimePoint now) const {
        return scheduler::schedulingPriority(job, settings_.objectives, estimatedRunTime(job.spec),
                                             now);
    }
    /// Runs on what others leave idle: low priority, beyond its team's reservation, and it ends.
    [[nodiscard]] bool isOpportunistic(const Job& job) const {
        return job.effectivePriority == Priority::low && job.spec.shape != Shape::service &&
               !quota_.withinReservation(job.spec);
    }

    /// All but blocked ones.
    [[nodiscard]] const std::vector<Job*>& openJobs() const { return openJobs_; }
    [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }
    Effects takeEffects() { return std::exchange(effects_, {}); }
    /// Machines that placement and its indices have looked at so far: the cost of a decision
    /// follows what changes, not the size of the cluster. For tests.
    [[nodiscard]] std::uint64_t visitedMachines() const { return visitedMachines_; }
    /// Empty if every index agrees with a recount; else what does not. For tests.
    [[nodiscard]] std::string findInconsistency();

  private:
    // Persistence
    void markTaskDirty(Job& job, std::uint32_t task, kv_store::WritePriority priority);
    void markHeadDirty(Job& job, kv_store::WritePriority priority);
    [[nodiscard]] std::string encodeRecord(const Job& job, const jobs::RecordName& name) const;
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encodeTasks(Job& job,
                                                                     const jobs::RecordName& name);
    /// Applies the records that were read before what they belong to.
    void restoreDeferredRecords();
    void markUnreadable(const jobs::RecordName& name);
    /// Adds a job whose description is in records of its own; false if it is malformed.
    bool addFromTexts(const jobs::RecordName& name, const json::Document& doc,
                      const std::map<std::string, std::string>& records);
    void applyRecord(const jobs::RecordName& name, const json::Document& doc);
    void restoreCounts();
    void restoreAllocations(Job& job);
    /// Writes the job's description in records beside the job, which come before it.
    void splitHead(Job& job);
    Job& add(std::unique_ptr<Job> job);

    // Dependencies
    void restoreDependencies();
    void restoreDependent(const dependencies::DependentJob& dependent);
    void addToDependencyGraph(const Job& job);
    /// Whether a submitted job is blocked, may start, or is cancelled with another.
    void resolveDependencies(Job& job);
    /// Carries out what follows from the outcomes that are on record by now.
    void applyDependencyChanges(TimePoint now);
    void unblock(Job& job);
    /// All its dependencies are done.
    void releaseBlocked(Job& job, TimePoint now);
    void cancelWithDependency(Job& job, const JobId& dependency);
    void applyInheritedUrgency(Job& job);
    [[nodiscard]] TimePoint expectedReleaseAfter(const Job& job, TimePoint now,
                                                 unsigned stages) const;
    [[nodiscard]] TimePoint expectedEnd(const Job& job, TimePoint now, unsigned stages) const;
    [[nodiscard]] Deadlines deadlinesOf(const Job& job) const;
    /// Hands the dependency graph new durations where the estimates have moved far enough.
    void refreshBlockedDurations(TimePoint now);

    // Job lifecycle
    void onJobOpened(Job& job);
    void onJobClosed(Job& job);
    /// Lists the job among those with tasks to place, or removes it from them.
    void listWaiting(Job& job);
    void setPhase(Job& job, JobTask& task, TaskPhase phase, TimePoint now);
    void finish(Job& job, std::uint32_t task);
    /// Commits cancellations that may be acknowledged now; the record says of those that have to
    /// wait for long that they are being cancelled.
    void commitCancellations(TimePoint now);
    [[nodiscard]] bool cancellationAcknowledgeable(const Job& job, TimePoint now) const;

    // Allocations
    void bind(Job& job, std::uint32_t task, MachineIndex machine,
              std::vector<cells::CellIndex> cells = {});
    void unbind(Job& job, std::uint32_t task);
    worker_api::Allocation& allocate(MachineIndex machine, worker_api::Allocation allocation);
    void releaseAllocation(MachineIndex machine, std::size_t position);
    void releaseAll(MachineIndex machine);
    /// Whether the allocation is the one that its task is bound by.
    [[nodiscard]] bool ownsAllocation(const worker_api::Allocation& allocation,
                                      MachineIndex machine) const;
    /// Stops a task, and the rest of its gang with it: without one member it does no work.
    void stop(Job& job, std::uint32_t task);
    void stopMember(Job& job, std::uint32_t task);
    using TaskList = std::vector<std::pair<Job*, std::uint32_t>>;
    /// Stopping changes the allocations that the tasks were found in: first find, then stop.
    void stopAll(const TaskList& tasks);

    // Timers
    /// The longest that an agent may still hold a lease that was renewed then, by our clock.
    [[nodiscard]] TimePoint leaseEnd(TimePoint renewed) const;
    void scheduleTimer(MachineIndex machine, TimePoint at);
    void runTimers(MachineIndex machine, TimePoint now);
    void releaseExpired(MachineIndex machine, TimePoint now);
    /// Stops what writes checkpoints before the machine is lost at `until`.
    void checkpointBefore(MachineIndex machine, TimePoint until, TimePoint now);

    // Reconciliation, a step each
    void onFirstReport(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// The agent began anew: whatever the former incarnation ran is gone.
    void onNewIncarnation(MachineIndex machine, TimePoint now);
    void takeLateResults(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    void noteContact(MachineIndex machine, ReportSource source, TimePoint now);
    void noteInterruption(MachineIndex machine, Duration notice, TimePoint now);
    void reconcileTasks(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// Releases allocations that the report proves absent by not listing them.
    void releaseUnreported(MachineIndex machine, const worker_api::StatusReport& r,
                           ReportSource source);
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

    // Capacity
    void markCapacityDirty(MachineIndex machine);
    void markCapacityDirty(const std::vector<MachineIndex>& machines);
    /// Brings the capacity index up to date with the machines that have changed.
    void refreshCapacities();
    [[nodiscard]] bool acceptsWork(const worker_api::Machine& m) const;
    [[nodiscard]] bool reportFitsOneMore(const worker_api::Machine& m) const;
    [[nodiscard]] FreeCapacity freeCapacityFor(MachineIndex machine) const;
    [[nodiscard]] std::string findCapacityInconsistency() const;
    [[nodiscard]] std::string findUseInconsistency() const;
    using TasksPerZone = std::map<std::string, std::uint32_t>;
    [[nodiscard]] std::string findJobInconsistency(Job& job, const TasksPerZone& recounted) const;

    // Reservations
    /// Lists a machine that has come up in the cells of its type, with what is bound on it.
    void enterPool(MachineIndex machine);
    bool placeInReservation(Job& job, std::uint32_t task, TimePoint now);

    // Placement
    struct PlannedShare {
        Resources demand;
        std::uint32_t tasks = 0;
    };
    using Planned =
        std::unordered_map<MachineIndex, PlannedShare>;  // chosen in this pass, not bound yet
    /// Whether the job's constraints allow a machine of that kind.
    [[nodiscard]] bool allowed(const Job& job, const std::string& type, const std::string& zone,
                               bool spot, const Planned& planned) const;
    [[nodiscard]] bool allowed(const Job& job, const worker_api::Machine& m) const {
        return allowed(job, m.type, m.zone, m.spot, {});
    }
    /// Whether the machine is open, and the job has not failed there lately.
    [[nodiscard]] bool placeable(const Job& job, MachineIndex machine, TimePoint now) const;
    /// Whether one more task of the job fits beside what is planned and what the machine's capacity
    /// is kept or reclaimed for.
    [[nodiscard]] bool hasCapacityFor(const Job& job, MachineIndex machine, const Planned& planned,
                                      TimePoint now) const;
    [[nodiscard]] double imageFetchTime(const JobSpec& s, const std::string& type) const;
    [[nodiscard]] double startDelay(const JobSpec& s, const worker_api::Machine& m) const;
    /// Capacity is kept free on machines that have such a class's images: its next tasks start at
    /// once.
    [[nodiscard]] bool wantsWarmCapacity(const JobSpec& s) const;
    /// The machine on which one more task of the job costs least; `noMachine` if it fits on none.
    [[nodiscard]] MachineIndex chooseMachine(const Job& job, const Planned& planned,
                                             TimePoint now) const;
    /// Waiting jobs of each team, the next one last.
    using TeamQueues = std::map<std::string, std::vector<Job*>>;
    [[nodiscard]] TeamQueues queuesByTeam(const std::vector<Job*>& waiting, TimePoint now) const;
    /// Places jobs of one rank; true if the budget ran out first.
    bool placeRank(const std::vector<Job*>& waiting, std::size_t& budget, TimePoint now);
    /// Places a task of the job, or all of a gang; false if the job cannot go on in this pass.
    bool placeNext(Job& job, TimePoint now);
    bool placeGang(Job& job, TimePoint now);

    // Preemption
    /// What has to be stopped on a machine so that one more task fits.
    struct PreemptionPlan {
        MachineIndex machine = noMachine;
        std::vector<std::size_t> victims;  // positions among the machine's allocations
        double loss = std::numeric_limits<double>::infinity();  // seconds of work and delay
    };
    /// What is free on it when everything that has been told to stop has gone.
    [[nodiscard]] Resources capacityOnceStopped(const worker_api::Machine& m) const;
    /// The same, less what is reclaimed for other jobs or planned for this one.
    [[nodiscard]] Resources capacityOnceStoppedFor(const Job& job, MachineIndex machine,
                                                   const Planned& planned) const;
    [[nodiscard]] bool mayPreempt(Priority rank, const worker_api::Allocation& allocation) const;
    /// Nothing if it is not enough, or loses as much as `best`.
    [[nodiscard]] std::optional<PreemptionPlan> planPreemption(const Job& job, MachineIndex machine,
                                                               const Planned& planned,
                                                               const PreemptionPlan& best,
                                                               TimePoint now) const;
    /// The plan that loses least, among the machines that are compared.
    [[nodiscard]] PreemptionPlan cheapestPreemption(const Job& job, const Planned& planned,
                                                    TimePoint now) const;
    /// Stops lower-ranking work until there will be capacity for `tasks` of the job.
    void preemptFor(const Job& job, std::uint32_t tasks, TimePoint now);
    /// Stops victims on the machine until the job's task fits; false if it does not fit yet.
    bool reclaimCapacity(const Job& job, MachineIndex machine,
                         const std::function<bool(const worker_api::Allocation&)>& victim);

    const settings::Settings& settings_;
    settings::OperatorSettings operator_;
    FencingToken token_;
    autoscaler::Catalogue catalogue_;
    Quota quota_{settings_, operator_, catalogue_};
    RuntimeEstimates estimates_;
    TimePoint now_{};  // of the latest input

    // Jobs
    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> openJobs_;  // without blocked ones
    std::vector<Job*> waiting_;   // with tasks to place
    JobSet blocked_;
    dependencies::DependencyGraph dependencies_;
    std::set<Job*> cancellations_;  // not committed, or possibly still running somewhere
    lease_delegation::Delegator* delegator_ = nullptr;

    // Machines
    worker_api::MachineRegistry machines_;
    std::set<std::string> unreachableZones_;
    std::set<std::pair<TimePoint, MachineIndex>> timers_;  // by Machine::timerAt

    // Placement
    CapacityIndex capacityIndex_;
    std::vector<MachineIndex> capacityDirty_;
    /// Capacity that is being reclaimed, and for whom: dropped when nothing on the machine is
    /// stopping.
    std::multimap<MachineIndex, const Job*> reclaimedFor_;
    bool hasNewWork_ = false;  // something waits that no pass has seen yet
    std::uint64_t increasesSeen_ = 0;
    TimePoint lastPass_{};
    mutable std::uint64_t visitedMachines_ = 0;

    // Persistence
    /// Records by key that were read before what they belong to; they are applied in the end.
    std::map<std::string, std::string> deferredRecords_;
    std::set<JobId> unreadableJobs_;
    std::size_t valueBytes_;               // what a value is to fit into
    bool supportsPages_ = false;           // every reader knows record pages
    std::set<std::string> oversizedKeys_;  // keys that wait for that
    WallMillis wall_{};                    // when records were read

    Effects effects_;
};

}  // namespace basaltchute::scheduler
