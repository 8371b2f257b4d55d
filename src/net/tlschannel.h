// TLS of one connection, on memory buffers instead of a socket.
//
// libwebsockets 4.1 starts the TLS handshake of an outgoing raw connection before there is a socket, and so never connects. Therefore its
// raw sockets are used without TLS, and OpenSSL encrypts and decrypts between them and the session.
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
    auto hasRemoteFinished() const -> bool; ///< the remote side has said that no more bytes follow
    auto pendingBytes() const -> std::size_t; ///< encrypted bytes to be moved out by take()
    auto fault() const -> const std::string &; ///< why receive() failed

    /// Begins the handshake; a client has bytes to send afterwards.
    auto start() -> void;
    /// Decrypts bytes from the socket and calls `onPlain` with the plain text, as long as it returns true. False if the connection
    /// can't go on.
    auto receive(std::string_view encrypted, const std::function<bool(std::string_view plain)> &onPlain) -> bool;
    auto send(std::string_view plain) -> void;
    auto finish() -> void; ///< tells the remote side that no more bytes follow
    /// Moves encrypted bytes to `to`; returns their number.
    auto take(unsigned char *to, std::size_t capacity) -> std::size_t;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCup
