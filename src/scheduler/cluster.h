#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/catalogue.h"
#include "jobs/job.h"
#include "settings/operator.h"
#include "settings/settings.h"
#include "state/writer.h"
#include "workers/machine.h"

namespace basaltchute::scheduler {

/// What the outside has to do after an input: values, so that tests can look at them.
struct Effects {
    std::vector<std::pair<std::string, state::Urgency>> dirty;
    std::set<MachineIndex> push;  // machines with orders worth sending at once
};

enum class Submitted { fresh, known, unknownTeam, fitsNowhere, overLimit };

/// All that a leader knows: jobs, machines, and what is possibly where. Pure: inputs are
/// reports, requests and the passing of time, outputs are Effects and orders.
class Cluster {
  public:
    Cluster(const settings::Settings& settings, Token token);
    void setOperator(const settings::Operator& settings) { operator_ = settings; }
    [[nodiscard]] const settings::Operator& operatorSettings() const { return operator_; }
    [[nodiscard]] const std::map<std::string, cells::Pool>& pools() const { return pools_; }

    // Records
    bool load(const std::string& key, const std::string& data, TimePoint now, WallMillis wall);
    void loaded(TimePoint now);
    [[nodiscard]] state::Encoded encode(const std::string& key) const;
    void committed(const std::string& key, std::uint64_t version);

    // Users
    [[nodiscard]] Job* find(const JobId& id);
    Submitted submit(const JobSpec& spec, TimePoint now, WallMillis wall);
    void cancel(Job& job);

    // Machines
    /// The orders that answer the report; to be called before anything is answered.
    std::vector<workers::Order> beat(const workers::Report& report, TimePoint now);
    enum class Source { beat, direct };
    void report(const workers::Report& report, Source source, TimePoint now);
    std::vector<workers::Order> directOrders(MachineIndex machine, TimePoint now);
    void directEnded(MachineIndex machine, bool sent, bool answered);
    void machineGone(MachineIndex machine, TimePoint now);
    void expire(TimePoint now);

    /// Decides what runs where; safe to call at any time.
    void place(TimePoint now);
    /// Moves a replica off a machine that is to be returned, if another one that has its image
    /// has room: stopped and started again it is away for a moment only.
    void moveReplicas(MachineIndex machine, TimePoint now);

    void setCatalogue(fleet::Catalogue catalogue);
    [[nodiscard]] const fleet::Catalogue& catalogue() const { return catalogue_; }
    [[nodiscard]] workers::Registry& machines() { return machines_; }
    [[nodiscard]] const workers::Registry& machines() const { return machines_; }
    [[nodiscard]] const std::vector<Job*>& openJobs() const { return open_; }
    [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
    [[nodiscard]] Token token() const { return token_; }
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }
    /// Heard from recently enough to be worth placing work on.
    [[nodiscard]] bool fresh(const workers::Machine& m, TimePoint now) const;
    [[nodiscard]] Demand freeOn(const workers::Machine& m) const;
    Effects take() { return std::exchange(effects_, {}); }

  private:
    void touch(Job& job, std::uint32_t task, state::Urgency urgency);
    void bind(Job& job, std::uint32_t task, MachineIndex machine,
              std::vector<cells::CellIndex> cells = {});
    void finish(Job& job, std::uint32_t task);
    void unbind(Job& job, std::uint32_t task);
    void saveBeforeRecall(MachineIndex machine, TimePoint now);
    bool owns(const workers::Charge& c, MachineIndex machine) const;
    void release(MachineIndex machine, std::size_t charge);
    void releaseAll(MachineIndex machine);
    void setPhase(Job& job, JobTask& task, Phase phase, TimePoint now);
    void seen(MachineIndex machine, const workers::ReportedTask& t, TimePoint now);
    void exited(MachineIndex machine, const workers::ReportedTask& t, TimePoint now);
    void failed(workers::Machine& m, MachineIndex index, Job& job, TimePoint now);
    /// A gang starts once all of its bindings stand.
    bool allBound(const Job& job) const;
    bool mustStop(const workers::Charge& c) const;
    std::vector<workers::Order> orders(MachineIndex machine, bool direct);

    // Cells
    cells::Pool* poolOf(const workers::Machine& m);
    [[nodiscard]] std::uint32_t slotsFor(const JobSpec& s, const std::string& type) const;
    void enterPool(MachineIndex machine);
    void chargeCells(workers::Charge& c, MachineIndex machine);
    void freeCells(const workers::Charge& c, MachineIndex machine);
    std::optional<std::vector<cells::CellIndex>> cellsOn(
        cells::Pool& pool, const std::string& team, std::uint32_t slots,
        const std::function<bool(MachineIndex)>& usable);
    [[nodiscard]] bool withinGuarantee(const Job& job) const;
    bool placeGuaranteed(Job& job, std::uint32_t task, TimePoint now);
    [[nodiscard]] double weightOf(const std::string& team) const;

    // Placement
    [[nodiscard]] TimePoint due(const Job& job, TimePoint now) const;
    [[nodiscard]] double biasOf(const std::string& jobClass) const;
    [[nodiscard]] bool typeAllowed(const JobSpec& s, const std::string& type) const;
    struct Share {
        Demand demand;
        std::uint32_t tasks = 0;
    };
    using Planned = std::unordered_map<MachineIndex, Share>;  // chosen in this pass, not bound yet
    [[nodiscard]] bool allowed(const Job& job, const workers::Machine& m,
                               const Planned& planned) const;
    [[nodiscard]] double startDelay(const JobSpec& s, const workers::Machine& m) const;
    /// Room kept on machines that have a class's images, so that its next tasks start at once.
    struct WarmClass {
        const Job* sample = nullptr;
        std::set<std::string> images;
    };
    void findWarmClasses();
    [[nodiscard]] bool leavesWarmRoom(const Job& job, MachineIndex machine, TimePoint now) const;
    MachineIndex pick(const Job& job, const Planned& planned, TimePoint now) const;
    bool placeGang(Job& job, TimePoint now);
    [[nodiscard]] bool placeable(const Job& job, MachineIndex machine, TimePoint now) const;
    /// What is free on it when all that has been told to stop has gone.
    [[nodiscard]] Demand roomOnceStopped(const workers::Machine& m) const;
    /// Stops work on the machine until the job's task fits; false if that is not enough.
    bool makeRoom(const Job& job, MachineIndex machine,
                  const std::function<bool(const workers::Charge&)>& victim);
    void preemptFor(const Job& job, TimePoint now);
    [[nodiscard]] bool withinLimit(const Job& job) const;

    const settings::Settings& settings_;
    settings::Operator operator_;
    Token token_;
    fleet::Catalogue catalogue_;
    std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> open_;
    workers::Registry machines_;
    std::map<std::string, cells::Pool> pools_;  // by machine type
    /// Machine cells that a team's tasks share: bound with the first, returned with the last.
    struct Shared {
        std::string team;
        std::uint32_t used = 0, tasks = 0;
    };
    std::map<std::pair<std::string, cells::CellIndex>, Shared> shared_;
    std::unordered_map<std::string, Demand> guaranteedUse_;
    std::unordered_map<std::string, Demand> teamUse_;  // of everything possibly running
    std::map<std::string, WarmClass> warm_;            // found anew in every pass
    std::unordered_map<std::string, double> bias_;     // log of run time over estimate, by class
    Effects effects_;
};

}  // namespace basaltchute::scheduler
