#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace basaltchute::gateway {

/// Serves waiting items of the teams in turn, so that a backlog of one team delays an item of
/// another by at most one item per team.
template <typename T>
class RoundRobinQueue {
  public:
    void push(const std::string& team, T item) {
        waiting_[team].push_back(std::move(item));
        ++size_;
    }
    std::optional<T> next() {
        if (waiting_.empty()) return std::nullopt;
        auto it = waiting_.upper_bound(last_);
        if (it == waiting_.end()) it = waiting_.begin();
        last_ = it->first;
        std::optional<T> out(std::move(it->second.front()));
        it->second.pop_front();
        --size_;
        if (it->second.empty()) waiting_.erase(it);
        return out;
    }
    [[nodiscard]] std::size_t size() const { return size_; }

  private:
    std::map<std::string, std::deque<T>> waiting_;  // contains no team without items
    std::string last_;
    std::size_t size_ = 0;
};

}  // namespace basaltchute::gateway
