#include "gateway/amqp/tls.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <array>

namespace basaltchute::amqp {

namespace {
struct FreeContext {
    void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
};
struct FreeSession {
    void operator()(SSL* s) const { SSL_free(s); }
};
constexpr std::size_t maxWaiting = std::size_t{1}
                                   << 20U;  // bytes buffered until the handshake is complete
}  // namespace

class TlsContext {
  public:
    std::unique_ptr<SSL_CTX, FreeContext> context;
    bool server = false;
    std::string host;
};

std::variant<TlsHandle, std::string> loadTls(const TlsFiles& files, bool server) {
    auto out = std::make_shared<TlsContext>();
    out->context.reset(SSL_CTX_new(server ? TLS_server_method() : TLS_client_method()));
    out->server = server;
    out->host = files.host;
    SSL_CTX* c = out->context.get();
    SSL_CTX_set_min_proto_version(c, TLS1_2_VERSION);
    ERR_clear_error();
    if (!files.certificate.empty() &&
        SSL_CTX_use_certificate_chain_file(c, files.certificate.c_str()) != 1)
        return files.certificate + ": expected a PEM file with a certificate chain";
    if (!files.key.empty() &&
        SSL_CTX_use_PrivateKey_file(c, files.key.c_str(), SSL_FILETYPE_PEM) != 1)
        return files.key + ": expected a PEM file with the certificate's private key";
    if (!files.trust.empty()) {
        if (SSL_CTX_load_verify_locations(c, files.trust.c_str(), nullptr) != 1)
            return files.trust + ": expected a PEM file with certificates of authorities";
        if (server) SSL_CTX_set_client_CA_list(c, SSL_load_client_CA_file(files.trust.c_str()));
    } else if (!server) {
        SSL_CTX_set_default_verify_paths(c);
    }
    int mode = server && files.trust.empty() ? SSL_VERIFY_NONE : SSL_VERIFY_PEER;
    if (server && files.required) mode |= SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
    SSL_CTX_set_verify(c, mode, nullptr);
    return TlsHandle(std::move(out));
}

struct Tls::Session {
    TlsHandle context;
    std::unique_ptr<SSL, FreeSession> ssl;
    BIO* in = nullptr;   // owned by `ssl`
    BIO* out = nullptr;  // owned by `ssl`
    std::string waiting;
    bool broken = false;

    void flush() {
        if (!SSL_is_init_finished(ssl.get()) || waiting.empty()) return;
        const int n = SSL_write(ssl.get(), waiting.data(), static_cast<int>(waiting.size()));
        if (n > 0) waiting.erase(0, static_cast<std::size_t>(n));
    }
};

Tls::Tls(TlsHandle context) : session_(std::make_unique<Session>()) {
    auto& s = *session_;
    s.context = std::move(context);
    s.ssl.reset(SSL_new(s.context->context.get()));
    s.in = BIO_new(BIO_s_mem());
    s.out = BIO_new(BIO_s_mem());
    SSL_set_bio(s.ssl.get(), s.in, s.out);
    if (s.context->server) {
        SSL_set_accept_state(s.ssl.get());
        return;
    }
    SSL_set_connect_state(s.ssl.get());
    if (!s.context->host.empty()) {
        SSL_set_tlsext_host_name(s.ssl.get(), s.context->host.c_str());
        SSL_set1_host(s.ssl.get(), s.context->host.c_str());
    }
    SSL_do_handshake(s.ssl.get());
}
Tls::~Tls() = default;

bool Tls::decrypt(std::string_view encrypted, std::string& plain) {
    auto& s = *session_;
    BIO_write(s.in, encrypted.data(), static_cast<int>(encrypted.size()));
    // Uninitialized: OpenSSL fills it, and only what it wrote is read.
    std::array<char, 16384> buffer;
    while (!s.broken) {
        ERR_clear_error();
        const int n = SSL_read(s.ssl.get(), buffer.data(), static_cast<int>(buffer.size()));
        if (n > 0) {
            plain.append(buffer.data(), static_cast<std::size_t>(n));
            continue;
        }
        const int why = SSL_get_error(s.ssl.get(), n);
        if (why != SSL_ERROR_WANT_READ && why != SSL_ERROR_WANT_WRITE) s.broken = true;
        break;
    }
    s.flush();
    return !s.broken;
}

void Tls::encrypt(std::string_view plain) {
    auto& s = *session_;
    s.waiting.append(plain);
    if (s.waiting.size() > maxWaiting) s.broken = true;
    s.flush();
}

std::string Tls::takeOutput() {
    std::string encrypted(BIO_ctrl_pending(session_->out), '\0');
    if (!encrypted.empty())
        BIO_read(session_->out, encrypted.data(), static_cast<int>(encrypted.size()));
    return encrypted;
}

std::string Tls::peerName() const {
    SSL* ssl = session_->ssl.get();
    X509* cert = SSL_get0_peer_certificate(ssl);
    if (cert == nullptr || SSL_get_verify_result(ssl) != X509_V_OK) return "";
    std::array<char, 256> name{};
    const int n = X509_NAME_get_text_by_NID(X509_get_subject_name(cert), NID_commonName,
                                            name.data(), static_cast<int>(name.size()));
    return n > 0 ? std::string(name.data(), static_cast<std::size_t>(n)) : "";
}

}  // namespace basaltchute::amqp
