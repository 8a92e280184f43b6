// The simulated users of a site and their load balancer. The simulation owns them.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http/client.h"
#include "simulator/history.h"
#include "simulator/network.h"

namespace basaltchute::simulator {

/// The load balancer of a site. It probes `/up` on each node and chooses nodes for new connections.
class Balancer {
  public:
    Balancer(Timeline& time, EventLoop& loop, Scope& scope, std::vector<std::string> nodes);
    /// Returns up to three healthy nodes in the order in which to try them.
    std::vector<std::size_t> choose();
    /// Reports a failed connection attempt; after three the node is skipped for 3 s.
    void connectFailed(std::size_t node);
    /// Count the open connections of a node, which decide the order of `choose`.
    void connectionOpened(std::size_t node) { ++nodes_[node].open; }
    void connectionClosed(std::size_t node) { --nodes_[node].open; }
    [[nodiscard]] const std::string& address(std::size_t node) const {
        return nodes_[node].address;
    }

  private:
    /// What the load balancer knows about a node.
    struct Node {
        std::string address;
        bool healthy = false, everHealthy = false;
        int open = 0, failures = 0, successesInRow = 0, failuresInRow = 0;
        std::deque<bool> probes;
        TimePoint unhealthyUntil{}, skipUntil{}, removedAt{};
        Duration backoff = std::chrono::seconds(3);
    };
    Task<void> probe(std::size_t node);
    void recordProbe(Node& node, bool succeeded);
    Timeline& time_;
    EventLoop& loop_;
    Scope& scope_;
    std::vector<Node> nodes_;
};

/// The users of a site, who follow the published protocol. Each job has one user, who submits it,
/// retries until there is an answer, polls it, and may cancel it. All requests and answers are
/// recorded in the history.
class Users {
  public:
    Users(Timeline& time, Machine& machine, const std::vector<std::string>& nodes,
          History& history);
    /// A job and what its user will do with it. Times are seconds after its acceptance.
    struct PlannedJob {
        JobSpec spec;
        std::optional<double> cancelAfterS;  // cancels it
        std::optional<double> repeatAfterS;  // submits it again
        double pollTimeoutS = 1e9;           // stops polling
    };
    /// Starts the user of a job, who submits it at once.
    void submit(PlannedJob planned);
    /// Jobs that depend on others of the same pipeline. They are submitted in order, each as soon
    /// as its dependencies are accepted; with `lastLate`, the last one when its dependencies have
    /// ended.
    struct Pipeline {
        std::vector<PlannedJob> jobs;
        std::vector<std::vector<std::size_t>> dependencies;  // for each job, indexes of others
        bool lastLate = false;
    };
    /// Starts the user of a pipeline.
    void submit(Pipeline pipeline);
    /// Returns the id of a random accepted array job without dependencies; empty if there is none.
    [[nodiscard]] std::string anyAcceptedJob();
    /// While on: as soon as a job is reported accepted, done or cancelled, its status is polled and
    /// its submission repeated at every node several times within milliseconds, and some jobs are
    /// then cancelled.
    void pollClosely(bool on) { pollClosely_ = on; }
    /// Has a job that is known to be accepted cancelled now; does nothing for other jobs.
    void cancelNow(const std::string& job);
    /// Sends one unusual request: repeats a submission, cancels a job that has ended, or submits a
    /// job that can never run or lacks a field.
    void sendOddRequest();
    /// Delivers a POST that the network had delayed to a healthy node; the answer is ignored.
    void deliver(std::string target, std::string body);
    /// The same, to a given node.
    void deliverTo(std::size_t node, std::string target, std::string body);
    /// Polls a job that was never submitted.
    void pollUnknownJob();
    /// Disconnects the users and ends all their coroutines.
    void end();

  private:
    /// The progress of a job, for pipelines that wait to submit its dependents.
    enum class Stage { submitted, accepted, refused, over };
    Task<void> follow(PlannedJob planned);
    Task<void> follow(Pipeline pipeline);
    Task<void> post(std::size_t node, std::string target, std::string body);
    Task<void> pollAllNodes(std::string job, bool mayCancel);
    /// Sends a request to a given node, whether or not the load balancer considers it healthy.
    Task<std::optional<http::Response>> askNode(std::size_t node, std::string job,
                                                HistoryEvent::Question question, TimePoint until,
                                                std::size_t asked);
    Task<void> askNodeOnce(std::size_t node, std::string job, HistoryEvent::Question question);
    Task<void> submitUnfit(std::string id);
    Task<void> cancel(std::string job);
    Task<void> repeat(std::string job);
    void noteAnswer(const std::string& job, int status, const std::string& word);
    void setStage(const std::string& job, Stage stage) {
        stages_[job] = stage;
        stageChanged_.notify();
    }
    Task<void> pollOnce(std::string id);
    /// Sends a request through the load balancer; no value if no node answered in time.
    Task<std::optional<http::Response>> ask(std::string job, HistoryEvent::Question question,
                                            Duration timeout);
    Task<bool> requestCancel(std::string job);
    /// Adds an event to the history and returns its index.
    std::size_t record(HistoryEvent::Kind kind, const std::string& job,
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
    std::uint64_t unknownJobCount_ = 0;
    std::map<std::string, Stage> stages_;
    std::vector<std::string> accepted_;
    bool pollClosely_ = false;
    std::map<std::string, std::string> newestAnswers_;  // by job: accepted, done or cancelled
    std::map<std::string, std::string> unfitBodies_;
    std::uint64_t unfitCount_ = 0;
    basaltchute::Event stageChanged_;
    std::size_t nodeCount_ = 0;
};

/// Returns the JSON body with which users submit a job.
std::string submissionBody(const JobSpec& spec);

}  // namespace basaltchute::simulator
