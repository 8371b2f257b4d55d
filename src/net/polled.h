// A file descriptor that the event loop polls. libwebsockets treats it as a file and leaves reading, writing and errors to the owner.
#pragma once

#include "net/eventloop.h"

#include <functional>
#include <memory>

struct lws;

namespace KingCup
{

/// Owns the descriptor; release() closes it. Must be held by a std::shared_ptr: a running callback keeps the object alive.
class PolledDescriptor : public std::enable_shared_from_this<PolledDescriptor>
{
public:
    PolledDescriptor() = default;
    ~PolledDescriptor();
    PolledDescriptor(const PolledDescriptor &) = delete;
    auto operator=(const PolledDescriptor &) -> PolledDescriptor & = delete;

    /// False if the loop has no capacity for another descriptor; the descriptor is closed then.
    auto attach(EventLoop &loop, int descriptor) -> bool;
    auto descriptor() const -> int; ///< -1 once released
    auto requestWritable() -> void; ///< onWritable will be called once
    auto setReading(bool on) -> void;
    auto release() -> void; ///< closes the descriptor; no hook is called afterwards

    std::function<void()> onReadable;
    std::function<void()> onWritable;
    std::function<void()> onHangUp; ///< both directions are closed and nothing is left to read

    struct Callbacks;

private:
    EventLoop *m_loop = nullptr;
    lws *m_wsi = nullptr;
    int m_descriptor = -1;
    bool m_isInWritable = false; ///< onWritable is running
    bool m_isWritableRequested = false; ///< by onWritable itself
};

} // namespace KingCup
