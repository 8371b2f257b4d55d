// TLS certificates, keys and certificate authorities from files, and their renewal without a restart.
//
// The files are checked for changes periodically. Once they have changed and hold a certificate with its matching key, new connections use
// them; open connections go on. A renewed authority is trusted in addition to the old one until the process restarts.
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
#include "net/eventloop.h"

#include <memory>
#include <string>

struct ssl_ctx_st;

namespace KingCup
{

/// Describes what is wrong with the files; empty if they hold a certificate, its key, and an authority if one is named.
auto checkTlsFiles(const TlsFiles &files) -> std::string;

/// An OpenSSL context. The remote side's certificate must be signed by the authority; a server without an authority asks for none. This side's own is presented
/// if one is named.
class TlsContext
{
public:
    enum class Side { Client, Server };

    /// Throws std::runtime_error if checkTlsFiles() reports an error.
    TlsContext(Side side, const TlsFiles &files);
    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    auto operator=(const TlsContext &) -> TlsContext & = delete;

    auto native() const -> ssl_ctx_st *;

private:
    ssl_ctx_st *m_context;
};

/// Loads changed files into a client or server context, which must outlive this object.
class TlsRenewal
{
public:
    TlsRenewal(EventLoop &loop, TlsFiles files, ssl_ctx_st *context, Duration period = Duration::seconds(10));
    ~TlsRenewal();

    auto renewals() const -> int; ///< since the start

    struct Private;

private:
    std::unique_ptr<Private> d;
};

} // namespace KingCup
