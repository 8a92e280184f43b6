#pragma once
#include <optional>
#include <string>

#include "gateway/queue_owner/write_limiter.h"
#include "gateway/settings/settings.h"
#include "kv_store/client.h"

namespace basaltchute::gateway {

/// Hands out job refs from the operators' range. Blocks of it are taken from the state service, so
/// that no two instances hand out the same ref; what a killed instance had left is never used.
class JobIdAllocator {
  public:
    JobIdAllocator(EventLoop& loop, kv_store::Client& client, WriteLimiter& writeLimiter,
                   const Settings& settings);
    /// Nothing if the state service does not answer, or the range is used up.
    Task<std::optional<std::string>> next(Scope& scope);

  private:
    Task<bool> reserve(Scope& scope);
    EventLoop& loop_;
    kv_store::Client& client_;
    WriteLimiter& writeLimiter_;
    const Settings& settings_;
    std::uint64_t next_ = 0, end_ = 0;
    bool reserving_ = false;
    Event reserved_;
};

}  // namespace basaltchute::gateway
