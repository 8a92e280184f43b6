#pragma once
#include <memory>
#include <set>

#include "controller/controller.h"
#include "simulator/agent.h"
#include "simulator/checker.h"
#include "simulator/command_repeater.h"
#include "simulator/scenario.h"
#include "simulator/users.h"

// Runs a scenario: real controllers against simulated machines, networks, services and users.
// Called by the simulator program (main.cpp) and by tests.

namespace basaltchute::simulator {

/// One run of a scenario. The same scenario and seed always give the same history.
class Simulation {
  public:
    Simulation(Scenario scenario, std::uint64_t seed);
    // Throws, and so ends the program, if a controller does not stop.
    // NOLINTNEXTLINE(bugprone-exception-escape)
    ~Simulation();
    Simulation(const Simulation&) = delete;
    Simulation& operator=(const Simulation&) = delete;
    /// Runs the scenario to its end. Throws std::runtime_error if a controller hangs.
    void run();
    /// Applies only the faults with these indexes in faults(), to find a minimal failing set.
    void applyOnlyFaults(const std::set<std::size_t>& which) { appliedFaults_ = which; }
    [[nodiscard]] const std::vector<Fault>& faults() const { return faults_; }
    [[nodiscard]] const History& history() const { return history_; }
    [[nodiscard]] CheckResult checkResult() const { return check(history_, rules_); }
    /// Number of puts in the state services, by the first segment of the key.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& writesByKeyPrefix() const {
        return changes_;
    }

  private:
    struct Node {
        settings::Settings settings;
        settings::OperatorSettings operatorSettings;
        std::unique_ptr<Machine> machine;
        std::unique_ptr<controller::Controller> controller;
        int stateRefusals = 0;  // active faults by which the state service refuses this node only
    };
    struct Site {
        SiteOptions options;
        std::size_t number = 0;
        std::unique_ptr<Machine> servicesMachine, usersMachine;
        std::unique_ptr<Scope> scope;
        std::unique_ptr<StateService> state;
        std::unique_ptr<Cloud> cloud;
        std::unique_ptr<Users> users;
        std::unique_ptr<CommandRepeater> commandRepeater;
        std::vector<std::unique_ptr<Node>> nodes;
        AgentEnvironment agentEnvironment;
        std::vector<std::unique_ptr<Machine>> machines;
        std::map<std::string, std::unique_ptr<Agent>> agents;
        std::vector<std::unique_ptr<Agent>>
            replacedAgents;  // whose machines run a new agent; scheduled events may refer to them
        std::uint64_t machinesNamed = 0;
        std::map<std::string, double> arrivalFactors;  // factor on the arrival rate, by job class
        /// If above 0, copies of reports are delivered, at most this much later.
        double reportCopyMaxDelayS = 0;
        /// Active faults of the state service; a count, since a fault may begin again before it
        /// ends.
        int outages = 0, stateLate = 0, stateSlow = 0, lateWrites = 0, answersLost = 0;
        int recordsRefused = 0;
        /// Active faults of users, reports and links between controllers.
        int closeLooks = 0, oddRequests = 0, cancelAtEnd = 0, copiesForNext = 0, peersSlow = 0;
        double lateShare = 0, lostShare = 0, endShare = 0, copyShare = 0, refusedShare = 0;
        std::vector<std::string> keptReports;  // to be delivered to the next leader
    };
    void build(Site& site);
    void start(Node& node);
    void crash(Site& site, Node& node, double backS);
    static void stop(Node& node);
    void generateLoad(Site& site);
    void submit(Site& s, const JobClassOptions& c);
    void submit(Site& s, const PipelineOptions& p);
    [[nodiscard]] Users::PlannedJob plannedJob(Site& s, const JobClassOptions& c);
    /// Restarts the nodes one after the other, each upgraded to the newest stored format.
    void rollingUpgrade(Site& site, std::size_t next, double everyS, double backS);
    void upgrade(Site& site, Node& node);
    void restart(Site& site, Agent& worker, double backS);
    void drawSwarmFaults(const Swarm& swarm);
    [[nodiscard]] Fault drawFault(const std::string& kind);
    [[nodiscard]] StateService::Fault stateFault(const Site& site, const http::Request& request);
    /// Increments a count of active faults for `forS` seconds.
    void countWhileActive(int& count, double forS);
    void apply(const Fault& fault);
    /// What a kind of fault does to a site.
    using FaultHandler = std::function<void(Simulation&, Site&, const Fault&)>;
    using FaultHandlers = std::map<std::string, FaultHandler>;
    /// The handlers of all kinds but those that concern several sites at once.
    static const FaultHandlers& faultHandlers();
    static void addControllerFaults(FaultHandlers& handlers);
    static void addPartitions(FaultHandlers& handlers);
    static void addStateServiceFaults(FaultHandlers& handlers);
    static void addCloudFaults(FaultHandlers& handlers);
    static void addMachineFaults(FaultHandlers& handlers);
    static void addUserFaults(FaultHandlers& handlers);
    /// Partitions a controller from the machines that a kind of partition names.
    void partitionNode(const Site& site, const Node& node, const Fault& fault);
    /// The end of a fault that begins now.
    [[nodiscard]] TimePoint endOf(const Fault& fault) const {
        return time_.now() + fromSeconds(fault.forS);
    }
    void applyTo(Site& site, const Fault& fault);
    void partitionFor(const Fault& fault, Network::LinkPredicate between);
    /// Up to `fault.count` random running nodes, the leader first if `fault.leader`.
    std::vector<Node*> pickNodes(Site& site, const Fault& fault);
    std::vector<Agent*> pickAgents(Site& site, std::uint32_t count, bool spotOnly);
    void freezeRepeatedly(Node& node, TimePoint until);
    /// Repeatedly partitions a random link between two controllers for a moment.
    void delayPeerLinks(Site& site);
    void cancelNow(Site& site, const Fault& fault);
    void sendOddRequests(Site& site);
    void recordEvent(const Site& site, std::string what, std::string machine);
    /// Delivers the kept reports to every controller when a new leader begins.
    void deliverKeptReports(Site& site);
    [[nodiscard]] std::unique_ptr<Machine> makeMachine(const std::string& name,
                                                       const std::string& address,
                                                       const std::string& zone, const Site& site);

    Scenario scenario_;
    Timeline time_;
    Network network_;
    History history_;
    CheckerOptions rules_;
    std::vector<std::unique_ptr<Site>> sites_;
    std::vector<Fault> faults_;
    std::optional<std::set<std::size_t>> appliedFaults_;
    std::uint64_t jobs_ = 0;
    std::map<std::string, std::uint64_t> changes_;
};

}  // namespace basaltchute::simulator
