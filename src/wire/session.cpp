#include "wire/session.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <glog/logging.h>

namespace KingCup
{

namespace
{

/// Limits on received stream resets. Beyond its limit (by default 1000 at once and 33 per second), nghttp2 closes the connection as a
/// protection against the rapid-reset attack. Peers are trusted processes, and a burst of cancelled requests must not trigger it.
constexpr std::uint64_t ResetBurst = 1000000;
constexpr std::uint64_t ResetsPerSecond = 100000;
/// The flow-control window of the connection is returned on receipt, so that only the windows of streams limit the sender.
constexpr std::int32_t ConnectionWindow = 64 << 20;

auto makeHeader(std::string_view name, std::string_view value) -> nghttp2_nv
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())),
            name.size(),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

struct OptionDeleter {
    auto operator()(nghttp2_option *option) const -> void
    {
        nghttp2_option_del(option);
    }
};
struct CallbacksDeleter {
    auto operator()(nghttp2_session_callbacks *callbacks) const -> void
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};
using OptionPtr = std::unique_ptr<nghttp2_option, OptionDeleter>;
using CallbacksPtr = std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter>;

auto makeOption() -> OptionPtr
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, ResetBurst, ResetsPerSecond);
    return OptionPtr(option);
}

auto isRequest(const nghttp2_frame &frame) -> bool
{
    return frame.hd.type == NGHTTP2_HEADERS && frame.headers.cat == NGHTTP2_HCAT_REQUEST;
}

auto hasEndStream(const nghttp2_frame &frame) -> bool
{
    const bool mayEnd = frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS;
    return mayEnd && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

} // namespace

/// The callbacks of nghttp2; their user data is the session.
struct SessionCallbacks {
    static auto self(void *user) -> PeerSession &
    {
        return *static_cast<PeerSession *>(user);
    }
    static auto beginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) -> int
    {
        self(user).onBeginHeaders(*frame);
        return 0;
    }
    static auto header(nghttp2_session * /*session*/,
                       const nghttp2_frame *frame,
                       const std::uint8_t *name,
                       size_t nameLength,
                       const std::uint8_t *value,
                       size_t valueLength,
                       std::uint8_t /*flags*/,
                       void *user) -> int
    {
        const std::string_view nameText(reinterpret_cast<const char *>(name), nameLength);
        if (isRequest(*frame) && nameText == ":path") {
            if (const auto stream = self(user).findStream(frame->hd.stream_id)) {
                stream->m_path.assign(reinterpret_cast<const char *>(value), valueLength);
            }
        }
        return 0;
    }
    static auto frameReceived(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) -> int
    {
        self(user).onFrame(*frame);
        return self(user).m_fault.empty() ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    static auto dataReceived(nghttp2_session *session, std::uint8_t /*flags*/, std::int32_t id, const std::uint8_t *data, size_t length, void *user) -> int
    {
        nghttp2_session_consume_connection(session, length);
        if (const auto stream = self(user).findStream(id)) {
            stream->onData({reinterpret_cast<const char *>(data), length});
        }
        return self(user).m_fault.empty() ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    static auto streamClosed(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t errorCode, void *user) -> int
    {
        self(user).onStreamClosed(id, errorCode);
        return 0;
    }
    /// Marks a stream before its head is sent and not afterwards: a stream whose head may be in the socket's buffer must never end as Refused.
    static auto beforeSend(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user) -> int
    {
        if (isRequest(*frame)) {
            if (const auto stream = self(user).findStream(frame->hd.stream_id)) {
                stream->m_onWire = true;
            }
        }
        return 0;
    }
    static auto error(nghttp2_session * /*session*/, int /*code*/, const char *text, size_t length, void *user) -> int
    {
        self(user).m_libraryError.assign(text, length);
        return 0;
    }
    static auto readBody(nghttp2_session * /*session*/,
                         std::int32_t /*id*/,
                         std::uint8_t *to,
                         size_t capacity,
                         std::uint32_t *flags,
                         nghttp2_data_source *source,
                         void * /*user*/) -> ssize_t
    {
        return static_cast<SessionStream *>(source->ptr)->readBody(to, capacity, flags);
    }
    static auto make() -> CallbacksPtr
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &beginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, &header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &frameReceived);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &dataReceived);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &streamClosed);
        nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, &beforeSend);
        nghttp2_session_callbacks_set_error_callback2(callbacks, &error);
        return CallbacksPtr(callbacks);
    }
};

PeerSession::PeerSession(EventLoop &loop, SessionRole role, const PeerOptions &options, SessionHooks hooks)
    : m_loop(loop)
    , m_role(role)
    , m_maxMessage(options.maxMessage)
    , m_hooks(std::move(hooks))
{
    const auto callbacks = SessionCallbacks::make();
    const auto option = makeOption();
    if (role == SessionRole::Client) {
        nghttp2_session_client_new2(&m_session, callbacks.get(), this, option.get());
    } else {
        nghttp2_session_server_new2(&m_session, callbacks.get(), this, option.get());
    }
    submitSettings(options);
}

PeerSession::~PeerSession()
{
    for (const auto &[id, stream] : m_streams) {
        stream->m_session = nullptr;
    }
    nghttp2_session_del(m_session);
}

auto PeerSession::submitSettings(const PeerOptions &options) -> void
{
    const std::array<nghttp2_settings_entry, 3> settings {{{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(options.streamWindow)},
                                                           {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.maxStreams},
                                                           {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    // Only a client may send ENABLE_PUSH.
    const std::size_t count = m_role == SessionRole::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
}

auto PeerSession::isReady() const -> bool
{
    return m_ready;
}

auto PeerSession::isOver() const -> bool
{
    return nghttp2_session_want_read(m_session) == 0 && !wantsWrite();
}

auto PeerSession::wantsWrite() const -> bool
{
    return !m_leftover.empty() || nghttp2_session_want_write(m_session) != 0;
}

auto PeerSession::fault() const -> const std::string &
{
    return m_fault;
}

auto PeerSession::streams() const -> std::size_t
{
    return m_streams.size();
}

auto PeerSession::receive(std::string_view bytes) -> bool
{
    const auto keep = shared_from_this();
    const auto taken = nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (taken < 0 && m_fault.empty()) {
        m_fault = m_libraryError.empty() ? nghttp2_strerror(static_cast<int>(taken)) : m_libraryError;
    }
    if (m_fault.empty() && wantsWrite()) {
        wantWrite();
    }
    return m_fault.empty();
}

auto PeerSession::fill(unsigned char *to, std::size_t capacity) -> std::size_t
{
    const auto keep = shared_from_this();
    std::size_t filled = 0;
    while (filled < capacity) {
        if (m_leftover.empty()) {
            const std::uint8_t *data = nullptr;
            const auto size = nghttp2_session_mem_send(m_session, &data);
            if (size <= 0) {
                break;
            }
            m_leftover = {reinterpret_cast<const char *>(data), static_cast<std::size_t>(size)};
        }
        const std::size_t size = std::min(m_leftover.size(), capacity - filled);
        std::memcpy(to + filled, m_leftover.data(), size);
        m_leftover.remove_prefix(size);
        filled += size;
    }
    return filled;
}

auto PeerSession::notifyDrained() -> void
{
    const auto keep = shared_from_this();
    std::vector<std::shared_ptr<SessionStream>> drained;
    drained.swap(m_drained);
    for (const auto &stream : drained) {
        stream->notifyDrained();
    }
}

auto PeerSession::open(const std::string &path) -> PeerStreamPtr
{
    auto stream = std::make_shared<SessionStream>(*this, path);
    const std::array<nghttp2_nv, 4> headers {
        makeHeader(":method", "POST"), makeHeader(":scheme", "http"), makeHeader(":authority", "peer"), makeHeader(":path", path)};
    const auto provider = bodyProvider(*stream);
    const auto id = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        stream->m_session = nullptr;
        return nullptr;
    }
    addStream(id, stream);
    wantWrite();
    return stream;
}

auto PeerSession::breakStreams() -> void
{
    const auto keep = shared_from_this();
    auto streams = std::move(m_streams);
    m_streams.clear();
    m_drained.clear();
    for (const auto &[id, stream] : streams) {
        stream->onConnectionLost();
    }
}

auto PeerSession::wantWrite() -> void
{
    if (m_hooks.wantWrite) {
        m_hooks.wantWrite();
    }
}

auto PeerSession::fail(const std::string &why) -> void
{
    if (m_fault.empty()) {
        m_fault = why;
    }
}

auto PeerSession::addStream(std::int32_t id, const std::shared_ptr<SessionStream> &stream) -> void
{
    stream->m_id = id;
    m_streams.emplace(id, stream);
}

auto PeerSession::findStream(std::int32_t id) -> std::shared_ptr<SessionStream>
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

auto PeerSession::bodyProvider(SessionStream &stream) -> nghttp2_data_provider
{
    nghttp2_data_provider provider {};
    provider.source.ptr = &stream;
    provider.read_callback = &SessionCallbacks::readBody;
    return provider;
}

auto PeerSession::onBeginHeaders(const nghttp2_frame &frame) -> void
{
    if (m_role == SessionRole::Server && isRequest(frame)) {
        addStream(frame.hd.stream_id, std::make_shared<SessionStream>(*this, ""));
    }
}

auto PeerSession::onFrame(const nghttp2_frame &frame) -> void
{
    if (frame.hd.type == NGHTTP2_SETTINGS && !m_ready) {
        m_ready = true;
        if (m_hooks.onReady) {
            m_hooks.onReady();
        }
        return;
    }
    const auto stream = findStream(frame.hd.stream_id);
    if (!stream) {
        return;
    }
    if (isRequest(frame) && m_role == SessionRole::Server && m_hooks.onStream) {
        m_hooks.onStream(stream);
    }
    if (hasEndStream(frame)) {
        stream->onRemoteEnd();
    }
}

auto PeerSession::onStreamClosed(std::int32_t id, std::uint32_t errorCode) -> void
{
    const auto stream = findStream(id);
    if (!stream) {
        return;
    }
    m_streams.erase(id);
    stream->onClosed(errorCode);
}

} // namespace KingCup
