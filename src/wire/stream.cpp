// Implements SessionStream of wire/session.h.
#include "wire/session.h"

#include "core/releasetext.h"

#include <algorithm>
#include <cstring>
#include <glog/logging.h>

namespace KingCup
{

namespace
{

/// Sent bytes are removed from the front of the buffer once they exceed this size and half of the buffer.
constexpr std::size_t CompactBytes = 64U << 10U;
constexpr double LogPeriodSeconds = 1; ///< of lines about refused messages

} // namespace

auto toString(StreamEnd end) -> const char *
{
    switch (end) {
    case StreamEnd::Complete:
        return "complete";
    case StreamEnd::Refused:
        return "refused";
    case StreamEnd::Broken:
        return "broken";
    }
    return "broken";
}

SessionStream::SessionStream(PeerSession &session, std::string path)
    : m_loop(session.m_loop)
    , m_session(&session)
    , m_path(std::move(path))
    , m_maxMessage(session.m_maxMessage)
    , m_reader(session.m_maxMessage)
{
}

SessionStream::~SessionStream()
{
    charge(0);
}

auto SessionStream::path() const -> const std::string &
{
    return m_path;
}

auto SessionStream::isOpen() const -> bool
{
    return m_session != nullptr;
}

auto SessionStream::pendingBytes() const -> std::size_t
{
    return m_out.size() - m_outAt;
}

auto SessionStream::send(const google::protobuf::MessageLite &message) -> void
{
    if (!isOpen() || m_finished) {
        return;
    }
    appendMessage(m_out, message);
    wakeWriter();
}

auto SessionStream::finish() -> void
{
    if (!isOpen() || m_finished) {
        return;
    }
    m_finished = true;
    wakeWriter();
}

auto SessionStream::reset() -> void
{
    resetWith(NGHTTP2_CANCEL);
}

auto SessionStream::refuse() -> void
{
    // Once an answer has begun, REFUSED_STREAM would tell the client that nothing was done, and it would send the request again.
    resetWith(m_answered ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
}

auto SessionStream::resetWith(std::uint32_t errorCode) -> void
{
    if (!isOpen()) {
        return;
    }
    m_finished = true;
    m_out.clear();
    m_outAt = 0;
    nghttp2_submit_rst_stream(m_session->m_session, NGHTTP2_FLAG_NONE, m_id, errorCode);
    m_session->wantWrite();
}

auto SessionStream::pause() -> void
{
    m_paused = true;
}

auto SessionStream::resume() -> void
{
    if (!m_paused) {
        return;
    }
    m_paused = false;
    if (!m_delivering && !m_endReported) {
        // By a posted task: the caller of resume() may be in the middle of changing its own state.
        m_loop.post([self = shared_from_this()] { self->deliver(); });
    }
}

/// Server: submits the response headers. This happens with the first message, so that refuse() stays possible until then.
auto SessionStream::startAnswer() -> void
{
    m_answered = true;
    constexpr char Name[] = ":status";
    constexpr char Value[] = "200";
    const nghttp2_nv status {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name)),
                             reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value)),
                             sizeof(Name) - 1,
                             sizeof(Value) - 1,
                             NGHTTP2_NV_FLAG_NONE};
    const auto provider = PeerSession::bodyProvider(*this);
    nghttp2_submit_response(m_session->m_session, m_id, &status, 1, &provider);
}

auto SessionStream::wakeWriter() -> void
{
    if (m_session->m_role == SessionRole::Server && !m_answered) {
        startAnswer();
    } else if (m_deferred) {
        m_deferred = false;
        nghttp2_session_resume_data(m_session->m_session, m_id);
    }
    m_session->wantWrite();
}

auto SessionStream::readBody(std::uint8_t *to, std::size_t capacity, std::uint32_t *flags) -> ssize_t
{
    const std::size_t size = std::min(capacity, pendingBytes());
    if (size == 0 && !m_finished) {
        m_deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(to, m_out.data() + m_outAt, size);
    m_outAt += size;
    if (m_outAt == m_out.size()) {
        m_out.clear();
        m_outAt = 0;
        if (m_out.capacity() > CompactBytes) {
            releaseText(m_out);
        }
        if (m_finished) {
            m_finishSent = true;
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        } else {
            m_session->m_drained.push_back(shared_from_this());
        }
    } else if (m_outAt > CompactBytes && m_outAt * 2 > m_out.size()) {
        m_out.erase(0, m_outAt);
        m_outAt = 0;
    }
    return static_cast<ssize_t>(size);
}

auto SessionStream::notifyDrained() -> void
{
    if (isOpen() && pendingBytes() == 0 && onDrained) {
        onDrained();
    }
}

auto SessionStream::chargeTo(std::shared_ptr<CallerLoad> load) -> void
{
    m_load = std::move(load);
}

auto SessionStream::charge(std::size_t bytes) -> void
{
    if (m_load) {
        m_load->change(m_charged, bytes);
        m_charged = bytes;
    }
}

auto SessionStream::onData(std::string_view bytes) -> void
{
    m_dataReceived = true;
    if (m_isDropping) {
        m_unconsumed += bytes.size();
        consume();
        return;
    }
    m_reader.append(bytes);
    m_unconsumed += bytes.size();
    charge(0); // a message that is complete now is charged by its receiver
    deliver();
    charge(m_closed ? 0 : m_reader.bufferedBytes());
    if (m_load && m_load->excess(m_charged) > 0 && m_charged > 0 && !m_answered) {
        LOG_EVERY_T(WARNING, LogPeriodSeconds) << "wire: refused a message, as callers hold too much bytes=" << m_charged << " held=" << m_load->held();
        m_load->countRefused();
        m_isDropping = true;
        m_reader = MessageReader(m_maxMessage);
        charge(0);
        refuse();
    }
}

auto SessionStream::onRemoteEnd() -> void
{
    m_remoteFinished = true;
    deliver();
}

/// Calls the hooks for what was received, in order: messages, the remote side's finish, the end.
auto SessionStream::deliver() -> void
{
    if (m_delivering || m_endReported) {
        return;
    }
    const auto keep = shared_from_this();
    m_delivering = true;
    takeMessages();
    consume();
    if (!m_paused && m_remoteFinished && !m_remoteFinishedReported) {
        m_remoteFinishedReported = true;
        if (onRemoteFinished) {
            onRemoteFinished();
        }
    }
    m_delivering = false;
    if (m_closed && (!m_paused || m_end != StreamEnd::Complete)) {
        notifyEnd();
    }
}

auto SessionStream::takeMessages() -> void
{
    while (!m_paused && !(m_closed && m_end != StreamEnd::Complete)) {
        const auto message = m_reader.take();
        if (message.state == FramingState::Malformed && m_session != nullptr) {
            m_session->fail("a message is malformed or longer than " + std::to_string(m_session->m_maxMessage) + " bytes");
        }
        if (message.state != FramingState::Message) {
            return;
        }
        if (onMessage) {
            onMessage(message.bytes);
        }
    }
}

/// Returns consumed bytes to the flow-control window; a paused stream withholds the bytes that it hasn't read yet.
auto SessionStream::consume() -> void
{
    const std::size_t held = m_paused ? std::min(m_unconsumed, m_reader.bufferedBytes()) : 0;
    const std::size_t taken = m_unconsumed - held;
    m_unconsumed = held;
    if (taken > 0 && m_session != nullptr) {
        nghttp2_session_consume_stream(m_session->m_session, m_id, taken);
        m_session->wantWrite();
    }
}

auto SessionStream::onClosed(std::uint32_t errorCode) -> void
{
    const bool isClient = m_session->m_role == SessionRole::Client;
    const bool whole = errorCode == NGHTTP2_NO_ERROR && m_remoteFinished && m_finishSent;
    if (whole) {
        endWith(StreamEnd::Complete);
    } else if (isClient && (!m_onWire || (errorCode == NGHTTP2_REFUSED_STREAM && !m_dataReceived))) {
        endWith(StreamEnd::Refused);
    } else {
        endWith(StreamEnd::Broken);
    }
}

auto SessionStream::onConnectionLost() -> void
{
    const bool neverSent = m_session != nullptr && m_session->m_role == SessionRole::Client && !m_onWire;
    endWith(neverSent ? StreamEnd::Refused : StreamEnd::Broken);
}

auto SessionStream::endWith(StreamEnd end) -> void
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_end = end;
    m_session = nullptr;
    releaseText(m_out);
    m_outAt = 0;
    charge(0);
    deliver();
}

auto SessionStream::notifyEnd() -> void
{
    m_endReported = true;
    if (m_reader.bufferedBytes() > 0) {
        // The remote side finished in the middle of a message: a partial answer must not be taken for complete.
        m_end = m_end == StreamEnd::Complete ? StreamEnd::Broken : m_end;
    }
    const auto hook = std::move(onEnd);
    // The hooks often own the stream; clearing them breaks the reference cycle.
    onEnd = nullptr;
    onMessage = nullptr;
    onDrained = nullptr;
    onRemoteFinished = nullptr;
    if (hook) {
        hook(m_end);
    }
}

} // namespace KingCup
