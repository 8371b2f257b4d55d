#include "core/callerload.h"

#include <algorithm>
#include <tuple>

namespace KingCup
{

namespace
{

/// Share of a process's memory that callers may use. The rest is for its own state, and for what the allocator and the kernel add.
constexpr double CallerMemoryShare = 0.3;
constexpr double ReservedShare = 0.2; ///< of the callers' memory
constexpr double AcceptShare = 0.7;
constexpr double ConnectShare = 0.85;
/// A caller that has made no progress for this long counts as stalled.
constexpr auto StallTime = Duration::millis(500);
/// Callers send a request right after they have connected.
constexpr auto UnusedTime = Duration::millis(200);
/// From a caller's last answer on, until its connection may be closed although it goes on sending.
constexpr auto ReadTime = Duration::seconds(1);

/// Smaller numbers yield first.
enum class YieldOrder { Stalled, Idle, Large, SlowReader, Never };

auto isStalled(const CallerHold &hold, TimePoint now) -> bool
{
    const bool waitsForCaller = hold.phase == CallerPhase::Receiving || hold.phase == CallerPhase::Unread;
    return waitsForCaller && now - hold.progressedAt >= StallTime;
}

auto yieldOrder(const CallerHold &hold, TimePoint now) -> YieldOrder
{
    if (isStalled(hold, now)) {
        return YieldOrder::Stalled;
    }
    switch (hold.phase) {
    case CallerPhase::Unused:
    case CallerPhase::Idle:
        return now - hold.startedAt >= StallTime ? YieldOrder::Idle : YieldOrder::Never;
    case CallerPhase::Receiving:
        return hold.bytes > SmallCallerBytes ? YieldOrder::Large : YieldOrder::Never;
    case CallerPhase::Unread:
        return YieldOrder::SlowReader;
    case CallerPhase::Running:
    case CallerPhase::Closing:
        break;
    }
    return YieldOrder::Never;
}

/// Among connections that yield in the same order: the longest without progress first, or for large requests the most recent one.
auto yieldsBefore(const CallerHold &a, const CallerHold &b, TimePoint now) -> bool
{
    const auto order = yieldOrder(a, now);
    if (order != yieldOrder(b, now)) {
        return order < yieldOrder(b, now);
    }
    if (order == YieldOrder::Large) {
        return a.startedAt > b.startedAt;
    }
    return std::tie(a.progressedAt, b.bytes) < std::tie(b.progressedAt, a.bytes);
}

auto share(double part, double whole) -> std::size_t
{
    return static_cast<std::size_t>(part * whole);
}

} // namespace

// [SECTION] Bounds

auto callerBounds(std::uint64_t memory, std::size_t maxConnections) -> CallerBounds
{
    CallerBounds bounds;
    bounds.bytes = share(CallerMemoryShare, static_cast<double>(memory));
    bounds.reserved = share(ReservedShare, static_cast<double>(bounds.bytes));
    bounds.connections = maxConnections;
    return bounds;
}

auto descriptorBounds(std::size_t limit) -> DescriptorBounds
{
    return {share(AcceptShare, static_cast<double>(limit)), share(ConnectShare, static_cast<double>(limit))};
}

// [SECTION] CallerLoad

CallerLoad::CallerLoad(const CallerBounds &bounds)
    : m_bounds(bounds)
{
}

auto CallerLoad::bounds() const -> const CallerBounds &
{
    return m_bounds;
}

auto CallerLoad::held() const -> std::size_t
{
    return m_held;
}

auto CallerLoad::mostHeld() const -> std::size_t
{
    return m_mostHeld;
}

auto CallerLoad::excess(std::size_t connectionBytes) const -> std::size_t
{
    const auto reserved = connectionBytes > SmallCallerBytes ? std::min(m_bounds.reserved, m_bounds.bytes) : 0;
    const auto limit = m_bounds.bytes - reserved;
    return m_held - std::min(m_held, limit);
}

auto CallerLoad::change(std::size_t before, std::size_t after) -> void
{
    m_held = m_held + after - std::min(before, m_held + after);
    m_mostHeld = std::max(m_mostHeld, m_held);
}

auto CallerLoad::refused() const -> std::uint64_t
{
    return m_refused;
}

auto CallerLoad::countRefused() -> void
{
    ++m_refused;
}

auto CallerLoad::resetMostHeld() -> void
{
    m_mostHeld = m_held;
}

auto CallerLoad::setBounds(const CallerBounds &bounds) -> void
{
    m_bounds = bounds;
}

// [SECTION] Yielding

auto chooseYielding(std::vector<CallerHold> holds, std::size_t excess, TimePoint now) -> std::vector<std::size_t>
{
    std::erase_if(holds, [&](const CallerHold &hold) { return yieldOrder(hold, now) == YieldOrder::Never; });
    std::sort(holds.begin(), holds.end(), [&](const CallerHold &a, const CallerHold &b) { return yieldsBefore(a, b, now); });
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (const auto &hold : holds) {
        if (freed >= excess) {
            break;
        }
        chosen.push_back(hold.index);
        freed += hold.bytes;
    }
    return chosen;
}

auto chooseReplaced(const std::vector<CallerHold> &holds, TimePoint now) -> std::optional<std::size_t>
{
    const auto isUseless = [&](const CallerHold &hold) {
        const bool isUnused = hold.phase == CallerPhase::Unused && now - hold.startedAt >= UnusedTime;
        const bool hasHadTimeToRead = hold.phase == CallerPhase::Closing && now - hold.startedAt >= ReadTime;
        return isStalled(hold, now) || isUnused || hasHadTimeToRead;
    };
    const auto mayBeReplaced = [&](const CallerHold &hold) {
        return isUseless(hold) || hold.phase == CallerPhase::Idle;
    };
    const CallerHold *best = nullptr;
    for (const auto &hold : holds) {
        const auto isBetter = [&] {
            return isUseless(hold) != isUseless(*best) ? isUseless(hold) : hold.progressedAt < best->progressedAt;
        };
        if (mayBeReplaced(hold) && (best == nullptr || isBetter())) {
            best = &hold;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->index);
}

} // namespace KingCup
