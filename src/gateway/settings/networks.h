#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace basaltchute::gateway {

/// A list of IPv4 networks in CIDR notation (RFC 4632).
class Networks {
  public:
    /// Adds a network such as 10.0.0.0/8. Returns false if the text is not a valid network.
    bool add(const std::string& cidr);
    /// Whether the address, such as 10.1.2.3, lies in one of the networks. An empty list contains
    /// every address.
    [[nodiscard]] bool contains(const std::string& address) const;

  private:
    struct Range {
        std::uint32_t first = 0, last = 0;
    };
    std::vector<Range> ranges_;
};

}  // namespace basaltchute::gateway
