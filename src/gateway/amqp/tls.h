#pragma once
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace basaltchute::amqp {

/// Paths and checks for one side of TLS connections.
struct TlsFiles {
    std::string certificate,
        key;                // PEM files of the own certificate and private key; empty if none
    std::string trust;      // PEM file with the authorities that may sign the peer's certificate
    bool required = false;  // the listening side requires a client certificate
    std::string host;       // expected name in the server's certificate, for connecting
};

/// The loaded files. Connections keep the context that they started with, so that reloading the
/// files does not affect them.
class TlsContext;
using TlsHandle = std::shared_ptr<const TlsContext>;
/// Loads the files, or returns an error text that names the invalid file.
std::variant<TlsHandle, std::string> loadTls(const TlsFiles& files, bool server);

/// TLS between a socket and the AMQP engine, in memory only: it does no input or output.
class Tls {
  public:
    explicit Tls(TlsHandle context);
    ~Tls();
    Tls(const Tls&) = delete;
    Tls& operator=(const Tls&) = delete;
    /// Decrypts bytes from the network and appends the plaintext; false once the session has
    /// failed.
    bool decrypt(std::string_view encrypted, std::string& plain);
    /// Encrypts bytes for the peer; they are buffered until the handshake is complete.
    void encrypt(std::string_view plain);
    /// Returns the bytes to write to the network.
    std::string takeOutput();
    /// Common name of the verified certificate of the peer; empty without one.
    [[nodiscard]] std::string peerName() const;

  private:
    struct Session;
    std::unique_ptr<Session> session_;
};

}  // namespace basaltchute::amqp
