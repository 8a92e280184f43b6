#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace basaltchute::dependencies {

/// How a job stands on record: what is not there yet counts as open.
enum class JobOutcome : std::uint8_t { open, done, cancelled };

/// What a job brings of its own.
struct JobProperties {
    Priority priority = Priority::low;
    Deadlines ends{};     // by its own deadline
    Duration duration{};  // from its release until its last task is done
};

/// What the jobs after a job ask of it: it may be treated like any of them.
struct InheritedUrgency {
    Priority priority = Priority::low;
    Deadlines ends{};  // the earliest of those after it, less what they take
    bool operator==(const InheritedUrgency&) const = default;
};

struct DependentJob {
    JobId id;
    std::vector<JobId> dependencies;
};
/// The same, those that are needed before those that need them.
std::vector<DependentJob> topologicalOrder(std::vector<DependentJob> jobs);

/// Which jobs wait for which: what is released, what is cancelled with what, and the urgency that
/// is handed up. Pure, and only about jobs that need others or are needed. What a job needs never
/// changes and was there before, so there is no circle. Each call costs what it changes.
class DependencyGraph {
  public:
    /// Takes a job in; nothing changes if it is in already.
    void addJob(const JobId& id, const JobProperties& own, JobOutcome fate);
    /// What it needs, each named once and taken in before. To be said once for a job, and for what
    /// it needs before.
    void addDependencies(const JobId& id, const std::vector<JobId>& needs);
    /// It is done, or cancelled, on record: what is done stays so, whatever is said later.
    void setOutcome(const JobId& id, JobOutcome fate);
    /// It is known better how long the job takes.
    void setDuration(const JobId& id, Duration takes);

    [[nodiscard]] bool contains(const JobId& id) const { return nodes_.contains(id); }
    /// Something that it needs is not done, and nothing of that is cancelled.
    [[nodiscard]] bool isBlocked(const JobId& id) const;
    /// The job before it with whose cancellation it is cancelled; nothing if there is none.
    [[nodiscard]] const JobId* cancelledWith(const JobId& id) const;
    /// What it needs that is not done.
    [[nodiscard]] std::vector<JobId> unfinishedDependencies(const JobId& id) const;
    /// Of the jobs after it; the lowest and never if nothing asks for it.
    [[nodiscard]] InheritedUrgency inheritedUrgency(const JobId& id) const;

    struct Changes {
        std::vector<JobId> released, cancelled, urgency;
    };
    /// What has changed since the last call, but for what join and link say of their own job.
    Changes takeChanges();
    /// Nodes looked at so far.
    [[nodiscard]] std::uint64_t visitedNodes() const { return visitedNodes_; }
    /// Empty if all that is counted agrees with a plain recount; else what does not. For tests.
    [[nodiscard]] std::string findInconsistency() const;

  private:
    struct Node {
        JobId id;
        JobProperties properties;
        JobOutcome outcome = JobOutcome::open;
        std::uint64_t number = 0;
        std::uint32_t depth = 0;                   // more than that of all it needs
        std::uint32_t unfinishedDependencies = 0;  // of what it needs, not done
        const Node* cancelledWith = nullptr;
        std::vector<Node*> dependencies, dependents;
        // What the open jobs after it ask of it.
        std::array<std::uint32_t, 4> priorities{};
        std::multiset<TimePoint> first, last;
        InheritedUrgency inherited;  // of the above
        InheritedUrgency passedOn;   // of what it needs, as counted there
        bool counted = false;
    };
    struct Deeper {
        bool operator()(const Node* a, const Node* b) const {
            return a->depth != b->depth ? a->depth > b->depth : a->number < b->number;
        }
    };
    using Pending = std::set<Node*, Deeper>;
    [[nodiscard]] const Node* find(const JobId& id) const;
    /// What it asks of the jobs that it needs.
    [[nodiscard]] static InheritedUrgency urgencyForDependencies(const Node& n);
    static InheritedUrgency mostUrgent(const Node& n);
    static void count(Node& at, const InheritedUrgency& u, bool add);
    /// Hands up what has changed, each job once: the deepest first.
    void propagateUrgency(Pending pending);
    /// Everything open after the node is cancelled with it.
    void cancelDependents(Node& node);

    std::unordered_map<JobId, Node> nodes_;
    Changes changes_;
    std::uint64_t nextNumber_ = 0;
    mutable std::uint64_t visitedNodes_ = 0;
};

}  // namespace basaltchute::dependencies
