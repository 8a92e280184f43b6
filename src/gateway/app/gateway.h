#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/app/client_listener.h"
#include "gateway/app/consumer.h"
#include "gateway/membership/membership.h"
#include "gateway/queue_owner/round_robin_queue.h"
#include "http/server.h"

namespace basaltchute::gateway {

/// One instance of the AMQP gateway: connects queue ownership, client connections, broker
/// connections and job submission, and serves the admin interface. Run by main.cpp.
class Gateway {
  public:
    /// `incarnation` is unique to this run of this instance. Throws if an address cannot be
    /// listened on or a certificate cannot be read.
    Gateway(EventLoop& loop, Settings settings, std::string incarnation, std::uint64_t seed);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    void start();
    /// Reloads the TLS certificates for new connections; open connections keep theirs. Returns an
    /// error message, and keeps the old certificates, if they cannot be read.
    std::optional<std::string> reload();
    /// Stops taking messages, hands the queues over to other instances and leaves the membership;
    /// `ended` is true afterwards.
    void drain();
    [[nodiscard]] bool ended() const { return ended_; }
    /// Stops at once without handing queues over, as after a crash.
    Task<void> end();

    [[nodiscard]] const Membership& members() const { return members_; }
    [[nodiscard]] const Counters& counters() const { return counters_; }
    [[nodiscard]] std::shared_ptr<QueueOwner> queueOwner(const QueueName& queue) const;
    [[nodiscard]] std::string address() const {
        return clientListener_ ? clientListener_->address() : "";
    }
    [[nodiscard]] std::string admin() const { return admin_.address(); }

  private:
    struct Waiting {
        std::shared_ptr<QueueOwner> queueOwner;
        IncomingMessage arrival;
    };
    [[nodiscard]] Route route(const QueueName& queue) const;
    [[nodiscard]] ClientListener::Hooks linkHooks();
    void gained(const QueueName& queue, kv_store::Precondition fence);
    Task<void> yield(QueueName queue);
    void lost(const QueueName& queue);
    void routesChanged();
    void arrived(const std::shared_ptr<QueueOwner>& queueOwner, IncomingMessage arrival);
    void startWaiting();
    Task<void> take(Waiting waiting);
    Task<void> drainAndEnd();

    Task<http::Response> answer(http::Request request);
    http::Response queues() const;
    http::Response ledger(const std::string& queue, const std::string& key,
                          const std::string& stage, std::size_t most) const;
    http::Response replay(const std::string& queue, const std::string& key);
    [[nodiscard]] std::optional<http::Response> notHeldHere(const std::string& queue) const;

    EventLoop& loop_;
    Settings settings_;
    Scope scope_;
    kv_store::Client state_;
    WriteLimiter writeLimiter_;
    ControllerClient controllers_;
    JobIdAllocator refs_;
    Counters counters_;
    Membership members_;
    Services services_;
    std::unique_ptr<ClientListener> clientListener_;
    std::vector<std::unique_ptr<Consumer>> consumers_;
    http::Server admin_;
    std::map<QueueName, std::shared_ptr<QueueOwner>> queueOwners_;
    std::map<std::uint64_t, std::weak_ptr<QueueOwner>> bySerial_;
    std::uint64_t nextSerial_ = 1;
    RoundRobinQueue<Waiting> incoming_;
    std::size_t inProgress_ = 0;
    bool draining_ = false, ended_ = false;
};

}  // namespace basaltchute::gateway
