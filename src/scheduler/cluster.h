#pragma once
// The leader's in-memory model of the cluster, and the scheduling decisions made on it.
//
// The cluster holds the jobs, the machines with their allocations, the dependency graph, the
// indices over them (open, blocked and waiting jobs; timers; free capacity) and three components
// with state of their own: `Quota`, `RuntimeEstimates` and `CapacityIndex`.
//
// It does no input or output and reads no clock: callers pass in records, requests, status reports
// and the current time, and get back `Effects` and commands. It guarantees that
// - an allocation keeps its resources until it is proven that its attempt is not on the machine,
// - a task is launched only after its binding has been written durably,
// - every index agrees with a recomputation from scratch (`findInconsistency`).
//
// Called by the leader's term (`controller::LeaderTerm`) and, mostly for reading, the autoscaler.
//
// The implementation is split by topic: job_lifecycle (submit, cancel, finish), allocations (bind,
// stop, release, timers), reconciliation (status reports), commands (what a machine is told to
// do), dependency_tracking, placement, preemption, reservations, free_capacity, persistence
// (records) and refused_records.
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

/// What the caller has to do after an input. Plain values, so that tests can inspect them.
struct Effects {
    std::vector<std::pair<std::string, kv_store::WritePriority>> dirtyRecords;  // keys to write
    std::set<MachineIndex> machinesToCommand;  // have commands that should be sent at once
    std::set<MachineIndex> machinesToProbe;    // possibly inbound-partitioned: send a request
};

/// The outcome of a submission. Every value except `accepted` and `alreadyKnown` is an error of the
/// submitter.
enum class SubmitResult {
    accepted,
    alreadyKnown,
    unknownTeam,
    fitsNoMachine,          // no allowed type in its zone can hold one of its tasks
    overTeamLimit,          // it can never run within the limit of its team
    contradictoryPlacement  // all tasks in one zone, yet spread over zones
};

/// The state of the cluster as one leader knows it. See the top of this file.
class Cluster {
  public:
    /// `token` is the first fencing token of this leader's term: workers that have seen it reject
    /// commands with lower tokens. `lastToken` is the last one that it may use. The settings must
    /// outlive the cluster.
    Cluster(const settings::Settings& settings, FencingToken token, FencingToken lastToken);
    Cluster(const settings::Settings& settings, FencingToken token)
        : Cluster(settings, token, lastTokenOfTerm(token)) {}
    Cluster(const Cluster&) = delete;  // its parts refer to each other
    Cluster& operator=(const Cluster&) = delete;
    ~Cluster() = default;
    /// Sets the operators' choices, such as reservations and fair-share weights. Must be called
    /// before `setCatalogue`, which creates the cells of reservations.
    void setOperatorSettings(const settings::OperatorSettings& settings) { operator_ = settings; }
    [[nodiscard]] const settings::OperatorSettings& operatorSettings() const { return operator_; }
    /// The reservable cells of each machine type, by the name of the type.
    [[nodiscard]] const std::map<std::string, cells::CellPool>& pools() const {
        return quota_.pools();
    }

    // Records
    /// Loads one stored record. Must be called for each record under both key prefixes of jobs, in
    /// any order, and before `finishLoading`. Returns false if the record is malformed.
    bool loadRecord(const std::string& key, const std::string& data, TimePoint now,
                    WallMillis wall);
    /// Restores the state from the loaded records. Must be called once, after all of them.
    void finishLoading(TimePoint now);
    /// Whether some record of the job could not be read. Nothing is known of such a job but that it
    /// exists: none of its tasks is started, and no client may be told that it does not exist.
    [[nodiscard]] bool isUnreadable(const JobId& id) const { return unreadableJobs_.contains(id); }
    /// Encodes the record to write under the key now. Empty if its contents have since moved to
    /// other keys, or if it cannot be written yet.
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encode(const std::string& key);
    /// Records that the given version of the record is durable.
    void onRecordCommitted(const std::string& key, std::uint64_t version);
    /// Handles the state service's refusal of a record. If it may be too large, divides it into
    /// smaller ones. Otherwise it is retried, or the submission is dropped that it belongs to; then
    /// the job is unknown again, and its submitter must be told that it was not accepted.
    kv_store::RefusedRecordAction onRecordRefused(const kv_store::RefusedRecord& record);
    /// Allows records that versions without dependencies and record pages cannot read. Cannot be
    /// undone.
    void enableRecordPages();
    /// Whether some record is too large to be written without record pages.
    [[nodiscard]] bool needsRecordPages() const { return !oversizedKeys_.empty(); }

    // Jobs
    /// Returns nullptr if there is no such job.
    [[nodiscard]] Job* find(const JobId& id);
    /// Adds a job, or returns why it cannot be added. Its record still has to be written before the
    /// submission may be acknowledged.
    SubmitResult submit(const JobSpec& spec, TimePoint now, WallMillis wall);
    /// What is wrong with a dependency that a submission names, and which one it is.
    /// `notYetAccepted`: the dependency's own submission is not durable yet, so the caller has to
    /// ask again later.
    struct DependencyError {
        enum class Kind { none, self, unknown, isService, notYetAccepted } kind = Kind::none;
        JobId job;
    };
    /// Checks the dependencies of a submission. `Kind::none` if all of them are valid.
    [[nodiscard]] DependencyError checkDependencies(const JobSpec& spec) const;
    [[nodiscard]] const dependencies::DependencyGraph& dependencyGraph() const {
        return dependencies_;
    }
    /// Orders jobs by id.
    struct JobIdLess {
        bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
    };
    using JobSet = std::set<Job*, JobIdLess>;
    /// Open jobs that wait for their dependencies.
    [[nodiscard]] const JobSet& blockedJobs() const { return blocked_; }
    /// Cancels a job: no task of it starts any more, and all running ones are told to stop. The
    /// cancellation is committed, and may then be acknowledged, once every task that may still be
    /// running is certain to end within the time that users are promised (`cancelWithin`).
    void cancel(Job& job, TimePoint now);
    /// Records that a user is being told that the job is cancelled. From then on whatever may still
    /// be running must end within `cancelWithin`.
    void acknowledgeCancellation(Job& job, TimePoint now) {
        if (!job.acknowledgedAt) job.acknowledgedAt = now;
    }
    /// After what time, at the latest, the cancellation can be acknowledged. It may be earlier, if
    /// it is proven before that nothing of the job runs any more. Zero if it can be acknowledged
    /// now.
    [[nodiscard]] Duration timeUntilAcknowledgeable(const Job& job, TimePoint now) const;

    // Estimates
    /// The estimated time from the job's release until its last task is done.
    [[nodiscard]] Duration estimatedDuration(const JobSpec& spec) const;
    /// When a blocked job is expected to be released. A day ahead if its chain of dependencies is
    /// very long or contains a job that is not on record.
    [[nodiscard]] TimePoint expectedRelease(const Job& job, TimePoint now) const;
    /// How much later a blocked job could be released and still meet its first deadline, by the
    /// estimates. Empty if neither the job nor its dependents have a deadline.
    [[nodiscard]] std::optional<Duration> slack(const Job& job, TimePoint now) const;
    /// See `RuntimeEstimates::arrivalLeadTime`.
    [[nodiscard]] Duration arrivalLeadTime(const std::string& jobClass) const {
        return estimates_.arrivalLeadTime(jobClass);
    }
    /// The estimated run time of one task of the job: its owner's estimate times the observed bias
    /// of its class.
    [[nodiscard]] Duration estimatedRunTime(const JobSpec& spec) const {
        return estimates_.estimatedRunTime(spec);
    }

    // Lease delegation
    /// Sets the delegator, which knows the delegates: controllers that may answer the heartbeats of
    /// their zone for a silent leader, and so renew leases. The delegator must outlive the cluster.
    void setDelegator(lease_delegation::Delegator& delegator) { delegator_ = &delegator; }
    /// Until when a delegate in the zone may answer workers. If it did so for longer, a task whose
    /// job's cancellation was acknowledged could outlive the time promised to its user.
    [[nodiscard]] TimePoint latestDelegationEnd(const std::string& zone, TimePoint now) const;
    /// When everything on the machine has certainly been killed with its lease, if no further
    /// report comes.
    [[nodiscard]] TimePoint possiblyRunningUntil(const worker_api::Machine& m, TimePoint now) const;
    /// When the machine's lease ends if nothing renews it any more: one lease after the last report
    /// that this leader answered. `now` if it has answered none, as the last answer of a former
    /// leader may have been a whole lease ago.
    [[nodiscard]] TimePoint leaseEndWithoutRenewal(const worker_api::Machine& m,
                                                   TimePoint now) const;
    /// Marks a zone that cannot be reached, controllers included. It gets no more work until it is
    /// back.
    void setZoneUnreachable(const std::string& zone, bool unreachable);
    [[nodiscard]] bool isZoneUnreachable(const std::string& zone) const {
        return unreachableZones_.contains(zone);
    }

    // Machines
    /// Processes a heartbeat and returns the commands for its response.
    std::vector<worker_api::Command> onHeartbeat(const worker_api::StatusReport& report,
                                                 TimePoint now);
    /// How a status report arrived: with a heartbeat, or in the response to a direct request.
    enum class ReportSource { heartbeat, commandResponse };
    /// Reconciles the state with what a machine reports.
    void onStatusReport(const worker_api::StatusReport& report, ReportSource source, TimePoint now);
    /// The commands to send to the machine in a direct request now. Empty while another direct
    /// request to it is in flight. `onDirectCommandEnded` must follow if there are any.
    std::vector<worker_api::Command> takeDirectCommands(MachineIndex machine, TimePoint now);
    /// Records that a direct request to the machine has ended. `unanswered`: it was sent but not
    /// answered, so that the machine may still execute a copy of it.
    void onDirectCommandEnded(MachineIndex machine, bool unanswered);
    /// Records that a probe of the machine was not answered.
    void onProbeUnanswered(MachineIndex machine) { ++machines_[machine].unansweredProbes; }
    /// Sets the address and zone under which the cloud lists the machine, so that it can be probed
    /// before its first report.
    void setAddress(MachineIndex machine, const std::string& address, const std::string& zone) {
        worker_api::Machine& m = machines_[machine];
        m.listedZone = zone;
        if (!m.up()) m.address = address;
    }
    /// Handles the deletion of the machine by the cloud: releases everything on it, and ignores its
    /// later reports.
    void onMachineDeleted(MachineIndex machine, TimePoint now);
    /// Sets whether the machine is to be terminated. A draining machine gets no more work.
    void setDraining(MachineIndex machine, bool draining);
    /// Applies what is due by now: leases that have run out, checkpoints before spot interruptions,
    /// back-offs that end, and cancellations that can be committed.
    void advanceTo(TimePoint now);
    /// The index of the machine. An unknown name is registered.
    MachineIndex indexOf(const std::string& machine) { return machines_.indexOf(machine); }
    [[nodiscard]] const worker_api::MachineRegistry& machines() const { return machines_; }
    /// Whether the machine has reported within two reporting intervals, and its incarnation has not
    /// ended.
    [[nodiscard]] bool isResponsive(const worker_api::Machine& m, TimePoint now) const;
    /// The machine's capacity less everything that is possibly on it.
    [[nodiscard]] Resources freeCapacityOn(const worker_api::Machine& m) const;
    /// Replaces the machine types that can be rented, with their capacities and prices.
    void setCatalogue(autoscaler::Catalogue catalogue);
    [[nodiscard]] const autoscaler::Catalogue& catalogue() const { return catalogue_; }

    // Placement
    /// Binds waiting tasks to machines, at most `maxTasks` of them, and preempts where necessary.
    /// Returns true if the limit ended the pass early. Safe to call at any time.
    bool place(TimePoint now, std::size_t maxTasks = SIZE_MAX);
    /// Whether a placement pass could achieve anything that the last one could not.
    [[nodiscard]] bool hasPlaceableWork();
    /// Stops one service replica on a machine that is to be terminated, so that it starts again on
    /// another one. Does so only if that machine has its image and the capacity, so that the
    /// replica is away for a moment only. Does nothing while something on the machine is still
    /// stopping.
    void migrateReplica(MachineIndex machine, TimePoint now);
    /// Stops opportunistic tasks that write checkpoints on a machine that is to be terminated.
    void stopOpportunisticTasks(MachineIndex machine);
    /// How urgently a waiting job has to start.
    [[nodiscard]] SchedulingPriority schedulingPriority(const Job& job, TimePoint now) const {
        return scheduler::schedulingPriority(job, settings_.objectives, estimatedRunTime(job.spec),
                                             now);
    }
    /// Whether the job runs only on capacity that others leave idle: it is of low priority, not a
    /// service, and outside of its team's reservation.
    [[nodiscard]] bool isOpportunistic(const Job& job) const {
        return job.effectivePriority == Priority::low && job.spec.shape != Shape::service &&
               !quota_.withinReservation(job.spec);
    }

    /// The jobs that are neither done nor cancelled, without the blocked ones.
    [[nodiscard]] const std::vector<Job*>& openJobs() const { return openJobs_; }
    [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
    /// The first and the last fencing token of this leader's term.
    [[nodiscard]] FencingToken token() const { return token_; }
    [[nodiscard]] FencingToken lastToken() const { return lastToken_; }
    /// The token that a message to the machine has to carry now. It rises when the machine is told
    /// to forget attempts that were launched directly. The first one if the machine is not known.
    [[nodiscard]] FencingToken commandToken(MachineIndex machine) const;
    [[nodiscard]] FencingToken commandToken(const std::string& machine) const;
    /// How many attempts machines have started again after they had ended, so far.
    [[nodiscard]] std::uint64_t restartedAttempts() const { return restartedAttempts_; }
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }
    /// Returns the effects since the last call.
    Effects takeEffects() { return std::exchange(effects_, {}); }
    /// How many machines placement and its indices have examined so far. For tests: the cost of a
    /// decision must depend on what changes, not on the size of the cluster.
    [[nodiscard]] std::uint64_t visitedMachines() const { return visitedMachines_; }
    /// Compares every index with a recomputation. Returns what differs, or an empty string. For
    /// tests.
    [[nodiscard]] std::string findInconsistency();

  private:
    // Persistence
    /// Schedules the record that holds the task for writing.
    void markTaskDirty(Job& job, std::uint32_t task, kv_store::WritePriority priority);
    /// Schedules the record that holds the job's own state (acceptance, cancellation) for writing.
    void markHeadDirty(Job& job, kv_store::WritePriority priority);
    [[nodiscard]] std::string encodeRecord(const Job& job, const jobs::RecordName& name) const;
    /// Encodes a block or page. If it does not fit into a value, splits it and returns nothing.
    [[nodiscard]] std::optional<kv_store::EncodedRecord> encodeTasks(Job& job,
                                                                     const jobs::RecordName& name);
    /// Applies the records that were loaded before the records they depend on.
    void restoreDeferredRecords();
    void markUnreadable(const jobs::RecordName& name);
    /// Adds a job whose description is stored in text records. Returns false if it is malformed.
    bool addJobFromTextRecords(const jobs::RecordName& name, const json::Document& doc,
                               const std::map<std::string, std::string>& records);
    void applyRecord(const jobs::RecordName& name, const json::Document& doc);
    void restoreCounts();
    void restoreAllocations(Job& job);
    /// Stores the job's description in text records, which get that priority. They are written
    /// before the first block.
    void splitDescription(Job& job, kv_store::WritePriority priority);

    // Records that the state service refuses
    /// The size limit of a value for the records of the job.
    [[nodiscard]] std::size_t maxValueBytesOf(const Job& job) const;
    /// Whether the contents of the record can be stored in smaller ones.
    [[nodiscard]] bool isDivisible(const Job& job, const jobs::RecordName& name) const;
    /// Stores the contents of a record that may be too large in smaller ones. Other jobs keep their
    /// limit: one refusal does not show that size was the cause.
    void divideRecord(Job& job, const jobs::RecordName& name,
                      const kv_store::RefusedRecord& record);
    /// Whether a task of a job that is not accepted may have been launched all the same.
    [[nodiscard]] bool isPossiblyLaunched(const Job& job);
    /// Removes a job that is not accepted and was not launched. Invalidates pointers to it.
    void dropSubmission(Job& job);
    Job& addJob(std::unique_ptr<Job> job);

    // Dependencies
    void restoreDependencies();
    void restoreDependent(const dependencies::DependentJob& dependent);
    void addToDependencyGraph(const Job& job);
    /// Decides whether a submitted job is blocked, may start, or is cancelled along with a
    /// dependency.
    void resolveDependencies(Job& job);
    /// Applies what follows from the job outcomes that are durable by now: releases, cancellations
    /// and inherited urgency.
    void applyDependencyChanges(TimePoint now);
    void unblock(Job& job);
    /// Opens a blocked job whose dependencies are all done.
    void releaseBlocked(Job& job, TimePoint now);
    /// Cancels a job because one of its dependencies was cancelled.
    void cancelWithDependency(Job& job, const JobId& dependency);
    void applyInheritedUrgency(Job& job);
    /// These two follow the chain of dependencies for at most `depth` jobs. Beyond that they assume
    /// a release far in the future.
    [[nodiscard]] TimePoint expectedReleaseUpToDepth(const Job& job, TimePoint now,
                                                     unsigned depth) const;
    [[nodiscard]] TimePoint expectedEndUpToDepth(const Job& job, TimePoint now,
                                                 unsigned depth) const;
    /// The job's own deadlines, by its class's objectives.
    [[nodiscard]] Deadlines deadlinesOf(const Job& job) const;
    /// Updates the durations in the dependency graph of blocked jobs whose class's bias has changed
    /// significantly.
    void refreshBlockedDurations(TimePoint now);

    // Job lifecycle
    void onJobOpened(Job& job);
    void onJobClosed(Job& job);
    /// Adds the job to the list of jobs with tasks to place, or removes it, as its state demands.
    void updateWaitingList(Job& job);
    void setPhase(Job& job, JobTask& task, TaskPhase phase, TimePoint now);
    void finishTask(Job& job, std::uint32_t task);
    /// Commits the cancellations that may be acknowledged now. Those that have to wait for long are
    /// put on record as requested.
    void commitCancellations(TimePoint now);
    [[nodiscard]] bool canAcknowledgeCancellation(const Job& job, TimePoint now) const;

    // Allocations
    /// Assigns a waiting task to a machine. `cells`: of its team's reservation, if it uses that.
    void bindTask(Job& job, std::uint32_t task, MachineIndex machine,
                  std::vector<cells::CellIndex> cells = {});
    /// Makes a bound task wait again.
    void unbindTask(Job& job, std::uint32_t task);
    worker_api::Allocation& addAllocation(MachineIndex machine, worker_api::Allocation allocation);
    /// Frees the resources of an allocation, and unbinds its task if it is the current one.
    /// `position`: among the machine's allocations.
    void releaseAllocation(MachineIndex machine, std::size_t position);
    /// Releases whatever is possibly on a machine that has lost it. `reason` is for the log.
    void releaseAllAllocations(MachineIndex machine, const char* reason);
    /// Whether the allocation's attempt is the one that its task is bound to, on this machine.
    [[nodiscard]] bool isCurrentAllocation(const worker_api::Allocation& allocation,
                                           MachineIndex machine) const;
    /// Stops a task. If it belongs to a gang, stops the whole gang, which does no work without one
    /// of its members.
    void stopTaskOrGang(Job& job, std::uint32_t task, worker_api::StopReason reason);
    void stopTask(Job& job, std::uint32_t task, worker_api::StopReason reason);
    using TaskList = std::vector<std::pair<Job*, std::uint32_t>>;
    /// Stops several tasks. Stopping a task may release allocations, so callers that iterate over
    /// those collect the tasks first and stop them afterwards.
    void stopTasks(const TaskList& tasks, worker_api::StopReason reason);

    // Timers
    /// The latest time, by this node's clock, at which an agent may still hold a lease that was
    /// renewed at `renewed`.
    [[nodiscard]] TimePoint leaseEnd(TimePoint renewed) const;
    /// Makes `runTimers` run for the machine at that time, or earlier if that is scheduled already.
    void scheduleTimer(MachineIndex machine, TimePoint at);
    void runTimers(MachineIndex machine, TimePoint now);
    void releaseIfLeaseExpired(MachineIndex machine, TimePoint now);
    /// Stops tasks that write checkpoints, just in time before the machine is lost at `until`.
    void stopCheckpointingTasksBefore(MachineIndex machine, TimePoint until, TimePoint now);

    // Reconciliation: the steps of processing a status report
    /// Records the machine's properties, which are unknown until it first reports.
    void onFirstReport(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// Handles a restart of the agent: everything that its former incarnation ran is gone.
    void onNewIncarnation(MachineIndex machine, TimePoint now);
    /// Accepts results, and nothing else, from a report of an incarnation that has ended.
    void acceptLateResults(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    void recordContact(MachineIndex machine, ReportSource source, TimePoint now);
    void recordInterruptionNotice(MachineIndex machine, Duration notice, TimePoint now);
    void reconcileTasks(MachineIndex machine, const worker_api::StatusReport& r, TimePoint now);
    /// Releases allocations whose absence from the report proves that they are not on the machine.
    void releaseUnreported(MachineIndex machine, const worker_api::StatusReport& r,
                           ReportSource source);
    void onTaskReported(MachineIndex machine, const worker_api::ReportedTask& t, TimePoint now);
    /// Adds an allocation for a reported attempt that is not known on this machine. A waiting task
    /// is bound to it; otherwise the attempt is orphaned and will be stopped.
    worker_api::Allocation& adoptReported(MachineIndex machine, Job& job,
                                          const worker_api::ReportedTask& t);
    void onTaskExited(MachineIndex machine, const worker_api::ReportedTask& t, TimePoint now);
    /// Records the result of an attempt that ended successfully.
    void recordResult(Job& job, const worker_api::ReportedTask& t, TimePoint now);
    /// Updates the health of the machine and of the job by the reason of an exit.
    void applyExitCause(MachineIndex machine, const worker_api::Allocation& allocation,
                        worker_api::ExitCause cause, TimePoint now);
    /// Decides whether the job or the machine is at fault, and makes that one back off.
    void onTaskFailed(MachineIndex machine, Job& job, TimePoint now);
    [[nodiscard]] bool hasHealthyTask(const Job& job, TimePoint now) const;
    /// Checks by a new heartbeat whether the machine acts on the responses to its heartbeats.
    void checkResponsesArrive(MachineIndex machine, TimePoint now);
    /// Remembers which launches are in the heartbeat response, for `checkResponsesArrive`.
    void markLaunchesInResponse(MachineIndex machine,
                                const std::vector<worker_api::Command>& commands);
    void markInboundPartitioned(MachineIndex machine, const char* reason, TimePoint now);
    /// Checks whether heartbeats of a machine that answers requests are overdue.
    void checkHeartbeatsArrive(MachineIndex machine, TimePoint now);

    // Commands
    /// Whether all tasks of a gang are bound or done, and that is durable.
    [[nodiscard]] bool allTasksBound(const Job& job) const;
    /// Whether everything that must be durable before the launch is.
    [[nodiscard]] bool mayLaunch(const worker_api::Allocation& allocation) const;
    /// Whether the attempt must not run, or not run any longer.
    [[nodiscard]] bool mustStop(const worker_api::Allocation& allocation) const;
    void addLaunchesAndStops(MachineIndex machine, worker_api::CommandChannel channel,
                             std::vector<worker_api::Command>& out);
    /// Tells the machine to forget ended attempts whose exits are durable, under a token that
    /// fences every direct launch of them. `mayRaiseToken`: whether the token may be raised for
    /// that; otherwise they may have to wait.
    void addForgetCommands(MachineIndex machine, bool mayRaiseToken,
                           std::vector<worker_api::Command>& out);
    /// Whether a direct launch to the machine could still be fenced within this term.
    [[nodiscard]] bool mayLaunchDirectly(MachineIndex machine) const {
        return commandToken(machine) < lastToken();
    }
    void addStopCommand(MachineIndex machine, worker_api::Allocation& allocation,
                        worker_api::CommandChannel channel, std::vector<worker_api::Command>& out);
    void addLaunchCommand(MachineIndex machine, worker_api::Allocation& allocation,
                          worker_api::CommandChannel channel,
                          std::vector<worker_api::Command>& out);

    // Capacity
    /// Marks the machine's entry in the capacity index as out of date.
    void markCapacityDirty(MachineIndex machine);
    void markCapacityDirty(const std::vector<MachineIndex>& machines);
    /// Recomputes the entries of the capacity index that are out of date.
    void refreshCapacities();
    /// Whether tasks may be placed on the machine at all.
    [[nodiscard]] bool acceptsWork(const worker_api::Machine& m) const;
    /// Whether the machine's status report stays below its size limit with one more task.
    [[nodiscard]] bool reportFitsOneMoreTask(const worker_api::Machine& m) const;
    [[nodiscard]] FreeCapacity freeCapacityFor(MachineIndex machine) const;
    [[nodiscard]] std::string findCapacityInconsistency() const;
    [[nodiscard]] std::string findUsageInconsistency() const;
    using TasksPerZone = std::map<std::string, std::uint32_t>;
    [[nodiscard]] std::string findJobInconsistency(Job& job, const TasksPerZone& recounted) const;

    // Reservations
    /// Adds a machine that has come up to the cells of its type, and binds cells for the
    /// allocations on it.
    void addToCellPool(MachineIndex machine);
    /// Places a task in the reservation of its team, preempting opportunistic work if necessary.
    /// Returns false if nothing is free yet.
    bool placeInReservation(Job& job, std::uint32_t task, TimePoint now);

    // Placement
    struct PlannedTasks {
        Resources demand;  // of all planned tasks together
        std::uint32_t tasks = 0;
    };
    /// Tasks of one job that a pass has chosen machines for, but not bound yet.
    using PlannedPlacements = std::unordered_map<MachineIndex, PlannedTasks>;
    /// Whether the job's constraints allow a machine of that kind.
    [[nodiscard]] bool meetsConstraints(const Job& job, const std::string& type,
                                        const std::string& zone, bool spot,
                                        const PlannedPlacements& planned) const;
    [[nodiscard]] bool meetsConstraints(const Job& job, const worker_api::Machine& m) const {
        return meetsConstraints(job, m.type, m.zone, m.spot, {});
    }
    /// Whether the machine accepts work, and the job has not failed there recently.
    [[nodiscard]] bool isPlaceable(const Job& job, MachineIndex machine, TimePoint now) const;
    /// Whether one more task of the job fits on the machine, beside the planned ones and without
    /// using warm capacity or capacity that is reclaimed for others.
    [[nodiscard]] bool hasCapacityFor(const Job& job, MachineIndex machine,
                                      const PlannedPlacements& planned, TimePoint now) const;
    [[nodiscard]] double imageFetchSeconds(const JobSpec& s, const std::string& type) const;
    /// How long a task of the job has to wait for its image on the machine.
    [[nodiscard]] double startDelaySeconds(const JobSpec& s, const worker_api::Machine& m) const;
    /// Whether capacity is kept free (warm) for the job's class, on machines that have its images,
    /// so that its next tasks start at once.
    [[nodiscard]] bool wantsWarmCapacity(const JobSpec& s) const;
    /// The machine on which one more task of the job costs least; `noMachine` if it fits on none.
    [[nodiscard]] MachineIndex chooseMachine(const Job& job, const PlannedPlacements& planned,
                                             TimePoint now) const;
    /// Waiting jobs of each team in reverse order: the next one is last.
    using TeamQueues = std::map<std::string, std::vector<Job*>>;
    [[nodiscard]] TeamQueues queuesByTeam(const std::vector<Job*>& waiting, TimePoint now) const;
    /// Places jobs of one priority. `budget`: how many more tasks this pass may place. Returns true
    /// if it ran out first.
    bool placeJobsOfPriority(const std::vector<Job*>& waiting, std::size_t& budget, TimePoint now);
    /// Places a task of the job, or all of a gang. Returns false if no more of the job can be
    /// placed in this pass.
    bool placeNextTask(Job& job, TimePoint now);
    bool placeGang(Job& job, TimePoint now);

    // Preemption
    /// What has to be stopped on a machine so that one more task fits.
    struct PreemptionPlan {
        MachineIndex machine = noMachine;
        std::vector<std::size_t> victims;  // positions among the machine's allocations
        double costSeconds = std::numeric_limits<double>::infinity();  // lost work and delay
    };
    /// The machine's free capacity once everything that has been told to stop has ended.
    [[nodiscard]] Resources capacityOnceStopped(const worker_api::Machine& m) const;
    /// capacityOnceStopped(), less what is reclaimed for other jobs or planned for this one.
    [[nodiscard]] Resources capacityOnceStoppedFor(const Job& job, MachineIndex machine,
                                                   const PlannedPlacements& planned) const;
    [[nodiscard]] bool mayPreempt(Priority priority,
                                  const worker_api::Allocation& allocation) const;
    /// The cheapest preemption on this machine. Empty if it frees too little, or costs as much as
    /// `best` or more.
    [[nodiscard]] std::optional<PreemptionPlan> planPreemption(const Job& job, MachineIndex machine,
                                                               const PlannedPlacements& planned,
                                                               const PreemptionPlan& best,
                                                               TimePoint now) const;
    /// The cheapest plan among the machines that are compared.
    [[nodiscard]] PreemptionPlan cheapestPreemption(const Job& job,
                                                    const PlannedPlacements& planned,
                                                    TimePoint now) const;
    /// Stops work of lower priority until there will be capacity for `tasks` tasks of the job.
    void preemptFor(const Job& job, std::uint32_t tasks, TimePoint now);
    /// Stops allocations that `victim` accepts until a task of the job fits on the machine. Returns
    /// whether it fits already.
    bool reclaimCapacity(const Job& job, MachineIndex machine,
                         const std::function<bool(const worker_api::Allocation&)>& victim);

    const settings::Settings& settings_;
    settings::OperatorSettings operator_;
    FencingToken token_, lastToken_;
    autoscaler::Catalogue catalogue_;
    Quota quota_{settings_, operator_, catalogue_};
    RuntimeEstimates estimates_;
    TimePoint now_{};  // time of the latest input

    // Jobs
    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> openJobs_;  // without blocked ones
    std::vector<Job*> waiting_;   // jobs with tasks to place
    JobSet blocked_;
    dependencies::DependencyGraph dependencies_;
    std::set<Job*> pendingCancellations_;  // not committed, or with tasks that may still run
    lease_delegation::Delegator* delegator_ = nullptr;

    // Machines
    worker_api::MachineRegistry machines_;
    std::uint64_t restartedAttempts_ = 0;
    std::set<std::string> unreachableZones_;
    std::set<std::pair<TimePoint, MachineIndex>> timers_;  // by Machine::nextTimerAt

    // Placement
    CapacityIndex capacityIndex_;
    std::vector<MachineIndex> capacityDirty_;
    /// The jobs that capacity is being reclaimed for, one entry for each task. Removed once nothing
    /// on the machine is stopping any more.
    std::multimap<MachineIndex, const Job*> reclaimedFor_;
    bool hasNewWork_ = false;  // tasks have started to wait, or their urgency has changed
    std::uint64_t increaseCountAtLastPass_ = 0;
    TimePoint lastPassAt_{};
    mutable std::uint64_t visitedMachines_ = 0;

    // Persistence
    /// Records that were loaded before the records they depend on, by key. Applied at the end.
    std::map<std::string, std::string> deferredRecords_;
    std::set<JobId> unreadableJobs_;
    std::size_t maxValueBytes_;            // limit for new records
    std::uint64_t lastDivision_ = 0;       // of a description into sections, of all jobs
    bool recordPagesEnabled_ = false;      // every controller can read record pages
    std::set<std::string> oversizedKeys_;  // records that wait for record pages
    WallMillis loadWallTime_{};            // wall-clock time when records were loaded

    Effects effects_;
};

}  // namespace basaltchute::scheduler
