#pragma once
#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace basaltchute::http {

/// Feeds bytes to http-parser and hands out whole messages, within fixed limits.
class Parser {
  public:
    enum class Kind { requests, responses };
    enum class State { needMore, complete, bodyTooLarge, broken };
    Parser(Kind kind, std::size_t maxBody);

    /// Consumes from `data` up to the end of one message; the rest stays in `data`.
    State feed(std::string& data);
    /// The stream ended: a response without a length is complete only now.
    State finish();
    [[nodiscard]] bool idle() const { return !begun_; }
    Request takeRequest();
    Response takeResponse();

  private:
    static int onBegin(http_parser* p);
    static int onUrl(http_parser* p, const char* at, std::size_t n);
    static int onField(http_parser* p, const char* at, std::size_t n);
    static int onValue(http_parser* p, const char* at, std::size_t n);
    static int onHeaders(http_parser* p);
    static int onBody(http_parser* p, const char* at, std::size_t n);
    static int onComplete(http_parser* p);
    static const http_parser_settings& callbacks();
    static Parser& self(http_parser* p) { return *static_cast<Parser*>(p->data); }
    void reset();

    Kind kind_;
    std::size_t maxBody_;
    http_parser parser_{};
    bool begun_ = false, complete_ = false, tooLarge_ = false, keepAlive_ = true;
    bool lastWasValue_ = false;
    std::string url_, field_, value_, body_;
    int retryAfterS_ = 0;
    void header();
};

std::string serialize(const Response& response);
std::string serialize(const Request& request, const std::string& host);

}  // namespace basaltchute::http
