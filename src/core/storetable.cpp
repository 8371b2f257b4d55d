#include "core/storetable.h"

#include <algorithm>

namespace KingCup
{

auto toString(StoreTable table) -> const char *
{
    switch (table) {
    case StoreTable::Declarations:
        return "declarations";
    case StoreTable::Targets:
        return "targets";
    case StoreTable::Gateways:
        return "gateways";
    case StoreTable::Leases:
        return "leases";
    case StoreTable::Crashes:
        return "crashes";
    case StoreTable::Versions:
        return "versions";
    case StoreTable::LimitShares:
        return "limit-shares";
    case StoreTable::Origins:
        return "origins";
    }
    return "?";
}

auto followedIndex(StoreTable table) -> std::optional<std::size_t>
{
    const auto *found = std::find(FollowedTables.begin(), FollowedTables.end(), table);
    return found == FollowedTables.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - FollowedTables.begin()));
}

auto toString(StoreOutcome outcome) -> const char *
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::HistoryLost:
        return "history-lost";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Unclear:
        return "unclear";
    }
    return "?";
}

auto StorePage::find(std::string_view key) const -> const StoredRow *
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const StoredRow &row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace KingCup
