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

/// Passwords are neither offered nor taken where others could read them.
bool plainAllowed(const Identity& who) {
    return who.checkPassword && who.allowPlainWithoutTls;
}

const char* mechanisms(pn_transport_t* t) {
    const auto& who = identityOf(t);
    const bool certified = who.certificateName && !who.certificateName().empty();
    if (certified) return plainAllowed(who) ? "EXTERNAL PLAIN" : external;
    if (plainAllowed(who)) return who.allowAnonymous ? "PLAIN ANONYMOUS" : plain;
    return who.allowAnonymous ? anonymous : "";
}

void decided(pn_transport_t* t, bool good, std::string user) {
    if (good) {
        // The engine keeps the pointer alone: the name must live as long as the identity.
        auto& who = identityOf(t);
        who.authenticatedUser = std::move(user);
        pnx_sasl_set_succeeded(t, who.authenticatedUser.c_str(), who.authenticatedUser.c_str());
    } else {
        pnx_sasl_set_failed(t);
    }
    pnx_sasl_set_desired_state(t, SASL_POSTED_OUTCOME);
}

void judge(pn_transport_t* t, const char* mechanism, const pn_bytes_t* answer) {
    const auto& who = identityOf(t);
    const std::string_view by = mechanism;
    const bool certified = who.certificateName && !who.certificateName().empty();
    // A certificate is a name, and who has one is not asked to be nobody.
    if (by == anonymous && who.allowAnonymous && !certified) return decided(t, true, "anonymous");
    if (by == external && certified) return decided(t, true, who.certificateName());
    if (by != plain || !plainAllowed(who)) return decided(t, false, "");
    // RFC 4616: authorization identity, NUL, name, NUL, password.
    const std::string_view text(answer->start, answer->size);
    const auto first = text.find('\0');
    const auto second = first == std::string_view::npos ? first : text.find('\0', first + 1);
    if (second == std::string_view::npos) return decided(t, false, "");
    const std::string user(text.substr(first + 1, second - first - 1));
    decided(t, who.checkPassword(user, std::string(text.substr(second + 1))), user);
}

bool choose(pn_transport_t* t, const char* offered) {
    auto& who = identityOf(t);
    const std::string all = ' ' + std::string(offered) + ' ';
    const auto has = [&](const char* m) {
        return all.find(' ' + std::string(m) + ' ') != std::string::npos;
    };
    static thread_local std::string answer;  // must live until the engine has copied it
    answer.clear();
    if (who.useCertificate && has(external)) {
        pnx_sasl_set_selected_mechanism(t, external);
    } else if (!who.user.empty() && who.allowPlainWithoutTls && has(plain)) {
        answer = '\0' + who.user + '\0' + who.password;
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

const pnx_sasl_implementation& ours() {
    static const pnx_sasl_implementation it = [] {
        pnx_sasl_implementation i{};
        i.free = [](pn_transport_t*) {};
        i.list_mechanisms = mechanisms;
        i.init_server = [](pn_transport_t* t) {
            pnx_sasl_set_desired_state(t, SASL_POSTED_MECHANISMS);
            return true;
        };
        i.init_client = [](pn_transport_t*) { return true; };
        i.prepare_write = [](pn_transport_t*) {};
        i.process_init = judge;
        i.process_response = [](pn_transport_t* t, const pn_bytes_t*) { decided(t, false, ""); };
        i.process_mechanisms = choose;
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

void secure(pn_transport_t* transport, Identity& identity) {
    pn_sasl_t* sasl = pn_sasl(transport);
    pnx_sasl_set_implementation(transport, &ours(), &identity);
    pn_sasl_set_allow_insecure_mechs(sasl, identity.allowPlainWithoutTls);
    pn_transport_require_auth(transport, true);
}

}  // namespace basaltchute::amqp
