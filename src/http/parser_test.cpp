#include "http/parser.h"

#include <gtest/gtest.h>

#include "jobs/codec.h"
#include "testing/world.h"

namespace basaltchute {
namespace {

using http::Parser;

TEST(HttpParser, ConsumesOneMessageAtATime) {
    Parser p(Parser::Kind::requests, 100);
    std::string data = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n";
    ASSERT_EQ(p.feed(data), Parser::State::complete);
    EXPECT_EQ(p.takeRequest().body, "hi");
    ASSERT_EQ(p.feed(data), Parser::State::complete);
    EXPECT_EQ(p.takeRequest().target, "/b");
}

TEST(HttpParser, RejectsALargeBodyByItsAnnouncedLength) {
    Parser p(Parser::Kind::requests, 64 * 1024);
    std::string data = "POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
    EXPECT_EQ(p.feed(data), Parser::State::bodyTooLarge);
}

TEST(HttpParser, BytesThatAreNotHttpAreMalformed) {
    Parser p(Parser::Kind::requests, 100);
    std::string data = "\x16\x03\x01 not http\r\n\r\n";
    EXPECT_EQ(p.feed(data), Parser::State::malformed);
}

TEST(Submissions, MalformedSubmissionsAreRejected) {
    const auto rejected = [](const std::string& body) {
        return std::holds_alternative<jobs::SubmissionError>(jobs::parseSubmission(body));
    };
    const auto with = [](const std::string& from, const std::string& to) {
        std::string s = testing::submission("run-1");
        s.replace(s.find(from), from.size(), to);
        return s;
    };
    EXPECT_FALSE(rejected(testing::submission("run-1")));
    EXPECT_FALSE(rejected(with(R"("rigs":null,)", "")))
        << "a field that may be null may also be absent";
    EXPECT_TRUE(rejected("not json"));
    EXPECT_TRUE(rejected("[]"));
    EXPECT_TRUE(rejected(std::string(30'000, '[')));
    EXPECT_TRUE(rejected(with(R"("cores":4.0)", R"("cores":-4.0)")));
    EXPECT_TRUE(rejected(with(R"("cores":4.0)", R"("cores":1e999)")));
    EXPECT_TRUE(rejected(with(R"("splits":2)", R"("splits":0)")));
    EXPECT_TRUE(rejected(with(R"("splits":2)", R"("splits":100001)")));
    EXPECT_TRUE(rejected(with(R"("rank":"normal")", R"("rank":7)")));
    EXPECT_TRUE(rejected(with(R"("together":false,)", "")));
    EXPECT_TRUE(rejected(testing::submission("run 1")));
    EXPECT_TRUE(rejected(testing::submission("../x")));
}

}  // namespace
}  // namespace basaltchute
