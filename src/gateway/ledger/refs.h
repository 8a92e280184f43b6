#pragma once
#include <optional>
#include <string>

#include "gateway/custody/turnstile.h"
#include "gateway/settings/settings.h"
#include "state/client.h"

namespace basaltchute::gateway {

/// Hands out job refs from the operators' range. Blocks of it are taken from the state service, so
/// that no two instances hand out the same ref; what a killed instance had left is never used.
class Refs {
  public:
    Refs(Loop& loop, state::Client& client, Turnstile& turnstile, const Settings& settings);
    /// Nothing if the state service does not answer, or the range is used up.
    Task<std::optional<std::string>> next(Scope& scope);

  private:
    Task<bool> reserve(Scope& scope);
    Loop& loop_;
    state::Client& client_;
    Turnstile& turnstile_;
    const Settings& settings_;
    std::uint64_t next_ = 0, end_ = 0;
    bool reserving_ = false;
    Event reserved_;
};

}  // namespace basaltchute::gateway
