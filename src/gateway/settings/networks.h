#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace basaltchute::gateway {

/// IPv4 networks by CIDR (RFC 4632).
class Networks {
  public:
    /// False if it is not a network, such as 10.0.0.0/8.
    bool add(const std::string& cidr);
    /// Whether the address, such as 10.1.2.3, lies in one of them; an empty list holds everyone.
    [[nodiscard]] bool hold(const std::string& address) const;

  private:
    struct Range {
        std::uint32_t first = 0, last = 0;
    };
    std::vector<Range> ranges_;
};

}  // namespace basaltchute::gateway
