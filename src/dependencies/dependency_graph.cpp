#include "dependencies/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace basaltchute::dependencies {

std::vector<DependentJob> topologicalOrder(std::vector<DependentJob> jobs) {
    std::unordered_map<JobId, std::size_t> position;
    for (std::size_t i = 0; i < jobs.size(); ++i) position[jobs[i].id] = i;
    std::vector<std::size_t> unorderedDependencies(jobs.size(), 0);
    std::vector<std::vector<std::size_t>> dependents(jobs.size());
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        for (const auto& dependency : jobs[i].dependencies)
            if (const auto at = position.find(dependency); at != position.end()) {
                ++unorderedDependencies[i];
                dependents[at->second].push_back(i);
            }
        if (unorderedDependencies[i] == 0) ready.push_back(i);
    }
    std::vector<DependentJob> ordered;
    for (std::size_t n = 0; n < ready.size(); ++n) {
        for (const std::size_t dependent : dependents[ready[n]])
            if (--unorderedDependencies[dependent] == 0) ready.push_back(dependent);
        ordered.push_back(std::move(jobs[ready[n]]));
    }
    return ordered;
}

const DependencyGraph::Node* DependencyGraph::find(const JobId& id) const {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : &it->second;
}

void DependencyGraph::addJob(const JobId& id, const JobProperties& properties, JobOutcome outcome) {
    const auto [it, fresh] = nodes_.try_emplace(id);
    if (!fresh) return;
    Node& node = it->second;
    node.id = id;
    node.properties = properties;
    node.outcome = outcome;
    node.insertionNumber = ++nextInsertionNumber_;
}

InheritedUrgency DependencyGraph::urgencyForDependencies(const Node& node) {
    const JobProperties& own = node.properties;
    const auto startBy = [&](TimePoint deadline) {
        return deadline == Deadlines::never ? deadline : deadline - own.duration;
    };
    return {std::min(own.priority, node.inherited.priority),
            {startBy(std::min(own.deadlines.first, node.inherited.deadlines.first)),
             startBy(std::min(own.deadlines.last, node.inherited.deadlines.last))}};
}

InheritedUrgency DependencyGraph::mostUrgent(const Node& node) {
    InheritedUrgency urgency;
    for (std::size_t p = 0; p < node.priorities.size(); ++p) {
        if (node.priorities.at(p) == 0) continue;
        urgency.priority = static_cast<Priority>(p);
        break;
    }
    if (!node.firstDeadlines.empty())
        urgency.deadlines = {*node.firstDeadlines.begin(), *node.lastDeadlines.begin()};
    return urgency;
}

void DependencyGraph::addUrgency(Node& dependency, const InheritedUrgency& urgency) {
    ++dependency.priorities.at(static_cast<std::size_t>(urgency.priority));
    dependency.firstDeadlines.insert(urgency.deadlines.first);
    dependency.lastDeadlines.insert(urgency.deadlines.last);
}

void DependencyGraph::removeUrgency(Node& dependency, const InheritedUrgency& urgency) {
    auto& first = dependency.firstDeadlines;
    auto& last = dependency.lastDeadlines;
    --dependency.priorities.at(static_cast<std::size_t>(urgency.priority));
    first.erase(first.find(urgency.deadlines.first));
    last.erase(last.find(urgency.deadlines.last));
}

void DependencyGraph::propagateUrgency(Pending pending) {
    while (!pending.empty()) {
        Node& node = **pending.begin();
        pending.erase(pending.begin());
        ++visitedNodes_;
        const InheritedUrgency inherited = mostUrgent(node);
        if (inherited != node.inherited) {
            node.inherited = inherited;
            changes_.urgencyChanged.push_back(node.id);
        }
        const bool counts = node.outcome == JobOutcome::open && node.cancelledDependency == nullptr;
        const InheritedUrgency passesOn = urgencyForDependencies(node);
        if (counts == node.urgencyCounted && (!counts || passesOn == node.passedOn)) continue;
        for (Node* dependency : node.dependencies) {
            if (node.urgencyCounted) removeUrgency(*dependency, node.passedOn);
            if (counts) addUrgency(*dependency, passesOn);
            // A job that has ended is not scheduled any more, so its urgency is not updated.
            if (dependency->outcome == JobOutcome::open) pending.insert(dependency);
        }
        node.urgencyCounted = counts;
        node.passedOn = passesOn;
    }
}

void DependencyGraph::addDependencies(const JobId& id, const std::vector<JobId>& dependencies) {
    Node& node = nodes_.at(id);
    for (const auto& dependencyId : dependencies) {
        // A dependency without records counts as open for ever, so that the job cannot start.
        addJob(dependencyId, {}, JobOutcome::open);
        Node& dependency = nodes_.at(dependencyId);
        ++visitedNodes_;
        node.dependencies.push_back(&dependency);
        dependency.dependents.push_back(&node);
        node.depth = std::max(node.depth, dependency.depth + 1);
        if (dependency.outcome != JobOutcome::done) ++node.unfinishedDependencies;
        if (node.cancelledDependency != nullptr || node.outcome != JobOutcome::open) continue;
        if (dependency.outcome == JobOutcome::cancelled)
            node.cancelledDependency = &dependency;
        else if (dependency.cancelledDependency != nullptr)
            node.cancelledDependency = dependency.cancelledDependency;
    }
    propagateUrgency({&node});
}

void DependencyGraph::removeJob(const JobId& id) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end()) return;
    Node& node = it->second;
    // A cancelled job passes on no urgency, so its dependencies lose what they have counted of it.
    node.outcome = JobOutcome::cancelled;
    propagateUrgency({&node});
    for (Node* dependency : node.dependencies) std::erase(dependency->dependents, &node);
    nodes_.erase(it);
}

void DependencyGraph::cancelDependents(Node& node) {
    Pending pending{&node};
    std::vector<Node*> toVisit{&node};
    const Node* cause = node.cancelledDependency != nullptr ? node.cancelledDependency : &node;
    while (!toVisit.empty()) {
        const Node& cancelled = *toVisit.back();
        toVisit.pop_back();
        for (Node* dependent : cancelled.dependents) {
            ++visitedNodes_;
            if (dependent->cancelledDependency != nullptr || dependent->outcome != JobOutcome::open)
                continue;
            dependent->cancelledDependency = cause;
            changes_.cancelled.push_back(dependent->id);
            pending.insert(dependent);
            toVisit.push_back(dependent);
        }
    }
    propagateUrgency(std::move(pending));
}

void DependencyGraph::setOutcome(const JobId& id, JobOutcome outcome) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.outcome != JobOutcome::open || outcome == JobOutcome::open)
        return;
    Node& node = it->second;
    node.outcome = outcome;
    if (outcome == JobOutcome::cancelled) return cancelDependents(node);
    for (Node* dependent : node.dependents) {
        ++visitedNodes_;
        if (--dependent->unfinishedDependencies == 0 && dependent->cancelledDependency == nullptr &&
            dependent->outcome == JobOutcome::open)
            changes_.released.push_back(dependent->id);
    }
}

void DependencyGraph::setDuration(const JobId& id, Duration duration) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.outcome != JobOutcome::open) return;
    it->second.properties.duration = duration;
    propagateUrgency({&it->second});
}

bool DependencyGraph::isBlocked(const JobId& id) const {
    const Node* node = find(id);
    return node != nullptr && node->unfinishedDependencies > 0 &&
           node->cancelledDependency == nullptr && node->outcome == JobOutcome::open;
}

const JobId* DependencyGraph::cancelledDependency(const JobId& id) const {
    const Node* node = find(id);
    return node == nullptr || node->cancelledDependency == nullptr ? nullptr
                                                                   : &node->cancelledDependency->id;
}

std::vector<JobId> DependencyGraph::unfinishedDependencies(const JobId& id) const {
    std::vector<JobId> unfinished;
    if (const Node* node = find(id))
        for (const Node* dependency : node->dependencies)
            if (dependency->outcome != JobOutcome::done) unfinished.push_back(dependency->id);
    return unfinished;
}

InheritedUrgency DependencyGraph::inheritedUrgency(const JobId& id) const {
    const Node* node = find(id);
    return node == nullptr ? InheritedUrgency{} : node->inherited;
}

DependencyGraph::Changes DependencyGraph::takeChanges() {
    return std::exchange(changes_, {});
}

InheritedUrgency DependencyGraph::recomputeInherited(const Node& node) {
    InheritedUrgency inherited;
    for (const Node* dependent : node.dependents) {
        if (dependent->outcome != JobOutcome::open || dependent->cancelledDependency != nullptr)
            continue;
        const InheritedUrgency urgency = urgencyForDependencies(*dependent);
        inherited.priority = std::min(inherited.priority, urgency.priority);
        inherited.deadlines.first = std::min(inherited.deadlines.first, urgency.deadlines.first);
        inherited.deadlines.last = std::min(inherited.deadlines.last, urgency.deadlines.last);
    }
    return inherited;
}

std::string DependencyGraph::findInconsistency(const Node& node) {
    std::uint32_t unfinished = 0;
    bool cancelled = false;
    for (const Node* dependency : node.dependencies) {
        unfinished += dependency->outcome != JobOutcome::done ? 1 : 0;
        cancelled = cancelled || dependency->outcome == JobOutcome::cancelled ||
                    dependency->cancelledDependency != nullptr;
        if (dependency->depth >= node.depth) return "depth of " + node.id;
    }
    if (unfinished != node.unfinishedDependencies)
        return "count of unfinished dependencies of " + node.id;
    if (node.outcome != JobOutcome::open) return "";
    if (cancelled != (node.cancelledDependency != nullptr))
        return "whether " + node.id + " is cancelled with another";
    if (recomputeInherited(node) != node.inherited) return "urgency inherited by " + node.id;
    return "";
}

std::string DependencyGraph::findInconsistency() const {
    for (const auto& [id, node] : nodes_)
        if (auto inconsistency = findInconsistency(node); !inconsistency.empty())
            return inconsistency;
    return "";
}

}  // namespace basaltchute::dependencies
