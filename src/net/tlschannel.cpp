#include "net/tlschannel.h"

#include <algorithm>
#include <array>
#include <openssl/err.h>
#include <openssl/ssl.h>

namespace KingCup
{

namespace
{

constexpr std::size_t ReadBytes = 16U << 10U; // the maximum plaintext size of a TLS record

auto describeError() -> std::string
{
    constexpr std::size_t TextBytes = 256;
    std::array<char, TextBytes> text {};
    const auto code = ERR_peek_last_error(); // the last error of the queue is the most specific to the connection
    ERR_clear_error();
    if (code == 0) {
        return "closed by the remote side";
    }
    ERR_error_string_n(code, text.data(), text.size());
    return text.data();
}

} // namespace

struct TlsChannel::Private {
    SSL *ssl = nullptr;
    BIO *in = nullptr; // owned by ssl
    BIO *out = nullptr; // owned by ssl
    std::string fault;

    /// False, with `fault` set, if the `result` of a call on ssl is an error other than that more bytes are needed.
    auto isFine(int result) -> bool
    {
        const int error = SSL_get_error(ssl, result);
        if (result > 0 || error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) {
            return true;
        }
        fault = "TLS: " + describeError();
        return false;
    }
};

TlsChannel::TlsChannel(ssl_ctx_st *context, Side side)
    : d(std::make_unique<Private>())
{
    d->ssl = SSL_new(context);
    d->in = BIO_new(BIO_s_mem());
    d->out = BIO_new(BIO_s_mem());
    SSL_set_bio(d->ssl, d->in, d->out);
    if (side == Side::Client) {
        SSL_set_connect_state(d->ssl);
    } else {
        SSL_set_accept_state(d->ssl);
    }
}

TlsChannel::~TlsChannel()
{
    SSL_free(d->ssl);
}

auto TlsChannel::isEstablished() const -> bool
{
    return SSL_is_init_finished(d->ssl) != 0;
}

auto TlsChannel::hasRemoteFinished() const -> bool
{
    return (SSL_get_shutdown(d->ssl) & SSL_RECEIVED_SHUTDOWN) != 0;
}

auto TlsChannel::pendingBytes() const -> std::size_t
{
    return BIO_ctrl_pending(d->out);
}

auto TlsChannel::fault() const -> const std::string &
{
    return d->fault;
}

auto TlsChannel::start() -> void
{
    ERR_clear_error();
    SSL_do_handshake(d->ssl);
}

auto TlsChannel::receive(std::string_view encrypted, const std::function<bool(std::string_view plain)> &onPlain) -> bool
{
    ERR_clear_error();
    BIO_write(d->in, encrypted.data(), static_cast<int>(encrypted.size()));
    if (!isEstablished() && !d->isFine(SSL_do_handshake(d->ssl))) {
        return false;
    }
    if (!isEstablished()) {
        return true;
    }
    std::array<char, ReadBytes> plain; // not cleared: written before it is read
    int size = SSL_read(d->ssl, plain.data(), static_cast<int>(plain.size()));
    while (size > 0 && onPlain({plain.data(), static_cast<std::size_t>(size)})) {
        size = SSL_read(d->ssl, plain.data(), static_cast<int>(plain.size()));
    }
    return d->isFine(size);
}

auto TlsChannel::send(std::string_view plain) -> void
{
    if (!plain.empty()) {
        SSL_write(d->ssl, plain.data(), static_cast<int>(plain.size()));
    }
}

auto TlsChannel::finish() -> void
{
    if (isEstablished()) {
        SSL_shutdown(d->ssl);
    }
}

auto TlsChannel::take(unsigned char *to, std::size_t capacity) -> std::size_t
{
    const int size = BIO_read(d->out, to, static_cast<int>(capacity));
    return static_cast<std::size_t>(std::max(size, 0));
}

} // namespace KingCup
