// The table service as the decisions' owners use it: a few hooks. Tests bring their own; tableAccess() takes
// them from a TableClient.
#pragma once

#include "core/table.h"
#include "platform/tableclient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCup
{

struct TableAccess {
    using ReadDone = std::function<void(const std::optional<std::vector<TableRow>> &rows)>; ///< none: the read failed
    using TransactDone = std::function<void(const TransactResult &result)>;

    std::function<void(std::vector<std::string> keys, ReadDone done)> read; ///< rows that exist
    std::function<void(std::string prefix, std::string after, int limit, ReadDone done)> scan; ///< keys above `after`, in order
    std::function<void(std::string writeId, std::vector<TableOp> ops, TransactDone done)> transact;
};

/// `client` must outlive it.
auto tableAccess(TableClient &client) -> TableAccess;

} // namespace KingCup
