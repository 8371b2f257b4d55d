// The event loop of a process: a libwebsockets context, its timers, and a queue of posted tasks.
//
// All code of a process that owns a socket runs on one loop, in one thread; other threads hand work to it by posting tasks.
// Only post() and stop() may be called from other threads. A callback must not block: it would delay every socket of the process.
//
// Index of sections (search for [SECTION]):
//   Timer       a scheduled call that is cancelled when its handle is destroyed
//   EventLoop   run, post, after
#pragma once

#include "core/units.h"

#include <cstddef>
#include <functional>
#include <memory>

struct lws_context;

namespace KingCup
{

// [SECTION] Timer

/// Owns one scheduled call; destroying or resetting it cancels the call. Movable, not copyable.
class Timer
{
public:
    Timer();
    ~Timer();
    Timer(Timer &&) noexcept;
    auto operator=(Timer &&) noexcept -> Timer &;
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    auto isActive() const -> bool;
    auto cancel() -> void;

private:
    friend class EventLoop;
    struct Private;
    std::unique_ptr<Private> d;
};

// [SECTION] EventLoop

class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    /// Runs until stop() is called; returns once the current callback has returned.
    auto run() -> void;
    /// Runs until `done` returns true (checked after each event) or `limit` has passed; for tests and tools. Returns whether `done` was met.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Ends run(). May be called from any thread.
    auto stop() -> void;
    /// Runs the task on the loop, after the tasks posted earlier. May be called from any thread.
    auto post(Task task) -> void;

    /// Calls `task` once, `delay` from now, unless the timer is cancelled or destroyed before.
    [[nodiscard]] auto after(Duration delay, Task task) -> Timer;
    /// Calls `task` every `period` until the timer is cancelled or destroyed.
    [[nodiscard]] auto every(Duration period, Task task) -> Timer;

    /// Monotonic time. It advances while the host is suspended.
    auto now() const -> TimePoint;
    /// The libwebsockets context, for code that opens sockets.
    auto context() const -> lws_context *;

    auto polledDescriptors() const -> std::size_t; ///< descriptors of PolledDescriptor that are open
    auto countPolled(int change) -> void; ///< called by PolledDescriptor

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Calls `onStop` on the loop at SIGTERM and SIGINT, and `onReload`, if set, at SIGHUP; once per signal. To be called once per process.
auto onSignals(EventLoop &loop, std::function<void()> onStop, std::function<void()> onReload = {}) -> void;

} // namespace KingCup
