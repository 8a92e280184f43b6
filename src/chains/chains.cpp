#include "chains/chains.h"

#include <algorithm>
#include <utility>

namespace basaltchute::chains {

std::vector<Waiting> inOrder(std::vector<Waiting> jobs) {
    std::unordered_map<JobId, std::size_t> place;
    for (std::size_t i = 0; i < jobs.size(); ++i) place[jobs[i].id] = i;
    std::vector<std::size_t> open(jobs.size(), 0);
    std::vector<std::vector<std::size_t>> after(jobs.size());
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        for (const auto& need : jobs[i].needs)
            if (const auto at = place.find(need); at != place.end()) {
                ++open[i];
                after[at->second].push_back(i);
            }
        if (open[i] == 0) ready.push_back(i);
    }
    std::vector<Waiting> out;
    for (std::size_t n = 0; n < ready.size(); ++n) {
        for (const std::size_t later : after[ready[n]])
            if (--open[later] == 0) ready.push_back(later);
        out.push_back(std::move(jobs[ready[n]]));
    }
    return out;
}

const Graph::Node* Graph::find(const JobId& id) const {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : &it->second;
}

void Graph::join(const JobId& id, const Own& own, Fate fate) {
    const auto [it, fresh] = nodes_.try_emplace(id);
    if (!fresh) return;
    Node& n = it->second;
    n.id = id;
    n.own = own;
    n.fate = fate;
    n.number = ++numbers_;
}

Urgency Graph::asking(const Node& n) {
    const auto less = [&](TimePoint end) { return end == Ends::never ? end : end - n.own.takes; };
    return {std::min(n.own.priority, n.asked.priority),
            {less(std::min(n.own.ends.first, n.asked.ends.first)),
             less(std::min(n.own.ends.last, n.asked.ends.last))}};
}

Urgency Graph::most(const Node& n) {
    Urgency u;
    for (std::size_t p = 0; p < n.priorities.size(); ++p) {
        if (n.priorities.at(p) == 0) continue;
        u.priority = static_cast<Priority>(p);
        break;
    }
    if (!n.first.empty()) u.ends = {*n.first.begin(), *n.last.begin()};
    return u;
}

void Graph::count(Node& at, const Urgency& u, bool add) {
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

void Graph::handUp(Pending pending) {
    while (!pending.empty()) {
        Node& n = **pending.begin();
        pending.erase(pending.begin());
        ++looks_;
        const Urgency asked = most(n);
        if (asked != n.asked) {
            n.asked = asked;
            changes_.urgency.push_back(n.id);
        }
        const bool counts = n.fate == Fate::open && n.with == nullptr;
        const Urgency asks = asking(n);
        if (counts == n.counted && (!counts || asks == n.asks)) continue;
        for (Node* need : n.needs) {
            if (n.counted) count(*need, n.asks, false);
            if (counts) count(*need, asks, true);
            // Of what is over nobody asks anything.
            if (need->fate == Fate::open) pending.insert(need);
        }
        n.counted = counts;
        n.asks = asks;
    }
}

void Graph::link(const JobId& id, const std::vector<JobId>& needs) {
    Node& n = nodes_.at(id);
    for (const auto& need : needs) {
        // What is not on record is never done, so what names it cannot start.
        join(need, {}, Fate::open);
        Node& before = nodes_.at(need);
        ++looks_;
        n.needs.push_back(&before);
        before.neededBy.push_back(&n);
        n.depth = std::max(n.depth, before.depth + 1);
        if (before.fate != Fate::done) ++n.unmet;
        if (n.with != nullptr || n.fate != Fate::open) continue;
        if (before.fate == Fate::cancelled)
            n.with = &before;
        else if (before.with != nullptr)
            n.with = before.with;
    }
    handUp({&n});
}

void Graph::cancelAfter(Node& node) {
    Pending pending{&node};
    std::vector<Node*> next{&node};
    const Node* with = node.with != nullptr ? node.with : &node;
    while (!next.empty()) {
        Node& n = *next.back();
        next.pop_back();
        for (Node* later : n.neededBy) {
            ++looks_;
            if (later->with != nullptr || later->fate != Fate::open) continue;
            later->with = with;
            changes_.cancelled.push_back(later->id);
            pending.insert(later);
            next.push_back(later);
        }
    }
    handUp(std::move(pending));
}

void Graph::settle(const JobId& id, Fate fate) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.fate != Fate::open || fate == Fate::open) return;
    Node& n = it->second;
    n.fate = fate;
    if (fate == Fate::cancelled) return cancelAfter(n);
    for (Node* later : n.neededBy) {
        ++looks_;
        if (--later->unmet == 0 && later->with == nullptr && later->fate == Fate::open)
            changes_.released.push_back(later->id);
    }
}

void Graph::retime(const JobId& id, Duration takes) {
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || it->second.fate != Fate::open) return;
    it->second.own.takes = takes;
    handUp({&it->second});
}

bool Graph::waits(const JobId& id) const {
    const Node* n = find(id);
    return n != nullptr && n->unmet > 0 && n->with == nullptr && n->fate == Fate::open;
}

const JobId* Graph::cancelledWith(const JobId& id) const {
    const Node* n = find(id);
    return n == nullptr || n->with == nullptr ? nullptr : &n->with->id;
}

std::vector<JobId> Graph::unmet(const JobId& id) const {
    std::vector<JobId> out;
    if (const Node* n = find(id))
        for (const Node* need : n->needs)
            if (need->fate != Fate::done) out.push_back(need->id);
    return out;
}

Urgency Graph::urgency(const JobId& id) const {
    const Node* n = find(id);
    return n == nullptr ? Urgency{} : n->asked;
}

Graph::Changes Graph::take() {
    return std::exchange(changes_, {});
}

std::string Graph::check() const {
    for (const auto& [id, n] : nodes_) {
        std::uint32_t unmet = 0;
        bool cancelled = false;
        for (const Node* need : n.needs) {
            unmet += need->fate != Fate::done ? 1 : 0;
            cancelled = cancelled || need->fate == Fate::cancelled || need->with != nullptr;
            if (need->depth >= n.depth) return "the depth of " + id;
        }
        if (unmet != n.unmet) return "what " + id + " waits for";
        if (n.fate != Fate::open) continue;
        if (cancelled != (n.with != nullptr)) return "whether " + id + " is cancelled with another";
        Urgency plain;
        for (const Node* later : n.neededBy) {
            if (later->fate != Fate::open || later->with != nullptr) continue;
            const Urgency u = asking(*later);
            plain.priority = std::min(plain.priority, u.priority);
            plain.ends.first = std::min(plain.ends.first, u.ends.first);
            plain.ends.last = std::min(plain.ends.last, u.ends.last);
        }
        if (plain != n.asked) return "what is asked of " + id;
    }
    return "";
}

}  // namespace basaltchute::chains
