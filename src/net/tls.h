// TLS identities from files, and their renewal without a restart.
//
// Files are looked at every few seconds. Once they have changed and hold a certificate with its key, connections that are made from
// then on use them; those that stand go on. A renewed authority is trusted beside the old one until the next start.
#pragma once

#include "core/endpoint.h"
#include "core/units.h"
#include "net/eventloop.h"

#include <memory>
#include <string>

struct ssl_ctx_st;

namespace KingCup
{

/// What is wrong with the files; empty if they hold a certificate, its key, and an authority where one is named.
auto checkTlsFiles(const TlsFiles &files) -> std::string;

/// The library's context: the far side's certificate must be signed by the authority, and ours is presented if there is one.
class TlsContext
{
public:
    enum class Side { Client, Server };

    /// Throws std::runtime_error if checkTlsFiles() finds something.
    TlsContext(Side side, const TlsFiles &files);
    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    auto operator=(const TlsContext &) -> TlsContext & = delete;

    auto native() const -> ssl_ctx_st *;

private:
    ssl_ctx_st *m_context;
};

/// Loads changed files into a context, client's or server's, which must outlive this.
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
