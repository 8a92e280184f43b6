#include "mesh/mesh.h"

#include <gtest/gtest.h>

namespace basaltchute::mesh {
namespace {

TEST(Mesh, FramesComeBackWholeHoweverTheyAreCut) {
    Message m;
    m.id = 7;
    m.request = http::Request{"POST", "/v1/jobs", std::string(5000, 'x')};
    Message greeting;
    greeting.hello = Hello{"rig-1", true, 9};
    const std::string wire = encode(m) + encode(greeting);
    std::string data;
    std::vector<Message> got;
    for (const char c : wire) {
        data += c;
        Message out;
        if (decode(data, out) == Decoded::message) got.push_back(std::move(out));
    }
    ASSERT_EQ(got.size(), 2U);
    EXPECT_EQ(got[0].request->body.size(), 5000U);
    EXPECT_EQ(got[0].id, 7U);
    EXPECT_EQ(got[1].hello->token, 9U);
    EXPECT_TRUE(data.empty());
}

TEST(Mesh, MalformedAndOversizedFramesAreBroken) {
    Message out;
    std::string huge("\xff\xff\xff\x7f", 4);
    EXPECT_EQ(decode(huge, out), Decoded::broken);
    std::string odd(
        "\x03\x00\x00\x00"
        "abc",
        7);
    EXPECT_EQ(decode(odd, out), Decoded::broken);
    std::string noise = std::string("\x10\x00\x00\x00", 4) + std::string(16, '\xee');
    EXPECT_EQ(decode(noise, out), Decoded::broken);
}

}  // namespace
}  // namespace basaltchute::mesh
