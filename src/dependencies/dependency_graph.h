#pragma once
// Dependencies between jobs, as a directed acyclic graph (DAG).
//
// Determines which jobs are blocked, which are released when a job is done, which are cancelled
// along with a job, and which urgency a job inherits from its dependents. State: one node for each
// job that has dependencies or dependents. A job's dependencies never change and exist before it,
// so there are no cycles. No clock and no I/O. The cost of a call depends on what it changes, not
// on the size of the graph. Called by the scheduler, with outcomes that are durable.
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::dependencies {

/// How a job ended, by the durable records. A job without records counts as open.
enum class JobOutcome : std::uint8_t { open, done, cancelled };

/// A job's own properties, without what it inherits.
struct JobProperties {
    Priority priority = Priority::low;
    Deadlines deadlines{};
    Duration duration{};  // estimated, from its release until its last task is done
};

/// What a job inherits from its open dependents, direct and indirect. It is scheduled as if it were
/// as urgent as the most urgent of them.
struct InheritedUrgency {
    Priority priority = Priority::low;
    Deadlines deadlines{};  // the earliest, less the durations of the jobs between
    bool operator==(const InheritedUrgency&) const = default;
};

/// A job that was loaded and is not in the graph yet.
struct DependentJob {
    JobId id;
    std::vector<JobId> dependencies;
};
/// Sorts the jobs so that each comes after those of them that it depends on.
std::vector<DependentJob> topologicalOrder(std::vector<DependentJob> jobs);

/// See the top of this file.
class DependencyGraph {
  public:
    /// Adds a job. Does nothing if it is in the graph already.
    void addJob(const JobId& id, const JobProperties& properties, JobOutcome outcome);
    /// Sets the dependencies of a job in the graph, without duplicates. Must be called at most once
    /// for a job, and earlier for its dependencies. A dependency that is not in the graph is added
    /// as an open job without properties.
    void addDependencies(const JobId& id, const std::vector<JobId>& dependencies);
    /// Removes a job that no other job depends on, as if it had never been added. Does nothing if
    /// it is not in the graph.
    void removeJob(const JobId& id);
    /// The job is durably done or cancelled. The first outcome is final: later calls do nothing.
    void setOutcome(const JobId& id, JobOutcome outcome);
    /// Replaces the estimate of how long the job takes.
    void setDuration(const JobId& id, Duration duration);

    [[nodiscard]] bool contains(const JobId& id) const { return nodes_.contains(id); }
    /// Whether the job is open and waits for a dependency: some are not done and none is cancelled.
    [[nodiscard]] bool isBlocked(const JobId& id) const;
    /// The direct or indirect dependency whose cancellation cancels the job, or nullptr. Valid as
    /// long as the graph.
    [[nodiscard]] const JobId* cancelledDependency(const JobId& id) const;
    /// The direct dependencies that are not done.
    [[nodiscard]] std::vector<JobId> unfinishedDependencies(const JobId& id) const;
    /// What the job inherits: the lowest priority and no deadline if it has no open dependents.
    [[nodiscard]] InheritedUrgency inheritedUrgency(const JobId& id) const;

    /// Jobs that were released, cancelled along with a dependency, or whose inherited urgency
    /// changed.
    struct Changes {
        std::vector<JobId> released, cancelled, urgencyChanged;
    };
    /// Returns the changes since the last call, except changes of a job by its own addJob() and
    /// addDependencies().
    Changes takeChanges();
    /// How many nodes were visited so far, as a measure of cost. For tests.
    [[nodiscard]] std::uint64_t visitedNodes() const { return visitedNodes_; }
    /// Compares the incrementally maintained state with a recomputation. Returns what differs, or
    /// an empty string. For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    struct Node {
        JobId id;
        JobProperties properties;
        JobOutcome outcome = JobOutcome::open;
        std::uint64_t insertionNumber = 0;
        std::uint32_t depth = 0;                    // greater than that of each dependency
        std::uint32_t unfinishedDependencies = 0;   // how many are not done
        const Node* cancelledDependency = nullptr;  // that cancels this job, if any
        std::vector<Node*> dependencies, dependents;
        // What the open dependents pass on: the number of each priority, and all deadlines.
        std::array<std::uint32_t, 4> priorities{};
        std::multiset<TimePoint> firstDeadlines, lastDeadlines;
        InheritedUrgency inherited;   // the most urgent of the above
        InheritedUrgency passedOn;    // what its dependencies have counted of it
        bool urgencyCounted = false;  // whether they have counted anything
    };
    /// The order in which urgency is passed on.
    struct DeepestFirst {
        bool operator()(const Node* a, const Node* b) const {
            return a->depth != b->depth ? a->depth > b->depth
                                        : a->insertionNumber < b->insertionNumber;
        }
    };
    using Pending = std::set<Node*, DeepestFirst>;
    [[nodiscard]] const Node* find(const JobId& id) const;
    /// What the job passes on to its dependencies.
    [[nodiscard]] static InheritedUrgency urgencyForDependencies(const Node& node);
    [[nodiscard]] static InheritedUrgency mostUrgent(const Node& node);
    /// Adds what a dependent passes on to its dependency, or removes it again.
    static void addUrgency(Node& dependency, const InheritedUrgency& urgency);
    static void removeUrgency(Node& dependency, const InheritedUrgency& urgency);
    /// Passes changed urgency on to the dependencies, starting with the deepest job, so that each
    /// job is visited once.
    void propagateUrgency(Pending pending);
    /// Cancels all open jobs that depend on the node, directly or indirectly.
    void cancelDependents(Node& node);
    /// The same for one node.
    [[nodiscard]] static std::string findInconsistency(const Node& node);
    [[nodiscard]] static InheritedUrgency recomputeInherited(const Node& node);

    std::unordered_map<JobId, Node> nodes_;
    Changes changes_;
    std::uint64_t nextInsertionNumber_ = 0;
    mutable std::uint64_t visitedNodes_ = 0;
};

}  // namespace basaltchute::dependencies
