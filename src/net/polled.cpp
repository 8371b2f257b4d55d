#include "net/polled.h"

#include "net/lwsowner.h"

#include <array>
#include <glog/logging.h>
#include <libwebsockets.h>
#include <sys/socket.h>
#include <unistd.h>

namespace KingCup
{

namespace
{

constexpr auto ProtocolName = "polled";
constexpr double LogPeriodSeconds = 10; ///< of lines that each new connection could cause

} // namespace

struct PolledDescriptor::Callbacks {
    static auto callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length) -> int;
    static auto onWritable(PolledDescriptor &polled) -> void;
};

/// libwebsockets stops polling for writability after this callback, also if it was requested within. Such a request is repeated once the callback has returned.
auto PolledDescriptor::Callbacks::onWritable(PolledDescriptor &polled) -> void
{
    polled.m_isWritableRequested = false;
    polled.m_isInWritable = true;
    polled.onWritable();
    polled.m_isInWritable = false;
    if (polled.m_isWritableRequested && polled.m_wsi != nullptr) {
        polled.m_loop->post([weak = polled.weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->requestWritable();
            }
        });
    }
}

auto PolledDescriptor::Callbacks::callback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/, size_t /*length*/) -> int
{
    const auto self = lwsOwner<PolledDescriptor>(wsi, reason);
    if (!self) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        self->onReadable();
        return self->m_wsi == nullptr ? -1 : 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        onWritable(*self);
        return self->m_wsi == nullptr ? -1 : 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        // libwebsockets closes the descriptor after this.
        self->m_wsi = nullptr;
        self->m_descriptor = -1;
        self->m_loop->countPolled(-1);
        self->onHangUp();
        return 0;
    default:
        return 0;
    }
}

namespace
{

/// The virtual host for polled descriptors, one for each loop; created at the first use and destroyed with the loop's context.
auto vhostOf(EventLoop &loop) -> lws_vhost *
{
    static std::array<lws_protocols, 2> protocols {};
    protocols[0].name = ProtocolName;
    protocols[0].callback = &PolledDescriptor::Callbacks::callback;
    auto *existing = lws_get_vhost_by_name(loop.context(), ProtocolName);
    if (existing != nullptr) {
        return existing;
    }
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = ProtocolName;
    info.protocols = protocols.data();
    return lws_create_vhost(loop.context(), &info);
}

} // namespace

PolledDescriptor::~PolledDescriptor()
{
    release();
}

auto PolledDescriptor::attach(EventLoop &loop, int descriptor) -> bool
{
    lws_sock_file_fd_type fd {};
    fd.filefd = descriptor;
    m_wsi = lws_adopt_descriptor_vhost(vhostOf(loop), LWS_ADOPT_RAW_FILE_DESC, fd, ProtocolName, nullptr);
    if (m_wsi == nullptr) {
        // libwebsockets has closed the descriptor.
        LOG_EVERY_T(WARNING, LogPeriodSeconds) << "net: the event loop has no capacity for another descriptor";
        return false;
    }
    m_loop = &loop;
    m_loop->countPolled(1);
    m_descriptor = descriptor;
    lws_set_opaque_user_data(m_wsi, this);
    return true;
}

auto PolledDescriptor::descriptor() const -> int
{
    return m_descriptor;
}

auto PolledDescriptor::requestWritable() -> void
{
    if (m_isInWritable) {
        m_isWritableRequested = true;
    } else if (m_wsi != nullptr) {
        lws_callback_on_writable(m_wsi);
    }
}

auto PolledDescriptor::setReading(bool on) -> void
{
    if (m_wsi != nullptr) {
        lws_rx_flow_control(m_wsi, on ? 1 : 0);
    }
}

auto PolledDescriptor::release() -> void
{
    if (m_wsi == nullptr) {
        return;
    }
    lws *wsi = m_wsi;
    m_wsi = nullptr;
    m_descriptor = -1;
    m_loop->countPolled(-1);
    lws_set_opaque_user_data(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
}

} // namespace KingCup
