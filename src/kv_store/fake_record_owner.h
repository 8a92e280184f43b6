#pragma once
// Fake owner of the records that a TransactionWriter writes, for tests only.
#include "kv_store/transaction_writer.h"

namespace basaltchute::testing {

/// Encodes every record as "{}" in version 1, and records the outcome of the writes.
class FakeRecordOwner : public kv_store::RecordSource, public kv_store::WriteObserver {
  public:
    bool fenced = false, committed = false;

    std::optional<kv_store::EncodedRecord> encode(const std::string& /*key*/) override {
        return kv_store::EncodedRecord{"{}", 1};
    }
    void onCommitted(const std::string& /*key*/, std::uint64_t /*version*/) override {
        committed = true;
    }
    void onFenced() override { fenced = true; }
};

}  // namespace basaltchute::testing
