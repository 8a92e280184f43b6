#include "gateway/testing/fault_test.h"

#include <algorithm>

#include "gateway/testing/gateway_fixture.h"

namespace basaltchute::gateway::testing {

using namespace std::chrono_literals;

namespace {

const std::vector<QueueName> queueNames{"north/replay-verify", "north/split",
                                        "south/replay-verify"};
constexpr Duration faultPeriod = 40s, recoveryTimeout = 240s;

class FaultScenario {
  public:
    FaultScenario(std::uint64_t seed, unsigned messages)
        : fixture_(seed), random_(seed * 7919 + 1) {
        for (const auto& q : queueNames) fixture_.addQueue(q);
        fixture_.settings.limits.timeout = 6s;
        fixture_.jobs.runTime = [this] { return fromSeconds(0.2 + 4 * share()); };
        fixture_.jobs.fault = [this](const http::Request& r) { return jobFault(r); };
        fixture_.state.fault = [this](const http::Request& r) { return stateFault(r); };
        fixture_.broker.dispositionFor = [this](const std::string&) {
            if (!faultsEnabled_ || share() > 0.02)
                return amqp::Disposition{amqp::Outcome::accepted, {}, false};
            ++out_.faults["replies released by the receiver"];
            return amqp::Disposition{amqp::Outcome::released, {}, false};
        };
        // Messages are sent at random times; one in eight is sent twice by its client.
        for (unsigned i = 0; i < messages; ++i) plan(i);
        out_.messages = messages;
    }

    FaultTestResult run() {
        fixture_.start("gw-1");
        fixture_.start("gw-2");
        const TimePoint start = fixture_.world.clock.now();
        faultsEnabled_ = true;
        while (fixture_.world.clock.now() - start < faultPeriod) {
            publishUntil(fixture_.world.clock.now() - start);
            fault();
            fixture_.world.run(fromSeconds(0.05 + 0.5 * share()));
        }
        publishUntil(faultPeriod);
        endFaults();
        fixture_.until([&] { return settled(); }, recoveryTimeout);
        fixture_.world.run(10s);  // leaves time for duplicate replies to arrive
        check();
        return std::move(out_);
    }

  private:
    struct Planned {
        Duration at{};
        QueueName queue;
        amqp::Message message;
    };

    double share() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void plan(unsigned i) {
        const auto& queue = queueNames[random_() % queueNames.size()];
        const std::string marker = "m" + std::to_string(i);
        const std::string replyTo = share() < 0.7 ? "answers-" + std::to_string(random_() % 2) : "";
        auto m = GatewayFixture::message(marker, marker, replyTo);
        const double kind = share();
        if (kind < 0.03) {
            m.body = "no JSON, number " + std::to_string(i);
            invalidMessages_.insert(marker);
        } else if (kind < 0.06) {
            fixture_.jobs.impossible.insert(marker);
            invalidMessages_.insert(marker);
        } else {
            validMessages_[marker] = replyTo;
        }
        const Duration at = fromSeconds(share() * 0.9 * toSeconds(faultPeriod));
        planned_.push_back({at, queue, m});
        if (share() < 0.125) {
            planned_.push_back({at + fromSeconds(share() * 10), queue, m});
            ++out_.duplicatesSent;
        }
    }
    void publishUntil(Duration t) {
        if (!sorted_)
            std::sort(planned_.begin(), planned_.end(),
                      [](const auto& a, const auto& b) { return a.at < b.at; });
        sorted_ = true;
        for (; next_ < planned_.size() && (planned_[next_].at <= t || t >= faultPeriod); ++next_)
            fixture_.broker.publish("work/" + planned_[next_].queue, planned_[next_].message);
    }

    JobService::Fault jobFault(const http::Request& r) {
        using Fault = JobService::Fault;
        if (!faultsEnabled_) return Fault::none;
        const double x = share();
        auto& f = out_.faults;
        if (leaderless_ || x < 0.05) return ++f["submissions and polls refused"], Fault::refused;
        if (r.method != "POST" || x > 0.11) return Fault::none;
        return x < 0.08 ? (++f["submissions executed without answer"], Fault::mute)
                        : (++f["submissions lost without answer"], Fault::lost);
    }
    basaltchute::testing::StateService::Fault stateFault(const http::Request& r) {
        using Fault = basaltchute::testing::StateService::Fault;
        if (!faultsEnabled_ || r.target.starts_with("/watch")) return {};
        const double x = share();
        auto& f = out_.faults;
        if (x < 0.03) return ++f["state requests refused"], Fault{Fault::Kind::refused, {}};
        if (r.target != "/multi" || x > 0.07) return {};
        if (x < 0.05)
            return ++f["state requests executed without answer"],
                   Fault{Fault::Kind::responseLost, {}};
        return ++f["state requests executed late"],
               Fault{Fault::Kind::executedLate, fromSeconds(2 + 10 * share())};
    }

    void fault() {
        const double x = share();
        auto& f = out_.faults;
        if (x < 0.25) {
            fixture_.broker.cutAll();
            ++f["all broker connections cut"];
        } else if (x < 0.32) {
            const std::string victim = "gw-" + std::to_string(1 + random_() % 2);
            if (fixture_.instances.contains(victim)) {
                fixture_.kill(victim);
                ++f["instances killed"];
            } else {
                fixture_.start(victim);
            }
        } else if (x < 0.36) {
            if (!fixture_.instances.empty()) {
                fixture_.instances.begin()->second->drain();
                ++f["instances drained"];
            }
        } else if (x < 0.41) {
            // Simulates an owner that was suspended until after its lease expired.
            for (const auto& [key, entry] : fixture_.state.keys)
                if (key.starts_with("gw/own/member/") && entry.grant != 0) {
                    fixture_.state.expireLeaseOf(std::string(key));
                    ++f["leases expired under a running owner"];
                    break;
                }
        } else if (x < 0.45) {
            fixture_.state.down = !fixture_.state.down;
            if (fixture_.state.down) ++f["outages of the state service"];
        } else if (x < 0.50) {
            leaderless_ = !leaderless_;
        } else if (x < 0.54) {
            fixture_.broker.refusing = !fixture_.broker.refusing;
            if (fixture_.broker.refusing) ++f["times the broker was away"];
        }
        for (int i = 1; i <= 2; ++i) {
            const std::string name = "gw-" + std::to_string(i);
            const auto it = fixture_.instances.find(name);
            const bool gone = it == fixture_.instances.end();
            if (!gone && it->second->ended()) fixture_.kill(name);
            if ((gone && share() < 0.2) || (!gone && !fixture_.instances.contains(name)))
                fixture_.start(name);
        }
    }
    void endFaults() {
        faultsEnabled_ = leaderless_ = fixture_.state.down = fixture_.broker.refusing = false;
        for (int i = 1; i <= 2; ++i) {
            const std::string name = "gw-" + std::to_string(i);
            if (!fixture_.instances.contains(name)) fixture_.start(name);
        }
    }

    [[nodiscard]] std::set<std::string> answered() const {
        std::set<std::string> out;
        for (const auto& [address, messages] : fixture_.broker.received)
            for (const auto& m : messages) out.insert(m.correlation.bytes);
        return out;
    }
    [[nodiscard]] bool settled() {
        // An instance that drained during the fault period may end only now; restart it.
        for (const auto& [name, g] : fixture_.instances)
            if (g->ended()) {
                const std::string again = name;
                fixture_.kill(again);
                fixture_.start(again);
                return false;
            }
        for (const auto& [name, q] : fixture_.broker.queues)
            if (!q.waiting.empty() || q.unsettled > 0) return false;
        const auto have = answered();
        return std::all_of(validMessages_.begin(), validMessages_.end(), [&](const auto& g) {
            return fixture_.jobs.refsOf.contains(g.first) &&
                   (g.second.empty() || have.contains(g.first));
        });
    }

    void check() {
        const auto addViolation = [&](const std::string& what) { out_.violations.push_back(what); };
        for (const auto& [name, q] : fixture_.broker.queues) {
            if (!q.waiting.empty() || q.unsettled > 0)
                addViolation(name + " still holds " +
                             std::to_string(q.waiting.size() + q.unsettled));
            out_.deadLetters += q.dead.size();
            for (const auto& [m, why] : q.dead)
                if (!invalidMessages_.contains(m.id.bytes))
                    addViolation(m.id.bytes + " is a dead letter: " + why.description);
        }
        for (const auto& [marker, replyTo] : validMessages_) {
            const auto it = fixture_.jobs.refsOf.find(marker);
            const std::size_t n = it == fixture_.jobs.refsOf.end() ? 0 : it->second.size();
            if (n != 1) addViolation(marker + " became " + std::to_string(n) + " jobs");
        }
        for (const auto& marker : invalidMessages_)
            if (fixture_.jobs.refsOf.contains(marker))
                addViolation(marker + " should have become no job");
        out_.jobs = fixture_.jobs.jobs.size();
        for (const auto& [address, messages] : fixture_.broker.received) {
            std::map<std::string, std::uint64_t> last;  // by queue
            std::set<std::string> seen;
            for (const auto& m : messages) {
                if (!seen.insert(m.id.bytes).second) {
                    ++out_.duplicateReplies;
                    continue;
                }
                ++out_.replies;
                const auto number = std::stoull(m.properties.at("result-number"));
                auto& before = last[m.properties.at("queue")];
                if (number < before) ++out_.outOfOrderReplies;
                before = std::max<std::uint64_t>(before, number);
            }
        }
        std::map<std::string, int> replies;
        for (const auto& [address, messages] : fixture_.broker.received) {
            std::set<std::string> ids;
            for (const auto& m : messages) {
                if (ids.insert(m.id.bytes).second) ++replies[m.correlation.bytes];
                if (!validMessages_.contains(m.correlation.bytes) ||
                    validMessages_[m.correlation.bytes] != address)
                    addViolation("a reply for " + m.correlation.bytes + " at " + address);
            }
        }
        for (const auto& [marker, replyTo] : validMessages_) {
            const int expected = replyTo.empty() ? 0 : 1;
            if (replies[marker] != expected)
                addViolation(marker + " has " + std::to_string(replies[marker]) + " replies");
        }
        if (out_.outOfOrderReplies > 0 && !out_.faults.contains("replies released by the receiver"))
            addViolation("results out of order");
        for (const auto& [name, g] : fixture_.instances)
            for (const auto& q : queueNames)
                if (const auto t = g->queueOwner(q); t && !t->journal().findInconsistency().empty())
                    addViolation(name + ": ledger of " + q + ": " +
                                 t->journal().findInconsistency());
    }

    GatewayFixture fixture_;
    std::mt19937_64 random_;
    FaultTestResult out_;
    std::vector<Planned> planned_;
    std::size_t next_ = 0;
    bool sorted_ = false, faultsEnabled_ = false, leaderless_ = false;
    std::map<std::string, std::string> validMessages_;  // marker -> reply-to
    std::set<std::string> invalidMessages_;
};

}  // namespace

FaultTestResult runFaultTest(std::uint64_t seed, unsigned messages) {
    FaultScenario s(seed, messages);
    return s.run();
}

}  // namespace basaltchute::gateway::testing
