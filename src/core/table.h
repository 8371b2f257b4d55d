// Rows of the platform's table and transactions on them, as the decisions see them. Plain data; src/platform speaks to the service.
//
// Index of sections (search for [SECTION]):
//   Rows           a row as read
//   Transactions   operations that take effect together, and what became of them
#pragma once

#include "core/ids.h"

#include <string>
#include <utility>
#include <vector>

namespace KingCup
{

// [SECTION] Rows

struct TableRow {
    std::string key;
    RowVersion version; ///< of the last write; versions rise over the whole table and are never used again
    std::string value;
};

// [SECTION] Transactions

/// One operation takes effect only if the row's version is `expect` (0: the row is absent).
struct TableOp {
    enum class Kind { Put, Delete, Check };
    Kind kind = Kind::Put;
    std::string key;
    RowVersion expect;
    std::string value; ///< Put only

    auto operator==(const TableOp &) const -> bool = default;
};

/// The most operations that one transaction may hold.
constexpr std::size_t MaxTransactionOps = 100;

enum class TransactOutcome {
    Committed, ///< all operations took effect
    Conflict, ///< none did: some row had another version
    Refused, ///< none did: throttled, unavailable or not connected
    Lost, ///< sent, but no answer: it took effect, or will later, or never
};

struct TransactResult {
    TransactOutcome outcome = TransactOutcome::Lost;
    bool throttled = false; ///< Refused: only for load, try again soon
    RowVersion version; ///< Committed: of every row written
    std::vector<std::pair<std::string, RowVersion>> conflicts; ///< Conflict: keys that didn't match, with their versions (0: absent)
};

} // namespace KingCup
