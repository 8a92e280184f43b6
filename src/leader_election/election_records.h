#pragma once
// The records of an election as they are stored under "lead/", and their codec. Their JSON fields
// are read by older and newer versions, so they keep the names of the first version.
#include <optional>
#include <set>
#include <string>

#include "common/ids.h"
#include "kv_store/client.h"

namespace basaltchute::election_records {

inline const std::string prefix = "lead/";
/// Exists while some node leads: bound to that node's lease. Every write of a leader names its
/// revision as a precondition, which fences former leaders.
inline const std::string leaderKey = "lead/holder";
/// The last fencing token that was handed out, and the format of the stored state.
inline const std::string tokenCounterKey = "lead/token";
/// Nodes that must not campaign, so that a leader can go on without their pledges.
inline const std::string absentNodesKey = "lead/absent";

/// The value of leaderKey.
struct LeaderRecord {
    std::string node;
    std::string incarnation;  // of the node's process
    FencingToken token = 0;
    std::optional<kv_store::LeaseId> lease;  // that the key is bound to
};
[[nodiscard]] std::string encode(const LeaderRecord& record);
/// Nothing if the text is malformed; node and token are required.
[[nodiscard]] std::optional<LeaderRecord> decodeLeader(const std::string& text);

/// The value of tokenCounterKey.
struct TokenCounter {
    FencingToken token = 0;
    unsigned format = 1;  // of the stored state
};
/// `node`: who took the token. From format 2 on the token has another field name, so that versions
/// which would lose what is stored find the counter malformed and do not campaign.
[[nodiscard]] std::string encode(const TokenCounter& counter, const std::string& node);
/// Nothing if the text is malformed.
[[nodiscard]] std::optional<TokenCounter> decodeTokenCounter(const std::string& text);
/// The node that took the last token; nothing if an older version wrote the record, which does not
/// name it.
[[nodiscard]] std::optional<std::string> decodeLastElected(const std::string& text);

/// The value of absentNodesKey.
[[nodiscard]] std::string encodeAbsentNodes(const std::set<std::string>& nodes);
/// Nothing if the text is malformed: then nobody may rely on any node's absence or presence.
[[nodiscard]] std::optional<std::set<std::string>> decodeAbsentNodes(const std::string& text);

}  // namespace basaltchute::election_records
