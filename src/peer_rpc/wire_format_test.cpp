// The exact bytes of every kind of message between controllers: a length of four bytes, lowest
// first, and a Cap'n Proto message. These tests fail if an ordinal, a type or a default value in
// the schema changes.
#include <gtest/gtest.h>

#include "peer_rpc/peer_rpc.h"

namespace basaltchute::peer_rpc {
namespace {

using namespace std::chrono_literals;

std::string toHex(const std::string& bytes) {
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

std::string fromHex(const std::string& hex) {
    std::string out;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return out;
}

Message decoded(const std::string& hex) {
    std::string data = fromHex(hex);
    Message message;
    EXPECT_EQ(decode(data, message), DecodeStatus::message);
    EXPECT_EQ(data, "");
    return message;
}

TEST(WireFormat, HelloFrameBytes) {
    const std::string frame =
        "60000000000000000b0000000000000001000100000000000000000000000000030002000f000300"
        "0000000008070605040302011817161514131211050000003200000005000000520000007269672d"
        "3100000070726f636573732d3700000000000000";
    Message message;
    message.hello = Hello{"rig-1", true, 0x0102030405060708, true, 0x1112131415161718,
                          true,    true, "process-7",        2};
    EXPECT_EQ(toHex(encode(message)), frame);
    const auto hello = decoded(frame).hello;
    ASSERT_TRUE(hello);
    EXPECT_EQ(hello->node, "rig-1");
    EXPECT_TRUE(hello->leading);
    EXPECT_EQ(hello->token, 0x0102030405060708U);
    EXPECT_TRUE(hello->ready);
    EXPECT_EQ(hello->knownLeaderToken, 0x1112131415161718U);
    EXPECT_TRUE(hello->supportsDelegations);
    EXPECT_TRUE(hello->supportsTransfers);
    EXPECT_EQ(hello->incarnation, "process-7");
    EXPECT_EQ(hello->storedFormat, 2U);
}

TEST(WireFormat, HelloFlagsAreSeparateBits) {
    const auto frameOf = [](bool leading, bool ready, bool delegations, bool transfers) {
        Message message;
        message.hello = Hello{"a", leading, 0, ready, 0, delegations, transfers, "", 1};
        return toHex(encode(message));
    };
    EXPECT_EQ(frameOf(false, false, false, false),
              "58000000000000000a00000000000000010001000000000000000000000000000300020000000000"
              "00000000000000000000000000000000000000000500000012000000050000000a00000061000000"
              "000000000000000000000000");
    EXPECT_EQ(frameOf(true, false, false, false),
              "58000000000000000a00000000000000010001000000000000000000000000000300020001000000"
              "00000000000000000000000000000000000000000500000012000000050000000a00000061000000"
              "000000000000000000000000");
    EXPECT_EQ(frameOf(false, true, false, false),
              "58000000000000000a00000000000000010001000000000000000000000000000300020002000000"
              "00000000000000000000000000000000000000000500000012000000050000000a00000061000000"
              "000000000000000000000000");
    EXPECT_EQ(frameOf(false, false, true, false),
              "58000000000000000a00000000000000010001000000000000000000000000000300020004000000"
              "00000000000000000000000000000000000000000500000012000000050000000a00000061000000"
              "000000000000000000000000");
    EXPECT_EQ(frameOf(false, false, false, true),
              "58000000000000000a00000000000000010001000000000000000000000000000300020008000000"
              "00000000000000000000000000000000000000000500000012000000050000000a00000061000000"
              "000000000000000000000000");
}

TEST(WireFormat, RequestFrameBytes) {
    const std::string
        toLeader =
            "70000000000000000d00000000000000010001000100000000000000000000000200040028272625"
            "2423222100000000000000000d0000002a0000000d0000004a000000110000003a00000000000000"
            "00000000504f5354000000002f76312f6a6f627300000000000000007b2261223a317d00",
        toStateService =
            "70000000000000000d00000000000000010001000100000000000000000000000200040028272625"
            "2423222101000000000000000d0000002a0000000d0000004a000000110000003a00000000000000"
            "00000000504f5354000000002f76312f6a6f627300000000000000007b2261223a317d00",
        toAgent =
            "80000000000000000f00000000000000010001000100000000000000000000000200040028272625"
            "2423222102000000000000000d0000002a0000000d0000004a000000110000003a00000011000000"
            "7a000000504f5354000000002f76312f6a6f627300000000000000007b2261223a317d0031302e31"
            "2e302e31323a373030300000";
    Message message;
    message.id = 0x2122232425262728;
    message.request = http::Request{"POST", "/v1/jobs", R"({"a":1})"};
    EXPECT_EQ(toHex(encode(message)), toLeader);
    message.purpose = Purpose::stateService;
    EXPECT_EQ(toHex(encode(message)), toStateService);
    message.purpose = Purpose::agent;
    message.agentAddress = "10.1.0.12:7000";
    EXPECT_EQ(toHex(encode(message)), toAgent);

    for (const auto& frame : {toLeader, toStateService, toAgent}) {
        const auto read = decoded(frame);
        ASSERT_TRUE(read.request);
        EXPECT_EQ(read.id, 0x2122232425262728U);
        EXPECT_EQ(read.request->method, "POST");
        EXPECT_EQ(read.request->target, "/v1/jobs");
        EXPECT_EQ(read.request->body, R"({"a":1})");
    }
    EXPECT_EQ(decoded(toLeader).purpose, Purpose::leader);
    EXPECT_EQ(decoded(toStateService).purpose, Purpose::stateService);
    EXPECT_EQ(decoded(toAgent).purpose, Purpose::agent);
    EXPECT_EQ(decoded(toAgent).agentAddress, "10.1.0.12:7000");
}

TEST(WireFormat, ReplyFrameBytes) {
    const std::string frame =
        "48000000000000000800000000000000010001000200000000000000000000000200010028272625"
        "24232221f701000007000000010000006a0000007b226572726f72223a2278227d000000";
    Message message;
    message.id = 0x2122232425262728;
    message.reply = http::Response{503, R"({"error":"x"})", 7};
    EXPECT_EQ(toHex(encode(message)), frame);
    const auto read = decoded(frame);
    ASSERT_TRUE(read.reply);
    EXPECT_EQ(read.id, 0x2122232425262728U);
    EXPECT_EQ(read.reply->status, 503);
    EXPECT_EQ(read.reply->retryAfterS, 7);
    EXPECT_EQ(read.reply->body, R"({"error":"x"})");
}

TEST(WireFormat, PledgeFrameBytes) {
    const std::string frame =
        "38000000000000000600000000000000010001000300000000000000000000000300000028272625"
        "242322210807060504030201b80b000000000000";
    Message message;
    message.id = 0x2122232425262728;
    message.pledge = Pledge{0x0102030405060708, 3000ms};
    EXPECT_EQ(toHex(encode(message)), frame);
    const auto read = decoded(frame);
    ASSERT_TRUE(read.pledge);
    EXPECT_EQ(read.id, 0x2122232425262728U);
    EXPECT_EQ(read.pledge->token, 0x0102030405060708U);
    EXPECT_EQ(read.pledge->duration, 3000ms);
}

TEST(WireFormat, DelegationRequestFrameBytes) {
    const std::string frame =
        "50000000000000000900000000000000010001000400000000000000000000000400010028272625"
        "2423222108070605040302013837363534333231941100000000000001000000320000007269672d"
        "31000000";
    Message message;
    message.id = 0x2122232425262728;
    message.delegationRequest = lease_delegation::DelegationRequest{"rig-1", 0x0102030405060708,
                                                                    0x3132333435363738, 4500ms};
    EXPECT_EQ(toHex(encode(message)), frame);
    const auto read = decoded(frame);
    ASSERT_TRUE(read.delegationRequest);
    EXPECT_EQ(read.id, 0x2122232425262728U);
    EXPECT_EQ(read.delegationRequest->node, "rig-1");
    EXPECT_EQ(read.delegationRequest->token, 0x0102030405060708U);
    EXPECT_EQ(read.delegationRequest->number, 0x3132333435363738U);
    EXPECT_EQ(read.delegationRequest->timeSinceUse, 4500ms);
}

TEST(WireFormat, DelegationFrameBytes) {
    const std::string frame =
        "48000000000000000800000000000000010001000500000000000000000000000500000028272625"
        "2423222108070605040302013837363534333231803e0000000000004847464544434241";
    Message message;
    message.id = 0x2122232425262728;
    message.delegation = lease_delegation::Delegation{0x0102030405060708, 0x3132333435363738,
                                                      16000ms, 0x4142434445464748};
    EXPECT_EQ(toHex(encode(message)), frame);
    const auto read = decoded(frame);
    ASSERT_TRUE(read.delegation);
    EXPECT_EQ(read.delegation->lastToken, 0x4142434445464748U);
    EXPECT_EQ(read.id, 0x2122232425262728U);
    EXPECT_EQ(read.delegation->token, 0x0102030405060708U);
    EXPECT_EQ(read.delegation->number, 0x3132333435363738U);
    EXPECT_EQ(read.delegation->duration, 16000ms);
}

TEST(WireFormat, DelegationFrameOfAVersionWithOneTokenPerTerm) {
    const auto read = decoded(
        "40000000000000000700000000000000010001000500000000000000000000000400000028272625"
        "2423222108070605040302013837363534333231803e000000000000");
    ASSERT_TRUE(read.delegation);
    EXPECT_EQ(read.id, 0x2122232425262728U);
    EXPECT_EQ(read.delegation->token, 0x0102030405060708U);
    EXPECT_EQ(read.delegation->number, 0x3132333435363738U);
    EXPECT_EQ(read.delegation->duration, 16000ms);
    EXPECT_EQ(read.delegation->lastToken, 0U);
}

}  // namespace
}  // namespace basaltchute::peer_rpc
