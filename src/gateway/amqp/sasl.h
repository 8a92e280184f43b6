#pragma once
#include <functional>
#include <string>

struct pn_transport_t;

namespace basaltchute::amqp {

/// Who a connection is, and whom it lets in (SASL, AMQP 1.0 part 5, 5.3). PLAIN by a name and a
/// password, EXTERNAL by the certificate that TLS has checked, ANONYMOUS where it is allowed.
struct Identity {
    // Of the side that connects.
    std::string user, password;
    bool useCertificate = false;  // it shows a certificate
    // Of the side that listens.
    std::function<bool(const std::string& user, const std::string& password)> checkPassword;
    bool allowAnonymous = false;
    std::function<std::string()>
        certificateName;            // the checked certificate's name; "" if there is none
    std::string authenticatedUser;  // who the other side has proved to be
    // Of both.
    bool allowPlainWithoutTls = false;  // passwords may travel as they are: asked for, or under TLS
};

/// Makes `identity`, which must outlive the transport, its SASL layer.
void secure(pn_transport_t* transport, Identity& identity);

}  // namespace basaltchute::amqp
