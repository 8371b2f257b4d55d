// The object that handles the events of a libwebsockets connection.
//
// A connection holds a plain pointer to its owner. libwebsockets goes on calling back after it has reported the end of a connection, and may do so after the
// owner has been destroyed because of that end. So the pointer is read here alone, and cleared here as soon as an end is reported. An owner that gives up a
// connection by itself clears the pointer at once. Then no callback can reach a destroyed owner.
#pragma once

#include <libwebsockets.h>

#include <memory>

namespace KingCup
{

/// The owner of the connection for the duration of one callback; null: it has none any more. `Owner` must derive from std::enable_shared_from_this.
template<typename Owner>
auto lwsOwner(lws *wsi, lws_callback_reasons reason) -> std::shared_ptr<Owner>
{
    auto *found = wsi == nullptr ? nullptr : static_cast<Owner *>(lws_get_opaque_user_data(wsi));
    if (found == nullptr) {
        return nullptr;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_CLOSE_FILE:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        lws_set_opaque_user_data(wsi, nullptr);
        break;
    default:
        break;
    }
    return found->shared_from_this();
}

} // namespace KingCup
