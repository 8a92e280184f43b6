#include "dependencies/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace basaltchute::dependencies {

std::vector<DependentJob> topologicalOrder(std::vector<DependentJob> jobs) {
    std::unordered_map<JobId, std::size_t> place;
    for (std::size_t i = 0; i < jobs.size(); ++i) place[jobs[i].id] = i;
    std::vector<std::size_t> open(jobs.size(), 0);
    std::vector<std::vector<std::size_t>> after(jobs.size());
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        for (const auto& need : jobs[i].dependencies)
            if (const auto at = place.find(need); at != place.end()) {
                ++open[i];
                after[at->second].push_back(i);
            }
        if (open[i] == 0) ready.push_back(i);
    }
    std::vector<DependentJob> out;
    for (std::size_t n = 0; n < ready.size(); ++n) {
        for (const std::size_t later : after[ready[n]])
            if (--open[later] == 0) ready.push_back(later);
        out.push_back(std::move(jobs[ready[n]]));
    }
    return out;
}

const DependencyGraph::Node* DependencyGraph::find(const JobId& id) const {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : &it->second;
}

void DependencyGraph::addJob(const JobId& id, const JobProperties& own, JobOutcome fate) {
    const auto [it, fresh] = nodes_.try_emplace(id);
    if (!fresh) return;
    Node& n = it->second;
    n.id = id;
    n.properties = own;
    n.outcome = fate;
    n.number = ++nextNumber_;
}

InheritedUrgency DependencyGraph::urgencyForDependencies(const Node& n) {
    const auto less = [&](TimePoint end) {
        return end == Deadlines::never ? end : end - n.properties.duration;
    };
    return {std::min(n.properties.priority, n.inherited.priority),
            {less(std::min(n.properties.ends.first, n.inherited.ends.first)),
             less(std::min(n.properties.ends.last, n.inherited.ends.last))}};
}

InheritedUrgency DependencyGraph::mostUrgent(const Node& n) {
    InheritedUrgency u;
    for (std::size_t p = 0; p < n.priorities.size(); ++p) {
        if (n.priorities.at(p) == 0) continue;
        u.priority = static_cast<Priority>(p);
        break;
    }
    if (!n.first.empty()) u.ends = {*n.first.begin(), *n.last.begin()};
    return u;
}

void DependencyGraph::count(Node& at, const InheritedUrgency& u, bool add) {
    auto& here = at.priorities.at(static_cast<std::size_t>(u.priority));
    here = add ? here + 1 : here - 1;
    if (add) {
        at.first.insert(u.ends.first);
        at.last.insert(u.ends.last);
    } else {
        at.first.erase(at.first.find(u.ends.first));
        at.last.erase(at.last.find(u.ends.last));
    }
}

void DependencyGraph::propagateUrgency(Pending pending) {
    while (!pending.empty()) {
        Node& n = **pending.begin();
        pending.erase(pending.begin());
        ++visitedNodes_;
        const InheritedUrgency asked = mostUrgent(n);
        if (asked != n.inherited) {
            n.inherited = asked;
            changes_.urgency.push_back(n.id);
        }
        const bool counts = n.outcome == JobOutcome::open && n.cancelledWith == nullptr;
        const InheritedUrgency asks = urgencyForDependencies(n);
        if (counts == n.counted && (!counts || asks == n.passedOn)) continue;
        for (Node* need : n.dependencies) {
            if (n.counted) count(*need, n.passedOn, false);
            if (counts) count(*need, asks, true);
            // Of what is over nobody asks anything.
            if (need->outcome == JobOutcome::open) pending.insert(need);
        }
        n.counted = counts;
        n.passedOn = asks;
    }
}

void DependencyGraph::addDependencies(const JobId& id, const std::vector<JobId>& needs) {
    Node& n = nodes_.at(id);
    for (const auto& need : needs) {
        // What is not on record is never done, so what names it cannot start.
        addJob(need, {}, JobOutcome::open);
        Node& before = nodes_.at(need);
        ++visitedNodes_;
        n.dependencies.push_back(&before);
        before.dependents.push_back(&n);
        n.depth = std::max(n.depth, before.depth + 1);
        if (before.outcome != JobOutcome::done) ++n.unfinishedDependencies;
        if (n.cancelledWith != nullptr || n.outcome != JobOutcome::open) continue;
        if (before.outcome == JobOutcome::cancelled)
            n.cancelledWith = &before;
        else if (before.cancelledWith != nullptr)
            n.cancelledWith = before.cancelledWith;
    }
    propagateUrgency({&n});
}

void DependencyGraph::cancelDependents(Node& node) {
    Pending pending{&node};
    std::vector<Node*> next{&node};
    const Node* with = node.cancelledWith != nullptr ? node.cancelledWith : &node;
    while (!next.empty()) {
        Node& n = *next.back();
        next.pop_back();
        for (Node* later : n.dependents) {
            ++visitedNodes_;
            if (later->cancelledWith != nullptr || later->outcome != JobOutcome::open) continue;
            later->cancelledWith = with;
            changes_.cancelled.push_back(later->id);
            pending.insert(later);
            next.push_back(later);
        }
    }
    propagateUrgency(std::move(pending));
}

void DependencyGraph::setOutcome(const JobId& id, JobOutcome fate) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.outcome != JobOutcome::open || fate == JobOutcome::open)
        return;
    Node& n = it->second;
    n.outcome = fate;
    if (fate == JobOutcome::cancelled) return cancelDependents(n);
    for (Node* later : n.dependents) {
        ++visitedNodes_;
        if (--later->unfinishedDependencies == 0 && later->cancelledWith == nullptr &&
            later->outcome == JobOutcome::open)
            changes_.released.push_back(later->id);
    }
}

void DependencyGraph::setDuration(const JobId& id, Duration takes) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.outcome != JobOutcome::open) return;
    it->second.properties.duration = takes;
    propagateUrgency({&it->second});
}

bool DependencyGraph::isBlocked(const JobId& id) const {
    const Node* n = find(id);
    return n != nullptr && n->unfinishedDependencies > 0 && n->cancelledWith == nullptr &&
           n->outcome == JobOutcome::open;
}

const JobId* DependencyGraph::cancelledWith(const JobId& id) const {
    const Node* n = find(id);
    return n == nullptr || n->cancelledWith == nullptr ? nullptr : &n->cancelledWith->id;
}

std::vector<JobId> DependencyGraph::unfinishedDependencies(const JobId& id) const {
    std::vector<JobId> out;
    if (const Node* n = find(id))
        for (const Node* need : n->dependencies)
            if (need->outcome != JobOutcome::done) out.push_back(need->id);
    return out;
}

InheritedUrgency DependencyGraph::inheritedUrgency(const JobId& id) const {
    const Node* n = find(id);
    return n == nullptr ? InheritedUrgency{} : n->inherited;
}

DependencyGraph::Changes DependencyGraph::takeChanges() {
    return std::exchange(changes_, {});
}

std::string DependencyGraph::findInconsistency() const {
    for (const auto& [id, n] : nodes_) {
        std::uint32_t unmet = 0;
        bool cancelled = false;
        for (const Node* need : n.dependencies) {
            unmet += need->outcome != JobOutcome::done ? 1 : 0;
            cancelled = cancelled || need->outcome == JobOutcome::cancelled ||
                        need->cancelledWith != nullptr;
            if (need->depth >= n.depth) return "the depth of " + id;
        }
        if (unmet != n.unfinishedDependencies) return "what " + id + " waits for";
        if (n.outcome != JobOutcome::open) continue;
        if (cancelled != (n.cancelledWith != nullptr))
            return "whether " + id + " is cancelled with another";
        InheritedUrgency plain;
        for (const Node* later : n.dependents) {
            if (later->outcome != JobOutcome::open || later->cancelledWith != nullptr) continue;
            const InheritedUrgency u = urgencyForDependencies(*later);
            plain.priority = std::min(plain.priority, u.priority);
            plain.ends.first = std::min(plain.ends.first, u.ends.first);
            plain.ends.last = std::min(plain.ends.last, u.ends.last);
        }
        if (plain != n.inherited) return "what is asked of " + id;
    }
    return "";
}

}  // namespace basaltchute::dependencies
