#pragma once
// The election's records in the key-value store, under "lead/", and their encoding as JSON.
//
// Older and newer versions read the same records, so their JSON fields keep the names that the
// first version gave them. Called by LeaderElection.
#include <optional>
#include <set>
#include <string>

#include "common/ids.h"
#include "kv_store/client.h"

namespace basaltchute::election_records {

/// Common prefix of the keys below.
inline const std::string prefix = "lead/";
/// Exists while some node leads, and is bound to that node's lease. Every write of a leader has
/// this key's revision as a precondition, which fences off former leaders.
inline const std::string leaderKey = "lead/holder";
/// The last fencing token that was reserved, and the format of the stored state.
inline const std::string tokenCounterKey = "lead/token";
/// The nodes that must not campaign, so that the leader needs no pledge from them.
inline const std::string absentNodesKey = "lead/absent";

/// The value of leaderKey.
struct LeaderRecord {
    std::string node;
    std::string incarnation;                 // of the node's process
    FencingToken token = 0;                  // the first one of its term
    std::optional<kv_store::LeaseId> lease;  // the lease that the key is bound to
};
[[nodiscard]] std::string encode(const LeaderRecord& record);
/// Empty if the text is malformed; node and token are required.
[[nodiscard]] std::optional<LeaderRecord> decodeLeader(const std::string& text);

/// The value of tokenCounterKey.
struct TokenCounter {
    FencingToken token = 0;  // the last one of the last term, so that the next leader's are higher
    unsigned format = 1;     // of the stored state
};
/// `node` is the node that took the token. From format 2 on the token is stored under another field
/// name: a version that would lose data of the newer format finds the counter malformed and does
/// not campaign.
[[nodiscard]] std::string encode(const TokenCounter& counter, const std::string& node);
/// Empty if the text is malformed.
[[nodiscard]] std::optional<TokenCounter> decodeTokenCounter(const std::string& text);
/// The node that took the last token; empty if an older version wrote the record, which does not
/// contain the node.
[[nodiscard]] std::optional<std::string> decodeLastElected(const std::string& text);

/// The value of absentNodesKey.
[[nodiscard]] std::string encodeAbsentNodes(const std::set<std::string>& nodes);
/// Empty if the text is malformed: then no node may be taken as absent, nor as not absent.
[[nodiscard]] std::optional<std::set<std::string>> decodeAbsentNodes(const std::string& text);

}  // namespace basaltchute::election_records
