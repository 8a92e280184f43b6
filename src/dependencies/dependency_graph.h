#pragma once
// Dependencies between jobs, as a directed acyclic graph (DAG).
//
// Answers which jobs are blocked, which are released when one is done, which are cancelled with
// one, and which urgency a job inherits from those that depend on it. State: one node for each job
// that has dependencies or dependents; jobs that have neither are not in it. A job's dependencies
// never change and exist before it, so there is no cycle. Pure: no clock, no I/O. Each call costs
// what it changes. Called by the scheduler, with outcomes that are durable.
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::dependencies {

/// How a job ended, by the durable records; a job that is not recorded yet counts as open.
enum class JobOutcome : std::uint8_t { open, done, cancelled };

/// What a job has of its own.
struct JobProperties {
    Priority priority = Priority::low;
    Deadlines deadlines{};
    Duration duration{};  // estimate, from its release until its last task is done
};

/// What a job inherits from its open dependents, direct and indirect: it may be treated like the
/// most urgent of them.
struct InheritedUrgency {
    Priority priority = Priority::low;
    Deadlines deadlines{};  // the earliest of the dependents', less the durations on the way
    bool operator==(const InheritedUrgency&) const = default;
};

/// A job as it is read back, before it is in the graph.
struct DependentJob {
    JobId id;
    std::vector<JobId> dependencies;
};
/// The same jobs, each after those of them that it depends on.
std::vector<DependentJob> topologicalOrder(std::vector<DependentJob> jobs);

/// See the top of this file.
class DependencyGraph {
  public:
    /// Adds a job; nothing changes if it is in the graph already.
    void addJob(const JobId& id, const JobProperties& properties, JobOutcome outcome);
    /// Sets the dependencies of a job in the graph, each named once. To be called once for a job,
    /// and for its dependencies before. A dependency that is not in the graph is added as an open
    /// job without properties.
    void addDependencies(const JobId& id, const std::vector<JobId>& dependencies);
    /// The job is durably done or cancelled. The first outcome stays; later calls change nothing.
    void setOutcome(const JobId& id, JobOutcome outcome);
    /// A better estimate of how long the job takes.
    void setDuration(const JobId& id, Duration duration);

    [[nodiscard]] bool contains(const JobId& id) const { return nodes_.contains(id); }
    /// Whether the job is open, some dependency is not done, and none is cancelled.
    [[nodiscard]] bool isBlocked(const JobId& id) const;
    /// The direct or indirect dependency with whose cancellation the job is cancelled; nullptr if
    /// there is none. Valid as long as the graph.
    [[nodiscard]] const JobId* cancelledWith(const JobId& id) const;
    /// The direct dependencies that are not done.
    [[nodiscard]] std::vector<JobId> unfinishedDependencies(const JobId& id) const;
    /// Lowest priority and no deadline if the job has no open dependent.
    [[nodiscard]] InheritedUrgency inheritedUrgency(const JobId& id) const;

    /// Jobs that were released, cancelled with another, or whose inherited urgency has changed.
    struct Changes {
        std::vector<JobId> released, cancelled, urgency;
    };
    /// The changes since the last call, except those of a job by its own addJob() and
    /// addDependencies().
    Changes takeChanges();
    /// Nodes visited so far, as a measure of cost; for tests.
    [[nodiscard]] std::uint64_t visitedNodes() const { return visitedNodes_; }
    /// Empty if everything that is maintained step by step agrees with a recomputation; else what
    /// does not. For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    struct Node {  // a job in the graph
        JobId id;
        JobProperties properties;
        JobOutcome outcome = JobOutcome::open;
        std::uint64_t number = 0;
        std::uint32_t depth = 0;                   // more than that of each dependency
        std::uint32_t unfinishedDependencies = 0;  // how many are not done
        const Node* cancelledWith = nullptr;
        std::vector<Node*> dependencies, dependents;
        // What the open dependents pass on: how often each priority, and their deadlines.
        std::array<std::uint32_t, 4> priorities{};
        std::multiset<TimePoint> firstDeadlines, lastDeadlines;
        InheritedUrgency inherited;  // the most urgent of the above
        InheritedUrgency passedOn;   // to its dependencies, as counted there
        bool counted = false;        // there
    };
    struct DeepestFirst {  // order in which urgency is passed on
        bool operator()(const Node* a, const Node* b) const {
            return a->depth != b->depth ? a->depth > b->depth : a->number < b->number;
        }
    };
    using Pending = std::set<Node*, DeepestFirst>;
    [[nodiscard]] const Node* find(const JobId& id) const;
    /// What the job passes on to its dependencies.
    [[nodiscard]] static InheritedUrgency urgencyForDependencies(const Node& node);
    [[nodiscard]] static InheritedUrgency mostUrgent(const Node& node);
    /// Adds to a dependency what a dependent passes on, or removes it again.
    static void addUrgency(Node& dependency, const InheritedUrgency& urgency);
    static void removeUrgency(Node& dependency, const InheritedUrgency& urgency);
    /// Passes on what has changed, towards the dependencies; the deepest job first, so that each
    /// is visited once.
    void propagateUrgency(Pending pending);
    /// Cancels all open jobs that depend on the node, directly or not.
    void cancelDependents(Node& node);
    /// Empty if the node agrees with a recomputation.
    [[nodiscard]] static std::string findInconsistency(const Node& node);
    [[nodiscard]] static InheritedUrgency recomputeInherited(const Node& node);

    std::unordered_map<JobId, Node> nodes_;
    Changes changes_;
    std::uint64_t nextNumber_ = 0;
    mutable std::uint64_t visitedNodes_ = 0;
};

}  // namespace basaltchute::dependencies
