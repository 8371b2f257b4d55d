// The tables of the deployment's store that gateways use, and the answers of calls to the store. Plain data, no I/O.
//
// Index of sections (search for [SECTION]):
//   Tables    which tables there are
//   Answers   outcomes and contents of calls
#pragma once

#include "core/ids.h"
#include "core/rowmirror.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace KingCup
{

// [SECTION] Tables

enum class StoreTable {
    Declarations, ///< the operators' declarations; read only
    Targets, ///< one row for each target; read only
    Gateways, ///< written by gateways: one row for each
    Leases, ///< written by gateways; not followed: only a gateway that wants a lease reads it
    Crashes, ///< written by gateways; not followed: one row with the crash records that all of them have in common
    Versions, ///< written by gateways; not followed: for each service the software versions at which streams may have begun
    LimitShares, ///< written by gateways; not followed: leases of shares of account limits, one row for each gateway that needs one
    Origins, ///< written by gateways; not followed: where streams began, several rows for each gateway
};
auto toString(StoreTable table) -> const char *;

/// The tables of which each gateway keeps a copy. Messages between gateways identify a table by its index here.
constexpr std::array FollowedTables {StoreTable::Declarations, StoreTable::Targets, StoreTable::Gateways};
constexpr std::size_t FollowedTableCount = FollowedTables.size();
/// Index in `FollowedTables`; nothing: the table isn't followed.
auto followedIndex(StoreTable table) -> std::optional<std::size_t>;

// [SECTION] Answers

enum class StoreOutcome {
    Done,
    Conflict, ///< a row had another version than expected: nothing was changed
    HistoryLost, ///< a watch asked for changes that the store no longer keeps: read the whole table again
    Refused, ///< certainly without effect
    Unclear, ///< no readable answer: a change may have been made, or may still be made
};
auto toString(StoreOutcome outcome) -> const char *;

struct StorePage {
    std::vector<StoredRow> rows;
    std::size_t skippedRows = 0; ///< rows without a readable key or version, which `rows` lacks
    bool hasMore = false; ///< for reads: the table has rows after the last one of this page
    RowVersion upTo; ///< the store's newest version as of this answer

    auto find(std::string_view key) const -> const StoredRow *; ///< null: the page doesn't have the row
};

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unclear;
    StorePage page; ///< of reads and watches
    RowVersion version; ///< for changes: the version of the rows written
};

} // namespace KingCup
