#pragma once
#include <memory>
#include <set>

#include "controller/controller.h"
#include "simulator/agent.h"
#include "simulator/checker.h"
#include "simulator/scenario.h"
#include "simulator/users.h"

namespace basaltchute::simulator {

/// Sites with real controllers in a simulated world: what happens follows from scenario and seed.
class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed);
    // A controller that does not end has to end the program.
    // NOLINTNEXTLINE(bugprone-exception-escape)
    ~Simulation();
    Simulation(const Simulation&) = delete;
    Simulation& operator=(const Simulation&) = delete;
    /// Plays the scenario to its end.
    void run();
    /// Lets only these faults happen, by their place in faults(); for finding the fewest.
    void applyOnlyFaults(const std::set<std::size_t>& which) { kept_ = which; }
    [[nodiscard]] const std::vector<Fault>& faults() const { return faults_; }
    [[nodiscard]] const History& history() const { return history_; }
    [[nodiscard]] CheckResult checkResult() const { return check(history_, rules_); }
    /// Changes that the state services carried out, by the first part of their keys.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& writesByKeyPrefix() const {
        return changes_;
    }

  private:
    struct Node {
        settings::Settings settings;
        settings::OperatorSettings operatorSettings;
        std::unique_ptr<Machine> machine;
        std::unique_ptr<controller::Controller> controller;
        int refused = 0;  // by the state service, alone; as often as that was begun
    };
    struct Site {
        SiteOptions terms;
        std::size_t number = 0;
        std::unique_ptr<Machine> services, users;
        std::unique_ptr<Scope> scope;
        std::unique_ptr<StateService> state;
        std::unique_ptr<Cloud> cloud;
        std::unique_ptr<Users> people;
        std::vector<std::unique_ptr<Node>> nodes;
        AgentEnvironment workerTerms;
        std::vector<std::unique_ptr<Machine>> machines;
        std::map<std::string, std::unique_ptr<Agent>> workers;
        std::vector<std::unique_ptr<Agent>> former;  // that were started again
        std::uint64_t named = 0;
        std::map<std::string, double> load;  // how many times as many of a class come
        /// Reports are copied, and the copies come so late.
        double copiesLateS = 0;
        /// Troubles of the state service that last, each as often as it was begun.
        int outages = 0, stateLate = 0, stateSlow = 0, lateWrites = 0, answersLost = 0;
        /// Likewise of users, of reports and of the links between controllers.
        int closeLooks = 0, oddRequests = 0, cancelAtEnd = 0, copiesForNext = 0, peersSlow = 0;
        double lateShare = 0, lostShare = 0, endShare = 0, copyShare = 0;
        std::vector<std::string> kept;  // reports, for the next leader
    };
    void build(Site& site);
    void start(Node& node);
    void crash(Node& node, double backS);
    static void stop(Node& node);
    void arrive(Site& site);
    void submit(Site& s, const JobClassOptions& c);
    void submit(Site& s, const PipelineOptions& p);
    [[nodiscard]] Users::PlannedJob plannedJob(Site& s, const JobClassOptions& c);
    /// Ends the nodes one after the other; each is back as a version that knows all there is.
    void roll(Site& site, std::size_t next, double everyS, double backS);
    void upgrade(Site& site, Node& node);
    void restart(Site& site, Agent& worker, double backS);
    void draw(const Swarm& swarm);
    [[nodiscard]] Fault drawn(const std::string& kind);
    [[nodiscard]] StateService::Fault stateFault(const Site& site, const http::Request& request);
    /// Until it is over: counted, since the same trouble may come again meanwhile.
    void lasts(int& count, double forS);
    void apply(const Fault& fault);
    void applyTo(Site& site, const Fault& fault);
    void cutFor(const Fault& fault, Network::LinkPredicate between);
    /// So many nodes, the leader first if it is meant.
    std::vector<Node*> some(Site& site, const Fault& fault);
    std::vector<Agent*> someWorkers(Site& site, std::uint32_t count, bool spotOnly);
    void stutter(Node& node, TimePoint until);
    /// Holds up what one controller says to another for a moment, again and again.
    void holdUp(Site& site);
    void cancelNow(Site& site, const Fault& fault);
    void askOddly(Site& site);
    void happened(const Site& site, std::string what, std::string machine);
    /// Reports that were kept reach every controller as a new leader begins.
    void deliverKept(Site& site);
    [[nodiscard]] std::unique_ptr<Machine> machine(const std::string& name,
                                                   const std::string& address,
                                                   const std::string& zone, const Site& site);

    Scenario scenario_;
    Timeline time_;
    Network network_;
    History history_;
    CheckerOptions rules_;
    std::vector<std::unique_ptr<Site>> sites_;
    std::vector<Fault> faults_;
    std::optional<std::set<std::size_t>> kept_;
    std::uint64_t jobs_ = 0;
    std::map<std::string, std::uint64_t> changes_;
};

}  // namespace basaltchute::simulator
