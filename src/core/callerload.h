// What callers together make a process hold, the bounds on it, and whose connection yields when a bound is reached.
//
// Charged are heads, bodies, bytes read ahead, answers that callers haven't read, and a constant for each connection. A body that is passed on is shared, so it
// is charged once. Requests that are received whole and wait for their answer never yield. Callers that stop short of the end of their request, or don't read
// their answer, yield first; then large requests that are still being received, the most recent first. A part of the memory is used by small requests only, so
// that these are served while large ones use up the rest.
//
// Index of sections (search for [SECTION]):
//   Bounds       from the memory and descriptors of the host
//   CallerLoad   the sum of what is held
//   Yielding     which connections are refused or closed
#pragma once

#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace KingCup
{

// [SECTION] Bounds

/// A connection that holds at most this much counts as small. Most requests are, also with the largest head that callers may send.
constexpr std::size_t SmallCallerBytes = 64U << 10U;
/// Memory of a connection without a request: socket, parser and timers.
constexpr std::size_t ConnectionBytes = 4096;

struct CallerBounds {
    std::size_t bytes = 64U << 20U; ///< held for all callers together
    std::size_t reserved = 8U << 20U; ///< of these, for small connections only
    std::size_t connections = 4096;
};

/// Descriptors of a process, by their use.
struct DescriptorBounds {
    std::size_t accept = 0; ///< with more open sockets, a new connection is accepted only if an idle one can be closed
    std::size_t connect = 0; ///< with more open sockets, no call of a caller's request opens one; the rest is for the process's own calls and files
};

/// `memory`: bytes that the process may use.
auto callerBounds(std::uint64_t memory, std::size_t maxConnections) -> CallerBounds;
/// `limit`: open files that the process may have.
auto descriptorBounds(std::size_t limit) -> DescriptorBounds;

// [SECTION] CallerLoad

class CallerLoad
{
public:
    explicit CallerLoad(const CallerBounds &bounds = {});

    auto bounds() const -> const CallerBounds &;
    auto held() const -> std::size_t;
    auto mostHeld() const -> std::size_t; ///< since the last resetMostHeld()
    auto refused() const -> std::uint64_t; ///< requests, as counted by countRefused()
    /// Bytes by which the load exceeds what a connection of this size may use; 0: it may grow.
    auto excess(std::size_t connectionBytes) const -> std::size_t;

    /// A connection held `before` bytes and holds `after` now.
    auto change(std::size_t before, std::size_t after) -> void;
    auto countRefused() -> void; ///< a request was refused because of this load
    auto resetMostHeld() -> void;
    auto setBounds(const CallerBounds &bounds) -> void;

private:
    CallerBounds m_bounds;
    std::size_t m_held = 0;
    std::size_t m_mostHeld = 0;
    std::uint64_t m_refused = 0;
};

// [SECTION] Yielding

enum class CallerPhase {
    Unused, ///< no byte has been received yet
    Idle, ///< between two requests
    Receiving, ///< a part of a request has been received
    Running, ///< the request is whole, and all that has been written of its answer was sent
    Unread, ///< bytes of an answer are unsent, as the caller doesn't read them
    Closing, ///< the last answer was sent
};

/// A connection, as seen by the choice of those that yield.
struct CallerHold {
    std::size_t index = 0; ///< given by the owner of the connections
    CallerPhase phase = CallerPhase::Unused;
    std::size_t bytes = 0;
    TimePoint startedAt; ///< beginning of the phase
    TimePoint progressedAt; ///< when the caller was last seen to make progress: a further part of its request was received, or of its answer was read
};

/// Connections that yield so that at least `excess` bytes become free, in this order; fewer if no others may.
auto chooseYielding(std::vector<CallerHold> holds, std::size_t excess, TimePoint now) -> std::vector<std::size_t>;
/// The connection to be closed in favour of a new one: one that makes no progress or goes on sending after its last answer, or else the one that has been idle
/// for the longest time; nothing if there is none.
auto chooseReplaced(const std::vector<CallerHold> &holds, TimePoint now) -> std::optional<std::size_t>;

} // namespace KingCup
