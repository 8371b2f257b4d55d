// One nghttp2 session without its socket: turns received bytes into streams of messages and back. Internal to src/wire.
//
// A hook of a stream may call any function of its stream or session: nghttp2 allows submissions from its callbacks, and the
// session is kept alive until its callback has returned.
//
// Index of sections (search for [SECTION]):
//   SessionStream   the implementation of PeerStream
//   PeerSession     the session
#pragma once

#include "wire/framing.h"
#include "wire/peer.h"

#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <unordered_map>
#include <vector>

namespace KingCup
{

enum class SessionRole { Client, Server };

class PeerSession;

// [SECTION] SessionStream

class SessionStream : public PeerStream, public std::enable_shared_from_this<SessionStream>
{
public:
    SessionStream(PeerSession &session, std::string path);
    ~SessionStream() override;
    SessionStream(const SessionStream &) = delete;
    auto operator=(const SessionStream &) -> SessionStream & = delete;

    auto path() const -> const std::string & override;
    auto isOpen() const -> bool override;
    auto pendingBytes() const -> std::size_t override;
    auto send(const google::protobuf::MessageLite &message) -> void override;
    auto finish() -> void override;
    auto reset() -> void override;
    auto refuse() -> void override;
    auto pause() -> void override;
    auto resume() -> void override;
    auto chargeTo(std::shared_ptr<CallerLoad> load) -> void override;

    // Called only by the session:

    /// Copies the next bytes of the body for nghttp2; defers if there are none.
    auto readBody(std::uint8_t *to, std::size_t capacity, std::uint32_t *flags) -> ssize_t;
    auto onData(std::string_view bytes) -> void;
    auto onRemoteEnd() -> void;
    auto onClosed(std::uint32_t errorCode) -> void;
    /// The connection was lost.
    auto onConnectionLost() -> void;
    auto notifyDrained() -> void;

private:
    friend class PeerSession;
    friend struct SessionCallbacks;

    auto deliver() -> void;
    auto takeMessages() -> void;
    auto consume() -> void;
    auto charge(std::size_t bytes) -> void;
    auto startAnswer() -> void;
    auto wakeWriter() -> void;
    auto resetWith(std::uint32_t errorCode) -> void;
    auto endWith(StreamEnd end) -> void;
    auto notifyEnd() -> void;

    EventLoop &m_loop;
    PeerSession *m_session; // null once the stream is closed on the wire
    std::int32_t m_id = 0;
    std::string m_path;
    std::size_t m_maxMessage;
    MessageReader m_reader;
    bool m_isDropping = false; // the stream was refused, and what still arrives is dropped
    std::shared_ptr<CallerLoad> m_load; // null: received messages aren't charged
    std::size_t m_charged = 0; // to m_load
    std::size_t m_unconsumed = 0; // received bytes that were not yet returned to the flow-control window
    std::string m_out;
    std::size_t m_outAt = 0; // bytes at the front of m_out that nghttp2 has read
    bool m_answered = false; // server: the response headers were submitted
    bool m_deferred = false; // nghttp2 waits until there is something to send
    bool m_finished = false; // finish() was called
    bool m_finishSent = false;
    bool m_onWire = false; // the remote side may have received the start of the stream
    bool m_dataReceived = false; // some bytes of messages were received
    bool m_remoteFinished = false;
    bool m_remoteFinishedReported = false;
    bool m_paused = false;
    bool m_delivering = false; // a hook is running under deliver()
    bool m_closed = false; // m_end is set
    bool m_endReported = false;
    StreamEnd m_end = StreamEnd::Broken;
};

// [SECTION] PeerSession

struct SessionHooks {
    std::function<void()> wantWrite; ///< there are bytes to send
    std::function<void()> onReady; ///< the remote side's HTTP/2 SETTINGS were received, so it is a peer
    std::function<void(const PeerStreamPtr &)> onStream; ///< server: a new stream
};

class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    PeerSession(EventLoop &loop, SessionRole role, const PeerOptions &options, SessionHooks hooks);
    ~PeerSession();
    PeerSession(const PeerSession &) = delete;
    auto operator=(const PeerSession &) -> PeerSession & = delete;

    auto isReady() const -> bool;
    auto isOver() const -> bool; ///< neither side will send more: the connection can be closed
    auto wantsWrite() const -> bool;
    auto fault() const -> const std::string &; ///< why receive() failed
    auto streams() const -> std::size_t; ///< number of open streams

    /// Processes bytes from the socket. False if the connection can't go on; see fault().
    auto receive(std::string_view bytes) -> bool;
    /// Copies bytes to send, as many as fit; returns their number.
    auto fill(unsigned char *to, std::size_t capacity) -> std::size_t;
    /// Calls onDrained of the streams whose pending bytes were all copied by fill().
    auto notifyDrained() -> void;
    /// Opens a new stream; null if the session can open no more.
    auto open(const std::string &path) -> PeerStreamPtr;
    /// To be called when the connection is lost: ends every open stream.
    auto breakStreams() -> void;

private:
    friend class SessionStream;

    auto submitSettings(const PeerOptions &options) -> void;
    auto wantWrite() -> void;
    auto fail(const std::string &why) -> void;
    auto addStream(std::int32_t id, const std::shared_ptr<SessionStream> &stream) -> void;
    auto findStream(std::int32_t id) -> std::shared_ptr<SessionStream>;
    friend struct SessionCallbacks;
    auto onBeginHeaders(const nghttp2_frame &frame) -> void;
    auto onFrame(const nghttp2_frame &frame) -> void;
    auto onStreamClosed(std::int32_t id, std::uint32_t errorCode) -> void;
    static auto bodyProvider(SessionStream &stream) -> nghttp2_data_provider;

    EventLoop &m_loop;
    SessionRole m_role;
    std::size_t m_maxMessage;
    SessionHooks m_hooks;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<SessionStream>> m_streams;
    std::vector<std::shared_ptr<SessionStream>> m_drained;
    std::string_view m_leftover; // bytes from nghttp2 not yet copied by fill(); valid until nghttp2_session_mem_send() is called again
    std::string m_fault;
    std::string m_libraryError; // text of nghttp2's last error
    bool m_ready = false;
};

} // namespace KingCup
