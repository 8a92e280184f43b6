#pragma once
#include <functional>
#include <optional>

#include "fleet/fleet.h"
#include "http/client.h"
#include "runtime/budget.h"

namespace basaltchute::fleet {

/// The cloud by its published protocol. Malformed answers count as no answer.
class Cloud {
  public:
    /// `mayAct` is asked right before anything is sent: the right may have ended while a call
    /// waited for its turn.
    Cloud(Loop& loop, const settings::Settings& settings, std::function<bool()> mayAct);
    Task<std::optional<Catalogue>> catalogue(Scope& scope);
    Task<std::optional<std::vector<Listed>>> list(Scope& scope);
    enum class Answer { ok, refused, unknown };
    struct Rented {
        Answer answer = Answer::unknown;
        std::vector<std::string> names;
    };
    Task<Rented> rent(Rent rent, Scope& scope);
    /// True once the cloud has said that the machines and all on them are gone.
    Task<bool> remove(std::vector<std::string> names, Scope& scope);

  private:
    /// `reserve`: calls that are left in the budget for others.
    Task<http::Outcome> send(http::Request request, Scope& scope, double reserve = 0);
    Loop& loop_;
    http::Client http_;
    Budget calls_;
    std::function<bool()> mayAct_;
};

}  // namespace basaltchute::fleet
