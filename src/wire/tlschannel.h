// TLS of one connection between peers, as bytes in and bytes out. Internal to src/wire.
//
// libwebsockets 4.1 starts the TLS handshake of an outgoing raw connection before there is a socket, and so never connects; therefore
// the library's memory buffers stand between its plain raw sockets and the session.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct ssl_ctx_st;

namespace KingCup
{

class TlsChannel
{
public:
    enum class Side { Client, Server };

    TlsChannel(ssl_ctx_st *context, Side side);
    ~TlsChannel();
    TlsChannel(const TlsChannel &) = delete;
    auto operator=(const TlsChannel &) -> TlsChannel & = delete;

    auto isEstablished() const -> bool; ///< the handshake is done: send() may be called
    auto pendingBytes() const -> std::size_t; ///< encrypted, to be taken
    auto fault() const -> const std::string &; ///< why receive() failed

    /// Begins the handshake; a client has bytes to send then.
    auto start() -> void;
    /// Takes what the socket received and calls `onPlain` for what it held, while that returns true. False if the connection can't
    /// go on.
    auto receive(std::string_view encrypted, const std::function<bool(std::string_view plain)> &onPlain) -> bool;
    auto send(std::string_view plain) -> void;
    /// Moves encrypted bytes out; the number of bytes.
    auto take(unsigned char *to, std::size_t capacity) -> std::size_t;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
