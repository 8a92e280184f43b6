// The exact bytes of the HTTP messages that are sent.
#include <gtest/gtest.h>

#include "http/parser.h"

namespace basaltchute::http {
namespace {

TEST(WireFormat, HttpResponseBytes) {
    EXPECT_EQ(serialize(Response{200, "{}"}),
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(serialize(Response{503, R"({"error":"x"})", 7, false}),
              "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
              "Content-Length: 13\r\nRetry-After: 7\r\nConnection: close\r\n\r\n{\"error\":\"x\"}");
}

TEST(WireFormat, HttpRequestBytes) {
    EXPECT_EQ(serialize(Request{"GET", "/keys/a", ""}, "10.0.0.1:80"),
              "GET /keys/a HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n");
    EXPECT_EQ(serialize(Request{"POST", "/multi", "{}"}, "10.0.0.1:80"),
              "POST /multi HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/json\r\n"
              "Content-Length: 2\r\n\r\n{}");
    EXPECT_EQ(serialize(Request{"POST", "/grants/4/touch", ""}, "10.0.0.1:80"),
              "POST /grants/4/touch HTTP/1.1\r\nHost: 10.0.0.1:80\r\n"
              "Content-Type: application/json\r\nContent-Length: 0\r\n\r\n");
}

TEST(WireFormat, RetryAfterHeaderIsRead) {
    Parser parser(Parser::Kind::responses, 1024);
    std::string data =
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        "Retry-After: 7\r\n\r\n";
    ASSERT_EQ(parser.feed(data), Parser::State::complete);
    const Response response = parser.takeResponse();
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfterS, 7);
}

}  // namespace
}  // namespace basaltchute::http
