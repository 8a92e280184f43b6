#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace basaltchute::amqp {

struct TlsFiles {
    std::string certificate, key;  // PEM; of the side that shows one
    std::string trust;             // PEM with the authorities that the other side must be signed by
    bool required = false;         // a listening side asks for a certificate and insists
    std::string host;              // name that the server's certificate must bear, on connecting
};

/// What was read from the files; connections keep the one they began with, so that files can be
/// read again without touching them.
class TlsContext;
using TlsHandle = std::shared_ptr<const TlsContext>;
/// The context, or one line that says which file is wrong.
std::variant<TlsHandle, std::string> loadTls(const TlsFiles& files, bool server);

/// TLS between a socket and the engine, over memory alone: it does no input or output itself.
class Tls {
  public:
    explicit Tls(TlsHandle context);
    ~Tls();
    Tls(const Tls&) = delete;
    Tls& operator=(const Tls&) = delete;
    /// Takes bytes from the wire and appends what they say; false once the session is broken.
    bool received(std::string_view wire, std::string& plain);
    /// Takes bytes for the other side; kept until the handshake has ended.
    void send(std::string_view plain);
    /// What is to be written to the wire.
    std::string takeWire();
    /// The common name of the other side's checked certificate; empty without one.
    [[nodiscard]] std::string peerName() const;

  private:
    struct Session;
    std::unique_ptr<Session> session_;
};

}  // namespace basaltchute::amqp
