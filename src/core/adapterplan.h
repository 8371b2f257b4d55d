// On which runner an adapter is to be loaded. Adapters are small and loaded in milliseconds, but a runner has few places for them: they are loaded when
// asked for, and the least recently used one is evicted. Pure.
#pragma once

#include "core/copyplan.h"

namespace KingCup
{

/// When each adapter of a runner was last used, as far as known: by target, then "MODEL/ADAPTER".
using AdapterUses = std::map<std::pair<TargetId, std::string>, TimePoint>;

/// The next order that brings the adapter closer to being loaded somewhere; nothing if none can be given now.
/// `minIdleTime`: one that was used within this time isn't evicted.
auto placeAdapter(
    const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration minIdleTime, TimePoint now)
    -> std::optional<PlannedOrder>;

} // namespace KingCup
