#pragma once
#include <optional>
#include <string>

#include "gateway/queue_owner/write_limiter.h"
#include "gateway/settings/settings.h"
#include "kv_store/client.h"

namespace basaltchute::gateway {

/// Allocates job references (refs) from the configured range. Each instance reserves blocks of the
/// range in the state service, so that no two instances allocate the same ref; the refs that a
/// crashed instance had left of its block stay unused.
class JobIdAllocator {
  public:
    JobIdAllocator(EventLoop& loop, kv_store::Client& client, WriteLimiter& writeLimiter,
                   const Settings& settings);
    /// Returns the next ref and reserves a new block first if necessary. Returns nullopt if the
    /// state service does not answer or the range is used up.
    Task<std::optional<std::string>> next(Scope& scope);

  private:
    Task<bool> reserveBlock(Scope& scope);
    EventLoop& loop_;
    kv_store::Client& client_;
    WriteLimiter& writeLimiter_;
    const Settings& settings_;
    std::uint64_t nextId_ = 0, blockEnd_ = 0;
    bool reserving_ = false;
    Event blockReserved_;
};

}  // namespace basaltchute::gateway
