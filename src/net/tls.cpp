#include "net/tls.h"

#include <array>
#include <glog/logging.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <stdexcept>
#include <sys/stat.h>

namespace KingCup
{

namespace
{

struct ContextDeleter {
    auto operator()(SSL_CTX *context) const -> void
    {
        SSL_CTX_free(context);
    }
};

auto lastError() -> std::string
{
    constexpr std::size_t TextBytes = 256;
    std::array<char, TextBytes> text {};
    ERR_error_string_n(ERR_get_error(), text.data(), text.size());
    ERR_clear_error();
    return text.data();
}

/// Loads the files into the context. Returns the error; empty on success.
auto loadFiles(SSL_CTX *context, const TlsFiles &files) -> std::string
{
    if (!files.certificate.empty()) {
        if (SSL_CTX_use_certificate_chain_file(context, files.certificate.c_str()) != 1) {
            return "certificate " + files.certificate + ": " + lastError();
        }
        if (SSL_CTX_use_PrivateKey_file(context, files.key.c_str(), SSL_FILETYPE_PEM) != 1) {
            return "key " + files.key + ": " + lastError();
        }
    }
    if (!files.authority.empty() && SSL_CTX_load_verify_locations(context, files.authority.c_str(), nullptr) != 1) {
        return "authority " + files.authority + ": " + lastError();
    }
    return "";
}

/// A text that changes whenever one of the files does (modification time, inode, size).
auto stampOf(const TlsFiles &files) -> std::string
{
    std::string stamp;
    for (const auto &path : {files.certificate, files.key, files.authority}) {
        struct stat status {
        };
        if (!path.empty() && stat(path.c_str(), &status) == 0) {
            stamp += std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec) + "/" + std::to_string(status.st_ino) + "/"
                + std::to_string(status.st_size);
        }
        stamp += ";";
    }
    return stamp;
}

} // namespace

auto checkTlsFiles(const TlsFiles &files) -> std::string
{
    const std::unique_ptr<SSL_CTX, ContextDeleter> scratch(SSL_CTX_new(TLS_method()));
    return loadFiles(scratch.get(), files);
}

TlsContext::TlsContext(Side side, const TlsFiles &files)
    : m_context(SSL_CTX_new(side == Side::Client ? TLS_client_method() : TLS_server_method()))
{
    const auto wrong = loadFiles(m_context, files);
    if (!wrong.empty()) {
        SSL_CTX_free(m_context);
        throw std::runtime_error("TLS files: " + wrong);
    }
    const bool isVerifying = side == Side::Client || !files.authority.empty();
    SSL_CTX_set_verify(m_context, isVerifying ? SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT : SSL_VERIFY_NONE, nullptr);
    SSL_CTX_set_min_proto_version(m_context, TLS1_2_VERSION);
}

TlsContext::~TlsContext()
{
    SSL_CTX_free(m_context);
}

auto TlsContext::native() const -> ssl_ctx_st *
{
    return m_context;
}

struct TlsRenewal::Private {
    TlsFiles files;
    SSL_CTX *context = nullptr;
    std::string stamp;
    std::string lastLoggedError; // so that an error is logged once and not at every check
    int renewals = 0;
    Timer timer;

    auto reloadIfChanged() -> void;
};

auto TlsRenewal::Private::reloadIfChanged() -> void
{
    const auto now = stampOf(files);
    if (now == stamp) {
        return;
    }
    // The files are first loaded into a temporary context: certificate and key are replaced one after the other and don't match in
    // between. Loaded at that moment, they would make every new connection fail until the next renewal.
    const auto wrong = checkTlsFiles(files);
    if (!wrong.empty()) {
        if (wrong != lastLoggedError) {
            LOG(ERROR) << "net: changed TLS files are not usable, the old ones stay in use reason=\"" << wrong << "\"";
        }
        lastLoggedError = wrong;
        return;
    }
    loadFiles(context, files);
    stamp = now;
    lastLoggedError.clear();
    ++renewals;
    LOG(INFO) << "net: TLS files renewed certificate=" << files.certificate;
}

TlsRenewal::TlsRenewal(EventLoop &loop, TlsFiles files, ssl_ctx_st *context, Duration period)
    : d(std::make_unique<Private>())
{
    d->stamp = stampOf(files);
    d->files = std::move(files);
    d->context = context;
    d->timer = loop.every(period, [self = d.get()] { self->reloadIfChanged(); });
}

TlsRenewal::~TlsRenewal() = default;

auto TlsRenewal::renewals() const -> int
{
    return d->renewals;
}

} // namespace KingCup
