// Chooses the runner on which an adapter is loaded. Adapters are small and load in milliseconds, but a runner has few adapter slots: an adapter is loaded
// when it is requested, and the least recently used adapter is evicted if no slot is free. No I/O.
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
