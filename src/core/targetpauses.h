// Targets that have rejected a request of this gateway and asked to be sent nothing for some time. No I/O.
//
// A target that rejects everything at once has nothing running, so it would look like the best choice for the next request. A pause belongs to one start of a
// target, whatever its row says meanwhile, and other gateways aren't bound by it.
#pragma once

#include "core/targetinfo.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace KingCup
{

class TargetPauses
{
public:
    /// End of the target's pause; nothing: it isn't paused.
    auto until(const TargetIncarnation &target, TimePoint now) const -> std::optional<TimePoint>;

    /// The target asked at `now` to be sent nothing for `span`. A pause is never shortened.
    auto pause(const TargetIncarnation &target, Duration span, TimePoint now) -> void;
    auto expire(TimePoint now) -> void; ///< call from time to time

private:
    std::map<TargetIncarnation, TimePoint> m_until;
};

} // namespace KingCup
