#pragma once
#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace basaltchute::http {

/// Parses the HTTP messages of one connection with the http-parser library. Limits the length of
/// URL, headers and body.
class Parser {
  public:
    enum class Kind { requests, responses };
    enum class State {
        needMore,  // the message is not complete yet
        complete,
        bodyTooLarge,
        malformed,  // not HTTP, or a URL or header is too long
    };
    /// `maxBodyBytes`: a message with a larger body ends in State::bodyTooLarge.
    Parser(Kind kind, std::size_t maxBodyBytes);

    /// Removes the bytes of at most one message from `data`; what follows stays there.
    State feed(std::string& data);
    /// To be called at the end of the stream: a response without a length is complete only then.
    State finish();
    /// Whether no part of the next message has arrived.
    [[nodiscard]] bool idle() const { return !begun_; }
    /// The message that is complete. The parser is ready for the next one afterwards.
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
    std::size_t maxBodyBytes_;
    http_parser parser_{};
    bool begun_ = false, complete_ = false, tooLarge_ = false, keepAlive_ = true;
    bool lastWasValue_ = false;
    std::string url_, field_, value_, body_;
    int retryAfterS_ = 0;
    void endHeader();
};

/// The bytes of a message on the wire.
std::string serialize(const Response& response);
std::string serialize(const Request& request, const std::string& host);

}  // namespace basaltchute::http
