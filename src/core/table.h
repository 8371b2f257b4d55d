// Rows of the platform's table and transactions on them, as src/core uses them. Plain data; src/platform contains the client.
//
// Index of sections (search for [SECTION]):
//   Rows           a row as read
//   Transactions   operations that take effect together, and their outcome
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
    RowVersion version; ///< set by the last write; versions rise over the whole table and are never reused
    std::string value;
};

// [SECTION] Transactions

/// One operation. It takes effect only if the row's version is `expect` (0: the row is absent).
struct TableOp {
    enum class Kind { Put, Delete, Check };
    Kind kind = Kind::Put;
    std::string key;
    RowVersion expect;
    std::string value; ///< Put only

    auto operator==(const TableOp &) const -> bool = default;
};

/// The maximum number of operations in one transaction.
constexpr std::size_t MaxTransactionOps = 100;

enum class TransactOutcome {
    Committed, ///< all operations took effect
    Conflict, ///< no operation took effect: some row had another version
    Refused, ///< no operation took effect: throttled, unavailable or not connected
    Lost, ///< sent, but there was no answer: the transaction took effect, will do so later, or never
};

struct TransactResult {
    TransactOutcome outcome = TransactOutcome::Lost;
    bool throttled = false; ///< if Refused: only because of load; try again soon
    RowVersion version; ///< if Committed: the new version of every row written
    std::vector<std::pair<std::string, RowVersion>> conflicts; ///< if Conflict: keys that didn't match, with their versions (0: absent)
};

} // namespace KingCup
