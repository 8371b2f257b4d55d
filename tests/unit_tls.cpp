#include "kingcup/wire.pb.h"
#include "net/http.h"
#include "net/tls.h"
#include "tests/certificates.h"
#include "wire/peer.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <openssl/ssl.h>
#include <openssl/x509.h>

using namespace KingCup;

namespace
{

constexpr auto Limit = Duration::seconds(20);

/// Makes a call and returns how it ended. The server's name in its certificate isn't checked.
auto callWithTls(EventLoop &loop, int port, const TlsFiles &tls) -> CallEnd
{
    HttpClient client(loop, tls);
    HttpAnswer answer;
    bool done = false;
    startShortCall(client, HttpCall {.server = {"127.0.0.1", port}, .timeout = Duration::seconds(3)}, [&](const HttpAnswer &got) {
        answer = got;
        done = true;
    });
    REQUIRE(loop.runUntil([&] { return done; }, Limit));
    return answer.end;
}

auto answerOk(const std::shared_ptr<HttpExchange> &exchange) -> void
{
    exchange->respond(200, {}, "ok");
}

/// Whether a client with `clientFiles` can connect to a server with `serverFiles`.
auto canPeersConnect(const TlsFiles &serverFiles, const TlsFiles &clientFiles) -> bool
{
    EventLoop loop;
    bool echoed = false;
    const PeerServer server(
        loop,
        Endpoint {},
        [](const PeerStreamPtr &stream) {
            stream->onMessage = [weak = std::weak_ptr(stream)](std::string_view) {
                weak.lock()->send(kingcup::wire::Data());
            };
        },
        PeerOptions {.tls = serverFiles});
    PeerClient client(loop, Endpoint {"127.0.0.1", server.port()}, PeerOptions {.tls = clientFiles});
    PeerStreamPtr stream;
    client.onUp = [&] {
        stream = client.open("/request");
        stream->onMessage = [&](std::string_view) {
            echoed = true;
        };
        stream->send(kingcup::wire::Data());
    };
    return loop.runUntil([&] { return echoed; }, Duration::seconds(1.5));
}

/// The serial number of the certificate that a context would present.
auto serialOf(SSL_CTX *context) -> std::string
{
    const auto *serial = X509_get0_serialNumber(SSL_CTX_get0_certificate(context));
    return {reinterpret_cast<const char *>(ASN1_STRING_get0_data(serial)), static_cast<std::size_t>(ASN1_STRING_length(serial))};
}

} // namespace

TEST_CASE("callers are served over TLS and accept only certificates of their authority")
{
    TestAuthority authority;
    TestAuthority otherAuthority;
    EventLoop loop;
    const HttpServer server(loop, HttpServerOptions {.tls = authority.issue("entry")}, answerOk);
    const TlsFiles trustedFiles {.authority = authority.issue("x").authority};
    const TlsFiles otherFiles {.authority = otherAuthority.issue("x").authority};
    REQUIRE(callWithTls(loop, server.port(), trustedFiles) == CallEnd::Complete);
    REQUIRE(callWithTls(loop, server.port(), otherFiles) == CallEnd::NotSent);
}

TEST_CASE("a connection without TLS to a TLS port is closed and affects no other")
{
    TestAuthority authority;
    EventLoop loop;
    const HttpServer server(loop, HttpServerOptions {.tls = authority.issue("entry")}, answerOk);
    REQUIRE(callWithTls(loop, server.port(), {}) != CallEnd::Complete);
    REQUIRE(callWithTls(loop, server.port(), {.authority = authority.issue("x").authority}) == CallEnd::Complete);
}

TEST_CASE("peers connect only if the certificates of both sides are signed by the authority")
{
    // Otherwise anybody on the network could send work to an agent's target, or pose as the agent and receive callers' requests.
    TestAuthority authority;
    TestAuthority otherAuthority;
    const auto agent = authority.issue("agent");
    const auto entry = authority.issue("entry");
    auto impostor = otherAuthority.issue("impostor");
    impostor.authority = entry.authority;
    const TlsFiles anonymous {.authority = entry.authority};
    REQUIRE(canPeersConnect(agent, entry));
    REQUIRE_FALSE(canPeersConnect(agent, impostor));
    REQUIRE_FALSE(canPeersConnect(impostor, entry));
    REQUIRE_FALSE(canPeersConnect(agent, anonymous));
    REQUIRE_FALSE(canPeersConnect(agent, {}));
    REQUIRE_FALSE(canPeersConnect({}, entry));
}

TEST_CASE("renewed certificates are loaded without a restart")
{
    TestAuthority authority;
    const auto files = authority.issue("agent");
    EventLoop loop;
    const TlsContext context(TlsContext::Side::Client, files);
    const auto before = serialOf(context.native());
    const TlsRenewal renewal(loop, files, context.native(), Duration::millis(5));
    authority.issue("agent");
    REQUIRE(loop.runUntil([&] { return renewal.renewals() > 0; }, Limit));
    REQUIRE(serialOf(context.native()) != before);
    REQUIRE(SSL_CTX_check_private_key(context.native()) == 1);
}

TEST_CASE("a server presents its renewed certificate to new callers")
{
    TestAuthority old;
    TestAuthority renewed;
    const auto files = old.issue("entry");
    EventLoop loop;
    const HttpServer server(loop, HttpServerOptions {.tls = files, .tlsCheck = Duration::millis(5)}, answerOk);
    const TlsFiles newTrust {.authority = renewed.issue("entry").authority};
    REQUIRE(callWithTls(loop, server.port(), newTrust) == CallEnd::NotSent);
    const auto fresh = renewed.issue("entry");
    std::filesystem::copy_file(fresh.certificate, files.certificate, std::filesystem::copy_options::overwrite_existing);
    std::filesystem::copy_file(fresh.key, files.key, std::filesystem::copy_options::overwrite_existing);
    loop.runUntil([] { return false; }, Duration::millis(100));
    REQUIRE(callWithTls(loop, server.port(), newTrust) == CallEnd::Complete);
}

TEST_CASE("a certificate and key that don't match are not loaded")
{
    // Certificate and key are replaced one after the other. If they were loaded in between, every new connection would fail.
    TestAuthority authority;
    const auto files = authority.issue("agent");
    const auto other = authority.issue("other");
    EventLoop loop;
    const TlsContext context(TlsContext::Side::Client, files);
    const auto before = serialOf(context.native());
    const TlsRenewal renewal(loop, files, context.native(), Duration::millis(5));
    std::filesystem::copy_file(other.certificate, files.certificate, std::filesystem::copy_options::overwrite_existing);
    loop.runUntil([] { return false; }, Duration::millis(50));
    REQUIRE(renewal.renewals() == 0);
    REQUIRE(serialOf(context.native()) == before);
    std::filesystem::copy_file(other.key, files.key, std::filesystem::copy_options::overwrite_existing);
    REQUIRE(loop.runUntil([&] { return renewal.renewals() == 1; }, Limit));

    std::ofstream(files.certificate) << "not a certificate";
    REQUIRE_FALSE(checkTlsFiles(files).empty());
    REQUIRE_THROWS(TlsContext(TlsContext::Side::Client, files));
}
