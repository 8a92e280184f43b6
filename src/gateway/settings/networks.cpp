#include "gateway/settings/networks.h"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>

namespace basaltchute::gateway {

namespace ip = boost::asio::ip;

bool Networks::add(const std::string& cidr) {
    boost::system::error_code bad;
    const auto net = ip::make_network_v4(cidr, bad);
    if (bad) return false;
    const std::uint32_t first = net.canonical().address().to_uint();
    ranges_.push_back({first, net.broadcast().to_uint()});
    return true;
}

bool Networks::contains(const std::string& address) const {
    if (ranges_.empty()) return true;
    boost::system::error_code bad;
    const auto a = ip::make_address_v4(address, bad);
    if (bad) return false;
    const std::uint32_t n = a.to_uint();
    return std::any_of(ranges_.begin(), ranges_.end(),
                       [&](const Range& r) { return n >= r.first && n <= r.last; });
}

}  // namespace basaltchute::gateway
