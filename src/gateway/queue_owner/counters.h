#pragma once
#include <array>
#include <cstdint>
#include <utility>

namespace basaltchute::gateway {

/// Event counts of an instance since its start; `docs/gateway-operations.md` describes each.
struct Counters {
    std::uint64_t arrived = 0, duplicates = 0, accepted = 0, rejected = 0, released = 0;
    std::uint64_t finals = 0, replies = 0, repliesAgain = 0, repliesRefused = 0, repliesLost = 0;
    std::uint64_t connections = 0, connectionsRefused = 0, queuesGained = 0, queuesLost = 0;
    [[nodiscard]] std::array<std::pair<const char*, std::uint64_t>, 14> all() const {
        return {{{"arrived", arrived},
                 {"duplicates", duplicates},
                 {"accepted", accepted},
                 {"rejected", rejected},
                 {"released", released},
                 {"finals", finals},
                 {"replies", replies},
                 {"repliesAgain", repliesAgain},
                 {"repliesRefused", repliesRefused},
                 {"repliesLost", repliesLost},
                 {"connections", connections},
                 {"connectionsRefused", connectionsRefused},
                 {"queuesGained", queuesGained},
                 {"queuesLost", queuesLost}}};
    }
};

}  // namespace basaltchute::gateway
