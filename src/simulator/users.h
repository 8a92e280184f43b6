#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "simulator/history.h"
#include "simulator/network.h"

namespace basaltchute::simulator {

/// The load balancer of a site: which node a new connection goes to, by probes of `/up`.
class Balancer {
  public:
    Balancer(Timeline& time, EventLoop& loop, Scope& scope, std::vector<std::string> nodes);
    /// Up to three healthy nodes to try, the first to be preferred.
    std::vector<std::size_t> choose();
    void failed(std::size_t node);
    void opened(std::size_t node) { ++nodes_[node].open; }
    void closed(std::size_t node) { --nodes_[node].open; }
    [[nodiscard]] const std::string& address(std::size_t node) const {
        return nodes_[node].address;
    }

  private:
    struct Node {
        std::string address;
        bool healthy = false, ever = false;
        int open = 0, failures = 0, good = 0, bad = 0;
        std::deque<bool> probes;
        TimePoint notBefore{}, skipUntil{}, removedAt{};
        Duration pause = std::chrono::seconds(3);
    };
    Task<void> probe(std::size_t node);
    void took(Node& node, bool well);
    Timeline& time_;
    EventLoop& loop_;
    Scope& scope_;
    std::vector<Node> nodes_;
};

/// The users of a site, by the published protocol: each job has one, who submits it, repeats that
/// until it is answered, polls, and perhaps withdraws it.
class Users {
  public:
    Users(Timeline& time, Machine& machine, const std::vector<std::string>& nodes,
          History& history);
    struct PlannedJob {
        JobSpec spec;
        std::optional<double> cancelAfterS;  // once it is accepted
        std::optional<double> repeatAfterS;  // submits it once more, long after
        double pollTimeoutS = 1e9;           // stops polling
    };
    void submit(PlannedJob wish);
    /// Jobs that need others of the same pipeline: submitted one after another, each as soon as
    /// those that it needs are accepted; `lastLate`: the last only when the others are over.
    struct Pipeline {
        std::vector<PlannedJob> jobs;
        std::vector<std::vector<std::size_t>> dependencies;  // for each, which of them
        bool lastLate = false;
    };
    void submit(Pipeline pipeline);
    /// Some array that was accepted, of no pipeline; empty if there is none.
    [[nodiscard]] std::string anyAcceptedJob();
    /// From now on somebody asks every node, again and again within milliseconds, and repeats the
    /// submission, whenever a job was said to be accepted, done or cancelled; some cancel at once.
    void pollClosely(bool on) { pollClosely_ = on; }
    /// Its user calls off a job that was accepted.
    void cancelNow(const std::string& job);
    /// Somebody repeats the submission of a job, cancels one that is done, or sends what can never
    /// run or lacks a field.
    void sendOddRequest();
    /// A message that the network had kept: it arrives at some node, and nobody waits for the
    /// answer.
    void deliver(std::string target, std::string body);
    void deliverTo(std::size_t node, std::string target, std::string body);
    /// Somebody asks about a job that nobody has submitted.
    void pollUnknownJob();
    void end();

  private:
    /// How far a job is, for those who wait to submit what needs it.
    enum class Stage { submitted, accepted, refused, over };
    Task<void> follow(PlannedJob wish);
    Task<void> follow(Pipeline pipeline);
    Task<void> post(std::size_t node, std::string target, std::string body);
    Task<void> pollAllNodes(std::string job, bool mayCancel);
    /// One node is asked, whatever the load balancer thinks of it.
    Task<std::optional<http::Response>> askAt(std::size_t node, std::string job,
                                              HistoryEvent::Question question, TimePoint until,
                                              std::size_t asked);
    Task<void> peek(std::size_t node, std::string job, HistoryEvent::Question question);
    Task<void> submitUnfit(std::string id);
    Task<void> cancel(std::string job);
    Task<void> repeat(std::string job);
    void learn(const std::string& job, int status, const std::string& word);
    void reached(const std::string& job, Stage stage) {
        stages_[job] = stage;
        moved_.notify();
    }
    Task<void> strayPoll(std::string id);
    /// Nothing if no node answered in time.
    Task<std::optional<http::Response>> ask(std::string job, HistoryEvent::Question question,
                                            Duration timeout);
    Task<bool> requestCancel(std::string job);
    /// Where in the history it stands.
    std::size_t say(HistoryEvent::Kind kind, const std::string& job,
                    HistoryEvent::Question question, int status = 0, std::string word = "",
                    std::optional<std::size_t> asked = {});
    [[nodiscard]] http::Request request(const std::string& job,
                                        HistoryEvent::Question question) const;

    Timeline& time_;
    Machine& machine_;
    EventLoop& loop_;
    Scope scope_;
    Balancer balancer_;
    History& history_;
    std::uint64_t strays_ = 0;
    std::map<std::string, Stage> stages_;
    std::vector<std::string> accepted_;
    bool pollClosely_ = false;
    std::map<std::string, std::string> newestAnswers_;  // the newest that was told of each job
    std::map<std::string, std::string> unfitBodies_;
    std::uint64_t unfits_ = 0;
    basaltchute::Event moved_;
    std::size_t nodes_ = 0;
};

/// A submission as users send it.
std::string submissionBody(const JobSpec& spec);

}  // namespace basaltchute::simulator
