// The event loop of a process: one libwebsockets context, its timers, and a mailbox.
//
// Everything in a process that owns a socket runs on one loop, in one thread; parts talk to each other by posting messages
// to the loop. Only post() and stop() may be called from other threads. A callback must not block: it holds up every
// socket of the process.
//
// Index of sections (search for [SECTION]):
//   Timer       a scheduled call that is forgotten when its handle goes
//   EventLoop   run, post, after
#pragma once

#include "core/units.h"

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

    /// Runs until stop(). Returns after the current callback.
    auto run() -> void;
    /// Runs until `done` holds (checked after each event) or `limit` has passed; for tests and tools. True if it held.
    auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Any thread. Ends run().
    auto stop() -> void;
    /// Any thread. The task runs on the loop, after tasks posted earlier.
    auto post(Task task) -> void;

    /// Calls `task` once, `delay` from now, unless the timer goes first.
    [[nodiscard]] auto after(Duration delay, Task task) -> Timer;
    /// Calls `task` every `period` until the timer goes.
    [[nodiscard]] auto every(Duration period, Task task) -> Timer;

    /// Monotonic time of this process.
    auto now() const -> TimePoint;
    /// For the parts that open sockets.
    auto context() const -> lws_context *;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Calls `onStop` on the loop at SIGTERM and SIGINT, and `onReload`, if there is one, at SIGHUP; once per signal. One per process.
auto onSignals(EventLoop &loop, std::function<void()> onStop, std::function<void()> onReload = {}) -> void;

} // namespace KingCup
