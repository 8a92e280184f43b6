#pragma once
#include <map>
#include <string>

#include "experience/spread.h"
#include "runtime/clock.h"

namespace basaltchute::experience {

/// What a leader has seen of the deployment that no settings tell, and the next one goes on with.
class Experience {
  public:
    /// A machine of the type came `took` after it was rented, where the catalogue says `stated`.
    void came(const std::string& type, Duration took, Duration stated);
    /// By when a share `q` of the machines of a type is there, measured from the request.
    [[nodiscard]] Duration coming(const std::string& type, Duration stated, double q) const;

    /// Changes since it was last encoded are worth a record.
    [[nodiscard]] bool changed() const { return changed_; }
    std::string encode();
    /// False if the text is not a record of it; then nothing has changed.
    bool decode(const std::string& text);

  private:
    std::map<std::string, Spread> boots_;
    bool changed_ = false;
};

}  // namespace basaltchute::experience
