#include "gateway/amqp/connection.h"

#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <array>
#include <cstdio>
#include <filesystem>

#include "gateway/testing/client.h"
#include "testing/world.h"

namespace basaltchute::amqp {
namespace {

using namespace std::chrono_literals;
using basaltchute::testing::World;
using gateway::testing::Client;

/// Accepts every link and records the messages.
struct Acceptor final : Handler {
    void attached(Connection& c, LinkId id, const Attach& a) override {
        c.confirm(id);
        link = id;
        if (a.peerSends) c.addCredit(id, 10);
    }
    void messageReceived(Connection& c, LinkId, DeliveryId d, Message m,
                         std::string wrong) override {
        messages.push_back(std::move(m));
        broken.push_back(std::move(wrong));
        c.settle(d, {Outcome::accepted, {}, false});
    }
    void ended(Connection&, const Condition& why) override {
        over = true;
        ending = why;
    }
    LinkId link = 0;
    std::vector<Message> messages;
    std::vector<std::string> broken;
    bool over = false;
    Condition ending;
};

/// Server side of one connection.
struct Server {
    explicit Server(World& w) : world(w), listener(w.loop, "127.0.0.1:0") {}
    World& world;
    Listener listener;
    Acceptor handler;
    std::shared_ptr<Connection> connection;
    Task<void> serve(Connection::Options options) {
        auto socket = co_await listener.accept(world.scope);
        options.server = true;
        connection = std::make_shared<Connection>(world.loop, std::move(socket), std::move(options),
                                                  handler);
        const auto held = connection;
        co_await Connection::run(held, world.scope);
    }
};

struct WorldGuard {
    explicit WorldGuard(World& ended) : world(ended) {}
    WorldGuard(const WorldGuard&) = delete;
    WorldGuard& operator=(const WorldGuard&) = delete;
    World& world;
    ~WorldGuard() { world.end(world.scope); }
};

TEST(AmqpMessage, PreservesIdTypesAndReportsInvalidInput) {
    for (const Id& id :
         {Id{Id::Kind::text, "a b"}, Id{Id::Kind::number, "18446744073709551615"},
          Id{Id::Kind::uuid, "0123456789abcdef"}, Id{Id::Kind::binary, std::string("\0\xff", 2)}}) {
        Message m;
        m.id = id;
        m.replyTo = "there";
        m.properties = {{"k", "v"}};
        m.body = std::string("\0{}", 3);
        const auto back = std::get<Message>(decode(encode(m).value()));
        EXPECT_EQ(back.id, id);
        EXPECT_EQ(back.body, m.body);
        EXPECT_EQ(back.properties, m.properties);
        EXPECT_EQ(Id::fromText(id.toText()), id);
    }
    EXPECT_EQ(std::get<std::string>(decode("")), "not an AMQP message");
    Message m;
    m.body = "whole";
    const std::string whole = encode(m).value();
    EXPECT_TRUE(std::holds_alternative<std::string>(decode(whole.substr(0, whole.size() - 2))));
    EXPECT_EQ(Id::fromText("b:0x"), std::nullopt);
}

TEST(AmqpConnection, OversizedMessageIsDiscardedAndReported) {
    World world;
    Server server(world);
    const WorldGuard ended(world);
    Connection::Options options;
    options.identity.allowAnonymous = true;
    options.limits.messageBytes = 1000;
    world.scope.spawn(server.serve(std::move(options)));
    Client c(world.loop, server.listener.address());
    c.start();
    ASSERT_TRUE(world.until([&] { return c.open; }));
    c.sendTo("q");
    ASSERT_TRUE(world.until([&] { return c.linked("q"); }));
    Message m;
    m.body.assign(std::size_t{1} << 20U, 'x');
    c.send("q", m, "1");
    m.body = "fits";
    c.sendRaw("q", encode(m).value().substr(0, 8), "2");
    c.send("q", m, "3");
    ASSERT_TRUE(world.until([&] { return c.decisions.size() == 3; }));
    ASSERT_EQ(server.handler.broken.size(), 3U);
    EXPECT_EQ(server.handler.broken[0], "larger than 1000 bytes");
    EXPECT_NE(server.handler.broken[1], "") << "half a message";
    EXPECT_EQ(server.handler.broken[2], "");
    EXPECT_EQ(server.handler.messages[2].body, "fits");
}

TEST(AmqpConnection, PeerThatStopsReadingIsDisconnectedAfterWriteTimeout) {
    World world;
    Server server(world);
    const WorldGuard ended(world);
    Connection::Options options;
    options.identity.allowAnonymous = true;
    options.limits.writeTimeout = 5s;
    options.limits.idleTimeout = 10min;
    world.scope.spawn(server.serve(std::move(options)));
    // A relay between client and server stops forwarding the server's bytes.
    Listener relay(world.loop, "127.0.0.1:0");
    bool relayBlocked = false;
    const auto pass = [](World& w, Socket& from, Socket& to, const bool* stop) -> Task<void> {
        std::string data;
        while (true) {
            data.clear();
            const long n = co_await from.read(data, TimePoint::max(), w.scope);
            if (n <= 0) co_return;
            while (stop != nullptr && *stop) {
                const WakeReason woke = co_await w.loop.sleep(1s, w.scope);
                if (woke == WakeReason::cancelled) co_return;
            }
            co_await to.write(data, TimePoint::max(), w.scope);
        }
    };
    std::unique_ptr<Socket> clientSide, serverSide;
    world.scope.spawn([](World& w, Listener& l, std::string address, std::unique_ptr<Socket>& a,
                         std::unique_ptr<Socket>& b) -> Task<void> {
        a = co_await l.accept(w.scope);
        const auto to = parseAddress(address);
        b = co_await Socket::connect(w.loop, *to, TimePoint::max(), w.scope);
    }(world, relay, server.listener.address(), clientSide, serverSide));
    Client c(world.loop, relay.address());
    c.start();
    ASSERT_TRUE(world.until([&] { return clientSide && serverSide; }));
    world.scope.spawn(pass(world, *clientSide, *serverSide, nullptr));
    world.scope.spawn(pass(world, *serverSide, *clientSide, &relayBlocked));
    ASSERT_TRUE(world.until([&] { return c.open; }));
    c.readFrom("q", 1000);
    ASSERT_TRUE(world.until(
        [&] { return server.connection && server.connection->credit(server.handler.link) > 0; }));
    relayBlocked = true;
    const std::string large(std::size_t{1} << 20U, 'x');
    Message m;
    m.body = large;
    const std::string bytes = encode(m).value();
    for (int i = 0; i < 30; ++i)
        server.connection->send(server.handler.link, bytes, std::to_string(i));
    EXPECT_FALSE(world.until([&] { return server.handler.over; }, 4s));
    EXPECT_TRUE(world.until([&] { return server.handler.over; }, 10s));
}

TEST(AmqpConnection, PasswordsAreCheckedAndNotSentInClearByDefault) {
    World world;
    Server server(world);
    const WorldGuard ended(world);
    const auto attempt = [&](const std::string& password, bool plainInClear) {
        Connection::Options options;
        options.identity.checkPassword = [](const std::string& user, const std::string& given) {
            return user == "kierros" && given == "secret";
        };
        options.identity.allowPlainWithoutTls = plainInClear;
        world.scope.spawn(server.serve(std::move(options)));
        Connection::Options mine;
        mine.identity.user = "kierros";
        mine.identity.password = password;
        mine.identity.allowPlainWithoutTls = plainInClear;
        Client c(world.loop, server.listener.address(), std::move(mine));
        c.start();
        world.until([&] { return c.open || c.over; });
        return c.open ? server.connection->user() : std::string("refused");
    };
    EXPECT_EQ(attempt("secret", true), "kierros");
    EXPECT_EQ(attempt("wrong", true), "refused");
    EXPECT_EQ(attempt("secret", false), "refused");
}

/// Test certificates signed by an authority of their own.
class Authority {
  public:
    Authority()
        : directory_(std::filesystem::temp_directory_path() /
                     ("basaltchute-tls-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(directory_);
        key_.reset(EVP_EC_gen("P-256"));
        cert_ = issue("authority", key_.get(), true);
        writeCert("trust.pem", cert_.get());
    }
    ~Authority() { std::filesystem::remove_all(directory_); }
    Authority(const Authority&) = delete;
    Authority& operator=(const Authority&) = delete;
    [[nodiscard]] std::string path(const std::string& name) const { return directory_ / name; }
    TlsFiles make(const std::string& name) {
        const Key key(EVP_EC_gen("P-256"));
        const Cert cert = issue(name, key.get(), false);
        writeCert(name + ".pem", cert.get());
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> out(
            std::fopen(path(name + ".key").c_str(), "w"), std::fclose);
        PEM_write_PrivateKey(out.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        return {path(name + ".pem"), path(name + ".key"), path("trust.pem"), false, ""};
    }

  private:
    struct FreeKey {
        void operator()(EVP_PKEY* k) const { EVP_PKEY_free(k); }
    };
    struct FreeCert {
        void operator()(X509* c) const { X509_free(c); }
    };
    using Key = std::unique_ptr<EVP_PKEY, FreeKey>;
    using Cert = std::unique_ptr<X509, FreeCert>;
    Cert issue(const std::string& name, EVP_PKEY* key, bool authority) {
        Cert c(X509_new());
        X509_set_version(c.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(c.get()), ++serial_);
        X509_gmtime_adj(X509_getm_notBefore(c.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(c.get()), 3600);
        X509_set_pubkey(c.get(), key);
        X509_NAME* subject = X509_get_subject_name(c.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(c.get(), authority ? subject : X509_get_subject_name(cert_.get()));
        X509_EXTENSION* ext = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints,
                                                  authority ? "critical,CA:TRUE" : "CA:FALSE");
        X509_add_ext(c.get(), ext, -1);
        X509_EXTENSION_free(ext);
        X509_sign(c.get(), key_.get(), EVP_sha256());
        return c;
    }
    void writeCert(const std::string& name, X509* cert) {
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> out(
            std::fopen(path(name).c_str(), "w"), std::fclose);
        PEM_write_X509(out.get(), cert);
    }
    std::filesystem::path directory_;
    Key key_;
    Cert cert_;
    long serial_ = 0;
};

TEST(AmqpConnection, TlsAuthenticatesBothSidesAndReloadKeepsOpenConnections) {
    World world;
    Server server(world);
    const WorldGuard ended(world);
    Authority authority;
    TlsFiles files = authority.make("broker.example");
    files.required = true;
    const auto load = [](const TlsFiles& f, bool side) {
        return std::get<TlsHandle>(loadTls(f, side));
    };
    const auto connect = [&](const TlsFiles& mine) {
        Connection::Options options;
        options.tls = load(files, true);
        world.scope.spawn(server.serve(std::move(options)));
        Connection::Options own;
        own.tls = load(mine, false);
        own.identity.useCertificate = true;
        auto c = std::make_unique<Client>(world.loop, server.listener.address(), std::move(own));
        c->start();
        world.until([&] { return c->open || c->over; });
        return c;
    };
    TlsFiles mine = authority.make("kierros");
    mine.host = "broker.example";
    const auto good = connect(mine);
    ASSERT_TRUE(good->open);
    EXPECT_EQ(server.connection->user(), "kierros");
    const auto first = server.connection;
    mine.host = "other.example";
    EXPECT_FALSE(connect(mine)->open) << "another host's certificate";
    // The authority is replaced: open connections stay, new ones are checked against the new
    // authority.
    {
        Authority other;
        files = other.make("broker.example");
        files.required = true;
        mine.host = "broker.example";
        EXPECT_FALSE(connect(mine)->open);
    }
    good->sendTo("q");
    EXPECT_TRUE(world.until([&] { return good->linked("q"); }));
    EXPECT_FALSE(first->closed());
    files.key = "nowhere.key";
    EXPECT_EQ(std::get<std::string>(loadTls(files, true)).substr(0, 11),
              files.certificate.substr(0, 11));
}

}  // namespace
}  // namespace basaltchute::amqp
