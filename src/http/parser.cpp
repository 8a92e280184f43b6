#include "http/parser.h"

#include <strings.h>

#include <charconv>
#include <climits>

namespace basaltchute::http {

namespace {
constexpr std::size_t maxUrlBytes = 4096;
constexpr std::size_t maxHeaderBytes = 8192;  // of a name, and of a value
}  // namespace

Parser::Parser(Kind kind, std::size_t maxBodyBytes) : kind_(kind), maxBodyBytes_(maxBodyBytes) {
    http_parser_init(&parser_, kind == Kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

const http_parser_settings& Parser::callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = onBegin;
        s.on_url = onUrl;
        s.on_header_field = onField;
        s.on_header_value = onValue;
        s.on_headers_complete = onHeaders;
        s.on_body = onBody;
        s.on_message_complete = onComplete;
        return s;
    }();
    return settings;
}

void Parser::reset() {
    complete_ = tooLarge_ = lastWasValue_ = false;
    url_.clear();
    field_.clear();
    value_.clear();
    body_.clear();
    retryAfterS_ = 0;
}
int Parser::onBegin(http_parser* p) {
    self(p).reset();
    self(p).begun_ = true;
    return 0;
}
int Parser::onUrl(http_parser* p, const char* at, std::size_t n) {
    auto& s = self(p);
    s.url_.append(at, n);
    return s.url_.size() > maxUrlBytes ? 1 : 0;
}
int Parser::onField(http_parser* p, const char* at, std::size_t n) {
    auto& s = self(p);
    if (s.lastWasValue_) s.endHeader();
    s.lastWasValue_ = false;
    s.field_.append(at, n);
    return s.field_.size() > maxHeaderBytes ? 1 : 0;
}
int Parser::onValue(http_parser* p, const char* at, std::size_t n) {
    auto& s = self(p);
    s.lastWasValue_ = true;
    s.value_.append(at, n);
    return s.value_.size() > maxHeaderBytes ? 1 : 0;
}
void Parser::endHeader() {
    if (strcasecmp(field_.c_str(), "retry-after") == 0)
        std::from_chars(value_.data(), value_.data() + value_.size(), retryAfterS_);
    field_.clear();
    value_.clear();
}
int Parser::onHeaders(http_parser* p) {
    auto& s = self(p);
    if (s.lastWasValue_) s.endHeader();
    // Reject the message by its announced length before any of the body is read.
    if (p->content_length != ULLONG_MAX && p->content_length > s.maxBodyBytes_) {
        s.tooLarge_ = true;
        return -1;
    }
    return 0;
}
int Parser::onBody(http_parser* p, const char* at, std::size_t n) {
    auto& s = self(p);
    if (s.body_.size() + n > s.maxBodyBytes_) {
        s.tooLarge_ = true;
        return 1;
    }
    s.body_.append(at, n);
    return 0;
}
int Parser::onComplete(http_parser* p) {
    auto& s = self(p);
    s.complete_ = true;
    s.begun_ = false;
    s.keepAlive_ = http_should_keep_alive(p) != 0;
    http_parser_pause(p, 1);
    return 0;
}

Parser::State Parser::feed(std::string& data) {
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) http_parser_pause(&parser_, 0);
    const std::size_t used = http_parser_execute(&parser_, &callbacks(), data.data(), data.size());
    const auto err = HTTP_PARSER_ERRNO(&parser_);
    if (tooLarge_) return State::bodyTooLarge;
    if (complete_) {
        data.erase(0, used);
        return State::complete;
    }
    if (err != HPE_OK || parser_.upgrade) return State::malformed;
    data.clear();
    return State::needMore;
}
Parser::State Parser::finish() {
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    return complete_ ? State::complete : State::malformed;
}
Request Parser::takeRequest() {
    Request r{http_method_str(static_cast<http_method>(parser_.method)), std::move(url_),
              std::move(body_), keepAlive_};
    reset();
    return r;
}
Response Parser::takeResponse() {
    Response r{static_cast<int>(parser_.status_code), std::move(body_), retryAfterS_, keepAlive_};
    reset();
    return r;
}

std::string serialize(const Response& r) {
    std::string out =
        "HTTP/1.1 " + std::to_string(r.status) + ' ' +
        http_status_str(static_cast<http_status>(r.status)) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) +
        "\r\n";
    if (r.retryAfterS > 0) out += "Retry-After: " + std::to_string(r.retryAfterS) + "\r\n";
    if (!r.keepAlive) out += "Connection: close\r\n";
    return out + "\r\n" + r.body;
}
std::string serialize(const Request& r, const std::string& host) {
    std::string out = r.method + ' ' + r.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!r.body.empty() || r.method == "POST")
        out +=
            "Content-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) +
            "\r\n";
    return out + "\r\n" + r.body;
}

}  // namespace basaltchute::http
