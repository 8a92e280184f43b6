#pragma once
// Fakes of the services that the gateway talks to, for tests and load tests only: a broker that
// uses the gateway's own AMQP 1.0 implementation, and the job API of the controllers.
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/amqp/connection.h"
#include "http/server.h"

namespace basaltchute::gateway::testing {

/// A fake broker with link credit, redelivery counts and dead letters. Messages sent to an address
/// that is not a queue are kept in `received`.
class Broker {
  public:
    Broker(EventLoop& loop, Scope& scope);
    ~Broker();
    Broker(const Broker&) = delete;
    Broker& operator=(const Broker&) = delete;
    [[nodiscard]] std::string address() const { return listener_.address(); }
    /// Adds a message to a queue and delivers it as soon as a receiver has credit.
    void publish(const std::string& queue, amqp::Message message);
    /// Drops all connections without an AMQP close.
    void cutAll();
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }

    /// A queue and what became of its messages.
    struct Queue {
        std::deque<amqp::Message> waiting;
        std::size_t unsettled = 0, accepted = 0;
        std::vector<std::pair<amqp::Message, amqp::Condition>> dead;
    };
    std::map<std::string, Queue> queues;
    std::map<std::string, std::vector<amqp::Message>> received;  // by address, in order
    bool refusing = false;                                       // closes new connections at once
    /// The disposition of a message sent to an address; messages are accepted if this is not set.
    std::function<amqp::Disposition(const std::string& address)> dispositionFor;

  private:
    class Session;
    Task<void> acceptAll();
    Task<void> serve(std::unique_ptr<Socket> socket);
    void feed(const std::string& queue);
    EventLoop& loop_;
    Scope& scope_;
    Listener listener_;
    std::list<std::shared_ptr<Session>> sessions_;
};

/// A fake controller: accepts jobs and finishes them after `runTime`. The `build` field of a job is
/// the marker of the message that it came from.
class JobService {
  public:
    JobService(EventLoop& loop, Scope& scope, const std::string& address = "127.0.0.1:0");
    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Serves the same jobs at one more address, like a second controller.
    void alsoAt(const std::string& address);

    /// A job that was submitted at least once.
    struct Job {
        std::string marker, body;
        TimePoint ends{};
        int submissions = 0;
    };
    std::map<std::string, Job> jobs;                      // by ref
    std::map<std::string, std::set<std::string>> refsOf;  // by marker
    enum class Fault {
        none,
        refused,
        mute,
        lost
    };  // mute: executed, not answered; lost: not executed, not answered
    std::function<Fault(const http::Request&)> fault;
    std::function<Duration()> runTime = [] { return std::chrono::seconds(1); };
    std::set<std::string> impossible;  // markers of jobs that are answered with 422

  private:
    Task<http::Response> handle(http::Request request);
    http::Response serve(const http::Request& request);
    EventLoop& loop_;
    Scope& scope_;
    http::Server server_;
    std::vector<std::unique_ptr<http::Server>> others_;
};

}  // namespace basaltchute::gateway::testing
