#pragma once
#include <functional>
#include <string>

struct pn_transport_t;

namespace basaltchute::amqp {

/// Credentials of a connecting side and access rules of a listening side (SASL, AMQP 1.0 part
/// 5, 5.3). Mechanisms: PLAIN with user and password, EXTERNAL with the certificate verified by
/// TLS, ANONYMOUS where allowed.
struct Identity {
    // Connecting side.
    std::string user, password;
    bool useCertificate = false;  // authenticate with the TLS certificate
    // Listening side.
    std::function<bool(const std::string& user, const std::string& password)> checkPassword;
    bool allowAnonymous = false;
    std::function<std::string()> certificateName;  // name in the verified certificate, or empty
    std::string authenticatedUser;                 // authenticated user of the peer
    // Both sides.
    bool allowPlainWithoutTls =
        false;  // allow passwords without encryption; set for TLS connections
};

/// Installs the SASL layer for `identity`, which must outlive the transport.
void configureSasl(pn_transport_t* transport, Identity& identity);

}  // namespace basaltchute::amqp
