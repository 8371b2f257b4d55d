// A descriptor of ours that the event loop polls. libwebsockets treats it as a file and leaves reading, writing and errors to us.
#pragma once

#include "net/eventloop.h"

#include <functional>
#include <memory>

struct lws;

namespace KingCup
{

/// Owns the descriptor: release() closes it. Keep it in a std::shared_ptr; a callback keeps it alive while it runs.
class PolledDescriptor : public std::enable_shared_from_this<PolledDescriptor>
{
public:
    PolledDescriptor() = default;
    ~PolledDescriptor();
    PolledDescriptor(const PolledDescriptor &) = delete;
    auto operator=(const PolledDescriptor &) -> PolledDescriptor & = delete;

    /// False if the loop can take no more descriptors; it is closed then.
    auto attach(EventLoop &loop, int descriptor) -> bool;
    auto descriptor() const -> int; ///< -1 once released
    auto requestWritable() -> void; ///< onWritable is called once
    auto setReading(bool on) -> void;
    auto release() -> void; ///< no hook is called from here on

    std::function<void()> onReadable;
    std::function<void()> onWritable;
    std::function<void()> onHangUp; ///< both directions are closed, and nothing is left to read

    struct Callbacks;

private:
    lws *m_wsi = nullptr;
    int m_descriptor = -1;
};

} // namespace KingCup
