#include "gateway/amqp/sasl.h"

#include <proton/sasl.h>
#include <proton/sasl_plugin.h>
#include <proton/transport.h>

#include <string_view>

namespace basaltchute::amqp {

namespace {

constexpr const char* plain = "PLAIN";
constexpr const char* external = "EXTERNAL";
constexpr const char* anonymous = "ANONYMOUS";

Identity& identityOf(pn_transport_t* t) {
    return *static_cast<Identity*>(pnx_sasl_get_context(t));
}

/// Passwords are neither offered nor accepted on unencrypted connections unless allowed.
bool plainAllowed(const Identity& identity) {
    return identity.checkPassword && identity.allowPlainWithoutTls;
}

const char* offeredMechanisms(pn_transport_t* t) {
    const auto& identity = identityOf(t);
    const bool hasCertificate = identity.certificateName && !identity.certificateName().empty();
    if (hasCertificate) return plainAllowed(identity) ? "EXTERNAL PLAIN" : external;
    if (plainAllowed(identity)) return identity.allowAnonymous ? "PLAIN ANONYMOUS" : plain;
    return identity.allowAnonymous ? anonymous : "";
}

void finishAuthentication(pn_transport_t* t, bool succeeded, std::string user) {
    if (succeeded) {
        // The engine keeps only the pointer: the name must live as long as the identity.
        auto& identity = identityOf(t);
        identity.authenticatedUser = std::move(user);
        pnx_sasl_set_succeeded(t, identity.authenticatedUser.c_str(),
                               identity.authenticatedUser.c_str());
    } else {
        pnx_sasl_set_failed(t);
    }
    pnx_sasl_set_desired_state(t, SASL_POSTED_OUTCOME);
}

void processInit(pn_transport_t* t, const char* mechanism, const pn_bytes_t* answer) {
    const auto& identity = identityOf(t);
    const std::string_view mechanismName = mechanism;
    const bool hasCertificate = identity.certificateName && !identity.certificateName().empty();
    // A peer with a certificate authenticates by it and not as anonymous.
    if (mechanismName == anonymous && identity.allowAnonymous && !hasCertificate)
        return finishAuthentication(t, true, "anonymous");
    if (mechanismName == external && hasCertificate)
        return finishAuthentication(t, true, identity.certificateName());
    if (mechanismName != plain || !plainAllowed(identity))
        return finishAuthentication(t, false, "");
    // RFC 4616: authorization identity, NUL, name, NUL, password.
    const std::string_view text(answer->start, answer->size);
    const auto first = text.find('\0');
    const auto second = first == std::string_view::npos ? first : text.find('\0', first + 1);
    if (second == std::string_view::npos) return finishAuthentication(t, false, "");
    const std::string user(text.substr(first + 1, second - first - 1));
    finishAuthentication(t, identity.checkPassword(user, std::string(text.substr(second + 1))),
                         user);
}

bool chooseMechanism(pn_transport_t* t, const char* offered) {
    auto& identity = identityOf(t);
    const std::string all = ' ' + std::string(offered) + ' ';
    const auto has = [&](const char* m) {
        return all.find(' ' + std::string(m) + ' ') != std::string::npos;
    };
    static thread_local std::string answer;  // must live until the engine has copied it
    answer.clear();
    if (identity.useCertificate && has(external)) {
        pnx_sasl_set_selected_mechanism(t, external);
    } else if (!identity.user.empty() && identity.allowPlainWithoutTls && has(plain)) {
        answer = '\0' + identity.user + '\0' + identity.password;
        pnx_sasl_set_selected_mechanism(t, plain);
    } else if (has(anonymous)) {
        answer = "basaltchute";
        pnx_sasl_set_selected_mechanism(t, anonymous);
    } else {
        return false;
    }
    pnx_sasl_set_bytes_out(t, pn_bytes(answer.size(), answer.data()));
    pnx_sasl_set_desired_state(t, SASL_POSTED_INIT);
    return true;
}

const pnx_sasl_implementation& saslImplementation() {
    static const pnx_sasl_implementation it = [] {
        pnx_sasl_implementation i{};
        i.free = [](pn_transport_t*) {};
        i.list_mechanisms = offeredMechanisms;
        i.init_server = [](pn_transport_t* t) {
            pnx_sasl_set_desired_state(t, SASL_POSTED_MECHANISMS);
            return true;
        };
        i.init_client = [](pn_transport_t*) { return true; };
        i.prepare_write = [](pn_transport_t*) {};
        i.process_init = processInit;
        i.process_response = [](pn_transport_t* t, const pn_bytes_t*) {
            finishAuthentication(t, false, "");
        };
        i.process_mechanisms = chooseMechanism;
        i.process_challenge = [](pn_transport_t*, const pn_bytes_t*) {};
        i.process_outcome = [](pn_transport_t*, const pn_bytes_t*) {};
        i.can_encrypt = [](pn_transport_t*) { return false; };
        i.max_encrypt_size = [](pn_transport_t*) -> ssize_t { return 0; };
        i.encode = [](pn_transport_t*, pn_bytes_t, pn_bytes_t*) -> ssize_t { return 0; };
        i.decode = [](pn_transport_t*, pn_bytes_t, pn_bytes_t*) -> ssize_t { return 0; };
        return i;
    }();
    return it;
}

}  // namespace

void configureSasl(pn_transport_t* transport, Identity& identity) {
    pn_sasl_t* sasl = pn_sasl(transport);
    pnx_sasl_set_implementation(transport, &saslImplementation(), &identity);
    pn_sasl_set_allow_insecure_mechs(sasl, identity.allowPlainWithoutTls);
    pn_transport_require_auth(transport, true);
}

}  // namespace basaltchute::amqp
