// Chooses the runner on which an adapter is loaded. Adapters are small and loaded in milliseconds, but a runner has few adapter slots: adapters are loaded
// when they are requested, and the least recently used one is evicted. No I/O.
#pragma once

#include "core/copyplan.h"

namespace KingCup
{

/// When each adapter was last used on a target, as far as known. The key is the target and "MODEL/ADAPTER".
using AdapterUses = std::map<std::pair<TargetId, std::string>, TimePoint>;

/// The next order towards loading the adapter: its load, or the unload of another adapter that frees a slot for it. Nothing if no order can be given now.
/// `minIdleTime`: an adapter that was used within this time isn't evicted.
auto placeAdapter(
    const CopyPlanInput &input, const std::string &model, const std::string &adapter, const AdapterUses &uses, Duration minIdleTime, TimePoint now)
    -> std::optional<PlannedOrder>;

} // namespace KingCup
